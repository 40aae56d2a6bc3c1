#include "mulberryhoist/steering.h"

#include <gtest/gtest.h>

#include <set>

#include "steer-samples.h"

namespace mulberryhoist {
namespace {

using namespace samples;
using std::chrono::milliseconds;
using std::chrono::seconds;

ListedUpstream evacuated(ListedUpstream Each) {
  Each.IsEvacuated = true;
  return Each;
}

class SteeringTest : public testing::Test {
protected:
  void SetUp() override { this->use({upstream(1), upstream(2), upstream(3)}); }

  void use(std::vector<ListedUpstream> Upstreams, RouteSet Routes = routes()) {
    this->Logic.onDirectory(std::make_shared<const Directory>(
        std::move(Routes), Upstreams, this->Listing));
  }

  SteerActionList packet(const RoutedPacket &Packet) {
    SteerActionList Out;
    this->Logic.onCallerPacket(Packet, this->Now, Out);
    return Out;
  }

  SteerActionList tick(Duration Step) {
    this->Now += Step;
    SteerActionList Out;
    this->Logic.onTick(this->Now, Out);
    return Out;
  }

  SteerActionList taken(std::uint32_t Number, std::uint16_t Port,
                        std::uint32_t Sequence) {
    SteerActionList Out;
    Taken Notice;
    Notice.Flow = {flowOf(Port), Port};
    Notice.Sequence = Sequence;
    this->Logic.onTaken({agentAddress(Number), PeerPort}, Notice, this->Now,
                        Out);
    return Out;
  }

  /// Returns all agents to which an opening may be sent.
  static std::multiset<std::uint32_t>
  visited(const std::pair<std::uint32_t, Steer> &Sent) {
    std::multiset<std::uint32_t> All = {Sent.first};
    for (const Candidate &Each : Sent.second.Next.view()) {
      All.insert(Each.Agent);
    }
    return All;
  }

  /// Returns the packet that `Sent` carries as not held by its receivers.
  SteerActionList notHeld(std::uint16_t Port, std::uint32_t Search,
                          bool IsIncomplete = false) {
    SteerActionList Out;
    this->Logic.onNotHeld({agentAddress(3), PeerPort}, {Search, IsIncomplete},
                          callerPacket(Port, 501, true), this->Now, Out);
    return Out;
  }

  /// Returns the packet of a search, part by part, until the search ends;
  /// returns the actions after the last part.
  SteerActionList returnAll(std::uint16_t Port, std::uint32_t Search,
                            bool IsIncomplete = false) {
    SteerActionList Out = this->notHeld(Port, Search, IsIncomplete);
    while (!sent<Steer>(Out).empty()) {
      Out = this->notHeld(Port, Search, IsIncomplete);
    }
    return Out;
  }

  /// Sends a packet of an unknown flow that all upstreams return, part by part;
  /// returns the actions after the last part.
  SteerActionList exhaustSearch(std::uint16_t Port) {
    const auto Sent = sent<Steer>(this->packet(callerPacket(Port, 501, true)));
    return this->returnAll(Port, Sent[0].second.Search);
  }

  /// Lets 20 ms pass; all agents but one reply to checks.
  void tickWithout(std::uint32_t SilentNumber) {
    for (const auto &[Agent, Request] :
         sent<Check>(this->tick(milliseconds(20)))) {
      if (Agent != agentAddress(SilentNumber)) {
        SteerActionList Ignored;
        this->Logic.onCheckReply({Agent, PeerPort}, {Request.Sequence, false},
                                 this->Now, Ignored);
      }
    }
  }

  /// Marks an agent as suspected: it leaves two checks unanswered.
  void suspect(std::uint32_t Number) {
    for (int I = 0; I < 20; ++I) {
      (void)this->packet(
          callerPacket(static_cast<std::uint16_t>(900 + I), 1, true));
      this->tickWithout(Number);
    }
    ASSERT_EQ(this->Logic.avoidance(agentAddress(Number)),
              Avoidance::Suspected);
  }

  SteerActionList confirmed(Instant ReadAt, DirectoryEdition Edition) {
    SteerActionList Out;
    this->Logic.onConfirmation({ReadAt, Edition}, Out);
    return Out;
  }

