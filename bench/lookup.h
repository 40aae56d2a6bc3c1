/// \file
/// Counts what it costs to find the owners of flows whose coordinator has
/// changed.

#ifndef MULBERRYHOIST_BENCH_LOOKUP_H
#define MULBERRYHOIST_BENCH_LOOKUP_H

#include <cstddef>
#include <cstdint>

namespace mulberryhoist::bench {

/// Which flows send a packet after each table change.
struct LookupSpec {
  std::size_t Flows = 2000;
  std::size_t Upstreams = 7;
  unsigned Changes = 1;
  /// Every how many flows one is active; the others send nothing.
  std::size_t ActiveEvery = 1;
  std::uint64_t Seed = 1;
};

/// What was counted.
struct LookupResult {
  /// Flows whose coordinator was not their owner after some change.
  std::uint64_t Displaced = 0;
  std::uint64_t LocateMessages = 0;
  /// Bytes of `Locate` and its replies with IP and UDP headers.
  std::uint64_t LocateBytes = 0;
  /// Packets that did not reach the upstream of their flow.
  std::uint64_t Lost = 0;
  /// What it would cost that owners register flows at each new coordinator.
  std::uint64_t RegisterMessages = 0;
  std::uint64_t RegisterBytes = 0;
};

/// Opens flows, changes weights and sends packets of the active flows.
LookupResult runLookup(const LookupSpec &Spec);

} // namespace mulberryhoist::bench

#endif // MULBERRYHOIST_BENCH_LOOKUP_H
