// Case 8: a target crashes, and its address goes to another service.
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
  constexpr std::uint16_t OrdersPort = 443, TemplatesPort = 8080;

  Store Platform;
  Platform.serveAt(StoreIp);
  Platform.put("op/config", config(3,
                                   {route("orders", Host, OrdersPort, "orders"),
                                    route("templates", Host, TemplatesPort,
                                          "templates", 3000, 500)},
                                   {backend("orders"), backend("templates")}));

  std::list<Machine> Machines;
  std::vector<Machine *> Balancers, Agents;
  std::list<Target> Targets;
  std::vector<Target *> AtAgent;
  const auto AddTarget = [&](const std::string &Name, const std::string &Service,
                             std::uint32_t Ip) -> Target & {
    Target::Options Own;
    Own.Name = Name;
    Own.Service = Service;
    Own.Ip = Ip;
    Own.WorkMs = Service == "orders" ? 30 : 5;
    return Targets.emplace_back(Own, Log);
  };
  for (std::uint32_t I = 1; I <= 3; ++I) {
    Machines.emplace_back("edge-" + std::to_string(I), Network + I, true, "z1",
                          Folder.path());
    Balancers.push_back(&Machines.back());
  }
  // The sheet's small deployment: 7 and 4 targets.
  for (std::uint32_t I = 1; I <= 11; ++I) {
    Machine &Each = Machines.emplace_back(
        "side-" + std::to_string(I), Network + 100 + I, false, "z1",
        Folder.path());
    Each.Backend = I <= 7 ? "orders" : "templates";
    Agents.push_back(&Each);
    AtAgent.push_back(
        &AddTarget("t" + std::to_string(I), Each.Backend, Each.Ip));
  }
  for (Machine &Each : Machines) {
    Each.StoreIp = StoreIp;
    Each.Seeds = {Network + 1, Network + 2, Network + 3};
  }
  for (Target &Each : Targets) {
    Platform.put(Each.key(), Each.entry("ready"));
  }
  for (Machine &Each : Machines) {
    Each.start();
  }
  Routers Way(Balancers);
  Clients::Options ClientOptions;
  ClientOptions.Ip = Network + 200;
  ClientOptions.DeadlineMs = 1000;
  Clients Callers(ClientOptions, Way, Log);
  awaitReady(Way);
  sleepMs(1000);

  std::atomic<bool> IsCalling{true};
  std::thread Traffic([&] {
    // 370 requests a second for the orders and 25 for the templates, as on the
    // sheet.
    double Next = sinceBegin();
    for (int I = 0; IsCalling; ++I) {
      Callers.begin(RouteIp, I % 16 == 15 ? TemplatesPort : OrdersPort);
      Next += 2.53;
      sleepUntilMs(Next);
    }
  });
  sleepMs(2000);
  // One target of eleven at a time (share 0.09).
  for (int Victim = 0; Victim < 4; ++Victim) {
    sleepMs(3000 + 61 * Victim);
    if (!Trouble) {
      sleepMs(ReuseMs + 4000);
      continue;
    }
    Target &Old = *AtAgent[Victim];
    Machine &Beside = *Agents[Victim];
    Old.crash();
    const double CrashedAt = sinceBegin();
    Log.add("crash of " + Old.options().Name);
    sleepUntilMs(CrashedAt + ReuseMs + 100);
    Beside.Backend = "templates";
    Beside.writeSettings();
    Target &Next =
        AddTarget("u" + std::to_string(Victim + 1), "templates", Beside.Ip);
    Log.add("the address of " + Old.options().Name + " goes to " +
            Next.options().Name + " of the templates");
    // It registers once it serves; heartbeats are 1,200 ms apart.
    sleepMs(250);
    Platform.put(Next.key(), Next.entry("ready"));
    // The old entry goes after three heartbeats of silence.
    sleepUntilMs(CrashedAt + 3 * HeartbeatMs);
    Platform.remove(Old.key());
    sleepMs(2000);
  }
  IsCalling = false;
  Traffic.join();
  sleepMs(2000);

  int WrongRuns = 0;
  for (Target &Each : Targets) {
    const std::uint16_t OwnPort =
        Each.options().Service == "orders" ? OrdersPort : TemplatesPort;
    for (const Run &One : Each.runs()) {
      WrongRuns += One.Flow.RoutePort != OwnPort;
    }
  }
  const auto All = Callers.attempts();
  int Served = 0, WrongAnswers = 0;
  for (const Attempt &Each : All) {
    Served += Each.Result == Outcome::Served;
    const std::string Own =
        Each.Flow.RoutePort == OrdersPort ? "orders/" : "templates/";
    if (Each.Result == Outcome::Served && !Each.AnsweredBy.starts_with(Own)) {
      ++WrongAnswers;
      Log.add("ROUTE: " + Each.Request + " of " + Own + " answered by " +
              Each.AnsweredBy);
    }
  }
  std::ostringstream Text;
  Text << "requests " << All.size() << ", served " << Served
       << "; run by a service to which no configuration sends them "
       << WrongRuns << ", of these answered as served " << WrongAnswers;
  Log.add(Text.str());
  std::printf("%s\n", Text.str().c_str());
  if (Served * 2 < static_cast<int>(All.size())) {
    return ExitCouldNotRun;
  }
  return WrongRuns > 0 ? ExitBroken : ExitHeld;
}
