#include "mulberryhoist/process.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <utility>

#include "mulberryhoist/replication.h"

namespace mulberryhoist {
namespace {

/// The shortest time between two log lines about one kind of input error.
constexpr Duration LogPeriod = std::chrono::seconds(10);

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

/// The age of the last confirmed read; null before there was one.
Json ageJson(const DocumentStatus &Status) {
  return Status.SinceConfirmed >= NeverConfirmed
             ? Json()
             : Json(toMilliseconds(Status.SinceConfirmed));
}

AdminAnswer versionAnswer(const ProcessIdentity &Process, const Table *InForce,
                          const DocumentStatus &Status) {
  return jsonAnswer({{"process", Process.Program},
                     {"name", Process.Name},
                     {"product_version", ProductVersion},
                     {"table", versionJson(InForce)},
                     {"digest", digestJson(InForce)},
                     {"age_ms", ageJson(Status)},
                     {"reader", Status.Reader},
                     {"platform_reachable", Status.PlatformReachable}});
}

AdminAnswer tableAnswer(const Table *InForce) {
  if (InForce == nullptr) {
    return noTableAnswer();
  }
  Json Services = Json::array();
  for (const Service &Each : InForce->services()) {
    Services.push_back(serviceJson(*InForce, Each));
  }
  Json Upstreams = Json::array();
  for (const Upstream &Each : InForce->upstreams()) {
    Upstreams.push_back(upstreamJson(Each));
  }
  return jsonAnswer({{"table", versionJson(InForce)},
                     {"digest", digestJson(InForce)},
                     {"services", std::move(Services)},
                     {"upstreams", std::move(Upstreams)}});
}

} // namespace

Result<ProcessSettings> readProcessSettings(const Settings &Parsed,
                                            VmRole Role) {
  const auto Lowest = readLogLevel(Parsed.text("log-level"));
  if (!Lowest) {
    return tl::unexpected<Error>(Lowest.error());
  }
  ProcessSettings Read;
  Read.Documents.Name = Parsed.text("name");
  Read.Documents.AvailabilityZone = Parsed.text("zone");
  Read.Documents.Role = Role;
  Read.Documents.Control = Parsed.endpoint("control");
  if (!Parsed.text("platform").empty()) {
    Read.Documents.Platform = Parsed.endpoint("platform");
  }
  const auto Peers = Parsed.endpoints("peers");
  Read.Documents.Peers.assign(Peers.begin(), Peers.end());
  Read.Admin = Parsed.endpoint("admin");
  Read.Lowest = *Lowest;
  return Read;
}

Instant now() { return std::chrono::steady_clock::now(); }

std::int64_t toMilliseconds(Duration Value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Value).count();
}

double toSeconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

std::string upstreamName(const Table &InForce, UpstreamId Id) {
  const Upstream *Found = InForce.findUpstream(Id);
  return Found == nullptr ? fmt::format("{:08x}", Id.Value) : Found->Name;
}

Json versionJson(const Table *InForce) {
  if (InForce == nullptr) {
    return nullptr;
  }
  const TableVersion Version = InForce->version();
  return {{"epoch", Version.Epoch}, {"revision", Version.Revision}};
}

Json digestJson(const Table *InForce) {
  // A digest is text, since JSON numbers lose digits above 2^53.
  return InForce == nullptr ? Json()
                            : Json(fmt::format("{:016x}", InForce->digest()));
}

Json processJson(const ProcessIdentity &Process, Instant StartedAt) {
  return {{"process", Process.Program},
          {"name", Process.Name},
          {"product_version", ProductVersion},
          {"uptime_s", toSeconds(now() - StartedAt)}};
}

