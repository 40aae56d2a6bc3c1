/// \file
/// The decision logic of the agent beside one upstream.
///
/// The logic does no I/O and reads no clock: the process hands in events with
/// the current time and carries out the actions that are appended.
///
///     ActionList Out;
///     Agent.onDatagram(From, *Decoded, Arrival::Fresh, Now, Out);
///     perform(Out);
///     Out.clear();
///
/// `onTick` must be called at least every few milliseconds while
/// `nextDeadline` is near, and at least every second otherwise.

#ifndef MULBERRYHOIST_AGENT_H
#define MULBERRYHOIST_AGENT_H

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "mulberryhoist/actions.h"
#include "mulberryhoist/admission.h"
#include "mulberryhoist/flow.h"
#include "mulberryhoist/locate.h"
#include "mulberryhoist/opening.h"
#include "mulberryhoist/refusal.h"
#include "mulberryhoist/table.h"

namespace mulberryhoist {

/// How long an agent that started may be asked for flows that it has lost.
inline constexpr Duration RestartPeriod = std::chrono::seconds(120);

/// How long a flow may stay half-open.
inline constexpr Duration HalfOpenTimeout = std::chrono::seconds(30);

/// How long an accepted flow may hold a slot before its first request, so that
/// callers that send nothing cannot keep all slots busy. It allows for one
/// retransmission of the handshake and one of the request.
inline constexpr Duration FirstRequestTimeout = std::chrono::seconds(3);

/// How long a flow is kept after both ends finished, for late packets.
inline constexpr Duration ClosingLinger = std::chrono::seconds(5);

/// How long answer bytes may stay unacknowledged by a silent caller.
inline constexpr Duration SilenceTimeout = std::chrono::seconds(60);

/// How long a flow without unacknowledged bytes may be idle.
inline constexpr Duration IdleTimeout = std::chrono::hours(2);

/// How long a redirect is kept without packets; `Locate` finds the owner again.
inline constexpr Duration RedirectRetention = std::chrono::minutes(10);

/// The shortest drain after SIGTERM: balancers learn of it by a probe and stop
/// using the agent as a coordinator, before its redirects are lost.
inline constexpr Duration MinimumDrain = std::chrono::seconds(3);

/// The time in which a table is in force on every process (G8). A coordinator
/// that has not got the latest table may not know all members of a locate
/// group, so that their denials only count after this time.
inline constexpr Duration TableSpreadBound = std::chrono::seconds(9);

/// The sizes of the bounded stores.
struct AgentCapacity {
  std::size_t Flows = 65'536;
  std::size_t Redirects = 65'536;
  std::size_t Openings = 4'096;
  std::size_t Searches = 1'024;
  std::size_t Refusals = 262'144;
};

/// The settings of the agent logic.
struct AgentSettings {
  UpstreamId Self;
  /// The services that the upstream beside the agent may serve.
  std::vector<ServiceId> Services;
  Duration DrainDeadline = std::chrono::seconds(600);
  Duration GoneConfirmation = TableSpreadBound;
  AgentCapacity Capacity;
};

/// When a datagram arrived, relative to a pause of the process.
enum class Arrival : std::uint8_t {
  Fresh,
  BeforePause, ///< It already waited in the socket when the process resumed.
};

/// Why a flow was ended by the agent.
enum class EndReason : std::uint8_t { Silent, Idle, Gone, HalfOpen, Cut };

/// Number of members of `EndReason`.
inline constexpr std::size_t EndReasonCount = 5;

/// Returns the name of a reason as it appears in metrics.
std::string_view endReasonName(EndReason Reason);

/// What the agent has done so far.
struct AgentCounters {
  std::uint64_t Openings = 0;
  std::uint64_t Accepted = 0;
  std::uint64_t Queued = 0;
  std::uint64_t Declined = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Unanswered = 0;
  std::uint64_t Duplicates = 0;
  std::uint64_t Challenges = 0;
  std::uint64_t StaleDropped = 0;
  std::uint64_t Relayed = 0;
  std::uint64_t NotOwned = 0;
  std::uint64_t LocateRounds = 0;
  std::uint64_t Adopted = 0;
  std::uint64_t LocateDropped = 0;
  std::uint64_t StoreFull = 0;
  std::uint64_t FlowsEnded = 0;
  std::array<std::uint64_t, EndReasonCount> Resets = {};
};

/// A flow that holds the upstream open.
struct FlowStatus {
  FlowKey Key;
  FlowState State = FlowState::Queued;
  ServiceId Service;
  bool Working = false;
  Duration SinceCaller{};
};

/// Why an agent drains.
enum class DrainReason : std::uint8_t { None, Table, VmList, Signal };

/// What holds the upstream open for one service.
struct ServiceDrain {
  ServiceId Service;
  std::size_t Flows = 0;
  std::size_t Requests = 0;
  std::size_t Queued = 0;
};

/// How far a drain has come.
struct DrainProgress {
  DrainReason Reason = DrainReason::None;
  /// Empty unless the process was asked to terminate.
  std::optional<Duration> UntilDeadline;
  std::size_t Flows = 0;
  std::size_t Requests = 0;
  std::size_t Queued = 0;
  Duration OldestFlow{};
  std::uint64_t Cut = 0;
  std::vector<ServiceDrain> Services;
  /// Some of the flows that are left.
  std::vector<FlowStatus> Holders;
};

/// Numbers for metrics and the dump.
struct AgentStatus {
  std::array<std::size_t, FlowStateCount> Flows = {};
  std::uint32_t Busy = 0;
  std::uint32_t Waiting = 0;
  std::uint32_t Slots = 0;
  std::uint32_t Load = 0;
  std::size_t Redirects = 0;
  std::size_t Openings = 0;
  std::size_t Searches = 0;
  std::size_t Refusals = 0;
  bool Draining = false;
  AgentCounters Counters;
};

/// The decision logic of one agent.
class AgentLogic {
public:
  /// Checks the settings. The seed only makes query numbers unpredictable.
  static Result<AgentLogic> create(AgentSettings Settings, std::uint64_t Seed,
                                   Instant Now);

