/// \file
/// Parses and checks IPv4/TCP packets, and builds the segments without data
/// that balancers and agents send themselves.

#ifndef MULBERRYHOIST_PACKET_H
#define MULBERRYHOIST_PACKET_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>

#include "mulberryhoist/types.h"

namespace mulberryhoist {

/// The TCP flags that decisions depend on.
struct TcpFlags {
  bool Syn = false;
  bool Ack = false;
  bool Fin = false;
  bool Rst = false;
  bool Psh = false;
};

/// The fields of one TCP segment; `Payload` points into the parsed packet.
struct PacketView {
  Endpoint Source;
  Endpoint Destination;
  std::uint32_t Sequence = 0;
  std::uint32_t Acknowledgment = 0;
  TcpFlags Flags;
  PacketBytes Payload;

  /// Returns true for the packet that opens a flow.
  bool isOpening() const { return this->Flags.Syn && !this->Flags.Ack; }

  /// Returns the flow of a packet that a caller sent.
  FlowKey callerFlow() const { return {this->Source, this->Destination}; }

  /// Returns the flow of a packet that an upstream sent.
  FlowKey upstreamFlow() const { return {this->Destination, this->Source}; }

  /// Returns the sequence number that follows this segment.
  std::uint32_t nextSequence() const {
    return this->Sequence + static_cast<std::uint32_t>(this->Payload.size()) +
           (this->Flags.Syn ? 1U : 0U) + (this->Flags.Fin ? 1U : 0U);
  }
};

/// Parses and checks an IPv4 packet with one whole TCP segment.
///
/// Fragments, other protocols, wrong lengths and wrong header checksums are
/// `MalformedPacket`. Nothing is allocated on success.
Result<PacketView> parsePacket(PacketBytes Bytes);

/// The size of a packet with a segment that carries no data, in bytes.
inline constexpr std::size_t ControlPacketSize = 40;

/// A packet with a segment that carries no data.
using ControlPacket = std::array<std::uint8_t, ControlPacketSize>;

/// A packet with a reset segment.
using ResetPacket = ControlPacket;

/// Builds the reset in reply to a caller's packet, as RFC 9293 describes.
///
/// The reset for an opening refuses it: it has sequence number 0 and
/// acknowledges the opening.
ResetPacket makeResetFor(const PacketView &Packet);

/// Builds a reset from `Source` to `Destination` at the given sequence number.
ResetPacket makeReset(Endpoint Source, Endpoint Destination,
                      std::uint32_t Sequence);

/// Builds an acknowledgment without data.
ControlPacket makeAcknowledgment(Endpoint Source, Endpoint Destination,
                                 std::uint32_t Sequence,
                                 std::uint32_t Acknowledgment);

/// Returns true if sequence number A comes before B, modulo 2^32.
constexpr bool sequenceBefore(std::uint32_t A, std::uint32_t B) {
  return static_cast<std::int32_t>(A - B) < 0;
}

} // namespace mulberryhoist

#endif // MULBERRYHOIST_PACKET_H
