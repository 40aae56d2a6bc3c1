#include "mulberryhoist/agent.h"

#include "agent-harness.h"
#include "allocation-counter.h"

namespace mulberryhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Harness = AgentHarness;

constexpr std::uint32_t Isn = Harness::Isn;
constexpr std::uint32_t Up = Harness::UpstreamIsn;

struct DeclineRow {
  const char *Name;
  DeclineReason Reason;
  void (*Prepare)(Harness &);
  Arrival When = Arrival::Fresh;
};

class DeclineTest : public testing::TestWithParam<DeclineRow> {};

// Guards against work for a wrong service, a full, a leaving or an outdated
// agent, and against a declined opening that runs later (G2, G4, G6).
TEST_P(DeclineTest, AskedOpeningIsDeclinedAndRemembered) {
  Harness Test;
  GetParam().Prepare(Test);
  Test.fromCaller({"S", Isn}, true, false, GetParam().When);
  EXPECT_EQ(Test.count<DeliverToUpstream>(), 0U);
  ASSERT_EQ(Test.sent<Decline>().size(), 1U);
  EXPECT_EQ(Test.sent<Decline>()[0].Reason, GetParam().Reason);
  // The cause is gone, but the late copy must still not run.
  Test.Header.Service = serviceId("orders");
  Test.Agent.onLeaving(false);
  Test.setTable(Harness::tableText("100", "100", "1000"), 9);
  Test.tick(RefusalRetention - seconds(1));
  Test.fromCaller({"S", Isn}, true);
  ASSERT_EQ(Test.sent<Decline>().size(), 1U);
  EXPECT_EQ(Test.sent<Decline>()[0].Reason, DeclineReason::AlreadyRefused);
}

INSTANTIATE_TEST_SUITE_P(
    Causes, DeclineTest,
    testing::Values(
        DeclineRow{
            "service", DeclineReason::WrongService,
            [](Harness &Test) { Test.Header.Service = serviceId("prints"); }},
        DeclineRow{"weight", DeclineReason::Draining,
                   [](Harness &Test) {
                     Test.setTable(Harness::tableText("0", "100"), 2);
                   }},
        DeclineRow{"leaving", DeclineReason::Draining,
                   [](Harness &Test) { Test.Agent.onLeaving(true); }},
        DeclineRow{"pause", DeclineReason::Stale, [](Harness & /*Test*/) {},
                   Arrival::BeforePause},
        DeclineRow{"full", DeclineReason::Full,
                   [](Harness &Test) {
                     for (std::uint16_t Port = 1; Port <= 18; ++Port) {
                       Test.addBusyFlow(Port);
                     }
                   }}),
    [](const auto &Info) { return Info.param.Name; });

struct GateRow {
  const char *Name;
  FlowState State;
  TestPacket Packet;
  bool Delivered;
};

class GateTest : public testing::TestWithParam<GateRow> {};

// Guards against payload that reaches an upstream of another half-open copy or
// of another incarnation (G5), and against legitimate packets being held back.
TEST_P(GateTest, PayloadNeedsTheAcknowledgmentOfThisUpstream) {
  Harness Test;
  Test.openTo(GetParam().State);
  Test.fromCaller(GetParam().Packet, true);
  EXPECT_EQ(Test.count<DeliverToUpstream>(), GetParam().Delivered ? 1U : 0U);
  EXPECT_EQ(Test.sent<NotOwner>().size(), GetParam().Delivered ? 0U : 1U);
}

