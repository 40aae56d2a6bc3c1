#include "mulberryhoist/locate.h"

#include <gtest/gtest.h>

namespace mulberryhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::vector<UpstreamId> Members = {{1}, {2}};
constexpr Instant Start = Instant() + seconds(10);
constexpr PacketNumbers Numbers{100, 200};

void reply(LocateSearch &Test, std::uint32_t Id, OwnerAnswer Answer,
           std::uint32_t Acknowledgment = 200) {
  Test.recordReply({{{}, 50}, {Id}, Answer, Acknowledgment});
}

// Guards against a search that floods silent members with messages.
TEST(LocateTest, BacksOffUpToTheLimit) {
  LocateSearch Test(seconds(9));
  Instant Now = Start;
  for (const int Expected : {50, 100, 200, 400, 800, 1600, 2000, 2000}) {
    ASSERT_TRUE(Test.isIdle(Now));
    Test.beginRound(Numbers, Members, false, true, Now);
    Now += LocateTimeout;
    EXPECT_EQ(Test.step(Now), LocateStep::GiveUp);
    EXPECT_FALSE(Test.isIdle(Now + milliseconds(Expected - 1)));
    Now += milliseconds(Expected);
  }
}

// Guards against an answer about another incarnation of the flow.
TEST(LocateTest, IgnoresAnswersToOtherPackets) {
  LocateSearch Test(seconds(9));
  Test.beginRound(Numbers, Members, false, true, Start);
  reply(Test, 1, OwnerAnswer::Owns, 201);
  EXPECT_EQ(Test.step(Start), LocateStep::Wait);
  reply(Test, 1, OwnerAnswer::Owns);
  EXPECT_EQ(Test.step(Start), LocateStep::Found);
  EXPECT_EQ(Test.owner(), UpstreamId{1});
}

// Guards against an owner whose answer comes after the round being ignored.
TEST(LocateTest, LateOwnerCounts) {
  LocateSearch Test(seconds(9));
  Test.beginRound(Numbers, Members, false, true, Start);
  EXPECT_EQ(Test.step(Start + LocateTimeout), LocateStep::GiveUp);
  reply(Test, 2, OwnerAnswer::Owns);
  EXPECT_EQ(Test.step(Start + LocateTimeout), LocateStep::Found);
}

// Guards against a reset by the coordinator itself after its restart, and
// against one while a member that may own the flow is silent.
TEST(LocateTest, TriesItselfThenOthersAndNeverConcludesFromSilence) {
  LocateSearch Test(seconds(0));
  Test.beginRound(Numbers, Members, true, true, Start);
  reply(Test, 1, OwnerAnswer::Maybe);
  EXPECT_EQ(Test.step(Start + LocateTimeout), LocateStep::AdoptSelf);
  EXPECT_FALSE(Test.recordNotOwner(UpstreamId{1}));
  EXPECT_TRUE(Test.recordNotOwner(std::nullopt));
  EXPECT_EQ(Test.step(Start + LocateTimeout), LocateStep::AdoptOther);
  EXPECT_TRUE(Test.recordNotOwner(UpstreamId{1}));
  EXPECT_EQ(Test.step(Start + LocateTimeout), LocateStep::GiveUp);
}

struct DenialRow {
  const char *Name;
  PacketNumbers Later;
  LocateStep Expected;
};

class DenialTest : public testing::TestWithParam<DenialRow> {};

// Guards against a reset of a new flow because the flow that used its ports
// before was denied long enough (G1).
TEST_P(DenialTest, CountsForOneFlowOnly) {
  LocateSearch Test(seconds(9));
  Instant Now = Start;
  for (const PacketNumbers Sent : {Numbers, GetParam().Later}) {
    ASSERT_TRUE(Test.isIdle(Now));
    Test.beginRound(Sent, Members, false, true, Now);
    reply(Test, 1, OwnerAnswer::No, Sent.Acknowledgment);
    reply(Test, 2, OwnerAnswer::No, Sent.Acknowledgment);
    EXPECT_EQ(Test.step(Now),
              Now == Start ? LocateStep::GiveUp : GetParam().Expected);
    Now += seconds(9);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Later, DenialTest,
    testing::Values(
        DenialRow{"same", Numbers, LocateStep::Gone},
        DenialRow{"further", {5000, 9000}, LocateStep::Gone},
        DenialRow{"other_sequence", {0x40000000, 200}, LocateStep::GiveUp},
        DenialRow{
            "other_acknowledgment", {100, 0x40000000}, LocateStep::GiveUp}),
    [](const auto &Info) { return Info.param.Name; });

} // namespace
} // namespace mulberryhoist
