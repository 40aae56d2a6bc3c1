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

/// Drives the logic with agents that answer unless they are silent.
struct Driver {
  explicit Driver(std::uint32_t Count,
                  AgentPresence Presence = AgentPresence::Live) {
    this->Logic.setAgents(makeTargets(Count, Presence), this->Now);
  }

  void run(Duration Time) {
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

  SuspicionLogic Logic;
  Instant Now = Start;
  std::vector<DueProbe> Due;
  std::size_t Sent = 0;
  bool Silent = false;
};

struct SilenceRow {
  AgentPresence Presence;
  Duration UntilSuspected;
};

class SilenceTest : public testing::TestWithParam<SilenceRow> {};

// Guards against agents that are avoided too early, or used too long after they
// died.
TEST_P(SilenceTest, IsSuspectedInTime) {
  Driver Run(11, GetParam().Presence);
  Run.run(seconds(10));
  Run.Silent = true;
  Run.run(GetParam().UntilSuspected - seconds(1));
  EXPECT_FALSE(Run.Logic.isSuspected({1}));
  Run.run(seconds(1) + 2 * TickPeriod);
  EXPECT_TRUE(Run.Logic.isSuspected({1}));
  // A datagram counts more than the lagging list.
  Run.Logic.onHeard({1});
  EXPECT_FALSE(Run.Logic.isSuspected({1}));
  EXPECT_TRUE(Run.Logic.isSuspected({2}));
  Run.Silent = false;
  Run.run(seconds(2));
  EXPECT_FALSE(Run.Logic.isSuspected({2}));
}

INSTANTIATE_TEST_SUITE_P(
    Presences, SilenceTest,
    testing::Values(SilenceRow{AgentPresence::Live, seconds(3)},
                    SilenceRow{AgentPresence::Unknown, seconds(3)},
                    SilenceRow{AgentPresence::Gone, seconds(1)}));

// Guards against a resumed process that avoids agents because it did not run.
TEST(SuspicionTest, PauseForgetsSuspicionsAndProbes) {
  Driver Run(11);
  Run.Silent = true;
  Run.run(seconds(4));
  ASSERT_TRUE(Run.Logic.isSuspected({1}));
  Run.Now += seconds(30);
  Run.Logic.onPause(Run.Now);
  EXPECT_FALSE(Run.Logic.isSuspected({1}));
  Run.run(milliseconds(2900));
  EXPECT_FALSE(Run.Logic.isSuspected({1}));
}

// Guards against an old reply, delayed on its way, that takes back a newer one.
TEST(SuspicionTest, OlderReplyDoesNotChangeDraining) {
  Driver Run(1);
  Run.Silent = true;
  Run.run(seconds(3));
  Run.Logic.onReply({1}, 2, true, 5);
  Run.Logic.onReply({1}, 1, false, 0);
  Run.Logic.onReply({1}, 99, false, 0);
  EXPECT_EQ(Run.Logic.exclusion({1}), Exclusion::Draining);
}

// Guards against a table change that makes all agents look healthy, and against
// a suspicion that another process at a new endpoint inherits.
TEST(SuspicionTest, NewAgentsKeepWhatIsKnown) {
  Driver Run(2);
  Run.Silent = true;
  Run.run(seconds(4));
  auto Targets = makeTargets(3, AgentPresence::Leaving);
  Targets[1].Agent.Port = 7001;
  Run.Logic.setAgents(Targets, Run.Now);
  EXPECT_EQ(Run.Logic.exclusion({1}), Exclusion::Suspected);
  EXPECT_EQ(Run.Logic.exclusion({2}), Exclusion::Leaving);
  EXPECT_EQ(Run.Logic.exclusion({3}), Exclusion::Leaving);
}

// Guards against probes that exceed the control budget, and agents that are
// never probed, however many there are and whether they answer or not.
RC_GTEST_PROP(SuspicionProperty, ProbesAllWithinBudget, ()) {
  constexpr std::uint32_t MaxAgents = 300;
  constexpr std::uint64_t Seconds = 60;
  Driver Run(*rc::gen::inRange<std::uint32_t>(1, MaxAgents));
  Run.Silent = *rc::gen::arbitrary<bool>();
  Run.run(seconds(Seconds));
  RC_ASSERT(Run.Sent * ProbePairBytes <= (Seconds + 1) * ProbeBytesPerSecond);
  const auto Agents = Run.Logic.agents();
  const bool AllSeen =
      std::all_of(Agents.begin(), Agents.end(), [&](const AgentHealth &Agent) {
        return Run.Silent ? Agent.Missed > 0 : Agent.Load == 1;
      });
  RC_ASSERT(AllSeen);
}

} // namespace
} // namespace mulberryhoist
