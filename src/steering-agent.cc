#include "mulberryhoist/steering-agent.h"

#include <algorithm>

namespace mulberryhoist {
namespace {

/// How often expired flows are looked for.
constexpr Duration SweepPeriod = std::chrono::milliseconds(250);

} // namespace

SteeringAgentLogic::SteeringAgentLogic(SteeringAgentSettings Settings,
                                       Instant Now)
    : Settings(Settings), InFlight(HandedCapacity), NextSweep(Now) {}

RecordDecision SteeringAgentLogic::record(Decision Kind, const FlowKey &Flow,
                                          const Steer &Header) const {
  RecordDecision Record;
  Record.Kind = Kind;
  Record.Flow = Flow;
  Record.Load = this->Load;
  Record.Slots = Header.Slots;
  Record.Hops = Header.Hops;
  return Record;
}

void SteeringAgentLogic::expireOpenings(Instant Now) {
  while (!this->Awaited.empty() &&
         Now - this->Awaited.front().Since >= OpeningWorkTimeout) {
    const AwaitedRequest Next = this->Awaited.front();
    this->Awaited.pop_front();
    const auto Known = this->Flows.find(Next.Key);
    if (Known != this->Flows.end() && !Known->second.HasRequest &&
        Known->second.WorkSince == Next.Since) {
      this->endWork(Known->second);
    }
  }
}

void SteeringAgentLogic::onSteer(const Steer &Header,
                                 const RoutedPacket &Packet, Instant Now,
                                 SteerActionList &Out) {
  this->Released.clear();
  this->expireOpenings(Now);
  this->releaseHeld(Now, Out);
  this->noticeBalancer(Header.Balancer);
  this->Slots = Header.Slots;
  if (!Header.Services.contains(this->Settings.Service)) {
    Out.emplace_back(
        this->record(Decision::WrongService, Packet.View.callerFlow(), Header));
    this->passOn(Header, Packet, Out);
    return;
  }
  if (Packet.View.isOpening()) {
    this->onOpening(Header, Packet, Now, Out);
  } else {
    this->onFlowPacket(Header, Packet, Now, Out);
  }
}

void SteeringAgentLogic::onCheck(Endpoint From, const Check &Body,
                                 SteerActionList &Out) {
  this->noticeBalancer(From.Address);
  Out.emplace_back(
      SendSteer{From, CheckReply{Body.Sequence, this->isLeaving()}, {}});
}

void SteeringAgentLogic::noticeBalancer(std::uint32_t Balancer) {
  if (!this->Balancers.contains(Balancer)) {
    // A full list only means that some balancers notice the end later.
    (void)this->Balancers.add(Balancer);
  }
}

void SteeringAgentLogic::onOpening(const Steer &Header,
                                   const RoutedPacket &Packet, Instant Now,
                                   SteerActionList &Out) {
  const auto Known = this->Flows.find(Packet.View.callerFlow());
  if (Known != this->Flows.end() &&
      Known->second.Initial == Packet.View.Sequence) {
    // The caller did not get the answer; the upstream repeats it.
    Known->second.Notify = true;
    Known->second.Balancer = Header.Balancer;
    Out.emplace_back(ForwardToUpstream{Packet.Bytes, this->hand(Header)});
    return;
  }
  if (this->Held.contains({Packet.View.callerFlow(), Packet.View.Sequence})) {
    return;
  }
  this->noticeSilence(Now, Out);
  if (this->mustPassOn(Header, Now)) {
    this->passOn(Header, Packet, Out);
    return;
  }
  if (this->Load < Header.Slots) {
    this->take(Header, {Packet.View.callerFlow(), Packet.View.Sequence},
               Packet.Bytes, Now, Out);
    return;
  }
  this->placeBusy(Header, Packet, Now, Out);
}

void SteeringAgentLogic::noticeSilence(Instant Now, SteerActionList &Out) {
  const Duration Since = Now - this->UnansweredSince;
  if (this->Silent || this->Unanswered < SilentAfterOpenings ||
      Since < UpstreamAnswerTimeout) {
    return;
  }
  this->Silent = true;
  RecordDecision Record;
  Record.Kind = Decision::UpstreamSilent;
  Record.Load = this->Load;
  Record.Age = Since;
  Out.emplace_back(Record);
}

bool SteeringAgentLogic::mustPassOn(const Steer &Header, Instant Now) {
  if (this->isLeaving()) {
    return true;
  }
  if (!this->Silent || Header.Next.empty()) {
    return false;
  }
  if (Now >= this->NextSilentTry) {
    this->NextSilentTry = Now + SilentRetryPeriod;
    return false;
  }
  return true;
}

void SteeringAgentLogic::placeBusy(const Steer &Header,
                                   const RoutedPacket &Packet, Instant Now,
                                   SteerActionList &Out) {
  if (!Header.Final) {
    Steer Onward = Header;
    const bool IsFirst = Header.LeastLoaded.Agent == 0;
    if (IsFirst || this->pressure() * Header.LeastLoaded.Slots <
                       Header.LeastLoad * Header.Slots) {
      Onward.LeastLoaded = {this->Settings.Address, Header.Slots};
      Onward.LeastLoad = this->pressure();
    }
    if (!Header.Next.empty()) {
      this->passOn(Onward, Packet, Out);
      return;
    }
    if (Onward.LeastLoaded.Agent != this->Settings.Address) {
      (void)Onward.Next.add(Onward.LeastLoaded);
      Onward.Final = true;
      this->passOn(Onward, Packet, Out);
      return;
    }
  }
  const FlowIncarnation Flow = {Packet.View.callerFlow(), Packet.View.Sequence};
  switch (this->Held.place(Header, Packet.Waited,
                           this->upstreamLoad(Header.Slots), Now)) {
  case OpeningQueue::Placement::Take:
    this->take(Header, Flow, Packet.Bytes, Now, Out);
    return;
  case OpeningQueue::Placement::Hold:
    this->hold(Header, Packet, Now, Out);
    return;
  case OpeningQueue::Placement::Refuse:
    this->refuse(Header, Flow, Duration::zero(), Out);
    return;
  }
}

void SteeringAgentLogic::refuse(const Steer &Header,
                                const FlowIncarnation &Flow, Duration Held,
                                SteerActionList &Out) {
  RecordDecision Record =
      this->record(Decision::OpeningRefused, Flow.Key, Header);
  Record.Age = Held;
  Out.emplace_back(Record);
  Out.emplace_back(RejectOpening{Flow.Key});
  Out.emplace_back(
      SendSteer{{Header.Balancer, this->Settings.PeerPort}, Refused{Flow}, {}});
}

void SteeringAgentLogic::hold(const Steer &Header, const RoutedPacket &Packet,
                              Instant Now, SteerActionList &Out) {
  HeldOpening Each;
  Each.Flow = {Packet.View.callerFlow(), Packet.View.Sequence};
  Each.Bytes.assign(Packet.Bytes.begin(), Packet.Bytes.end());
  Each.Header = Header;
  Each.Since = Now;
  Each.Begun = Now - Packet.Waited;
  Each.Until = Each.Begun + holdLimit(Header, this->upstreamLoad(Header.Slots));
  Out.emplace_back(this->record(Decision::OpeningHeld, Each.Flow.Key, Header));
  // The balancer need not ask others meanwhile.
  Out.emplace_back(SendSteer{{Header.Balancer, this->Settings.PeerPort},
                             Taken{Each.Flow, 0, this->Load, false},
                             {}});
  this->Held.hold(std::move(Each));
}

void SteeringAgentLogic::releaseHeld(Instant Now, SteerActionList &Out) {
  while (const auto Late = this->Held.takeExpired(Now)) {
    this->refuse(Late->Header, Late->Flow, Now - Late->Since, Out);
  }
  while (auto Next =
             this->Held.takeNext(this->upstreamLoad(this->Slots), Now)) {
    this->Released.push_back(std::move(Next->Bytes));
    this->take(Next->Header, Next->Flow, this->Released.back(), Now, Out);
  }
}

void SteeringAgentLogic::take(const Steer &Header, const FlowIncarnation &Flow,
                              PacketBytes Bytes, Instant Now,
                              SteerActionList &Out) {
  const FlowKey &Key = Flow.Key;
  const std::uint32_t Tag = this->hand(Header);
  if (this->Flows.size() < this->Settings.MaxFlows) {
    SteeringAgentFlow &Each = this->Flows[Key];
    this->endWork(Each);
    Each = SteeringAgentFlow();
    Each.Initial = Flow.Initial;
    Each.Balancer = Header.Balancer;
    Each.Notify = true;
    Each.LastSeen = Now;
    this->beginWork(Each, Header.Slots, Now);
    this->Awaited.push_back({Key, Now});
  }
  if (this->Unanswered++ == 0) {
    this->UnansweredSince = Now;
  }
  Out.emplace_back(this->record(Decision::OpeningTaken, Key, Header));
  Out.emplace_back(ForwardToUpstream{Bytes, Tag});
}

void SteeringAgentLogic::passOn(const Steer &Header, const RoutedPacket &Packet,
                                SteerActionList &Out) {
  const FlowKey Key = Packet.View.callerFlow();
  const bool IsOpening = Packet.View.isOpening();
  if (Header.Next.empty()) {
    Out.emplace_back(this->record(IsOpening ? Decision::OpeningDropped
                                            : Decision::OwnerNotFound,
                                  Key, Header));
    return;
  }
  Steer Onward = Header;
  const Candidate Next = Onward.Next.takeFirst();
  Onward.Slots = Next.Slots;
  ++Onward.Hops;
  RecordDecision Record = this->record(IsOpening ? Decision::OpeningPassedOn
                                                 : Decision::PacketReturned,
                                       Key, Header);
  Record.Agent = Next.Agent;
  Out.emplace_back(Record);
  Out.emplace_back(
      SendSteer{{Next.Agent, this->Settings.PeerPort}, Onward, Packet.Bytes});
}

void SteeringAgentLogic::onFlowPacket(const Steer &Header,
                                      const RoutedPacket &Packet, Instant Now,
                                      SteerActionList &Out) {
  const auto Known = this->Flows.find(Packet.View.callerFlow());
  if (Known != this->Flows.end()) {
    SteeringAgentFlow &Each = Known->second;
    Each.LastSeen = Now;
    Each.Balancer = Header.Balancer;
    Each.Notify = Each.Notify || Header.Notify;
    if (!Packet.View.Payload.empty() && !Each.HasRequest) {
      Each.HasRequest = true;
      if (Each.Working) {
        Each.WorkSince = Now;
      } else {
        this->beginWork(Each, Header.Slots, Now);
      }
    }
  }
  // Also a flow that is known here may be returned: its upstream restarted, or
  // another upstream's answer was faster and the caller chose that one.
  Out.emplace_back(ForwardToUpstream{Packet.Bytes, this->hand(Header)});
}

void SteeringAgentLogic::onUpstreamPacket(const RoutedPacket &Packet,
                                          Instant Now, SteerActionList &Out) {
  this->Released.clear();
  if (this->Silent) {
    this->Silent = false;
    RecordDecision Record;
    Record.Kind = Decision::UpstreamAnswers;
    Record.Age = Now - this->UnansweredSince;
    Out.emplace_back(Record);
  }
  this->Unanswered = 0;
  if (Packet.Returned) {
    this->onReturned(Packet, Out);
    return;
  }
  this->LastFlowPacket = Now;
  const FlowKey Key = Packet.View.upstreamFlow();
  Out.emplace_back(ForwardToCaller{Key.Caller, Packet.Bytes});
  auto Known = this->Flows.find(Key);
  if (Known == this->Flows.end()) {
    if (this->Flows.size() >= this->Settings.MaxFlows) {
      return;
    }
    // This agent restarted while the upstream kept the flow.
    Known = this->Flows.emplace(Key, SteeringAgentFlow()).first;
    Known->second.WorkSince = Now;
  }
  SteeringAgentFlow &Each = Known->second;
  Each.LastSeen = Now;
  if (Packet.View.Flags.Syn && Packet.View.Flags.Ack) {
    Each.UpstreamSequence = Packet.View.Sequence;
  }
  const bool Ends = Packet.View.Flags.Fin || Packet.View.Flags.Rst;
  if (!Packet.View.Payload.empty() || Ends) {
    if (Each.Working && Each.HasRequest) {
      const Duration Spent = Now - Each.WorkSince;
      Out.emplace_back(ObserveLatency{Spent});
      if (Each.FoundFreeSlot) {
        this->Work.addUnqueued(Spent);
      }
      this->Work.addAnswer(this->Load, this->Slots, Now);
    }
    this->endWork(Each);
    Each.HasRequest = false;
  }
  this->noteAnswer(Key, Each, Out);
  if (Packet.View.Flags.Rst) {
    this->erase(Known);
  }
  this->releaseHeld(Now, Out);
}

void SteeringAgentLogic::noteAnswer(const FlowKey &Key, SteeringAgentFlow &Each,
                                    SteerActionList &Out) {
  if (!Each.Notify || Each.Balancer == 0) {
    return;
  }
  Each.Notify = false;
  Taken Notice;
  Notice.Flow = {Key, Each.Initial};
  Notice.Sequence = Each.UpstreamSequence.value_or(0);
  Notice.Load = this->Load;
  Notice.Leaving = this->isLeaving();
  Out.emplace_back(
      SendSteer{{Each.Balancer, this->Settings.PeerPort}, Notice, {}});
}

void SteeringAgentLogic::onReturned(const RoutedPacket &Packet,
                                    SteerActionList &Out) {
  const FlowKey Key = Packet.View.callerFlow();
  const auto Known = this->Flows.find(Key);
  const std::optional<Steer> Header = this->takeHanded(Packet.Tag);
  if (!Header) {
    RecordDecision Record;
    Record.Kind = Decision::OwnerNotFound;
    Record.Flow = Key;
    Out.emplace_back(Record);
    return;
  }
  if (!Packet.View.isOpening()) {
    if (Known != this->Flows.end()) {
      this->erase(Known);
    }
    this->passOn(*Header, Packet, Out);
    return;
  }
  if (Known != this->Flows.end() && !Known->second.UpstreamSequence) {
    this->erase(Known);
  }
  if (!Header->Next.empty()) {
    Out.emplace_back(this->record(Decision::OpeningReturned, Key, *Header));
    Steer Onward = *Header;
    Onward.Final = false;
    this->passOn(Onward, Packet, Out);
    return;
  }
  this->refuse(*Header, {Key, Packet.View.Sequence}, Duration::zero(), Out);
}

std::uint32_t SteeringAgentLogic::hand(const Steer &Header) {
  const std::uint32_t Tag = this->NextTag;
  // Senders write 0, so that 0 never names a packet of this agent.
  this->NextTag = Tag + 1 == 0 ? 1 : Tag + 1;
  this->InFlight[Tag % HandedCapacity] = {Tag, Header};
  return Tag;
}

std::optional<Steer> SteeringAgentLogic::takeHanded(std::uint32_t Tag) {
  Handed &Each = this->InFlight[Tag % HandedCapacity];
  if (Tag == 0 || Each.Tag != Tag) {
    return std::nullopt;
  }
  Each.Tag = 0;
  return Each.Header;
}

void SteeringAgentLogic::beginWork(SteeringAgentFlow &Each, std::uint32_t Slots,
                                   Instant Now) {
  Each.FoundFreeSlot = this->Load < Slots;
  Each.Working = true;
  Each.WorkSince = Now;
  ++this->Load;
}

void SteeringAgentLogic::endWork(SteeringAgentFlow &Each) {
  if (Each.Working) {
    Each.Working = false;
    --this->Load;
  }
}

void SteeringAgentLogic::erase(FlowMap::iterator Found) {
  this->endWork(Found->second);
  this->Flows.erase(Found);
}

void SteeringAgentLogic::onService(ServiceId Next) {
  if (Next == this->Settings.Service) {
    return;
  }
  this->Settings.Service = Next;
  this->Flows.clear();
  this->Awaited.clear();
  this->Held.clear();
  this->Load = 0;
  this->Work = {};
  this->Unanswered = 0;
  this->Silent = false;
  std::fill(this->InFlight.begin(), this->InFlight.end(), Handed());
}

void SteeringAgentLogic::onTerminate(Instant Now, SteerActionList &Out) {
  if (this->TerminateAt) {
    return;
  }
  this->TerminateAt = Now;
  for (const std::uint32_t Balancer : this->Balancers.view()) {
    Out.emplace_back(SendSteer{
        {Balancer, this->Settings.PeerPort}, CheckReply{0, true}, {}});
  }
}

void SteeringAgentLogic::onTick(Instant Now, SteerActionList &Out) {
  this->Released.clear();
  this->expireOpenings(Now);
  this->releaseHeld(Now, Out);
  if (Now < this->NextSweep) {
    return;
  }
  this->NextSweep = Now + SweepPeriod;
  for (auto Each = this->Flows.begin(); Each != this->Flows.end();) {
    SteeringAgentFlow &Known = Each->second;
    if (Known.Working && Now - Known.WorkSince >= RequestWorkTimeout) {
      this->endWork(Known);
    }
    if (Now - Known.LastSeen >= SteeringAgentFlowTimeout) {
      this->endWork(Known);
      Each = this->Flows.erase(Each);
    } else {
      ++Each;
    }
  }
}

bool SteeringAgentLogic::isDrained(Instant Now) const {
  if (!this->TerminateAt) {
    return false;
  }
  const Duration Since = Now - *this->TerminateAt;
  if (Since >= SteeringAgentDrainDeadline) {
    return true;
  }
  return Since >= SteeringAgentMinimumDrain && this->Load == 0 &&
         this->Held.empty() &&
         Now - this->LastFlowPacket >= SteeringAgentQuietPeriod;
}

} // namespace mulberryhoist
