/// \file
/// Settings read and validated from flags and environment variables.

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

/// The type of value that a setting takes.
enum class SettingType : std::uint8_t {
  Text,
  Name, ///< `[a-z0-9-]{1,63}`
  Number,
  Endpoint,
  EndpointList, ///< Comma-separated, may be empty.
  Flag,         ///< Takes no value.
};

/// Describes one setting: flag `--name`, environment variable `MULBERRY_NAME`.
///
/// A flag overrides its environment variable, which overrides `Default`. An
/// empty environment variable is treated as unset.
struct SettingSpec {
  std::string_view Name;
  SettingType Type = SettingType::Text;
  std::string_view Help;
  /// Leave empty for a required setting without a default.
  std::string_view Default = "";
  bool Required = false;
  /// The inclusive range of a `Number`; both 0 for no limits.
  std::int64_t Min = 0;
  std::int64_t Max = 0;
};

/// The action that the command line selects.
enum class SettingsMode : std::uint8_t {
  Run,
  CheckConfig, ///< `--check-config`: validate the settings and exit.
  ShowHelp,    ///< `--help`: print `Settings::helpText` and exit.
  ShowVersion, ///< `--version`: print `ProductVersion` and exit.
};

/// The validated settings of one process.
class Settings {
public:
  /// Parses flags and environment variables; the first argument is the name of
  /// the program, as in `main`. Returns `InvalidSetting` with the flag, value
  /// and allowed values of every invalid setting. `--check-config`, `--help`
  /// and `--version` are accepted in addition to `Specs`.
  static Result<Settings> create(std::span<const SettingSpec> Specs,
                                 std::span<const char *const> Arguments);

  SettingsMode mode() const { return this->Mode; }
  /// Returns the value as text; empty for a setting that has no value.
  std::string_view text(std::string_view Name) const;
  std::int64_t number(std::string_view Name) const;
  bool flag(std::string_view Name) const;
  /// Returns the endpoint, or `0.0.0.0:0` for a setting that has no value.
  Endpoint endpoint(std::string_view Name) const;
  std::span<const Endpoint> endpoints(std::string_view Name) const;
  /// Returns the arguments that are not flags.
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
