#include "mulberryhoist/agent.h"

#include <algorithm>
#include <fmt/format.h>
#include <type_traits>

namespace mulberryhoist {
namespace {

constexpr Duration SweepPeriod = std::chrono::seconds(1);
constexpr Duration RedirectSweepPeriod = std::chrono::seconds(10);

/// Returns the value with its bits mixed (the finaliser of SplitMix64).
std::uint64_t mix(std::uint64_t Value) {
  Value = (Value ^ (Value >> 30U)) * 0xBF58476D1CE4E5B9U;
  Value = (Value ^ (Value >> 27U)) * 0x94D049BB133111EBU;
  return Value ^ (Value >> 31U);
}

/// Returns true for segments that a caller may send: a SYN without payload, FIN
/// or RST, or a segment with ACK or RST but without SYN.
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
    : Settings(std::move(Settings)), Started(Now), AdmissionControl(Now),
      Refusals(this->Settings.Capacity.Refusals), NextQuery(mix(Seed)),
      RunningSince(Now), NextSweep(Now + SweepPeriod),
      NextRedirectSweep(Now + RedirectSweepPeriod) {}

void AgentLogic::onDatagram(Endpoint From, const Datagram &Input,
                            Arrival Arrived, Instant Now, ActionList &Out) {
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
          this->handle(CallerPacket{Input.Packet, *View, From, Body, Arrived},
                       Now, Out);
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
          // Only balancers receive `ProbeReply`.
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
  const Upstream *Self = this->findOwnUpstream();
  // An agent without rows in the table drains under its last limits.
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
  this->AdmissionControl.setLimits(Limits, Now);
  this->startWaitingOpenings(Now, Out);
}

void AgentLogic::onTerminate(Instant Now) {
  if (!this->TerminateRequestedAt) {
    this->TerminateRequestedAt = Now;
  }
}

void AgentLogic::onPause(Instant Now) {
  // Replies of other agents may have arrived after their time limits; the
  // callers retransmit their openings.
  this->Counters.StaleDropped += this->Openings.size();
  this->Openings.clear();
  this->Queries.clear();
  this->RunningSince = Now;
}

void AgentLogic::onTick(Instant Now, ActionList &Out) {
  this->beginEvent();
  this->startWaitingOpenings(Now, Out);
  for (auto It = this->Openings.begin(); It != this->Openings.end();) {
    const auto Current = It++;
    this->advance(Current, Now, Out);
  }
  for (auto It = this->Searches.begin(); It != this->Searches.end();) {
    const auto Current = It++;
    this->advance(Current, Now, Out);
  }
  if (Now >= this->NextSweep) {
    this->NextSweep = Now + SweepPeriod;
    this->sweep(Now, Out);
  }
}

bool AgentLogic::isDrained(Instant Now) const {
  if (!this->TerminateRequestedAt) {
    return false;
  }
  return Now - *this->TerminateRequestedAt >= MinimumDrain &&
         this->Flows.empty() && this->Openings.empty();
}

DrainReason AgentLogic::drainReason() const {
  if (this->TerminateRequestedAt) {
    return DrainReason::Signal;
  }
  if (this->Leaving) {
    return DrainReason::VmList;
  }
  if (!this->InForce) {
    return DrainReason::Table;
  }
  const auto Rows = this->InForce->assignments(this->Settings.Self);
  const bool AcceptsOpenings =
      std::any_of(Rows.begin(), Rows.end(),
                  [](const Assignment &Row) { return Row.Weight > 0; });
  return AcceptsOpenings ? DrainReason::None : DrainReason::Table;
}

std::string AgentLogic::explain(const FlowKey &Key, Instant Now) const {
  const std::string Name = fmt::format(
      "flow {} -> {}", formatEndpoint(Key.Caller), formatEndpoint(Key.Service));
  if (const auto Found = this->Flows.find(Key); Found != this->Flows.end()) {
    const FlowStatus Flow = this->flowStatus(Key, Found->second, Now);
    const std::chrono::duration<double> Silent = Flow.CallerSilence;
    return fmt::format("{}: owned by this agent, state {}, {}, last caller "
                       "packet {:.1f} s ago",
                       Name, flowStateName(Flow.State),
                       Flow.Working ? "holds a slot" : "holds no slot",
                       Silent.count());
  }
  if (this->Openings.contains(Key)) {
    return fmt::format("{}: opening in progress, coordinated by this agent",
                       Name);
  }
  if (const auto Found = this->Redirects.find(Key);
      Found != this->Redirects.end()) {
    const UpstreamId Owner = Found->second.Owner;
    const Upstream *KnownUpstream =
        this->InForce ? this->InForce->findUpstream(Owner) : nullptr;
    return fmt::format("{}: owned by upstream {}", Name,
                       KnownUpstream != nullptr ? KnownUpstream->Name
                                                : fmt::to_string(Owner.Value));
  }
  if (this->Searches.contains(Key)) {
    return fmt::format("{}: owner is being located", Name);
  }
  return fmt::format("{}: unknown to this agent", Name);
}

DrainProgress AgentLogic::drainProgress(std::size_t MaxHolders,
                                        Instant Now) const {
  DrainProgress Progress;
  Progress.Reason = this->drainReason();
  Progress.Cut =
      this->Counters.Resets[static_cast<std::size_t>(EndReason::Cut)];
  if (this->TerminateRequestedAt) {
    const Instant End =
        *this->TerminateRequestedAt + this->Settings.DrainDeadline;
    Progress.UntilDeadline = std::max(Duration::zero(), End - Now);
  }
  std::unordered_map<ServiceId, ServiceDrain> Services;
  for (const auto &[Key, Flow] : this->Flows) {
    ServiceDrain &Entry = Services[Flow.Service];
    Entry.Service = Flow.Service;
    ++Entry.Flows;
    Entry.Requests += Flow.Working ? 1 : 0;
    Entry.Queued += Flow.State == FlowState::Queued ? 1 : 0;
    Progress.OldestFlow = std::max(Progress.OldestFlow, Now - Flow.Accepted);
    if (Progress.Holders.size() < MaxHolders) {
      Progress.Holders.push_back(this->flowStatus(Key, Flow, Now));
    }
  }
  for (const auto &[Id, Entry] : Services) {
    Progress.Flows += Entry.Flows;
    Progress.Requests += Entry.Requests;
    Progress.Queued += Entry.Queued;
    Progress.Services.push_back(Entry);
  }
  return Progress;
}

AgentStatus AgentLogic::status(Instant Now) const {
  AgentStatus Status;
  for (const auto &[Key, Flow] : this->Flows) {
    ++Status.Flows[static_cast<std::size_t>(Flow.State)];
  }
  Status.Busy = this->AdmissionControl.busy();
  Status.Waiting = this->AdmissionControl.waiting();
  Status.Slots = this->AdmissionControl.slots();
  Status.Load = this->AdmissionControl.load(1, Now);
  Status.Redirects = this->Redirects.size();
  Status.Openings = this->Openings.size();
  Status.Searches = this->Searches.size();
  Status.Refusals = this->Refusals.size();
  Status.Draining = this->isDraining();
  Status.Counters = this->Counters;
  return Status;
}

void AgentLogic::beginEvent() {
  if (!this->RetainedBytes.empty()) {
    this->RetainedBytes.clear();
  }
}

void AgentLogic::handle(const CallerPacket &Input, Instant Now,
                        ActionList &Out) {
  if (!Input.View.isOpening()) {
    this->onFlowPacket(Input, Now, Out);
    return;
  }
  if (Input.Header.Relayed) {
    this->onOfferedOpening(Input, Now, Out);
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
  Reply.Load = this->AdmissionControl.load(1, Now);
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
  Reply.Load = this->AdmissionControl.load(this->weightOf(Body.Service), Now);
  Reply.Draining = this->isDraining(Body.Service);
  Reply.Room = this->AdmissionControl.hasRoom(Body.Service) &&
               this->Flows.size() < this->Settings.Capacity.Flows;
  Out.push_back(SendMessage{From, Reply, {}});
}

PacketBytes AgentLogic::retainBytes(std::vector<std::uint8_t> Bytes) {
  return this->RetainedBytes.emplace_back(std::move(Bytes));
}

const Upstream *AgentLogic::findOwnUpstream() const {
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
  return this->TerminateRequestedAt || this->Leaving ||
         this->weightOf(Service) == 0;
}

const Service *AgentLogic::findServedService(const CallerPacket &Input) const {
  if (!this->InForce) {
    return nullptr;
  }
  const Service *Listed = this->InForce->findService(Input.View.Destination);
  if (Listed == nullptr || Listed->Id != Input.Header.Service) {
    return nullptr;
  }
  const auto &OwnServices = this->Settings.Services;
  const bool IsConfigured = std::find(OwnServices.begin(), OwnServices.end(),
                                      Listed->Id) != OwnServices.end();
  return IsConfigured ? Listed : nullptr;
}

std::optional<Endpoint> AgentLogic::findAgent(UpstreamId Id) const {
  const Upstream *KnownUpstream =
      this->InForce ? this->InForce->findUpstream(Id) : nullptr;
  if (KnownUpstream == nullptr) {
    return std::nullopt;
  }
  return KnownUpstream->Agent;
}

void AgentLogic::sweep(Instant Now, ActionList &Out) {
  this->Refusals.expire(Now);
  this->FlowsToEnd.clear();
  this->FlowsToReset.clear();
  const bool DeadlinePassed =
      this->TerminateRequestedAt &&
      Now - *this->TerminateRequestedAt >= this->Settings.DrainDeadline;
  for (auto &[Key, Flow] : this->Flows) {
    if (DeadlinePassed) {
      this->FlowsToReset.emplace_back(Key, EndReason::Cut);
      continue;
    }
    this->checkTimeouts(Key, Flow, Now);
  }
  for (const auto &[Key, Reason] : this->FlowsToReset) {
    this->resetFlow(Key, Reason, Now, Out);
  }
  for (const FlowKey &Key : this->FlowsToEnd) {
    if (const auto Found = this->Flows.find(Key); Found != this->Flows.end()) {
      this->endFlow(Found, Now, Out);
    }
  }
  this->startWaitingOpenings(Now, Out);
  if (Now >= this->NextRedirectSweep) {
    this->NextRedirectSweep = Now + RedirectSweepPeriod;
    std::erase_if(this->Redirects, [Now](const auto &Entry) {
      return Now - Entry.second.LastUsed >= RedirectRetention;
    });
  }
}

void AgentLogic::checkTimeouts(const FlowKey &Key, FlowRecord &Flow,
                               Instant Now) {
  const auto Elapsed = [this, Now](Instant Start) {
    return Now - std::max(Start, this->RunningSince);
  };
  if (Flow.State == FlowState::Queued) {
    return;
  }
  if (Flow.isHalfOpen() && Elapsed(Flow.Accepted) >= HalfOpenTimeout) {
    this->FlowsToReset.emplace_back(Key, EndReason::HalfOpen);
    return;
  }
  if (Flow.Working && !Flow.RequestSeen &&
      Elapsed(Flow.Accepted) >= FirstRequestTimeout) {
    this->setWorking(Flow, false, Now);
  }
  const Duration SinceLastPacket = Elapsed(Flow.LastPacket);
  const bool OneEndFinished = Flow.State == FlowState::Adopted &&
                              (Flow.CallerFinished || Flow.UpstreamFinished);
  if ((Flow.State == FlowState::Closing && SinceLastPacket >= ClosingLinger) ||
      (OneEndFinished && SinceLastPacket >= SilenceTimeout)) {
    this->FlowsToEnd.push_back(Key);
    return;
  }
  const Instant SilentSince =
      std::max(Flow.LastCallerPacket, Flow.UnacknowledgedSince);
  if (Flow.hasUnacknowledgedResponse() &&
      Elapsed(SilentSince) >= SilenceTimeout) {
    this->FlowsToReset.emplace_back(Key, EndReason::Silent);
    return;
  }
  if (SinceLastPacket >= IdleTimeout) {
    this->FlowsToReset.emplace_back(Key, EndReason::Idle);
  }
}

void AgentLogic::resetFlow(const FlowKey &Key, EndReason Reason, Instant Now,
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
  // Another upstream may have answered a retransmission of this caller's
  // opening, so the caller of a half-open flow is not reset but
  // left to its own time-out.
  if (!Flow.isHalfOpen() && Flow.State != FlowState::Queued &&
      Flow.UpstreamNumbersKnown) {
    Out.push_back(
        ResetCaller{makeReset(Key.Service, Key.Caller, Flow.CallerAcknowledged),
                    ErrorKind::OutcomeUnknown});
  }
  this->endFlow(Found, Now, Out);
}

FlowStatus AgentLogic::flowStatus(const FlowKey &Key, const FlowRecord &Flow,
                                  Instant Now) const {
  return {Key, Flow.State, Flow.Service, Flow.Working,
          Now - Flow.LastCallerPacket};
}

} // namespace mulberryhoist