INSTANTIATE_TEST_SUITE_P(
    Packets, GateTest,
    testing::Values(
        GateRow{"before_answer",
                FlowState::HalfOpen,
                {"AP", Isn + 1, Up + 1, "x"},
                false},
        GateRow{"other_answer",
                FlowState::Answered,
                {"AP", Isn + 1, Up + 2, "x"},
                false},
        GateRow{"initial_only",
                FlowState::Answered,
                {"AP", Isn + 1, Up, "x"},
                false},
        GateRow{"acknowledged",
                FlowState::Answered,
                {"AP", Isn + 1, Up + 1, "x"},
                true},
        GateRow{"established",
                FlowState::Established,
                {"AP", Isn + 1, Up + 1, "x"},
                true},
        GateRow{"never_sent",
                FlowState::Established,
                {"AP", Isn + 1, Up + 9, "x"},
                false},
        GateRow{"old_sequence",
                FlowState::Established,
                {"AP", Isn + 0x70000000, Up + 1, "x"},
                false},
        GateRow{"keep_alive", FlowState::Established, {"A", Isn, Up + 1}, true},
        GateRow{"reset", FlowState::Established, {"R", Isn + 1}, true}),
    [](const auto &Info) { return Info.param.Name; });

// Guards against an opening with payload: it would run before the handshake.
TEST(AgentTest, RejectsOpeningWithPayload) {
  Harness Test;
  Test.fromCaller({"S", Isn, 0, "order"});
  EXPECT_EQ(Test.count<ReportError>(), 1U);
  EXPECT_EQ(Test.Out.size(), 1U);
}

// Guards against a second run of a repeated opening, and against a repeated
// opening that gets another answer than the first.
TEST(AgentTest, RepeatsTheOutcomeToDuplicates) {
  Harness Test;
  Test.fromCaller({"S", Isn});
  EXPECT_EQ(Test.count<DeliverToUpstream>(), 1U);
  Test.fromCaller({"S", Isn});
  EXPECT_EQ(Test.count<DeliverToUpstream>(), 1U);
  EXPECT_EQ(Test.counters().Accepted, 1U);
  EXPECT_EQ(Test.Agent.status(Test.Now).Busy, 1U);
}

/// Lets the coordinator u1 coordinate an opening while it is busy itself.
void beginBusyOpening(Harness &Test) {
  Test.addBusyFlow(1);
  Test.fromCaller({"S", Isn});
}

void answerQuery(Harness &Test, std::uint64_t Query, const char *Name,
                 std::uint32_t Load, bool Room = true) {
  Test.fromPeer(LoadReply{Query, upstreamId(Name), Load, Room, false});
}

struct PlacementRow {
  const char *Name;
  std::uint32_t FirstLoad;
  std::uint32_t SecondLoad;
  const char *Expected;
};

class PlacementTest : public testing::TestWithParam<PlacementRow> {};

// Guards against an opening that goes to a more loaded upstream (imbalance).
TEST_P(PlacementTest, LeastLoadedTakesTheOpening) {
  Harness Test;
  beginBusyOpening(Test);
  const auto Queries = Test.sent<LoadQuery>();
  ASSERT_EQ(Queries.size(), 2U);
  answerQuery(Test, Queries[0].Query, "u2", GetParam().FirstLoad);
  EXPECT_TRUE(Test.Out.empty());
  answerQuery(Test, Queries[0].Query, "u3", GetParam().SecondLoad);
  if (std::string_view(GetParam().Expected) == "u1") {
    EXPECT_EQ(Test.count<DeliverToUpstream>(), 1U);
    return;
  }
  ASSERT_EQ(Test.sent<Forward>().size(), 1U);
  EXPECT_TRUE(Test.sent<Forward>()[0].Opening);
  Test.fromPeer(OwnerNotice{Test.flow(), upstreamId(GetParam().Expected)});
  Test.fromCaller({"AP", Isn + 1, 77, "x"});
  ASSERT_EQ(Test.sent<Forward>().size(), 1U);
  EXPECT_TRUE(Test.sent<Forward>()[0].Relayed);
}

INSTANTIATE_TEST_SUITE_P(Loads, PlacementTest,
                         testing::Values(PlacementRow{"tie", 10, 10, "u1"},
                                         PlacementRow{"first", 5, 9, "u2"},
                                         PlacementRow{"second", 9, 5, "u3"}),
                         [](const auto &Info) { return Info.param.Name; });

