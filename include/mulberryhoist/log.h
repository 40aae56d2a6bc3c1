/// \file
/// Structured logging: one JSON object per line on standard output.

#ifndef MULBERRYHOIST_LOG_H
#define MULBERRYHOIST_LOG_H

#include <cstdint>
#include <initializer_list>
#include <string_view>
#include <variant>

#include "mulberryhoist/error.h"

namespace mulberryhoist {

/// The severity of a log line.
enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

/// One named value of a log line.
struct LogField {
  std::string_view Key;
  std::variant<std::string_view, std::int64_t, double, bool> Value;
};

/// Sets the process name that every line contains and the minimum level that is
/// written.
void setUpLog(std::string_view Process, LogLevel MinLevel);

/// Moves writing to a background thread while it exists, so that a slow reader
/// of the log does not block the threads that log. Lines beyond
/// `MaxPendingLogBytes` are dropped and counted.
class LogWriter {
public:
  LogWriter();
  LogWriter(const LogWriter &) = delete;
  LogWriter &operator=(const LogWriter &) = delete;
  ~LogWriter();
};

/// Limits the memory of lines that are not written yet because the reader of
/// the log is slow.
inline constexpr std::size_t MaxPendingLogBytes = std::size_t{256} * 1024;

/// Writes one line; safe to call from any thread.
///
///     log(LogLevel::Info, "table in force", {{"revision", 42}});
void log(LogLevel Level, std::string_view Text,
         std::initializer_list<LogField> Fields = {});

/// Writes one line at level `Error` with the detail of an error as text and its
/// kind as a field.
void logError(const Error &Problem,
              std::initializer_list<LogField> Fields = {});

} // namespace mulberryhoist

#endif // MULBERRYHOIST_LOG_H
