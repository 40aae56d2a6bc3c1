#include "policy.h"

#include <algorithm>
#include <deque>
#include <fmt/format.h>
#include <queue>
#include <random>

#include "mulberryhoist/agent.h"
#include "mulberryhoist/balancer.h"
#include "mulberryhoist/routing.h"
#include "standin/segment.h"

namespace mulberryhoist::bench {
namespace {

using standin::Segment;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration OneWay = milliseconds(1);
constexpr Duration TickPeriod = milliseconds(1);
/// Ticks after which an idle agent, a balancer and the load reports are served.
constexpr std::uint64_t SlowTicks = 100;
constexpr std::uint64_t SampleTicks = 10;
constexpr Duration ReportAge = seconds(3);
/// Time after the last opening in which accepted flows can end.
constexpr Duration RunOut = seconds(20);
constexpr Duration Settled = seconds(200);
constexpr std::size_t BalancerCount = 4;
constexpr std::uint32_t Slots = 4;
constexpr std::uint32_t Connections = 2000;
constexpr std::uint32_t CallerInitial = 1000;
constexpr std::uint32_t UpstreamInitial = 5000;
constexpr std::uint32_t FirstCaller = 0x7F400000;
constexpr std::uint32_t FlowsPerCallerBits = 15;
constexpr std::uint16_t FirstPort = 1024;
constexpr Endpoint Fabric{0x7F300000, 9};
constexpr std::string_view RequestText = "r";
constexpr std::string_view AnswerText = "a";

enum class EventKind : std::uint8_t {
  Opens,
  AtBalancer,
  AtBalancerMessage,
  AtAgent,
  AtUpstream,
  FromUpstream,
  RequestDone,
  AtCaller,
  Tick,
};

struct Event {
  Instant At;
  /// Keeps events of one instant in the order in which they were made.
  std::uint64_t Order = 0;
  EventKind Kind = EventKind::Tick;
  /// The work, balancer or agent that it is for.
  std::size_t Target = 0;
  std::size_t Flow = 0;
  Endpoint From{};
  Message Body{};
  std::vector<std::uint8_t> Packet{};
};

struct Later {
  bool operator()(const Event &A, const Event &B) const {
    return A.At != B.At ? A.At > B.At : A.Order > B.Order;
  }
};

struct FlowState {
  std::size_t Work = 0;
  Instant Sent;
  Duration Request{};
  std::optional<Instant> Started;
  /// Where the packets go, unless balancers choose.
  std::optional<std::size_t> Agent;
  unsigned Runs = 0;
  bool Served = false;
  bool Refused = false;
};

Endpoint agentAddress(std::size_t Index) {
  return {0x7F200000 + static_cast<std::uint32_t>(Index), 9};
}

Endpoint balancerAddress(std::size_t Index) {
  return {0x7F100000 + static_cast<std::uint32_t>(Index), 9};
}

Endpoint serviceAddress(std::size_t Index) {
  return {0x7F010000 + static_cast<std::uint32_t>(Index), 80};
}

Endpoint callerAddress(std::size_t Flow) {
  const auto High = static_cast<std::uint32_t>(Flow >> FlowsPerCallerBits);
  const std::size_t Low = Flow & ((1U << FlowsPerCallerBits) - 1U);
  return {FirstCaller + High, static_cast<std::uint16_t>(FirstPort + Low)};
}

std::size_t flowOf(Endpoint Caller) {
  return (std::size_t{Caller.Address - FirstCaller} << FlowsPerCallerBits) +
         (Caller.Port - FirstPort);
}

std::string serviceName(std::size_t Index) { return fmt::format("s{}", Index); }
std::string agentName(std::size_t Index) { return fmt::format("u{}", Index); }

std::shared_ptr<const Table> makeTable(const FleetSpec &Spec) {
  std::string Csv = "service,address,class,share,upstream,endpoint,zone,weight,"
                    "slots,connections\n";
  const std::size_t Services = Spec.Shares ? Spec.Work.size() : 1;
  for (std::size_t I = 0; I < Services; ++I) {
    for (std::size_t J = 0; J < Spec.Speeds.size(); ++J) {
      Csv += fmt::format("{},{},{},{},{},{},z-a,100,{},{}\n", serviceName(I),
                         formatEndpoint(serviceAddress(I)), Spec.Work[I].Class,
                         Spec.Work[I].Share, agentName(J),
                         formatEndpoint(agentAddress(J)), Slots, Connections);
    }
  }
  Csv += fmt::format("end,{}\n", Services * Spec.Speeds.size());
  return std::make_shared<const Table>(Table::fromCsv(Csv, 1).value());
}

double toSeconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

/// One run: the fakes, the logic under test and the queue of events.
class Fleet {
public:
  explicit Fleet(const FleetSpec &Spec)
      : Spec(Spec), Random(Spec.Seed), InForce(makeTable(Spec)),
        Balancers(BalancerCount), Reports(Spec.Speeds.size()) {
    for (BalancerLogic &Each : this->Balancers) {
      Each.onTable(this->InForce, this->Now, this->Out);
    }
    for (std::size_t I = 0; I < Spec.Speeds.size(); ++I) {
      this->addAgent(I);
    }
    this->Waits.resize(Spec.Work.size());
  }

