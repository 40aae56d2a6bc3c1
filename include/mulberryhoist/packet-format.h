/// \file
/// What the steered path needs to know of a packet, whatever its format.

#ifndef MULBERRYHOIST_PACKET_FORMAT_H
#define MULBERRYHOIST_PACKET_FORMAT_H

#include <concepts>
#include <cstdint>
#include <span>
#include <vector>

#include "mulberryhoist/packet.h"

namespace mulberryhoist {

/// A packet of which upstreams can say that they do not hold its flow.
struct RoutedPacket {
  PacketView View;
  /// An upstream returned the packet: it does not hold the flow, or cannot
  /// accept the opening.
  bool Returned = false;
  /// What was written beside the packet when it was handed to the upstream.
  std::uint32_t Tag = 0;
  /// How long the caller has been trying to open the flow, at least.
  Duration Waited{};
  PacketBytes Bytes;
};

/// Reads and writes the packets of one format.
template <typename T>
concept PacketFormat = requires(PacketBytes Bytes,
                                std::span<std::uint8_t> Writable,
                                std::uint32_t Tag, const FlowKey &Flow) {
  { T::parse(Bytes) } -> std::same_as<Result<RoutedPacket>>;
  // Makes the packet ready for an upstream: not returned, with this tag.
  { T::prepare(Writable, Tag) } -> std::same_as<void>;
  // Makes the packet as its sender wrote it.
  { T::restore(Writable) } -> std::same_as<void>;
  // The refusal of an opening, from the service address to the caller.
  { T::makeRefusal(Flow) } -> std::same_as<std::vector<std::uint8_t>>;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_PACKET_FORMAT_H
