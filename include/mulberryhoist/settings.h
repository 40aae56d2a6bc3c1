/// \file
/// Settings from flags and environment variables, checked before use.

#ifndef MULBERRYHOIST_SETTINGS_H
#define MULBERRYHOIST_SETTINGS_H

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "mulberryhoist/error.h"
#include "mulberryhoist/types.h"

namespace mulberryhoist {

/// What kind of value a setting takes.
enum class SettingType : std::uint8_t {
  Text,
  Name, ///< `[a-z0-9-]{1,63}`
  Number,
  Endpoint,
  EndpointList, ///< Comma-separated, may be empty.
  Flag,         ///< Takes no value.
};

/// Describes one setting: flag `--name`, variable `MULBERRY_NAME`.
///
/// A flag goes before its environment variable, which goes before `Default`. An
/// empty environment variable counts as not set.
struct SettingSpec {
  std::string_view Name;
  SettingType Type = SettingType::Text;
  std::string_view Help;
  /// Empty together with `Required` means that there is no default.
  std::string_view Default = "";
  bool Required = false;
  /// The range of a `Number`; both 0 for any number.
  std::int64_t Min = 0;
  std::int64_t Max = 0;
};

/// What the command line asks the program to do.
enum class SettingsMode : std::uint8_t {
  Run,
  CheckConfig, ///< `--check-config`: report on the settings and exit.
  ShowHelp,    ///< `--help`: `Settings::helpText` is to be printed.
  ShowVersion, ///< `--version`
};

/// The checked settings of one process.
class Settings {
public:
  /// Parses flags and environment; the first argument is the program's name,
  /// as in `main`. An error names flag, value and range of every wrong setting.
  /// `--check-config`, `--help` and `--version` need no specification.
  static Result<Settings> create(std::span<const SettingSpec> Specs,
                                 std::span<const char *const> Arguments);

  SettingsMode mode() const { return this->Mode; }
  /// The value as text; empty for a setting that has no value.
  std::string_view text(std::string_view Name) const;
  std::int64_t number(std::string_view Name) const;
  bool flag(std::string_view Name) const;
  /// `0.0.0.0:0` for a setting that has no value.
  Endpoint endpoint(std::string_view Name) const;
  std::span<const Endpoint> endpoints(std::string_view Name) const;
  /// Arguments that are not flags.
  std::span<const std::string> positional() const { return this->Positional; }
  const std::string &helpText() const { return this->Help; }

private:
  struct Value {
    std::string Text;
    std::int64_t Number = 0;
    std::vector<Endpoint> Endpoints;
  };

  Settings() = default;

  SettingsMode Mode = SettingsMode::Run;
  std::map<std::string, Value, std::less<>> Values;
  std::vector<std::string> Positional;
  std::string Help;
};

/// The version that `--version` prints.
inline constexpr std::string_view ProductVersion = "0.1.0";

} // namespace mulberryhoist

#endif // MULBERRYHOIST_SETTINGS_H
