/// \file
/// What the data duties of the steered path share: carrying out actions.

#ifndef MULBERRYHOIST_STEER_IO_H
#define MULBERRYHOIST_STEER_IO_H

#include <algorithm>
#include <array>
#include <concepts>
#include <vector>

#include "mulberryhoist/datagram.h"
#include "mulberryhoist/decision-log.h"
#include "mulberryhoist/packet-format.h"
#include "mulberryhoist/process.h"
#include "mulberryhoist/steer-actions.h"

namespace mulberryhoist {

/// Datagrams that are read from one socket before the other is looked at.
inline constexpr int DatagramsPerIteration = 64;

/// The longest sleep of a data duty, and so the delay until it notices a stop.
inline constexpr Duration LongestWait = std::chrono::milliseconds(50);

/// Actions that one event can cause without allocation.
inline constexpr std::size_t SteerActionReserve = 64;

/// Reads what waits in a socket, up to a limit; true if nothing is left.
template <std::invocable<const ReceivedDatagram &> Handler>
bool receivePending(DatagramSocket &Socket, const Handler &Take) {
  for (int I = 0; I < DatagramsPerIteration; ++I) {
    const auto Received = Socket.receive();
    if (!Received) {
      return true;
    }
    Take(*Received);
  }
  return false;
}

/// Carries out actions; `Format` is the format of the packets.
template <PacketFormat Format> class SteerOutput {
public:
  /// Callers receive at `CallerPort`. The references must outlive the object.
  SteerOutput(DatagramSocket &Peers, std::uint16_t CallerPort,
              DecisionLog &Decisions, ErrorCounters &Errors)
      : Peers(Peers), CallerPort(CallerPort), Decisions(Decisions),
        Errors(Errors) {}

  /// Where `ForwardToUpstream` goes.
  Endpoint Upstream;
  /// The version of the configuration that decisions are made with.
  std::uint64_t Version = 0;

  /// Carries out and clears the actions.
  void perform(SteerActionList &Out, Instant Now) {
    for (const SteerAction &Each : Out) {
      if (const auto *Record = std::get_if<RecordDecision>(&Each)) {
        this->Decisions.record(*Record, this->Version, Now);
      } else if (const auto *Value = std::get_if<ObserveLatency>(&Each)) {
        this->Decisions.observe(Value->Value);
      } else {
        std::visit([this](const auto &Typed) { this->send(Typed); }, Each);
      }
    }
    Out.clear();
  }

  void report(const Error &Problem, Instant Now) {
    this->Errors.add(Problem.Kind);
    if (const auto Count = this->Limiter.add(Problem.Kind, Now)) {
      logError(Problem, {{"count", static_cast<std::int64_t>(Count)}});
    }
  }

private:
  void send(const RecordDecision & /*Each*/) {}
  void send(const ObserveLatency & /*Each*/) {}

  void send(const SendSteer &Each) {
    const auto Encoded = this->Codec.encode(Each.Body, this->restored(Each));
    if (!Encoded) {
      this->report(Encoded.error(), now());
      return;
    }
    this->transmit(Each.To, *Encoded);
  }

  void send(const ForwardToUpstream &Each) {
    this->copy(Each.Packet);
    Format::prepare(this->Buffer, Each.Tag);
    this->transmit(this->Upstream, this->Buffer);
  }

  void send(const ForwardToCaller &Each) {
    this->copy(Each.Packet);
    Format::restore(this->Buffer);
    this->transmit({Each.Caller.Address, this->CallerPort}, this->Buffer);
  }

  void send(const RejectOpening &Each) {
    this->transmit({Each.Flow.Caller.Address, this->CallerPort},
                   Format::makeRefusal(Each.Flow));
  }

  PacketBytes restored(const SendSteer &Each) {
    this->copy(Each.Packet);
    if (!this->Buffer.empty()) {
      Format::restore(this->Buffer);
    }
    return this->Buffer;
  }

  void copy(PacketBytes Bytes) {
    this->Buffer.assign(Bytes.begin(), Bytes.end());
  }

  void transmit(Endpoint To, PacketBytes Bytes) {
    const auto Sent = this->Peers.send(To, Bytes);
    if (!Sent) {
      this->report(Sent.error(), now());
    }
  }

  DatagramSocket &Peers;
  std::uint16_t CallerPort;
  DecisionLog &Decisions;
  ErrorCounters &Errors;
  ErrorLogLimiter Limiter;
  SteerCodec Codec;
  std::vector<std::uint8_t> Buffer;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_STEER_IO_H
