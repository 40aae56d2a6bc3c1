/// \file
/// Socket input and the execution of actions, shared by the data threads of the
/// steered path.

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

/// The most datagrams read from one socket before the other is polled.
inline constexpr int DatagramsPerIteration = 64;

/// The longest wait of a data thread, and so the longest delay until it reacts
/// to a stop request.
inline constexpr Duration LongestWait = std::chrono::milliseconds(50);

/// The number of actions of one event that fit without allocation.
inline constexpr std::size_t SteerActionReserve = 64;

/// Reads up to `DatagramsPerIteration` datagrams from a socket; returns whether
/// the socket is empty.
template <std::invocable<const ReceivedDatagram &> Handler>
bool receivePending(DatagramSocket &Socket, const Handler &Handle) {
  for (int I = 0; I < DatagramsPerIteration; ++I) {
    const auto Received = Socket.receive();
    if (!Received) {
      return true;
    }
    Handle(*Received);
  }
  return false;
}

/// Executes actions; `Format` is the format of the packets.
template <PacketFormat Format> class SteerOutput {
public:
  /// Callers receive on `CallerPort`. The references must outlive the object.
  SteerOutput(DatagramSocket &Peers, std::uint16_t CallerPort,
              DecisionLog &Decisions, ErrorCounters &Errors)
      : Peers(Peers), CallerPort(CallerPort), Decisions(Decisions),
        Errors(Errors) {}

  /// The destination of `ForwardToUpstream`.
  Endpoint Upstream;
  /// The version of the configuration, for the decision log.
  std::uint64_t Version = 0;

  /// Executes the actions and clears the list.
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

  /// Counts an error, and logs it at a limited rate.
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
    const auto Encoded =
        this->Codec.encode(Each.Body, this->restoredPacket(Each));
    if (!Encoded) {
      this->report(Encoded.error(), now());
      return;
    }
    this->transmit(Each.To, *Encoded);
  }

  void send(const ForwardToUpstream &Each) {
    this->assignBuffer(Each.Packet);
    Format::prepare(this->Buffer, Each.Tag);
    this->transmit(this->Upstream, this->Buffer);
  }

  void send(const ForwardToCaller &Each) {
    this->assignBuffer(Each.Packet);
    Format::restore(this->Buffer);
    this->transmit({Each.Caller.Address, this->CallerPort}, this->Buffer);
  }

  void send(const RejectOpening &Each) {
    // An opening that is not answered yet is reset at any sequence number.
    this->send(ResetFlow{Each.Flow, 0});
  }

  void send(const ResetFlow &Each) {
    this->transmit({Each.Flow.Caller.Address, this->CallerPort},
                   Format::makeReset(Each.Flow, Each.Sequence));
  }

  PacketBytes restoredPacket(const SendSteer &Each) {
    this->assignBuffer(Each.Packet);
    if (!this->Buffer.empty()) {
      Format::restore(this->Buffer);
    }
    return this->Buffer;
  }

  void assignBuffer(PacketBytes Bytes) {
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
