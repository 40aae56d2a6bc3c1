/// \file
/// Program `standin-upstream`: a TCP endpoint over UDP datagrams.

#include <array>

#include "standin/program.h"
#include "standin/request.h"
#include "standin/upstream.h"

using namespace mulberryhoist;

namespace {

constexpr std::int64_t MaxMilliseconds = 600000;
constexpr std::int64_t MaxSlots = 1024;
constexpr std::int64_t MaxConnections = 1000000;
constexpr std::int64_t MaxPercent = 10000;
constexpr std::int64_t MaxSeed = 1U << 31U;
constexpr double Percent = 100;

constexpr std::array<SettingSpec, 10> Specs = {{
    {"listen", SettingType::Endpoint, "UDP address for IP packets", "", true},
    {"control", SettingType::Endpoint, "HTTP address", "", true},
    {"slots", SettingType::Number, "requests at once", "4", false, 1, MaxSlots},
    {"connections", SettingType::Number, "connections at once", "2000", false,
     1, MaxConnections},
    {"speed-percent", SettingType::Number, "speed factor", "100", false, 1,
     MaxPercent},
    {"cold-ms", SettingType::Number, "length of the cold start", "0", false, 0,
     MaxMilliseconds},
    {"cold-percent", SettingType::Number,
     "service time at the begin of the cold start", "100", false, 100,
     MaxPercent},
    {"health-lag-ms", SettingType::Number, "age of the health report", "0",
     false, 0, MaxMilliseconds},
    {"services", SettingType::EndpointList, "service addresses; empty: all"},
    {"seed", SettingType::Number, "seed of sequence numbers", "1", false, 0,
     MaxSeed},
}};

Result<std::shared_ptr<void>> setUp(standin::io_context &Io,
                                    const Settings &Values) {
  using std::chrono::milliseconds;
  standin::UpstreamOptions Options;
  Options.Listen = Values.endpoint("listen");
  Options.Control = Values.endpoint("control");
  Options.Slots = static_cast<std::size_t>(Values.number("slots"));
  Options.Connections = static_cast<std::size_t>(Values.number("connections"));
  Options.Speed = static_cast<double>(Values.number("speed-percent")) / Percent;
  Options.ColdTime = milliseconds(Values.number("cold-ms"));
  Options.ColdFactor =
      static_cast<double>(Values.number("cold-percent")) / Percent;
  Options.HealthLag = milliseconds(Values.number("health-lag-ms"));
  const auto Services = Values.endpoints("services");
  Options.Services.assign(Services.begin(), Services.end());
  Options.Seed = static_cast<std::uint64_t>(Values.number("seed"));
  auto Running = standin::UpstreamHost::create(Io, std::move(Options));
  if (!Running) {
    return tl::unexpected(Running.error());
  }
  return std::shared_ptr<standin::UpstreamHost>(std::move(*Running));
}

} // namespace

int main(int Count, char **Arguments) {
  return standin::runProgram(
      Specs, {Arguments, static_cast<std::size_t>(Count)}, setUp);
}
