#include "mulberryhoist/directory.h"

#include <gtest/gtest.h>

#include "mulberryhoist/directory-exchange.h"
#include "steer-samples.h"

namespace mulberryhoist {
namespace {

using namespace samples;
using std::chrono::milliseconds;

class KeeperTest : public testing::Test {
protected:
  UpstreamState stateOf(std::uint32_t Number) {
    const auto InForce = this->Keeper.current();
    for (const ListedUpstream &Each : InForce->upstreams(OrderService)) {
      if (Each.Address == agentAddress(Number)) {
        return Each.State;
      }
    }
    ADD_FAILURE() << "upstream " << Number << " is not listed";
    return UpstreamState::Gone;
  }

  Instant Now = Instant(std::chrono::hours(1));
  DirectoryKeeper Keeper;
};

// Guards against a configuration that goes back within one process.
TEST_F(KeeperTest, OlderConfigurationIsRejected) {
  ASSERT_TRUE(this->Keeper.onRoutes(routes(7)).has_value());
  EXPECT_EQ(this->Keeper.onRoutes(routes(6)).error().Kind,
            ErrorKind::OlderTable);
  EXPECT_TRUE(this->Keeper.onRoutes(routes(7)).has_value());
  EXPECT_EQ(this->Keeper.version(), 7U);
}

TEST_F(KeeperTest, IsCompleteOnlyWithRoutesAndListing) {
  EXPECT_FALSE(this->Keeper.isComplete());
  this->Keeper.onListing({upstream(1)}, this->Now);
  EXPECT_FALSE(this->Keeper.isComplete());
  ASSERT_TRUE(this->Keeper.onRoutes(routes()).has_value());
  EXPECT_TRUE(this->Keeper.isComplete());
}

TEST_F(KeeperTest, RemovedUpstreamGetsNoNewFlowsButStaysToLocateOldOnes) {
  this->Keeper.onListing({upstream(1), upstream(2)}, this->Now);
  this->Keeper.onRemoved("i-1", this->Now);
  EXPECT_EQ(this->stateOf(1), UpstreamState::Gone);
  EXPECT_EQ(this->stateOf(2), UpstreamState::Ready);
  this->Keeper.onTick(this->Now + GoneRetention);
  EXPECT_EQ(this->Keeper.current()->upstreams(OrderService).size(), 1U);
}

// Guards against an outage of the store that takes all upstreams away, whose
// entries lapsed meanwhile.
TEST_F(KeeperTest, UpstreamMissingAfterAnOutageIsBelievedForAWhile) {
  this->Keeper.onListing({upstream(1), upstream(2)}, this->Now);
  this->Keeper.onSourceLost();
  this->Keeper.onListing({upstream(2)}, this->Now);
  EXPECT_EQ(this->stateOf(1), UpstreamState::Ready);
  this->Now += ReturnGrace - milliseconds(1);
  this->Keeper.onTick(this->Now);
  EXPECT_EQ(this->stateOf(1), UpstreamState::Ready);
  this->Now += milliseconds(1);
  this->Keeper.onTick(this->Now);
  EXPECT_EQ(this->stateOf(1), UpstreamState::Gone);
}

TEST_F(KeeperTest, UpstreamThatReturnsInTimeStays) {
  this->Keeper.onListing({upstream(1)}, this->Now);
  this->Keeper.onSourceLost();
  this->Keeper.onListing({}, this->Now);
  this->Keeper.onUpstream(upstream(1));
  this->Keeper.onTick(this->Now + ReturnGrace);
  EXPECT_EQ(this->stateOf(1), UpstreamState::Ready);
}

// Guards against new work at an upstream that announced its end before the
// outage of the store.
TEST_F(KeeperTest, DrainingUpstreamIsGoneAtOnce) {
  this->Keeper.onListing({upstream(1, UpstreamState::Draining)}, this->Now);
  this->Keeper.onSourceLost();
  this->Keeper.onListing({}, this->Now);
  EXPECT_EQ(this->stateOf(1), UpstreamState::Gone);
}

// Guards against new work at an upstream that leaves, by the entry that it had
// before it restarted (soak, seeds 103 and 118).
TEST_F(KeeperTest, NewestEntryOfAnAddressDecides) {
  ListedUpstream Restarted = upstream(5, UpstreamState::Draining);
  Restarted.Address = agentAddress(1);
  Restarted.Registered = 2;
  ListedUpstream Old = upstream(1);
  Old.Registered = 1;
  this->Keeper.onListing({Restarted, Old}, this->Now);
  const auto InForce = this->Keeper.current();
  for (const ListedUpstream &Each : InForce->upstreams(OrderService)) {
    EXPECT_NE(Each.State, UpstreamState::Ready) << Each.Name;
  }
  EXPECT_TRUE(InForce->hasAgent(agentAddress(1)));
  // Once the newer entry is gone, the older one counts no more than before.
  this->Keeper.onRemoved("i-5", this->Now);
  EXPECT_FALSE(this->Keeper.current()->hasAgent(agentAddress(1)));
}

TEST_F(KeeperTest, CopyOfAnotherBalancerRemovesNothing) {
  this->Keeper.onListing({upstream(1)}, this->Now);
  this->Keeper.onCopy({upstream(2)});
  EXPECT_EQ(this->stateOf(1), UpstreamState::Ready);
  EXPECT_EQ(this->stateOf(2), UpstreamState::Ready);
}

TEST(DirectoryExchangeTest, CopyEqualsTheDirectory) {
  const std::vector<ListedUpstream> All = {upstream(1),
                                           upstream(2, UpstreamState::Draining),
                                           upstream(3, UpstreamState::Gone)};
  const Directory From(routes(9), All);
  const auto Copy = readDirectory(writeDirectory(From, true));
  ASSERT_TRUE(Copy.has_value());
  EXPECT_TRUE(Copy->SourceAvailable);
  EXPECT_EQ(Copy->Routes.Version, 9U);
  EXPECT_EQ(Copy->Routes.Routes, routes(9).Routes);
  // An upstream that is gone is not handed on.
  EXPECT_EQ(Copy->Upstreams, (std::vector<ListedUpstream>{All[0], All[1]}));
}

class BadCopyTest : public testing::TestWithParam<std::string_view> {};

// Guards against a crash or a half directory from another balancer's answer.
TEST_P(BadCopyTest, IsATypedError) {
  const auto Copy = readDirectory(GetParam());
  ASSERT_FALSE(Copy.has_value());
  EXPECT_EQ(Copy.error().Kind, ErrorKind::MalformedMessage);
}

INSTANTIATE_TEST_SUITE_P(
    Texts, BadCopyTest,
    testing::Values("", "{", "[]", R"({"version":1})",
                    R"({"version":"x","source_available":true,"routes":[],
                        "upstreams":[]})",
                    R"({"version":1,"source_available":true,
                        "routes":[[1,2,3,4,5,[]]],"upstreams":[]})"));

} // namespace
} // namespace mulberryhoist
