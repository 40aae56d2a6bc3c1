/// \file
/// The record of one flow at its owner: its state, its request, and the
/// sequence numbers that distinguish its packets from those of other
/// incarnations.

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
  Adopted,     ///< Taken over after a restart; handshake not seen.
  Closing,     ///< Both ends sent FIN.
  Ended,       ///< Reset, refused or expired.
};

/// Number of members of `FlowState`.
inline constexpr std::size_t FlowStateCount = 7;

/// The events that change the state of a flow.
enum class FlowEvent : std::uint8_t {
  SlotGranted,
  UpstreamAnswered,
  CallerAcknowledged,
  BothFinished,
  Terminated,
};

/// Number of members of `FlowEvent`.
inline constexpr std::size_t FlowEventCount = 5;

/// Returns the state after an event; an event without a transition from `State`
/// leaves it unchanged.
FlowState nextFlowState(FlowState State, FlowEvent Event);

/// Returns the name of a state as it appears in dumps and metrics.
std::string_view flowStateName(FlowState State);

/// The sequence numbers of a caller's packet, which identify the incarnation
/// that it belongs to.
struct SequenceNumbers {
  std::uint32_t Sequence = 0;
  /// 0 for a reset without acknowledgment.
  std::uint32_t Acknowledgment = 0;
};

/// Returns the sequence numbers of a caller's packet.
SequenceNumbers sequenceNumbersOf(const PacketView &Packet);

/// A flow of the upstream served by this agent.
struct FlowRecord {
  FlowState State = FlowState::Queued;
  ServiceId Service;
  /// 0 for an adopted flow.
  Incarnation Initial = 0;
  Instant Accepted;
  Instant LastCallerPacket;
  Instant LastPacket;
  /// When the oldest unacknowledged response bytes were sent.
  Instant UnacknowledgedSince;

  std::uint32_t CallerNext = 0;
  std::uint32_t CallerAcknowledged = 0;
  std::uint32_t UpstreamNext = 0;
  /// The last acknowledgment of the upstream. Bytes between it and `CallerNext`
  /// may not have reached the upstream, so the agent must not acknowledge them
  /// on its behalf.
  std::uint32_t UpstreamAcknowledged = 0;
  /// The upstream's initial sequence number, if the handshake was seen.
  std::uint32_t UpstreamInitial = 0;
  /// How far below `UpstreamNext` an acknowledgment may be, so that numbers
  /// before the upstream's initial one do not match.
  std::uint32_t AcknowledgmentWindow = 0;
  bool CallerNumbersKnown = false;
  bool UpstreamNumbersKnown = false;

  /// True while the flow holds a slot.
  bool Working = false;
  /// True once a request has begun.
  bool RequestSeen = false;
  bool CallerFinished = false;
  bool UpstreamFinished = false;

  /// Until this time a reset by the upstream means that it does not have the
  /// flow.
  std::optional<Instant> ProbationEnd;
  /// The sender of the packet with which the flow was adopted; empty if this
  /// agent is the coordinator.
  std::optional<Endpoint> AdoptedFrom;

  /// Returns true for an adopted flow until its upstream has sent a segment:
  /// the upstream may not have the flow, or may serve another service.
  bool isUnconfirmed() const {
    return this->State == FlowState::Adopted && !this->UpstreamNumbersKnown;
  }

  bool isHalfOpen() const {
    return this->State == FlowState::HalfOpen ||
           this->State == FlowState::Answered;
  }

  /// Returns true if the caller has not acknowledged all response bytes.
  bool hasUnacknowledgedResponse() const;
};

/// Creates the record of an opening.
FlowRecord makeOpeningRecord(const PacketView &Opening, ServiceId Service,
                             Instant Now);

/// Creates the record of a flow whose handshake this agent has not seen.
FlowRecord makeAdoptedRecord(ServiceId Service, Instant Now);

/// Returns true if a caller's packet belongs to this incarnation.
///
/// A half-open flow matches only a packet that acknowledges its SYN-ACK, so
/// that of two half-open records of the same opening only one ever receives
/// payload.
bool matchesFlow(const FlowRecord &Flow, SequenceNumbers Numbers);

/// The effect of a packet on the request of its flow.
enum class RequestEvent : std::uint8_t { None, Began, Ended };

/// Records a caller's packet that `matchesFlow` accepted.
RequestEvent recordCallerPacket(FlowRecord &Flow, const PacketView &Packet,
                                Instant Now);

/// Records a packet of the upstream.
RequestEvent recordUpstreamPacket(FlowRecord &Flow, const PacketView &Packet,
                                  Instant Now);

/// Builds the acknowledgment that responds to a SYN for an established flow
/// (RFC 9293, 3.10.7.4).
///
/// A caller that still has the connection ignores it. One that has lost it
/// responds with a reset, which ends the flow, so that its retransmitted SYN
/// succeeds.
ControlPacket makeChallenge(const FlowKey &Key, const FlowRecord &Flow);

} // namespace mulberryhoist

#endif // MULBERRYHOIST_FLOW_H
