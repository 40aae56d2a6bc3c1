#include "mulberryhoist/steering-agent.h"

#include <gtest/gtest.h>

#include "steer-samples.h"

namespace mulberryhoist {
namespace {

using namespace samples;
using std::chrono::milliseconds;

/// A header that lists the agents with these numbers after the receiver.
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

class GateTest : public testing::Test {
protected:
  SteerActionList steer(const Steer &Header, const RoutedPacket &Packet) {
    SteerActionList Out;
    this->Gate.onSteer(Header, Packet, this->Now, Out);
    return Out;
  }

  SteerActionList fromUpstream(const RoutedPacket &Packet) {
    SteerActionList Out;
    this->Gate.onUpstreamPacket(Packet, this->Now, Out);
    return Out;
  }

  /// Opens a flow and sends its request.
  void beginRequest(std::uint16_t Port) {
    (void)this->steer(header(), opening(Port));
    (void)this->fromUpstream(answer(Port, true));
    (void)this->steer(header(), callerPacket(Port, 5001U + Port, true));
  }

  void fillSlots() {
    for (std::uint16_t Port = 1; Port <= 4; ++Port) {
      this->beginRequest(Port);
    }
    ASSERT_EQ(this->Gate.load(), 4U);
  }

  Instant Now = Instant(std::chrono::hours(1));
  SteeringAgentLogic Gate{{OrderService, agentAddress(1), PeerPort}, Now};
};

TEST_F(GateTest, TakesAnOpeningAndReportsItToTheBalancer) {
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

// Guards against a packet for one service that reaches another one's upstream
// after an address was used again.
TEST_F(GateTest, NeverHandsOverPacketsOfAnotherService) {
  Steer Foreign = header({2});
  Foreign.Services = {};
  (void)Foreign.Services.add(TemplateService);
  for (const RoutedPacket &Packet : {opening(9), callerPacket(9, 1, true)}) {
    const auto Out = this->steer(Foreign, Packet);
    EXPECT_TRUE(only<ForwardToUpstream>(Out).empty());
    EXPECT_EQ(sent<Steer>(Out).size(), 1U);
  }
  this->Gate.onService(TemplateService);
  EXPECT_EQ(only<ForwardToUpstream>(this->steer(Foreign, opening(9))).size(),
            1U);
  EXPECT_TRUE(
      only<ForwardToUpstream>(this->steer(header(), opening(8))).empty());
}

TEST_F(GateTest, PassesOnWhenAllSlotsAreBusy) {
  this->fillSlots();
  const auto Onward = sent<Steer>(this->steer(header({2, 3}), opening(9)));
  ASSERT_EQ(Onward.size(), 1U);
  EXPECT_EQ(Onward[0].first, agentAddress(2));
  EXPECT_EQ(Onward[0].second.LeastLoaded.Agent, agentAddress(1));
  EXPECT_EQ(Onward[0].second.LeastLoad, 4U);
}

// Guards against a least loaded agent that refuses because the slots of its
// upstream were lost on the way.
TEST_F(GateTest, LastCandidateSendsTheOpeningToTheLeastLoaded) {
  this->fillSlots();
  Steer Last = header();
  Last.LeastLoaded = {agentAddress(7), 8};
  Last.LeastLoad = 3;
  const auto Onward = sent<Steer>(this->steer(Last, opening(9)));
  ASSERT_EQ(Onward.size(), 1U);
  EXPECT_EQ(Onward[0].first, agentAddress(7));
  EXPECT_TRUE(Onward[0].second.Final);
  EXPECT_EQ(Onward[0].second.Slots, 8U);
}

// Guards against load that nothing works on: copies of an opening are answered
// by several upstreams, and the caller uses one.
TEST_F(GateTest, OpeningWithoutRequestStopsCounting) {
  for (std::uint16_t Port = 1; Port <= 4; ++Port) {
    (void)this->steer(header(), opening(Port));
    (void)this->fromUpstream(answer(Port, true));
  }
  EXPECT_EQ(this->Gate.load(), 4U);
  this->Now += OpeningWorkTimeout;
  const auto Out = this->steer(header({2}), opening(9));
  EXPECT_EQ(only<ForwardToUpstream>(Out).size(), 1U);
  EXPECT_EQ(this->Gate.load(), 1U);
}

TEST_F(GateTest, FirstAnswerOfARequestFreesItsSlot) {
  this->fillSlots();
  this->Now += milliseconds(30);
  const auto Out = this->fromUpstream(answer(1, false));
  EXPECT_EQ(this->Gate.load(), 3U);
  EXPECT_EQ(only<ObserveLatency>(Out).size(), 1U);
}

TEST_F(GateTest, ReturnedPacketVisitsTheNextCandidate) {
  const auto Handed = only<ForwardToUpstream>(
      this->steer(header({2}), callerPacket(9, 1, true)));
  ASSERT_EQ(Handed.size(), 1U);
  const RoutedPacket Back = returned(callerPacket(9, 1, true), Handed[0].Tag);
  const auto Onward = sent<Steer>(this->fromUpstream(Back));
  ASSERT_EQ(Onward.size(), 1U);
  EXPECT_EQ(Onward[0].first, agentAddress(2));
  // The same packet cannot be returned twice.
  EXPECT_TRUE(sent<Steer>(this->fromUpstream(Back)).empty());
}

// Guards against a reset of an open flow whose holder is not among the
// candidates of an outdated directory.
TEST_F(GateTest, LastReturnedPacketIsDroppedAndNeverRefused) {
  const auto Handed =
      only<ForwardToUpstream>(this->steer(header(), callerPacket(9, 1, true)));
  const auto Out =
      this->fromUpstream(returned(callerPacket(9, 1, true), Handed[0].Tag));
  EXPECT_TRUE(only<RejectOpening>(Out).empty());
  EXPECT_TRUE(only<SendSteer>(Out).empty());
  EXPECT_TRUE(decided(Out, Decision::OwnerNotFound));
}

TEST_F(GateTest, ReturnedOpeningIsRefusedOnlyAfterAllCandidates) {
  auto Handed = only<ForwardToUpstream>(this->steer(header({2}), opening(9)));
  auto Out = this->fromUpstream(returned(opening(9), Handed[0].Tag));
  EXPECT_TRUE(only<RejectOpening>(Out).empty());
  EXPECT_EQ(sent<Steer>(Out).size(), 1U);
  EXPECT_EQ(this->Gate.load(), 0U);
  Handed = only<ForwardToUpstream>(this->steer(header(), opening(9)));
  Out = this->fromUpstream(returned(opening(9), Handed[0].Tag));
  ASSERT_EQ(only<RejectOpening>(Out).size(), 1U);
  EXPECT_EQ(only<RejectOpening>(Out)[0].Flow, flowOf(9));
}

// Guards against a returned packet of an earlier process or another sender that
// is taken for one of this agent.
TEST_F(GateTest, UnknownTagIsDropped) {
  for (const std::uint32_t Tag : {0U, 77U, 0xFFFFFFFFU}) {
    const auto Out = this->fromUpstream(returned(opening(9), Tag));
    EXPECT_TRUE(only<SendSteer>(Out).empty());
    EXPECT_TRUE(only<RejectOpening>(Out).empty());
  }
}

// Guards against three quick refusals in a row while a slot becomes free soon.
TEST_F(GateTest, OpeningThatIsLateAlreadyWaitsForAFreeSlot) {
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

// Guards against an opening that is held until its caller gives up.
TEST_F(GateTest, HeldOpeningIsRefusedWhileItsCallerStillWaits) {
  this->fillSlots();
  Steer Last = header();
  Last.Final = true;
  (void)this->steer(Last, opening(9, milliseconds(600)));
  this->Now += milliseconds(600) - HeldMargin;
  SteerActionList Out;
  this->Gate.onTick(this->Now, Out);
  ASSERT_EQ(only<RejectOpening>(Out).size(), 1U);
  EXPECT_EQ(only<RejectOpening>(Out)[0].Flow, flowOf(9));
}

// Guards against a refusal that is held back although nothing can serve it.
TEST_F(GateTest, OpeningWithoutTimeIsRefusedAtOnce) {
  this->fillSlots();
  Steer Last = header();
  Last.Final = true;
  Last.Timeout = milliseconds(700);
  const auto Out = this->steer(Last, opening(9, milliseconds(600)));
  EXPECT_EQ(only<RejectOpening>(Out).size(), 1U);
}

// Guards against a balancer that sends a refused opening to others.
TEST_F(GateTest, RefusalIsReportedToTheBalancer) {
  const auto ExpectNotice = [](const SteerActionList &Out) {
    const auto Notices = sent<Refused>(Out);
    ASSERT_EQ(Notices.size(), 1U);
    EXPECT_EQ(Notices[0].first, BalancerAddress);
    EXPECT_EQ(Notices[0].second.Flow, (FlowIncarnation{flowOf(9), 9}));
  };
  const auto Handed =
      only<ForwardToUpstream>(this->steer(header(), opening(9)));
  ExpectNotice(this->fromUpstream(returned(opening(9), Handed[0].Tag)));
  this->fillSlots();
  Steer Last = header();
  Last.Final = true;
  Last.Timeout = milliseconds(700);
  ExpectNotice(this->steer(Last, opening(9, milliseconds(600))));
  Last.Timeout = milliseconds(1200);
  (void)this->steer(Last, opening(9, milliseconds(600)));
  SteerActionList Out;
  this->Gate.onTick(this->Now + milliseconds(600), Out);
  ExpectNotice(Out);
}

TEST_F(GateTest, SilentUpstreamGetsOnlyTrials) {
  for (std::uint16_t Port = 1; Port <= 2; ++Port) {
    (void)this->steer(header(), opening(Port));
  }
  this->Now += UpstreamAnswerTimeout;
  int Handed = 0;
  for (std::uint16_t Port = 11; Port <= 20; ++Port) {
    const auto Out = this->steer(header({2}), opening(Port));
    Handed += static_cast<int>(only<ForwardToUpstream>(Out).size());
    EXPECT_EQ(only<ForwardToUpstream>(Out).size() + sent<Steer>(Out).size(),
              1U);
  }
  EXPECT_EQ(Handed, 1);
  EXPECT_TRUE(
      decided(this->fromUpstream(answer(1, true)), Decision::UpstreamAnswers));
  EXPECT_EQ(
      only<ForwardToUpstream>(this->steer(header({2}), opening(30))).size(),
      1U);
}

// Guards against work that is cut by a planned stop, and against new work at an
// agent that leaves.
TEST_F(GateTest, LeavingAgentFinishesItsWorkAndTakesNoNew) {
  this->beginRequest(1);
  SteerActionList Out;
  this->Gate.onTerminate(this->Now, Out);
  const auto Told = sent<CheckReply>(Out);
  ASSERT_EQ(Told.size(), 1U);
  EXPECT_TRUE(Told[0].second.Leaving);
  EXPECT_EQ(sent<Steer>(this->steer(header({2}), opening(9))).size(), 1U);
  this->Now += milliseconds(500);
  EXPECT_FALSE(this->Gate.isDrained(this->Now));
  (void)this->fromUpstream(answer(1, false));
  EXPECT_FALSE(this->Gate.isDrained(this->Now));
  this->Now += SteeringAgentQuietPeriod;
  EXPECT_TRUE(this->Gate.isDrained(this->Now));
}

// Guards against an opening that waits for a slot and is forgotten by a stop.
TEST_F(GateTest, LeavingAgentServesTheOpeningsThatItHolds) {
  this->fillSlots();
  Steer Last = header();
  Last.Final = true;
  (void)this->steer(Last, opening(9, milliseconds(600)));
  SteerActionList Out;
  this->Gate.onTerminate(this->Now, Out);
  for (std::uint16_t Port = 1; Port <= 4; ++Port) {
    Out = this->fromUpstream(answer(Port, false));
    EXPECT_EQ(only<ForwardToUpstream>(Out).size(), Port == 1 ? 1U : 0U);
  }
  this->Now += SteeringAgentQuietPeriod;
  SteerActionList Ignored;
  this->Gate.onTick(this->Now, Ignored);
  EXPECT_TRUE(this->Gate.isDrained(this->Now));
}

TEST_F(GateTest, StopHasADeadline) {
  this->beginRequest(1);
  SteerActionList Out;
  this->Gate.onTerminate(this->Now, Out);
  EXPECT_TRUE(this->Gate.isDrained(this->Now + SteeringAgentDrainDeadline));
}

// Guards against flows that an agent which restarted holds up.
TEST_F(GateTest, FlowsOfAnEarlierProcessGoOn) {
  EXPECT_EQ(only<ForwardToCaller>(this->fromUpstream(answer(9, false))).size(),
            1U);
  EXPECT_EQ(
      only<ForwardToUpstream>(this->steer(header(), callerPacket(9, 1, false)))
          .size(),
      1U);
}

} // namespace
} // namespace mulberryhoist
