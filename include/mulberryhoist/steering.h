/// \file
/// The decision logic of a balancer on the steered path: which agents a packet
/// visits, what to do when none answers, and which agents to avoid.
///
/// What the balancer remembers of flows only saves searches; a balancer without
/// it finds the holder of a flow by asking the candidates in turn.

#ifndef MULBERRYHOIST_STEERING_H
#define MULBERRYHOIST_STEERING_H

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "mulberryhoist/directory.h"
#include "mulberryhoist/packet-format.h"
#include "mulberryhoist/steer-actions.h"

namespace mulberryhoist {

/// How many agents an opening visits before the least loaded one takes it.
inline constexpr std::size_t MaxOpeningCandidates = 8;

/// How long an opening may stay unanswered before other agents are asked: the
/// way there and back, a few hops and a slow process. Well below the caller's
/// own retransmission after 200 ms.
inline constexpr Duration ResendDelay = std::chrono::milliseconds(25);

/// How often an opening is sent anew before the caller's retransmission.
inline constexpr int MaxResends = 2;

/// How long an agent may take to answer a check.
inline constexpr Duration CheckTimeout = std::chrono::milliseconds(40);

/// How many checks in a row must stay unanswered; a single one may be lost.
inline constexpr int SuspectedAfterChecks = 2;

/// How often an agent that is avoided is checked.
inline constexpr Duration AvoidedCheckPeriod = std::chrono::milliseconds(150);

/// How long a flow's holder is remembered at least: the idle time after which
/// flows may be discarded is shorter.
inline constexpr Duration HolderRetention = std::chrono::seconds(30);

/// Bounds the memory for holders; two generations of 64 bytes each.
inline constexpr std::size_t MaxHolders = 65'536;

/// Bounds the openings that wait for an answer.
inline constexpr std::size_t MaxWaitingOpenings = 16'384;

/// A gap between two turns that makes waiting times meaningless: answers may
/// lie unread in the socket.
inline constexpr Duration SteeringPause = std::chrono::milliseconds(150);

/// The settings of the steering logic.
struct SteeringSettings {
  /// The address of the balancer's VM.
  std::uint32_t Address = 0;
  /// The port at which all balancers and agents receive messages.
  std::uint16_t PeerPort = 0;
};

/// Why an agent gets no new flows.
enum class Avoidance : std::uint8_t { None, Suspected, Leaving };

/// The decision logic of one balancer.
class SteeringLogic {
public:
  explicit SteeringLogic(SteeringSettings Settings);

  /// A directory that differs from the one in force.
  void onDirectory(std::shared_ptr<const Directory> Next);

  /// A packet that a caller sent.
  void onCallerPacket(const RoutedPacket &Packet, Instant Now,
                      SteerActionList &Out);

  /// An agent took a flow or found one.
  void onTaken(Endpoint From, const Taken &Body, Instant Now,
               SteerActionList &Out);

  /// An agent refused an opening.
  void onRefused(Endpoint From, const Refused &Body, Instant Now,
                 SteerActionList &Out);

  /// An agent answered a check, or says that it leaves.
  void onCheckReply(Endpoint From, const CheckReply &Body, Instant Now,
                    SteerActionList &Out);

  /// Time passes; to be called when `nextDue` is reached.
  void onTick(Instant Now, SteerActionList &Out);

  /// When the next tick has something to do, if anything is due.
  std::optional<Instant> nextDue() const;

  /// Whether an agent is avoided.
  Avoidance avoidance(std::uint32_t Agent) const;

  std::size_t waitingCount() const { return this->Waiting.size(); }

private:
  /// An agent that reported a flow.
  struct Holder {
    std::uint32_t Agent = 0;
    /// The initial sequence number of its upstream; 0 if it is not known.
    std::uint32_t Sequence = 0;
  };

  /// Who holds a flow. Two agents may answer copies of one opening; the caller
  /// acknowledges one of them.
  struct Holders {
    Incarnation Initial = 0;
    Holder First;
    Holder Second;
    bool Chosen = false;
    ServiceList Services;
  };

  /// An opening that no agent has answered yet.
  struct WaitingOpening {
    std::vector<std::uint8_t> Bytes;
    Incarnation Initial = 0;
    Steer Header;
    Candidate First;
    Instant SentAt;
    int Resends = 0;
  };

  struct Due {
    Instant At;
    FlowKey Flow;
    Incarnation Initial = 0;
  };

  struct AgentHealth {
    Instant LastHeard;
    Instant CheckSentAt;
    bool CheckWaits = false;
    int Missed = 0;
    Avoidance Avoided = Avoidance::None;
  };

  using HolderMap = std::unordered_map<FlowKey, Holders>;

  void onOpening(const RoutedPacket &Packet, Instant Now, SteerActionList &Out);
  void onFlowPacket(const RoutedPacket &Packet, SteerActionList &Out);
  void seek(const RoutedPacket &Packet, SteerActionList &Out);
  void sendTo(std::uint32_t Agent, const Steer &Header, PacketBytes Bytes,
              SteerActionList &Out) const;
  Holders *findHolders(const FlowKey &Key);
  Holders &makeHolders(const FlowKey &Key, Instant Now);
  void hear(std::uint32_t Agent, bool Leaving, Instant Now,
            SteerActionList &Out);
  void avoid(std::uint32_t Agent, Avoidance Why, Duration Age,
             SteerActionList &Out);
  void check(std::uint32_t Agent, Instant Now, SteerActionList &Out);
  void checkAll(const WaitingOpening &Each, Instant Now, SteerActionList &Out);
  void resend(WaitingOpening &Each, const FlowKey &Key, Instant Now,
              SteerActionList &Out);
  void runWaiting(Instant Now, SteerActionList &Out);
  void runChecks(Instant Now, SteerActionList &Out);
  void noticePause(Instant Now, SteerActionList &Out);

  SteeringSettings Settings;
  std::shared_ptr<const Directory> InForce;
  HolderMap Young;
  HolderMap Old;
  Instant RotateAt;
  std::unordered_map<FlowKey, WaitingOpening> Waiting;
  /// In the order of time, since all delays are equal.
  std::deque<Due> DueOpenings;
  std::unordered_map<std::uint32_t, AgentHealth> Agents;
  std::optional<Instant> NextCheck;
  std::optional<Instant> LastTurn;
  std::uint64_t NextSequence = 1;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_STEERING_H
