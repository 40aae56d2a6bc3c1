#include <algorithm>

#include "mulberryhoist/agent.h"

namespace mulberryhoist {

void AgentLogic::onFlowPacket(const CallerPacket &Input, Instant Now,
                              ActionList &Out) {
  const FlowKey Key = Input.View.callerFlow();
  const auto Own = this->Flows.find(Key);
  if (Own != this->Flows.end() &&
      matchesFlow(Own->second, numbersOf(Input.View))) {
    this->deliver(Own, Input, Now, Out);
    return;
  }
  if (Own != this->Flows.end() && Own->second.isHalfOpen() &&
      Input.View.Flags.Rst) {
    // It may end an earlier connection that keeps the upstream from answering
    // the opening; the upstream's TCP checks the numbers.
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
  const auto Known = this->Redirects.find(Key);
  if (Known != this->Redirects.end()) {
    Known->second.LastUsed = Now;
    this->relay(Known->second.Owner, Input, Adopting, Out);
    return;
  }
  this->locate(Input, Now, Out);
}

void AgentLogic::deliver(FlowMap::iterator Found, const CallerPacket &Input,
                         Instant Now, ActionList &Out) {
  FlowRecord &Flow = Found->second;
  if (Flow.isUnconfirmed()) {
    this->deliverUnproven(Flow, Input, Now, Out);
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

void AgentLogic::deliverUnproven(FlowRecord &Flow, const CallerPacket &Input,
                                 Instant Now, ActionList &Out) {
  if (Input.View.Payload.empty()) {
    recordCallerPacket(Flow, Input.View, Now);
    Out.push_back(DeliverToUpstream{Input.Bytes});
    return;
  }
  // The caller sends the payload again. A number below the expected one makes
  // an upstream that knows the flow answer with an acknowledgment.
  PacketView Seen = Input.View;
  Seen.Payload = {};
  Seen.Flags.Fin = false;
  recordCallerPacket(Flow, Seen, Now);
  const ControlPacket Question = makeAcknowledgment(
      Seen.Source, Seen.Destination, Seen.Sequence - 1, Seen.Acknowledgment);
  Out.push_back(DeliverToUpstream{
      this->keep(std::vector(Question.begin(), Question.end()))});
}

bool AgentLogic::adopt(const CallerPacket &Input, std::optional<Endpoint> From,
                       Instant Now, ActionList &Out) {
  const FlowKey Key = Input.View.callerFlow();
  if (this->Flows.contains(Key)) {
    return false;
  }
  if (Input.View.Flags.Rst) {
    // It needs no record.
    Out.push_back(DeliverToUpstream{Input.Bytes});
    return true;
  }
  if (this->Flows.size() >= this->Settings.Capacity.Flows) {
    ++this->Counters.StoreFull;
    return false;
  }
  const ServiceId Wanted = this->listedService(Input.View.Destination);
  FlowRecord &Flow =
      this->Flows.emplace(Key, makeAdoptedRecord(Wanted, Now)).first->second;
  Flow.ProbationEnd = Now + AdoptTimeout;
  Flow.AdoptedFrom = From;
  this->Admitted.addConnection(Wanted);
  ++this->Counters.Adopted;
  this->deliverUnproven(Flow, Input, Now, Out);
  return true;
}

void AgentLogic::relay(UpstreamId Owner, const CallerPacket &Input, bool Adopt,
                       ActionList &Out) {
  const auto To = this->agentOf(Owner);
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
    if (!this->makeRoomForSearch(Now)) {
      ++this->Counters.StoreFull;
      return;
    }
    Found = this->Searches
                .emplace(Key, LocateSearch(this->Settings.GoneConfirmation))
                .first;
  }
  LocateSearch &Search = Found->second;
  const bool Begins = Search.isIdle(Now);
  if (!Begins && Search.isBackingOff()) {
    // The caller sends the packet again.
    ++this->Counters.LocateDropped;
    Search.touch(Now);
    return;
  }
  if (!Search.buffer(Input.Bytes, Now)) {
    ++this->Counters.LocateDropped;
  }
  if (Begins) {
    this->beginSearch(Search, Input, Now, Out);
  }
  this->run(Found, Now, Out);
}

void AgentLogic::beginSearch(LocateSearch &Search, const CallerPacket &Input,
                             Instant Now, ActionList &Out) {
  ++this->Counters.LocateRounds;
  const FlowKey Key = Input.View.callerFlow();
  this->Ordered.clear();
  if (this->InForce) {
    const auto Group = this->InForce->locateGroup(Key.Service);
    this->Ordered.assign(Group.begin(), Group.end());
  }
  const bool IsListed = !this->Ordered.empty();
  std::erase(this->Ordered, this->Settings.Self);
  // A balancer with a newer table may know members that this coordinator does
  // not.
  const bool Complete =
      IsListed && !isOlder(this->InForce->version(), Input.Header.Table);
  const bool SelfMaybe =
      this->restartedRecently(Now) && !this->Flows.contains(Key);
  const PacketNumbers Numbers = numbersOf(Input.View);
  Search.beginRound(Numbers, this->Ordered, SelfMaybe, Complete, Now);
  for (const UpstreamId Id : this->Ordered) {
    if (const auto To = this->agentOf(Id)) {
      Out.push_back(SendMessage{
          *To, Locate{Key, Numbers.Sequence, Numbers.Acknowledgment}, {}});
    }
  }
}

void AgentLogic::run(SearchMap::iterator Current, Instant Now,
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
    this->release(Current, false, Now, Out);
    this->Searches.erase(Current);
    return;
  case LocateStep::AdoptOther:
    this->setRedirect(Key, *Search.owner(), 0, Now);
    this->release(Current, true, Now, Out);
    return;
  case LocateStep::AdoptSelf:
    this->release(Current, true, Now, Out);
    return;
  case LocateStep::Settled:
    this->Searches.erase(Current);
    return;
  case LocateStep::Gone:
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
  case LocateStep::GiveUp:
    this->Counters.LocateDropped += Search.buffered().size();
    Search.buffered().clear();
    return;
  }
}

void AgentLogic::release(SearchMap::iterator Current, bool Adopt, Instant Now,
                         ActionList &Out) {
  LocateSearch &Search = Current->second;
  for (const std::vector<std::uint8_t> &Bytes : Search.buffered()) {
    // Kept in the search while other agents may have to be tried.
    const PacketBytes Packet = this->keep(Bytes);
    const Result<PacketView> View = parsePacket(Packet);
    if (!View) {
      continue;
    }
    CallerPacket Input{Packet, *View, {}, {}, Arrival::Fresh};
    if (this->InForce) {
      Input.Header.Table = this->InForce->version();
    }
    const auto Own = this->Flows.find(Current->first);
    if (Search.owner()) {
      this->relay(*Search.owner(), Input, Adopt, Out);
    } else if (Own != this->Flows.end() &&
               matchesFlow(Own->second, numbersOf(*View))) {
      this->deliver(Own, Input, Now, Out);
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
  const auto Own = this->Flows.find(Body.Key);
  if (Own == this->Flows.end()) {
    Reply.Answer =
        this->restartedRecently(Now) ? OwnerAnswer::Maybe : OwnerAnswer::No;
  } else if (matchesFlow(Own->second, {Body.Sequence, Body.Acknowledgment})) {
    // An adopted flow is only certain once its upstream sent a segment.
    const bool Certain = Own->second.UpstreamKnown;
    Reply.Answer = Certain ? OwnerAnswer::Owns : OwnerAnswer::Maybe;
    Reply.Flow.Initial = Own->second.Initial;
  }
  Out.push_back(SendMessage{From, Reply, {}});
}

void AgentLogic::onLocateReply(const LocateReply &Body, Instant Now,
                               ActionList &Out) {
  const auto Current = this->Searches.find(Body.Flow.Key);
  if (Current != this->Searches.end()) {
    Current->second.recordReply(Body);
    this->run(Current, Now, Out);
  }
}

void AgentLogic::onNotOwner(const FlowKey &Key, std::optional<UpstreamId> By,
                            Instant Now, ActionList &Out) {
  const auto Known = this->Redirects.find(Key);
  if (Known != this->Redirects.end() && By == Known->second.Owner) {
    this->Redirects.erase(Known);
  }
  const auto Current = this->Searches.find(Key);
  if (Current != this->Searches.end() && Current->second.recordNotOwner(By)) {
    this->run(Current, Now, Out);
  }
}

bool AgentLogic::makeRoomForSearch(Instant Now) {
  if (this->Searches.size() < this->Settings.Capacity.Searches) {
    return true;
  }
  // A search that backs off holds no packets and is begun anew by the next.
  const auto Spare = std::find_if(
      this->Searches.begin(), this->Searches.end(), [Now](const auto &Entry) {
        return Entry.second.isBackingOff() || Entry.second.isExpired(Now);
      });
  if (Spare == this->Searches.end()) {
    return false;
  }
  this->Searches.erase(Spare);
  return true;
}

void AgentLogic::setRedirect(const FlowKey &Key, UpstreamId Owner,
                             Incarnation Initial, Instant Now) {
  const bool IsNew = !this->Redirects.contains(Key);
  if (IsNew && this->Redirects.size() >= this->Settings.Capacity.Redirects) {
    // Any redirect can go: `Locate` finds the owner again.
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
  const bool Unknown =
      View->Flags.Rst && Flow.ProbationEnd && Now < *Flow.ProbationEnd;
  if (Unknown) {
    // The upstream does not know the flow; another agent may have it.
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
    // The upstream has a connection whose record was lost; the opening was a
    // late copy, or the caller resets the connection and opens again.
    this->endFlow(Found, Now, Out);
    this->onUnknownUpstreamPacket(*View, Packet, Now, Out);
    return;
  }
  if (OfEarlierFlow) {
    // A challenge: a caller that opens anew answers it with a reset.
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
    this->startWaiting(Now, Out);
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
    // Answers a packet of a flow that was given up; its coordinator resets the
    // caller if no agent has the flow.
    return;
  }
  const bool HasRoom = this->Flows.size() < this->Settings.Capacity.Flows;
  if (View.Flags.Syn) {
    if (this->restartedRecently(Now) && View.Flags.Ack && HasRoom) {
      this->recoverHandshake(View, Packet, Now, Out);
      return;
    }
    // No owner would release payload to this half-open connection.
    Out.push_back(
        ResetUpstream{makeReset(Key.Caller, Key.Service, View.Acknowledgment)});
    return;
  }
  Out.push_back(SendToCaller{Packet});
  // A bare acknowledgment or FIN may be the last packet of a flow that has
  // ended; after a restart every segment may belong to a lost record.
  const bool IsAlive = !View.Payload.empty() ||
                       (this->restartedRecently(Now) && !View.Flags.Fin);
  if (!IsAlive || !HasRoom) {
    return;
  }
  const ServiceId Wanted = this->listedService(Key.Service);
  FlowRecord &Flow =
      this->Flows.emplace(Key, makeAdoptedRecord(Wanted, Now)).first->second;
  this->Admitted.addConnection(Wanted);
  ++this->Counters.Adopted;
  recordUpstreamPacket(Flow, View, Now);
}

void AgentLogic::recoverHandshake(const PacketView &SynAck, PacketBytes Packet,
                                  Instant Now, ActionList &Out) {
  const FlowKey Key = SynAck.upstreamFlow();
  // The SYN-ACK tells all that the lost record held of the opening.
  PacketView Opening;
  Opening.Source = Key.Caller;
  Opening.Destination = Key.Service;
  Opening.Sequence = SynAck.Acknowledgment - 1;
  Opening.Flags.Syn = true;
  const ServiceId Wanted = this->listedService(Key.Service);
  FlowRecord &Flow =
      this->Flows.emplace(Key, makeOpeningRecord(Opening, Wanted, Now))
          .first->second;
  this->Admitted.addConnection(Wanted);
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
  const bool Answers = View.Flags.Ack && View.Acknowledgment == Flow.CallerNext;
  switch (Flow.State) {
  case FlowState::Queued:
    return true;
  case FlowState::HalfOpen:
    return !Answers && (View.Flags.Syn || View.Flags.Rst);
  case FlowState::Answered:
    return !Answers && View.Flags.Syn;
  case FlowState::Established:
  case FlowState::Closing:
    // Only a repetition of the known SYN-ACK may still reach the caller.
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
    this->Admitted.cancel(Key, Flow.Service);
    this->WaitingPackets.erase(Key);
  }
  this->setWorking(Flow, false, Now);
  this->Admitted.removeConnection(Flow.Service);
  this->Flows.erase(Found);
  ++this->Counters.FlowsEnded;
  this->startWaiting(Now, Out);
}

void AgentLogic::setWorking(FlowRecord &Flow, bool Working, Instant Now) {
  if (Flow.Working == Working) {
    return;
  }
  Flow.Working = Working;
  if (Working) {
    this->Admitted.beginWork(Flow.Service, Now);
  } else {
    this->Admitted.endWork(Flow.Service, Now);
  }
}

} // namespace mulberryhoist
