#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "path/fleet.h"
#include "standin/platform.h"

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
constexpr Endpoint Previews{0x7F090003, 80};
constexpr Duration ResultLimit = seconds(60);
constexpr Duration OrderGap = milliseconds(50);
constexpr Duration NewWorkEnd = seconds(3);
constexpr Duration FreezeTime = seconds(5);
constexpr Duration TableBound = seconds(9);
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

/// Sends a control request to a stand-in.
bool post(Endpoint Server, std::string_view Target) {
  const auto Answer = standin::httpCall(Server, "POST", Target);
  return Answer && Answer->Status == 200;
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
  /// Processes that the configuration service never answers.
  std::vector<std::string> CutOff = {};
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
  void killBalancerAndWindDown();
  void freezeCoordinator();
  void freezeBalancer();
  void serveOldTables();
  void cutOffReader();
  void killUpstream();
  void flood();

protected:
  void SetUp() override {
    FleetOptions Options;
    Options.Programs = MULBERRY_BINARY_DIR;
    Options.Services = {{"orders", Orders, 0, "100"},
                        {"templates", Templates, 4, "50"},
                        {"previews", Previews, 7, "10"}};
    Options.FabricSettings = GetParam().FabricSettings;
    for (const std::string &Name : GetParam().CutOff) {
      Options.PlatformOf[Name] = this->silentPlatform();
    }
    this->start(std::move(Options));
  }

  void TearDown() override {
    if (this->HasFailure() && this->Running) {
      ADD_FAILURE() << this->Running->logTails();
    }
    this->SilentThread.stop();
  }

  /// A configuration service that accepts connections and never answers.
  Endpoint silentPlatform() {
    standin::PlatformOptions Options;
    Options.Listen = {0x7F000001, freePort()};
    this->SilentThread.run([&](standin::io_context &Io) {
      auto Created = standin::Platform::create(Io, Options);
      if (Created) {
        this->Silent.push_back(std::move(*Created));
      }
    });
    EXPECT_TRUE(post(Options.Listen, "/test/mode?mode=silent"));
    return Options.Listen;
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
    this->Published = *Revision;
  }

  /// Publishes a table that differs in one weight.
  void publishWeight(unsigned Weight) {
    this->Running->rows().front().Weight = Weight;
    const auto Revision = this->Running->publish();
    ASSERT_TRUE(Revision) << Revision.error().Detail;
    this->Published = *Revision;
  }

  /// How many of the requests with this prefix completed.
  std::size_t completed(std::string_view Prefix) {
    std::size_t Count = 0;
    for (const CallResult &Result : this->Running->results()) {
      if (Result.Outcome == CallOutcome::Complete &&
          Result.Id.starts_with(Prefix)) {
        ++Count;
      }
    }
    return Count;
  }

  /// Checks that the table in force on no process went back since the last
  /// call.
  void observeVersions() {
    std::vector<const Node *> Nodes;
    for (const std::string &Name : this->Running->balancerNames()) {
      Nodes.push_back(&this->Running->balancer(Name));
    }
    for (const std::string &Name : this->Running->siteNames()) {
      Nodes.push_back(&this->Running->site(Name).Agent);
    }
    for (const Node *Value : Nodes) {
      const auto Version = getJson(Value->Admin, "/version");
      if (!Version.is_object() || !Version["table"].is_object()) {
        continue;
      }
      const TableVersion InForce{
          Version["table"].value("epoch", std::uint32_t{0}),
          Version["table"].value("revision", std::uint64_t{0})};
      TableVersion &Highest = this->Seen[Value->Name];
      EXPECT_TRUE(InForce >= Highest) << Value->Name;
      Highest = std::max(Highest, InForce);
    }
  }

  /// Waits while orders go on and no table goes back.
  template <typename Condition> bool observeUntil(Condition &&Holds) {
    return this->orderUntil("order", [&] {
      this->observeVersions();
      return Holds();
    });
  }

  /// Whether every process was seen with the table published last.
  bool allSeePublished() {
    return std::ranges::all_of(this->Seen, [this](const auto &Entry) {
      return Entry.second.Revision == this->Published;
    });
  }

  /// Sums a number of the document exchange over all agents.
  std::uint64_t documentCount(const std::string &Name) {
    std::uint64_t Sum = 0;
    for (const std::string &Site : this->Running->siteNames()) {
      const auto Dump = this->dumpOf(this->Running->site(Site).Agent);
      Sum += Dump["counters"]["documents"].value(Name, std::uint64_t{0});
    }
    for (const std::string &Each : this->Running->balancerNames()) {
      const auto Dump = this->dumpOf(this->Running->balancer(Each));
      Sum += Dump["counters"]["documents"].value(Name, std::uint64_t{0});
    }
    return Sum;
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

  void loseBalancer();
  void drainUpstream();
  void judge();

  std::unique_ptr<Fleet> Running;
  std::size_t Calls = 0;
  /// Runs of upstreams that were killed.
  std::map<std::string, std::size_t> LostRuns;
  std::uint64_t Published = 1;
  /// The highest version seen in force on each process.
  std::map<std::string, TableVersion> Seen;
  // Outlives the services that use its `io_context`.
  standin::Host SilentThread;
  std::vector<std::unique_ptr<standin::Platform>> Silent;
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

/// Kills a balancer; the fabric notices later.
void FailureTest::loseBalancer() {
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

/// Winds an upstream with downloads down and stops its agent.
void FailureTest::drainUpstream() {
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

// Guards against flows that end with the balancer that carried their packets.
void FailureTest::killBalancer() {
  this->startDownloads(seconds(5));
  this->loseBalancer();
}

// Guards against flows that end with the wind-down of their upstream, against
// new work for it 3 s after the notice, and against a stop that cuts flows.
void FailureTest::windDown() {
  this->startDownloads(seconds(7));
  this->drainUpstream();
}

// Guards against packet loss, duplicates and reordering that turn the two
// changes above into broken flows or double runs.
void FailureTest::killBalancerAndWindDown() {
  this->startDownloads(seconds(10));
  this->loseBalancer();
  this->drainUpstream();
}

// Guards against refusals by a coordinator that sees its openings late, and
// against flows that end because the coordinator that remembers their owner
// pauses.
void FailureTest::freezeCoordinator() {
  this->startDownloads(seconds(7));
  Process *Coordinator = nullptr;
  ASSERT_TRUE(pollUntil([&] {
    for (const std::string &Name : this->Running->siteNames()) {
      const Node &Agent = this->Running->site(Name).Agent;
      const auto Dump = this->dumpOf(Agent);
      if (Dump.is_object() && Dump["state"]["redirects"] > 0) {
        Coordinator = Agent.Running.get();
      }
    }
    return Coordinator != nullptr;
  })) << "no download is owned by another agent than its home";
  Coordinator->freeze();
  const Instant Resume = now() + FreezeTime;
  constexpr std::size_t CompletedWhileFrozen = 50;
  EXPECT_TRUE(this->orderUntil("frozen", [&] {
    return now() >= Resume && this->completed("frozen") >= CompletedWhileFrozen;
  })) << this->completed("frozen");
  Coordinator->resume();
  this->orderFor("resumed", seconds(1));
}

// Guards against a balancer that acts on its old view after a pause.
void FailureTest::freezeBalancer() {
  this->startDownloads(seconds(7));
  const std::string Name = this->busiestSite();
  Process &Frozen = *this->Running->balancer("balancer-1").Running;
  Frozen.freeze();
  const Instant Resume = now() + FreezeTime;
  this->publishWithout(Name);
  this->orderUntilDraining(Name);
  this->orderFor("notice", NewWorkEnd);
  ASSERT_TRUE(this->orderUntil("late", [&] { return now() >= Resume; }));
  Frozen.resume();
  this->orderFor("late", seconds(1));
  EXPECT_TRUE(this->Running->waitForRevision(this->Published));
  this->expectNoRuns(Name, "late");
}

// Guards against a table in force that goes back when the configuration service
// fails or returns with an older or incomplete one.
void FailureTest::serveOldTables() {
  const Endpoint Platform = this->Running->platform();
  this->observeVersions();
  this->Running->setEpoch(2);
  this->publishWeight(50);
  ASSERT_TRUE(this->observeUntil([&] { return this->allSeePublished(); }));

  ASSERT_TRUE(post(Platform, "/test/mode?mode=down"));
  const auto Added = this->Running->addBalancer("balancer-3");
  ASSERT_TRUE(Added) << Added.error().Detail;
  ASSERT_TRUE(this->observeUntil([&] { return this->allSeePublished(); }));

  // A restored service goes on with a newer revision in an older epoch.
  const std::uint64_t InForce = this->Published;
  this->Running->setEpoch(1);
  this->publishWeight(60);
  this->Published = InForce;
  // Neighbours' late messages count as ignored too, so the number alone does
  // not show that the service was read.
  const std::uint64_t Ignored = this->documentCount("older_ignored");
  const auto Calls = [&] {
    return getJson(Platform, "/test/calls").value("counted", std::uint64_t{0});
  };
  constexpr std::uint64_t ReadsOfOld = 20;
  const std::uint64_t Before = Calls();
  ASSERT_TRUE(post(Platform, "/test/mode?mode=up"));
  ASSERT_TRUE(this->observeUntil([&] {
    return Calls() >= Before + ReadsOfOld &&
           this->documentCount("older_ignored") > Ignored;
  }));
  // A process that starts now may be offered the old table first.
  this->Running->site("upstream-1").Agent.Running->kill();
  this->Seen.erase("upstream-1");
  const auto Restarted = this->Running->restartAgent("upstream-1");
  ASSERT_TRUE(Restarted) << Restarted.error().Detail;
  ASSERT_TRUE(this->observeUntil([&] { return this->allSeePublished(); }));

  ASSERT_TRUE(post(Platform, "/test/mode?mode=half"));
  this->Running->setEpoch(3);
  this->publishWeight(70);
  ASSERT_TRUE(this->observeUntil(
      [&] { return this->documentCount("invalid_rejected") > 0; }));
  for (const auto &[Name, Version] : this->Seen) {
    EXPECT_EQ(Version.Revision, InForce) << Name << " uses a part of a table";
  }

  ASSERT_TRUE(post(Platform, "/test/mode?mode=up"));
  EXPECT_TRUE(this->observeUntil([&] { return this->allSeePublished(); }));
}

// Guards against a table change that depends on every reader.
void FailureTest::cutOffReader() {
  std::size_t Readers = 0;
  std::size_t CutOff = 0;
  const auto CountReaders = [&] {
    Readers = 0;
    CutOff = 0;
    for (const std::string &Name : this->Running->balancerNames()) {
      const auto Version =
          getJson(this->Running->balancer(Name).Admin, "/version");
      if (Version.is_object() && Version.value("reader", false)) {
        ++Readers;
        CutOff += std::ranges::count(GetParam().CutOff, Name);
      }
    }
    return Readers > 0 && 2 * CutOff == Readers;
  };
  ASSERT_TRUE(pollUntil(CountReaders)) << CutOff << " of " << Readers;
  constexpr std::array<unsigned, 3> Weights = {50, 70, 90};
  for (const unsigned Weight : Weights) {
    this->publishWeight(Weight);
    EXPECT_TRUE(this->Running->waitForRevision(this->Published, TableBound));
    this->orderFor("order", milliseconds(500));
  }
  EXPECT_EQ(getJson(this->Running->platform(), "/test/calls")["rejected"], 0);
}

// Guards against a second run of an order whose upstream is gone, and against
// telling its caller that it did not run.
void FailureTest::killUpstream() {
  constexpr std::size_t SlowOrders = 6;
  for (std::size_t Index = 0; Index < SlowOrders; ++Index) {
    CallRequest Request = makeOrder(fmt::format("slow-{}", Index));
    Request.Run.Time = seconds(3);
    Request.Timeout = seconds(8);
    this->call(Request);
    ASSERT_TRUE(pollUntil([&] {
      return this->Running->runsPerId().contains(Request.Run.Id) ||
             this->hasResult(Request.Run.Id);
    })) << Request.Run.Id;
  }
  const std::string Name = this->busiestSite();
  Site &Killed = this->Running->site(Name);
  // Without its agent the upstream begins no further run.
  Killed.Agent.Running->kill();
  std::size_t Running = 0;
  for (const auto &Entry : getJson(Killed.UpstreamControl, "/runs")) {
    ++this->LostRuns[Entry.value("id", "")];
    Running += Entry.value("outcome", "") == "running" ? 1 : 0;
  }
  Killed.Upstream->kill();
  EXPECT_GT(Running, 0U) << "no order ran when its upstream was killed";
  this->orderFor("order", seconds(5));
  ASSERT_TRUE(this->Running->waitForResults(this->Calls, ResultLimit));
  for (const CallResult &Result : this->Running->results()) {
    if (Result.Id.starts_with("slow") && !this->LostRuns.contains(Result.Id)) {
      EXPECT_EQ(Result.Outcome, CallOutcome::Complete) << formatResult(Result);
    }
  }
}

// Guards against refusals of requests that run, and against a flood of one
// service that takes the slots of another.
void FailureTest::flood() {
  // 12 slots at 200 ms serve 60 requests a second.
  constexpr double Rate = 600;
  constexpr Duration FloodTime = seconds(4);
  constexpr double GoodputKept = 0.95;
  CallRequest Request;
  Request.Service = Previews;
  Request.Class = 7;
  Request.Run.Size = 1000;
  Request.Run.Time = milliseconds(200);
  Request.Timeout = seconds(10);
  const Instant Begin = now();
  std::size_t Sent = 0;
  ASSERT_TRUE(this->orderUntil("order", [&] {
    const std::chrono::duration<double> Passed(now() - Begin);
    for (; static_cast<double>(Sent) < Passed.count() * Rate; ++Sent) {
      Request.Run.Id = fmt::format("flood-{}", Sent);
      this->call(Request);
    }
    return now() - Begin >= FloodTime;
  }));
  ASSERT_TRUE(this->Running->waitForResults(this->Calls, ResultLimit));
  const auto OrdersSent = static_cast<double>(this->Calls - Sent);
  EXPECT_GE(static_cast<double>(this->completed("order")),
            GoodputKept * OrdersSent);
  EXPECT_GT(this->completed("flood"), 0U);
  EXPECT_GT(std::ranges::count(this->Running->results(), CallOutcome::Refused,
                               &CallResult::Outcome),
            0);
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
    testing::Values(
        FailureRow{"AgentKilledAndRestarted", &FailureTest::killAgent},
        FailureRow{"BalancerKilled", &FailureTest::killBalancer},
        FailureRow{"UpstreamWoundDown", &FailureTest::windDown},
        FailureRow{"HomeFrozen", &FailureTest::freezeCoordinator},
        FailureRow{"BalancerFrozenInTableChange", &FailureTest::freezeBalancer},
        FailureRow{"OldTablesServed", &FailureTest::serveOldTables},
        FailureRow{"HalfOfReadersCutOff",
                   &FailureTest::cutOffReader,
                   true,
                   {},
                   {"balancer-1"}},
        FailureRow{"UpstreamKilled", &FailureTest::killUpstream, false},
        FailureRow{"Flood", &FailureTest::flood, false},
        FailureRow{"BalancerKilledAndUpstreamWoundDownInLossyFabric",
                   &FailureTest::killBalancerAndWindDown, true, FabricFaults}),
    [](const auto &Info) { return Info.param.Name; });

} // namespace
} // namespace mulberryhoist::path
