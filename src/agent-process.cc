#include "mulberryhoist/agent-process.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <thread>

#include "mulberryhoist/routing.h"
#include "mulberryhoist/signals.h"

namespace mulberryhoist {
namespace {

using Json = nlohmann::ordered_json;
using std::chrono::milliseconds;

/// How often the report duty takes over numbers.
constexpr Duration ReportPeriod = milliseconds(500);

/// The shortest time between two log lines about one kind of error.
constexpr Duration LogPeriod = std::chrono::seconds(10);

/// How often a stopping agent looks whether it may exit.
constexpr Duration StopCheckPeriod = milliseconds(50);

/// Time beyond the drain deadline after which a stopping agent exits even if
/// its data duty has not ended the flows.
constexpr Duration StopMargin = std::chrono::seconds(5);

/// Between the ports of --listen and, by default, --upstream-listen.
constexpr std::uint16_t UpstreamPortOffset = 10'000;

constexpr std::string_view ProgramName = "mulberry-agent";

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusUnavailable = 503;

constexpr SettingSpec Specs[] = {
    {.Name = "name",
     .Type = SettingType::Name,
     .Help = "Name of the upstream, in the table and in the VM list",
     .Required = true},
    {.Name = "services",
     .Type = SettingType::Text,
     .Help = "Names of the services that the upstream may serve, with commas",
     .Required = true},
    {.Name = "zone",
     .Type = SettingType::Name,
     .Help = "Availability zone of this VM",
     .Required = true},
    {.Name = "listen",
     .Type = SettingType::Endpoint,
     .Help = "Where balancers and agents send datagrams (UDP)",
     .Required = true},
    {.Name = "control",
     .Type = SettingType::Endpoint,
     .Help = "Where neighbours connect for the document exchange",
     .Required = true},
    {.Name = "admin",
     .Type = SettingType::Endpoint,
     .Help = "Where the administration API is served (HTTP)",
     .Required = true},
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
    {.Name = "platform",
     .Type = SettingType::Endpoint,
     .Help = "The configuration service; without it only neighbours are asked"},
    {.Name = "peers",
     .Type = SettingType::EndpointList,
     .Help = "Control addresses of neighbours to begin with"},
    {.Name = "log-level",
     .Type = SettingType::Text,
     .Help = "Lowest level that is logged: debug, info, warning or error",
     .Default = "info"},
    {.Name = "drain-deadline-s",
     .Type = SettingType::Number,
     .Help = "Longest time to serve flows after SIGTERM",
     .Default = "600",
     .Min = 1,
     .Max = 86'400},
};

Result<LogLevel> readLogLevel(std::string_view Text) {
  struct Row {
    std::string_view Name;
    LogLevel Level;
  };
  constexpr Row Rows[] = {{"debug", LogLevel::Debug},
                          {"info", LogLevel::Info},
                          {"warning", LogLevel::Warning},
                          {"error", LogLevel::Error}};
  for (const Row &Each : Rows) {
    if (Each.Name == Text) {
      return Each.Level;
    }
  }
  return makeError(
      ErrorKind::InvalidSetting,
      fmt::format("--log-level: '{}' is not debug, info, warning or error",
                  Text));
}

bool isName(std::string_view Text) {
  constexpr std::size_t MaxName = 63;
  return !Text.empty() && Text.size() <= MaxName &&
         std::all_of(Text.begin(), Text.end(), [](char Letter) {
           return (Letter >= 'a' && Letter <= 'z') ||
                  (Letter >= '0' && Letter <= '9') || Letter == '-';
         });
}

Result<std::vector<std::string>> readServices(std::string_view Text) {
  std::vector<std::string> Names;
  for (;;) {
    const std::size_t End = std::min(Text.find(','), Text.size());
    const std::string_view Name = Text.substr(0, End);
    if (!isName(Name)) {
      return makeError(
          ErrorKind::InvalidSetting,
          fmt::format("--services: '{}' is not [a-z0-9-]{{1,63}}", Name));
    }
    Names.emplace_back(Name);
    if (End == Text.size()) {
      return Names;
    }
    Text.remove_prefix(End + 1);
  }
}

/// The same after every start: an upstream that streams an answer sends on to
/// the address that it knows, also while the agent restarts.
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

std::int64_t toMilliseconds(Duration Value) {
  return std::chrono::duration_cast<milliseconds>(Value).count();
}

double toSeconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

Instant now() { return std::chrono::steady_clock::now(); }

Json tableJson(const AgentView &View) {
  if (View.InForce == nullptr) {
    return nullptr;
  }
  const TableVersion Version = View.InForce->version();
  return {{"epoch", Version.Epoch}, {"revision", Version.Revision}};
}

/// A digest as text, since JSON numbers lose digits above 2^53.
Json digestJson(const AgentView &View) {
  return View.InForce == nullptr
             ? Json()
             : Json(fmt::format("{:016x}", View.InForce->digest()));
}

std::string upstreamName(const Table &InForce, UpstreamId Id) {
  const Upstream *Found = InForce.findUpstream(Id);
  return Found == nullptr ? fmt::format("{:08x}", Id.Value) : Found->Name;
}

std::string serviceName(const AgentView &View, ServiceId Id) {
  const Service *Found =
      View.InForce == nullptr ? nullptr : View.InForce->findService(Id);
  return Found == nullptr ? fmt::format("{:08x}", Id.Value) : Found->Name;
}

Json serviceJson(const Table &InForce, const Service &Each) {
  Json Rows = Json::array();
  for (const Assignment &Row : InForce.assignments(Each.Id)) {
    Rows.push_back({{"name", upstreamName(InForce, Row.Upstream)},
                    {"weight", Row.Weight}});
  }
  return {{"name", Each.Name},     {"address", formatEndpoint(Each.Address)},
          {"class", Each.Class},   {"share", Each.Share},
          {"closed", Each.Closed}, {"upstreams", std::move(Rows)}};
}

Json upstreamJson(const Upstream &Each) {
  return {{"name", Each.Name},
          {"endpoint", formatEndpoint(Each.Agent)},
          {"zone", Each.AvailabilityZone},
          {"slots", Each.Slots},
          {"connections", Each.Connections}};
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
                    {"caller_silent_s", toSeconds(Each.SinceCaller)}});
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

Json documentsJson(const DocumentStatus &Status) {
  return {{"confirmed_ms_ago", toMilliseconds(Status.SinceConfirmed)},
          {"reader", Status.Reader},
          {"platform_reachable", Status.PlatformReachable},
          {"platform_calls", Status.PlatformCalls},
          {"older_ignored", Status.OlderIgnored},
          {"conflicts_seen", Status.ConflictsSeen},
          {"invalid_rejected", Status.InvalidRejected},
          {"bytes_sent", Status.BytesSent},
          {"bytes_received", Status.BytesReceived},
          {"last_problem", Status.LastProblem}};
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

Json dutiesJson(const std::vector<DutyStatus> &Duties) {
  Json List = Json::array();
  for (const DutyStatus &Status : Duties) {
    List.push_back({{"name", Status.Name},
                    {"running", Status.Running},
                    {"restarts", Status.Restarts},
                    {"last_error", Status.LastError}});
  }
  return List;
}

Json settingsJson(const AgentProcessSettings &Settings) {
  const DocumentSettings &Documents = Settings.Documents;
  Json Peers = Json::array();
  for (const Endpoint &Peer : Documents.Peers) {
    Peers.push_back(formatEndpoint(Peer));
  }
  return {{"name", Documents.Name},
          {"services", Settings.Services},
          {"zone", Documents.AvailabilityZone},
          {"listen", formatEndpoint(Settings.Data.Listen)},
          {"upstream", formatEndpoint(Settings.Data.Upstream)},
          {"upstream_listen", formatEndpoint(Settings.Data.UpstreamListen)},
          {"egress", formatEndpoint(Settings.Data.Egress)},
          {"control", formatEndpoint(Documents.Control)},
          {"admin", formatEndpoint(Settings.Admin)},
          {"platform", Documents.Platform
                           ? Json(formatEndpoint(*Documents.Platform))
                           : Json()},
          {"peers", std::move(Peers)},
          {"drain_deadline_s", toSeconds(Settings.Data.Logic.DrainDeadline)}};
}

std::string textOf(const Json &Body) {
  return Body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

AdminAnswer jsonAnswer(const Json &Body, unsigned Status = StatusOk) {
  return {Status, "application/json", textOf(Body)};
}

AdminAnswer noTable() {
  return jsonAnswer(
      {{"error", "no_table"}, {"detail", "there is no table in force yet"}},
      StatusUnavailable);
}

/// The candidates of a flow in their order, then those without weight.
Json candidatesJson(const Table &InForce, const Service &Owner,
                    const FlowKey &Key) {
  Json List = Json::array();
  const auto Rows = InForce.assignments(Owner.Id);
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

/// Counts errors since the last log line about their kind.
class ErrorReport {
public:
  void update(const AgentDataCounters &Counters, Instant Now) {
    for (std::size_t I = 0; I < ErrorKindCount; ++I) {
      const std::uint64_t Total = Counters.Errors[I];
      Entry &Each = this->Entries[I];
      const bool IsDue = !Each.LoggedAt || Now - *Each.LoggedAt >= LogPeriod;
      if (Total <= Each.Logged || !IsDue) {
        continue;
      }
      log(LogLevel::Warning, "errors on the data path",
          {{"kind", errorName(static_cast<ErrorKind>(I))},
           {"count", static_cast<std::int64_t>(Total - Each.Logged)}});
      Each.Logged = Total;
      Each.LoggedAt = Now;
    }
  }

private:
  struct Entry {
    std::uint64_t Logged = 0;
    std::optional<Instant> LoggedAt;
  };

  std::array<Entry, ErrorKindCount> Entries;
};

} // namespace

std::span<const SettingSpec> agentSettingSpecs() { return Specs; }

Result<AgentProcessSettings> readAgentSettings(const Settings &Parsed) {
  const auto Lowest = readLogLevel(Parsed.text("log-level"));
  if (!Lowest) {
    return tl::unexpected<Error>(Lowest.error());
  }
  auto Services = readServices(Parsed.text("services"));
  if (!Services) {
    return tl::unexpected<Error>(std::move(Services.error()));
  }
  AgentProcessSettings Read;
  Read.Services = std::move(*Services);
  Read.Documents.Name = Parsed.text("name");
  Read.Documents.AvailabilityZone = Parsed.text("zone");
  Read.Documents.Role = VmRole::Agent;
  Read.Documents.Control = Parsed.endpoint("control");
  if (!Parsed.text("platform").empty()) {
    Read.Documents.Platform = Parsed.endpoint("platform");
  }
  const auto Peers = Parsed.endpoints("peers");
  Read.Documents.Peers.assign(Peers.begin(), Peers.end());
  Read.Admin = Parsed.endpoint("admin");
  Read.Lowest = *Lowest;
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
  std::unique_ptr<AgentProcess> Made(new AgentProcess(
      std::move(Settings), std::move(*Feed), std::move(*Admin)));
  auto Data = AgentData::create(Made->Settings.Data,
                                {[Feed = &Made->Feed] { return Feed->table(); },
                                 [Feed = &Made->Feed] { return Feed->vms(); }});
  if (!Data) {
    return tl::unexpected<Error>(std::move(Data.error()));
  }
  Made->Data = std::move(*Data);
  Made->handlePaths();
  return Made;
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
  std::optional<SignalRequest> Request;
  while (Request != SignalRequest::Stop) {
    Request = waitForSignal(std::chrono::seconds(1));
    if (Request == SignalRequest::Dump) {
      this->logDump();
    }
  }
  const StopReport Report = this->drain();
  this->Running = nullptr;
  Started->stop();
  return Report;
}

std::vector<Duty> AgentProcess::duties() {
  std::vector<Duty> List = this->Feed.duties();
  List.push_back({"data", [this](const std::stop_token &Stop) {
                    return this->Data->run(Stop);
                  }});
  List.push_back({"admin", [this](const std::stop_token &Stop) {
                    return this->Admin.run(Stop);
                  }});
  List.push_back({"report", [this](const std::stop_token &Stop) {
                    return this->reportUntil(Stop);
                  }});
  return List;
}

void AgentProcess::handlePaths() {
  this->Admin.serveMetrics(this->Registry);
  this->Admin.handle(
      "/health", [this](const AdminQuery &) { return this->answerHealth(); });
  this->Admin.handle(
      "/version", [this](const AdminQuery &) { return this->answerVersion(); });
  this->Admin.handle(
      "/table", [this](const AdminQuery &) { return this->answerTable(); });
  this->Admin.handle("/explain", [this](const AdminQuery &Query) {
    return this->answerExplain(Query);
  });
  this->Admin.handle(
      "/drain", [this](const AdminQuery &) { return this->answerDrain(); });
  this->Admin.handle("/dump", [this](const AdminQuery &) {
    return AdminAnswer{StatusOk, "application/json", this->dump()};
  });
}

/// The report duty: metrics, and log lines about errors. Writing a log line may
/// block, which the data thread must not.
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
          "process was paused; openings that waited are dropped",
          {{"pauses", static_cast<std::int64_t>(PausesSeen)}});
    }
    std::this_thread::sleep_for(ReportPeriod);
  }
  return {};
}

