#include "mulberryhoist/directory.h"

#include <gtest/gtest.h>

#include "mulberryhoist/directory-exchange.h"
#include "steer-samples.h"

namespace mulberryhoist {
namespace {

using namespace samples;
using std::chrono::milliseconds;

class DirectoryBuilderTest : public testing::Test {
protected:
  UpstreamState stateOf(std::uint32_t Number) {
    const auto InForce = this->Builder.current();
    for (const ListedUpstream &Each : InForce->upstreams(OrderService)) {
      if (Each.Address == agentAddress(Number)) {
        return Each.State;
      }
    }
    ADD_FAILURE() << "upstream " << Number << " is not listed";
    return UpstreamState::Gone;
  }

  Instant Now = Instant(std::chrono::hours(1));
  DirectoryBuilder Builder;
};

// Guards against a configuration that goes back within one process.
TEST_F(DirectoryBuilderTest, OlderConfigurationIsRejected) {
  ASSERT_TRUE(this->Builder.onRoutes(routes(7)).has_value());
  EXPECT_EQ(this->Builder.onRoutes(routes(6)).error().Kind,
            ErrorKind::OlderTable);
  EXPECT_TRUE(this->Builder.onRoutes(routes(7)).has_value());
  EXPECT_EQ(this->Builder.version(), 7U);
}

TEST_F(DirectoryBuilderTest, IsCompleteOnlyWithRoutesAndListing) {
  EXPECT_FALSE(this->Builder.isComplete());
  this->Builder.onListing({upstream(1)}, this->Now);
  EXPECT_FALSE(this->Builder.isComplete());
  ASSERT_TRUE(this->Builder.onRoutes(routes()).has_value());
  EXPECT_TRUE(this->Builder.isComplete());
}

TEST_F(DirectoryBuilderTest,
       RemovedUpstreamGetsNoNewFlowsButStaysToLocateOldOnes) {
  this->Builder.onListing({upstream(1), upstream(2)}, this->Now);
  this->Builder.onRemoved("i-1", this->Now);
  EXPECT_EQ(this->stateOf(1), UpstreamState::Gone);
  EXPECT_EQ(this->stateOf(2), UpstreamState::Ready);
  this->Builder.onTick(this->Now + GoneRetention);
  EXPECT_EQ(this->Builder.current()->upstreams(OrderService).size(), 1U);
}

// Guards against an outage of the store that takes all upstreams away, whose
// entries lapsed meanwhile.
TEST_F(DirectoryBuilderTest, UpstreamMissingAfterAnOutageIsBelievedForAWhile) {
  this->Builder.onListing({upstream(1), upstream(2)}, this->Now);
  this->Builder.onSourceLost();
  this->Builder.onListing({upstream(2)}, this->Now);
  EXPECT_EQ(this->stateOf(1), UpstreamState::Ready);
  this->Now += ReturnGrace - milliseconds(1);
  this->Builder.onTick(this->Now);
  EXPECT_EQ(this->stateOf(1), UpstreamState::Ready);
  this->Now += milliseconds(1);
  this->Builder.onTick(this->Now);
  EXPECT_EQ(this->stateOf(1), UpstreamState::Gone);
}

TEST_F(DirectoryBuilderTest, UpstreamThatReturnsInTimeStays) {
  this->Builder.onListing({upstream(1)}, this->Now);
  this->Builder.onSourceLost();
  this->Builder.onListing({}, this->Now);
  this->Builder.onUpstream(upstream(1));
  this->Builder.onTick(this->Now + ReturnGrace);
  EXPECT_EQ(this->stateOf(1), UpstreamState::Ready);
}

// Guards against new work at an upstream that announced its end before the
// outage of the store.
TEST_F(DirectoryBuilderTest, DrainingUpstreamIsGoneAtOnce) {
  this->Builder.onListing({upstream(1, UpstreamState::Draining)}, this->Now);
  this->Builder.onSourceLost();
  this->Builder.onListing({}, this->Now);
  EXPECT_EQ(this->stateOf(1), UpstreamState::Gone);
}

// Guards against new work at an upstream that leaves, by the entry that it had
// before it restarted (soak, seeds 103 and 118).
TEST_F(DirectoryBuilderTest, NewestEntryOfAnAddressDecides) {
  ListedUpstream Restarted = upstream(5, UpstreamState::Draining);
  Restarted.Address = agentAddress(1);
  Restarted.Registered = 2;
  ListedUpstream Old = upstream(1);
  Old.Registered = 1;
  this->Builder.onListing({Restarted, Old}, this->Now);
  const auto InForce = this->Builder.current();
  for (const ListedUpstream &Each : InForce->upstreams(OrderService)) {
    EXPECT_NE(Each.State, UpstreamState::Ready) << Each.Name;
  }
  EXPECT_TRUE(InForce->hasAgent(agentAddress(1)));
  // Once the newer entry is gone, the older one counts no more than before.
  this->Builder.onRemoved("i-5", this->Now);
  EXPECT_FALSE(this->Builder.current()->hasAgent(agentAddress(1)));
}

TEST_F(DirectoryBuilderTest, CopyOfAnotherBalancerRemovesNothing) {
  this->Builder.onListing({upstream(1)}, this->Now);
  this->Builder.onCopy({upstream(2)});
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
