#include "mulberryhoist/admin.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/src.hpp> // The library is used without its binary.
#include <boost/url/url_view.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <prometheus/counter.h>
#include <prometheus/text_serializer.h>

#include "mulberryhoist/log.h"

namespace mulberryhoist {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

using Request = http::request<http::empty_body>;
using Response = http::response<http::string_body>;
using HandlerMap = std::map<std::string, AdminHandler, std::less<>>;

/// How long a client may take for one request and its answer, so that silent
/// connections do not use up the connection limit.
constexpr std::chrono::seconds ConnectionTimeout{10};

/// Bounds the memory and descriptors that clients can hold.
constexpr std::size_t MaxConnections = 64;

/// A request target with two endpoints needs less than 200 bytes.
constexpr std::uint32_t MaxHeaderBytes = 8192;

/// The pause after a failed accept, for example without free descriptors.
constexpr std::chrono::milliseconds AcceptRetry{100};

AdminAnswer errorAnswerOf(http::status Status, std::string_view Name,
                          std::string_view Detail) {
  const nlohmann::json Body = {{"error", Name}, {"detail", Detail}};
  return {static_cast<unsigned>(Status), "application/json",
          Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

AdminAnswer callHandler(const AdminHandler &Handler, const AdminQuery &Query) {
  try {
    return Handler(Query);
  } catch (const std::exception &Problem) {
    logError({ErrorKind::WorkerFailed, Problem.what()},
             {{"duty", "admin request"}});
    return errorAnswerOf(http::status::internal_server_error, "internal",
                         Problem.what());
  }
}

AdminAnswer answer(const HandlerMap &Handlers, const Request &Message) {
  if (Message.method() != http::verb::get) {
    return errorAnswerOf(http::status::method_not_allowed, "method_not_allowed",
                         "only GET is allowed");
  }
  const beast::string_view Target = Message.target();
  const auto Parsed =
      boost::urls::parse_origin_form({Target.data(), Target.size()});
  if (!Parsed) {
    return errorAnswerOf(http::status::bad_request, "bad_request",
                         "the request target is malformed");
  }
  const auto Found = Handlers.find(Parsed->path());
  if (Found == Handlers.end()) {
    return errorAnswerOf(http::status::not_found, "not_found",
                         fmt::format("no path {}", Parsed->path()));
  }
  AdminQuery Query;
  for (const auto &Parameter : Parsed->params()) {
    Query.insert_or_assign(Parameter.key, Parameter.value);
  }
  return callHandler(Found->second, Query);
}

Response makeResponse(AdminAnswer Answer, const Request &Message) {
  Response Built{http::int_to_status(Answer.Status), Message.version()};
  Built.result(Answer.Status);
  Built.set(http::field::content_type, Answer.ContentType);
  Built.set(http::field::cache_control, "no-store");
  if (Answer.Status ==
      static_cast<unsigned>(http::status::method_not_allowed)) {
    Built.set(http::field::allow, "GET");
  }
  Built.keep_alive(Message.keep_alive());
  Built.body() = std::move(Answer.Body);
  Built.prepare_payload();
  return Built;
}

/// One client connection; keeps itself alive through its pending operations.
class Session : public std::enable_shared_from_this<Session> {
public:
  Session(tcp::socket Socket, const HandlerMap &Handlers, std::size_t &Open)
      : Stream(std::move(Socket)), Handlers(Handlers), Open(Open) {
    ++this->Open;
  }
  Session(const Session &) = delete;
  Session &operator=(const Session &) = delete;
  ~Session() { --this->Open; }

  void readNext() {
    this->Parser.emplace();
    this->Parser->header_limit(MaxHeaderBytes);
    // A body of any announced size is left unread.
    this->Parser->body_limit(boost::none);
    this->Stream.expires_after(ConnectionTimeout);
    http::async_read_header(
        this->Stream, this->Buffer, *this->Parser,
        [Self = shared_from_this()](error_code Code, std::size_t) {
          Self->onRead(Code);
        });
  }

private:
  void onRead(const error_code &Code) {
    if (Code == http::error::end_of_stream) {
      this->close();
      return;
    }
    if (Code == http::error::header_limit) {
      this->write(errorAnswerOf(http::status::request_header_fields_too_large,
                                "too_large",
                                fmt::format("the header exceeds {} bytes",
                                            MaxHeaderBytes)),
                  false);
      return;
    }
    if (Code.category() ==
        make_error_code(http::error::bad_method).category()) {
      this->write(errorAnswerOf(http::status::bad_request, "bad_request",
                                Code.message()),
                  false);
      return;
    }
    if (Code) {
      return;
    }
    // After a body that was left unread no further request can be parsed.
    this->write(answer(this->Handlers, this->Parser->get()),
                this->Parser->is_done() &&
                    this->Parser->get().method() == http::verb::get);
  }

  void write(AdminAnswer Answer, bool KeepAlive) {
    this->Pending = makeResponse(std::move(Answer), this->Parser->get());
    if (!KeepAlive) {
      this->Pending.keep_alive(false);
    }
    this->Stream.expires_after(ConnectionTimeout);
    http::async_write(
        this->Stream, this->Pending,
        [Self = shared_from_this()](error_code Code, std::size_t) {
          Self->onWritten(Code);
        });
  }

  void onWritten(const error_code &Code) {
    if (Code) {
      return;
    }
    if (!this->Pending.keep_alive()) {
      this->close();
      return;
    }
    this->readNext();
  }

  void close() {
    error_code Ignored;
    this->Stream.socket().shutdown(tcp::socket::shutdown_send, Ignored);
  }

  beast::tcp_stream Stream;
  const HandlerMap &Handlers;
  std::size_t &Open;
  beast::flat_buffer Buffer;
  std::optional<http::request_parser<http::empty_body>> Parser;
  Response Pending;
};

} // namespace

struct AdminServer::State {
  // Sessions refer to handlers and count, and the context owns the sessions.
  HandlerMap Handlers;
  std::size_t OpenSessions = 0;
  asio::io_context Context{1};
  tcp::acceptor Acceptor{Context};
  asio::steady_timer Retry{Context};
  Endpoint Address;

  void acceptNext() {
    this->Acceptor.async_accept([this](error_code Code, tcp::socket Socket) {
      this->onAccept(Code, std::move(Socket));
    });
  }

  void onAccept(const error_code &Code, tcp::socket Socket) {
    if (Code == asio::error::operation_aborted) {
      return;
    }
    if (Code) {
      this->Retry.expires_after(AcceptRetry);
      this->Retry.async_wait([this](error_code Waited) {
        if (!Waited) {
          this->acceptNext();
        }
      });
      return;
    }
    if (this->OpenSessions < MaxConnections) {
      std::make_shared<Session>(std::move(Socket), this->Handlers,
                                this->OpenSessions)
          ->readNext();
    }
    this->acceptNext();
  }
};

AdminServer::AdminServer(std::unique_ptr<State> Impl) : Impl(std::move(Impl)) {}
AdminServer::AdminServer(AdminServer &&) noexcept = default;
AdminServer &AdminServer::operator=(AdminServer &&) noexcept = default;
AdminServer::~AdminServer() = default;

Result<AdminServer> AdminServer::create(Endpoint Listen) {
  auto Impl = std::make_unique<State>();
  tcp::acceptor &Acceptor = Impl->Acceptor;
  error_code Code;
  Acceptor.open(tcp::v4(), Code);
  if (!Code) {
    // A restarted process listens again while old connections linger.
    Acceptor.set_option(tcp::acceptor::reuse_address(true), Code);
  }
  if (!Code) {
    Acceptor.bind({asio::ip::address_v4(Listen.Address), Listen.Port}, Code);
  }
  if (!Code) {
    Acceptor.listen(tcp::acceptor::max_listen_connections, Code);
  }
  if (Code) {
    return makeError(
        ErrorKind::InvalidSetting,
        fmt::format("cannot serve the administration API at {}: {}",
                    formatEndpoint(Listen), Code.message()));
  }
  const tcp::endpoint Bound = Acceptor.local_endpoint();
  Impl->Address = {Bound.address().to_v4().to_uint(), Bound.port()};
  return AdminServer(std::move(Impl));
}

void AdminServer::handle(std::string Path, AdminHandler Handler) {
  this->Impl->Handlers.insert_or_assign(std::move(Path), std::move(Handler));
}

void AdminServer::serveMetrics(std::shared_ptr<prometheus::Registry> Metrics) {
  this->handle("/metrics", [Metrics = std::move(Metrics)](const AdminQuery &) {
    return AdminAnswer{
        200, "text/plain; version=0.0.4; charset=utf-8",
        prometheus::TextSerializer().Serialize(Metrics->Collect())};
  });
}

Result<void> AdminServer::run(std::stop_token Stop) {
  asio::io_context &Context = this->Impl->Context;
  // A run that ended before leaves the context stopped; what it left pending
  // goes on.
  Context.restart();
  asio::post(Context, [Impl = this->Impl.get()] {
    error_code Ignored;
    Impl->Acceptor.cancel(Ignored);
    Impl->Retry.cancel();
    Impl->acceptNext();
  });
  const std::stop_callback OnStop(std::move(Stop), [&] { Context.stop(); });
  Context.run();
  return {};
}

Endpoint AdminServer::address() const { return this->Impl->Address; }

ErrorCounters::ErrorCounters(prometheus::Registry &Metrics) {
  auto &Family = prometheus::BuildCounter()
                     .Name("mulberry_errors_total")
                     .Help("Errors by kind.")
                     .Register(Metrics);
  for (std::size_t I = 0; I < ErrorKindCount; ++I) {
    const auto Kind = static_cast<ErrorKind>(I);
    this->Counters[I] = &Family.Add({{"kind", std::string(errorName(Kind))}});
  }
}

void ErrorCounters::add(ErrorKind Kind) {
  this->Counters[static_cast<std::size_t>(Kind)]->Increment();
}

} // namespace mulberryhoist
