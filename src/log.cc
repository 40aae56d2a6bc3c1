#include "mulberryhoist/log.h"

#include <atomic>
#include <chrono>
#include <cstdio>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

namespace mulberryhoist {
namespace {

using Json = nlohmann::ordered_json;

std::atomic<LogLevel> LowestLevel{LogLevel::Info};

struct ProcessName {
  std::mutex Lock;
  std::string Name;
};

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

void writeLine(const Json &Line) {
  // Bytes that are not UTF-8 come from outside; they must not lose the line.
  const std::string Text =
      Line.dump(-1, ' ', false, Json::error_handler_t::replace) + '\n';
  // Standard error is unbuffered and locked by the call, so the line is written
  // whole. Nothing can be reported if that fails.
  (void)std::fwrite(Text.data(), 1, Text.size(), stderr);
}

bool isWritten(LogLevel Level) {
  return Level >= LowestLevel.load(std::memory_order_relaxed);
}

} // namespace

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