  /// A datagram from a balancer or an agent.
  void onDatagram(Endpoint From, const Datagram &Input, Arrival When,
                  Instant Now, ActionList &Out);

  /// A packet from the upstream beside the agent.
  void onUpstreamPacket(PacketBytes Packet, Instant Now, ActionList &Out);

  /// A new table in force.
  void onTable(std::shared_ptr<const Table> Next, Instant Now, ActionList &Out);

  /// What the VM list says about the VM of this agent.
  void onLeaving(bool IsLeaving) { this->Leaving = IsLeaving; }

  /// The process is asked to terminate (SIGTERM).
  void onTerminate(Instant Now);

  /// The process did not run for a while; call before further events.
  void onPause(Instant Now);

  /// Time passes.
  void onTick(Instant Now, ActionList &Out);

  /// When the next tick has something to do within milliseconds.
  bool needsFastTick() const {
    return !this->Openings.empty() || !this->Searches.empty() ||
           this->Admitted.waiting() > 0;
  }

  /// True once a process that was asked to terminate may exit.
  bool isDrained(Instant Now) const;

  /// True if no service may send new work here.
  bool isDraining() const { return this->drainReason() != DrainReason::None; }

  /// Why no new work is taken; `None` if it is.
  DrainReason drainReason() const;

  /// Explains what the agent knows about a flow.
  std::string explain(const FlowKey &Key, Instant Now) const;

  /// Which flows hold the upstream open; names at most `MaxHolders`.
  DrainProgress drainProgress(std::size_t MaxHolders, Instant Now) const;

  AgentStatus status(Instant Now) const;

private:
  struct Redirect {
    UpstreamId Owner;
    Incarnation Initial = 0;
    Instant LastUsed;
  };

  /// One caller's packet with what is known about its way.
  struct CallerPacket {
    PacketBytes Bytes;
    PacketView View;
    Endpoint From;
    Forward Header;
    Arrival When = Arrival::Fresh;
  };

  using FlowMap = std::unordered_map<FlowKey, FlowRecord>;
  using OpeningMap = std::unordered_map<FlowKey, Opening>;
  using SearchMap = std::unordered_map<FlowKey, LocateSearch>;

  AgentLogic(AgentSettings Settings, std::uint64_t Seed, Instant Now);

  // agent.cc: events, table and drain.
  void beginEvent();
  void handle(const CallerPacket &Input, Instant Now, ActionList &Out);
  void handle(Endpoint From, const Probe &Body, Instant Now, ActionList &Out);
  void handle(Endpoint From, const LoadQuery &Body, Instant Now,
              ActionList &Out);
  PacketBytes keep(std::vector<std::uint8_t> Bytes);
  const Upstream *findLiveSelf() const;
  std::uint32_t weightOf(ServiceId Service) const;
  bool isDraining(ServiceId Service) const;
  const Service *servedHere(const CallerPacket &Input) const;
  std::optional<Endpoint> agentOf(UpstreamId Id) const;
  void sweep(Instant Now, ActionList &Out);
  void sweepFlow(const FlowKey &Key, FlowRecord &Flow, Instant Now);
  void cut(const FlowKey &Key, EndReason Reason, Instant Now, ActionList &Out);
  FlowStatus flowStatus(const FlowKey &Key, const FlowRecord &Flow,
                        Instant Now) const;

