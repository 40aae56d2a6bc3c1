/// \file
/// The decision logic of an agent on the steered path, whose upstream returns
/// packets of flows that it does not hold.
///
/// Correctness does not depend on the agent's state: its flow table only counts
/// the upstream's load and saves searches for owners, and is rebuilt from the
/// upstream's packets after a restart.

#ifndef MULBERRYHOIST_STEERING_AGENT_H
#define MULBERRYHOIST_STEERING_AGENT_H

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "mulberryhoist/admission/route-work.h"
#include "mulberryhoist/cold-limit.h"
#include "mulberryhoist/intake.h"
#include "mulberryhoist/opening-queue.h"
#include "mulberryhoist/packet-format.h"
#include "mulberryhoist/request-tracker.h"
#include "mulberryhoist/steer-actions.h"

namespace mulberryhoist {

/// How long an opening counts as load before its request arrives. The round
/// trip to the caller takes up to 10 ms; the rest is allowance for delays.
/// Several upstreams can answer retransmissions of one opening, and the caller
/// uses only one of them.
inline constexpr Duration OpeningLoadTimeout = std::chrono::milliseconds(30);

/// How long a request counts as load without a response of the upstream, unless
/// the route's timeout is shorter; longer than the longest request that callers
/// wait for.
inline constexpr Duration RequestLoadTimeout = std::chrono::seconds(10);

/// How long a request that its caller has not finished sending counts as load;
/// longer than the longest retransmission interval of callers (1.6 s).
inline constexpr Duration TransferLoadTimeout = std::chrono::seconds(2);

/// Multiple of the expected response time after which a request that counts as
/// load is reported as overdue.
inline constexpr int OverdueFactor = 8;

/// How long a flow without packets stays in the flow table: the longest life of
/// a flow on the platform.
inline constexpr Duration SteeringAgentFlowTimeout = std::chrono::seconds(60);

/// How long an upstream may take to respond to an opening before it counts as
/// silent. An upstream responds within 1 ms, a slow one within 10 ms.
inline constexpr Duration UpstreamResponseTimeout =
    std::chrono::milliseconds(12);

/// Openings without a response after which an upstream counts as silent; a
/// single one may be lost.
inline constexpr std::uint32_t UnansweredOpeningsLimit = 2;

/// The most packets of searches that are kept until the upstream has answered;
/// bounds memory, at 1.3 kB each. A further one goes on only when its caller
/// sends it again.
inline constexpr std::size_t MaxAskedPackets = 256;

/// Interval at which a silent upstream is probed with an opening.
inline constexpr Duration SilentProbePeriod = std::chrono::milliseconds(100);

/// How long a stopping agent serves the flows in progress at most; shorter than
/// the time that the platform grants for a stop (6 s).
inline constexpr Duration SteeringAgentDrainDeadline = std::chrono::seconds(3);

/// How long a stopping agent keeps serving at least, so that balancers notice
/// that it leaves.
inline constexpr Duration SteeringAgentMinimumDrain =
    std::chrono::milliseconds(150);

/// How long a stopping agent must have seen no packet of its upstream before it
/// counts as drained: one retransmission timeout of an upstream (200 ms) and an
/// allowance for delays.
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
  /// How long an address stays unused after its upstream has ended, before an
  /// upstream of another service may get it.
  Duration AddressReuse = std::chrono::seconds(2);
};

/// What happened to the openings of one class that found no free slot.
struct ClassAdmissions {
  std::uint64_t Held = 0;
  std::uint64_t Taken = 0;
  std::uint64_t Refused = 0;
  /// How long refused openings were held in total.
  Duration HeldBeforeRefusal{};
};

using AdmissionCounts = std::array<ClassAdmissions, AdmissionClasses>;

/// The decision logic of one agent.
class SteeringAgentLogic {
public:
  SteeringAgentLogic(SteeringAgentSettings Settings, Instant Now);

  /// Handles a caller's packet that a balancer or another agent sent here.
  void onSteer(const Steer &Header, const RoutedPacket &Packet, Instant Now,
               SteerActionList &Out);

  /// Replies to a balancer's liveness check.
  void onCheck(Endpoint From, const Check &Body, SteerActionList &Out);

  /// Handles a balancer's notice whether the upstream takes new flows; while it
  /// does not, openings are passed on and held ones are given back.
  void onIntake(const IntakeNotice &Body, Instant Now, SteerActionList &Out);

  /// Handles a packet that the upstream sent or returned.
  void onUpstreamPacket(const RoutedPacket &Packet, Instant Now,
                        SteerActionList &Out);

  /// Discards all flow state if the service differs from the current one, since
  /// the upstream was replaced then.
  void onService(ServiceId Next);

  /// Returns whether the upstream has been silent for so long that one of
  /// another service may have replaced it. The settings must then be read again
  /// before an opening is delivered or a packet of the upstream is handled.
  bool mayBeReplaced(Instant Now) const {
    // Half of the time leaves room for the agent to look before the end.
    return Now - this->LastUpstreamPacket >= this->Settings.AddressReuse / 2;
  }

