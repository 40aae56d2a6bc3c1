#include "fleet/fleet.h"

#include <algorithm>
#include <fmt/format.h>
#include <stdexcept>

namespace mulberryhoist::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration Latency = milliseconds(1);
constexpr Duration BalancerTick = milliseconds(200);
constexpr Duration AgentTick = milliseconds(250);
constexpr Duration FastTick = milliseconds(2);
constexpr Duration EndTick = milliseconds(20);

/// A removed balancer still forwards what reaches it for this time.
constexpr Duration BalancerStop = seconds(2);

/// Datagrams that wait in the socket of a paused process.
constexpr std::size_t InboxCapacity = 200;

/// A refused order is opened again at most this often.
constexpr unsigned MaxRetries = 3;

Endpoint agentAddress(std::size_t Index) {
  return {0x7F020001U + static_cast<std::uint32_t>(Index), 90};
}

Endpoint balancerAddress(std::size_t Index) {
  return {0x7F030001U + static_cast<std::uint32_t>(Index), 70};
}

std::uint64_t revisionOf(const std::shared_ptr<const Table> &Value) {
  return Value == nullptr ? 0 : Value->version().Revision;
}

} // namespace

OperatorRow *OperatorTable::find(std::string_view Service,
                                 std::string_view Upstream) {
  const auto Found = std::find_if(
      this->Rows.begin(), this->Rows.end(), [&](const OperatorRow &Row) {
        return Row.Service == Service && Row.Upstream == Upstream;
      });
  return Found == this->Rows.end() ? nullptr : &*Found;
}

Fleet::Fleet(const FleetSize &Size, std::uint64_t Seed)
    : Numbers(Seed),
      Publisher(
          DocumentKind::Table,
          [this](const DocumentContent &Content) -> Result<void> {
            auto Made =
                Table::create(Content.Version, Content.Rows, Content.Removed);
            if (!Made) {
              return tl::unexpected(Made.error());
            }
            this->Published = std::make_shared<const Table>(std::move(*Made));
            return {};
          },
          Seed) {
  this->Draft.Slots = Size.Slots;
  this->Draft.Addresses["orders"] = {0x7F010001, 80};
  this->Draft.Addresses["prints"] = {0x7F010002, 80};
  const unsigned OrdersOnly = Size.Orders - Size.Shared;
  for (unsigned I = 0; I < Size.Orders + Size.Prints - Size.Shared; ++I) {
    std::vector<std::string> Services;
    if (I < Size.Orders) {
      Services.emplace_back("orders");
    }
    if (I >= OrdersOnly) {
      Services.emplace_back("prints");
    }
    const std::size_t Index = this->addAgent(Services);
    for (const std::string &Service : Services) {
      this->Draft.Rows.push_back({Service, this->Agents[Index]->Name, 100});
    }
  }
  for (unsigned I = 0; I < Size.Balancers; ++I) {
    this->addBalancer();
  }
  const Duration Spread = this->Network.TableSpread;
  this->Network.TableSpread = Duration::zero();
  if (!this->publish()) {
    throw std::logic_error("the first table is invalid");
  }
  this->Network.TableSpread = Spread;
  this->tickBalancers();
  this->tickAgents();
  this->tickEnds();
  // The agents are beyond their restart period.
  this->run(RestartPeriod + seconds(1));
}

void Fleet::run(Duration For) {
  const Instant End = this->Now + For;
  while (!this->Events.empty() && this->Events.front().At <= End) {
    std::pop_heap(this->Events.begin(), this->Events.end());
    const Event Next = std::move(this->Events.back());
    this->Events.pop_back();
    this->Now = Next.At;
    Next.Run();
  }
  this->Now = End;
}

void Fleet::settle(Duration Max) {
  const Instant End = this->Now + Max;
  while (this->Now < End && !this->isSettled()) {
    this->run(seconds(1));
  }
}

void Fleet::after(Duration Delay, std::function<void()> Event) {
  this->Events.push_back(
      {this->Now + Delay, this->EventCount++, std::move(Event)});
  std::push_heap(this->Events.begin(), this->Events.end());
}

