/// \file
/// TCP segments of the stand-ins, built and parsed with libtins so that a fault
/// in the product's own packet code cannot hide itself.

#ifndef MULBERRYHOIST_TEST_STANDIN_SEGMENT_H
#define MULBERRYHOIST_TEST_STANDIN_SEGMENT_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "mulberryhoist/types.h"

namespace mulberryhoist::standin {

/// One TCP segment with the addresses of its IP packet.
struct Segment {
  Endpoint Source{};
  Endpoint Destination{};
  std::uint32_t Sequence = 0;
  std::uint32_t Acknowledgment = 0;
  bool Syn = false;
  bool Ack = false;
  bool Fin = false;
  bool Rst = false;
  bool Psh = false;
  std::string Payload{};

  /// The sequence number that follows this segment.
  std::uint32_t next() const {
    return this->Sequence + static_cast<std::uint32_t>(this->Payload.size()) +
           (this->Syn ? 1U : 0U) + (this->Fin ? 1U : 0U);
  }
};

/// Parses an IPv4 packet; empty if it is malformed or a checksum is wrong.
std::optional<Segment> parseSegment(PacketBytes Bytes);

/// Builds the IPv4 packet of a segment with correct checksums.
std::vector<std::uint8_t> buildSegment(const Segment &Value);

/// Builds the reset that answers a segment of an unknown connection.
Segment resetFor(const Segment &Value);

/// True if sequence number A comes before B, modulo 2^32.
constexpr bool isBefore(std::uint32_t A, std::uint32_t B) {
  return static_cast<std::int32_t>(A - B) < 0;
}

} // namespace mulberryhoist::standin

#endif // MULBERRYHOIST_TEST_STANDIN_SEGMENT_H