StopReport AgentProcess::drain() {
  const Instant StopAt = now();
  const AgentCounters Before = this->Data->view()->Status.Counters;
  const Duration Deadline = this->Settings.Data.Logic.DrainDeadline;
  log(LogLevel::Info, "stop requested; no new work is taken",
      {{"flows", static_cast<std::int64_t>(this->Data->view()->Drain.Flows)},
       {"deadline_s", toSeconds(Deadline)}});
  this->Data->terminate();
  while (!this->Data->isDrained() && now() - StopAt < Deadline + StopMargin) {
    if (waitForSignal(StopCheckPeriod) == SignalRequest::Dump) {
      this->logDump();
    }
  }
  // The last view may be older than the end of the last flow.
  std::this_thread::sleep_for(ReportPeriod);
  const auto View = this->Data->view();
  StopReport Report;
  Report.Cut = View->Drain.Cut + View->Drain.Flows;
  // The numbers begin anew if the data duty was restarted during the drain.
  const std::uint64_t Known = Before.FlowsEnded + View->Drain.Cut;
  const std::uint64_t Total = View->Status.Counters.FlowsEnded;
  Report.Ended = Total - std::min(Known, Total);
  log(LogLevel::Info, "stopping",
      {{"flows_ended", static_cast<std::int64_t>(Report.Ended)},
       {"flows_cut", static_cast<std::int64_t>(Report.Cut)},
       {"stop_took_ms", toMilliseconds(now() - StopAt)}});
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
  return textOf({{"process",
                  {{"process", ProgramName},
                   {"name", this->Settings.Documents.Name},
                   {"product_version", ProductVersion},
                   {"uptime_s", toSeconds(now() - this->StartedAt)}}},
                 {"settings", settingsJson(this->Settings)},
                 {"table", tableJson(*View)},
                 {"digest", digestJson(*View)},
                 {"duties", dutiesJson(this->dutyStatus())},
                 {"counters", std::move(Counters)},
                 {"state", stateJson(*View)}});
}

