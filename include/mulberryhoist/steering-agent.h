/// \file
/// The decision logic of an agent whose upstream tells by itself whether it
/// holds a flow.
///
/// The agent keeps no state that a rule depends on. What it knows of flows only
/// counts the upstream's load and saves searches; after a restart the
/// upstream's own answers replace it.

#ifndef MULBERRYHOIST_STEERING_AGENT_H
#define MULBERRYHOIST_STEERING_AGENT_H

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "mulberryhoist/opening-queue.h"
#include "mulberryhoist/packet-format.h"
#include "mulberryhoist/steer-actions.h"

namespace mulberryhoist {

/// How long an opening counts as work before its request comes: the way to the
/// caller and back takes up to 10 ms, and some delay. Copies of one opening can
/// be answered by several upstreams, of which the caller uses one.
inline constexpr Duration OpeningWorkTimeout = std::chrono::milliseconds(30);

/// How long a request counts as work without any answer of the upstream. Longer
/// than the longest work that callers wait for.
inline constexpr Duration RequestWorkTimeout = std::chrono::seconds(10);

/// How long a flow without packets is remembered: the longest life of a flow on
/// the platform.
inline constexpr Duration SteeringAgentFlowTimeout = std::chrono::seconds(60);

/// How long the answer to an opening may take before the upstream counts as
/// silent. An upstream answers within a millisecond; slow ones take ten times
/// as long.
inline constexpr Duration UpstreamAnswerTimeout = std::chrono::milliseconds(12);

/// How many openings without answer make an upstream silent; one may be lost.
inline constexpr std::uint32_t SilentAfterOpenings = 2;

/// How often a silent upstream gets an opening to try.
inline constexpr Duration SilentRetryPeriod = std::chrono::milliseconds(100);

/// How long an agent that was asked to stop serves the flows in progress.
/// Shorter than the time that the platform grants for a stop (6 s).
inline constexpr Duration SteeringAgentDrainDeadline = std::chrono::seconds(3);

/// The shortest time for balancers to notice that an agent leaves.
inline constexpr Duration SteeringAgentMinimumDrain =
    std::chrono::milliseconds(150);

/// How long no flow must have moved before a stopping agent counts as drained:
/// one retransmission of an upstream (200 ms) and some delay.
inline constexpr Duration SteeringAgentQuietPeriod =
    std::chrono::milliseconds(250);

/// The settings of the steering agent.
struct SteeringAgentSettings {
  /// The service of the upstream beside the agent.
  ServiceId Service;
  /// The address of the agent's VM.
  std::uint32_t Address = 0;
  /// The port at which all balancers and agents receive messages.
  std::uint16_t PeerPort = 0;
  std::size_t MaxFlows = 65'536;
};

/// The decision logic of one agent.
class SteeringAgentLogic {
public:
  SteeringAgentLogic(SteeringAgentSettings Settings, Instant Now);

  /// A caller's packet that a balancer or another agent steered here.
  void onSteer(const Steer &Header, const RoutedPacket &Packet, Instant Now,
               SteerActionList &Out);

  /// A balancer asks whether this agent answers.
  void onCheck(Endpoint From, const Check &Body, SteerActionList &Out);

  /// A packet that the upstream sent or returned.
  void onUpstreamPacket(const RoutedPacket &Packet, Instant Now,
                        SteerActionList &Out);

  /// The settings name another service: the upstream was replaced.
  void onService(ServiceId Next);

  /// The process is asked to stop (SIGTERM).
  void onTerminate(Instant Now, SteerActionList &Out);

  /// Time passes; to be called several times a second.
  void onTick(Instant Now, SteerActionList &Out);

  /// True once a process that was asked to stop may exit.
  bool isDrained(Instant Now) const;

  bool isLeaving() const { return this->TerminateAt.has_value(); }

  /// Requests that the upstream works on or has in its queue.
  std::uint32_t load() const { return this->Load; }

  /// The mean time of a request in its slot.
  Duration serviceTime() const { return this->Work.mean(); }

