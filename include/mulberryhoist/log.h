/// \file
/// Structured logs: one JSON object a line on standard output.

#ifndef MULBERRYHOIST_LOG_H
#define MULBERRYHOIST_LOG_H

#include <cstdint>
#include <initializer_list>
#include <string_view>
#include <variant>

#include "mulberryhoist/error.h"

namespace mulberryhoist {

/// How important a log line is.
enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

/// One named value of a log line.
struct LogField {
  std::string_view Key;
  std::variant<std::string_view, std::int64_t, double, bool> Value;
};

/// Sets the process name of every line and the lowest level that is written.
void setUpLog(std::string_view Process, LogLevel Lowest);

/// Writes lines on a thread of its own while it exists, so that a slow reader
/// of the log never holds up another thread. Lines beyond `MaxWaitingLogBytes`
/// are dropped and counted.
class LogWriter {
public:
  LogWriter();
  LogWriter(const LogWriter &) = delete;
  LogWriter &operator=(const LogWriter &) = delete;
  ~LogWriter();
};

/// Bounds the memory of lines that wait for a slow reader of the log.
inline constexpr std::size_t MaxWaitingLogBytes = std::size_t{256} * 1024;

/// Writes one line; safe to call from any thread.
///
///     log(LogLevel::Info, "table in force", {{"revision", 42}});
void log(LogLevel Level, std::string_view Text,
         std::initializer_list<LogField> Fields = {});

/// Writes one line about an error, with its kind as a field.
void logError(const Error &Problem,
              std::initializer_list<LogField> Fields = {});

} // namespace mulberryhoist

#endif // MULBERRYHOIST_LOG_H
