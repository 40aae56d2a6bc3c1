#include "mulberryhoist/platform.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <fmt/format.h>

#include "mulberryhoist/table.h"

namespace mulberryhoist {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

/// How soon a call notices that the duty has to stop.
constexpr std::chrono::milliseconds StopCheckPeriod{50};
constexpr std::uint32_t MaxHeaderBytes = 8192;

using Parser = http::response_parser<http::string_body>;

std::optional<std::uint64_t> revisionOf(const Parser &Answer) {
  const auto Field = Answer.get().find("X-Revision");
  if (Field == Answer.get().end()) {
    return std::nullopt;
  }
  const std::string Text(Field->value());
  std::uint64_t Value = 0;
  const auto [Stop, Code] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Code != std::errc() || Stop != Text.data() + Text.size()) {
    return std::nullopt;
  }
  return Value;
}

tl::unexpected<Error> transportError(const beast::error_code &Code) {
  ErrorKind Kind = ErrorKind::ConfigurationUnavailable;
  if (Code == http::error::partial_message) {
    Kind = ErrorKind::IncompleteTable;
  } else if (Code == http::error::body_limit ||
             Code == http::error::header_limit) {
    Kind = ErrorKind::OversizedMessage;
  } else if (Code.category() ==
                 make_error_code(http::error::bad_version).category() &&
             Code != http::error::end_of_stream) {
    Kind = ErrorKind::MalformedMessage;
  }
  return makeError(Kind,
                   fmt::format("configuration service: {}", Code.message()));
}

Result<PlatformAnswer> interpret(Parser &Answer) {
  const auto Revision = revisionOf(Answer);
  switch (Answer.get().result()) {
  case http::status::ok:
    if (!Revision) {
      return makeError(ErrorKind::MalformedMessage,
                       "configuration service: no valid X-Revision");
    }
    return PlatformAnswer{true, Revision, std::move(Answer.get().body())};
  case http::status::not_modified:
    return PlatformAnswer{false, Revision, {}};
  case http::status::too_many_requests:
    return makeError(ErrorKind::CallRateExceeded,
                     "configuration service: status 429");
  default:
    return makeError(ErrorKind::ConfigurationUnavailable,
                     fmt::format("configuration service: status {}",
                                 Answer.get().result_int()));
  }
}

} // namespace

struct PlatformClient::State {
  explicit State(Endpoint Service) : Service(Service) {}

  Endpoint Service;
  asio::io_context Context;
  std::optional<beast::tcp_stream> Stream;
  beast::flat_buffer Buffer;
  PlatformCounters Counters;

  /// Runs what `Start` begins until it ends, times out or is stopped.
  template <typename Operation>
  beast::error_code await(const std::stop_token &Stop, Operation Start) {
    beast::error_code Outcome = asio::error::operation_aborted;
    this->Context.restart();
    Start([&Outcome](const beast::error_code &Code, auto &&.../*unused*/) {
      Outcome = Code;
    });
    while (!this->Context.stopped()) {
      if (Stop.stop_requested()) {
        this->Stream->close();
      }
      this->Context.run_for(StopCheckPeriod);
    }
    return Outcome;
  }

  beast::error_code connect(const std::stop_token &Stop) {
    this->Stream.emplace(this->Context);
    this->Buffer.clear();
    this->Stream->expires_after(PlatformTimeout);
    const tcp::endpoint Peer(asio::ip::address_v4(this->Service.Address),
                             this->Service.Port);
    return this->await(Stop, [&](auto Done) {
      this->Stream->async_connect(Peer, std::move(Done));
    });
  }

  beast::error_code exchange(const PlatformQuery &Query, Parser &Answer,
                             const std::stop_token &Stop);
};

beast::error_code PlatformClient::State::exchange(const PlatformQuery &Query,
                                                  Parser &Answer,
                                                  const std::stop_token &Stop) {
  constexpr int Http11 = 11;
  http::request<http::empty_body> Request(http::verb::get,
                                          fmt::format("{}?after={}&wait={}",
                                                      Query.Path, Query.After,
                                                      Query.Wait.count()),
                                          Http11);
  Request.set(http::field::host, formatEndpoint(this->Service));
  Request.keep_alive(true);
  Answer.body_limit(MaxTableBytes);
  Answer.header_limit(MaxHeaderBytes);
  ++this->Counters.Calls;
  std::size_t Bytes = 0;
  this->Stream->expires_after(Query.Wait + PlatformTimeout);
  const auto Count = [&Bytes](auto Done) {
    return [&Bytes, Done](const beast::error_code &Code, std::size_t Moved) {
      Bytes = Moved;
      Done(Code);
    };
  };
  beast::error_code Code = this->await(Stop, [&](auto Done) {
    http::async_write(*this->Stream, Request, Count(std::move(Done)));
  });
  this->Counters.BytesSent += Bytes;
  if (Code) {
    return Code;
  }
  Bytes = 0;
  Code = this->await(Stop, [&](auto Done) {
    http::async_read(*this->Stream, this->Buffer, Answer,
                     Count(std::move(Done)));
  });
  this->Counters.BytesReceived += Bytes;
  return Code;
}

PlatformClient::PlatformClient(Endpoint Service)
    : Impl(std::make_unique<State>(Service)) {}

PlatformClient::PlatformClient(PlatformClient &&) noexcept = default;
PlatformClient &PlatformClient::operator=(PlatformClient &&) noexcept = default;
PlatformClient::~PlatformClient() = default;

Result<PlatformAnswer> PlatformClient::ask(const PlatformQuery &Query,
                                           std::stop_token Stop) {
  State &Own = *this->Impl;
  const bool Reused = Own.Stream.has_value();
  if (!Reused) {
    if (const auto Code = Own.connect(Stop)) {
      Own.Stream.reset();
      return transportError(Code);
    }
  }
  Parser Answer;
  const beast::error_code Code = Own.exchange(Query, Answer, Stop);
  if (Code || !Answer.get().keep_alive()) {
    Own.Stream.reset();
  }
  // The service may have closed the connection while it was not in use.
  const bool ClosedBefore = Code == http::error::end_of_stream ||
                            Code == asio::error::connection_reset ||
                            Code == asio::error::broken_pipe;
  if (Reused && ClosedBefore && !Stop.stop_requested()) {
    return this->ask(Query, std::move(Stop));
  }
  if (Code) {
    return transportError(Code);
  }
  return interpret(Answer);
}

const PlatformCounters &PlatformClient::counters() const {
  return this->Impl->Counters;
}

} // namespace mulberryhoist
