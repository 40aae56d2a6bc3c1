/// \file
/// The agent process: its settings, duties, administration API and stop.

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

/// The settings of an agent.
struct AgentProcessSettings : ProcessSettings {
  AgentDataSettings Data;
  std::vector<std::string> Services;
};

/// The flags and environment variables of an agent.
std::span<const SettingSpec> agentSettingSpecs();

/// Reads the settings of an agent from parsed flags.
Result<AgentProcessSettings> readAgentSettings(const Settings &Parsed);

/// How a stop went.
struct StopReport {
  std::uint64_t Ended = 0;
  std::uint64_t Cut = 0;
};

/// A whole agent.
class AgentProcess {
public:
  using SettingsType = AgentProcessSettings;

  /// Opens all sockets, so that a wrong address is reported at start.
  static Result<std::unique_ptr<AgentProcess>>
  create(AgentProcessSettings Settings);

  /// Serves until SIGTERM and then until the flows have ended or the drain
  /// deadline is over; `blockSignals` must have been called.
  Result<StopReport> run();

  /// The address for balancers and agents.
  Endpoint dataAddress() const { return this->Data->address(); }

  /// The address of the administration API.
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
  /// One sentence for each thing that is not as it should be.
  std::vector<std::string> problems() const;

  AdminAnswer answerHealth() const;
  AdminAnswer answerExplain(const AdminQuery &Query);
  AdminAnswer answerDrain() const;

  AgentProcessSettings Settings;
  DocumentFeed Feed;
  AdminServer Admin;
  std::shared_ptr<prometheus::Registry> Registry =
      std::make_shared<prometheus::Registry>();
  AgentMetrics Metrics{*Registry};
  std::unique_ptr<AgentData> Data;
  Instant StartedAt = std::chrono::steady_clock::now();
  /// Set while the duties run; read by the admin thread.
  std::atomic<const Supervisor *> Running{nullptr};
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_AGENT_PROCESS_H
