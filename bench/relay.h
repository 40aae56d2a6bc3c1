/// \file
/// Spreads table changes over a fleet of replicas in simulated time.

#ifndef MULBERRYHOIST_BENCH_RELAY_H
#define MULBERRYHOIST_BENCH_RELAY_H

#include <cstddef>
#include <cstdint>

#include "mulberryhoist/types.h"

namespace mulberryhoist::bench {

/// How processes get the table.
enum class Distribution : std::uint8_t {
  RowChanges,     ///< The product: readers watch, row changes are relayed.
  EverybodyReads, ///< Every process watches and reads the whole table.
};

/// What is run.
struct RelaySpec {
  Distribution How = Distribution::RowChanges;
  std::size_t BalancersPerZone = 15;
  std::size_t AgentsPerZone = 22;
  std::size_t Zones = 8;
  std::size_t Rows = 1000;
  unsigned Changes = 8;
  /// 5,600 changes a day.
  Duration ChangePeriod = std::chrono::milliseconds(15'430);
  /// Every second reader has no answer from the configuration service.
  bool HalfCutOff = true;
  /// After the warm-up every reader loses the configuration service at once.
  bool AllCutOffLater = false;
  std::uint64_t Seed = 1;
};

/// What was seen.
struct RelayResult {
  std::size_t Processes = 0;
  /// Of all processes and changes.
  double SlowestSeconds = 0;
  double MeanSlowestSeconds = 0;
  /// Changes that some process did not have before the next.
  unsigned Incomplete = 0;
  /// Sent and received for each process, with 40 bytes of headers a message.
  double BytesPerSecond = 0;
  /// The part of it that calls of the configuration service take.
  double ReadBytesPerSecond = 0;
  double BusiestBytesPerSecond = 0;
  double CallsPerSecond = 0;
  /// The part of them that readers make.
  double ReaderCallsPerSecond = 0;
  /// The largest number of calls in one second after the warm-up.
  double PeakCallsPerSecond = 0;
};

/// Publishes changes and waits until they are in force everywhere.
RelayResult runRelay(const RelaySpec &Spec);

} // namespace mulberryhoist::bench

#endif // MULBERRYHOIST_BENCH_RELAY_H
