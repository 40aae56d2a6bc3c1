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
inline constexpr Duration QuietBeforeExit = std::chrono::seconds(2);

/// Why a stopping balancer exits.
enum class StopReason : std::uint8_t {
  Quiet,    ///< No packet came for `QuietBeforeExit`.
  Deadline, ///< Packets kept coming until the stop deadline.
};

/// Decides whether a stopping balancer may exit now.
std::optional<StopReason> stopReason(Instant StopAt, Instant LastPacket,
                                     Duration Deadline, Instant Now);

/// A whole balancer.
class BalancerProcess {
public:
  using SettingsType = BalancerSettings;

  /// Opens all sockets, so that a wrong address is reported at start.
  static Result<std::unique_ptr<BalancerProcess>>
  create(BalancerSettings Settings);

  /// Serves until SIGTERM and then until it may exit; `blockSignals` must have
  /// been called.
  Result<StopReason> run();

  /// The address for packets and probes.
  Endpoint dataAddress() const { return this->Data->address(); }

  /// The address of the administration API.
  Endpoint adminAddress() const { return this->Admin.address(); }

private:
  BalancerProcess(BalancerSettings Settings, DocumentFeed Feed,
                  AdminServer Admin);

  std::vector<Duty> duties();
  void handlePaths();
  Result<void> reportUntil(const std::stop_token &Stop);
  void reportProblems(ErrorLogLimiter &Limiter);
  StopReason waitUntilQuiet();
  std::string dump() const;
  ProcessIdentity identity() const;
  std::vector<DutyStatus> dutyStatus() const;
  /// One sentence for each thing that is not as it should be.
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
  /// Set while the duties run; read by the admin thread.
  std::atomic<const Supervisor *> Running{nullptr};
  std::atomic<bool> Leaving{false};
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_BALANCER_PROCESS_H