  FleetResult run() {
    for (std::size_t I = 0; I < this->Spec.Work.size(); ++I) {
      this->scheduleOpening(I);
    }
    this->schedule({.At = this->Now, .Kind = EventKind::Tick});
    const Instant End = this->Start + this->Spec.Length + RunOut;
    while (this->Events.top().At < End) {
      // The element is removed at once, so moving out of it is safe.
      Event Next = std::move(const_cast<Event &>(this->Events.top()));
      this->Events.pop();
      this->Now = Next.At;
      this->handle(Next);
    }
    return this->result();
  }

private:
  void addAgent(std::size_t Index) {
    AgentSettings Settings;
    Settings.Self = upstreamId(agentName(Index));
    for (const Service &Each : this->InForce->services()) {
      Settings.Services.push_back(Each.Id);
    }
    // Started long ago, so that no cold start is in the figures.
    this->Agents.push_back(
        AgentLogic::create(Settings, Index, this->Now - Settled).value());
    this->Agents.back().onTable(this->InForce, this->Now, this->Out);
    this->Out.clear();
  }

  void schedule(Event Value) {
    Value.Order = this->NextOrder++;
    this->Events.push(std::move(Value));
  }

  void scheduleOpening(std::size_t Work) {
    const WorkSpec &Each = this->Spec.Work[Work];
    if (Each.Load <= 0) {
      return;
    }
    double Speed = 0;
    for (const double Value : this->Spec.Speeds) {
      Speed += Value;
    }
    const double Rate = Each.Load * Slots * Speed / toSeconds(Each.MeanRequest);
    const Instant At = this->Now + this->exponential(1.0 / Rate);
    if (At < this->Start + this->Spec.Length) {
      this->schedule({.At = At, .Kind = EventKind::Opens, .Target = Work});
    }
  }

  Duration exponential(double MeanSeconds) {
    std::exponential_distribution<double> Draw(1.0 / MeanSeconds);
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(Draw(this->Random)));
  }

  void handle(Event &Value) {
    switch (Value.Kind) {
    case EventKind::Opens:
      this->open(Value.Target);
      return;
    case EventKind::AtBalancer:
      this->Balancers[Value.Target].onPacket(Value.Packet, this->Now,
                                             this->Out);
      this->perform(balancerAddress(Value.Target), Value.Target);
      return;
    case EventKind::AtBalancerMessage:
      this->Balancers[Value.Target].onDatagram(Value.From, Value.Body,
                                               this->Now, this->Out);
      this->perform(balancerAddress(Value.Target), Value.Target);
      return;
    case EventKind::AtAgent:
      this->atAgent(Value);
      return;
    case EventKind::AtUpstream:
      this->atUpstream(Value);
      return;
    case EventKind::FromUpstream:
      this->Agents[Value.Target].onUpstreamPacket(Value.Packet, this->Now,
                                                  this->Out);
      this->perform(agentAddress(Value.Target), Value.Target);
      return;
    case EventKind::RequestDone:
      this->answer(Value.Target, Value.Flow);
      return;
    case EventKind::AtCaller:
      this->atCaller(Value);
      return;
    case EventKind::Tick:
      this->tick();
      return;
    }
  }

  void open(std::size_t Work) {
    this->scheduleOpening(Work);
    const std::size_t Flow = this->Flows.size();
    FlowState &State = this->Flows.emplace_back();
    State.Work = Work;
    State.Sent = this->Now;
    State.Request =
        this->exponential(toSeconds(this->Spec.Work[Work].MeanRequest));
    State.Agent = this->chooseByBaseline(this->keyOf(Flow));
    this->fromCaller(Flow, {.Sequence = CallerInitial, .Syn = true});
  }

  FlowKey keyOf(std::size_t Flow) const {
    const std::size_t Work = this->Flows[Flow].Work;
    return {callerAddress(Flow), serviceAddress(this->Spec.Shares ? Work : 0)};
  }

