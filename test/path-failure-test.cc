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
using standin::pollUntil;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Endpoint Orders{0x7F090001, 80};
constexpr Endpoint Templates{0x7F090002, 80};
constexpr Duration ResultLimit = seconds(60);
constexpr Duration OrderGap = milliseconds(50);
constexpr Duration NewWorkEnd = seconds(3);
constexpr std::size_t DownloadBytes = std::size_t{1} << 20U;
// Leaves slots free on every upstream, so that orders are served meanwhile.
constexpr std::size_t DownloadCount = 9;

Instant now() { return std::chrono::steady_clock::now(); }

CallRequest makeOrder(const std::string &Id) {
  CallRequest Request;
  Request.Service = Orders;
  Request.Run.Id = Id;
  Request.Run.Idempotent = false;
  Request.Run.Size = 1000;
  Request.Run.Time = milliseconds(10);
  return Request;
}

CallRequest makeDownload(std::size_t Index, Duration Time) {
  CallRequest Request;
  Request.Service = Templates;
  Request.Class = 4;
  Request.Run.Id = fmt::format("download-{}", Index);
  Request.Run.Size = DownloadBytes;
  Request.Run.Time = Time;
  Request.Run.Stream = true;
  return Request;
}

class FailureTest;

/// A failure of processes and what it may do to callers.
struct FailureRow {
  std::string Name;
  void (FailureTest::*Steps)();
  /// Whether nothing but planned changes and recoverable failures happen, so
  /// that no flow may break.
  bool BreaksNothing = true;
  std::vector<std::string> FabricSettings = {};
};

/// Names the row in messages of failed tests.
// NOLINTNEXTLINE(readability-identifier-naming): GoogleTest calls this name.
void PrintTo(const FailureRow &Row, std::ostream *Out) { *Out << Row.Name; }

/// An installation of 2 balancers and 3 agents with upstreams. Requests are
/// judged by what the upstreams ran against what the callers saw.
class FailureTest : public testing::TestWithParam<FailureRow> {
public:
  void killAgent();
  void killBalancer();
  void windDown();

protected:
  void SetUp() override {
    FleetOptions Options;
    Options.Programs = MULBERRY_BINARY_DIR;
    Options.Services = {{"orders", Orders, 0, "100"},
                        {"templates", Templates, 4, "50"}};
    Options.FabricSettings = GetParam().FabricSettings;
    this->start(std::move(Options));
  }

  void TearDown() override {
    if (this->HasFailure() && this->Running) {
      ADD_FAILURE() << this->Running->logTails();
    }
  }

  void start(FleetOptions Options) {
    auto Started = Fleet::start(std::move(Options));
    ASSERT_TRUE(Started) << Started.error().Detail;
    this->Running = std::move(*Started);
  }

  void call(const CallRequest &Request) {
    ++this->Calls;
    this->Running->call(Request);
  }

  /// Starts downloads one after the other, so that each upstream has slots for
  /// its part. An opening that loses packets may still be refused.
  void startDownloads(Duration Time) {
    for (std::size_t Index = 0; Index < DownloadCount; ++Index) {
      const CallRequest Request = makeDownload(Index, Time);
      this->call(Request);
      ASSERT_TRUE(pollUntil([&] {
        return this->Running->runsPerId().contains(Request.Run.Id) ||
               this->hasResult(Request.Run.Id);
      })) << Request.Run.Id;
    }
    ASSERT_LT(this->downloadsEnded(), DownloadCount) << "no download runs";
  }

  bool hasResult(const std::string &Id) {
    const auto Results = this->Running->results();
    return std::ranges::find(Results, Id, &CallResult::Id) != Results.end();
  }

  /// Sends orders all the time until the condition holds; their identifiers
  /// begin with `Prefix`.
  template <typename Condition>
  bool orderUntil(const std::string &Prefix, Condition &&Holds,
                  Duration Limit = seconds(20)) {
    Instant Next = now();
    return pollUntil(
        [&] {
          if (now() >= Next) {
            this->call(makeOrder(fmt::format("{}-{}", Prefix, this->Calls)));
            Next = now() + OrderGap;
          }
          return Holds();
        },
        Limit);
  }

  /// Sends orders for a time.
  void orderFor(const std::string &Prefix, Duration Time) {
    const Instant End = now() + Time;
    this->orderUntil(
        Prefix, [End] { return now() >= End; }, Time + seconds(10));
  }

  /// Identifiers of the requests that an upstream ran.
  std::vector<std::string> runsAt(const std::string &Name) {
    std::vector<std::string> Ids;
    for (const auto &Entry :
         getJson(this->Running->site(Name).UpstreamControl, "/runs")) {
      Ids.push_back(Entry.value("id", ""));
    }
    return Ids;
  }

  /// The upstream that runs the most downloads.
  std::string busiestSite() {
    const auto Names = this->Running->siteNames();
    return *std::ranges::max_element(Names, {}, [this](const auto &Name) {
      return this->runsAt(Name).size();
    });
  }

  nlohmann::json dumpOf(const Node &Value) {
    return getJson(Value.Admin, "/dump");
  }

  std::size_t downloadsEnded() {
    return static_cast<std::size_t>(std::ranges::count(
        this->Running->results(), Templates, &CallResult::Service));
  }

  /// Publishes a table that gives an upstream no new work.
  void publishWithout(const std::string &Name) {
    for (TableRow &Row : this->Running->rows()) {
      Row.Weight = Row.Upstream == Name ? 0 : Row.Weight;
    }
    const auto Revision = this->Running->publish();
    ASSERT_TRUE(Revision) << Revision.error().Detail;
  }

