#include "mulberryhoist/agent-process.h"

#include <gtest/gtest.h>

#include <csignal>
#include <thread>
#include <unistd.h>

#include "mulberryhoist/http-client.h"
#include "mulberryhoist/signals.h"

namespace mulberryhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::vector<const char *> flags(const char *Services, const char *Level) {
  return {"mulberry-agent",
          "--name=u1",
          Services,
          "--zone=z-a",
          "--listen=127.0.0.1:0",
          "--control=127.0.0.1:0",
          "--admin=127.0.0.1:0",
          "--upstream=127.0.0.1:9",
          "--egress=127.0.0.1:9",
          "--drain-deadline-s=5",
          Level};
}

Result<AgentProcessSettings> readFlags(const std::vector<const char *> &Flags) {
  const auto Parsed = Settings::create(agentSettingSpecs(), Flags);
  if (!Parsed) {
    return tl::unexpected<Error>(Parsed.error());
  }
  return readAgentSettings(*Parsed);
}

struct SettingsRow {
  const char *Services;
  const char *Level;
  bool Valid;
};

class AgentSettingsTest : public testing::TestWithParam<SettingsRow> {};

// Guards against accepting settings with which the agent could not serve.
TEST_P(AgentSettingsTest, ValidatesServiceNamesAndLogLevel) {
  const auto Read = readFlags(flags(GetParam().Services, GetParam().Level));
  EXPECT_EQ(Read.has_value(), GetParam().Valid);
}

INSTANTIATE_TEST_SUITE_P(
    Rows, AgentSettingsTest,
    testing::Values(SettingsRow{"--services=orders", "--log-level=info", true},
                    SettingsRow{"--services=a,b-2", "--log-level=debug", true},
                    SettingsRow{"--services=", "--log-level=info", false},
                    SettingsRow{"--services=a,", "--log-level=info", false},
                    SettingsRow{"--services=Orders", "--log-level=info", false},
                    SettingsRow{"--services=a", "--log-level=all", false}));

struct PortRow {
  const char *Listen;
  std::uint16_t Expected;
};

class UpstreamPortTest : public testing::TestWithParam<PortRow> {};

// Guards against a default port that changes with a restart: an upstream that
// streams a response would no longer reach the agent.
TEST_P(UpstreamPortTest, DefaultDependsOnListenPort) {
  auto Flags = flags("--services=orders", "--log-level=info");
  Flags.push_back(GetParam().Listen);
  const auto Read = readFlags(Flags);
  ASSERT_TRUE(Read) << Read.error().Detail;
  EXPECT_EQ(Read->Data.UpstreamListen.Port, GetParam().Expected);
}

INSTANTIATE_TEST_SUITE_P(
    Ports, UpstreamPortTest,
    testing::Values(PortRow{"--listen=127.0.0.1:17000", 27000},
                    PortRow{"--listen=127.0.0.1:55535", 65535},
                    PortRow{"--listen=127.0.0.1:55536", 45536},
                    PortRow{"--upstream-listen=127.0.0.1:9", 9}));

struct PathRow {
  const char *Target;
  unsigned Status;
  const char *Expected;
};

// Guards against administration paths that fail before there is a table, and
// against a SIGTERM that does not lead to a clean exit.
TEST(AgentProcessTest, ServesAdminPathsAndExitsOnSigterm) {
  ASSERT_TRUE(blockSignals());
  const auto Read = readFlags(flags("--services=orders", "--log-level=error"));
  ASSERT_TRUE(Read);
  auto Process = AgentProcess::create(*Read);
  ASSERT_TRUE(Process) << Process.error().Detail;
  const std::vector<Endpoint> Address = {(*Process)->adminAddress()};
  std::jthread Runner([&Process] {
    const auto Report = (*Process)->run();
    ASSERT_TRUE(Report);
    EXPECT_EQ(Report->Cut, 0U);
  });
  std::this_thread::sleep_for(milliseconds(700));
  const PathRow Rows[] = {
      {"/health", 503, "no table in force"},
      {"/version", 200, "\"name\":\"u1\""},
      {"/version", 200, "\"age_ms\":null"},
      {"/table", 503, "no_table"},
      {"/explain?caller=1.2.3.4:5&service=1.2.3.4:6", 503, "no_table"},
      {"/explain?caller=x", 400, "parameter caller"},
      {"/drain", 200, "\"draining\":true"},
      {"/dump", 200, "\"refusal_records\":0"},
      {"/metrics", 200, "mulberry_agent_flows{state=\"established\"} 0"},
  };
  for (const PathRow &Row : Rows) {
    const auto Responses = httpGetAll(Address, Row.Target, seconds(5));
    ASSERT_TRUE(Responses[0]) << Row.Target;
    EXPECT_EQ(Responses[0]->Status, Row.Status) << Row.Target;
    EXPECT_NE(Responses[0]->Body.find(Row.Expected), std::string::npos)
        << Responses[0]->Body;
  }
  kill(getpid(), SIGTERM);
}

} // namespace
} // namespace mulberryhoist
