#include "mulberryhoist/settings.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <fmt/format.h>
#include <memory>
#include <optional>
#include <popt.h>

#include "mulberryhoist/log.h"

namespace mulberryhoist {
namespace {

constexpr std::string_view CheckConfigName = "check-config";
constexpr std::string_view HelpName = "help";
constexpr std::string_view VersionName = "version";

/// Flags that every program accepts; they have no environment variable.
constexpr SettingSpec CommonSpecs[] = {
    {CheckConfigName, SettingType::Flag, "Check the settings and exit"},
    {HelpName, SettingType::Flag, "Show this help and exit"},
    {VersionName, SettingType::Flag, "Show the version and exit"},
};

bool isCommon(std::string_view Name) {
  return std::any_of(
      std::begin(CommonSpecs), std::end(CommonSpecs),
      [&](const SettingSpec &Spec) { return Spec.Name == Name; });
}

std::string variableName(std::string_view Name) {
  std::string Variable = "MULBERRY_";
  for (const char C : Name) {
    Variable +=
        C == '-' ? '_'
                 : static_cast<char>(C >= 'a' && C <= 'z' ? C - 'a' + 'A' : C);
  }
  return Variable;
}

bool hasRange(const SettingSpec &Spec) {
  return Spec.Type == SettingType::Number && (Spec.Min != 0 || Spec.Max != 0);
}

/// Describes the allowed values of a setting for error messages and help.
std::string allowedValues(const SettingSpec &Spec) {
  switch (Spec.Type) {
  case SettingType::Text:
    return "text";
  case SettingType::Name:
    return "[a-z0-9-]{1,63}";
  case SettingType::Number:
    return hasRange(Spec) ? fmt::format("{}..{}", Spec.Min, Spec.Max)
                          : "a whole number";
  case SettingType::Endpoint:
    return "IPv4:port";
  case SettingType::EndpointList:
    return "IPv4:port,...";
  case SettingType::Flag:
    return "true, 1, false or 0";
  }
  return "";
}

std::string helpLine(const SettingSpec &Spec) {
  if (isCommon(Spec.Name)) {
    return std::string(Spec.Help);
  }
  std::string Line(Spec.Help);
  const std::string Variable = variableName(Spec.Name);
  if (Spec.Type == SettingType::Flag) {
    return Line + fmt::format(" [{}]", Variable);
  }
  Line += fmt::format(" [{}; {}", allowedValues(Spec), Variable);
  if (Spec.Required) {
    Line += "; required";
  } else if (!Spec.Default.empty()) {
    Line += fmt::format("; default {}", Spec.Default);
  }
  return Line + "]";
}

/// The option table of popt, with the strings that it points to.
class OptionTable {
public:
  explicit OptionTable(std::span<const SettingSpec> Specs) {
    // The options point to these strings, so the vectors must not reallocate.
    this->Names.reserve(Specs.size());
    this->HelpLines.reserve(Specs.size());
    int OptionId = 0;
    for (const SettingSpec &Spec : Specs) {
      this->Names.emplace_back(Spec.Name);
      this->HelpLines.push_back(helpLine(Spec));
      poptOption Option{};
      Option.longName = this->Names.back().c_str();
      Option.argInfo =
          Spec.Type == SettingType::Flag ? POPT_ARG_NONE : POPT_ARG_STRING;
      Option.val = ++OptionId;
      Option.descrip = this->HelpLines.back().c_str();
      Option.argDescrip = Spec.Type == SettingType::Flag ? nullptr : "VALUE";
      this->Options.push_back(Option);
    }
    this->Options.push_back(poptOption{});
  }

