/// \file
/// What requests of each route need of an upstream, as the agent beside it sees
/// it.

#ifndef MULBERRYHOIST_ADMISSION_ROUTE_WORK_H
#define MULBERRYHOIST_ADMISSION_ROUTE_WORK_H

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "mulberryhoist/service-time.h"

namespace mulberryhoist {

/// Maximum number of routes with an estimate of their own; requests of further
/// routes count as average ones.
inline constexpr std::size_t MaxMeasuredRoutes = 16;

/// Divisor of a sample's deviation when the work of a route is updated; work
/// relative to other routes changes more slowly than the speed of an upstream.
inline constexpr int RouteWorkSmoothing = 32;

/// The work of one route.
struct RouteWork {
  Endpoint Route;
  /// The time in the slot, as a multiple of the mean over all routes.
  double Factor = 1;
};

/// The estimates of one upstream.
class RouteWorkEstimates {
public:
  /// Returns the expected time in the slot of a request of the route, as a
  /// multiple of the mean over all routes.
  double factor(Endpoint Route) const {
    const auto Found =
        std::ranges::find(this->Routes, Route, &RouteWork::Route);
    return Found == this->Routes.end() ? 1 : Found->Factor;
  }

  /// Adds the time in the slot of a request that found a free one; `Mean` is
  /// the mean over all routes. The upstream's speed affects both alike.
  void addSlotTime(Endpoint Route, Duration Elapsed, Duration Mean) {
    RouteWork *Work = this->findOrAdd(Route);
    if (Work == nullptr || Mean.count() <= 0 ||
        Elapsed >= MaxServiceTimeSample) {
      return;
    }
    const double Sample = std::min(
        std::chrono::duration<double>(Elapsed) / Mean, double{MaxSampleFactor});
    Work->Factor += (Sample - Work->Factor) / RouteWorkSmoothing;
  }

  const std::vector<RouteWork> &all() const { return this->Routes; }

private:
  RouteWork *findOrAdd(Endpoint Route) {
    const auto Found =
        std::ranges::find(this->Routes, Route, &RouteWork::Route);
    if (Found != this->Routes.end()) {
      return &*Found;
    }
    if (this->Routes.size() == MaxMeasuredRoutes) {
      return nullptr;
    }
    return &this->Routes.emplace_back(RouteWork{Route, 1});
  }

  std::vector<RouteWork> Routes;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_ADMISSION_ROUTE_WORK_H
