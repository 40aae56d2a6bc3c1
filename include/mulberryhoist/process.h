/// \file
/// What all processes have in common: settings, answers of the administration
/// API, the report of input errors, signals and `main`.

#ifndef MULBERRYHOIST_PROCESS_H
#define MULBERRYHOIST_PROCESS_H

#include <array>
#include <concepts>
#include <cstdlib>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "mulberryhoist/admin.h"
#include "mulberryhoist/documents.h"
#include "mulberryhoist/http-answer.h"
#include "mulberryhoist/log.h"
#include "mulberryhoist/settings.h"
#include "mulberryhoist/signals.h"
#include "mulberryhoist/supervisor.h"

namespace mulberryhoist {

/// A JSON value that keeps the order of its keys.
using Json = nlohmann::ordered_json;

inline constexpr SettingSpec ZoneSpec = {.Name = "zone",
                                         .Type = SettingType::Name,
                                         .Help = "Availability zone of this VM",
                                         .Required = true};
inline constexpr SettingSpec ControlSpec = {
    .Name = "control",
    .Type = SettingType::Endpoint,
    .Help = "Where neighbours connect for the document exchange",
    .Required = true};
inline constexpr SettingSpec AdminSpec = {
    .Name = "admin",
    .Type = SettingType::Endpoint,
    .Help = "Where the administration API is served (HTTP)",
    .Default = "127.0.0.1:9180"};
inline constexpr SettingSpec PlatformSpec = {
    .Name = "platform",
    .Type = SettingType::Endpoint,
    .Help = "The configuration service; without it only neighbours are asked"};
inline constexpr SettingSpec PeersSpec = {
    .Name = "peers",
    .Type = SettingType::EndpointList,
    .Help = "Control addresses of neighbours to begin with"};
inline constexpr SettingSpec LogLevelSpec = {
    .Name = "log-level",
    .Type = SettingType::Text,
    .Help = "Lowest level that is logged: debug, info, warning or error",
    .Default = "info"};

/// The settings that every process has.
struct ProcessSettings {
  DocumentSettings Documents;
  Endpoint Admin;
  LogLevel Lowest = LogLevel::Info;
};

/// Reads the settings that every process has.
Result<ProcessSettings> readProcessSettings(const Settings &Parsed,
                                            VmRole Role);

/// Which process answers.
struct ProcessIdentity {
  std::string_view Program;
  std::string_view Name;
};

Instant now();
std::int64_t toMilliseconds(Duration Value);
double toSeconds(Duration Value);

/// The name of an upstream, or its identifier if the table does not list it.
std::string upstreamName(const Table &InForce, UpstreamId Id);

/// The version of the table in force; null before there is one.
Json versionJson(const Table *InForce);

/// The digest of the table in force; null before there is one.
Json digestJson(const Table *InForce);

Json processJson(const ProcessIdentity &Process, Instant StartedAt);
Json documentsJson(const DocumentStatus &Status);
Json dutiesJson(std::span<const DutyStatus> Duties);

/// Adds the settings that every process has to those of a dump.
void addProcessSettings(Json &To, const ProcessSettings &Settings);

/// Writes a value on one line; bytes that are not UTF-8 are replaced.
std::string jsonText(const Json &Body);

AdminAnswer jsonAnswer(const Json &Body, unsigned Status = StatusOk);

/// The answer 503 `no_table`.
AdminAnswer noTableAnswer();

/// The answer 400 `bad_request`.
AdminAnswer badRequestAnswer(std::string_view Detail);

/// Adds `/version` and `/table`; `InForce` returns the table in force or null.
/// The feed and the texts of the identity must outlive the server.
void handleTablePaths(AdminServer &Admin, ProcessIdentity Process,
                      const DocumentFeed &Feed,
                      std::function<std::shared_ptr<const Table>()> InForce);

/// The duties of a process, which must outlive them.
std::vector<Duty> makeDuties(DocumentFeed &Feed, AdminServer &Admin,
                             decltype(Duty::Run) Data,
                             decltype(Duty::Run) Report);

/// The flow that the query of `/explain` names.
Result<FlowKey> readFlowQuery(const AdminQuery &Query);

/// Adds one sentence for each problem of duties and documents.
void addProblems(std::vector<std::string> &To,
                 std::span<const DutyStatus> Duties,
                 const DocumentStatus &Status, bool HasPlatform);

/// Limits the log lines about input errors to one of a kind in 10 s.
class ProblemLimiter {
public:
  /// Adds errors of a kind; returns how many to report in one line now, 0 for
  /// no line.
  std::uint64_t add(ErrorKind Kind, Instant Now, std::uint64_t Count = 1);

private:
  struct Entry {
    std::optional<Instant> LoggedAt;
    std::uint64_t Waiting = 0;
  };

  std::array<Entry, ErrorKindCount> Entries;
};

/// Writes a state dump to the log.
void logStateDump(std::string_view Dump);

/// Waits for SIGTERM; a request for a state dump is answered with what
/// `MakeDump` returns.
template <std::invocable Dump> void waitForStop(const Dump &MakeDump) {
  std::optional<SignalRequest> Request;
  while (Request != SignalRequest::Stop) {
    Request = waitForSignal(std::chrono::seconds(1));
    if (Request == SignalRequest::Dump) {
      logStateDump(MakeDump());
    }
  }
}

/// A process that a program runs.
template <typename T>
concept RunnableProcess = requires(const typename T::SettingsType &Settings) {
  { Settings.Documents.Name } -> std::convertible_to<std::string_view>;
  { Settings.Lowest } -> std::convertible_to<LogLevel>;
  { T::create(Settings)->get()->run().has_value() } -> std::same_as<bool>;
};

/// Parses the flags of a program and serves `--help` and `--version`. Without a
/// value the program ends with `Status`.
std::optional<Settings> parseArguments(std::string_view Program,
                                       std::span<const SettingSpec> Specs,
                                       std::span<const char *const> Arguments,
                                       int &Status);

/// Logs an error; returns the exit status of a failure.
int failProgram(const Error &Problem);

/// Reports that the settings are valid.
int endConfigCheck();

/// The body of `main`: reads the settings and runs the process.
template <RunnableProcess T, typename Read>
int runProgram(std::string_view Program, std::span<const SettingSpec> Specs,
               const Read &ReadSettings,
               std::span<const char *const> Arguments) {
  int Status = EXIT_SUCCESS;
  const auto Parsed = parseArguments(Program, Specs, Arguments, Status);
  if (!Parsed) {
    return Status;
  }
  const auto Chosen = ReadSettings(*Parsed);
  if (!Chosen) {
    return failProgram(Chosen.error());
  }
  if (Parsed->mode() == SettingsMode::CheckConfig) {
    return endConfigCheck();
  }
  setUpLog(Chosen->Documents.Name, Chosen->Lowest);
  const auto Blocked = blockSignals();
  if (!Blocked) {
    return failProgram(Blocked.error());
  }
  const LogWriter Writer;
  const auto Process = T::create(*Chosen);
  if (!Process) {
    return failProgram(Process.error());
  }
  const auto Stopped = (*Process)->run();
  return Stopped ? EXIT_SUCCESS : failProgram(Stopped.error());
}

} // namespace mulberryhoist

#endif // MULBERRYHOIST_PROCESS_H
