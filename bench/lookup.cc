#include "lookup.h"

#include <deque>
#include <fmt/format.h>
#include <random>
#include <set>

#include "mulberryhoist/agent.h"
#include "mulberryhoist/routing.h"
#include "standin/segment.h"

namespace mulberryhoist::bench {
namespace {

using standin::Segment;

constexpr std::uint64_t HeaderBytes = 28;
/// Section 2.4 of the design: flow key, incarnation and owner.
constexpr std::uint64_t RegisterEntryBytes = 24;
constexpr Endpoint Service{0x7F010000, 80};
constexpr Endpoint Balancer{0x7F100000, 9};
constexpr std::uint32_t FirstAgent = 0x7F200000;
constexpr std::uint32_t CallerInitial = 1000;
constexpr std::uint32_t UpstreamInitial = 5000;

struct InTransit {
  std::size_t To = 0;
  Endpoint From{};
  Message Body{};
  std::vector<std::uint8_t> Packet{};
};

struct Flow {
  FlowKey Key;
  std::size_t Owner = 0;
  std::size_t Coordinator = 0;
  bool Displaced = false;
};

/// Agents whose messages arrive at once and in order.
class Group {
public:
  explicit Group(const LookupSpec &Spec)
      : Spec(Spec), Random(Spec.Seed), Weights(Spec.Upstreams, 100) {
    for (std::size_t I = 0; I < Spec.Upstreams; ++I) {
      AgentSettings Settings;
      Settings.Self = upstreamId(fmt::format("u{}", I));
      Settings.Services = {serviceId("orders")};
      this->Agents.push_back(
          AgentLogic::create(Settings, I, this->Now - std::chrono::hours(1))
              .value());
    }
    this->publish();
  }

  LookupResult run() {
    for (std::size_t I = 0; I < this->Spec.Flows; ++I) {
      this->open(I);
    }
    for (unsigned I = 0; I < this->Spec.Changes; ++I) {
      std::uniform_int_distribution<std::size_t> Which(0, this->Weights.size() -
                                                              1);
      std::uniform_int_distribution<std::uint32_t> Value(50, 200);
      this->Weights[Which(this->Random)] = Value(this->Random);
      this->publish();
      this->sendPackets();
    }
    for (const Flow &Each : this->Flows) {
      this->Result.Displaced += Each.Displaced ? 1 : 0;
    }
    return this->Result;
  }

private:
  void publish() {
    std::string Csv = "service,address,class,share,upstream,endpoint,zone,"
                      "weight,slots,connections\n";
    for (std::size_t I = 0; I < this->Weights.size(); ++I) {
      Csv += fmt::format(
          "orders,{},0,1,u{},{},z-a,{},4,2000\n", formatEndpoint(Service), I,
          formatEndpoint({FirstAgent + static_cast<std::uint32_t>(I), 9}),
          this->Weights[I]);
    }
    Csv += fmt::format("end,{}\n", this->Weights.size());
    this->InForce = std::make_shared<const Table>(
        Table::fromCsv(Csv, ++this->Revision).value());
    for (AgentLogic &Each : this->Agents) {
      Each.onTable(this->InForce, this->Now, this->Out);
    }
    this->Out.clear();
  }

  std::size_t coordinatorOf(const FlowKey &Key) const {
    const auto Coordinator =
        chooseCoordinator(this->InForce->assignments(serviceId("orders")), Key,
                          [](UpstreamId) { return false; });
    return this->InForce->findUpstream(*Coordinator)->Agent.Address -
           FirstAgent;
  }

  Forward header(std::size_t Coordinator, bool Opening) const {
    return {Opening,
            serviceId("orders"),
            upstreamId(fmt::format("u{}", Coordinator)),
            this->InForce->version(),
            false,
            false};
  }

  /// Opens a flow at its coordinator and lets its first request be answered.
  void open(std::size_t Index) {
    constexpr std::uint16_t FirstPort = 1024;
    Flow Each;
    Each.Key = {{0x7F400000, static_cast<std::uint16_t>(FirstPort + Index)},
                Service};
    Each.Owner = this->coordinatorOf(Each.Key);
    Each.Coordinator = Each.Owner;
    this->Flows.push_back(Each);
    this->fromCaller(Each, {.Sequence = CallerInitial, .Syn = true});
    this->fromUpstream(Each, {.Sequence = UpstreamInitial,
                              .Acknowledgment = CallerInitial + 1,
                              .Syn = true,
                              .Ack = true});
    this->fromCaller(Each, {.Sequence = CallerInitial + 1,
                            .Acknowledgment = UpstreamInitial + 1,
                            .Ack = true,
                            .Psh = true,
                            .Payload = "r"});
    this->fromUpstream(Each, {.Sequence = UpstreamInitial + 1,
                              .Acknowledgment = CallerInitial + 2,
                              .Ack = true,
                              .Psh = true,
                              .Payload = "a"});
  }

