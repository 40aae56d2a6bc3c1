/// \file
/// Times the decision logic: packets, openings, owner lookup and table changes.

#include <benchmark/benchmark.h>

#include "fixtures.h"
#include "mulberryhoist/exchange.h"
#include "mulberryhoist/replication.h"
#include "mulberryhoist/routing.h"

namespace mulberryhoist::bench {
namespace {

constexpr std::size_t TargetRows = 6600;
constexpr std::size_t TodayRows = 7;

/// A step that visits flows in an order that caches do not predict.
constexpr std::size_t FlowStep = 7919;

void decideBalancerPacket(benchmark::State &State) {
  const auto Flows = static_cast<std::size_t>(State.range(0));
  const auto InForce = makeTable(TargetRows, TodayRows);
  BalancerLogic Logic;
  ActionList Out;
  Logic.onTable(InForce, Instant(), Out);
  const auto Packets = makePackets(Flows, InForce->services());
  std::size_t Next = 0;
  for (auto _ : State) {
    Out.clear();
    Next = (Next + FlowStep) % Flows;
    Logic.onPacket(Packets[Next], Instant(), Out);
    benchmark::DoNotOptimize(Out.data());
  }
}
BENCHMARK(decideBalancerPacket)->Arg(100'000)->Arg(500'000);

void decideAgentPacket(benchmark::State &State) {
  const auto Flows = static_cast<std::size_t>(State.range(0));
  AgentFixture Agent(Flows);
  Agent.openFlows(Flows);
  const auto Packets = Agent.establishedPackets(Flows);
  std::size_t Next = 0;
  for (auto _ : State) {
    Next = (Next + FlowStep) % Flows;
    Agent.fromCaller(Packets[Next]);
  }
}
BENCHMARK(decideAgentPacket)->Arg(100'000)->Arg(500'000);

void chooseCoordinatorOfFlow(benchmark::State &State) {
  const auto InForce =
      makeTable(TargetRows, static_cast<std::size_t>(State.range(0)));
  const auto Rows = InForce->assignments(InForce->services().front().Id);
  std::uint32_t Next = 0;
  for (auto _ : State) {
    const FlowKey Key{{++Next, 80}, {1, 80}};
    benchmark::DoNotOptimize(
        chooseCoordinator(Rows, Key, [](UpstreamId) { return false; }));
  }
}
BENCHMARK(chooseCoordinatorOfFlow)->Arg(4)->Arg(7)->Arg(100);

void orderCandidatesOfFlow(benchmark::State &State) {
  const auto InForce =
      makeTable(TargetRows, static_cast<std::size_t>(State.range(0)));
  const auto Rows = InForce->assignments(InForce->services().front().Id);
  std::array<UpstreamId, 16> Out;
  std::uint32_t Next = 0;
  for (auto _ : State) {
    const FlowKey Key{{++Next, 80}, {1, 80}};
    benchmark::DoNotOptimize(orderCandidates(Rows, Key, Out));
  }
}
BENCHMARK(orderCandidatesOfFlow)->Arg(4)->Arg(7)->Arg(100);

/// Everything that a balancer does when one weight changes.
void changeOneWeight(benchmark::State &State) {
  TwoReplicas Pair(static_cast<std::size_t>(State.range(0)));
  BalancerLogic Logic;
  ActionList Out;
  for (auto _ : State) {
    Pair.changeOneWeight();
    Logic.onTable(Pair.receiverTable(), Instant(), Out);
  }
}
BENCHMARK(changeOneWeight)
    ->Arg(100)
    ->Arg(1000)
    ->Arg(TargetRows)
    ->Unit(benchmark::kMicrosecond);

void encodeRowChange(benchmark::State &State) {
  TwoReplicas Pair(TargetRows);
  const ChangesMessage Change = Pair.makeChange();
  for (auto _ : State) {
    benchmark::DoNotOptimize(encodeExchange(Change));
  }
}
BENCHMARK(encodeRowChange);

void digestWholeTable(benchmark::State &State) {
  const auto Rows = makeRows(static_cast<std::size_t>(State.range(0)), 4, 100);
  for (auto _ : State) {
    benchmark::DoNotOptimize(digestRows({0, 1}, Rows));
  }
}
BENCHMARK(digestWholeTable)
    ->Arg(100)
    ->Arg(1000)
    ->Arg(TargetRows)
    ->Unit(benchmark::kMicrosecond);

void reloadWholeTable(benchmark::State &State) {
  const std::string Csv =
      makeCsv(static_cast<std::size_t>(State.range(0)), 4, 100);
  for (auto _ : State) {
    benchmark::DoNotOptimize(Table::fromCsv(Csv, 1));
  }
}
BENCHMARK(reloadWholeTable)
    ->Arg(100)
    ->Arg(1000)
    ->Arg(TargetRows)
    ->Unit(benchmark::kMicrosecond);

/// An opening at its coordinator with the load replies, its request, answer and
/// end.
void openFlow(benchmark::State &State) {
  AgentFixture Agent(1'000'000);
  Agent.occupySlot();
  const std::size_t Flows = 400'000;
  const auto Packets = Agent.openingPackets(Flows);
  std::size_t Next = 0;
  for (auto _ : State) {
    if (Next == Flows) {
      State.SkipWithError("more iterations than openings");
      return;
    }
    Agent.openAndServe(Packets[Next++]);
  }
}
BENCHMARK(openFlow)->Iterations(100'000);

/// A packet of a flow that another agent owns: six questions, the answer that
/// names the owner, and the relayed packet.
void locateOwner(benchmark::State &State) {
  AgentFixture Agent(1'000'000);
  const std::size_t Flows = 100'000;
  const auto Packets = Agent.establishedPackets(Flows);
  std::size_t Next = 0;
  for (auto _ : State) {
    Agent.locate(Packets[Next++]);
  }
}
BENCHMARK(locateOwner)->Iterations(60'000);

} // namespace
} // namespace mulberryhoist::bench

BENCHMARK_MAIN();
