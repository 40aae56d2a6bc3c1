#include "standin/fabric.h"

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <unordered_map>
#include <unordered_set>

#include "standin/request.h"

namespace mulberryhoist::standin {
namespace {

using std::chrono::steady_clock;

constexpr std::size_t HeaderBytes = 20;
constexpr std::size_t SourceOffset = 12;
constexpr std::size_t DestinationOffset = 16;

std::uint32_t addressAt(PacketBytes Bytes, std::size_t Offset) {
  std::uint32_t Address = 0;
  for (const std::uint8_t Byte : Bytes.subspan(Offset, sizeof(Address))) {
    Address = (Address << 8U) | Byte;
  }
  return Address;
}

/// A packet that waits for its delivery.
struct Delayed {
  UdpPort *Port;
  Endpoint To;
  std::vector<std::uint8_t> Bytes;
};

/// Counters for `GET /stats`.
struct Counters {
  std::uint64_t FromCallers = 0;
  std::uint64_t FromAgents = 0;
  std::uint64_t Dropped = 0;
  std::uint64_t Duplicated = 0;
  std::uint64_t Reordered = 0;
  std::uint64_t CutOff = 0;
  std::uint64_t Malformed = 0;
  std::uint64_t UnknownCaller = 0;
  std::uint64_t NoBalancer = 0;
  std::unordered_map<Endpoint, std::uint64_t> PerBalancer;
};

} // namespace

Result<std::vector<Endpoint>> parseEndpoints(std::string_view Text) {
  std::vector<Endpoint> Values;
  while (!Text.empty()) {
    const std::string_view Part = Text.substr(0, Text.find(','));
    Text.remove_prefix(std::min(Text.size(), Part.size() + 1));
    const auto Value = parseEndpoint(Part);
    if (!Value) {
      return tl::unexpected(Value.error());
    }
    Values.push_back(*Value);
  }
  return Values;
}

struct Fabric::State : std::enable_shared_from_this<Fabric::State> {
  State(io_context &Io, FabricOptions Options)
      : Options(std::move(Options)), Timer(Io), Random(this->Options.Seed) {}

  void fromCaller(Endpoint From, PacketBytes Bytes);
  void fromAgent(Endpoint From, PacketBytes Bytes);
  void carry(UdpPort &Port, Endpoint To, PacketBytes Bytes);
  void deliver(UdpPort &Port, Endpoint To, PacketBytes Bytes, Duration After);
  void deliverDue();
  void schedule();
  bool chance(double Share);
  bool isCut(Endpoint Value) const { return this->Cuts.contains(Value); }
  HttpAnswer handle(const HttpCall &Call);
  HttpAnswer setBalancers(const Pairs &Query);
  HttpAnswer setFaults(const Pairs &Query);
  HttpAnswer setCut(const Pairs &Query, bool Cut);
  HttpAnswer stats() const;

