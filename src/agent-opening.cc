#include <algorithm>
#include <limits>

#include "mulberryhoist/agent.h"
#include "mulberryhoist/routing.h"

namespace mulberryhoist {

void AgentLogic::onCoordinatedOpening(const CallerPacket &Input, Instant Now,
                                      ActionList &Out) {
  if (this->isKnownOpening(Input, Now, Out)) {
    return;
  }
  if (Input.When == Arrival::BeforePause) {
    ++this->Counters.StaleDropped;
    return;
  }
  const Service *Wanted = this->servedHere(Input);
  const bool ForThisAgent = Input.Header.Coordinator == this->Settings.Self;
  if (Wanted == nullptr || !ForThisAgent) {
    // Without a record: the caller's next copy may find a newer table here.
    Out.push_back(ReportError{ErrorKind::WrongService});
    const FlowIncarnation Flow{Input.View.callerFlow(), Input.View.Sequence};
    Out.push_back(SendMessage{
        Input.From,
        Decline{Flow, this->Settings.Self, DeclineReason::WrongService},
        {}});
    return;
  }
  if (this->Openings.size() >= this->Settings.Capacity.Openings) {
    ++this->Counters.StoreFull;
    return;
  }
  this->coordinate(Input, *Wanted, Now, Out);
}

bool AgentLogic::isKnownOpening(const CallerPacket &Input, Instant Now,
                                ActionList &Out) {
  const FlowKey Key = Input.View.callerFlow();
  const FlowIncarnation Flow{Key, Input.View.Sequence};
  if (const auto Found = this->Flows.find(Key); Found != this->Flows.end()) {
    if (this->repeatAtOwner(Found, Input, Now, Out)) {
      return true;
    }
  }
  if (this->Openings.contains(Key)) {
    ++this->Counters.Duplicates;
    return true;
  }
  if (this->Refusals.find(Flow, Now) == RefusalKind::Refused) {
    ++this->Counters.Duplicates;
    Out.push_back(
        ResetCaller{makeResetFor(Input.View), ErrorKind::RefusedNotRun});
    return true;
  }
  const auto Known = this->Redirects.find(Key);
  if (Known != this->Redirects.end() && Known->second.Initial == Flow.Initial) {
    ++this->Counters.Duplicates;
    Known->second.LastUsed = Now;
    this->relay(Known->second.Owner, Input, false, Out);
    return true;
  }
  return false;
}

bool AgentLogic::repeatAtOwner(FlowMap::iterator Found,
                               const CallerPacket &Input, Instant Now,
                               ActionList &Out) {
  FlowRecord &Flow = Found->second;
  const bool IsAdopted = Flow.State == FlowState::Adopted;
  if (!IsAdopted && Flow.Initial == Input.View.Sequence) {
    ++this->Counters.Duplicates;
    if (Flow.isHalfOpen() || Flow.State == FlowState::Established) {
      Out.push_back(DeliverToUpstream{Input.Bytes});
    }
    return true;
  }
  if (Flow.State == FlowState::Queued || Flow.State == FlowState::Closing) {
    // The earlier opening never reached the upstream, or that flow is over.
    this->endFlow(Found, Now, Out);
    return false;
  }
  // Either a late copy of an older opening, or the caller lost this flow and
  // uses its port again; only the caller's TCP can tell.
  ++this->Counters.Challenges;
  const ControlPacket Challenge = makeChallenge(Found->first, Flow);
  Out.push_back(SendToCaller{
      this->keep(std::vector(Challenge.begin(), Challenge.end()))});
  return true;
}

void AgentLogic::coordinate(const CallerPacket &Input, const Service &Wanted,
                            Instant Now, ActionList &Out) {
  const FlowKey Key = Input.View.callerFlow();
  const FlowIncarnation Flow{Key, Input.View.Sequence};
  ++this->Counters.Openings;
  this->Retries.earn();
  const bool Draining = this->isDraining(Wanted.Id);
  if (Draining) {
    // Tells a balancer that has not noticed; the opening goes to the others.
    Out.push_back(
        SendMessage{Input.From,
                    Decline{Flow, this->Settings.Self, DeclineReason::Draining},
                    {}});
  }
  const bool TakesPart = !Draining && !this->Refusals.find(Flow, Now);
  const auto Rows = this->InForce->assignments(Wanted.Id);
  this->Ordered.resize(Rows.size());
  auto Others = orderCandidates(Rows, Key, this->Ordered);
  const auto End =
      std::remove(Others.begin(), Others.end(), this->Settings.Self);
  Others = Others.first(static_cast<std::size_t>(End - Others.begin()));
  const std::uint64_t Query = this->NextQuery++;
  const auto [Current, Added] =
      this->Openings.emplace(Key, Opening(Flow, Wanted.Id, Input.Bytes, Others,
                                          TakesPart, Query, Now));
  this->Queries.emplace(Query, Key);
  if (TakesPart && this->Admitted.active() == 0) {
    Current->second.skipQueries();
  }
  if (Current->second.state() == OpeningState::Querying) {
    for (const UpstreamId Id : Current->second.queried()) {
      if (const auto To = this->agentOf(Id)) {
        Out.push_back(SendMessage{*To, LoadQuery{Query, Wanted.Id}, {}});
      }
    }
  }
  this->run(Current, Now, Out);
}

void AgentLogic::run(OpeningMap::iterator Current, Instant Now,
                     ActionList &Out) {
  Opening &Entry = Current->second;
  for (;;) {
    // A coordinator without room would decline, so it is asked last.
    const ServiceId Wanted = Entry.service();
    Entry.setSelfLoad(this->Admitted.hasRoom(Wanted)
                          ? this->Admitted.load(this->weightOf(Wanted), Now)
                          : std::numeric_limits<std::uint32_t>::max());
    switch (Entry.step(this->Retries, Now)) {
    case OpeningStep::Wait:
      return;
    case OpeningStep::OfferToSelf:
      if (this->askSelf(Entry, Now, Out)) {
        this->forget(Current);
        return;
      }
      break;
    case OpeningStep::OfferToOther:
      this->askOther(Entry, Out);
      break;
    case OpeningStep::Refuse:
      this->refuse(Entry.flow(), Entry.packet(), Now, Out);
      this->forget(Current);
      return;
    case OpeningStep::LeaveUnanswered:
      ++this->Counters.Unanswered;
      this->forget(Current);
      return;
    }
  }
}

bool AgentLogic::askSelf(Opening &Current, Instant Now, ActionList &Out) {
  const FlowIncarnation Flow = Current.flow();
  const Result<PacketView> View = parsePacket(Current.packet());
  const bool Draining = this->isDraining(Current.service());
  if (View && !Draining && !this->Flows.contains(Flow.Key) &&
      !this->accept(*View, Current.packet(), Current.service(), Now, Out)) {
    Current.recordAccepted(std::nullopt);
    return true;
  }
  ++this->Counters.Declined;
  this->Refusals.add(Flow, RefusalKind::Declined, Now);
  Current.recordDeclined(std::nullopt);
  return false;
}

void AgentLogic::askOther(Opening &Current, ActionList &Out) {
  const UpstreamId Asked = *Current.offeredTo();
  const auto To = this->agentOf(Asked);
  if (!To) {
    // Nothing was sent, so it is sure not to run there.
    Current.recordDeclined(Asked);
    return;
  }
  Forward Header;
  Header.Opening = true;
  Header.Service = Current.service();
  Header.Coordinator = this->Settings.Self;
  Header.Table = this->InForce->version();
  Header.Relayed = true;
  Out.push_back(SendMessage{*To, Header, Current.packet()});
}

void AgentLogic::refuse(const FlowIncarnation &Flow, PacketBytes Packet,
                        Instant Now, ActionList &Out) {
  const Result<PacketView> View = parsePacket(Packet);
  // A refusal that cannot be remembered is not given: a late copy could run.
  if (!View || !this->Refusals.add(Flow, RefusalKind::Refused, Now)) {
    ++this->Counters.StoreFull;
    ++this->Counters.Unanswered;
    return;
  }
  ++this->Counters.Refused;
  Out.push_back(ResetCaller{makeResetFor(*View), ErrorKind::RefusedNotRun});
}

void AgentLogic::onAskedOpening(const CallerPacket &Input, Instant Now,
                                ActionList &Out) {
  const FlowKey Key = Input.View.callerFlow();
  const FlowIncarnation Flow{Key, Input.View.Sequence};
  if (const auto Found = this->Flows.find(Key); Found != this->Flows.end()) {
    const bool IsSame = Found->second.State != FlowState::Adopted &&
                        Found->second.Initial == Flow.Initial;
    if (this->repeatAtOwner(Found, Input, Now, Out)) {
      // To a challenged opening there is no answer yet.
      if (IsSame) {
        Out.push_back(SendMessage{
            Input.From, OwnerNotice{Flow, this->Settings.Self}, {}});
      }
      return;
    }
  }
  if (this->Refusals.find(Flow, Now)) {
    this->decline(Input, DeclineReason::AlreadyRefused, Now, Out);
    return;
  }
  if (Input.When == Arrival::BeforePause) {
    ++this->Counters.StaleDropped;
    this->decline(Input, DeclineReason::Stale, Now, Out);
    return;
  }
  const Service *Wanted = this->servedHere(Input);
  if (Wanted == nullptr) {
    Out.push_back(ReportError{ErrorKind::WrongService});
    this->decline(Input, DeclineReason::WrongService, Now, Out);
    return;
  }
  if (this->isDraining(Wanted->Id)) {
    this->decline(Input, DeclineReason::Draining, Now, Out);
    return;
  }
  const auto Reason =
      this->accept(Input.View, Input.Bytes, Wanted->Id, Now, Out);
  if (Reason) {
    this->decline(Input, *Reason, Now, Out);
    return;
  }
  Out.push_back(
      SendMessage{Input.From, OwnerNotice{Flow, this->Settings.Self}, {}});
}

void AgentLogic::decline(const CallerPacket &Input, DeclineReason Reason,
                         Instant Now, ActionList &Out) {
  const FlowIncarnation Flow{Input.View.callerFlow(), Input.View.Sequence};
  // A decline that cannot be remembered is not given, see `refuse`.
  if (!this->Refusals.add(Flow, RefusalKind::Declined, Now)) {
    ++this->Counters.StoreFull;
    return;
  }
  ++this->Counters.Declined;
  Out.push_back(
      SendMessage{Input.From, Decline{Flow, this->Settings.Self, Reason}, {}});
}

std::optional<DeclineReason> AgentLogic::accept(const PacketView &View,
                                                PacketBytes Packet,
                                                ServiceId Service, Instant Now,
                                                ActionList &Out) {
  if (this->Flows.size() >= this->Settings.Capacity.Flows) {
    ++this->Counters.StoreFull;
    return DeclineReason::Full;
  }
  const FlowKey Key = View.callerFlow();
  this->Shed.clear();
  const AdmissionAnswer Answer =
      this->Admitted.offer(Key, Service, Now, this->Shed);
  if (Answer == AdmissionAnswer::Declined) {
    return DeclineReason::Full;
  }
  FlowRecord &Flow =
      this->Flows.emplace(Key, makeOpeningRecord(View, Service, Now))
          .first->second;
  this->Admitted.addConnection(Service);
  ++this->Counters.Accepted;
  if (Answer == AdmissionAnswer::Started) {
    Flow.State = nextFlowState(Flow.State, FlowEvent::SlotGranted);
    Flow.Working = true;
    Out.push_back(DeliverToUpstream{Packet});
  } else {
    ++this->Counters.Queued;
    this->WaitingPackets.insert_or_assign(
        Key, std::vector(Packet.begin(), Packet.end()));
  }
  for (const WaitingOpening &Waiting : this->Shed) {
    this->refuseWaiting(Waiting, Now, Out);
  }
  return std::nullopt;
}

void AgentLogic::refuseWaiting(const WaitingOpening &Waiting, Instant Now,
                               ActionList &Out) {
  const auto Found = this->Flows.find(Waiting.Key);
  const auto Packet = this->WaitingPackets.find(Waiting.Key);
  if (Found == this->Flows.end() || Packet == this->WaitingPackets.end()) {
    return;
  }
  this->refuse({Waiting.Key, Found->second.Initial}, Packet->second, Now, Out);
  this->WaitingPackets.erase(Packet);
  this->Flows.erase(Found);
  this->Admitted.removeConnection(Waiting.Service);
  ++this->Counters.FlowsEnded;
}

void AgentLogic::startWaiting(Instant Now, ActionList &Out) {
  if (this->Admitted.waiting() == 0) {
    return;
  }
  this->Shed.clear();
  this->Admitted.expire(Now, this->Shed);
  for (const WaitingOpening &Waiting : this->Shed) {
    this->refuseWaiting(Waiting, Now, Out);
  }
  while (const auto Next = this->Admitted.startNext(Now)) {
    const auto Found = this->Flows.find(Next->Key);
    const auto Packet = this->WaitingPackets.find(Next->Key);
    if (Found == this->Flows.end() || Packet == this->WaitingPackets.end()) {
      this->Admitted.endWork(Next->Service, Now);
      continue;
    }
    FlowRecord &Flow = Found->second;
    Flow.State = nextFlowState(Flow.State, FlowEvent::SlotGranted);
    Flow.Working = true;
    // The handshake begins now, not when the opening was queued.
    Flow.Accepted = Now;
    Flow.LastPacket = Now;
    Out.push_back(DeliverToUpstream{this->keep(std::move(Packet->second))});
    this->WaitingPackets.erase(Packet);
  }
}

void AgentLogic::forget(OpeningMap::iterator Current) {
  this->Queries.erase(Current->second.query());
  // Actions of this event may refer to the packet of the opening.
  this->keep(Current->second.takePacket());
  this->Openings.erase(Current);
}

void AgentLogic::onOwnerNotice(const OwnerNotice &Body, Instant Now,
                               ActionList & /*Out*/) {
  const FlowKey &Key = Body.Flow.Key;
  const auto Current = this->Openings.find(Key);
  if (Current != this->Openings.end() && Current->second.flow() == Body.Flow) {
    if (Current->second.recordAccepted(Body.Owner)) {
      this->setRedirect(Key, Body.Owner, Body.Flow.Initial, Now);
      this->forget(Current);
    }
    return;
  }
  // A late notice must not replace the owner that answered in time.
  if (Body.Owner != this->Settings.Self && !this->Redirects.contains(Key)) {
    this->setRedirect(Key, Body.Owner, Body.Flow.Initial, Now);
  }
}

void AgentLogic::onDecline(const Decline &Body, Instant Now, ActionList &Out) {
  const FlowKey &Key = Body.Flow.Key;
  const auto Current = this->Openings.find(Key);
  if (Current != this->Openings.end() && Current->second.flow() == Body.Flow) {
    if (Current->second.recordDeclined(Body.Upstream)) {
      this->run(Current, Now, Out);
    }
    return;
  }
  // The owner has forgotten the flow; the caller's next copy is placed anew.
  const auto Known = this->Redirects.find(Key);
  if (Known != this->Redirects.end() && Known->second.Owner == Body.Upstream &&
      Known->second.Initial == Body.Flow.Initial) {
    this->Redirects.erase(Known);
  }
}

void AgentLogic::onLoadReply(const LoadReply &Body, Instant Now,
                             ActionList &Out) {
  const auto Query = this->Queries.find(Body.Query);
  if (Query == this->Queries.end()) {
    return;
  }
  const auto Current = this->Openings.find(Query->second);
  if (Current != this->Openings.end() &&
      Current->second.query() == Body.Query) {
    Current->second.recordLoad(Body);
    this->run(Current, Now, Out);
  }
}

} // namespace mulberryhoist
