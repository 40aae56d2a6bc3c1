/// \file
/// Error kinds, the response of the system to each kind, and the result type.

#ifndef MULBERRYHOIST_ERROR_H
#define MULBERRYHOIST_ERROR_H

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace mulberryhoist {

/// Every kind of error that the system reports.
enum class ErrorKind : std::uint8_t {
  MalformedPacket,
  UnknownAddress,
  WrongService,
  MalformedMessage,
  OversizedMessage,
  InvalidTable,
  IncompleteTable,
  OlderTable,
  ConflictingTable,
  InvalidSetting,
  PeerUnreachable,
  ConfigurationUnavailable,
  CallRateExceeded,
  HistoryLost,
  RefusedNotRun,
  OutcomeUnknown,
  RingFull,
  WorkerFailed,
  SystemCall,
};

/// Number of members of `ErrorKind`.
inline constexpr std::size_t ErrorKindCount = 19;

/// The response of the system to an error.
enum class ErrorResponse : std::uint8_t {
  Drop,          ///< Drop the input and count it.
  Refuse,        ///< Refuse the opening, which has not run.
  Reset,         ///< Reset the flow, whose outcome is unknown.
  KeepInForce,   ///< Reject the new value and keep the one in force.
  RetryLater,    ///< Retry after a back-off.
  ExitProcess,   ///< Report and exit with a non-zero status.
  RestartWorker, ///< Restart the worker thread.
};

/// An error: its kind and a human-readable detail.
struct Error {
  ErrorKind Kind;
  std::string Detail;
};

/// The result of an operation that can fail.
template <typename T> using Result = tl::expected<T, Error>;

/// Returns the error as the unexpected side of a `Result`.
///
///     return makeError(ErrorKind::InvalidSetting,
///                      "--port: 0 is not 1..65535");
inline tl::unexpected<Error> makeError(ErrorKind Kind, std::string Detail) {
  return tl::unexpected<Error>(Error{Kind, std::move(Detail)});
}

/// Returns the name of the kind as used in logs and metrics.
std::string_view errorName(ErrorKind Kind);

/// Returns the response of the system to an error of this kind.
ErrorResponse errorResponse(ErrorKind Kind);

} // namespace mulberryhoist

#endif // MULBERRYHOIST_ERROR_H