  bool holdsOpenings() const { return !this->HeldOpenings.empty(); }

  /// Starts the drain after SIGTERM and notifies the balancers of it.
  void onTerminate(Instant Now, SteerActionList &Out);

  /// Expires flows and held openings; to be called several times a second, and
  /// when `nextDue` is reached.
  void onTick(Instant Now, SteerActionList &Out);

  /// Returns until when an upstream may answer a search, if one waits for it.
  std::optional<Instant> nextDue() const;

  /// Returns true once a stopping process may exit.
  bool isDrained(Instant Now) const;

  bool isLeaving() const { return this->TerminateAt.has_value(); }

  /// Returns the number of requests that the upstream processes or queues.
  std::uint32_t load() const { return this->Load; }

  /// Returns the estimated mean time that a request occupies a slot.
  Duration serviceTime() const { return this->ServiceTime.mean(); }

  /// Returns the estimated work of each route.
  const std::vector<RouteWork> &routeWork() const {
    return this->RouteEstimates.all();
  }

  /// Returns what happened to the openings of each class so far.
  const AdmissionCounts &admissionCounts() const { return this->Admissions; }

  std::size_t flowCount() const { return this->Flows.size(); }

  const IntakeState &intake() const { return this->Intake; }

  /// Returns the number of requests that count as load for longer than the
  /// estimated service time explains.
  std::uint32_t overdueCount() const { return this->Overdue; }

private:
  struct SteeringAgentFlow {
    Incarnation Initial = 0;
    /// The initial sequence number of the upstream, once it has responded.
    std::optional<std::uint32_t> UpstreamSequence;
    std::uint32_t Balancer = 0;
    bool Notify = false;
    /// Whether the upstream has sent a packet of the flow.
    bool HasAnswered = false;
    bool CountedInLoad = false;
    /// Set if a slot was free when the request arrived; its response time then
    /// is its service time.
    bool FoundFreeSlot = false;
    bool ReportedOverdue = false;
    /// Set while the opening counts for the flow's first request.
    bool IsFirstRequestCounted = false;
    RequestTracker Request;
    /// When the opening or the last new data of the request arrived.
    Instant LoadSince;
    /// How long the open request counts as load without a response.
    Duration LoadTimeout = RequestLoadTimeout;
    Instant LastSeen;
  };

  /// An opening whose request has not arrived yet.
  struct AwaitedRequest {
    FlowKey Key;
    Instant Since;
  };

  /// A packet that was forwarded to the upstream, which may return it.
  struct ForwardedPacket {
    std::uint32_t Tag = 0;
    Steer Header;
  };

  /// A flow that the upstream is not known to hold, whose packets it was sent.
  struct ForeignFlow {
    /// The acknowledgment number of the last packet that the upstream was sent,
    /// or has returned.
    std::uint32_t Acknowledgment = 0;
    std::optional<Instant> AskedAt;
    /// How many packets the upstream had sent then.
    std::uint64_t PacketsBefore = 0;
    /// Whether the upstream has returned a packet: it accepts the flow only by
    /// an opening, which the agent would see.
    bool IsReturned = false;

    /// Returns whether a packet belongs to the incarnation of the flow of which
    /// the upstream has returned a packet.
    bool hasReturned(const PacketView &Packet) const;
  };

  /// A packet of a search, which goes on if the upstream stays silent.
  struct AskedPacket {
    std::uint32_t Tag = 0;
    PacketView View;
    std::vector<std::uint8_t> Bytes;
    Instant AskedAt;
    std::uint64_t PacketsBefore = 0;
  };

  using FlowMap = std::unordered_map<FlowKey, SteeringAgentFlow>;

  /// Packets that can be in flight to the upstream and back; it responds within
  /// milliseconds, and a busy agent handles some thousand packets a second.
  static constexpr std::size_t ForwardedCapacity = 512;

