// DRAIN after the store has come back from an older copy.
#include "../rig-3.hpp"

using namespace rig;

static bool play(Record &Out, bool HasTrouble) {
  Bounds Limits;
  Deployment All(Limits, Out, 2);
  const std::vector<std::string> Services = {"orders"};
  const std::vector<std::pair<int, std::string>> Routes = {{1, "orders"}};
  Out.line("configuration 10: revision %llu",
           (unsigned long long)All.writeConfig(10, Routes, Services));
  for (int I = 1; I <= 3; ++I) {
    All.addTarget("t" + std::to_string(I), "orders", "z1", I, 4, 150).report();
    All.startSide(I, "z1", "orders");
  }
  All.startEdge(1, "z1");
  All.startEdge(2, "z1");
  All.awaitReady();
  All.runFor(500);

  double Next = nowMs();
  const double Start = Next;
  All.Traffic = [&] {
    for (; nowMs() >= Next; Next += 25) {
      All.Callers->request(All.Where.route(1), "/order");
    }
  };
  Out.line("traffic starts: 40 requests a second");

  All.runUntil(Start + 2000);
  const Store::Copy Copy = All.Registry->copy();
  Out.line("the store's copy is of now: revision %llu",
           (unsigned long long)All.Registry->revision());
  // Planned work: time-outs change.
  for (int I = 1; I <= 4; ++I) {
    All.runFor(1000);
    const auto Revision =
        All.writeConfig(10 + 3 * I, Routes, Services, 1200 + 100 * I);
    Out.line("configuration %d acknowledged: revision %llu", 10 + 3 * I,
             (unsigned long long)Revision);
  }
  All.runFor(500);
  if (HasTrouble) {
    Out.line("drill: the store goes away at revision %llu",
             (unsigned long long)All.Registry->revision());
    All.Registry->goAway();
    All.runFor(1000);
    All.Registry->comeBackFrom(Copy);
    Out.line("the store is back from a copy 5.5 s old: era %llu, revision %llu",
             (unsigned long long)All.Registry->era(),
             (unsigned long long)All.Registry->revision());
    // What the operator and the targets wrote is written again.
    Out.line("configuration 22 written again: revision %llu",
             (unsigned long long)All.rewriteConfig());
    for (const auto &Each : All.Targets) {
      Each->report();
    }
  } else {
    All.runFor(1000);
  }
  // Everything is calm for stable_ms and two seconds more.
  All.runFor(Limits.StableMs + 2000);

  Target &Leaving = *All.Targets[0];
  Leaving.State = "draining";
  const auto Revision = Leaving.report();
  const double Acknowledged = nowMs();
  Out.line("t1 reports draining, acknowledged: revision %llu",
           (unsigned long long)Revision);
  // It serves on for drain_ms and five seconds, and exits.
  All.runFor(Limits.DrainMs + 5000);
  Leaving.stop();
  All.Registry->remove(Leaving.key());
  const double Exit = nowMs();
  Out.line("t1 exits; its entry is removed: revision %llu",
           (unsigned long long)All.Registry->revision());
  All.runFor(3000);
  All.Traffic = {};
  All.runFor(1500);
  recordAttempts(*All.Callers, Out);

  int Before = 0, Late = 0, Lost = 0, Served = 0, Sent = 0;
  for (const auto &Each : All.Callers->attempts()) {
    ++Sent;
    Served += Each->Outcome == "answered" ? 1 : 0;
    if (!Each->IsTaken || Each->Taken.Target != "t1") {
      continue;
    }
    Before += Each->Taken.At < Acknowledged ? 1 : 0;
    if (Each->Taken.At > Acknowledged + Limits.DrainMs) {
      ++Late;
      Lost += !Each->Runs.empty() && Each->Outcome == "no answer" ? 1 : 0;
    }
  }
  Out.line("%d requests sent, %d answered; t1 took %d openings before it "
           "drained, and %d later than drain_ms after the acknowledgement; "
           "%d of these ran and were never answered, as t1 had exited at %.3f",
           Sent, Served, Before, Late, Lost, Exit / 1000);
  for (auto &Each : All.Edges) {
    if (!Each->lives()) {
      cannotRun("an edge process has ended");
    }
  }
  if (Before == 0 || Served < Sent / 2) {
    cannotRun("t1 wasn't in use, or the deployment didn't serve");
  }
  return Late > 0;
}

int main(int, char **Arguments) { return runCase(Arguments[1], play); }
