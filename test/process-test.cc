#include <gtest/gtest.h>

#include <csignal>

#include "path/process.h"
#include "standin/host.h"

namespace mulberryhoist::path {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::filesystem::path Programs = MULBERRY_BINARY_DIR;

/// Runs the platform stand-in as a child process.
class ProcessTest : public testing::Test {
protected:
  void SetUp() override {
    this->Server = {0x7F000001, freePort()};
    auto Started =
        Process::start(Programs / "standin-platform",
                       {"--listen", formatEndpoint(this->Server)}, this->log());
    ASSERT_TRUE(Started) << Started.error().Detail;
    this->Child = std::move(*Started);
    ASSERT_TRUE(standin::pollUntil([this] { return this->responds(); }));
  }

  bool responds() {
    return standin::httpCall(this->Server, "GET", "/test/calls", {},
                             milliseconds(300))
        .has_value();
  }

  std::filesystem::path log() const { return this->Logs.path() / "log"; }

  ScratchDirectory Logs;
  Endpoint Server;
  std::unique_ptr<Process> Child;
};

// Guards against a graceful termination that is reported as a failure.
TEST_F(ProcessTest, TerminateEndsWithStatusZero) {
  this->Child->terminate();
  EXPECT_EQ(this->Child->wait(seconds(10)), 0);
  EXPECT_FALSE(this->Child->isRunning());
}

// Guards against a freeze that leaves the process running, and against a
// process that does not continue after a resume.
TEST_F(ProcessTest, FrozenProcessRespondsAfterResume) {
  this->Child->freeze();
  EXPECT_TRUE(standin::pollUntil([this] { return !this->responds(); }));
  EXPECT_TRUE(this->Child->isRunning());
  this->Child->resume();
  EXPECT_TRUE(standin::pollUntil([this] { return this->responds(); }));
}

// Guards against child processes that outlive a test: a frozen process does
// not handle SIGTERM.
TEST_F(ProcessTest, EndOfScopeKillsEvenAFrozenProcess) {
  const pid_t Pid = this->Child->pid();
  this->Child->freeze();
  this->Child.reset();
  EXPECT_NE(::kill(Pid, 0), 0);
}

// Guards against a missing program that is reported as started.
TEST_F(ProcessTest, MissingProgramIsAnError) {
  EXPECT_FALSE(Process::start(Programs / "no-such-program", {}, this->log()));
}

// Guards against two processes that are assigned the same port.
TEST(FreePortTest, NeverRepeats) {
  const std::uint16_t First = freePort();
  EXPECT_NE(First, 0);
  EXPECT_NE(First, freePort());
}

} // namespace
} // namespace mulberryhoist::path
