#include "mulberryhoist/agent.h"

#include <algorithm>
#include <fmt/format.h>
#include <type_traits>

namespace mulberryhoist {
namespace {

constexpr Duration SweepPeriod = std::chrono::seconds(1);
constexpr Duration RedirectSweepPeriod = std::chrono::seconds(10);

/// Spreads the seed over all bits (the finaliser of SplitMix64).
std::uint64_t mix(std::uint64_t Value) {
  Value = (Value ^ (Value >> 30U)) * 0xBF58476D1CE4E5B9U;
  Value = (Value ^ (Value >> 27U)) * 0x94D049BB133111EBU;
  return Value ^ (Value >> 31U);
}

/// True for what TCP allows a caller to send: a bare opening, or a segment that
/// acknowledges or resets.
bool isCallerSegment(const PacketView &View) {
  if (View.isOpening()) {
    return View.Payload.empty() && !View.Flags.Fin && !View.Flags.Rst;
  }
  return !View.Flags.Syn && (View.Flags.Ack || View.Flags.Rst);
}

} // namespace

std::string_view endReasonName(EndReason Reason) {
  constexpr std::array<std::string_view, EndReasonCount> Names = {
      "silent", "idle", "gone", "half_open", "cut"};
  return Names[static_cast<std::size_t>(Reason)];
}

Result<AgentLogic> AgentLogic::create(AgentSettings Settings,
                                      std::uint64_t Seed, Instant Now) {
  if (Settings.Services.empty()) {
    return makeError(ErrorKind::InvalidSetting,
                     "services: at least one service is needed");
  }
  if (Settings.DrainDeadline <= Duration::zero()) {
    return makeError(ErrorKind::InvalidSetting,
                     "drain deadline: must be more than 0 s");
  }
  return AgentLogic(std::move(Settings), Seed, Now);
}

AgentLogic::AgentLogic(AgentSettings Settings, std::uint64_t Seed, Instant Now)
    : Settings(std::move(Settings)), Started(Now), Admitted(Now),
      Refusals(this->Settings.Capacity.Refusals), NextQuery(mix(Seed)),
      SilenceFloor(Now), NextSweep(Now + SweepPeriod),
      NextRedirectSweep(Now + RedirectSweepPeriod) {}

void AgentLogic::onDatagram(Endpoint From, const Datagram &Input, Arrival When,
                            Instant Now, ActionList &Out) {
  this->beginEvent();
  std::visit(
      [&](const auto &Body) {
        using Type = std::decay_t<decltype(Body)>;
        if constexpr (std::is_same_v<Type, Forward>) {
          const Result<PacketView> View = parsePacket(Input.Packet);
          if (!View || !isCallerSegment(*View)) {
            Out.push_back(ReportError{ErrorKind::MalformedPacket});
            return;
          }
          this->handle(CallerPacket{Input.Packet, *View, From, Body, When}, Now,
                       Out);
        } else if constexpr (std::is_same_v<Type, Probe> ||
                             std::is_same_v<Type, LoadQuery>) {
          this->handle(From, Body, Now, Out);
        } else if constexpr (std::is_same_v<Type, LoadReply>) {
          this->onLoadReply(Body, Now, Out);
        } else if constexpr (std::is_same_v<Type, OwnerNotice>) {
          this->onOwnerNotice(Body, Now, Out);
        } else if constexpr (std::is_same_v<Type, Decline>) {
          this->onDecline(Body, Now, Out);
        } else if constexpr (std::is_same_v<Type, NotOwner>) {
          this->onNotOwner(Body.Key, Body.Upstream, Now, Out);
        } else if constexpr (std::is_same_v<Type, Locate>) {
          this->onLocate(From, Body, Now, Out);
        } else if constexpr (std::is_same_v<Type, LocateReply>) {
          this->onLocateReply(Body, Now, Out);
        } else {
          // A ProbeReply is for balancers.
          Out.push_back(ReportError{ErrorKind::MalformedMessage});
        }
      },
      Input.Body);
}

void AgentLogic::onTable(std::shared_ptr<const Table> Next, Instant Now,
                         ActionList &Out) {
  this->beginEvent();
  if (!Next ||
      (this->InForce && isOlder(Next->version(), this->InForce->version()))) {
    Out.push_back(ReportError{ErrorKind::OlderTable});
    return;
  }
  this->InForce = std::move(Next);
  const Upstream *Self = this->findLiveSelf();
  // Without a row of its own the agent drains under its last limits.
  if (Self == nullptr) {
    return;
  }
  AdmissionLimits Limits;
  Limits.Slots = Self->Slots;
  Limits.Connections = Self->Connections;
  for (const Assignment &Row : this->InForce->assignments(Self->Id)) {
    if (const Service *Listed = this->InForce->findService(Row.Service)) {
      Limits.Services.push_back({Listed->Id, Listed->Class, Listed->Share});
    }
  }
  this->Admitted.setLimits(Limits, Now);
  this->startWaiting(Now, Out);
}

void AgentLogic::onTerminate(Instant Now) {
  if (!this->TerminateAt) {
    this->TerminateAt = Now;
  }
}

void AgentLogic::onPause(Instant Now) {
  // Answers of other agents may have come too late to count; the callers send
  // their openings again.
  this->Counters.StaleDropped += this->Openings.size();
  this->Openings.clear();
  this->Queries.clear();
  this->SilenceFloor = Now;
}

void AgentLogic::onTick(Instant Now, ActionList &Out) {
  this->beginEvent();
  this->startWaiting(Now, Out);
  for (auto It = this->Openings.begin(); It != this->Openings.end();) {
    const auto Current = It++;
    this->run(Current, Now, Out);
  }
  for (auto It = this->Searches.begin(); It != this->Searches.end();) {
    const auto Current = It++;
    this->run(Current, Now, Out);
  }
  if (Now >= this->NextSweep) {
    this->NextSweep = Now + SweepPeriod;
    this->sweep(Now, Out);
  }
}

bool AgentLogic::isDrained(Instant Now) const {
  if (!this->TerminateAt) {
    return false;
  }
  return Now - *this->TerminateAt >= MinimumDrain && this->Flows.empty() &&
         this->Openings.empty();
}

DrainReason AgentLogic::drainReason() const {
  if (this->TerminateAt) {
    return DrainReason::Signal;
  }
  if (this->Leaving) {
    return DrainReason::VmList;
  }
  if (!this->InForce) {
    return DrainReason::Table;
  }
  const auto Rows = this->InForce->assignments(this->Settings.Self);
  const bool TakesWork =
      std::any_of(Rows.begin(), Rows.end(),
                  [](const Assignment &Row) { return Row.Weight > 0; });
  return TakesWork ? DrainReason::None : DrainReason::Table;
}

std::string AgentLogic::explain(const FlowKey &Key, Instant Now) const {
  const std::string Name = fmt::format(
      "flow {} -> {}", formatEndpoint(Key.Caller), formatEndpoint(Key.Service));
  if (const auto Found = this->Flows.find(Key); Found != this->Flows.end()) {
    const FlowStatus Flow = this->flowStatus(Key, Found->second, Now);
    const std::chrono::duration<double> Silent = Flow.SinceCaller;
    return fmt::format("{}: owned here, state {}, {}, last packet of the "
                       "caller {:.1f} s ago",
                       Name, flowStateName(Flow.State),
                       Flow.Working ? "holds a slot" : "holds no slot",
                       Silent.count());
  }
  if (this->Openings.contains(Key)) {
    return fmt::format("{}: opening in progress, this agent is the home", Name);
  }
  if (const auto Found = this->Redirects.find(Key);
      Found != this->Redirects.end()) {
    const UpstreamId Owner = Found->second.Owner;
    const Upstream *Known =
        this->InForce ? this->InForce->findUpstream(Owner) : nullptr;
    return fmt::format("{}: owned by upstream {}", Name,
                       Known != nullptr ? Known->Name
                                        : fmt::to_string(Owner.Value));
  }
  if (this->Searches.contains(Key)) {
    return fmt::format("{}: its owner is being located", Name);
  }
  return fmt::format("{}: not known here", Name);
}

DrainProgress AgentLogic::drainProgress(std::size_t MaxHolders,
                                        Instant Now) const {
  DrainProgress Progress;
  Progress.Reason = this->drainReason();
  Progress.Cut =
      this->Counters.Resets[static_cast<std::size_t>(EndReason::Cut)];
  if (this->TerminateAt) {
    const Instant End = *this->TerminateAt + this->Settings.DrainDeadline;
    Progress.UntilDeadline = std::max(Duration::zero(), End - Now);
  }
  std::unordered_map<ServiceId, ServiceDrain> Services;
  for (const auto &[Key, Flow] : this->Flows) {
    ServiceDrain &Each = Services[Flow.Service];
    Each.Service = Flow.Service;
    ++Each.Flows;
    Each.Requests += Flow.Working ? 1 : 0;
    Each.Queued += Flow.State == FlowState::Queued ? 1 : 0;
    Progress.OldestFlow = std::max(Progress.OldestFlow, Now - Flow.Accepted);
    if (Progress.Holders.size() < MaxHolders) {
      Progress.Holders.push_back(this->flowStatus(Key, Flow, Now));
    }
  }
  for (const auto &[Id, Each] : Services) {
    Progress.Flows += Each.Flows;
    Progress.Requests += Each.Requests;
    Progress.Queued += Each.Queued;
    Progress.Services.push_back(Each);
  }
  return Progress;
}

AgentStatus AgentLogic::status(Instant Now) const {
  AgentStatus Status;
  for (const auto &[Key, Flow] : this->Flows) {
    ++Status.Flows[static_cast<std::size_t>(Flow.State)];
  }
  Status.Busy = this->Admitted.busy();
  Status.Waiting = this->Admitted.waiting();
  Status.Slots = this->Admitted.slots();
  Status.Load = this->Admitted.load(1, Now);
  Status.Redirects = this->Redirects.size();
  Status.Openings = this->Openings.size();
  Status.Searches = this->Searches.size();
  Status.Refusals = this->Refusals.size();
  Status.Draining = this->isDraining();
  Status.Counters = this->Counters;
  return Status;
}

void AgentLogic::beginEvent() {
  if (!this->Released.empty()) {
    this->Released.clear();
  }
}

void AgentLogic::handle(const CallerPacket &Input, Instant Now,
                        ActionList &Out) {
  if (!Input.View.isOpening()) {
    this->onFlowPacket(Input, Now, Out);
    return;
  }
  if (Input.Header.Relayed) {
    this->onAskedOpening(Input, Now, Out);
    return;
  }
  this->onCoordinatedOpening(Input, Now, Out);
}

void AgentLogic::handle(Endpoint From, const Probe &Body, Instant Now,
                        ActionList &Out) {
  ProbeReply Reply;
  Reply.Sequence = Body.Sequence;
  Reply.Upstream = this->Settings.Self;
  Reply.Draining = this->isDraining();
  Reply.Load = this->Admitted.load(1, Now);
  if (this->InForce) {
    Reply.Table = this->InForce->version();
  }
  Out.push_back(SendMessage{From, Reply, {}});
}

void AgentLogic::handle(Endpoint From, const LoadQuery &Body, Instant Now,
                        ActionList &Out) {
  LoadReply Reply;
  Reply.Query = Body.Query;
  Reply.Upstream = this->Settings.Self;
  Reply.Load = this->Admitted.load(this->weightOf(Body.Service), Now);
  Reply.Draining = this->isDraining(Body.Service);
  Reply.Room = this->Admitted.hasRoom(Body.Service) &&
               this->Flows.size() < this->Settings.Capacity.Flows;
  Out.push_back(SendMessage{From, Reply, {}});
}

PacketBytes AgentLogic::keep(std::vector<std::uint8_t> Bytes) {
  return this->Released.emplace_back(std::move(Bytes));
}

const Upstream *AgentLogic::findLiveSelf() const {
  if (!this->InForce) {
    return nullptr;
  }
  const auto Rows = this->InForce->assignments(this->Settings.Self);
  return Rows.empty() ? nullptr
                      : this->InForce->findUpstream(this->Settings.Self);
}

std::uint32_t AgentLogic::weightOf(ServiceId Service) const {
  if (!this->InForce) {
    return 0;
  }
  for (const Assignment &Row :
       this->InForce->assignments(this->Settings.Self)) {
    if (Row.Service == Service) {
      return Row.Weight;
    }
  }
  return 0;
}

bool AgentLogic::isDraining(ServiceId Service) const {
  return this->TerminateAt || this->Leaving || this->weightOf(Service) == 0;
}

const Service *AgentLogic::servedHere(const CallerPacket &Input) const {
  if (!this->InForce) {
    return nullptr;
  }
  const Service *Listed = this->InForce->findService(Input.View.Destination);
  if (Listed == nullptr || Listed->Id != Input.Header.Service) {
    return nullptr;
  }
  const auto &Own = this->Settings.Services;
  const bool Named = std::find(Own.begin(), Own.end(), Listed->Id) != Own.end();
  return Named ? Listed : nullptr;
}

std::optional<Endpoint> AgentLogic::agentOf(UpstreamId Id) const {
  const Upstream *Known =
      this->InForce ? this->InForce->findUpstream(Id) : nullptr;
  if (Known == nullptr) {
    return std::nullopt;
  }
  return Known->Agent;
}

void AgentLogic::sweep(Instant Now, ActionList &Out) {
  this->Refusals.expire(Now);
  this->ToEnd.clear();
  this->ToCut.clear();
  const bool DeadlineOver =
      this->TerminateAt &&
      Now - *this->TerminateAt >= this->Settings.DrainDeadline;
  for (auto &[Key, Flow] : this->Flows) {
    if (DeadlineOver) {
      this->ToCut.emplace_back(Key, EndReason::Cut);
      continue;
    }
    this->sweepFlow(Key, Flow, Now);
  }
  for (const auto &[Key, Reason] : this->ToCut) {
    this->cut(Key, Reason, Now, Out);
  }
  for (const FlowKey &Key : this->ToEnd) {
    if (const auto Found = this->Flows.find(Key); Found != this->Flows.end()) {
      this->endFlow(Found, Now, Out);
    }
  }
  this->startWaiting(Now, Out);
  if (Now >= this->NextRedirectSweep) {
    this->NextRedirectSweep = Now + RedirectSweepPeriod;
    std::erase_if(this->Redirects, [Now](const auto &Entry) {
      return Now - Entry.second.LastUsed >= RedirectRetention;
    });
  }
}

void AgentLogic::sweepFlow(const FlowKey &Key, FlowRecord &Flow, Instant Now) {
  const auto Since = [this, Now](Instant Start) {
    return Now - std::max(Start, this->SilenceFloor);
  };
  if (Flow.State == FlowState::Queued) {
    return;
  }
  if (Flow.isHalfOpen() && Since(Flow.Accepted) >= HalfOpenTimeout) {
    this->ToCut.emplace_back(Key, EndReason::HalfOpen);
    return;
  }
  if (Flow.Working && !Flow.RequestSeen &&
      Since(Flow.Accepted) >= FirstRequestTimeout) {
    this->setWorking(Flow, false, Now);
  }
  const Duration Quiet = Since(Flow.LastPacket);
  const bool HalfSeenEnd = Flow.State == FlowState::Adopted &&
                           (Flow.CallerFinished || Flow.UpstreamFinished);
  if ((Flow.State == FlowState::Closing && Quiet >= ClosingLinger) ||
      (HalfSeenEnd && Quiet >= SilenceTimeout)) {
    this->ToEnd.push_back(Key);
    return;
  }
  const Instant Waiting = std::max(Flow.LastCaller, Flow.UnacknowledgedSince);
  if (Flow.hasUnacknowledgedAnswer() && Since(Waiting) >= SilenceTimeout) {
    this->ToCut.emplace_back(Key, EndReason::Silent);
    return;
  }
  if (Quiet >= IdleTimeout) {
    this->ToCut.emplace_back(Key, EndReason::Idle);
  }
}

void AgentLogic::cut(const FlowKey &Key, EndReason Reason, Instant Now,
                     ActionList &Out) {
  const auto Found = this->Flows.find(Key);
  if (Found == this->Flows.end()) {
    return;
  }
  const FlowRecord &Flow = Found->second;
  ++this->Counters.Resets[static_cast<std::size_t>(Reason)];
  if (Flow.State != FlowState::Queued) {
    Out.push_back(
        ResetUpstream{makeReset(Key.Caller, Key.Service, Flow.CallerNext)});
  }
  // The caller of a half-open flow may have a copy of it that was answered
  // elsewhere; it is left to its own timeout.
  if (!Flow.isHalfOpen() && Flow.State != FlowState::Queued &&
      Flow.UpstreamKnown) {
    Out.push_back(
        ResetCaller{makeReset(Key.Service, Key.Caller, Flow.CallerAcknowledged),
                    ErrorKind::OutcomeUnknown});
  }
  this->endFlow(Found, Now, Out);
}

FlowStatus AgentLogic::flowStatus(const FlowKey &Key, const FlowRecord &Flow,
                                  Instant Now) const {
  return {Key, Flow.State, Flow.Service, Flow.Working, Now - Flow.LastCaller};
}

} // namespace mulberryhoist
