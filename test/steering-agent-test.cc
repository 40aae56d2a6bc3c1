#include "mulberryhoist/steering-agent.h"

#include <gtest/gtest.h>

#include "steer-samples.h"

namespace mulberryhoist {
namespace {

using namespace samples;
using std::chrono::milliseconds;

/// Returns a header with these agents as the candidates after the receiver.
Steer header(std::initializer_list<std::uint32_t> Next = {}) {
  Steer Header;
  (void)Header.Services.add(OrderService);
  for (const std::uint32_t Number : Next) {
    (void)Header.Next.add({agentAddress(Number), 4});
  }
  Header.Balancer = BalancerAddress;
  Header.Notify = true;
  Header.Slots = 4;
  Header.Goal = milliseconds(200);
  Header.Timeout = milliseconds(1200);
  return Header;
}

class SteeringAgentTest : public testing::Test {
protected:
  SteerActionList steer(const Steer &Header, const RoutedPacket &Packet) {
    SteerActionList Out;
    this->Agent.onSteer(Header, Packet, this->Now, Out);
    return Out;
  }

  SteerActionList fromUpstream(const RoutedPacket &Packet) {
    SteerActionList Out;
    this->Agent.onUpstreamPacket(Packet, this->Now, Out);
    return Out;
  }

  /// Opens a flow and delivers its request.
  void beginRequest(std::uint16_t Port) {
    (void)this->steer(header(), opening(Port));
    (void)this->fromUpstream(answer(Port, true));
    (void)this->steer(header(), callerPacket(Port, 5001U + Port, true));
  }

  void fillSlots() {
    for (std::uint16_t Port = 1; Port <= 4; ++Port) {
      this->beginRequest(Port);
    }
    ASSERT_EQ(this->Agent.load(), 4U);
  }

