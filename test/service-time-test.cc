#include "mulberryhoist/service-time.h"

#include <gtest/gtest.h>

namespace mulberryhoist {
namespace {

using std::chrono::milliseconds;

struct SaturatedRow {
  std::uint32_t Slots;
  milliseconds Work;
};

class SaturatedTest : public testing::TestWithParam<SaturatedRow> {};

// Guards against an estimate that stays at its start while all slots are busy,
// so that queues are filled beyond the latency objective after an outage.
TEST_P(SaturatedTest, LearnsFromAnswersWhileAllSlotsAreBusy) {
  ServiceTime Estimate;
  Instant Now;
  for (int I = 0; I < 200; ++I) {
    Estimate.addAnswer(GetParam().Slots + 3, GetParam().Slots, Now);
    Now += GetParam().Work / GetParam().Slots;
  }
  EXPECT_NEAR(std::chrono::duration<double>(Estimate.mean()).count(),
              std::chrono::duration<double>(GetParam().Work).count(), 0.002);
}

INSTANTIATE_TEST_SUITE_P(Rows, SaturatedTest,
                         testing::Values(SaturatedRow{2, milliseconds(100)},
                                         SaturatedRow{4, milliseconds(32)},
                                         SaturatedRow{1, milliseconds(8)}));

// Guards against idle time between two answers that counts as work.
TEST(ServiceTimeTest, IdleTimeIsNoWork) {
  ServiceTime Estimate;
  const Instant Start;
  Estimate.addAnswer(2, 4, Start);
  Estimate.addAnswer(5, 4, Start + milliseconds(900));
  EXPECT_EQ(Estimate.mean(), InitialServiceTime);
}

// Guards against one broken request that makes the upstream look slow.
TEST(ServiceTimeTest, IgnoresBrokenRequests) {
  ServiceTime Estimate;
  Estimate.addUnqueued(std::chrono::seconds(30));
  EXPECT_EQ(Estimate.mean(), InitialServiceTime);
}

TEST(ServiceTimeTest, ExpectsTheQueueAhead) {
  const ServiceTime Estimate;
  EXPECT_EQ(Estimate.expected(3, 4), InitialServiceTime);
  EXPECT_EQ(Estimate.expected(4, 4), InitialServiceTime * 5 / 4);
  EXPECT_EQ(Estimate.expected(11, 4), InitialServiceTime * 3);
}

} // namespace
} // namespace mulberryhoist
