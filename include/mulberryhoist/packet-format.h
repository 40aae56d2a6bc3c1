/// \file
/// The interface between the steered path and a packet format.

#ifndef MULBERRYHOIST_PACKET_FORMAT_H
#define MULBERRYHOIST_PACKET_FORMAT_H

#include <concepts>
#include <cstdint>
#include <span>
#include <vector>

#include "mulberryhoist/packet.h"

namespace mulberryhoist {

/// A parsed packet of a format in which upstreams can return packets.
struct RoutedPacket {
  PacketView View;
  /// True if an upstream returned the packet, since it does not hold the flow
  /// or cannot accept the opening.
  bool Returned = false;
  /// The value that was written into the packet when it was forwarded to the
  /// upstream.
  std::uint32_t Tag = 0;
  /// The minimum time that the caller has been trying to open the flow.
  Duration Waited{};
  PacketBytes Bytes;
};

/// Parses and builds packets of one format.
template <typename T>
concept PacketFormat = requires(PacketBytes Bytes,
                                std::span<std::uint8_t> Writable,
                                std::uint32_t Tag, const FlowKey &Flow,
                                std::uint32_t Sequence) {
  { T::parse(Bytes) } -> std::same_as<Result<RoutedPacket>>;
  // Prepares the packet for an upstream: clears the returned flag and writes
  // the tag.
  { T::prepare(Writable, Tag) } -> std::same_as<void>;
  // Restores the packet to what its sender wrote.
  { T::restore(Writable) } -> std::same_as<void>;
  // Builds a reset from the service address to the caller.
  { T::makeReset(Flow, Sequence) } -> std::same_as<std::vector<std::uint8_t>>;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_PACKET_FORMAT_H
