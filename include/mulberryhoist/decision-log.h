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

/// What a line tells, and so which bound it has.
enum class LineKind : std::uint8_t {
  Belief,  ///< Changes what the process believes; rare and always written.
  Outcome, ///< What became of an opening or a flow.
  Step,    ///< A hop on the way; many for one flow when upstreams are busy.
};

/// How many lines about outcomes a process writes a second. Thrice the flows of
/// a balancer today.
inline constexpr std::uint32_t OutcomeLinesPerSecond = 200;

/// How many lines about steps a process writes a second; they must not use up
/// the lines of outcomes.
inline constexpr std::uint32_t StepLinesPerSecond = 100;

LineKind lineKind(Decision Kind);

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
  /// True if a line about a flow may be written; begins a new second if it is
  /// due.
  bool spend(LineKind Kind, Instant Now);

  std::array<prometheus::Counter *, DecisionCount> Counters = {};
  prometheus::Histogram &Latency;
  Instant SecondEnds;
  std::uint32_t SpentOutcomes = 0;
  std::uint32_t SpentSteps = 0;
  std::uint64_t Suppressed = 0;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_DECISION_LOG_H
