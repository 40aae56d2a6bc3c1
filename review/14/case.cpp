// EVAC after the store has come back from an older copy.
#include "../rig-3.hpp"

using namespace rig;

static bool play(Record &Out, bool HasTrouble) {
  Bounds Limits;
  Limits.StableMs = 5000, Limits.DrainMs = 5000, Limits.ApplyMs = 5000;
  Limits.SkewMs = 15000, Limits.EvacuateMs = 5000;
  Deployment All(Limits, Out, 2);
  const std::vector<std::string> Services = {"orders"};
  Out.line("configuration 10: revision %llu",
           (unsigned long long)All.writeConfig(10, {{1, "orders"}}, Services));
  for (int I = 1; I <= 4; ++I) {
    const std::string Zone = I <= 2 ? "z1" : "z2";
    All.addTarget("t" + std::to_string(I), "orders", Zone, I, 4, 50).report();
    All.startSide(I, Zone, "orders");
  }
  All.startEdge(1, "z1");
  All.startEdge(2, "z2");
  All.awaitReady();
  All.runFor(500);

  double Next = nowMs();
  const double Start = Next;
  int Routes = 1, Count = 0;
  All.Traffic = [&] {
    for (; nowMs() >= Next; Next += 25) {
      All.Callers->request(All.Where.route(1 + ++Count % Routes), "/order");
    }
  };
  Out.line("traffic starts: 40 requests a second");

  All.runUntil(Start + 2000);
  const Store::Copy Copy = All.Registry->copy();
  Out.line("the store's copy is of now: revision %llu",
           (unsigned long long)All.Registry->revision());
  // Planned work: zone z1 is emptied for three seconds and taken back.
  const std::string Key = "op/evacuate/z1";
  All.runFor(500);
  Out.line("z1 evacuated, acknowledged: revision %llu",
           (unsigned long long)All.Registry->put(Key, "{}"));
  All.runFor(3000);
  Out.line("z1 taken back, acknowledged: revision %llu",
           (unsigned long long)All.Registry->remove(Key));
  All.runFor(1500);
  if (HasTrouble) {
    Out.line("drill: the store goes away at revision %llu",
             (unsigned long long)All.Registry->revision());
    All.Registry->goAway();
    All.runFor(1000);
    All.Registry->comeBackFrom(Copy);
    Out.line("the store is back from a copy 6 s old: era %llu, revision %llu",
             (unsigned long long)All.Registry->era(),
             (unsigned long long)All.Registry->revision());
    // What the operator and the targets wrote is written again: it stands so in
    // the copy.
    All.rewriteConfig();
    for (const auto &Each : All.Targets) {
      Each->report();
    }
  } else {
    All.runFor(1000);
  }
  // Everything is calm for stable_ms and two seconds more.
  All.runFor(Limits.StableMs + 2000);

  Out.line("z1 evacuated again, acknowledged: revision %llu",
           (unsigned long long)All.Registry->put(Key, "{}"));
  const double Acknowledged = nowMs();
  // A route is added, and a time-out changes.
  All.runFor(500);
  Out.line("configuration 13 adds route 2, acknowledged: revision %llu",
           (unsigned long long)All.writeConfig(
               13, {{1, "orders"}, {2, "orders"}}, Services));
  All.runFor(500);
  Out.line("configuration 15, acknowledged: revision %llu",
           (unsigned long long)All.writeConfig(
               15, {{1, "orders"}, {2, "orders"}}, Services, 1300));
  All.runFor(Limits.ApplyMs);
  Routes = 2;
  All.runUntil(Acknowledged + Limits.EvacuateMs + 10000);
  All.Traffic = {};
  All.runFor(1500);
  recordAttempts(*All.Callers, Out);

  int Before = 0, Late = 0, LateOnNewRoute = 0, Served = 0,
      ServedOnNewRoute = 0, Sent = 0;
  for (const auto &Each : All.Callers->attempts()) {
    const bool IsNewRoute = Each->Key.second == All.Where.route(2);
    ++Sent;
    Served += Each->Outcome == "answered" ? 1 : 0;
    ServedOnNewRoute += IsNewRoute && Each->Outcome == "answered" ? 1 : 0;
    if (!Each->IsTaken ||
        (Each->Taken.Target != "t1" && Each->Taken.Target != "t2")) {
      continue;
    }
    Before += Each->Taken.At < Acknowledged ? 1 : 0;
    if (Each->Taken.At > Acknowledged + Limits.EvacuateMs) {
      ++Late;
      LateOnNewRoute += IsNewRoute ? 1 : 0;
    }
  }
  Out.line("%d requests sent, %d answered, %d of them on the route added after "
           "the second evacuation; targets of z1 took %d openings "
           "before it, and %d later than evacuate_ms after its "
           "acknowledgement, %d of them on the added route",
           Sent, Served, ServedOnNewRoute, Before, Late, LateOnNewRoute);
  for (auto &Each : All.Edges) {
    if (!Each->lives()) {
      cannotRun("an edge process has ended");
    }
  }
  if (Before == 0 || Served < Sent / 2) {
    cannotRun("z1 wasn't in use, or the deployment didn't serve");
  }
  return Late > 0;
}

int main(int, char **Arguments) { return runCase(Arguments[1], play); }
