#include "standin/network.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <fmt/format.h>
#include <optional>

namespace mulberryhoist::standin {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::size_t BodyLimit = std::size_t{2} << 20U;
constexpr int SocketBufferBytes = 4 << 20;

template <typename Protocol>
typename Protocol::endpoint toAsio(Endpoint Value) {
  return {asio::ip::address_v4(Value.Address), Value.Port};
}

template <typename AsioEndpoint> Endpoint fromAsio(const AsioEndpoint &Value) {
  return {Value.address().to_v4().to_uint(), Value.port()};
}

tl::unexpected<Error> listenError(Endpoint Listen, const error_code &Problem) {
  return makeError(
      ErrorKind::SystemCall,
      fmt::format("{}: {}", formatEndpoint(Listen), Problem.message()));
}

/// One accepted connection; answers one request after the other.
class Session : public std::enable_shared_from_this<Session> {
public:
  Session(asio::ip::tcp::socket Socket, HttpHandler Handler)
      : Stream(std::move(Socket)), Handler(std::move(Handler)) {}

  void readNext() {
    this->Parser.emplace();
    this->Parser->body_limit(BodyLimit);
    http::async_read(this->Stream, this->Buffer, *this->Parser,
                     [Self = this->shared_from_this()](error_code Problem,
                                                       std::size_t /*Bytes*/) {
                       if (!Problem) {
                         Self->handle();
                       }
                     });
  }

private:
  void handle() {
    const auto &Request = this->Parser->get();
    const std::string Target = Request.target();
    const std::size_t Question = Target.find('?');
    HttpCall Call;
    Call.Method = std::string(Request.method_string());
    Call.Path = Target.substr(0, Question);
    if (Question != std::string::npos) {
      Call.Query =
          parsePairs(std::string_view(Target).substr(Question + 1), '&');
    }
    Call.Body = Request.body();
    this->KeepAlive = Request.keep_alive();
    this->Handler(Call, [Self = this->shared_from_this()](HttpAnswer Answer) {
      Self->write(std::move(Answer));
    });
  }

  void write(HttpAnswer Answer) {
    if (Answer.Drop) {
      error_code Ignored;
      this->Stream.socket().close(Ignored);
      return;
    }
    this->Response = {};
    this->Response.version(11);
    this->Response.result(Answer.Status);
    this->Response.set(http::field::content_type, Answer.ContentType);
    for (const auto &[Name, Value] : Answer.Headers) {
      this->Response.set(Name, Value);
    }
    this->Response.keep_alive(this->KeepAlive);
    this->Response.body() = std::move(Answer.Body);
    this->Response.prepare_payload();
    http::async_write(this->Stream, this->Response,
                      [Self = this->shared_from_this()](error_code Problem,
                                                        std::size_t /*Bytes*/) {
                        if (!Problem && Self->KeepAlive) {
                          Self->readNext();
                        }
                      });
  }

  beast::tcp_stream Stream;
  beast::flat_buffer Buffer;
  HttpHandler Handler;
  std::optional<http::request_parser<http::string_body>> Parser;
  http::response<http::string_body> Response;
  bool KeepAlive = false;
};

} // namespace

UdpPort::UdpPort(io_context &Io, Handler Receive)
    : Socket(Io), Receive(std::move(Receive)), Buffer(ReceiveBytes) {}

Result<std::unique_ptr<UdpPort>>
UdpPort::create(io_context &Io, Endpoint Listen, Handler Receive) {
  std::unique_ptr<UdpPort> Port(new UdpPort(Io, std::move(Receive)));
  error_code Problem;
  Port->Socket.open(asio::ip::udp::v4(), Problem);
  Port->Socket.bind(toAsio<asio::ip::udp>(Listen), Problem);
  if (Problem) {
    return listenError(Listen, Problem);
  }
  Port->Socket.non_blocking(true, Problem);
  Port->Socket.set_option(
      asio::socket_base::receive_buffer_size(SocketBufferBytes), Problem);
  Port->Socket.set_option(
      asio::socket_base::send_buffer_size(SocketBufferBytes), Problem);
  Port->receiveNext();
  return Port;
}

void UdpPort::receiveNext() {
  this->Socket.async_receive_from(
      asio::buffer(this->Buffer), this->From,
      [this](error_code Problem, std::size_t Bytes) {
        if (Problem == asio::error::operation_aborted) {
          return;
        }
        if (!Problem) {
          this->Receive(fromAsio(this->From),
                        PacketBytes(this->Buffer.data(), Bytes));
        }
        this->receiveNext();
      });
}

