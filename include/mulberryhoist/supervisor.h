/// \file
/// The supervisor tree: starts the duties of a process, one thread each, and
/// restarts a duty that fails.

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

/// One duty: runs until it is asked to stop, or returns an error to be
/// restarted with fresh state.
struct Duty {
  std::string Name;
  std::function<Result<void>(std::stop_token)> Run;
};

/// Waits for this time, or until a stop is requested.
void sleepUnlessStopped(Duration Time, const std::stop_token &Stop);

/// What the supervisor knows about a duty.
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
  /// doubles from 50 ms to 2 s.
  static Result<Supervisor> start(std::vector<Duty> Duties);

  Supervisor(Supervisor &&) noexcept;
  Supervisor &operator=(Supervisor &&) noexcept;
  ~Supervisor();

  /// Asks all duties to stop and waits for them.
  void stop();

  /// The state of each duty, for dump and metrics.
  std::vector<DutyStatus> status() const;

private:
  struct State;
  explicit Supervisor(std::unique_ptr<State> Impl);
  std::unique_ptr<State> Impl;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_SUPERVISOR_H
