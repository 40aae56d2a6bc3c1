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

std::atomic<LogLevel> LowestLevel{LogLevel::Info};

/// How long the writer collects lines before it writes them in one call.
constexpr std::chrono::milliseconds CollectTime{50};

/// How long a process that ends waits for a slow reader of its log.
constexpr std::chrono::milliseconds FlushTime{200};

struct ProcessName {
  std::mutex Lock;
  std::string Name;
};

/// The lines that wait for the writer; shared with its thread, which may
/// outlive the process's interest in it while a write blocks.
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
  const auto Rest =
      std::chrono::floor<std::chrono::milliseconds>(Now - Seconds);
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                     fmt::gmtime(static_cast<std::time_t>(Seconds.count())),
                     Rest.count());
}

void addFields(Json &Line, std::initializer_list<LogField> Fields) {
  for (const LogField &Field : Fields) {
    // A field never replaces one of the keys that every line has.
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

/// The call locks the stream, so that lines are whole. Nothing can be reported
/// if it fails.
void writeNow(std::string_view Text) {
  (void)std::fwrite(Text.data(), 1, Text.size(), stdout);
  (void)std::fflush(stdout);
}

void writeLine(const Json &Line) {
  // Bytes that are not UTF-8 come from outside; they must not lose the line.
  const std::string Text =
      Line.dump(-1, ' ', false, Json::error_handler_t::replace) + '\n';
  const std::shared_ptr<Backlog> Waiting = activeBacklog().load();
  if (Waiting == nullptr) {
    writeNow(Text);
    return;
  }
  const std::scoped_lock Guard(Waiting->Lock);
  if (Waiting->Lines.size() + Text.size() > MaxWaitingLogBytes) {
    ++Waiting->Dropped;
    return;
  }
  Waiting->Lines += Text;
  Waiting->Changed.notify_one();
}

/// Writes what waits until the writer is asked to stop.
void runWriter(const std::shared_ptr<Backlog> &Waiting) {
  std::unique_lock Guard(Waiting->Lock);
  while (true) {
    Waiting->Changed.wait(
        Guard, [&] { return Waiting->Stopping || !Waiting->Lines.empty(); });
    if (!Waiting->Stopping) {
      Waiting->Changed.wait_for(Guard, CollectTime,
                                [&] { return Waiting->Stopping; });
    }
    const std::string Lines = std::exchange(Waiting->Lines, {});
    const std::uint64_t Dropped = std::exchange(Waiting->Dropped, 0);
    Guard.unlock();
    writeNow(Lines);
    if (Dropped != 0) {
      Json Line = beginLine(LogLevel::Warning, "log lines dropped");
      Line["count"] = Dropped;
      writeNow(Line.dump() + '\n');
    }
    Guard.lock();
    if (Waiting->Stopping && Waiting->Lines.empty()) {
      Waiting->Done = true;
      Waiting->Changed.notify_all();
      return;
    }
  }
}

bool isWritten(LogLevel Level) {
  return Level >= LowestLevel.load(std::memory_order_relaxed);
}

} // namespace

LogWriter::LogWriter() {
  auto Waiting = std::make_shared<Backlog>();
  std::thread([Waiting] { runWriter(Waiting); }).detach();
  activeBacklog().store(std::move(Waiting));
}

LogWriter::~LogWriter() {
  const std::shared_ptr<Backlog> Waiting = activeBacklog().exchange(nullptr);
  std::unique_lock Guard(Waiting->Lock);
  Waiting->Stopping = true;
  Waiting->Changed.notify_all();
  Waiting->Changed.wait_for(Guard, FlushTime, [&] { return Waiting->Done; });
}

void setUpLog(std::string_view Process, LogLevel Lowest) {
  ProcessName &Instance = processName();
  const std::scoped_lock Guard(Instance.Lock);
  Instance.Name = Process;
  LowestLevel.store(Lowest, std::memory_order_relaxed);
}

void log(LogLevel Level, std::string_view Text,
         std::initializer_list<LogField> Fields) {
  if (!isWritten(Level)) {
    return;
  }
  Json Line = beginLine(Level, Text);
  addFields(Line, Fields);
  writeLine(Line);
}

void logError(const Error &Problem, std::initializer_list<LogField> Fields) {
  if (!isWritten(LogLevel::Error)) {
    return;
  }
  Json Line = beginLine(LogLevel::Error, Problem.Detail);
  Line["kind"] = errorName(Problem.Kind);
  addFields(Line, Fields);
  writeLine(Line);
}

} // namespace mulberryhoist
