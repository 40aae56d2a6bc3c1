#include "mulberryhoist/steering.h"

#include <algorithm>
#include <array>

#include "mulberryhoist/routing.h"

namespace mulberryhoist {
namespace {

/// A candidate with its rendezvous score; the lowest score comes first.
struct RankedCandidate {
  double Score = 0;
  Candidate Target;
  /// Sorted after all candidates that are not deferred.
  bool IsDeferred = false;
};

/// A list of candidates, best first.
using RankedCandidates = std::vector<RankedCandidate>;

/// Selects the service of a flow by the weights of the route's targets; every
/// balancer selects the same one.
ServiceId chooseService(const Route &From, const FlowKey &Key) {
  if (From.Targets.size() == 1) {
    return From.Targets.front().Service;
  }
  std::uint64_t Total = 0;
  for (const RouteTarget &Each : From.Targets) {
    Total += Each.Weight;
  }
  std::uint64_t Remainder = hashFlow(Key) % std::max<std::uint64_t>(Total, 1);
  for (const RouteTarget &Each : From.Targets) {
    if (Remainder < Each.Weight) {
      return Each.Service;
    }
    Remainder -= Each.Weight;
  }
  return From.Targets.front().Service;
}

/// Sorts the list and keeps one entry for each agent: an upstream that
/// restarted is listed twice until its old entry expires.
void sortAndDeduplicate(RankedCandidates &List) {
  std::ranges::sort(
      List, [](const RankedCandidate &A, const RankedCandidate &B) {
        return A.IsDeferred != B.IsDeferred ? B.IsDeferred : A.Score < B.Score;
      });
  std::vector<std::uint32_t> Seen;
  std::erase_if(List, [&Seen](const RankedCandidate &Each) {
    const bool IsDuplicate =
        std::ranges::find(Seen, Each.Target.Agent) != Seen.end();
    Seen.push_back(Each.Target.Agent);
    return IsDuplicate;
  });
}

/// Appends the upstreams of a service for which `Accepts` is true; those for
/// which `Defers` is true are sorted last.
template <typename Filter, typename Deferral>
void appendCandidates(const Directory &From, ServiceId Service,
                      const FlowKey &Key, const Filter &Accepts,
                      const Deferral &Defers, RankedCandidates &Out) {
  const std::uint64_t FlowHash = hashFlow(Key);
  for (const ListedUpstream &Each : From.upstreams(Service)) {
    if (Accepts(Each)) {
      Out.push_back({rendezvousScore(FlowHash, Each.Id, Each.Slots),
                     {Each.Address, Each.Slots},
                     Defers(Each)});
    }
  }
}

/// Fills the header's list of further candidates and the slots of the first.
void setAlternatives(const RankedCandidates &Order, std::size_t Limit,
                     Steer &Header) {
  for (std::size_t I = 1; I < std::min(Order.size(), Limit); ++I) {
    if (!Header.Next.add(Order[I].Target)) {
      break;
    }
  }
  Header.Slots = Order.front().Target.Slots;
}

RecordDecision record(Decision Kind, const FlowKey &Flow,
                      std::uint32_t Agent = 0) {
  RecordDecision Record;
  Record.Kind = Kind;
  Record.Flow = Flow;
  Record.Agent = Agent;
  return Record;
}

} // namespace

SteeringLogic::SteeringLogic(SteeringSettings Settings) : Settings(Settings) {}

void SteeringLogic::onDirectory(std::shared_ptr<const Directory> Next) {
  this->InForce = std::move(Next);
  std::erase_if(this->Agents, [this](const auto &Each) {
    return !this->InForce->hasAgent(Each.first);
  });
}

void SteeringLogic::onCallerPacket(const RoutedPacket &Packet, Instant Now,
                                   SteerActionList &Out) {
  if (this->InForce == nullptr) {
    return;
  }
  if (Packet.View.isOpening()) {
    this->onOpening(Packet, Now, Out);
  } else {
    this->onFlowPacket(Packet, Now, Out);
  }
}

void SteeringLogic::sendTo(std::uint32_t Agent, const Steer &Header,
                           PacketBytes Bytes, SteerActionList &Out) const {
  Out.emplace_back(SendSteer{{Agent, this->Settings.PeerPort}, Header, Bytes});
}

void SteeringLogic::onOpening(const RoutedPacket &Packet, Instant Now,
                              SteerActionList &Out) {
  const FlowKey Key = Packet.View.callerFlow();
  const Route *Matched = this->InForce->findRoute(Key.Service);
  if (Matched == nullptr) {
    Out.emplace_back(record(Decision::RefusedNoRoute, Key));
    Out.emplace_back(RejectOpening{Key});
    return;
  }
  Steer Header;
  const ServiceId Service = chooseService(*Matched, Key);
  (void)Header.Services.add(Service);
  Header.Balancer = this->Settings.Address;
  Header.Notify = true;
  Header.Goal = Matched->Goal;
  Header.Timeout = Matched->Timeout;
  Header.Class = Matched->Class;
  if (const FlowOwners *Owners = this->findOwners(Key);
      Owners != nullptr && Owners->Initial == Packet.View.Sequence) {
    Header.Final = true;
    Out.emplace_back(
        record(Decision::OpeningRepeated, Key, Owners->First.Agent));
    this->sendTo(Owners->First.Agent, Header, Packet.Bytes, Out);
    return;
  }
  RankedCandidates Order;
  appendCandidates(
      *this->InForce, Service, Key,
      [](const ListedUpstream &Each) {
        return Each.State == UpstreamState::Ready;
      },
      [this](const ListedUpstream &Each) {
        return this->avoidance(Each.Address) != Avoidance::None;
      },
      Order);
  if (Order.empty()) {
    Out.emplace_back(record(Decision::RefusedNoUpstream, Key));
    Out.emplace_back(RejectOpening{Key});
    return;
  }
  sortAndDeduplicate(Order);
  const auto Avoided = std::ranges::find_if(
      Order, [](const RankedCandidate &Each) { return Each.IsDeferred; });
  // If all agents are avoided, they are candidates nevertheless: an avoided
  // agent may still accept the opening.
  if (Avoided != Order.begin()) {
    Order.erase(Avoided, Order.end());
  }
  setAlternatives(Order, MaxOpeningCandidates, Header);
  const Candidate First = Order.front().Target;
  Out.emplace_back(record(Decision::OpeningSent, Key, First.Agent));
  this->sendTo(First.Agent, Header, Packet.Bytes, Out);
  if (this->UnansweredOpenings.size() >= MaxUnansweredOpenings) {
    return;
  }
  const auto [Found, IsNew] = this->UnansweredOpenings.try_emplace(Key);
  UnansweredOpening &Each = Found->second;
  // The caller's retransmission keeps the scheduled resend of the original.
  const bool IsScheduled = !IsNew && Each.Initial == Packet.View.Sequence;
  Each.Bytes.assign(Packet.Bytes.begin(), Packet.Bytes.end());
  Each.Initial = Packet.View.Sequence;
  Each.Header = Header;
  Each.First = First;
  Each.SentAt = Now;
  Each.Resends = 0;
  if (!IsScheduled) {
    this->ResendQueue.push_back({Now + ResendDelay, Key, Each.Initial});
  }
}

void SteeringLogic::onFlowPacket(const RoutedPacket &Packet, Instant Now,
                                 SteerActionList &Out) {
  const FlowKey Key = Packet.View.callerFlow();
  FlowOwners *Owners = this->findOwners(Key);
  if (Owners == nullptr) {
    this->locateOwner(Packet, Now, Out);
    return;
  }
  if (!Owners->IsAcknowledged && Owners->Second.Agent != 0 &&
      Packet.View.Flags.Ack) {
    // The acknowledgment number shows which upstream's SYN-ACK the caller
    // accepted.
    if (Packet.View.Acknowledgment == Owners->Second.Sequence + 1) {
      std::swap(Owners->First, Owners->Second);
      Owners->IsAcknowledged = true;
    } else if (Packet.View.Acknowledgment == Owners->First.Sequence + 1) {
      Owners->IsAcknowledged = true;
    }
  }
  Steer Header;
  Header.Services = Owners->Services;
  Header.Balancer = this->Settings.Address;
  Header.Final = true;
  if (Owners->Second.Agent != 0) {
    (void)Header.Next.add({Owners->Second.Agent, 1});
  }
  this->sendTo(Owners->First.Agent, Header, Packet.Bytes, Out);
}

void SteeringLogic::locateOwner(const RoutedPacket &Packet, Instant Now,
                                SteerActionList &Out) {
  const FlowKey Key = Packet.View.callerFlow();
  const Route *Matched = this->InForce->findRoute(Key.Service);
  if (Matched == nullptr) {
    Out.emplace_back(record(Decision::PacketWithoutRoute, Key));
    return;
  }
  Steer Header;
  Header.Balancer = this->Settings.Address;
  Header.Notify = true;
  Header.Final = true;
  RankedCandidates Order;
  for (const RouteTarget &Each : Matched->Targets) {
    if (!Header.Services.add(Each.Service)) {
      break;
    }
    appendCandidates(
        *this->InForce, Each.Service, Key,
        [](const ListedUpstream & /*Each*/) { return true; },
        [this](const ListedUpstream &Listed) {
          return Listed.State == UpstreamState::Gone ||
                 this->avoidance(Listed.Address) == Avoidance::Suspected;
        },
        Order);
  }
  if (Order.empty()) {
    Out.emplace_back(record(Decision::PacketWithoutRoute, Key));
    return;
  }
  sortAndDeduplicate(Order);
  setAlternatives(Order, MaxSteerCandidates, Header);
  const bool IsWhole = Header.Next.size() + 1 == Order.size() &&
                       Header.Services.size() == Matched->Targets.size();
  if (IsWhole && !Packet.View.Flags.Rst) {
    Header.Search = this->InForce->completeness().Additions;
  }
  const std::uint32_t First = Order.front().Target.Agent;
  Out.emplace_back(record(Decision::OwnerSought, Key, First));
  this->sendTo(First, Header, Packet.Bytes, Out);
  // The owner answers data; other packets may stay without an answer.
  if (!Packet.View.Payload.empty() && this->Searches.size() < MaxSearches &&
      this->Searches.try_emplace(Key, Now).second) {
    this->SearchQueue.push_back({Key, Now});
  }
}

void SteeringLogic::forgetOwner(const FlowKey &Key, std::uint32_t Agent,
                                SteerActionList &Out) {
  const FlowOwners *Owners = this->findOwners(Key);
  if (Owners != nullptr &&
      (Owners->First.Agent == Agent || Owners->Second.Agent == Agent)) {
    this->RecentOwners.erase(Key);
    Out.emplace_back(record(Decision::OwnerForgotten, Key, Agent));
  }
}

bool SteeringLogic::isListingComplete(const Route &Matched, Instant Now) const {
  const auto &SettledAt = this->InForce->completeness().SettledAt;
  if (!SettledAt) {
    return false;
  }
  if (Now >= *SettledAt) {
    return true;
  }
  // Before that, an upstream that lives may not have registered again after an
  // outage of the source. If all others have just restarted together with the
  // balancer, the VMs have lost power, and so has that one.
  const bool IsRecentStart =
      this->Settings.StartedAtUnix.count() != 0 &&
      *SettledAt - ReregistrationGrace - this->Settings.StartedAt <=
          JointRestartSpan;
  if (!IsRecentStart) {
    return false;
  }
  return std::ranges::all_of(Matched.Targets, [this](const RouteTarget &Each) {
    const auto Listed = this->InForce->upstreams(Each.Service);
    return !Listed.empty() &&
           std::ranges::all_of(Listed, [this](const ListedUpstream &Upstream) {
             return Upstream.State == UpstreamState::Gone ||
                    Upstream.StartedAt + JointRestartSpan >=
                        this->Settings.StartedAtUnix;
           });
  });
}

void SteeringLogic::onNotHeld(Endpoint From, const NotHeld &Body, Instant Now,
                              SteerActionList &Out) {
  this->Searches.erase(Body.Flow);
  if (this->InForce == nullptr) {
    return;
  }
  if (Body.Search == 0) {
    this->forgetOwner(Body.Flow, From.Address, Out);
    return;
  }
  const Route *Matched = this->InForce->findRoute(Body.Flow.Service);
  const bool MayReset =
      Matched != nullptr &&
      Body.Search == this->InForce->completeness().Additions &&
      this->FlowsNotHeld.size() < MaxSearches &&
      this->isListingComplete(*Matched, Now);
  Out.emplace_back(
      record(MayReset ? Decision::FlowNotHeld : Decision::FlowNotHeldIgnored,
             Body.Flow, From.Address));
  if (MayReset) {
    this->FlowsNotHeld.insert_or_assign(
        Body.Flow, FlowNotHeld{Body.Search, Body.Acknowledgment, Now});
    this->NeedsConfirmation = true;
  }
}

void SteeringLogic::onConfirmation(const Confirmation &Latest,
                                   SteerActionList &Out) {
  std::erase_if(this->FlowsNotHeld, [&](const auto &Entry) {
    const auto &[Flow, Each] = Entry;
    if (Each.ReportedAt > Latest.ReadAt) {
      return false;
    }
    const bool MayReset =
        Each.Search == Latest.Additions && this->findOwners(Flow) == nullptr;
    Out.emplace_back(record(
        MayReset ? Decision::FlowReset : Decision::FlowNotHeldIgnored, Flow));
    if (MayReset) {
      Out.emplace_back(ResetFlow{Flow, Each.Acknowledgment});
    }
    return true;
  });
}

void SteeringLogic::expireSearches(Instant Now, SteerActionList &Out) {
  while (!this->SearchQueue.empty() &&
         Now - this->SearchQueue.front().SentAt >= SearchTimeout) {
    const Search Oldest = this->SearchQueue.front();
    this->SearchQueue.pop_front();
    const auto Found = this->Searches.find(Oldest.Flow);
    if (Found != this->Searches.end() && Found->second == Oldest.SentAt) {
      this->Searches.erase(Found);
      RecordDecision Record = record(Decision::SearchUnanswered, Oldest.Flow);
      Record.Age = Now - Oldest.SentAt;
      Out.emplace_back(Record);
    }
  }
  std::erase_if(this->FlowsNotHeld, [&](const auto &Entry) {
    const bool IsExpired = Now - Entry.second.ReportedAt >= ConfirmationTimeout;
    if (IsExpired) {
      Out.emplace_back(record(Decision::FlowNotHeldIgnored, Entry.first));
    }
    return IsExpired;
  });
}

SteeringLogic::FlowOwners *SteeringLogic::findOwners(const FlowKey &Key) {
  const auto Found = this->RecentOwners.find(Key);
  if (Found != this->RecentOwners.end()) {
    return &Found->second;
  }
  const auto Aged = this->OlderOwners.find(Key);
  if (Aged == this->OlderOwners.end()) {
    return nullptr;
  }
  FlowOwners &Moved = this->RecentOwners[Key];
  Moved = Aged->second;
  this->OlderOwners.erase(Aged);
  return &Moved;
}

SteeringLogic::FlowOwners &SteeringLogic::addOwners(const FlowKey &Key,
                                                    Instant Now) {
  if (Now >= this->RotateAt || this->RecentOwners.size() >= MaxOwners) {
    this->OlderOwners = std::exchange(this->RecentOwners, {});
    this->RotateAt = Now + OwnerRetention;
  }
  return this->RecentOwners[Key];
}

void SteeringLogic::onTaken(Endpoint From, const Taken &Body, Instant Now,
                            SteerActionList &Out) {
  this->onAgentResponse(From.Address, Body.Leaving, Now, Out);
  const FlowKey &Key = Body.Flow.Key;
  this->Searches.erase(Key);
  RecordDecision Record = record(Decision::OwnerLearned, Key, From.Address);
  Record.Load = Body.Load;
  ServiceList Services;
  const auto Opening = this->UnansweredOpenings.find(Key);
  if (Opening != this->UnansweredOpenings.end() &&
      Opening->second.Initial == Body.Flow.Initial) {
    Services = Opening->second.Header.Services;
    Record.Age = Now - Opening->second.SentAt;
    Out.emplace_back(ObserveLatency{Record.Age});
    this->UnansweredOpenings.erase(Opening);
  } else if (this->InForce != nullptr) {
    if (const Route *Matched = this->InForce->findRoute(Key.Service)) {
      for (const RouteTarget &Each : Matched->Targets) {
        (void)Services.add(Each.Service);
      }
    }
  }
  FlowOwners *Owners = this->findOwners(Key);
  const bool IsNew =
      Owners == nullptr ||
      (Owners->Initial != Body.Flow.Initial && Body.Flow.Initial != 0);
  if (Owners == nullptr) {
    Owners = &this->addOwners(Key, Now);
  }
  if (IsNew) {
    if (Services.empty()) {
      return;
    }
    *Owners = FlowOwners();
    Owners->Initial = Body.Flow.Initial;
    Owners->Services = Services;
    Owners->First = {From.Address, Body.Sequence};
    Out.emplace_back(Record);
    return;
  }
  if (Owners->First.Agent == From.Address) {
    Owners->First.Sequence = Body.Sequence;
  } else if (Owners->Second.Agent != From.Address) {
    Owners->Second = {From.Address, Body.Sequence};
    Out.emplace_back(Record);
  }
}

void SteeringLogic::onRefused(Endpoint From, const Refused &Body, Instant Now,
                              SteerActionList &Out) {
  this->onAgentResponse(From.Address, false, Now, Out);
  const auto Opening = this->UnansweredOpenings.find(Body.Flow.Key);
  if (Opening == this->UnansweredOpenings.end() ||
      Opening->second.Initial != Body.Flow.Initial) {
    return;
  }
  RecordDecision Record =
      record(Decision::RefusalLearned, Body.Flow.Key, From.Address);
  Record.Age = Now - Opening->second.SentAt;
  Out.emplace_back(Record);
  this->UnansweredOpenings.erase(Opening);
}

Avoidance SteeringLogic::avoidance(std::uint32_t Agent) const {
  const auto Found = this->Agents.find(Agent);
  return Found == this->Agents.end() ? Avoidance::None : Found->second.Avoided;
}

void SteeringLogic::onAgentResponse(std::uint32_t Agent, bool Leaving,
                                    Instant Now, SteerActionList &Out) {
  AgentHealth &Health = this->Agents[Agent];
  const Duration Since = Now - Health.LastReceivedAt;
  Health.LastReceivedAt = Now;
  Health.IsCheckPending = false;
  Health.MissedChecks = 0;
  if (Leaving) {
    this->avoid(Agent, Avoidance::Leaving, Duration::zero(), Out);
    return;
  }
  if (Health.Avoided != Avoidance::None) {
    Health.Avoided = Avoidance::None;
    RecordDecision Record = record(Decision::AgentRegained, {}, Agent);
    Record.Age = Since;
    Out.emplace_back(Record);
  }
}

void SteeringLogic::avoid(std::uint32_t Agent, Avoidance Reason, Duration Age,
                          SteerActionList &Out) {
  AgentHealth &Health = this->Agents[Agent];
  if (Health.Avoided == Reason) {
    return;
  }
  Health.Avoided = Reason;
  if (!this->NextCheckAt) {
    this->NextCheckAt = Health.CheckSentAt + AvoidedCheckPeriod;
  }
  RecordDecision Record =
      record(Reason == Avoidance::Leaving ? Decision::AgentLeaving
                                          : Decision::AgentSuspected,
             {}, Agent);
  Record.Age = Age;
  Out.emplace_back(Record);
}

void SteeringLogic::onCheckReply(Endpoint From, const CheckReply &Body,
                                 Instant Now, SteerActionList &Out) {
  this->onAgentResponse(From.Address, Body.Leaving, Now, Out);
}

void SteeringLogic::sendCheck(std::uint32_t Agent, Instant Now,
                              SteerActionList &Out) {
  AgentHealth &Health = this->Agents[Agent];
  if (Health.IsCheckPending) {
    return;
  }
  Health.IsCheckPending = true;
  Health.CheckSentAt = Now;
  Out.emplace_back(SendSteer{
      {Agent, this->Settings.PeerPort}, Check{this->NextCheckSequence++}, {}});
  const Instant DueAt = Now + CheckTimeout;
  this->NextCheckAt =
      this->NextCheckAt ? std::min(*this->NextCheckAt, DueAt) : DueAt;
}

void SteeringLogic::checkCandidates(const UnansweredOpening &Each, Instant Now,
                                    SteerActionList &Out) {
  this->sendCheck(Each.First.Agent, Now, Out);
  for (const Candidate &Next : Each.Header.Next.view()) {
    this->sendCheck(Next.Agent, Now, Out);
  }
}

void SteeringLogic::resend(UnansweredOpening &Each, const FlowKey &Key,
                           Instant Now, SteerActionList &Out) {
  // Visits the candidates in reverse, so that the agent that lost the opening
  // comes late.
  Steer Header = Each.Header;
  Header.Next = {};
  const auto Others = Each.Header.Next.view();
  Candidate First = Each.First;
  if (!Others.empty()) {
    First = Others.back();
    for (std::size_t I = Others.size() - 1; I > 0; --I) {
      (void)Header.Next.add(Others[I - 1]);
    }
    (void)Header.Next.add(Each.First);
  }
  Header.Slots = First.Slots;
  RecordDecision Record = record(Decision::OpeningResent, Key, First.Agent);
  Record.Age = Now - Each.SentAt;
  Out.emplace_back(Record);
  Each.Header = Header;
  Each.First = First;
  this->sendTo(First.Agent, Header, Each.Bytes, Out);
}

void SteeringLogic::resendOverdue(Instant Now, SteerActionList &Out) {
  while (!this->ResendQueue.empty() && this->ResendQueue.front().At <= Now) {
    const ResendDeadline Next = this->ResendQueue.front();
    this->ResendQueue.pop_front();
    const auto Found = this->UnansweredOpenings.find(Next.Flow);
    if (Found == this->UnansweredOpenings.end() ||
        Found->second.Initial != Next.Initial) {
      continue;
    }
    UnansweredOpening &Each = Found->second;
    this->checkCandidates(Each, Now, Out);
    if (Each.Resends == MaxResends) {
      this->UnansweredOpenings.erase(Found);
      continue;
    }
    ++Each.Resends;
    this->resend(Each, Next.Flow, Now, Out);
    this->ResendQueue.push_back({Now + ResendDelay, Next.Flow, Next.Initial});
  }
}

void SteeringLogic::processChecks(Instant Now, SteerActionList &Out) {
  if (!this->NextCheckAt || Now < *this->NextCheckAt) {
    return;
  }
  this->NextCheckAt.reset();
  for (auto &[Agent, Health] : this->Agents) {
    if (Health.IsCheckPending && Now - Health.CheckSentAt >= CheckTimeout) {
      Health.IsCheckPending = false;
      ++Health.MissedChecks;
      if (Health.MissedChecks >= SuspectedAfterChecks) {
        this->avoid(Agent, Avoidance::Suspected, Now - Health.LastReceivedAt,
                    Out);
      } else {
        this->sendCheck(Agent, Now, Out);
      }
    } else if (Health.IsCheckPending) {
      const Instant DueAt = Health.CheckSentAt + CheckTimeout;
      this->NextCheckAt =
          this->NextCheckAt ? std::min(*this->NextCheckAt, DueAt) : DueAt;
    }
    if (Health.Avoided == Avoidance::None || Health.IsCheckPending) {
      continue;
    }
    const Instant NextAt = Health.CheckSentAt + AvoidedCheckPeriod;
    if (Now >= NextAt) {
      this->sendCheck(Agent, Now, Out);
    } else {
      this->NextCheckAt =
          this->NextCheckAt ? std::min(*this->NextCheckAt, NextAt) : NextAt;
    }
  }
}

void SteeringLogic::detectPause(Instant Now, SteerActionList &Out) {
  const bool Paused =
      this->LastTickAt && Now - *this->LastTickAt > SteeringPauseThreshold;
  if (Paused) {
    RecordDecision Record = record(Decision::PauseNoticed, {});
    Record.Age = Now - *this->LastTickAt;
    Out.emplace_back(Record);
    for (ResendDeadline &Each : this->ResendQueue) {
      Each.At = Now + ResendDelay;
    }
    for (auto &[Agent, Health] : this->Agents) {
      Health.CheckSentAt = Now;
    }
  }
  this->LastTickAt = Now;
}

void SteeringLogic::onTick(Instant Now, SteerActionList &Out) {
  this->detectPause(Now, Out);
  this->resendOverdue(Now, Out);
  this->processChecks(Now, Out);
  this->expireSearches(Now, Out);
}

std::optional<Instant> SteeringLogic::nextDue() const {
  std::optional<Instant> Next = this->NextCheckAt;
  if (!this->ResendQueue.empty()) {
    const Instant At = this->ResendQueue.front().At;
    Next = Next ? std::min(*Next, At) : At;
  }
  if (!this->SearchQueue.empty()) {
    const Instant At = this->SearchQueue.front().SentAt + SearchTimeout;
    Next = Next ? std::min(*Next, At) : At;
  }
  return Next;
}

} // namespace mulberryhoist
