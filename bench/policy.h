/// \file
/// Drives the decision logic of balancers and agents in simulated time, with
/// small fakes of callers and upstreams, to compare policies with baselines.
///
/// A run depends only on its specification and seed.

#ifndef MULBERRYHOIST_BENCH_POLICY_H
#define MULBERRYHOIST_BENCH_POLICY_H

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "mulberryhoist/types.h"

namespace mulberryhoist::bench {

/// How an opening gets its upstream.
enum class OpeningChoice : std::uint8_t {
  HashOnly,     ///< The first candidate, without any question.
  TwoByReports, ///< The less loaded of two by reports that are 3 s old.
  LeastLoaded,  ///< The product: the coordinator asks others for their own
                ///< count.
};

/// One kind of work, with its own service unless shares are off.
struct WorkSpec {
  std::string Name;
  std::uint8_t Class = 0;
  std::uint32_t Share = 1;
  /// Offered load as a part of the capacity of all upstreams.
  double Load = 0;
  /// Mean time that a request takes at speed 1; exponentially distributed.
  Duration MeanRequest = std::chrono::milliseconds(100);
};

/// What is run.
struct FleetSpec {
  OpeningChoice Choice = OpeningChoice::LeastLoaded;
  /// One entry for each upstream; 1 is the usual speed.
  std::vector<double> Speeds = std::vector<double>(7, 1.0);
  std::vector<WorkSpec> Work;
  /// False: all work shares one service and one queue, first come first served.
  bool Shares = true;
  /// Openings before this time are not measured.
  Duration WarmUp = std::chrono::seconds(5);
  /// When callers stop to open flows.
  Duration Length = std::chrono::seconds(60);
  /// When the agent of the first upstream is asked to terminate; 0 for never.
  Duration TerminateAt = Duration::zero();
  std::uint64_t Seed = 1;
};

/// What became of one kind of work.
struct WorkResult {
  std::uint64_t Offered = 0;
  std::uint64_t Served = 0;
  std::uint64_t Refused = 0;
  /// Openings without any answer.
  std::uint64_t Unanswered = 0;
  /// Accepted flows that did not get their answer.
  std::uint64_t Broken = 0;
  /// Requests that ran more than once.
  std::uint64_t RunTwice = 0;
  /// Waits from the arrival at the coordinator until the start, in mean request
  /// times.
  double MeanWait = 0;
  double P99Wait = 0;
};

/// What was seen in a run.
struct FleetResult {
  std::vector<WorkResult> Work;
  /// Time-mean of the largest by the mean, over upstreams of equal weight.
  double BusyImbalance = 0;
  /// The same for busy slots and queued openings together.
  double ActiveImbalance = 0;
  /// Datagrams between agents for each measured opening.
  double MessagesPerOpening = 0;
  /// Since the request to terminate: the last start of a request at the agent,
  /// the last opening that a balancer sent to it, and the end of its drain.
  double LastStartSeconds = 0;
  double LastOpeningSeconds = 0;
  double DrainedSeconds = 0;
};

/// Runs a fleet.
FleetResult runFleet(const FleetSpec &Spec);

} // namespace mulberryhoist::bench

#endif // MULBERRYHOIST_BENCH_POLICY_H