std::size_t Fleet::open(std::string_view Service, FlowPlan Plan) {
  Plan.Key = this->newKey(Service);
  if (Plan.Order == 0) {
    Plan.Order = static_cast<std::uint32_t>(this->Callers.size()) + 1;
  }
  return this->openPlan(Plan);
}

std::size_t Fleet::openAgain(std::size_t Earlier) {
  FlowPlan Plan = this->truth(Earlier).Plan;
  Plan.Order = static_cast<std::uint32_t>(this->Callers.size()) + 1;
  const std::size_t User = this->CallerOf.at(Plan.Key);
  if (!this->Callers[User]->isOver()) {
    this->Callers[User]->abandon();
    this->Judge.onAbandoned(User);
  }
  return this->openPlan(Plan);
}

void Fleet::repeatOpening(std::size_t Flow, std::size_t Balancer) {
  const FlowTruth &Truth = this->truth(Flow);
  Letter Copy;
  Copy.From = Truth.Plan.Key.Caller;
  Copy.To = this->Balancers[Balancer]->Address;
  // The caller's TCP builds the same bytes; its answer is not needed here.
  CallerTcp Repeated(
      this->Judge, Flow,
      [&Copy](std::vector<std::uint8_t> Packet) {
        Copy.Packet = std::move(Packet);
      },
      this->Now);
  this->arrive(Copy);
}

bool Fleet::isKeyFree(std::size_t Flow) const {
  const std::size_t User = this->CallerOf.at(this->truth(Flow).Plan.Key);
  return this->stateOf(User) == CallerTcp::State::Done;
}

CallerTcp::State Fleet::stateOf(std::size_t Flow) const {
  return this->Callers[Flow]->state();
}

bool Fleet::publish() {
  const auto Parsed = parsePublishedTable(this->render());
  std::vector<OutgoingMessage> Ignored;
  const DocumentVersion Version{0, this->Revision + 1};
  if (!Parsed ||
      !this->Publisher.offerRead(Version, Parsed->Rows, this->Now, Ignored)) {
    this->Draft = this->LastDraft;
    return false;
  }
  ++this->Revision;
  this->LastDraft = this->Draft;
  this->Judge.onPublished(this->Published);
  const auto Give = [this](auto &To) {
    const std::shared_ptr<const Table> New = this->Published;
    auto *Process = To.get();
    if (this->Network.TableSpread == Duration::zero()) {
      this->giveTable(*Process);
      return;
    }
    this->after(this->upTo(this->Network.TableSpread),
                [this, Process] { this->giveTable(*Process); });
  };
  for (const auto &Each : this->Balancers) {
    Give(Each);
  }
  for (const auto &Each : this->Agents) {
    Give(Each);
  }
  return true;
}

void Fleet::giveTable(BalancerProcess &To) {
  if (!To.Alive || To.Paused || To.KeepsTable) {
    return;
  }
  To.Revision = std::max(To.Revision, revisionOf(this->Published));
  To.Logic.onTable(this->Published, this->Now, this->Out);
  this->perform(To.Address);
}

void Fleet::giveTable(AgentProcess &To) {
  if (To.Logic == nullptr || To.Paused) {
    return;
  }
  To.Revision = std::max(To.Revision, revisionOf(this->Published));
  To.InForce = this->Published;
  To.Logic->onTable(this->Published, this->Now, this->Out);
  this->perform(To);
  this->tell(To);
}

void Fleet::addBalancer() {
  auto Made = std::make_unique<BalancerProcess>();
  Made->Address = balancerAddress(this->Balancers.size());
  this->Balancers.push_back(std::move(Made));
  if (this->Published != nullptr) {
    this->giveTable(*this->Balancers.back());
  }
}

void Fleet::removeBalancer(std::size_t Index) {
  BalancerProcess &Of = *this->Balancers[Index];
  Of.InFabric = false;
  this->after(BalancerStop, [&Of] { Of.Alive = false; });
}

void Fleet::killBalancer(std::size_t Index) {
  BalancerProcess &Of = *this->Balancers[Index];
  Of.Alive = false;
  // The fabric notices a dead balancer a little later.
  this->after(seconds(1), [&Of] { Of.InFabric = false; });
}