void AgentProcess::logDump() const {
  // A level above the default of production, since an operator asked for it.
  log(LogLevel::Warning, "state dump", {{"dump", this->dump()}});
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
  for (const DutyStatus &Status : this->dutyStatus()) {
    if (!Status.Running) {
      List.push_back(fmt::format("duty {} is restarting: {}", Status.Name,
                                 Status.LastError));
    }
  }
  const DocumentStatus Status = this->Feed.status();
  if (Status.Reader && !Status.PlatformReachable &&
      this->Settings.Documents.Platform) {
    List.emplace_back("the configuration service cannot be reached");
  }
  if (!Status.LastProblem.empty()) {
    List.push_back(Status.LastProblem);
  }
  return List;
}

AdminAnswer AgentProcess::answerHealth() const {
  const auto Problems = this->problems();
  return jsonAnswer({{"status", Problems.empty() ? "ok" : "degraded"},
                     {"problems", Problems}},
                    Problems.empty() ? StatusOk : StatusUnavailable);
}

AdminAnswer AgentProcess::answerVersion() const {
  const DocumentStatus Status = this->Feed.status();
  const auto View = this->Data->view();
  return jsonAnswer({{"process", ProgramName},
                     {"name", this->Settings.Documents.Name},
                     {"product_version", ProductVersion},
                     {"table", tableJson(*View)},
                     {"digest", digestJson(*View)},
                     {"age_ms", toMilliseconds(Status.SinceConfirmed)},
                     {"reader", Status.Reader},
                     {"platform_reachable", Status.PlatformReachable}});
}

