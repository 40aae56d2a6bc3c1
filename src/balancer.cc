#include "mulberryhoist/balancer.h"

#include <algorithm>
#include <limits>

#include "mulberryhoist/routing.h"

namespace mulberryhoist {
namespace {

/// The candidates for the coordinator of a flow.
struct Candidates {
  const Service *TargetService = nullptr;
  std::span<const Assignment> Rows;
  bool EstablishedOnly = false;
};

bool acceptsOpenings(std::span<const Assignment> Rows) {
  return std::any_of(Rows.begin(), Rows.end(),
                     [](const Assignment &Row) { return Row.Weight != 0; });
}

Exclusion exclusionOf(std::span<const AgentHealth> Agents, UpstreamId Id,
                      bool EstablishedOnly) {
  const AgentHealth *Agent = findAgent(Agents, Id);
  if (Agent == nullptr) {
    return Exclusion::None;
  }
  // A draining agent can still locate owners.
  if (EstablishedOnly && !Agent->Suspected) {
    return Exclusion::None;
  }
  return Agent->exclusion();
}

/// Writes the members of the locate group as rows of equal weight. Members
/// without any live row have probably stopped and are used only if there is no
/// other.
void collectLocateGroup(const Table &InForce, Endpoint Address,
                        std::span<const AgentHealth> Agents,
                        std::vector<Assignment> &Out) {
  const std::span<const UpstreamId> Group = InForce.locateGroup(Address);
  Out.clear();
  for (const UpstreamId Id : Group) {
    if (!InForce.assignments(Id).empty() &&
        exclusionOf(Agents, Id, true) == Exclusion::None) {
      Out.push_back({{}, Id, 1});
    }
  }
  if (!Out.empty()) {
    return;
  }
  for (const UpstreamId Id : Group) {
    Out.push_back({{}, Id, 1});
  }
}

/// Finds the candidates of an address: the rows of its service, or, if the
/// service is closed or removed, the locate group. Established flows still need
/// a coordinator, which then locates their owner.
Candidates findCandidates(const Table &InForce, Endpoint Address,
                          std::span<const AgentHealth> Agents,
                          std::vector<Assignment> &GroupRows) {
  Candidates Found;
  Found.TargetService = InForce.findService(Address);
  if (Found.TargetService != nullptr) {
    Found.Rows = InForce.assignments(Found.TargetService->Id);
  }
  if (!acceptsOpenings(Found.Rows)) {
    collectLocateGroup(InForce, Address, Agents, GroupRows);
    Found.Rows = GroupRows;
    Found.EstablishedOnly = true;
  }
  return Found;
}

std::optional<UpstreamId> coordinatorOf(const Candidates &Available,
                                        const FlowKey &Key,
                                        std::span<const AgentHealth> Agents) {
  return chooseCoordinator(Available.Rows, Key, [&](UpstreamId Id) {
    return exclusionOf(Agents, Id, Available.EstablishedOnly) !=
           Exclusion::None;
  });
}

/// Chooses the coordinator for a packet of an established flow. If every
/// candidate of the service is suspected, another member of the locate group
/// can still find the owner: the address may have moved to a service that has
/// failed.
std::optional<UpstreamId> coordinatorOfEstablished(
    const Table &InForce, const FlowKey &Key, const Candidates &Available,
    std::span<const AgentHealth> Agents, std::vector<Assignment> &GroupRows) {
  const auto IsSuspected = [Agents](UpstreamId Id) {
    return exclusionOf(Agents, Id, true) != Exclusion::None;
  };
  const auto Coordinator = coordinatorOf(Available, Key, Agents);
  if (Available.EstablishedOnly ||
      (Coordinator && !IsSuspected(*Coordinator))) {
    return Coordinator;
  }
  collectLocateGroup(InForce, Key.Service, Agents, GroupRows);
  const auto Alternative = chooseCoordinator(GroupRows, Key, IsSuspected);
  return Alternative && !IsSuspected(*Alternative) ? Alternative : Coordinator;
}

bool contains(std::span<const UpstreamId> Ids, UpstreamId Id) {
  return std::find(Ids.begin(), Ids.end(), Id) != Ids.end();
}

double sortKey(const CandidateExplanation &Candidate) {
  return Candidate.Score.value_or(std::numeric_limits<double>::infinity());
}

} // namespace

FlowExplanation explainFlow(const Table &InForce,
                            std::span<const AgentHealth> Agents,
                            const FlowKey &Key) {
  std::vector<Assignment> GroupRows;
  const Candidates Available =
      findCandidates(InForce, Key.Service, Agents, GroupRows);
  FlowExplanation Explanation;
  if (Available.TargetService != nullptr) {
    Explanation.Service = Available.TargetService->Id;
  }
  Explanation.Coordinator = coordinatorOf(Available, Key, Agents);
  std::vector<Assignment> OtherRows;
  Explanation.EstablishedCoordinator =
      coordinatorOfEstablished(InForce, Key, Available, Agents, OtherRows);
  Explanation.EstablishedOnly = Available.EstablishedOnly;
  const std::uint64_t FlowHash = hashFlow(Key);
  for (const Assignment &Row : Available.Rows) {
    CandidateExplanation Candidate;
    Candidate.Upstream = Row.Upstream;
    Candidate.Weight = Row.Weight;
    if (Row.Weight != 0) {
      Candidate.Score = rendezvousScore(FlowHash, Row.Upstream, Row.Weight);
    }
    Candidate.Excluded =
        exclusionOf(Agents, Row.Upstream, Available.EstablishedOnly);
    Explanation.FailOpen =
        Explanation.FailOpen || (Row.Upstream == Explanation.Coordinator &&
                                 Candidate.Excluded != Exclusion::None);
    Explanation.Candidates.push_back(Candidate);
  }
  std::stable_sort(
      Explanation.Candidates.begin(), Explanation.Candidates.end(),
      [](const CandidateExplanation &A, const CandidateExplanation &B) {
        return sortKey(A) < sortKey(B);
      });
  return Explanation;
}

void BalancerLogic::onTable(std::shared_ptr<const Table> New, Instant Now,
                            ActionList &Out) {
  if (New == nullptr) {
    return;
  }
  if (this->InForce != nullptr &&
      isOlder(New->version(), this->InForce->version())) {
    Out.push_back(ReportError{ErrorKind::OlderTable});
    return;
  }
  this->InForce = std::move(New);
  this->RemovedCoordinators.clear();
  this->updateAgents(Now);
}

void BalancerLogic::onVms(const VmList &New, Instant Now) {
  this->PresenceByAgent.clear();
  for (const Vm &Each : New.Vms) {
    if (Each.Role == VmRole::Agent) {
      this->PresenceByAgent[Each.Data] = Each.State == VmState::Leaving
                                             ? AgentPresence::Leaving
                                             : AgentPresence::Live;
    }
  }
  this->HasVms = true;
  this->updateAgents(Now);
}

bool BalancerLogic::isAgent(Endpoint From) const {
  return this->InForce != nullptr &&
         this->InForce->findUpstream(From) != nullptr;
}

void BalancerLogic::onPacket(PacketBytes Bytes, Instant Now, ActionList &Out) {
  const auto Packet = parsePacket(Bytes);
  if (!Packet || (Packet->isOpening() && !Packet->Payload.empty())) {
    Out.push_back(ReportError{ErrorKind::MalformedPacket});
    return;
  }
  if (Packet->isOpening() && Now < this->DropOpeningsUntil) {
    ++this->DroppedOpeningCount;
    return;
  }
  if (this->InForce == nullptr) {
    Out.push_back(ReportError{ErrorKind::UnknownAddress});
    return;
  }
  const FlowKey Key = Packet->callerFlow();
  const Candidates Available = findCandidates(
      *this->InForce, Key.Service, this->Detector.agents(), this->GroupRows);
  if (Packet->isOpening() && Available.TargetService == nullptr) {
    Out.push_back(ReportError{ErrorKind::UnknownAddress});
    return;
  }
  const auto Coordinator =
      Packet->isOpening()
          ? coordinatorOf(Available, Key, this->Detector.agents())
          : coordinatorOfEstablished(*this->InForce, Key, Available,
                                     this->Detector.agents(), this->GroupRows);
  const Upstream *Target =
      Coordinator ? this->InForce->findUpstream(*Coordinator) : nullptr;
  if (Target == nullptr) {
    Out.push_back(ReportError{ErrorKind::UnknownAddress});
    return;
  }
  if (this->InForce->assignments(Target->Id).empty()) {
    this->probeRemovedCoordinator(Target->Id, Now);
  }
  Forward Body;
  Body.Opening = Packet->isOpening();
  Body.Service = Available.TargetService == nullptr
                     ? ServiceId{}
                     : Available.TargetService->Id;
  Body.Coordinator = Target->Id;
  Body.Table = this->InForce->version();
  Out.push_back(SendMessage{Target->Agent, Body, Bytes});
}

void BalancerLogic::onDatagram(Endpoint From, const Message &Body,
                               Instant /*Now*/, ActionList &Out) {
  const Upstream *Sender =
      this->InForce == nullptr ? nullptr : this->InForce->findUpstream(From);
  if (Sender == nullptr) {
    Out.push_back(ReportError{ErrorKind::UnknownAddress});
    return;
  }
  const auto *Reply = std::get_if<ProbeReply>(&Body);
  if (Reply == nullptr) {
    this->Detector.onReceived(Sender->Id);
    Out.push_back(ReportError{ErrorKind::MalformedMessage});
    return;
  }
  // An agent with another name at this endpoint refuses the flows of the
  // upstream in the table, so its reply must not clear the suspicion.
  if (Reply->Upstream != Sender->Id) {
    Out.push_back(ReportError{ErrorKind::WrongService});
    return;
  }
  this->Detector.onReply(Sender->Id, Reply->Sequence, Reply->Draining,
                         Reply->Load);
}

void BalancerLogic::onTick(Instant Now, ActionList &Out) {
  this->Probes.clear();
  this->Detector.onTick(Now, this->Probes);
  for (const DueProbe &Due : this->Probes) {
    Out.push_back(SendMessage{Due.To, Probe{Due.Sequence}, {}});
  }
}

void BalancerLogic::onPause(Instant Now) {
  this->Detector.onPause(Now);
  this->DropOpeningsUntil = Now + MaxOpeningDropTime;
}

void BalancerLogic::updateAgents(Instant Now) {
  if (this->InForce == nullptr) {
    return;
  }
  std::vector<ProbeTarget> Targets;
  for (const Upstream &Each : this->InForce->upstreams()) {
    if (!this->InForce->assignments(Each.Id).empty()) {
      Targets.push_back({Each.Id, Each.Agent, this->presenceOf(Each.Agent)});
    }
  }
  for (const UpstreamId Id : this->RemovedCoordinators) {
    if (const Upstream *Each = this->InForce->findUpstream(Id)) {
      Targets.push_back({Id, Each->Agent, this->presenceOf(Each->Agent)});
    }
  }
  this->Detector.setAgents(Targets, Now);
}

void BalancerLogic::probeRemovedCoordinator(UpstreamId Id, Instant Now) {
  if (!contains(this->RemovedCoordinators, Id)) {
    this->RemovedCoordinators.push_back(Id);
    this->updateAgents(Now);
  }
}

AgentPresence BalancerLogic::presenceOf(Endpoint Agent) const {
  if (!this->HasVms) {
    return AgentPresence::Unknown;
  }
  const auto Found = this->PresenceByAgent.find(Agent);
  return Found == this->PresenceByAgent.end() ? AgentPresence::Unlisted
                                              : Found->second;
}

} // namespace mulberryhoist
