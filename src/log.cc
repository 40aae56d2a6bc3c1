#include "mulberryhoist/log.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <utility>

namespace mulberryhoist {
namespace {

using Json = nlohmann::ordered_json;

std::atomic<LogLevel> MinLogLevel{LogLevel::Info};

/// Time for which the writer collects lines to write them in one call.
constexpr std::chrono::milliseconds BatchDelay{50};

/// Maximum time for which the shutdown waits until pending lines are written.
constexpr std::chrono::milliseconds FlushTimeout{200};

struct ProcessName {
  std::mutex Lock;
  std::string Name;
};

/// Lines not written yet; owned jointly with the writer thread, which outlives
/// its `LogWriter` if a write blocks for longer than `FlushTimeout`.
struct Backlog {
  std::mutex Lock;
  std::condition_variable Changed;
  std::string Lines;
  std::uint64_t Dropped = 0;
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

/// Writes to standard output; `fwrite` locks the stream, so lines of several
/// threads do not mix. Errors are ignored, since there is nowhere to report
/// them.
void writeNow(std::string_view Text) {
  (void)std::fwrite(Text.data(), 1, Text.size(), stdout);
  (void)std::fflush(stdout);
}

void writeLine(const Json &Line) {
  // Input can contain bytes that are not valid UTF-8; replacing them keeps
  // `dump` from throwing, which would lose the line.
  const std::string Text =
      Line.dump(-1, ' ', false, Json::error_handler_t::replace) + '\n';
  const std::shared_ptr<Backlog> Pending = activeBacklog().load();
  if (Pending == nullptr) {
    writeNow(Text);
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
    writeNow(Lines);
    if (Dropped != 0) {
      Json Line = beginLine(LogLevel::Warning, "log lines dropped");
      Line["count"] = Dropped;
      writeNow(Line.dump() + '\n');
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
  Pending->Changed.wait_for(Guard, FlushTimeout, [&] { return Pending->Done; });
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
