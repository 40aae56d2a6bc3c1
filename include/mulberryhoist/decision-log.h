/// \file
/// Logs and counts the decisions of the steered path, at a bounded rate.

#ifndef MULBERRYHOIST_DECISION_LOG_H
#define MULBERRYHOIST_DECISION_LOG_H

#include <array>
#include <cstdint>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

#include "mulberryhoist/metrics.h"
#include "mulberryhoist/steer-actions.h"

namespace mulberryhoist {

/// How many lines about flows a process writes a second; beliefs are always
/// written, since they change rarely. Thrice the flows of a balancer today.
inline constexpr std::uint32_t FlowLinesPerSecond = 200;

/// True for a decision about one flow, false for one that changes a belief.
bool concernsFlow(Decision What);

/// Writes a line and raises a counter for each decision; for one thread.
class DecisionLog {
public:
  /// The registry must outlive the log. `LatencyName` names the histogram.
  DecisionLog(prometheus::Registry &Metrics, const std::string &LatencyName,
              const std::string &LatencyHelp);

  /// Records a decision that was made with this version of the configuration.
  void record(const RecordDecision &Each, std::uint64_t Version, Instant Now);

  /// Adds a measured time to the histogram.
  void observe(Duration Value);

private:
  /// True if the line may be written; begins a new second if it is due.
  bool spend(Instant Now);

  std::array<prometheus::Counter *, DecisionCount> Counters = {};
  prometheus::Histogram &Latency;
  Instant SecondEnds;
  std::uint32_t Spent = 0;
  std::uint64_t Suppressed = 0;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_DECISION_LOG_H
