#include "mulberryhoist/platform.h"

#include <charconv>
#include <fmt/format.h>

#include "mulberryhoist/table.h"

namespace mulberryhoist {
namespace {

constexpr std::string_view ServiceName = "configuration service";

std::optional<std::uint64_t> parseRevision(std::string_view Text) {
  std::uint64_t Value = 0;
  const auto [Stop, Code] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Text.empty() || Code != std::errc() ||
      Stop != Text.data() + Text.size()) {
    return std::nullopt;
  }
  return Value;
}

Result<PlatformAnswer> interpret(HttpAnswer Answer) {
  const auto Revision = parseRevision(Answer.WantedHeader);
  switch (Answer.Status) {
  case StatusOk:
    if (!Revision) {
      return makeError(ErrorKind::MalformedMessage,
                       "configuration service: no valid X-Revision");
    }
    return PlatformAnswer{true, Revision, std::move(Answer.Body)};
  case StatusNotModified:
    return PlatformAnswer{false, Revision, {}};
  case StatusTooManyRequests:
    return makeError(ErrorKind::CallRateExceeded,
                     "configuration service: status 429");
  default:
    return makeError(
        ErrorKind::ConfigurationUnavailable,
        fmt::format("configuration service: status {}", Answer.Status));
  }
}

} // namespace

PlatformClient::PlatformClient(Endpoint Service)
    : Session(Service, std::string(ServiceName)) {}

Result<PlatformAnswer> PlatformClient::fetch(const PlatformQuery &Query,
                                             const std::stop_token &Stop) {
  HttpQuery Wanted;
  Wanted.Target = fmt::format("{}?after={}&wait={}", Query.Path, Query.After,
                              Query.Wait.count());
  Wanted.Timeout = Query.Wait + PlatformTimeout;
  Wanted.MaxBodyBytes = MaxTableBytes;
  Wanted.WantedHeader = "X-Revision";
  auto Answer = this->Session.get(Wanted, Stop);
  if (!Answer) {
    return tl::unexpected<Error>(std::move(Answer.error()));
  }
  return interpret(std::move(*Answer));
}

} // namespace mulberryhoist