  // agent-opening.cc: openings as coordinator and as candidate.
  void onCoordinatedOpening(const CallerPacket &Input, Instant Now,
                            ActionList &Out);
  void onAskedOpening(const CallerPacket &Input, Instant Now, ActionList &Out);
  bool isKnownOpening(const CallerPacket &Input, Instant Now, ActionList &Out);
  bool repeatAtOwner(FlowMap::iterator Found, const CallerPacket &Input,
                     Instant Now, ActionList &Out);
  void coordinate(const CallerPacket &Input, const Service &Wanted, Instant Now,
                  ActionList &Out);
  void run(OpeningMap::iterator Current, Instant Now, ActionList &Out);
  bool askSelf(Opening &Current, Instant Now, ActionList &Out);
  void askOther(Opening &Current, ActionList &Out);
  void refuse(const FlowIncarnation &Flow, PacketBytes Packet, Instant Now,
              ActionList &Out);
  void decline(const CallerPacket &Input, DeclineReason Reason, Instant Now,
               ActionList &Out);
  std::optional<DeclineReason> accept(const PacketView &View,
                                      PacketBytes Packet, ServiceId Service,
                                      Instant Now, ActionList &Out);
  void refuseWaiting(const WaitingOpening &Waiting, Instant Now,
                     ActionList &Out);
  void startWaiting(Instant Now, ActionList &Out);
  void forget(OpeningMap::iterator Current);
  void onOwnerNotice(const OwnerNotice &Body, Instant Now, ActionList &Out);
  void onDecline(const Decline &Body, Instant Now, ActionList &Out);
  void onLoadReply(const LoadReply &Body, Instant Now, ActionList &Out);

  // agent-flow.cc: established flows, redirects and searches.
  void onFlowPacket(const CallerPacket &Input, Instant Now, ActionList &Out);
  void deliver(FlowMap::iterator Found, const CallerPacket &Input, Instant Now,
               ActionList &Out);
  void deliverUnproven(FlowRecord &Flow, const CallerPacket &Input, Instant Now,
                       ActionList &Out);
  bool adopt(const CallerPacket &Input, std::optional<Endpoint> From,
             Instant Now, ActionList &Out);
  void relay(UpstreamId Owner, const CallerPacket &Input, bool Adopt,
             ActionList &Out);
  void locate(const CallerPacket &Input, Instant Now, ActionList &Out);
  void beginSearch(LocateSearch &Search, const CallerPacket &Input, Instant Now,
                   ActionList &Out);
  void run(SearchMap::iterator Current, Instant Now, ActionList &Out);
  void release(SearchMap::iterator Current, bool Adopt, Instant Now,
               ActionList &Out);
  void onLocate(Endpoint From, const Locate &Body, Instant Now,
                ActionList &Out);
  void onLocateReply(const LocateReply &Body, Instant Now, ActionList &Out);
  void onNotOwner(const FlowKey &Key, std::optional<UpstreamId> By, Instant Now,
                  ActionList &Out);
  bool makeRoomForSearch(Instant Now);
  void setRedirect(const FlowKey &Key, UpstreamId Owner, Incarnation Initial,
                   Instant Now);
  void onUnknownUpstreamPacket(const PacketView &View, PacketBytes Packet,
                               Instant Now, ActionList &Out);
  void recoverHandshake(const PacketView &SynAck, PacketBytes Packet,
                        Instant Now, ActionList &Out);
  /// The service that has an address now, or none.
  ServiceId listedService(Endpoint Address) const;
  bool isStrayUpstreamPacket(const FlowRecord &Flow,
                             const PacketView &View) const;
  void endFlow(FlowMap::iterator Found, Instant Now, ActionList &Out);
  void setWorking(FlowRecord &Flow, bool Working, Instant Now);
  bool restartedRecently(Instant Now) const {
    return Now - this->Started < RestartPeriod;
  }

  AgentSettings Settings;
  Instant Started;
  std::shared_ptr<const Table> InForce;
  Admission Admitted;
  RetryBudget Retries;
  RefusalRecords Refusals;
  FlowMap Flows;
  /// The openings in the wait queue.
  std::unordered_map<FlowKey, std::vector<std::uint8_t>> WaitingPackets;
  OpeningMap Openings;
  std::unordered_map<std::uint64_t, FlowKey> Queries;
  SearchMap Searches;
  std::unordered_map<FlowKey, Redirect> Redirects;
  AgentCounters Counters;
  std::uint64_t NextQuery;
  bool Leaving = false;
  std::optional<Instant> TerminateAt;
  /// Times before this one are not counted, since the process was paused.
  Instant SilenceFloor;
  Instant NextSweep;
  Instant NextRedirectSweep;

  // Reused between events, so that nothing is allocated once warm.
  std::deque<std::vector<std::uint8_t>> Released;
  std::vector<WaitingOpening> Shed;
  std::vector<UpstreamId> Ordered;
  std::vector<FlowKey> ToEnd;
  std::vector<std::pair<FlowKey, EndReason>> ToCut;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_AGENT_H
