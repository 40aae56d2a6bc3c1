#include "mulberryhoist/http-client.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>
#include <memory>

namespace mulberryhoist {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

/// Keeps the number of open connections below the usual limit of descriptors.
constexpr std::size_t MaxConcurrent = 128;

/// Room for the dump of an agent with all its flows.
constexpr std::uint64_t MaxBodyBytes = 64ULL * 1024 * 1024;

/// One request; keeps itself alive through its pending operation.
class Exchange : public std::enable_shared_from_this<Exchange> {
public:
  Exchange(asio::io_context &Context, Endpoint Address, std::string_view Target,
           Result<HttpAnswer> &Outcome)
      : Stream(Context), Address(Address), Outcome(Outcome) {
    this->Request.method(http::verb::get);
    this->Request.target({Target.data(), Target.size()});
    this->Request.set(http::field::host, formatEndpoint(Address));
    this->Request.keep_alive(false);
    this->Parser.body_limit(MaxBodyBytes);
  }

  void start(Duration Timeout) {
    this->Stream.expires_after(Timeout);
    const tcp::endpoint Peer(asio::ip::address_v4(this->Address.Address),
                             this->Address.Port);
    this->Stream.async_connect(
        Peer,
        [Self = shared_from_this()](error_code Code) { Self->send(Code); });
  }

private:
  void send(const error_code &Code) {
    if (this->failed(Code)) {
      return;
    }
    http::async_write(
        this->Stream, this->Request,
        [Self = shared_from_this()](error_code Written, std::size_t) {
          Self->receive(Written);
        });
  }

  void receive(const error_code &Code) {
    if (this->failed(Code)) {
      return;
    }
    http::async_read(this->Stream, this->Buffer, this->Parser,
                     [Self = shared_from_this()](error_code Read, std::size_t) {
                       Self->finish(Read);
                     });
  }

  void finish(const error_code &Code) {
    if (this->failed(Code)) {
      return;
    }
    auto Message = this->Parser.release();
    this->Outcome =
        HttpAnswer{Message.result_int(), std::move(Message.body()), {}};
  }

  bool failed(const error_code &Code) {
    if (Code) {
      this->Outcome =
          makeError(ErrorKind::PeerUnreachable,
                    fmt::format("{} does not answer: {}",
                                formatEndpoint(this->Address), Code.message()));
    }
    return Code.failed();
  }

  beast::tcp_stream Stream;
  Endpoint Address;
  Result<HttpAnswer> &Outcome;
  http::request<http::empty_body> Request;
  http::response_parser<http::string_body> Parser;
  beast::flat_buffer Buffer;
};

} // namespace

std::vector<Result<HttpAnswer>> httpGetAll(std::span<const Endpoint> Addresses,
                                           std::string_view Target,
                                           Duration Timeout) {
  std::vector<Result<HttpAnswer>> Outcomes(
      Addresses.size(), makeError(ErrorKind::PeerUnreachable, "not asked"));
  for (std::size_t Begin = 0; Begin < Addresses.size();
       Begin += MaxConcurrent) {
    const std::size_t End = std::min(Begin + MaxConcurrent, Addresses.size());
    asio::io_context Context(1);
    for (std::size_t I = Begin; I < End; ++I) {
      std::make_shared<Exchange>(Context, Addresses[I], Target, Outcomes[I])
          ->start(Timeout);
    }
    Context.run();
  }
  return Outcomes;
}

} // namespace mulberryhoist
