#include "mulberryhoist/log.h"

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <climits>
#include <condition_variable>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <string>
#include <thread>
#include <unistd.h>
#include <utility>

namespace mulberryhoist {
namespace {

using Json = nlohmann::ordered_json;

std::atomic<LogLevel> MinLogLevel{LogLevel::Info};

/// Time for which the writer collects lines to write them in one call.
constexpr std::chrono::milliseconds BatchDelay{50};

/// Time after which the shutdown gives up pending lines if the reader of the
/// log has taken nothing meanwhile.
constexpr std::chrono::milliseconds FlushTimeout{200};

/// Maximum time for which the shutdown waits until pending lines are written.
constexpr std::chrono::milliseconds MaxFlushTime{2000};

struct ProcessName {
  std::mutex Lock;
  std::string Name;
};

/// Lines not written yet; owned jointly with the writer thread, which outlives
/// its `LogWriter` if a write blocks.
struct Backlog {
  std::mutex Lock;
  std::condition_variable Changed;
  std::string Lines;
  std::uint64_t Dropped = 0;
  std::atomic<std::uint64_t> Written{0};
  bool Stopping = false;
  bool Done = false;
};

std::atomic<std::shared_ptr<Backlog>> &activeBacklog() {
  static std::atomic<std::shared_ptr<Backlog>> Instance;
  return Instance;
}

ProcessName &processName() {
  static ProcessName Instance;
  return Instance;
}

std::string_view levelName(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return "debug";
  case LogLevel::Info:
    return "info";
  case LogLevel::Warning:
    return "warning";
  case LogLevel::Error:
    return "error";
  }
  return "error";
}

/// Formats the current time as ISO 8601 in UTC with milliseconds.
std::string timeText() {
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  const auto Seconds = std::chrono::floor<std::chrono::seconds>(Now);
  const auto Milliseconds =
      std::chrono::floor<std::chrono::milliseconds>(Now - Seconds);
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                     fmt::gmtime(static_cast<std::time_t>(Seconds.count())),
                     Milliseconds.count());
}

void addFields(Json &Line, std::initializer_list<LogField> Fields) {
  for (const LogField &Field : Fields) {
    // `emplace` does not replace a key that the line has already, so a field
    // cannot replace one of the keys common to all lines.
    std::visit(
        [&](const auto &Value) { Line.emplace(std::string(Field.Key), Value); },
        Field.Value);
  }
}

Json beginLine(LogLevel Level, std::string_view Text) {
  Json Line;
  Line["time"] = timeText();
  Line["level"] = levelName(Level);
  {
    ProcessName &Process = processName();
    const std::scoped_lock Guard(Process.Lock);
    Line["process"] = Process.Name;
  }
  Line["text"] = Text;
  return Line;
}

/// Writes to standard output without the stream, whose lock a blocked write
/// would hold when the process exits. Adds to `Written` as the reader takes the
/// bytes. Errors are ignored, since there is nowhere to report them.
void writeNow(std::string_view Text, std::atomic<std::uint64_t> &Written) {
  while (!Text.empty()) {
    const auto Count = ::write(STDOUT_FILENO, Text.data(),
                               std::min(Text.size(), std::size_t{PIPE_BUF}));
    if (Count < 0 && errno == EINTR) {
      continue;
    }
    if (Count <= 0) {
      return;
    }
    Written += static_cast<std::uint64_t>(Count);
    Text.remove_prefix(static_cast<std::size_t>(Count));
  }
}

/// Writes one line while no `LogWriter` exists.
void writeDirectly(std::string_view Text) {
  // Keeps the lines of several threads whole.
  static std::mutex Lock;
  static std::atomic<std::uint64_t> Written{0};
  const std::scoped_lock Guard(Lock);
  writeNow(Text, Written);
}

/// Returns whether the reader of the log leaves room for more.
bool isReaderReady() {
  pollfd Output = {STDOUT_FILENO, POLLOUT, 0};
  return ::poll(&Output, 1, 0) == 1;
}