  static constexpr std::uint32_t Additions = 3;
  static constexpr DirectoryEdition Edition = {1, Additions};
  static constexpr milliseconds UnixStart{1'800'000'000'000};
  Instant Now = Instant(std::chrono::hours(1));
  /// Settled long ago.
  Completeness Listing{Additions, Instant(std::chrono::minutes(1))};
  SteeringLogic Logic{{BalancerAddress, PeerPort, Now, UnixStart}};
};

TEST_F(SteeringTest, OpeningVisitsReadyUpstreamsOnly) {
  this->use({upstream(1), upstream(2, UpstreamState::Draining),
             upstream(3, UpstreamState::Gone), upstream(4)});
  const auto Sent = sent<Steer>(this->packet(opening(9)));
  ASSERT_EQ(Sent.size(), 1U);
  EXPECT_EQ(visited(Sent[0]),
            (std::multiset{agentAddress(1), agentAddress(4)}));
}

// Guards against an opening that visits an agent twice: an upstream that
// restarted is listed under both names until the old entry expires.
TEST_F(SteeringTest, OneCandidateForEachAgent) {
  ListedUpstream Restarted = upstream(5);
  Restarted.Address = agentAddress(1);
  this->use({upstream(1), upstream(2), Restarted});
  const auto Sent = sent<Steer>(this->packet(opening(9)));
  ASSERT_EQ(Sent.size(), 1U);
  EXPECT_EQ(visited(Sent[0]),
            (std::multiset{agentAddress(1), agentAddress(2)}));
}

struct RefusalRow {
  RouteSet Routes;
  std::vector<ListedUpstream> Upstreams;
  Decision Expected;
};

class SteeringRefusalTest : public SteeringTest,
                            public testing::WithParamInterface<RefusalRow> {};

// Guards against callers that wait for a response when no upstream can serve
// their opening.
TEST_P(SteeringRefusalTest, RefusesOpeningThatNoUpstreamCanServe) {
  this->use(GetParam().Upstreams, GetParam().Routes);
  const auto Out = this->packet(opening(9));
  EXPECT_EQ(only<RejectOpening>(Out).size(), 1U);
  EXPECT_TRUE(decided(Out, GetParam().Expected));
  // Only openings are refused.
  EXPECT_TRUE(
      only<RejectOpening>(this->packet(callerPacket(9, 1, true))).empty());
}

INSTANTIATE_TEST_SUITE_P(
    Rows, SteeringRefusalTest,
    testing::Values(
        RefusalRow{{2, {}}, {upstream(1)}, Decision::RefusedNoRoute},
        RefusalRow{routes(), {}, Decision::RefusedNoUpstream},
        RefusalRow{routes(),
                   {upstream(1, UpstreamState::Draining)},
                   Decision::RefusedNoUpstream},
        RefusalRow{
            routes(),
            {evacuated(upstream(1)), upstream(2, UpstreamState::Draining)},
            Decision::RefusedEvacuated}));

// Guards against openings that reach an evacuated zone, and against open flows
// that are not found there.
TEST_F(SteeringTest, EvacuatedUpstreamsGetNoOpeningsButKeepTheirFlows) {
  this->use({upstream(1), evacuated(upstream(2))});
  const auto Opened = sent<Steer>(this->packet(opening(9)));
  ASSERT_EQ(Opened.size(), 1U);
  EXPECT_EQ(visited(Opened[0]), (std::multiset{agentAddress(1)}));
  const auto Searched = sent<Steer>(this->packet(callerPacket(8, 1, true)));
  ASSERT_EQ(Searched.size(), 1U);
  EXPECT_EQ(visited(Searched[0]),
            (std::multiset{agentAddress(1), agentAddress(2)}));
}

// Guards against an agent that does not learn of a drain or an evacuation
// because a notice is lost, and against one that stays closed after its end.
TEST_F(SteeringTest, AgentsAreToldWhetherTheirUpstreamsTakeFlows) {
  EXPECT_TRUE(sent<IntakeNotice>(this->tick(seconds(1))).empty());
  this->use({upstream(1), evacuated(upstream(2)),
             upstream(3, UpstreamState::Draining)});
  for (const Duration Delay :
       {Duration::zero(), IntakeFirstRepeat, IntakeRenewal, IntakeRenewal}) {
    std::set<std::uint32_t> Told;
    for (const auto &[Agent, Notice] : sent<IntakeNotice>(this->tick(Delay))) {
      EXPECT_TRUE(Notice.IsClosed);
      Told.insert(Agent);
    }
    EXPECT_EQ(Told, (std::set{agentAddress(2), agentAddress(3)}));
  }
  EXPECT_TRUE(sent<IntakeNotice>(this->tick(milliseconds(10))).empty());
  // The upstream that drained has left.
  this->use(
      {upstream(1), evacuated(upstream(2)), upstream(3, UpstreamState::Gone)});
  EXPECT_EQ(sent<IntakeNotice>(this->tick(IntakeRenewal)).size(), 1U);
  this->use({upstream(1), upstream(2), upstream(3)});
  for (const Duration Delay :
       {Duration::zero(), IntakeFirstRepeat, IntakeRenewal}) {
    std::set<std::uint32_t> Told;
    for (const auto &[Agent, Notice] : sent<IntakeNotice>(this->tick(Delay))) {
      EXPECT_FALSE(Notice.IsClosed);
      Told.insert(Agent);
    }
    EXPECT_EQ(Told, (std::set{agentAddress(2), agentAddress(3)}));
  }
  EXPECT_TRUE(sent<IntakeNotice>(this->tick(seconds(9))).empty());
}

/// What became of an opening before an agent gives it back.
struct DisplacedRow {
  std::string Name;
  bool IsHeld = false;
  /// Another agent's upstream has accepted it.
  bool IsTaken = false;
  std::vector<ListedUpstream> Upstreams;
  Decision Expected = Decision::OpeningSent;
};

class DisplacedTest : public SteeringTest,
                      public testing::WithParamInterface<DisplacedRow> {};

// Guards against an opening that is lost, or that two agents take, because one
// of them gave it back.
TEST_P(DisplacedTest, OpeningIsPlacedAnewOnce) {
  const DisplacedRow &Row = GetParam();
  (void)this->packet(opening(9));
  if (Row.IsHeld) {
    (void)this->taken(2, 9, 0);
  }
  if (Row.IsTaken) {
    (void)this->taken(1, 9, 500);
  }
  this->use(Row.Upstreams);
  SteerActionList Out;
  this->Logic.onDisplaced({agentAddress(2), PeerPort}, {milliseconds(70)},
                          opening(9), this->Now, Out);
  if (Row.IsTaken) {
    EXPECT_TRUE(Out.empty());
    return;
  }
  EXPECT_TRUE(decided(Out, Row.Expected));
  for (const auto &[Agent, Header] : sent<Steer>(Out)) {
    EXPECT_TRUE(Agent == agentAddress(1) || !Row.Upstreams[1].IsEvacuated);
    EXPECT_TRUE(Header.Displaced);
    EXPECT_EQ(Header.Waited, milliseconds(70));
  }
}

INSTANTIATE_TEST_SUITE_P(
    Rows, DisplacedTest,
    testing::Values(
        DisplacedRow{.Name = "held",
                     .IsHeld = true,
                     .Upstreams = {upstream(1), evacuated(upstream(2))}},
        DisplacedRow{.Name = "unanswered",
                     .Upstreams = {upstream(1), evacuated(upstream(2))}},
        DisplacedRow{.Name = "balancerDoesNotKnow",
                     .IsHeld = true,
                     .Upstreams = {upstream(1), upstream(2)}},
        DisplacedRow{.Name = "nowhereElse",
                     .IsHeld = true,
                     .Upstreams = {evacuated(upstream(2))},
                     .Expected = Decision::RefusedEvacuated},
        DisplacedRow{.Name = "takenElsewhere",
                     .IsHeld = true,
                     .IsTaken = true,
                     .Upstreams = {upstream(1), evacuated(upstream(2))}}),
    [](const auto &Info) { return Info.param.Name; });

// Guards against a caller's retransmission that follows an opening into an
// evacuated zone although no upstream there has answered it.
TEST_F(SteeringTest, RepeatedOpeningLeavesAnEvacuatedZoneUnlessAnswered) {
  for (const std::uint32_t Sequence : {0U, 500U}) {
    const auto Port = static_cast<std::uint16_t>(9 + Sequence);
    this->use({upstream(1), upstream(2)});
    (void)this->packet(opening(Port));
    (void)this->taken(2, Port, Sequence);
    this->use({upstream(1), evacuated(upstream(2))});
    const auto Sent = sent<Steer>(this->packet(opening(Port)));
    ASSERT_EQ(Sent.size(), 1U);
    EXPECT_EQ(Sent[0].first, agentAddress(Sequence == 0 ? 1 : 2));
  }
}

TEST_F(SteeringTest, PacketGoesToTheOwnerOfItsFlow) {
  (void)this->packet(opening(9));
  (void)this->taken(3, 9, 500);
  this->use({upstream(1), upstream(2), upstream(3), upstream(4), upstream(5)});
  const auto Sent = sent<Steer>(this->packet(callerPacket(9, 501, true)));
  ASSERT_EQ(Sent.size(), 1U);
  EXPECT_EQ(Sent[0].first, agentAddress(3));
}

// Guards against packets sent to the wrong one of two upstreams that accepted
// an opening; the caller's acknowledgment shows which one it uses.
TEST_F(SteeringTest, CallersAcknowledgmentSelectsTheOwner) {
  (void)this->packet(opening(9));
  (void)this->taken(1, 9, 500);
  (void)this->taken(2, 9, 900);
  EXPECT_EQ(sent<Steer>(this->packet(callerPacket(9, 901, false)))[0].first,
            agentAddress(2));
  EXPECT_EQ(sent<Steer>(this->packet(callerPacket(9, 1901, true)))[0].first,
            agentAddress(2));
}

// Guards against the loss of a flow that the routers moved to a balancer that
// has not received its opening.
TEST_F(SteeringTest, UnknownFlowVisitsAllUpstreams) {
  this->use({upstream(1), upstream(2, UpstreamState::Draining),
             upstream(3, UpstreamState::Gone)});
  const auto Sent = sent<Steer>(this->packet(callerPacket(9, 1, true)));
  ASSERT_EQ(Sent.size(), 1U);
  EXPECT_EQ(visited(Sent[0]),
            (std::multiset{agentAddress(1), agentAddress(2), agentAddress(3)}));
  EXPECT_EQ(Sent[0].second.Next.view().back().Agent, agentAddress(3));
  EXPECT_TRUE(Sent[0].second.Notify);
}

// Guards against callers that wait for their deadlines although the upstream of
// their flow has restarted.
TEST_F(SteeringTest, FlowThatNoUpstreamHoldsIsResetOnceConfirmed) {
  EXPECT_TRUE(decided(this->exhaustSearch(9), Decision::FlowNotHeld));
  EXPECT_TRUE(this->Logic.takeConfirmationRequest());
  EXPECT_FALSE(this->Logic.takeConfirmationRequest());
  const auto Out = this->confirmed(this->Now, Edition);
  ASSERT_EQ(only<ResetFlow>(Out).size(), 1U);
  EXPECT_EQ(only<ResetFlow>(Out)[0].Flow, flowOf(9));
  EXPECT_EQ(only<ResetFlow>(Out)[0].Sequence, 501U);
  EXPECT_FALSE(this->Logic.awaitsConfirmation());
}

/// A case in which a living upstream may hold the flow although all listed ones
/// have returned its packet.
struct SilenceRow {
  std::string Name;
  Completeness Listing;
  /// When the upstreams started, relative to the balancer.
  milliseconds UpstreamsStarted{0};
  /// Whether the directory gets an upstream between search and confirmation.
  bool IsUpstreamAdded = false;
  /// When the confirming read began, relative to the notice.
  milliseconds ReadAt{0};
  DirectoryEdition Confirmed = {1, 3};
  /// Whether the directory gets other routes between search and confirmation.
  bool AreRoutesChanged = false;
  bool IsOwnerLearned = false;
  /// Whether an upstream has neither kept nor returned the packet.
  bool IsIncomplete = false;
};

class SteeringSilenceTest : public SteeringTest,
                            public testing::WithParamInterface<SilenceRow> {};

// Guards against a reset of a flow whose upstream lives.
TEST_P(SteeringSilenceTest, UnprovenFlowIsNotReset) {
  const SilenceRow &Row = GetParam();
  this->Listing = Row.Listing;
  std::vector<ListedUpstream> All = {upstream(1), upstream(2), upstream(3)};
  for (ListedUpstream &Each : All) {
    Each.StartedAt = UnixStart + Row.UpstreamsStarted;
  }
  this->use(All);
  const auto Sent = sent<Steer>(this->packet(callerPacket(9, 501, true)));
  if (Row.IsUpstreamAdded) {
    ++this->Listing.Additions;
    All.push_back(upstream(4));
    this->use(All);
  }
  if (Row.AreRoutesChanged) {
    this->use(All, routes(2));
  }
  (void)this->returnAll(9, Sent[0].second.Search, Row.IsIncomplete);
  if (Row.IsOwnerLearned) {
    (void)this->taken(1, 9, 500);
  }
  EXPECT_TRUE(
      only<ResetFlow>(this->confirmed(this->Now + Row.ReadAt, Row.Confirmed))
          .empty());
  EXPECT_TRUE(only<ResetFlow>(this->tick(ConfirmationTimeout)).empty());
  EXPECT_FALSE(this->Logic.awaitsConfirmation());
}

constexpr Instant Begin = Instant(std::chrono::hours(1));
constexpr Instant LongAgo = Instant(std::chrono::minutes(1));
constexpr Instant AtStart = Begin + ReregistrationGrace;

INSTANTIATE_TEST_SUITE_P(
    Rows, SteeringSilenceTest,
    testing::Values(
        SilenceRow{.Name = "serviceNotNamedAnyMore",
                   .Listing = {3, LongAgo, std::nullopt, true},
                   .UpstreamsStarted = -std::chrono::minutes(5)},
        // The same after a loss of power: other balancers may have been back
        // while the service had a name.
        SilenceRow{.Name = "serviceNotNamedSinceALossOfPower",
                   .Listing = {3, AtStart, Begin, true}},
        // An upstream registered after the search began.
        SilenceRow{.Name = "olderSearch",
                   .Listing = {3, LongAgo},
                   .IsUpstreamAdded = true,
                   .Confirmed = {1, 4}},
        // The source lists an upstream that the directory does not have yet.
        SilenceRow{.Name = "additionWhileConfirming",
                   .Listing = {3, LongAgo},
                   .Confirmed = {1, 4}},
        // Another service may have got the flow by a newer configuration.
        SilenceRow{.Name = "routesChangedDuringTheSearch",
                   .Listing = {3, LongAgo},
                   .Confirmed = {2, 3},
                   .AreRoutesChanged = true},
        SilenceRow{.Name = "newerRoutesConfirmed",
                   .Listing = {3, LongAgo},
                   .Confirmed = {2, 3}},
        // An upstream may have registered after the read.
        SilenceRow{.Name = "readBeforeTheNotice",
                   .Listing = {3, LongAgo},
                   .ReadAt = milliseconds(-1)},
        // Entries may have expired while the source was unavailable.
        SilenceRow{.Name = "sourceLost", .Listing = {3, std::nullopt}},
        SilenceRow{.Name = "sourceJustRegained",
                   .Listing = {3, Begin + milliseconds(1)},
                   .UpstreamsStarted = -JointRestartSpan - milliseconds(1)},
        // A balancer that just started does not know which entries expired.
        SilenceRow{.Name = "onlyTheBalancerRestarted",
                   .Listing = {3, AtStart},
                   .UpstreamsStarted = -std::chrono::minutes(5)},
        // The upstreams were replaced while the source was unavailable.
        SilenceRow{.Name = "replacedDuringAnOutage",
                   .Listing = {3, AtStart + JointRestartSpan + milliseconds(1)},
                   .UpstreamsStarted = std::chrono::minutes(5)},
        SilenceRow{.Name = "ownerLearned",
                   .Listing = {3, LongAgo},
                   .IsOwnerLearned = true},
        // An upstream is suspended and cannot return the packet.
        SilenceRow{.Name = "silentUpstream",
                   .Listing = {3, LongAgo},
                   .IsIncomplete = true}),
    [](const auto &Info) { return Info.param.Name; });

// Guards against agents of a service that the message does not name, which pass
// the packet on without asking their upstreams.
TEST_F(SteeringTest, FlowOfARouteWithTooManyServicesIsNotReset) {
  RouteSet Split = routes();
  for (std::uint32_t I = 0; I < MaxSteerServices; ++I) {
    Split.Routes[0].Targets.push_back({serviceId(std::to_string(I)), 1});
  }
  this->use({upstream(1)}, Split);
  EXPECT_TRUE(decided(this->exhaustSearch(9), Decision::FlowNotHeldIgnored));
  EXPECT_FALSE(this->Logic.awaitsConfirmation());
}

// After a loss of power, callers must not wait until the listing has settled.
TEST_F(SteeringTest, FlowIsResetAtOnceIfAllVmsRestartedTogether) {
  this->Listing.SettledAt = AtStart;
  std::vector<ListedUpstream> All = {upstream(1), upstream(2)};
  All[0].StartedAt = UnixStart - milliseconds(500);
  All[1].StartedAt = UnixStart + milliseconds(300);
  ListedUpstream Old = upstream(1, UpstreamState::Gone);
  Old.Name = "i-9";
  All.push_back(Old);
  this->use(All);
  (void)this->exhaustSearch(9);
  EXPECT_EQ(only<ResetFlow>(this->confirmed(this->Now, Edition)).size(), 1U);
}

class SteeringSearchTest : public SteeringTest,
                           public testing::WithParamInterface<std::uint32_t> {};

// Guards against a flow whose holder is beyond the list of one message: a
// search visits each agent once, and then asks each upstream once, whatever
// their number.
TEST_P(SteeringSearchTest, VisitsEachUpstreamOnce) {
  std::vector<ListedUpstream> Many;
  for (std::uint32_t I = 1; I <= GetParam(); ++I) {
    Many.push_back(
        upstream(I, I % 10 == 0 ? UpstreamState::Gone : UpstreamState::Ready));
  }
  this->use(Many);
  std::multiset<std::uint32_t> Known;
  std::multiset<std::uint32_t> Asked;
  SteerActionList Out = this->packet(callerPacket(9, 501, true));
  for (auto Sent = sent<Steer>(Out); !Sent.empty(); Sent = sent<Steer>(Out)) {
    EXPECT_TRUE(Sent[0].second.KnownOnly || Known.size() == GetParam());
    (Sent[0].second.KnownOnly ? Known : Asked).merge(visited(Sent[0]));
    Out = this->notHeld(9, Sent[0].second.Search);
  }
  for (const auto &Visited : {Known, Asked}) {
    EXPECT_EQ(Visited.size(), GetParam());
    EXPECT_EQ(std::set(Visited.begin(), Visited.end()).size(), GetParam());
  }
  EXPECT_TRUE(decided(Out, Decision::FlowNotHeld));
}

INSTANTIATE_TEST_SUITE_P(Sizes, SteeringSearchTest,
                         testing::Values(1, 8, 9, 57, 136, 1000));

// Guards against a flow that stalls although its upstream lives: an agent that
// does not answer hid the ones behind it from each search (finding on trouble-1
// of sulina-inscricoes-grown, journal 20261204T161012-1b1699fa).
TEST_F(SteeringTest, SilentAgentDoesNotBlockSearches) {
  std::vector<ListedUpstream> All;
  for (std::uint32_t I = 1; I <= 20; ++I) {
    All.push_back(upstream(I));
  }
  this->use(All);
  constexpr std::uint32_t Silent = 7;
  // The caller sends the packet and, after 200 ms, again.
  std::multiset<std::uint32_t> Visited;
  for (int Attempt = 0; Attempt < 2; ++Attempt) {
    SteerActionList Out = this->packet(callerPacket(9, 501, true));
    for (auto Sent = sent<Steer>(Out); !Sent.empty(); Sent = sent<Steer>(Out)) {
      const auto Part = visited(Sent[0]);
      Visited.insert(Part.begin(), Part.end());
      Out.clear();
      if (!Part.contains(agentAddress(Silent))) {
        Out = this->notHeld(9, Sent[0].second.Search);
      }
    }
    for (int I = 0; I < 10; ++I) {
      this->tickWithout(Silent);
    }
    if (Attempt == 0) {
      EXPECT_EQ(this->Logic.avoidance(agentAddress(Silent)),
                Avoidance::Suspected);
      Visited.clear();
    }
  }
  EXPECT_EQ(std::set(Visited.begin(), Visited.end()).size(), All.size());
}

// Guards against a flow whose packets reach other upstreams for 2 s and more
// and never its own, since one on the way to it is lost each time (FLOW under
// overload, issue 29): 20 flows of one day of gpmwu-concourse-grown, scale-1.
TEST_F(SteeringTest, UpstreamsAreAskedForAFlowOnlyForAShortTime) {
  this->suspect(2);
  const Instant Begin = this->Now;
  std::optional<Instant> LastAsked;
  for (int I = 0; I < 40; ++I) {
    auto Sent = sent<Steer>(this->packet(callerPacket(9, 501, true)));
    ASSERT_EQ(Sent.size(), 1U);
    // No agent knows the flow.
    ASSERT_TRUE(Sent[0].second.KnownOnly);
    const bool IsSuspectIncluded = visited(Sent[0]).contains(agentAddress(2));
    const auto Out = this->notHeld(9, Sent[0].second.Search, true);
    Sent = sent<Steer>(Out);
    // An agent beyond the window still finds out whether it knows the flow.
    EXPECT_EQ(IsSuspectIncluded, Sent.empty());
    EXPECT_EQ(decided(Out, Decision::FlowNotHeldIgnored), Sent.empty());
    if (!Sent.empty()) {
      EXPECT_FALSE(Sent[0].second.KnownOnly);
      LastAsked = this->Now;
    }
    this->tickWithout(2);
    this->Now += milliseconds(80);
  }
  ASSERT_TRUE(LastAsked.has_value());
  EXPECT_LT(*LastAsked - Begin, AskWindow);
  // The flow has reached its own upstream: the time begins anew.
  (void)this->taken(1, 9, 500);
  const auto Found = sent<Steer>(this->notHeld(9, 0));
  EXPECT_FALSE(
      sent<Steer>(this->notHeld(9, Found[0].second.Search, true)).empty());
}

struct LostUpstreamRow {
  std::string Name;
  /// How long ago the upstream was found to be gone; none if it is not gone.
  std::optional<Duration> GoneFor;
  bool IsSuspected = true;
  /// When it started, relative to the balancer.
  milliseconds Started{0};
  /// When the list settled.
  Instant SettledAt = Instant(std::chrono::minutes(1));
  bool IsSkipped = false;
};

class LostUpstreamTest : public SteeringTest,
                         public testing::WithParamInterface<LostUpstreamRow> {};

// Guards against work that is given up because its VM was silent or slow to
// report for a while, and against callers of lost flows that wait for a VM
// which was removed.
TEST_P(LostUpstreamTest, IsSkippedOnlyIfItCannotHoldFlows) {
  const LostUpstreamRow &Row = GetParam();
  this->Listing.SettledAt = Row.SettledAt;
  ListedUpstream Living = upstream(1);
  Living.StartedAt = UnixStart;
  ListedUpstream Other = upstream(2);
  Other.StartedAt = UnixStart + Row.Started;
  this->use({Living, Other});
  if (Row.IsSuspected) {
    this->suspect(2);
  }
  if (Row.GoneFor) {
    Other.State = UpstreamState::Gone;
    Other.GoneSince = this->Now - *Row.GoneFor;
  }
  this->use({Living, Other});
  std::multiset<std::uint32_t> Visited;
  SteerActionList Out = this->packet(callerPacket(9, 501, true));
  for (auto Sent = sent<Steer>(Out); !Sent.empty(); Sent = sent<Steer>(Out)) {
    Visited.merge(visited(Sent[0]));
    Out = this->notHeld(9, Sent[0].second.Search);
  }
  EXPECT_EQ(Visited.contains(agentAddress(2)), !Row.IsSkipped);
}

INSTANTIATE_TEST_SUITE_P(
    Rows, LostUpstreamTest,
    testing::Values(
        LostUpstreamRow{"listed", std::nullopt},
        LostUpstreamRow{"suspendedForSeconds", GoneForGood - milliseconds(1)},
        LostUpstreamRow{"answersChecks", std::chrono::minutes(1), false},
        LostUpstreamRow{
            .Name = "goneForGood", .GoneFor = GoneForGood, .IsSkipped = true},
        LostUpstreamRow{.Name = "goneWhileSourceRecovers",
                        .GoneFor = GoneForGood,
                        .SettledAt = Instant(std::chrono::hours(2))},
        // After a loss of power of all VMs.
        LostUpstreamRow{.Name = "neverCameBack",
                        .GoneFor = Duration::zero(),
                        .Started = -std::chrono::minutes(5),
                        .SettledAt = AtStart,
                        .IsSkipped = true},
        LostUpstreamRow{.Name = "restartedToo",
                        .GoneFor = Duration::zero(),
                        .Started = milliseconds(0),
                        .SettledAt = AtStart}),
    [](const auto &Info) { return Info.param.Name; });

// Guards against a flow that stalls because its packets go to an owner that
// does not hold it any more, and against a wait until the caller sends again.
TEST_F(SteeringTest, PacketThatItsOwnerReturnedIsSearchedFor) {
  (void)this->packet(opening(9));
  (void)this->taken(3, 9, 500);
  const auto Out = this->notHeld(9, 0);
  EXPECT_TRUE(decided(Out, Decision::OwnerForgotten));
  const auto Sent = sent<Steer>(Out);
  ASSERT_EQ(Sent.size(), 1U);
  EXPECT_EQ(visited(Sent[0]).size(), 3U);
  EXPECT_FALSE(this->Logic.awaitsConfirmation());
}

// Guards against a notice for another search, and against a reset in reply to a
// reset.
TEST_F(SteeringTest, ForeignNoticesAndResetsEndNoFlow) {
  const auto Sent = sent<Steer>(this->packet(callerPacket(9, 501, true)));
  const std::uint32_t Search = Sent[0].second.Search;
  EXPECT_TRUE(this->notHeld(8, Search).empty());
  EXPECT_TRUE(this->notHeld(9, Search + 1).empty());
  RoutedPacket Reset = callerPacket(9, 501, false);
  Reset.View.Flags.Rst = true;
  // No agent knows the flow, and no upstream holds it.
  for (const std::size_t Parts : {1U, 0U}) {
    SteerActionList Out;
    this->Logic.onNotHeld({agentAddress(3), PeerPort}, {Search}, Reset,
                          this->Now, Out);
    EXPECT_EQ(sent<Steer>(Out).size(), Parts);
    EXPECT_EQ(decided(Out, Decision::UpstreamsAsked), Parts == 1);
    EXPECT_EQ(Out.size(), 2 * Parts);
  }
  EXPECT_FALSE(this->Logic.awaitsConfirmation());
}

// A search that ends without an owner differs in the log from one that some
// upstream did not answer.
TEST_F(SteeringTest, UnansweredSearchIsReported) {
  (void)this->exhaustSearch(9);
  (void)this->packet(callerPacket(10, 501, true));
  (void)this->packet(callerPacket(11, 501, true));
  // An acknowledgment without data needs no answer.
  (void)this->packet(callerPacket(12, 501, false));
  (void)this->taken(1, 10, 500);
  std::vector<FlowKey> Unanswered;
  for (Duration Passed{}; Passed < SearchTimeout; Passed += milliseconds(20)) {
    for (const RecordDecision &Each :
         only<RecordDecision>(this->tick(milliseconds(20)))) {
      if (Each.Kind == Decision::SearchUnanswered) {
        Unanswered.push_back(Each.Flow);
      }
    }
  }
  EXPECT_EQ(Unanswered, std::vector{flowOf(11)});
}

TEST_F(SteeringTest, RetransmittedOpeningGoesToItsOwner) {
  (void)this->packet(opening(9));
  (void)this->taken(3, 9, 500);
  const auto Sent = sent<Steer>(this->packet(opening(9, milliseconds(200))));
  ASSERT_EQ(Sent.size(), 1U);
  EXPECT_EQ(Sent[0].first, agentAddress(3));
  EXPECT_TRUE(Sent[0].second.Final);
}

// Guards against a delay until the caller retransmits its opening after 200 ms
// when an agent has failed.
TEST_F(SteeringTest, UnansweredOpeningIsSentToOtherAgents) {
  const auto First = sent<Steer>(this->packet(opening(9)));
  const auto Again = sent<Steer>(this->tick(ResendDelay));
  ASSERT_EQ(Again.size(), 1U);
  EXPECT_NE(Again[0].first, First[0].first);
  EXPECT_EQ(visited(Again[0]), visited(First[0]));
  (void)this->taken(Again[0].first - agentAddress(0), 9, 1);
  EXPECT_TRUE(sent<Steer>(this->tick(ResendDelay)).empty());
}

// Guards against extra load when all upstreams are busy: refused openings were
// sent to all candidates twice more.
TEST_F(SteeringTest, RefusedOpeningIsNotSentAgain) {
  (void)this->packet(opening(9));
  SteerActionList Out;
  // A refusal of an earlier incarnation of the flow is ignored.
  this->Logic.onRefused({agentAddress(3), PeerPort}, {{flowOf(9), 8}},
                        this->Now, Out);
  EXPECT_EQ(this->Logic.unansweredCount(), 1U);
  this->Logic.onRefused({agentAddress(3), PeerPort}, {{flowOf(9), 9}},
                        this->Now, Out);
  EXPECT_TRUE(decided(Out, Decision::RefusalLearned));
  EXPECT_EQ(this->Logic.unansweredCount(), 0U);
  const auto Later = this->tick(ResendDelay);
  EXPECT_TRUE(sent<Steer>(Later).empty());
  EXPECT_TRUE(sent<Check>(Later).empty());
}

// Guards against a use of freed memory: an opening scheduled twice could be
// sent again and dropped in the same tick, so that an upstream received a
// packet with wrong bytes (soak seed 114).
TEST_F(SteeringTest, RetransmissionDoesNotScheduleAnOpeningTwice) {
  (void)this->packet(opening(9));
  (void)this->tick(ResendDelay);
  this->Now += ResendDelay - milliseconds(1);
  (void)this->packet(opening(9, milliseconds(200)));
  (void)this->tick(milliseconds(1));
  for (int I = 0; I < 4; ++I) {
    const auto Out = this->tick(ResendDelay);
    if (!sent<Steer>(Out).empty()) {
      EXPECT_EQ(this->Logic.unansweredCount(), 1U);
    }
  }
}

TEST_F(SteeringTest, ResendsAreBounded) {
  (void)this->packet(opening(9));
  std::size_t Resends = 0;
  for (int I = 0; I < 20; ++I) {
    Resends += sent<Steer>(this->tick(ResendDelay)).size();
  }
  EXPECT_EQ(Resends, static_cast<std::size_t>(MaxResends));
  EXPECT_EQ(this->Logic.unansweredCount(), 0U);
}

TEST_F(SteeringTest, UnresponsiveAgentIsAvoidedUntilItReplies) {
  (void)this->packet(opening(9));
  for (int I = 0; I < 8; ++I) {
    this->tickWithout(2);
  }
  EXPECT_EQ(this->Logic.avoidance(agentAddress(1)), Avoidance::None);
  EXPECT_EQ(this->Logic.avoidance(agentAddress(2)), Avoidance::Suspected);
  for (std::uint16_t Port = 20; Port < 30; ++Port) {
    const auto Sent = sent<Steer>(this->packet(opening(Port)));
    EXPECT_FALSE(visited(Sent[0]).contains(agentAddress(2)));
  }
  SteerActionList Out;
  this->Logic.onCheckReply({agentAddress(2), PeerPort}, {1, false}, this->Now,
                           Out);
  EXPECT_TRUE(decided(Out, Decision::AgentRegained));
}

// Guards against a service without candidates when all agents are avoided.
TEST_F(SteeringTest, AvoidedAgentsAreUsedWhenThereAreNoOthers) {
  SteerActionList Out;
  for (std::uint32_t Number = 1; Number <= 3; ++Number) {
    this->Logic.onCheckReply({agentAddress(Number), PeerPort}, {0, true},
                             this->Now, Out);
  }
  EXPECT_EQ(sent<Steer>(this->packet(opening(9))).size(), 1U);
}

// Guards against a paused process that treats unread replies in its socket as
// lost.
TEST_F(SteeringTest, PauseRestartsTimeouts) {
  (void)this->tick(milliseconds(1));
  (void)this->packet(opening(9));
  const auto Out = this->tick(std::chrono::seconds(3));
  EXPECT_TRUE(decided(Out, Decision::PauseNoticed));
  EXPECT_TRUE(sent<Steer>(Out).empty());
  EXPECT_TRUE(sent<Check>(Out).empty());
}

TEST_F(SteeringTest, SplitRouteUsesOneServiceForOpeningsAndAllForUnknownFlows) {
  RouteSet Split = routes();
  Split.Routes[0].Targets = {{OrderService, 1}, {TemplateService, 1}};
  ListedUpstream Other = upstream(4);
  Other.Service = TemplateService;
  this->use({upstream(1), Other}, Split);
  std::set<std::uint32_t> Chosen;
  for (std::uint16_t Port = 1; Port <= 50; ++Port) {
    const auto Sent = sent<Steer>(this->packet(opening(Port)));
    EXPECT_EQ(Sent[0].second.Services.size(), 1U);
    EXPECT_TRUE(Sent[0].second.Next.empty());
    Chosen.insert(Sent[0].first);
  }
  EXPECT_EQ(Chosen.size(), 2U);
  const auto Located = sent<Steer>(this->packet(callerPacket(99, 1, true)));
  EXPECT_EQ(Located[0].second.Services.size(), 2U);
  EXPECT_EQ(visited(Located[0]).size(), 2U);
}

// Guards against searches that cross between availability zones at each of many
// hops, which costs their callers time and the operators bytes.
TEST_F(SteeringTest, SearchVisitsOneZoneAfterTheOther) {
  std::vector<ListedUpstream> All;
  for (std::uint32_t I = 1; I <= 48; ++I) {
    All.push_back(upstream(I));
    All.back().AvailabilityZone = "z-" + std::to_string(I % 4);
  }
  this->use(All);
  std::vector<std::uint32_t> Zones;
  SteerActionList Out = this->packet(callerPacket(9, 501, true));
  for (auto Sent = sent<Steer>(Out); Sent[0].second.KnownOnly;
       Sent = sent<Steer>(Out)) {
    Zones.push_back(Sent[0].first % 4);
    for (const Candidate &Each : Sent[0].second.Next.view()) {
      Zones.push_back(Each.Agent % 4);
    }
    Out = this->notHeld(9, Sent[0].second.Search);
  }
  ASSERT_EQ(Zones.size(), All.size());
  std::size_t Changes = 0;
  for (std::size_t I = MaxSearchPart + 1; I < Zones.size(); ++I) {
    Changes += Zones[I] == Zones[I - 1] ? 0 : 1;
  }
  EXPECT_EQ(Changes, 3U);
}

struct JointRestartRow {
  std::string Name;
  bool IsJointRestart = true;
  Duration Uptime{};
  bool AsksAtOnce = false;
};

class JointRestartTest : public SteeringTest,
                         public testing::WithParamInterface<JointRestartRow> {};

// Guards against callers of lost flows that wait for two passes after a loss of
// power, when the agents know no flow of before.
TEST_P(JointRestartTest, UpstreamsAreAskedAtOnceAfterALossOfPower) {
  this->Listing.SettledAt = this->Now + ReregistrationGrace;
  std::vector<ListedUpstream> All = {upstream(1), upstream(2), upstream(3)};
  for (ListedUpstream &Each : All) {
    Each.StartedAt = UnixStart;
  }
  if (!GetParam().IsJointRestart) {
    All[1].StartedAt = UnixStart - std::chrono::minutes(1);
  }
  this->use(All);
  this->Now += GetParam().Uptime;
  const auto Sent = sent<Steer>(this->packet(callerPacket(9, 501, true)));
  ASSERT_EQ(Sent.size(), 1U);
  EXPECT_EQ(visited(Sent[0]).size(), All.size());
  EXPECT_EQ(Sent[0].second.KnownOnly, !GetParam().AsksAtOnce);
}

INSTANTIATE_TEST_SUITE_P(
    Rows, JointRestartTest,
    testing::Values(
        JointRestartRow{.Name = "allVmsLostPower", .AsksAtOnce = true},
        JointRestartRow{.Name = "secondsLater",
                        .Uptime = JointRestartSearchSpan - milliseconds(1),
                        .AsksAtOnce = true},
        JointRestartRow{.Name = "longAgo", .Uptime = JointRestartSearchSpan},
        JointRestartRow{.Name = "anUpstreamLivedOn", .IsJointRestart = false}),
    [](const auto &Info) { return Info.param.Name; });

// Guards against callers of lost flows that learn nothing because a part of the
// VMs came back after the time for which upstreams may be asked otherwise.
TEST_F(SteeringTest, AskWindowBeginsAfterALossOfPower) {
  this->Listing.SettledAt = this->Now + ReregistrationGrace;
  ListedUpstream Restarted = upstream(1);
  Restarted.StartedAt = UnixStart;
  this->use({Restarted});
  const auto IsAsked = [this] {
    const auto Sent = sent<Steer>(this->packet(callerPacket(9, 501, true)));
    return !Sent.at(0).second.KnownOnly;
  };
  EXPECT_TRUE(IsAsked());
  this->Now += JointRestartSearchSpan - milliseconds(1);
  EXPECT_TRUE(IsAsked());
  this->Now += milliseconds(1);
  (void)this->exhaustSearch(9);
  this->Now += AskWindow;
  EXPECT_FALSE(IsAsked());
}

struct FormerServiceRow {
  std::string Name;
  /// Whether the balancer saw the version that sent flows to the other service.
  bool IsFormerKnown = false;
  /// How long the balancer has seen every version.
  Duration KnownFor{};
  /// Whether all VMs have started together with the balancer.
  bool IsJointRestart = false;
  /// How long the balancer has run; the source was lost meanwhile.
  Duration Uptime{};
  /// Whether a version may have been missed while the source was lost.
  bool IsRouteSkipped = false;
  bool IsSearched = false;
};

class FormerServiceTest : public SteeringTest,
                          public testing::WithParamInterface<FormerServiceRow> {
};

// Guards against the reset of an open flow whose service gets no new flows of
// the route any more: a search asked only the services of the newest routes
// (review case 1).
TEST_P(FormerServiceTest, HolderOfAnEarlierRouteIsAskedBeforeAReset) {
  const FormerServiceRow &Row = GetParam();
  this->Listing.RoutesKnownSince = this->Now - Row.KnownFor;
  if (Row.IsJointRestart) {
    this->Listing.SettledAt = this->Now + ReregistrationGrace;
  }
  ListedUpstream Other = upstream(4);
  Other.Service = TemplateService;
  std::vector<ListedUpstream> All = {upstream(1), upstream(2), upstream(3),
                                     Other};
  for (ListedUpstream &Each : All) {
    Each.StartedAt = Row.IsJointRestart ? UnixStart : milliseconds(1);
  }
  RouteSet Latest = routes();
  if (Row.IsFormerKnown) {
    Latest.Routes[0].Former = {{TemplateService, this->Now}};
  }
  this->use(All, Latest);
  this->Now += Row.Uptime;
  this->Listing.SettledAt = Instant(std::chrono::minutes(1));
  if (Row.IsRouteSkipped) {
    this->Listing.RoutesKnownSince = this->Now;
  }
  this->use(All, Latest);
  const auto Sent = sent<Steer>(this->packet(callerPacket(9, 501, true)));
  const auto Agents = visited(Sent[0]);
  EXPECT_EQ(Agents.contains(agentAddress(4)), Row.IsSearched);
  EXPECT_EQ(Sent[0].second.Services.contains(TemplateService), Row.IsSearched);
  // Upstreams that get the route's new flows come first.
  EXPECT_NE(Sent[0].first, agentAddress(4));
  (void)this->taken(4, 9, 500);
  const auto Next = sent<Steer>(this->packet(callerPacket(9, 501, true)));
  EXPECT_EQ(Next[0].first, agentAddress(4));
  EXPECT_EQ(Next[0].second.Services.contains(TemplateService), Row.IsSearched);
}

INSTANTIATE_TEST_SUITE_P(
    Rows, FormerServiceTest,
    testing::Values(FormerServiceRow{.Name = "versionSeen",
                                     .IsFormerKnown = true,
                                     .KnownFor = std::chrono::hours(1),
                                     .IsSearched = true},
                    FormerServiceRow{.Name = "startedAfterTheChange",
                                     .IsSearched = true},
                    FormerServiceRow{.Name = "startedALifetimeAgo",
                                     .KnownFor = FlowLifetime},
                    FormerServiceRow{.Name = "startedShorterAgo",
                                     .KnownFor = FlowLifetime - milliseconds(1),
                                     .IsSearched = true},
                    // After a loss of power, other balancers that came back
                    // earlier may have opened flows by a version that this one
                    // has not seen (review case 6).
                    FormerServiceRow{.Name = "allVmsLostPower",
                                     .IsJointRestart = true,
                                     .IsSearched = true},
                    FormerServiceRow{.Name = "allVmsLostPowerBefore",
                                     .IsJointRestart = true,
                                     .Uptime = std::chrono::seconds(20),
                                     .IsSearched = true},
                    FormerServiceRow{.Name = "allVmsLostPowerALifetimeAgo",
                                     .KnownFor = FlowLifetime,
                                     .IsJointRestart = true},
                    FormerServiceRow{.Name = "missedAVersionSince",
                                     .IsJointRestart = true,
                                     .Uptime = std::chrono::seconds(20),
                                     .IsRouteSkipped = true,
                                     .IsSearched = true}),
    [](const auto &Info) { return Info.param.Name; });

struct LoadedLinkRow {
  std::uint64_t LinkRate;
  /// Whether the time limits follow the wait on the link.
  bool IsExtended;
};

class LoadedLinkTest : public SteeringTest,
                       public testing::WithParamInterface<LoadedLinkRow> {
protected:
  void SetUp() override {
    this->Logic = SteeringLogic(
        {BalancerAddress, PeerPort, this->Now, UnixStart, GetParam().LinkRate});
    SteeringTest::SetUp();
  }

  /// Forwards an upload of 80 kB in one moment.
  void upload(std::uint16_t Port) {
    const std::vector<std::uint8_t> Bytes(1232);
    (void)this->packet(opening(Port));
    (void)this->taken(1, Port, 500);
    for (int I = 0; I < 67; ++I) {
      RoutedPacket Each = callerPacket(Port, 501, true);
      Each.Bytes = Bytes;
      (void)this->packet(Each);
    }
  }
};

// Guards against openings sent again, and living agents suspected, because the
// balancer's own link is slow; and against a limit that grows without bound.
TEST_P(LoadedLinkTest, TimeLimitsFollowTheLink) {
  this->upload(9);
  (void)this->packet(opening(10));
  const auto IsSuspected = [this] {
    return this->Logic.avoidance(agentAddress(1)) == Avoidance::Suspected;
  };
  EXPECT_EQ(sent<Steer>(this->tick(ResendDelay)).empty(),
            GetParam().IsExtended);
  std::size_t Resends = 0;
  constexpr Duration CallerRetransmits = milliseconds(200);
  for (Duration At = ResendDelay + milliseconds(20); At < CallerRetransmits;
       At += milliseconds(20)) {
    Resends += sent<Steer>(this->tick(milliseconds(20))).size();
  }
  EXPECT_GE(Resends, 1U);
  EXPECT_EQ(IsSuspected(), !GetParam().IsExtended);
  for (Duration Passed{}; Passed < 2 * (CheckTimeout + MaxCheckExtension);
       Passed += milliseconds(20)) {
    (void)this->tick(milliseconds(20));
  }
  EXPECT_TRUE(IsSuspected());
}

INSTANTIATE_TEST_SUITE_P(Links, LoadedLinkTest,
                         testing::Values(LoadedLinkRow{200'000, true},
                                         LoadedLinkRow{0, false},
                                         LoadedLinkRow{25'000'000, false}));

// Guards against a transfer that is sent on although the link is full, and
// against a reset for a copy that may have been sent on elsewhere.
TEST_P(LoadedLinkTest, TransferBeyondTheLinkIsRefusedAtOnce) {
  for (const std::uint16_t Port : {9, 10}) {
    (void)this->packet(opening(Port));
    (void)this->taken(1, Port, 500);
    RoutedPacket End = callerPacket(Port, 501, true);
    End.View.Sequence = Port + 80'000U;
    (void)this->packet(End);
    (void)this->packet(callerPacket(Port, 801, false));
  }
  (void)this->packet(opening(11));
  const auto Out = this->packet(opening(12));
  EXPECT_EQ(only<RejectOpening>(Out).size(), GetParam().IsExtended ? 1U : 0U);
  EXPECT_EQ(sent<Steer>(Out).empty(), GetParam().IsExtended);
  EXPECT_EQ(decided(Out, Decision::RefusedLink), GetParam().IsExtended);
  EXPECT_EQ(decided(Out, Decision::LinkFull), GetParam().IsExtended);
  EXPECT_FALSE(
      sent<Steer>(this->packet(opening(12, milliseconds(200)))).empty());
  EXPECT_EQ(decided(this->tick(ClearDelay), Decision::LinkClear),
            GetParam().IsExtended);
}

class ColdSteeringTest : public SteeringTest {
protected:
  /// Returns the message of an opening while upstream 2 is cold for 700 ms.
  Steer openingWith(double Rate) {
    this->Logic = SteeringLogic(
        {BalancerAddress, PeerPort, this->Now, UnixStart, 0, 1.5, 5});
    RouteSet Configuration = routes();
    if (Rate > 0) {
      Configuration.ColdRates[OrderService] = Rate;
    }
    ListedUpstream Cold = upstream(2);
    Cold.ColdUntil = this->Now + milliseconds(700);
    this->use({upstream(1), Cold, upstream(3)}, Configuration);
    const auto Sent = sent<Steer>(this->packet(opening(1)));
    EXPECT_EQ(Sent.size(), 1U);
    this->First = Sent.at(0).first;
    return Sent.at(0).second;
  }

  std::uint32_t First = 0;
};

// Guards against an agent that takes a cold upstream for a warm one, or the
// other way round.
TEST_F(ColdSteeringTest, MessageNamesTheLimitAndTheColdCandidate) {
  const Steer Header = this->openingWith(20);
  EXPECT_EQ(Header.ColdLimit, 35U);
  const auto Expected = [](std::uint32_t Agent) {
    return milliseconds(Agent == agentAddress(2) ? 700 : 0);
  };
  EXPECT_EQ(Header.ColdLeft, Expected(this->First));
  ASSERT_EQ(Header.Next.size(), 2U);
  for (const Candidate &Each : Header.Next.view()) {
    EXPECT_EQ(Each.ColdLeft, Expected(Each.Agent));
  }
  // The same holds when the opening is sent again, the other way round.
  const auto Again = sent<Steer>(this->tick(ResendDelay));
  ASSERT_EQ(Again.size(), 1U);
  EXPECT_EQ(Again[0].second.ColdLeft, Expected(Again[0].first));
  EXPECT_EQ(Again[0].second.ColdLimit, 35U);
}

// Guards against messages that grow, and openings that are held back, where no
// limit is given.
TEST_F(ColdSteeringTest, MessageSaysNothingWithoutARate) {
  const Steer Header = this->openingWith(0);
  EXPECT_EQ(Header.ColdLimit, 0U);
  EXPECT_EQ(Header.ColdLeft, milliseconds(0));
  for (const Candidate &Each : Header.Next.view()) {
    EXPECT_EQ(Each.ColdLeft, milliseconds(0));
  }
}

} // namespace
} // namespace mulberryhoist
