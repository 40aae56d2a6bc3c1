/// \file
/// The client of the configuration service over HTTP/1.1.

#ifndef MULBERRYHOIST_PLATFORM_H
#define MULBERRYHOIST_PLATFORM_H

#include <chrono>
#include <cstdint>
#include <optional>
#include <stop_token>
#include <string>
#include <string_view>

#include "mulberryhoist/error.h"
#include "mulberryhoist/http-session.h"
#include "mulberryhoist/types.h"

namespace mulberryhoist {

/// The HTTP path of the table.
inline constexpr std::string_view TablePath = "/v1/table";

/// The HTTP path of the VM list.
inline constexpr std::string_view VmListPath = "/v1/vms";

/// The time allowed for a response beyond the requested wait; afterwards the
/// call fails and the connection is replaced.
inline constexpr std::chrono::milliseconds PlatformTimeout{2000};

/// A request to the configuration service.
struct PlatformQuery {
  std::string_view Path = TablePath;
  /// Requests a value with a greater revision.
  std::uint64_t After = 0;
  /// How long the service may wait for such a value before it responds.
  std::chrono::seconds Wait{0};
};

/// The response of the configuration service.
struct PlatformResponse {
  /// False if there is no newer value.
  bool Modified = false;
  /// Always set if `Modified`.
  std::optional<std::uint64_t> Revision;
  std::string Body;
};

/// A client of the configuration service with one persistent connection; not
/// thread-safe.
class PlatformClient {
public:
  explicit PlatformClient(Endpoint Service);

  /// Sends one request. The error is `CallRateExceeded` for status 429,
  /// `IncompleteTable` for a truncated body, `OversizedMessage` for one over
  /// `MaxTableBytes`, `MalformedMessage` for an invalid response, and otherwise
  /// `ConfigurationUnavailable`.
  Result<PlatformResponse> fetch(const PlatformQuery &Query,
                                 const std::stop_token &Stop);

  const HttpCounters &counters() const { return this->Session.counters(); }

private:
  HttpSession Session;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_PLATFORM_H
