#include "mulberryhoist/decision-log.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <sstream>

#include "steer-samples.h"

namespace mulberryhoist {
namespace {

using namespace samples;

class DecisionLogTest : public testing::Test {
protected:
  void record(Decision Kind, int Count) {
    RecordDecision Each;
    Each.Kind = Kind;
    Each.Flow = flowOf(9);
    for (int I = 0; I < Count; ++I) {
      this->Log.record(Each, 1, this->Now);
    }
  }

  /// Returns the number of lines with this text that `Write` causes.
  template <typename Call>
  static int countLines(std::string_view Text, Call Write) {
    testing::internal::CaptureStdout();
    Write();
    std::istringstream Lines(testing::internal::GetCapturedStdout());
    int Count = 0;
    for (std::string Line; std::getline(Lines, Line);) {
      Count += nlohmann::json::parse(Line)["text"] == Text ? 1 : 0;
    }
    return Count;
  }

  Instant Now = Instant(std::chrono::hours(1));
  prometheus::Registry Metrics;
  DecisionLog Log{Metrics, "test_seconds", "Time in a test"};
};

// Guards against a flooded log, and against hops between busy agents that use
// up the lines for refusals, which operators look for.
TEST_F(DecisionLogTest, HopsDoNotUseUpTheLinesOfOutcomes) {
  EXPECT_EQ(countLines("opening_refused",
                       [this] {
                         this->record(Decision::OpeningPassedOn, 1000);
                         this->record(Decision::OpeningRefused, 20);
                       }),
            20);
  EXPECT_EQ(countLines("opening_taken",
                       [this] { this->record(Decision::OpeningTaken, 1000); }),
            static_cast<int>(OutcomeLinesPerSecond) - 20);
}

// Guards against suppressed lines that are not reported.
TEST_F(DecisionLogTest, NextSecondReportsSuppressedLines) {
  const int Most = static_cast<int>(StepLinesPerSecond);
  EXPECT_EQ(
      countLines("packet_returned",
                 [&] { this->record(Decision::PacketReturned, Most + 7); }),
      Most);
  this->Now += std::chrono::seconds(1);
  EXPECT_EQ(countLines("flow decisions not logged",
                       [this] { this->record(Decision::OpeningTaken, 1); }),
            1);
}

TEST_F(DecisionLogTest, StateChangesAreAlwaysLogged) {
  const int Many = 2 * static_cast<int>(OutcomeLinesPerSecond);
  EXPECT_EQ(countLines("agent_suspected",
                       [&] { this->record(Decision::AgentSuspected, Many); }),
            Many);
}

} // namespace
} // namespace mulberryhoist
