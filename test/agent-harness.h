/// \file
/// Drives one `AgentLogic` in tests: builds packets, passes events and keeps
/// the actions of the last event.

#ifndef MULBERRYHOIST_TEST_AGENT_HARNESS_H
#define MULBERRYHOIST_TEST_AGENT_HARNESS_H

#include <gtest/gtest.h>

#include <fmt/format.h>
#include <string_view>
#include <tins/tins.h>
#include <vector>

#include "mulberryhoist/agent.h"

namespace mulberryhoist {

/// The fields of a test packet; flags are letters of "SAFRP".
struct TestPacket {
  std::string_view Flags;
  std::uint32_t Sequence = 0;
  std::uint32_t Acknowledgment = 0;
  std::string_view Payload = "";
};

/// Builds an IPv4 TCP packet.
inline std::vector<std::uint8_t> buildPacket(Endpoint From, Endpoint To,
                                             const TestPacket &Value) {
  const auto Address = [](Endpoint Entry) {
    const std::string Text = formatEndpoint(Entry);
    return Text.substr(0, Text.find(':'));
  };
  Tins::TCP Tcp(To.Port, From.Port);
  Tcp.seq(Value.Sequence);
  Tcp.ack_seq(Value.Acknowledgment);
  for (const char Letter : Value.Flags) {
    Tcp.set_flag(Letter == 'S'   ? Tins::TCP::SYN
                 : Letter == 'A' ? Tins::TCP::ACK
                 : Letter == 'F' ? Tins::TCP::FIN
                 : Letter == 'R' ? Tins::TCP::RST
                                 : Tins::TCP::PSH,
                 1);
  }
  Tins::IP Ip = Tins::IP(Address(To), Address(From)) / Tcp;
  if (!Value.Payload.empty()) {
    Ip /= Tins::RawPDU(std::string(Value.Payload));
  }
  return Ip.serialize();
}

/// Drives the agent of u1, one of three upstreams; `orders` is on all, `prints`
/// on u1 and u2.
class AgentHarness {
public:
  static constexpr std::uint32_t Isn = 1000;
  static constexpr std::uint32_t UpstreamIsn = 5000;

  explicit AgentHarness(Duration Age = std::chrono::seconds(200),
                        AgentCapacity Capacity = {})
      : Agent(makeAgent(Capacity, this->Now)) {
    this->setTable(tableText("100", "100"), 1);
    this->Now += Age;
  }

  static std::string tableText(std::string_view Weight,
                               std::string_view PrintsWeight,
                               std::string_view Slots = "2") {
    return fmt::format(
        "service,address,class,share,upstream,endpoint,zone,weight,slots,"
        "connections\n"
        "orders,127.1.0.1:80,1,10,u1,127.2.0.1:90,z-a,{0},{2},100\n"
        "orders,127.1.0.1:80,1,10,u2,127.2.0.2:90,z-a,100,2,100\n"
        "orders,127.1.0.1:80,1,10,u3,127.2.0.3:90,z-a,100,2,100\n"
        "prints,127.1.0.2:80,7,10,u1,127.2.0.1:90,z-a,{1},{2},100\n"
        "prints,127.1.0.2:80,7,10,u2,127.2.0.2:90,z-a,100,2,100\n"
        "end,5\n",
        Weight, PrintsWeight, Slots);
  }

  void setTable(std::string_view Csv, std::uint64_t Revision) {
    auto Parsed = Table::fromCsv(Csv, Revision);
    ASSERT_TRUE(Parsed) << Parsed.error().Detail;
    this->Out.clear();
    this->Agent.onTable(std::make_shared<const Table>(std::move(*Parsed)),
                        this->Now, this->Out);
  }

  /// Delivers a caller's packet from a balancer, or relayed by the coordinator
  /// u2.
  void fromCaller(const TestPacket &Value, bool Relayed = false,
                  bool Adopt = false, Arrival Arrived = Arrival::Fresh) {
    Forward Header = this->Header;
    Header.Relayed = Relayed;
    Header.Adopt = Adopt;
    Header.Coordinator = upstreamId(Relayed ? "u2" : "u1");
    this->Input = buildPacket(this->Key.Caller, this->Key.Service, Value);
    this->deliver(Relayed ? Peer : Balancer, Header, Arrived);
  }

