/// \file
/// The metrics of an agent.

#ifndef MULBERRYHOIST_AGENT_METRICS_H
#define MULBERRYHOIST_AGENT_METRICS_H

#include <memory>
#include <prometheus/registry.h>

#include "mulberryhoist/agent-data.h"
#include "mulberryhoist/documents.h"

namespace mulberryhoist {

/// Exports the counters of the duties as metrics; the registry must outlive it.
class AgentMetrics {
public:
  explicit AgentMetrics(prometheus::Registry &Metrics);
  ~AgentMetrics();
  AgentMetrics(const AgentMetrics &) = delete;
  AgentMetrics &operator=(const AgentMetrics &) = delete;

  /// Updates the metrics; must be called from one thread only.
  void update(const AgentView &View, const AgentDataCounters &Counters,
              const DocumentStatus &Documents);

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_AGENT_METRICS_H
