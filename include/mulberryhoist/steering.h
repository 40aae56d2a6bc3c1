/// \file
/// The decision logic of a balancer on the steered path: to which agents a
/// packet is sent, when it is sent again, and which agents are avoided.
///
/// The cache of flow owners only saves searches; on a cache miss the packet
/// visits the candidates in order until one of them owns the flow.

#ifndef MULBERRYHOIST_STEERING_H
#define MULBERRYHOIST_STEERING_H

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

#include "mulberryhoist/directory.h"
#include "mulberryhoist/intake.h"
#include "mulberryhoist/link-budget.h"
#include "mulberryhoist/packet-format.h"
#include "mulberryhoist/steer-actions.h"

namespace mulberryhoist {

/// How many agents an opening is offered to before the least loaded one must
/// accept it.
inline constexpr std::size_t MaxOpeningCandidates = 8;

/// How long an opening may stay unanswered before it is sent to other agents:
/// covers the round trip, a few hops and a slow process, and stays well below
/// the caller's retransmission time-out of 200 ms.
inline constexpr Duration ResendDelay = std::chrono::milliseconds(25);

/// The most that `ResendDelay` grows on a loaded link: openings are sent again
/// well before the caller's retransmission after 200 ms.
inline constexpr Duration MaxResendExtension = std::chrono::milliseconds(100);

/// The most that `CheckTimeout` grows on a loaded link: an agent that is gone
/// is found within the second after which a caller's try ends.
inline constexpr Duration MaxCheckExtension = std::chrono::milliseconds(300);

/// How often an opening is sent again before the caller retransmits it.
inline constexpr int MaxResends = 2;

/// The time limit for an agent's reply to a check.
inline constexpr Duration CheckTimeout = std::chrono::milliseconds(40);

/// How many consecutive checks must stay unanswered before an agent is
/// suspected; a single one may be lost.
inline constexpr int SuspectedAfterChecks = 2;

/// How often an avoided agent is checked.
inline constexpr Duration AvoidedCheckPeriod = std::chrono::milliseconds(150);

/// How often an avoided agent is checked whose upstream is gone.
inline constexpr Duration GoneCheckPeriod = std::chrono::seconds(1);

/// The minimum time that a flow's owner stays cached unless `MaxOwners` is
/// reached; longer than the idle time after which flows may be discarded.
inline constexpr Duration OwnerRetention = std::chrono::seconds(30);

/// The number of cached flows at which a new generation begins and the older
/// one is evicted; bounds memory, at 64 bytes for each flow.
inline constexpr std::size_t MaxOwners = 65'536;

/// The most openings that are tracked until an agent answers; any further one
/// is sent without resends.
inline constexpr std::size_t MaxUnansweredOpenings = 16'384;

/// How many agents a packet of an unknown flow visits before the balancer gets
/// it back; bounds how many of them are out of reach behind a silent one.
inline constexpr std::size_t MaxSearchPart = 8;

/// How long a part of a search may take before the agents that it has not
/// passed yet and that have been silent are checked: a few milliseconds for
/// each hop, and short enough that silent agents are suspected when the caller
/// retransmits after 200 ms.
inline constexpr Duration SearchCheckDelay = std::chrono::milliseconds(60);

/// How many agents a search checks at most, of its present part and of those
/// after it; bounds the load of a search that is stuck in a large service.
inline constexpr std::size_t MaxSearchChecks = 64;

/// How long an agent must have sent nothing before a search checks it.
inline constexpr Duration SearchSilence = std::chrono::milliseconds(100);

/// How often the searches in progress are checked.
inline constexpr Duration SearchSweepPeriod = std::chrono::milliseconds(20);

/// How long the answer to a search is awaited before it is reported as
/// unanswered; longer than a request of the slowest class takes.
inline constexpr Duration SearchTimeout = std::chrono::seconds(1);

/// How long upstreams may be asked for a flow that no agent knows, from the
/// first time on: shorter than the time for which packets of an open flow may
/// reach others than its own (2 s), with allowance for queues in the network.
inline constexpr Duration AskWindow = std::chrono::seconds(1);

/// How long after a loss of power of all VMs searches ask upstreams at once:
/// callers of flows that are gone come within some seconds.
inline constexpr Duration JointRestartSearchSpan = std::chrono::seconds(5);

/// The most flows for which upstreams have been asked; no others are asked for.
inline constexpr std::size_t MaxAskedFlows = 65'536;

/// The most searches whose answers are awaited, and the most flows without
/// holder that wait for a confirmation; bounds memory, at some hundred bytes
/// each.
inline constexpr std::size_t MaxSearches = 4'096;

/// How long an upstream must have been gone, with its agent silent, before its
/// flows count as lost: longer than any request that may run there, so that no
/// work of a VM that was suspended or cut off is given up.
inline constexpr Duration GoneForGood = std::chrono::seconds(10);

/// How long a flow without holder waits for the source to confirm the list of
/// upstreams; later, its caller has sent the packet again.
inline constexpr Duration ConfirmationTimeout = std::chrono::seconds(1);

/// How often the data thread looks for a confirmation that it awaits.
inline constexpr Duration ConfirmationPollPeriod = std::chrono::milliseconds(5);

/// How much earlier than the balancer an upstream may have started to have
/// restarted together with it; clocks of VMs differ by less.
inline constexpr std::chrono::milliseconds JointRestartSpan{3000};

/// The gap between two ticks above which time-outs are restarted: replies may
/// be unread in the socket.
inline constexpr Duration SteeringPauseThreshold =
    std::chrono::milliseconds(150);

/// The settings of the steering logic.
struct SteeringSettings {
  /// The address of the balancer's VM.
  std::uint32_t Address = 0;
  /// The port on which all balancers and agents receive messages.
  std::uint16_t PeerPort = 0;
  /// When the process started, and the same in Unix time; 0 if unknown.
  Instant StartedAt;
  std::chrono::milliseconds StartedAtUnix{0};
  /// The rate of the VM's link in bytes per second, each way; 0 if unknown.
  std::uint64_t LinkRate = 0;
  /// A cold upstream gets at most this multiple of what it bears, and this many
  /// requests more, in any second.
  double ColdExcess = 1;
  double ColdSlack = 0;
};

/// Why an agent is offered no new flows.
enum class Avoidance : std::uint8_t { None, Suspected, Leaving };

/// The decision logic of one balancer.
class SteeringLogic {
public:
  explicit SteeringLogic(SteeringSettings Settings);