  /// Sends orders until an agent knows that it drains.
  void orderUntilDraining(const std::string &Name) {
    const Node &Agent = this->Running->site(Name).Agent;
    ASSERT_TRUE(this->orderUntil("notice", [&] {
      const auto Drain = getJson(Agent.Admin, "/drain");
      return Drain.is_object() && Drain.value("draining", false);
    }));
  }

  /// Checks that none of the orders with this prefix ran at an upstream.
  void expectNoRuns(const std::string &Name, std::string_view Prefix) {
    for (const std::string &Id : this->runsAt(Name)) {
      EXPECT_FALSE(Id.starts_with(Prefix)) << Id << " ran at " << Name;
    }
  }

  void judge();

  std::unique_ptr<Fleet> Running;
  std::size_t Calls = 0;
  /// Runs of upstreams that were killed.
  std::map<std::string, std::size_t> LostRuns;
};

/// The oracle: compares the upstreams' runs with the callers' results.
void FailureTest::judge() {
  ASSERT_TRUE(this->Running->waitForResults(this->Calls, ResultLimit))
      << this->Running->results().size() << " of " << this->Calls;
  auto Runs = this->Running->runsPerId();
  for (const auto &[Id, Times] : this->LostRuns) {
    Runs[Id] += Times;
  }
  for (const auto &[Id, Times] : Runs) {
    EXPECT_EQ(Times, 1U) << Id << " ran " << Times << " times";
  }
  for (const CallResult &Result : this->Running->results()) {
    const std::size_t Times = Runs.contains(Result.Id) ? 1 : 0;
    // The caller compares every byte with the answer to its own request.
    EXPECT_NE(Result.Outcome, CallOutcome::WrongAnswer) << formatResult(Result);
    if (Result.Outcome == CallOutcome::Complete) {
      EXPECT_EQ(Times, 1U) << formatResult(Result);
    }
    if (Result.Outcome == CallOutcome::Refused) {
      EXPECT_EQ(Times, 0U) << "ran: " << formatResult(Result);
    }
    if (GetParam().BreaksNothing) {
      EXPECT_NE(Result.Outcome, CallOutcome::Unknown) << formatResult(Result);
    }
  }
}

// Guards against flows that end with the agent that owned them although their
// upstream lives.
void FailureTest::killAgent() {
  this->startDownloads(seconds(5));
  const std::string Name = this->busiestSite();
  this->Running->site(Name).Agent.Running->kill();
  const auto Restarted = this->Running->restartAgent(Name);
  ASSERT_TRUE(Restarted) << Restarted.error().Detail;
  EXPECT_LT(this->downloadsEnded(), DownloadCount) << "no download runs";
  ASSERT_TRUE(pollUntil([&] {
    const auto Dump = this->dumpOf(this->Running->site(Name).Agent);
    return Dump.is_object() && Dump["counters"]["adopted"] > 0;
  })) << "no flow was adopted";
}

// Guards against flows that end with the balancer that carried their packets.
void FailureTest::killBalancer() {
  this->startDownloads(seconds(5));
  Node &Killed = this->Running->balancer("balancer-1");
  Killed.Running->kill();
  // The fabric sprays over the killed balancer until it notices.
  const std::string Address = formatEndpoint(Killed.Data);
  const auto Sent = [&] {
    return this->Running->packetsPerBalancer()[Address];
  };
  constexpr std::uint64_t PacketsLost = 50;
  const std::uint64_t Before = Sent();
  ASSERT_TRUE(this->orderUntil("order",
                               [&] { return Sent() >= Before + PacketsLost; }));
  const auto Forgotten = this->Running->forgetBalancer("balancer-1");
  ASSERT_TRUE(Forgotten) << Forgotten.error().Detail;
  EXPECT_LT(this->downloadsEnded(), DownloadCount) << "no download runs";
  this->orderFor("order", seconds(1));
}

// Guards against flows that end with the wind-down of their upstream, against
// new work for it 3 s after the notice, and against a stop that cuts flows.
void FailureTest::windDown() {
  this->startDownloads(seconds(8));
  const std::string Name = this->busiestSite();
  this->publishWithout(Name);
  this->orderUntilDraining(Name);
  this->orderFor("notice", NewWorkEnd);
  this->orderFor("late", seconds(1));
  Node &Agent = this->Running->site(Name).Agent;
  EXPECT_GT(getJson(Agent.Admin, "/drain").value("flows", 0), 0)
      << "the downloads ended before the stop";
  Agent.Running->terminate();
  this->orderFor("late", seconds(1));
  EXPECT_EQ(Agent.Running->wait(ResultLimit), 0);
  EXPECT_NE(Agent.Running->logTail().find("\"flows_cut\":0"),
            std::string::npos);
  this->expectNoRuns(Name, "late");
}

TEST_P(FailureTest, CallersSeeWhatRan) {
  ASSERT_NE(this->Running, nullptr);
  (this->*GetParam().Steps)();
  this->judge();
}

const std::vector<std::string> FabricFaults = {
    "--drop", "20", "--duplicate", "20", "--reorder", "50"};

INSTANTIATE_TEST_SUITE_P(
    Failures, FailureTest,
    testing::Values(FailureRow{"AgentKilledAndRestarted",
                               &FailureTest::killAgent},
                    FailureRow{"BalancerKilled", &FailureTest::killBalancer},
                    FailureRow{"UpstreamWoundDown", &FailureTest::windDown},
                    FailureRow{"BalancerKilledInLossyFabric",
                               &FailureTest::killBalancer, true, FabricFaults},
                    FailureRow{"UpstreamWoundDownInLossyFabric",
                               &FailureTest::windDown, true, FabricFaults}),
    [](const auto &Info) { return Info.param.Name; });

} // namespace
} // namespace mulberryhoist::path