void writeLine(const Json &Line) {
  // Input can contain bytes that are not valid UTF-8; replacing them keeps
  // `dump` from throwing, which would lose the line.
  const std::string Text =
      Line.dump(-1, ' ', false, Json::error_handler_t::replace) + '\n';
  const std::shared_ptr<Backlog> Pending = activeBacklog().load();
  if (Pending == nullptr) {
    writeDirectly(Text);
    return;
  }
  const std::scoped_lock Guard(Pending->Lock);
  if (Pending->Lines.size() + Text.size() > MaxPendingLogBytes) {
    ++Pending->Dropped;
    return;
  }
  Pending->Lines += Text;
  Pending->Changed.notify_one();
}

/// Writes pending lines until a stop is requested and none are left.
void runWriter(const std::shared_ptr<Backlog> &Pending) {
  std::unique_lock Guard(Pending->Lock);
  while (true) {
    Pending->Changed.wait(
        Guard, [&] { return Pending->Stopping || !Pending->Lines.empty(); });
    if (!Pending->Stopping) {
      Pending->Changed.wait_for(Guard, BatchDelay,
                                [&] { return Pending->Stopping; });
    }
    const std::string Lines = std::exchange(Pending->Lines, {});
    const std::uint64_t Dropped = std::exchange(Pending->Dropped, 0);
    Guard.unlock();
    writeNow(Lines, Pending->Written);
    if (Dropped != 0) {
      Json Line = beginLine(LogLevel::Warning, "log lines dropped");
      Line["count"] = Dropped;
      writeNow(Line.dump() + '\n', Pending->Written);
    }
    Guard.lock();
    if (Pending->Stopping && Pending->Lines.empty()) {
      Pending->Done = true;
      Pending->Changed.notify_all();
      return;
    }
  }
}

bool isEnabled(LogLevel Level) {
  return Level >= MinLogLevel.load(std::memory_order_relaxed);
}

} // namespace

LogWriter::LogWriter() {
  auto Pending = std::make_shared<Backlog>();
  std::thread([Pending] { runWriter(Pending); }).detach();
  activeBacklog().store(std::move(Pending));
}

LogWriter::~LogWriter() {
  const std::shared_ptr<Backlog> Pending = activeBacklog().exchange(nullptr);
  std::unique_lock Guard(Pending->Lock);
  Pending->Stopping = true;
  Pending->Changed.notify_all();
  const auto Deadline = std::chrono::steady_clock::now() + MaxFlushTime;
  std::uint64_t Before = 0;
  do {
    Before = Pending->Written;
    if (Pending->Changed.wait_for(Guard, FlushTimeout,
                                  [&] { return Pending->Done; })) {
      return;
    }
    // On a busy machine, the writer may not have run yet.
  } while ((Pending->Written != Before || isReaderReady()) &&
           std::chrono::steady_clock::now() < Deadline);
}

void setUpLog(std::string_view Process, LogLevel MinLevel) {
  ProcessName &Instance = processName();
  const std::scoped_lock Guard(Instance.Lock);
  Instance.Name = Process;
  MinLogLevel.store(MinLevel, std::memory_order_relaxed);
}

void log(LogLevel Level, std::string_view Text,
         std::initializer_list<LogField> Fields) {
  if (!isEnabled(Level)) {
    return;
  }
  Json Line = beginLine(Level, Text);
  addFields(Line, Fields);
  writeLine(Line);
}

void logError(const Error &Problem, std::initializer_list<LogField> Fields) {
  if (!isEnabled(LogLevel::Error)) {
    return;
  }
  Json Line = beginLine(LogLevel::Error, Problem.Detail);
  Line["kind"] = errorName(Problem.Kind);
  addFields(Line, Fields);
  writeLine(Line);
}

} // namespace mulberryhoist