void Fleet::pauseBalancer(std::size_t Index, Duration For) {
  BalancerProcess &Of = *this->Balancers[Index];
  Of.Paused = true;
  this->after(For, [this, &Of] {
    Of.Paused = false;
    if (!Of.Alive) {
      return;
    }
    Of.Logic.onPause(this->Now);
    while (!Of.Inbox.empty()) {
      const Letter Waiting = std::move(Of.Inbox.front());
      Of.Inbox.pop_front();
      this->receive(Of, Waiting);
    }
    Of.Logic.onBacklogRead();
    this->after(this->upTo(this->Network.TableSpread),
                [this, &Of] { this->giveTable(Of); });
  });
}

std::size_t Fleet::addAgent(const std::vector<std::string> &Services) {
  const std::size_t Index = this->Agents.size();
  auto Made = std::make_unique<AgentProcess>();
  Made->Name = fmt::format("a{}", Index);
  Made->Address = agentAddress(Index);
  Made->Services = Services;
  this->Agents.push_back(std::move(Made));
  this->startLogic(*this->Agents.back());
  this->startUpstream(*this->Agents.back());
  return Index;
}

void Fleet::terminateAgent(std::size_t Index) {
  AgentProcess &Of = *this->Agents[Index];
  if (Of.Logic == nullptr || Of.Paused) {
    return;
  }
  Of.Terminated = true;
  Of.Logic->onTerminate(this->Now);
  this->tell(Of);
}

void Fleet::restartAgent(std::size_t Index) {
  AgentProcess &Of = *this->Agents[Index];
  if (Of.Upstream == nullptr || Of.Paused) {
    return;
  }
  Of.Terminated = false;
  this->startLogic(Of);
  this->after(this->upTo(milliseconds(500)),
              [this, &Of] { this->giveTable(Of); });
}

void Fleet::killVm(std::size_t Index) {
  this->Agents[Index]->Logic.reset();
  this->Agents[Index]->Upstream.reset();
}

void Fleet::replaceVm(std::size_t Index, const std::string &Name,
                      const std::vector<std::string> &Services) {
  AgentProcess &Of = *this->Agents[Index];
  Of.Name = Name;
  Of.Services = Services;
  Of.Terminated = false;
  Of.Leaving = false;
  this->startLogic(Of);
  this->startUpstream(Of);
  this->giveTable(Of);
}

void Fleet::pauseVm(std::size_t Index, Duration For) {
  AgentProcess &Of = *this->Agents[Index];
  Of.Paused = true;
  this->after(For, [this, &Of] {
    Of.Paused = false;
    if (Of.Logic == nullptr) {
      return;
    }
    Of.Logic->onPause(this->Now);
    while (!Of.Inbox.empty()) {
      const Letter Waiting = std::move(Of.Inbox.front());
      Of.Inbox.pop_front();
      this->receive(Of, Waiting, Arrival::BeforePause);
    }
    while (!Of.UpstreamInbox.empty()) {
      std::vector<std::uint8_t> Packet = std::move(Of.UpstreamInbox.front());
      Of.UpstreamInbox.pop_front();
      this->fromUpstream(Of, std::move(Packet));
    }
    this->after(this->upTo(this->Network.TableSpread),
                [this, &Of] { this->giveTable(Of); });
  });
}

void Fleet::setLeaving(std::size_t Index, bool Leaving) {
  AgentProcess &Of = *this->Agents[Index];
  Of.Leaving = Leaving;
  if (Of.Logic != nullptr) {
    Of.Logic->onLeaving(Leaving);
    this->tell(Of);
  }
}

void Fleet::setVmList(const std::vector<std::size_t> &Listed) {
  VmList List;
  for (const std::size_t Index : Listed) {
    const AgentProcess &Of = *this->Agents[Index];
    List.Vms.push_back({Of.Name, VmRole::Agent, "z-a",
                        Of.Leaving ? VmState::Leaving : VmState::Live,
                        Of.Address, Of.Address});
  }
  for (const auto &Each : this->Balancers) {
    this->after(
        this->upTo(this->Network.TableSpread),
        [this, List, To = Each.get()] { To->Logic.onVms(List, this->Now); });
  }
}

