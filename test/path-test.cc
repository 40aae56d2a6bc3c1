#include <gtest/gtest.h>

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "path/fleet.h"

namespace mulberryhoist::path {
namespace {

using standin::CallOutcome;
using standin::CallRequest;
using standin::CallResult;
using standin::formatResult;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Endpoint Orders{0x7F090001, 80};
constexpr Endpoint Templates{0x7F090002, 80};
constexpr Duration ResultLimit = seconds(60);

/// An installation of 2 balancers and 3 agents with upstreams.
class PathTest : public testing::Test {
protected:
  void SetUp() override {
    FleetOptions Options;
    Options.Programs = MULBERRY_BINARY_DIR;
    Options.Services = {{"orders", Orders, 0, "100"},
                        {"templates", Templates, 4, "50"}};
    auto Started = Fleet::start(std::move(Options));
    ASSERT_TRUE(Started) << Started.error().Detail;
    this->Running = std::move(*Started);
  }

  void TearDown() override {
    if (this->HasFailure() && this->Running) {
      ADD_FAILURE() << this->Running->logTails();
    }
  }

  void expectAllComplete(std::size_t Count) {
    ASSERT_TRUE(this->Running->waitForResults(Count, ResultLimit))
        << this->Running->results().size() << " of " << Count;
    for (const CallResult &Result : this->Running->results()) {
      EXPECT_EQ(Result.Outcome, CallOutcome::Complete) << formatResult(Result);
    }
    const auto Runs = this->Running->runsPerId();
    EXPECT_EQ(Runs.size(), Count);
    for (const auto &[Id, Times] : Runs) {
      EXPECT_EQ(Times, 1U) << Id;
    }
  }

  /// Starts downloads and waits until all of them receive bytes.
  void startDownloads(std::size_t Count, Duration Time) {
    for (std::size_t Index = 0; Index < Count; ++Index) {
      CallRequest Request;
      Request.Service = Templates;
      Request.Run.Id = fmt::format("download-{}", Index);
      Request.Run.Size = std::size_t{2} << 20U;
      Request.Run.Time = Time;
      Request.Run.Stream = true;
      this->Running->call(Request);
    }
    ASSERT_TRUE(standin::pollUntil(
        [&] { return this->Running->runsPerId().size() == Count; }));
  }

  std::unique_ptr<Fleet> Running;
};

CallRequest makeOrder(std::size_t Index) {
  CallRequest Request;
  Request.Service = Orders;
  Request.Run.Id = fmt::format("order-{}", Index);
  Request.Run.Idempotent = false;
  Request.Run.Size = 1000;
  Request.Run.Time = milliseconds(10);
  return Request;
}

// Guards against a path that does not carry one request from start to end.
TEST_F(PathTest, ServesARequest) {
  this->Running->call(makeOrder(0));
  this->expectAllComplete(1);
}

// Guards against flows that break, and requests that run twice, when their
// packets arrive at different balancers.
TEST_F(PathTest, FlowsSprayedOverBothBalancersComplete) {
  constexpr std::size_t Count = 40;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    CallRequest Request = makeOrder(Index);
    Request.Run.Size = 200000;
    this->Running->call(Request);
  }
  this->expectAllComplete(Count);
  const auto Packets = this->Running->packetsPerBalancer();
  EXPECT_EQ(Packets.size(), 2U);
  for (const auto &[Balancer, Number] : Packets) {
    EXPECT_GT(Number, Count) << Balancer;
  }
}

// Guards against flows that end with the balancer that saw their opening.
TEST_F(PathTest, ReplacedBalancerBreaksNoDownload) {
  constexpr std::size_t Count = 6;
  // A balancer takes up to 2 s to stop; the downloads must last longer than the
  // replacement of both.
  this->startDownloads(Count, seconds(12));
  const auto Added = this->Running->addBalancer("balancer-3");
  ASSERT_TRUE(Added) << Added.error().Detail;
  for (const char *Name : {"balancer-1", "balancer-2"}) {
    const auto Removed = this->Running->removeBalancer(Name);
    ASSERT_TRUE(Removed) << Removed.error().Detail;
  }
  EXPECT_TRUE(this->Running->results().empty())
      << "the downloads ended before the replacement";
  this->expectAllComplete(Count);
}

// Guards against flows that end when their upstream is drained by its weight,
// and against new work for it once the table is in force.
TEST_F(PathTest, DrainedUpstreamFinishesItsDownloads) {
  constexpr std::size_t Count = 6;
  this->startDownloads(Count, seconds(6));
  for (TableRow &Row : this->Running->rows()) {
    Row.Weight = Row.Upstream == "upstream-1" ? 0 : Row.Weight;
  }
  const auto Revision = this->Running->publish();
  ASSERT_TRUE(Revision) << Revision.error().Detail;
  ASSERT_TRUE(this->Running->waitForRevision(*Revision));
  const Endpoint Drained = this->Running->site("upstream-1").UpstreamControl;
  const std::size_t Before = getJson(Drained, "/runs").size();
  constexpr std::size_t OrderCount = 20;
  // One after the other: the downloads hold most slots, and an order that had
  // to wait behind them for 2 s would rightly be refused.
  for (std::size_t Index = 0; Index < OrderCount; ++Index) {
    this->Running->call(makeOrder(Index));
    ASSERT_TRUE(this->Running->waitForResults(Index + 1, ResultLimit));
  }
  this->expectAllComplete(Count + OrderCount);
  EXPECT_EQ(getJson(Drained, "/runs").size(), Before);
}

} // namespace
} // namespace mulberryhoist::path
