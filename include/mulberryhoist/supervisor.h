/// \file
/// The supervisor: runs each duty of a process on its own thread and restarts a
/// duty that fails.

#ifndef MULBERRYHOIST_SUPERVISOR_H
#define MULBERRYHOIST_SUPERVISOR_H

#include <functional>
#include <memory>
#include <stop_token>
#include <string>
#include <string_view>
#include <vector>

#include "mulberryhoist/error.h"
#include "mulberryhoist/types.h"

namespace mulberryhoist {

/// A long-running task of a process: runs until a stop is requested. If it
/// returns earlier or throws, the supervisor calls `Run` again, which must
/// begin with fresh state.
struct Duty {
  std::string Name;
  std::function<Result<void>(std::stop_token)> Run;
};

/// Sleeps for this time, or until a stop is requested.
void sleepUnlessStopped(Duration Time, const std::stop_token &Stop);

/// The state of a duty as the supervisor last recorded it.
struct DutyStatus {
  std::string Name;
  bool Running = false;
  std::uint64_t Restarts = 0;
  std::string LastError;
};

/// Runs duties, each on its own thread.
class Supervisor {
public:
  /// Starts all duties. A duty that fails is restarted after a back-off that
  /// doubles from 50 ms to 2 s. Returns `SystemCall` if a thread cannot be
  /// started.
  static Result<Supervisor> start(std::vector<Duty> Duties);

  Supervisor(Supervisor &&) noexcept;
  Supervisor &operator=(Supervisor &&) noexcept;
  ~Supervisor();

  /// Requests all duties to stop and joins their threads.
  void stop();

  /// Returns the state of each duty, in the order passed to `start`.
  std::vector<DutyStatus> status() const;

private:
  struct State;
  explicit Supervisor(std::unique_ptr<State> Impl);
  std::unique_ptr<State> Impl;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_SUPERVISOR_H