std::size_t Fleet::agentIndex(std::string_view Name) const {
  for (std::size_t I = 0; I < this->Agents.size(); ++I) {
    if (this->Agents[I]->Name == Name) {
      return I;
    }
  }
  throw std::out_of_range("no such agent");
}

std::optional<std::size_t> Fleet::ownerOf(std::size_t Flow) const {
  const std::string &Name = this->truth(Flow).RanAt;
  if (Name.empty()) {
    return std::nullopt;
  }
  return this->agentIndex(Name);
}

Duration Fleet::upTo(Duration Max) {
  const auto Range = static_cast<std::uint64_t>(Max.count()) + 1;
  return Duration(static_cast<Duration::rep>(this->Numbers() % Range));
}

void Fleet::post(const Letter &Value) {
  if ((this->Cut && !this->Cut(Value)) ||
      this->chance(this->Network.LossPercent)) {
    return;
  }
  const unsigned Copies = this->chance(this->Network.RepeatPercent) ? 2 : 1;
  for (unsigned I = 0; I < Copies; ++I) {
    Duration Delay = Latency + this->upTo(this->Network.MaxJitter);
    if (this->chance(this->Network.LatePercent)) {
      Delay += this->upTo(this->Network.MaxLate);
    }
    this->after(Delay, [this, Value] { this->arrive(Value); });
  }
}

void Fleet::arrive(const Letter &Value) {
  for (const auto &Each : this->Balancers) {
    if (Each->Address == Value.To && Each->Alive) {
      this->receive(*Each, Value);
      return;
    }
  }
  for (const auto &Each : this->Agents) {
    if (Each->Address == Value.To && Each->Logic != nullptr) {
      this->receive(*Each, Value, Arrival::Fresh);
      return;
    }
  }
  const auto View = parsePacket(Value.Packet);
  if (Value.Body || !View) {
    return;
  }
  const auto Caller = this->CallerOf.find(View->upstreamFlow());
  if (Caller != this->CallerOf.end()) {
    this->Callers[Caller->second]->onPacket(*View, this->Now);
  }
}

void Fleet::receive(BalancerProcess &To, const Letter &Value) {
  if (To.Paused) {
    if (To.Inbox.size() < InboxCapacity) {
      To.Inbox.push_back(Value);
    }
    return;
  }
  if (Value.Body) {
    To.Logic.onDatagram(Value.From, *Value.Body, this->Now, this->Out);
  } else {
    To.Logic.onPacket(Value.Packet, this->Now, this->Out);
  }
  this->perform(To.Address);
}

void Fleet::receive(AgentProcess &To, const Letter &Value, Arrival When) {
  if (To.Paused) {
    if (To.Inbox.size() < InboxCapacity) {
      To.Inbox.push_back(Value);
    }
    return;
  }
  if (!Value.Body) {
    return;
  }
  To.Logic->onDatagram(Value.From, {*Value.Body, Value.Packet}, When, this->Now,
                       this->Out);
  this->perform(To);
}

void Fleet::fromUpstream(AgentProcess &To, std::vector<std::uint8_t> Packet) {
  if (To.Logic == nullptr) {
    return;
  }
  if (To.Paused) {
    To.UpstreamInbox.push_back(std::move(Packet));
    return;
  }
  To.Logic->onUpstreamPacket(Packet, this->Now, this->Out);
  this->perform(To);
}

void Fleet::perform(Endpoint From) {
  ActionList Actions;
  std::swap(Actions, this->Out);
  for (const Action &Each : Actions) {
    if (const auto *Sent = std::get_if<SendMessage>(&Each)) {
      this->post({From,
                  Sent->To,
                  Sent->Body,
                  {Sent->Packet.begin(), Sent->Packet.end()}});
    }
  }
}