struct RefusalRow {
  const char *Name;
  bool Silent;
  std::size_t ExpectedRefusals;
};

class RefusalTest : public testing::TestWithParam<RefusalRow> {};

// Guards against "not run" while a silent candidate may have taken the flow
// (G4).
TEST_P(RefusalTest, RefusesOnlyAfterDefiniteDeclines) {
  Harness Test;
  Test.Agent.onLeaving(true);
  Test.fromCaller({"S", Isn});
  EXPECT_EQ(Test.sent<Decline>().size(), 1U);
  const std::uint64_t Query = Test.sent<LoadQuery>().at(0).Query;
  answerQuery(Test, Query, "u2", 0);
  answerQuery(Test, Query, "u3", 1);
  ASSERT_EQ(Test.sent<Forward>().size(), 1U);
  if (GetParam().Silent) {
    Test.tick(OpeningTimeout);
  } else {
    Test.fromPeer(Decline{Test.flow(), upstreamId("u2"), DeclineReason::Full});
  }
  ASSERT_EQ(Test.sent<Forward>().size(), 1U);
  Test.fromPeer(Decline{Test.flow(), upstreamId("u3"), DeclineReason::Full});
  EXPECT_EQ(Test.resets(ErrorKind::RefusedNotRun), GetParam().ExpectedRefusals);
  EXPECT_EQ(Test.counters().Unanswered, 1U - GetParam().ExpectedRefusals);
  Test.Agent.onLeaving(false);
  Test.fromCaller({"S", Isn});
  EXPECT_EQ(Test.resets(ErrorKind::RefusedNotRun), GetParam().ExpectedRefusals);
  EXPECT_EQ(Test.count<DeliverToUpstream>(), 1U - GetParam().ExpectedRefusals);
}

INSTANTIATE_TEST_SUITE_P(Answers, RefusalTest,
                         testing::Values(RefusalRow{"declined", false, 1},
                                         RefusalRow{"silent", true, 0}),
                         [](const auto &Info) { return Info.param.Name; });

// Guards against "not run" that is not remembered, so that a late copy runs.
TEST(AgentTest, FullRefusalStoreSaysNothing) {
  AgentCapacity Capacity;
  Capacity.Refusals = 0;
  Harness Test(seconds(200), Capacity);
  Test.Agent.onLeaving(true);
  Test.fromCaller({"S", Isn}, true);
  EXPECT_TRUE(Test.Out.empty());
}

// Guards against an established flow that is given up for a new one.
TEST(AgentTest, FullFlowStoreDeclines) {
  AgentCapacity Capacity;
  Capacity.Flows = 1;
  Harness Test(seconds(200), Capacity);
  Test.openTo(FlowState::Established);
  Test.addBusyFlow(1);
  EXPECT_EQ(Test.sent<Decline>().size(), 1U);
  Test.fromCaller({"AP", Isn + 1, Up + 1, "x"});
  EXPECT_EQ(Test.count<DeliverToUpstream>(), 1U);
}

// Guards against a queued opening that is neither served nor refused in time.
TEST(AgentTest, QueuedOpeningStartsOrIsRefusedTruthfully) {
  Harness Test;
  Test.openTo(FlowState::Established);
  Test.addBusyFlow(1);
  Test.addBusyFlow(2);
  Test.addBusyFlow(3);
  EXPECT_EQ(Test.count<DeliverToUpstream>(), 0U);
  EXPECT_EQ(Test.sent<OwnerNotice>().size(), 1U);
  Test.serve();
  EXPECT_EQ(Test.count<DeliverToUpstream>(), 1U);
  Test.tick(waitDeadline(1));
  EXPECT_EQ(Test.resets(ErrorKind::RefusedNotRun), 1U);
  EXPECT_EQ(Test.count<DeliverToUpstream>(), 0U);
}

