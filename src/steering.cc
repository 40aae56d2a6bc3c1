#include "mulberryhoist/steering.h"

#include <algorithm>
#include <array>

#include "mulberryhoist/routing.h"

namespace mulberryhoist {
namespace {

struct Ranked {
  double Score = 0;
  Candidate Who;
  bool Last = false;
};

/// A list of candidates, best first.
using RankedList = std::vector<Ranked>;

/// Splits the flows of a route over its targets, the same on every balancer.
ServiceId chooseService(const Route &Where, const FlowKey &Key) {
  if (Where.Targets.size() == 1) {
    return Where.Targets.front().Service;
  }
  std::uint64_t Total = 0;
  for (const RouteTarget &Each : Where.Targets) {
    Total += Each.Weight;
  }
  std::uint64_t Place = hashFlow(Key) % std::max<std::uint64_t>(Total, 1);
  for (const RouteTarget &Each : Where.Targets) {
    if (Place < Each.Weight) {
      return Each.Service;
    }
    Place -= Each.Weight;
  }
  return Where.Targets.front().Service;
}

/// Sorts the list and leaves one entry for each agent: an upstream that
/// restarted is listed twice until its old entry lapses.
void sortRanked(RankedList &List) {
  std::ranges::sort(List, [](const Ranked &A, const Ranked &B) {
    return A.Last != B.Last ? B.Last : A.Score < B.Score;
  });
  std::vector<std::uint32_t> Seen;
  std::erase_if(List, [&Seen](const Ranked &Each) {
    const bool IsKnown = std::ranges::find(Seen, Each.Who.Agent) != Seen.end();
    Seen.push_back(Each.Who.Agent);
    return IsKnown;
  });
}

/// Adds the upstreams of a service that `Accepts` takes.
template <typename Filter, typename Postpone>
void rank(const Directory &From, ServiceId Service, const FlowKey &Key,
          const Filter &Accepts, const Postpone &ComesLast, RankedList &Out) {
  const std::uint64_t FlowHash = hashFlow(Key);
  for (const ListedUpstream &Each : From.upstreams(Service)) {
    if (Accepts(Each)) {
      Out.push_back({rendezvousScore(FlowHash, Each.Id, Each.Slots),
                     {Each.Address, Each.Slots},
                     ComesLast(Each)});
    }
  }
}

/// Moves the candidates after the first into the header.
void setNext(const RankedList &Order, std::size_t Limit, Steer &Header) {
  for (std::size_t I = 1; I < std::min(Order.size(), Limit); ++I) {
    if (!Header.Next.add(Order[I].Who)) {
      break;
    }
  }
  Header.Slots = Order.front().Who.Slots;
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
    this->onFlowPacket(Packet, Out);
  }
}

void SteeringLogic::sendTo(std::uint32_t Agent, const Steer &Header,
                           PacketBytes Bytes, SteerActionList &Out) const {
  Out.emplace_back(SendSteer{{Agent, this->Settings.PeerPort}, Header, Bytes});
}

void SteeringLogic::onOpening(const RoutedPacket &Packet, Instant Now,
                              SteerActionList &Out) {
  const FlowKey Key = Packet.View.callerFlow();
  const Route *Where = this->InForce->findRoute(Key.Service);
  if (Where == nullptr) {
    Out.emplace_back(record(Decision::RefusedNoRoute, Key));
    Out.emplace_back(RejectOpening{Key});
    return;
  }
  Steer Header;
  const ServiceId Service = chooseService(*Where, Key);
  (void)Header.Services.add(Service);
  Header.Balancer = this->Settings.Address;
  Header.Notify = true;
  Header.Goal = Where->Goal;
  Header.Timeout = Where->Timeout;
  Header.Class = Where->Class;
  if (const Holders *Known = this->findHolders(Key);
      Known != nullptr && Known->Initial == Packet.View.Sequence) {
    Header.Final = true;
    Out.emplace_back(
        record(Decision::OpeningRepeated, Key, Known->First.Agent));
    this->sendTo(Known->First.Agent, Header, Packet.Bytes, Out);
    return;
  }
  RankedList Order;
  rank(
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
  sortRanked(Order);
  const auto Avoided =
      std::ranges::find_if(Order, [](const Ranked &Each) { return Each.Last; });
  // When all are avoided, a doubtful one is better than none.
  if (Avoided != Order.begin()) {
    Order.erase(Avoided, Order.end());
  }
  setNext(Order, MaxOpeningCandidates, Header);
  const Candidate First = Order.front().Who;
  Out.emplace_back(record(Decision::OpeningSent, Key, First.Agent));
  this->sendTo(First.Agent, Header, Packet.Bytes, Out);
  if (this->Waiting.size() >= MaxWaitingOpenings) {
    return;
  }
  const auto [Found, IsNew] = this->Waiting.try_emplace(Key);
  WaitingOpening &Each = Found->second;
  // A copy of the caller takes over the schedule of the first one.
  const bool IsScheduled = !IsNew && Each.Initial == Packet.View.Sequence;
  Each.Bytes.assign(Packet.Bytes.begin(), Packet.Bytes.end());
  Each.Initial = Packet.View.Sequence;
  Each.Header = Header;
  Each.First = First;
  Each.SentAt = Now;
  Each.Resends = 0;
  if (!IsScheduled) {
    this->DueOpenings.push_back({Now + ResendDelay, Key, Each.Initial});
  }
}

void SteeringLogic::onFlowPacket(const RoutedPacket &Packet,
                                 SteerActionList &Out) {
  const FlowKey Key = Packet.View.callerFlow();
  Holders *Known = this->findHolders(Key);
  if (Known == nullptr) {
    this->seek(Packet, Out);
    return;
  }
  if (!Known->Chosen && Known->Second.Agent != 0 && Packet.View.Flags.Ack) {
    // The caller acknowledges the upstream that it chose.
    if (Packet.View.Acknowledgment == Known->Second.Sequence + 1) {
      std::swap(Known->First, Known->Second);
      Known->Chosen = true;
    } else if (Packet.View.Acknowledgment == Known->First.Sequence + 1) {
      Known->Chosen = true;
    }
  }
  Steer Header;
  Header.Services = Known->Services;
  Header.Balancer = this->Settings.Address;
  Header.Final = true;
  if (Known->Second.Agent != 0) {
    (void)Header.Next.add({Known->Second.Agent, 1});
  }
  this->sendTo(Known->First.Agent, Header, Packet.Bytes, Out);
}

void SteeringLogic::seek(const RoutedPacket &Packet, SteerActionList &Out) {
  const FlowKey Key = Packet.View.callerFlow();
  const Route *Where = this->InForce->findRoute(Key.Service);
  if (Where == nullptr) {
    Out.emplace_back(record(Decision::PacketWithoutRoute, Key));
    return;
  }
  Steer Header;
  Header.Balancer = this->Settings.Address;
  Header.Notify = true;
  Header.Final = true;
  RankedList Order;
  for (const RouteTarget &Each : Where->Targets) {
    if (!Header.Services.add(Each.Service)) {
      break;
    }
    rank(
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
  sortRanked(Order);
  setNext(Order, MaxSteerCandidates, Header);
  const std::uint32_t First = Order.front().Who.Agent;
  Out.emplace_back(record(Decision::OwnerSought, Key, First));
  this->sendTo(First, Header, Packet.Bytes, Out);
}

SteeringLogic::Holders *SteeringLogic::findHolders(const FlowKey &Key) {
  const auto Found = this->Young.find(Key);
  if (Found != this->Young.end()) {
    return &Found->second;
  }
  const auto Aged = this->Old.find(Key);
  if (Aged == this->Old.end()) {
    return nullptr;
  }
  Holders &Moved = this->Young[Key];
  Moved = Aged->second;
  this->Old.erase(Aged);
  return &Moved;
}

SteeringLogic::Holders &SteeringLogic::makeHolders(const FlowKey &Key,
                                                   Instant Now) {
  if (Now >= this->RotateAt || this->Young.size() >= MaxHolders) {
    this->Old = std::exchange(this->Young, {});
    this->RotateAt = Now + HolderRetention;
  }
  return this->Young[Key];
}

void SteeringLogic::onTaken(Endpoint From, const Taken &Body, Instant Now,
                            SteerActionList &Out) {
  this->hear(From.Address, Body.Leaving, Now, Out);
  const FlowKey &Key = Body.Flow.Key;
  RecordDecision Record = record(Decision::OwnerLearned, Key, From.Address);
  Record.Load = Body.Load;
  ServiceList Services;
  const auto Open = this->Waiting.find(Key);
  if (Open != this->Waiting.end() &&
      Open->second.Initial == Body.Flow.Initial) {
    Services = Open->second.Header.Services;
    Record.Age = Now - Open->second.SentAt;
    Out.emplace_back(ObserveLatency{Record.Age});
    this->Waiting.erase(Open);
  } else if (this->InForce != nullptr) {
    if (const Route *Where = this->InForce->findRoute(Key.Service)) {
      for (const RouteTarget &Each : Where->Targets) {
        (void)Services.add(Each.Service);
      }
    }
  }
  Holders *Known = this->findHolders(Key);
  const bool IsNew = Known == nullptr || (Known->Initial != Body.Flow.Initial &&
                                          Body.Flow.Initial != 0);
  if (Known == nullptr) {
    Known = &this->makeHolders(Key, Now);
  }
  if (IsNew) {
    if (Services.empty()) {
      return;
    }
    *Known = Holders();
    Known->Initial = Body.Flow.Initial;
    Known->Services = Services;
    Known->First = {From.Address, Body.Sequence};
    Out.emplace_back(Record);
    return;
  }
  if (Known->First.Agent == From.Address) {
    Known->First.Sequence = Body.Sequence;
  } else if (Known->Second.Agent != From.Address) {
    Known->Second = {From.Address, Body.Sequence};
    Out.emplace_back(Record);
  }
}

void SteeringLogic::onRefused(Endpoint From, const Refused &Body, Instant Now,
                              SteerActionList &Out) {
  this->hear(From.Address, false, Now, Out);
  const auto Open = this->Waiting.find(Body.Flow.Key);
  if (Open == this->Waiting.end() ||
      Open->second.Initial != Body.Flow.Initial) {
    return;
  }
  RecordDecision Record =
      record(Decision::RefusalLearned, Body.Flow.Key, From.Address);
  Record.Age = Now - Open->second.SentAt;
  Out.emplace_back(Record);
  this->Waiting.erase(Open);
}

Avoidance SteeringLogic::avoidance(std::uint32_t Agent) const {
  const auto Found = this->Agents.find(Agent);
  return Found == this->Agents.end() ? Avoidance::None : Found->second.Avoided;
}

void SteeringLogic::hear(std::uint32_t Agent, bool Leaving, Instant Now,
                         SteerActionList &Out) {
  AgentHealth &Known = this->Agents[Agent];
  const Duration Since = Now - Known.LastHeard;
  Known.LastHeard = Now;
  Known.CheckWaits = false;
  Known.Missed = 0;
  if (Leaving) {
    this->avoid(Agent, Avoidance::Leaving, Duration::zero(), Out);
    return;
  }
  if (Known.Avoided != Avoidance::None) {
    Known.Avoided = Avoidance::None;
    RecordDecision Record = record(Decision::AgentRegained, {}, Agent);
    Record.Age = Since;
    Out.emplace_back(Record);
  }
}

void SteeringLogic::avoid(std::uint32_t Agent, Avoidance Why, Duration Age,
                          SteerActionList &Out) {
  AgentHealth &Known = this->Agents[Agent];
  if (Known.Avoided == Why) {
    return;
  }
  Known.Avoided = Why;
  if (!this->NextCheck) {
    this->NextCheck = Known.CheckSentAt + AvoidedCheckPeriod;
  }
  RecordDecision Record =
      record(Why == Avoidance::Leaving ? Decision::AgentLeaving
                                       : Decision::AgentSuspected,
             {}, Agent);
  Record.Age = Age;
  Out.emplace_back(Record);
}

void SteeringLogic::onCheckReply(Endpoint From, const CheckReply &Body,
                                 Instant Now, SteerActionList &Out) {
  this->hear(From.Address, Body.Leaving, Now, Out);
}

void SteeringLogic::check(std::uint32_t Agent, Instant Now,
                          SteerActionList &Out) {
  AgentHealth &Known = this->Agents[Agent];
  if (Known.CheckWaits) {
    return;
  }
  Known.CheckWaits = true;
  Known.CheckSentAt = Now;
  Out.emplace_back(SendSteer{
      {Agent, this->Settings.PeerPort}, Check{this->NextSequence++}, {}});
  const Instant DueAt = Now + CheckTimeout;
  this->NextCheck = this->NextCheck ? std::min(*this->NextCheck, DueAt) : DueAt;
}

void SteeringLogic::checkAll(const WaitingOpening &Each, Instant Now,
                             SteerActionList &Out) {
  this->check(Each.First.Agent, Now, Out);
  for (const Candidate &Next : Each.Header.Next.view()) {
    this->check(Next.Agent, Now, Out);
  }
}

void SteeringLogic::resend(WaitingOpening &Each, const FlowKey &Key,
                           Instant Now, SteerActionList &Out) {
  // In reverse, so that the copy avoids whoever lost the first one.
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

void SteeringLogic::runWaiting(Instant Now, SteerActionList &Out) {
  while (!this->DueOpenings.empty() && this->DueOpenings.front().At <= Now) {
    const Due Next = this->DueOpenings.front();
    this->DueOpenings.pop_front();
    const auto Found = this->Waiting.find(Next.Flow);
    if (Found == this->Waiting.end() || Found->second.Initial != Next.Initial) {
      continue;
    }
    WaitingOpening &Each = Found->second;
    this->checkAll(Each, Now, Out);
    if (Each.Resends == MaxResends) {
      this->Waiting.erase(Found);
      continue;
    }
    ++Each.Resends;
    this->resend(Each, Next.Flow, Now, Out);
    this->DueOpenings.push_back({Now + ResendDelay, Next.Flow, Next.Initial});
  }
}

void SteeringLogic::runChecks(Instant Now, SteerActionList &Out) {
  if (!this->NextCheck || Now < *this->NextCheck) {
    return;
  }
  this->NextCheck.reset();
  for (auto &[Agent, Known] : this->Agents) {
    if (Known.CheckWaits && Now - Known.CheckSentAt >= CheckTimeout) {
      Known.CheckWaits = false;
      ++Known.Missed;
      if (Known.Missed >= SuspectedAfterChecks) {
        this->avoid(Agent, Avoidance::Suspected, Now - Known.LastHeard, Out);
      } else {
        this->check(Agent, Now, Out);
      }
    } else if (Known.CheckWaits) {
      const Instant DueAt = Known.CheckSentAt + CheckTimeout;
      this->NextCheck =
          this->NextCheck ? std::min(*this->NextCheck, DueAt) : DueAt;
    }
    if (Known.Avoided == Avoidance::None || Known.CheckWaits) {
      continue;
    }
    const Instant Again = Known.CheckSentAt + AvoidedCheckPeriod;
    if (Now >= Again) {
      this->check(Agent, Now, Out);
    } else {
      this->NextCheck =
          this->NextCheck ? std::min(*this->NextCheck, Again) : Again;
    }
  }
}

void SteeringLogic::noticePause(Instant Now, SteerActionList &Out) {
  const bool Paused = this->LastTurn && Now - *this->LastTurn > SteeringPause;
  if (Paused) {
    RecordDecision Record = record(Decision::PauseNoticed, {});
    Record.Age = Now - *this->LastTurn;
    Out.emplace_back(Record);
    for (Due &Each : this->DueOpenings) {
      Each.At = Now + ResendDelay;
    }
    for (auto &[Agent, Known] : this->Agents) {
      Known.CheckSentAt = Now;
    }
  }
  this->LastTurn = Now;
}

void SteeringLogic::onTick(Instant Now, SteerActionList &Out) {
  this->noticePause(Now, Out);
  this->runWaiting(Now, Out);
  this->runChecks(Now, Out);
}

std::optional<Instant> SteeringLogic::nextDue() const {
  std::optional<Instant> Next = this->NextCheck;
  if (!this->DueOpenings.empty()) {
    const Instant At = this->DueOpenings.front().At;
    Next = Next ? std::min(*Next, At) : At;
  }
  return Next;
}

} // namespace mulberryhoist
