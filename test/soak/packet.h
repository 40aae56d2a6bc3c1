/// \file
/// Builds the packets of callers and upstreams in the platform's format.

#ifndef MULBERRYHOIST_TEST_SOAK_PACKET_H
#define MULBERRYHOIST_TEST_SOAK_PACKET_H

#include <boost/endian/conversion.hpp>
#include <vector>

#include "packet-codec.h"

namespace mulberryhoist::soak {

inline constexpr std::uint8_t Fin = 2;
inline constexpr std::uint8_t Rst = 4;
inline constexpr std::uint8_t Syn = 16;
inline constexpr std::uint8_t Ack = 32;
inline constexpr std::uint8_t Returned = 64;

/// The fields of a packet that its sender chooses.
struct PacketFields {
  Endpoint Source;
  Endpoint Destination;
  std::uint8_t Flags = 0;
  std::uint32_t Sequence = 0;
  std::uint32_t Acknowledgment = 0;
  /// The number of the request, as payload; 0 for none.
  std::uint32_t Request = 0;
};

inline std::vector<std::uint8_t> makePacket(const PacketFields &From) {
  using boost::endian::store_big_u16;
  using boost::endian::store_big_u32;
  const std::uint16_t Length = From.Request == 0 ? 0 : sizeof(From.Request);
  std::vector<std::uint8_t> Bytes(platform::HeaderBytes + Length, 0);
  store_big_u32(&Bytes[0], From.Sequence);
  store_big_u32(&Bytes[4], From.Acknowledgment);
  Bytes[8] = From.Flags;
  store_big_u16(&Bytes[10], Length);
  store_big_u32(&Bytes[16], From.Destination.Address);
  store_big_u16(&Bytes[20], From.Destination.Port);
  store_big_u16(&Bytes[22], From.Source.Port);
  store_big_u32(&Bytes[24], From.Source.Address);
  if (Length != 0) {
    store_big_u32(&Bytes[platform::HeaderBytes], From.Request);
  }
  return Bytes;
}

/// The request that a packet carries, or 0.
inline std::uint32_t requestOf(const RoutedPacket &Packet) {
  return Packet.View.Payload.size() == sizeof(std::uint32_t)
             ? boost::endian::load_big_u32(Packet.View.Payload.data())
             : 0;
}

} // namespace mulberryhoist::soak

#endif // MULBERRYHOIST_TEST_SOAK_PACKET_H
