#include "mulberryhoist/opening-queue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

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

// Guards against openings that turn late although all could be served in time.
TEST_F(OpeningQueueTest, LeastTimeLeftGoesFirst) {
  this->hold(1, milliseconds(600));
  this->hold(2, milliseconds(20));
  this->hold(3);
  EXPECT_EQ(this->next(Slots), 2);
  EXPECT_EQ(this->next(Slots), 3);
  // A late opening is served only when a slot is free.
  EXPECT_EQ(this->next(Slots), 0);
  EXPECT_EQ(this->next(Slots - 1), 1);
  EXPECT_TRUE(this->Queue.empty());
}

// Guards against an overload in which all callers are served too late: as many
// meet their objective as if the newest went first.
TEST_F(OpeningQueueTest, OverloadStillServesCallersInTime) {
  int InTime = 0;
  for (std::uint16_t Port = 1; Port <= 200; ++Port) {
    this->hold(Port);
    this->Now += InitialServiceTime / Slots / 2;
    if (Port % 2 == 0) {
      const auto Next = this->Queue.takeNext(load(Slots), this->Now);
      ASSERT_TRUE(Next.has_value());
      const Duration Expected =
          load(Slots).ServiceTime.expectedTime(Slots, Slots);
      InTime +=
          this->Now - Next->StartedAt + Expected <= Next->Header.Goal ? 1 : 0;
    }
  }
  EXPECT_EQ(InTime, 100);
}

// Guards against an opening that is worth most for its slot time and is left
// out for one that needs more of it.
TEST_F(OpeningQueueTest, LeavesOutTheLeastWorthForItsSlotTime) {
  for (std::uint16_t Port = 1; Port <= 4; ++Port) {
    this->hold(Port);
  }
  HeldOpening Long;
  Long.Flow = {flowOf(99), 99};
  Long.Header = header(milliseconds(200), milliseconds(400));
  Long.StartedAt = this->Now - milliseconds(5);
  Long.ExpiresAt = Long.StartedAt + holdLimit(Long.Header, load(Slots));
  Long.WorkFactor = 6;
  this->Queue.hold(std::move(Long));
  this->hold(13);
  EXPECT_EQ(this->next(Slots), 1);
  // It can't be served in time behind the others, and is refused at once.
  const auto Refused = this->Queue.takeUnservable(load(Slots), this->Now);
  ASSERT_TRUE(Refused.has_value());
  EXPECT_EQ(Refused->Flow.Initial, 99U);
  EXPECT_FALSE(this->Queue.takeUnservable(load(Slots), this->Now).has_value());
}

// Guards against openings that are taken after their callers have given them
// up, and against a queue that such openings fill.
TEST_F(OpeningQueueTest, NothingIsHeldBeyondTheLifeOfAnOpening) {
  const Steer Patient = header(milliseconds(800), milliseconds(6000));
  EXPECT_LT(holdLimit(Patient, load(Slots)), OpeningLifetime);
  EXPECT_EQ(
      this->Queue.place(Patient, milliseconds(1350), load(Slots), this->Now),
      Placement::Refuse);
}

// Guards against a class that gets no slots, whatever the others send.
RC_GTEST_FIXTURE_PROP(OpeningQueueTest, NoClassStarves, ()) {
  std::array<std::uint32_t, 4> Held = {};
  std::array<std::uint32_t, 4> Waiting = {};
  std::uint16_t Port = 0;
  for (int I = 0; I < 200; ++I) {
    const auto Arrivals = *rc::gen::inRange(0, 4);
    for (int J = 0; J < Arrivals; ++J) {
      const auto Class = *rc::gen::inRange(0U, 4U);
      this->hold(++Port, milliseconds(*rc::gen::inRange(0, 600)), Class);
      ++Held.at(Class);
    }
    const auto Next = this->Queue.takeNext(load(Slots - 1), this->Now);
    if (Next) {
      --Held.at(Next->Header.Class);
    }
    for (std::uint32_t Class = 0; Class < 4; ++Class) {
      const bool Passed =
          Held.at(Class) != 0 && Next && Next->Header.Class != Class;
      Waiting.at(Class) = Passed ? Waiting.at(Class) + 1 : 0;
      RC_ASSERT(Waiting.at(Class) < MaxPassedOver + 3);
    }
    this->Now += milliseconds(1);
  }
}

// Guards against urgent requests that wait behind a flood of less urgent ones.
TEST_F(OpeningQueueTest, UrgentOpeningsGoFirst) {
  this->hold(1, {}, 1);
  this->hold(2, {}, 2);
  this->hold(3, {}, 1);
  this->hold(4, {}, 2);
  for (const std::uint16_t Expected : {1, 3, 2, 4}) {
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
