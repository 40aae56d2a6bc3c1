/// \file
/// Estimates how long an upstream works on one request, from what the agent
/// beside it sees.

#ifndef MULBERRYHOIST_SERVICE_TIME_H
#define MULBERRYHOIST_SERVICE_TIME_H

#include <chrono>
#include <cstdint>
#include <optional>

#include "mulberryhoist/types.h"

namespace mulberryhoist {

/// The estimate before anything was measured: work of 30 ms on an upstream that
/// started just now and takes 1.6 times as long.
inline constexpr Duration InitialServiceTime = std::chrono::milliseconds(48);

/// How little one measured request changes the estimate; the work of requests
/// varies by half of its mean.
inline constexpr int ServiceTimeWeight = 12;

/// Longer times are no work but broken requests.
inline constexpr Duration LongestServiceTime = std::chrono::seconds(2);

/// A moving mean of the time that a request takes in its slot.
class ServiceTime {
public:
  Duration mean() const { return this->Mean; }

  /// A request that found a free slot was answered after `Spent`.
  void addUnqueued(Duration Spent) { this->add(Spent); }

  /// A request was answered; `Load` counts it and those behind it. While all
  /// slots are busy, the time between two answers is the work of one request
  /// divided by the slots.
  void addAnswer(std::uint32_t Load, std::uint32_t Slots, Instant Now) {
    const bool IsSaturated = Load > Slots;
    if (IsSaturated && this->SaturatedAnswer) {
      this->add((Now - *this->SaturatedAnswer) * Slots);
    }
    this->SaturatedAnswer = IsSaturated ? std::optional(Now) : std::nullopt;
  }

  /// How long a request takes that arrives when `Load` are at the upstream.
  Duration expected(std::uint32_t Load, std::uint32_t Slots) const {
    const std::uint32_t Ahead = Load < Slots ? 0 : Load + 1 - Slots;
    return this->Mean + this->Mean * Ahead / Slots;
  }

private:
  void add(Duration Sample) {
    if (Sample < LongestServiceTime) {
      this->Mean += (Sample - this->Mean) / ServiceTimeWeight;
    }
  }

  Duration Mean = InitialServiceTime;
  /// The last answer, if all slots stayed busy after it.
  std::optional<Instant> SaturatedAnswer;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_SERVICE_TIME_H
