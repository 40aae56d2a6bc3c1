#include "soak/callers.h"

#include <fmt/format.h>

#include "mulberryhoist/http-client.h"
#include "mulberryhoist/process.h"

namespace mulberryhoist::soak {
namespace {

using platform::PlatformFormat;
using std::chrono::milliseconds;

constexpr Duration Deadline = milliseconds(1500);
constexpr Duration FirstRetry = milliseconds(200);
constexpr Duration RouterPeriod = milliseconds(250);
constexpr Duration RouterTimeout = milliseconds(150);
constexpr int MissesUntilOut = 2;
constexpr Duration Turn = milliseconds(2);

} // namespace

Callers::Callers(CallerSettings Settings, Ledger &Seen,
                 std::function<bool(const FlowKey &)> IsHeld)
    : Settings(std::move(Settings)), Seen(Seen), IsHeld(std::move(IsHeld)),
      Random(this->Settings.Seed), NextBegin(now()),
      Socket(std::move(*DatagramSocket::create(this->Settings.Listen))),
      Routers([this](const std::stop_token &Stop) { this->runRouters(Stop); }),
      Thread([this](const std::stop_token &Stop) { this->run(Stop); }) {}

void Callers::runRouters(const std::stop_token &Stop) {
  std::vector<Endpoint> Addresses;
  for (const RoutedBalancer &Each : this->Settings.Balancers) {
    Addresses.push_back(Each.Ready);
  }
  std::vector<int> Misses(Addresses.size(), MissesUntilOut);
  while (!Stop.stop_requested()) {
    const auto Answers = httpGetAll(Addresses, "/ready", RouterTimeout);
    {
      const std::scoped_lock Guard(this->ReadyLock);
      this->Ready.clear();
      for (std::size_t I = 0; I < Answers.size(); ++I) {
        const bool IsReady = Answers[I] && Answers[I]->Status == StatusOk;
        Misses[I] = IsReady ? 0 : Misses[I] + 1;
        if (Misses[I] < MissesUntilOut) {
          this->Ready.push_back(I);
        }
      }
    }
    std::this_thread::sleep_for(RouterPeriod);
  }
}

std::optional<Endpoint> Callers::route(const FlowKey &Key) {
  const std::scoped_lock Guard(this->ReadyLock);
  if (this->Ready.empty()) {
    return std::nullopt;
  }
  // Like the platform's: nearly all flows move when the number changes.
  const std::size_t Place = hashFlow(Key) % this->Ready.size();
  return this->Settings.Balancers[this->Ready[Place]].Packets;
}

void Callers::run(const std::stop_token &Stop) {
  while (!Stop.stop_requested()) {
    this->Socket.wait(Turn);
    const Instant Now = now();
    while (const auto Received = this->Socket.receive()) {
      const auto Packet = PlatformFormat::parse(Received->Bytes);
      if (!Packet || Packet->Returned || Packet->Tag != 0) {
        this->Seen.broke("a caller got a packet that no sender wrote so");
        continue;
      }
      this->take(*Packet, Now);
    }
    if (this->Beginning && Now >= this->NextBegin) {
      this->begin(Now);
    }
    this->resendDue(Now);
  }
}

void Callers::begin(Instant Now) {
  this->NextBegin =
      std::max(this->NextBegin, Now - milliseconds(50)) +
      Duration(std::chrono::seconds(1)) / this->Settings.RequestsPerSecond;
  const auto &Ports = this->Settings.ServicePorts;
  const FlowKey Key = {
      {this->Settings.Listen.Address, this->NextPort++},
      {this->Settings.ServiceAddress, Ports[this->Random() % Ports.size()]}};
  if (this->NextPort == 0) {
    this->NextPort = 1024;
  }
  Call &Each = this->Calls[Key];
  Each = Call();
  Each.Request = this->NextRequest++;
  Each.Sequence = static_cast<std::uint32_t>(this->Random());
  Each.Began = Now;
  Each.Retry = FirstRetry;
  Each.NextSend = Now + Each.Retry;
  this->Seen.began(Each.Request, Now);
  this->send(Key, Each);
}

void Callers::send(const FlowKey &Key, const Call &Each) {
  const auto To = this->route(Key);
  const bool IsLost =
      std::uniform_real_distribution<double>(0, 1)(this->Random) < this->Loss;
  if (!To || IsLost) {
    return;
  }
  PacketFields Fields;
  Fields.Source = Key.Caller;
  Fields.Destination = Key.Service;
  Fields.Sequence = Each.Sequence;
  if (Each.UpstreamSequence) {
    Fields.Flags = Ack;
    ++Fields.Sequence;
    Fields.Acknowledgment = *Each.UpstreamSequence + 1;
    Fields.Request = Each.Request;
  } else {
    Fields.Flags = Syn;
    Fields.Acknowledgment = Each.Copies;
  }
  (void)this->Socket.send(*To, makePacket(Fields));
}

void Callers::take(const RoutedPacket &Packet, Instant Now) {
  const FlowKey Key = Packet.View.upstreamFlow();
  const auto Found = this->Calls.find(Key);
  if (Found == this->Calls.end()) {
    return;
  }
  Call &Each = Found->second;
  if (Packet.View.Flags.Rst) {
    if (Each.UpstreamSequence && this->IsHeld(Key)) {
      this->Seen.broke(fmt::format("request {} was reset while its upstream "
                                   "held the flow",
                                   Each.Request));
    }
    this->Seen.ended(Each.Request,
                     Each.UpstreamSequence ? Outcome::Reset : Outcome::Refused);
    this->Calls.erase(Found);
    return;
  }
  if (Packet.View.Flags.Syn) {
    if (!Each.UpstreamSequence) {
      Each.UpstreamSequence = Packet.View.Sequence;
      Each.Retry = FirstRetry;
      Each.NextSend = Now + Each.Retry;
      this->send(Key, Each);
    }
    return;
  }
  const std::uint32_t Answered = requestOf(Packet);
  if (Answered != 0 && Answered != Each.Request) {
    this->Seen.broke(
        fmt::format("request {} got the answer to {}", Each.Request, Answered));
  }
  if (Answered != 0) {
    this->Seen.ended(Each.Request, Outcome::Served);
    this->Calls.erase(Found);
  }
}

void Callers::resendDue(Instant Now) {
  for (auto Each = this->Calls.begin(); Each != this->Calls.end();) {
    Call &Open = Each->second;
    if (Now - Open.Began >= Deadline) {
      this->Seen.ended(Open.Request, Outcome::Expired);
      Each = this->Calls.erase(Each);
      continue;
    }
    if (Now >= Open.NextSend) {
      ++Open.Copies;
      Open.Retry *= 2;
      Open.NextSend = Now + Open.Retry;
      this->send(Each->first, Open);
    }
    ++Each;
  }
}

} // namespace mulberryhoist::soak
