#include "mulberryhoist/balancer-process.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <thread>

namespace mulberryhoist {
namespace {

using std::chrono::milliseconds;

/// Interval at which the report duty logs input errors and updates metrics.
constexpr Duration ReportPeriod = milliseconds(100);

/// Interval at which a stopping balancer checks whether it may exit.
constexpr Duration StopCheckPeriod = milliseconds(50);

constexpr std::string_view ProgramName = "mulberry-balancer";

constexpr SettingSpec Specs[] = {
    {.Name = "name",
     .Type = SettingType::Name,
     .Help = "Name of this VM in the VM list",
     .Required = true},
    ZoneSpec,
    {.Name = "listen",
     .Type = SettingType::Endpoint,
     .Help = "Where packets and probe replies are received (UDP)",
     .Required = true},
    ControlSpec,
    AdminSpec,
    PlatformSpec,
    PeersSpec,
    LogLevelSpec,
    {.Name = "stop-deadline-s",
     .Type = SettingType::Number,
     .Help = "Longest time to forward packets after SIGTERM",
     .Default = "30",
     .Min = 1,
     .Max = 3600},
};

/// Returns the reason for which a candidate is excluded, or null.
Json excludedJson(Exclusion Value) {
  return Value == Exclusion::None ? Json() : Json(exclusionName(Value));
}

Json agentJson(const BalancerView &View, const AgentHealth &Agent) {
  return {{"upstream", upstreamName(*View.InForce, Agent.Id)},
          {"endpoint", formatEndpoint(Agent.Agent)},
          {"excluded", excludedJson(Agent.exclusion())},
          {"listed", Agent.Presence != AgentPresence::Unlisted}};
}

Json agentsJson(const BalancerView &View) {
  Json List = Json::array();
  for (const AgentHealth &Agent : View.Agents) {
    List.push_back(agentJson(View, Agent));
  }
  return List;
}

std::string reasonText(const FlowExplanation &Explanation) {
  if (!Explanation.Coordinator) {
    return "no service has this address, and none had it recently";
  }
  if (Explanation.FailOpen) {
    return "every candidate is excluded, so exclusion is ignored";
  }
  if (Explanation.EstablishedOnly) {
    return "no upstream of the address accepts new flows; this one locates "
           "the owners of established flows";
  }
  return "first candidate that is not excluded";
}

Json explanationJson(const Table &InForce, const FlowKey &Key,
                     const FlowExplanation &Explanation) {
  Json Candidates = Json::array();
  for (const CandidateExplanation &Each : Explanation.Candidates) {
    Candidates.push_back({{"upstream", upstreamName(InForce, Each.Upstream)},
                          {"score", Each.Score ? Json(*Each.Score) : Json()},
                          {"weight", Each.Weight},
                          {"excluded", Each.Score ? excludedJson(Each.Excluded)
                                                  : Json("weight")}});
  }
  const Service *TargetService =
      Explanation.Service ? InForce.findService(*Explanation.Service) : nullptr;
  return {
      {"caller", formatEndpoint(Key.Caller)},
      {"service", formatEndpoint(Key.Service)},
      {"service_name",
       TargetService == nullptr ? Json() : Json(TargetService->Name)},
      {"table", versionJson(&InForce)},
      {"upstream", Explanation.Coordinator
                       ? Json(upstreamName(InForce, *Explanation.Coordinator))
                       : Json()},
      {"old_flows_upstream",
       Explanation.EstablishedCoordinator
           ? Json(upstreamName(InForce, *Explanation.EstablishedCoordinator))
           : Json()},
      {"reason", reasonText(Explanation)},
      {"candidates", std::move(Candidates)}};
}

Json settingsJson(const BalancerSettings &Settings) {
  Json Body = {{"name", Settings.Documents.Name},
               {"zone", Settings.Documents.AvailabilityZone},
               {"listen", formatEndpoint(Settings.Listen)}};
  addProcessSettings(Body, Settings);
  Body["stop_deadline_s"] = toSeconds(Settings.StopDeadline);
  return Body;
}

} // namespace

std::span<const SettingSpec> balancerSettingSpecs() { return Specs; }

Result<BalancerSettings> readBalancerSettings(const Settings &Parsed) {
  auto Common = readProcessSettings(Parsed, VmRole::Balancer);
  if (!Common) {
    return tl::unexpected<Error>(std::move(Common.error()));
  }
  BalancerSettings Values;
  static_cast<ProcessSettings &>(Values) = std::move(*Common);
  Values.Listen = Parsed.endpoint("listen");
  Values.StopDeadline = std::chrono::seconds(Parsed.number("stop-deadline-s"));
  return Values;
}

std::optional<StopReason> stopReason(Instant StopAt, Instant LastPacket,
                                     Duration Deadline, Instant Now) {
  if (Now - std::max(StopAt, LastPacket) >= QuietTimeBeforeExit) {
    return StopReason::Quiet;
  }
  if (Now - StopAt >= Deadline) {
    return StopReason::Deadline;
  }
  return std::nullopt;
}

BalancerProcess::BalancerProcess(BalancerSettings Settings, DocumentFeed Feed,
                                 AdminServer Admin)
    : Settings(std::move(Settings)), Feed(std::move(Feed)),
      Admin(std::move(Admin)) {}

Result<std::unique_ptr<BalancerProcess>>
BalancerProcess::create(BalancerSettings Settings) {
  auto Feed = DocumentFeed::create(Settings.Documents);
  if (!Feed) {
    return tl::unexpected<Error>(std::move(Feed.error()));
  }
  auto Admin = AdminServer::create(Settings.Admin);
  if (!Admin) {
    return tl::unexpected<Error>(std::move(Admin.error()));
  }
  std::unique_ptr<BalancerProcess> Process(new BalancerProcess(
      std::move(Settings), std::move(*Feed), std::move(*Admin)));
  const DocumentSource Documents = {
      [Feed = &Process->Feed] { return Feed->table(); },
      [Feed = &Process->Feed] { return Feed->vms(); }};
  auto Data = BalancerData::create(Process->Settings.Listen, Documents,
                                   Process->Metrics);
  if (!Data) {
    return tl::unexpected<Error>(std::move(Data.error()));
  }
  Process->Data = std::move(*Data);
  Process->registerPaths();
  return Process;
}

Result<StopReason> BalancerProcess::run() {
  auto Started = Supervisor::start(this->duties());
  if (!Started) {
    return tl::unexpected<Error>(std::move(Started.error()));
  }
  this->RunningDuties = &*Started;
  log(LogLevel::Info, "balancer started",
      {{"listen", formatEndpoint(this->Data->address())},
       {"admin", formatEndpoint(this->Admin.address())},
       {"version", ProductVersion}});
  waitForStop([this] { return this->dump(); });
  const StopReason Reason = this->waitUntilQuiet();
  Started->stop();
  this->RunningDuties = nullptr;
  return Reason;
}

std::vector<Duty> BalancerProcess::duties() {
  return makeDuties(
      this->Feed, this->Admin,
      [this](const std::stop_token &Stop) { return this->Data->run(Stop); },
      [this](const std::stop_token &Stop) { return this->runReports(Stop); });
}

void BalancerProcess::registerPaths() {
  this->Admin.serveMetrics(this->Registry);
  this->Admin.handle(
      "/health", [this](const AdminQuery &) { return this->answerHealth(); });
  handleTablePaths(this->Admin, this->identity(), this->Feed,
                   [this] { return this->Data->view()->InForce; });
  this->Admin.handle("/explain", [this](const AdminQuery &Query) {
    return this->answerExplain(Query);
  });
  this->Admin.handle("/dump", [this](const AdminQuery &) {
    return AdminAnswer{StatusOk, "application/json", this->dump()};
  });
}

/// Runs the report duty: logs input errors and updates the metrics that are
/// copied from other counters. Writing a log line may block, which the data
/// thread must not.
Result<void> BalancerProcess::runReports(const std::stop_token &Stop) {
  ErrorLogLimiter Limiter;
  double LoggedPauses = this->Metrics.Pauses.Value();
  while (!Stop.stop_requested()) {
    this->logInputErrors(Limiter);
    raiseTo(this->Metrics.ShedProblems, this->Data->shedProblems());
    this->Metrics.Documents.update(this->Feed.status(),
                                   this->Data->view()->InForce.get());
    if (this->Metrics.Pauses.Value() > LoggedPauses) {
      LoggedPauses = this->Metrics.Pauses.Value();
      log(LogLevel::Warning, "process was paused; suspicions are discarded",
          {{"pauses", LoggedPauses}});
    }
    std::this_thread::sleep_for(ReportPeriod);
  }
  return {};
}

void BalancerProcess::logInputErrors(ErrorLogLimiter &Limiter) {
  while (const auto Problem = this->Data->popProblem()) {
    const std::uint64_t Count = Limiter.add(Problem->Kind, now());
    if (Count != 0) {
      log(LogLevel::Warning, "error in input",
          {{"kind", errorName(Problem->Kind)},
           {"count", static_cast<std::int64_t>(Count)},
           {"last_peer", formatEndpoint(Problem->From)}});
    }
  }
}

/// Waits until the fabric routes packets to other balancers, or until the stop
/// deadline; the data duty goes on forwarding meanwhile.
StopReason BalancerProcess::waitUntilQuiet() {
  this->Leaving = true;
  const Instant StopAt = now();
  log(LogLevel::Info, "stop requested; packets are still forwarded",
      {{"deadline_s", toSeconds(this->Settings.StopDeadline)}});
  std::optional<StopReason> Reason;
  while (!Reason) {
    if (waitForSignal(StopCheckPeriod) == SignalRequest::Dump) {
      logStateDump(this->dump());
    }
    Reason = stopReason(StopAt, this->Data->lastPacketAt(),
                        this->Settings.StopDeadline, now());
  }
  log(LogLevel::Info,
      *Reason == StopReason::Quiet
          ? "stopping: no packet has arrived for 2 s"
          : "stopping: packets still arrive at the stop deadline",
      {{"stop_took_ms", toMilliseconds(now() - StopAt)}});
  return *Reason;
}

std::string BalancerProcess::dump() const {
  const auto View = this->Data->view();
  Json Process = processJson(this->identity(), this->StartedAt);
  Process["leaving"] = this->Leaving.load();
  return jsonText(
      {{"process", std::move(Process)},
       {"settings", settingsJson(this->Settings)},
       {"table", versionJson(View->InForce.get())},
       {"digest", digestJson(View->InForce.get())},
       {"duties", dutiesJson(this->dutyStatus())},
       {"counters",
        {{"packets", this->Metrics.Packets.Value()},
         {"openings", this->Metrics.Openings.Value()},
         {"forwarded_packets", this->Metrics.ForwardedPackets.Value()},
         {"forwarded_bytes", this->Metrics.ForwardedBytes.Value()},
         {"probe_bytes", this->Metrics.ProbeBytes.Value()},
         {"dropped_openings", this->Metrics.DroppedOpenings.Value()},
         {"pauses", this->Metrics.Pauses.Value()},
         {"documents", documentsJson(this->Feed.status())}}},
       {"state", {{"agents", agentsJson(*View)}}}});
}

ProcessIdentity BalancerProcess::identity() const {
  return {ProgramName, this->Settings.Documents.Name};
}

std::vector<DutyStatus> BalancerProcess::dutyStatus() const {
  const Supervisor *Duties = this->RunningDuties;
  return Duties == nullptr ? std::vector<DutyStatus>() : Duties->status();
}

std::vector<std::string> BalancerProcess::problems() const {
  std::vector<std::string> List;
  if (this->Leaving) {
    List.emplace_back("stop requested; packets are still forwarded");
  }
  if (this->Data->view()->InForce == nullptr) {
    List.emplace_back("there is no table in force yet");
  }
  addProblems(List, this->dutyStatus(), this->Feed.status(),
              this->Settings.Documents.Platform.has_value());
  return List;
}

AdminAnswer BalancerProcess::answerHealth() const {
  const auto Problems = this->problems();
  const std::string_view Status = this->Leaving      ? "leaving"
                                  : Problems.empty() ? "ok"
                                                     : "degraded";
  return jsonResponse({{"status", Status}, {"problems", Problems}},
                      Problems.empty() ? StatusOk : StatusUnavailable);
}

AdminAnswer BalancerProcess::answerExplain(const AdminQuery &Query) const {
  const auto Key = readFlowQuery(Query);
  if (!Key) {
    return badRequestResponse(Key.error().Detail);
  }
  const auto View = this->Data->view();
  if (View->InForce == nullptr) {
    return noTableResponse();
  }
  return jsonResponse(explanationJson(
      *View->InForce, *Key, explainFlow(*View->InForce, View->Agents, *Key)));
}

} // namespace mulberryhoist
