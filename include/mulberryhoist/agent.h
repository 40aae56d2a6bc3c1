/// \file
/// The decision logic of the agent beside one upstream.
///
/// The logic does no I/O and reads no clock: the process passes events with the
/// current time and performs the actions that are appended to the list.
///
///     ActionList Out;
///     Agent.onDatagram(From, *Decoded, Arrival::Fresh, Now, Out);
///     perform(Out);
///     Out.clear();
///
/// `onTick` must be called at least every few milliseconds while
/// `needsFastTick` returns true, and at least every second otherwise.

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

/// Time after the start of an agent during which its upstream may have flows
/// whose records were lost in a restart.
inline constexpr Duration RestartPeriod = std::chrono::seconds(120);

/// Time limit for the handshake of a flow.
inline constexpr Duration HalfOpenTimeout = std::chrono::seconds(30);

/// Time for which an accepted flow may hold a slot before its first request, so
/// that callers that send nothing cannot keep all slots busy. It allows for one
/// retransmission of the handshake and one of the request.
inline constexpr Duration FirstRequestTimeout = std::chrono::seconds(3);

/// Time for which a flow is kept after both ends sent FIN, for late packets.
inline constexpr Duration ClosingLinger = std::chrono::seconds(5);

/// Time after which a flow is reset if response bytes are unacknowledged and
/// the caller sends nothing.
inline constexpr Duration SilenceTimeout = std::chrono::seconds(60);

/// Time after which an idle flow without unacknowledged bytes is reset.
inline constexpr Duration IdleTimeout = std::chrono::hours(2);

/// Time for which a redirect is kept without packets; `Locate` finds the owner
/// again after that.
inline constexpr Duration RedirectRetention = std::chrono::minutes(10);

/// Minimum time between SIGTERM and exit. Balancers learn of the drain by a
/// probe and stop using the agent as a coordinator before its redirects are
/// lost.
inline constexpr Duration MinimumDrain = std::chrono::seconds(3);

/// Time within which a new table is in force on every process. A coordinator
/// without the latest table may not know all members of a locate group, so
/// replies that deny a flow are conclusive only after this time.
inline constexpr Duration TablePropagationBound = std::chrono::seconds(9);

/// Maximum numbers of entries of the stores.
struct AgentCapacity {
  std::size_t Flows = 65'536;
  std::size_t Redirects = 65'536;
  std::size_t Openings = 4'096;
  std::size_t Searches = 1'024;
  std::size_t Refusals = 262'144;
};

/// Settings of the agent logic.
struct AgentSettings {
  UpstreamId Self;
  /// The services that the agent's upstream may serve.
  std::vector<ServiceId> Services;
  Duration DrainDeadline = std::chrono::seconds(600);
  /// Time for which all members of a locate group must deny a flow before it
  /// counts as gone.
  Duration GoneConfirmation = TablePropagationBound;
  AgentCapacity Capacity;
};

/// Tells whether a datagram arrived before or after a pause of the process.
enum class Arrival : std::uint8_t {
  Fresh,
  BeforePause, ///< Was in the socket buffer when the process resumed.
};

/// Reasons for which the agent resets a flow.
enum class EndReason : std::uint8_t { Silent, Idle, Gone, HalfOpen, Cut };

/// Number of members of `EndReason`.
inline constexpr std::size_t EndReasonCount = 5;

/// Returns the name of a reason as it appears in metrics.
std::string_view endReasonName(EndReason Reason);

/// Counts of events since the start of the agent.
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

/// State of a flow at its owner, for `explain` and drain reports.
struct FlowStatus {
  FlowKey Key;
  FlowState State = FlowState::Queued;
  ServiceId Service;
  bool Working = false;
  Duration CallerSilence{};
};

/// Reasons for which an agent drains.
enum class DrainReason : std::uint8_t { None, Table, VmList, Signal };

/// Flows of one service that a drain waits for.
struct ServiceDrain {
  ServiceId Service;
  std::size_t Flows = 0;
  std::size_t Requests = 0;
  std::size_t Queued = 0;
};

/// Progress of a drain.
struct DrainProgress {
  DrainReason Reason = DrainReason::None;
  /// Empty unless termination was requested.
  std::optional<Duration> UntilDeadline;
  std::size_t Flows = 0;
  std::size_t Requests = 0;
  std::size_t Queued = 0;
  Duration OldestFlow{};
  std::uint64_t Cut = 0;
  std::vector<ServiceDrain> Services;
  /// Some of the flows that remain.
  std::vector<FlowStatus> Holders;
};

