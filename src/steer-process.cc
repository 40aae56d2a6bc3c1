#include "mulberryhoist/steer-process.h"

namespace mulberryhoist {
namespace {

/// How often a stopping process checks whether it may exit.
constexpr Duration DrainCheckPeriod = std::chrono::milliseconds(20);

} // namespace

void serveUntilStopped(const SteerProcessSettings &Settings,
                       const std::function<std::string()> &MakeDump) {
  log(LogLevel::Info, "started", {{"version", ProductVersion}});
  std::optional<SignalRequest> Request;
  while (Request != SignalRequest::Stop) {
    Request = waitForSignal(HousekeepingPeriod);
    if (Request == SignalRequest::Dump) {
      logStateDump(MakeDump());
    }
    Settings.Housekeep();
  }
}

Result<AdminServer> makeReadyServer(Endpoint Listen,
                                    std::function<bool()> IsReady) {
  auto Server = AdminServer::create(Listen);
  if (Server) {
    Server->handle(
        "/ready", [IsReady = std::move(IsReady)](const AdminQuery &) {
          return AdminAnswer{IsReady() ? StatusOk : StatusUnavailable,
                             "application/json", "{}"};
        });
  }
  return Server;
}

void waitUntil(const std::function<bool()> &IsDone) {
  while (!IsDone()) {
    std::this_thread::sleep_for(DrainCheckPeriod);
  }
}

} // namespace mulberryhoist
