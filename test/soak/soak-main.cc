#include <cstdlib>
#include <fmt/format.h>
#include <span>

#include "mulberryhoist/log.h"
#include "mulberryhoist/settings.h"
#include "soak/soak.h"

using namespace mulberryhoist;

namespace {

constexpr SettingSpec Specs[] = {
    {.Name = "first-seed",
     .Type = SettingType::Number,
     .Help = "The first seed",
     .Default = "1",
     .Min = 0,
     .Max = 1'000'000'000},
    {.Name = "seeds",
     .Type = SettingType::Number,
     .Help = "How many seeds are run, one after the other",
     .Default = "50",
     .Min = 1,
     .Max = 100'000},
    {.Name = "seconds",
     .Type = SettingType::Number,
     .Help = "How long faults come in each run",
     .Default = "6",
     .Min = 1,
     .Max = 3600},
    {.Name = "balancers",
     .Type = SettingType::Number,
     .Help = "Number of balancers",
     .Default = "3",
     .Min = 1,
     .Max = 50},
    {.Name = "returns",
     .Type = SettingType::Number,
     .Help = "1 if the store comes back from older copies, 0 if not",
     .Default = "1",
     .Min = 0,
     .Max = 1},
    {.Name = "upstreams",
     .Type = SettingType::Number,
     .Help = "Number of upstreams, each with an agent",
     .Default = "5",
     .Min = 2,
     .Max = 100}};

/// Runs one seed; true if all promises were kept.
bool runSeed(const soak::SoakSettings &Settings) {
  const auto Report = soak::runSoak(Settings);
  if (!Report) {
    fmt::print("seed {}: {}\n", Settings.Seed, Report.error().Detail);
    return false;
  }
  fmt::print("seed {}: served {}, refused {}, reset {}, expired {}, calm "
             "share {:.3f}, {} returns, {} promises broken\n",
             Settings.Seed, Report->Served, Report->Refused, Report->Reset,
             Report->Expired, Report->CalmShare, Report->Returns,
             Report->Violations.size());
  for (const std::string &Each : Report->Violations) {
    fmt::print("  broken: {}\n", Each);
  }
  if (!Report->Violations.empty()) {
    for (const std::string &Each : Report->Faults) {
      fmt::print("  fault at {}\n", Each);
    }
  }
  std::fflush(stdout);
  return Report->Violations.empty();
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  const auto Parsed = Settings::create(
      Specs, {Arguments, static_cast<std::size_t>(ArgumentCount)});
  if (!Parsed || Parsed->mode() != SettingsMode::Run) {
    fmt::print("{}\n", Parsed ? Parsed->helpText() : Parsed.error().Detail);
    return Parsed ? EXIT_SUCCESS : EXIT_FAILURE;
  }
  setUpLog("soak", LogLevel::Warning);
  int Failed = 0;
  for (std::int64_t I = 0; I < Parsed->number("seeds"); ++I) {
    soak::SoakSettings Settings;
    Settings.Seed =
        static_cast<std::uint64_t>(Parsed->number("first-seed") + I);
    Settings.Faults = std::chrono::seconds(Parsed->number("seconds"));
    Settings.Balancers = static_cast<std::size_t>(Parsed->number("balancers"));
    Settings.HasReturns = Parsed->number("returns") != 0;
    Settings.Upstreams = static_cast<std::size_t>(Parsed->number("upstreams"));
    Settings.Programs = std::filesystem::path(Arguments[0]).parent_path();
    Failed += runSeed(Settings) ? 0 : 1;
  }
  fmt::print("{} of {} seeds broke a promise\n", Failed,
             Parsed->number("seeds"));
  return Failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
