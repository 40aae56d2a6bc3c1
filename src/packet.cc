#include "mulberryhoist/packet.h"

#include <arpa/inet.h>
#include <cstring>
#include <netinet/ip.h>
#include <netinet/tcp.h>

namespace mulberryhoist {
namespace {

constexpr std::size_t WordBytes = 4;
constexpr std::uint8_t ControlTimeToLive = 64;

/// The fields that the TCP checksum covers besides the segment (RFC 9293).
struct PseudoHeader {
  std::uint32_t Source;
  std::uint32_t Destination;
  std::uint8_t Zero;
  std::uint8_t Protocol;
  std::uint16_t Length;
};
static_assert(sizeof(PseudoHeader) == 12,
              "padding would be part of the checksum");

/// Adds bytes to a ones' complement sum. The sum is kept in native byte order,
/// which gives the same checksum bytes (RFC 1071).
std::uint64_t addToSum(std::uint64_t Sum, PacketBytes Bytes) {
  while (Bytes.size() >= WordBytes) {
    std::uint32_t Word = 0;
    std::memcpy(&Word, Bytes.data(), WordBytes);
    Sum += Word;
    Bytes = Bytes.subspan(WordBytes);
  }
  std::uint32_t Tail = 0;
  if (!Bytes.empty()) {
    std::memcpy(&Tail, Bytes.data(), Bytes.size());
  }
  return Sum + Tail;
}

std::uint16_t foldSum(std::uint64_t Sum) {
  constexpr unsigned HalfBits = 16;
  while ((Sum >> HalfBits) != 0) {
    Sum = (Sum & 0xFFFFU) + (Sum >> HalfBits);
  }
  return static_cast<std::uint16_t>(Sum);
}

/// Returns true if the sum of the covered bytes, including the checksum field,
/// is that of a valid checksum.
bool hasValidChecksum(std::uint64_t Sum) { return foldSum(Sum) == 0xFFFFU; }

template <typename T> PacketBytes bytesOf(const T &Value) {
  return {reinterpret_cast<const std::uint8_t *>(&Value), sizeof(T)};
}

std::uint64_t segmentSum(const iphdr &Ip, PacketBytes Segment) {
  const PseudoHeader Pseudo = {Ip.saddr, Ip.daddr, 0, IPPROTO_TCP,
                               htons(static_cast<uint16_t>(Segment.size()))};
  return addToSum(addToSum(0, bytesOf(Pseudo)), Segment);
}

/// Parses and checks the IPv4 header of a packet that holds TCP.
Result<iphdr> parseIpHeader(PacketBytes Bytes) {
  constexpr unsigned MinHeaderWords = 5;
  iphdr Ip = {};
  if (Bytes.size() < sizeof(Ip)) {
    return makeError(ErrorKind::MalformedPacket, "shorter than an IPv4 header");
  }
  std::memcpy(&Ip, Bytes.data(), sizeof(Ip));
  const std::size_t HeaderBytes = Ip.ihl * WordBytes;
  if (Ip.version != IPVERSION || Ip.ihl < MinHeaderWords ||
      HeaderBytes > Bytes.size()) {
    return makeError(ErrorKind::MalformedPacket,
                     "invalid IPv4 version or header length");
  }
  if (ntohs(Ip.tot_len) != Bytes.size()) {
    return makeError(ErrorKind::MalformedPacket,
                     "IPv4 total length does not match the packet size");
  }
  if ((ntohs(Ip.frag_off) & (IP_MF | IP_OFFMASK)) != 0) {
    return makeError(ErrorKind::MalformedPacket, "fragment");
  }
  if (Ip.protocol != IPPROTO_TCP) {
    return makeError(ErrorKind::MalformedPacket, "not TCP");
  }
  if (!hasValidChecksum(addToSum(0, Bytes.first(HeaderBytes)))) {
    return makeError(ErrorKind::MalformedPacket, "wrong IPv4 checksum");
  }
  return Ip;
}

/// The fields that differ between the control segments.
struct ControlFields {
  bool Rst = false;
  bool Ack = false;
  std::uint32_t Sequence = 0;
  std::uint32_t Acknowledgment = 0;
  std::uint16_t Window = 0;
};

ControlPacket buildControl(Endpoint Source, Endpoint Destination,
                           const ControlFields &Fields) {
  iphdr Ip = {};
  Ip.version = IPVERSION;
  Ip.ihl = sizeof(iphdr) / WordBytes;
  Ip.tot_len = htons(ControlPacketSize);
  Ip.frag_off = htons(IP_DF);
  Ip.ttl = ControlTimeToLive;
  Ip.protocol = IPPROTO_TCP;
  Ip.saddr = htonl(Source.Address);
  Ip.daddr = htonl(Destination.Address);
  Ip.check = static_cast<std::uint16_t>(~foldSum(addToSum(0, bytesOf(Ip))));

  tcphdr Tcp = {};
  Tcp.source = htons(Source.Port);
  Tcp.dest = htons(Destination.Port);
  Tcp.seq = htonl(Fields.Sequence);
  Tcp.ack_seq = htonl(Fields.Acknowledgment);
  Tcp.doff = sizeof(tcphdr) / WordBytes;
  Tcp.rst = Fields.Rst ? 1 : 0;
  Tcp.ack = Fields.Ack ? 1 : 0;
  Tcp.window = htons(Fields.Window);
  Tcp.check =
      static_cast<std::uint16_t>(~foldSum(segmentSum(Ip, bytesOf(Tcp))));

  static_assert(sizeof(Ip) + sizeof(Tcp) == ControlPacketSize);
  ControlPacket Packet;
  std::memcpy(Packet.data(), &Ip, sizeof(Ip));
  std::memcpy(Packet.data() + sizeof(Ip), &Tcp, sizeof(Tcp));
  return Packet;
}

} // namespace

Result<PacketView> parsePacket(PacketBytes Bytes) {
  const auto Ip = parseIpHeader(Bytes);
  if (!Ip) {
    return tl::unexpected<Error>(Ip.error());
  }
  const PacketBytes Segment = Bytes.subspan(Ip->ihl * WordBytes);
  tcphdr Tcp = {};
  if (Segment.size() < sizeof(Tcp)) {
    return makeError(ErrorKind::MalformedPacket, "shorter than a TCP header");
  }
  std::memcpy(&Tcp, Segment.data(), sizeof(Tcp));
  const std::size_t HeaderBytes = Tcp.doff * WordBytes;
  if (HeaderBytes < sizeof(Tcp) || HeaderBytes > Segment.size()) {
    return makeError(ErrorKind::MalformedPacket, "invalid TCP data offset");
  }
  if (!hasValidChecksum(segmentSum(*Ip, Segment))) {
    return makeError(ErrorKind::MalformedPacket, "wrong TCP checksum");
  }
  PacketView View;
  View.Source = {ntohl(Ip->saddr), ntohs(Tcp.source)};
  View.Destination = {ntohl(Ip->daddr), ntohs(Tcp.dest)};
  View.Sequence = ntohl(Tcp.seq);
  View.Acknowledgment = ntohl(Tcp.ack_seq);
  View.Flags = {Tcp.syn != 0, Tcp.ack != 0, Tcp.fin != 0, Tcp.rst != 0,
                Tcp.psh != 0};
  View.Payload = Segment.subspan(HeaderBytes);
  return View;
}

ResetPacket makeResetFor(const PacketView &Packet) {
  if (Packet.Flags.Ack) {
    return makeReset(Packet.Destination, Packet.Source, Packet.Acknowledgment);
  }
  return buildControl(Packet.Destination, Packet.Source,
                      {true, true, 0, Packet.nextSequence(), 0});
}

ResetPacket makeReset(Endpoint Source, Endpoint Destination,
                      std::uint32_t Sequence) {
  return buildControl(Source, Destination, {true, false, Sequence, 0, 0});
}

ControlPacket makeAcknowledgment(Endpoint Source, Endpoint Destination,
                                 std::uint32_t Sequence,
                                 std::uint32_t Acknowledgment) {
  constexpr std::uint16_t MaxWindow = 0xFFFF;
  return buildControl(Source, Destination,
                      {false, true, Sequence, Acknowledgment, MaxWindow});
}

} // namespace mulberryhoist
