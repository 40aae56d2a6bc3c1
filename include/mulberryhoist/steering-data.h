/// \file
/// The data duty of a balancer on the steered path.

#ifndef MULBERRYHOIST_STEERING_DATA_H
#define MULBERRYHOIST_STEERING_DATA_H

#include <atomic>
#include <memory>
#include <stop_token>

#include "mulberryhoist/directory.h"
#include "mulberryhoist/steer-io.h"
#include "mulberryhoist/steering.h"

namespace mulberryhoist {

/// Where the data duty of a balancer sends and receives.
struct SteeringDataSettings {
  /// For packets of callers.
  Endpoint Packets;
  /// For messages of agents.
  Endpoint Peers;
  /// Where callers receive packets.
  std::uint16_t CallerPort = 0;
};

/// The sockets of a balancer and the duty that serves them.
template <PacketFormat Format> class SteeringData {
public:
  /// Binds the sockets; the references must outlive the object.
  static Result<std::unique_ptr<SteeringData>>
  create(const SteeringDataSettings &Settings, SharedDirectory &Directories,
         prometheus::Registry &Metrics) {
    auto Packets = DatagramSocket::create(Settings.Packets);
    if (!Packets) {
      return tl::unexpected<Error>(std::move(Packets.error()));
    }
    auto Peers = DatagramSocket::create(Settings.Peers);
    if (!Peers) {
      return tl::unexpected<Error>(std::move(Peers.error()));
    }
    return std::unique_ptr<SteeringData>(
        new SteeringData(Settings, Directories, Metrics, std::move(*Packets),
                         std::move(*Peers)));
  }

  /// Serves the sockets until it is asked to stop; each run begins with fresh
  /// logic, while the sockets stay bound.
  Result<void> run(const std::stop_token &Stop) {
    SteeringLogic Logic(
        {this->Settings.Peers.Address, this->Settings.Peers.Port});
    SteerActionList Out;
    Out.reserve(SteerActionReserve);
    std::shared_ptr<const Directory> Seen;
    while (!Stop.stop_requested()) {
      const Instant Now = now();
      this->takeDirectory(Logic, Seen);
      const bool HasNoPackets = this->readPackets(Logic, Out, Now);
      const bool HasNoMessages = this->readMessages(Logic, Out, Now);
      Logic.onTick(Now, Out);
      this->Output.perform(Out, Now);
      if (HasNoPackets && HasNoMessages) {
        this->wait(Logic);
      }
    }
    return {};
  }

  /// When the last packet of a caller came. For any thread.
  Instant lastPacket() const {
    return Instant(Duration(this->LastPacket.load(std::memory_order_relaxed)));
  }

private:
  SteeringData(const SteeringDataSettings &Settings,
               SharedDirectory &Directories, prometheus::Registry &Metrics,
               DatagramSocket Packets, DatagramSocket Peers)
      : Settings(Settings), Directories(Directories), Errors(Metrics),
        Decisions(Metrics, "opening_answer_seconds",
                  "Time until an agent took an opening"),
        Packets(std::move(Packets)), Peers(std::move(Peers)),
        Output(this->Peers, Settings.CallerPort, this->Decisions,
               this->Errors) {}

  void takeDirectory(SteeringLogic &Logic,
                     std::shared_ptr<const Directory> &Seen) {
    auto Next = this->Directories.get();
    if (Next != Seen && Next != nullptr) {
      Logic.onDirectory(Next);
      this->Output.Version = Next->version();
      Seen = std::move(Next);
    }
  }

  bool readPackets(SteeringLogic &Logic, SteerActionList &Out, Instant Now) {
    return receivePending(this->Packets, [&](const ReceivedDatagram &Received) {
      this->LastPacket.store(Now.time_since_epoch().count(),
                             std::memory_order_relaxed);
      const auto Packet = Format::parse(Received.Bytes);
      if (!Packet) {
        this->Output.report(Packet.error(), Now);
        return;
      }
      Logic.onCallerPacket(*Packet, Now, Out);
      this->Output.perform(Out, Now);
    });
  }

  bool readMessages(SteeringLogic &Logic, SteerActionList &Out, Instant Now) {
    return receivePending(this->Peers, [&](const ReceivedDatagram &Received) {
      const auto Decoded = this->Codec.decode(Received.Bytes);
      if (!Decoded) {
        this->Output.report(Decoded.error(), Now);
        return;
      }
      this->takeMessage(Logic, Received.From, Decoded->Body, Out, Now);
      this->Output.perform(Out, Now);
    });
  }

  void takeMessage(SteeringLogic &Logic, Endpoint From,
                   const SteerMessage &Body, SteerActionList &Out,
                   Instant Now) {
    if (const auto *Notice = std::get_if<Taken>(&Body)) {
      Logic.onTaken(From, *Notice, Now, Out);
    } else if (const auto *Refusal = std::get_if<Refused>(&Body)) {
      Logic.onRefused(From, *Refusal, Now, Out);
    } else if (const auto *Reply = std::get_if<CheckReply>(&Body)) {
      Logic.onCheckReply(From, *Reply, Now, Out);
    } else {
      this->Output.report(
          {ErrorKind::MalformedMessage, "a balancer got a message for agents"},
          Now);
    }
  }

  void wait(const SteeringLogic &Logic) {
    const Instant Now = now();
    const Instant Longest = Now + LongestWait;
    const Instant Until = std::min(Logic.nextDue().value_or(Longest), Longest);
    const std::array<const DatagramSocket *, 2> Sockets = {&this->Packets,
                                                           &this->Peers};
    DatagramSocket::waitAny(Sockets, Until - Now);
  }

  SteeringDataSettings Settings;
  SharedDirectory &Directories;
  ErrorCounters Errors;
  DecisionLog Decisions;
  DatagramSocket Packets;
  DatagramSocket Peers;
  SteerOutput<Format> Output;
  SteerCodec Codec;
  std::atomic<Duration::rep> LastPacket{0};
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_STEERING_DATA_H
