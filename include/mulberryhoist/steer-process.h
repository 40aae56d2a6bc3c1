/// \file
/// The main loops of the steered path's processes: threads, readiness and
/// shutdown.

#ifndef MULBERRYHOIST_STEER_PROCESS_H
#define MULBERRYHOIST_STEER_PROCESS_H

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

#include "mulberryhoist/directory-exchange.h"
#include "mulberryhoist/steering-agent-data.h"
#include "mulberryhoist/steering-data.h"

namespace mulberryhoist {

/// How often a running process checks for changed settings and expired entries.
inline constexpr Duration HousekeepingPeriod = std::chrono::milliseconds(250);

/// The minimum time that a stopping balancer forwards packets: routers check
/// its readiness twice a second and exclude it after two failures.
inline constexpr Duration SteeringMinimumDrain =
    std::chrono::milliseconds(1200);

/// How long a stopping balancer must have received no packet before it exits.
inline constexpr Duration SteeringQuietPeriod = std::chrono::milliseconds(300);

/// The maximum time that a stopping balancer forwards packets; shorter than the
/// 6 s after which the platform ends the process.
inline constexpr Duration SteeringDrainDeadline = std::chrono::seconds(4);

/// The settings that both processes share.
struct SteerProcessSettings {
  /// The address of the readiness endpoint for the platform.
  Endpoint Ready;
  /// The address that serves metrics and the state dump.
  std::optional<Endpoint> Control;
  /// Called about every `HousekeepingPeriod`, and immediately after SIGHUP.
  std::function<void()> Housekeep;
};

/// Runs `Settings.Housekeep` periodically until SIGTERM, and logs the result of
/// `MakeDump` on request by signal.
void serveUntilStopped(const SteerProcessSettings &Settings,
                       const std::function<std::string()> &MakeDump);

/// Creates a server that serves the result of `IsReady` at `/ready`.
Result<AdminServer> makeReadyServer(Endpoint Listen,
                                    std::function<bool()> IsReady);

/// Waits until `IsDone` returns true, polling every few milliseconds.
void waitUntil(const std::function<bool()> &IsDone);

/// Runs a balancer until a stop is requested. `Feeds` update the directory.
template <PacketFormat Format>
Result<void> runSteering(const SteerProcessSettings &Settings,
                         const SteeringDataSettings &Data,
                         SharedDirectory &Directories,
                         std::vector<Duty> Feeds) {
  const auto Metrics = std::make_shared<prometheus::Registry>();
  auto DataPath = SteeringData<Format>::create(Data, Directories, *Metrics);
  if (!DataPath) {
    return tl::unexpected<Error>(std::move(DataPath.error()));
  }
  std::atomic<bool> Stopping{false};
  auto Ready = makeReadyServer(Settings.Ready, [&] {
    return !Stopping && Directories.get() != nullptr;
  });
  if (!Ready) {
    return tl::unexpected<Error>(std::move(Ready.error()));
  }
  Ready->serveMetrics(Metrics);
  const auto Dump = [&Directories] {
    const auto InForce = Directories.get();
    return InForce == nullptr
               ? std::string(NoDirectory)
               : writeDirectory(*InForce, Directories.sourceStatus());
  };
  Feeds.push_back({"data", [&DataPath](const std::stop_token &Stop) {
                     return (*DataPath)->run(Stop);
                   }});
  Feeds.push_back({"ready", [&Ready](const std::stop_token &Stop) {
                     return Ready->run(Stop);
                   }});
  std::optional<AdminServer> Control;
  if (Settings.Control) {
    auto Server = AdminServer::create(*Settings.Control);
    if (!Server) {
      return tl::unexpected<Error>(std::move(Server.error()));
    }
    Control = std::move(*Server);
    Control->serveMetrics(Metrics);
    Control->handle(std::string(DirectoryPath), [Dump](const AdminQuery &) {
      return AdminAnswer{StatusOk, "application/json", Dump()};
    });
    Feeds.push_back({"control", [&Control](const std::stop_token &Stop) {
                       return Control->run(Stop);
                     }});
  }
  auto Duties = Supervisor::start(std::move(Feeds));
  if (!Duties) {
    return tl::unexpected<Error>(std::move(Duties.error()));
  }
  serveUntilStopped(Settings, Dump);
  Stopping = true;
  const Instant Begin = now();
  log(LogLevel::Info, "stopping");
  waitUntil([&] {
    const Instant Now = now();
    return Now - Begin >= SteeringDrainDeadline ||
           (Now - Begin >= SteeringMinimumDrain &&
            Now - (*DataPath)->lastPacketAt() >= SteeringQuietPeriod);
  });
  Duties->stop();
  log(LogLevel::Info, "stopped", {{"after_ms", toMilliseconds(now() - Begin)}});
  return {};
}

/// Runs an agent until a stop is requested. `Attach` receives a function that
/// replaces the upstream and its service.
template <PacketFormat Format>
Result<void> runSteeringAgent(
    const SteerProcessSettings &Settings, const SteeringAgentDataSettings &Data,
    const std::function<void(std::function<void(ServiceId, Endpoint)>)>
        &Attach) {
  const auto Metrics = std::make_shared<prometheus::Registry>();
  auto DataPath = SteeringAgentData<Format>::create(Data, *Metrics);
  if (!DataPath) {
    return tl::unexpected<Error>(std::move(DataPath.error()));
  }
  Attach([&DataPath](ServiceId Service, Endpoint Upstream) {
    (*DataPath)->setUpstream(Service, Upstream);
  });
  std::atomic<bool> Stopping{false};
  auto Ready =
      makeReadyServer(Settings.Ready, [&] { return !Stopping.load(); });
  if (!Ready) {
    return tl::unexpected<Error>(std::move(Ready.error()));
  }
  Ready->serveMetrics(Metrics);
  Ready->handle("/dump", [&DataPath](const AdminQuery &) {
    return AdminAnswer{StatusOk, "application/json", (*DataPath)->dump()};
  });
  auto Duties =
      Supervisor::start({{"data",
                          [&DataPath](const std::stop_token &Stop) {
                            return (*DataPath)->run(Stop);
                          }},
                         {"ready", [&Ready](const std::stop_token &Stop) {
                            return Ready->run(Stop);
                          }}});
  if (!Duties) {
    return tl::unexpected<Error>(std::move(Duties.error()));
  }
  serveUntilStopped(Settings, [&DataPath] { return (*DataPath)->dump(); });
  Stopping = true;
  const Instant Begin = now();
  log(LogLevel::Info, "stopping");
  (*DataPath)->terminate();
  waitUntil([&] { return (*DataPath)->isDrained(); });
  Duties->stop();
  log(LogLevel::Info, "stopped", {{"after_ms", toMilliseconds(now() - Begin)}});
  return {};
}

} // namespace mulberryhoist

#endif // MULBERRYHOIST_STEER_PROCESS_H
