#include <cstdlib>
#include <fmt/format.h>
#include <span>

#include "mulberryhoist/balancer-process.h"
#include "mulberryhoist/signals.h"

using namespace mulberryhoist;

namespace {

int fail(const Error &Problem) {
  logError(Problem);
  return EXIT_FAILURE;
}

int serve(const BalancerSettings &Settings) {
  const auto Blocked = blockSignals();
  if (!Blocked) {
    return fail(Blocked.error());
  }
  auto Process = BalancerProcess::create(Settings);
  if (!Process) {
    return fail(Process.error());
  }
  const auto Stopped = (*Process)->run();
  return Stopped ? EXIT_SUCCESS : fail(Stopped.error());
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  setUpLog("mulberry-balancer", LogLevel::Info);
  const std::span<const char *const> Words(
      Arguments, static_cast<std::size_t>(ArgumentCount));
  const auto Parsed = Settings::create(balancerSettingSpecs(), Words);
  if (!Parsed) {
    return fail(Parsed.error());
  }
  if (Parsed->mode() == SettingsMode::ShowHelp) {
    fmt::print("{}", Parsed->helpText());
    return EXIT_SUCCESS;
  }
  if (Parsed->mode() == SettingsMode::ShowVersion) {
    fmt::print("mulberry-balancer {}\n", ProductVersion);
    return EXIT_SUCCESS;
  }
  const auto Read = readBalancerSettings(*Parsed);
  if (!Read) {
    return fail(Read.error());
  }
  if (Parsed->mode() == SettingsMode::CheckConfig) {
    fmt::print("the settings are valid\n");
    return EXIT_SUCCESS;
  }
  setUpLog(Read->Documents.Name, Read->Lowest);
  return serve(*Read);
}
