/// \file
/// The common frame of the stand-in programs.

#ifndef MULBERRYHOIST_TEST_STANDIN_PROGRAM_H
#define MULBERRYHOIST_TEST_STANDIN_PROGRAM_H

#include <functional>
#include <memory>
#include <span>

#include "mulberryhoist/settings.h"
#include "standin/network.h"

namespace mulberryhoist::standin {

/// Creates what the program runs; the result is kept until the end.
using ProgramSetup = std::function<Result<std::shared_ptr<void>>(
    io_context &Io, const Settings &Values)>;

/// Reads the settings and runs until SIGTERM, SIGINT or the end of all work;
/// returns the exit status.
int runProgram(std::span<const SettingSpec> Specs,
               std::span<const char *const> Arguments,
               const ProgramSetup &Setup);

} // namespace mulberryhoist::standin

#endif // MULBERRYHOIST_TEST_STANDIN_PROGRAM_H
