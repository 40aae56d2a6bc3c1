#include <gtest/gtest.h>

#include <fmt/format.h>

#include "allocation-counter.h"
#include "fixtures.h"
#include "lookup.h"
#include "mulberryhoist/exchange.h"
#include "mulberryhoist/routing.h"
#include "policy.h"
#include "relay.h"

namespace mulberryhoist::bench {
namespace {

using std::chrono::seconds;

/// Bounds of section 1.2 of the design.
constexpr double EqualImbalanceBound = 1.3;
constexpr double SlowImbalanceBound = 1.5;
constexpr double KeptGoodputBound = 0.95;
constexpr double LeavingBoundSeconds = 3;
constexpr double InForceBoundSeconds = 9;

// Guards against an allocation for each packet in the balancer.
TEST(AllocationTest, BalancerPacketAllocatesNothing) {
  const auto InForce = makeTable(6600, 7);
  const auto Packets = makePackets(1000, InForce->services());
  BalancerLogic Logic;
  ActionList Out;
  Logic.onTable(InForce, Instant(), Out);
  Logic.onPacket(Packets.front(), Instant(), Out);
  const AllocationProbe Probe;
  for (const Packet &Each : Packets) {
    Out.clear();
    Logic.onPacket(Each, Instant(), Out);
    ASSERT_EQ(Out.size(), 1U);
    ASSERT_TRUE(std::holds_alternative<SendMessage>(Out.front()));
  }
  EXPECT_EQ(Probe.count(), 0U);
}

// Guards against an allocation for each established packet in the agent.
TEST(AllocationTest, AgentPacketAllocatesNothing) {
  constexpr std::size_t Flows = 20'000;
  AgentFixture Agent(Flows);
  Agent.openFlows(Flows);
  const auto Packets = Agent.establishedPackets(Flows);
  Agent.fromCaller(Packets.front());
  const AllocationProbe Probe;
  for (const Packet &Each : Packets) {
    Agent.fromCaller(Each);
    ASSERT_EQ(Agent.Out.size(), 1U);
    ASSERT_TRUE(std::holds_alternative<DeliverToUpstream>(Agent.Out.front()));
  }
  EXPECT_EQ(Probe.count(), 0U);
}

// Guards against openings that ask more agents than the design allows.
TEST(OpeningCostTest, BusyCoordinatorAsksThreeOthers) {
  AgentFixture Agent(100);
  Agent.occupySlot();
  Agent.fromCaller(Agent.openingPackets(1).front());
  std::size_t Queries = 0;
  for (const Action &Each : Agent.Out) {
    const auto *Sent = std::get_if<SendMessage>(&Each);
    Queries += Sent != nullptr && std::holds_alternative<LoadQuery>(Sent->Body)
                   ? 1
                   : 0;
  }
  EXPECT_EQ(Queries, 3U);
}

// Guards against a candidate order or coordinator choice that allocates or
// visits the table beyond the rows of its service.
TEST(AllocationTest, ChoiceAllocatesNothing) {
  const auto InForce = makeTable(6600, 7);
  const auto Rows = InForce->assignments(InForce->services().front().Id);
  ASSERT_EQ(Rows.size(), 7U);
  std::array<UpstreamId, 8> Ordered;
  const AllocationProbe Probe;
  for (std::uint32_t I = 0; I < 1000; ++I) {
    const FlowKey Key{{I, 80}, {1, 80}};
    const auto Coordinator =
        chooseCoordinator(Rows, Key, [](UpstreamId) { return false; });
    ASSERT_EQ(orderCandidates(Rows, Key, Ordered).front(), Coordinator);
  }
  EXPECT_EQ(Probe.count(), 0U);
}

// Guards against a row change that grows with the table: full reload is the
// baseline.
TEST(TableCostTest, RowChangeIsSmallerThanTable) {
  TwoReplicas Pair(6600);
  const ChangesMessage Change = Pair.makeChange();
  EXPECT_FALSE(Change.Whole);
  ASSERT_EQ(Change.Rows.size(), 1U);
  const std::size_t Bytes = encodeExchange(Change).size();
  EXPECT_LE(Bytes, 200U + Change.Rows.front().Value.size());
  EXPECT_GE(makeCsv(6600, 4, 100).size(), 1000 * Bytes);
  Pair.apply(Change);
  ASSERT_NE(Pair.receiverTable(), nullptr);
  EXPECT_EQ(Pair.receiverTable()->version(), Change.Version);
  EXPECT_EQ(Pair.receiverTable()->digest(), Change.Digest);
}

struct ChoiceRow {
  double Slowest;
  double Bound;
};

class ChoiceTest : public testing::TestWithParam<ChoiceRow> {};

// Guards against a choice of upstreams that leaves some busier than the bound,
// or that is not better than the hash alone.
TEST_P(ChoiceTest, ImbalanceKeepsBound) {
  FleetSpec Spec;
  Spec.Speeds[0] = GetParam().Slowest;
  Spec.Work = {{.Name = "orders", .Load = 0.7}};
  Spec.Length = seconds(100);
  const FleetResult Own = runFleet(Spec);
  Spec.Choice = OpeningChoice::HashOnly;
  const FleetResult Baseline = runFleet(Spec);
  EXPECT_LE(Own.BusyImbalance, GetParam().Bound);
  EXPECT_LT(Own.BusyImbalance, Baseline.BusyImbalance);
  EXPECT_LT(Own.Work[0].P99Wait, Baseline.Work[0].P99Wait);
  EXPECT_EQ(Own.Work[0].Broken, 0U);
  EXPECT_EQ(Own.Work[0].RunTwice, 0U);
  EXPECT_EQ(Own.Work[0].Refused + Own.Work[0].Unanswered, 0U);
}

INSTANTIATE_TEST_SUITE_P(Speeds, ChoiceTest,
                         testing::Values(ChoiceRow{1.0, EqualImbalanceBound},
                                         ChoiceRow{0.4, SlowImbalanceBound}));

struct FloodRow {
  const char *Name;
  std::array<std::uint8_t, 3> Classes;
  std::size_t Flooding;
};

class FloodTest : public testing::TestWithParam<FloodRow> {};

// Guards against a flood of one service that takes goodput from the others,
// whatever its urgency.
TEST_P(FloodTest, OtherWorkKeepsItsGoodput) {
  FleetSpec Spec;
  Spec.Length = seconds(15);
  for (const std::uint8_t Class : GetParam().Classes) {
    Spec.Work.push_back({"work", Class, 10, 0.15});
  }
  Spec.Work[GetParam().Flooding].Load = 10;
  const FleetResult Result = runFleet(Spec);
  for (std::size_t I = 0; I < Spec.Work.size(); ++I) {
    const WorkResult &Each = Result.Work[I];
    EXPECT_EQ(Each.Broken, 0U);
    EXPECT_EQ(Each.RunTwice, 0U);
    if (I != GetParam().Flooding) {
      // Without the flood everything is served.
      EXPECT_GE(static_cast<double>(Each.Served),
                KeptGoodputBound * static_cast<double>(Each.Offered));
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Floods, FloodTest,
                         testing::Values(FloodRow{"LeastUrgent", {0, 3, 7}, 2},
                                         FloodRow{"MostUrgent", {0, 3, 7}, 0},
                                         FloodRow{"Equal", {3, 3, 3}, 1}),
                         [](const auto &Row) {
                           return std::string(Row.param.Name);
                         });

// Guards against internal messages that multiply when everybody declines.
TEST(FloodCostTest, MessagesPerOpeningDoNotGrow) {
  FleetSpec Spec;
  Spec.Length = seconds(10);
  Spec.Work = {{"orders", 3, 10, 0.15}, {"previews", 3, 10, 0.15}};
  const FleetResult Quiet = runFleet(Spec);
  Spec.Work[1].Load = 10;
  const FleetResult Flooded = runFleet(Spec);
  EXPECT_LE(Flooded.MessagesPerOpening, 1.2 * Quiet.MessagesPerOpening);
}

// Guards against new work at an agent that leaves, and against flows that it
// cuts.
TEST(DrainTest, NewWorkEndsAndNoFlowBreaks) {
  FleetSpec Spec;
  Spec.Length = seconds(20);
  Spec.Work = {{.Name = "orders", .Load = 0.4},
               {.Name = "downloads", .Load = 0.2, .MeanRequest = seconds(2)}};
  Spec.TerminateAt = std::chrono::milliseconds(8'100);
  const FleetResult Result = runFleet(Spec);
  EXPECT_GE(Result.LastOpeningSeconds, 0);
  EXPECT_LE(Result.LastOpeningSeconds, LeavingBoundSeconds);
  EXPECT_LE(Result.LastStartSeconds, LeavingBoundSeconds);
  EXPECT_GE(Result.DrainedSeconds, 0);
  for (const WorkResult &Each : Result.Work) {
    EXPECT_EQ(Each.Broken + Each.RunTwice, 0U);
    EXPECT_EQ(Each.Refused + Each.Unanswered, 0U);
  }
}

class LookupTest : public testing::TestWithParam<unsigned> {};

// Guards against flows that are lost by table changes, and against searches
// that ask more than the group once for each change.
TEST_P(LookupTest, DisplacedFlowsAreFoundOnce) {
  LookupSpec Spec;
  Spec.Changes = GetParam();
  const LookupResult Result = runLookup(Spec);
  EXPECT_EQ(Result.Lost, 0U);
  EXPECT_GT(Result.Displaced, 0U);
  EXPECT_LE(Result.LocateMessages,
            Result.RegisterMessages * (Spec.Upstreams - 1));
}

INSTANTIATE_TEST_SUITE_P(Changes, LookupTest, testing::Values(1U, 3U, 10U));

// Guards against a table that is not in force everywhere in time when half of
// the readers are cut off, and against a relay that costs more than full
// reload by everybody.
TEST(RelayTest, ChangeIsInForceEverywhere) {
  RelaySpec Spec;
  Spec.BalancersPerZone = 6;
  Spec.AgentsPerZone = 9;
  Spec.Rows = 400;
  Spec.Changes = 2;
  const RelayResult Own = runRelay(Spec);
  Spec.How = Distribution::EverybodyReads;
  const RelayResult Baseline = runRelay(Spec);
  EXPECT_EQ(Own.Incomplete, 0U);
  EXPECT_LE(Own.SlowestSeconds, InForceBoundSeconds);
  EXPECT_LT(Own.CallsPerSecond, Baseline.CallsPerSecond);
}

// Guards against a run that gives another verdict when it is repeated.
TEST(RepeatTest, SameSeedGivesSameFigures) {
  FleetSpec Spec;
  Spec.Length = seconds(10);
  Spec.Work = {{.Name = "orders", .Load = 0.7}};
  const FleetResult First = runFleet(Spec);
  const FleetResult Second = runFleet(Spec);
  EXPECT_EQ(First.BusyImbalance, Second.BusyImbalance);
  EXPECT_EQ(First.Work[0].MeanWait, Second.Work[0].MeanWait);
  EXPECT_EQ(First.Work[0].Served, Second.Work[0].Served);
}

} // namespace
} // namespace mulberryhoist::bench