// Guards against a broken flow when its address moves to another service, its
// row is removed or its upstream drains (G1).
TEST(AgentTest, EstablishedFlowSurvivesTableChanges) {
  Harness Test;
  Test.openTo(FlowState::Established);
  std::string Moved = Harness::tableText("0", "0");
  for (std::size_t At = Moved.find("orders"); At != std::string::npos;
       At = Moved.find("orders")) {
    Moved.replace(At, 6, "booths");
  }
  Test.setTable(Moved, 2);
  Test.Agent.onLeaving(true);
  Test.serve();
  EXPECT_EQ(Test.count<SendToCaller>(), 1U);
  Test.fromCaller({"AP", Isn + 8, Up + 7, "again"});
  EXPECT_EQ(Test.count<DeliverToUpstream>(), 1U);
}

// Guards against a late opening of an older incarnation that ends an
// established flow, and against a port that can never be used again.
TEST(AgentTest, NewIncarnationIsChallenged) {
  Harness Test;
  Test.openTo(FlowState::Established);
  Test.fromCaller({"S", 9000});
  ASSERT_EQ(Test.Out.size(), 1U);
  const auto Challenge =
      parsePacket(std::get<SendToCaller>(Test.Out[0]).Packet);
  ASSERT_TRUE(Challenge);
  EXPECT_TRUE(Challenge->Flags.Ack && !Challenge->Flags.Rst);
  EXPECT_EQ(Challenge->Acknowledgment, Isn + 1);
  EXPECT_EQ(Challenge->Sequence, Up + 1);
  Test.fromCaller({"R", Isn + 1});
  EXPECT_EQ(Test.count<DeliverToUpstream>(), 1U);
  Test.fromCaller({"S", 9000});
  EXPECT_EQ(Test.count<DeliverToUpstream>(), 1U);
  EXPECT_EQ(Test.counters().Accepted, 2U);
}

// Guards against a challenge that acknowledges bytes which the upstream has not
// got: the caller would never send them again (G1).
TEST(AgentTest, ChallengeAcknowledgesOnlyWhatTheUpstreamDid) {
  Harness Test;
  Test.openTo(FlowState::Established);
  // The bytes before these are late.
  Test.fromCaller({"AP", Isn + 9, Up + 1, "later"});
  Test.fromUpstream({"A", Up + 1, Isn + 1});
  Test.fromCaller({"S", 9000});
  ASSERT_EQ(Test.count<SendToCaller>(), 1U);
  const auto Challenge =
      parsePacket(std::get<SendToCaller>(Test.Out[0]).Packet);
  ASSERT_TRUE(Challenge);
  EXPECT_EQ(Challenge->Acknowledgment, Isn + 1);
  // A caller that has lost the flow can end it with that number.
  Test.fromCaller({"R", Isn + 1});
  EXPECT_EQ(Test.count<DeliverToUpstream>(), 1U);
  EXPECT_EQ(Test.Agent.status(Test.Now).Counters.FlowsEnded, 1U);
}

/// Begins to locate the owner of the flow and answers for both members.
void locate(Harness &Test, OwnerAnswer First, OwnerAnswer Second) {
  Test.fromCaller({"A", Isn + 1, 77});
  ASSERT_EQ(Test.sent<Locate>().size(), 2U);
  const auto Answer = [&Test](const char *Name, OwnerAnswer Value) {
    Test.fromPeer(LocateReply{Test.flow(), upstreamId(Name), Value, 77});
  };
  Answer("u2", First);
  if (Test.Out.empty()) {
    Answer("u3", Second);
  }
}

// Guards against packets of a displaced flow that do not reach its owner.
TEST(AgentTest, LocatesTheOwnerAndReleasesTheBuffer) {
  Harness Test;
  Test.fromCaller({"A", Isn + 1, 77});
  for (int I = 0; I < 5; ++I) {
    Test.fromCaller({"AP", Isn + 1, 77, "x"});
    EXPECT_TRUE(Test.Out.empty());
  }
  Test.fromPeer(
      LocateReply{Test.flow(), upstreamId("u3"), OwnerAnswer::Owns, 77});
  EXPECT_EQ(Test.sent<Forward>().size(), MaxBufferedPackets);
  Test.fromCaller({"AP", Isn + 1, 77, "x"});
  EXPECT_EQ(Test.sent<Forward>().size(), 1U);
  Test.fromPeer(NotOwner{Test.Key, upstreamId("u3")});
  Test.fromCaller({"AP", Isn + 1, 77, "x"});
  EXPECT_EQ(Test.sent<Locate>().size(), 2U);
}