void Fleet::perform(AgentProcess &From) {
  ActionList Actions;
  std::swap(Actions, this->Out);
  const auto ToUpstream = [this, &From](PacketBytes Bytes) {
    const std::vector<std::uint8_t> Packet(Bytes.begin(), Bytes.end());
    this->after(Duration::zero(), [this, &From, Packet] {
      if (From.Upstream != nullptr) {
        From.Upstream->onPacket(*parsePacket(Packet), this->Now);
      }
    });
  };
  const auto ToCaller = [this, &From](PacketBytes Bytes) {
    this->post({From.Address, {}, std::nullopt, {Bytes.begin(), Bytes.end()}});
  };
  for (const Action &Each : Actions) {
    if (const auto *Sent = std::get_if<SendMessage>(&Each)) {
      this->post({From.Address,
                  Sent->To,
                  Sent->Body,
                  {Sent->Packet.begin(), Sent->Packet.end()}});
    } else if (const auto *Given = std::get_if<DeliverToUpstream>(&Each)) {
      ToUpstream(Given->Packet);
    } else if (const auto *Answer = std::get_if<SendToCaller>(&Each)) {
      ToCaller(Answer->Packet);
    } else if (const auto *Ended = std::get_if<ResetUpstream>(&Each)) {
      ToUpstream(Ended->Packet);
    } else if (const auto *Refused = std::get_if<ResetCaller>(&Each)) {
      ToCaller(Refused->Packet);
    }
  }
  this->planTick(From);
}

void Fleet::planTick(AgentProcess &Of) {
  if (Of.TickPlanned || Of.Logic == nullptr || !Of.Logic->needsFastTick()) {
    return;
  }
  Of.TickPlanned = true;
  this->after(FastTick, [this, &Of] {
    Of.TickPlanned = false;
    if (Of.Logic != nullptr && !Of.Paused) {
      Of.Logic->onTick(this->Now, this->Out);
      this->perform(Of);
    }
  });
}

void Fleet::tickBalancers() {
  for (const auto &Each : this->Balancers) {
    if (Each->Alive && !Each->Paused) {
      Each->Logic.onTick(this->Now, this->Out);
      this->perform(Each->Address);
    }
  }
  this->after(BalancerTick, [this] { this->tickBalancers(); });
}

void Fleet::tickAgents() {
  for (const auto &Each : this->Agents) {
    if (Each->Logic == nullptr || Each->Paused) {
      continue;
    }
    Each->Logic->onTick(this->Now, this->Out);
    this->perform(*Each);
    // A drained process exits, and its VM is given back.
    if (Each->Logic->isDrained(this->Now)) {
      Each->Logic.reset();
      Each->Upstream.reset();
    }
  }
  this->after(AgentTick, [this] { this->tickAgents(); });
}

void Fleet::tickEnds() {
  for (const auto &Each : this->Callers) {
    Each->onTimer(this->Now);
  }
  for (const auto &Each : this->Agents) {
    if (Each->Upstream != nullptr && !Each->Paused) {
      Each->Upstream->onTimer(this->Now);
    }
  }
  this->retryRefused();
  this->after(EndTick, [this] { this->tickEnds(); });
}

void Fleet::tell(AgentProcess &To) {
  if (To.InForce == nullptr) {
    return;
  }
  for (const auto &[Name, Address] : this->Draft.Addresses) {
    const Service *Listed = To.InForce->findService(Address);
    bool TakesWork = false;
    if (Listed != nullptr && !To.Leaving && !To.Terminated) {
      for (const Assignment &Row : To.InForce->assignments(Listed->Id)) {
        TakesWork = TakesWork ||
                    (Row.Upstream == upstreamId(To.Name) && Row.Weight > 0);
      }
    }
    this->Judge.onTold(To.Name, Address, !TakesWork, this->Now);
  }
}

void Fleet::startLogic(AgentProcess &Of) {
  AgentSettings Settings;
  Settings.Self = upstreamId(Of.Name);
  for (const std::string &Service : Of.Services) {
    Settings.Services.push_back(serviceId(Service));
  }
  auto Made = AgentLogic::create(Settings, this->Numbers(), this->Now);
  Of.Logic = std::make_unique<AgentLogic>(std::move(*Made));
  Of.Logic->onLeaving(Of.Leaving);
  Of.InForce = nullptr;
  Of.Revision = 0;
  if (this->Published != nullptr) {
    this->giveTable(Of);
  }
}