  std::optional<std::size_t> chooseByBaseline(const FlowKey &Key) const {
    if (this->Spec.Choice == OpeningChoice::LeastLoaded) {
      return std::nullopt;
    }
    const Service *Wanted = this->InForce->findService(Key.Service);
    const auto Rows = this->InForce->assignments(Wanted->Id);
    const auto Coordinator =
        chooseCoordinator(Rows, Key, [](UpstreamId) { return false; });
    const std::size_t First = this->agentIndex(*Coordinator);
    if (this->Spec.Choice == OpeningChoice::HashOnly) {
      return First;
    }
    std::array<UpstreamId, 2> Ordered;
    const auto Two = orderCandidates(Rows, Key, Ordered);
    const std::size_t Second = this->agentIndex(Two.back());
    return this->reportedLoad(Second) < this->reportedLoad(First) ? Second
                                                                  : First;
  }

  std::size_t agentIndex(UpstreamId Id) const {
    return this->InForce->findUpstream(Id)->Agent.Address -
           agentAddress(0).Address;
  }

  std::uint32_t reportedLoad(std::size_t Agent) const {
    const auto &Values = this->Reports[Agent];
    return Values.empty() ? 0 : Values.front();
  }

  /// Sends a caller's segment through any balancer, or as the baseline chose.
  void fromCaller(std::size_t Flow, Segment Value) {
    const FlowKey Key = this->keyOf(Flow);
    Value.Source = Key.Caller;
    Value.Destination = Key.Service;
    const auto Chosen = this->Flows[Flow].Agent;
    if (!Chosen) {
      std::uniform_int_distribution<std::size_t> Any(0, BalancerCount - 1);
      this->schedule({.At = this->Now + OneWay,
                      .Kind = EventKind::AtBalancer,
                      .Target = Any(this->Random),
                      .Packet = standin::buildSegment(Value)});
      return;
    }
    Forward Header;
    Header.Opening = Value.Syn;
    Header.Service = this->InForce->findService(Key.Service)->Id;
    Header.Table = this->InForce->version();
    // A relayed opening is decided by its agent alone.
    Header.Relayed = true;
    this->schedule({.At = this->Now + 2 * OneWay,
                    .Kind = EventKind::AtAgent,
                    .Target = *Chosen,
                    .From = Fabric,
                    .Body = Header,
                    .Packet = standin::buildSegment(Value)});
  }

  void atAgent(Event &Value) {
    const auto *Header = std::get_if<Forward>(&Value.Body);
    if (this->Terminated && Value.Target == 0 && Header != nullptr &&
        Header->Opening && !Header->Relayed) {
      this->LastOpening = this->Now;
    }
    this->Agents[Value.Target].onDatagram(Value.From,
                                          {Value.Body, Value.Packet},
                                          Arrival::Fresh, this->Now, this->Out);
    this->perform(agentAddress(Value.Target), Value.Target);
  }

  void perform(Endpoint From, std::size_t Index) {
    for (const Action &Each : this->Out) {
      if (const auto *Sent = std::get_if<SendMessage>(&Each)) {
        this->send(From, *Sent);
      } else if (const auto *Given = std::get_if<DeliverToUpstream>(&Each)) {
        this->schedule({.At = this->Now,
                        .Kind = EventKind::AtUpstream,
                        .Target = Index,
                        .Packet = copy(Given->Packet)});
      } else if (const auto *Answer = std::get_if<SendToCaller>(&Each)) {
        this->schedule({.At = this->Now + OneWay,
                        .Kind = EventKind::AtCaller,
                        .Packet = copy(Answer->Packet)});
      } else if (const auto *Reset = std::get_if<ResetCaller>(&Each)) {
        this->onReset(*Reset);
      }
    }
    this->Out.clear();
  }

  static std::vector<std::uint8_t> copy(PacketBytes Bytes) {
    return {Bytes.begin(), Bytes.end()};
  }

  void onReset(const ResetCaller &Value) {
    const auto View = parsePacket(Value.Packet);
    if (View && Value.Reason == ErrorKind::RefusedNotRun) {
      this->Flows[flowOf(View->Destination)].Refused = true;
    }
  }

  void send(Endpoint From, const SendMessage &Value) {
    Event Sent{.At = this->Now + OneWay,
               .From = From,
               .Body = Value.Body,
               .Packet = copy(Value.Packet)};
    if (Value.To.Address >= agentAddress(0).Address &&
        Value.To.Address < Fabric.Address) {
      Sent.Kind = EventKind::AtAgent;
      Sent.Target = Value.To.Address - agentAddress(0).Address;
      const bool BetweenAgents = From.Address >= agentAddress(0).Address;
      this->Messages += BetweenAgents && this->isMeasured(this->Now) ? 1 : 0;
    } else if (Value.To != Fabric) {
      Sent.Kind = EventKind::AtBalancerMessage;
      Sent.Target = Value.To.Address - balancerAddress(0).Address;
    } else {
      this->onBaselineAnswer(Value.Body);
      return;
    }
    this->schedule(std::move(Sent));
  }

