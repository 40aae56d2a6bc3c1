/// \file
/// The request text that callers send to upstreams, and the answer's content.

#ifndef MULBERRYHOIST_TEST_STANDIN_REQUEST_H
#define MULBERRYHOIST_TEST_STANDIN_REQUEST_H

#include <optional>
#include <string>
#include <string_view>

#include "mulberryhoist/types.h"

namespace mulberryhoist::standin {

/// The largest answer that can be asked for, in bytes.
inline constexpr std::size_t MaxAnswerBytes = std::size_t{256} << 20U;

/// One request to an upstream.
struct RunRequest {
  std::string Id;
  bool Idempotent = true;
  std::size_t Size = 0;
  /// How long the request occupies a slot at speed 1.
  Duration Time{};
  /// Send the answer evenly over `Time` instead of at its end.
  bool Stream = false;
  /// Do not start the request later than this after its arrival.
  std::optional<Duration> Deadline;
};

/// Formats as a line `RUN id=... idempotent=... size=... time-ms=...`.
std::string formatRequest(const RunRequest &Request);

/// Parses a line without its end; empty if it is not a request.
std::optional<RunRequest> parseRequest(std::string_view Line);

/// Returns a part of the answer; it depends on service, request and offset.
std::string answerPart(Endpoint Service, std::string_view Id,
                       std::size_t Offset, std::size_t Length);

/// Converts milliseconds, as they appear in texts and settings.
Duration fromMilliseconds(double Milliseconds);

} // namespace mulberryhoist::standin

#endif // MULBERRYHOIST_TEST_STANDIN_REQUEST_H
