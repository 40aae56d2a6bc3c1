#include "mulberryhoist/supervisor.h"

#include <algorithm>
#include <condition_variable>
#include <fmt/format.h>
#include <mutex>
#include <system_error>
#include <thread>

#include "mulberryhoist/log.h"

namespace mulberryhoist {
namespace {

constexpr Duration InitialBackOff = std::chrono::milliseconds(50);
constexpr Duration MaxBackOff = std::chrono::seconds(2);

/// A duty that ran at least this long before it failed is not in a crash loop,
/// so its back-off is reset.
constexpr Duration StableRunTime = std::chrono::seconds(10);

/// Runs a duty once and returns the error with which it ended.
Error runOnce(const Duty &Task, const std::stop_token &Stop) {
  try {
    Result<void> Outcome = Task.Run(Stop);
    if (!Outcome) {
      return std::move(Outcome.error());
    }
    return {ErrorKind::WorkerFailed, "ended without being asked to stop"};
  } catch (const std::exception &Problem) {
    return {ErrorKind::WorkerFailed, Problem.what()};
  } catch (...) {
    return {ErrorKind::WorkerFailed, "unknown exception"};
  }
}

/// One duty and its status; used by the thread of the duty and by callers of
/// `status`.
class Worker {
public:
  explicit Worker(Duty Task) : Task(std::move(Task)) {
    this->Status.Name = this->Task.Name;
  }

  /// Runs the duty until a stop is requested.
  void run(const std::stop_token &Stop) {
    Duration BackOff = InitialBackOff;
    while (!Stop.stop_requested()) {
      const Instant Begin = std::chrono::steady_clock::now();
      this->setRunning();
      const Error Problem = runOnce(this->Task, Stop);
      if (Stop.stop_requested()) {
        break;
      }
      if (std::chrono::steady_clock::now() - Begin >= StableRunTime) {
        BackOff = InitialBackOff;
      }
      this->recordFailure(Problem, BackOff);
      sleepUnlessStopped(BackOff, Stop);
      BackOff = std::min(BackOff * 2, MaxBackOff);
    }
    const std::scoped_lock Guard(this->Lock);
    this->Status.Running = false;
  }

  DutyStatus status() const {
    const std::scoped_lock Guard(this->Lock);
    return this->Status;
  }

private:
  void setRunning() {
    const std::scoped_lock Guard(this->Lock);
    this->Status.Running = true;
  }

  void recordFailure(const Error &Problem, Duration BackOff) {
    using std::chrono::milliseconds;
    std::uint64_t Restarts = 0;
    {
      const std::scoped_lock Guard(this->Lock);
      this->Status.Running = false;
      this->Status.LastError =
          fmt::format("{}: {}", errorName(Problem.Kind), Problem.Detail);
      Restarts = ++this->Status.Restarts;
    }
    logError(
        Problem,
        {{"duty", this->Task.Name},
         {"restarts", static_cast<std::int64_t>(Restarts)},
         {"back_off_ms",
          std::int64_t{
              std::chrono::duration_cast<milliseconds>(BackOff).count()}}});
  }

  Duty Task;
  mutable std::mutex Lock;
  DutyStatus Status;
};

} // namespace

void sleepUnlessStopped(Duration Time, const std::stop_token &Stop) {
  std::mutex Lock;
  std::condition_variable_any Stopped;
  std::unique_lock Guard(Lock);
  Stopped.wait_for(Guard, Stop, Time, [] { return false; });
}

struct Supervisor::State {
  /// Declared before `Threads`, so that workers are destroyed after the threads
  /// that refer to them.
  std::vector<std::unique_ptr<Worker>> Workers;
  std::vector<std::jthread> Threads;
};

Supervisor::Supervisor(std::unique_ptr<State> Impl) : Impl(std::move(Impl)) {}
Supervisor::Supervisor(Supervisor &&) noexcept = default;
Supervisor &Supervisor::operator=(Supervisor &&) noexcept = default;

Supervisor::~Supervisor() {
  if (this->Impl) {
    this->stop();
  }
}

Result<Supervisor> Supervisor::start(std::vector<Duty> Duties) {
  auto Impl = std::make_unique<State>();
  Impl->Threads.reserve(Duties.size());
  for (Duty &Task : Duties) {
    Impl->Workers.push_back(std::make_unique<Worker>(std::move(Task)));
  }
  for (const std::unique_ptr<Worker> &Entry : Impl->Workers) {
    try {
      Impl->Threads.emplace_back(
          [Entry = Entry.get()](const std::stop_token &Stop) {
            Entry->run(Stop);
          });
    } catch (const std::system_error &Problem) {
      return makeError(ErrorKind::SystemCall,
                       fmt::format("cannot start the thread of duty {}: {}",
                                   Entry->status().Name, Problem.what()));
    }
  }
  return Supervisor(std::move(Impl));
}

void Supervisor::stop() {
  for (std::jthread &Thread : this->Impl->Threads) {
    Thread.request_stop();
  }
  for (std::jthread &Thread : this->Impl->Threads) {
    if (Thread.joinable()) {
      Thread.join();
    }
  }
}

std::vector<DutyStatus> Supervisor::status() const {
  std::vector<DutyStatus> List;
  List.reserve(this->Impl->Workers.size());
  for (const std::unique_ptr<Worker> &Entry : this->Impl->Workers) {
    List.push_back(Entry->status());
  }
  return List;
}

} // namespace mulberryhoist
