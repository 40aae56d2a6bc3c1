#include "mulberryhoist/supervisor.h"

#include <gtest/gtest.h>

#include <atomic>
#include <stdexcept>
#include <thread>

namespace mulberryhoist {
namespace {

using std::chrono::milliseconds;

Result<void> runUntilStopped(const std::stop_token &Stop) {
  while (!Stop.stop_requested()) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  return {};
}

template <typename Condition> bool becomesTrue(Condition Holds) {
  const Instant End =
      std::chrono::steady_clock::now() + std::chrono::seconds(5);
  while (std::chrono::steady_clock::now() < End) {
    if (Holds()) {
      return true;
    }
    std::this_thread::sleep_for(milliseconds(1));
  }
  return false;
}

struct FailureRow {
  std::string Name;
  std::function<Result<void>()> Fail;
  std::string LastError;
};

class SupervisorFailureTest : public testing::TestWithParam<FailureRow> {};

// Guards against a failed duty that is not restarted, whose error is not
// recorded, or whose failure restarts other duties.
TEST_P(SupervisorFailureTest, RestartsFailedDutyOnly) {
  std::atomic<int> Starts{0};
  const Duty Failing = {"failing", [&](const std::stop_token &Stop) {
                          return ++Starts == 1 ? GetParam().Fail()
                                               : runUntilStopped(Stop);
                        }};
  const Duty Healthy = {"healthy", runUntilStopped};
  auto Tree = Supervisor::start({Failing, Healthy});
  ASSERT_TRUE(Tree.has_value());
  ASSERT_TRUE(becomesTrue([&] {
    const auto Status = Tree->status();
    return Starts == 2 && Status[0].Running && Status[1].Running;
  }));
  const auto Status = Tree->status();
  EXPECT_EQ(Status[0].Name, "failing");
  EXPECT_EQ(Status[0].Restarts, 1U);
  EXPECT_EQ(Status[0].LastError, GetParam().LastError);
  EXPECT_EQ(Status[1].Restarts, 0U);
  Tree->stop();
  EXPECT_FALSE(Tree->status()[0].Running);
}

INSTANTIATE_TEST_SUITE_P(
    Failures, SupervisorFailureTest,
    testing::Values(
        FailureRow{"error",
                   [] {
                     return Result<void>(
                         makeError(ErrorKind::SystemCall, "no socket"));
                   },
                   "system_call: no socket"},
        FailureRow{"exception",
                   []() -> Result<void> { throw std::runtime_error("fault"); },
                   "worker_failed: fault"},
        FailureRow{"early end", [] { return Result<void>(); },
                   "worker_failed: ended without being asked to stop"}),
    [](const auto &Info) { return std::to_string(Info.index); });

/// Returns how often a duty that always fails immediately can start within
/// `Elapsed`, with back-offs of 50, 100, 200 ms and so on.
int maxStarts(Duration Elapsed) {
  int Starts = 1;
  Duration BackOff = milliseconds(50);
  for (Duration At = BackOff; At <= Elapsed; At += BackOff) {
    ++Starts;
    BackOff *= 2;
  }
  return Starts;
}

// Guards against a stop that waits until the back-off of a failing duty ends,
// and against restarts without a back-off.
TEST(SupervisorTest, StopsDuringBackOff) {
  std::atomic<int> Starts{0};
  const Instant Begin = std::chrono::steady_clock::now();
  auto Tree = Supervisor::start(
      {{"failing", [&](const std::stop_token &) {
          ++Starts;
          return Result<void>(makeError(ErrorKind::WorkerFailed, "always"));
        }}});
  ASSERT_TRUE(Tree.has_value());
  // The fifth start, at 750 ms, is followed by a back-off of 800 ms.
  ASSERT_TRUE(becomesTrue([&] { return Starts == 5; }));
  const Instant StopBegin = std::chrono::steady_clock::now();
  Tree->stop();
  const Instant End = std::chrono::steady_clock::now();
  EXPECT_LT(End - StopBegin, milliseconds(400));
  EXPECT_LE(Starts, maxStarts(End - Begin));
}

} // namespace
} // namespace mulberryhoist
