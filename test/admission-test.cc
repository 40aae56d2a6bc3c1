#include "mulberryhoist/admission.h"

#include <gtest/gtest.h>

namespace mulberryhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr ServiceId Orders{1};
constexpr ServiceId Previews{2};

FlowKey keyOf(std::uint16_t Port) {
  return {{0x7F000001, Port}, {0x7F000002, 80}};
}

/// Admission at an upstream with two services, and the openings evicted from
/// its queue.
struct Fixture {
  explicit Fixture(ServiceShare First, ServiceShare Second,
                   std::uint32_t Slots = 1, std::uint32_t Connections = 100) {
    this->Subject.setLimits({Slots, Connections, {First, Second}}, this->Now);
  }

  AdmissionResult offer(ServiceId Service) {
    return this->Subject.offer(keyOf(++this->Port), Service, this->Now,
                               this->Shed);
  }

  Instant Now = Instant() + seconds(100);
  Admission Subject{Now};
  std::vector<WaitingOpening> Shed;
  std::uint16_t Port = 0;
};

struct DeadlineRow {
  std::uint8_t Class;
  milliseconds Wait;
};

class DeadlineTest : public testing::TestWithParam<DeadlineRow> {};

// Guards against openings that wait beyond the deadline of their class.
TEST_P(DeadlineTest, WaitingOpeningExpires) {
  Fixture Test({Orders, GetParam().Class, 1}, {Previews, 7, 1});
  EXPECT_EQ(Test.offer(Orders), AdmissionResult::Started);
  EXPECT_EQ(Test.offer(Orders), AdmissionResult::Queued);
  std::vector<WaitingOpening> Expired;
  Test.Subject.expire(Test.Now + GetParam().Wait - milliseconds(1), Expired);
  EXPECT_TRUE(Expired.empty());
  Test.Subject.expire(Test.Now + GetParam().Wait, Expired);
  EXPECT_EQ(Expired.size(), 1U);
  EXPECT_EQ(Test.Subject.active(), 1U);
}

INSTANTIATE_TEST_SUITE_P(Classes, DeadlineTest,
                         testing::Values(DeadlineRow{0, milliseconds(2000)},
                                         DeadlineRow{3, milliseconds(1250)},
                                         DeadlineRow{7, milliseconds(250)}));

struct ShareRow {
  std::uint32_t First;
  std::uint32_t Second;
  double ExpectedRatio;
};

class ShareTest : public testing::TestWithParam<ShareRow> {};

// Guards against a service that gets more slot time than its share while both
// services have waiting openings.
TEST_P(ShareTest, SlotTimeFollowsShares) {
  Fixture Test({Orders, 1, GetParam().First}, {Previews, 1, GetParam().Second});
  double Served[2] = {};
  Test.offer(Orders);
  ServiceId Running = Orders;
  for (int Round = 0; Round < 400; ++Round) {
    Test.offer(Orders);
    Test.offer(Previews);
    Test.Now += milliseconds(10);
    ++Served[Running == Orders ? 0 : 1];
    Test.Subject.endWork(Running, Test.Now);
    const auto Next = Test.Subject.startNext(Test.Now);
    ASSERT_TRUE(Next);
    Running = Next->Service;
  }
  EXPECT_NEAR(Served[0] / Served[1], GetParam().ExpectedRatio,
              GetParam().ExpectedRatio * 0.1);
}

INSTANTIATE_TEST_SUITE_P(Ratios, ShareTest,
                         testing::Values(ShareRow{1, 1, 1.0},
                                         ShareRow{3, 1, 3.0},
                                         ShareRow{10, 2, 5.0}));

struct FloodRow {
  std::uint8_t FloodClass;
  std::uint8_t OtherClass;
};

class FloodTest : public testing::TestWithParam<FloodRow> {};

// Guards against a flood of any class that takes the queue places and the next
// slot of a service within its share.
TEST_P(FloodTest, OtherServiceKeepsItsShare) {
  Fixture Test({Previews, GetParam().FloodClass, 1},
               {Orders, GetParam().OtherClass, 1});
  for (int I = 0; I < 100; ++I) {
    Test.offer(Previews);
  }
  EXPECT_EQ(Test.offer(Previews), AdmissionResult::Declined);
  EXPECT_TRUE(Test.Shed.empty());
  EXPECT_TRUE(Test.Subject.hasRoom(Orders));
  EXPECT_EQ(Test.offer(Orders), AdmissionResult::Queued);
  ASSERT_EQ(Test.Shed.size(), 1U);
  EXPECT_EQ(Test.Shed[0].Service, Previews);
  Test.Now += milliseconds(10);
  Test.Subject.endWork(Previews, Test.Now);
  const auto Next = Test.Subject.startNext(Test.Now);
  ASSERT_TRUE(Next);
  EXPECT_EQ(Next->Service, Orders);
}