struct GoneRow {
  const char *Name;
  Duration Between;
  std::uint64_t BalancerRevision;
  bool Silent;
  std::size_t ExpectedResets;
};

class GoneTest : public testing::TestWithParam<GoneRow> {};

// Guards against a reset of a live flow whose owner this coordinator does not
// know yet, or which a silent agent owns (G1).
TEST_P(GoneTest, ResetsOnlyWhatAllMembersDeny) {
  Harness Test;
  Test.Header.Table.Revision = GetParam().BalancerRevision;
  locate(Test, OwnerAnswer::No, OwnerAnswer::No);
  EXPECT_EQ(Test.count<ResetCaller>(), 0U);
  Test.tick(GetParam().Between);
  if (GetParam().Silent) {
    Test.fromCaller({"A", Isn + 1, 77});
    Test.tick(LocateTimeout);
  } else {
    locate(Test, OwnerAnswer::No, OwnerAnswer::No);
  }
  EXPECT_EQ(Test.resets(ErrorKind::OutcomeUnknown), GetParam().ExpectedResets);
}

INSTANTIATE_TEST_SUITE_P(
    Members, GoneTest,
    testing::Values(GoneRow{"denied", TableSpreadBound, 1, false, 1},
                    GoneRow{"too_early", seconds(1), 1, false, 0},
                    GoneRow{"newer_table", TableSpreadBound, 2, false, 0},
                    GoneRow{"silent", TableSpreadBound, 1, true, 0}),
    [](const auto &Info) { return Info.param.Name; });

// Guards against a flow that is lost because an agent restarted: each agent
// that may have it is tried, and its upstream's reset is not passed on.
TEST(AgentTest, TriesEveryAgentThatRestarted) {
  Harness Test;
  locate(Test, OwnerAnswer::Maybe, OwnerAnswer::Maybe);
  ASSERT_EQ(Test.sent<Forward>().size(), 1U);
  EXPECT_TRUE(Test.sent<Forward>()[0].Adopt);
  const Endpoint First = std::get<SendMessage>(Test.Out[0]).To;
  const bool IsU2 = First == Harness::Peer;
  Test.fromPeer(NotOwner{Test.Key, upstreamId(IsU2 ? "u2" : "u3")});
  ASSERT_EQ(Test.sent<Forward>().size(), 1U);
  EXPECT_TRUE(Test.sent<Forward>()[0].Adopt);
  EXPECT_NE(std::get<SendMessage>(Test.Out[0]).To, First);
  Test.tick(AdoptTimeout);
  Test.fromCaller({"A", Isn + 1, 77});
  ASSERT_EQ(Test.sent<Forward>().size(), 1U);
  EXPECT_FALSE(Test.sent<Forward>()[0].Adopt);
}

struct HandshakeRow {
  const char *Name;
  Duration Age;
  std::uint32_t Acknowledgment;
  std::size_t Resets;
  std::size_t Delivered;
};

class HandshakeTest : public testing::TestWithParam<HandshakeRow> {};

// Guards against a flow that breaks because its agent restarted during the
// handshake, and against payload for a half-open copy that the caller never
// acknowledged.
TEST_P(HandshakeTest, RestartedAgentRecoversItFromTheSynAck) {
  Harness Test(GetParam().Age);
  Test.fromUpstream({"SA", Harness::UpstreamIsn, Isn + 1});
  EXPECT_EQ(Test.count<ResetUpstream>(), GetParam().Resets);
  EXPECT_EQ(Test.count<SendToCaller>(), 1 - GetParam().Resets);
  Test.fromCaller({"AP", Isn + 1, GetParam().Acknowledgment, "x"}, true);
  EXPECT_EQ(Test.count<DeliverToUpstream>(), GetParam().Delivered);
  EXPECT_EQ(Test.sent<NotOwner>().size(), 1 - GetParam().Delivered);
}

