#include "mulberryhoist/steering.h"

#include <algorithm>
#include <array>

#include "mulberryhoist/cold-limit.h"
#include "mulberryhoist/routing.h"

namespace mulberryhoist {
namespace {

/// When a candidate is visited; those of a later group follow all others.
enum class VisitOrder : std::uint8_t {
  Preferred,
  FormerRoute, ///< Only an earlier version of the routes leads there.
  Deferred,    ///< Avoided or gone.
};

/// A candidate with its rendezvous score; the lowest score comes first.
struct RankedCandidate {
  double Score = 0;
  Candidate Target;
  VisitOrder Order = VisitOrder::Preferred;
  /// Valid while the directory is.
  std::string_view AvailabilityZone;
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
        return std::pair(A.Order, A.Score) < std::pair(B.Order, B.Score);
      });
  std::vector<std::uint32_t> Seen;
  std::erase_if(List, [&Seen](const RankedCandidate &Each) {
    const bool IsDuplicate =
        std::ranges::find(Seen, Each.Target.Agent) != Seen.end();
    Seen.push_back(Each.Target.Agent);
    return IsDuplicate;
  });
}

/// Appends the upstreams of a service for which `Accepts` is true, in the order
/// that `Place` returns.
template <typename Filter, typename Placement>
void appendCandidates(const Directory &From, ServiceId Service,
                      const FlowKey &Key, const Filter &Accepts,
                      const Placement &Place, RankedCandidates &Out) {
  const std::uint64_t FlowHash = hashFlow(Key);
  for (const ListedUpstream &Each : From.upstreams(Service)) {
    if (Accepts(Each)) {
      Out.push_back({rendezvousScore(FlowHash, Each.Id, Each.Slots),
                     {Each.Address, Each.Slots},
                     Place(Each),
                     Each.AvailabilityZone});
    }
  }
}

