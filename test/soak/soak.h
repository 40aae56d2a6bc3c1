/// \file
/// The soak: real programs as separate processes on loopback addresses, faults
/// from outside, and promises judged from what callers and upstreams see.

#ifndef MULBERRYHOIST_TEST_SOAK_SOAK_H
#define MULBERRYHOIST_TEST_SOAK_SOAK_H

#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

#include "mulberryhoist/types.h"

namespace mulberryhoist::soak {

/// One run of the soak.
struct SoakSettings {
  /// Decides which faults come when.
  std::uint64_t Seed = 1;
  /// How long faults come; a calm time follows.
  Duration Faults = std::chrono::seconds(6);
  /// Without faults the run shows that a calm installation serves everything.
  bool HasFaults = true;
  /// Whether the store comes back from an older copy, as one of the faults.
  bool HasReturns = false;
  std::size_t Balancers = 3;
  std::size_t Upstreams = 5;
  /// Where the programs were built.
  std::filesystem::path Programs;
};

/// What a run showed.
struct SoakReport {
  /// Broken promises; empty if all were kept.
  std::vector<std::string> Violations;
  /// The faults in their order, to read a failed run.
  std::vector<std::string> Faults;
  /// How often the store came back from an older copy.
  std::size_t Returns = 0;
  std::size_t Served = 0;
  std::size_t Refused = 0;
  std::size_t Reset = 0;
  std::size_t Expired = 0;
  /// The share of the requests in the calm time that were served.
  double CalmShare = 0;
};

/// The least share of requests that is served once faults have ended; the rest
/// allows for what callers of one machine lose by themselves.
inline constexpr double LeastCalmShare = 0.99;

/// Runs the programs under faults and reports.
Result<SoakReport> runSoak(const SoakSettings &Settings);

} // namespace mulberryhoist::soak

#endif // MULBERRYHOIST_TEST_SOAK_SOAK_H
