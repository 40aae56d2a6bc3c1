/// \file
/// The limit on the requests that a cold upstream gets.

#ifndef MULBERRYHOIST_COLD_LIMIT_H
#define MULBERRYHOIST_COLD_LIMIT_H

#include <chrono>
#include <cstdint>
#include <deque>

#include "mulberryhoist/types.h"

namespace mulberryhoist {

/// The window of the limit: a second, and an allowance for requests that wait
/// on their way to the upstream and arrive closer together than they were sent.
inline constexpr Duration ColdWindow = std::chrono::milliseconds(1050);

/// The largest limit of a message, in requests per second; bounds memory at 8
/// bytes for each request.
inline constexpr std::uint32_t MaxColdLimit = 10'000;

/// Decides whether a cold upstream may get another request. The window slides
/// over the exact times of the requests, so that two bursts never meet at the
/// border of two periods.
class ColdLimit {
public:
  /// Requests before `StartedAt` are not known; the window counts as full until
  /// they have left it.
  explicit ColdLimit(Instant StartedAt) : KnownSince(StartedAt) {}

  /// Applies what a message says: the upstream stays cold for `Left` and bears
  /// `Limit` requests in any second. A limit of 0 is none. The longest time
  /// that a message has given holds, since some are older than others.
  void onMessage(std::uint32_t Limit, Duration Left, Instant Now);

  /// Returns whether the upstream may get another request.
  bool admits(Instant Now);

  /// Returns how long a request waits if `Ahead` others go before it, and no
  /// more than they count meanwhile.
  Duration delay(std::size_t Ahead, Instant Now);

  /// Counts a request that is sent to the upstream, admitted or not.
  void count(Instant Now);

  /// Returns whether the limit applies.
  bool isCold(Instant Now) const { return Now < this->ColdUntil; }

  /// Forgets that the upstream is cold: another one has replaced it.
  void reset() { this->ColdUntil = Instant(); }

private:
  void forgetOld(Instant Now);

  Instant KnownSince;
  Instant ColdUntil;
  std::uint32_t Limit = 0;
  /// The times of the requests in the window, oldest first.
  std::deque<Instant> Requests;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_COLD_LIMIT_H
