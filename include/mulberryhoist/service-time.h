/// \file
/// An estimate of an upstream's service time, from the requests and responses
/// that the agent beside it forwards.

#ifndef MULBERRYHOIST_SERVICE_TIME_H
#define MULBERRYHOIST_SERVICE_TIME_H

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>

#include "mulberryhoist/types.h"

namespace mulberryhoist {

/// The estimate before the first sample: a request of 30 ms on an upstream that
/// has just started and takes 1.6 times as long.
inline constexpr Duration InitialServiceTime = std::chrono::milliseconds(48);

/// Divisor of a sample's deviation from the mean when the mean is updated;
/// service times vary by half of their mean.
inline constexpr int ServiceTimeSmoothing = 12;

/// Longer samples come from broken requests and are ignored.
inline constexpr Duration MaxServiceTimeSample = std::chrono::seconds(2);

/// Bound of a sample as a multiple of the mean, so that one long request among
/// many does not make all others late; a change of speed is followed within
/// some ten samples all the same.
inline constexpr int MaxSampleFactor = 4;

/// An exponential moving average of the time that a request occupies a slot.
class ServiceTimeEstimate {
public:
  Duration mean() const { return this->Mean; }

  /// Adds the response time of a request that found a free slot.
  void addUnqueued(Duration Elapsed) { this->add(Elapsed); }

  /// Adds a response; `Load` counts its request and all others at the upstream.
  /// While all slots are busy, the time between two responses is the service
  /// time divided by the number of slots.
  void addResponse(std::uint32_t Load, std::uint32_t Slots, Instant Now) {
    const bool IsSaturated = Load > Slots;
    if (IsSaturated && this->LastSaturatedResponse) {
      this->add((Now - *this->LastSaturatedResponse) * Slots);
    }
    this->LastSaturatedResponse =
        IsSaturated ? std::optional(Now) : std::nullopt;
  }

  /// Returns the expected response time of a request that arrives while `Load`
  /// others are at the upstream.
  Duration expectedTime(std::uint32_t Load, std::uint32_t Slots) const {
    const std::uint32_t Ahead = Load < Slots ? 0 : Load + 1 - Slots;
    return this->Mean + this->Mean * Ahead / Slots;
  }

private:
  void add(Duration Sample) {
    if (Sample < MaxServiceTimeSample) {
      this->Mean +=
          (std::min(Sample, this->Mean * MaxSampleFactor) - this->Mean) /
          ServiceTimeSmoothing;
    }
  }

  Duration Mean = InitialServiceTime;
  /// When the last response came, if all slots stayed busy after it.
  std::optional<Instant> LastSaturatedResponse;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_SERVICE_TIME_H
