/// \file
/// Program `standin-platform`: the configuration service.

#include <array>

#include "standin/platform.h"
#include "standin/program.h"
#include "standin/request.h"

using namespace mulberryhoist;

namespace {

constexpr std::int64_t MaxMilliseconds = 600000;
constexpr std::int64_t MaxRate = 1000000;

constexpr std::array<SettingSpec, 4> Specs = {{
    {"listen", SettingType::Endpoint, "HTTP address", "", true},
    {"delay-ms", SettingType::Number, "delay of every answer", "2", false, 0,
     MaxMilliseconds},
    {"vm-lag-ms", SettingType::Number, "how long a VM list stays invisible",
     "0", false, 0, MaxMilliseconds},
    {"rate", SettingType::Number, "calls a second across all readers", "2000",
     false, 1, MaxRate},
}};

Result<std::shared_ptr<void>> setUp(standin::io_context &Io,
                                    const Settings &Values) {
  standin::PlatformOptions Options;
  Options.Listen = Values.endpoint("listen");
  Options.AnswerDelay = std::chrono::milliseconds(Values.number("delay-ms"));
  Options.VmLag = std::chrono::milliseconds(Values.number("vm-lag-ms"));
  Options.CallsPerSecond = static_cast<double>(Values.number("rate"));
  auto Running = standin::Platform::create(Io, Options);
  if (!Running) {
    return tl::unexpected(Running.error());
  }
  return std::shared_ptr<standin::Platform>(std::move(*Running));
}

} // namespace

int main(int Count, char **Arguments) {
  return standin::runProgram(
      Specs, {Arguments, static_cast<std::size_t>(Count)}, setUp);
}
