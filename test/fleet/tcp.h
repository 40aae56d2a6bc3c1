/// \file
/// The two ends of a TCP connection, reduced to what the proofs need:
/// handshake, retransmission, in-order delivery, resets and challenges (RFC
/// 9293).

#ifndef MULBERRYHOIST_TEST_FLEET_TCP_H
#define MULBERRYHOIST_TEST_FLEET_TCP_H

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "fleet/oracle.h"
#include "mulberryhoist/packet.h"

namespace mulberryhoist::fleet {

using Random = std::mt19937_64;
using SendPacket = std::function<void(std::vector<std::uint8_t>)>;

/// Repeats what was not acknowledged, with doubling intervals.
class RetransmissionTimer {
public:
  void start(Instant Now);
  void stop() { this->Running = false; }
  bool isRunning() const { return this->Running; }
  /// True if something is to be sent again now.
  bool expire(Instant Now);
  unsigned tries() const { return this->Tries; }

private:
  bool Running = false;
  unsigned Tries = 0;
  Instant Due;
  Duration Interval{};
};

/// The caller's end of one flow.
class CallerTcp {
public:
  enum class State : std::uint8_t {
    SynSent,
    Established,
    Finishing,
    Done,
    Refused,
    Reset,
    GaveUp,
  };

  CallerTcp(Oracle &Judge, std::size_t Flow, SendPacket Send, Instant Now);

  void onPacket(const PacketView &Packet, Instant Now);
  void onTimer(Instant Now);

  /// The caller's host has lost the flow.
  void abandon() { this->Current = State::GaveUp; }

  State state() const { return this->Current; }
  bool isOver() const {
    return this->Current != State::SynSent &&
           this->Current != State::Established &&
           this->Current != State::Finishing;
  }
  const FlowTruth &truth() const { return this->Judge->flows()[this->Flow]; }

private:
  void send(std::string_view Flags, std::uint32_t Sequence,
            std::string_view Payload = "");
  void sendUnacknowledged();
  void request(Instant Now);
  void onSegment(const PacketView &Packet, Instant Now);
  void onBytes(const PacketView &Packet, Instant Now);

  Oracle *Judge;
  std::size_t Flow;
  SendPacket Send;
  State Current = State::SynSent;
  RetransmissionTimer Timer;
  /// Sent bytes after the opening, of which `Acknowledged` are acknowledged.
  std::string Sent;
  std::uint32_t Acknowledged = 0;
  std::uint32_t UpstreamNext = 0;
  unsigned Requested = 0;
  Instant NextRequest;
  Instant LastProgress;
  bool FinSent = false;
};

/// The TCP and the software of one upstream, with all its connections.
class UpstreamTcp {
public:
  UpstreamTcp(Oracle &Judge, std::string Name, std::uint64_t Seed,
              SendPacket Send);

  void onPacket(const PacketView &Packet, Instant Now);
  void onTimer(Instant Now);

private:
  struct Connection {
    std::uint32_t CallerInitial = 0;
    std::uint32_t CallerNext = 0;
    std::uint32_t Initial = 0;
    /// The sequence number of the first byte of `Pending`.
    std::uint32_t Unacknowledged = 0;
    std::string Pending;
    std::size_t SentBytes = 0;
    std::string Request;
    RequestId Answering = 0;
    unsigned UnitsLeft = 0;
    unsigned UnitsDone = 0;
    Duration Pace{};
    Instant NextUnit;
    RetransmissionTimer Timer;
    bool Established = false;
    bool CallerFinished = false;
    bool FinSent = false;
  };

  void send(const FlowKey &Key, const Connection &Of, std::string_view Flags,
            std::uint32_t Sequence, std::string_view Payload = "");
  void sendPending(const FlowKey &Key, const Connection &Of, std::size_t From);
  void onOpening(const PacketView &Packet, Instant Now);
  /// False if the connection has ended.
  bool onAcknowledgment(const FlowKey &Key, Connection &Of,
                        const PacketView &Packet, Instant Now);
  void onPayload(const FlowKey &Key, Connection &Of, const PacketView &Packet,
                 Instant Now);
  void runRequests(Connection &Of, Instant Now);

  Oracle *Judge;
  std::string Name;
  Random Numbers;
  SendPacket Send;
  std::map<FlowKey, Connection> Connections;
};

} // namespace mulberryhoist::fleet

#endif // MULBERRYHOIST_TEST_FLEET_TCP_H
