#include "standin/segment.h"

#include <algorithm>
#include <tins/exceptions.h>
#include <tins/ip.h>
#include <tins/rawpdu.h>
#include <tins/tcp.h>

namespace mulberryhoist::standin {
namespace {

constexpr std::uint16_t WindowBytes = 65535;

// Tins keeps addresses in network byte order.
Tins::IPv4Address toTins(std::uint32_t Address) {
  return Tins::IPv4Address(Tins::Endian::host_to_be(Address));
}

std::uint32_t fromTins(Tins::IPv4Address Address) {
  return Tins::Endian::be_to_host(static_cast<std::uint32_t>(Address));
}

} // namespace

std::optional<Segment> parseSegment(PacketBytes Bytes) {
  try {
    Tins::IP Ip(Bytes.data(), static_cast<std::uint32_t>(Bytes.size()));
    const auto *Tcp = Ip.find_pdu<Tins::TCP>();
    if (Tcp == nullptr) {
      return std::nullopt;
    }
    Segment Value;
    Value.Source = {fromTins(Ip.src_addr()), Tcp->sport()};
    Value.Destination = {fromTins(Ip.dst_addr()), Tcp->dport()};
    Value.Sequence = Tcp->seq();
    Value.Acknowledgment = Tcp->ack_seq();
    Value.Syn = Tcp->get_flag(Tins::TCP::SYN) != 0;
    Value.Ack = Tcp->get_flag(Tins::TCP::ACK) != 0;
    Value.Fin = Tcp->get_flag(Tins::TCP::FIN) != 0;
    Value.Rst = Tcp->get_flag(Tins::TCP::RST) != 0;
    Value.Psh = Tcp->get_flag(Tins::TCP::PSH) != 0;
    if (const auto *Raw = Ip.find_pdu<Tins::RawPDU>()) {
      Value.Payload.assign(Raw->payload().begin(), Raw->payload().end());
    }
    // Tins does not check checksums; it computes them again here.
    const auto Rebuilt = Ip.serialize();
    if (!std::ranges::equal(Rebuilt, Bytes)) {
      return std::nullopt;
    }
    return Value;
  } catch (const Tins::exception_base &) {
    return std::nullopt;
  }
}

std::vector<std::uint8_t> buildSegment(const Segment &Value) {
  Tins::TCP Tcp(Value.Destination.Port, Value.Source.Port);
  Tcp.seq(Value.Sequence);
  Tcp.ack_seq(Value.Acknowledgment);
  Tcp.window(WindowBytes);
  Tcp.set_flag(Tins::TCP::SYN, Value.Syn ? 1 : 0);
  Tcp.set_flag(Tins::TCP::ACK, Value.Ack ? 1 : 0);
  Tcp.set_flag(Tins::TCP::FIN, Value.Fin ? 1 : 0);
  Tcp.set_flag(Tins::TCP::RST, Value.Rst ? 1 : 0);
  Tcp.set_flag(Tins::TCP::PSH, Value.Psh ? 1 : 0);
  Tins::IP Ip(toTins(Value.Destination.Address), toTins(Value.Source.Address));
  Ip /= Tcp;
  if (!Value.Payload.empty()) {
    Ip /= Tins::RawPDU(Value.Payload);
  }
  return Ip.serialize();
}

Segment resetFor(const Segment &Value) {
  Segment Reset;
  Reset.Source = Value.Destination;
  Reset.Destination = Value.Source;
  Reset.Rst = true;
  if (Value.Ack) {
    Reset.Sequence = Value.Acknowledgment;
  } else {
    Reset.Ack = true;
    Reset.Acknowledgment = Value.next();
  }
  return Reset;
}

} // namespace mulberryhoist::standin
