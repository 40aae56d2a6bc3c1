#include "mulberryhoist/opening.h"

#include <gtest/gtest.h>

namespace mulberryhoist {
namespace {

const std::vector<UpstreamId> Others = {{1}, {2}, {3}, {4}, {5}, {6}};
constexpr Instant Start = Instant() + std::chrono::seconds(10);

Opening makeOpening(bool SelfEligible = true) {
  return {{}, {7}, {}, Others, SelfEligible, 1, Start};
}

void reply(Opening &Test, std::uint32_t Id, bool Room) {
  Test.recordLoad({1, {Id}, Id, Room, false});
}

/// Declines every offer until the opening is refused; returns the number of
/// offers.
std::size_t declineAll(Opening &Test, RetryBudget &Budget) {
  std::size_t OfferCount = 0;
  for (;;) {
    const OpeningStep Step = Test.step(Budget, Start);
    if (Step != OpeningStep::OfferToSelf && Step != OpeningStep::OfferToOther) {
      EXPECT_EQ(Step, OpeningStep::Refuse);
      return OfferCount;
    }
    ++OfferCount;
    EXPECT_TRUE(Test.recordDeclined(Test.offeredTo()));
  }
}

struct BudgetRow {
  bool HasBudget;
  std::size_t ExpectedOffers;
};

class BudgetTest : public testing::TestWithParam<BudgetRow> {};

// Guards against offers beyond the retry budget, which would amplify an
// overload.
TEST_P(BudgetTest, RetryCandidatesNeedBudget) {
  RetryBudget Budget;
  while (!GetParam().HasBudget && Budget.take(1)) {
  }
  Opening Test = makeOpening();
  reply(Test, 1, true);
  reply(Test, 2, true);
  EXPECT_EQ(Test.step(Budget, Start), OpeningStep::Wait);
  reply(Test, 3, true);
  EXPECT_EQ(declineAll(Test, Budget), GetParam().ExpectedOffers);
}

INSTANTIATE_TEST_SUITE_P(Budgets, BudgetTest,
                         testing::Values(BudgetRow{true, 6},
                                         BudgetRow{false, 4}));

// Guards against waiting without limit for a load reply, and against offering
// the opening to a candidate that reported no room.
TEST(OpeningTest, OffersOnlyToCandidatesWithRoom) {
  RetryBudget Budget;
  while (Budget.take(1)) {
  }
  Opening Test = makeOpening();
  reply(Test, 1, false);
  EXPECT_EQ(Test.step(Budget, Start), OpeningStep::Wait);
  EXPECT_EQ(Test.step(Budget, Start + LoadQueryTimeout),
            OpeningStep::OfferToSelf);
  EXPECT_TRUE(Test.recordDeclined(std::nullopt));
  EXPECT_EQ(Test.step(Budget, Start), OpeningStep::Refuse);
}

// Guards against a refusal by a draining coordinator that has no reply from any
// other candidate.
TEST(OpeningTest, DrainingCoordinatorDoesNotRefuseWithoutReplies) {
  RetryBudget Budget;
  while (Budget.take(1)) {
  }
  Opening Test = makeOpening(false);
  EXPECT_EQ(Test.step(Budget, Start + LoadQueryTimeout),
            OpeningStep::LeaveUnanswered);
}

// Guards against ignoring the late acceptance of a candidate while the opening
// is offered to another one.
TEST(OpeningTest, LateAcceptanceCounts) {
  RetryBudget Budget;
  Opening Test = makeOpening(false);
  reply(Test, 1, true);
  reply(Test, 2, true);
  reply(Test, 3, true);
  EXPECT_EQ(Test.step(Budget, Start), OpeningStep::OfferToOther);
  const auto First = Test.offeredTo();
  EXPECT_EQ(Test.step(Budget, Start + OpeningTimeout),
            OpeningStep::OfferToOther);
  EXPECT_NE(Test.offeredTo(), First);
  EXPECT_FALSE(Test.recordAccepted(UpstreamId{5}));
  EXPECT_TRUE(Test.recordAccepted(First));
  EXPECT_EQ(Test.state(), OpeningState::Placed);
}

} // namespace
} // namespace mulberryhoist