AdminAnswer AgentProcess::answerTable() const {
  const auto View = this->Data->view();
  if (View->InForce == nullptr) {
    return noTable();
  }
  Json Services = Json::array();
  for (const Service &Each : View->InForce->services()) {
    Services.push_back(serviceJson(*View->InForce, Each));
  }
  Json Upstreams = Json::array();
  for (const Upstream &Each : View->InForce->upstreams()) {
    Upstreams.push_back(upstreamJson(Each));
  }
  return jsonAnswer({{"table", tableJson(*View)},
                     {"digest", digestJson(*View)},
                     {"services", std::move(Services)},
                     {"upstreams", std::move(Upstreams)}});
}

AdminAnswer AgentProcess::answerExplain(const AdminQuery &Query) {
  FlowKey Key;
  struct Part {
    std::string_view Name;
    Endpoint &Target;
  };
  for (const Part &Each :
       {Part{"caller", Key.Caller}, Part{"service", Key.Service}}) {
    const auto Found = Query.find(Each.Name);
    const auto Value = parseEndpoint(Found == Query.end() ? "" : Found->second);
    if (!Value) {
      return jsonAnswer({{"error", "bad_request"},
                         {"detail", fmt::format("parameter {}: {}", Each.Name,
                                                Value.error().Detail)}},
                        StatusBadRequest);
    }
    Each.Target = *Value;
  }
  const auto View = this->Data->view();
  if (View->InForce == nullptr) {
    return noTable();
  }
  const Service *Owner = View->InForce->findService(Key.Service);
  Json Body = {{"caller", formatEndpoint(Key.Caller)},
               {"service", formatEndpoint(Key.Service)},
               {"service_name", Owner == nullptr ? Json() : Json(Owner->Name)},
               {"table", tableJson(*View)},
               {"upstream", nullptr},
               {"reason", "no service has this address"},
               {"candidates", Json::array()}};
  if (Owner != nullptr) {
    const auto Home = chooseHome(View->InForce->assignments(Owner->Id), Key,
                                 [](UpstreamId) { return false; });
    if (Home) {
      Body["upstream"] = upstreamName(*View->InForce, *Home);
    }
    Body["reason"] = Home ? "first candidate by the table; agents suspect none"
                          : "no upstream of the service takes new work";
    Body["candidates"] = candidatesJson(*View->InForce, *Owner, Key);
  }
  Body["flow"] = this->Data->explain(Key);
  return jsonAnswer(Body);
}

AdminAnswer AgentProcess::answerDrain() const {
  return jsonAnswer(
      drainJson(this->Settings.Documents.Name, *this->Data->view()));
}

} // namespace mulberryhoist