  void sendPackets() {
    for (std::size_t I = 0; I < this->Flows.size(); ++I) {
      Flow &Each = this->Flows[I];
      const std::size_t Coordinator = this->coordinatorOf(Each.Key);
      const bool Moved = Coordinator != Each.Coordinator;
      Each.Coordinator = Coordinator;
      Each.Displaced = Each.Displaced || Coordinator != Each.Owner;
      if (Moved && Coordinator != Each.Owner) {
        ++this->Result.RegisterMessages;
        this->Result.RegisterBytes += RegisterEntryBytes + HeaderBytes;
      }
      if (I % this->Spec.ActiveEvery != 0) {
        continue;
      }
      this->Delivered.reset();
      this->fromCaller(Each, {.Sequence = CallerInitial + 2,
                              .Acknowledgment = UpstreamInitial + 2,
                              .Ack = true});
      this->Result.Lost += this->Delivered == Each.Owner ? 0 : 1;
    }
  }

  void fromCaller(const Flow &Each, Segment Value) {
    Value.Source = Each.Key.Caller;
    Value.Destination = Each.Key.Service;
    const bool Opening = Value.Syn;
    this->Queue.push_back({Each.Coordinator, Balancer,
                           this->header(Each.Coordinator, Opening),
                           standin::buildSegment(Value)});
    this->deliverAll();
  }

  void fromUpstream(const Flow &Each, Segment Value) {
    Value.Source = Each.Key.Service;
    Value.Destination = Each.Key.Caller;
    const auto Packet = standin::buildSegment(Value);
    this->Agents[Each.Owner].onUpstreamPacket(Packet, this->Now, this->Out);
    this->perform(Each.Owner);
    this->deliverAll();
  }

  void deliverAll() {
    while (!this->Queue.empty()) {
      const InTransit Next = std::move(this->Queue.front());
      this->Queue.pop_front();
      this->Agents[Next.To].onDatagram(Next.From, {Next.Body, Next.Packet},
                                       Arrival::Fresh, this->Now, this->Out);
      this->perform(Next.To);
    }
  }

  void perform(std::size_t Agent) {
    const Endpoint Self{FirstAgent + static_cast<std::uint32_t>(Agent), 9};
    for (const Action &Each : this->Out) {
      if (std::holds_alternative<DeliverToUpstream>(Each)) {
        this->Delivered = Agent;
      }
      const auto *Sent = std::get_if<SendMessage>(&Each);
      if (Sent == nullptr || Sent->To.Address < FirstAgent) {
        continue;
      }
      this->count(*Sent);
      this->Queue.push_back({Sent->To.Address - FirstAgent,
                             Self,
                             Sent->Body,
                             {Sent->Packet.begin(), Sent->Packet.end()}});
    }
    this->Out.clear();
  }

  void count(const SendMessage &Sent) {
    const bool IsQuestion = std::holds_alternative<Locate>(Sent.Body);
    if (IsQuestion || std::holds_alternative<LocateReply>(Sent.Body)) {
      this->Result.LocateMessages += IsQuestion ? 1 : 0;
      this->Result.LocateBytes +=
          this->Wire.encode(Sent.Body).value().size() + HeaderBytes;
    }
  }

  LookupSpec Spec;
  std::mt19937_64 Random;
  Instant Now = Instant() + std::chrono::hours(2);
  std::vector<std::uint32_t> Weights;
  std::uint64_t Revision = 0;
  std::shared_ptr<const Table> InForce;
  std::vector<AgentLogic> Agents;
  std::vector<Flow> Flows;
  std::deque<InTransit> Queue;
  std::optional<std::size_t> Delivered;
  ActionList Out;
  Codec Wire;
  LookupResult Result;
};

} // namespace

LookupResult runLookup(const LookupSpec &Spec) { return Group(Spec).run(); }

} // namespace mulberryhoist::bench