INSTANTIATE_TEST_SUITE_P(
    Rows, HandshakeTest,
    testing::Values(
        HandshakeRow{"restarted", seconds(1), Harness::UpstreamIsn + 1, 0, 1},
        HandshakeRow{"other_copy", seconds(1), Harness::UpstreamIsn + 9, 0, 0},
        HandshakeRow{"not_restarted", RestartPeriod, Harness::UpstreamIsn + 1,
                     1, 0}),
    [](const auto &Info) { return Info.param.Name; });

// Guards against a late copy of the opening that hides an established flow
// from its coordinator after the agent restarted.
TEST(AgentTest, RestartedAgentFindsTheFlowBehindALateOpening) {
  Harness Test(seconds(1));
  Test.fromCaller({"S", Isn}, true);
  Test.fromUpstream({"A", Harness::UpstreamIsn + 1, Isn + 8});
  EXPECT_EQ(Test.count<SendToCaller>(), 1U);
  Test.fromPeer(Locate{Test.Key, Isn + 8, Harness::UpstreamIsn + 1});
  ASSERT_EQ(Test.sent<LocateReply>().size(), 1U);
  EXPECT_EQ(Test.sent<LocateReply>()[0].Answer, OwnerAnswer::Owns);
}

struct AdoptRow {
  const char *Name;
  TestPacket Answer;
  std::size_t ToCaller;
  std::size_t NotOwners;
};

class AdoptTest : public testing::TestWithParam<AdoptRow> {};

// Guards against a reset that ends a flow which another agent still has.
TEST_P(AdoptTest, UpstreamDecidesAboutAnAdoptedFlow) {
  Harness Test(seconds(1));
  Test.fromPeer(Locate{Test.Key, Isn + 1, 77});
  ASSERT_EQ(Test.sent<LocateReply>().size(), 1U);
  EXPECT_EQ(Test.sent<LocateReply>()[0].Answer, OwnerAnswer::Maybe);
  Test.fromCaller({"AP", Isn + 1, 77, "x"}, true, true);
  EXPECT_EQ(Test.count<DeliverToUpstream>(), 1U);
  Test.fromUpstream(GetParam().Answer);
  EXPECT_EQ(Test.count<SendToCaller>(), GetParam().ToCaller);
  EXPECT_EQ(Test.sent<NotOwner>().size(), GetParam().NotOwners);
  Test.fromPeer(Locate{Test.Key, Isn + 2, 77});
  EXPECT_EQ(Test.sent<LocateReply>()[0].Answer,
            GetParam().NotOwners == 0 ? OwnerAnswer::Owns : OwnerAnswer::Maybe);
}

INSTANTIATE_TEST_SUITE_P(
    Answers, AdoptTest,
    testing::Values(AdoptRow{"known", {"A", 77, Isn + 2}, 1, 0},
                    AdoptRow{"unknown", {"R", 77}, 0, 1}),
    [](const auto &Info) { return Info.param.Name; });