  std::size_t flowCount() const { return this->Flows.size(); }

private:
  struct SteeringAgentFlow {
    Incarnation Initial = 0;
    /// The initial sequence number of the upstream, once it answered.
    std::optional<std::uint32_t> UpstreamSequence;
    std::uint32_t Balancer = 0;
    bool Notify = false;
    bool Working = false;
    /// The request found a free slot, so that its time is the service time.
    bool FoundFreeSlot = false;
    bool HasRequest = false;
    Instant WorkSince;
    Instant LastSeen;
  };

  /// An opening whose request has not come yet.
  struct AwaitedRequest {
    FlowKey Key;
    Instant Since;
  };

  /// A packet that the upstream may return.
  struct Handed {
    std::uint32_t Tag = 0;
    Steer Header;
  };

  using FlowMap = std::unordered_map<FlowKey, SteeringAgentFlow>;

  /// Packets that can be under way to the upstream and back; it answers within
  /// milliseconds, and a busy agent sees some thousands of packets a second.
  static constexpr std::size_t HandedCapacity = 512;

  void onOpening(const Steer &Header, const RoutedPacket &Packet, Instant Now,
                 SteerActionList &Out);
  void noticeSilence(Instant Now, SteerActionList &Out);
  bool mustPassOn(const Steer &Header, Instant Now);
  void placeBusy(const Steer &Header, const RoutedPacket &Packet, Instant Now,
                 SteerActionList &Out);
  void hold(const Steer &Header, const RoutedPacket &Packet, Instant Now,
            SteerActionList &Out);
  void releaseHeld(Instant Now, SteerActionList &Out);
  void refuse(const Steer &Header, const FlowIncarnation &Flow, Duration Held,
              SteerActionList &Out);
  /// What counts when agents are compared: work and openings that wait for it.
  std::uint32_t pressure() const { return this->Load + this->Held.size(); }
  UpstreamLoad upstreamLoad(std::uint32_t Slots) const {
    return {this->Load, Slots, this->Work};
  }
  void take(const Steer &Header, const FlowIncarnation &Flow, PacketBytes Bytes,
            Instant Now, SteerActionList &Out);
  void passOn(const Steer &Header, const RoutedPacket &Packet,
              SteerActionList &Out);
  void onFlowPacket(const Steer &Header, const RoutedPacket &Packet,
                    Instant Now, SteerActionList &Out);
  void onReturned(const RoutedPacket &Packet, SteerActionList &Out);
  void noteAnswer(const FlowKey &Key, SteeringAgentFlow &Each,
                  SteerActionList &Out);
  std::uint32_t hand(const Steer &Header);
  std::optional<Steer> takeHanded(std::uint32_t Tag);
  void beginWork(SteeringAgentFlow &Each, std::uint32_t Slots, Instant Now);
  void endWork(SteeringAgentFlow &Each);
  void expireOpenings(Instant Now);
  void erase(FlowMap::iterator Found);
  void noticeBalancer(std::uint32_t Balancer);
  RecordDecision record(Decision Kind, const FlowKey &Flow,
                        const Steer &Header) const;

  SteeringAgentSettings Settings;
  FlowMap Flows;
  /// In the order of time.
  std::deque<AwaitedRequest> Awaited;
  OpeningQueue Held;
  /// The bytes of openings that the last event released.
  std::vector<std::vector<std::uint8_t>> Released;
  std::uint32_t Load = 0;
  ServiceTime Work;
  /// Slots of the upstream, as the last message told.
  std::uint32_t Slots = 1;
  std::vector<Handed> InFlight;
  std::uint32_t NextTag = 1;
  /// Balancers that sent something, to be told when the agent leaves.
  InlineList<std::uint32_t, 64> Balancers;
  std::uint32_t Unanswered = 0;
  Instant UnansweredSince;
  bool Silent = false;
  Instant LastFlowPacket;
  Instant NextSilentTry;
  Instant NextSweep;
  std::optional<Instant> TerminateAt;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_STEERING_AGENT_H