void UdpPort::send(Endpoint To, PacketBytes Bytes) {
  error_code Problem;
  this->Socket.send_to(asio::buffer(Bytes.data(), Bytes.size()),
                       toAsio<asio::ip::udp>(To), 0, Problem);
  if (Problem) {
    ++this->SendFailures;
  }
}

Endpoint UdpPort::address() const {
  return fromAsio(this->Socket.local_endpoint());
}

Pairs parsePairs(std::string_view Text, char Separator) {
  Pairs Values;
  while (!Text.empty()) {
    const std::string_view Part = Text.substr(0, Text.find(Separator));
    Text.remove_prefix(std::min(Text.size(), Part.size() + 1));
    const std::size_t Equals = Part.find('=');
    if (Equals != std::string_view::npos) {
      Values.insert_or_assign(std::string(Part.substr(0, Equals)),
                              std::string(Part.substr(Equals + 1)));
    }
  }
  return Values;
}

double numberOr(const Pairs &Values, std::string_view Name, double Default) {
  const auto Found = Values.find(Name);
  if (Found == Values.end()) {
    return Default;
  }
  double Number = Default;
  const std::string &Text = Found->second;
  std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  return Number;
}

std::string textOr(const Pairs &Values, std::string_view Name) {
  const auto Found = Values.find(Name);
  return Found == Values.end() ? std::string() : Found->second;
}

HttpServer::HttpServer(io_context &Io, HttpHandler Handler)
    : Io(Io), Acceptor(Io), Handler(std::move(Handler)) {}

Result<std::unique_ptr<HttpServer>>
HttpServer::create(io_context &Io, Endpoint Listen, HttpHandler Handler) {
  std::unique_ptr<HttpServer> Server(new HttpServer(Io, std::move(Handler)));
  error_code Problem;
  Server->Acceptor.open(asio::ip::tcp::v4(), Problem);
  Server->Acceptor.set_option(asio::socket_base::reuse_address(true), Problem);
  Server->Acceptor.bind(toAsio<asio::ip::tcp>(Listen), Problem);
  if (Problem) {
    return listenError(Listen, Problem);
  }
  Server->Acceptor.listen(asio::socket_base::max_listen_connections, Problem);
  if (Problem) {
    return listenError(Listen, Problem);
  }
  Server->acceptNext();
  return Server;
}

void HttpServer::acceptNext() {
  this->Acceptor.async_accept([this](error_code Problem,
                                     asio::ip::tcp::socket Socket) {
    if (Problem == asio::error::operation_aborted) {
      return;
    }
    if (!Problem) {
      std::make_shared<Session>(std::move(Socket), this->Handler)->readNext();
    }
    this->acceptNext();
  });
}

Endpoint HttpServer::address() const {
  return fromAsio(this->Acceptor.local_endpoint());
}

Result<HttpAnswer> httpCall(Endpoint Server, std::string_view Method,
                            std::string_view Target, std::string_view Body,
                            Duration Timeout) {
  io_context Io;
  beast::tcp_stream Stream(Io);
  Stream.expires_after(Timeout);
  http::request<http::string_body> Request;
  Request.method_string(std::string(Method));
  Request.target(std::string(Target));
  Request.version(11);
  Request.set(http::field::host, formatEndpoint(Server));
  Request.keep_alive(false);
  Request.body() = std::string(Body);
  Request.prepare_payload();
  beast::flat_buffer Buffer;
  http::response<http::string_body> Response;
  error_code Outcome;
  Stream.async_connect(toAsio<asio::ip::tcp>(Server), [&](error_code Problem) {
    if (Problem) {
      Outcome = Problem;
      return;
    }
    http::async_write(Stream, Request, [&](error_code Failed, std::size_t) {
      if (Failed) {
        Outcome = Failed;
        return;
      }
      http::async_read(Stream, Buffer, Response,
                       [&](error_code Last, std::size_t) { Outcome = Last; });
    });
  });
  Io.run();
  if (Outcome) {
    return makeError(ErrorKind::PeerUnreachable, Outcome.message());
  }
  HttpAnswer Answer;
  Answer.Status = Response.result_int();
  Answer.Body = std::move(Response.body());
  for (const auto &Field : Response) {
    Answer.Headers.emplace(Field.name_string(), Field.value());
  }
  return Answer;
}

} // namespace mulberryhoist::standin
