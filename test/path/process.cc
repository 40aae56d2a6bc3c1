#include "path/process.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <fmt/format.h>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace mulberryhoist::path {
namespace {

namespace asio = boost::asio;

constexpr std::uint16_t FirstPort = 12000;
constexpr std::uint16_t EndPort = 32000;
constexpr std::uint16_t PortsPerProcess = 200;
constexpr int LogMode = 0600;
constexpr int ExecFailed = 127;

template <typename Protocol> bool isFree(std::uint16_t Port) {
  asio::io_context Io;
  typename Protocol::socket Socket(Io);
  boost::system::error_code Problem;
  Socket.open(Protocol::v4(), Problem);
  Socket.bind({asio::ip::address_v4::loopback(), Port}, Problem);
  return !Problem;
}

/// Replaces the forked child by the program; returns only on failure.
void execute(std::vector<char *> &Arguments, int Log, pid_t Parent) {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  // The parent may have ended before the line above.
  if (::getppid() != Parent) {
    return;
  }
  ::dup2(Log, STDOUT_FILENO);
  ::dup2(Log, STDERR_FILENO);
  ::execv(Arguments.front(), Arguments.data());
}

} // namespace

ScratchDirectory::ScratchDirectory() {
  std::string Template =
      (std::filesystem::temp_directory_path() / "mulberry-path-XXXXXX")
          .string();
  if (::mkdtemp(Template.data()) != nullptr) {
    this->Path = Template;
  }
}

ScratchDirectory::~ScratchDirectory() {
  std::error_code Ignored;
  if (!this->Path.empty()) {
    std::filesystem::remove_all(this->Path, Ignored);
  }
}

Result<std::unique_ptr<Process>>
Process::start(const std::filesystem::path &Program,
               const std::vector<std::string> &Arguments,
               const std::filesystem::path &Log) {
  std::string Name = Program.string();
  if (::access(Name.c_str(), X_OK) != 0) {
    return makeError(ErrorKind::SystemCall,
                     fmt::format("{}: {}", Name, std::strerror(errno)));
  }
  const int Output =
      ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, LogMode);
  if (Output < 0) {
    return makeError(ErrorKind::SystemCall,
                     fmt::format("{}: {}", Log.string(), std::strerror(errno)));
  }
  // Prepared before the fork: the child may only use async-signal-safe calls.
  std::vector<std::string> Texts = Arguments;
  std::vector<char *> Pointers = {Name.data()};
  for (std::string &Text : Texts) {
    Pointers.push_back(Text.data());
  }
  Pointers.push_back(nullptr);
  const pid_t Parent = ::getpid();
  const pid_t Child = ::fork();
  if (Child == 0) {
    execute(Pointers, Output, Parent);
    ::_exit(ExecFailed);
  }
  ::close(Output);
  if (Child < 0) {
    return makeError(ErrorKind::SystemCall,
                     fmt::format("fork: {}", std::strerror(errno)));
  }
  return std::unique_ptr<Process>(new Process(Child, Log));
}

Process::~Process() { this->kill(); }

void Process::signal(int Number) {
  if (!this->Status) {
    ::kill(this->Pid, Number);
  }
}

void Process::terminate() { this->signal(SIGTERM); }

void Process::freeze() { this->signal(SIGSTOP); }

void Process::resume() { this->signal(SIGCONT); }

void Process::kill() {
  this->signal(SIGKILL);
  constexpr Duration Limit = std::chrono::seconds(10);
  this->wait(Limit);
}

std::optional<int> Process::wait(Duration Limit) {
  constexpr Duration Pause = std::chrono::milliseconds(5);
  const Instant End = std::chrono::steady_clock::now() + Limit;
  while (!this->Status) {
    int Raw = 0;
    if (::waitpid(this->Pid, &Raw, WNOHANG) == this->Pid) {
      this->Status = WIFEXITED(Raw) ? WEXITSTATUS(Raw) : -1;
    } else if (std::chrono::steady_clock::now() >= End) {
      break;
    } else {
      std::this_thread::sleep_for(Pause);
    }
  }
  return this->Status;
}

std::string Process::logTail(std::size_t Bytes) const {
  std::ifstream Input(this->Log, std::ios::binary);
  std::string Text((std::istreambuf_iterator<char>(Input)), {});
  return Text.size() > Bytes ? Text.substr(Text.size() - Bytes) : Text;
}

std::uint16_t freePort() {
  // Processes start at different ports, so that tests that run at the same time
  // rarely try the same ones.
  constexpr std::uint16_t Starts = (EndPort - FirstPort) / PortsPerProcess;
  static std::uint16_t Next = static_cast<std::uint16_t>(
      FirstPort + (::getpid() % Starts) * PortsPerProcess);
  for (int Tries = EndPort - FirstPort; Tries > 0; --Tries) {
    const std::uint16_t Port = Next;
    Next =
        Port + 1 < EndPort ? static_cast<std::uint16_t>(Port + 1) : FirstPort;
    if (isFree<asio::ip::tcp>(Port) && isFree<asio::ip::udp>(Port)) {
      return Port;
    }
  }
  return 0;
}

} // namespace mulberryhoist::path