  void onOpening(const Steer &Header, const RoutedPacket &Packet, Instant Now,
                 SteerActionList &Out);
  void detectSilentUpstream(Instant Now, SteerActionList &Out);
  bool mustForwardToNext(const Steer &Header, Instant Now);
  /// Passes on, holds or refuses an opening that the cold upstream must not
  /// get.
  void placeBeyondColdLimit(const Steer &Header, const RoutedPacket &Packet,
                            Instant Now, SteerActionList &Out);
  void placeWithoutFreeSlot(const Steer &Header, const RoutedPacket &Packet,
                            Instant Now, SteerActionList &Out);
  void hold(const Steer &Header, const RoutedPacket &Packet, Instant Now,
            SteerActionList &Out);
  void serveHeldOpenings(Instant Now, SteerActionList &Out);
  /// Sends an opening to other agents, or back to its balancer, or refuses it
  /// if it has been given back before: the intake is closed.
  void turnAway(const Steer &Header, const RoutedPacket &Packet,
                SteerActionList &Out);
  void giveBack(const Steer &Header, const FlowIncarnation &Flow,
                Duration Waited, PacketBytes Bytes, SteerActionList &Out);
  void giveBackHeldOpenings(Instant Now, SteerActionList &Out);
  void recordIntakeChange(bool WasClosed, SteerActionList &Out) const;
  void refuse(const Steer &Header, const FlowIncarnation &Flow,
              Duration HeldFor, SteerActionList &Out);
  /// Returns the load by which agents are compared: requests at the upstream
  /// and held openings.
  std::uint32_t totalLoad() const {
    return this->Load + this->HeldOpenings.size();
  }
  UpstreamLoad upstreamLoad(std::uint32_t Slots) const {
    return {this->Load, Slots, this->ServiceTime};
  }
  void take(const Steer &Header, const FlowIncarnation &Flow, PacketBytes Bytes,
            Instant Now, SteerActionList &Out);
  /// Sends a packet to the next candidate, or back to its balancer; `Cause`
  /// says why the packet of a flow does not stay here.
  void forwardToNext(const Steer &Header, const RoutedPacket &Packet,
                     SteerActionList &Out,
                     Decision Cause = Decision::PacketReturned);
  void onFlowPacket(const Steer &Header, const RoutedPacket &Packet,
                    Instant Now, SteerActionList &Out);
  /// Returns whether the upstream has accepted the flow by a SYN-ACK that the
  /// caller acknowledges, as far as the agent has seen.
  static bool isOwn(const SteeringAgentFlow &Flow, const PacketView &Packet);
  /// Sends the upstream a packet of a flow that it may not hold, or passes the
  /// packet on if it is known not to hold it or does not answer.
  void askUpstream(const Steer &Header, const RoutedPacket &Packet, Instant Now,
                   SteerActionList &Out);
  bool isUnanswered(const ForeignFlow &Each, Instant Now) const;
  /// Passes packets of searches on that the upstream has not answered in time.
  void passOnUnanswered(Instant Now, SteerActionList &Out);
  void onFlowReturned(const PacketView &Packet);
  void trackRequest(SteeringAgentFlow &Flow, const Steer &Header,
                    const PacketView &Packet, Instant Now);
  void trackResponse(SteeringAgentFlow &Flow, const PacketView &Packet,
                     Instant Now, SteerActionList &Out);
  void onReturned(const RoutedPacket &Packet, SteerActionList &Out);
  void notifyBalancer(const FlowKey &Key, SteeringAgentFlow &Flow,
                      SteerActionList &Out);
  std::uint32_t recordForwarded(const Steer &Header);
  std::optional<Steer> takeForwarded(std::uint32_t Tag);
  void addToLoad(SteeringAgentFlow &Flow, std::uint32_t Slots, Instant Now);
  void removeFromLoad(SteeringAgentFlow &Flow);
  void expireOpenings(Instant Now);
  /// Ends the load of requests without a response, and reports those that are
  /// overdue.
  void checkLoad(const FlowKey &Key, SteeringAgentFlow &Flow, Instant Now,
                 SteerActionList &Out);
  void erase(FlowMap::iterator Found);
  ClassAdmissions &admissions(const Steer &Header) {
    return this->Admissions.at(admissionClass(Header));
  }
  void addBalancer(std::uint32_t Balancer);
  RecordDecision record(Decision Kind, const FlowKey &Flow,
                        const Steer &Header) const;

  SteeringAgentSettings Settings;
  FlowMap Flows;
  /// Keeps packets from upstreams that have returned earlier ones.
  std::unordered_map<FlowKey, ForeignFlow> ForeignFlows;
  /// Ordered by time, oldest first.
  std::deque<AskedPacket> AskedPackets;
  /// Ordered by time, oldest first.
  std::deque<AwaitedRequest> Awaited;
  OpeningQueue HeldOpenings;
  IntakeState Intake;
  ColdLimit Cold;
  /// The bytes of held openings that the last event forwarded; the actions of
  /// that event refer to them.
  std::vector<std::vector<std::uint8_t>> ReleasedBytes;
  std::uint32_t Load = 0;
  std::uint32_t Overdue = 0;
  ServiceTimeEstimate ServiceTime;
  RouteWorkEstimates RouteEstimates;
  AdmissionCounts Admissions = {};
  /// Slots of the upstream according to the last received message.
  std::uint32_t Slots = 1;
  std::vector<ForwardedPacket> ForwardedPackets;
  std::uint32_t NextTag = 1;
  /// Balancers that sent a message; they are notified when the agent leaves.
  InlineList<std::uint32_t, 64> Balancers;
  std::uint32_t UnansweredOpenings = 0;
  Instant UnansweredSince;
  bool Silent = false;
  Instant LastUpstreamPacket;
  std::uint64_t UpstreamPackets = 0;
  Instant LastFlowPacket;
  Instant NextSilentProbe;
  Instant NextSweep;
  std::optional<Instant> TerminateAt;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_STEERING_AGENT_H
