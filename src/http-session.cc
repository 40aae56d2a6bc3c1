#include "mulberryhoist/http-session.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>
#include <netinet/tcp.h>
#include <optional>

#include "mulberryhoist/log.h"

namespace mulberryhoist {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

constexpr std::uint32_t MaxHeaderBytes = 8192;

/// A connection that is silent for three seconds without answering probes is
/// replaced, so that a long wait for a change does not hide its loss.
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;
constexpr int UserTimeoutMilliseconds = 3000;

using Parser = http::response_parser<http::string_body>;

tl::unexpected<Error> transportError(std::string_view Name,
                                     const beast::error_code &Code) {
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
  return makeError(Kind, fmt::format("{}: {}", Name, Code.message()));
}

void detectSilence(tcp::socket &Socket) {
  const int Handle = Socket.native_handle();
  const auto Set = [Handle](int Option, int Value) {
    // Without the option only the time-out of the call shows the silence.
    (void)setsockopt(Handle, IPPROTO_TCP, Option, &Value, sizeof(Value));
  };
  beast::error_code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  Socket.set_option(asio::socket_base::keep_alive(true), Ignored);
  Set(TCP_KEEPIDLE, KeepAliveIdleSeconds);
  Set(TCP_KEEPINTVL, KeepAliveIntervalSeconds);
  Set(TCP_KEEPCNT, KeepAliveProbes);
  Set(TCP_USER_TIMEOUT, UserTimeoutMilliseconds);
}

} // namespace

struct HttpSession::State {
  State(Endpoint Server, std::string Name)
      : Server(Server), Name(std::move(Name)) {}

  Endpoint Server;
  std::string Name;
  asio::io_context Context{1};
  std::optional<beast::tcp_stream> Stream;
  beast::flat_buffer Buffer;
  HttpCounters Counters;

  /// Runs what `Start` begins until it ends, times out or is stopped.
  template <typename Operation>
  beast::error_code await(const std::stop_token &Stop, Operation Start) {
    beast::error_code Outcome = asio::error::operation_aborted;
    this->Context.restart();
    const std::stop_callback OnStop(Stop, [this] {
      asio::post(this->Context, [this] { this->Stream->close(); });
    });
    Start([&Outcome](const beast::error_code &Code, auto &&.../*unused*/) {
      Outcome = Code;
    });
    this->Context.run();
    return Outcome;
  }

  beast::error_code connect(const std::stop_token &Stop) {
    this->Stream.emplace(this->Context);
    this->Buffer.clear();
    this->Stream->expires_after(ConnectTimeout);
    const tcp::endpoint Peer(asio::ip::address_v4(this->Server.Address),
                             this->Server.Port);
    const beast::error_code Code = this->await(Stop, [&](auto Done) {
      this->Stream->async_connect(Peer, std::move(Done));
    });
    if (!Code) {
      detectSilence(this->Stream->socket());
    }
    return Code;
  }

  beast::error_code exchange(const HttpQuery &Query, Parser &Answer,
                             const std::stop_token &Stop);

  /// Returns whether the server sent bytes that no request is waiting for, such
  /// as a second copy of an answer.
  bool hasUnexpectedBytes() {
    beast::error_code Ignored;
    return this->Buffer.size() > 0 ||
           this->Stream->socket().available(Ignored) > 0;
  }
};

beast::error_code HttpSession::State::exchange(const HttpQuery &Query,
                                               Parser &Answer,
                                               const std::stop_token &Stop) {
  constexpr int Http11 = 11;
  http::request<http::empty_body> Request(http::verb::get, Query.Target,
                                          Http11);
  Request.set(http::field::host, formatEndpoint(this->Server));
  Request.keep_alive(true);
  Answer.body_limit(Query.MaxBodyBytes);
  Answer.header_limit(MaxHeaderBytes);
  ++this->Counters.Calls;
  std::size_t Bytes = 0;
  this->Stream->expires_after(Query.Timeout);
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

HttpSession::HttpSession(Endpoint Server, std::string Name)
    : Impl(std::make_unique<State>(Server, std::move(Name))) {}

HttpSession::HttpSession(HttpSession &&) noexcept = default;
HttpSession &HttpSession::operator=(HttpSession &&) noexcept = default;
HttpSession::~HttpSession() = default;

Result<HttpAnswer> HttpSession::get(const HttpQuery &Query,
                                    const std::stop_token &Stop) {
  State &Own = *this->Impl;
  if (Own.Stream && Own.hasUnexpectedBytes()) {
    logError({ErrorKind::MalformedMessage,
              fmt::format("{}: bytes without a request; connection replaced",
                          Own.Name)});
    Own.Stream.reset();
  }
  const bool Reused = Own.Stream.has_value();
  if (!Reused) {
    if (const auto Code = Own.connect(Stop)) {
      Own.Stream.reset();
      return transportError(Own.Name, Code);
    }
  }
  Parser Answer;
  const beast::error_code Code = Own.exchange(Query, Answer, Stop);
  if (Code || !Answer.get().keep_alive()) {
    Own.Stream.reset();
  }
  // The server may have closed the connection while it was not in use.
  const bool ClosedBefore = Code == http::error::end_of_stream ||
                            Code == asio::error::connection_reset ||
                            Code == asio::error::broken_pipe;
  if (Reused && ClosedBefore && !Stop.stop_requested()) {
    return this->get(Query, Stop);
  }
  if (Code) {
    return transportError(Own.Name, Code);
  }
  HttpAnswer Reply;
  Reply.Status = Answer.get().result_int();
  if (!Query.WantedHeader.empty()) {
    const auto Found = Answer.get().find(beast::string_view(
        Query.WantedHeader.data(), Query.WantedHeader.size()));
    if (Found != Answer.get().end()) {
      Reply.WantedHeader.emplace(Found->value().data(), Found->value().size());
    }
  }
  Reply.Body = std::move(Answer.get().body());
  return Reply;
}

void HttpSession::disconnect() { this->Impl->Stream.reset(); }

const HttpCounters &HttpSession::counters() const {
  return this->Impl->Counters;
}

} // namespace mulberryhoist
