#include "mulberryhoist/opening-queue.h"

#include <gtest/gtest.h>

#include "steer-samples.h"

namespace mulberryhoist {
namespace {

using namespace samples;
using std::chrono::milliseconds;
using Placement = OpeningQueue::Placement;

/// The service time of one request is `InitialServiceTime`, 48 ms.
constexpr std::uint32_t Slots = 4;

UpstreamLoad load(std::uint32_t Requests) { return {Requests, Slots, {}}; }

Steer header(milliseconds Goal = milliseconds(200),
             milliseconds Timeout = milliseconds(1200)) {
  Steer Header;
  Header.Goal = Goal;
  Header.Timeout = Timeout;
  return Header;
}

class OpeningQueueTest : public testing::Test {
protected:
  /// Adds an opening whose caller has waited for this long.
  void hold(std::uint16_t Port, Duration Waited = {}, std::uint32_t Class = 0) {
    HeldOpening Each;
    Each.Flow = {flowOf(Port), Port};
    Each.Header = header();
    Each.Header.Class = Class;
    Each.HeldSince = this->Now;
    Each.StartedAt = this->Now - Waited;
    Each.ExpiresAt = Each.StartedAt + holdLimit(Each.Header, load(Slots));
    this->Queue.hold(std::move(Each));
  }

  /// Returns the caller's port of the opening that is served next, or 0.
  std::uint16_t next(std::uint32_t Requests) {
    const auto Next = this->Queue.takeNext(load(Requests), this->Now);
    return Next ? Next->Flow.Key.Caller.Port : 0;
  }

  Instant Now = Instant(std::chrono::hours(1));
  OpeningQueue Queue;
};

struct PlacementRow {
  const char *Case;
  Duration Waited;
  std::uint32_t Requests;
  Steer Header;
  Placement Expected;
};

class PlacementTest : public OpeningQueueTest,
                      public testing::WithParamInterface<PlacementRow> {};

TEST_P(PlacementTest, DependsOnTheRemainingTime) {
  const PlacementRow &Row = GetParam();
  EXPECT_EQ(
      this->Queue.place(Row.Header, Row.Waited, load(Row.Requests), this->Now),
      Row.Expected)
      << Row.Case;
}

INSTANTIATE_TEST_SUITE_P(
    Rows, PlacementTest,
    testing::Values(
        PlacementRow{"meets its latency objective behind one request",
                     {},
                     Slots,
                     header(),
                     Placement::Take},
        PlacementRow{"the queue of the upstream is full",
                     {},
                     Slots + UpstreamQueueLimit,
                     header(),
                     Placement::Hold},
        PlacementRow{"late, but its caller still waits", milliseconds(200),
                     Slots, header(), Placement::Hold},
        PlacementRow{"its caller gives up soon", milliseconds(600), Slots,
                     header(milliseconds(200), milliseconds(700)),
                     Placement::Refuse},
        PlacementRow{"too many requests before it", milliseconds(200),
                     20 * Slots, header(), Placement::Refuse},
        PlacementRow{"without latency objective and timeout",
                     {},
                     20 * Slots,
                     header(milliseconds(0), milliseconds(0)),
                     Placement::Take}));

// Guards against callers that are refused three times in a row because late
// openings fill the queue.
TEST_F(OpeningQueueTest, LateOpeningsDoNotDisplacePromptOnes) {
  for (std::uint16_t Port = 1; Port <= 100; ++Port) {
    this->hold(Port, milliseconds(600));
  }
  EXPECT_EQ(this->Queue.place(header(), milliseconds(600), load(Slots), Now),
            Placement::Refuse);
  EXPECT_EQ(this->Queue.place(header(), {}, load(Slots), Now), Placement::Take);
}

// Guards against an overload in which all callers are served too late.
TEST_F(OpeningQueueTest, NewestPromptOpeningGoesFirst) {
  this->hold(1, milliseconds(600));
  this->hold(2, milliseconds(20));
  this->hold(3);
  EXPECT_EQ(this->next(Slots), 3);
  EXPECT_EQ(this->next(Slots), 2);
  // A late opening is served only when a slot is free.
  EXPECT_EQ(this->next(Slots), 0);
  EXPECT_EQ(this->next(Slots - 1), 1);
  EXPECT_TRUE(this->Queue.empty());
}

// Guards against urgent requests that wait behind a flood of less urgent ones.
TEST_F(OpeningQueueTest, UrgentOpeningsGoFirst) {
  this->hold(1, {}, 1);
  this->hold(2, {}, 2);
  this->hold(3, {}, 1);
  this->hold(4, {}, 2);
  for (const std::uint16_t Expected : {3, 1, 4, 2}) {
    EXPECT_EQ(this->next(Slots), Expected);
  }
  // Less urgent openings in the queue do not delay a new urgent one.
  this->hold(5, {}, 2);
  Steer Urgent = header();
  Urgent.Class = 1;
  EXPECT_EQ(this->Queue.place(Urgent, {}, load(Slots), this->Now),
            Placement::Take);
  Urgent.Class = 2;
  EXPECT_EQ(this->Queue.place(Urgent, {}, load(Slots), this->Now),
            Placement::Hold);
}

// Guards against a flood of urgent requests that occupies all slots.
TEST_F(OpeningQueueTest, UrgentFloodLeavesSlotsToOtherClasses) {
  for (std::uint16_t Port = 1; Port <= 10; ++Port) {
    this->hold(Port, {}, 1);
    this->hold(static_cast<std::uint16_t>(Port + 100), {}, 2);
  }
  int LessUrgent = 0;
  for (int I = 0; I < 10; ++I) {
    LessUrgent += this->next(Slots) > 100 ? 1 : 0;
  }
  EXPECT_EQ(LessUrgent, 2);
}

TEST_F(OpeningQueueTest, OldestLateOpeningGoesFirst) {
  this->hold(1, milliseconds(200));
  this->hold(2, milliseconds(600));
  EXPECT_EQ(this->next(0), 2);
  EXPECT_EQ(this->next(0), 1);
}

// Guards against long queues inside the upstream, where newer requests cannot
// overtake older ones.
TEST_F(OpeningQueueTest, NothingIsServedWithoutRoom) {
  this->hold(1);
  EXPECT_EQ(this->next(Slots + UpstreamQueueLimit), 0);
  EXPECT_TRUE(this->Queue.contains({flowOf(1), 1}));
  EXPECT_FALSE(this->Queue.contains({flowOf(1), 2}));
}

TEST_F(OpeningQueueTest, OpeningExpiresWhenItsCallerCannotBeServed) {
  this->hold(1);
  this->hold(2, milliseconds(600));
  EXPECT_FALSE(this->Queue.takeExpired(this->Now).has_value());
  this->Now += milliseconds(600);
  const auto Expired = this->Queue.takeExpired(this->Now);
  ASSERT_TRUE(Expired.has_value());
  EXPECT_EQ(Expired->Flow.Key, flowOf(2));
  EXPECT_FALSE(this->Queue.takeExpired(this->Now).has_value());
}

} // namespace
} // namespace mulberryhoist
