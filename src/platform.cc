#include "mulberryhoist/platform.h"

#include <charconv>
#include <fmt/format.h>

#include "mulberryhoist/table.h"

namespace mulberryhoist {
namespace {

constexpr std::string_view ServiceName = "configuration service";

std::optional<std::uint64_t> parseRevision(std::string_view Text) {
  std::uint64_t Value = 0;
  const auto [End, Code] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Text.empty() || Code != std::errc() || End != Text.data() + Text.size()) {
    return std::nullopt;
  }
  return Value;
}

Result<PlatformResponse> interpretResponse(HttpAnswer Response) {
  const auto Revision = parseRevision(Response.WantedHeader.value_or(""));
  switch (Response.Status) {
  case StatusOk:
    if (!Revision) {
      return makeError(ErrorKind::MalformedMessage,
                       "configuration service: X-Revision missing or invalid");
    }
    return PlatformResponse{true, Revision, std::move(Response.Body)};
  case StatusNotModified:
    return PlatformResponse{false, Revision, {}};
  case StatusTooManyRequests:
    return makeError(ErrorKind::CallRateExceeded,
                     "configuration service: status 429");
  default:
    return makeError(
        ErrorKind::ConfigurationUnavailable,
        fmt::format("configuration service: status {}", Response.Status));
  }
}

} // namespace

PlatformClient::PlatformClient(Endpoint Service)
    : Session(Service, std::string(ServiceName)) {}

Result<PlatformResponse> PlatformClient::fetch(const PlatformQuery &Query,
                                               const std::stop_token &Stop) {
  HttpQuery Request;
  Request.Target = fmt::format("{}?after={}&wait={}", Query.Path, Query.After,
                               Query.Wait.count());
  Request.Timeout = Query.Wait + PlatformTimeout;
  Request.MaxBodyBytes = MaxTableBytes;
  Request.WantedHeader = "X-Revision";
  auto Response = this->Session.get(Request, Stop);
  if (!Response) {
    return tl::unexpected<Error>(std::move(Response.error()));
  }
  return interpretResponse(std::move(*Response));
}

} // namespace mulberryhoist
