/// \file
/// Signals as requests to the main thread: stop, dump the state or read
/// the settings again.

#ifndef MULBERRYHOIST_SIGNALS_H
#define MULBERRYHOIST_SIGNALS_H

#include <cstdint>
#include <optional>

#include "mulberryhoist/error.h"
#include "mulberryhoist/types.h"

namespace mulberryhoist {

/// What a signal asks the process to do.
enum class SignalRequest : std::uint8_t {
  Stop,   ///< SIGTERM or SIGINT.
  Dump,   ///< SIGUSR1: write the state dump to the log.
  Reload, ///< SIGHUP: read the settings again.
};

/// Blocks SIGTERM, SIGINT, SIGUSR1 and SIGHUP in this thread and those that it
/// starts later, and ignores SIGPIPE; must be called before any thread is
/// started.
Result<void> blockSignals();

/// Waits for the next request, at most for the given time.
///
///     while (waitForSignal(std::chrono::seconds(1)) != SignalRequest::Stop) {
///     }
std::optional<SignalRequest> waitForSignal(Duration Timeout);

} // namespace mulberryhoist

#endif // MULBERRYHOIST_SIGNALS_H
