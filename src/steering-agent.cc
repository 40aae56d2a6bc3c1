#include "mulberryhoist/steering-agent.h"

#include <algorithm>
#include <utility>

namespace mulberryhoist {
namespace {

/// Interval at which expired flows are removed.
constexpr Duration SweepPeriod = std::chrono::milliseconds(250);

} // namespace

SteeringAgentLogic::SteeringAgentLogic(SteeringAgentSettings Settings,
                                       Instant Now)
    : Settings(Settings), Cold(Now), ForwardedPackets(ForwardedCapacity),
      NextSweep(Now) {}

RecordDecision SteeringAgentLogic::record(Decision Kind, const FlowKey &Flow,
                                          const Steer &Header) const {
  RecordDecision Record;
  Record.Kind = Kind;
  Record.Flow = Flow;
  Record.Load = this->Load;
  Record.Slots = Header.Slots;
  Record.Hops = Header.Hops;
  Record.Class = Header.Class;
  return Record;
}

void SteeringAgentLogic::expireOpenings(Instant Now) {
  while (!this->Awaited.empty() &&
         Now - this->Awaited.front().Since >= OpeningLoadTimeout) {
    const AwaitedRequest Next = this->Awaited.front();
    this->Awaited.pop_front();
    const auto Found = this->Flows.find(Next.Key);
    if (Found != this->Flows.end() && !Found->second.Request.isOpen() &&
        Found->second.LoadSince == Next.Since) {
      this->removeFromLoad(Found->second);
    }
  }
}

void SteeringAgentLogic::onSteer(const Steer &Header,
                                 const RoutedPacket &Packet, Instant Now,
                                 SteerActionList &Out) {
  this->ReleasedBytes.clear();
  this->expireOpenings(Now);
  this->Cold.onMessage(Header.ColdLimit, Header.ColdLeft, Now);
  this->serveHeldOpenings(Now, Out);
  this->addBalancer(Header.Balancer);
  this->Slots = Header.Slots;
  if (!Header.Services.contains(this->Settings.Service)) {
    if (Packet.View.isOpening()) {
      Out.emplace_back(this->record(Decision::WrongService,
                                    Packet.View.callerFlow(), Header));
    }
    this->forwardToNext(Header, Packet, Out, Decision::WrongService);
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
  this->addBalancer(From.Address);
  Out.emplace_back(
      SendSteer{From, CheckReply{Body.Sequence, this->isLeaving()}, {}});
}

void SteeringAgentLogic::recordIntakeChange(bool WasClosed,
                                            SteerActionList &Out) const {
  if (WasClosed == this->Intake.isClosed()) {
    return;
  }
  RecordDecision Record;
  Record.Kind = WasClosed ? Decision::IntakeOpened : Decision::IntakeClosed;
  Record.Agent = this->Settings.Address;
  Record.Load = this->Load;
  Out.emplace_back(Record);
}

void SteeringAgentLogic::onIntake(const IntakeNotice &Body, Instant Now,
                                  SteerActionList &Out) {
  // A notice about the former upstream at this address says nothing about the
  // present one.
  if (Body.Service != this->Settings.Service) {
    return;
  }
  const bool WasClosed = this->Intake.isClosed();
  this->Intake.onNotice(Body, Now);
  this->recordIntakeChange(WasClosed, Out);
  this->ReleasedBytes.clear();
  if (this->Intake.isClosed()) {
    this->giveBackHeldOpenings(Now, Out);
  }
}

void SteeringAgentLogic::turnAway(const Steer &Header,
                                  const RoutedPacket &Packet,
                                  SteerActionList &Out) {
  const FlowIncarnation Flow = {Packet.View.callerFlow(), Packet.View.Sequence};
  Out.emplace_back(this->record(Decision::OpeningTurnedAway, Flow.Key, Header));
  Steer NextHeader = Header;
  NextHeader.Final = false;
  const bool HasLeastLoaded =
      !Header.Final && Header.LeastLoaded.Agent != 0 &&
      Header.LeastLoaded.Agent != this->Settings.Address;
  if (Header.Next.empty() && HasLeastLoaded) {
    (void)NextHeader.Next.add(Header.LeastLoaded);
    NextHeader.Final = true;
  }
  if (!NextHeader.Next.empty()) {
    this->forwardToNext(NextHeader, Packet, Out);
    return;
  }
  this->giveBack(Header, Flow, std::max<Duration>(Packet.Waited, Header.Waited),
                 Packet.Bytes, Out);
}

void SteeringAgentLogic::giveBack(const Steer &Header,
                                  const FlowIncarnation &Flow, Duration Waited,
                                  PacketBytes Bytes, SteerActionList &Out) {
  if (Header.Displaced) {
    this->refuse(Header, Flow, Waited, Out);
    return;
  }
  const auto WaitedMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(Waited);
  Out.emplace_back(SendSteer{
      {Header.Balancer, this->Settings.PeerPort}, Displaced{WaitedMs}, Bytes});
}

void SteeringAgentLogic::giveBackHeldOpenings(Instant Now,
                                              SteerActionList &Out) {
  while (auto Held = this->HeldOpenings.takeExpired(Instant::max())) {
    Out.emplace_back(this->record(Decision::OpeningTurnedAway, Held->Flow.Key,
                                  Held->Header));
    this->ReleasedBytes.push_back(std::move(Held->Bytes));
    this->giveBack(Held->Header, Held->Flow, Now - Held->StartedAt,
                   this->ReleasedBytes.back(), Out);
  }
}

void SteeringAgentLogic::addBalancer(std::uint32_t Balancer) {
  if (!this->Balancers.contains(Balancer)) {
    // If the list is full, some balancers notice the stop later.
    (void)this->Balancers.add(Balancer);
  }
}

void SteeringAgentLogic::onOpening(const Steer &Header,
                                   const RoutedPacket &Packet, Instant Now,
                                   SteerActionList &Out) {
  const auto Found = this->Flows.find(Packet.View.callerFlow());
  if (Found != this->Flows.end() &&
      Found->second.Initial == Packet.View.Sequence &&
      (Found->second.UpstreamSequence || !this->Intake.isClosed())) {
    // The caller retransmits because the upstream's response was lost; the
    // upstream sends it again.
    Found->second.Notify = true;
    Found->second.Balancer = Header.Balancer;
    Out.emplace_back(
        ForwardToUpstream{Packet.Bytes, this->recordForwarded(Header)});
    return;
  }
  if (this->HeldOpenings.contains(
          {Packet.View.callerFlow(), Packet.View.Sequence})) {
    return;
  }
  if (this->Intake.isClosed()) {
    this->turnAway(Header, Packet, Out);
    return;
  }
  this->detectSilentUpstream(Now, Out);
  if (this->mustForwardToNext(Header, Now)) {
    this->forwardToNext(Header, Packet, Out);
    return;
  }
  if (!this->Cold.admits(Now)) {
    this->placeBeyondColdLimit(Header, Packet, Now, Out);
    return;
  }
  if (this->Load < Header.Slots) {
    this->take(Header, {Packet.View.callerFlow(), Packet.View.Sequence},
               Packet.Bytes, Now, Out);
    return;
  }
  this->placeWithoutFreeSlot(Header, Packet, Now, Out);
}

void SteeringAgentLogic::detectSilentUpstream(Instant Now,
                                              SteerActionList &Out) {
  const Duration Since = Now - this->UnansweredSince;
  if (this->Silent || this->UnansweredOpenings < UnansweredOpeningsLimit ||
      Since < UpstreamResponseTimeout) {
    return;
  }
  this->Silent = true;
  RecordDecision Record;
  Record.Kind = Decision::UpstreamSilent;
  Record.Load = this->Load;
  Record.Age = Since;
  Out.emplace_back(Record);
}

bool SteeringAgentLogic::mustForwardToNext(const Steer &Header, Instant Now) {
  // Without another candidate the upstream may still answer: it lives on if
  // only the agent is restarted.
  if (Header.Next.empty()) {
    return false;
  }
  if (this->isLeaving()) {
    return true;
  }
  if (!this->Silent) {
    return false;
  }
  if (Now >= this->NextSilentProbe) {
    this->NextSilentProbe = Now + SilentProbePeriod;
    return false;
  }
  return true;
}

void SteeringAgentLogic::placeBeyondColdLimit(const Steer &Header,
                                              const RoutedPacket &Packet,
                                              Instant Now,
                                              SteerActionList &Out) {
  if (!Header.Next.empty()) {
    this->forwardToNext(Header, Packet, Out);
    return;
  }
  if (!Header.Final && Header.LeastLoaded.Agent != 0 &&
      Header.LeastLoaded.Agent != this->Settings.Address) {
    // Another candidate had no free slot, but may take the opening.
    Steer NextHeader = Header;
    (void)NextHeader.Next.add(Header.LeastLoaded);
    NextHeader.Final = true;
    this->forwardToNext(NextHeader, Packet, Out);
    return;
  }
  const Duration Wait = this->Cold.delay(this->HeldOpenings.size(), Now);
  if (this->HeldOpenings.size() < MaxHeldOpenings &&
      Packet.Waited + Wait <
          holdLimit(Header, this->upstreamLoad(Header.Slots))) {
    this->hold(Header, Packet, Now, Out);
    return;
  }
  this->refuse(Header, {Packet.View.callerFlow(), Packet.View.Sequence},
               Duration::zero(), Out);
}

void SteeringAgentLogic::placeWithoutFreeSlot(const Steer &Header,
                                              const RoutedPacket &Packet,
                                              Instant Now,
                                              SteerActionList &Out) {
  if (!Header.Final) {
    Steer NextHeader = Header;
    const bool IsFirst = Header.LeastLoaded.Agent == 0;
    if (IsFirst || this->totalLoad() * Header.LeastLoaded.Slots <
                       Header.LeastLoad * Header.Slots) {
      NextHeader.LeastLoaded = {this->Settings.Address, Header.Slots};
      NextHeader.LeastLoad = this->totalLoad();
    }
    if (!Header.Next.empty()) {
      this->forwardToNext(NextHeader, Packet, Out);
      return;
    }
    if (NextHeader.LeastLoaded.Agent != this->Settings.Address) {
      (void)NextHeader.Next.add(NextHeader.LeastLoaded);
      NextHeader.Final = true;
      this->forwardToNext(NextHeader, Packet, Out);
      return;
    }
  }
  const FlowIncarnation Flow = {Packet.View.callerFlow(), Packet.View.Sequence};
  switch (this->HeldOpenings.place(
      Header, std::max<Duration>(Packet.Waited, Header.Waited),
      this->upstreamLoad(Header.Slots), Now,
      this->RouteEstimates.factor(Flow.Key.Service))) {
  case OpeningQueue::Placement::Take:
    ++this->admissions(Header).Taken;
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
                                const FlowIncarnation &Flow, Duration HeldFor,
                                SteerActionList &Out) {
  RecordDecision Record =
      this->record(Decision::OpeningRefused, Flow.Key, Header);
  Record.Age = HeldFor;
  Out.emplace_back(Record);
  ClassAdmissions &Counts = this->admissions(Header);
  ++Counts.Refused;
  Counts.HeldBeforeRefusal += HeldFor;
  Out.emplace_back(RejectOpening{Flow.Key});
  Out.emplace_back(
      SendSteer{{Header.Balancer, this->Settings.PeerPort}, Refused{Flow}, {}});
}

void SteeringAgentLogic::hold(const Steer &Header, const RoutedPacket &Packet,
                              Instant Now, SteerActionList &Out) {
  HeldOpening Opening;
  Opening.Flow = {Packet.View.callerFlow(), Packet.View.Sequence};
  Opening.Bytes.assign(Packet.Bytes.begin(), Packet.Bytes.end());
  Opening.Header = Header;
  Opening.HeldSince = Now;
  Opening.StartedAt = Now - std::max<Duration>(Packet.Waited, Header.Waited);
  Opening.ExpiresAt =
      Opening.StartedAt + holdLimit(Header, this->upstreamLoad(Header.Slots));
  Opening.WorkFactor = this->RouteEstimates.factor(Opening.Flow.Key.Service);
  ++this->admissions(Header).Held;
  Out.emplace_back(
      this->record(Decision::OpeningHeld, Opening.Flow.Key, Header));
  // Keeps the balancer from offering the opening to other agents meanwhile.
  Out.emplace_back(SendSteer{{Header.Balancer, this->Settings.PeerPort},
                             Taken{Opening.Flow, 0, this->Load, false},
                             {}});
  this->HeldOpenings.hold(std::move(Opening));
}

void SteeringAgentLogic::serveHeldOpenings(Instant Now, SteerActionList &Out) {
  // Before the process exits, openings that it still holds are refused.
  const bool IsStopping =
      this->TerminateAt &&
      Now - *this->TerminateAt >= SteeringAgentDrainDeadline - HeldMargin;
  const Instant ExpiredAt = IsStopping ? Instant::max() : Now;
  while (const auto Expired = this->HeldOpenings.takeExpired(ExpiredAt)) {
    this->refuse(Expired->Header, Expired->Flow, Now - Expired->HeldSince, Out);
  }
  while (const auto Unservable = this->HeldOpenings.takeUnservable(
             this->upstreamLoad(this->Slots), Now)) {
    this->refuse(Unservable->Header, Unservable->Flow,
                 Now - Unservable->HeldSince, Out);
  }
  while (this->Cold.admits(Now)) {
    auto Next =
        this->HeldOpenings.takeNext(this->upstreamLoad(this->Slots), Now);
    if (!Next) {
      break;
    }
    ++this->admissions(Next->Header).Taken;
    this->ReleasedBytes.push_back(std::move(Next->Bytes));
    this->take(Next->Header, Next->Flow, this->ReleasedBytes.back(), Now, Out);
  }
}

void SteeringAgentLogic::take(const Steer &Header, const FlowIncarnation &Flow,
                              PacketBytes Bytes, Instant Now,
                              SteerActionList &Out) {
  const FlowKey &Key = Flow.Key;
  const std::uint32_t Tag = this->recordForwarded(Header);
  this->ForeignFlows.erase(Key);
  this->Cold.count(Now);
  if (this->Flows.size() < this->Settings.MaxFlows) {
    SteeringAgentFlow &Entry = this->Flows[Key];
    this->removeFromLoad(Entry);
    Entry = SteeringAgentFlow();
    Entry.Initial = Flow.Initial;
    Entry.Request = RequestTracker(Flow.Initial + 1);
    if (Header.Timeout.count() != 0) {
      Entry.LoadTimeout =
          std::min<Duration>(Header.Timeout, RequestLoadTimeout);
    }
    Entry.Balancer = Header.Balancer;
    Entry.Notify = true;
    Entry.IsFirstRequestCounted = true;
    Entry.LastSeen = Now;
    this->addToLoad(Entry, Header.Slots, Now);
    this->Awaited.push_back({Key, Now});
  }
  if (this->UnansweredOpenings++ == 0) {
    this->UnansweredSince = Now;
  }
  Out.emplace_back(this->record(Decision::OpeningTaken, Key, Header));
  Out.emplace_back(ForwardToUpstream{Bytes, Tag});
}

void SteeringAgentLogic::forwardToNext(const Steer &Header,
                                       const RoutedPacket &Packet,
                                       SteerActionList &Out, Decision Cause) {
  const FlowKey Key = Packet.View.callerFlow();
  const bool IsOpening = Packet.View.isOpening();
  RecordDecision Record =
      this->record(IsOpening ? Decision::OpeningPassedOn : Cause, Key, Header);
  if (Header.Next.empty()) {
    if (!IsOpening) {
      Out.emplace_back(Record);
    }
    Out.emplace_back(this->record(IsOpening ? Decision::OpeningDropped
                                            : Decision::OwnerNotFound,
                                  Key, Header));
    if (!IsOpening) {
      Out.emplace_back(SendSteer{{Header.Balancer, this->Settings.PeerPort},
                                 NotHeld{Header.Search, Header.Incomplete},
                                 Packet.Bytes});
    }
    return;
  }
  Steer NextHeader = Header;
  const Candidate Next = NextHeader.Next.takeFirst();
  NextHeader.Slots = Next.Slots;
  NextHeader.ColdLeft = Next.ColdLeft;
  ++NextHeader.Hops;
  Record.Agent = Next.Agent;
  Out.emplace_back(Record);
  Out.emplace_back(SendSteer{
      {Next.Agent, this->Settings.PeerPort}, NextHeader, Packet.Bytes});
}

void SteeringAgentLogic::onFlowPacket(const Steer &Header,
                                      const RoutedPacket &Packet, Instant Now,
                                      SteerActionList &Out) {
  const FlowKey Key = Packet.View.callerFlow();
  const auto Found = this->Flows.find(Key);
  const bool IsOwn = Found != this->Flows.end() &&
                     SteeringAgentLogic::isOwn(Found->second, Packet.View);
  if (!IsOwn && Header.KnownOnly) {
    const auto Foreign = this->ForeignFlows.find(Key);
    Steer NextHeader = Header;
    NextHeader.Incomplete = Header.Incomplete ||
                            Foreign == this->ForeignFlows.end() ||
                            !Foreign->second.hasReturned(Packet.View);
    this->forwardToNext(NextHeader, Packet, Out, Decision::FlowUnknown);
    return;
  }
  if (Found != this->Flows.end()) {
    SteeringAgentFlow &Flow = Found->second;
    Flow.LastSeen = Now;
    Flow.Balancer = Header.Balancer;
    Flow.Notify = Flow.Notify || Header.Notify;
    this->trackRequest(Flow, Header, Packet.View, Now);
  }
  if (!IsOwn) {
    this->askUpstream(Header, Packet, Now, Out);
    return;
  }
  if (Header.KnownOnly) {
    // The upstream may take long to answer, and the caller's next packets
    // would be searched for meanwhile.
    this->notifyBalancer(Key, Found->second, Out);
  }
  // The upstream returns the packet if it has restarted.
  Out.emplace_back(
      ForwardToUpstream{Packet.Bytes, this->recordForwarded(Header)});
}

bool SteeringAgentLogic::isOwn(const SteeringAgentFlow &Flow,
                               const PacketView &Packet) {
  // The caller may have used the faster response of another upstream. The
  // sequence numbers are unknown if the agent has restarted.
  return Flow.HasAnswered && (!Flow.UpstreamSequence ||
                              Flow.Request.hasSent(Packet.Acknowledgment));
}

bool SteeringAgentLogic::ForeignFlow::hasReturned(
    const PacketView &Packet) const {
  // Incarnations of a flow are rarely as close.
  constexpr std::uint32_t IncarnationSpan = 1U << 24U;
  const std::uint32_t Distance = Packet.Acknowledgment - this->Acknowledgment;
  return this->IsReturned &&
         (Distance < IncarnationSpan || 0 - Distance < IncarnationSpan);
}

bool SteeringAgentLogic::isUnanswered(const ForeignFlow &Each,
                                      Instant Now) const {
  return this->Silent ||
         (Each.AskedAt && this->UpstreamPackets == Each.PacketsBefore &&
          Now - *Each.AskedAt >= UpstreamResponseTimeout);
}

void SteeringAgentLogic::askUpstream(const Steer &Header,
                                     const RoutedPacket &Packet, Instant Now,
                                     SteerActionList &Out) {
  if (this->ForeignFlows.size() >= this->Settings.MaxFlows) {
    this->ForeignFlows.clear();
  }
  ForeignFlow &Each = this->ForeignFlows[Packet.View.callerFlow()];
  if (Each.hasReturned(Packet.View)) {
    this->forwardToNext(Header, Packet, Out, Decision::UpstreamSpared);
    return;
  }
  if (this->isUnanswered(Each, Now)) {
    // The upstream may hold the flow all the same and be unable to answer, so
    // that it gets a copy; the tag keeps the copy from being passed on again.
    Out.emplace_back(ForwardToUpstream{Packet.Bytes, 0});
    Steer NextHeader = Header;
    NextHeader.Incomplete = true;
    this->forwardToNext(NextHeader, Packet, Out, Decision::UpstreamUnanswered);
    return;
  }
  Each = {Packet.View.Acknowledgment, Now, this->UpstreamPackets, false};
  const std::uint32_t Tag = this->recordForwarded(Header);
  if (Header.Search != 0 && this->AskedPackets.size() < MaxAskedPackets) {
    this->AskedPackets.push_back({Tag,
                                  Packet.View,
                                  {Packet.Bytes.begin(), Packet.Bytes.end()},
                                  Now,
                                  this->UpstreamPackets});
    this->AskedPackets.back().View.Payload = {};
  }
  Out.emplace_back(ForwardToUpstream{Packet.Bytes, Tag});
}

void SteeringAgentLogic::passOnUnanswered(Instant Now, SteerActionList &Out) {
  while (!this->AskedPackets.empty() &&
         Now - this->AskedPackets.front().AskedAt >= UpstreamResponseTimeout) {
    AskedPacket Each = std::move(this->AskedPackets.front());
    this->AskedPackets.pop_front();
    if (this->UpstreamPackets != Each.PacketsBefore) {
      // An upstream that lives returns what it does not hold.
      continue;
    }
    // A copy that the upstream returns later has been passed on already.
    std::optional<Steer> Header = this->takeForwarded(Each.Tag);
    if (!Header) {
      continue;
    }
    Header->Incomplete = true;
    this->ReleasedBytes.push_back(std::move(Each.Bytes));
    RoutedPacket Packet;
    Packet.View = Each.View;
    Packet.Bytes = this->ReleasedBytes.back();
    this->forwardToNext(*Header, Packet, Out, Decision::UpstreamUnanswered);
  }
}

void SteeringAgentLogic::onFlowReturned(const PacketView &Packet) {
  // A table that is full forgets flows that are asked for again.
  if (this->ForeignFlows.size() < this->Settings.MaxFlows) {
    ForeignFlow &Each = this->ForeignFlows[Packet.callerFlow()];
    Each = {Packet.Acknowledgment, this->LastUpstreamPacket,
            this->UpstreamPackets, true};
  }
}

void SteeringAgentLogic::trackRequest(SteeringAgentFlow &Flow,
                                      const Steer &Header,
                                      const PacketView &Packet, Instant Now) {
  switch (Flow.Request.onCallerPacket(Packet)) {
  case RequestTracker::CallerEvent::None:
    return;
  case RequestTracker::CallerEvent::Aborts:
    this->removeFromLoad(Flow);
    return;
  case RequestTracker::CallerEvent::Begins:
    if (!std::exchange(Flow.IsFirstRequestCounted, false)) {
      this->Cold.count(Now);
    }
    [[fallthrough]];
  case RequestTracker::CallerEvent::Continues:
    // The request occupies a slot from its last data on, so that the estimate
    // of the service time does not depend on the caller's link.
    this->removeFromLoad(Flow);
    this->addToLoad(Flow, Header.Slots, Now);
    return;
  }
}

void SteeringAgentLogic::trackResponse(SteeringAgentFlow &Flow,
                                       const PacketView &Packet, Instant Now,
                                       SteerActionList &Out) {
  const bool WasOpen = Flow.Request.isOpen();
  if (Flow.Request.onUpstreamPacket(Packet)) {
    const Duration Elapsed = Now - Flow.LoadSince;
    Out.emplace_back(ObserveLatency{Elapsed});
    if (Flow.FoundFreeSlot) {
      this->RouteEstimates.addSlotTime(Packet.upstreamFlow().Service, Elapsed,
                                       this->ServiceTime.mean());
      this->ServiceTime.addUnqueued(Elapsed);
    }
    this->ServiceTime.addResponse(this->Load, this->Slots, Now);
  }
  const bool Ends = Packet.Flags.Fin || Packet.Flags.Rst;
  if (!Flow.Request.isOpen() && (WasOpen || Ends)) {
    this->removeFromLoad(Flow);
  }
}

void SteeringAgentLogic::onUpstreamPacket(const RoutedPacket &Packet,
                                          Instant Now, SteerActionList &Out) {
  this->ReleasedBytes.clear();
  if (this->Silent) {
    this->Silent = false;
    RecordDecision Record;
    Record.Kind = Decision::UpstreamAnswers;
    Record.Age = Now - this->UnansweredSince;
    Out.emplace_back(Record);
  }
  this->UnansweredOpenings = 0;
  this->LastUpstreamPacket = Now;
  ++this->UpstreamPackets;
  if (Packet.Returned) {
    this->onReturned(Packet, Out);
    return;
  }
  this->LastFlowPacket = Now;
  const FlowKey Key = Packet.View.upstreamFlow();
  auto Found = this->Flows.find(Key);
  const bool IsKnown = Found != this->Flows.end() ||
                       this->Flows.size() >= this->Settings.MaxFlows;
  if (Packet.View.Flags.Syn && !IsKnown) {
    // The opening was meant for the former upstream at this address. Without an
    // answer, its caller sends no request.
    RecordDecision Record;
    Record.Kind = Decision::AnswerUnexpected;
    Record.Flow = Key;
    Record.Load = this->Load;
    Out.emplace_back(Record);
    return;
  }
  this->ForeignFlows.erase(Key);
  Out.emplace_back(ForwardToCaller{Key.Caller, Packet.Bytes});
  if (Found == this->Flows.end()) {
    if (this->Flows.size() >= this->Settings.MaxFlows) {
      return;
    }
    // The agent has restarted while the upstream kept the flow.
    Found = this->Flows.emplace(Key, SteeringAgentFlow()).first;
    Found->second.Request = RequestTracker(Packet.View.Acknowledgment);
    Found->second.LoadSince = Now;
  }
  SteeringAgentFlow &Flow = Found->second;
  Flow.LastSeen = Now;
  Flow.HasAnswered = true;
  if (Packet.View.Flags.Syn && Packet.View.Flags.Ack) {
    Flow.UpstreamSequence = Packet.View.Sequence;
  }
  this->trackResponse(Flow, Packet.View, Now, Out);
  this->notifyBalancer(Key, Flow, Out);
  if (Packet.View.Flags.Rst) {
    this->erase(Found);
  }
  this->serveHeldOpenings(Now, Out);
}

void SteeringAgentLogic::notifyBalancer(const FlowKey &Key,
                                        SteeringAgentFlow &Flow,
                                        SteerActionList &Out) {
  if (!Flow.Notify || Flow.Balancer == 0) {
    return;
  }
  Flow.Notify = false;
  Taken Notice;
  Notice.Flow = {Key, Flow.Initial};
  Notice.Sequence = Flow.UpstreamSequence.value_or(0);
  Notice.Load = this->Load;
  Notice.Leaving = this->isLeaving();
  Out.emplace_back(
      SendSteer{{Flow.Balancer, this->Settings.PeerPort}, Notice, {}});
}

void SteeringAgentLogic::onReturned(const RoutedPacket &Packet,
                                    SteerActionList &Out) {
  const FlowKey Key = Packet.View.callerFlow();
  const auto Found = this->Flows.find(Key);
  if (!Packet.View.isOpening()) {
    this->onFlowReturned(Packet.View);
  }
  const std::optional<Steer> Header = this->takeForwarded(Packet.Tag);
  if (!Header) {
    RecordDecision Record;
    Record.Kind = Decision::OwnerNotFound;
    Record.Flow = Key;
    Out.emplace_back(Record);
    return;
  }
  if (!Packet.View.isOpening()) {
    const bool IsLost =
        Found != this->Flows.end() &&
        Found->second.Request.hasSent(Packet.View.Acknowledgment);
    if (Found != this->Flows.end()) {
      this->erase(Found);
    }
    if (IsLost && !Packet.View.Flags.Rst) {
      // The caller acknowledges sequence numbers of this upstream, so that no
      // other one can hold the flow: the upstream has restarted.
      Out.emplace_back(this->record(Decision::FlowReset, Key, *Header));
      Out.emplace_back(ResetFlow{Key, Packet.View.Acknowledgment});
      return;
    }
    this->forwardToNext(*Header, Packet, Out);
    return;
  }
  if (Found != this->Flows.end() && !Found->second.UpstreamSequence) {
    this->erase(Found);
  }
  if (!Header->Next.empty()) {
    Out.emplace_back(this->record(Decision::OpeningReturned, Key, *Header));
    Steer NextHeader = *Header;
    NextHeader.Final = false;
    this->forwardToNext(NextHeader, Packet, Out);
    return;
  }
  this->refuse(*Header, {Key, Packet.View.Sequence}, Duration::zero(), Out);
}

std::uint32_t SteeringAgentLogic::recordForwarded(const Steer &Header) {
  const std::uint32_t Tag = this->NextTag;
  // Tag 0 is skipped: other senders write it, so it identifies no packet.
  this->NextTag = Tag + 1 == 0 ? 1 : Tag + 1;
  this->ForwardedPackets[Tag % ForwardedCapacity] = {Tag, Header};
  return Tag;
}

std::optional<Steer> SteeringAgentLogic::takeForwarded(std::uint32_t Tag) {
  ForwardedPacket &Entry = this->ForwardedPackets[Tag % ForwardedCapacity];
  if (Tag == 0 || Entry.Tag != Tag) {
    return std::nullopt;
  }
  Entry.Tag = 0;
  return Entry.Header;
}

void SteeringAgentLogic::addToLoad(SteeringAgentFlow &Flow, std::uint32_t Slots,
                                   Instant Now) {
  Flow.FoundFreeSlot = this->Load < Slots;
  Flow.CountedInLoad = true;
  Flow.ReportedOverdue = false;
  Flow.LoadSince = Now;
  ++this->Load;
}

void SteeringAgentLogic::checkLoad(const FlowKey &Key, SteeringAgentFlow &Flow,
                                   Instant Now, SteerActionList &Out) {
  if (!Flow.CountedInLoad) {
    return;
  }
  const Duration Age = Now - Flow.LoadSince;
  const Duration Timeout = Flow.Request.expectsMoreData()
                               ? std::min(Flow.LoadTimeout, TransferLoadTimeout)
                               : Flow.LoadTimeout;
  RecordDecision Record;
  Record.Flow = Key;
  Record.Load = this->Load;
  Record.Slots = this->Slots;
  Record.Age = Age;
  if (Age >= Timeout) {
    Record.Kind = Decision::LoadExpired;
    Out.emplace_back(Record);
    this->removeFromLoad(Flow);
  } else if (Age >= OverdueFactor * this->ServiceTime.expectedTime(
                                        this->Load, this->Slots)) {
    ++this->Overdue;
    if (!Flow.ReportedOverdue) {
      Flow.ReportedOverdue = true;
      Record.Kind = Decision::RequestOverdue;
      Out.emplace_back(Record);
    }
  }
}

void SteeringAgentLogic::removeFromLoad(SteeringAgentFlow &Flow) {
  if (Flow.CountedInLoad) {
    Flow.CountedInLoad = false;
    --this->Load;
  }
}

void SteeringAgentLogic::erase(FlowMap::iterator Found) {
  this->removeFromLoad(Found->second);
  this->Flows.erase(Found);
}

void SteeringAgentLogic::onService(ServiceId Next) {
  if (Next == this->Settings.Service) {
    return;
  }
  this->Settings.Service = Next;
  this->Flows.clear();
  this->ForeignFlows.clear();
  this->AskedPackets.clear();
  this->Awaited.clear();
  this->HeldOpenings.clear();
  this->Intake = {};
  this->Cold.reset();
  this->Load = 0;
  this->Overdue = 0;
  this->ServiceTime = {};
  this->RouteEstimates = {};
  this->UnansweredOpenings = 0;
  this->Silent = false;
  std::fill(this->ForwardedPackets.begin(), this->ForwardedPackets.end(),
            ForwardedPacket());
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
  this->ReleasedBytes.clear();
  const bool WasClosed = this->Intake.isClosed();
  this->Intake.onTick(Now);
  this->recordIntakeChange(WasClosed, Out);
  this->expireOpenings(Now);
  this->passOnUnanswered(Now, Out);
  this->serveHeldOpenings(Now, Out);
  if (Now < this->NextSweep) {
    return;
  }
  this->NextSweep = Now + SweepPeriod;
  this->Overdue = 0;
  std::erase_if(this->ForeignFlows, [Now](const auto &Entry) {
    return Now - Entry.second.AskedAt.value_or(Now) >= SteeringAgentFlowTimeout;
  });
  for (auto Entry = this->Flows.begin(); Entry != this->Flows.end();) {
    SteeringAgentFlow &Flow = Entry->second;
    this->checkLoad(Entry->first, Flow, Now, Out);
    if (Now - Flow.LastSeen >= SteeringAgentFlowTimeout) {
      this->removeFromLoad(Flow);
      Entry = this->Flows.erase(Entry);
    } else {
      ++Entry;
    }
  }
}

std::optional<Instant> SteeringAgentLogic::nextDue() const {
  if (this->AskedPackets.empty()) {
    return std::nullopt;
  }
  return this->AskedPackets.front().AskedAt + UpstreamResponseTimeout;
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
         this->HeldOpenings.empty() &&
         Now - this->LastFlowPacket >= SteeringAgentQuietPeriod;
}

} // namespace mulberryhoist
