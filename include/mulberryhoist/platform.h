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

/// Where the configuration service serves the table.
inline constexpr std::string_view TablePath = "/v1/table";

/// Where the configuration service serves the VM list.
inline constexpr std::string_view VmListPath = "/v1/vms";

/// Time for an answer beyond the wait that was asked for; afterwards the
/// connection counts as silent and is replaced.
inline constexpr std::chrono::milliseconds PlatformTimeout{2000};

/// One question to the configuration service.
struct PlatformQuery {
  std::string_view Path = TablePath;
  /// Asks for a value with a greater revision.
  std::uint64_t After = 0;
  /// How long the service may wait for such a value.
  std::chrono::seconds Wait{0};
};

/// The answer of the configuration service.
struct PlatformAnswer {
  /// False if there is nothing newer.
  bool Modified = false;
  /// Always set if `Modified`.
  std::optional<std::uint64_t> Revision;
  std::string Body;
};

/// A client with one connection that it keeps open; for one thread.
class PlatformClient {
public:
  explicit PlatformClient(Endpoint Service);

  /// Asks once. The error is `CallRateExceeded` for status 429,
  /// `IncompleteTable` for a body that ends early, `OversizedMessage` for one
  /// that is too large, `MalformedMessage` for an answer that is not
  /// understood, and otherwise `ConfigurationUnavailable`.
  Result<PlatformAnswer> fetch(const PlatformQuery &Query,
                               const std::stop_token &Stop);

  const HttpCounters &counters() const { return this->Session.counters(); }

private:
  HttpSession Session;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_PLATFORM_H
