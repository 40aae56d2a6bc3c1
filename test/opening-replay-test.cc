/// \file
/// Replays the same arrivals under several orders of waiting, taking and
/// refusing, and compares what callers get.

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <ostream>
#include <random>

#include "mulberryhoist/admission/route-work.h"
#include "mulberryhoist/opening-queue.h"

namespace mulberryhoist {
namespace {

using std::chrono::milliseconds;
using Placement = OpeningQueue::Placement;

constexpr std::uint32_t Slots = 2;
constexpr int Retries = 2;

/// Requests of one route.
struct Requests {
  std::uint32_t Class;
  milliseconds Goal;
  milliseconds Timeout;
  milliseconds Work;
  double PerSecond;
  /// Multiple of the rate from 1 s to 4 s.
  double Burst = 1;
  /// Multiple of the work that 3 % of the requests need.
  double Tail = 1;
};

struct LoadRow {
  const char *Load;
  std::vector<Requests> Routes;
  /// Multiple of the work until 2 s.
  double Cold = 1;

  friend std::ostream &operator<<(std::ostream &Out, const LoadRow &Row) {
    return Out << Row.Load;
  }
};

/// Holds what finds no room as long as its caller waits, and takes the first
/// by `Order`.
template <typename Order> class OrderedQueue {
public:
  Placement place(const Steer &, Duration, const UpstreamLoad &Load, Instant,
                  double) const {
    return this->Openings.empty() && Load.hasRoom() ? Placement::Take
                                                    : Placement::Hold;
  }
  void hold(HeldOpening Opening) {
    this->Openings.push_back(std::move(Opening));
  }
  std::optional<HeldOpening> takeNext(const UpstreamLoad &Load, Instant Now) {
    if (this->Openings.empty() || !Load.hasRoom()) {
      return std::nullopt;
    }
    return this->remove(
        std::ranges::min_element(this->Openings, {}, [&](const auto &Each) {
          return Order()(Each, Load, Now);
        }));
  }
  std::optional<HeldOpening> takeExpired(Instant Now) {
    const auto Found =
        std::ranges::find_if(this->Openings, [&](const HeldOpening &Each) {
          return Now >= Each.ExpiresAt;
        });
    return Found == this->Openings.end() ? std::nullopt
                                         : std::optional(this->remove(Found));
  }
  std::optional<HeldOpening> takeUnservable(const UpstreamLoad &, Instant) {
    return std::nullopt;
  }

protected:
  HeldOpening remove(std::vector<HeldOpening>::iterator Which) {
    HeldOpening Removed = std::move(*Which);
    this->Openings.erase(Which);
    return Removed;
  }
  std::vector<HeldOpening> Openings;
};

struct ByArrival {
  auto operator()(const HeldOpening &Each, const UpstreamLoad &, Instant) {
    return Each.HeldSince;
  }
};
struct ByClass {
  auto operator()(const HeldOpening &Each, const UpstreamLoad &, Instant) {
    return std::pair(Each.Header.Class, Each.HeldSince);
  }
};
struct ByDeadline {
  auto operator()(const HeldOpening &Each, const UpstreamLoad &, Instant) {
    return Each.StartedAt + Each.Header.Goal;
  }
};

bool canReachGoal(const Steer &Header, Duration Waited, std::uint32_t Ahead,
                  const UpstreamLoad &Load) {
  return Waited + NetworkTime +
             std::chrono::duration_cast<Duration>(
                 Load.ServiceTime.expectedTime(Load.Requests + Ahead, Slots) *
                 GoalSafetyFactor) <=
         Header.Goal;
}

/// Prompt openings by class and newest first, then late ones by class and
/// oldest first; one mean for all routes.
struct NewestPromptFirst {
  auto operator()(const HeldOpening &Each, const UpstreamLoad &Load,
                  Instant Now) {
    const bool IsPrompt =
        canReachGoal(Each.Header, Now - Each.StartedAt, 0, Load);
    const auto Started = Each.StartedAt.time_since_epoch();
    return std::tuple(!IsPrompt, Each.Header.Class,
                      IsPrompt ? -Started : Started);
  }
};

/// The order before this one.
class NewestPromptQueue : public OrderedQueue<NewestPromptFirst> {
public:
  Placement place(const Steer &Header, Duration Waited,
                  const UpstreamLoad &Load, Instant Now, double) const {
    const auto Ahead = static_cast<std::uint32_t>(
        std::ranges::count_if(this->Openings, [&](const HeldOpening &Each) {
          return Each.Header.Class <= Header.Class &&
                 canReachGoal(Each.Header, Now - Each.StartedAt, 0, Load);
        }));
    const bool IsPrompt = canReachGoal(Header, Waited, Ahead, Load);
    if (IsPrompt && Ahead == 0 && Load.hasRoom()) {
      return Placement::Take;
    }
    const Duration Expected =
        Load.ServiceTime.mean() *
        (Load.Requests + static_cast<std::uint32_t>(this->Openings.size()) +
         1) /
        Slots * LateWaitFactor;
    return IsPrompt ||
                   Waited + Expected + Load.ServiceTime.mean() + HeldMargin <=
                       Header.Timeout
               ? Placement::Hold
               : Placement::Refuse;
  }
  std::optional<HeldOpening> takeNext(const UpstreamLoad &Load, Instant Now) {
    const bool HasPrompt =
        std::ranges::any_of(this->Openings, [&](const HeldOpening &Each) {
          return canReachGoal(Each.Header, Now - Each.StartedAt, 0, Load);
        });
    if (!HasPrompt && !Load.hasFreeSlot()) {
      return std::nullopt;
    }
    return this->OrderedQueue::takeNext(Load, Now);
  }
};

/// One caller's request.
struct Call {
  const Requests *Route;
  Endpoint Address;
  Instant StartedAt;
  Duration Work;
  bool FoundFreeSlot = false;
  int Tries = 0;
};

/// Plays arrivals against a queue in steps of 1 ms; a refused caller tries
/// again at once.
template <typename Queue> class Replay {
public:
  Replay(const LoadRow &Row, std::uint32_t Seed) : Row(Row), Random(Seed) {}

  /// Returns the worth earned.
  double run() {
    for (int Step = 0; Step < 8000; ++Step, this->Now += milliseconds(1)) {
      this->endRequests();
      while (
          this->retry(this->Waiting.takeExpired(this->Now)) ||
          this->retry(this->Waiting.takeUnservable(this->load(), this->Now))) {
      }
      for (std::size_t I = 0; I < this->Row.Routes.size(); ++I) {
        this->arrive(this->Row.Routes[I], static_cast<std::uint16_t>(I), Step);
      }
      while (const auto Next =
                 this->Waiting.takeNext(this->load(), this->Now)) {
        this->take(Next->Flow.Initial);
      }
    }
    return this->Worth;
  }

private:
  double uniform() {
    return std::uniform_real_distribution<double>()(this->Random);
  }

  UpstreamLoad load() const {
    return {static_cast<std::uint32_t>(this->Processing.size() +
                                       this->Queued.size()),
            Slots, this->ServiceTime};
  }

  void arrive(const Requests &Route, std::uint16_t Number, int Step) {
    const bool InBurst = Step >= 1000 && Step < 4000;
    if (this->uniform() >=
        Route.PerSecond * (InBurst ? Route.Burst : 1) / 1000) {
      return;
    }
    double Factor = 0.5 + this->uniform();
    Factor *= this->uniform() < 0.03 ? Route.Tail : 1;
    Factor *= Step < 2000 ? this->Row.Cold : 1;
    this->Calls.push_back(
        {&Route,
         {0, Number},
         this->Now,
         std::chrono::duration_cast<Duration>(Route.Work * Factor)});
    this->open(this->Calls.size() - 1);
  }

  void open(std::size_t Index) {
    const Call &Each = this->Calls[Index];
    HeldOpening Opening;
    Opening.Flow.Initial = static_cast<Incarnation>(Index);
    Opening.Header.Class = Each.Route->Class;
    Opening.Header.Goal = Each.Route->Goal;
    Opening.Header.Timeout = Each.Route->Timeout;
    Opening.HeldSince = Opening.StartedAt = this->Now;
    Opening.ExpiresAt = this->Now + holdLimit(Opening.Header, this->load());
    Opening.WorkFactor = this->Routes.factor(Each.Address);
    for (; Each.Tries <= Retries; ++this->Calls[Index].Tries) {
      const Placement Result = this->Waiting.place(
          Opening.Header, {}, this->load(), this->Now, Opening.WorkFactor);
      if (Result == Placement::Take) {
        this->take(Index);
        return;
      }
      if (Result == Placement::Hold) {
        this->Waiting.hold(std::move(Opening));
        return;
      }
    }
  }

  bool retry(const std::optional<HeldOpening> &Refused) {
    if (Refused) {
      ++this->Calls[Refused->Flow.Initial].Tries;
      this->open(Refused->Flow.Initial);
    }
    return Refused.has_value();
  }

  void take(std::size_t Index) {
    if (this->Processing.size() < Slots) {
      this->Calls[Index].FoundFreeSlot = true;
      this->Processing.emplace_back(this->Now + this->Calls[Index].Work, Index);
    } else {
      this->Queued.push_back(Index);
    }
  }

  void endRequests() {
    for (std::size_t I = 0; I < this->Processing.size();) {
      const auto [End, Index] = this->Processing[I];
      if (End > this->Now) {
        ++I;
        continue;
      }
      this->earn(this->Calls[Index]);
      this->Processing.erase(this->Processing.begin() +
                             static_cast<std::ptrdiff_t>(I));
      if (!this->Queued.empty()) {
        const std::size_t Next = this->Queued.front();
        this->Queued.pop_front();
        this->Processing.emplace_back(this->Now + this->Calls[Next].Work, Next);
      }
    }
  }

  void earn(const Call &Each) {
    const Duration Age = this->Now - Each.StartedAt + NetworkTime;
    const double Weight = Each.Route->Class == 0 ? 2 : 1;
    if (Age <= Each.Route->Timeout) {
      this->Worth += Age <= Each.Route->Goal ? Weight : Weight / 2;
    }
    if (Each.FoundFreeSlot) {
      this->Routes.addSlotTime(Each.Address, Each.Work,
                               this->ServiceTime.mean());
      this->ServiceTime.addUnqueued(Each.Work);
    }
    this->ServiceTime.addResponse(this->load().Requests, Slots, this->Now);
  }

  const LoadRow &Row;
  std::mt19937 Random;
  Instant Now = Instant(std::chrono::hours(1));
  Queue Waiting;
  ServiceTimeEstimate ServiceTime;
  RouteWorkEstimates Routes;
  std::vector<Call> Calls;
  /// What the slots process, with the end, and what queues in the upstream.
  std::vector<std::pair<Instant, std::size_t>> Processing;
  std::deque<std::size_t> Queued;
  double Worth = 0;
};

/// Returns the worth earned on average over several draws of the arrivals.
template <typename Queue> double meanWorth(const LoadRow &Row) {
  constexpr std::uint32_t Draws = 20;
  double Total = 0;
  for (std::uint32_t Seed = 1; Seed <= Draws; ++Seed) {
    Total += Replay<Queue>(Row, Seed).run();
  }
  return Total / Draws;
}

class OpeningReplayTest : public testing::TestWithParam<LoadRow> {};

TEST_P(OpeningReplayTest, CallersGetAtLeastWhatOtherOrdersGive) {
  const double Worth = meanWorth<OpeningQueue>(GetParam());
  const std::map<std::string, double> Others = {
      {"first come", meanWorth<OrderedQueue<ByArrival>>(GetParam())},
      {"strict priority", meanWorth<OrderedQueue<ByClass>>(GetParam())},
      {"earliest deadline", meanWorth<OrderedQueue<ByDeadline>>(GetParam())},
      {"newest prompt", meanWorth<NewestPromptQueue>(GetParam())}};
  for (const auto &[Order, Other] : Others) {
    EXPECT_GE(Worth, Other) << Order;
    RecordProperty(Order, std::to_string(Other));
  }
  RecordProperty("by cost", std::to_string(Worth));
}

constexpr Requests Stream = {1, milliseconds(250), milliseconds(2000),
                             milliseconds(30), 35};
constexpr Requests Lookup = {0, milliseconds(300), milliseconds(2500),
                             milliseconds(39), 10};
constexpr Requests Report = {1, milliseconds(800), milliseconds(6000),
                             milliseconds(5), 20};

Requests times(Requests Route, double Burst, double Tail = 1) {
  Route.Burst = Burst;
  Route.Tail = Tail;
  return Route;
}

INSTANTIATE_TEST_SUITE_P(
    Loads, OpeningReplayTest,
    testing::Values(
        LoadRow{"a burst of the least urgent", {times(Stream, 2.5), Lookup}},
        LoadRow{"a burst of the most urgent", {Stream, times(Lookup, 8)}},
        LoadRow{"a burst of all, with a route of little work",
                {times(Stream, 1.7), times(Lookup, 1.7), times(Report, 2)}},
        LoadRow{"3 % of the requests take 7 times the mean",
                {times(Stream, 1.3, 7), times(Lookup, 1.3, 7)}},
        LoadRow{"upstreams come back cold, and all callers at once",
                {times(Stream, 1), times(Lookup, 1)},
                1.6}));

} // namespace
} // namespace mulberryhoist
