/// \file
/// Receives signals as requests to the main thread: stop, dump the state or
/// reload the settings.

#ifndef MULBERRYHOIST_SIGNALS_H
#define MULBERRYHOIST_SIGNALS_H

#include <cstdint>
#include <optional>

#include "mulberryhoist/error.h"
#include "mulberryhoist/types.h"

namespace mulberryhoist {

/// The request that a signal stands for.
enum class SignalRequest : std::uint8_t {
  Stop,   ///< SIGTERM or SIGINT.
  Dump,   ///< SIGUSR1: write the state dump to the log.
  Reload, ///< SIGHUP: reload the settings.
};

/// Blocks SIGTERM, SIGINT, SIGUSR1 and SIGHUP in this thread and the threads
/// that it starts later, and ignores SIGPIPE. Must be called before any thread
/// is started; returns `SystemCall` if the signals cannot be blocked.
Result<void> blockSignals();

/// Waits for the next request; returns no value if none arrives within
/// `Timeout`.
///
///     while (waitForSignal(std::chrono::seconds(1)) != SignalRequest::Stop) {
///     }
std::optional<SignalRequest> waitForSignal(Duration Timeout);

} // namespace mulberryhoist

#endif // MULBERRYHOIST_SIGNALS_H