  FabricOptions Options;
  boost::asio::steady_timer Timer;
  std::mt19937_64 Random;
  std::unique_ptr<UdpPort> Ingress;
  std::unique_ptr<UdpPort> Egress;
  std::unique_ptr<HttpServer> Http;
  std::unordered_map<std::uint32_t, Endpoint> Callers;
  std::unordered_set<Endpoint> Cuts;
  std::multimap<Instant, Delayed> Waiting;
  Counters Count;
};

bool Fabric::State::chance(double Share) {
  return Share > 0 &&
         std::uniform_real_distribution<double>(0, 1)(this->Random) < Share;
}

void Fabric::State::fromCaller(Endpoint From, PacketBytes Bytes) {
  ++this->Count.FromCallers;
  if (Bytes.size() < HeaderBytes) {
    ++this->Count.Malformed;
    return;
  }
  const std::uint32_t Caller = addressAt(Bytes, SourceOffset);
  this->Callers.insert_or_assign(Caller, From);
  if (this->Options.Balancers.empty()) {
    ++this->Count.NoBalancer;
    return;
  }
  const std::size_t Index = std::uniform_int_distribution<std::size_t>(
      0, this->Options.Balancers.size() - 1)(this->Random);
  const Endpoint To = this->Options.Balancers[Index];
  if (this->isCut({Caller, 0}) || this->isCut(To)) {
    ++this->Count.CutOff;
    return;
  }
  ++this->Count.PerBalancer[To];
  this->carry(*this->Egress, To, Bytes);
}

void Fabric::State::fromAgent(Endpoint From, PacketBytes Bytes) {
  ++this->Count.FromAgents;
  if (Bytes.size() < HeaderBytes) {
    ++this->Count.Malformed;
    return;
  }
  const std::uint32_t Caller = addressAt(Bytes, DestinationOffset);
  const auto Found = this->Callers.find(Caller);
  if (Found == this->Callers.end()) {
    ++this->Count.UnknownCaller;
    return;
  }
  if (this->isCut({Caller, 0}) || this->isCut(From)) {
    ++this->Count.CutOff;
    return;
  }
  this->carry(*this->Ingress, Found->second, Bytes);
}

void Fabric::State::carry(UdpPort &Port, Endpoint To, PacketBytes Bytes) {
  const FabricFaults &Faults = this->Options.Faults;
  if (this->chance(Faults.Drop)) {
    ++this->Count.Dropped;
    return;
  }
  Duration After = Faults.Delay;
  if (this->chance(Faults.Reorder)) {
    ++this->Count.Reordered;
    After += Faults.ReorderDelay;
  }
  this->deliver(Port, To, Bytes, After);
  if (this->chance(Faults.Duplicate)) {
    ++this->Count.Duplicated;
    this->deliver(Port, To, Bytes, After);
  }
}

void Fabric::State::deliver(UdpPort &Port, Endpoint To, PacketBytes Bytes,
                            Duration After) {
  if (After <= Duration::zero()) {
    Port.send(To, Bytes);
    return;
  }
  const Instant Due = steady_clock::now() + After;
  this->Waiting.emplace(
      Due, Delayed{&Port, To,
                   std::vector<std::uint8_t>(Bytes.begin(), Bytes.end())});
  if (this->Waiting.begin()->first == Due) {
    this->schedule();
  }
}

void Fabric::State::deliverDue() {
  const Instant Now = steady_clock::now();
  while (!this->Waiting.empty() && this->Waiting.begin()->first <= Now) {
    const auto First = this->Waiting.begin();
    First->second.Port->send(First->second.To, First->second.Bytes);
    this->Waiting.erase(First);
  }
}

void Fabric::State::schedule() {
  this->Timer.expires_at(this->Waiting.begin()->first);
  this->Timer.async_wait([Weak = this->weak_from_this()](auto Problem) {
    const auto Self = Weak.lock();
    if (Problem || !Self) {
      return;
    }
    Self->deliverDue();
    if (!Self->Waiting.empty()) {
      Self->schedule();
    }
  });
}

HttpAnswer Fabric::State::setBalancers(const Pairs &Query) {
  auto List = parseEndpoints(textOr(Query, "list"));
  if (!List) {
    return {.Status = 400, .Body = List.error().Detail};
  }
  this->Options.Balancers = std::move(*List);
  return {.Body = "{}\n"};
}

HttpAnswer Fabric::State::setFaults(const Pairs &Query) {
  const std::chrono::duration<double, std::milli> Reorder(
      this->Options.Faults.ReorderDelay);
  // Faults that are not named end, so that one call describes the network.
  FabricFaults Faults;
  Faults.Drop = numberOr(Query, "drop", 0);
  Faults.Duplicate = numberOr(Query, "duplicate", 0);
  Faults.Reorder = numberOr(Query, "reorder", 0);
  Faults.Delay = fromMilliseconds(numberOr(Query, "delay-ms", 0));
  Faults.ReorderDelay =
      fromMilliseconds(numberOr(Query, "reorder-ms", Reorder.count()));
  this->Options.Faults = Faults;
  return {.Body = "{}\n"};
}

HttpAnswer Fabric::State::setCut(const Pairs &Query, bool Cut) {
  const std::string Text = textOr(Query, "address");
  if (!Cut && Text.empty()) {
    this->Cuts.clear();
    return {.Body = "{}\n"};
  }
  const auto Value = parseEndpoint(Text);
  if (!Value) {
    return {.Status = 400, .Body = Value.error().Detail};
  }
  if (Cut) {
    this->Cuts.insert(*Value);
  } else {
    this->Cuts.erase(*Value);
  }
  return {.Body = "{}\n"};
}

HttpAnswer Fabric::State::stats() const {
  nlohmann::json Sprayed = nlohmann::json::object();
  for (const auto &[Balancer, Packets] : this->Count.PerBalancer) {
    Sprayed[formatEndpoint(Balancer)] = Packets;
  }
  const nlohmann::json Body = {
      {"from_callers", this->Count.FromCallers},
      {"from_agents", this->Count.FromAgents},
      {"dropped", this->Count.Dropped},
      {"duplicated", this->Count.Duplicated},
      {"reordered", this->Count.Reordered},
      {"cut_off", this->Count.CutOff},
      {"malformed", this->Count.Malformed},
      {"unknown_caller", this->Count.UnknownCaller},
      {"no_balancer", this->Count.NoBalancer},
      {"send_failures",
       this->Ingress->sendFailures() + this->Egress->sendFailures()},
      {"per_balancer", Sprayed}};
  return {.Body = Body.dump() + "\n"};
}

HttpAnswer Fabric::State::handle(const HttpCall &Call) {
  if (Call.Path == "/balancers") {
    return this->setBalancers(Call.Query);
  }
  if (Call.Path == "/faults") {
    return this->setFaults(Call.Query);
  }
  if (Call.Path == "/cut" || Call.Path == "/heal") {
    return this->setCut(Call.Query, Call.Path == "/cut");
  }
  if (Call.Path == "/stats") {
    return this->stats();
  }
  return {.Status = 404};
}

Result<std::unique_ptr<Fabric>> Fabric::create(io_context &Io,
                                               FabricOptions Options) {
  const FabricOptions Wanted = Options;
  auto Impl = std::make_shared<State>(Io, std::move(Options));
  State &Self = *Impl;
  auto Ingress = UdpPort::create(Io, Wanted.Listen,
                                 [&Self](Endpoint From, PacketBytes Bytes) {
                                   Self.fromCaller(From, Bytes);
                                 });
  if (!Ingress) {
    return tl::unexpected(Ingress.error());
  }
  auto Egress = UdpPort::create(Io, Wanted.Egress,
                                [&Self](Endpoint From, PacketBytes Bytes) {
                                  Self.fromAgent(From, Bytes);
                                });
  if (!Egress) {
    return tl::unexpected(Egress.error());
  }
  auto Http = HttpServer::create(
      Io, Wanted.Control,
      [&Self](const HttpCall &Call, const HttpRespond &Respond) {
        Respond(Self.handle(Call));
      });
  if (!Http) {
    return tl::unexpected(Http.error());
  }
  Impl->Ingress = std::move(*Ingress);
  Impl->Egress = std::move(*Egress);
  Impl->Http = std::move(*Http);
  return std::unique_ptr<Fabric>(new Fabric(std::move(Impl)));
}

Fabric::Fabric(std::shared_ptr<State> Impl) : Impl(std::move(Impl)) {}

Fabric::~Fabric() = default;

Endpoint Fabric::address() const { return this->Impl->Ingress->address(); }

Endpoint Fabric::egress() const { return this->Impl->Egress->address(); }

Endpoint Fabric::control() const { return this->Impl->Http->address(); }

} // namespace mulberryhoist::standin
