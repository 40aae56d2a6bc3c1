/// \file
/// UDP and HTTP for the stand-ins, on one Boost.Asio thread each.

#ifndef MULBERRYHOIST_TEST_STANDIN_NETWORK_H
#define MULBERRYHOIST_TEST_STANDIN_NETWORK_H

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "mulberryhoist/types.h"

namespace mulberryhoist::standin {

using boost::asio::io_context;

/// Largest datagram that is received.
inline constexpr std::size_t ReceiveBytes = 65536;

/// A bound UDP socket that calls a handler for every datagram.
class UdpPort {
public:
  using Handler = std::function<void(Endpoint From, PacketBytes Bytes)>;

  static Result<std::unique_ptr<UdpPort>>
  create(io_context &Io, Endpoint Listen, Handler Receive);

  /// Sends without waiting; a datagram that does not fit is lost and counted.
  void send(Endpoint To, PacketBytes Bytes);

  Endpoint address() const;
  std::uint64_t sendFailures() const { return this->SendFailures; }

private:
  UdpPort(io_context &Io, Handler Receive);
  void receiveNext();

  boost::asio::ip::udp::socket Socket;
  Handler Receive;
  boost::asio::ip::udp::endpoint From;
  std::vector<std::uint8_t> Buffer;
  std::uint64_t SendFailures = 0;
};

/// Named values, for example of a query string.
using Pairs = std::map<std::string, std::string, std::less<>>;

/// Splits `a=1&b=2` at the separator.
Pairs parsePairs(std::string_view Text, char Separator);

/// Returns a number from the pairs, or the default if it is absent or wrong.
double numberOr(const Pairs &Values, std::string_view Name, double Default);

/// Returns a text from the pairs, or an empty one.
std::string textOr(const Pairs &Values, std::string_view Name);

/// A received HTTP request.
struct HttpCall {
  std::string Method;
  std::string Path;
  Pairs Query;
  std::string Body;
};

/// An HTTP answer.
struct HttpAnswer {
  unsigned Status = 200;
  std::string Body = {};
  std::string ContentType = "application/json";
  Pairs Headers = {};
  /// Close the connection without an answer.
  bool Drop = false;
};

/// Sends the answer, now or later; the request stays open until it is called
/// or destroyed.
using HttpRespond = std::function<void(HttpAnswer)>;
using HttpHandler = std::function<void(const HttpCall &, HttpRespond)>;

/// A small HTTP/1.1 server.
class HttpServer {
public:
  static Result<std::unique_ptr<HttpServer>>
  create(io_context &Io, Endpoint Listen, HttpHandler Handler);

  Endpoint address() const;

private:
  HttpServer(io_context &Io, HttpHandler Handler);
  void acceptNext();

  io_context &Io;
  boost::asio::ip::tcp::acceptor Acceptor;
  HttpHandler Handler;
};

/// Calls an HTTP server and waits for the answer, at most `Timeout`.
Result<HttpAnswer> httpCall(Endpoint Server, std::string_view Method,
                            std::string_view Target, std::string_view Body = {},
                            Duration Timeout = std::chrono::seconds(5));

} // namespace mulberryhoist::standin

#endif // MULBERRYHOIST_TEST_STANDIN_NETWORK_H
