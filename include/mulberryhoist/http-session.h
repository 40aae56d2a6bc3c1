/// \file
/// One HTTP/1.1 connection that is kept open, for clients that ask again and
/// again.

#ifndef MULBERRYHOIST_HTTP_SESSION_H
#define MULBERRYHOIST_HTTP_SESSION_H

#include <chrono>
#include <cstdint>
#include <memory>
#include <stop_token>
#include <string>
#include <string_view>

#include "mulberryhoist/error.h"
#include "mulberryhoist/http-answer.h"
#include "mulberryhoist/types.h"

namespace mulberryhoist {

/// The longest time to connect. A server answers in milliseconds, and a lost
/// opening packet is sent again after a second.
inline constexpr std::chrono::milliseconds ConnectTimeout{1500};

/// A GET request.
struct HttpQuery {
  std::string Target;
  /// For the answer; afterwards the connection is replaced.
  std::chrono::milliseconds Timeout{2000};
  std::size_t MaxBodyBytes = 1U << 20U;
  /// The header whose value the answer carries, if any.
  std::string_view WantedHeader;
};

/// What a session has counted.
struct HttpCounters {
  std::uint64_t Calls = 0;
  std::uint64_t BytesSent = 0;
  std::uint64_t BytesReceived = 0;
};

/// A client with one connection; for one thread.
class HttpSession {
public:
  /// `Name` stands for the server in errors.
  HttpSession(Endpoint Server, std::string Name);

  HttpSession(HttpSession &&) noexcept;
  HttpSession &operator=(HttpSession &&) noexcept;
  ~HttpSession();

  /// Asks once, and once more if the server closed the connection while it was
  /// not in use. The error is `IncompleteTable` for a body that ends early,
  /// `OversizedMessage` for one that is too large, `MalformedMessage` for an
  /// answer that is not understood, and otherwise `ConfigurationUnavailable`.
  Result<HttpAnswer> get(const HttpQuery &Query, const std::stop_token &Stop);

  /// Closes the connection; the next call opens another one. To be called after
  /// an answer that cannot belong to its request.
  void disconnect();

  const HttpCounters &counters() const;

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_HTTP_SESSION_H
