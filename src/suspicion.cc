#include "mulberryhoist/suspicion.h"

#include <algorithm>

namespace mulberryhoist {
namespace {

/// The time in which the budget grows by one probe and its reply.
constexpr Duration ProbeCost =
    Duration(std::chrono::seconds(1)) * ProbePairBytes / ProbeBytesPerSecond;

/// Upper bound of the unused budget, so that the few agents of a small
/// installation can be probed in one burst.
constexpr Duration BudgetBurst = std::chrono::seconds(1);

unsigned allowedMisses(AgentPresence Presence) {
  return Presence == AgentPresence::Unlisted ? MissedUntilSuspectedIfUnlisted
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

void FailureDetector::setAgents(std::span<const ProbeTarget> Targets,
                                Instant Now) {
  std::vector<ProbeTarget> Sorted(Targets.begin(), Targets.end());
  std::sort(Sorted.begin(), Sorted.end(),
            [](const ProbeTarget &A, const ProbeTarget &B) {
              return A.Id.Value < B.Id.Value;
            });
  std::vector<AgentHealth> NewAgents;
  std::vector<ProbeState> NewProbeStates;
  NewAgents.reserve(Sorted.size());
  NewProbeStates.reserve(Sorted.size());
  for (const ProbeTarget &Target : Sorted) {
    const std::size_t Old = this->indexOf(Target.Id);
    // An agent at another endpoint is another process, whose state is unknown.
    if (Old < this->Agents.size() && this->Agents[Old].Agent == Target.Agent) {
      NewAgents.push_back(this->Agents[Old]);
      NewProbeStates.push_back(this->ProbeStates[Old]);
    } else {
      NewAgents.push_back({.Id = Target.Id, .Agent = Target.Agent});
      NewProbeStates.push_back({.Due = Now, .SentAt = Now});
    }
    NewAgents.back().Presence = Target.Presence;
  }
  this->Agents = std::move(NewAgents);
  this->ProbeStates = std::move(NewProbeStates);
  this->DueNow.reserve(this->Agents.size());
  ++this->Changes;
}

void FailureDetector::onTick(Instant Now, std::vector<DueProbe> &Out) {
  this->DueNow.clear();
  for (std::size_t I = 0; I < this->Agents.size(); ++I) {
    if (this->ProbeStates[I].Outstanding &&
        Now - this->ProbeStates[I].SentAt >= ProbePeriod) {
      this->recordMissedProbe(I, Now);
    }
    if (!this->ProbeStates[I].Outstanding && this->ProbeStates[I].Due <= Now) {
      this->DueNow.push_back(I);
    }
  }
  std::sort(this->DueNow.begin(), this->DueNow.end(),
            [this](std::size_t A, std::size_t B) {
              return this->ProbeStates[A].Due < this->ProbeStates[B].Due;
            });
  for (const std::size_t Index : this->DueNow) {
    if (!this->consumeBudget(Now)) {
      return;
    }
    this->send(Index, Now, Out);
  }
}

void FailureDetector::onReceived(UpstreamId Id) {
  const std::size_t Index = this->indexOf(Id);
  if (Index == this->Agents.size()) {
    return;
  }
  AgentHealth &Agent = this->Agents[Index];
  this->ProbeStates[Index].Outstanding = false;
  Agent.Missed = 0;
  if (Agent.Suspected) {
    Agent.Suspected = false;
    ++this->Changes;
  }
}

void FailureDetector::onReply(UpstreamId Id, std::uint64_t Sequence,
                              bool Draining, std::uint32_t Load) {
  this->onReceived(Id);
  const std::size_t Index = this->indexOf(Id);
  if (Index == this->Agents.size() || Sequence >= this->NextSequence ||
      Sequence <= this->ProbeStates[Index].LastReply) {
    return;
  }
  this->ProbeStates[Index].LastReply = Sequence;
  AgentHealth &Agent = this->Agents[Index];
  Agent.Load = Load;
  if (Agent.Draining != Draining) {
    Agent.Draining = Draining;
    ++this->Changes;
  }
}

void FailureDetector::onPause(Instant Now) {
  for (std::size_t I = 0; I < this->Agents.size(); ++I) {
    this->Agents[I].Suspected = false;
    this->Agents[I].Missed = 0;
    this->ProbeStates[I].Outstanding = false;
    this->ProbeStates[I].Due = Now;
  }
  ++this->Changes;
}

Exclusion FailureDetector::exclusion(UpstreamId Id) const {
  const AgentHealth *Agent = findAgent(this->Agents, Id);
  return Agent == nullptr ? Exclusion::None : Agent->exclusion();
}

Duration FailureDetector::period() const {
  const auto Count = static_cast<Duration::rep>(this->Agents.size());
  return std::max(ProbePeriod, ProbeCost * Count);
}

/// Returns the index of an agent, or the number of agents.
std::size_t FailureDetector::indexOf(UpstreamId Id) const {
  const AgentHealth *Agent = findAgent(this->Agents, Id);
  return Agent == nullptr
             ? this->Agents.size()
             : static_cast<std::size_t>(Agent - this->Agents.data());
}

void FailureDetector::recordMissedProbe(std::size_t Index, Instant Now) {
  AgentHealth &Agent = this->Agents[Index];
  ProbeState &State = this->ProbeStates[Index];
  State.Outstanding = false;
  ++Agent.Missed;
  if (Agent.Suspected) {
    return;
  }
  if (Agent.Missed >= allowedMisses(Agent.Presence)) {
    Agent.Suspected = true;
    ++this->Changes;
    return;
  }
  // The next probe is due at once, so that an agent is suspected 3 s after the
  // first missed probe regardless of the probe period.
  State.Due = Now;
}

/// Charges one probe and its reply to the budget; returns false if it is
/// exhausted.
bool FailureDetector::consumeBudget(Instant Now) {
  const Instant Spent = std::max(this->BudgetSpentUntil, Now - BudgetBurst);
  if (Spent + ProbeCost > Now) {
    return false;
  }
  this->BudgetSpentUntil = Spent + ProbeCost;
  return true;
}

void FailureDetector::send(std::size_t Index, Instant Now,
                           std::vector<DueProbe> &Out) {
  ProbeState &State = this->ProbeStates[Index];
  State.Outstanding = true;
  State.SentAt = Now;
  State.Due = Now + this->period();
  Out.push_back({this->Agents[Index].Agent, this->NextSequence});
  ++this->NextSequence;
}

} // namespace mulberryhoist
