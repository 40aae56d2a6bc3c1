#include "soak/upstream.h"

#include <fmt/format.h>

#include "mulberryhoist/process.h"

namespace mulberryhoist::soak {
namespace {

using platform::PlatformFormat;

constexpr std::chrono::milliseconds WorkTime{5};
constexpr std::chrono::milliseconds SlowWorkTime{60};
constexpr std::chrono::milliseconds Turn{2};

} // namespace

UpstreamStandIn::UpstreamStandIn(UpstreamSettings Settings, std::string Name,
                                 Ledger &Seen)
    : Settings(Settings), Seen(Seen), Name(std::move(Name)),
      ServicePort(Settings.ServicePort),
      NoNewFlowsAfter(Instant::max().time_since_epoch().count()),
      Random(Settings.Listen.Address),
      Socket(std::move(*DatagramSocket::create(Settings.Listen))),
      Thread([this](const std::stop_token &Stop) { this->run(Stop); }) {}

void UpstreamStandIn::restart(std::string Next) {
  const std::scoped_lock Guard(this->Lock);
  this->Flows.clear();
  this->Pending.clear();
  this->Name = std::move(Next);
  this->setNoNewFlowsAfter(Instant::max());
  ++this->Incarnation;
}

std::string UpstreamStandIn::name() const {
  const std::scoped_lock Guard(this->Lock);
  return this->Name;
}

bool UpstreamStandIn::holds(const FlowKey &Key) const {
  const std::scoped_lock Guard(this->Lock);
  const auto Found = this->Flows.find(Key);
  return Found != this->Flows.end() && Found->second.Open;
}

void UpstreamStandIn::run(const std::stop_token &Stop) {
  while (!Stop.stop_requested()) {
    this->Socket.wait(Turn);
    const std::scoped_lock Guard(this->Lock);
    while (const auto Received = this->Socket.receive()) {
      if (!this->Silent) {
        this->take(*Received);
      }
    }
    this->answerDue(now());
  }
}

void UpstreamStandIn::take(const ReceivedDatagram &Received) {
  const auto Packet = PlatformFormat::parse(Received.Bytes);
  if (!Packet || Packet->Returned) {
    this->Seen.broke("an upstream got a packet that no sender wrote so");
    return;
  }
  const PacketView &View = Packet->View;
  if (View.Destination.Port != this->ServicePort) {
    this->Seen.broke(fmt::format("{} got a packet for port {}", this->Name,
                                 View.Destination.Port));
    return;
  }
  if (View.Flags.Syn && View.Flags.Ack) {
    this->Seen.broke("an upstream got a handshake answer");
    return;
  }
  const FlowKey Key = View.callerFlow();
  const auto Found = this->Flows.find(Key);
  if (View.isOpening()) {
    const bool IsNew = Found == this->Flows.end();
    if (IsNew && now().time_since_epoch().count() >= this->NoNewFlowsAfter) {
      this->Seen.broke(
          fmt::format("{} got a new flow while it leaves", this->Name));
    }
    Flow &Known = this->Flows[Key];
    if (IsNew) {
      // As upstreams do: a caller's acknowledgment fits one of them only.
      Known.Sequence = static_cast<std::uint32_t>(this->Random());
    }
    PacketFields Fields;
    Fields.Source = Key.Service;
    Fields.Destination = Key.Caller;
    Fields.Flags = Syn | Ack;
    Fields.Sequence = Known.Sequence;
    Fields.Acknowledgment = View.Sequence + 1;
    this->send(Fields);
    return;
  }
  const bool IsHeld =
      Found != this->Flows.end() &&
      (Found->second.Open || View.Acknowledgment == Found->second.Sequence + 1);
  if (!IsHeld) {
    this->giveBack(Received.Bytes);
    return;
  }
  this->takeFlowPacket(*Packet, Found->second);
}

void UpstreamStandIn::takeFlowPacket(const RoutedPacket &Packet, Flow &Known) {
  Known.Open = true;
  const std::uint32_t Request = requestOf(Packet);
  if (Request == 0) {
    return;
  }
  const FlowKey Key = Packet.View.callerFlow();
  if (Known.Request == 0) {
    Known.Request = Request;
    this->Seen.ran(Request, this->Name);
    this->Pending.push_back(
        {now() + (this->Slow ? SlowWorkTime : WorkTime), Key});
  } else if (Known.Answered) {
    this->sendAnswer(Key, Known);
  }
}

void UpstreamStandIn::answerDue(Instant Now) {
  for (auto Each = this->Pending.begin(); Each != this->Pending.end();) {
    if (Each->DoneAt > Now) {
      ++Each;
      continue;
    }
    Flow &Known = this->Flows[Each->Key];
    Known.Answered = true;
    this->sendAnswer(Each->Key, Known);
    Each = this->Pending.erase(Each);
  }
}

void UpstreamStandIn::sendAnswer(const FlowKey &Key, const Flow &Known) {
  PacketFields Fields;
  Fields.Source = Key.Service;
  Fields.Destination = Key.Caller;
  Fields.Flags = Ack | Fin;
  Fields.Sequence = Known.Sequence + 1;
  Fields.Request = Known.Request;
  this->send(Fields);
}

void UpstreamStandIn::send(const PacketFields &Fields) {
  // A full buffer is a lost packet.
  (void)this->Socket.send(this->Settings.Outbound, makePacket(Fields));
}

void UpstreamStandIn::giveBack(PacketBytes Bytes) {
  constexpr std::size_t FlagsAt = 8;
  std::vector<std::uint8_t> Copy(Bytes.begin(), Bytes.end());
  Copy[FlagsAt] |= Returned;
  (void)this->Socket.send(this->Settings.Outbound, Copy);
}

} // namespace mulberryhoist::soak
