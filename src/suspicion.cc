#include "mulberryhoist/suspicion.h"

#include <algorithm>

namespace mulberryhoist {
namespace {

/// The time that one probe and its reply use of the budget.
constexpr Duration ProbeCost =
    Duration(std::chrono::seconds(1)) * ProbePairBytes / ProbeBytesPerSecond;

/// How much unused budget is kept, so that the few agents of a small
/// installation can be probed together.
constexpr Duration BudgetBurst = std::chrono::seconds(1);

unsigned allowedMisses(AgentPresence Presence) {
  return Presence == AgentPresence::Gone ? MissedUntilSuspectedIfGone
                                         : MissedUntilSuspected;
}

} // namespace

std::string_view exclusionName(Exclusion Value) {
  switch (Value) {
  case Exclusion::None:
    return "none";
  case Exclusion::Suspected:
    return "suspected";
  case Exclusion::Leaving:
    return "leaving";
  case Exclusion::Draining:
    return "draining";
  }
  return "none";
}

Exclusion AgentHealth::exclusion() const {
  if (this->Suspected) {
    return Exclusion::Suspected;
  }
  if (this->Presence == AgentPresence::Leaving) {
    return Exclusion::Leaving;
  }
  return this->Draining ? Exclusion::Draining : Exclusion::None;
}

const AgentHealth *findAgent(std::span<const AgentHealth> Agents,
                             UpstreamId Id) {
  const auto Found =
      std::lower_bound(Agents.begin(), Agents.end(), Id,
                       [](const AgentHealth &Agent, UpstreamId Wanted) {
                         return Agent.Id.Value < Wanted.Value;
                       });
  return Found != Agents.end() && Found->Id == Id ? &*Found : nullptr;
}

void SuspicionLogic::setAgents(std::span<const ProbeTarget> Targets,
                               Instant Now) {
  std::vector<ProbeTarget> Sorted(Targets.begin(), Targets.end());
  std::sort(Sorted.begin(), Sorted.end(),
            [](const ProbeTarget &A, const ProbeTarget &B) {
              return A.Id.Value < B.Id.Value;
            });
  std::vector<AgentHealth> NewAgents;
  std::vector<Plan> NewPlans;
  NewAgents.reserve(Sorted.size());
  NewPlans.reserve(Sorted.size());
  for (const ProbeTarget &Target : Sorted) {
    const std::size_t Old = this->indexOf(Target.Id);
    // An agent at another endpoint is another process: nothing is known of it.
    if (Old < this->Agents.size() && this->Agents[Old].Agent == Target.Agent) {
      NewAgents.push_back(this->Agents[Old]);
      NewPlans.push_back(this->Plans[Old]);
    } else {
      NewAgents.push_back({.Id = Target.Id, .Agent = Target.Agent});
      NewPlans.push_back({.Due = Now, .SentAt = Now});
    }
    NewAgents.back().Presence = Target.Presence;
  }
  this->Agents = std::move(NewAgents);
  this->Plans = std::move(NewPlans);
  this->DueNow.reserve(this->Agents.size());
  ++this->Changes;
}

void SuspicionLogic::onTick(Instant Now, std::vector<DueProbe> &Out) {
  this->DueNow.clear();
  for (std::size_t I = 0; I < this->Agents.size(); ++I) {
    if (this->Plans[I].Outstanding &&
        Now - this->Plans[I].SentAt >= ProbePeriod) {
      this->noteMissed(I, Now);
    }
    if (!this->Plans[I].Outstanding && this->Plans[I].Due <= Now) {
      this->DueNow.push_back(I);
    }
  }
  std::sort(this->DueNow.begin(), this->DueNow.end(),
            [this](std::size_t A, std::size_t B) {
              return this->Plans[A].Due < this->Plans[B].Due;
            });
  for (const std::size_t Index : this->DueNow) {
    if (!this->takeBudget(Now)) {
      return;
    }
    this->send(Index, Now, Out);
  }
}

void SuspicionLogic::onHeard(UpstreamId Id) {
  const std::size_t Index = this->indexOf(Id);
  if (Index == this->Agents.size()) {
    return;
  }
  AgentHealth &Agent = this->Agents[Index];
  this->Plans[Index].Outstanding = false;
  Agent.Missed = 0;
  if (Agent.Suspected) {
    Agent.Suspected = false;
    ++this->Changes;
  }
}

void SuspicionLogic::onReply(UpstreamId Id, std::uint64_t Sequence,
                             bool Draining, std::uint32_t Load) {
  this->onHeard(Id);
  const std::size_t Index = this->indexOf(Id);
  if (Index == this->Agents.size() || Sequence >= this->NextSequence ||
      Sequence <= this->Plans[Index].LastReply) {
    return;
  }
  this->Plans[Index].LastReply = Sequence;
  AgentHealth &Agent = this->Agents[Index];
  Agent.Load = Load;
  if (Agent.Draining != Draining) {
    Agent.Draining = Draining;
    ++this->Changes;
  }
}

void SuspicionLogic::onPause(Instant Now) {
  for (std::size_t I = 0; I < this->Agents.size(); ++I) {
    this->Agents[I].Suspected = false;
    this->Agents[I].Missed = 0;
    this->Plans[I].Outstanding = false;
    this->Plans[I].Due = Now;
  }
  ++this->Changes;
}

Exclusion SuspicionLogic::exclusion(UpstreamId Id) const {
  const AgentHealth *Agent = findAgent(this->Agents, Id);
  return Agent == nullptr ? Exclusion::None : Agent->exclusion();
}

Duration SuspicionLogic::period() const {
  const auto Count = static_cast<Duration::rep>(this->Agents.size());
  return std::max(ProbePeriod, ProbeCost * Count);
}

/// Returns the index of an agent, or the number of agents.
std::size_t SuspicionLogic::indexOf(UpstreamId Id) const {
  const AgentHealth *Agent = findAgent(this->Agents, Id);
  return Agent == nullptr
             ? this->Agents.size()
             : static_cast<std::size_t>(Agent - this->Agents.data());
}

void SuspicionLogic::noteMissed(std::size_t Index, Instant Now) {
  AgentHealth &Agent = this->Agents[Index];
  Plan &Next = this->Plans[Index];
  Next.Outstanding = false;
  ++Agent.Missed;
  if (Agent.Suspected) {
    return;
  }
  if (Agent.Missed >= allowedMisses(Agent.Presence)) {
    Agent.Suspected = true;
    ++this->Changes;
    return;
  }
  // The next probe follows at once, so that an agent is suspected 3 s after the
  // first missed probe however long the period is.
  Next.Due = Now;
}

/// Takes one pair of messages from the budget, if there is room.
bool SuspicionLogic::takeBudget(Instant Now) {
  const Instant Spent = std::max(this->BudgetSpentUntil, Now - BudgetBurst);
  if (Spent + ProbeCost > Now) {
    return false;
  }
  this->BudgetSpentUntil = Spent + ProbeCost;
  return true;
}

void SuspicionLogic::send(std::size_t Index, Instant Now,
                          std::vector<DueProbe> &Out) {
  Plan &Next = this->Plans[Index];
  Next.Outstanding = true;
  Next.SentAt = Now;
  Next.Due = Now + this->period();
  Out.push_back({this->Agents[Index].Agent, this->NextSequence});
  ++this->NextSequence;
}

} // namespace mulberryhoist