  void onBaselineAnswer(const Message &Body) {
    if (const auto *No = std::get_if<Decline>(&Body)) {
      this->Flows[flowOf(No->Flow.Key.Caller)].Refused = true;
    }
  }

  void atUpstream(const Event &Value) {
    const auto View = parsePacket(Value.Packet);
    const std::size_t Flow = flowOf(View->Source);
    FlowState &State = this->Flows[Flow];
    if (View->isOpening()) {
      State.Started = this->Now;
      if (this->Terminated && Value.Target == 0) {
        this->LastStart = this->Now;
      }
      this->fromUpstream(Value.Target, Flow,
                         {.Sequence = UpstreamInitial,
                          .Acknowledgment = CallerInitial + 1,
                          .Syn = true,
                          .Ack = true});
    } else if (!View->Payload.empty()) {
      ++State.Runs;
      const std::chrono::duration<double> Needed = State.Request;
      const auto Taken = std::chrono::duration_cast<Duration>(
          Needed / this->Spec.Speeds[Value.Target]);
      this->schedule({.At = this->Now + Taken,
                      .Kind = EventKind::RequestDone,
                      .Target = Value.Target,
                      .Flow = Flow});
    }
  }

  void answer(std::size_t Agent, std::size_t Flow) {
    this->fromUpstream(
        Agent, Flow,
        {.Sequence = UpstreamInitial + 1,
         .Acknowledgment =
             CallerInitial + 1 + static_cast<std::uint32_t>(RequestText.size()),
         .Ack = true,
         .Fin = true,
         .Psh = true,
         .Payload = std::string(AnswerText)});
  }

  void fromUpstream(std::size_t Agent, std::size_t Flow, Segment Value) {
    const FlowKey Key = this->keyOf(Flow);
    Value.Source = Key.Service;
    Value.Destination = Key.Caller;
    this->schedule({.At = this->Now,
                    .Kind = EventKind::FromUpstream,
                    .Target = Agent,
                    .Packet = standin::buildSegment(Value)});
  }

  void atCaller(const Event &Value) {
    const auto View = parsePacket(Value.Packet);
    const std::size_t Flow = flowOf(View->Destination);
    if (View->Flags.Syn) {
      this->fromCaller(Flow, {.Sequence = CallerInitial + 1,
                              .Acknowledgment = View->nextSequence(),
                              .Ack = true,
                              .Psh = true,
                              .Payload = std::string(RequestText)});
    } else if (!View->Payload.empty()) {
      this->Flows[Flow].Served = true;
      this->fromCaller(Flow, {.Sequence = View->Acknowledgment,
                              .Acknowledgment = View->nextSequence(),
                              .Ack = true,
                              .Fin = true});
    }
  }

  void tick() {
    this->schedule({.At = this->Now + TickPeriod, .Kind = EventKind::Tick});
    const bool Slow = this->Ticks % SlowTicks == 0;
    for (std::size_t I = 0; I < this->Agents.size(); ++I) {
      if (Slow || this->Agents[I].needsFastTick()) {
        this->Agents[I].onTick(this->Now, this->Out);
        this->perform(agentAddress(I), I);
      }
    }
    if (Slow) {
      this->slowTick();
    }
    if (this->Ticks % SampleTicks == 0 && this->isMeasured(this->Now)) {
      this->sample();
    }
    ++this->Ticks;
  }

  void slowTick() {
    for (std::size_t I = 0; I < this->Balancers.size(); ++I) {
      this->Balancers[I].onTick(this->Now, this->Out);
      this->perform(balancerAddress(I), I);
    }
    const std::size_t Kept = ReportAge / (TickPeriod * SlowTicks);
    for (std::size_t I = 0; I < this->Agents.size(); ++I) {
      this->Reports[I].push_back(this->Agents[I].status(this->Now).Load);
      if (this->Reports[I].size() > Kept) {
        this->Reports[I].pop_front();
      }
    }
    const Duration Passed = this->Now - this->Start;
    const Duration At = this->Spec.TerminateAt;
    if (At > Duration::zero() && Passed >= At && !this->Terminated) {
      this->Terminated = this->Now;
      this->Agents[0].onTerminate(this->Now);
    }
    if (this->Terminated && !this->Drained &&
        this->Agents[0].isDrained(this->Now)) {
      this->Drained = this->Now;
    }
  }

