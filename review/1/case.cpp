// A service loses the new flows of two routes while flows are open at it: the
// weight of a split becomes 0, and the backend of a route changes. Then a
// balancer is restarted as planned.
#include "kit.hpp"

using namespace kit;

int main(int Count, char **Words) {
  runTargetIfAsked(Count, Words);
  if (Count != 4) {
    cannotRun("usage: case RECORD BALANCER AGENT");
  }
  auto Site = std::make_unique<Deployment>(Words[1], Words[2], Words[3]);
  Record Out(Words[1]);
  Store Platform(Site->ip(250));
  const auto Publish = [&](std::uint64_t Version, int OldWeight,
                           int TimeoutMs) {
    std::vector<RouteLine> Routes = {
        {"198.18.0.1", "", 8443, {{"feed", 100 - OldWeight}, {"old", OldWeight}}},
        {"198.18.0.2", OldWeight == 0 ? "feed" : "old", 8443, {}}};
    for (int I = 0; I < 8; ++I) {
      Routes.push_back({"198.18.1." + std::to_string(1 + I), "feed", 8080, {}});
    }
    Platform.put("op/config", configuration(Version, Routes, TimeoutMs));
    Out.add("operator version %llu acknowledged: split feed %d old %d, other "
            "route to %s",
            static_cast<unsigned long long>(Version), 100 - OldWeight,
            OldWeight, OldWeight == 0 ? "feed" : "old");
  };
  Publish(5, 30, 4000);
  for (int I = 0; I < 6; ++I) {
    const std::string Service = I < 4 ? "feed" : "old";
    const auto Side = Site->addSide(Service, 4, 30);
    Platform.put(Site->keyOf(Side), Site->entryOf(Side, Service, 4, "ready"));
  }
  Site->addBalancers(2);
  Router Way({Site->ip(1), Site->ip(2)});
  awaitRotation(Way, 2);
  sleepMs(3500);

  Clients Users({Site->ip(200), ipOf("198.18.0.1"), 8443, 4000}, Way, Out);
  Clients Others({Site->ip(201), ipOf("198.18.0.2"), 8443, 4000}, Way, Out);
  for (int I = 0; I < 60; ++I) {
    Users.open(60, 400, 30 * I);
  }
  for (int I = 0; I < 20; ++I) {
    Others.open(60, 400, 90 * I);
  }
  sleepMs(5000);
  // Trouble: the operator sends no new flows to the service `old`. Without it,
  // the new version only changes a time-out.
  Publish(9, hasTrouble() ? 0 : 30, 5000);
  sleepMs(6000);
  restartBalancer(*Site, 0, Out);
  sleepMs(6000);

  // FLOW (a): a client gets a reset of an open flow that its target, which
  // lives, did not send. All targets live, and none sends a reset here.
  const std::string OtherClient = ipText(Site->ip(201)) + ":";
  int Resets = 0, OtherResets = 0;
  for (const auto &Line : linesOf(Words[1])) {
    if (Line.size() > 7 && Line[1] == "client" && Line[2] == "flow" &&
        Line[6] == "while") {
      ++(Line[3].starts_with(OtherClient) ? OtherResets : Resets);
    }
  }
  auto Outcomes = Users.outcomes();
  for (const auto &[How, Number] : Others.outcomes()) {
    Outcomes[How] += Number;
  }
  std::string Text = "open flows of living targets that were reset: " +
                     std::to_string(Resets) + " of the split, " +
                     std::to_string(OtherResets) + " of the other route; requests:";
  for (const auto &[How, Number] : Outcomes) {
    Text += " " + std::to_string(static_cast<int>(How)) + "=" +
            std::to_string(Number);
  }
  const auto Served = Outcomes.find(Ended::Served);
  if (Served == Outcomes.end() || Served->second < 200) {
    cannotRun("too few requests were served: " + Text);
  }
  finish(std::move(Site), Out, Resets + OtherResets > 0, Text);
}
