#include "mulberryhoist/balancer-process.h"

#include <gtest/gtest.h>

#include <csignal>
#include <future>
#include <nlohmann/json.hpp>
#include <thread>
#include <unistd.h>

#include "mulberryhoist/signals.h"
#include "samples.h"
#include "standin/host.h"
#include "standin/platform.h"

namespace mulberryhoist {
namespace {

using standin::pollUntil;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Json = nlohmann::json;

constexpr Endpoint AnyPort = {0x7F000001, 0};
constexpr Endpoint Photos = {0x7F000101, 443};
constexpr Endpoint Caller = {0x7F000202, 5000};

struct StopCase {
  Duration LastPacket;
  Duration Now;
  std::optional<StopReason> Reason;
};

class StopTest : public testing::TestWithParam<StopCase> {};

// Guards against an exit while packets still arrive, and against a process that
// never exits.
TEST_P(StopTest, ExitsWhenQuietOrAtDeadline) {
  const Instant StopAt = Instant(seconds(1000));
  EXPECT_EQ(stopReason(StopAt, StopAt + GetParam().LastPacket, seconds(10),
                       StopAt + GetParam().Now),
            GetParam().Reason);
}

INSTANTIATE_TEST_SUITE_P(
    Times, StopTest,
    testing::Values(
        StopCase{-seconds(100), milliseconds(1999), std::nullopt},
        StopCase{-seconds(100), seconds(2), StopReason::Quiet},
        StopCase{seconds(5), milliseconds(6999), std::nullopt},
        StopCase{seconds(5), seconds(7), StopReason::Quiet},
        StopCase{milliseconds(9999), milliseconds(9999), std::nullopt},
        StopCase{milliseconds(9999), seconds(10), StopReason::Deadline}));

// Guards against a flood of malformed packets that fills the log.
TEST(ProblemLimiterTest, LogsOneLineOfAKindInTenSeconds) {
  ErrorLogLimiter Limiter;
  const Instant Start = Instant(seconds(1000));
  EXPECT_EQ(Limiter.add(ErrorKind::MalformedPacket, Start), 1U);
  EXPECT_EQ(Limiter.add(ErrorKind::MalformedPacket, Start + seconds(1)), 0U);
  EXPECT_EQ(Limiter.add(ErrorKind::UnknownAddress, Start + seconds(1)), 1U);
  EXPECT_EQ(Limiter.add(ErrorKind::MalformedPacket, Start + seconds(10)), 2U);
}

// Guards against an administration API that listens on all addresses by
// default.
TEST(SettingDefaultTest, AdminIsOnLoopback) {
  const std::vector<const char *> Arguments = {
      "mulberry-balancer", "--name=b-1", "--zone=kl-sentral",
      "--listen=127.0.0.1:1", "--control=127.0.0.1:2"};
  const auto Parsed = Settings::create(balancerSettingSpecs(), Arguments);
  ASSERT_TRUE(Parsed) << Parsed.error().Detail;
  EXPECT_EQ(readBalancerSettings(*Parsed)->Admin, (Endpoint{0x7F000001, 9180}));
}

// Guards against a process that starts without a required address.
TEST(SettingDefaultTest, ControlIsRequired) {
  const std::vector<const char *> Arguments = {
      "mulberry-balancer", "--name=b-1", "--zone=kl-sentral",
      "--listen=127.0.0.1:1", "--admin=127.0.0.1:3"};
  EXPECT_FALSE(Settings::create(balancerSettingSpecs(), Arguments));
}

struct SettingCase {
  std::vector<const char *> Arguments;
  bool Valid;
};

class SettingTest : public testing::TestWithParam<SettingCase> {};

// Guards against a process that starts with invalid settings.
TEST_P(SettingTest, AcceptsOnlyValidSettings) {
  std::vector<const char *> Arguments = {
      "mulberry-balancer", "--name=b-1", "--zone=kl-sentral",
      "--listen=127.0.0.1:1", "--control=127.0.0.1:2"};
  const auto &Added = GetParam().Arguments;
  Arguments.insert(Arguments.end(), Added.begin(), Added.end());
  const auto Parsed = Settings::create(balancerSettingSpecs(), Arguments);
  const bool Valid =
      Parsed.has_value() && readBalancerSettings(*Parsed).has_value();
  EXPECT_EQ(Valid, GetParam().Valid);
}

INSTANTIATE_TEST_SUITE_P(
    Arguments, SettingTest,
    testing::Values(
        SettingCase{{"--admin=127.0.0.1:3"}, true},
        SettingCase{{"--admin=127.0.0.1:3", "--platform=127.0.0.1:4",
                     "--peers=127.0.0.1:5,127.0.0.1:6", "--log-level=debug"},
                    true},
        SettingCase{{"--admin=127.0.0.1"}, false},
        SettingCase{{"--admin=127.0.0.1:3", "--log-level=loud"}, false},
        SettingCase{{"--admin=127.0.0.1:3", "--stop-deadline-s=0"}, false}));

/// A balancer process with a stand-in for the configuration service.
class ProcessTest : public testing::Test {
protected:
  static void SetUpTestSuite() { ASSERT_TRUE(blockSignals().has_value()); }

