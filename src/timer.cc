#include "mulberryhoist/timer.h"

#include <algorithm>
#include <utility>

namespace mulberryhoist {

std::optional<Duration> PauseDetector::observe(Instant Now) {
  const std::optional<Instant> Previous =
      std::exchange(this->LastIteration, Now);
  if (!Previous || Now - *Previous <= PauseThreshold) {
    return std::nullopt;
  }
  return Now - *Previous;
}

void TimerService::subscribe(Duration Period, Instant Now, Callback Call) {
  this->Subscriptions.push_back({Period, Now + Period, std::move(Call)});
}

void TimerService::advance(Instant Now) {
  // A callback can add subscriptions. They are not due yet, so the loop skips
  // them; adding them can reallocate the vector, so the callback is moved out
  // before the call.
  const std::size_t Count = this->Subscriptions.size();
  for (std::size_t I = 0; I < Count; ++I) {
    Subscription &Entry = this->Subscriptions[I];
    if (Entry.Due > Now) {
      continue;
    }
    Entry.Due += Entry.Period;
    if (Entry.Due <= Now) {
      Entry.Due = Now + Entry.Period;
    }
    Callback Call = std::move(Entry.Call);
    Call(Now);
    this->Subscriptions[I].Call = std::move(Call);
  }
}

std::optional<Instant> TimerService::nextDue() const {
  const auto First =
      std::min_element(this->Subscriptions.begin(), this->Subscriptions.end(),
                       [](const Subscription &A, const Subscription &B) {
                         return A.Due < B.Due;
                       });
  if (First == this->Subscriptions.end()) {
    return std::nullopt;
  }
  return First->Due;
}

} // namespace mulberryhoist
