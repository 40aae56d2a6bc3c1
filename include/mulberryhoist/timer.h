/// \file
/// Periodic timers driven by one thread, and the detection of process pauses.

#ifndef MULBERRYHOIST_TIMER_H
#define MULBERRYHOIST_TIMER_H

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "mulberryhoist/types.h"

namespace mulberryhoist {

/// A longer gap between two iterations of an event loop counts as a pause of
/// the process.
inline constexpr Duration PauseThreshold = std::chrono::milliseconds(500);

/// Detects that the process did not run for some time, for example because it
/// was frozen, so that its cached state may be outdated.
class PauseDetector {
public:
  /// Records an iteration of the event loop; returns the time since the
  /// previous one if it exceeds `PauseThreshold`.
  std::optional<Duration> observe(Instant Now);

private:
  std::optional<Instant> LastIteration;
};

/// Calls each subscriber once per period; driven by one thread, which calls
/// `advance` and sleeps until `nextDue`.
class TimerService {
public:
  /// Called with the current time.
  using Callback = std::function<void(Instant)>;

  /// Registers a callback; the first call is due one period after `Now`.
  void subscribe(Duration Period, Instant Now, Callback Call);

  /// Calls the subscribers that are due, each at most once even if several of
  /// its periods have passed.
  void advance(Instant Now);

  /// Returns the time when the next subscriber is due, if there is any.
  std::optional<Instant> nextDue() const;

private:
  struct Subscription {
    Duration Period;
    Instant Due;
    Callback Call;
  };

  std::vector<Subscription> Subscriptions;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_TIMER_H
