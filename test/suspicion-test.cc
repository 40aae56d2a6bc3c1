#include "mulberryhoist/suspicion.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <rapidcheck/gtest.h>

namespace mulberryhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration TickPeriod = milliseconds(50);
constexpr Instant Start = Instant(seconds(1000));

std::vector<ProbeTarget> makeTargets(std::uint32_t Count,
                                     AgentPresence Presence) {
  std::vector<ProbeTarget> Targets;
  for (std::uint32_t I = 1; I <= Count; ++I) {
    Targets.push_back({{I}, {I, 7000}, Presence});
  }
  return Targets;
}

/// Drives the failure detector with agents that reply unless they are silent.
struct Driver {
  explicit Driver(std::uint32_t Count,
                  AgentPresence Presence = AgentPresence::Live) {
    this->Logic.setAgents(makeTargets(Count, Presence), this->Now);
  }

  void advance(Duration Time) {
    for (const Instant End = this->Now + Time; this->Now < End;
         this->Now += TickPeriod) {
      this->Due.clear();
      this->Logic.onTick(this->Now, this->Due);
      this->Sent += this->Due.size();
      for (const DueProbe &Probe : this->Due) {
        if (!this->Silent) {
          this->Logic.onReply({Probe.To.Address}, Probe.Sequence, false, 1);
        }
      }
    }
  }

  FailureDetector Logic;
  Instant Now = Start;
  std::vector<DueProbe> Due;
  std::size_t Sent = 0;
  bool Silent = false;
};

struct SilenceCase {
  AgentPresence Presence;
  Duration UntilSuspected;
};

class SilenceTest : public testing::TestWithParam<SilenceCase> {};

// Guards against agents that are suspected too early, or too late after they
// stopped.
TEST_P(SilenceTest, IsSuspectedInTime) {
  Driver Run(11, GetParam().Presence);
  Run.advance(seconds(10));
  Run.Silent = true;
  Run.advance(GetParam().UntilSuspected - seconds(1));
  EXPECT_FALSE(Run.Logic.isSuspected({1}));
  Run.advance(seconds(1) + 2 * TickPeriod);
  EXPECT_TRUE(Run.Logic.isSuspected({1}));
  // A datagram takes precedence over the VM list, which lags.
  Run.Logic.onReceived({1});
  EXPECT_FALSE(Run.Logic.isSuspected({1}));
  EXPECT_TRUE(Run.Logic.isSuspected({2}));
  Run.Silent = false;
  Run.advance(seconds(2));
  EXPECT_FALSE(Run.Logic.isSuspected({2}));
}

INSTANTIATE_TEST_SUITE_P(
    Presences, SilenceTest,
    testing::Values(SilenceCase{AgentPresence::Live, seconds(3)},
                    SilenceCase{AgentPresence::Unknown, seconds(3)},
                    SilenceCase{AgentPresence::Unlisted, seconds(1)}));

// Guards against suspecting agents because this process was paused.
TEST(SuspicionTest, PauseDiscardsSuspicionsAndProbes) {
  Driver Run(11);
  Run.Silent = true;
  Run.advance(seconds(4));
  ASSERT_TRUE(Run.Logic.isSuspected({1}));
  Run.Now += seconds(30);
  Run.Logic.onPause(Run.Now);
  EXPECT_FALSE(Run.Logic.isSuspected({1}));
  Run.advance(milliseconds(2900));
  EXPECT_FALSE(Run.Logic.isSuspected({1}));
}

// Guards against a delayed reply that overwrites the state from a newer one.
TEST(SuspicionTest, OlderReplyDoesNotChangeDraining) {
  Driver Run(1);
  Run.Silent = true;
  Run.advance(seconds(3));
  Run.Logic.onReply({1}, 2, true, 5);
  Run.Logic.onReply({1}, 1, false, 0);
  Run.Logic.onReply({1}, 99, false, 0);
  EXPECT_EQ(Run.Logic.exclusion({1}), Exclusion::Draining);
}

// Guards against a table change that clears all suspicions, and against a
// suspicion that carries over to another process at a new endpoint.
TEST(SuspicionTest, SetAgentsKeepsStateOfSameEndpoints) {
  Driver Run(2);
  Run.Silent = true;
  Run.advance(seconds(4));
  auto Targets = makeTargets(3, AgentPresence::Leaving);
  Targets[1].Agent.Port = 7001;
  Run.Logic.setAgents(Targets, Run.Now);
  EXPECT_EQ(Run.Logic.exclusion({1}), Exclusion::Suspected);
  EXPECT_EQ(Run.Logic.exclusion({2}), Exclusion::Leaving);
  EXPECT_EQ(Run.Logic.exclusion({3}), Exclusion::Leaving);
}

// Guards against probes that exceed the byte budget, and against agents that
// are never probed, for any number of agents and whether they reply or not.
RC_GTEST_PROP(SuspicionProperty, ProbesAllWithinBudget, ()) {
  constexpr std::uint32_t MaxAgents = 300;
  constexpr std::uint64_t Seconds = 60;
  Driver Run(*rc::gen::inRange<std::uint32_t>(1, MaxAgents));
  Run.Silent = *rc::gen::arbitrary<bool>();
  Run.advance(seconds(Seconds));
  RC_ASSERT(Run.Sent * ProbePairBytes <= (Seconds + 1) * ProbeBytesPerSecond);
  const auto Agents = Run.Logic.agents();
  const bool AllProbed =
      std::all_of(Agents.begin(), Agents.end(), [&](const AgentHealth &Agent) {
        return Run.Silent ? Agent.Missed > 0 : Agent.Load == 1;
      });
  RC_ASSERT(AllProbed);
}

} // namespace
} // namespace mulberryhoist
