#include "mulberryhoist/routing.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <rapidcheck/gtest.h>
#include <vector>

namespace mulberryhoist {
namespace {

constexpr auto NoneExcluded = [](UpstreamId) { return false; };

FlowKey flow(std::uint32_t Number) {
  return {{0x7F000001U + Number / 50000,
           static_cast<std::uint16_t>(10000 + Number % 50000)},
          {0x7F010001U, 80}};
}

std::vector<Assignment> rows(const std::vector<std::uint32_t> &Weights) {
  std::vector<Assignment> Rows;
  for (std::size_t I = 0; I < Weights.size(); ++I) {
    Rows.push_back({serviceId("s"), upstreamId("upstream-" + std::to_string(I)),
                    Weights[I]});
  }
  return Rows;
}

// Guards against moving flows that the change does not concern: every moved
// flow must leave or join the changed upstream.
RC_GTEST_PROP(RoutingTest, WeightChangeMovesOnlyFlowsOfTheChangedUpstream, ()) {
  auto Weights = *rc::gen::container<std::vector<std::uint32_t>>(
      5, rc::gen::inRange<std::uint32_t>(1, 1001));
  const auto Before = rows(Weights);
  const auto Changed = *rc::gen::inRange<std::size_t>(0, Weights.size());
  const auto Old = Weights[Changed];
  Weights[Changed] = *rc::gen::inRange<std::uint32_t>(0, 1001);
  const auto After = rows(Weights);
  const UpstreamId Id = Before[Changed].Upstream;
  for (std::uint32_t I = 0; I < 300; ++I) {
    const auto From = chooseCoordinator(Before, flow(I), NoneExcluded);
    const auto To = chooseCoordinator(After, flow(I), NoneExcluded);
    if (From != To) {
      RC_ASSERT((Weights[Changed] > Old ? To : From) == Id);
    }
  }
}

// Guards against an imbalance in the choice of coordinators: the share of each
// upstream must be within four standard deviations of its weight.
TEST(RoutingTest, SharesFollowWeights) {
  constexpr std::uint32_t Flows = 100000;
  const std::vector<std::uint32_t> Weights = {10, 10, 20, 40, 5, 15};
  const auto Rows = rows(Weights);
  std::map<UpstreamId, double> Counts;
  for (std::uint32_t I = 0; I < Flows; ++I) {
    ++Counts[*chooseCoordinator(Rows, flow(I), NoneExcluded)];
  }
  for (const Assignment &Row : Rows) {
    const double Share = Row.Weight / 100.0;
    EXPECT_NEAR(Counts[Row.Upstream], Flows * Share,
                4 * std::sqrt(Flows * Share * (1 - Share)));
  }
}

// Guards against an order of candidates that differs from repeated choices of
// the coordinator: balancers and agents would disagree.
RC_GTEST_PROP(RoutingTest, OrderStartsWithTheCoordinatorAndSkipsWeightZero,
              ()) {
  const auto Weights = *rc::gen::container<std::vector<std::uint32_t>>(
      rc::gen::inRange<std::uint32_t>(0, 4));
  const auto Rows = rows(Weights);
  std::array<UpstreamId, 5> Buffer;
  const FlowKey Key = flow(*rc::gen::inRange<std::uint32_t>(0, 1000));
  const auto Order = orderCandidates(Rows, Key, Buffer);
  const auto Usable = static_cast<std::size_t>(
      std::count_if(Weights.begin(), Weights.end(),
                    [](std::uint32_t Weight) { return Weight > 0; }));
  RC_ASSERT(Order.size() == std::min<std::size_t>(Usable, Buffer.size()));
  auto Rest = Rows;
  for (const UpstreamId Id : Order) {
    RC_ASSERT(chooseCoordinator(Rest, Key, NoneExcluded) == Id);
    std::erase_if(Rest,
                  [Id](const Assignment &Row) { return Row.Upstream == Id; });
  }
}

// Guards against rejecting flows because every upstream is suspected.
TEST(RoutingTest, ExclusionOfEveryUpstreamIsIgnored) {
  const auto Rows = rows({1, 0, 1});
  const auto All = [](UpstreamId) { return true; };
  EXPECT_EQ(chooseCoordinator(Rows, flow(1), All),
            chooseCoordinator(Rows, flow(1), NoneExcluded));
  const auto Coordinator = chooseCoordinator(Rows, flow(1), NoneExcluded);
  const auto Other = chooseCoordinator(
      Rows, flow(1), [&](UpstreamId Id) { return Id == *Coordinator; });
  EXPECT_NE(Other, Coordinator);
  EXPECT_NE(Other, Rows[1].Upstream);
  EXPECT_EQ(chooseCoordinator(rows({0}), flow(1), NoneExcluded), std::nullopt);
}

} // namespace
} // namespace mulberryhoist