/// Sorts all candidates after the first `Count` by their availability zones, so
/// that a packet that visits them crosses between zones a few times only.
void groupByZone(RankedCandidates &List, std::size_t Count) {
  if (List.size() <= Count) {
    return;
  }
  std::ranges::stable_sort(List.begin() + static_cast<std::ptrdiff_t>(Count),
                           List.end(), {}, [](const RankedCandidate &Each) {
                             return std::pair(Each.Order,
                                              Each.AvailabilityZone);
                           });
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

SteeringLogic::SteeringLogic(SteeringSettings Settings)
    : Settings(Settings), Link(Settings.LinkRate) {}

void SteeringLogic::onDirectory(std::shared_ptr<const Directory> Next) {
  this->InForce = std::move(Next);
  std::erase_if(this->Agents, [this](const auto &Each) {
    return !this->InForce->knowsAgent(Each.first);
  });
  this->Intakes.onDirectory(*this->InForce);
}

void SteeringLogic::onCallerPacket(const RoutedPacket &Packet, Instant Now,
                                   SteerActionList &Out) {
  if (this->InForce == nullptr) {
    return;
  }
  this->Link.onPacket(Packet.View.callerFlow(), Packet.View,
                      Packet.Bytes.size(), Now);
  if (Packet.View.isOpening()) {
    this->onOpening(Packet, std::nullopt, Now, Out);
  } else {
    this->onFlowPacket(Packet, Now, Out);
  }
}

void SteeringLogic::sendTo(std::uint32_t Agent, const Steer &Header,
                           PacketBytes Bytes, Instant Now,
                           SteerActionList &Out) {
  this->Link.onSent(Bytes.size(), Now);
  Out.emplace_back(SendSteer{{Agent, this->Settings.PeerPort}, Header, Bytes});
}

bool SteeringLogic::admitToLink(const Route &Matched,
                                const RoutedPacket &Packet, Instant Now,
                                SteerActionList &Out) {
  const FlowKey Key = Packet.View.callerFlow();
  const RouteTerms Terms = {Key.Service, Matched.Goal, Matched.Timeout,
                            Matched.Class};
  const bool IsCopy = Packet.Waited != Duration::zero();
  if (this->Link.admit(Key, Packet.View.Sequence, Terms, IsCopy, Now)) {
    return true;
  }
  Out.emplace_back(record(Decision::RefusedLink, Key));
  Out.emplace_back(RejectOpening{Key});
  this->reportLink(Now, Out);
  return false;
}

void SteeringLogic::reportLink(Instant Now, SteerActionList &Out) {
  const bool IsFull = this->Link.isRefusing(Now);
  if (IsFull == this->IsLinkFull) {
    return;
  }
  this->IsLinkFull = IsFull;
  RecordDecision Record =
      record(IsFull ? Decision::LinkFull : Decision::LinkClear, {},
             this->Settings.Address);
  Record.Load = static_cast<std::uint32_t>(this->Link.figures(Now).Transfers);
  Record.Age = this->Link.queueDelay(Now);
  Out.emplace_back(Record);
}

Duration SteeringLogic::resendDelay(Instant Now) const {
  return ResendDelay +
         std::min(2 * this->Link.queueDelay(Now), MaxResendExtension);
}

Duration SteeringLogic::checkTimeout(Instant Now) const {
  return CheckTimeout +
         std::min(2 * this->Link.queueDelay(Now), MaxCheckExtension);
}

bool SteeringLogic::isUnansweredAtClosed(const FlowOwners &Owners) const {
  return Owners.First.Sequence == 0 && Owners.Second.Agent == 0 &&
         this->Intakes.isClosed(Owners.First.Agent);
}

void SteeringLogic::onDisplaced(Endpoint From, const Displaced &Body,
                                const RoutedPacket &Packet, Instant Now,
                                SteerActionList &Out) {
  if (this->InForce == nullptr || !Packet.View.isOpening()) {
    return;
  }
  const FlowKey Key = Packet.View.callerFlow();
  const FlowOwners *Owners = this->findOwners(Key);
  if (Owners != nullptr && Owners->Initial == Packet.View.Sequence) {
    if (Owners->First.Agent != From.Address || Owners->First.Sequence != 0 ||
        Owners->Second.Agent != 0) {
      // Another agent has the opening.
      return;
    }
    this->RecentOwners.erase(Key);
  }
  RecordDecision Record = record(Decision::OpeningDisplaced, Key, From.Address);
  Record.Age = Body.Waited;
  Out.emplace_back(Record);
  this->onOpening(Packet, Body, Now, Out);
}

void SteeringLogic::onOpening(const RoutedPacket &Packet,
                              const std::optional<Displaced> &Returned,
                              Instant Now, SteerActionList &Out) {
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
  if (Returned) {
    Header.Displaced = true;
    Header.Waited = Returned->Waited;
  }
  if (const FlowOwners *Owners = this->findOwners(Key);
      Owners != nullptr && Owners->Initial == Packet.View.Sequence &&
      !this->isUnansweredAtClosed(*Owners)) {
    Header.Final = true;
    Out.emplace_back(
        record(Decision::OpeningRepeated, Key, Owners->First.Agent));
    this->sendTo(Owners->First.Agent, Header, Packet.Bytes, Now, Out);
    return;
  }
  RankedCandidates Order;
  appendCandidates(
      *this->InForce, Service, Key,
      [](const ListedUpstream &Each) {
        return Each.State == UpstreamState::Ready && !Each.IsEvacuated;
      },
      [this](const ListedUpstream &Each) {
        return this->avoidance(Each.Address) == Avoidance::None
                   ? VisitOrder::Preferred
                   : VisitOrder::Deferred;
      },
      Order);
  if (Order.empty()) {
    this->refuseWithoutCandidates(Service, Key, Out);
    return;
  }
  if (!this->admitToLink(*Matched, Packet, Now, Out)) {
    return;
  }
  sortAndDeduplicate(Order);
  const auto Avoided =
      std::ranges::find(Order, VisitOrder::Deferred, &RankedCandidate::Order);
  // If all agents are avoided, they are candidates nevertheless: an avoided
  // agent may still accept the opening.
  if (Avoided != Order.begin()) {
    Order.erase(Avoided, Order.end());
  }
  setAlternatives(Order, MaxOpeningCandidates, Header);
  Candidate First = Order.front().Target;
  this->setColdLimit(Service, First, Header, Now);
  Out.emplace_back(record(Decision::OpeningSent, Key, First.Agent));
  this->sendTo(First.Agent, Header, Packet.Bytes, Now, Out);
  this->trackOpening(Packet, Header, First, Now);
}

void SteeringLogic::refuseWithoutCandidates(ServiceId Service,
                                            const FlowKey &Key,
                                            SteerActionList &Out) const {
  const bool IsEvacuated = std::ranges::any_of(
      this->InForce->upstreams(Service), [](const ListedUpstream &Each) {
        return Each.State == UpstreamState::Ready && Each.IsEvacuated;
      });
  Out.emplace_back(record(IsEvacuated ? Decision::RefusedEvacuated
                                      : Decision::RefusedNoUpstream,
                          Key));
  Out.emplace_back(RejectOpening{Key});
}

void SteeringLogic::trackOpening(const RoutedPacket &Packet,
                                 const Steer &Header, const Candidate &First,
                                 Instant Now) {
  if (this->UnansweredOpenings.size() >= MaxUnansweredOpenings) {
    return;
  }
  const FlowKey Key = Packet.View.callerFlow();
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

void SteeringLogic::setColdLimit(ServiceId Service, Candidate &First,
                                 Steer &Header, Instant Now) const {
  const auto &Rates = this->InForce->coldRates();
  const auto Rate = Rates.find(Service);
  if (Rate == Rates.end()) {
    return;
  }
  bool HasCold = false;
  const auto Mark = [&](Candidate Each) {
    for (const ListedUpstream &Listed : this->InForce->upstreams(Service)) {
      if (Listed.Address == Each.Agent && Listed.State != UpstreamState::Gone) {
        Each.ColdLeft = std::max(Each.ColdLeft, coldLeft(Listed, Now));
      }
    }
    HasCold = HasCold || Each.ColdLeft.count() > 0;
    return Each;
  };
  First = Mark(First);
  CandidateList Next;
  for (const Candidate &Each : Header.Next.view()) {
    (void)Next.add(Mark(Each));
  }
  if (HasCold) {
    Header.Next = Next;
    Header.ColdLeft = First.ColdLeft;
    Header.ColdLimit = static_cast<std::uint32_t>(std::clamp(
        Rate->second * this->Settings.ColdExcess + this->Settings.ColdSlack,
        1.0, static_cast<double>(MaxColdLimit)));
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
  this->sendTo(Owners->First.Agent, Header, Packet.Bytes, Now, Out);
}

void SteeringLogic::locateOwner(const RoutedPacket &Packet, Instant Now,
                                SteerActionList &Out) {
  const FlowKey Key = Packet.View.callerFlow();
  const Route *Matched = this->InForce->findRoute(Key.Service);
  if (Matched == nullptr) {
    Out.emplace_back(record(Decision::PacketWithoutRoute, Key));
    return;
  }
  std::vector<ServiceId> Services = this->flowServices(*Matched, Now);
  const bool IsJointRestart = this->isJointRestart(Services);
  RankedCandidates Order;
  for (const ServiceId Service : Services) {
    const bool IsFormer =
        std::ranges::find(Matched->Targets, Service, &RouteTarget::Service) ==
        Matched->Targets.end();
    appendCandidates(
        *this->InForce, Service, Key,
        [&](const ListedUpstream &Listed) {
          return !this->isLost(Listed, IsJointRestart, Now);
        },
        [&](const ListedUpstream &Listed) {
          if (Listed.State == UpstreamState::Gone ||
              this->avoidance(Listed.Address) == Avoidance::Suspected) {
            return VisitOrder::Deferred;
          }
          return IsFormer ? VisitOrder::FormerRoute : VisitOrder::Preferred;
        },
        Order);
  }
  if (Order.empty()) {
    Out.emplace_back(record(Decision::PacketWithoutRoute, Key));
    return;
  }
  sortAndDeduplicate(Order);
  // The first part holds the agents to which the opening went most likely.
  groupByZone(Order, MaxSearchPart);
  Out.emplace_back(
      record(Decision::OwnerSought, Key, Order.front().Target.Agent));
  if (this->Searches.size() >= MaxSearches) {
    this->Searches.erase(this->Searches.begin());
  }
  const std::uint32_t Number = this->NextSearch;
  this->NextSearch = Number + 1 == 0 ? 1 : Number + 1;
  Search &Begun = this->Searches[Number];
  Begun.Flow = Key;
  Begun.Edition = this->InForce->edition();
  Begun.BeganAt = Now;
  Begun.ExpectsAnswer = !Packet.View.Payload.empty();
  Begun.Services = std::move(Services);
  // An upstream gets a packet of another one's flow only if no agent knows the
  // flow: an agent has restarted, or the flow is gone. Otherwise a flow whose
  // packets are lost on the way to its upstream would reach others meanwhile.
  // After a loss of power of all VMs, most flows that are searched for are
  // gone.
  const bool AsksAtOnce =
      IsJointRestart && Now - this->Settings.StartedAt < JointRestartSearchSpan;
  const bool MayAsk = AsksAtOnce || this->mayAsk(Key, Now);
  for (const RankedCandidate &Each : Order) {
    if (MayAsk) {
      Begun.ToAsk.push_back(Each.Target);
    }
    const bool IsSuspected =
        this->avoidance(Each.Target.Agent) == Avoidance::Suspected;
    if (!AsksAtOnce && (!MayAsk || !IsSuspected)) {
      Begun.Remaining.push_back(Each.Target);
    }
  }
  if (Begun.Remaining.empty()) {
    if (!AsksAtOnce) {
      this->AskedFlows.try_emplace(Key, Now);
    }
    Out.emplace_back(record(Decision::UpstreamsAsked, Key));
    Begun.beginToAsk();
  }
  this->sendPart(Number, Begun, Packet.Bytes, Now, Out);
}

bool SteeringLogic::mayAsk(const FlowKey &Key, Instant Now) const {
  const auto Found = this->AskedFlows.find(Key);
  return Found == this->AskedFlows.end()
             ? this->AskedFlows.size() < MaxAskedFlows
             : Now - Found->second < AskWindow;
}

bool SteeringLogic::knowsAllRoutes(Instant Now) const {
  const auto &Since = this->InForce->completeness().RoutesKnownSince;
  return Since && Now - *Since >= FlowLifetime;
}

bool SteeringLogic::mayMissServices(Instant Now) const {
  return this->InForce->completeness().HasUnnamedServices &&
         !this->knowsAllRoutes(Now);
}

std::vector<ServiceId> SteeringLogic::flowServices(const Route &Matched,
                                                   Instant Now) const {
  std::vector<ServiceId> Services;
  const auto Add = [&Services](ServiceId Each) {
    if (std::ranges::find(Services, Each) == Services.end()) {
      Services.push_back(Each);
    }
  };
  for (const RouteTarget &Each : Matched.Targets) {
    Add(Each.Service);
  }
  for (const FormerTarget &Each : Matched.Former) {
    Add(Each.Service);
  }
  if (!this->knowsAllRoutes(Now)) {
    std::ranges::for_each(this->InForce->services(), Add);
  }
  return Services;
}

void SteeringLogic::sendPart(std::uint32_t Number, Search &Each,
                             PacketBytes Bytes, Instant Now,
                             SteerActionList &Out) {
  Steer Header;
  for (const ServiceId Service : Each.Services) {
    if (!Header.Services.add(Service)) {
      break;
    }
  }
  Header.Balancer = this->Settings.Address;
  Header.Notify = true;
  Header.Final = true;
  Header.Search = Number;
  Header.KnownOnly = Each.IsKnownOnly;
  Each.PartSize = std::min(Each.Remaining.size(), MaxSearchPart);
  Each.SentAt = Now;
  Each.IsChecked = false;
  for (std::size_t I = 1; I < Each.PartSize; ++I) {
    (void)Header.Next.add(Each.Remaining[I]);
  }
  Header.Slots = Each.Remaining.front().Slots;
  this->sendTo(Each.Remaining.front().Agent, Header, Bytes, Now, Out);
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

bool SteeringLogic::isJointRestart(std::span<const ServiceId> Services) const {
  const auto &SettledAt = this->InForce->completeness().SettledAt;
  const bool IsFirstListing =
      this->Settings.StartedAtUnix.count() != 0 && SettledAt &&
      *SettledAt - ReregistrationGrace - this->Settings.StartedAt <=
          JointRestartSpan;
  if (!IsFirstListing) {
    return false;
  }
  return std::ranges::all_of(Services, [this](ServiceId Each) {
    const auto Listed = this->InForce->upstreams(Each);
    return !Listed.empty() &&
           std::ranges::all_of(Listed, [this](const ListedUpstream &Upstream) {
             return Upstream.State == UpstreamState::Gone ||
                    this->startedWithBalancer(Upstream);
           });
  });
}

bool SteeringLogic::isListingComplete(std::span<const ServiceId> Services,
                                      Instant Now) const {
  const auto &SettledAt = this->InForce->completeness().SettledAt;
  // Before the listing has settled, an upstream that lives may not have
  // registered again after an outage of the source. If all others have just
  // restarted together with the balancer, the VMs have lost power, and so has
  // that one.
  return SettledAt && (Now >= *SettledAt || this->isJointRestart(Services));
}

bool SteeringLogic::isLost(const ListedUpstream &Each, bool IsJointRestart,
                           Instant Now) const {
  const auto &SettledAt = this->InForce->completeness().SettledAt;
  if (!Each.GoneSince || !SettledAt ||
      this->avoidance(Each.Address) != Avoidance::Suspected) {
    return false;
  }
  const bool IsGoneForGood =
      Now >= *SettledAt && Now - *Each.GoneSince >= GoneForGood;
  return IsGoneForGood || (IsJointRestart && !this->startedWithBalancer(Each));
}

void SteeringLogic::onNotHeld(Endpoint From, const NotHeld &Body,
                              const RoutedPacket &Packet, Instant Now,
                              SteerActionList &Out) {
  if (this->InForce == nullptr) {
    return;
  }
  const FlowKey Key = Packet.View.callerFlow();
  if (Body.Search == 0) {
    // The cached owner returned the packet.
    this->forgetOwner(Key, From.Address, Out);
    this->locateOwner(Packet, Now, Out);
    return;
  }
  const auto Found = this->Searches.find(Body.Search);
  if (Found == this->Searches.end() || Found->second.Flow != Key) {
    return;
  }
  Search &Each = Found->second;
  Each.IsIncomplete = Each.IsIncomplete || Body.Incomplete;
  Each.Remaining.erase(Each.Remaining.begin(),
                       Each.Remaining.begin() +
                           static_cast<std::ptrdiff_t>(Each.PartSize));
  if (Each.Remaining.empty() && !Each.ToAsk.empty() && this->mayAsk(Key, Now)) {
    this->AskedFlows.try_emplace(Key, Now);
    Out.emplace_back(record(Decision::UpstreamsAsked, Key));
    Each.beginToAsk();
  }
  const Route *Matched = this->InForce->findRoute(Key.Service);
  if (Matched != nullptr && !Each.Remaining.empty()) {
    this->sendPart(Body.Search, Each, Packet.Bytes, Now, Out);
    return;
  }
  const FlowNotHeld Result = {Each.Edition, Packet.View.Acknowledgment, Now};
  const bool IsIncomplete = Each.IsIncomplete;
  const std::vector<ServiceId> Services = std::move(Each.Services);
  this->Searches.erase(Found);
  if (!Packet.View.Flags.Rst) {
    this->onSearchExhausted(Key, Result, IsIncomplete, Services, From.Address,
                            Out);
  }
}

void SteeringLogic::onSearchExhausted(const FlowKey &Flow,
                                      const FlowNotHeld &Result,
                                      bool IsIncomplete,
                                      std::span<const ServiceId> Services,
                                      std::uint32_t Agent,
                                      SteerActionList &Out) {
  const Route *Matched = this->InForce->findRoute(Flow.Service);
  // A message names at most `MaxSteerServices`; agents of other services pass a
  // packet on without asking their upstreams.
  const bool MayReset = Matched != nullptr && !IsIncomplete &&
                        Services.size() <= MaxSteerServices &&
                        Result.Edition == this->InForce->edition() &&
                        this->FlowsNotHeld.size() < MaxSearches &&
                        !this->mayMissServices(Result.ReportedAt) &&
                        this->isListingComplete(Services, Result.ReportedAt);
  Out.emplace_back(
      record(MayReset ? Decision::FlowNotHeld : Decision::FlowNotHeldIgnored,
             Flow, Agent));
  if (MayReset) {
    this->FlowsNotHeld.insert_or_assign(Flow, Result);
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
        Each.Edition == Latest.Edition && this->findOwners(Flow) == nullptr;
    Out.emplace_back(record(
        MayReset ? Decision::FlowReset : Decision::FlowNotHeldIgnored, Flow));
    if (MayReset) {
      Out.emplace_back(ResetFlow{Flow, Each.Acknowledgment});
    }
    return true;
  });
}

void SteeringLogic::checkSilentAgents(Search &Each, Instant Now,
                                      SteerActionList &Out) {
  Each.IsChecked = true;
  // The agents of later parts too: otherwise the search would end in each part
  // that holds silent ones, and the caller would have to send the packet again.
  const std::size_t Count = std::min(Each.Remaining.size(), MaxSearchChecks);
  for (const Candidate &Asked : std::span(Each.Remaining).first(Count)) {
    if (Now - this->Agents[Asked.Agent].LastReceivedAt >= SearchSilence) {
      this->sendCheck(Asked.Agent, Now, Out);
    }
  }
}

void SteeringLogic::processSearches(Instant Now, SteerActionList &Out) {
  if (Now < this->NextSearchSweep) {
    return;
  }
  this->NextSearchSweep = Now + SearchSweepPeriod;
  for (auto Entry = this->Searches.begin(); Entry != this->Searches.end();) {
    Search &Each = Entry->second;
    if (this->findOwners(Each.Flow) != nullptr) {
      Entry = this->Searches.erase(Entry);
      continue;
    }
    if (Now - Each.BeganAt >= SearchTimeout) {
      if (Each.ExpectsAnswer) {
        RecordDecision Record = record(Decision::SearchUnanswered, Each.Flow,
                                       Each.Remaining.front().Agent);
        Record.Age = Now - Each.BeganAt;
        Out.emplace_back(Record);
      }
      Entry = this->Searches.erase(Entry);
      continue;
    }
    if (!Each.IsChecked && Now - Each.SentAt >= SearchCheckDelay) {
      this->checkSilentAgents(Each, Now, Out);
    }
    ++Entry;
  }
  std::erase_if(this->AskedFlows, [Now](const auto &Entry) {
    return Now - Entry.second >= FlowLifetime;
  });
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
      for (const ServiceId Each : this->flowServices(*Matched, Now)) {
        (void)Services.add(Each);
      }
    }
  }
  this->AskedFlows.erase(Key);
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
  this->Link.onRefused(Body.Flow.Key);
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
  this->Link.onSent(0, Now);
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
  // The caller's retransmission is placed anew.
  if (this->Intakes.isClosed(Each.First.Agent)) {
    return;
  }
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
  Header.ColdLeft = First.ColdLeft;
  RecordDecision Record = record(Decision::OpeningResent, Key, First.Agent);
  Record.Age = Now - Each.SentAt;
  Out.emplace_back(Record);
  Each.Header = Header;
  Each.First = First;
  this->sendTo(First.Agent, Header, Each.Bytes, Now, Out);
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
    // Entries stay ordered by time: an extension is a further `ResendDelay`.
    const Duration Delay = this->resendDelay(Now);
    if (Delay > ResendDelay && Now - Each.SentAt < (Each.Resends + 1) * Delay) {
      this->ResendQueue.push_back({Now + ResendDelay, Next.Flow, Next.Initial});
      continue;
    }
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
  const Duration Timeout = this->checkTimeout(Now);
  for (auto &[Agent, Health] : this->Agents) {
    if (Health.IsCheckPending && Now - Health.CheckSentAt >= Timeout) {
      Health.IsCheckPending = false;
      ++Health.MissedChecks;
      if (Health.MissedChecks >= SuspectedAfterChecks) {
        this->avoid(Agent, Avoidance::Suspected, Now - Health.LastReceivedAt,
                    Out);
      } else {
        this->sendCheck(Agent, Now, Out);
      }
    } else if (Health.IsCheckPending) {
      const Instant DueAt = Health.CheckSentAt + Timeout;
      this->NextCheckAt =
          this->NextCheckAt ? std::min(*this->NextCheckAt, DueAt) : DueAt;
    }
    if (Health.Avoided == Avoidance::None || Health.IsCheckPending) {
      continue;
    }
    const bool IsGone =
        this->InForce != nullptr && !this->InForce->hasAgent(Agent);
    const Instant NextAt =
        Health.CheckSentAt + (IsGone ? GoneCheckPeriod : AvoidedCheckPeriod);
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
  this->processSearches(Now, Out);
  this->Intakes.onTick(this->Settings.PeerPort, Now, Out);
  this->reportLink(Now, Out);
}

std::optional<Instant> SteeringLogic::nextDue() const {
  std::optional<Instant> Next = this->NextCheckAt;
  if (const auto At = this->Intakes.nextDue()) {
    Next = Next ? std::min(*Next, *At) : At;
  }
  if (!this->ResendQueue.empty()) {
    const Instant At = this->ResendQueue.front().At;
    Next = Next ? std::min(*Next, At) : At;
  }
  if (!this->Searches.empty()) {
    Next =
        Next ? std::min(*Next, this->NextSearchSweep) : this->NextSearchSweep;
  }
  return Next;
}

} // namespace mulberryhoist
