#include "mulberryhoist/ctl.h"

#include <fmt/format.h>
#include <fmt/ostream.h>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include "mulberryhoist/http-client.h"
#include "mulberryhoist/settings.h"
#include "mulberryhoist/table.h"

namespace mulberryhoist {
namespace {

using Json = nlohmann::json;

constexpr SettingSpec Specs[] = {
    {"timeout-ms", SettingType::Number, "Time for each process to answer",
     "3000", false, 1, 600000},
};

constexpr std::string_view CommandHelp = R"(
Commands:
  check TABLE.csv            Check a table before it is published
  dump ADDRESS               Show the state dump of a process
  compare ADDRESS ADDRESS... Show the differences between dumps
  versions ADDRESS...        Show the table version in force on each process
  explain FLOW ADDRESS...    Show which upstream each process would choose for
                             the flow CALLER:PORT->SERVICE:PORT, and why
  drain ADDRESS              Show what still holds an upstream open

Exit status: 0 success; 1 invalid table, or processes do not agree; 2 unknown
command; 3 wrong argument; 4 process does not answer; 5 unusable answer
)";

/// Parts of a dump that differ between healthy processes.
constexpr std::string_view IgnoredDumpKeys[] = {"process", "settings", "duties",
                                                "counters"};

constexpr std::string_view FlowArrow = "->";

/// A problem of one command: its exit status and the line that reports it.
struct Failure {
  CtlStatus Status;
  std::string Line;
};

/// One process and its answer.
struct ProcessAnswer {
  Endpoint Address;
  tl::expected<Json, Failure> Body;
};

/// The arguments and streams of one command.
struct CommandContext {
  std::span<const std::string> Arguments;
  Duration Timeout;
  std::ostream &Out;
  std::ostream &Err;
};

CtlStatus report(std::ostream &Err, const Failure &Problem) {
  fmt::print(Err, "mulberryctl: {}\n", Problem.Line);
  return Problem.Status;
}

tl::unexpected<Failure> fail(CtlStatus Status, std::string Line) {
  return tl::unexpected<Failure>(Failure{Status, std::move(Line)});
}

std::string dumpJson(const Json &Value, int Indent = -1) {
  return Value.dump(Indent, ' ', false, Json::error_handler_t::replace);
}

/// The value of a key as people read it; `-` if there is none.
std::string field(const Json &Object, std::string_view Key) {
  const auto Found = Object.find(Key);
  if (Found == Object.end() || Found->is_null()) {
    return "-";
  }
  return Found->is_string() ? Found->get<std::string>() : dumpJson(*Found);
}

/// The table version of an answer as `epoch.revision`.
std::string versionField(const Json &Object) {
  const auto Found = Object.find("table");
  if (Found == Object.end() || !Found->is_object()) {
    return "-";
  }
  return fmt::format("{}.{}", field(*Found, "epoch"),
                     field(*Found, "revision"));
}

/// The elements of an array under a key that are objects.
std::vector<Json> objects(const Json &Object, std::string_view Key) {
  std::vector<Json> List;
  const auto Found = Object.find(Key);
  if (Found == Object.end() || !Found->is_array()) {
    return List;
  }
  for (const Json &Entry : *Found) {
    if (Entry.is_object()) {
      List.push_back(Entry);
    }
  }
  return List;
}

tl::expected<Json, Failure> readAnswer(Endpoint Address,
                                       const Result<HttpAnswer> &Answer) {
  if (!Answer) {
    return fail(CtlStatus::Unreachable, Answer.error().Detail);
  }
  Json Body = Json::parse(Answer->Body, nullptr, false);
  if (Answer->Status != StatusOk) {
    return fail(CtlStatus::UnusableAnswer,
                fmt::format("{} answers HTTP status {}: {}",
                            formatEndpoint(Address), Answer->Status,
                            Body.is_object() ? field(Body, "detail") : "-"));
  }
  if (!Body.is_object()) {
    return fail(CtlStatus::UnusableAnswer,
                fmt::format("{} answers with something else than a JSON object",
                            formatEndpoint(Address)));
  }
  return Body;
}

tl::expected<std::vector<Endpoint>, Failure>
parseAddresses(std::span<const std::string> Arguments) {
  std::vector<Endpoint> Addresses;
  for (const std::string &Argument : Arguments) {
    const auto Address = parseEndpoint(Argument);
    if (!Address) {
      return fail(CtlStatus::WrongArgument,
                  fmt::format("ADDRESS {}", Address.error().Detail));
    }
    Addresses.push_back(*Address);
  }
  return Addresses;
}

/// Asks all processes that the arguments name.
tl::expected<std::vector<ProcessAnswer>, Failure>
askAll(const CommandContext &Context, std::span<const std::string> Arguments,
       std::string_view Target) {
  const auto Addresses = parseAddresses(Arguments);
  if (!Addresses) {
    return tl::unexpected<Failure>(Addresses.error());
  }
  const auto Answers = httpGetAll(*Addresses, Target, Context.Timeout);
  std::vector<ProcessAnswer> List;
  List.reserve(Answers.size());
  for (std::size_t I = 0; I < Answers.size(); ++I) {
    const Endpoint Address = (*Addresses)[I];
    List.push_back({Address, readAnswer(Address, Answers[I])});
  }
  return List;
}

/// Reports the processes that did not answer; returns the first failure's
/// status, or success.
CtlStatus reportFailures(const CommandContext &Context,
                         std::span<const ProcessAnswer> Answers) {
  CtlStatus Status = CtlStatus::Success;
  for (const ProcessAnswer &Answer : Answers) {
    if (Answer.Body) {
      continue;
    }
    report(Context.Err, Answer.Body.error());
    if (Status == CtlStatus::Success) {
      Status = Answer.Body.error().Status;
    }
  }
  return Status;
}

/// The status of a command that compares processes: a missing answer goes
/// before a difference.
CtlStatus agreement(CtlStatus Answered, bool Agree) {
  if (Answered != CtlStatus::Success) {
    return Answered;
  }
  return Agree ? CtlStatus::Success : CtlStatus::Finding;
}

CtlStatus check(const CommandContext &Context) {
  const std::string &Path = Context.Arguments[0];
  std::ifstream File(Path, std::ios::binary);
  // One byte more than allowed is enough for the parser to see the excess.
  std::string Csv(MaxTableBytes + 1, '\0');
  File.read(Csv.data(), static_cast<std::streamsize>(Csv.size()));
  if (File.bad() || (File.fail() && !File.eof())) {
    return report(Context.Err, {CtlStatus::WrongArgument,
                                fmt::format("cannot read '{}'", Path)});
  }
  Csv.resize(static_cast<std::size_t>(File.gcount()));
  const auto Checked = Table::fromCsv(Csv, 0);
  if (!Checked) {
    return report(Context.Err, {CtlStatus::Finding,
                                fmt::format("{}: {}: {}", Path,
                                            errorName(Checked.error().Kind),
                                            Checked.error().Detail)});
  }
  fmt::print(Context.Out, "{}: valid, epoch {}, {} services, {} upstreams\n",
             Path, Checked->version().Epoch, Checked->services().size(),
             Checked->upstreams().size());
  return CtlStatus::Success;
}

CtlStatus dump(const CommandContext &Context) {
  const auto Answers = askAll(Context, Context.Arguments, "/dump");
  if (!Answers) {
    return report(Context.Err, Answers.error());
  }
  const auto &Body = Answers->front().Body;
  if (!Body) {
    return report(Context.Err, Body.error());
  }
  fmt::print(Context.Out, "{}\n", dumpJson(*Body, 2));
  return CtlStatus::Success;
}

/// The leaves of a dump by their JSON pointer, without the ignored parts.
Json comparableLeaves(Json Dump) {
  for (const std::string_view Key : IgnoredDumpKeys) {
    Dump.erase(std::string(Key));
  }
  return Dump.flatten();
}

/// Prints the values of one path on all processes; false if they are equal.
bool printDifference(std::ostream &Out, const std::string &Path,
                     std::span<const Endpoint> Addresses,
                     std::span<const Json> Leaves) {
  std::vector<std::string> Values;
  Values.reserve(Leaves.size());
  for (const Json &Entry : Leaves) {
    const auto Found = Entry.find(Path);
    Values.push_back(Found == Entry.end() ? "absent" : dumpJson(*Found));
  }
  if (std::set(Values.begin(), Values.end()).size() <= 1) {
    return false;
  }
  fmt::print(Out, "{}\n", Path);
  for (std::size_t I = 0; I < Values.size(); ++I) {
    fmt::print(Out, "  {} {}\n", formatEndpoint(Addresses[I]), Values[I]);
  }
  return true;
}

CtlStatus compare(const CommandContext &Context) {
  const auto Answers = askAll(Context, Context.Arguments, "/dump");
  if (!Answers) {
    return report(Context.Err, Answers.error());
  }
  const CtlStatus Answered = reportFailures(Context, *Answers);
  std::vector<Endpoint> Addresses;
  std::vector<Json> Leaves;
  std::set<std::string> Paths;
  for (const ProcessAnswer &Answer : *Answers) {
    if (!Answer.Body) {
      continue;
    }
    Addresses.push_back(Answer.Address);
    Leaves.push_back(comparableLeaves(*Answer.Body));
    for (const auto &Entry : Leaves.back().items()) {
      Paths.insert(Entry.key());
    }
  }
  std::size_t Differences = 0;
  for (const std::string &Path : Paths) {
    Differences +=
        printDifference(Context.Out, Path, Addresses, Leaves) ? 1 : 0;
  }
  fmt::print(Context.Out, "{} of {} values differ between {} processes\n",
             Differences, Paths.size(), Addresses.size());
  return agreement(Answered, Differences == 0);
}

CtlStatus versions(const CommandContext &Context) {
  const auto Answers = askAll(Context, Context.Arguments, "/version");
  if (!Answers) {
    return report(Context.Err, Answers.error());
  }
  bool Complete = reportFailures(Context, *Answers) == CtlStatus::Success;
  std::set<std::string> InForce;
  for (const ProcessAnswer &Answer : *Answers) {
    if (!Answer.Body) {
      continue;
    }
    const Json &Body = *Answer.Body;
    const std::string Version = versionField(Body);
    const std::string Digest = field(Body, "digest");
    fmt::print(Context.Out,
               "{} name={} table={} digest={} age_ms={} reader={}\n",
               formatEndpoint(Answer.Address), field(Body, "name"), Version,
               Digest, field(Body, "age_ms"), field(Body, "reader"));
    // Processes that have no table agree with each other, but none is in force.
    Complete = Complete && Version != "-";
    InForce.insert(fmt::format("{} {}", Version, Digest));
  }
  if (InForce.size() > 1) {
    report(Context.Err,
           {CtlStatus::Finding,
            fmt::format("{} different tables are in force", InForce.size())});
  }
  return Complete && InForce.size() <= 1 ? CtlStatus::Success
                                         : CtlStatus::Finding;
}

std::optional<FlowKey> parseFlow(std::string_view Text) {
  const std::size_t Arrow = Text.find(FlowArrow);
  if (Arrow == std::string_view::npos) {
    return std::nullopt;
  }
  const auto Caller = parseEndpoint(Text.substr(0, Arrow));
  const auto Service = parseEndpoint(Text.substr(Arrow + FlowArrow.size()));
  if (!Caller || !Service) {
    return std::nullopt;
  }
  return FlowKey{*Caller, *Service};
}

void printChoice(std::ostream &Out, const ProcessAnswer &Answer) {
  const Json &Body = *Answer.Body;
  fmt::print(Out, "{} upstream={} service={} table={} reason: {}\n",
             formatEndpoint(Answer.Address), field(Body, "upstream"),
             field(Body, "service_name"), versionField(Body),
             field(Body, "reason"));
  for (const Json &Candidate : objects(Body, "candidates")) {
    fmt::print(Out, "  {} score={} weight={} excluded={}\n",
               field(Candidate, "upstream"), field(Candidate, "score"),
               field(Candidate, "weight"), field(Candidate, "excluded"));
  }
}

CtlStatus explain(const CommandContext &Context) {
  const auto Flow = parseFlow(Context.Arguments[0]);
  if (!Flow) {
    return report(Context.Err,
                  {CtlStatus::WrongArgument,
                   fmt::format("FLOW '{}' is not CALLER:PORT->SERVICE:PORT",
                               Context.Arguments[0])});
  }
  const std::string Target =
      fmt::format("/explain?caller={}&service={}", formatEndpoint(Flow->Caller),
                  formatEndpoint(Flow->Service));
  const auto Answers = askAll(Context, Context.Arguments.subspan(1), Target);
  if (!Answers) {
    return report(Context.Err, Answers.error());
  }
  const CtlStatus Answered = reportFailures(Context, *Answers);
  std::set<std::string> Choices;
  for (const ProcessAnswer &Answer : *Answers) {
    if (Answer.Body) {
      printChoice(Context.Out, Answer);
      Choices.insert(field(*Answer.Body, "upstream"));
    }
  }
  return agreement(Answered, Choices.size() <= 1);
}

CtlStatus drain(const CommandContext &Context) {
  const auto Answers = askAll(Context, Context.Arguments, "/drain");
  if (!Answers) {
    return report(Context.Err, Answers.error());
  }
  const auto &Answer = Answers->front().Body;
  if (!Answer) {
    return report(Context.Err, Answer.error());
  }
  const Json &Body = *Answer;
  fmt::print(Context.Out,
             "upstream={} draining={} reason={} flows={} requests={} queued={} "
             "oldest_flow_s={} deadline_s={}\n",
             field(Body, "upstream"), field(Body, "draining"),
             field(Body, "reason"), field(Body, "flows"),
             field(Body, "requests"), field(Body, "queued"),
             field(Body, "oldest_flow_s"), field(Body, "deadline_s"));
  for (const Json &Service : objects(Body, "services")) {
    fmt::print(Context.Out, "  service={} flows={} requests={} queued={}\n",
               field(Service, "service"), field(Service, "flows"),
               field(Service, "requests"), field(Service, "queued"));
  }
  return CtlStatus::Success;
}

/// One command: its name, its arguments and what it does.
struct Command {
  std::string_view Name;
  std::string_view Usage;
  std::size_t MinArguments;
  std::size_t MaxArguments;
  CtlStatus (*Run)(const CommandContext &);
};

constexpr std::size_t AnyNumber = SIZE_MAX;

constexpr Command Commands[] = {
    {"check", "TABLE.csv", 1, 1, check},
    {"dump", "ADDRESS", 1, 1, dump},
    {"compare", "ADDRESS ADDRESS...", 2, AnyNumber, compare},
    {"versions", "ADDRESS...", 1, AnyNumber, versions},
    {"explain", "FLOW ADDRESS...", 2, AnyNumber, explain},
    {"drain", "ADDRESS", 1, 1, drain},
};

const Command *findCommand(std::string_view Name) {
  for (const Command &Entry : Commands) {
    if (Entry.Name == Name) {
      return &Entry;
    }
  }
  return nullptr;
}

CtlStatus runCommand(const Settings &Chosen, std::ostream &Out,
                     std::ostream &Err) {
  const std::span<const std::string> Words = Chosen.positional();
  if (Words.empty()) {
    return report(Err, {CtlStatus::WrongArgument,
                        "missing command; see mulberryctl --help"});
  }
  const Command *Found = findCommand(Words.front());
  if (Found == nullptr) {
    return report(Err, {CtlStatus::UnknownCommand,
                        fmt::format("unknown command '{}'; see mulberryctl "
                                    "--help",
                                    Words.front())});
  }
  const auto Arguments = Words.subspan(1);
  if (Arguments.size() < Found->MinArguments ||
      Arguments.size() > Found->MaxArguments) {
    return report(Err, {CtlStatus::WrongArgument,
                        fmt::format("usage: mulberryctl {} {}", Found->Name,
                                    Found->Usage)});
  }
  const std::chrono::milliseconds Timeout(Chosen.number("timeout-ms"));
  return Found->Run({Arguments, Timeout, Out, Err});
}

} // namespace

CtlStatus runCtl(std::span<const char *const> Arguments, std::ostream &Out,
                 std::ostream &Err) {
  const auto Chosen = Settings::create(Specs, Arguments);
  if (!Chosen) {
    return report(Err, {CtlStatus::WrongArgument, Chosen.error().Detail});
  }
  switch (Chosen->mode()) {
  case SettingsMode::ShowHelp:
    fmt::print(Out, "{}{}", Chosen->helpText(), CommandHelp);
    return CtlStatus::Success;
  case SettingsMode::ShowVersion:
    fmt::print(Out, "mulberryctl {}\n", ProductVersion);
    return CtlStatus::Success;
  case SettingsMode::CheckConfig:
    fmt::print(Out, "settings are valid\n");
    return CtlStatus::Success;
  case SettingsMode::Run:
    break;
  }
  return runCommand(*Chosen, Out, Err);
}

} // namespace mulberryhoist
