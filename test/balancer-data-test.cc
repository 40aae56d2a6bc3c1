#include "mulberryhoist/balancer-data.h"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

#include "mulberryhoist/wire.h"
#include "samples.h"
#include "standin/host.h"

namespace mulberryhoist {
namespace {

using standin::pollUntil;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Endpoint AnyPort = {0x7F000001, 0};
constexpr Endpoint Photos = {0x7F000101, 443};
constexpr Endpoint Caller = {0x7F000202, 5000};

/// An agent that replies to probes unless it is silent, and counts the packets
/// that it receives.
class FakeAgent {
public:
  explicit FakeAgent(std::string Name)
      : Name(std::move(Name)),
        Thread([this](const std::stop_token &Stop) { this->run(Stop); }) {}

  Endpoint address() const { return this->Socket.address(); }

  std::string row() const {
    return sampleRow("photos", Photos, this->Name, this->address(), 10);
  }

  std::atomic<int> Packets{0};
  std::atomic<bool> Silent{false};

private:
  void run(const std::stop_token &Stop) {
    while (!Stop.stop_requested()) {
      this->Socket.wait(milliseconds(20));
      while (const auto Received = this->Socket.receive()) {
        this->handleDatagram(*Received);
      }
    }
  }

  void handleDatagram(const ReceivedDatagram &Received) {
    const auto Decoded = this->Messages.decode(Received.Bytes);
    ASSERT_TRUE(Decoded.has_value());
    if (std::holds_alternative<Forward>(Decoded->Body)) {
      EXPECT_TRUE(parsePacket(Decoded->Packet).has_value());
      ++this->Packets;
    } else if (!this->Silent) {
      const auto Sequence = std::get<Probe>(Decoded->Body).Sequence;
      const auto Reply = this->Messages.encode(
          ProbeReply{Sequence, upstreamId(this->Name), false, 0, {}});
      (void)this->Socket.send(Received.From, *Reply);
    }
  }

  std::string Name;
  DatagramSocket Socket = std::move(*DatagramSocket::create(AnyPort));
  Codec Messages;
  std::jthread Thread;
};

class BalancerDataTest : public testing::Test {
protected:
  BalancerDataTest() { this->restart(); }

  void restart() {
    this->Thread = std::jthread([this](const std::stop_token &Stop) {
      EXPECT_TRUE(this->Data->run(Stop).has_value());
    });
  }

  void publish(std::uint64_t Revision) {
    this->InForce = sampleTable(
        {this->FirstAgent.row(), this->SecondAgent.row()}, Revision);
    ASSERT_TRUE(pollUntil([&] {
      const auto Seen = this->Data->view()->InForce;
      return Seen != nullptr && Seen->version().Revision == Revision;
    }));
  }

  void send(PacketBytes Bytes) {
    ASSERT_TRUE(this->Fabric.send(this->Data->address(), Bytes).has_value());
  }

  int packets() const {
    return this->FirstAgent.Packets + this->SecondAgent.Packets;
  }

  std::atomic<std::shared_ptr<const Table>> InForce;
  prometheus::Registry Registry;
  BalancerMetrics Metrics{Registry};
  FakeAgent FirstAgent{"u1"};
  FakeAgent SecondAgent{"u2"};
  DatagramSocket Fabric = std::move(*DatagramSocket::create(AnyPort));
  std::unique_ptr<BalancerData> Data = std::move(
      *BalancerData::create(AnyPort,
                            {[this] { return this->InForce.load(); },
                             [] { return std::shared_ptr<const VmList>(); }},
                            Metrics));
  std::jthread Thread;
};

// Guards against packets that are lost or miscounted between the sockets.
TEST_F(BalancerDataTest, ForwardsAndCounts) {
  this->publish(1);
  const auto Opening = samplePacket(Caller, Photos, Tins::TCP::SYN);
  this->send(Opening);
  this->send(samplePacket(Caller, Photos));
  EXPECT_TRUE(pollUntil([&] { return this->packets() == 2; }));
  EXPECT_EQ(this->Metrics.Packets.Value(), 2);
  EXPECT_EQ(this->Metrics.Openings.Value(), 1);
  EXPECT_EQ(this->Metrics.ForwardedPackets.Value(), 2);
  EXPECT_EQ(this->Metrics.ForwardedBytes.Value(), 2 * Opening.size());
  EXPECT_NE(this->Data->lastPacketAt(), Instant());
  EXPECT_TRUE(
      pollUntil([&] { return this->Metrics.ProbeBytes.Value() > 100; }));
}

// Guards against invalid input that ends the duty or is not counted.
TEST_F(BalancerDataTest, CountsErrorsAndContinues) {
  this->publish(1);
  const std::vector<std::uint8_t> Garbage(100, 0xFF);
  const std::vector<std::uint8_t> Oversized(MaxDatagramBytes + 100, 0x45);
  this->send(Garbage);
  this->send(Oversized);
  this->send(samplePacket(Caller, {Photos.Address, 80}));
  this->send(samplePacket(Caller, Photos));
  EXPECT_TRUE(pollUntil([&] { return this->packets() == 1; }));
  for (const ErrorKind Expected :
       {ErrorKind::MalformedPacket, ErrorKind::OversizedMessage,
        ErrorKind::UnknownAddress}) {
    const auto Problem = this->Data->popProblem();
    ASSERT_TRUE(Problem.has_value());
    EXPECT_EQ(Problem->Kind, Expected);
    EXPECT_EQ(Problem->From, this->Fabric.address());
  }
  EXPECT_FALSE(this->Data->popProblem().has_value());
}

// Guards against packets that are still sent to a stopped agent, and against a
// snapshot without the suspicion.
TEST_F(BalancerDataTest, AvoidsSilentAgent) {
  this->publish(1);
  this->FirstAgent.Silent = true;
  EXPECT_TRUE(pollUntil(
      [&] { return this->Metrics.SuspectedAgents.Value() == 1; }, seconds(10)));
  const auto *Agent = findAgent(this->Data->view()->Agents, upstreamId("u1"));
  ASSERT_NE(Agent, nullptr);
  EXPECT_TRUE(Agent->Suspected);
  for (std::uint16_t Port = 1; Port <= 20; ++Port) {
    this->send(samplePacket({Caller.Address, Port}, Photos));
  }
  EXPECT_TRUE(pollUntil([&] { return this->SecondAgent.Packets == 20; }));
  EXPECT_EQ(this->FirstAgent.Packets, 0);
}

// Guards against a duty that loses its table or socket when it is restarted
// after a failure.
TEST_F(BalancerDataTest, RestartKeepsSocketAndTable) {
  this->publish(3);
  const Endpoint Before = this->Data->address();
  this->Thread = {};
  this->restart();
  EXPECT_EQ(this->Data->address(), Before);
  this->send(samplePacket(Caller, Photos));
  EXPECT_TRUE(pollUntil([&] { return this->packets() == 1; }));
}

} // namespace
} // namespace mulberryhoist