  void fromUpstream(const TestPacket &Value) {
    this->Out.clear();
    this->Input = buildPacket(this->Key.Service, this->Key.Caller, Value);
    this->Agent.onUpstreamPacket(this->Input, this->Now, this->Out);
  }

  /// Delivers a message without a packet from another agent.
  void fromPeer(const Message &Body) {
    this->Input.clear();
    this->deliver(Peer, Body, Arrival::Fresh);
  }

  void tick(Duration Passed) {
    this->Out.clear();
    this->Now += Passed;
    this->Agent.onTick(this->Now, this->Out);
  }

  /// Opens the flow at this agent up to the given state.
  void openTo(FlowState State) {
    this->fromCaller({"S", Isn}, true);
    if (State == FlowState::HalfOpen) {
      return;
    }
    this->fromUpstream({"SA", UpstreamIsn, Isn + 1});
    if (State == FlowState::Answered) {
      return;
    }
    this->fromCaller({"A", Isn + 1, UpstreamIsn + 1});
  }

  /// Sends the flow's request and its response.
  void serve() {
    this->fromCaller({"AP", Isn + 1, UpstreamIsn + 1, "request"});
    this->fromUpstream({"AP", UpstreamIsn + 1, Isn + 8, "answer"});
  }

  /// Opens another flow at this agent, which holds a slot or waits for one.
  void addBusyFlow(std::uint16_t Port) {
    const FlowKey Saved = this->Key;
    this->Key.Caller.Port = Port;
    this->fromCaller({"S", Isn}, true);
    this->Key = Saved;
  }

  /// Returns the number of actions of a type in the last event.
  template <typename T> std::size_t count() const {
    std::size_t Count = 0;
    for (const Action &Entry : this->Out) {
      Count += std::holds_alternative<T>(Entry) ? 1 : 0;
    }
    return Count;
  }

  /// Returns the messages of a type that the last event sent.
  template <typename T> std::vector<T> sent() const {
    std::vector<T> Found;
    for (const Action &Entry : this->Out) {
      const auto *Sent = std::get_if<SendMessage>(&Entry);
      if (Sent != nullptr && std::holds_alternative<T>(Sent->Body)) {
        Found.push_back(std::get<T>(Sent->Body));
      }
    }
    return Found;
  }

  /// Returns the number of resets with this reason that the last event sent to
  /// the caller.
  std::size_t resets(ErrorKind Reason) const {
    std::size_t Count = 0;
    for (const Action &Entry : this->Out) {
      const auto *Reset = std::get_if<ResetCaller>(&Entry);
      Count += Reset != nullptr && Reset->Reason == Reason ? 1 : 0;
    }
    return Count;
  }

  AgentCounters counters() const {
    return this->Agent.status(this->Now).Counters;
  }

  FlowIncarnation flow() const { return {this->Key, Isn}; }

  static constexpr Endpoint Balancer{0x7F030001, 70};
  static constexpr Endpoint Peer{0x7F020002, 90};

  Instant Now = Instant() + std::chrono::hours(1);
  AgentLogic Agent;
  ActionList Out;
  FlowKey Key{{0x7F090001, 4000}, {0x7F010001, 80}};
  Forward Header{false, serviceId("orders"), {}, {0, 1}, false, false};

private:
  static AgentLogic makeAgent(AgentCapacity Capacity, Instant Now) {
    AgentSettings Settings;
    Settings.Self = upstreamId("u1");
    Settings.Services = {serviceId("orders"), serviceId("prints")};
    Settings.Capacity = Capacity;
    return std::move(*AgentLogic::create(Settings, 1, Now));
  }

  void deliver(Endpoint From, const Message &Body, Arrival Arrived) {
    this->Out.clear();
    this->Agent.onDatagram(From, {Body, this->Input}, Arrived, this->Now,
                           this->Out);
  }

  std::vector<std::uint8_t> Input;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_TEST_AGENT_HARNESS_H