/// Current values for metrics and the dump.
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
  /// Creates the logic, or returns `InvalidSetting`. The seed makes the numbers
  /// of load queries unpredictable and has no other use.
  static Result<AgentLogic> create(AgentSettings Settings, std::uint64_t Seed,
                                   Instant Now);

  /// Handles a datagram from a balancer or another agent.
  void onDatagram(Endpoint From, const Datagram &Input, Arrival Arrived,
                  Instant Now, ActionList &Out);

  /// Handles a packet from the agent's upstream.
  void onUpstreamPacket(PacketBytes Packet, Instant Now, ActionList &Out);

  /// Applies a new table and reports `OlderTable` for an older one.
  void onTable(std::shared_ptr<const Table> Next, Instant Now, ActionList &Out);

  /// Sets whether the VM list marks the VM of this agent as leaving.
  void onLeaving(bool IsLeaving) { this->Leaving = IsLeaving; }

  /// Starts the drain before termination (SIGTERM).
  void onTerminate(Instant Now);

  /// Drops the openings in progress and restarts the time limits of flows after
  /// the process was paused. Must be called before any other event.
  void onPause(Instant Now);

  /// Applies the time limits of openings, searches and flows.
  void onTick(Instant Now, ActionList &Out);

  /// Returns true if a time limit may expire within milliseconds.
  bool needsFastTick() const {
    return !this->Openings.empty() || !this->Searches.empty() ||
           this->AdmissionControl.waiting() > 0;
  }

  /// Returns true once the process may exit after a request to terminate.
  bool isDrained(Instant Now) const;

  /// Returns true if the agent accepts no openings of any service.
  bool isDraining() const { return this->drainReason() != DrainReason::None; }

  /// Returns the reason for which no openings are accepted, or `None`.
  DrainReason drainReason() const;

  /// Describes the state of a flow at this agent in one line.
  std::string explain(const FlowKey &Key, Instant Now) const;

  /// Returns the flows that a drain waits for, with details of at most
  /// `MaxHolders`.
  DrainProgress drainProgress(std::size_t MaxHolders, Instant Now) const;

  AgentStatus status(Instant Now) const;

