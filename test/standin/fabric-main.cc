/// \file
/// Program `standin-fabric`: carries packets between callers, balancers and
/// agents.

#include <array>

#include "standin/fabric.h"
#include "standin/program.h"

using namespace mulberryhoist;

namespace {

constexpr std::int64_t MaxMilliseconds = 60000;
constexpr std::int64_t MaxPerMille = 1000;
constexpr std::int64_t MaxSeed = 1U << 31U;
constexpr double PerMille = 1000;

constexpr std::array<SettingSpec, 10> Specs = {{
    {"listen", SettingType::Endpoint, "UDP address for callers", "", true},
    {"egress", SettingType::Endpoint, "UDP address for agents", "", true},
    {"control", SettingType::Endpoint, "HTTP address", "", true},
    {"balancers", SettingType::EndpointList, "addresses to spray over"},
    {"drop", SettingType::Number, "lost packets in thousandths", "0", false, 0,
     MaxPerMille},
    {"duplicate", SettingType::Number, "doubled packets in thousandths", "0",
     false, 0, MaxPerMille},
    {"reorder", SettingType::Number, "reordered packets in thousandths", "0",
     false, 0, MaxPerMille},
    {"delay-ms", SettingType::Number, "delay of every packet", "0", false, 0,
     MaxMilliseconds},
    {"reorder-ms", SettingType::Number, "extra delay of reordered packets", "5",
     false, 0, MaxMilliseconds},
    {"seed", SettingType::Number, "seed of spraying and faults", "1", false, 0,
     MaxSeed},
}};

Result<std::shared_ptr<void>> setUp(standin::io_context &Io,
                                    const Settings &Values) {
  using std::chrono::milliseconds;
  const auto Share = [&Values](std::string_view Name) {
    return static_cast<double>(Values.number(Name)) / PerMille;
  };
  standin::FabricOptions Options;
  Options.Listen = Values.endpoint("listen");
  Options.Egress = Values.endpoint("egress");
  Options.Control = Values.endpoint("control");
  const auto Balancers = Values.endpoints("balancers");
  Options.Balancers.assign(Balancers.begin(), Balancers.end());
  Options.Faults.Drop = Share("drop");
  Options.Faults.Duplicate = Share("duplicate");
  Options.Faults.Reorder = Share("reorder");
  Options.Faults.Delay = milliseconds(Values.number("delay-ms"));
  Options.Faults.ReorderDelay = milliseconds(Values.number("reorder-ms"));
  Options.Seed = static_cast<std::uint64_t>(Values.number("seed"));
  auto Running = standin::Fabric::create(Io, std::move(Options));
  if (!Running) {
    return tl::unexpected(Running.error());
  }
  return std::shared_ptr<standin::Fabric>(std::move(*Running));
}

} // namespace

int main(int Count, char **Arguments) {
  return standin::runProgram(
      Specs, {Arguments, static_cast<std::size_t>(Count)}, setUp);
}
