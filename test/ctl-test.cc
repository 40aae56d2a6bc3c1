#include "mulberryhoist/ctl.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>
#include <thread>
#include <unistd.h>
#include <vector>

#include "mulberryhoist/admin.h"

namespace mulberryhoist {
namespace {

/// A stand-in for a process that gives fixed answers on its admin address.
class FakeProcess {
public:
  FakeProcess(std::string Path, std::string Body)
      : Server(AdminServer::create({0x7f000001, 0}).value()) {
    this->Server.handle(
        std::move(Path), [Body = std::move(Body)](const AdminQuery &Query) {
          const bool IsExplain = Query.contains("caller");
          if (IsExplain && (Query.at("caller") != "127.0.0.1:40000" ||
                            Query.at("service") != "127.0.0.10:80")) {
            return AdminAnswer{400, "application/json", R"({"detail":"flow"})"};
          }
          return AdminAnswer{200, "application/json", Body};
        });
    this->Thread = std::jthread(
        [this](const std::stop_token &Stop) { (void)this->Server.run(Stop); });
  }

  std::string address() const { return formatEndpoint(this->Server.address()); }

private:
  AdminServer Server;
  std::jthread Thread;
};

struct Outcome {
  CtlStatus Status;
  std::string Out;
  std::string Err;
};

Outcome runWith(const std::vector<std::string> &Words) {
  std::vector<const char *> Arguments = {"mulberryctl"};
  Arguments.reserve(Words.size() + 1);
  for (const std::string &Word : Words) {
    Arguments.push_back(Word.c_str());
  }
  std::ostringstream Out;
  std::ostringstream Err;
  const CtlStatus Status = runCtl(Arguments, Out, Err);
  return {Status, Out.str(), Err.str()};
}

/// Nothing listens here: ports below 1024 are not assigned to tests.
const std::string ClosedAddress = "127.0.0.1:1";

bool contains(const std::string &Text, std::string_view Part) {
  return Text.find(Part) != std::string::npos;
}

struct UsageRow {
  std::vector<std::string> Words;
  CtlStatus Status;
  std::string Line;
};

class CtlUsageTest : public testing::TestWithParam<UsageRow> {};

// Guards against scripts that take a mistyped command for a result.
TEST_P(CtlUsageTest, OneLineAndDistinctStatus) {
  const Outcome Result = runWith(GetParam().Words);
  EXPECT_EQ(Result.Status, GetParam().Status);
  EXPECT_EQ(Result.Out, "");
  EXPECT_EQ(Result.Err.find('\n'), Result.Err.size() - 1) << Result.Err;
  EXPECT_TRUE(contains(Result.Err, GetParam().Line)) << Result.Err;
}

INSTANTIATE_TEST_SUITE_P(
    Usage, CtlUsageTest,
    testing::Values(
        UsageRow{{}, CtlStatus::WrongArgument, "missing command"},
        UsageRow{{"dmup"}, CtlStatus::UnknownCommand, "'dmup'"},
        UsageRow{{"dump"}, CtlStatus::WrongArgument, "dump ADDRESS"},
        UsageRow{{"dump", "x"}, CtlStatus::WrongArgument, "'x'"},
        UsageRow{{"compare", "127.0.0.1:1"},
                 CtlStatus::WrongArgument,
                 "compare ADDRESS ADDRESS..."},
        UsageRow{{"explain", "127.0.0.1:1", "127.0.0.1:1"},
                 CtlStatus::WrongArgument,
                 "CALLER:PORT->SERVICE:PORT"},
        UsageRow{{"check", "/nonexistent.csv"},
                 CtlStatus::WrongArgument,
                 "/nonexistent.csv"},
        UsageRow{{"check", "/"}, CtlStatus::WrongArgument, "cannot read"},
        UsageRow{{"--timeout-ms=0", "versions", "127.0.0.1:1"},
                 CtlStatus::WrongArgument,
                 "--timeout-ms: '0' is not 1..600000"},
        UsageRow{
            {"dump", ClosedAddress}, CtlStatus::Unreachable, "does not answer"},
        UsageRow{{"drain", ClosedAddress},
                 CtlStatus::Unreachable,
                 "does not answer"}));

constexpr std::string_view Version =
    R"({"name":"a","table":{"epoch":1,"revision":42},"digest":"0a",)"
    R"("age_ms":3,"reader":true})";

std::string replaced(std::string Text, std::string_view From,
                     std::string_view To) {
  return Text.replace(Text.find(From), From.size(), To);
}

struct VersionRow {
  std::string SecondBody;
  CtlStatus Status;
};

class CtlVersionsTest : public testing::TestWithParam<VersionRow> {};

// Guards against a change that counts as in force while a process has another
// version, another content, or none.
TEST_P(CtlVersionsTest, FindsDisagreement) {
  const FakeProcess First("/version", std::string(Version));
  const FakeProcess Second("/version", GetParam().SecondBody);
  const Outcome Result =
      runWith({"versions", First.address(), Second.address()});
  EXPECT_EQ(Result.Status, GetParam().Status) << Result.Out << Result.Err;
  EXPECT_TRUE(contains(Result.Out, First.address() +
                                       " name=a table=1.42 digest=0a "
                                       "age_ms=3 reader=true"));
}

INSTANTIATE_TEST_SUITE_P(
    Bodies, CtlVersionsTest,
    testing::Values(VersionRow{std::string(Version), CtlStatus::Success},
                    VersionRow{replaced(std::string(Version), "42", "43"),
                               CtlStatus::Finding},
                    VersionRow{replaced(std::string(Version), "0a", "0b"),
                               CtlStatus::Finding},
                    VersionRow{R"({"name":"a","table":null})",
                               CtlStatus::Finding},
                    VersionRow{"[]", CtlStatus::Finding},
                    VersionRow{"no JSON", CtlStatus::Finding}));

// Guards against a process that does not answer and is left out of the result,
// and against one that delays the others.
TEST(CtlTest, VersionsNeedEveryProcess) {
  const FakeProcess First("/version", std::string(Version));
  const auto Silent = AdminServer::create({0x7f000001, 0});
  const Outcome Result =
      runWith({"--timeout-ms=300", "versions",
               formatEndpoint(Silent->address()), First.address()});
  EXPECT_EQ(Result.Status, CtlStatus::Finding);
  EXPECT_TRUE(contains(Result.Out, "table=1.42"));
  EXPECT_TRUE(contains(Result.Err, formatEndpoint(Silent->address())));
}

// Guards against differences that are missed or drowned in values that always
// differ.
TEST(CtlTest, CompareShowsDifferencesOnly) {
  const FakeProcess First(
      "/dump", R"({"counters":{"n":1},"state":{"suspected":["x"],"same":1}})");
  const FakeProcess Second(
      "/dump", R"({"counters":{"n":2},"state":{"suspected":[],"same":1}})");
  const Outcome Same = runWith({"compare", First.address(), First.address()});
  EXPECT_EQ(Same.Status, CtlStatus::Success) << Same.Out;
  const Outcome Result =
      runWith({"compare", First.address(), Second.address()});
  EXPECT_EQ(Result.Status, CtlStatus::Finding);
  EXPECT_TRUE(contains(Result.Out, "/state/suspected/0\n  " + First.address() +
                                       " \"x\"\n  " + Second.address() +
                                       " absent"))
      << Result.Out;
  EXPECT_FALSE(contains(Result.Out, "counters"));
  EXPECT_FALSE(contains(Result.Out, "same"));
}

// Guards against a flow that is asked about with swapped ends, and against
// choices that differ without notice.
TEST(CtlTest, ExplainShowsChoiceAndReason) {
  const std::string Body =
      R"({"upstream":"u-1","service_name":"s","reason":"first",)"
      R"("candidates":[{"upstream":"u-1","score":0.5,"weight":10,)"
      R"("excluded":null}]})";
  const std::string Flow = "127.0.0.1:40000->127.0.0.10:80";
  const FakeProcess First("/explain", Body);
  const FakeProcess Second("/explain", replaced(Body, "u-1", "u-2"));
  const Outcome Same =
      runWith({"explain", Flow, First.address(), First.address()});
  EXPECT_EQ(Same.Status, CtlStatus::Success) << Same.Err;
  EXPECT_TRUE(contains(Same.Out, "upstream=u-1 service=s"));
  EXPECT_TRUE(contains(Same.Out, "reason: first"));
  EXPECT_TRUE(contains(Same.Out, "  u-1 score=0.5 weight=10 excluded=-"));
  EXPECT_EQ(
      runWith({"explain", Flow, First.address(), Second.address()}).Status,
      CtlStatus::Finding);
}

// Guards against an agent whose remaining work is not shown, and against a
// balancer that is taken for a drained agent.
TEST(CtlTest, DrainShowsWhatRemains) {
  const FakeProcess Agent(
      "/drain", R"({"upstream":"u-1","draining":true,"reason":"table",)"
                R"("flows":12,"services":[{"service":"s","flows":12}]})");
  const FakeProcess Balancer("/health", "{}");
  const Outcome Result = runWith({"drain", Agent.address()});
  EXPECT_EQ(Result.Status, CtlStatus::Success);
  EXPECT_TRUE(contains(Result.Out, "upstream=u-1 draining=true reason=table "
                                   "flows=12"));
  EXPECT_TRUE(contains(Result.Out, "  service=s flows=12"));
  EXPECT_EQ(runWith({"drain", Balancer.address()}).Status,
            CtlStatus::UnusableAnswer);
}

struct TableRow {
  std::string Csv;
  CtlStatus Status;
  std::string Expected;
};

class CtlCheckTest : public testing::TestWithParam<TableRow> {};

// Guards against a table that passes here and is rejected by the fleet.
TEST_P(CtlCheckTest, SaysWhatTheFleetWouldSay) {
  const std::string Path = std::string(MULBERRY_BINARY_DIR) + "/ctl-test-" +
                           std::to_string(getpid()) + ".csv";
  std::ofstream(Path) << GetParam().Csv;
  const Outcome Result = runWith({"check", Path});
  unlink(Path.c_str());
  EXPECT_EQ(Result.Status, GetParam().Status) << Result.Err;
  EXPECT_TRUE(contains(Result.Out + Result.Err, GetParam().Expected))
      << Result.Out << Result.Err;
}

const std::string Header =
    "service,address,class,share,upstream,endpoint,zone,weight,slots,"
    "connections\n";

INSTANTIATE_TEST_SUITE_P(
    Tables, CtlCheckTest,
    testing::Values(
        TableRow{Header +
                     "specs,127.0.0.10:80,0,1,u-1,127.0.1.1:7000,kl-a,100,4,"
                     "2000\nend,1,,,,,,,,\n",
                 CtlStatus::Success, "1 services, 1 upstreams"},
        TableRow{Header +
                     "specs,127.0.0.10:80,0,1,u-1,127.0.1.1:7000,kl-a,1001,4,"
                     "2000\nend,1,,,,,,,,\n",
                 CtlStatus::Finding, "1001"},
        TableRow{Header +
                     "specs,127.0.0.10:80,0,1,u-1,127.0.1.1:7000,kl-a,100,4,"
                     "2000\n",
                 CtlStatus::Finding, "incomplete_table"},
        TableRow{std::string((1U << 20U) + 1, 'a'), CtlStatus::Finding, ""}));

// Guards against help that leaves out a command.
TEST(CtlTest, HelpNamesEveryCommand) {
  const Outcome Help = runWith({"--help"});
  EXPECT_EQ(Help.Status, CtlStatus::Success);
  for (const std::string_view Name :
       {"check", "dump", "compare", "versions", "explain", "drain"}) {
    EXPECT_TRUE(contains(Help.Out, Name)) << Name;
  }
}

} // namespace
} // namespace mulberryhoist