  bool isMeasured(Instant At) const {
    return At >= this->Start + this->Spec.WarmUp &&
           At < this->Start + this->Spec.Length;
  }

  void sample() {
    double BusySum = 0;
    double BusyMax = 0;
    double ActiveSum = 0;
    double ActiveMax = 0;
    for (const AgentLogic &Each : this->Agents) {
      const AgentStatus Status = Each.status(this->Now);
      const double Busy = Status.Busy;
      const double Active = Busy + Status.Waiting;
      BusySum += Busy;
      BusyMax = std::max(BusyMax, Busy);
      ActiveSum += Active;
      ActiveMax = std::max(ActiveMax, Active);
    }
    if (BusySum > 0) {
      const auto Count = static_cast<double>(this->Agents.size());
      this->BusyImbalance += BusyMax * Count / BusySum;
      this->ActiveImbalance += ActiveMax * Count / ActiveSum;
      ++this->Samples;
    }
  }

  FleetResult result() {
    FleetResult Result;
    Result.Work.resize(this->Spec.Work.size());
    std::uint64_t Offered = 0;
    for (const FlowState &Each : this->Flows) {
      if (this->isMeasured(Each.Sent)) {
        this->countFlow(Each, Result.Work[Each.Work]);
        ++Offered;
      }
    }
    for (std::size_t I = 0; I < Result.Work.size(); ++I) {
      this->summariseWaits(this->Waits[I], Result.Work[I]);
    }
    const auto Samples =
        static_cast<double>(std::max<std::uint64_t>(1, this->Samples));
    Result.BusyImbalance = this->BusyImbalance / Samples;
    Result.ActiveImbalance = this->ActiveImbalance / Samples;
    Result.MessagesPerOpening =
        static_cast<double>(this->Messages) /
        static_cast<double>(std::max<std::uint64_t>(1, Offered));
    if (this->Terminated) {
      Result.LastStartSeconds = this->sinceTermination(this->LastStart);
      Result.LastOpeningSeconds = this->sinceTermination(this->LastOpening);
      Result.DrainedSeconds = this->sinceTermination(this->Drained);
    }
    return Result;
  }

  /// Negative if it did not happen.
  double sinceTermination(std::optional<Instant> At) const {
    return At ? toSeconds(*At - *this->Terminated) : -1;
  }

  void countFlow(const FlowState &Flow, WorkResult &Result) {
    ++Result.Offered;
    Result.Served += Flow.Served ? 1 : 0;
    Result.Refused += Flow.Refused ? 1 : 0;
    Result.RunTwice += Flow.Runs > 1 ? 1 : 0;
    Result.Broken += Flow.Started && !Flow.Served ? 1 : 0;
    Result.Unanswered += !Flow.Started && !Flow.Refused ? 1 : 0;
    if (Flow.Started) {
      const Duration Wait = *Flow.Started - Flow.Sent - 2 * OneWay;
      this->Waits[Flow.Work].push_back(
          toSeconds(Wait) / toSeconds(this->Spec.Work[Flow.Work].MeanRequest));
    }
  }

  static void summariseWaits(std::vector<double> &Values, WorkResult &Result) {
    constexpr std::size_t Percent = 99;
    if (Values.empty()) {
      return;
    }
    std::sort(Values.begin(), Values.end());
    double Sum = 0;
    for (const double Each : Values) {
      Sum += Each;
    }
    Result.MeanWait = Sum / static_cast<double>(Values.size());
    Result.P99Wait = Values[Values.size() * Percent / 100];
  }

  FleetSpec Spec;
  std::mt19937_64 Random;
  Instant Start = Instant() + std::chrono::hours(1);
  Instant Now = Start;
  std::shared_ptr<const Table> InForce;
  std::vector<BalancerLogic> Balancers;
  std::vector<AgentLogic> Agents;
  std::vector<std::deque<std::uint32_t>> Reports;
  std::vector<FlowState> Flows;
  std::vector<std::vector<double>> Waits;
  std::priority_queue<Event, std::vector<Event>, Later> Events;
  ActionList Out;
  std::uint64_t NextOrder = 0;
  std::uint64_t Ticks = 0;
  std::uint64_t Messages = 0;
  std::uint64_t Samples = 0;
  double BusyImbalance = 0;
  double ActiveImbalance = 0;
  std::optional<Instant> Terminated;
  std::optional<Instant> Drained;
  std::optional<Instant> LastStart;
  std::optional<Instant> LastOpening;
};

} // namespace

FleetResult runFleet(const FleetSpec &Spec) { return Fleet(Spec).run(); }

} // namespace mulberryhoist::bench
