#include "fleet/fleet.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace mulberryhoist::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// What operators, callers and the platform do.
enum class Kind : std::uint8_t {
  Open,
  OpenLong,
  OpenSession,
  OpenAgain,
  OpenBurst,
  Weight,
  AddRow,
  RemoveRow,
  MoveAddress,
  AddBalancer,
  RemoveBalancer,
  AddAgent,
  Terminate,
  Leave,
  // Faults.
  KillBalancer,
  PauseBalancer,
  RestartAgent,
  KillVm,
  PauseVm,
  Partition,
  LateOpening,
  VmListGap,
};

constexpr Kind LastPlanned = Kind::Leave;

struct Step {
  Kind What = Kind::Open;
  unsigned First = 0;
  unsigned Second = 0;
  unsigned Gap = 0;
};

void showValue(const Step &Value, std::ostream &Out) {
  Out << "{" << static_cast<int>(Value.What) << ", " << Value.First << ", "
      << Value.Second << ", " << Value.Gap << "}";
}

rc::Gen<Step> genStep(bool Faults) {
  const auto Last = static_cast<int>(Faults ? Kind::VmListGap : LastPlanned);
  // Half of the steps open flows.
  const auto GenKind = rc::gen::map(
      rc::gen::oneOf(rc::gen::inRange(0, static_cast<int>(Kind::Weight)),
                     rc::gen::inRange(0, Last + 1)),
      [](int Value) { return static_cast<Kind>(Value); });
  return rc::gen::build<Step>(
      rc::gen::set(&Step::What, GenKind),
      rc::gen::set(&Step::First, rc::gen::inRange(0U, 1000U)),
      rc::gen::set(&Step::Second, rc::gen::inRange(0U, 1000U)),
      rc::gen::set(&Step::Gap, rc::gen::inRange(0U, 1200U)));
}

/// Carries out steps on a fleet.
class Run {
public:
  Run(const FleetSize &Size, std::uint64_t Seed) : System(Size, Seed) {
    System.RetryRefused = true;
    System.Network = {2, 3, 2};
  }

  void apply(const Step &Value) {
    if (Value.What <= Kind::OpenBurst) {
      this->call(Value);
    } else if (Value.What <= Kind::MoveAddress) {
      this->edit(Value);
    } else if (Value.What <= LastPlanned) {
      this->plan(Value);
    } else {
      this->fault(Value);
    }
    this->System.run(milliseconds(Value.Gap));
  }

  Fleet System;

private:
  static std::string serviceOf(const Step &Value) {
    return Value.Second % 3 == 0 ? "prints" : "orders";
  }

  void call(const Step &Value) {
    FlowPlan Plan;
    Plan.Parts = 1 + Value.First % 3;
    Plan.Units = 1 + Value.First % 20;
    switch (Value.What) {
    case Kind::OpenLong:
      // About 8 s: longer than the spread of a table.
      Plan.Units = 400;
      Plan.Pace = milliseconds(80);
      break;
    case Kind::OpenSession:
      Plan.Requests = 4;
      Plan.Pause = milliseconds(Value.First * 3);
      break;
    case Kind::OpenAgain:
      if (const auto Done = this->findDone(Value.First)) {
        this->System.openAgain(*Done);
        return;
      }
      break;
    case Kind::OpenBurst:
      for (unsigned I = 0; I < 12; ++I) {
        this->System.open(serviceOf(Value), Plan);
      }
      break;
    default:
      break;
    }
    this->System.open(serviceOf(Value), Plan);
  }

  std::optional<std::size_t> findDone(unsigned Start) {
    const std::size_t Count = this->System.Callers.size();
    for (std::size_t I = 0; I < Count; ++I) {
      const std::size_t Flow = (Start + I) % Count;
      if (this->System.isKeyFree(Flow)) {
        return Flow;
      }
    }
    return std::nullopt;
  }

  void edit(const Step &Value) {
    OperatorTable &Draft = this->System.Draft;
    const std::size_t Row = Value.First % Draft.Rows.size();
    const AgentProcess &Agent =
        *this->System.Agents[Value.First % this->System.Agents.size()];
    switch (Value.What) {
    case Kind::Weight:
      Draft.Rows[Row].Weight = Value.Second % 2 == 0 ? 0 : Value.Second;
      break;
    case Kind::AddRow:
      if (Agent.Logic != nullptr && !Agent.Terminated &&
          Draft.find(Agent.Services[0], Agent.Name) == nullptr) {
        Draft.Rows.push_back({Agent.Services[0], Agent.Name, 100});
      }
      break;
    case Kind::RemoveRow:
      Draft.Rows.erase(Draft.Rows.begin() + static_cast<std::ptrdiff_t>(Row));
      break;
    default:
      // Three addresses take turns, so that one comes back to its service.
      std::swap(Draft.Addresses["orders"], this->Spare);
      if (Value.Second % 2 == 0) {
        std::swap(Draft.Addresses["prints"], this->Spare);
      }
      break;
    }
    this->System.publish();
  }

  std::size_t countRunning() const {
    return static_cast<std::size_t>(
        std::count_if(this->System.Agents.begin(), this->System.Agents.end(),
                      [](const auto &Each) {
                        return Each->Logic != nullptr && !Each->Terminated;
                      }));
  }

