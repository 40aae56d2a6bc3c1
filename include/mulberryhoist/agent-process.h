/// \file
/// The agent process: its settings, duties, administration API and shutdown.

#ifndef MULBERRYHOIST_AGENT_PROCESS_H
#define MULBERRYHOIST_AGENT_PROCESS_H

#include <atomic>
#include <memory>
#include <prometheus/registry.h>
#include <span>
#include <string>
#include <vector>

#include "mulberryhoist/agent-data.h"
#include "mulberryhoist/agent-metrics.h"
#include "mulberryhoist/process.h"

namespace mulberryhoist {

/// Settings of the agent process.
struct AgentProcessSettings : ProcessSettings {
  AgentDataSettings Data;
  std::vector<std::string> Services;
};

/// Returns the flags and environment variables of an agent.
std::span<const SettingSpec> agentSettingSpecs();

/// Reads the settings of an agent from parsed flags.
Result<AgentProcessSettings> readAgentSettings(const Settings &Parsed);

/// The number of flows that a shutdown waited for or cut.
struct StopReport {
  /// Flows that ended during the drain.
  std::uint64_t Ended = 0;
  /// Flows cut at the drain deadline or still open at exit.
  std::uint64_t Cut = 0;
};

/// An agent: document feed, data duty, administration API and metrics.
class AgentProcess {
public:
  using SettingsType = AgentProcessSettings;

  /// Binds all sockets, so that an invalid address is reported at start.
  static Result<std::unique_ptr<AgentProcess>>
  create(AgentProcessSettings Settings);

  /// Serves until SIGTERM, then drains until all flows have ended or the drain
  /// deadline has passed; `blockSignals` must have been called.
  Result<StopReport> run();

  /// Returns the address that balancers and other agents send to.
  Endpoint dataAddress() const { return this->Data->address(); }

  /// Returns the address of the administration API.
  Endpoint adminAddress() const { return this->Admin.address(); }

private:
  AgentProcess(AgentProcessSettings Settings, DocumentFeed Feed,
               AdminServer Admin);

  std::vector<Duty> duties();
  void handlePaths();
  Result<void> reportUntil(const std::stop_token &Stop);
  StopReport drain();
  std::string dump() const;
  ProcessIdentity identity() const;
  std::vector<DutyStatus> dutyStatus() const;
  /// Returns one sentence for each condition that degrades the agent.
  std::vector<std::string> problems() const;

  AdminAnswer respondToHealth() const;
  AdminAnswer respondToExplain(const AdminQuery &Query);
  AdminAnswer respondToDrain() const;

  AgentProcessSettings Settings;
  DocumentFeed Feed;
  AdminServer Admin;
  std::shared_ptr<prometheus::Registry> Registry =
      std::make_shared<prometheus::Registry>();
  AgentMetrics Metrics{*Registry};
  std::unique_ptr<AgentData> Data;
  Instant StartedAt = std::chrono::steady_clock::now();
  /// Null unless the duties run; read by the administration thread.
  std::atomic<const Supervisor *> Running{nullptr};
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_AGENT_PROCESS_H