// Guards against payload that reaches an upstream which does not have the flow
// and may serve another service (G2).
TEST(AgentTest, AdoptedFlowGetsPayloadOnceItsUpstreamAnswered) {
  Harness Test(seconds(1));
  for (int I = 0; I < 2; ++I) {
    Test.fromCaller({"AP", Isn + 1, 77, "x"}, true, true);
    ASSERT_EQ(Test.count<DeliverToUpstream>(), 1U);
    const auto Asked =
        parsePacket(std::get<DeliverToUpstream>(Test.Out[0]).Packet);
    ASSERT_TRUE(Asked);
    EXPECT_TRUE(Asked->Payload.empty());
    EXPECT_TRUE(Asked->Flags.Ack && !Asked->Flags.Rst);
    EXPECT_EQ(Asked->Sequence, Isn);
    EXPECT_EQ(Asked->Acknowledgment, 77U);
    EXPECT_EQ(Asked->callerFlow(), Test.Key);
  }
  Test.fromUpstream({"A", 77, Isn + 1});
  Test.fromCaller({"AP", Isn + 1, 77, "x"}, true, true);
  ASSERT_EQ(Test.count<DeliverToUpstream>(), 1U);
  const auto Given =
      parsePacket(std::get<DeliverToUpstream>(Test.Out[0]).Packet);
  ASSERT_TRUE(Given);
  EXPECT_EQ(Given->Payload.size(), 1U);
  EXPECT_EQ(Test.Agent.status(Test.Now).Busy, 1U);
}

// Guards against a second half-open copy that is found as the owner.
TEST(AgentTest, OwnsOnlyWhatTheCallerAcknowledged) {
  Harness Test;
  Test.openTo(FlowState::Answered);
  Test.fromPeer(Locate{Test.Key, Isn + 1, Up + 1});
  EXPECT_EQ(Test.sent<LocateReply>()[0].Answer, OwnerAnswer::Owns);
  EXPECT_EQ(Test.sent<LocateReply>()[0].Flow.Initial, Isn);
  Test.fromPeer(Locate{Test.Key, Isn + 1, Up + 100});
  EXPECT_EQ(Test.sent<LocateReply>()[0].Answer, OwnerAnswer::No);
}

struct TimeoutRow {
  const char *Name;
  FlowState State;
  bool Acknowledged;
  Duration Quiet;
  std::size_t ToUpstream;
  std::size_t ToCaller;
};

class TimeoutTest : public testing::TestWithParam<TimeoutRow> {};

// Guards against work for callers that are gone, and against the end of a flow
// that is only quiet.
TEST_P(TimeoutTest, EndsSilentAndIdleFlows) {
  Harness Test;
  Test.openTo(GetParam().State);
  if (GetParam().State == FlowState::Established) {
    Test.serve();
  }
  if (GetParam().Acknowledged) {
    Test.fromCaller({"A", Isn + 8, Up + 7});
  }
  Test.tick(GetParam().Quiet - seconds(2));
  EXPECT_EQ(Test.count<ResetUpstream>() + Test.count<ResetCaller>(), 0U);
  Test.tick(seconds(2));
  EXPECT_EQ(Test.count<ResetUpstream>(), GetParam().ToUpstream);
  EXPECT_EQ(Test.resets(ErrorKind::OutcomeUnknown), GetParam().ToCaller);
}

INSTANTIATE_TEST_SUITE_P(
    Quiet, TimeoutTest,
    testing::Values(TimeoutRow{"half_open", FlowState::Answered, false,
                               HalfOpenTimeout, 1, 0},
                    TimeoutRow{"silent", FlowState::Established, false,
                               SilenceTimeout, 1, 1},
                    TimeoutRow{"acknowledged", FlowState::Established, true,
                               SilenceTimeout, 0, 0},
                    TimeoutRow{"idle", FlowState::Established, true,
                               IdleTimeout, 1, 1}),
    [](const auto &Info) { return Info.param.Name; });

// Guards against flows that look silent only because this process was paused.
TEST(AgentTest, PauseDoesNotEndFlows) {
  Harness Test;
  Test.openTo(FlowState::Established);
  Test.serve();
  Test.Now += SilenceTimeout * 2;
  Test.Agent.onPause(Test.Now);
  Test.tick(seconds(1));
  EXPECT_EQ(Test.count<ResetUpstream>(), 0U);
}