void Fleet::startUpstream(AgentProcess &Of) {
  this->Judge.onServices(Of.Name, Of.Services);
  Of.Upstream = std::make_unique<UpstreamTcp>(
      this->Judge, Of.Name, this->Numbers(),
      [this, &Of](const std::vector<std::uint8_t> &Packet) {
        this->after(Duration::zero(),
                    [this, &Of, Packet] { this->fromUpstream(Of, Packet); });
      });
}

std::uint64_t Fleet::oldestTable() const {
  std::uint64_t Oldest = this->Revision;
  for (const auto &Each : this->Balancers) {
    if (Each->Alive && Each->Revision > 0) {
      Oldest = std::min(Oldest, Each->Revision);
    }
  }
  for (const auto &Each : this->Agents) {
    if (Each->Logic != nullptr && Each->Revision > 0) {
      Oldest = std::min(Oldest, Each->Revision);
    }
  }
  return Oldest;
}

std::string Fleet::render() const {
  std::string Csv = "service,address,class,share,upstream,endpoint,zone,weight,"
                    "slots,connections\n";
  for (const OperatorRow &Row : this->Draft.Rows) {
    const Endpoint Agent =
        this->Agents[this->agentIndex(Row.Upstream)]->Address;
    Csv += fmt::format("{},{},1,10,{},{},z-a,{},{},2000\n", Row.Service,
                       formatEndpoint(this->Draft.Addresses.at(Row.Service)),
                       Row.Upstream, formatEndpoint(Agent), Row.Weight,
                       this->Draft.Slots);
  }
  return Csv + fmt::format("end,{}\n", this->Draft.Rows.size());
}

FlowKey Fleet::newKey(std::string_view Service) {
  const auto Port = static_cast<std::uint16_t>(this->NextPort++);
  return {{0x7F090001, Port}, this->Draft.Addresses.at(std::string(Service))};
}

std::size_t Fleet::openPlan(const FlowPlan &Plan) {
  const auto Initial = static_cast<Incarnation>(this->Numbers());
  const std::size_t Flow =
      this->Judge.onOpen(Plan, Initial, this->oldestTable(), this->Now);
  const Endpoint Caller = Plan.Key.Caller;
  this->CallerOf[Plan.Key] = Flow;
  this->Callers.push_back(std::make_unique<CallerTcp>(
      this->Judge, Flow,
      [this, Caller](std::vector<std::uint8_t> Packet) {
        std::vector<Endpoint> Fabric;
        for (const auto &Each : this->Balancers) {
          if (Each->InFabric) {
            Fabric.push_back(Each->Address);
          }
        }
        const std::size_t Chosen = this->Numbers() % Fabric.size();
        this->post({Caller, Fabric[Chosen], std::nullopt, std::move(Packet)});
      },
      this->Now));
  return Flow;
}

void Fleet::retryRefused() {
  if (!this->RetryRefused) {
    return;
  }
  for (; this->NextRetry < this->Callers.size() &&
         this->Callers[this->NextRetry]->isOver();
       ++this->NextRetry) {
    if (this->stateOf(this->NextRetry) != CallerTcp::State::Refused) {
      continue;
    }
    FlowPlan Plan = this->truth(this->NextRetry).Plan;
    const auto Tries =
        std::count_if(this->Judge.flows().begin(), this->Judge.flows().end(),
                      [&Plan](const FlowTruth &Each) {
                        return Each.Plan.Order == Plan.Order;
                      });
    if (Tries > MaxRetries) {
      continue;
    }
    Plan.Key.Caller.Port = static_cast<std::uint16_t>(this->NextPort++);
    this->openPlan(Plan);
  }
}

bool Fleet::isSettled() const {
  if (this->RetryRefused && this->NextRetry < this->Callers.size()) {
    return false;
  }
  return std::all_of(this->Callers.begin(), this->Callers.end(),
                     [](const auto &Each) { return Each->isOver(); });
}

} // namespace mulberryhoist::fleet
