/// \file
/// HTTP answers and their status codes, for clients and servers.

#ifndef MULBERRYHOIST_HTTP_ANSWER_H
#define MULBERRYHOIST_HTTP_ANSWER_H

#include <optional>
#include <string>

namespace mulberryhoist {

inline constexpr unsigned StatusOk = 200;
inline constexpr unsigned StatusNotModified = 304;
inline constexpr unsigned StatusBadRequest = 400;
inline constexpr unsigned StatusGone = 410;
inline constexpr unsigned StatusTooManyRequests = 429;
inline constexpr unsigned StatusUnavailable = 503;

/// The answer to a GET request, whatever its status.
struct HttpAnswer {
  unsigned Status = 0;
  std::string Body;
  /// The value of the header that the query asked for; empty if the answer
  /// does not have it.
  std::optional<std::string> WantedHeader;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_HTTP_ANSWER_H
