/// \file
/// The timer service: parts subscribe to a period, one thread drives them.

#ifndef MULBERRYHOIST_TIMER_H
#define MULBERRYHOIST_TIMER_H

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "mulberryhoist/types.h"

namespace mulberryhoist {

/// A gap between two turns of a thread that counts as a pause of the process.
inline constexpr Duration PauseThreshold = std::chrono::milliseconds(500);

/// Detects that the process did not run for a while, for example because it was
/// frozen, so that its view may be old.
class PauseDetector {
public:
  /// Records a turn of the thread; returns the gap if it was a pause.
  std::optional<Duration> observe(Instant Now);

private:
  std::optional<Instant> Last;
};

/// Calls subscribers when their period has passed; driven by one thread that
/// calls `advance` and sleeps until `nextDue`.
class TimerService {
public:
  /// Called with the current time.
  using Callback = std::function<void(Instant)>;

  /// Subscribes to a period; the first call comes one period after `Now`.
  void subscribe(Duration Period, Instant Now, Callback Call);

  /// Calls what is due, each subscriber at most once however late it is.
  void advance(Instant Now);

  /// When the next subscriber is due, if there is one.
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