// Guards against callers that take all slots without sending a request.
TEST(AgentTest, SlotWithoutRequestIsReleased) {
  Harness Test;
  Test.openTo(FlowState::Established);
  EXPECT_EQ(Test.Agent.status(Test.Now).Busy, 1U);
  Test.tick(FirstRequestTimeout);
  EXPECT_EQ(Test.Agent.status(Test.Now).Busy, 0U);
  Test.serve();
  EXPECT_EQ(Test.count<SendToCaller>(), 1U);
}

// Guards against a stop that cuts a request, or that never comes (G7).
TEST(AgentTest, DrainWaitsForFlowsUntilTheDeadline) {
  Harness Test;
  Test.openTo(FlowState::Established);
  Test.Agent.onTerminate(Test.Now);
  Test.fromPeer(Probe{1});
  EXPECT_TRUE(Test.sent<ProbeReply>()[0].Draining);
  Test.tick(MinimumDrain);
  EXPECT_FALSE(Test.Agent.isDrained(Test.Now));
  const DrainProgress Progress = Test.Agent.drainProgress(10, Test.Now);
  EXPECT_EQ(Progress.Reason, DrainReason::Signal);
  EXPECT_EQ(Progress.Holders.size(), 1U);
  EXPECT_EQ(Progress.UntilDeadline, seconds(600) - MinimumDrain);
  Test.serve();
  Test.fromCaller({"FA", Isn + 8, Up + 7});
  Test.fromUpstream({"FA", Up + 7, Isn + 9});
  Test.tick(ClosingLinger);
  EXPECT_TRUE(Test.Agent.isDrained(Test.Now));
}

// Guards against a stop without an answer to the callers that are cut.
TEST(AgentTest, DrainDeadlineCutsAndCounts) {
  Harness Test;
  Test.openTo(FlowState::Established);
  Test.Agent.onTerminate(Test.Now);
  Test.tick(seconds(600));
  EXPECT_EQ(Test.resets(ErrorKind::OutcomeUnknown), 1U);
  EXPECT_EQ(Test.count<ResetUpstream>(), 1U);
  EXPECT_TRUE(Test.Agent.isDrained(Test.Now));
  EXPECT_EQ(Test.Agent.drainProgress(10, Test.Now).Cut, 1U);
}

// Guards against searches that fill the memory or hold off new ones.
TEST(AgentTest, SearchesAreBounded) {
  AgentCapacity Capacity;
  Capacity.Searches = 2;
  Harness Test(seconds(200), Capacity);
  for (std::uint16_t Port = 1; Port <= 3; ++Port) {
    Test.Key.Caller.Port = Port;
    Test.fromCaller({"A", Isn + 1, 77});
  }
  EXPECT_EQ(Test.Agent.status(Test.Now).Searches, 2U);
  Test.tick(LocateTimeout);
  Test.fromCaller({"A", Isn + 1, 77});
  EXPECT_EQ(Test.sent<Locate>().size(), 2U);
}

// Guards against allocation on the path of established packets.
TEST(AgentTest, EstablishedPathAllocatesNothing) {
  Harness Test;
  Test.openTo(FlowState::Established);
  Test.serve();
  const auto Request = buildPacket(Test.Key.Caller, Test.Key.Service,
                                   {"AP", Isn + 8, Up + 7, "more"});
  const auto Answer = buildPacket(Test.Key.Service, Test.Key.Caller,
                                  {"AP", Up + 7, Isn + 12, "answer"});
  const Datagram Input{Test.Header, Request};
  const auto Exchange = [&] {
    Test.Out.clear();
    Test.Agent.onDatagram(Harness::Balancer, Input, Arrival::Fresh, Test.Now,
                          Test.Out);
    Test.Agent.onUpstreamPacket(Answer, Test.Now, Test.Out);
  };
  Exchange();
  const AllocationProbe Probe;
  for (int I = 0; I < 1000; ++I) {
    Exchange();
  }
  EXPECT_EQ(Probe.count(), 0U);
  EXPECT_EQ(Test.Out.size(), 2U);
}

} // namespace
} // namespace mulberryhoist