  const poptOption *data() const { return this->Options.data(); }

private:
  std::vector<std::string> Names;
  std::vector<std::string> HelpLines;
  std::vector<poptOption> Options;
};

struct ContextDeleter {
  void operator()(poptContext Context) const { poptFreeContext(Context); }
};

using ContextPointer =
    std::unique_ptr<std::remove_pointer_t<poptContext>, ContextDeleter>;

std::string renderHelp(poptContext Context) {
  char *Text = nullptr;
  std::size_t Size = 0;
  std::FILE *Stream = open_memstream(&Text, &Size);
  if (Stream == nullptr) {
    return "";
  }
  poptPrintHelp(Context, Stream, 0);
  (void)std::fclose(Stream);
  std::string Help(Text, Size);
  std::free(Text);
  return Help;
}

/// The unparsed text of a setting and a label that names its origin in errors.
struct RawValue {
  std::string Label;
  std::string Text;
};

std::string describeInvalidValue(const SettingSpec &Spec, const RawValue &Raw) {
  return fmt::format("{}: '{}' is not {}", Raw.Label, Raw.Text,
                     allowedValues(Spec));
}

std::optional<std::int64_t> parseNumber(std::string_view Text) {
  std::int64_t Value = 0;
  const char *Last = Text.data() + Text.size();
  const auto [Stop, Code] = std::from_chars(Text.data(), Last, Value);
  if (Code != std::errc() || Stop != Last) {
    return std::nullopt;
  }
  return Value;
}

std::optional<std::int64_t> parseFlag(std::string_view Text) {
  if (Text == "true" || Text == "1") {
    return 1;
  }
  if (Text.empty() || Text == "false" || Text == "0") {
    return 0;
  }
  return std::nullopt;
}

std::optional<std::vector<Endpoint>> parseEndpoints(std::string_view Text) {
  std::vector<Endpoint> List;
  while (!Text.empty()) {
    const std::size_t Comma = Text.find(',');
    const auto Entry = parseEndpoint(Text.substr(0, Comma));
    if (!Entry) {
      return std::nullopt;
    }
    List.push_back(*Entry);
    if (Comma == std::string_view::npos) {
      break;
    }
    Text.remove_prefix(Comma + 1);
    if (Text.empty()) {
      return std::nullopt;
    }
  }
  return List;
}

/// Parses the text of a setting into `Target`; returns false if the value is
/// not allowed.
template <typename ValueType>
bool parseValue(const SettingSpec &Spec, const std::string &Text,
                ValueType &Target) {
  Target.Text = Text;
  if (Text.empty() && Spec.Type != SettingType::Flag) {
    // `create` rejects an empty required setting before it calls this function.
    return true;
  }
  switch (Spec.Type) {
  case SettingType::Text:
    return true;
  case SettingType::Name:
    return isName(Text);
  case SettingType::Number: {
    const auto Number = parseNumber(Text);
    Target.Number = Number.value_or(0);
    return Number &&
           (!hasRange(Spec) || (*Number >= Spec.Min && *Number <= Spec.Max));
  }
  case SettingType::Endpoint:
  case SettingType::EndpointList: {
    auto List = parseEndpoints(Text);
    const bool Valid =
        List && (Spec.Type == SettingType::EndpointList || List->size() == 1);
    if (Valid) {
      Target.Endpoints = std::move(*List);
    }
    return Valid;
  }
  case SettingType::Flag: {
    const auto Flag = parseFlag(Text);
    Target.Number = Flag.value_or(0);
    return Flag.has_value();
  }
  }
  return false;
}

/// The parsed command line; `Given` is indexed like the specifications.
struct CommandLine {
  std::vector<std::optional<std::string>> Given;
  std::vector<std::string> Positional;
  std::vector<std::string> Problems;
  std::string Help;
};

CommandLine readCommandLine(std::span<const SettingSpec> Specs,
                            std::span<const char *const> Arguments) {
  CommandLine Line;
  Line.Given.resize(Specs.size());
  const OptionTable Options(Specs);
  std::vector<const char *> Argv(Arguments.begin(), Arguments.end());
  if (Argv.empty()) {
    Argv.push_back("program");
  }
  const int Count = static_cast<int>(Argv.size());
  Argv.push_back(nullptr);
  const ContextPointer Context(
      poptGetContext(Argv.front(), Count, Argv.data(), Options.data(), 0));
  int Code = 0;
  while ((Code = poptGetNextOpt(Context.get())) != -1) {
    if (Code < -1) {
      Line.Problems.push_back(fmt::format(
          "{}: {}", poptBadOption(Context.get(), 0), poptStrerror(Code)));
      break;
    }
    const std::size_t Index = static_cast<std::size_t>(Code) - 1;
    if (Specs[Index].Type == SettingType::Flag) {
      Line.Given[Index] = "true";
      continue;
    }
    const std::unique_ptr<char, decltype(&std::free)> Text(
        poptGetOptArg(Context.get()), &std::free);
    Line.Given[Index] = Text ? Text.get() : "";
  }
  if (const char **Rest = poptGetArgs(Context.get())) {
    for (; *Rest != nullptr; ++Rest) {
      Line.Positional.emplace_back(*Rest);
    }
  }
  Line.Help = renderHelp(Context.get());
  return Line;
}

RawValue findRawValue(const SettingSpec &Spec,
                      const std::optional<std::string> &Given) {
  const std::string Flag = fmt::format("--{}", Spec.Name);
  if (Given) {
    return {Flag, *Given};
  }
  const std::string Variable = variableName(Spec.Name);
  const char *Text =
      isCommon(Spec.Name) ? nullptr : std::getenv(Variable.c_str());
  if (Text != nullptr && *Text != '\0') {
    return {fmt::format("{} (from {})", Flag, Variable), Text};
  }
  return {Flag, std::string(Spec.Default)};
}

SettingsMode modeOf(const CommandLine &Line,
                    std::span<const SettingSpec> Specs) {
  const auto IsGiven = [&](std::string_view Name) {
    for (std::size_t I = 0; I < Specs.size(); ++I) {
      if (Specs[I].Name == Name) {
        return Line.Given[I].has_value();
      }
    }
    return false;
  };
  if (IsGiven(HelpName)) {
    return SettingsMode::ShowHelp;
  }
  if (IsGiven(VersionName)) {
    return SettingsMode::ShowVersion;
  }
  return IsGiven(CheckConfigName) ? SettingsMode::CheckConfig
                                  : SettingsMode::Run;
}

/// Finds the value of a specified setting; aborts on any other name, which is a
/// programming error and not caused by input.
template <typename Map>
const typename Map::mapped_type &valueOf(const Map &Values,
                                         std::string_view Name) {
  const auto Found = Values.find(Name);
  if (Found == Values.end()) {
    log(LogLevel::Error, "setting has no specification", {{"setting", Name}});
    std::abort();
  }
  return Found->second;
}

} // namespace

Result<Settings> Settings::create(std::span<const SettingSpec> Specs,
                                  std::span<const char *const> Arguments) {
  std::vector<SettingSpec> All(Specs.begin(), Specs.end());
  All.insert(All.end(), std::begin(CommonSpecs), std::end(CommonSpecs));
  CommandLine Line = readCommandLine(All, Arguments);

  Settings Checked;
  Checked.Mode = modeOf(Line, All);
  Checked.Help = std::move(Line.Help);
  Checked.Positional = std::move(Line.Positional);
  for (std::size_t I = 0; I < All.size(); ++I) {
    const RawValue Raw = findRawValue(All[I], Line.Given[I]);
    Value &Target = Checked.Values[std::string(All[I].Name)];
    if (All[I].Required && Raw.Text.empty()) {
      Line.Problems.push_back(fmt::format("{}: missing, must be {}", Raw.Label,
                                          allowedValues(All[I])));
    } else if (!parseValue(All[I], Raw.Text, Target)) {
      Line.Problems.push_back(describeInvalidValue(All[I], Raw));
    }
  }
  const bool IsInformational = Checked.Mode == SettingsMode::ShowHelp ||
                               Checked.Mode == SettingsMode::ShowVersion;
  if (!Line.Problems.empty() && !IsInformational) {
    return makeError(ErrorKind::InvalidSetting,
                     fmt::format("{}", fmt::join(Line.Problems, "; ")));
  }
  return Checked;
}

std::string_view Settings::text(std::string_view Name) const {
  return valueOf(this->Values, Name).Text;
}

std::int64_t Settings::number(std::string_view Name) const {
  return valueOf(this->Values, Name).Number;
}

bool Settings::flag(std::string_view Name) const {
  return valueOf(this->Values, Name).Number != 0;
}

Endpoint Settings::endpoint(std::string_view Name) const {
  const std::vector<Endpoint> &List = valueOf(this->Values, Name).Endpoints;
  return List.empty() ? Endpoint{} : List.front();
}

std::span<const Endpoint> Settings::endpoints(std::string_view Name) const {
  return valueOf(this->Values, Name).Endpoints;
}

} // namespace mulberryhoist
