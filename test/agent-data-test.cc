#include "mulberryhoist/agent-data.h"

#include <thread>

#include "agent-harness.h"

namespace mulberryhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Endpoint AnyPort{0x7F000001, 0};
constexpr std::uint32_t Isn = AgentHarness::Isn;
constexpr std::uint32_t Up = AgentHarness::UpstreamIsn;

DatagramSocket openSocket() {
  return std::move(*DatagramSocket::create(AnyPort));
}

/// Waits up to 5 s for a datagram; empty if none arrives.
std::vector<std::uint8_t> receive(DatagramSocket &Socket) {
  const Instant End = std::chrono::steady_clock::now() + seconds(5);
  while (std::chrono::steady_clock::now() < End) {
    if (const auto Received = Socket.receive()) {
      return {Received->Bytes.begin(), Received->Bytes.end()};
    }
    Socket.wait(milliseconds(100));
  }
  return {};
}

/// Runs a data duty on its own thread, connected to sockets of the test.
class DataDutyTest : public testing::Test {
protected:
  void SetUp() override {
    auto Parsed = Table::fromCsv(AgentHarness::tableText("100", "100"), 1);
    ASSERT_TRUE(Parsed);
    auto InForce = std::make_shared<const Table>(std::move(*Parsed));
    AgentDataSettings Settings;
    Settings.Name = "u1";
    Settings.Listen = AnyPort;
    Settings.UpstreamListen = AnyPort;
    Settings.Upstream = this->Upstream.address();
    Settings.Egress = this->Egress.address();
    Settings.Logic.Self = upstreamId("u1");
    Settings.Logic.Services = {serviceId("orders")};
    auto Opened = AgentData::create(
        Settings, {[InForce] { return InForce; },
                   [] { return std::shared_ptr<const VmList>(); }});
    ASSERT_TRUE(Opened) << Opened.error().Detail;
    this->Data = std::move(*Opened);
    this->Worker = std::jthread([this](const std::stop_token &Stop) {
      EXPECT_TRUE(this->Data->run(Stop));
    });
  }

  /// Sends a caller's packet as a balancer does.
  void fromCaller(const TestPacket &Value) {
    Forward Header;
    Header.Service = serviceId("orders");
    Header.Coordinator = upstreamId("u1");
    Header.Table = {0, 1};
    const auto Packet = buildPacket(this->Key.Caller, this->Key.Service, Value);
    const auto Bytes = this->Messages.encode(Header, Packet);
    ASSERT_TRUE(Bytes);
    EXPECT_TRUE(this->Balancer.send(this->Data->address(), *Bytes));
  }

  void fromUpstream(const TestPacket &Value) {
    const auto Packet = buildPacket(this->Key.Service, this->Key.Caller, Value);
    EXPECT_TRUE(this->Upstream.send(this->Data->upstreamAddress(), Packet));
  }

  void establish() {
    this->fromCaller({"S", Isn});
    EXPECT_FALSE(receive(this->Upstream).empty());
    this->fromUpstream({"SA", Up, Isn + 1});
    EXPECT_FALSE(receive(this->Egress).empty());
    this->fromCaller({"A", Isn + 1, Up + 1});
    EXPECT_FALSE(receive(this->Upstream).empty());
  }

  FlowKey Key{{0x7F090001, 4000}, {0x7F010001, 80}};
  Codec Messages;
  DatagramSocket Balancer = openSocket();
  DatagramSocket Upstream = openSocket();
  DatagramSocket Egress = openSocket();
  std::unique_ptr<AgentData> Data;
  std::jthread Worker;
};

// Guards against packets that are sent from or to the wrong socket.
TEST_F(DataDutyTest, ForwardsFlowInBothDirections) {
  this->establish();
  this->fromCaller({"AP", Isn + 1, Up + 1, "request"});
  const auto Request = receive(this->Upstream);
  const auto View = parsePacket(Request);
  ASSERT_TRUE(View);
  EXPECT_EQ(View->Payload.size(), 7U);
  this->fromUpstream({"AP", Up + 1, Isn + 8, "answer"});
  EXPECT_FALSE(receive(this->Egress).empty());
  EXPECT_NE(this->Data->explain(this->Key).find("established"),
            std::string::npos);
}

// Guards against malformed input that stops the duty or is not counted.
TEST_F(DataDutyTest, CountsMalformedInputAndContinues) {
  const std::vector<std::uint8_t> Malformed(100, 0xFF);
  EXPECT_TRUE(this->Balancer.send(this->Data->address(), Malformed));
  EXPECT_TRUE(this->Upstream.send(this->Data->upstreamAddress(), Malformed));
  EXPECT_TRUE(this->Egress.send(this->Data->upstreamAddress(), Malformed));
  this->establish();
  const auto &Errors = this->Data->counters().Errors;
  const auto CountOf = [&Errors](ErrorKind Kind) {
    return Errors[static_cast<std::size_t>(Kind)].load();
  };
  EXPECT_EQ(CountOf(ErrorKind::MalformedMessage), 1U);
  EXPECT_EQ(CountOf(ErrorKind::MalformedPacket), 1U);
  EXPECT_EQ(CountOf(ErrorKind::UnknownAddress), 1U);
}

// Guards against reporting the drain as finished while a flow is open, which
// would cut the flow.
TEST_F(DataDutyTest, DrainsUntilFlowsHaveEnded) {
  this->establish();
  this->Data->terminate();
  std::this_thread::sleep_for(MinimumDrain + milliseconds(200));
  EXPECT_FALSE(this->Data->isDrained());
  EXPECT_EQ(this->Data->view()->Drain.Flows, 1U);
  this->fromCaller({"R", Isn + 1});
  EXPECT_FALSE(receive(this->Upstream).empty());
  std::this_thread::sleep_for(milliseconds(100));
  EXPECT_TRUE(this->Data->isDrained());
}

} // namespace
} // namespace mulberryhoist
