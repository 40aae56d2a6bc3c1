/// \file
/// Compares the policies of section 2 of the design with their baselines.
///
/// Prints one JSON line for each run and a short table; exits with 1 if a bound
/// of section 1.2 of the design is missed.

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "lookup.h"
#include "mulberryhoist/opening.h"
#include "policy.h"
#include "relay.h"

namespace mulberryhoist::bench {
namespace {

/// Bounds of the measures in section 1.2 of the design.
constexpr double EqualImbalanceBound = 1.3;
constexpr double SlowImbalanceBound = 1.5;
constexpr double KeptGoodputBound = 0.95;
constexpr double LeavingBoundSeconds = 3;
constexpr double InForceBoundSeconds = 9;
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
    {OpeningChoice::LeastLoaded, "least loaded by own count"},
};

/// Single runs of 300 s differ by about 0.4 % in imbalance, so that a value
/// close to a bound needs the mean of several.
constexpr std::uint64_t ChoiceSeeds = 5;

void runOpeningChoice(const ChoiceName &Policy, double Load, double Slowest) {
  FleetSpec Spec;
  Spec.Choice = Policy.Choice;
  Spec.Speeds[0] = Slowest;
  Spec.Work = {{.Name = "orders", .Load = Load}};
  Spec.Length = std::chrono::seconds(300);
  double Imbalance = 0;
  for (Spec.Seed = 1; Spec.Seed <= ChoiceSeeds; ++Spec.Seed) {
    const FleetResult Result = runFleet(Spec);
    const WorkResult &Work = Result.Work[0];
    Imbalance += Result.BusyImbalance / ChoiceSeeds;
    print({{"run", "opening choice"},
           {"policy", Policy.Name},
           {"seed", Spec.Seed},
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
  }
  const double Bound = Slowest < 1 ? SlowImbalanceBound : EqualImbalanceBound;
  const bool HasBound =
      Policy.Choice == OpeningChoice::LeastLoaded && Load == 0.7;
  const std::string Name =
      fmt::format("{}, load {}, slowest {}", Policy.Name, Load, Slowest);
  note("imbalance, " + Name, Imbalance, HasBound ? Bound : 0,
       Imbalance <= Bound);
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

/// Messages for an opening that every candidate declines, counted at its
/// coordinator.
double countRefusalMessages(bool Budget) {
  constexpr unsigned Openings = 10'000;
  constexpr unsigned TenthsForPair = 20;
  const std::array<UpstreamId, 5> Others = {UpstreamId{1}, UpstreamId{2},
                                            UpstreamId{3}, UpstreamId{4},
                                            UpstreamId{5}};
  RetryBudget Retries;
  std::uint64_t Messages = 0;
  for (std::uint32_t I = 0; I < Openings; ++I) {
    // Without a budget every opening can pay for the further pair.
    for (unsigned J = 0; J < (Budget ? 1 : TenthsForPair); ++J) {
      Retries.earn();
    }
    Opening Entry({{}, I}, ServiceId{1}, {}, Others, true, I, Instant());
    for (const UpstreamId Id : Entry.queried()) {
      Entry.recordLoad({I, Id, 0, true, false});
      Messages += 2;
    }
    for (;;) {
      const OpeningStep Step = Entry.step(Retries, Instant());
      if (Step == OpeningStep::OfferToOther) {
        Messages += 2;
        Entry.recordDeclined(Entry.offeredTo());
      } else if (Step == OpeningStep::OfferToSelf) {
        Entry.recordDeclined(std::nullopt);
      } else {
        break;
      }
    }
  }
  return static_cast<double>(Messages) / Openings;
}

void runAmplification() {
  for (const bool Budget : {false, true}) {
    const double Count = countRefusalMessages(Budget);
    print({{"run", "amplification"},
           {"retry_budget", Budget},
           {"messages_per_opening", Count}});
    note(fmt::format("messages per opening that all decline, {} retry budget",
                     Budget ? "with" : "without"),
         Count, 0, true);
  }
}

void runDrain() {
  FleetSpec Spec;
  Spec.Work = {{.Name = "orders", .Load = 0.4},
               {.Name = "downloads",
                .Load = 0.2,
                .MeanRequest = std::chrono::seconds(3)}};
  // Just after the probes of a round, so that balancers learn of it late.
  Spec.TerminateAt = std::chrono::milliseconds(20'100);
  const FleetResult Result = runFleet(Spec);
  std::uint64_t Broken = 0;
  std::uint64_t Missing = 0;
  for (const WorkResult &Each : Result.Work) {
    Broken += Each.Broken + Each.RunTwice;
    Missing += Each.Refused + Each.Unanswered;
  }
  print({{"run", "drain"},
         {"last_start_s", Result.LastStartSeconds},
         {"last_opening_s", Result.LastOpeningSeconds},
         {"drained_s", Result.DrainedSeconds},
         {"broken", Broken},
         {"refused_or_unanswered", Missing}});
  const double Last =
      std::max(Result.LastStartSeconds, Result.LastOpeningSeconds);
  note("drain: seconds until no new work arrives", Last, LeavingBoundSeconds,
       Last <= LeavingBoundSeconds);
  note("drain: broken flows", static_cast<double>(Broken), 0.5, Broken == 0);
  note("drain: seconds until drained", Result.DrainedSeconds, 0, true);
}

struct LookupRun {
  unsigned Changes;
  std::size_t ActiveEvery;
};

constexpr LookupRun LookupRuns[] = {{1, 1},  {3, 1},  {10, 1},
                                    {1, 10}, {3, 10}, {10, 10}};

void runLookups() {
  for (const auto &[Changes, ActiveEvery] : LookupRuns) {
    LookupSpec Spec;
    Spec.Changes = Changes;
    Spec.ActiveEvery = ActiveEvery;
    Spec.Flows = 10'500;
    const LookupResult Result = runLookup(Spec);
    const auto Displaced = static_cast<double>(Result.Displaced);
    print({{"run", "owner lookup"},
           {"changes", Changes},
           {"active_every", ActiveEvery},
           {"displaced", Result.Displaced},
           {"lost_packets", Result.Lost},
           {"locate_messages", Result.LocateMessages},
           {"locate_bytes", Result.LocateBytes},
           {"register_messages", Result.RegisterMessages},
           {"register_bytes", Result.RegisterBytes}});
    note(fmt::format(
             "Locate bytes per displaced flow, {} changes, 1 of {} active",
             Changes, ActiveEvery),
         static_cast<double>(Result.LocateBytes) / Displaced, 0, true);
    note(fmt::format("register bytes per displaced flow, {} changes", Changes),
         static_cast<double>(Result.RegisterBytes) / Displaced, 0, true);
  }
}

void runRelays() {
  for (const Distribution How :
       {Distribution::EverybodyReads, Distribution::RowChanges}) {
    RelaySpec Spec;
    Spec.How = How;
    const RelayResult Result = runRelay(Spec);
    const bool Own = How == Distribution::RowChanges;
    print({{"run", "table relay"},
           {"policy", Own ? "row changes" : "everybody reads"},
           {"processes", Result.Processes},
           {"slowest_s", Result.SlowestSeconds},
           {"mean_slowest_s", Result.MeanSlowestSeconds},
           {"incomplete", Result.Incomplete},
           {"bytes_per_s", Result.BytesPerSecond},
           {"read_bytes_per_s", Result.ReadBytesPerSecond},
           {"busiest_bytes_per_s", Result.BusiestBytesPerSecond},
           {"calls_per_s", Result.CallsPerSecond},
           {"peak_calls_per_s", Result.PeakCallsPerSecond}});
    const std::string Name = Own ? "row changes" : "everybody reads";
    note("table relay, seconds until in force, " + Name, Result.SlowestSeconds,
         Own ? InForceBoundSeconds : 0,
         Result.SlowestSeconds <= InForceBoundSeconds);
    note("table relay, bytes/s per process, " + Name, Result.BytesPerSecond, 0,
         true);
  }
}

int run() {
  runOpeningChoices();
  runFloods();
  runAmplification();
  runDrain();
  runLookups();
  runRelays();
  fmt::print("\n{:<68}{:>10}{:>8}\n{}", "measure", "value", "bound", Summary);
  return AllBoundsHeld ? 0 : 1;
}

} // namespace
} // namespace mulberryhoist::bench

int main() { return mulberryhoist::bench::run(); }
