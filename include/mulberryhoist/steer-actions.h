/// \file
/// The actions that the decision logic of the steered path returns to the
/// process.

#ifndef MULBERRYHOIST_STEER_ACTIONS_H
#define MULBERRYHOIST_STEER_ACTIONS_H

#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

#include "mulberryhoist/error.h"
#include "mulberryhoist/steer-wire.h"

namespace mulberryhoist {

/// A decision about a flow, or a change of the state of an agent, an upstream
/// or the process.
enum class Decision : std::uint8_t {
  OpeningSent,        ///< A balancer sent an opening to the first candidate.
  OpeningRepeated,    ///< The caller's retransmission went to the owner.
  OpeningResent,      ///< No agent answered in time; sent to others.
  OwnerLearned,       ///< An agent reported that it owns the flow.
  RefusalLearned,     ///< An agent reported that it refused the opening.
  OwnerSought,        ///< The balancer has no cached owner of the flow.
  RefusedNoRoute,     ///< The address has no route.
  RefusedNoUpstream,  ///< The service has no ready upstream.
  RefusedLink,        ///< The balancer's link cannot carry the request.
  PacketWithoutRoute, ///< No cached owner, and no route or candidate.
  OpeningTaken,       ///< An agent delivered the opening to its upstream.
  OpeningPassedOn,    ///< Forwarded: upstream busy, silent or leaving.
  OpeningReturned,    ///< The upstream could not accept the opening.
  OpeningHeld,        ///< The opening waits for a free slot.
  OpeningRefused,     ///< No candidate can serve the opening in time.
  OpeningDropped,     ///< The agent leaves and there is no other candidate.
  PacketReturned,     ///< The upstream does not own the flow.
  OwnerNotFound,      ///< All candidates have returned the packet.
  OwnerForgotten,     ///< The cached owner has returned a packet of the flow.
  SearchUnanswered,   ///< No owner found, and some candidate did not answer.
  FlowNotHeld,        ///< No upstream holds the flow; to be confirmed.
  FlowNotHeldIgnored, ///< The same, but the list of upstreams may be
                      ///< incomplete.
  FlowReset,          ///< The caller was told that its flow is gone.
  WrongService,       ///< The packet is for another service.
  AgentSuspected,     ///< An agent does not answer.
  AgentLeaving,       ///< An agent accepts no new flows.
  AgentRegained,      ///< An agent answers again.
  RequestOverdue,     ///< No response yet; the estimate does not explain it.
  LoadExpired,        ///< A request without response stopped counting as load.
  UpstreamSilent,     ///< The upstream does not answer openings.
  UpstreamAnswers,    ///< The upstream answers again.
  PauseNoticed,       ///< The process was paused.
  RefusedEvacuated,   ///< All ready upstreams are in evacuated zones.
  IntakeClosed,       ///< The upstream takes no new flows: it drains, or its
                      ///< zone is evacuated.
  IntakeOpened,       ///< The upstream takes new flows again.
  OpeningTurnedAway,  ///< Passed on or given back: the intake is closed.
  OpeningDisplaced,   ///< An agent gave the opening back; placed anew.
  LinkFull,           ///< The balancer begins to refuse transfers.
  LinkClear,          ///< No transfer was refused for a while.
  FlowUnknown,    ///< The agent does not know the flow that is searched for.
  UpstreamsAsked, ///< No agent knows the flow; the upstreams are asked.
  UpstreamSpared, ///< The upstream returned a packet of the flow before.
  UpstreamUnanswered, ///< The upstream was asked for the flow and sent nothing.
  AnswerUnexpected, ///< The upstream answers an opening that the agent has not
                    ///< delivered to it.
};

/// The number of enumerators of `Decision`.
inline constexpr std::size_t DecisionCount = 44;

/// Returns the name of a decision as it appears in logs and metrics.
std::string_view decisionName(Decision Kind);

/// Sends a message, with a packet unless `Packet` is empty.
struct SendSteer {
  Endpoint To;
  SteerMessage Body;
  PacketBytes Packet;
};

/// Delivers a caller's packet to the upstream, which returns it with this tag
/// if it does not own the flow.
struct ForwardToUpstream {
  PacketBytes Packet;
  std::uint32_t Tag = 0;
};

/// Sends a packet from the upstream to its caller.
struct ForwardToCaller {
  Endpoint Caller;
  PacketBytes Packet;
};

/// Notifies the caller that its opening was refused and not run.
struct RejectOpening {
  FlowKey Flow;
};

/// Notifies the caller that no upstream holds its open flow. This promises
/// nothing about its requests.
struct ResetFlow {
  FlowKey Flow;
  /// The last sequence number that the caller has acknowledged.
  std::uint32_t Sequence = 0;
};

/// Logs and counts a decision with its inputs.
struct RecordDecision {
  Decision Kind = Decision::OpeningSent;
  FlowKey Flow;
  /// The agent that the decision concerns, or 0.
  std::uint32_t Agent = 0;
  std::uint32_t Load = 0;
  std::uint32_t Slots = 0;
  std::uint32_t Hops = 0;
  /// The class of the opening's route.
  std::uint32_t Class = 0;
  /// The age of the deciding input, such as the time since the last reply.
  Duration Age{};
};

/// Adds a duration to the process's latency histogram.
struct ObserveLatency {
  Duration Value{};
};

/// Any action. Packet bytes are valid until the next call into the logic or
/// until the input buffer is reused.
using SteerAction =
    std::variant<SendSteer, ForwardToUpstream, ForwardToCaller, RejectOpening,
                 ResetFlow, RecordDecision, ObserveLatency>;

/// The list that decision logic appends to; the process clears and reuses it.
using SteerActionList = std::vector<SteerAction>;

} // namespace mulberryhoist

#endif // MULBERRYHOIST_STEER_ACTIONS_H
