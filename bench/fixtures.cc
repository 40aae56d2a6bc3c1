#include "fixtures.h"

#include <algorithm>
#include <fmt/format.h>
#include <optional>

#include "standin/segment.h"

namespace mulberryhoist::bench {
namespace {

using standin::Segment;

constexpr std::uint32_t FirstService = 0x7F010000;
constexpr std::uint32_t FirstAgent = 0x7F200000;
constexpr std::uint32_t FirstCaller = 0x7F400000;
constexpr std::uint32_t CallerInitial = 1000;
constexpr std::uint32_t UpstreamInitial = 5000;
constexpr std::size_t GroupSize = 7;
constexpr Endpoint Balancer{0x7F100000, 9};

FlowKey keyOf(std::size_t Flow, Endpoint Service) {
  constexpr std::size_t PortBits = 15;
  constexpr std::size_t FirstPort = 1024;
  const std::size_t Low = Flow & ((std::size_t{1} << PortBits) - 1);
  return {{FirstCaller + static_cast<std::uint32_t>(Flow >> PortBits),
           static_cast<std::uint16_t>(FirstPort + Low)},
          Service};
}

Packet callerPacket(const FlowKey &Key, Segment Value) {
  Value.Source = Key.Caller;
  Value.Destination = Key.Service;
  return standin::buildSegment(Value);
}

Packet upstreamPacket(const FlowKey &Key, Segment Value) {
  Value.Source = Key.Service;
  Value.Destination = Key.Caller;
  return standin::buildSegment(Value);
}

std::string makeLine(std::size_t Row, std::size_t RowsPerService,
                     unsigned Weight) {
  const std::size_t Service = Row / RowsPerService;
  return fmt::format(
      "service-{:05},{},3,10,upstream-{:05},{},r0-za,{},4,2000", Service,
      formatEndpoint({FirstService + static_cast<std::uint32_t>(Service), 80}),
      Row, formatEndpoint({FirstAgent + static_cast<std::uint32_t>(Row), 9}),
      Weight);
}

AgentLogic makeAgent(const Table &InForce, std::size_t Capacity, Instant Now) {
  AgentSettings Settings;
  Settings.Self = InForce.upstreams().front().Id;
  Settings.Services = {InForce.services().front().Id};
  Settings.Capacity.Flows = Capacity;
  Settings.Capacity.Redirects = Capacity;
  Settings.Capacity.Refusals = Capacity;
  return AgentLogic::create(Settings, 1, Now - std::chrono::hours(1)).value();
}

/// A table of one service whose upstreams allow as many flows as are opened.
std::shared_ptr<const Table> makeGroupTable() {
  std::string Csv = "service,address,class,share,upstream,endpoint,zone,weight,"
                    "slots,connections\n";
  for (std::size_t I = 0; I < GroupSize; ++I) {
    Csv += fmt::format(
        "orders,{},3,10,u{},{},r0-za,100,4,1000000\n",
        formatEndpoint({FirstService, 80}), I,
        formatEndpoint({FirstAgent + static_cast<std::uint32_t>(I), 9}));
  }
  Csv += fmt::format("end,{}\n", GroupSize);
  return std::make_shared<const Table>(Table::fromCsv(Csv, 1).value());
}

} // namespace

std::string makeCsv(std::size_t Rows, std::size_t RowsPerService,
                    unsigned FirstWeight) {
  std::string Csv = "service,address,class,share,upstream,endpoint,zone,weight,"
                    "slots,connections\n";
  for (std::size_t I = 0; I < Rows; ++I) {
    Csv += makeLine(I, RowsPerService, I == 0 ? FirstWeight : 100) + '\n';
  }
  return Csv + fmt::format("end,{}\n", Rows);
}

std::vector<RowText> makeRows(std::size_t Rows, std::size_t RowsPerService,
                              unsigned FirstWeight) {
  return parsePublishedTable(makeCsv(Rows, RowsPerService, FirstWeight))
      .value()
      .Rows;
}

std::shared_ptr<const Table> makeTable(std::size_t Rows,
                                       std::size_t RowsPerService) {
  return std::make_shared<const Table>(
      Table::fromCsv(makeCsv(Rows, RowsPerService, 100), 1).value());
}

std::vector<Packet> makePackets(std::size_t Count,
                                std::span<const Service> Services) {
  std::vector<Packet> Packets;
  Packets.reserve(Count);
  for (std::size_t I = 0; I < Count; ++I) {
    const Service &To = Services[I % Services.size()];
    Packets.push_back(callerPacket(
        keyOf(I, To.Address),
        {.Sequence = CallerInitial, .Acknowledgment = 1, .Ack = true}));
  }
  return Packets;
}

AgentFixture::AgentFixture(std::size_t Capacity)
    : InForce(makeGroupTable()),
      Agent(makeAgent(*this->InForce, Capacity, this->Now)) {
  this->Header.Service = this->InForce->services().front().Id;
  this->Header.Coordinator = this->InForce->upstreams().front().Id;
  this->Header.Table = this->InForce->version();
  this->Agent.onTable(this->InForce, this->Now, this->Out);
}

void AgentFixture::openFlows(std::size_t Count) {
  const Endpoint Service = this->InForce->services().front().Address;
  for (std::size_t I = 0; I < Count; ++I) {
    const FlowKey Key = keyOf(I, Service);
    this->fromCaller(
        callerPacket(Key, {.Sequence = CallerInitial, .Syn = true}));
    this->serve(Key);
  }
}

void AgentFixture::serve(const FlowKey &Key) {
  this->fromUpstream(upstreamPacket(Key, {.Sequence = UpstreamInitial,
                                          .Acknowledgment = CallerInitial + 1,
                                          .Syn = true,
                                          .Ack = true}));
  this->fromCaller(callerPacket(Key, {.Sequence = CallerInitial + 1,
                                      .Acknowledgment = UpstreamInitial + 1,
                                      .Ack = true,
                                      .Psh = true,
                                      .Payload = "r"}));
  this->fromUpstream(upstreamPacket(Key, {.Sequence = UpstreamInitial + 1,
                                          .Acknowledgment = CallerInitial + 2,
                                          .Ack = true,
                                          .Psh = true,
                                          .Payload = "a"}));
}

void AgentFixture::occupySlot() {
  constexpr std::uint16_t OtherPort = 99;
  const Endpoint Service = this->InForce->services().front().Address;
  const FlowKey Key{{FirstCaller, OtherPort}, Service};
  this->fromCaller(callerPacket(Key, {.Sequence = CallerInitial, .Syn = true}));
}

std::vector<Packet> AgentFixture::openingPackets(std::size_t Count) const {
  const Endpoint Service = this->InForce->services().front().Address;
  std::vector<Packet> Packets;
  Packets.reserve(Count);
  for (std::size_t I = 0; I < Count; ++I) {
    Packets.push_back(callerPacket(keyOf(I, Service),
                                   {.Sequence = CallerInitial, .Syn = true}));
  }
  return Packets;
}

std::vector<Packet> AgentFixture::establishedPackets(std::size_t Count) const {
  const Endpoint Service = this->InForce->services().front().Address;
  std::vector<Packet> Packets;
  Packets.reserve(Count);
  for (std::size_t I = 0; I < Count; ++I) {
    Packets.push_back(
        callerPacket(keyOf(I, Service), {.Sequence = CallerInitial + 2,
                                         .Acknowledgment = UpstreamInitial + 2,
                                         .Ack = true}));
  }
  return Packets;
}

void AgentFixture::fromCaller(const Packet &Value) {
  this->Out.clear();
  this->Agent.onDatagram(Balancer, {this->Header, Value}, Arrival::Fresh,
                         this->Now, this->Out);
}

void AgentFixture::fromUpstream(const Packet &Value) {
  this->Out.clear();
  this->Agent.onUpstreamPacket(Value, this->Now, this->Out);
}

void AgentFixture::openAndServe(const Packet &Opening) {
  const FlowKey Key = parsePacket(Opening).value().callerFlow();
  this->fromCaller(Opening);
  std::vector<LoadReply> Replies;
  for (const Action &Each : this->Out) {
    const auto *Sent = std::get_if<SendMessage>(&Each);
    const Upstream *To =
        Sent != nullptr ? this->InForce->findUpstream(Sent->To) : nullptr;
    if (To != nullptr && std::holds_alternative<LoadQuery>(Sent->Body)) {
      constexpr std::uint32_t HighLoad = 1'000'000;
      Replies.push_back({std::get<LoadQuery>(Sent->Body).Query, To->Id,
                         HighLoad, true, false});
    }
  }
  for (const LoadReply &Each : Replies) {
    this->Out.clear();
    this->Agent.onDatagram(Balancer, {Each, {}}, Arrival::Fresh, this->Now,
                           this->Out);
  }
  this->serve(Key);
  this->fromCaller(
      callerPacket(Key, {.Sequence = CallerInitial + 2, .Rst = true}));
}

void AgentFixture::locate(const Packet &Value) {
  this->fromCaller(Value);
  LocateReply Reply;
  Reply.Flow = {parsePacket(Value).value().callerFlow(), CallerInitial};
  Reply.Upstream = this->InForce->upstreams().back().Id;
  Reply.Answer = OwnerAnswer::Owns;
  Reply.Acknowledgment = UpstreamInitial + 2;
  this->Out.clear();
  this->Agent.onDatagram(Balancer, {Reply, {}}, Arrival::Fresh, this->Now,
                         this->Out);
}

TwoReplicas::TwoReplicas(std::size_t Rows)
    : Rows(makeRows(Rows, 4, 100)),
      InForce(std::make_shared<std::shared_ptr<const Table>>()),
      Sender(
          DocumentKind::Table,
          [](const DocumentContent &) { return Result<void>(); }, 1),
      Receiver(
          DocumentKind::Table,
          [InForce =
               this->InForce](const DocumentContent &Content) -> Result<void> {
            auto Made =
                Table::create(Content.Version, Content.Rows, Content.Removed);
            if (!Made) {
              return tl::unexpected<Error>(Made.error());
            }
            *InForce = std::make_shared<const Table>(std::move(*Made));
            return {};
          },
          2) {
  this->Sender.setNeighbours({Second});
  ++this->Revision;
  std::vector<OutgoingMessage> Out;
  for (Replica *Each : {&this->Sender, &this->Receiver}) {
    (void)Each->offerRead({0, this->Revision}, this->Rows, this->Now, Out);
  }
}

ChangesMessage TwoReplicas::makeChange() {
  constexpr std::uint64_t Weights = 50;
  std::string &Value = this->Rows.front().Value;
  const std::size_t End = Value.rfind(",4,2000");
  const std::size_t Begin = Value.rfind(',', End - 1) + 1;
  Value.replace(Begin, End - Begin,
                std::to_string(100 + ++this->Revision % Weights));
  std::vector<OutgoingMessage> Out;
  (void)this->Sender.offerRead({0, this->Revision}, this->Rows, this->Now, Out);
  for (const OutgoingMessage &Each : Out) {
    if (const auto *Change = std::get_if<ChangesMessage>(&Each.Body)) {
      return *Change;
    }
  }
  return {};
}

void TwoReplicas::apply(const ChangesMessage &Change) {
  std::vector<OutgoingMessage> Out;
  this->Receiver.receive(First, Change, this->Now, Out);
}

void TwoReplicas::changeOneWeight() { this->apply(this->makeChange()); }

} // namespace mulberryhoist::bench
