/// \file
/// A stand-in of an upstream that speaks the platform's packets.

#ifndef MULBERRYHOIST_TEST_SOAK_UPSTREAM_H
#define MULBERRYHOIST_TEST_SOAK_UPSTREAM_H

#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>

#include "mulberryhoist/datagram.h"
#include "soak/ledger.h"
#include "soak/packet.h"

namespace mulberryhoist::soak {

/// Where an upstream runs and what it serves.
struct UpstreamSettings {
  /// Receives packets from the agent beside it.
  Endpoint Listen;
  /// The agent takes the upstream's packets here.
  Endpoint Outbound;
  /// The port of the service's address; other packets are foreign.
  std::uint16_t ServicePort = 0;
};

/// Accepts flows, runs requests and returns packets that it does not hold.
class UpstreamStandIn {
public:
  UpstreamStandIn(UpstreamSettings Settings, std::string Name, Ledger &Seen);

  /// Forgets all flows, as after a crash; answers under another name.
  void restart(std::string Name);
  /// Another service uses the address.
  void setServicePort(std::uint16_t Port) { this->ServicePort = Port; }
  void setSilent(bool Value) { this->Silent = Value; }
  void setSlow(bool Value) { this->Slow = Value; }
  /// The store acknowledged that the upstream is draining at this time; from
  /// `Limit` on it must get no new flows.
  void setNoNewFlowsAfter(Instant Limit) {
    this->NoNewFlowsAfter = Limit.time_since_epoch().count();
  }

  std::string name() const;

  /// How often the upstream lost its flows.
  std::uint32_t incarnation() const { return this->Incarnation; }

  /// True if the upstream holds this flow open.
  bool holds(const FlowKey &Key) const;

private:
  struct Flow {
    std::uint32_t Sequence = 0;
    bool Open = false;
    bool Answered = false;
    std::uint32_t Request = 0;
  };

  struct Work {
    Instant DoneAt;
    FlowKey Key;
  };

  void run(const std::stop_token &Stop);
  void take(const ReceivedDatagram &Received);
  void takeFlowPacket(const RoutedPacket &Packet, Flow &Known);
  void answerDue(Instant Now);
  void send(const PacketFields &Fields);
  void sendAnswer(const FlowKey &Key, const Flow &Known);
  void giveBack(PacketBytes Bytes);

  UpstreamSettings Settings;
  Ledger &Seen;
  mutable std::mutex Lock;
  std::string Name;
  std::map<FlowKey, Flow> Flows;
  std::deque<Work> Pending;
  std::atomic<std::uint16_t> ServicePort;
  std::atomic<bool> Silent{false};
  std::atomic<bool> Slow{false};
  std::atomic<std::uint32_t> Incarnation{0};
  std::atomic<Duration::rep> NoNewFlowsAfter;
  std::mt19937_64 Random;
  DatagramSocket Socket;
  std::jthread Thread;
};

} // namespace mulberryhoist::soak

#endif // MULBERRYHOIST_TEST_SOAK_UPSTREAM_H