  /// Applies a directory that differs from the one in force.
  void onDirectory(std::shared_ptr<const Directory> Next);

  /// Handles a packet from a caller.
  void onCallerPacket(const RoutedPacket &Packet, Instant Now,
                      SteerActionList &Out);

  /// Handles an agent's report that it owns a flow.
  void onTaken(Endpoint From, const Taken &Body, Instant Now,
               SteerActionList &Out);

  /// Handles an agent's refusal of an opening.
  void onRefused(Endpoint From, const Refused &Body, Instant Now,
                 SteerActionList &Out);

  /// Handles a packet that all upstreams to which it was sent have returned:
  /// sends it to further ones, if there are any.
  void onNotHeld(Endpoint From, const NotHeld &Body, const RoutedPacket &Packet,
                 Instant Now, SteerActionList &Out);

  /// Handles an opening that an agent gave back because its upstream takes no
  /// new flows: sends it to other agents or refuses it.
  void onDisplaced(Endpoint From, const Displaced &Body,
                   const RoutedPacket &Packet, Instant Now,
                   SteerActionList &Out);

  /// Returns whether flows without holder wait for a confirmation.
  bool awaitsConfirmation() const { return !this->FlowsNotHeld.empty(); }

  /// Returns whether the source must be asked for a confirmation, and considers
  /// it asked.
  bool takeConfirmationRequest() {
    return std::exchange(this->NeedsConfirmation, false);
  }

  /// Resets the flows whose searches covered all upstreams that the source
  /// lists.
  void onConfirmation(const Confirmation &Latest, SteerActionList &Out);

  /// Handles an agent's reply to a check, or its notice that it is leaving.
  void onCheckReply(Endpoint From, const CheckReply &Body, Instant Now,
                    SteerActionList &Out);

  /// Runs expired timers; to be called when `nextDue` is reached.
  void onTick(Instant Now, SteerActionList &Out);

  /// Returns when the next timer expires, if any is set.
  std::optional<Instant> nextDue() const;

  /// Returns why an agent is avoided, or `None`.
  Avoidance avoidance(std::uint32_t Agent) const;