private:
  struct Redirect {
    UpstreamId Owner;
    Incarnation Initial = 0;
    Instant LastUsed;
  };

  /// A caller's packet and the header and sender it arrived with.
  struct CallerPacket {
    PacketBytes Bytes;
    PacketView View;
    Endpoint From;
    Forward Header;
    Arrival Arrived = Arrival::Fresh;
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
  /// Keeps bytes until the next event, for actions that refer to them.
  PacketBytes retainBytes(std::vector<std::uint8_t> Bytes);
  const Upstream *findOwnUpstream() const;
  std::uint32_t weightOf(ServiceId Service) const;
  bool isDraining(ServiceId Service) const;
  const Service *findServedService(const CallerPacket &Input) const;
  std::optional<Endpoint> findAgent(UpstreamId Id) const;
  void sweep(Instant Now, ActionList &Out);
  void checkTimeouts(const FlowKey &Key, FlowRecord &Flow, Instant Now);
  void resetFlow(const FlowKey &Key, EndReason Reason, Instant Now,
                 ActionList &Out);
  FlowStatus flowStatus(const FlowKey &Key, const FlowRecord &Flow,
                        Instant Now) const;

  // agent-opening.cc: openings, as coordinator and as candidate.
  void onCoordinatedOpening(const CallerPacket &Input, Instant Now,
                            ActionList &Out);
  void onOfferedOpening(const CallerPacket &Input, Instant Now,
                        ActionList &Out);
  /// Repeats the outcome of an opening that was seen before; false for a new
  /// one.
  bool handleKnownOpening(const CallerPacket &Input, Instant Now,
                          ActionList &Out);
  /// Handles an opening for a flow in `Flows`: a retransmission, or a new
  /// incarnation, which is challenged. Returns false if the old flow was
  /// removed and the opening must be handled as new.
  bool handleOpeningAtOwner(FlowMap::iterator Found, const CallerPacket &Input,
                            Instant Now, ActionList &Out);
  void coordinate(const CallerPacket &Input, const Service &RequestedService,
                  Instant Now, ActionList &Out);
  void advance(OpeningMap::iterator Current, Instant Now, ActionList &Out);
  /// Offers an opening to the agent's upstream; true if it was accepted.
  bool offerToSelf(Opening &Current, Instant Now, ActionList &Out);
  void offerToOther(Opening &Current, ActionList &Out);
  void refuse(const FlowIncarnation &Flow, PacketBytes Packet, Instant Now,
              ActionList &Out);
  void decline(const CallerPacket &Input, DeclineReason Reason, Instant Now,
               ActionList &Out);
  /// Accepts an opening, or returns the reason for which it is declined.
  std::optional<DeclineReason> accept(const PacketView &View,
                                      PacketBytes Packet, ServiceId Service,
                                      Instant Now, ActionList &Out);
  void refuseWaitingOpening(const WaitingOpening &Waiting, Instant Now,
                            ActionList &Out);
  void startWaitingOpenings(Instant Now, ActionList &Out);
  void removeOpening(OpeningMap::iterator Current);
  void onOwnerNotice(const OwnerNotice &Body, Instant Now, ActionList &Out);
  void onDecline(const Decline &Body, Instant Now, ActionList &Out);
  void onLoadReply(const LoadReply &Body, Instant Now, ActionList &Out);

  // agent-flow.cc: established flows, redirects and searches.
  void onFlowPacket(const CallerPacket &Input, Instant Now, ActionList &Out);
  void deliver(FlowMap::iterator Found, const CallerPacket &Input, Instant Now,
               ActionList &Out);
  void deliverUnconfirmed(FlowRecord &Flow, const CallerPacket &Input,
                          Instant Now, ActionList &Out);
  /// Takes over a flow without a record here; false if that is not possible.
  bool adopt(const CallerPacket &Input, std::optional<Endpoint> From,
             Instant Now, ActionList &Out);
  void relay(UpstreamId Owner, const CallerPacket &Input, bool Adopt,
             ActionList &Out);
  void locate(const CallerPacket &Input, Instant Now, ActionList &Out);
  void beginLocateRound(LocateSearch &Search, const CallerPacket &Input,
                        Instant Now, ActionList &Out);
  void advance(SearchMap::iterator Current, Instant Now, ActionList &Out);
  void forwardBuffered(SearchMap::iterator Current, bool Adopt, Instant Now,
                       ActionList &Out);
  void onLocate(Endpoint From, const Locate &Body, Instant Now,
                ActionList &Out);
  void onLocateReply(const LocateReply &Body, Instant Now, ActionList &Out);
  void onNotOwner(const FlowKey &Key, std::optional<UpstreamId> By, Instant Now,
                  ActionList &Out);
  /// Evicts a search if the store is full; false if none can be evicted.
  bool ensureSearchCapacity(Instant Now);
  void setRedirect(const FlowKey &Key, UpstreamId Owner, Incarnation Initial,
                   Instant Now);
  void onUnknownUpstreamPacket(const PacketView &View, PacketBytes Packet,
                               Instant Now, ActionList &Out);
  void recoverHandshake(const PacketView &SynAck, PacketBytes Packet,
                        Instant Now, ActionList &Out);
  /// Returns the service with this address in the current table, or a default
  /// id.
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
  Admission AdmissionControl;
  RetryBudget Retries;
  RefusalRecords Refusals;
  FlowMap Flows;
  /// The SYN packets of the openings in the wait queue.
  std::unordered_map<FlowKey, std::vector<std::uint8_t>> WaitingPackets;
  OpeningMap Openings;
  std::unordered_map<std::uint64_t, FlowKey> Queries;
  SearchMap Searches;
  std::unordered_map<FlowKey, Redirect> Redirects;
  AgentCounters Counters;
  std::uint64_t NextQuery;
  bool Leaving = false;
  std::optional<Instant> TerminateRequestedAt;
  /// The start of the process or the end of its last pause. Time limits do not
  /// count time before it.
  Instant RunningSince;
  Instant NextSweep;
  Instant NextRedirectSweep;

  // Reused between events to avoid allocation on the packet path.

  /// Packets that the actions of the last event refer to.
  std::deque<std::vector<std::uint8_t>> RetainedBytes;
  std::vector<WaitingOpening> Shed;
  std::vector<UpstreamId> UpstreamBuffer;
  std::vector<FlowKey> FlowsToEnd;
  std::vector<std::pair<FlowKey, EndReason>> FlowsToReset;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_AGENT_H
