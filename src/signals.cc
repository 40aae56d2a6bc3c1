#include "mulberryhoist/signals.h"

#include <algorithm>
#include <csignal>
#include <fmt/format.h>
#include <system_error>

namespace mulberryhoist {
namespace {

sigset_t requestSignals() {
  sigset_t Set;
  sigemptyset(&Set);
  sigaddset(&Set, SIGTERM);
  sigaddset(&Set, SIGINT);
  sigaddset(&Set, SIGUSR1);
  sigaddset(&Set, SIGHUP);
  return Set;
}

} // namespace

Result<void> blockSignals() {
  const sigset_t Set = requestSignals();
  const int Code = pthread_sigmask(SIG_BLOCK, &Set, nullptr);
  if (Code != 0) {
    return makeError(ErrorKind::SystemCall,
                     fmt::format("cannot block signals: {}",
                                 std::generic_category().message(Code)));
  }
  // A write to a closed log pipe or connection must fail with an error instead
  // of terminating the process.
  (void)std::signal(SIGPIPE, SIG_IGN);
  return {};
}

std::optional<SignalRequest> waitForSignal(Duration Timeout) {
  const sigset_t Set = requestSignals();
  const Duration Bounded = std::max(Timeout, Duration::zero());
  const auto Seconds =
      std::chrono::duration_cast<std::chrono::seconds>(Bounded);
  const std::chrono::nanoseconds Nanoseconds = Bounded - Seconds;
  const timespec Time = {Seconds.count(), Nanoseconds.count()};
  switch (sigtimedwait(&Set, nullptr, &Time)) {
  case SIGTERM:
  case SIGINT:
    return SignalRequest::Stop;
  case SIGUSR1:
    return SignalRequest::Dump;
  case SIGHUP:
    return SignalRequest::Reload;
  default:
    return std::nullopt;
  }
}

} // namespace mulberryhoist
