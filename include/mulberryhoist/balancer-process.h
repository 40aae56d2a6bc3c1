/// \file
/// The balancer process: its settings, duties, administration API and stop.

#ifndef MULBERRYHOIST_BALANCER_PROCESS_H
#define MULBERRYHOIST_BALANCER_PROCESS_H

#include <atomic>
#include <memory>
#include <optional>
#include <prometheus/registry.h>
#include <span>
#include <string>
#include <vector>

#include "mulberryhoist/balancer-data.h"
#include "mulberryhoist/process.h"

namespace mulberryhoist {

/// The settings of a balancer.
struct BalancerSettings : ProcessSettings {
  Endpoint Listen;
  Duration StopDeadline = std::chrono::seconds(30);
};

/// The flags and environment variables of a balancer.
std::span<const SettingSpec> balancerSettingSpecs();

/// Reads the settings of a balancer from parsed flags.
Result<BalancerSettings> readBalancerSettings(const Settings &Parsed);

/// Time without a packet after which a stopping balancer exits.
inline constexpr Duration QuietTimeBeforeExit = std::chrono::seconds(2);

/// Why a stopping balancer exits.
enum class StopReason : std::uint8_t {
  Quiet,    ///< No packet arrived for `QuietTimeBeforeExit`.
  Deadline, ///< Packets were still arriving at the stop deadline.
};

/// Returns the reason to exit now, or nothing if a stopping balancer must go on
/// forwarding.
std::optional<StopReason> stopReason(Instant StopAt, Instant LastPacket,
                                     Duration Deadline, Instant Now);

/// A balancer process.
class BalancerProcess {
public:
  using SettingsType = BalancerSettings;

  /// Opens all sockets, so that an unusable address is reported at start.
  static Result<std::unique_ptr<BalancerProcess>>
  create(BalancerSettings Settings);

  /// Serves until SIGTERM, then forwards packets until `stopReason` allows the
  /// exit; `blockSignals` must have been called.
  Result<StopReason> run();

  /// Returns the address for packets and probes.
  Endpoint dataAddress() const { return this->Data->address(); }

  /// Returns the address of the administration API.
  Endpoint adminAddress() const { return this->Admin.address(); }

private:
  BalancerProcess(BalancerSettings Settings, DocumentFeed Feed,
                  AdminServer Admin);

  std::vector<Duty> duties();
  void registerPaths();
  Result<void> runReports(const std::stop_token &Stop);
  void logInputErrors(ErrorLogLimiter &Limiter);
  StopReason waitUntilQuiet();
  std::string dump() const;
  ProcessIdentity identity() const;
  std::vector<DutyStatus> dutyStatus() const;
  /// Returns one sentence for each condition that degrades the process.
  std::vector<std::string> problems() const;

  AdminAnswer answerHealth() const;
  AdminAnswer answerExplain(const AdminQuery &Query) const;

  BalancerSettings Settings;
  DocumentFeed Feed;
  AdminServer Admin;
  std::shared_ptr<prometheus::Registry> Registry =
      std::make_shared<prometheus::Registry>();
  BalancerMetrics Metrics{*Registry};
  std::unique_ptr<BalancerData> Data;
  Instant StartedAt = std::chrono::steady_clock::now();
  /// Not null while the duties run; read by the admin thread.
  std::atomic<const Supervisor *> RunningDuties{nullptr};
  std::atomic<bool> Leaving{false};
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_BALANCER_PROCESS_H