Json documentsJson(const DocumentStatus &Status) {
  return {{"confirmed_age_ms", ageJson(Status)},
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

Json dutiesJson(std::span<const DutyStatus> Duties) {
  Json List = Json::array();
  for (const DutyStatus &Status : Duties) {
    List.push_back({{"name", Status.Name},
                    {"running", Status.Running},
                    {"restarts", Status.Restarts},
                    {"last_error", Status.LastError}});
  }
  return List;
}

void addProcessSettings(Json &To, const ProcessSettings &Settings) {
  const DocumentSettings &Documents = Settings.Documents;
  Json Peers = Json::array();
  for (const Endpoint &Peer : Documents.Peers) {
    Peers.push_back(formatEndpoint(Peer));
  }
  To["control"] = formatEndpoint(Documents.Control);
  To["admin"] = formatEndpoint(Settings.Admin);
  To["platform"] =
      Documents.Platform ? Json(formatEndpoint(*Documents.Platform)) : Json();
  To["peers"] = std::move(Peers);
}

std::string jsonText(const Json &Body) {
  return Body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

AdminAnswer jsonAnswer(const Json &Body, unsigned Status) {
  return {Status, "application/json", jsonText(Body)};
}

AdminAnswer noTableAnswer() {
  return jsonAnswer(
      {{"error", "no_table"}, {"detail", "there is no table in force yet"}},
      StatusUnavailable);
}

AdminAnswer badRequestAnswer(std::string_view Detail) {
  return jsonAnswer({{"error", "bad_request"}, {"detail", Detail}},
                    StatusBadRequest);
}

void handleTablePaths(AdminServer &Admin, ProcessIdentity Process,
                      const DocumentFeed &Feed,
                      std::function<std::shared_ptr<const Table>()> InForce) {
  Admin.handle("/version", [Process, &Feed, InForce](const AdminQuery &) {
    return versionAnswer(Process, InForce().get(), Feed.status());
  });
  Admin.handle("/table", [InForce = std::move(InForce)](const AdminQuery &) {
    return tableAnswer(InForce().get());
  });
}

std::vector<Duty> makeDuties(DocumentFeed &Feed, AdminServer &Admin,
                             decltype(Duty::Run) Data,
                             decltype(Duty::Run) Report) {
  std::vector<Duty> List = Feed.duties();
  List.push_back({"data", std::move(Data)});
  List.push_back({"admin", [&Admin](const std::stop_token &Stop) {
                    return Admin.run(Stop);
                  }});
  List.push_back({"report", std::move(Report)});
  return List;
}

Result<FlowKey> readFlowQuery(const AdminQuery &Query) {
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
      return makeError(
          Value.error().Kind,
          fmt::format("parameter {}: {}", Each.Name, Value.error().Detail));
    }
    Each.Target = *Value;
  }
  return Key;
}

void addProblems(std::vector<std::string> &To,
                 std::span<const DutyStatus> Duties,
                 const DocumentStatus &Status, bool HasPlatform) {
  for (const DutyStatus &Duty : Duties) {
    if (!Duty.Running) {
      To.push_back(
          fmt::format("duty {} is restarting: {}", Duty.Name, Duty.LastError));
    }
  }
  if (Status.Reader && !Status.PlatformReachable && HasPlatform) {
    To.emplace_back("the configuration service cannot be reached");
  }
  if (!Status.LastProblem.empty()) {
    To.push_back(Status.LastProblem);
  }
}

std::uint64_t ProblemLimiter::add(ErrorKind Kind, Instant Now,
                                  std::uint64_t Count) {
  Entry &Each = this->Entries[static_cast<std::size_t>(Kind)];
  Each.Waiting += Count;
  const bool IsDue = !Each.LoggedAt || Now - *Each.LoggedAt >= LogPeriod;
  if (Each.Waiting == 0 || !IsDue) {
    return 0;
  }
  Each.LoggedAt = Now;
  return std::exchange(Each.Waiting, 0);
}

void logStateDump(std::string_view Dump) {
  // A level above the default of production, since an operator asked for it.
  log(LogLevel::Warning, "state dump", {{"dump", Dump}});
}

std::optional<Settings> parseArguments(std::string_view Program,
                                       std::span<const SettingSpec> Specs,
                                       std::span<const char *const> Arguments,
                                       int &Status) {
  setUpLog(Program, LogLevel::Info);
  auto Parsed = Settings::create(Specs, Arguments);
  if (!Parsed) {
    Status = failProgram(Parsed.error());
    return std::nullopt;
  }
  if (Parsed->mode() == SettingsMode::ShowHelp) {
    fmt::print("{}", Parsed->helpText());
    return std::nullopt;
  }
  if (Parsed->mode() == SettingsMode::ShowVersion) {
    fmt::print("{} {}\n", Program, ProductVersion);
    return std::nullopt;
  }
  return std::move(*Parsed);
}

int failProgram(const Error &Problem) {
  logError(Problem);
  return EXIT_FAILURE;
}

int endConfigCheck() {
  fmt::print("the settings are valid\n");
  return EXIT_SUCCESS;
}

} // namespace mulberryhoist
