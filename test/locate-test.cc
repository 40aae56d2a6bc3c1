#include "mulberryhoist/locate.h"

#include <gtest/gtest.h>

namespace mulberryhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::vector<UpstreamId> Members = {{1}, {2}};
constexpr Instant Start = Instant() + seconds(10);
constexpr SequenceNumbers Numbers{100, 200};

void reply(LocateSearch &Search, std::uint32_t Id, OwnerAnswer Answer,
           std::uint32_t Acknowledgment = 200) {
  Search.recordReply({{{}, 50}, {Id}, Answer, Acknowledgment});
}

// Guards against a search that sends messages to unresponsive members without
// back-off.
TEST(LocateTest, BacksOffUpToMaximum) {
  LocateSearch Search(seconds(9));
  Instant Now = Start;
  for (const int Expected : {50, 100, 200, 400, 800, 1600, 2000, 2000}) {
    ASSERT_TRUE(Search.isIdle(Now));
    Search.beginRound(Numbers, Members, false, true, Now);
    Now += LocateTimeout;
    EXPECT_EQ(Search.step(Now), LocateStep::DropBuffered);
    EXPECT_FALSE(Search.isIdle(Now + milliseconds(Expected - 1)));
    Now += milliseconds(Expected);
  }
}

// Guards against accepting a reply about another incarnation of the flow.
TEST(LocateTest, IgnoresRepliesToOtherPackets) {
  LocateSearch Search(seconds(9));
  Search.beginRound(Numbers, Members, false, true, Start);
  reply(Search, 1, OwnerAnswer::Owns, 201);
  EXPECT_EQ(Search.step(Start), LocateStep::Wait);
  reply(Search, 1, OwnerAnswer::Owns);
  EXPECT_EQ(Search.step(Start), LocateStep::Found);
  EXPECT_EQ(Search.owner(), UpstreamId{1});
}

// Guards against ignoring the reply of an owner that arrives after the round.
TEST(LocateTest, AcceptsLateReplyOfOwner) {
  LocateSearch Search(seconds(9));
  Search.beginRound(Numbers, Members, false, true, Start);
  EXPECT_EQ(Search.step(Start + LocateTimeout), LocateStep::DropBuffered);
  reply(Search, 2, OwnerAnswer::Owns);
  EXPECT_EQ(Search.step(Start + LocateTimeout), LocateStep::Found);
}

// Guards against a coordinator that resets a flow because it lost its own flow
// table in a restart, or while a member that may own the flow has not replied.
TEST(LocateTest, TriesSelfThenOthersAndIgnoresMissingReplies) {
  LocateSearch Search(seconds(0));
  Search.beginRound(Numbers, Members, true, true, Start);
  reply(Search, 1, OwnerAnswer::Maybe);
  EXPECT_EQ(Search.step(Start + LocateTimeout), LocateStep::AdoptSelf);
  EXPECT_FALSE(Search.recordNotOwner(UpstreamId{1}));
  EXPECT_TRUE(Search.recordNotOwner(std::nullopt));
  EXPECT_EQ(Search.step(Start + LocateTimeout), LocateStep::AdoptOther);
  EXPECT_TRUE(Search.recordNotOwner(UpstreamId{1}));
  EXPECT_EQ(Search.step(Start + LocateTimeout), LocateStep::DropBuffered);
}

struct DenialRow {
  const char *Name;
  SequenceNumbers Later;
  LocateStep Expected;
};

class DenialTest : public testing::TestWithParam<DenialRow> {};

// Guards against resetting a new flow because members have denied the previous
// flow on the same ports for long enough.
TEST_P(DenialTest, AppliesToOneFlowOnly) {
  LocateSearch Search(seconds(9));
  Instant Now = Start;
  for (const SequenceNumbers Sent : {Numbers, GetParam().Later}) {
    ASSERT_TRUE(Search.isIdle(Now));
    Search.beginRound(Sent, Members, false, true, Now);
    reply(Search, 1, OwnerAnswer::No, Sent.Acknowledgment);
    reply(Search, 2, OwnerAnswer::No, Sent.Acknowledgment);
    EXPECT_EQ(Search.step(Now),
              Now == Start ? LocateStep::DropBuffered : GetParam().Expected);
    Now += seconds(9);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Later, DenialTest,
    testing::Values(DenialRow{"same", Numbers, LocateStep::NotFound},
                    DenialRow{"further", {5000, 9000}, LocateStep::NotFound},
                    DenialRow{"other_sequence",
                              {0x40000000, 200},
                              LocateStep::DropBuffered},
                    DenialRow{"other_acknowledgment",
                              {100, 0x40000000},
                              LocateStep::DropBuffered}),
    [](const auto &Info) { return Info.param.Name; });

} // namespace
} // namespace mulberryhoist
