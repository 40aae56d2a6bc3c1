#include "mulberryhoist/process.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <utility>

#include "mulberryhoist/replication.h"

namespace mulberryhoist {
namespace {

/// Minimum time between two log lines about the same kind of input error.
constexpr Duration MinLogInterval = std::chrono::seconds(10);

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

Json serviceJson(const Table &InForce, const Service &Entry) {
  Json Upstreams = Json::array();
  for (const Assignment &Row : InForce.assignments(Entry.Id)) {
    Upstreams.push_back({{"name", upstreamName(InForce, Row.Upstream)},
                         {"weight", Row.Weight}});
  }
  return {{"name", Entry.Name},     {"address", formatEndpoint(Entry.Address)},
          {"class", Entry.Class},   {"share", Entry.Share},
          {"closed", Entry.Closed}, {"upstreams", std::move(Upstreams)}};
}

Json upstreamJson(const Upstream &Entry) {
  return {{"name", Entry.Name},
          {"endpoint", formatEndpoint(Entry.Agent)},
          {"zone", Entry.AvailabilityZone},
          {"slots", Entry.Slots},
          {"connections", Entry.Connections}};
}

/// Returns the time in ms since the table was last confirmed by a read; null if
/// it never was.
Json ageJson(const DocumentStatus &Status) {
  return Status.SinceConfirmed >= NeverConfirmed
             ? Json()
             : Json(toMilliseconds(Status.SinceConfirmed));
}

AdminAnswer versionResponse(const ProcessIdentity &Process,
                            const Table *InForce,
                            const DocumentStatus &Status) {
  return jsonResponse({{"process", Process.Program},
                       {"name", Process.Name},
                       {"product_version", ProductVersion},
                       {"table", versionJson(InForce)},
                       {"digest", digestJson(InForce)},
                       {"age_ms", ageJson(Status)},
                       {"reader", Status.Reader},
                       {"platform_reachable", Status.PlatformReachable}});
}

AdminAnswer tableResponse(const Table *InForce) {
  if (InForce == nullptr) {
    return noTableResponse();
  }
  Json Services = Json::array();
  for (const Service &Each : InForce->services()) {
    Services.push_back(serviceJson(*InForce, Each));
  }
  Json Upstreams = Json::array();
  for (const Upstream &Each : InForce->upstreams()) {
    Upstreams.push_back(upstreamJson(Each));
  }
  return jsonResponse({{"table", versionJson(InForce)},
                       {"digest", digestJson(InForce)},
                       {"services", std::move(Services)},
                       {"upstreams", std::move(Upstreams)}});
}

} // namespace

Result<ProcessSettings> readProcessSettings(const Settings &Parsed,
                                            VmRole Role) {
  const auto MinLogLevel = readLogLevel(Parsed.text("log-level"));
  if (!MinLogLevel) {
    return tl::unexpected<Error>(MinLogLevel.error());
  }
  ProcessSettings Values;
  Values.Documents.Name = Parsed.text("name");
  Values.Documents.AvailabilityZone = Parsed.text("zone");
  Values.Documents.Role = Role;
  Values.Documents.Control = Parsed.endpoint("control");
  if (!Parsed.text("platform").empty()) {
    Values.Documents.Platform = Parsed.endpoint("platform");
  }
  const auto Peers = Parsed.endpoints("peers");
  Values.Documents.Peers.assign(Peers.begin(), Peers.end());
  Values.Admin = Parsed.endpoint("admin");
  Values.MinLogLevel = *MinLogLevel;
  return Values;
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
  // The digest is a string, since many JSON parsers lose digits of numbers
  // above 2^53.
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

void addProcessSettings(Json &Target, const ProcessSettings &Settings) {
  const DocumentSettings &Documents = Settings.Documents;
  Json Peers = Json::array();
  for (const Endpoint &Peer : Documents.Peers) {
    Peers.push_back(formatEndpoint(Peer));
  }
  Target["control"] = formatEndpoint(Documents.Control);
  Target["admin"] = formatEndpoint(Settings.Admin);
  Target["platform"] =
      Documents.Platform ? Json(formatEndpoint(*Documents.Platform)) : Json();
  Target["peers"] = std::move(Peers);
}

std::string jsonText(const Json &Body) {
  return Body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

AdminAnswer jsonResponse(const Json &Body, unsigned Status) {
  return {Status, "application/json", jsonText(Body)};
}

AdminAnswer noTableResponse() {
  return jsonResponse(
      {{"error", "no_table"}, {"detail", "there is no table in force yet"}},
      StatusUnavailable);
}

AdminAnswer badRequestResponse(std::string_view Detail) {
  return jsonResponse({{"error", "bad_request"}, {"detail", Detail}},
                      StatusBadRequest);
}

void handleTablePaths(AdminServer &Admin, ProcessIdentity Process,
                      const DocumentFeed &Feed,
                      std::function<std::shared_ptr<const Table>()> InForce) {
  Admin.handle("/version", [Process, &Feed, InForce](const AdminQuery &) {
    return versionResponse(Process, InForce().get(), Feed.status());
  });
  Admin.handle("/table", [InForce = std::move(InForce)](const AdminQuery &) {
    return tableResponse(InForce().get());
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

void addProblems(std::vector<std::string> &Problems,
                 std::span<const DutyStatus> Duties,
                 const DocumentStatus &Status, bool HasPlatform) {
  for (const DutyStatus &Duty : Duties) {
    if (!Duty.Running) {
      Problems.push_back(
          fmt::format("duty {} is restarting: {}", Duty.Name, Duty.LastError));
    }
  }
  if (Status.Reader && !Status.PlatformReachable && HasPlatform) {
    Problems.emplace_back("the configuration service cannot be reached");
  }
  if (!Status.LastProblem.empty()) {
    Problems.push_back(Status.LastProblem);
  }
}

std::uint64_t ErrorLogLimiter::add(ErrorKind Kind, Instant Now,
                                   std::uint64_t Count) {
  Entry &Errors = this->Entries[static_cast<std::size_t>(Kind)];
  Errors.Unreported += Count;
  const bool IsDue =
      !Errors.LoggedAt || Now - *Errors.LoggedAt >= MinLogInterval;
  if (Errors.Unreported == 0 || !IsDue) {
    return 0;
  }
  Errors.LoggedAt = Now;
  return std::exchange(Errors.Unreported, 0);
}

void logStateDump(std::string_view Dump) {
  // Logged as a warning, so that a dump that an operator requested is written
  // even if the minimum level is `warning`, one above the default.
  log(LogLevel::Warning, "state dump", {{"dump", Dump}});
}

std::optional<Settings> parseArguments(std::string_view Program,
                                       std::span<const SettingSpec> Specs,
                                       std::span<const char *const> Arguments,
                                       int &Status) {
  setUpLog(Program, LogLevel::Info);
  auto Parsed = Settings::create(Specs, Arguments);
  if (!Parsed) {
    Status = reportFailure(Parsed.error());
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

int reportFailure(const Error &Problem) {
  logError(Problem);
  return EXIT_FAILURE;
}

int reportValidSettings() {
  fmt::print("the settings are valid\n");
  return EXIT_SUCCESS;
}

} // namespace mulberryhoist