INSTANTIATE_TEST_SUITE_P(Classes, FloodTest,
                         testing::Values(FloodRow{7, 0}, FloodRow{0, 7},
                                         FloodRow{3, 3}));

// Guards against a service that accumulates credit while idle and later starves
// others.
TEST(AdmissionTest, IdleServiceAccumulatesNoCredit) {
  Fixture Test({Orders, 1, 1}, {Previews, 1, 1});
  Test.offer(Previews);
  Test.Now += seconds(1000);
  Test.offer(Orders);
  Test.offer(Orders);
  Test.offer(Previews);
  Test.Subject.endWork(Previews, Test.Now);
  EXPECT_EQ(Test.Subject.startNext(Test.Now)->Service, Orders);
  Test.Now += milliseconds(10);
  Test.Subject.endWork(Orders, Test.Now);
  EXPECT_EQ(Test.Subject.startNext(Test.Now)->Service, Previews);
}

// Guards against exceeding the connection limit of the upstream.
TEST(AdmissionTest, ConnectionLimitDeclines) {
  Fixture Test({Orders, 1, 1}, {Previews, 1, 1}, 4, 1);
  EXPECT_EQ(Test.offer(Orders), AdmissionResult::Started);
  Test.Subject.addConnection(Orders);
  EXPECT_FALSE(Test.Subject.hasRoom(Orders));
  EXPECT_EQ(Test.offer(Orders), AdmissionResult::Declined);
}

// Guards against a flood of long-lived flows that leaves no connection for a
// service within its share.
TEST(AdmissionTest, ReservesConnectionsForServicesWithinShare) {
  Fixture Test({Orders, 1, 1}, {Previews, 1, 1}, 4, 100);
  std::uint32_t Open = 0;
  while (Test.Subject.hasRoom(Previews)) {
    Test.Subject.addConnection(Previews);
    ++Open;
  }
  EXPECT_EQ(Open, 90U);
  EXPECT_EQ(Test.offer(Orders), AdmissionResult::Started);
  EXPECT_EQ(Test.offer(Previews), AdmissionResult::Declined);
  Test.Subject.removeConnection(Previews);
  EXPECT_EQ(Test.offer(Previews), AdmissionResult::Started);
}

// Guards against counting the work of a service forever after its row was
// removed, and against accepting new work of it.
TEST(AdmissionTest, UnlistedServiceOnlyEndsWork) {
  Fixture Test({Orders, 1, 1}, {Previews, 1, 1}, 4);
  Test.offer(Orders);
  Test.Subject.setLimits({4, 100, {{Previews, 1, 1}}}, Test.Now);
  EXPECT_EQ(Test.offer(Orders), AdmissionResult::Declined);
  Test.Subject.endWork(Orders, Test.Now);
  EXPECT_EQ(Test.Subject.busy(), 0U);
}

struct LoadRow {
  milliseconds Age;
  std::uint32_t Weight;
  std::uint32_t Expected;
};

class LoadTest : public testing::TestWithParam<LoadRow> {};

// Guards against a load figure that ignores the weight, or that draws the full
// rate of openings to an upstream that has just started.
TEST_P(LoadTest, ScalesWithAgeAndWeight) {
  Fixture Test({Orders, 1, 1}, {Previews, 1, 1}, 4);
  Test.offer(Orders);
  Test.offer(Orders);
  EXPECT_EQ(Test.Subject.load(GetParam().Weight, Test.Now + GetParam().Age),
            GetParam().Expected);
}

INSTANTIATE_TEST_SUITE_P(
    Ages, LoadTest,
    testing::Values(LoadRow{milliseconds(0), 1, 20'000},
                    LoadRow{milliseconds(15'000), 1, 11'000},
                    LoadRow{milliseconds(30'000), 1, 2000},
                    LoadRow{milliseconds(60'000), 4, 500}));

// Guards against retries that multiply an overload.
TEST(RetryBudgetTest, AllowsRetryPerTenOpenings) {
  RetryBudget Budget;
  while (Budget.take(1)) {
  }
  std::uint32_t Taken = 0;
  for (int I = 0; I < 1000; ++I) {
    Budget.earn();
    Taken += Budget.take(1) ? 1 : 0;
  }
  EXPECT_EQ(Taken, 100U);
}

} // namespace
} // namespace mulberryhoist
