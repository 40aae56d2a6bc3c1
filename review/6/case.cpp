// Case 6: all machines lose power; one balancer comes back a little later than
// the others, after a change of the configuration.
#include "../kit-2.hpp"

using namespace kit;

int main(int Count, char **Words) {
  Record Log(std::string(Count > 1 ? Words[1] : ".") + "/record.txt");
  const bool Trouble = hasTrouble();
  const Scratch Folder;
  const std::uint32_t Network = freeNetwork();
  const std::uint32_t StoreIp = Network + 250;
  const std::string Host = "198.18.0.1";
  const std::uint32_t RouteIp = ipOf(Host);
  const auto Publish = [&](Store &To, int Version, const std::string &Backend) {
    To.put("op/config",
           config(Version, {route("tally", Host, 443, Backend, 2500, 300)},
                  {backend("yard"), backend("yard-two")}));
  };

  Store Platform;
  Platform.serveAt(StoreIp);
  Publish(Platform, 3, "yard");
  std::list<Machine> Machines;
  std::vector<Machine *> Balancers, Agents;
  for (std::uint32_t I = 1; I <= 2; ++I) {
    Machines.emplace_back("edge-" + std::to_string(I), Network + I, true, "z1",
                          Folder.path());
    Balancers.push_back(&Machines.back());
  }
  for (std::uint32_t I = 1; I <= 6; ++I) {
    Machine &Each = Machines.emplace_back("side-" + std::to_string(I),
                                          Network + 100 + I, false, "z1",
                                          Folder.path());
    Each.Backend = I <= 3 ? "yard" : "yard-two";
    Agents.push_back(&Each);
  }
  for (Machine &Each : Machines) {
    Each.StoreIp = StoreIp;
    Each.Seeds = {Network + 1, Network + 2};
  }
  std::list<Target> Targets;
  const auto StartTargets = [&](const std::string &Generation) {
    for (Machine *Each : Agents) {
      Target::Options Own;
      Own.Name = Generation + Each->Node;
      Own.Service = Each->Backend;
      Own.Ip = Each->Ip;
      Target &Started = Targets.emplace_back(Own, Log);
      Platform.put(Started.key(), Started.entry("ready"));
    }
  };
  StartTargets("a-");
  for (Machine &Each : Machines) {
    Each.start();
  }
  Routers Way(Balancers);
  Clients::Options ClientOptions;
  ClientOptions.Ip = Network + 200;
  // Long flows, for about 16 s.
  ClientOptions.PerFlow = 48;
  ClientOptions.PauseMs = 300;
  ClientOptions.DeadlineMs = 2500;
  Clients Callers(ClientOptions, Way, Log);
  awaitReady(Way);
  sleepMs(5000);

  std::vector<std::string> OldKeys;
  if (Trouble) {
    // Nothing on a machine persists.
    for (Target &Each : Targets) {
      OldKeys.push_back(Each.key());
      Each.crash();
    }
    for (Machine &Each : Machines) {
      Each.killNow();
    }
    Log.add("all machines lose power");
    sleepMs(1000);
    StartTargets("b-");
    for (Machine &Each : Machines) {
      if (&Each != Balancers[1]) {
        Each.start();
      }
    }
    Log.add("power is back; edge-2 takes 1.4 s longer");
  }
  const double BackAt = sinceBegin();
  sleepMs(600);
  for (int I = 0; I < 60; ++I) {
    Callers.begin(RouteIp, 443);
    sleepMs(5);
  }
  sleepUntilMs(BackAt + 1150);
  Publish(Platform, 7, "yard-two");
  Log.add("version 7 sends new flows of the route to yard-two");
  sleepUntilMs(BackAt + 1400);
  if (Trouble) {
    Balancers[1]->start();
  }
  const double LastStartAt = sinceBegin();
  // The entries of the targets that were lost go after three heartbeats.
  sleepUntilMs(BackAt + 3 * HeartbeatMs - 1000);
  for (const std::string &Each : OldKeys) {
    Platform.remove(Each);
  }
  // Every machine is in touch again before the planned work.
  sleepUntilMs(LastStartAt + StableMs + 3000);
  Log.add("planned stop of edge-1");
  const double PlannedAt = sinceBegin();
  Balancers[0]->stop();
  sleepMs(300);
  Balancers[0]->start();
  Log.add("edge-1 has started again");
  sleepMs(4000);

  std::map<FlowId, Target *> Owners;
  for (Target &Each : Targets) {
    for (const auto &[Id, Times] : Each.flowTimes()) {
      if (!Trouble || Each.options().Name.starts_with("b-")) {
        Owners[Id] = &Each;
      }
    }
  }
  int Open = 0, Broken = 0, Earlier = 0, Served = 0, Runs = 0;
  const auto All = Callers.attempts();
  for (const Attempt &Each : All) {
    const bool WasOpen = Each.OpenedAt != 0 &&
                         (Each.Result == Outcome::Pending ||
                          Each.EndedAt >= PlannedAt);
    Open += WasOpen;
    Served += Each.Result == Outcome::Served;
    for (const Attempt::Reset &One : Each.Resets) {
      if (!One.IsOpen || !One.IsInWindow || !Owners.contains(Each.Flow)) {
        continue;
      }
      if (One.At < PlannedAt) {
        ++Earlier;
        continue;
      }
      ++Broken;
      Log.add("FLOW: reset from " + ipText(One.From) + " on open flow " +
              Each.Flow.text() + " of the living target " +
              Owners[Each.Flow]->options().Name);
    }
  }
  for (Target &Each : Targets) {
    Runs += static_cast<int>(Each.runs().size());
  }
  std::ostringstream Text;
  Text << "flows begun " << All.size() << ", open at the planned stop " << Open
       << ", requests run " << Runs
       << "; resets on open flows of living targets: " << Broken
       << " from the planned stop on, " << Earlier << " before it";
  Log.add(Text.str());
  std::printf("%s\n", Text.str().c_str());
  if (Open == 0 && Broken == 0) {
    return ExitCouldNotRun;
  }
  return Broken > 0 ? ExitBroken : ExitHeld;
}
