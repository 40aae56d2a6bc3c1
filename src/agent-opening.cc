#include <algorithm>
#include <limits>

#include "mulberryhoist/agent.h"
#include "mulberryhoist/routing.h"

namespace mulberryhoist {

void AgentLogic::onCoordinatedOpening(const CallerPacket &Input, Instant Now,
                                      ActionList &Out) {
  if (this->handleKnownOpening(Input, Now, Out)) {
    return;
  }
  if (Input.Arrived == Arrival::BeforePause) {
    ++this->Counters.StaleDropped;
    return;
  }
  const Service *RequestedService = this->findServedService(Input);
  const bool ForThisAgent = Input.Header.Coordinator == this->Settings.Self;
  if (RequestedService == nullptr || !ForThisAgent) {
    // No refusal is recorded: this agent may have a newer table by the time of
    // the caller's next retransmission.
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
  this->coordinate(Input, *RequestedService, Now, Out);
}

bool AgentLogic::handleKnownOpening(const CallerPacket &Input, Instant Now,
                                    ActionList &Out) {
  const FlowKey Key = Input.View.callerFlow();
  const FlowIncarnation Flow{Key, Input.View.Sequence};
  if (const auto Found = this->Flows.find(Key); Found != this->Flows.end()) {
    if (this->handleOpeningAtOwner(Found, Input, Now, Out)) {
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
  const auto KnownRedirect = this->Redirects.find(Key);
  if (KnownRedirect != this->Redirects.end() &&
      KnownRedirect->second.Initial == Flow.Initial) {
    ++this->Counters.Duplicates;
    KnownRedirect->second.LastUsed = Now;
    this->relay(KnownRedirect->second.Owner, Input, false, Out);
    return true;
  }
  return false;
}

bool AgentLogic::handleOpeningAtOwner(FlowMap::iterator Found,
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
    // The earlier opening never reached the upstream, or both ends of its flow
    // have sent FIN.
    this->endFlow(Found, Now, Out);
    return false;
  }
  // The opening is either late and of an older incarnation, or the caller has
  // lost this flow and reuses its port; only the caller's TCP can tell.
  ++this->Counters.Challenges;
  const ControlPacket Challenge = makeChallenge(Found->first, Flow);
  Out.push_back(SendToCaller{
      this->retainBytes(std::vector(Challenge.begin(), Challenge.end()))});
  return true;
}

void AgentLogic::coordinate(const CallerPacket &Input,
                            const Service &RequestedService, Instant Now,
                            ActionList &Out) {
  const FlowKey Key = Input.View.callerFlow();
  const FlowIncarnation Flow{Key, Input.View.Sequence};
  ++this->Counters.Openings;
  this->Retries.earn();
  const bool Draining = this->isDraining(RequestedService.Id);
  if (Draining) {
    // Notifies a balancer that has not detected the drain; the opening is still
    // offered to other candidates.
    Out.push_back(
        SendMessage{Input.From,
                    Decline{Flow, this->Settings.Self, DeclineReason::Draining},
                    {}});
  }
  const bool SelfEligible = !Draining && !this->Refusals.find(Flow, Now);
  const auto Rows = this->InForce->assignments(RequestedService.Id);
  this->UpstreamBuffer.resize(Rows.size());
  auto Others = orderCandidates(Rows, Key, this->UpstreamBuffer);
  const auto End =
      std::remove(Others.begin(), Others.end(), this->Settings.Self);
  Others = Others.first(static_cast<std::size_t>(End - Others.begin()));
  const std::uint64_t Query = this->NextQuery++;
  const auto [Current, Added] = this->Openings.emplace(
      Key, Opening(Flow, RequestedService.Id, Input.Bytes, Others, SelfEligible,
                   Query, Now));
  this->Queries.emplace(Query, Key);
  if (SelfEligible && this->AdmissionControl.active() == 0) {
    Current->second.skipQueries();
  }
  if (Current->second.state() == OpeningState::Querying) {
    for (const UpstreamId Id : Current->second.queried()) {
      if (const auto To = this->findAgent(Id)) {
        Out.push_back(
            SendMessage{*To, LoadQuery{Query, RequestedService.Id}, {}});
      }
    }
  }
  this->advance(Current, Now, Out);
}

void AgentLogic::advance(OpeningMap::iterator Current, Instant Now,
                         ActionList &Out) {
  Opening &Entry = Current->second;
  for (;;) {
    // A coordinator without room would decline, so it is the last choice.
    const ServiceId RequestedService = Entry.service();
    Entry.setSelfLoad(
        this->AdmissionControl.hasRoom(RequestedService)
            ? this->AdmissionControl.load(this->weightOf(RequestedService), Now)
            : std::numeric_limits<std::uint32_t>::max());
    switch (Entry.step(this->Retries, Now)) {
    case OpeningStep::Wait:
      return;
    case OpeningStep::OfferToSelf:
      if (this->offerToSelf(Entry, Now, Out)) {
        this->removeOpening(Current);
        return;
      }
      break;
    case OpeningStep::OfferToOther:
      this->offerToOther(Entry, Out);
      break;
    case OpeningStep::Refuse:
      this->refuse(Entry.flow(), Entry.packet(), Now, Out);
      this->removeOpening(Current);
      return;
    case OpeningStep::LeaveUnanswered:
      ++this->Counters.Unanswered;
      this->removeOpening(Current);
      return;
    }
  }
}

bool AgentLogic::offerToSelf(Opening &Current, Instant Now, ActionList &Out) {
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

void AgentLogic::offerToOther(Opening &Current, ActionList &Out) {
  const UpstreamId Candidate = *Current.offeredTo();
  const auto To = this->findAgent(Candidate);
  if (!To) {
    // Nothing was sent, so the opening cannot run there.
    Current.recordDeclined(Candidate);
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
  // Without a record of the refusal, a late retransmission could run after the
  // caller was told "not run". So no refusal is sent if the store is full.
  if (!View || !this->Refusals.add(Flow, RefusalKind::Refused, Now)) {
    ++this->Counters.StoreFull;
    ++this->Counters.Unanswered;
    return;
  }
  ++this->Counters.Refused;
  Out.push_back(ResetCaller{makeResetFor(*View), ErrorKind::RefusedNotRun});
}

void AgentLogic::onOfferedOpening(const CallerPacket &Input, Instant Now,
                                  ActionList &Out) {
  const FlowKey Key = Input.View.callerFlow();
  const FlowIncarnation Flow{Key, Input.View.Sequence};
  if (const auto Found = this->Flows.find(Key); Found != this->Flows.end()) {
    const bool IsSame = Found->second.State != FlowState::Adopted &&
                        Found->second.Initial == Flow.Initial;
    if (this->handleOpeningAtOwner(Found, Input, Now, Out)) {
      // A challenged opening has no outcome yet.
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
  if (Input.Arrived == Arrival::BeforePause) {
    ++this->Counters.StaleDropped;
    this->decline(Input, DeclineReason::Stale, Now, Out);
    return;
  }
  const Service *RequestedService = this->findServedService(Input);
  if (RequestedService == nullptr) {
    Out.push_back(ReportError{ErrorKind::WrongService});
    this->decline(Input, DeclineReason::WrongService, Now, Out);
    return;
  }
  if (this->isDraining(RequestedService->Id)) {
    this->decline(Input, DeclineReason::Draining, Now, Out);
    return;
  }
  const auto Reason =
      this->accept(Input.View, Input.Bytes, RequestedService->Id, Now, Out);
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
  // No decline is sent if it cannot be recorded, as in `refuse`.
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
  const AdmissionResult Answer =
      this->AdmissionControl.offer(Key, Service, Now, this->Shed);
  if (Answer == AdmissionResult::Declined) {
    return DeclineReason::Full;
  }
  FlowRecord &Flow =
      this->Flows.emplace(Key, makeOpeningRecord(View, Service, Now))
          .first->second;
  this->AdmissionControl.addConnection(Service);
  ++this->Counters.Accepted;
  if (Answer == AdmissionResult::Started) {
    Flow.State = nextFlowState(Flow.State, FlowEvent::SlotGranted);
    Flow.Working = true;
    Out.push_back(DeliverToUpstream{Packet});
  } else {
    ++this->Counters.Queued;
    this->WaitingPackets.insert_or_assign(
        Key, std::vector(Packet.begin(), Packet.end()));
  }
  for (const WaitingOpening &Waiting : this->Shed) {
    this->refuseWaitingOpening(Waiting, Now, Out);
  }
  return std::nullopt;
}

void AgentLogic::refuseWaitingOpening(const WaitingOpening &Waiting,
                                      Instant Now, ActionList &Out) {
  const auto Found = this->Flows.find(Waiting.Key);
  const auto Packet = this->WaitingPackets.find(Waiting.Key);
  if (Found == this->Flows.end() || Packet == this->WaitingPackets.end()) {
    return;
  }
  this->refuse({Waiting.Key, Found->second.Initial}, Packet->second, Now, Out);
  this->WaitingPackets.erase(Packet);
  this->Flows.erase(Found);
  this->AdmissionControl.removeConnection(Waiting.Service);
  ++this->Counters.FlowsEnded;
}

void AgentLogic::startWaitingOpenings(Instant Now, ActionList &Out) {
  if (this->AdmissionControl.waiting() == 0) {
    return;
  }
  this->Shed.clear();
  this->AdmissionControl.expire(Now, this->Shed);
  for (const WaitingOpening &Waiting : this->Shed) {
    this->refuseWaitingOpening(Waiting, Now, Out);
  }
  while (const auto Next = this->AdmissionControl.startNext(Now)) {
    const auto Found = this->Flows.find(Next->Key);
    const auto Packet = this->WaitingPackets.find(Next->Key);
    if (Found == this->Flows.end() || Packet == this->WaitingPackets.end()) {
      this->AdmissionControl.endWork(Next->Service, Now);
      continue;
    }
    FlowRecord &Flow = Found->second;
    Flow.State = nextFlowState(Flow.State, FlowEvent::SlotGranted);
    Flow.Working = true;
    // The handshake starts now, so its time limit does too.
    Flow.Accepted = Now;
    Flow.LastPacket = Now;
    Out.push_back(
        DeliverToUpstream{this->retainBytes(std::move(Packet->second))});
    this->WaitingPackets.erase(Packet);
  }
}

void AgentLogic::removeOpening(OpeningMap::iterator Current) {
  this->Queries.erase(Current->second.query());
  // Actions of this event may refer to the opening's packet.
  this->retainBytes(Current->second.takePacket());
  this->Openings.erase(Current);
}

void AgentLogic::onOwnerNotice(const OwnerNotice &Body, Instant Now,
                               ActionList & /*Out*/) {
  const FlowKey &Key = Body.Flow.Key;
  const auto Current = this->Openings.find(Key);
  if (Current != this->Openings.end() && Current->second.flow() == Body.Flow) {
    if (Current->second.recordAccepted(Body.Owner)) {
      this->setRedirect(Key, Body.Owner, Body.Flow.Initial, Now);
      this->removeOpening(Current);
    }
    return;
  }
  // A late notice must not replace an owner that replied in time.
  if (Body.Owner != this->Settings.Self && !this->Redirects.contains(Key)) {
    this->setRedirect(Key, Body.Owner, Body.Flow.Initial, Now);
  }
}

void AgentLogic::onDecline(const Decline &Body, Instant Now, ActionList &Out) {
  const FlowKey &Key = Body.Flow.Key;
  const auto Current = this->Openings.find(Key);
  if (Current != this->Openings.end() && Current->second.flow() == Body.Flow) {
    if (Current->second.recordDeclined(Body.Upstream)) {
      this->advance(Current, Now, Out);
    }
    return;
  }
  // The owner no longer has the flow, so the caller's next retransmission is
  // handled as a new opening.
  const auto KnownRedirect = this->Redirects.find(Key);
  if (KnownRedirect != this->Redirects.end() &&
      KnownRedirect->second.Owner == Body.Upstream &&
      KnownRedirect->second.Initial == Body.Flow.Initial) {
    this->Redirects.erase(KnownRedirect);
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
    this->advance(Current, Now, Out);
  }
}

} // namespace mulberryhoist
