/// \file
/// Runs stand-ins of one process on a thread of their own, for tests.

#ifndef MULBERRYHOIST_TEST_STANDIN_HOST_H
#define MULBERRYHOIST_TEST_STANDIN_HOST_H

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <future>
#include <thread>
#include <utility>

#include "standin/network.h"

namespace mulberryhoist::standin {

/// A thread that runs an `io_context`; stops at the end of its scope. Stand-ins
/// must be made through `run` and must not outlive the host.
class Host {
public:
  Host() : Guard(this->Io.get_executor()) {
    this->Thread = std::thread([this] { this->Io.run(); });
  }

  ~Host() { this->stop(); }

  Host(const Host &) = delete;
  Host &operator=(const Host &) = delete;

  /// Stops the thread, so that stand-ins may be destroyed.
  void stop() {
    this->Io.stop();
    if (this->Thread.joinable()) {
      this->Thread.join();
    }
  }

  /// Calls a function on the thread and returns its result.
  template <typename Function> auto run(Function &&Call) {
    using Value = decltype(Call(this->Io));
    std::promise<Value> Answer;
    boost::asio::post(this->Io, [&] {
      if constexpr (std::is_void_v<Value>) {
        Call(this->Io);
        Answer.set_value();
      } else {
        Answer.set_value(Call(this->Io));
      }
    });
    return Answer.get_future().get();
  }

private:
  io_context Io;
  boost::asio::executor_work_guard<io_context::executor_type> Guard;
  std::thread Thread;
};

/// Polls until the condition holds; false if it did not within `Limit`.
template <typename Condition>
bool pollUntil(Condition &&Holds, Duration Limit = std::chrono::seconds(20)) {
  constexpr Duration Pause = std::chrono::milliseconds(5);
  const Instant End = std::chrono::steady_clock::now() + Limit;
  while (!Holds()) {
    if (std::chrono::steady_clock::now() >= End) {
      return false;
    }
    std::this_thread::sleep_for(Pause);
  }
  return true;
}

} // namespace mulberryhoist::standin

#endif // MULBERRYHOIST_TEST_STANDIN_HOST_H
