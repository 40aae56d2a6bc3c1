#include "mulberryhoist/agent.h"

#include "agent-harness.h"
#include "allocation-counter.h"

namespace mulberryhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Harness = AgentHarness;

constexpr std::uint32_t Isn = Harness::Isn;
constexpr std::uint32_t UpstreamIsn = Harness::UpstreamIsn;

struct DeclineRow {
  const char *Name;
  DeclineReason Reason;
  void (*Prepare)(Harness &);
  Arrival Arrived = Arrival::Fresh;
};

class DeclineTest : public testing::TestWithParam<DeclineRow> {};

// Guards against accepting an opening for another service, or at a full,
// draining or paused agent, and against running a declined opening later.
TEST_P(DeclineTest, OfferedOpeningIsDeclinedAndRecorded) {
  Harness Test;
  GetParam().Prepare(Test);
  Test.fromCaller({"S", Isn}, true, false, GetParam().Arrived);
  EXPECT_EQ(Test.count<DeliverToUpstream>(), 0U);
  ASSERT_EQ(Test.sent<Decline>().size(), 1U);
  EXPECT_EQ(Test.sent<Decline>()[0].Reason, GetParam().Reason);
  // The cause is gone, but a late retransmission must still not run.
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

// Guards against delivering payload to an upstream that has another half-open
// connection or another incarnation of the flow, and against dropping packets
// of the right flow.
TEST_P(GateTest, PayloadNeedsTheAcknowledgmentOfThisUpstream) {
  Harness Test;
  Test.openTo(GetParam().State);
  Test.fromCaller(GetParam().Packet, true);
  EXPECT_EQ(Test.count<DeliverToUpstream>(), GetParam().Delivered ? 1U : 0U);
  EXPECT_EQ(Test.sent<NotOwner>().size(), GetParam().Delivered ? 0U : 1U);
}

INSTANTIATE_TEST_SUITE_P(
    Packets, GateTest,
    testing::Values(GateRow{"before_answer",
                            FlowState::HalfOpen,
                            {"AP", Isn + 1, UpstreamIsn + 1, "x"},
                            false},
                    GateRow{"other_answer",
                            FlowState::Answered,
                            {"AP", Isn + 1, UpstreamIsn + 2, "x"},
                            false},
                    GateRow{"initial_only",
                            FlowState::Answered,
                            {"AP", Isn + 1, UpstreamIsn, "x"},
                            false},
                    GateRow{"acknowledged",
                            FlowState::Answered,
                            {"AP", Isn + 1, UpstreamIsn + 1, "x"},
                            true},
                    GateRow{"established",
                            FlowState::Established,
                            {"AP", Isn + 1, UpstreamIsn + 1, "x"},
                            true},
                    GateRow{"never_sent",
                            FlowState::Established,
                            {"AP", Isn + 1, UpstreamIsn + 9, "x"},
                            false},
                    GateRow{"old_sequence",
                            FlowState::Established,
                            {"AP", Isn + 0x70000000, UpstreamIsn + 1, "x"},
                            false},
                    GateRow{"keep_alive",
                            FlowState::Established,
                            {"A", Isn, UpstreamIsn + 1},
                            true},
                    GateRow{
                        "reset", FlowState::Established, {"R", Isn + 1}, true}),
    [](const auto &Info) { return Info.param.Name; });

// Guards against accepting a SYN with payload, which would run before the
// handshake.
TEST(AgentTest, RejectsOpeningWithPayload) {
  Harness Test;
  Test.fromCaller({"S", Isn, 0, "order"});
  EXPECT_EQ(Test.count<ReportError>(), 1U);
  EXPECT_EQ(Test.Out.size(), 1U);
}

// Guards against running a retransmitted opening twice, and against giving it
// an outcome other than the first.
TEST(AgentTest, RepeatsTheOutcomeToDuplicates) {
  Harness Test;
  Test.fromCaller({"S", Isn});
  EXPECT_EQ(Test.count<DeliverToUpstream>(), 1U);
  Test.fromCaller({"S", Isn});
  EXPECT_EQ(Test.count<DeliverToUpstream>(), 1U);
  EXPECT_EQ(Test.counters().Accepted, 1U);
  EXPECT_EQ(Test.Agent.status(Test.Now).Busy, 1U);
}

/// Starts an opening at the coordinator u1 while one of its slots is busy.
void beginBusyOpening(Harness &Test) {
  Test.addBusyFlow(1);
  Test.fromCaller({"S", Isn});
}

void replyToQuery(Harness &Test, std::uint64_t Query, const char *Name,
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

// Guards against offering an opening to a more loaded upstream, which would
// unbalance the load.
TEST_P(PlacementTest, LeastLoadedTakesTheOpening) {
  Harness Test;
  beginBusyOpening(Test);
  const auto Queries = Test.sent<LoadQuery>();
  ASSERT_EQ(Queries.size(), 2U);
  replyToQuery(Test, Queries[0].Query, "u2", GetParam().FirstLoad);
  EXPECT_TRUE(Test.Out.empty());
  replyToQuery(Test, Queries[0].Query, "u3", GetParam().SecondLoad);
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

// Guards against a "not run" refusal while a candidate that did not reply may
// have accepted the flow.
TEST_P(RefusalTest, RefusesOnlyAfterDefiniteDeclines) {
  Harness Test;
  Test.Agent.onLeaving(true);
  Test.fromCaller({"S", Isn});
  EXPECT_EQ(Test.sent<Decline>().size(), 1U);
  const std::uint64_t Query = Test.sent<LoadQuery>().at(0).Query;
  replyToQuery(Test, Query, "u2", 0);
  replyToQuery(Test, Query, "u3", 1);
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

// Guards against a refusal that is not recorded, so that a late retransmission
// runs.
TEST(AgentTest, FullRefusalStoreSendsNoReply) {
  AgentCapacity Capacity;
  Capacity.Refusals = 0;
  Harness Test(seconds(200), Capacity);
  Test.Agent.onLeaving(true);
  Test.fromCaller({"S", Isn}, true);
  EXPECT_TRUE(Test.Out.empty());
}

// Guards against evicting an established flow to make room for a new one.
TEST(AgentTest, FullFlowStoreDeclines) {
  AgentCapacity Capacity;
  Capacity.Flows = 1;
  Harness Test(seconds(200), Capacity);
  Test.openTo(FlowState::Established);
  Test.addBusyFlow(1);
  EXPECT_EQ(Test.sent<Decline>().size(), 1U);
  Test.fromCaller({"AP", Isn + 1, UpstreamIsn + 1, "x"});
  EXPECT_EQ(Test.count<DeliverToUpstream>(), 1U);
}

// Guards against a queued opening that is neither started nor refused by its
// deadline.
TEST(AgentTest, QueuedOpeningStartsOrIsRefused) {
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

// Guards against breaking a flow when its address moves to another service, its
// row is removed or its upstream drains.
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
  Test.fromCaller({"AP", Isn + 8, UpstreamIsn + 7, "again"});
  EXPECT_EQ(Test.count<DeliverToUpstream>(), 1U);
}

// Guards against ending an established flow because of a late opening of an
// older incarnation, and against a caller's port that stays unusable.
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
  EXPECT_EQ(Challenge->Sequence, UpstreamIsn + 1);
  Test.fromCaller({"R", Isn + 1});
  EXPECT_EQ(Test.count<DeliverToUpstream>(), 1U);
  Test.fromCaller({"S", 9000});
  EXPECT_EQ(Test.count<DeliverToUpstream>(), 1U);
  EXPECT_EQ(Test.counters().Accepted, 2U);
}

// Guards against a challenge that acknowledges bytes which the upstream has not
// received: the caller would never retransmit them.
TEST(AgentTest, ChallengeAcknowledgesOnlyWhatTheUpstreamDid) {
  Harness Test;
  Test.openTo(FlowState::Established);
  // The bytes before these have not arrived yet.
  Test.fromCaller({"AP", Isn + 9, UpstreamIsn + 1, "later"});
  Test.fromUpstream({"A", UpstreamIsn + 1, Isn + 1});
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

/// Starts a search for the owner of the flow and sends both members' replies.
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

// Guards against losing packets of a flow whose owner the coordinator does not
// know.
TEST(AgentTest, LocatesOwnerAndForwardsBufferedPackets) {
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

// Guards against resetting a live flow whose owner is missing from this
// coordinator's table, or is an agent that does not reply.
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
    testing::Values(GoneRow{"denied", TablePropagationBound, 1, false, 1},
                    GoneRow{"too_early", seconds(1), 1, false, 0},
                    GoneRow{"newer_table", TablePropagationBound, 2, false, 0},
                    GoneRow{"silent", TablePropagationBound, 1, true, 0}),
    [](const auto &Info) { return Info.param.Name; });

// Guards against losing a flow because an agent restarted: each agent that may
// have it is tried in turn, and the reset of an upstream without the flow is
// not forwarded to the caller.
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

// Guards against breaking a flow whose agent restarted during the handshake,
// and against delivering payload to a half-open connection whose SYN-ACK the
// caller never acknowledged.
TEST_P(HandshakeTest, RestartedAgentRecoversFlowFromSynAck) {
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

// Guards against a late retransmission of the opening that hides an established
// flow from its coordinator after the agent restarted.
TEST(AgentTest, LateOpeningDoesNotHideFlowAfterRestart) {
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

// Guards against forwarding an upstream's reset to the caller of a flow that
// another agent may still have.
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

// Guards against delivering payload to an upstream that does not have the flow
// and may serve another service.
TEST(AgentTest, AdoptedFlowGetsPayloadAfterUpstreamReply) {
  Harness Test(seconds(1));
  for (int I = 0; I < 2; ++I) {
    Test.fromCaller({"AP", Isn + 1, 77, "x"}, true, true);
    ASSERT_EQ(Test.count<DeliverToUpstream>(), 1U);
    const auto Sent =
        parsePacket(std::get<DeliverToUpstream>(Test.Out[0]).Packet);
    ASSERT_TRUE(Sent);
    EXPECT_TRUE(Sent->Payload.empty());
    EXPECT_TRUE(Sent->Flags.Ack && !Sent->Flags.Rst);
    EXPECT_EQ(Sent->Sequence, Isn);
    EXPECT_EQ(Sent->Acknowledgment, 77U);
    EXPECT_EQ(Sent->callerFlow(), Test.Key);
  }
  Test.fromUpstream({"A", 77, Isn + 1});
  Test.fromCaller({"AP", Isn + 1, 77, "x"}, true, true);
  ASSERT_EQ(Test.count<DeliverToUpstream>(), 1U);
  const auto Delivered =
      parsePacket(std::get<DeliverToUpstream>(Test.Out[0]).Packet);
  ASSERT_TRUE(Delivered);
  EXPECT_EQ(Delivered->Payload.size(), 1U);
  EXPECT_EQ(Test.Agent.status(Test.Now).Busy, 1U);
}

// Guards against reporting a second half-open connection of the opening as the
// owner.
TEST(AgentTest, OwnsOnlyWhatTheCallerAcknowledged) {
  Harness Test;
  Test.openTo(FlowState::Answered);
  Test.fromPeer(Locate{Test.Key, Isn + 1, UpstreamIsn + 1});
  EXPECT_EQ(Test.sent<LocateReply>()[0].Answer, OwnerAnswer::Owns);
  EXPECT_EQ(Test.sent<LocateReply>()[0].Flow.Initial, Isn);
  Test.fromPeer(Locate{Test.Key, Isn + 1, UpstreamIsn + 100});
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

// Guards against keeping flows of callers that are gone, and against ending a
// flow that is only idle.
TEST_P(TimeoutTest, EndsSilentAndIdleFlows) {
  Harness Test;
  Test.openTo(GetParam().State);
  if (GetParam().State == FlowState::Established) {
    Test.serve();
  }
  if (GetParam().Acknowledged) {
    Test.fromCaller({"A", Isn + 8, UpstreamIsn + 7});
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

// Guards against ending flows whose callers look silent only because this
// process was paused.
TEST(AgentTest, PauseDoesNotEndFlows) {
  Harness Test;
  Test.openTo(FlowState::Established);
  Test.serve();
  Test.Now += SilenceTimeout * 2;
  Test.Agent.onPause(Test.Now);
  Test.tick(seconds(1));
  EXPECT_EQ(Test.count<ResetUpstream>(), 0U);
}

// Guards against callers that hold all slots without sending a request.
TEST(AgentTest, SlotWithoutRequestIsReleased) {
  Harness Test;
  Test.openTo(FlowState::Established);
  EXPECT_EQ(Test.Agent.status(Test.Now).Busy, 1U);
  Test.tick(FirstRequestTimeout);
  EXPECT_EQ(Test.Agent.status(Test.Now).Busy, 0U);
  Test.serve();
  EXPECT_EQ(Test.count<SendToCaller>(), 1U);
}

// Guards against a termination that resets a request in progress, or that never
// completes.
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
  Test.fromCaller({"FA", Isn + 8, UpstreamIsn + 7});
  Test.fromUpstream({"FA", UpstreamIsn + 7, Isn + 9});
  Test.tick(ClosingLinger);
  EXPECT_TRUE(Test.Agent.isDrained(Test.Now));
}

// Guards against cutting flows at the drain deadline without notifying their
// callers.
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

// Guards against searches that use unbounded memory or block new ones.
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

// Guards against memory allocation on the path of established flows.
TEST(AgentTest, EstablishedPathAllocatesNothing) {
  Harness Test;
  Test.openTo(FlowState::Established);
  Test.serve();
  const auto Request = buildPacket(Test.Key.Caller, Test.Key.Service,
                                   {"AP", Isn + 8, UpstreamIsn + 7, "more"});
  const auto Answer = buildPacket(Test.Key.Service, Test.Key.Caller,
                                  {"AP", UpstreamIsn + 7, Isn + 12, "answer"});
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
