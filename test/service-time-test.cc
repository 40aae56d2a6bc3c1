#include "mulberryhoist/service-time.h"

#include "mulberryhoist/admission/route-work.h"

#include <gtest/gtest.h>

namespace mulberryhoist {
namespace {

using std::chrono::milliseconds;

struct SaturatedRow {
  std::uint32_t Slots;
  milliseconds RequestTime;
};

class SaturatedTest : public testing::TestWithParam<SaturatedRow> {};

// Guards against an estimate that keeps its initial value while all slots are
// busy, so that queues grow beyond the latency objective after an outage.
TEST_P(SaturatedTest, UsesResponsesWhileAllSlotsAreBusy) {
  ServiceTimeEstimate Estimate;
  Instant Now;
  for (int I = 0; I < 200; ++I) {
    Estimate.addResponse(GetParam().Slots + 3, GetParam().Slots, Now);
    Now += GetParam().RequestTime / GetParam().Slots;
  }
  EXPECT_NEAR(std::chrono::duration<double>(Estimate.mean()).count(),
              std::chrono::duration<double>(GetParam().RequestTime).count(),
              0.002);
}

INSTANTIATE_TEST_SUITE_P(Rows, SaturatedTest,
                         testing::Values(SaturatedRow{2, milliseconds(100)},
                                         SaturatedRow{4, milliseconds(32)},
                                         SaturatedRow{1, milliseconds(8)}));

// Guards against idle time between two responses that counts as service time.
TEST(ServiceTimeTest, IgnoresIdleTime) {
  ServiceTimeEstimate Estimate;
  const Instant Start;
  Estimate.addResponse(2, 4, Start);
  Estimate.addResponse(5, 4, Start + milliseconds(900));
  EXPECT_EQ(Estimate.mean(), InitialServiceTime);
}

// Guards against a single broken request that distorts the estimate.
TEST(ServiceTimeTest, IgnoresBrokenRequests) {
  ServiceTimeEstimate Estimate;
  Estimate.addUnqueued(std::chrono::seconds(30));
  EXPECT_EQ(Estimate.mean(), InitialServiceTime);
}

// Guards against a heavy tail: after one long request all others looked late.
TEST(ServiceTimeTest, OneLongRequestCountsLittle) {
  ServiceTimeEstimate Estimate;
  Estimate.addUnqueued(std::chrono::milliseconds(1900));
  EXPECT_LE(Estimate.mean(), InitialServiceTime * 5 / 4);
}

// Guards against one mean for routes with unlike work, and against estimates
// that a cold upstream, which slows all routes alike, confuses.
TEST(RouteWorkTest, TellsRoutesApartAlsoOnASlowUpstream) {
  constexpr Endpoint Short = {1, 80};
  constexpr Endpoint Long = {2, 80};
  ServiceTimeEstimate Estimate;
  RouteWorkEstimates Routes;
  const auto Add = [&](Endpoint Route, Duration Elapsed) {
    Routes.addSlotTime(Route, Elapsed, Estimate.mean());
    Estimate.addUnqueued(Elapsed);
  };
  for (const int Slowdown : {1, 2}) {
    for (int I = 0; I < 300; ++I) {
      Add(Short, milliseconds(20) * Slowdown);
      Add(Long, milliseconds(60) * Slowdown);
    }
    EXPECT_NEAR(Routes.factor(Short), 0.5, 0.05);
    EXPECT_NEAR(Routes.factor(Long), 1.5, 0.1);
  }
  EXPECT_EQ(Routes.factor({3, 80}), 1);
}

// Guards against memory that grows with the number of routes.
TEST(RouteWorkTest, MeasuresABoundedNumberOfRoutes) {
  RouteWorkEstimates Routes;
  for (std::uint16_t Port = 1; Port <= 100; ++Port) {
    Routes.addSlotTime({1, Port}, milliseconds(20), milliseconds(40));
  }
  EXPECT_EQ(Routes.all().size(), MaxMeasuredRoutes);
  EXPECT_EQ(Routes.factor({1, 100}), 1);
}

TEST(ServiceTimeTest, ExpectedTimeIncludesQueuedRequests) {
  const ServiceTimeEstimate Estimate;
  EXPECT_EQ(Estimate.expectedTime(3, 4), InitialServiceTime);
  EXPECT_EQ(Estimate.expectedTime(4, 4), InitialServiceTime * 5 / 4);
  EXPECT_EQ(Estimate.expectedTime(11, 4), InitialServiceTime * 3);
}

} // namespace
} // namespace mulberryhoist
