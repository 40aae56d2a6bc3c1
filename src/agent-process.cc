#include "mulberryhoist/agent-process.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <thread>

#include "mulberryhoist/routing.h"

namespace mulberryhoist {
namespace {

using std::chrono::milliseconds;

/// How often the report duty updates metrics and logs errors.
constexpr Duration ReportPeriod = milliseconds(500);

/// How often a draining agent checks whether it may exit.
constexpr Duration StopCheckPeriod = milliseconds(50);

/// Time beyond the drain deadline after which a draining agent exits even if
/// its data duty has not ended the flows.
constexpr Duration StopMargin = std::chrono::seconds(5);

/// Default difference between the ports of --upstream-listen and --listen.
constexpr std::uint16_t UpstreamPortOffset = 10'000;

constexpr std::string_view ProgramName = "mulberry-agent";

constexpr SettingSpec Specs[] = {
    {.Name = "name",
     .Type = SettingType::Name,
     .Help = "Name of the upstream, in the table and in the VM list",
     .Required = true},
    {.Name = "services",
     .Type = SettingType::Text,
     .Help = "Names of the services that the upstream may serve, with commas",
     .Required = true},
    ZoneSpec,
    {.Name = "listen",
     .Type = SettingType::Endpoint,
     .Help = "Where balancers and agents send datagrams (UDP)",
     .Required = true},
    ControlSpec,
    AdminSpec,
    {.Name = "upstream",
     .Type = SettingType::Endpoint,
     .Help = "Where the upstream receives packets (UDP)",
     .Required = true},
    {.Name = "upstream-listen",
     .Type = SettingType::Endpoint,
     .Help = "Where the upstream sends its packets (UDP); by default the "
             "address of --listen with the port 10000 away from it"},
    {.Name = "egress",
     .Type = SettingType::Endpoint,
     .Help = "Where packets for callers are sent (UDP)",
     .Required = true},
    PlatformSpec,
    PeersSpec,
    LogLevelSpec,
    {.Name = "drain-deadline-s",
     .Type = SettingType::Number,
     .Help = "Longest time to serve flows after SIGTERM",
     .Default = "600",
     .Min = 1,
     .Max = 86'400},
};

Result<std::vector<std::string>> readServices(std::string_view Text) {
  std::vector<std::string> Names;
  for (;;) {
    const std::size_t End = std::min(Text.find(','), Text.size());
    const std::string_view Name = Text.substr(0, End);
    if (!isName(Name)) {
      return makeError(
          ErrorKind::InvalidSetting,
          fmt::format("--services: '{}' does not match [a-z0-9-]{{1,63}}",
                      Name));
    }
    Names.emplace_back(Name);
    if (End == Text.size()) {
      return Names;
    }
    Text.remove_prefix(End + 1);
  }
}

/// Returns the default of --upstream-listen, which does not change between
/// starts: an upstream that streams a response keeps sending to the address it
/// knows while the agent restarts.
Endpoint defaultUpstreamListen(Endpoint Listen) {
  constexpr std::uint16_t MaxPort = 65535;
  if (Listen.Port == 0) {
    return Listen;
  }
  const bool FitsAbove = Listen.Port <= MaxPort - UpstreamPortOffset;
  const int Port = FitsAbove ? Listen.Port + UpstreamPortOffset
                             : Listen.Port - UpstreamPortOffset;
  return {Listen.Address, static_cast<std::uint16_t>(Port)};
}

std::string serviceName(const AgentView &View, ServiceId Id) {
  const Service *Found =
      View.InForce == nullptr ? nullptr : View.InForce->findService(Id);
  return Found == nullptr ? fmt::format("{:08x}", Id.Value) : Found->Name;
}

Json reasonJson(DrainReason Reason) {
  switch (Reason) {
  case DrainReason::Table:
    return "table";
  case DrainReason::VmList:
    return "vm_list";
  case DrainReason::Signal:
    return "signal";
  case DrainReason::None:
    break;
  }
  return nullptr;
}

Json servicesJson(const AgentView &View) {
  Json List = Json::array();
  for (const ServiceDrain &Each : View.Drain.Services) {
    List.push_back({{"service", serviceName(View, Each.Service)},
                    {"flows", Each.Flows},
                    {"requests", Each.Requests},
                    {"queued", Each.Queued}});
  }
  return List;
}

Json holdersJson(const AgentView &View) {
  Json List = Json::array();
  for (const FlowStatus &Each : View.Drain.Holders) {
    List.push_back({{"caller", formatEndpoint(Each.Key.Caller)},
                    {"service", formatEndpoint(Each.Key.Service)},
                    {"state", flowStateName(Each.State)},
                    {"request", Each.Working},
                    {"caller_silent_s", toSeconds(Each.CallerSilence)}});
  }
  return List;
}

Json drainJson(std::string_view Name, const AgentView &View) {
  const DrainProgress &Drain = View.Drain;
  return {{"upstream", Name},
          {"draining", Drain.Reason != DrainReason::None},
          {"reason", reasonJson(Drain.Reason)},
          {"flows", Drain.Flows},
          {"requests", Drain.Requests},
          {"queued", Drain.Queued},
          {"oldest_flow_s", toSeconds(Drain.OldestFlow)},
          {"deadline_s", Drain.UntilDeadline
                             ? Json(toSeconds(*Drain.UntilDeadline))
                             : Json()},
          {"services", servicesJson(View)},
          {"holders", holdersJson(View)}};
}

Json countersJson(const AgentCounters &Counters) {
  return {{"openings", Counters.Openings},
          {"accepted", Counters.Accepted},
          {"queued", Counters.Queued},
          {"declined", Counters.Declined},
          {"refused", Counters.Refused},
          {"unanswered", Counters.Unanswered},
          {"duplicates", Counters.Duplicates},
          {"challenges", Counters.Challenges},
          {"stale_dropped", Counters.StaleDropped},
          {"relayed", Counters.Relayed},
          {"not_owned", Counters.NotOwned},
          {"locate_rounds", Counters.LocateRounds},
          {"locate_dropped", Counters.LocateDropped},
          {"adopted", Counters.Adopted},
          {"store_full", Counters.StoreFull},
          {"flows_ended", Counters.FlowsEnded}};
}

Json stateJson(const AgentView &View) {
  const AgentStatus &Status = View.Status;
  Json Flows = Json::object();
  for (std::size_t I = 0; I < FlowStateCount; ++I) {
    Flows[std::string(flowStateName(static_cast<FlowState>(I)))] =
        Status.Flows[I];
  }
  return {{"draining", Status.Draining},
          {"drain_reason", reasonJson(View.Drain.Reason)},
          {"slots", Status.Slots},
          {"busy_slots", Status.Busy},
          {"waiting_openings", Status.Waiting},
          {"load_thousandths", Status.Load},
          {"redirects", Status.Redirects},
          {"pending_openings", Status.Openings},
          {"searches", Status.Searches},
          {"refusal_records", Status.Refusals},
          {"flows", std::move(Flows)},
          {"services", servicesJson(View)},
          {"holders", holdersJson(View)}};
}

Json settingsJson(const AgentProcessSettings &Settings) {
  Json Body = {
      {"name", Settings.Documents.Name},
      {"services", Settings.Services},
      {"zone", Settings.Documents.AvailabilityZone},
      {"listen", formatEndpoint(Settings.Data.Listen)},
      {"upstream", formatEndpoint(Settings.Data.Upstream)},
      {"upstream_listen", formatEndpoint(Settings.Data.UpstreamListen)},
      {"egress", formatEndpoint(Settings.Data.Egress)}};
  addProcessSettings(Body, Settings);
  Body["drain_deadline_s"] = toSeconds(Settings.Data.Logic.DrainDeadline);
  return Body;
}

/// Lists the candidates of a flow in rendezvous order, then the upstreams with
/// weight 0.
Json candidatesJson(const Table &InForce, const Service &Target,
                    const FlowKey &Key) {
  Json List = Json::array();
  const auto Rows = InForce.assignments(Target.Id);
  std::vector<UpstreamId> Buffer(Rows.size());
  const auto WeightOf = [&Rows](UpstreamId Id) {
    const auto Row =
        std::find_if(Rows.begin(), Rows.end(), [Id](const Assignment &Each) {
          return Each.Upstream == Id;
        });
    return Row->Weight;
  };
  for (const UpstreamId Id : orderCandidates(Rows, Key, Buffer)) {
    List.push_back({{"upstream", upstreamName(InForce, Id)},
                    {"score", rendezvousScore(hashFlow(Key), Id, WeightOf(Id))},
                    {"weight", WeightOf(Id)},
                    {"excluded", nullptr}});
  }
  for (const Assignment &Row : Rows) {
    if (Row.Weight == 0) {
      List.push_back({{"upstream", upstreamName(InForce, Row.Upstream)},
                      {"score", nullptr},
                      {"weight", 0},
                      {"excluded", "weight"}});
    }
  }
  return List;
}

/// Logs errors at a limited rate: how many of a kind were counted since the
/// last log line of that kind.
class ErrorReport {
public:
  void update(const AgentDataCounters &Counters, Instant Now) {
    for (std::size_t I = 0; I < ErrorKindCount; ++I) {
      const auto Kind = static_cast<ErrorKind>(I);
      const std::uint64_t Total = Counters.Errors[I];
      const std::uint64_t Count =
          this->Limiter.add(Kind, Now, Total - this->Seen[I]);
      this->Seen[I] = Total;
      if (Count != 0) {
        log(LogLevel::Warning, "data path errors",
            {{"kind", errorName(Kind)},
             {"count", static_cast<std::int64_t>(Count)}});
      }
    }
  }

private:
  ErrorLogLimiter Limiter;
  std::array<std::uint64_t, ErrorKindCount> Seen = {};
};

} // namespace

std::span<const SettingSpec> agentSettingSpecs() { return Specs; }

Result<AgentProcessSettings> readAgentSettings(const Settings &Parsed) {
  auto Common = readProcessSettings(Parsed, VmRole::Agent);
  if (!Common) {
    return tl::unexpected<Error>(std::move(Common.error()));
  }
  auto Services = readServices(Parsed.text("services"));
  if (!Services) {
    return tl::unexpected<Error>(std::move(Services.error()));
  }
  AgentProcessSettings Read;
  static_cast<ProcessSettings &>(Read) = std::move(*Common);
  Read.Services = std::move(*Services);
  Read.Data.Name = Read.Documents.Name;
  Read.Data.Listen = Parsed.endpoint("listen");
  Read.Data.Upstream = Parsed.endpoint("upstream");
  Read.Data.Egress = Parsed.endpoint("egress");
  Read.Data.UpstreamListen = Parsed.text("upstream-listen").empty()
                                 ? defaultUpstreamListen(Read.Data.Listen)
                                 : Parsed.endpoint("upstream-listen");
  Read.Data.Logic.Self = upstreamId(Read.Documents.Name);
  for (const std::string &Name : Read.Services) {
    Read.Data.Logic.Services.push_back(serviceId(Name));
  }
  Read.Data.Logic.DrainDeadline =
      std::chrono::seconds(Parsed.number("drain-deadline-s"));
  return Read;
}

AgentProcess::AgentProcess(AgentProcessSettings Settings, DocumentFeed Feed,
                           AdminServer Admin)
    : Settings(std::move(Settings)), Feed(std::move(Feed)),
      Admin(std::move(Admin)) {}

Result<std::unique_ptr<AgentProcess>>
AgentProcess::create(AgentProcessSettings Settings) {
  auto Feed = DocumentFeed::create(Settings.Documents);
  if (!Feed) {
    return tl::unexpected<Error>(std::move(Feed.error()));
  }
  auto Admin = AdminServer::create(Settings.Admin);
  if (!Admin) {
    return tl::unexpected<Error>(std::move(Admin.error()));
  }
  std::unique_ptr<AgentProcess> Process(new AgentProcess(
      std::move(Settings), std::move(*Feed), std::move(*Admin)));
  auto Data =
      AgentData::create(Process->Settings.Data,
                        {[Feed = &Process->Feed] { return Feed->table(); },
                         [Feed = &Process->Feed] { return Feed->vms(); }});
  if (!Data) {
    return tl::unexpected<Error>(std::move(Data.error()));
  }
  Process->Data = std::move(*Data);
  Process->handlePaths();
  return Process;
}

Result<StopReport> AgentProcess::run() {
  auto Started = Supervisor::start(this->duties());
  if (!Started) {
    return tl::unexpected<Error>(std::move(Started.error()));
  }
  this->Running = &*Started;
  log(LogLevel::Info, "agent started",
      {{"listen", formatEndpoint(this->Data->address())},
       {"upstream_listen", formatEndpoint(this->Data->upstreamAddress())},
       {"admin", formatEndpoint(this->Admin.address())},
       {"version", ProductVersion}});
  waitForStop([this] { return this->dump(); });
  const StopReport Report = this->drain();
  this->Running = nullptr;
  Started->stop();
  return Report;
}

std::vector<Duty> AgentProcess::duties() {
  return makeDuties(
      this->Feed, this->Admin,
      [this](const std::stop_token &Stop) { return this->Data->run(Stop); },
      [this](const std::stop_token &Stop) { return this->reportUntil(Stop); });
}

void AgentProcess::handlePaths() {
  this->Admin.serveMetrics(this->Registry);
  this->Admin.handle("/health", [this](const AdminQuery &) {
    return this->respondToHealth();
  });
  handleTablePaths(this->Admin, this->identity(), this->Feed,
                   [this] { return this->Data->view()->InForce; });
  this->Admin.handle("/explain", [this](const AdminQuery &Query) {
    return this->respondToExplain(Query);
  });
  this->Admin.handle(
      "/drain", [this](const AdminQuery &) { return this->respondToDrain(); });
  this->Admin.handle("/dump", [this](const AdminQuery &) {
    return AdminAnswer{StatusOk, "application/json", this->dump()};
  });
}

/// Runs the report duty, which updates metrics and logs errors and pauses. The
/// data thread does not log, since writing a log line may block.
Result<void> AgentProcess::reportUntil(const std::stop_token &Stop) {
  ErrorReport Errors;
  std::uint64_t PausesSeen = this->Data->counters().Pauses;
  while (!Stop.stop_requested()) {
    const AgentDataCounters &Counters = this->Data->counters();
    this->Metrics.update(*this->Data->view(), Counters, this->Feed.status());
    Errors.update(Counters, now());
    if (Counters.Pauses > PausesSeen) {
      PausesSeen = Counters.Pauses;
      log(LogLevel::Warning,
          "process was paused; dropping openings received during the pause",
          {{"pauses", static_cast<std::int64_t>(PausesSeen)}});
    }
    std::this_thread::sleep_for(ReportPeriod);
  }
  return {};
}

StopReport AgentProcess::drain() {
  const Instant StopRequestedAt = now();
  const AgentCounters Before = this->Data->view()->Status.Counters;
  const Duration Deadline = this->Settings.Data.Logic.DrainDeadline;
  log(LogLevel::Info,
      "shutdown requested; draining, new connections are declined",
      {{"flows", static_cast<std::int64_t>(this->Data->view()->Drain.Flows)},
       {"deadline_s", toSeconds(Deadline)}});
  this->Data->terminate();
  while (!this->Data->isDrained() &&
         now() - StopRequestedAt < Deadline + StopMargin) {
    if (waitForSignal(StopCheckPeriod) == SignalRequest::Dump) {
      logStateDump(this->dump());
    }
  }
  // The current view may predate the end of the last flow.
  std::this_thread::sleep_for(ReportPeriod);
  const auto View = this->Data->view();
  StopReport Report;
  Report.Cut = View->Drain.Cut + View->Drain.Flows;
  // The counters restart at 0 if the data duty was restarted during the drain.
  const std::uint64_t EndedOtherwise = Before.FlowsEnded + View->Drain.Cut;
  const std::uint64_t Total = View->Status.Counters.FlowsEnded;
  Report.Ended = Total - std::min(EndedOtherwise, Total);
  log(LogLevel::Info, "stopping",
      {{"flows_ended", static_cast<std::int64_t>(Report.Ended)},
       {"flows_cut", static_cast<std::int64_t>(Report.Cut)},
       {"stop_took_ms", toMilliseconds(now() - StopRequestedAt)}});
  return Report;
}

std::string AgentProcess::dump() const {
  const auto View = this->Data->view();
  const AgentDataCounters &Data = this->Data->counters();
  Json Counters = countersJson(View->Status.Counters);
  Counters["pauses"] = Data.Pauses.load();
  Counters["message_bytes_sent"] = Data.MessageBytesSent.load();
  Counters["message_bytes_received"] = Data.MessageBytesReceived.load();
  Counters["documents"] = documentsJson(this->Feed.status());
  return jsonText({{"process", processJson(this->identity(), this->StartedAt)},
                   {"settings", settingsJson(this->Settings)},
                   {"table", versionJson(View->InForce.get())},
                   {"digest", digestJson(View->InForce.get())},
                   {"duties", dutiesJson(this->dutyStatus())},
                   {"counters", std::move(Counters)},
                   {"state", stateJson(*View)}});
}

ProcessIdentity AgentProcess::identity() const {
  return {ProgramName, this->Settings.Documents.Name};
}

std::vector<DutyStatus> AgentProcess::dutyStatus() const {
  const Supervisor *Duties = this->Running;
  return Duties == nullptr ? std::vector<DutyStatus>() : Duties->status();
}

std::vector<std::string> AgentProcess::problems() const {
  std::vector<std::string> List;
  const auto View = this->Data->view();
  if (View->InForce == nullptr) {
    List.emplace_back("there is no table in force yet");
  } else {
    for (const std::string &Name : this->Settings.Services) {
      if (View->InForce->findService(serviceId(Name)) == nullptr) {
        List.push_back(
            fmt::format("service {} is not in the table in force", Name));
      }
    }
  }
  addProblems(List, this->dutyStatus(), this->Feed.status(),
              this->Settings.Documents.Platform.has_value());
  return List;
}

AdminAnswer AgentProcess::respondToHealth() const {
  const auto Problems = this->problems();
  return jsonResponse({{"status", Problems.empty() ? "ok" : "degraded"},
                       {"problems", Problems}},
                      Problems.empty() ? StatusOk : StatusUnavailable);
}

AdminAnswer AgentProcess::respondToExplain(const AdminQuery &Query) {
  const auto Key = readFlowQuery(Query);
  if (!Key) {
    return badRequestResponse(Key.error().Detail);
  }
  const auto View = this->Data->view();
  if (View->InForce == nullptr) {
    return noTableResponse();
  }
  const Service *Target = View->InForce->findService(Key->Service);
  Json Body = {
      {"caller", formatEndpoint(Key->Caller)},
      {"service", formatEndpoint(Key->Service)},
      {"service_name", Target == nullptr ? Json() : Json(Target->Name)},
      {"table", versionJson(View->InForce.get())},
      {"upstream", nullptr},
      {"reason", "no service has this address"},
      {"candidates", Json::array()}};
  if (Target != nullptr) {
    const auto Coordinator =
        chooseCoordinator(View->InForce->assignments(Target->Id), *Key,
                          [](UpstreamId) { return false; });
    if (Coordinator) {
      Body["upstream"] = upstreamName(*View->InForce, *Coordinator);
    }
    Body["reason"] = Coordinator
                         ? "first candidate in the table; suspected upstreams "
                           "are not excluded"
                         : "no upstream of the service accepts new connections";
    Body["candidates"] = candidatesJson(*View->InForce, *Target, *Key);
  }
  Body["flow"] = this->Data->explain(*Key);
  return jsonResponse(Body);
}

AdminAnswer AgentProcess::respondToDrain() const {
  return jsonResponse(
      drainJson(this->Settings.Documents.Name, *this->Data->view()));
}

} // namespace mulberryhoist