  void start(Duration StopDeadline) {
    this->Platform = this->Host.run([](standin::io_context &Io) {
      return std::move(*standin::Platform::create(Io, {.Listen = AnyPort}));
    });
    BalancerSettings Settings;
    Settings.Documents = {"b-1",
                          "kl-sentral",
                          VmRole::Balancer,
                          AnyPort,
                          this->Platform->address(),
                          {}};
    Settings.Listen = AnyPort;
    Settings.Admin = AnyPort;
    Settings.StopDeadline = StopDeadline;
    auto Created = BalancerProcess::create(Settings);
    ASSERT_TRUE(Created.has_value()) << Created.error().Detail;
    this->Process = std::move(*Created);
    this->Ended =
        std::async(std::launch::async, [this] { return this->Process->run(); });
    EXPECT_TRUE(pollUntil([&] { return this->get("/health").Status == 503; }));
    this->publish();
  }

  void publish() {
    const std::string Csv =
        "service,address,class,share,upstream,endpoint,zone,weight,slots,"
        "connections\n" +
        sampleRow("photos", Photos, "u1", this->Agent.address(), 10) +
        "\nend,1,,,,,,,,\n";
    (void)standin::httpCall(this->Platform->address(), "POST", "/test/table",
                            Csv);
    ASSERT_TRUE(pollUntil([&] { return this->get("/health").Status == 200; }));
  }

  standin::HttpAnswer get(std::string_view Target) const {
    const auto Answer =
        standin::httpCall(this->Process->adminAddress(), "GET", Target);
    return Answer ? *Answer : standin::HttpAnswer{.Status = 0};
  }

  Json getJson(std::string_view Target) const {
    return Json::parse(this->get(Target).Body, nullptr, false);
  }

  /// Sends a packet; returns true if the agent receives one within 2 s.
  bool forwards() {
    (void)this->Fabric.send(this->Process->dataAddress(),
                            samplePacket(Caller, Photos));
    const Instant End = std::chrono::steady_clock::now() + seconds(2);
    Codec Messages;
    while (std::chrono::steady_clock::now() < End) {
      this->Agent.wait(milliseconds(20));
      while (const auto Received = this->Agent.receive()) {
        const auto Decoded = Messages.decode(Received->Bytes);
        if (Decoded && std::holds_alternative<Forward>(Decoded->Body)) {
          return true;
        }
      }
    }
    return false;
  }

  /// Sends SIGTERM and waits until /health reports that the process is leaving.
  void requestStop() {
    ASSERT_EQ(kill(getpid(), SIGTERM), 0);
    ASSERT_TRUE(pollUntil(
        [&] { return this->getJson("/health")["status"] == "leaving"; },
        seconds(2)));
    EXPECT_EQ(this->get("/health").Status, 503U);
  }

  standin::Host Host;
  std::unique_ptr<standin::Platform> Platform;
  DatagramSocket Agent = std::move(*DatagramSocket::create(AnyPort));
  DatagramSocket Fabric = std::move(*DatagramSocket::create(AnyPort));
  std::unique_ptr<BalancerProcess> Process;
  std::future<Result<StopReason>> Ended;

  void TearDown() override { this->Host.stop(); }
};

// Guards against a stop that cuts flows whose packets still arrive, and against
// an administration API that does not reflect the state of the process.
TEST_F(ProcessTest, ServesAndStopsWhenQuiet) {
  this->start(seconds(20));
  EXPECT_TRUE(this->forwards());
  EXPECT_EQ(this->getJson("/version")["table"]["revision"], 1);
  EXPECT_EQ(this->getJson("/table")["services"][0]["upstreams"][0]["name"],
            "u1");
  // The data duty counts a packet only after sending it.
  EXPECT_TRUE(pollUntil([&] {
    return this->getJson("/dump")["counters"]["forwarded_packets"] == 1;
  }));
  const auto Explanation =
      this->getJson("/explain?caller=127.0.2.2:5000&service=127.0.1.1:443");
  EXPECT_EQ(Explanation["upstream"], "u1");
  EXPECT_EQ(Explanation["service_name"], "photos");
  EXPECT_EQ(Explanation["candidates"].size(), 1U);
  EXPECT_EQ(this->get("/explain?caller=x").Status, 400U);
  EXPECT_NE(
      this->get("/metrics").Body.find("mulberry_balancer_packets_total 1"),
      std::string::npos);
  ASSERT_EQ(kill(getpid(), SIGUSR1), 0);

  this->requestStop();
  EXPECT_TRUE(this->forwards());
  ASSERT_EQ(this->Ended.wait_for(seconds(10)), std::future_status::ready);
  EXPECT_EQ(this->Ended.get().value(), StopReason::Quiet);
}

// Guards against a process that never exits because packets keep arriving.
TEST_F(ProcessTest, StopsAtDeadline) {
  this->start(seconds(3));
  this->requestStop();
  const Instant StopAt = std::chrono::steady_clock::now();
  while (this->Ended.wait_for(milliseconds(100)) != std::future_status::ready &&
         std::chrono::steady_clock::now() - StopAt < seconds(10)) {
    (void)this->Fabric.send(this->Process->dataAddress(),
                            samplePacket(Caller, Photos));
  }
  ASSERT_EQ(this->Ended.wait_for(seconds(0)), std::future_status::ready);
  EXPECT_EQ(this->Ended.get().value(), StopReason::Deadline);
}

} // namespace
} // namespace mulberryhoist
