/// \file
/// What the decision logic of the steered path asks the process to do.

#ifndef MULBERRYHOIST_STEER_ACTIONS_H
#define MULBERRYHOIST_STEER_ACTIONS_H

#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

#include "mulberryhoist/error.h"
#include "mulberryhoist/steer-wire.h"

namespace mulberryhoist {

/// Every decision that touches a flow or changes what a process believes.
enum class Decision : std::uint8_t {
  OpeningSent,        ///< A balancer sent an opening to the first candidate.
  OpeningRepeated,    ///< The caller's copy went to the agent that took it.
  OpeningResent,      ///< No agent answered in time, others are asked.
  OwnerLearned,       ///< An agent reported that it holds the flow.
  RefusalLearned,     ///< An agent reported that it refused the opening.
  OwnerSought,        ///< The balancer does not know who holds the flow.
  RefusedNoRoute,     ///< No route has the address.
  RefusedNoUpstream,  ///< The service has no upstream that takes new flows.
  PacketWithoutRoute, ///< No route and no known owner.
  OpeningTaken,       ///< An agent handed the opening to its upstream.
  OpeningPassedOn,    ///< The upstream is busy, silent or leaving.
  OpeningReturned,    ///< The upstream could not accept the opening.
  OpeningHeld,        ///< The opening waits for a free slot.
  OpeningRefused,     ///< No candidate can serve the opening in time.
  OpeningDropped,     ///< The agent leaves and there is no other candidate.
  PacketReturned,     ///< The upstream does not hold the flow.
  OwnerNotFound,      ///< No candidate holds the flow.
  WrongService,       ///< The packet is for another service.
  AgentSuspected,     ///< An agent does not answer.
  AgentLeaving,       ///< An agent takes no new flows.
  AgentRegained,      ///< An agent answers again.
  UpstreamSilent,     ///< The upstream does not answer openings.
  UpstreamAnswers,    ///< The upstream answers again.
  PauseNoticed,       ///< The process did not run for a while.
};

/// Number of members of `Decision`.
inline constexpr std::size_t DecisionCount = 24;

/// Returns the name of a decision as it appears in logs and metrics.
std::string_view decisionName(Decision Kind);

/// Send a message, with a packet if there is one.
struct SendSteer {
  Endpoint To;
  SteerMessage Body;
  PacketBytes Packet;
};

/// Hand a caller's packet to the upstream, which returns it with this tag if it
/// does not hold the flow.
struct ForwardToUpstream {
  PacketBytes Packet;
  std::uint32_t Tag = 0;
};

/// Send a packet of the upstream to its caller.
struct ForwardToCaller {
  Endpoint Caller;
  PacketBytes Packet;
};

/// Tell the caller that its opening was not run.
struct RejectOpening {
  FlowKey Flow;
};

/// Log and count a decision with the inputs that led to it.
struct RecordDecision {
  Decision Kind = Decision::OpeningSent;
  FlowKey Flow;
  /// The agent that the decision is about, or 0.
  std::uint32_t Agent = 0;
  std::uint32_t Load = 0;
  std::uint32_t Slots = 0;
  std::uint32_t Hops = 0;
  /// The age of the input that decided, for example since the last answer.
  Duration Age{};
};

/// Add a measured time to the process's latency histogram.
struct ObserveLatency {
  Duration Value{};
};

/// Any action. Packet bytes stay valid until the next call into the logic or
/// until the input buffer is reused.
using SteerAction = std::variant<SendSteer, ForwardToUpstream, ForwardToCaller,
                                 RejectOpening, RecordDecision, ObserveLatency>;

/// The list that decision logic appends to; the process clears and reuses it.
using SteerActionList = std::vector<SteerAction>;

} // namespace mulberryhoist

#endif // MULBERRYHOIST_STEER_ACTIONS_H
