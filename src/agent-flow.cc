#include <algorithm>

#include "mulberryhoist/agent.h"

namespace mulberryhoist {

void AgentLogic::onFlowPacket(const CallerPacket &Input, Instant Now,
                              ActionList &Out) {
  const FlowKey Key = Input.View.callerFlow();
  const auto OwnFlow = this->Flows.find(Key);
  if (OwnFlow != this->Flows.end() &&
      matchesFlow(OwnFlow->second, sequenceNumbersOf(Input.View))) {
    this->deliver(OwnFlow, Input, Now, Out);
    return;
  }
  if (OwnFlow != this->Flows.end() && OwnFlow->second.isHalfOpen() &&
      Input.View.Flags.Rst) {
    // The reset may end an earlier connection that keeps the upstream from
    // answering the opening; the upstream's TCP checks the sequence number.
    Out.push_back(DeliverToUpstream{Input.Bytes});
  }
  if (Input.Header.Relayed) {
    const bool Adopted =
        Input.Header.Adopt && this->adopt(Input, Input.From, Now, Out);
    if (!Adopted) {
      ++this->Counters.NotOwned;
      Out.push_back(
          SendMessage{Input.From, NotOwner{Key, this->Settings.Self}, {}});
    }
    return;
  }
  const auto Search = this->Searches.find(Key);
  const bool Adopting =
      Search != this->Searches.end() && Search->second.isAdopting();
  const auto KnownRedirect = this->Redirects.find(Key);
  if (KnownRedirect != this->Redirects.end()) {
    KnownRedirect->second.LastUsed = Now;
    this->relay(KnownRedirect->second.Owner, Input, Adopting, Out);
    return;
  }
  this->locate(Input, Now, Out);
}

void AgentLogic::deliver(FlowMap::iterator Found, const CallerPacket &Input,
                         Instant Now, ActionList &Out) {
  FlowRecord &Flow = Found->second;
  if (Flow.isUnconfirmed()) {
    this->deliverUnconfirmed(Flow, Input, Now, Out);
    return;
  }
  const RequestEvent Event = recordCallerPacket(Flow, Input.View, Now);
  if (Event == RequestEvent::Began) {
    this->setWorking(Flow, true, Now);
  }
  Out.push_back(DeliverToUpstream{Input.Bytes});
  if (Flow.State == FlowState::Ended) {
    this->endFlow(Found, Now, Out);
  }
}

void AgentLogic::deliverUnconfirmed(FlowRecord &Flow, const CallerPacket &Input,
                                    Instant Now, ActionList &Out) {
  if (Input.View.Payload.empty()) {
    recordCallerPacket(Flow, Input.View, Now);
    Out.push_back(DeliverToUpstream{Input.Bytes});
    return;
  }
  // The caller retransmits the payload. Like a TCP keep-alive, a sequence
  // number below the expected one makes an upstream that has the flow reply
  // with an acknowledgment.
  PacketView WithoutPayload = Input.View;
  WithoutPayload.Payload = {};
  WithoutPayload.Flags.Fin = false;
  recordCallerPacket(Flow, WithoutPayload, Now);
  const ControlPacket KeepAlive = makeAcknowledgment(
      WithoutPayload.Source, WithoutPayload.Destination,
      WithoutPayload.Sequence - 1, WithoutPayload.Acknowledgment);
  Out.push_back(DeliverToUpstream{
      this->retainBytes(std::vector(KeepAlive.begin(), KeepAlive.end()))});
}

bool AgentLogic::adopt(const CallerPacket &Input, std::optional<Endpoint> From,
                       Instant Now, ActionList &Out) {
  const FlowKey Key = Input.View.callerFlow();
  if (this->Flows.contains(Key)) {
    return false;
  }
  if (Input.View.Flags.Rst) {
    // The flow ends with the reset, so it needs no record.
    Out.push_back(DeliverToUpstream{Input.Bytes});
    return true;
  }
  if (this->Flows.size() >= this->Settings.Capacity.Flows) {
    ++this->Counters.StoreFull;
    return false;
  }
  const ServiceId ListedService = this->listedService(Input.View.Destination);
  FlowRecord &Flow =
      this->Flows.emplace(Key, makeAdoptedRecord(ListedService, Now))
          .first->second;
  Flow.ProbationEnd = Now + AdoptTimeout;
  Flow.AdoptedFrom = From;
  this->AdmissionControl.addConnection(ListedService);
  ++this->Counters.Adopted;
  this->deliverUnconfirmed(Flow, Input, Now, Out);
  return true;
}

void AgentLogic::relay(UpstreamId Owner, const CallerPacket &Input, bool Adopt,
                       ActionList &Out) {
  const auto To = this->findAgent(Owner);
  if (!To) {
    this->Redirects.erase(Input.View.callerFlow());
    Out.push_back(ReportError{ErrorKind::PeerUnreachable});
    return;
  }
  ++this->Counters.Relayed;
  Forward Header = Input.Header;
  Header.Opening = Input.View.isOpening();
  Header.Coordinator = this->Settings.Self;
  Header.Relayed = true;
  Header.Adopt = Adopt;
  Out.push_back(SendMessage{*To, Header, Input.Bytes});
}

void AgentLogic::locate(const CallerPacket &Input, Instant Now,
                        ActionList &Out) {
  const FlowKey Key = Input.View.callerFlow();
  auto Found = this->Searches.find(Key);
  if (Found == this->Searches.end()) {
    if (!this->ensureSearchCapacity(Now)) {
      ++this->Counters.StoreFull;
      return;
    }
    Found = this->Searches
                .emplace(Key, LocateSearch(this->Settings.GoneConfirmation))
                .first;
  }
  LocateSearch &Search = Found->second;
  const bool BeginsRound = Search.isIdle(Now);
  if (!BeginsRound && Search.isBackingOff()) {
    // The caller retransmits the packet.
    ++this->Counters.LocateDropped;
    Search.touch(Now);
    return;
  }
  if (!Search.buffer(Input.Bytes, Now)) {
    ++this->Counters.LocateDropped;
  }
  if (BeginsRound) {
    this->beginLocateRound(Search, Input, Now, Out);
  }
  this->advance(Found, Now, Out);
}

void AgentLogic::beginLocateRound(LocateSearch &Search,
                                  const CallerPacket &Input, Instant Now,
                                  ActionList &Out) {
  ++this->Counters.LocateRounds;
  const FlowKey Key = Input.View.callerFlow();
  this->UpstreamBuffer.clear();
  if (this->InForce) {
    const auto Group = this->InForce->locateGroup(Key.Service);
    this->UpstreamBuffer.assign(Group.begin(), Group.end());
  }
  const bool IsListed = !this->UpstreamBuffer.empty();
  std::erase(this->UpstreamBuffer, this->Settings.Self);
  // A balancer with a newer table may know members that are missing from this
  // coordinator's table.
  const bool Complete =
      IsListed && !isOlder(this->InForce->version(), Input.Header.Table);
  const bool SelfMayOwn =
      this->restartedRecently(Now) && !this->Flows.contains(Key);
  const SequenceNumbers Numbers = sequenceNumbersOf(Input.View);
  Search.beginRound(Numbers, this->UpstreamBuffer, SelfMayOwn, Complete, Now);
  for (const UpstreamId Id : this->UpstreamBuffer) {
    if (const auto To = this->findAgent(Id)) {
      Out.push_back(SendMessage{
          *To, Locate{Key, Numbers.Sequence, Numbers.Acknowledgment}, {}});
    }
  }
}

void AgentLogic::advance(SearchMap::iterator Current, Instant Now,
                         ActionList &Out) {
  const FlowKey Key = Current->first;
  LocateSearch &Search = Current->second;
  switch (Search.step(Now)) {
  case LocateStep::Wait:
    if (Search.isExpired(Now)) {
      this->Searches.erase(Current);
    }
    return;
  case LocateStep::Found:
    this->setRedirect(Key, *Search.owner(), Search.incarnation(), Now);
    this->forwardBuffered(Current, false, Now, Out);
    this->Searches.erase(Current);
    return;
  case LocateStep::AdoptOther:
    this->setRedirect(Key, *Search.owner(), 0, Now);
    this->forwardBuffered(Current, true, Now, Out);
    return;
  case LocateStep::AdoptSelf:
    this->forwardBuffered(Current, true, Now, Out);
    return;
  case LocateStep::Adopted:
    this->Searches.erase(Current);
    return;
  case LocateStep::NotFound:
    if (!Search.buffered().empty()) {
      const Result<PacketView> View = parsePacket(Search.buffered().front());
      if (View && !View->Flags.Rst) {
        ++this->Counters.Resets[static_cast<std::size_t>(EndReason::Gone)];
        Out.push_back(
            ResetCaller{makeResetFor(*View), ErrorKind::OutcomeUnknown});
      }
    }
    this->Searches.erase(Current);
    return;
  case LocateStep::DropBuffered:
    this->Counters.LocateDropped += Search.buffered().size();
    Search.buffered().clear();
    return;
  }
}

void AgentLogic::forwardBuffered(SearchMap::iterator Current, bool Adopt,
                                 Instant Now, ActionList &Out) {
  LocateSearch &Search = Current->second;
  for (const std::vector<std::uint8_t> &Bytes : Search.buffered()) {
    // The search keeps its own copy for other agents that may have to be tried.
    const PacketBytes Packet = this->retainBytes(Bytes);
    const Result<PacketView> View = parsePacket(Packet);
    if (!View) {
      continue;
    }
    CallerPacket Input{Packet, *View, {}, {}, Arrival::Fresh};
    if (this->InForce) {
      Input.Header.Table = this->InForce->version();
    }
    const auto OwnFlow = this->Flows.find(Current->first);
    if (Search.owner()) {
      this->relay(*Search.owner(), Input, Adopt, Out);
    } else if (OwnFlow != this->Flows.end() &&
               matchesFlow(OwnFlow->second, sequenceNumbersOf(*View))) {
      this->deliver(OwnFlow, Input, Now, Out);
    } else {
      this->adopt(Input, std::nullopt, Now, Out);
    }
  }
}

void AgentLogic::onLocate(Endpoint From, const Locate &Body, Instant Now,
                          ActionList &Out) {
  LocateReply Reply;
  Reply.Flow.Key = Body.Key;
  Reply.Upstream = this->Settings.Self;
  Reply.Acknowledgment = Body.Acknowledgment;
  const auto OwnFlow = this->Flows.find(Body.Key);
  if (OwnFlow == this->Flows.end()) {
    Reply.Answer =
        this->restartedRecently(Now) ? OwnerAnswer::Maybe : OwnerAnswer::No;
  } else if (matchesFlow(OwnFlow->second,
                         {Body.Sequence, Body.Acknowledgment})) {
    // An adopted flow is confirmed once its upstream has sent a segment.
    const bool Certain = OwnFlow->second.UpstreamNumbersKnown;
    Reply.Answer = Certain ? OwnerAnswer::Owns : OwnerAnswer::Maybe;
    Reply.Flow.Initial = OwnFlow->second.Initial;
  }
  Out.push_back(SendMessage{From, Reply, {}});
}

void AgentLogic::onLocateReply(const LocateReply &Body, Instant Now,
                               ActionList &Out) {
  const auto Current = this->Searches.find(Body.Flow.Key);
  if (Current != this->Searches.end()) {
    Current->second.recordReply(Body);
    this->advance(Current, Now, Out);
  }
}

void AgentLogic::onNotOwner(const FlowKey &Key, std::optional<UpstreamId> By,
                            Instant Now, ActionList &Out) {
  const auto KnownRedirect = this->Redirects.find(Key);
  if (KnownRedirect != this->Redirects.end() &&
      By == KnownRedirect->second.Owner) {
    this->Redirects.erase(KnownRedirect);
  }
  const auto Current = this->Searches.find(Key);
  if (Current != this->Searches.end() && Current->second.recordNotOwner(By)) {
    this->advance(Current, Now, Out);
  }
}

bool AgentLogic::ensureSearchCapacity(Instant Now) {
  if (this->Searches.size() < this->Settings.Capacity.Searches) {
    return true;
  }
  // A search that backs off holds no packets, and the caller's next packet
  // starts a new one.
  const auto Evictable = std::find_if(
      this->Searches.begin(), this->Searches.end(), [Now](const auto &Entry) {
        return Entry.second.isBackingOff() || Entry.second.isExpired(Now);
      });
  if (Evictable == this->Searches.end()) {
    return false;
  }
  this->Searches.erase(Evictable);
  return true;
}

void AgentLogic::setRedirect(const FlowKey &Key, UpstreamId Owner,
                             Incarnation Initial, Instant Now) {
  const bool IsNew = !this->Redirects.contains(Key);
  if (IsNew && this->Redirects.size() >= this->Settings.Capacity.Redirects) {
    // Any redirect can be evicted: `Locate` finds the owner again.
    ++this->Counters.StoreFull;
    this->Redirects.erase(this->Redirects.begin());
  }
  this->Redirects.insert_or_assign(Key, Redirect{Owner, Initial, Now});
}

void AgentLogic::onUpstreamPacket(PacketBytes Packet, Instant Now,
                                  ActionList &Out) {
  this->beginEvent();
  const Result<PacketView> View = parsePacket(Packet);
  if (!View) {
    Out.push_back(ReportError{View.error().Kind});
    return;
  }
  const FlowKey Key = View->upstreamFlow();
  const auto Found = this->Flows.find(Key);
  if (Found == this->Flows.end()) {
    this->onUnknownUpstreamPacket(*View, Packet, Now, Out);
    return;
  }
  FlowRecord &Flow = Found->second;
  if (this->isStrayUpstreamPacket(Flow, *View)) {
    return;
  }
  const bool UnknownToUpstream =
      View->Flags.Rst && Flow.ProbationEnd && Now < *Flow.ProbationEnd;
  if (UnknownToUpstream) {
    // The upstream does not have the flow; another agent may.
    const std::optional<Endpoint> From = Flow.AdoptedFrom;
    this->endFlow(Found, Now, Out);
    if (From) {
      Out.push_back(SendMessage{*From, NotOwner{Key, this->Settings.Self}, {}});
    } else {
      this->onNotOwner(Key, std::nullopt, Now, Out);
    }
    return;
  }
  const bool OfEarlierFlow =
      Flow.State == FlowState::HalfOpen && !View->Flags.Syn && !View->Flags.Rst;
  if (OfEarlierFlow && this->restartedRecently(Now)) {
    // The upstream has a connection whose record was lost. The opening was
    // either a late retransmission, or the caller will reset the connection and
    // open a new one.
    this->endFlow(Found, Now, Out);
    this->onUnknownUpstreamPacket(*View, Packet, Now, Out);
    return;
  }
  if (OfEarlierFlow) {
    // This is a challenge ACK; a caller that opens a new connection replies
    // with a reset.
    Out.push_back(SendToCaller{Packet});
    return;
  }
  Flow.ProbationEnd.reset();
  const RequestEvent Event = recordUpstreamPacket(Flow, *View, Now);
  Out.push_back(SendToCaller{Packet});
  const bool EndsRequest =
      Event == RequestEvent::Ended && (Flow.RequestSeen || View->Flags.Fin);
  if (EndsRequest && Flow.Working) {
    this->setWorking(Flow, false, Now);
    this->startWaitingOpenings(Now, Out);
  }
  if (Flow.State == FlowState::Ended) {
    this->endFlow(Found, Now, Out);
  }
}

void AgentLogic::onUnknownUpstreamPacket(const PacketView &View,
                                         PacketBytes Packet, Instant Now,
                                         ActionList &Out) {
  const FlowKey Key = View.upstreamFlow();
  if (View.Flags.Rst) {
    // The upstream replies to a packet of a flow without a record here. The
    // flow's coordinator resets the caller if no agent has the flow.
    return;
  }
  const bool HasRoom = this->Flows.size() < this->Settings.Capacity.Flows;
  if (View.Flags.Syn) {
    if (this->restartedRecently(Now) && View.Flags.Ack && HasRoom) {
      this->recoverHandshake(View, Packet, Now, Out);
      return;
    }
    // Without a record, no payload is ever delivered to this half-open
    // connection.
    Out.push_back(
        ResetUpstream{makeReset(Key.Caller, Key.Service, View.Acknowledgment)});
    return;
  }
  Out.push_back(SendToCaller{Packet});
  // A bare ACK or FIN may be the last packet of a flow that has ended. After a
  // restart, any segment without FIN may belong to a flow whose record was
  // lost.
  const bool MayBeLive = !View.Payload.empty() ||
                         (this->restartedRecently(Now) && !View.Flags.Fin);
  if (!MayBeLive || !HasRoom) {
    return;
  }
  const ServiceId ListedService = this->listedService(Key.Service);
  FlowRecord &Flow =
      this->Flows.emplace(Key, makeAdoptedRecord(ListedService, Now))
          .first->second;
  this->AdmissionControl.addConnection(ListedService);
  ++this->Counters.Adopted;
  recordUpstreamPacket(Flow, View, Now);
}

void AgentLogic::recoverHandshake(const PacketView &SynAck, PacketBytes Packet,
                                  Instant Now, ActionList &Out) {
  const FlowKey Key = SynAck.upstreamFlow();
  // The SYN-ACK has all the fields of the opening that the record needs.
  PacketView Opening;
  Opening.Source = Key.Caller;
  Opening.Destination = Key.Service;
  Opening.Sequence = SynAck.Acknowledgment - 1;
  Opening.Flags.Syn = true;
  const ServiceId ListedService = this->listedService(Key.Service);
  FlowRecord &Flow =
      this->Flows.emplace(Key, makeOpeningRecord(Opening, ListedService, Now))
          .first->second;
  this->AdmissionControl.addConnection(ListedService);
  ++this->Counters.Adopted;
  Flow.State = nextFlowState(Flow.State, FlowEvent::SlotGranted);
  this->setWorking(Flow, true, Now);
  recordUpstreamPacket(Flow, SynAck, Now);
  Out.push_back(SendToCaller{Packet});
}

ServiceId AgentLogic::listedService(Endpoint Address) const {
  const Service *Listed =
      this->InForce ? this->InForce->findService(Address) : nullptr;
  return Listed != nullptr ? Listed->Id : ServiceId{};
}

bool AgentLogic::isStrayUpstreamPacket(const FlowRecord &Flow,
                                       const PacketView &View) const {
  const bool AcknowledgesCaller =
      View.Flags.Ack && View.Acknowledgment == Flow.CallerNext;
  switch (Flow.State) {
  case FlowState::Queued:
    return true;
  case FlowState::HalfOpen:
    return !AcknowledgesCaller && (View.Flags.Syn || View.Flags.Rst);
  case FlowState::Answered:
    return !AcknowledgesCaller && View.Flags.Syn;
  case FlowState::Established:
  case FlowState::Closing:
    // Only a retransmission of the recorded SYN-ACK may reach the caller.
    return View.Flags.Syn && View.Sequence != Flow.UpstreamInitial;
  default:
    return false;
  }
}

void AgentLogic::endFlow(FlowMap::iterator Found, Instant Now,
                         ActionList &Out) {
  const FlowKey Key = Found->first;
  FlowRecord &Flow = Found->second;
  if (Flow.State == FlowState::Queued) {
    this->AdmissionControl.cancel(Key, Flow.Service);
    this->WaitingPackets.erase(Key);
  }
  this->setWorking(Flow, false, Now);
  this->AdmissionControl.removeConnection(Flow.Service);
  this->Flows.erase(Found);
  ++this->Counters.FlowsEnded;
  this->startWaitingOpenings(Now, Out);
}

void AgentLogic::setWorking(FlowRecord &Flow, bool Working, Instant Now) {
  if (Flow.Working == Working) {
    return;
  }
  Flow.Working = Working;
  if (Working) {
    this->AdmissionControl.beginWork(Flow.Service, Now);
  } else {
    this->AdmissionControl.endWork(Flow.Service, Now);
  }
}

} // namespace mulberryhoist
