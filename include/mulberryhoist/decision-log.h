/// \file
/// The log of decisions on the steered path, with a limited rate, and their
/// counters.

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

/// The kind of a log line, which determines its rate limit.
enum class LineKind : std::uint8_t {
  StateChange, ///< The state of a peer or the process changed; not limited.
  Outcome,     ///< The outcome of an opening or a flow.
  Step,        ///< A hop or retry; many for one flow when upstreams are busy.
};

/// Maximum number of lines about outcomes that a process writes per second:
/// three times the flows of a balancer.
inline constexpr std::uint32_t OutcomeLinesPerSecond = 200;

/// Maximum number of lines about steps that a process writes per second;
/// limited separately, so that they do not use up the lines of outcomes.
inline constexpr std::uint32_t StepLinesPerSecond = 100;

/// Returns the kind of the line that a decision is logged with.
LineKind lineKind(Decision Kind);

/// Writes a log line and increments a counter for each decision; not
/// thread-safe.
class DecisionLog {
public:
  /// The registry must outlive the log. `LatencyName` names the histogram.
  DecisionLog(prometheus::Registry &Metrics, const std::string &LatencyName,
              const std::string &LatencyHelp);

  /// Logs and counts a decision that was made with this configuration version.
  void record(const RecordDecision &Each, std::uint64_t Version, Instant Now);

  /// Adds a duration to the latency histogram.
  void observe(Duration Value);

private:
  /// Counts a line about a flow and returns true if its rate limit permits it;
  /// starts a new one-second window if the last one has ended.
  bool consumeLine(LineKind Kind, Instant Now);

  std::array<prometheus::Counter *, DecisionCount> Counters = {};
  prometheus::Histogram &Latency;
  Instant WindowEnd;
  std::uint32_t OutcomeLines = 0;
  std::uint32_t StepLines = 0;
  std::uint64_t Suppressed = 0;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_DECISION_LOG_H
