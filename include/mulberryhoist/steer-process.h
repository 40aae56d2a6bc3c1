/// \file
/// The processes of the steered path: duties, readiness, stop.

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

/// How often a running process looks for changed settings and expired entries.
inline constexpr Duration HousekeepingPeriod = std::chrono::milliseconds(250);

/// How long a stopping balancer still forwards at least: routers ask twice a
/// second and leave it out after two misses.
inline constexpr Duration SteeringMinimumDrain =
    std::chrono::milliseconds(1200);

/// How long no packet must have come before a stopping balancer exits.
inline constexpr Duration SteeringQuietPeriod = std::chrono::milliseconds(300);

/// The longest time that a stopping balancer forwards. Shorter than the time
/// that the platform grants for a stop (6 s).
inline constexpr Duration SteeringDrainDeadline = std::chrono::seconds(4);

/// The settings that both processes have.
struct SteerProcessSettings {
  /// Where the platform asks whether the process is ready.
  Endpoint Ready;
  /// Where metrics and the state dump are served.
  std::optional<Endpoint> Control;
  /// Called about every `HousekeepingPeriod`, and at once after SIGHUP.
  std::function<void()> Housekeep;
};

/// Waits for SIGTERM and calls `Settings.Housekeep` meanwhile.
void serveUntilStopped(const SteerProcessSettings &Settings,
                       const std::function<std::string()> &MakeDump);

/// Makes a server that answers `/ready` by `IsReady`.
Result<AdminServer> makeReadyServer(Endpoint Listen,
                                    std::function<bool()> IsReady);

/// Waits until `IsDone`, looking every few milliseconds.
void waitUntil(const std::function<bool()> &IsDone);

/// Runs a balancer until it is asked to stop. `Feeds` keep the directory.
template <PacketFormat Format>
Result<void> runSteering(const SteerProcessSettings &Settings,
                         const SteeringDataSettings &Data,
                         SharedDirectory &Directories,
                         std::vector<Duty> Feeds) {
  const auto Metrics = std::make_shared<prometheus::Registry>();
  auto Path = SteeringData<Format>::create(Data, Directories, *Metrics);
  if (!Path) {
    return tl::unexpected<Error>(std::move(Path.error()));
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
               ? std::string("{}")
               : writeDirectory(*InForce, Directories.isSourceAvailable());
  };
  Feeds.push_back({"data", [&Path](const std::stop_token &Stop) {
                     return (*Path)->run(Stop);
                   }});
  Feeds.push_back({"ready", [&Ready](const std::stop_token &Stop) {
                     return Ready->run(Stop);
                   }});
  std::optional<AdminServer> Control;
  if (Settings.Control) {
    auto Made = AdminServer::create(*Settings.Control);
    if (!Made) {
      return tl::unexpected<Error>(std::move(Made.error()));
    }
    Control = std::move(*Made);
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
            Now - (*Path)->lastPacket() >= SteeringQuietPeriod);
  });
  Duties->stop();
  log(LogLevel::Info, "stopped", {{"after_ms", toMilliseconds(now() - Begin)}});
  return {};
}

/// Runs an agent until it is asked to stop. `Attach` gets a function that names
/// another upstream and its service.
template <PacketFormat Format>
Result<void> runSteeringAgent(
    const SteerProcessSettings &Settings, const SteeringAgentDataSettings &Data,
    const std::function<void(std::function<void(ServiceId, Endpoint)>)>
        &Attach) {
  const auto Metrics = std::make_shared<prometheus::Registry>();
  auto Path = SteeringAgentData<Format>::create(Data, *Metrics);
  if (!Path) {
    return tl::unexpected<Error>(std::move(Path.error()));
  }
  Attach([&Path](ServiceId Service, Endpoint Upstream) {
    (*Path)->setUpstream(Service, Upstream);
  });
  std::atomic<bool> Stopping{false};
  auto Ready =
      makeReadyServer(Settings.Ready, [&] { return !Stopping.load(); });
  if (!Ready) {
    return tl::unexpected<Error>(std::move(Ready.error()));
  }
  Ready->serveMetrics(Metrics);
  Ready->handle("/dump", [&Path](const AdminQuery &) {
    return AdminAnswer{StatusOk, "application/json", (*Path)->dump()};
  });
  auto Duties = Supervisor::start(
      {{"data",
        [&Path](const std::stop_token &Stop) { return (*Path)->run(Stop); }},
       {"ready",
        [&Ready](const std::stop_token &Stop) { return Ready->run(Stop); }}});
  if (!Duties) {
    return tl::unexpected<Error>(std::move(Duties.error()));
  }
  serveUntilStopped(Settings, [&Path] { return (*Path)->dump(); });
  Stopping = true;
  const Instant Begin = now();
  log(LogLevel::Info, "stopping");
  (*Path)->terminate();
  waitUntil([&] { return (*Path)->isDrained(); });
  Duties->stop();
  log(LogLevel::Info, "stopped", {{"after_ms", toMilliseconds(now() - Begin)}});
  return {};
}

} // namespace mulberryhoist

#endif // MULBERRYHOIST_STEER_PROCESS_H
