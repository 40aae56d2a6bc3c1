#include "mulberryhoist/timer.h"

#include <gtest/gtest.h>

namespace mulberryhoist {
namespace {

using std::chrono::milliseconds;

constexpr Instant Start{};

// Guards against a process that uses outdated cached state after it was frozen,
// and against a normal loop iteration that discards valid state.
TEST(PauseDetectorTest, ReportsOnlyGapsAboveThreshold) {
  PauseDetector Detector;
  EXPECT_FALSE(Detector.observe(Start + milliseconds(900)));
  EXPECT_FALSE(Detector.observe(Start + milliseconds(1400)));
  EXPECT_EQ(Detector.observe(Start + milliseconds(1901)), milliseconds(501));
  EXPECT_FALSE(Detector.observe(Start + milliseconds(1902)));
}

// Guards against calls that are early, missing, or repeated after a delay.
TEST(TimerServiceTest, CallsOncePerPeriodHoweverLate) {
  TimerService Timers;
  EXPECT_FALSE(Timers.nextDue());
  int Calls = 0;
  Timers.subscribe(milliseconds(10), Start, [&](Instant) { ++Calls; });
  Timers.advance(Start + milliseconds(9));
  EXPECT_EQ(Calls, 0);
  Timers.advance(Start + milliseconds(12));
  EXPECT_EQ(Calls, 1);
  EXPECT_EQ(Timers.nextDue(), Start + milliseconds(20));
  Timers.advance(Start + milliseconds(95));
  EXPECT_EQ(Calls, 2);
  EXPECT_EQ(Timers.nextDue(), Start + milliseconds(105));
}

// Guards against a subscription from within a callback that destroys the
// running callback or is called immediately.
TEST(TimerServiceTest, CallbackCanSubscribe) {
  TimerService Timers;
  int Outer = 0;
  int Inner = 0;
  Timers.subscribe(milliseconds(1), Start, [&](Instant Now) {
    for (int I = 0; I < 100; ++I) {
      Timers.subscribe(milliseconds(1), Now, [&](Instant) { ++Inner; });
    }
    ++Outer;
  });
  Timers.advance(Start + milliseconds(1));
  EXPECT_EQ(Outer, 1);
  EXPECT_EQ(Inner, 0);
  Timers.advance(Start + milliseconds(2));
  EXPECT_EQ(Outer, 2);
  EXPECT_EQ(Inner, 100);
}

} // namespace
} // namespace mulberryhoist
