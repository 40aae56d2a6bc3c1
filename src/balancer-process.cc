#include "mulberryhoist/balancer-process.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <thread>

#include "mulberryhoist/signals.h"

namespace mulberryhoist {
namespace {

using Json = nlohmann::ordered_json;
using std::chrono::milliseconds;

/// How often the report duty looks for problems.
constexpr Duration ReportPeriod = milliseconds(100);

/// The shortest time between two log lines about one kind of input error.
constexpr Duration LogPeriod = std::chrono::seconds(10);

/// How often a stopping balancer looks whether it may exit.
constexpr Duration StopCheckPeriod = milliseconds(50);

constexpr std::string_view ProgramName = "mulberry-balancer";

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusUnavailable = 503;

constexpr SettingSpec Specs[] = {
    {.Name = "name",
     .Type = SettingType::Name,
     .Help = "Name of this VM in the VM list",
     .Required = true},
    {.Name = "zone",
     .Type = SettingType::Name,
     .Help = "Availability zone of this VM",
     .Required = true},
    {.Name = "listen",
     .Type = SettingType::Endpoint,
     .Help = "Where packets and probe replies are received (UDP)",
     .Required = true},
    {.Name = "control",
     .Type = SettingType::Endpoint,
     .Help = "Where neighbours connect for the document exchange",
     .Required = true},
    {.Name = "admin",
     .Type = SettingType::Endpoint,
     .Help = "Where the administration API is served (HTTP)",
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
    {.Name = "stop-deadline-s",
     .Type = SettingType::Number,
     .Help = "Longest time to forward packets after SIGTERM",
     .Default = "30",
     .Min = 1,
     .Max = 3600},
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

std::int64_t toMilliseconds(Duration Value) {
  return std::chrono::duration_cast<milliseconds>(Value).count();
}

double toSeconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

Instant now() { return std::chrono::steady_clock::now(); }

Json versionJson(const DocumentVersion &Version) {
  return {{"epoch", Version.Epoch}, {"revision", Version.Revision}};
}

/// The version of the table in force, or null before there is one.
Json tableJson(const BalancerView &View) {
  return View.InForce == nullptr ? Json()
                                 : versionJson(View.InForce->version());
}

/// A digest as text, since JSON numbers lose digits above 2^53.
std::string digestText(std::uint64_t Digest) {
  return fmt::format("{:016x}", Digest);
}

Json digestJson(const BalancerView &View) {
  return View.InForce == nullptr ? Json()
                                 : Json(digestText(View.InForce->digest()));
}

std::string upstreamName(const Table &InForce, UpstreamId Id) {
  const Upstream *Found = InForce.findUpstream(Id);
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

/// Why a candidate is avoided, or null.
Json excludedJson(Exclusion Value) {
  return Value == Exclusion::None ? Json() : Json(exclusionName(Value));
}

Json agentJson(const BalancerView &View, const AgentHealth &Agent) {
  return {{"upstream", upstreamName(*View.InForce, Agent.Id)},
          {"endpoint", formatEndpoint(Agent.Agent)},
          {"excluded", excludedJson(Agent.exclusion())},
          {"listed", Agent.Presence != AgentPresence::Gone}};
}

Json agentsJson(const BalancerView &View) {
  Json List = Json::array();
  for (const AgentHealth &Agent : View.Agents) {
    List.push_back(agentJson(View, Agent));
  }
  return List;
}

std::string reasonText(const FlowExplanation &Why) {
  if (!Why.Home) {
    return "no service has this address, and none had it recently";
  }
  if (Why.FailOpen) {
    return "every candidate is excluded, so exclusion is ignored";
  }
  if (Why.OldFlowsOnly) {
    return "no upstream of the address takes new work; this one locates the "
           "owners of old flows";
  }
  return "first candidate that is not excluded";
}

Json explanationJson(const Table &InForce, const FlowKey &Key,
                     const FlowExplanation &Why) {
  Json Candidates = Json::array();
  for (const CandidateExplanation &Each : Why.Candidates) {
    Candidates.push_back({{"upstream", upstreamName(InForce, Each.Upstream)},
                          {"score", Each.Score ? Json(*Each.Score) : Json()},
                          {"weight", Each.Weight},
                          {"excluded", Each.Score ? excludedJson(Each.Excluded)
                                                  : Json("weight")}});
  }
  const Service *Owner =
      Why.Service ? InForce.findService(*Why.Service) : nullptr;
  return {
      {"caller", formatEndpoint(Key.Caller)},
      {"service", formatEndpoint(Key.Service)},
      {"service_name", Owner == nullptr ? Json() : Json(Owner->Name)},
      {"table", versionJson(InForce.version())},
      {"upstream", Why.Home ? Json(upstreamName(InForce, *Why.Home)) : Json()},
      {"reason", reasonText(Why)},
      {"candidates", std::move(Candidates)}};
}

Json documentsJson(const DocumentStatus &Status) {
  return {{"confirmed_age_ms", toMilliseconds(Status.SinceConfirmed)},
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

Json dutyJson(const DutyStatus &Status) {
  return {{"name", Status.Name},
          {"running", Status.Running},
          {"restarts", Status.Restarts},
          {"last_error", Status.LastError}};
}

Json dutiesJson(const std::vector<DutyStatus> &Duties) {
  Json List = Json::array();
  for (const DutyStatus &Status : Duties) {
    List.push_back(dutyJson(Status));
  }
  return List;
}

Json settingsJson(const BalancerSettings &Settings) {
  const DocumentSettings &Documents = Settings.Documents;
  Json Peers = Json::array();
  for (const Endpoint &Peer : Documents.Peers) {
    Peers.push_back(formatEndpoint(Peer));
  }
  return {{"name", Documents.Name},
          {"zone", Documents.AvailabilityZone},
          {"listen", formatEndpoint(Settings.Listen)},
          {"control", formatEndpoint(Documents.Control)},
          {"admin", formatEndpoint(Settings.Admin)},
          {"platform", Documents.Platform
                           ? Json(formatEndpoint(*Documents.Platform))
                           : Json()},
          {"peers", std::move(Peers)},
          {"stop_deadline_s", toSeconds(Settings.StopDeadline)}};
}

AdminAnswer jsonAnswer(const Json &Body, unsigned Status = StatusOk) {
  return {Status, "application/json",
          Body.dump(-1, ' ', false, Json::error_handler_t::replace)};
}

AdminAnswer badRequest(std::string_view Detail) {
  return jsonAnswer({{"error", "bad_request"}, {"detail", Detail}},
                    StatusBadRequest);
}

/// Raises a counter to a total that is counted elsewhere.
void raiseTo(prometheus::Counter &Counter, std::uint64_t Total) {
  Counter.Increment(static_cast<double>(Total) - Counter.Value());
}

} // namespace

std::span<const SettingSpec> balancerSettingSpecs() { return Specs; }

Result<BalancerSettings> readBalancerSettings(const Settings &Parsed) {
  const auto Lowest = readLogLevel(Parsed.text("log-level"));
  if (!Lowest) {
    return tl::unexpected<Error>(Lowest.error());
  }
  BalancerSettings Read;
  Read.Documents.Name = Parsed.text("name");
  Read.Documents.AvailabilityZone = Parsed.text("zone");
  Read.Documents.Role = VmRole::Balancer;
  Read.Documents.Control = Parsed.endpoint("control");
  if (!Parsed.text("platform").empty()) {
    Read.Documents.Platform = Parsed.endpoint("platform");
  }
  const auto Peers = Parsed.endpoints("peers");
  Read.Documents.Peers.assign(Peers.begin(), Peers.end());
  Read.Listen = Parsed.endpoint("listen");
  Read.Admin = Parsed.endpoint("admin");
  Read.Lowest = *Lowest;
  Read.StopDeadline = std::chrono::seconds(Parsed.number("stop-deadline-s"));
  return Read;
}

std::optional<StopReason> stopReason(Instant StopAt, Instant LastPacket,
                                     Duration Deadline, Instant Now) {
  if (Now - std::max(StopAt, LastPacket) >= QuietBeforeExit) {
    return StopReason::Quiet;
  }
  if (Now - StopAt >= Deadline) {
    return StopReason::Deadline;
  }
  return std::nullopt;
}

std::uint64_t ProblemLimiter::add(ErrorKind Kind, Instant Now) {
  Entry &Each = this->Entries[static_cast<std::size_t>(Kind)];
  ++Each.Waiting;
  if (Each.LoggedAt && Now - *Each.LoggedAt < LogPeriod) {
    return 0;
  }
  Each.LoggedAt = Now;
  return std::exchange(Each.Waiting, 0);
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
  std::unique_ptr<BalancerProcess> Made(new BalancerProcess(
      std::move(Settings), std::move(*Feed), std::move(*Admin)));
  const DocumentSource Documents = {
      [Feed = &Made->Feed] { return Feed->table(); },
      [Feed = &Made->Feed] { return Feed->vms(); }};
  auto Data =
      BalancerData::create(Made->Settings.Listen, Documents, Made->Metrics);
  if (!Data) {
    return tl::unexpected<Error>(std::move(Data.error()));
  }
  Made->Data = std::move(*Data);
  Made->handlePaths();
  return Made;
}

Result<StopReason> BalancerProcess::run() {
  auto Started = Supervisor::start(this->duties());
  if (!Started) {
    return tl::unexpected<Error>(std::move(Started.error()));
  }
  this->Running = &*Started;
  log(LogLevel::Info, "balancer started",
      {{"listen", formatEndpoint(this->Data->address())},
       {"admin", formatEndpoint(this->Admin.address())},
       {"version", ProductVersion}});
  std::optional<SignalRequest> Request;
  while (Request != SignalRequest::Stop) {
    Request = waitForSignal(std::chrono::seconds(1));
    if (Request == SignalRequest::Dump) {
      this->logDump();
    }
  }
  const StopReason Reason = this->waitUntilQuiet();
  Started->stop();
  this->Running = nullptr;
  return Reason;
}

std::vector<Duty> BalancerProcess::duties() {
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

void BalancerProcess::handlePaths() {
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
  this->Admin.handle("/dump", [this](const AdminQuery &) {
    return AdminAnswer{StatusOk, "application/json", this->dump()};
  });
}

/// The report duty: log lines about input errors, and metrics that are read
/// from elsewhere. Writing a log line may block, which the data thread must
/// not.
Result<void> BalancerProcess::reportUntil(const std::stop_token &Stop) {
  ProblemLimiter Limiter;
  double PausesSeen = this->Metrics.Pauses.Value();
  while (!Stop.stop_requested()) {
    this->reportProblems(Limiter);
    this->updateMetrics();
    if (this->Metrics.Pauses.Value() > PausesSeen) {
      PausesSeen = this->Metrics.Pauses.Value();
      log(LogLevel::Warning, "process was paused; suspicions are discarded",
          {{"pauses", PausesSeen}});
    }
    std::this_thread::sleep_for(ReportPeriod);
  }
  return {};
}

void BalancerProcess::reportProblems(ProblemLimiter &Limiter) {
  while (const auto Problem = this->Data->takeProblem()) {
    const std::uint64_t Count = Limiter.add(Problem->Kind, now());
    if (Count != 0) {
      log(LogLevel::Warning, "error in input",
          {{"kind", errorName(Problem->Kind)},
           {"count", static_cast<std::int64_t>(Count)},
           {"last_peer", formatEndpoint(Problem->From)}});
    }
  }
}

void BalancerProcess::updateMetrics() {
  const DocumentStatus Status = this->Feed.status();
  this->Metrics.TableAge.Set(toSeconds(Status.SinceConfirmed));
  raiseTo(this->Metrics.ShedProblems, this->Data->shedProblems());
  raiseTo(this->Metrics.PlatformCalls, Status.PlatformCalls);
  raiseTo(this->Metrics.OlderTables, Status.OlderIgnored);
  raiseTo(this->Metrics.InvalidTables, Status.InvalidRejected);
  raiseTo(this->Metrics.ControlBytesSent, Status.BytesSent);
  raiseTo(this->Metrics.ControlBytesReceived, Status.BytesReceived);
  const auto InForce = this->Data->view()->InForce;
  if (InForce != nullptr) {
    this->Metrics.TableEpoch.Set(InForce->version().Epoch);
    this->Metrics.TableRevision.Set(
        static_cast<double>(InForce->version().Revision));
  }
}

/// Forwards packets until the fabric has turned to other balancers.
StopReason BalancerProcess::waitUntilQuiet() {
  this->Leaving = true;
  const Instant StopAt = now();
  log(LogLevel::Info, "stop requested; packets are still forwarded",
      {{"deadline_s", toSeconds(this->Settings.StopDeadline)}});
  std::optional<StopReason> Reason;
  while (!Reason) {
    if (waitForSignal(StopCheckPeriod) == SignalRequest::Dump) {
      this->logDump();
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
  const Json Body = {
      {"process",
       {{"process", ProgramName},
        {"name", this->Settings.Documents.Name},
        {"product_version", ProductVersion},
        {"uptime_s", toSeconds(now() - this->StartedAt)},
        {"leaving", this->Leaving.load()}}},
      {"settings", settingsJson(this->Settings)},
      {"table", tableJson(*View)},
      {"digest", digestJson(*View)},
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
      {"state", {{"agents", agentsJson(*View)}}}};
  return Body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::vector<DutyStatus> BalancerProcess::dutyStatus() const {
  const Supervisor *Duties = this->Running;
  return Duties == nullptr ? std::vector<DutyStatus>() : Duties->status();
}

void BalancerProcess::logDump() const {
  // A level above the default of production, since an operator asked for it.
  log(LogLevel::Warning, "state dump", {{"dump", this->dump()}});
}

std::vector<std::string> BalancerProcess::problems() const {
  std::vector<std::string> List;
  if (this->Leaving) {
    List.emplace_back("stop requested; packets are still forwarded");
  }
  if (this->Data->view()->InForce == nullptr) {
    List.emplace_back("there is no table in force yet");
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

AdminAnswer BalancerProcess::answerHealth() const {
  const auto Problems = this->problems();
  const std::string_view Status = this->Leaving      ? "leaving"
                                  : Problems.empty() ? "ok"
                                                     : "degraded";
  return jsonAnswer({{"status", Status}, {"problems", Problems}},
                    Problems.empty() ? StatusOk : StatusUnavailable);
}

AdminAnswer BalancerProcess::answerVersion() const {
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

AdminAnswer BalancerProcess::answerTable() const {
  const auto InForce = this->Data->view()->InForce;
  if (InForce == nullptr) {
    return jsonAnswer(
        {{"error", "no_table"}, {"detail", "there is no table in force yet"}},
        StatusUnavailable);
  }
  Json Services = Json::array();
  for (const Service &Each : InForce->services()) {
    Services.push_back(serviceJson(*InForce, Each));
  }
  Json Upstreams = Json::array();
  for (const Upstream &Each : InForce->upstreams()) {
    Upstreams.push_back(upstreamJson(Each));
  }
  return jsonAnswer({{"table", versionJson(InForce->version())},
                     {"digest", digestText(InForce->digest())},
                     {"services", std::move(Services)},
                     {"upstreams", std::move(Upstreams)}});
}

AdminAnswer BalancerProcess::answerExplain(const AdminQuery &Query) const {
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
      return badRequest(
          fmt::format("parameter {}: {}", Each.Name, Value.error().Detail));
    }
    Each.Target = *Value;
  }
  const auto View = this->Data->view();
  if (View->InForce == nullptr) {
    return jsonAnswer(
        {{"error", "no_table"}, {"detail", "there is no table in force yet"}},
        StatusUnavailable);
  }
  return jsonAnswer(explanationJson(
      *View->InForce, Key, explainFlow(*View->InForce, View->Agents, Key)));
}

} // namespace mulberryhoist
