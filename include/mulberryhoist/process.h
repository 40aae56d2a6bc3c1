/// \file
/// Code shared by all processes: settings, responses of the administration API,
/// logging of input errors, signal handling and the body of `main`.

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

/// Settings common to all processes.
struct ProcessSettings {
  DocumentSettings Documents;
  Endpoint Admin;
  LogLevel MinLogLevel = LogLevel::Info;
};

/// Reads the settings common to all processes; returns `InvalidSetting` for an
/// unknown log level.
Result<ProcessSettings> readProcessSettings(const Settings &Parsed,
                                            VmRole Role);

/// Names the program and the process in responses of the administration API.
struct ProcessIdentity {
  std::string_view Program;
  std::string_view Name;
};

Instant now();
std::int64_t toMilliseconds(Duration Value);
double toSeconds(Duration Value);

/// Returns the name of an upstream, or its identifier as eight hexadecimal
/// digits if the table does not list it.
std::string upstreamName(const Table &InForce, UpstreamId Id);

/// Returns the version of the table in force; null if `InForce` is null.
Json versionJson(const Table *InForce);

/// Returns the digest of the table in force as 16 hexadecimal digits; null if
/// `InForce` is null.
Json digestJson(const Table *InForce);

Json processJson(const ProcessIdentity &Process, Instant StartedAt);
Json documentsJson(const DocumentStatus &Status);
Json dutiesJson(std::span<const DutyStatus> Duties);

/// Adds the settings common to all processes to a JSON object of settings.
void addProcessSettings(Json &Target, const ProcessSettings &Settings);

/// Serialises a value on one line; replaces bytes that are not valid UTF-8 by
/// U+FFFD.
std::string jsonText(const Json &Body);

AdminAnswer jsonResponse(const Json &Body, unsigned Status = StatusOk);

/// Returns status 503 with the error `no_table`.
AdminAnswer noTableResponse();

/// Returns status 400 with the error `bad_request`.
AdminAnswer badRequestResponse(std::string_view Detail);

/// Registers the handlers of `/version` and `/table`; `InForce` returns the
/// table in force or null. `Feed` and the strings of `Process` must outlive the
/// server.
void handleTablePaths(AdminServer &Admin, ProcessIdentity Process,
                      const DocumentFeed &Feed,
                      std::function<std::shared_ptr<const Table>()> InForce);

/// Returns the duties of a process; `Feed` and `Admin` must outlive them.
std::vector<Duty> makeDuties(DocumentFeed &Feed, AdminServer &Admin,
                             decltype(Duty::Run) Data,
                             decltype(Duty::Run) Report);

/// Parses the flow from the parameters `caller` and `service` of `/explain`;
/// returns `InvalidSetting` if one is missing or not `IPv4:port`.
Result<FlowKey> readFlowQuery(const AdminQuery &Query);

/// Adds a message for each duty that is not running and for each problem of the
/// document exchange.
void addProblems(std::vector<std::string> &Problems,
                 std::span<const DutyStatus> Duties,
                 const DocumentStatus &Status, bool HasPlatform);

/// Limits log lines about input errors to one per error kind in 10 s.
class ErrorLogLimiter {
public:
  /// Adds `Count` errors of a kind; returns the number of errors to report in
  /// one line now, or 0 if no line is due.
  std::uint64_t add(ErrorKind Kind, Instant Now, std::uint64_t Count = 1);

private:
  struct Entry {
    std::optional<Instant> LoggedAt;
    std::uint64_t Unreported = 0;
  };

  std::array<Entry, ErrorKindCount> Entries;
};

/// Writes a state dump to the log in one line.
void logStateDump(std::string_view Dump);

/// Waits for SIGTERM or SIGINT; logs the result of `MakeDump` on each SIGUSR1.
template <std::invocable Dump> void waitForStop(const Dump &MakeDump) {
  std::optional<SignalRequest> Request;
  while (Request != SignalRequest::Stop) {
    Request = waitForSignal(std::chrono::seconds(1));
    if (Request == SignalRequest::Dump) {
      logStateDump(MakeDump());
    }
  }
}

/// A process that `runProgram` can create from its settings and run.
template <typename T>
concept RunnableProcess = requires(const typename T::SettingsType &Settings) {
  { Settings.Documents.Name } -> std::convertible_to<std::string_view>;
  { Settings.MinLogLevel } -> std::convertible_to<LogLevel>;
  { T::create(Settings)->get()->run().has_value() } -> std::same_as<bool>;
};

/// Parses the flags of a program and handles `--help` and `--version`. If it
/// returns no value, the program must exit with `Status`.
std::optional<Settings> parseArguments(std::string_view Program,
                                       std::span<const SettingSpec> Specs,
                                       std::span<const char *const> Arguments,
                                       int &Status);

/// Logs an error and returns `EXIT_FAILURE`.
int reportFailure(const Error &Problem);

/// Prints that the settings are valid and returns `EXIT_SUCCESS`.
int reportValidSettings();

/// Implements `main`: reads the settings, runs the process until it stops and
/// returns the exit status.
template <RunnableProcess T, typename Read>
int runProgram(std::string_view Program, std::span<const SettingSpec> Specs,
               const Read &ReadSettings,
               std::span<const char *const> Arguments) {
  int Status = EXIT_SUCCESS;
  const auto Parsed = parseArguments(Program, Specs, Arguments, Status);
  if (!Parsed) {
    return Status;
  }
  const auto ProgramSettings = ReadSettings(*Parsed);
  if (!ProgramSettings) {
    return reportFailure(ProgramSettings.error());
  }
  if (Parsed->mode() == SettingsMode::CheckConfig) {
    return reportValidSettings();
  }
  setUpLog(ProgramSettings->Documents.Name, ProgramSettings->MinLogLevel);
  const auto Blocked = blockSignals();
  if (!Blocked) {
    return reportFailure(Blocked.error());
  }
  const LogWriter Writer;
  const auto Process = T::create(*ProgramSettings);
  if (!Process) {
    return reportFailure(Process.error());
  }
  const auto Stopped = (*Process)->run();
  return Stopped ? EXIT_SUCCESS : reportFailure(Stopped.error());
}

} // namespace mulberryhoist

#endif // MULBERRYHOIST_PROCESS_H
