#include "standin/program.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fmt/format.h>

#include "mulberryhoist/log.h"

namespace mulberryhoist::standin {

int runProgram(std::span<const SettingSpec> Specs,
               std::span<const char *const> Arguments,
               const ProgramSetup &Setup) {
  const auto Values = Settings::create(Specs, Arguments);
  if (!Values) {
    logError(Values.error());
    return EXIT_FAILURE;
  }
  if (Values->mode() == SettingsMode::ShowHelp) {
    fmt::print("{}", Values->helpText());
  }
  if (Values->mode() != SettingsMode::Run) {
    return EXIT_SUCCESS;
  }
  io_context Io;
  boost::asio::signal_set Signals(Io, SIGTERM, SIGINT);
  Signals.async_wait([&Io](auto /*Problem*/, int /*Number*/) { Io.stop(); });
  const auto Running = Setup(Io, *Values);
  if (!Running) {
    logError(Running.error());
    return EXIT_FAILURE;
  }
  Io.run();
  return EXIT_SUCCESS;
}

} // namespace mulberryhoist::standin
