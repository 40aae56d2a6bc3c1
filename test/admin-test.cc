#include "mulberryhoist/admin.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <stdexcept>
#include <thread>

namespace mulberryhoist {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr Endpoint Loopback = {0x7f000001, 0};

class AdminTest : public testing::Test {
protected:
  AdminTest() : Server(AdminServer::create(Loopback).value()) {
    this->Server.handle("/health", [](const AdminQuery &) {
      return AdminAnswer{200, "application/json", R"({"status":"ok"})"};
    });
    this->Server.handle("/explain", [](const AdminQuery &Query) {
      return AdminAnswer{200, "text/plain", Query.at("caller")};
    });
    this->Server.handle("/fault", [](const AdminQuery &) -> AdminAnswer {
      throw std::runtime_error("handler fault");
    });
    this->Server.serveMetrics(this->Metrics);
    this->start();
  }

  void start() {
    this->Thread = std::jthread(
        [this](const std::stop_token &Stop) { (void)this->Server.run(Stop); });
  }

  tcp::socket connect() {
    tcp::socket Socket(this->Context);
    const Endpoint Address = this->Server.address();
    Socket.connect({asio::ip::address_v4(Address.Address), Address.Port});
    return Socket;
  }

  /// Sends the text and returns what arrives until the server closes.
  std::string exchange(std::string_view Text) {
    tcp::socket Socket = this->connect();
    asio::write(Socket, asio::buffer(Text));
    std::string Answer;
    boost::system::error_code Code;
    asio::read(Socket, asio::dynamic_buffer(Answer), Code);
    return Answer;
  }

  std::string get(std::string_view Target) {
    return this->exchange(fmt::format(
        "GET {} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", Target));
  }

  asio::io_context Context;
  std::shared_ptr<prometheus::Registry> Metrics =
      std::make_shared<prometheus::Registry>();
  AdminServer Server;
  std::jthread Thread;
};

struct ExchangeRow {
  std::string Request;
  std::string Status;
  std::string Body;
};

class AdminExchangeTest : public AdminTest,
                          public testing::WithParamInterface<ExchangeRow> {};

std::string plainGet(const std::string &Target) {
  return "GET " + Target + " HTTP/1.1\r\nConnection: close\r\n\r\n";
}

// Guards against bad requests that stop the server or get a misleading answer;
// the server must serve a good request afterwards.
TEST_P(AdminExchangeTest, AnswersAndGoesOn) {
  const std::string Answer = this->exchange(GetParam().Request);
  EXPECT_EQ(Answer.find("HTTP/1.1 " + GetParam().Status), 0U) << Answer;
  EXPECT_NE(Answer.find(GetParam().Body), std::string::npos) << Answer;
  EXPECT_NE(this->get("/health").find(R"({"status":"ok"})"), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(
    Requests, AdminExchangeTest,
    testing::Values(
        ExchangeRow{plainGet("/health"), "200", R"({"status":"ok"})"},
        ExchangeRow{plainGet("/explain?caller=127.0.0.1%3A9&x=1"), "200",
                    "127.0.0.1:9"},
        ExchangeRow{plainGet("/absent"), "404", R"("error":"not_found")"},
        ExchangeRow{plainGet("/%zz"), "400", R"("error":"bad_request")"},
        ExchangeRow{plainGet("/fault"), "500", "handler fault"},
        ExchangeRow{"POST /health HTTP/1.1\r\nContent-Length: 2\r\n\r\nab",
                    "405", "Allow: GET"},
        ExchangeRow{"DELETE /health HTTP/1.1\r\n\r\n", "405", "Allow: GET"},
        ExchangeRow{"no request\r\n\r\n", "400", "bad_request"},
        ExchangeRow{"GET /health HTTP/1.1\r\nX: " + std::string(9000, 'a') +
                        "\r\n\r\n",
                    "431", "too_large"}));

// Guards against error kinds that are missing from the metrics until they occur
// and against counts under another kind.
TEST_F(AdminTest, ServesErrorCounters) {
  ErrorCounters Counters(*this->Metrics);
  Counters.add(ErrorKind::OlderTable);
  const std::string Answer = this->get("/metrics");
  EXPECT_NE(Answer.find("mulberry_errors_total{kind=\"older_table\"} 1"),
            std::string::npos);
  EXPECT_NE(Answer.find("mulberry_errors_total{kind=\"system_call\"} 0"),
            std::string::npos);
}

// Guards against silent clients that keep others from being served.
TEST_F(AdminTest, SilentConnectionsDoNotBlockOthers) {
  std::vector<tcp::socket> Silent;
  constexpr int Count = 8;
  Silent.reserve(Count);
  for (int I = 0; I < Count; ++I) {
    Silent.push_back(this->connect());
  }
  EXPECT_NE(this->get("/health").find("200"), std::string::npos);
}

// Guards against an admin duty that cannot be stopped or started again, as the
// supervisor does, and against a taken address that goes unnoticed.
TEST_F(AdminTest, StopsAndStartsAgain) {
  for (int I = 0; I < 3; ++I) {
    const tcp::socket Open = this->connect();
    this->Thread.request_stop();
    this->Thread.join();
    this->start();
    EXPECT_NE(this->get("/health").find("200"), std::string::npos);
  }
  const auto Taken = AdminServer::create(this->Server.address());
  ASSERT_FALSE(Taken.has_value());
  EXPECT_EQ(Taken.error().Kind, ErrorKind::InvalidSetting);
}

} // namespace
} // namespace mulberryhoist