  std::size_t countBalancers() const {
    return static_cast<std::size_t>(std::count_if(
        this->System.Balancers.begin(), this->System.Balancers.end(),
        [](const auto &Each) { return Each->Alive && Each->InFabric; }));
  }

  void plan(const Step &Value) {
    const std::size_t Balancer = Value.First % this->System.Balancers.size();
    const std::size_t Agent = Value.First % this->System.Agents.size();
    switch (Value.What) {
    case Kind::AddBalancer:
      if (this->countBalancers() < 4) {
        this->System.addBalancer();
      }
      break;
    case Kind::RemoveBalancer:
      if (this->countBalancers() > 1) {
        this->System.removeBalancer(Balancer);
      }
      break;
    case Kind::AddAgent:
      if (this->countRunning() < 7) {
        const std::string Service = serviceOf(Value);
        const std::size_t New = this->System.addAgent({Service});
        this->System.Draft.Rows.push_back(
            {Service, this->System.Agents[New]->Name, 100});
        this->System.publish();
      }
      break;
    case Kind::Terminate:
      if (this->countRunning() > 2) {
        this->System.terminateAgent(Agent);
      }
      break;
    default:
      this->System.setLeaving(Agent, Value.Second % 2 == 0);
      break;
    }
  }

  void fault(const Step &Value) {
    const std::size_t Balancer = Value.First % this->System.Balancers.size();
    const std::size_t Agent = Value.First % this->System.Agents.size();
    switch (Value.What) {
    case Kind::KillBalancer:
      if (this->countBalancers() > 1) {
        this->System.killBalancer(Balancer);
      }
      break;
    case Kind::PauseBalancer:
      this->System.pauseBalancer(Balancer, milliseconds(Value.Second * 8));
      break;
    case Kind::RestartAgent:
      this->System.restartAgent(Agent);
      break;
    case Kind::KillVm:
      this->System.killVm(Agent);
      break;
    case Kind::PauseVm:
      this->System.pauseVm(Agent, milliseconds(Value.Second * 8));
      break;
    case Kind::Partition:
      this->System.Cut = [](const Letter &Sent) {
        return !Sent.Body || (Sent.From.Address ^ Sent.To.Address) % 2 == 0;
      };
      this->System.after(milliseconds(Value.Second * 5),
                         [this] { this->System.Cut = nullptr; });
      break;
    case Kind::LateOpening:
      if (!this->System.Callers.empty()) {
        this->System.repeatOpening(Value.Second % this->System.Callers.size(),
                                   Balancer);
      }
      break;
    default:
      // The list names only some agents.
      this->System.setVmList({Agent});
      break;
    }
  }

  Endpoint Spare{0x7F010003, 80};
};

FleetSize genSize() {
  FleetSize Size;
  Size.Balancers = *rc::gen::inRange(2U, 5U);
  Size.Orders = *rc::gen::inRange(2U, 5U);
  Size.Prints = *rc::gen::inRange(1U, 4U);
  Size.Shared = *rc::gen::inRange(0U, 2U);
  // With one slot the wait queue is in use.
  Size.Slots = *rc::gen::element(1U, 4U);
  return Size;
}

/// Every running agent must be empty after all callers have finished.
void judgeIdle(Fleet &System) {
  // A late copy of an opening may leave a half-open flow behind; it may be late
  // on each part of its way.
  System.run(HalfOpenTimeout + ClosingLinger + seconds(20));
  for (const auto &Each : System.Agents) {
    if (Each->Logic == nullptr) {
      continue;
    }
    const DrainProgress Left = Each->Logic->drainProgress(1, System.now());
    if (Left.Flows != 0 || Left.Cut != 0) {
      System.Judge.report("G7: " + Each->Name +
                          " has flows left after the end of all work");
    }
  }
}

// Guards against flows that break in planned changes, payload for a wrong
// service, double runs, false refusals, mixed answers, and new work for or
// unfinished drains of leaving upstreams (G1 to G7).
RC_GTEST_PROP(FleetTest, PlannedChanges, ()) {
  const auto Size = genSize();
  const auto Seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>());
  const auto Steps = *rc::gen::container<std::vector<Step>>(genStep(false));
  Run Work(Size, Seed);
  for (const Step &Each : Steps) {
    Work.apply(Each);
  }
  Work.System.settle();
  judgeIdle(Work.System);
  Work.System.Judge.judgeSurvival();
  RC_ASSERT(Work.System.Judge.describe() == "");
}

// Guards against the same failures, but for broken flows, when processes fail,
// pause and are cut off at the same time (G2 to G6).
RC_GTEST_PROP(FleetTest, Faults, ()) {
  const auto Size = genSize();
  const auto Seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>());
  const auto Steps = *rc::gen::container<std::vector<Step>>(genStep(true));
  Run Work(Size, Seed);
  Work.System.Network = {5, 5, 5};
  for (const Step &Each : Steps) {
    Work.apply(Each);
  }
  Work.System.settle();
  RC_ASSERT(Work.System.Judge.describe() == "");
}

} // namespace
} // namespace mulberryhoist::fleet