  /// Returns what the budget of the VM's link measures.
  LinkFigures linkFigures(Instant Now) const { return this->Link.figures(Now); }

  std::size_t unansweredCount() const {
    return this->UnansweredOpenings.size();
  }

private:
  /// An agent that reported that it owns a flow.
  struct FlowOwner {
    std::uint32_t Agent = 0;
    /// The initial sequence number of its upstream; 0 if unknown.
    std::uint32_t Sequence = 0;
  };

  /// The owners of a flow. Two agents may accept an opening that was sent more
  /// than once; the caller acknowledges one of them.
  struct FlowOwners {
    Incarnation Initial = 0;
    FlowOwner First;
    FlowOwner Second;
    bool IsAcknowledged = false;
    ServiceList Services;
  };

  /// An opening that no agent has answered yet.
  struct UnansweredOpening {
    std::vector<std::uint8_t> Bytes;
    Incarnation Initial = 0;
    Steer Header;
    Candidate First;
    Instant SentAt;
    int Resends = 0;
  };

  struct ResendDeadline {
    Instant At;
    FlowKey Flow;
    Incarnation Initial = 0;
  };

  struct AgentHealth {
    Instant LastReceivedAt;
    Instant CheckSentAt;
    bool IsCheckPending = false;
    int MissedChecks = 0;
    Avoidance Avoided = Avoidance::None;
  };

  /// A packet that visits all upstreams which may hold its flow, part by part.
  struct Search {
    FlowKey Flow;
    /// The directory from which the list is made.
    DirectoryEdition Edition;
    Instant BeganAt;
    /// When the present part was sent.
    Instant SentAt;
    bool IsChecked = false;
    /// Whether the owner of the flow answers the packet: it carries data.
    bool ExpectsAnswer = false;
    /// Whether some upstream has neither answered nor returned the packet.
    bool IsIncomplete = false;
    /// The services whose upstreams are asked.
    std::vector<ServiceId> Services;
    /// The agents of the present part and of later ones, in order.
    std::vector<Candidate> Remaining;
    /// The agents whose upstreams are asked once no agent knows the flow.
    std::vector<Candidate> ToAsk;
    bool IsKnownOnly = true;
    std::size_t PartSize = 0;

    void beginToAsk() {
      this->Remaining = std::exchange(this->ToAsk, {});
      this->IsKnownOnly = false;
      this->IsIncomplete = false;
    }
  };

  /// A flow whose packet all upstreams have returned.
  struct FlowNotHeld {
    DirectoryEdition Edition;
    std::uint32_t Acknowledgment = 0;
    Instant ReportedAt;
  };

  using OwnerMap = std::unordered_map<FlowKey, FlowOwners>;

