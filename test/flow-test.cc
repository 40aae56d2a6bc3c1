#include "mulberryhoist/flow.h"

#include <gtest/gtest.h>

namespace mulberryhoist {
namespace {

constexpr Endpoint Caller{0x7F090001, 4000};
constexpr Endpoint Service{0x7F010001, 80};

struct TransitionRow {
  FlowState From;
  FlowEvent Event;
  FlowState To;
};

class TransitionTest : public testing::TestWithParam<TransitionRow> {};

// Guards against transitions lost when the state machine is converted to an
// array, and against events that take effect in a state without a transition
// for them.
TEST_P(TransitionTest, MatchesStateMachine) {
  EXPECT_EQ(nextFlowState(GetParam().From, GetParam().Event), GetParam().To);
}

INSTANTIATE_TEST_SUITE_P(
    Rows, TransitionTest,
    testing::Values(
        TransitionRow{FlowState::Queued, FlowEvent::SlotGranted,
                      FlowState::HalfOpen},
        TransitionRow{FlowState::HalfOpen, FlowEvent::UpstreamAnswered,
                      FlowState::Answered},
        TransitionRow{FlowState::HalfOpen, FlowEvent::CallerAcknowledged,
                      FlowState::HalfOpen},
        TransitionRow{FlowState::Answered, FlowEvent::CallerAcknowledged,
                      FlowState::Established},
        TransitionRow{FlowState::Adopted, FlowEvent::CallerAcknowledged,
                      FlowState::Adopted},
        TransitionRow{FlowState::Established, FlowEvent::BothFinished,
                      FlowState::Closing},
        TransitionRow{FlowState::Answered, FlowEvent::BothFinished,
                      FlowState::Answered},
        TransitionRow{FlowState::Closing, FlowEvent::Terminated,
                      FlowState::Ended},
        TransitionRow{FlowState::Ended, FlowEvent::SlotGranted,
                      FlowState::Ended}));

struct WrapRow {
  std::uint32_t CallerInitial;
  std::uint32_t UpstreamInitial;
};

class WrapTest : public testing::TestWithParam<WrapRow> {};

// Guards against flows that break when their sequence numbers wrap around.
TEST_P(WrapTest, MatchesAcrossWrapAround) {
  PacketView Opening{Caller, Service, GetParam().CallerInitial, 0, {}, {}};
  Opening.Flags.Syn = true;
  FlowRecord Flow = makeOpeningRecord(Opening, {1}, {});
  Flow.State = FlowState::HalfOpen;
  const std::uint32_t CallerNext = GetParam().CallerInitial + 1;
  PacketView SynAck{Service,    Caller, GetParam().UpstreamInitial,
                    CallerNext, {},     {}};
  SynAck.Flags.Syn = SynAck.Flags.Ack = true;
  recordUpstreamPacket(Flow, SynAck, {});
  std::uint32_t Next = GetParam().UpstreamInitial + 1;
  EXPECT_TRUE(matchesFlow(Flow, {CallerNext, Next}));
  EXPECT_FALSE(matchesFlow(Flow, {CallerNext, Next - 1}));
  PacketView Ack{Caller, Service, CallerNext, Next, {}, {}};
  Ack.Flags.Ack = true;
  recordCallerPacket(Flow, Ack, {});
  const std::vector<std::uint8_t> Payload(1000);
  for (int I = 0; I < 10; ++I) {
    PacketView Data{Service, Caller, Next, CallerNext, {}, Payload};
    Data.Flags.Ack = true;
    recordUpstreamPacket(Flow, Data, {});
    Next = Data.nextSequence();
    EXPECT_TRUE(matchesFlow(Flow, {CallerNext, Next}));
    EXPECT_TRUE(
        matchesFlow(Flow, {CallerNext, GetParam().UpstreamInitial + 1}));
    EXPECT_FALSE(matchesFlow(Flow, {CallerNext, Next + 1}));
    EXPECT_TRUE(Flow.hasUnacknowledgedResponse());
  }
}

INSTANTIATE_TEST_SUITE_P(Initials, WrapTest,
                         testing::Values(WrapRow{100, 200},
                                         WrapRow{0xFFFFFFFF, 0xFFFFFFFE},
                                         WrapRow{0x7FFFFFFF, 0xFFFFF000}));

// Guards against a challenge with an invalid checksum, which the caller's TCP
// drops, and against one that acknowledges bytes the upstream has not received.
TEST(ChallengeTest, IsAValidPacket) {
  FlowRecord Flow;
  Flow.UpstreamNext = 0x12345678;
  Flow.CallerNext = 0x9ABCDEF0;
  Flow.UpstreamAcknowledged = 0x9ABCDE00;
  const ControlPacket Bytes = makeChallenge({Caller, Service}, Flow);
  const auto View = parsePacket(Bytes);
  ASSERT_TRUE(View);
  EXPECT_EQ(View->Sequence, Flow.UpstreamNext);
  EXPECT_EQ(View->Acknowledgment, Flow.UpstreamAcknowledged);
  EXPECT_TRUE(View->Flags.Ack);
  EXPECT_FALSE(View->Flags.Rst);
  // With a correct checksum, the sum over pseudo header and segment is 0xFFFF.
  std::uint32_t Sum = 6 + 20;
  for (std::size_t I = 12; I < Bytes.size(); I += 2) {
    Sum += (std::uint32_t{Bytes[I]} << 8U) | Bytes[I + 1];
  }
  EXPECT_EQ((Sum & 0xFFFFU) + (Sum >> 16U), 0xFFFFU);
}

} // namespace
} // namespace mulberryhoist
