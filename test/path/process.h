/// \file
/// Child processes of the tests: start, stop, kill, freeze and resume.

#ifndef MULBERRYHOIST_TEST_PATH_PROCESS_H
#define MULBERRYHOIST_TEST_PATH_PROCESS_H

#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

#include "mulberryhoist/types.h"

namespace mulberryhoist::path {

/// A directory for logs that is removed at the end of its scope.
class ScratchDirectory {
public:
  ScratchDirectory();
  ~ScratchDirectory();
  ScratchDirectory(const ScratchDirectory &) = delete;
  ScratchDirectory &operator=(const ScratchDirectory &) = delete;

  const std::filesystem::path &path() const { return this->Path; }

private:
  std::filesystem::path Path;
};

/// A started program; killed and reaped at the end of its scope. The kernel
/// kills it too if the starting thread ends first.
class Process {
public:
  /// Starts a program with its output in `Log`.
  static Result<std::unique_ptr<Process>>
  start(const std::filesystem::path &Program,
        const std::vector<std::string> &Arguments,
        const std::filesystem::path &Log);

  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  /// Asks for a graceful stop with SIGTERM.
  void terminate();

  /// Ends the process with SIGKILL and reaps it.
  void kill();

  /// Pauses the process with SIGSTOP.
  void freeze();

  /// Resumes the process with SIGCONT.
  void resume();

  /// Waits for the end; the status is empty if it still runs after `Limit`,
  /// -1 if a signal ended it.
  std::optional<int> wait(Duration Limit);

  bool isRunning() { return !this->wait(Duration::zero()).has_value(); }

  pid_t pid() const { return this->Pid; }

  /// The end of its output, for messages of failed tests.
  std::string logTail(std::size_t Bytes = 2000) const;

private:
  Process(pid_t Pid, std::filesystem::path Log)
      : Pid(Pid), Log(std::move(Log)) {}

  void signal(int Number);

  pid_t Pid;
  std::filesystem::path Log;
  std::optional<int> Status;
};

/// Returns a loopback port that is free for both UDP and TCP. Ports are taken
/// below the ephemeral range and never twice in one process.
std::uint16_t freePort();

} // namespace mulberryhoist::path

#endif // MULBERRYHOIST_TEST_PATH_PROCESS_H
