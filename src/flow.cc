#include "mulberryhoist/flow.h"

#include <algorithm>

#include "transitions.h"

namespace mulberryhoist {
namespace {

using boost::msm::front::Row;
using detail::Enter;
using detail::Occur;
using detail::Start;
using detail::StateOf;

/// The largest window that TCP allows (RFC 7323); a packet further away from
/// the expected numbers belongs to another incarnation.
constexpr std::uint32_t MaxWindow = 1U << 30U;

/// The window for adopted flows, whose initial numbers are unknown: larger than
/// the data in flight in practice, and small enough to distinguish
/// incarnations.
constexpr std::uint32_t AdoptedWindow = 1U << 26U;

struct FlowDefinition : detail::MachineDefinition<FlowDefinition, FlowState> {
  using Queued = StateOf<FlowState::Queued>;
  using HalfOpen = StateOf<FlowState::HalfOpen>;
  using Answered = StateOf<FlowState::Answered>;
  using Established = StateOf<FlowState::Established>;
  using Adopted = StateOf<FlowState::Adopted>;
  using Closing = StateOf<FlowState::Closing>;
  using Ended = StateOf<FlowState::Ended>;
  using SlotGranted = Occur<FlowEvent::SlotGranted>;
  using UpstreamAnswered = Occur<FlowEvent::UpstreamAnswered>;
  using CallerAcknowledged = Occur<FlowEvent::CallerAcknowledged>;
  using BothFinished = Occur<FlowEvent::BothFinished>;
  using Terminated = Occur<FlowEvent::Terminated>;