  Instant Now = Instant(std::chrono::hours(1));
  SteeringAgentLogic Agent{{OrderService, agentAddress(1), PeerPort}, Now};
};

TEST_F(SteeringAgentTest, AcceptsAnOpeningAndReportsItToTheBalancer) {
  const auto Out = this->steer(header({2}), opening(9));
  ASSERT_EQ(only<ForwardToUpstream>(Out).size(), 1U);
  const auto Answered = this->fromUpstream(answer(9, true));
  EXPECT_EQ(only<ForwardToCaller>(Answered).size(), 1U);
  const auto Notices = sent<Taken>(Answered);
  ASSERT_EQ(Notices.size(), 1U);
  EXPECT_EQ(Notices[0].first, BalancerAddress);
  EXPECT_EQ(Notices[0].second.Flow, (FlowIncarnation{flowOf(9), 9}));
  EXPECT_EQ(Notices[0].second.Sequence, 5009U);
}

// Guards against a packet that reaches the upstream of another service after
// its address was reused.
TEST_F(SteeringAgentTest, NeverForwardsPacketsOfAnotherServiceToTheUpstream) {
  Steer ForeignHeader = header({2});
  ForeignHeader.Services = {};
  (void)ForeignHeader.Services.add(TemplateService);
  for (const RoutedPacket &Packet : {opening(9), callerPacket(9, 1, true)}) {
    const auto Out = this->steer(ForeignHeader, Packet);
    EXPECT_TRUE(only<ForwardToUpstream>(Out).empty());
    EXPECT_EQ(sent<Steer>(Out).size(), 1U);
  }
  this->Agent.onService(TemplateService);
  EXPECT_EQ(
      only<ForwardToUpstream>(this->steer(ForeignHeader, opening(9))).size(),
      1U);
  EXPECT_TRUE(
      only<ForwardToUpstream>(this->steer(header(), opening(8))).empty());
}

TEST_F(SteeringAgentTest, ForwardsToNextCandidateWhenAllSlotsAreBusy) {
  this->fillSlots();
  const auto ToNext = sent<Steer>(this->steer(header({2, 3}), opening(9)));
  ASSERT_EQ(ToNext.size(), 1U);
  EXPECT_EQ(ToNext[0].first, agentAddress(2));
  EXPECT_EQ(ToNext[0].second.LeastLoaded.Agent, agentAddress(1));
  EXPECT_EQ(ToNext[0].second.LeastLoad, 4U);
}

// Guards against a refusal by the least loaded agent because the header lost
// the number of its upstream's slots.
TEST_F(SteeringAgentTest, LastCandidateSendsTheOpeningToTheLeastLoaded) {
  this->fillSlots();
  Steer Last = header();
  Last.LeastLoaded = {agentAddress(7), 8};
  Last.LeastLoad = 3;
  const auto ToNext = sent<Steer>(this->steer(Last, opening(9)));
  ASSERT_EQ(ToNext.size(), 1U);
  EXPECT_EQ(ToNext[0].first, agentAddress(7));
  EXPECT_TRUE(ToNext[0].second.Final);
  EXPECT_EQ(ToNext[0].second.Slots, 8U);
}

// Guards against load without a request: several upstreams answer
// retransmissions of an opening, and the caller uses only one of them.
TEST_F(SteeringAgentTest, OpeningWithoutRequestStopsCountingAsLoad) {
  for (std::uint16_t Port = 1; Port <= 4; ++Port) {
    (void)this->steer(header(), opening(Port));
    (void)this->fromUpstream(answer(Port, true));
  }
  EXPECT_EQ(this->Agent.load(), 4U);
  this->Now += OpeningLoadTimeout;
  const auto Out = this->steer(header({2}), opening(9));
  EXPECT_EQ(only<ForwardToUpstream>(Out).size(), 1U);
  EXPECT_EQ(this->Agent.load(), 1U);
}

TEST_F(SteeringAgentTest, FirstResponseToARequestFreesItsSlot) {
  this->fillSlots();
  this->Now += milliseconds(30);
  const auto Out = this->fromUpstream(answer(1, false));
  EXPECT_EQ(this->Agent.load(), 3U);
  EXPECT_EQ(only<ObserveLatency>(Out).size(), 1U);
}

/// Returns one segment of a caller's data at an offset from its first byte.
RoutedPacket segment(std::uint16_t Port, std::uint32_t Offset,
                     std::size_t Length) {
  static const std::vector<std::uint8_t> Bytes(1200, 1);
  RoutedPacket Packet = callerPacket(Port, 5001U + Port, false);
  Packet.View.Sequence = Port + 1U + Offset;
  Packet.View.Payload = PacketBytes(Bytes).first(Length);
  return Packet;
}

/// Returns a response with FIN after `Received` bytes of the caller.
RoutedPacket lastResponse(std::uint16_t Port, std::uint32_t Received) {
  RoutedPacket Packet = answer(Port, false);
  Packet.View.Acknowledgment = Port + 1U + Received;
  Packet.View.Flags.Fin = true;
  return Packet;
}

// Replays an upload whose segments arrive reordered. Guards against a copy of
// an old segment, which arrives after the response and FIN and counted as a
// request that kept a slot busy for 10 s.
TEST_F(SteeringAgentTest, RetransmittedSegmentIsNoRequest) {
  (void)this->steer(header(), opening(9));
  (void)this->fromUpstream(answer(9, true));
  for (const std::uint32_t Offset : {0U, 2400U, 1200U, 3600U}) {
    (void)this->steer(header(),
                      segment(9, Offset, Offset == 3600 ? 400 : 1200));
  }
  EXPECT_EQ(this->Agent.load(), 1U);
  (void)this->fromUpstream(lastResponse(9, 4000));
  EXPECT_EQ(this->Agent.load(), 0U);
  (void)this->steer(header(), segment(9, 1200, 1200));
  EXPECT_EQ(this->Agent.load(), 0U);
}

// Guards against refusals because of callers with slow links: the estimate of
// the service time grew with the time that an upload took to arrive.
TEST_F(SteeringAgentTest, TransferTimeIsNotServiceTime) {
  const Duration Before = this->Agent.serviceTime();
  for (std::uint16_t Port = 1; Port <= 20; ++Port) {
    (void)this->steer(header(), opening(Port));
    (void)this->fromUpstream(answer(Port, true));
    (void)this->steer(header(), segment(Port, 0, 1200));
    this->Now += milliseconds(300);
    (void)this->steer(header(), segment(Port, 1200, 400));
    this->Now += milliseconds(5);
    (void)this->fromUpstream(lastResponse(Port, 1600));
  }
  EXPECT_LT(this->Agent.serviceTime(), Before);
}

// Guards against slots that count as busy for 10 s because callers went away in
// the middle of their uploads.
TEST_F(SteeringAgentTest, LoadOfAnUnfinishedUploadExpires) {
  (void)this->steer(header(), opening(9));
  (void)this->fromUpstream(answer(9, true));
  (void)this->steer(header(), segment(9, 0, 1200));
  (void)this->steer(header(), segment(9, 1200, 1200));
  this->Now += TransferLoadTimeout;
  SteerActionList Out;
  this->Agent.onTick(this->Now, Out);
  EXPECT_TRUE(decided(Out, Decision::LoadExpired));
  EXPECT_EQ(this->Agent.load(), 0U);
}

// Guards against load that stays wrong without a trace.
TEST_F(SteeringAgentTest, RequestWithoutResponseIsReportedOnceAndExpires) {
  this->beginRequest(1);
  int Reports = 0;
  while (this->Agent.load() == 1) {
    this->Now += milliseconds(250);
    SteerActionList Out;
    this->Agent.onTick(this->Now, Out);
    Reports += decided(Out, Decision::RequestOverdue) ? 1 : 0;
    ASSERT_LE(this->Now - Instant(std::chrono::hours(1)), RequestLoadTimeout);
  }
  EXPECT_EQ(Reports, 1);
}

// Guards against load that outlives a flow which its caller has reset.
TEST_F(SteeringAgentTest, CallersResetEndsItsLoad) {
  this->beginRequest(1);
  RoutedPacket Reset = callerPacket(1, 5002, false);
  Reset.View.Flags.Rst = true;
  EXPECT_EQ(only<ForwardToUpstream>(this->steer(header(), Reset)).size(), 1U);
  EXPECT_EQ(this->Agent.load(), 0U);
}

TEST_F(SteeringAgentTest, ReturnedPacketGoesToTheNextCandidate) {
  const auto ToUpstream = only<ForwardToUpstream>(
      this->steer(header({2}), callerPacket(9, 1, true)));
  ASSERT_EQ(ToUpstream.size(), 1U);
  const RoutedPacket ReturnedPacket =
      returned(callerPacket(9, 1, true), ToUpstream[0].Tag);
  const auto ToNext = sent<Steer>(this->fromUpstream(ReturnedPacket));
  ASSERT_EQ(ToNext.size(), 1U);
  EXPECT_EQ(ToNext[0].first, agentAddress(2));
  // The same packet cannot be returned twice.
  EXPECT_TRUE(sent<Steer>(this->fromUpstream(ReturnedPacket)).empty());
}

// Guards against a reset of an open flow whose owner is not among the
// candidates of an outdated directory: only the balancer may decide that.
TEST_F(SteeringAgentTest, LastReturnedPacketIsReportedAndNeverRefused) {
  for (const std::uint32_t Search : {0U, 77U}) {
    Steer Last = header();
    Last.Search = Search;
    const RoutedPacket Packet =
        callerPacket(static_cast<std::uint16_t>(9 + Search), 1, true);
    const auto ToUpstream = only<ForwardToUpstream>(this->steer(Last, Packet));
    ASSERT_EQ(ToUpstream.size(), 1U);
    const auto Out = this->fromUpstream(returned(Packet, ToUpstream[0].Tag));
    EXPECT_TRUE(only<RejectOpening>(Out).empty());
    EXPECT_TRUE(only<ResetFlow>(Out).empty());
    EXPECT_TRUE(decided(Out, Decision::OwnerNotFound));
    ASSERT_EQ(only<SendSteer>(Out).size(), 1U);
    const auto Notices = sent<NotHeld>(Out);
    ASSERT_EQ(Notices.size(), 1U);
    EXPECT_EQ(Notices[0].first, BalancerAddress);
    EXPECT_EQ(Notices[0].second.Search, Search);
    EXPECT_TRUE(std::ranges::equal(only<SendSteer>(Out)[0].Packet, anyBytes()));
  }
}

// Guards against a flow whose packets reach other upstreams again and again
// while those on the way to its own are lost (FLOW under overload, issue 29).
TEST_F(SteeringAgentTest, UpstreamThatReturnedAPacketIsNotAskedAgain) {
  const RoutedPacket Packet = callerPacket(9, 9001, true);
  const auto IsAsked = [this](const RoutedPacket &Each) {
    const auto Out = this->steer(header({2}), Each);
    EXPECT_NE(only<ForwardToUpstream>(Out).empty(), sent<Steer>(Out).empty());
    return !only<ForwardToUpstream>(Out).empty();
  };
  const auto Asked = only<ForwardToUpstream>(this->steer(header({2}), Packet));
  ASSERT_EQ(Asked.size(), 1U);
  (void)this->fromUpstream(returned(Packet, Asked[0].Tag));
  EXPECT_FALSE(IsAsked(Packet));
  EXPECT_FALSE(IsAsked(callerPacket(9, 9900, true)));
  // What it returned proves nothing of other flows, nor of the next one from
  // the same port.
  EXPECT_TRUE(IsAsked(callerPacket(8, 9001, true)));
  EXPECT_TRUE(IsAsked(callerPacket(9, 0x80000000U, true)));
}

// Guards against a flow whose packets reach other upstreams although its own
// lives (FLOW under overload, issue 29): they get only what their agents know,
// until every agent has been asked.
TEST_F(SteeringAgentTest, SearchAmongAgentsReachesOnlyTheOwnUpstream) {
  (void)this->steer(header(), opening(9));
  (void)this->fromUpstream(answer(9, true));
  (void)this->steer(header(), opening(8));
  Steer Search = header({2});
  Search.Search = 77;
  Search.KnownOnly = true;
  struct Row {
    RoutedPacket Packet;
    bool IsOwn = false;
  };
  for (const Row &Each :
       {Row{callerPacket(9, 5010, true), true},
        Row{callerPacket(9, 9010, true)}, // accepted by another upstream
        Row{callerPacket(8, 5009, true)}, // not answered
        Row{callerPacket(7, 5008, true)}}) {
    const auto Out = this->steer(Search, Each.Packet);
    EXPECT_EQ(only<ForwardToUpstream>(Out).size(), Each.IsOwn ? 1U : 0U);
    // The balancer learns of the owner before the upstream answers.
    EXPECT_EQ(sent<Taken>(Out).size(), Each.IsOwn ? 1U : 0U);
    const auto ToNext = sent<Steer>(Out);
    ASSERT_EQ(ToNext.size(), Each.IsOwn ? 0U : 1U);
    EXPECT_TRUE(Each.IsOwn || ToNext[0].second.Incomplete);
  }
  // What the upstream has returned is proved not to be there.
  const RoutedPacket Packet = callerPacket(7, 5008, true);
  const auto Asked = only<ForwardToUpstream>(this->steer(header({2}), Packet));
  (void)this->fromUpstream(returned(Packet, Asked[0].Tag));
  EXPECT_FALSE(sent<Steer>(this->steer(Search, Packet))[0].second.Incomplete);
}

// Guards against packets that miss the upstream after it has got the flow.
TEST_F(SteeringAgentTest, FlowThatTheUpstreamGotLaterIsForwarded) {
  for (const bool HasOpening : {true, false}) {
    const std::uint16_t Port = HasOpening ? 9 : 10;
    const RoutedPacket Packet = callerPacket(Port, 5001U + Port, false);
    const auto Asked =
        only<ForwardToUpstream>(this->steer(header({2}), Packet));
    ASSERT_EQ(Asked.size(), 1U);
    (void)this->fromUpstream(returned(Packet, Asked[0].Tag));
    if (HasOpening) {
      (void)this->steer(header({2}), opening(Port));
    }
    (void)this->fromUpstream(answer(Port, HasOpening));
    const auto Out = this->steer(header({2}), Packet);
    EXPECT_EQ(only<ForwardToUpstream>(Out).size(), 1U);
    EXPECT_TRUE(sent<Steer>(Out).empty());
  }
}

struct SilentUpstreamRow {
  std::string Name;
  /// Whether the upstream was sent an opening of the flow before.
  bool HasOpening = false;
  /// Whether the upstream sends something else after the first packet.
  bool IsAlive = false;
  Duration Since = milliseconds(200);
  bool GoesOn = true;
};

class SilentUpstreamTest
    : public SteeringAgentTest,
      public testing::WithParamInterface<SilentUpstreamRow> {};

// Guards against a search that ends at an upstream that has crashed, while the
// agent beside it lives on (review/3).
TEST_P(SilentUpstreamTest, PacketGoesOnWhenTheCallerSendsItAgain) {
  if (GetParam().HasOpening) {
    (void)this->steer(header({2}), opening(9));
  }
  const RoutedPacket Packet = callerPacket(9, 9001, true);
  for (const bool HasNext : {true, false}) {
    const Steer Header = HasNext ? header({2}) : header();
    auto Out = this->steer(Header, Packet);
    if (HasNext) {
      EXPECT_EQ(Out.size(), 1U);
      this->Now += GetParam().Since;
      if (GetParam().IsAlive) {
        (void)this->fromUpstream(answer(1, true));
      }
      Out = this->steer(Header, Packet);
    }
    // The upstream may hold the flow all the same, so that it gets a copy and
    // the search proves nothing.
    EXPECT_EQ(only<ForwardToUpstream>(Out).size(), 1U);
    const auto ToNext = sent<Steer>(Out);
    const auto Notices = sent<NotHeld>(Out);
    ASSERT_EQ(ToNext.size(), GetParam().GoesOn && HasNext ? 1U : 0U);
    ASSERT_EQ(Notices.size(), GetParam().GoesOn && !HasNext ? 1U : 0U);
    EXPECT_TRUE(ToNext.empty() || ToNext[0].second.Incomplete);
    EXPECT_TRUE(Notices.empty() || Notices[0].second.Incomplete);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Rows, SilentUpstreamTest,
    testing::Values(
        SilentUpstreamRow{.Name = "crashed"},
        SilentUpstreamRow{.Name = "crashedAfterTheOpening", .HasOpening = true},
        SilentUpstreamRow{.Name = "alive", .IsAlive = true, .GoesOn = false},
        SilentUpstreamRow{.Name = "notYetOverdue",
                          .Since = milliseconds(2),
                          .GoesOn = false}),
    [](const auto &Info) { return Info.param.Name; });

struct LostFlowRow {
  std::string Name;
  /// The caller acknowledges this sequence number.
  std::uint32_t Acknowledgment;
  bool HasUpstreamAnswered;
  bool IsReset;
};

class LostFlowTest : public SteeringAgentTest,
                     public testing::WithParamInterface<LostFlowRow> {};

// Guards against callers that wait for their deadlines after their upstream has
// restarted, and against a reset of a flow that another upstream holds.
TEST_P(LostFlowTest, OnlyFlowsOfThisUpstreamAreReset) {
  (void)this->steer(header(), opening(9));
  if (GetParam().HasUpstreamAnswered) {
    (void)this->fromUpstream(answer(9, true));
  }
  const RoutedPacket Packet = callerPacket(9, GetParam().Acknowledgment, true);
  const auto ToUpstream =
      only<ForwardToUpstream>(this->steer(header({2}), Packet));
  const auto Out = this->fromUpstream(returned(Packet, ToUpstream[0].Tag));
  EXPECT_EQ(sent<Steer>(Out).empty(), GetParam().IsReset);
  ASSERT_EQ(only<ResetFlow>(Out).size(), GetParam().IsReset ? 1U : 0U);
  if (GetParam().IsReset) {
    EXPECT_EQ(only<ResetFlow>(Out)[0].Flow, flowOf(9));
    EXPECT_EQ(only<ResetFlow>(Out)[0].Sequence, GetParam().Acknowledgment);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Rows, LostFlowTest,
    testing::Values(LostFlowRow{"own", 5010, true, true},
                    LostFlowRow{"otherUpstreams", 9010, true, false},
                    LostFlowRow{"beyondOwn", 5011, true, false},
                    LostFlowRow{"withoutAnswer", 5010, false, false}),
    [](const auto &Info) { return Info.param.Name; });

TEST_F(SteeringAgentTest, ReturnedOpeningIsRefusedOnlyAfterAllCandidates) {
  auto ToUpstream =
      only<ForwardToUpstream>(this->steer(header({2}), opening(9)));
  auto Out = this->fromUpstream(returned(opening(9), ToUpstream[0].Tag));
  EXPECT_TRUE(only<RejectOpening>(Out).empty());
  EXPECT_EQ(sent<Steer>(Out).size(), 1U);
  EXPECT_EQ(this->Agent.load(), 0U);
  ToUpstream = only<ForwardToUpstream>(this->steer(header(), opening(9)));
  Out = this->fromUpstream(returned(opening(9), ToUpstream[0].Tag));
  ASSERT_EQ(only<RejectOpening>(Out).size(), 1U);
  EXPECT_EQ(only<RejectOpening>(Out)[0].Flow, flowOf(9));
}

// Guards against a returned packet of an earlier process or another sender that
// is treated as a packet of this agent.
TEST_F(SteeringAgentTest, UnknownTagIsDropped) {
  for (const std::uint32_t Tag : {0U, 77U, 0xFFFFFFFFU}) {
    const auto Out = this->fromUpstream(returned(opening(9), Tag));
    EXPECT_TRUE(only<SendSteer>(Out).empty());
    EXPECT_TRUE(only<RejectOpening>(Out).empty());
  }
}

// Guards against three quick refusals of one caller although a slot becomes
// free soon.
TEST_F(SteeringAgentTest, LateOpeningWaitsForAFreeSlot) {
  this->fillSlots();
  Steer Last = header();
  Last.Final = true;
  const RoutedPacket Late = opening(9, milliseconds(600));
  auto Out = this->steer(Last, Late);
  EXPECT_TRUE(decided(Out, Decision::OpeningHeld));
  EXPECT_EQ(sent<Taken>(Out).size(), 1U);
  EXPECT_TRUE(only<ForwardToUpstream>(this->steer(Last, Late)).empty());
  this->Now += milliseconds(40);
  Out = this->fromUpstream(answer(1, false));
  EXPECT_EQ(only<ForwardToUpstream>(Out).size(), 1U);
}

// Guards against an opening that is held until its caller has given up.
TEST_F(SteeringAgentTest, HeldOpeningIsRefusedWhileItsCallerStillWaits) {
  this->fillSlots();
  Steer Last = header();
  Last.Final = true;
  (void)this->steer(Last, opening(9, milliseconds(600)));
  this->Now += milliseconds(600) - HeldMargin;
  SteerActionList Out;
  this->Agent.onTick(this->Now, Out);
  ASSERT_EQ(only<RejectOpening>(Out).size(), 1U);
  EXPECT_EQ(only<RejectOpening>(Out)[0].Flow, flowOf(9));
}

// Guards against a delayed refusal of an opening that cannot be served in time.
TEST_F(SteeringAgentTest, OpeningThatCannotBeServedInTimeIsRefusedAtOnce) {
  this->fillSlots();
  Steer Last = header();
  Last.Final = true;
  Last.Timeout = milliseconds(700);
  const auto Out = this->steer(Last, opening(9, milliseconds(600)));
  EXPECT_EQ(only<RejectOpening>(Out).size(), 1U);
}

// Guards against an operator who can't see which class gives way, and how long
// its callers waited for it.
TEST_F(SteeringAgentTest, CountsWhatHappensToEachClass) {
  this->fillSlots();
  Steer Last = header();
  Last.Final = true;
  Last.Class = 2;
  (void)this->steer(Last, opening(9, milliseconds(600)));
  Last.Class = 1;
  (void)this->steer(Last, opening(10, milliseconds(1150)));
  EXPECT_EQ(this->Agent.admissionCounts()[2].Held, 1U);
  EXPECT_EQ(this->Agent.admissionCounts()[1].Refused, 1U);
  this->Now += milliseconds(500);
  SteerActionList Out;
  this->Agent.onTick(this->Now, Out);
  EXPECT_EQ(this->Agent.admissionCounts()[2].Refused, 1U);
  EXPECT_EQ(this->Agent.admissionCounts()[2].HeldBeforeRefusal,
            milliseconds(500));
  EXPECT_EQ(this->Agent.admissionCounts()[1].HeldBeforeRefusal,
            milliseconds(0));
}

// Guards against a balancer that offers a refused opening to other agents.
TEST_F(SteeringAgentTest, RefusalIsReportedToTheBalancer) {
  const auto ExpectNotice = [](const SteerActionList &Out) {
    const auto Notices = sent<Refused>(Out);
    ASSERT_EQ(Notices.size(), 1U);
    EXPECT_EQ(Notices[0].first, BalancerAddress);
    EXPECT_EQ(Notices[0].second.Flow, (FlowIncarnation{flowOf(9), 9}));
  };
  const auto ToUpstream =
      only<ForwardToUpstream>(this->steer(header(), opening(9)));
  ExpectNotice(this->fromUpstream(returned(opening(9), ToUpstream[0].Tag)));
  this->fillSlots();
  Steer Last = header();
  Last.Final = true;
  Last.Timeout = milliseconds(700);
  ExpectNotice(this->steer(Last, opening(9, milliseconds(600))));
  Last.Timeout = milliseconds(1200);
  (void)this->steer(Last, opening(9, milliseconds(600)));
  SteerActionList Out;
  this->Agent.onTick(this->Now + milliseconds(600), Out);
  ExpectNotice(Out);
}

TEST_F(SteeringAgentTest, SilentUpstreamReceivesOnlyProbes) {
  for (std::uint16_t Port = 1; Port <= 2; ++Port) {
    (void)this->steer(header(), opening(Port));
  }
  this->Now += UpstreamResponseTimeout;
  int ToUpstream = 0;
  for (std::uint16_t Port = 11; Port <= 20; ++Port) {
    const auto Out = this->steer(header({2}), opening(Port));
    ToUpstream += static_cast<int>(only<ForwardToUpstream>(Out).size());
    EXPECT_EQ(only<ForwardToUpstream>(Out).size() + sent<Steer>(Out).size(),
              1U);
  }
  EXPECT_EQ(ToUpstream, 1);
  EXPECT_TRUE(
      decided(this->fromUpstream(answer(1, true)), Decision::UpstreamAnswers));
  EXPECT_EQ(
      only<ForwardToUpstream>(this->steer(header({2}), opening(30))).size(),
      1U);
}

// Guards against requests that are cut off by a planned stop, and against new
// flows at an agent that leaves.
TEST_F(SteeringAgentTest, LeavingAgentFinishesRequestsAndAcceptsNoFlows) {
  this->beginRequest(1);
  SteerActionList Out;
  this->Agent.onTerminate(this->Now, Out);
  const auto Replies = sent<CheckReply>(Out);
  ASSERT_EQ(Replies.size(), 1U);
  EXPECT_TRUE(Replies[0].second.Leaving);
  EXPECT_EQ(sent<Steer>(this->steer(header({2}), opening(9))).size(), 1U);
  this->Now += milliseconds(500);
  EXPECT_FALSE(this->Agent.isDrained(this->Now));
  (void)this->fromUpstream(answer(1, false));
  EXPECT_FALSE(this->Agent.isDrained(this->Now));
  this->Now += SteeringAgentQuietPeriod;
  EXPECT_TRUE(this->Agent.isDrained(this->Now));
}

// Guards against a stop that discards openings which wait for a slot.
TEST_F(SteeringAgentTest, LeavingAgentServesHeldOpenings) {
  this->fillSlots();
  Steer Last = header();
  Last.Final = true;
  (void)this->steer(Last, opening(9, milliseconds(600)));
  SteerActionList Out;
  this->Agent.onTerminate(this->Now, Out);
  for (std::uint16_t Port = 1; Port <= 4; ++Port) {
    Out = this->fromUpstream(answer(Port, false));
    EXPECT_EQ(only<ForwardToUpstream>(Out).size(), Port == 1 ? 1U : 0U);
  }
  this->Now += SteeringAgentQuietPeriod;
  SteerActionList Ignored;
  this->Agent.onTick(this->Now, Ignored);
  EXPECT_TRUE(this->Agent.isDrained(this->Now));
}

// Guards against an opening that is accepted, held and then cut off without an
// answer by a planned stop.
TEST_F(SteeringAgentTest, StoppingAgentRefusesWhatItStillHolds) {
  SteerActionList Out;
  this->Agent.onTerminate(this->Now, Out);
  this->Now += SteeringAgentDrainDeadline - HeldMargin - milliseconds(200);
  this->fillSlots();
  Steer Last = header();
  Last.Final = true;
  Last.Timeout = std::chrono::seconds(60);
  Out = this->steer(Last, opening(9, milliseconds(600)));
  EXPECT_TRUE(decided(Out, Decision::OpeningHeld));
  this->Now += milliseconds(199);
  Out.clear();
  this->Agent.onTick(this->Now, Out);
  EXPECT_TRUE(only<RejectOpening>(Out).empty());
  this->Now += milliseconds(1);
  this->Agent.onTick(this->Now, Out);
  ASSERT_EQ(only<RejectOpening>(Out).size(), 1U);
  EXPECT_EQ(only<RejectOpening>(Out)[0].Flow, flowOf(9));
}

// Guards against callers that get no answer while the agent of a service's only
// upstream is restarted.
TEST_F(SteeringAgentTest, LeavingAgentServesOpeningsWithoutOtherCandidate) {
  SteerActionList Out;
  this->Agent.onTerminate(this->Now, Out);
  EXPECT_EQ(only<ForwardToUpstream>(this->steer(header(), opening(9))).size(),
            1U);
  EXPECT_TRUE(
      only<ForwardToUpstream>(this->steer(header({2}), opening(8))).empty());
}

TEST_F(SteeringAgentTest, StopHasADeadline) {
  this->beginRequest(1);
  SteerActionList Out;
  this->Agent.onTerminate(this->Now, Out);
  EXPECT_TRUE(this->Agent.isDrained(this->Now + SteeringAgentDrainDeadline));
}

// Guards against flows that stall because the agent has restarted.
TEST_F(SteeringAgentTest, FlowsContinueAfterARestart) {
  EXPECT_EQ(only<ForwardToCaller>(this->fromUpstream(answer(9, false))).size(),
            1U);
  EXPECT_EQ(
      only<ForwardToUpstream>(this->steer(header(), callerPacket(9, 1, false)))
          .size(),
      1U);
}

/// Notices that an agent gets, and whether its intake is closed then.
struct IntakeRow {
  std::string Name;
  std::vector<IntakeNotice> Notices;
  bool IsClosed = false;
  Duration Passed{};
};

class IntakeTest : public SteeringAgentTest,
                   public testing::WithParamInterface<IntakeRow> {
protected:
  SteerActionList notify(const IntakeNotice &Notice) {
    SteerActionList Out;
    this->Agent.onIntake(Notice, this->Now, Out);
    return Out;
  }
};

// Guards against openings that reach a draining or evacuated upstream through a
// balancer that does not know it, and against an upstream that gets none for
// good because of an outdated balancer.
TEST_P(IntakeTest, NewestNoticeDecidesUntilItExpires) {
  for (const IntakeNotice &Each : GetParam().Notices) {
    (void)this->notify(Each);
  }
  this->Now += GetParam().Passed;
  SteerActionList Ignored;
  this->Agent.onTick(this->Now, Ignored);
  const auto Out = this->steer(header({2}), opening(9));
  EXPECT_EQ(only<ForwardToUpstream>(Out).empty(), GetParam().IsClosed);
  EXPECT_EQ(sent<Steer>(Out).size(), GetParam().IsClosed ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Rows, IntakeTest,
    testing::Values(
        IntakeRow{"closed", {{OrderService, 5, true}}, true},
        IntakeRow{"opened",
                  {{OrderService, 5, true}, {OrderService, 6, false}}},
        IntakeRow{"olderClosure",
                  {{OrderService, 6, false}, {OrderService, 5, true}}},
        IntakeRow{"olderOpening",
                  {{OrderService, 6, true}, {OrderService, 5, false}},
                  true},
        IntakeRow{"sameRevision",
                  {{OrderService, 6, true}, {OrderService, 6, false}},
                  true},
        IntakeRow{"otherService", {{TemplateService, 5, true}}},
        // Guards against notices of a former era of the source, whose revisions
        // are greater, that hold for ten minutes.
        IntakeRow{
            "openedInANewEra",
            {{OrderService, {50, 1}, true}, {OrderService, {12, 2}, false}}},
        IntakeRow{
            "closedInANewEra",
            {{OrderService, {50, 1}, false}, {OrderService, {12, 2}, true}},
            true},
        IntakeRow{
            "openingOfAnOlderEra",
            {{OrderService, {12, 2}, true}, {OrderService, {50, 1}, false}},
            true},
        IntakeRow{"newerWithoutEra",
                  {{OrderService, {5, 1}, true}, {OrderService, 6, false}}},
        IntakeRow{"olderWithoutEra",
                  {{OrderService, {5, 1}, true}, {OrderService, 4, false}},
                  true},
        IntakeRow{"newEraAfterOneWithoutEra",
                  {{OrderService, {5, 1}, true},
                   {OrderService, 9, true},
                   {OrderService, {7, 2}, false}}},
        IntakeRow{
            "notRepeated", {{OrderService, 5, true}}, false, IntakeLifetime},
        IntakeRow{"notYetRepeated",
                  {{OrderService, 5, true}},
                  true,
                  IntakeLifetime - milliseconds(1)}),
    [](const auto &Info) { return Info.param.Name; });

// Guards against held openings that reach the upstream after it began to drain
// or its zone was evacuated (review case 5), and against a loop between agents
// and a balancer that does not know it.
TEST_F(SteeringAgentTest, ClosedIntakeGivesOpeningsBackOnce) {
  this->fillSlots();
  Steer Again = header();
  Again.Displaced = true;
  for (const auto &[Port, Header] :
       {std::pair<std::uint16_t, Steer>(9, header()), {10, Again}}) {
    for (std::uint16_t Each = 0; Each < 4; ++Each) {
      (void)this->steer(Header,
                        opening(static_cast<std::uint16_t>(Port + 10 * Each)));
    }
  }
  this->Now += milliseconds(30);
  SteerActionList Out;
  this->Agent.onIntake({OrderService, 5, true}, this->Now, Out);
  EXPECT_TRUE(decided(Out, Decision::IntakeClosed));
  const auto Given = sent<Displaced>(Out);
  ASSERT_FALSE(Given.empty());
  EXPECT_EQ(Given[0].first, BalancerAddress);
  EXPECT_EQ(Given[0].second.Waited, milliseconds(30));
  EXPECT_EQ(only<RejectOpening>(Out).size(), sent<Refused>(Out).size());
  EXPECT_FALSE(sent<Refused>(Out).empty());
  EXPECT_TRUE(only<ForwardToUpstream>(Out).empty());
  // A slot that becomes free changes nothing, and neither do new openings.
  EXPECT_TRUE(
      only<ForwardToUpstream>(this->fromUpstream(answer(1, false))).empty());
  EXPECT_EQ(sent<Displaced>(this->steer(header(), opening(90))).size(), 1U);
  EXPECT_EQ(sent<Refused>(this->steer(Again, opening(91))).size(), 1U);
  // Flows that the upstream has accepted stay.
  EXPECT_EQ(only<ForwardToUpstream>(this->steer(header(), opening(1))).size(),
            1U);
  EXPECT_EQ(only<ForwardToUpstream>(
                this->steer(header(), callerPacket(1, 5002, true)))
                .size(),
            1U);
}

// Guards against an opening that a closed agent refuses although another one
// has room for it.
TEST_F(SteeringAgentTest, ClosedLastCandidateSendsTheOpeningToTheLeastLoaded) {
  SteerActionList Ignored;
  this->Agent.onIntake({OrderService, 5, true}, this->Now, Ignored);
  Steer Last = header();
  Last.LeastLoaded = {agentAddress(7), 8};
  const auto ToNext = sent<Steer>(this->steer(Last, opening(9)));
  ASSERT_EQ(ToNext.size(), 1U);
  EXPECT_EQ(ToNext[0].first, agentAddress(7));
  EXPECT_TRUE(ToNext[0].second.Final);
}

class ColdUpstreamTest : public SteeringAgentTest {
protected:
  /// Returns a header for a cold upstream that may get two openings a second.
  static Steer coldHeader(std::initializer_list<std::uint32_t> Next = {}) {
    Steer Header = header(Next);
    Header.ColdLimit = 2;
    Header.ColdLeft = std::chrono::seconds(10);
    return Header;
  }

  void SetUp() override {
    // The agent knows what the upstream got in the last second.
    this->Now += ColdWindow + milliseconds(1);
  }

  /// Opens flows until the limit is reached.
  void reachLimit() {
    for (std::uint16_t Port = 1; Port <= 2; ++Port) {
      ASSERT_TRUE(decided(this->steer(coldHeader(), opening(Port)),
                          Decision::OpeningTaken));
      (void)this->fromUpstream(answer(Port, true));
    }
  }
};

// Guards against a cold upstream that gets more openings than it may, from any
// number of balancers, and against one that is held back while it is warm.
TEST_F(ColdUpstreamTest, OpeningsBeyondTheLimitArePassedOn) {
  this->reachLimit();
  const auto Out = this->steer(coldHeader({2}), opening(3));
  EXPECT_TRUE(decided(Out, Decision::OpeningPassedOn));
  ASSERT_EQ(sent<Steer>(Out).size(), 1U);
  EXPECT_EQ(sent<Steer>(Out)[0].first, agentAddress(2));
  // The next candidate is warm.
  EXPECT_EQ(sent<Steer>(Out)[0].second.ColdLeft, milliseconds(0));
  // A message that does not say it changes nothing.
  EXPECT_FALSE(
      decided(this->steer(header({2}), opening(4)), Decision::OpeningTaken));
  this->Now += std::chrono::seconds(10);
  EXPECT_TRUE(
      decided(this->steer(header({2}), opening(5)), Decision::OpeningTaken));
}

// Guards against an upstream that gets a second's openings again because its
// agent has restarted.
TEST_F(ColdUpstreamTest, RestartedAgentWaitsForASecond) {
  this->Agent =
      SteeringAgentLogic({OrderService, agentAddress(1), PeerPort}, this->Now);
  EXPECT_TRUE(decided(this->steer(coldHeader({2}), opening(1)),
                      Decision::OpeningPassedOn));
}

// Guards against openings that the last candidate drops, or lets through, and
// against an upstream that gets none after it.
TEST_F(ColdUpstreamTest, LastCandidateHoldsOpeningsUntilTheWindowIsOpen) {
  this->reachLimit();
  Steer Header = coldHeader();
  Header.Timeout = std::chrono::seconds(4);
  EXPECT_TRUE(decided(this->steer(Header, opening(3)), Decision::OpeningHeld));
  SteerActionList Out;
  this->Now += std::chrono::seconds(1);
  this->Agent.onTick(this->Now, Out);
  EXPECT_FALSE(decided(Out, Decision::OpeningTaken));
  this->Now += milliseconds(100);
  this->Agent.onTick(this->Now, Out);
  EXPECT_TRUE(decided(Out, Decision::OpeningTaken));
}

// Guards against callers that wait for a refusal that is certain: their time is
// over before the window opens.
TEST_F(ColdUpstreamTest, LastCandidateRefusesWhoCannotWait) {
  this->reachLimit();
  Steer Header = coldHeader();
  Header.Timeout = milliseconds(500);
  const auto Out = this->steer(Header, opening(3));
  EXPECT_TRUE(decided(Out, Decision::OpeningRefused));
  EXPECT_EQ(sent<Refused>(Out).size(), 1U);
}

// Guards against a cold upstream whose open flows and new ones together get
// more than it bears, and against a first request that counts twice.
TEST_F(ColdUpstreamTest, FurtherRequestsOfOpenFlowsCount) {
  const auto Begin = [this](std::uint32_t Sequence) {
    RoutedPacket Request = callerPacket(1, 5002, true);
    Request.View.Sequence = Sequence;
    (void)this->steer(coldHeader(), Request);
    (void)this->fromUpstream(answer(1, false));
  };
  (void)this->steer(coldHeader(), opening(1));
  (void)this->fromUpstream(answer(1, true));
  Begin(1);
  EXPECT_TRUE(decided(this->steer(coldHeader({2}), opening(2)),
                      Decision::OpeningTaken));
  this->Now += ColdWindow + milliseconds(1);
  Begin(1 + static_cast<std::uint32_t>(anyBytes().size()));
  (void)this->steer(coldHeader({2}), opening(3));
  EXPECT_TRUE(decided(this->steer(coldHeader({2}), opening(4)),
                      Decision::OpeningPassedOn));
}

} // namespace
} // namespace mulberryhoist
