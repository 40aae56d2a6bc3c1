#include "mulberryhoist/signals.h"

#include <gtest/gtest.h>

#include <csignal>
#include <thread>
#include <unistd.h>

namespace mulberryhoist {
namespace {

struct SignalRow {
  int Signal;
  SignalRequest Expected;
};

class SignalsTest : public testing::TestWithParam<SignalRow> {};

// Guards against a stop, dump or reload request that terminates the process
// because a worker thread receives the signal.
TEST_P(SignalsTest, ReachesMainThreadWhileWorkersRun) {
  ASSERT_TRUE(blockSignals().has_value());
  const std::jthread Worker([](const std::stop_token &Stop) {
    while (!Stop.stop_requested()) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  });
  ASSERT_EQ(kill(getpid(), GetParam().Signal), 0);
  EXPECT_EQ(waitForSignal(std::chrono::seconds(5)), GetParam().Expected);
  EXPECT_EQ(waitForSignal(std::chrono::milliseconds(1)), std::nullopt);
}

INSTANTIATE_TEST_SUITE_P(
    Signals, SignalsTest,
    testing::Values(SignalRow{SIGTERM, SignalRequest::Stop},
                    SignalRow{SIGINT, SignalRequest::Stop},
                    SignalRow{SIGUSR1, SignalRequest::Dump},
                    SignalRow{SIGHUP, SignalRequest::Reload}));

} // namespace
} // namespace mulberryhoist