  // clang-format off
  // NOLINTNEXTLINE(readability-identifier-naming): Boost.MSM reads this name.
  struct transition_table : boost::mpl::vector<
      Row<Start, Enter<FlowState::Queued>, Queued>,
      Row<Start, Enter<FlowState::HalfOpen>, HalfOpen>,
      Row<Start, Enter<FlowState::Answered>, Answered>,
      Row<Start, Enter<FlowState::Established>, Established>,
      Row<Start, Enter<FlowState::Adopted>, Adopted>,
      Row<Start, Enter<FlowState::Closing>, Closing>,
      Row<Start, Enter<FlowState::Ended>, Ended>,
      Row<Queued, SlotGranted, HalfOpen>,
      Row<Queued, Terminated, Ended>,
      Row<HalfOpen, UpstreamAnswered, Answered>,
      Row<HalfOpen, Terminated, Ended>,
      Row<Answered, CallerAcknowledged, Established>,
      Row<Answered, Terminated, Ended>,
      Row<Established, BothFinished, Closing>,
      Row<Established, Terminated, Ended>,
      Row<Adopted, BothFinished, Closing>,
      Row<Adopted, Terminated, Ended>,
      Row<Closing, Terminated, Ended>> {};
  // clang-format on
};

void advance(FlowRecord &Flow, FlowEvent Event) {
  Flow.State = nextFlowState(Flow.State, Event);
}

bool isWithin(std::uint32_t Value, std::uint32_t Reference,
              std::uint32_t Window) {
  return Value - Reference < Window || Reference - Value < Window;
}

} // namespace

FlowState nextFlowState(FlowState State, FlowEvent Event) {
  static const auto Transitions =
      detail::makeTransitions<FlowDefinition, FlowState, FlowStateCount,
                              FlowEvent, FlowEventCount>();
  return Transitions[static_cast<std::size_t>(State)]
                    [static_cast<std::size_t>(Event)];
}

std::string_view flowStateName(FlowState State) {
  constexpr std::array<std::string_view, FlowStateCount> Names = {
      "queued",  "half_open", "answered", "established",
      "adopted", "closing",   "ended"};
  return Names[static_cast<std::size_t>(State)];
}

SequenceNumbers sequenceNumbersOf(const PacketView &Packet) {
  return {Packet.Sequence, Packet.Flags.Ack ? Packet.Acknowledgment : 0};
}

bool FlowRecord::hasUnacknowledgedResponse() const {
  return this->UpstreamNumbersKnown && this->CallerNumbersKnown &&
         sequenceBefore(this->CallerAcknowledged, this->UpstreamNext);
}

FlowRecord makeOpeningRecord(const PacketView &Opening, ServiceId Service,
                             Instant Now) {
  FlowRecord Flow;
  Flow.Service = Service;
  Flow.Initial = Opening.Sequence;
  Flow.Accepted = Now;
  Flow.LastCallerPacket = Now;
  Flow.LastPacket = Now;
  Flow.CallerNext = Opening.nextSequence();
  Flow.UpstreamAcknowledged = Flow.CallerNext;
  Flow.CallerNumbersKnown = true;
  return Flow;
}

FlowRecord makeAdoptedRecord(ServiceId Service, Instant Now) {
  FlowRecord Flow;
  Flow.State = FlowState::Adopted;
  Flow.Service = Service;
  Flow.Accepted = Now;
  Flow.LastCallerPacket = Now;
  Flow.LastPacket = Now;
  Flow.AcknowledgmentWindow = MaxWindow;
  return Flow;
}

bool matchesFlow(const FlowRecord &Flow, SequenceNumbers Numbers) {
  const bool IsAdopted = Flow.State == FlowState::Adopted;
  const std::uint32_t Window = IsAdopted ? AdoptedWindow : MaxWindow;
  const bool SequenceFits = !Flow.CallerNumbersKnown ||
                            isWithin(Numbers.Sequence, Flow.CallerNext, Window);
  if (Flow.State == FlowState::Queued || Flow.State == FlowState::Ended) {
    return false;
  }
  if (Numbers.Acknowledgment == 0) {
    return Flow.isHalfOpen() ? Numbers.Sequence == Flow.CallerNext
                             : SequenceFits;
  }
  if (IsAdopted || Flow.AcknowledgmentWindow == MaxWindow) {
    // The first segment seen after a restart may be a retransmission, so the
    // numbers may lie on either side of it; the upstream's TCP checks them.
    return SequenceFits &&
           (!Flow.UpstreamNumbersKnown ||
            isWithin(Numbers.Acknowledgment, Flow.UpstreamNext, Window));
  }
  return SequenceFits && Flow.UpstreamNumbersKnown &&
         Flow.UpstreamNext - Numbers.Acknowledgment < Flow.AcknowledgmentWindow;
}

RequestEvent recordCallerPacket(FlowRecord &Flow, const PacketView &Packet,
                                Instant Now) {
  Flow.LastCallerPacket = Now;
  Flow.LastPacket = Now;
  if (Packet.Flags.Rst) {
    // Only a reset with the exact sequence number is certain to end the flow at
    // the upstream; the upstream's TCP responds to any other with a challenge
    // ACK (RFC 5961).
    if (!Flow.CallerNumbersKnown || Packet.Sequence == Flow.CallerNext ||
        Packet.Sequence == Flow.UpstreamAcknowledged) {
      advance(Flow, FlowEvent::Terminated);
    }
    return RequestEvent::None;
  }
  if (Packet.Flags.Ack) {
    if (!Flow.CallerNumbersKnown ||
        sequenceBefore(Flow.CallerAcknowledged, Packet.Acknowledgment) ||
        Flow.State == FlowState::Answered) {
      Flow.CallerAcknowledged = Packet.Acknowledgment;
    }
    advance(Flow, FlowEvent::CallerAcknowledged);
  }
  const std::uint32_t Next = Packet.nextSequence();
  const bool IsNew =
      !Flow.CallerNumbersKnown || sequenceBefore(Flow.CallerNext, Next);
  if (IsNew) {
    Flow.CallerNext = Next;
    Flow.CallerNumbersKnown = true;
  }
  if (Packet.Flags.Fin) {
    Flow.CallerFinished = true;
  }
  if (Flow.CallerFinished && Flow.UpstreamFinished) {
    advance(Flow, FlowEvent::BothFinished);
  }
  const bool Begins = IsNew && !Packet.Payload.empty();
  if (!Begins) {
    return RequestEvent::None;
  }
  Flow.RequestSeen = true;
  return RequestEvent::Began;
}

RequestEvent recordUpstreamPacket(FlowRecord &Flow, const PacketView &Packet,
                                  Instant Now) {
  Flow.LastPacket = Now;
  if (Packet.Flags.Rst) {
    advance(Flow, FlowEvent::Terminated);
    return RequestEvent::Ended;
  }
  if (Packet.Flags.Ack &&
      (!Flow.UpstreamNumbersKnown ||
       sequenceBefore(Flow.UpstreamAcknowledged, Packet.Acknowledgment))) {
    Flow.UpstreamAcknowledged = Packet.Acknowledgment;
  }
  const std::uint32_t Next = Packet.nextSequence();
  if (Packet.Flags.Syn) {
    // Until the caller has acknowledged a SYN-ACK, the latest one is valid: an
    // upstream that restarted has state for that one only.
    if (Flow.isHalfOpen()) {
      Flow.UpstreamInitial = Packet.Sequence;
      Flow.UpstreamNext = Next;
      Flow.CallerAcknowledged = Packet.Sequence;
      Flow.UnacknowledgedSince = Now;
      Flow.AcknowledgmentWindow = 1;
      Flow.UpstreamNumbersKnown = true;
      advance(Flow, FlowEvent::UpstreamAnswered);
    }
    return RequestEvent::None;
  }
  const bool IsNew =
      !Flow.UpstreamNumbersKnown || sequenceBefore(Flow.UpstreamNext, Next);
  if (IsNew) {
    if (!Flow.hasUnacknowledgedResponse()) {
      Flow.UnacknowledgedSince = Now;
    }
    const std::uint32_t Added =
        Flow.UpstreamNumbersKnown ? Next - Flow.UpstreamNext : 0;
    Flow.AcknowledgmentWindow =
        std::min(MaxWindow, Flow.AcknowledgmentWindow + Added);
    if (!Flow.CallerNumbersKnown && Packet.Flags.Ack) {
      Flow.CallerNext = Packet.Acknowledgment;
      Flow.CallerNumbersKnown = true;
      Flow.CallerAcknowledged = Packet.Sequence;
    }
    Flow.UpstreamNext = Next;
    Flow.UpstreamNumbersKnown = true;
  }
  if (Packet.Flags.Fin) {
    Flow.UpstreamFinished = true;
  }
  if (Flow.CallerFinished && Flow.UpstreamFinished) {
    advance(Flow, FlowEvent::BothFinished);
  }
  const bool EndsRequest = IsNew && (Packet.Flags.Psh || Packet.Flags.Fin);
  return EndsRequest ? RequestEvent::Ended : RequestEvent::None;
}

ControlPacket makeChallenge(const FlowKey &Key, const FlowRecord &Flow) {
  const std::uint32_t Acknowledged =
      Flow.isUnconfirmed() ? Flow.CallerNext : Flow.UpstreamAcknowledged;
  return makeAcknowledgment(Key.Service, Key.Caller, Flow.UpstreamNext,
                            Acknowledged);
}

} // namespace mulberryhoist