  /// `Displaced` is set if an agent gave the opening back.
  void onOpening(const RoutedPacket &Packet,
                 const std::optional<Displaced> &Returned, Instant Now,
                 SteerActionList &Out);
  void refuseWithoutCandidates(ServiceId Service, const FlowKey &Key,
                               SteerActionList &Out) const;
  /// Remembers an opening until an agent answers, so that it is sent again.
  void trackOpening(const RoutedPacket &Packet, const Steer &Header,
                    const Candidate &First, Instant Now);
  /// Returns whether the upstream of the flow's owner has not answered yet and
  /// takes no new flows.
  bool isUnansweredAtClosed(const FlowOwners &Owners) const;
  /// Sets in an opening's message for how long the upstreams of its candidates
  /// stay cold, and what they may get; nothing if that is not limited.
  void setColdLimit(ServiceId Service, Candidate &First, Steer &Header,
                    Instant Now) const;
  void onFlowPacket(const RoutedPacket &Packet, Instant Now,
                    SteerActionList &Out);
  void locateOwner(const RoutedPacket &Packet, Instant Now,
                   SteerActionList &Out);
  void forgetOwner(const FlowKey &Key, std::uint32_t Agent,
                   SteerActionList &Out);
  /// Sends the next part of a search.
  void sendPart(std::uint32_t Number, Search &Each, PacketBytes Bytes,
                Instant Now, SteerActionList &Out);
  /// Returns all services whose upstreams may hold flows of a route, those of
  /// the current routes first: a change of the routes leaves flows where they
  /// are. Where versions of the routes may be unknown, that is every service.
  std::vector<ServiceId> flowServices(const Route &Matched, Instant Now) const;
  /// Returns whether the balancer has seen every version of the routes by which
  /// a flow may have been opened. A balancer that started together with all
  /// upstreams has not: others may have opened flows before its first version.
  bool knowsAllRoutes(Instant Now) const;
  /// Returns whether a service that an earlier version of the routes named may
  /// hold flows, and is not among those that are asked.
  bool mayMissServices(Instant Now) const;
  /// Returns whether no living upstream of the services can be missing from the
  /// directory, provided that the source confirms it.
  bool isListingComplete(std::span<const ServiceId> Services,
                         Instant Now) const;
  /// Returns whether all upstreams of the services that are not gone have
  /// started together with the balancer, as after a loss of power.
  bool isJointRestart(std::span<const ServiceId> Services) const;
  /// Returns whether an upstream cannot hold flows any more, although it has
  /// not returned their packets.
  bool isLost(const ListedUpstream &Each, bool IsJointRestart,
              Instant Now) const;
  /// Returns whether upstreams may be asked for a flow that no agent knows.
  bool mayAsk(const FlowKey &Key, Instant Now) const;
  void onSearchExhausted(const FlowKey &Flow, const FlowNotHeld &Result,
                         bool IsIncomplete, std::span<const ServiceId> Services,
                         std::uint32_t Agent, SteerActionList &Out);
  void checkSilentAgents(Search &Each, Instant Now, SteerActionList &Out);
  void processSearches(Instant Now, SteerActionList &Out);
  bool startedWithBalancer(const ListedUpstream &Each) const {
    return Each.StartedAt + JointRestartSpan >= this->Settings.StartedAtUnix;
  }
  void sendTo(std::uint32_t Agent, const Steer &Header, PacketBytes Bytes,
              Instant Now, SteerActionList &Out);
  /// Returns whether the VM's link can carry what an opening brings, and tells
  /// the caller if not.
  bool admitToLink(const Route &Matched, const RoutedPacket &Packet,
                   Instant Now, SteerActionList &Out);
  Duration resendDelay(Instant Now) const;
  Duration checkTimeout(Instant Now) const;
  void reportLink(Instant Now, SteerActionList &Out);
  FlowOwners *findOwners(const FlowKey &Key);
  FlowOwners &addOwners(const FlowKey &Key, Instant Now);
  void onAgentResponse(std::uint32_t Agent, bool Leaving, Instant Now,
                       SteerActionList &Out);
  void avoid(std::uint32_t Agent, Avoidance Reason, Duration Age,
             SteerActionList &Out);
  void sendCheck(std::uint32_t Agent, Instant Now, SteerActionList &Out);
  void checkCandidates(const UnansweredOpening &Each, Instant Now,
                       SteerActionList &Out);
  void resend(UnansweredOpening &Each, const FlowKey &Key, Instant Now,
              SteerActionList &Out);
  void resendOverdue(Instant Now, SteerActionList &Out);
  void processChecks(Instant Now, SteerActionList &Out);
  void detectPause(Instant Now, SteerActionList &Out);

  SteeringSettings Settings;
  LinkBudget Link;
  bool IsLinkFull = false;
  std::shared_ptr<const Directory> InForce;
  OwnerMap RecentOwners;
  OwnerMap OlderOwners;
  Instant RotateAt;
  std::unordered_map<FlowKey, UnansweredOpening> UnansweredOpenings;
  /// Ordered by time, since all delays are equal.
  std::deque<ResendDeadline> ResendQueue;
  /// Searches without an answer by their numbers, oldest first.
  std::map<std::uint32_t, Search> Searches;
  std::uint32_t NextSearch = 1;
  Instant NextSearchSweep;
  /// When upstreams were first asked for flows whose owners are unknown.
  std::unordered_map<FlowKey, Instant> AskedFlows;
  std::unordered_map<FlowKey, FlowNotHeld> FlowsNotHeld;
  bool NeedsConfirmation = false;
  std::unordered_map<std::uint32_t, AgentHealth> Agents;
  IntakeAnnouncer Intakes;
  std::optional<Instant> NextCheckAt;
  std::optional<Instant> LastTickAt;
  std::uint64_t NextCheckSequence = 1;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_STEERING_H
