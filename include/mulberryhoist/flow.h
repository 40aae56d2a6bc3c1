/// \file
/// The record of one flow at its owner: its state, the sequence numbers that
/// tell its packets from those of other incarnations, and its request.

#ifndef MULBERRYHOIST_FLOW_H
#define MULBERRYHOIST_FLOW_H

#include <optional>
#include <string_view>

#include "mulberryhoist/packet.h"
#include "mulberryhoist/types.h"

namespace mulberryhoist {

/// The states of a flow at its owner.
enum class FlowState : std::uint8_t {
  Queued,      ///< Accepted; the opening waits for a slot.
  HalfOpen,    ///< The opening was delivered to the upstream.
  Answered,    ///< The upstream sent its SYN-ACK.
  Established, ///< The caller acknowledged the SYN-ACK.
  Adopted,     ///< Taken over after a restart, without its handshake.
  Closing,     ///< Both ends sent FIN.
  Ended,       ///< Reset, refused or expired.
};

/// Number of members of `FlowState`.
inline constexpr std::size_t FlowStateCount = 7;

/// What happens to a flow.
enum class FlowEvent : std::uint8_t {
  SlotGranted,
  UpstreamAnswered,
  CallerAcknowledged,
  BothFinished,
  Terminated,
};

/// Number of members of `FlowEvent`.
inline constexpr std::size_t FlowEventCount = 5;

/// Returns the state after an event; an event that means nothing in a state
/// leaves it as it is.
FlowState nextFlowState(FlowState State, FlowEvent Event);

/// Returns the name of a state as it appears in dumps and metrics.
std::string_view flowStateName(FlowState State);

/// The part of a caller's packet that tells which incarnation it belongs to.
struct PacketNumbers {
  std::uint32_t Sequence = 0;
  /// 0 for a reset without acknowledgment.
  std::uint32_t Acknowledgment = 0;
};

/// Returns the numbers of a caller's packet.
PacketNumbers numbersOf(const PacketView &Packet);

/// One flow of the upstream beside the agent.
struct FlowRecord {
  FlowState State = FlowState::Queued;
  ServiceId Service;
  /// 0 for an adopted flow.
  Incarnation Initial = 0;
  Instant Accepted;
  Instant LastCaller;
  Instant LastPacket;
  /// When the oldest answer bytes that are not acknowledged were sent.
  Instant UnacknowledgedSince;

  std::uint32_t CallerNext = 0;
  std::uint32_t CallerAcknowledged = 0;
  std::uint32_t UpstreamNext = 0;
  /// What the upstream has acknowledged. Bytes before `CallerNext` may still be
  /// missing there, so they must not be acknowledged in its name.
  std::uint32_t UpstreamAcknowledged = 0;
  /// The upstream's initial sequence number, if the handshake was seen.
  std::uint32_t UpstreamInitial = 0;
  /// How far below `UpstreamNext` an acknowledgment may be, so that numbers
  /// before the upstream's initial one do not fit.
  std::uint32_t UpstreamSpan = 0;
  bool CallerKnown = false;
  bool UpstreamKnown = false;

  /// True while the flow holds a slot.
  bool Working = false;
  /// True once a request began.
  bool RequestSeen = false;
  bool CallerFinished = false;
  bool UpstreamFinished = false;

  /// Until then a reset by the upstream means that it does not know the flow.
  std::optional<Instant> ProbationEnd;
  /// Who sent the packet with which the flow was adopted; empty if this agent
  /// is the coordinator itself.
  std::optional<Endpoint> AdoptedFrom;

  /// True for an adopted flow until its upstream has sent a segment: the
  /// upstream may not know the flow, or even serve another service.
  bool isUnconfirmed() const {
    return this->State == FlowState::Adopted && !this->UpstreamKnown;
  }

  bool isHalfOpen() const {
    return this->State == FlowState::HalfOpen ||
           this->State == FlowState::Answered;
  }

  /// True if answer bytes were sent that the caller has not acknowledged.
  bool hasUnacknowledgedAnswer() const;
};

/// Makes the record of an opening.
FlowRecord makeOpeningRecord(const PacketView &Opening, ServiceId Service,
                             Instant Now);

/// Makes the record of a flow whose handshake this agent has not seen.
FlowRecord makeAdoptedRecord(ServiceId Service, Instant Now);

/// True if a caller's packet belongs to this incarnation.
///
/// A half-open flow fits only if the packet acknowledges its SYN-ACK, so that
/// of two half-open copies only one ever gets payload.
bool matchesFlow(const FlowRecord &Flow, PacketNumbers Numbers);

/// What a packet meant for the flow's request.
enum class RequestEvent : std::uint8_t { None, Began, Ended };

/// Records a caller's packet that fits.
RequestEvent recordCallerPacket(FlowRecord &Flow, const PacketView &Packet,
                                Instant Now);

/// Records a packet of the upstream.
RequestEvent recordUpstreamPacket(FlowRecord &Flow, const PacketView &Packet,
                                  Instant Now);

/// Builds the acknowledgment that answers an opening for an established flow
/// (RFC 9293, 3.10.7.4).
///
/// A caller that knows the flow ignores it; one that has lost the flow answers
/// with the reset that ends it, and its repeated opening then succeeds.
ControlPacket makeChallenge(const FlowKey &Key, const FlowRecord &Flow);

} // namespace mulberryhoist

#endif // MULBERRYHOIST_FLOW_H
