/// \file
/// Compares the policies of section 2 of the design with their baselines.
///
/// Prints one JSON line for each run and a short table; exits with 1 if a bound
/// of section 1.2 of the design is missed.

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "policy.h"

namespace mulberryhoist::bench {
namespace {

/// Bounds of the measures in section 1.2 of the design.
constexpr double EqualImbalanceBound = 1.3;
constexpr double SlowImbalanceBound = 1.5;
constexpr double KeptGoodputBound = 0.95;
constexpr double SlowSpeed = 0.4;
/// Load of a flood as a multiple of the capacity of all upstreams.
constexpr double FloodLoad = 10;

bool AllBoundsHeld = true;
std::string Summary;

void print(const nlohmann::json &Line) { fmt::print("{}\n", Line.dump()); }

/// Adds a line to the table; a bound of 0 means that there is none.
void note(const std::string &Name, double Value, double Bound, bool IsHeld) {
  if (Bound == 0) {
    Summary += fmt::format("{:<68}{:>10.3f}\n", Name, Value);
    return;
  }
  Summary += fmt::format("{:<68}{:>10.3f}{:>8.2f}  {}\n", Name, Value, Bound,
                         IsHeld ? "held" : "MISSED");
  AllBoundsHeld = AllBoundsHeld && IsHeld;
}

struct ChoiceName {
  OpeningChoice Choice;
  const char *Name;
};

constexpr ChoiceName ChoiceNames[] = {
    {OpeningChoice::HashOnly, "hash only"},
    {OpeningChoice::TwoByReports, "least of two by reports 3 s old"},
    {OpeningChoice::LeastOfThree, "least of three by own count"},
};

void runOpeningChoice(const ChoiceName &Policy, double Load, double Slowest) {
  FleetSpec Spec;
  Spec.Choice = Policy.Choice;
  Spec.Speeds[0] = Slowest;
  Spec.Work = {{.Name = "orders", .Load = Load}};
  Spec.Length = std::chrono::seconds(300);
  const FleetResult Result = runFleet(Spec);
  const WorkResult &Work = Result.Work[0];
  print({{"run", "opening choice"},
         {"policy", Policy.Name},
         {"load", Load},
         {"slowest", Slowest},
         {"mean_wait", Work.MeanWait},
         {"p99_wait", Work.P99Wait},
         {"busy_imbalance", Result.BusyImbalance},
         {"active_imbalance", Result.ActiveImbalance},
         {"messages_per_opening", Result.MessagesPerOpening},
         {"offered", Work.Offered},
         {"refused", Work.Refused},
         {"unanswered", Work.Unanswered},
         {"broken", Work.Broken}});
  const double Bound = Slowest < 1 ? SlowImbalanceBound : EqualImbalanceBound;
  const bool HasBound =
      Policy.Choice == OpeningChoice::LeastOfThree && Load == 0.7;
  const std::string Name =
      fmt::format("{}, load {}, slowest {}", Policy.Name, Load, Slowest);
  note("imbalance, " + Name, Result.BusyImbalance, HasBound ? Bound : 0,
       Result.BusyImbalance <= Bound);
}

void runOpeningChoices() {
  for (const double Load : {0.7, 0.85}) {
    for (const double Slowest : {1.0, SlowSpeed}) {
      for (const ChoiceName &Policy : ChoiceNames) {
        runOpeningChoice(Policy, Load, Slowest);
      }
    }
  }
}

struct FloodRun {
  const char *Name;
  std::vector<WorkSpec> Work;
  std::size_t Flooding;
};

double servedPart(const WorkResult &Result) {
  return static_cast<double>(Result.Served) /
         static_cast<double>(std::max<std::uint64_t>(1, Result.Offered));
}

FleetResult runFlood(const FloodRun &Run, bool Shares, bool Flood) {
  FleetSpec Spec;
  Spec.Work = Run.Work;
  Spec.Shares = Shares;
  Spec.Length = std::chrono::seconds(35);
  Spec.Work[Run.Flooding].Load = Flood ? FloodLoad : Spec.Work[0].Load;
  return runFleet(Spec);
}

void compareFlood(const FloodRun &Run, bool Shares) {
  const FleetResult Quiet = runFlood(Run, Shares, false);
  const FleetResult Flooded = runFlood(Run, Shares, true);
  double Least = 1;
  for (std::size_t I = 0; I < Run.Work.size(); ++I) {
    const WorkResult &Before = Quiet.Work[I];
    const WorkResult &During = Flooded.Work[I];
    // The offered load differs by chance, so goodput is compared per opening.
    const double Kept = servedPart(During) / servedPart(Before);
    if (I != Run.Flooding) {
      Least = std::min(Least, Kept);
    }
    print({{"run", "flood"},
           {"scenario", Run.Name},
           {"shares", Shares},
           {"work", Run.Work[I].Name},
           {"floods", I == Run.Flooding},
           {"kept_goodput", Kept},
           {"offered", During.Offered},
           {"served", During.Served},
           {"refused", During.Refused},
           {"unanswered", During.Unanswered},
           {"broken", During.Broken},
           {"p99_wait_before", Before.P99Wait},
           {"p99_wait", During.P99Wait},
           {"messages_per_opening_before", Quiet.MessagesPerOpening},
           {"messages_per_opening", Flooded.MessagesPerOpening}});
  }
  note(fmt::format("kept goodput, {}, {}", Run.Name,
                   Shares ? "shares" : "first come first served"),
       Least, Shares ? KeptGoodputBound : 0, Least >= KeptGoodputBound);
}

void runFloods() {
  const std::vector<WorkSpec> Classes = {{"orders", 0, 10, 0.15},
                                         {"previews", 3, 10, 0.15},
                                         {"templates", 7, 10, 0.15}};
  const std::vector<WorkSpec> Equal = {{"shop-a", 3, 10, 0.15},
                                       {"shop-b", 3, 10, 0.15},
                                       {"shop-c", 3, 10, 0.15},
                                       {"shop-d", 3, 10, 0.15}};
  for (const bool Shares : {false, true}) {
    compareFlood({"least urgent floods", Classes, 2}, Shares);
    compareFlood({"most urgent floods", Classes, 0}, Shares);
    compareFlood({"one of equals floods", Equal, 1}, Shares);
  }
}

int run() {
  runOpeningChoices();
  runFloods();
  fmt::print("\n{:<68}{:>10}{:>8}\n{}", "measure", "value", "bound", Summary);
  return AllBoundsHeld ? 0 : 1;
}

} // namespace
} // namespace mulberryhoist::bench

int main() { return mulberryhoist::bench::run(); }
