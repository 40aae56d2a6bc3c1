#include "mulberryhoist/packet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <rapidcheck/gtest.h>

#include "accepted-inputs.h"
#include <tins/tins.h>

namespace mulberryhoist {
namespace {

constexpr std::size_t MaxPayload = 1400;

std::string addressText(Endpoint Value) {
  const std::string Text = formatEndpoint(Value);
  return Text.substr(0, Text.find(':'));
}

/// Generates an endpoint with an address in 127.0.0.0/8, since libtins looks up
/// an interface if the source is 0.0.0.0.
Endpoint anyEndpoint() {
  constexpr std::uint32_t Loopback = 127U << 24U;
  return {Loopback | (*rc::gen::arbitrary<std::uint32_t>() >> 8U),
          *rc::gen::arbitrary<std::uint16_t>()};
}

struct Generated {
  Tins::IP Ip;
  std::vector<std::uint8_t> Bytes;

  const Tins::TCP &tcp() const { return this->Ip.rfind_pdu<Tins::TCP>(); }
};

/// Generates a packet with random flags, options and payload through libtins.
Generated anyPacket() {
  const Endpoint From = anyEndpoint();
  const Endpoint To = anyEndpoint();
  Tins::TCP Tcp(To.Port, From.Port);
  Tcp.seq(*rc::gen::arbitrary<std::uint32_t>());
  Tcp.ack_seq(*rc::gen::arbitrary<std::uint32_t>());
  Tcp.flags(*rc::gen::arbitrary<std::uint8_t>());
  if (*rc::gen::arbitrary<bool>()) {
    Tcp.mss(1460);
    Tcp.sack_permitted();
  }
  const auto Size = *rc::gen::inRange<std::size_t>(0, MaxPayload);
  const auto Payload = *rc::gen::container<std::vector<std::uint8_t>>(
      Size, rc::gen::arbitrary<std::uint8_t>());
  Generated Packet;
  Packet.Ip = Tins::IP(addressText(To), addressText(From)) / Tcp;
  if (!Payload.empty()) {
    Packet.Ip /= Tins::RawPDU(Payload.data(), Size);
  }
  Packet.Bytes = Packet.Ip.serialize();
  return Packet;
}

// Guards against fields that are read at a wrong offset or in a wrong byte
// order.
RC_GTEST_PROP(PacketProperty, ParsesSameFieldsAsLibtins, ()) {
  const Generated Packet = anyPacket();
  const auto View = parsePacket(Packet.Bytes);
  RC_ASSERT(View.has_value());
  const Tins::TCP &Tcp = Packet.tcp();
  RC_ASSERT(addressText(View->Source) == Packet.Ip.src_addr().to_string());
  RC_ASSERT(addressText(View->Destination) == Packet.Ip.dst_addr().to_string());
  RC_ASSERT(View->Source.Port == Tcp.sport());
  RC_ASSERT(View->Destination.Port == Tcp.dport());
  RC_ASSERT(View->Sequence == Tcp.seq());
  RC_ASSERT(View->Acknowledgment == Tcp.ack_seq());
  RC_ASSERT(View->Flags.Syn == ((Tcp.flags() & Tins::TCP::SYN) != 0));
  RC_ASSERT(View->Flags.Ack == ((Tcp.flags() & Tins::TCP::ACK) != 0));
  RC_ASSERT(View->Flags.Fin == ((Tcp.flags() & Tins::TCP::FIN) != 0));
  RC_ASSERT(View->Flags.Rst == ((Tcp.flags() & Tins::TCP::RST) != 0));
  RC_ASSERT(View->Flags.Psh == ((Tcp.flags() & Tins::TCP::PSH) != 0));
  const auto *Raw = Packet.Ip.find_pdu<Tins::RawPDU>();
  const auto Expected =
      Raw == nullptr ? std::vector<std::uint8_t>() : Raw->payload();
  RC_ASSERT(std::equal(View->Payload.begin(), View->Payload.end(),
                       Expected.begin(), Expected.end()));
}

// Guards against a corrupted packet that is attributed to another flow.
RC_GTEST_PROP(PacketProperty, RejectsEveryTruncationAndBitFlip, ()) {
  std::vector<std::uint8_t> Bytes = anyPacket().Bytes;
  for (std::size_t Size = 0; Size < Bytes.size(); ++Size) {
    RC_ASSERT(!parsePacket(PacketBytes(Bytes).first(Size)).has_value());
  }
  for (std::size_t Bit = 0; Bit < Bytes.size() * 8; ++Bit) {
    const auto Mask = static_cast<std::uint8_t>(1U << (Bit % 8));
    Bytes[Bit / 8] ^= Mask;
    const auto View = parsePacket(Bytes);
    RC_ASSERT(!View.has_value());
    RC_ASSERT(View.error().Kind == ErrorKind::MalformedPacket);
    Bytes[Bit / 8] ^= Mask;
  }
}

/// Sets a TCP checksum (RFC 9293) in a packet without IPv4 options.
void setTcpChecksum(std::vector<std::uint8_t> &Bytes) {
  constexpr std::size_t Addresses = 12;
  constexpr std::size_t Segment = 20;
  constexpr std::size_t Checksum = Segment + 16;
  Bytes[Checksum] = Bytes[Checksum + 1] = 0;
  std::uint32_t Sum =
      IPPROTO_TCP + static_cast<std::uint32_t>(Bytes.size() - Segment);
  for (std::size_t I = Addresses; I < Bytes.size(); ++I) {
    Sum += static_cast<std::uint32_t>(Bytes[I]) << (I % 2 == 0 ? 8U : 0U);
  }
  while (Sum > 0xFFFFU) {
    Sum = (Sum & 0xFFFFU) + (Sum >> 16U);
  }
  Bytes[Checksum] = static_cast<std::uint8_t>(~Sum >> 8U);
  Bytes[Checksum + 1] = static_cast<std::uint8_t>(~Sum);
}

// Guards against reads outside the input (the sanitizer build reports them).
TEST(PacketProperty, SurvivesRandomBytes) {
  checkWithAcceptedInputs([] {
    auto Bytes = *rc::gen::container<std::vector<std::uint8_t>>(
        anyBelow(100), rc::gen::arbitrary<std::uint8_t>());
    (void)parsePacket(Bytes);
    constexpr std::size_t DataOffset = 12;
    if (Bytes.size() > DataOffset && *rc::gen::arbitrary<bool>()) {
      Bytes[DataOffset] = 0x50; // No options.
    }
    // With a valid IPv4 header and valid checksums, all checks are reached.
    Tins::IP Ip = Tins::IP("127.0.0.1", "127.0.0.2") / Tins::RawPDU(Bytes);
    Ip.protocol(IPPROTO_TCP);
    auto Packet = Ip.serialize();
    constexpr std::size_t ShortestPacket = 40;
    if (Packet.size() >= ShortestPacket) {
      setTcpChecksum(Packet);
    }
    return parsePacket(Packet).has_value();
  });
}

struct MalformedRow {
  const char *Name;
  Tins::IP (*Make)();
};

Tins::IP plainPacket() {
  return Tins::IP("127.0.0.1", "127.0.0.2") / Tins::TCP(80, 4000);
}

Tins::IP firstFragment() {
  Tins::IP Ip = plainPacket();
  Ip.flags(Tins::IP::MORE_FRAGMENTS);
  return Ip;
}

Tins::IP laterFragment() {
  Tins::IP Ip = plainPacket();
  Ip.fragment_offset(1);
  return Ip;
}

Tins::IP udpPacket() {
  return Tins::IP("127.0.0.1", "127.0.0.2") / Tins::UDP(80, 4000);
}

Tins::IP headerOnly() { return {"127.0.0.1", "127.0.0.2"}; }

Tins::IP wrongDataOffset() {
  // libtins computes the offset itself, so the segment is written as bytes.
  auto Segment = plainPacket().rfind_pdu<Tins::TCP>().serialize();
  constexpr std::size_t OffsetField = 12;
  Segment[OffsetField] = 0x40;
  Tins::IP Ip = headerOnly() / Tins::RawPDU(Segment);
  Ip.protocol(IPPROTO_TCP);
  return Ip;
}

class MalformedTest : public testing::TestWithParam<MalformedRow> {};

// Guards against accepting a packet with a valid IPv4 header that holds no
// complete TCP segment.
TEST_P(MalformedTest, IsRejected) {
  const auto View = parsePacket(GetParam().Make().serialize());
  ASSERT_FALSE(View.has_value());
  EXPECT_EQ(View.error().Kind, ErrorKind::MalformedPacket);
}

INSTANTIATE_TEST_SUITE_P(
    Packets, MalformedTest,
    testing::Values(MalformedRow{"FirstFragment", firstFragment},
                    MalformedRow{"LaterFragment", laterFragment},
                    MalformedRow{"Udp", udpPacket},
                    MalformedRow{"HeaderOnly", headerOnly},
                    MalformedRow{"WrongDataOffset", wrongDataOffset}),
    [](const auto &Info) { return std::string(Info.param.Name); });

// Guards against accepting bytes beyond the total length of the packet.
TEST(PacketTest, RejectsTrailingBytes) {
  auto Bytes = plainPacket().serialize();
  ASSERT_TRUE(parsePacket(Bytes).has_value());
  Bytes.push_back(0);
  EXPECT_FALSE(parsePacket(Bytes).has_value());
}

// Guards against a refusal that the caller's TCP ignores, see RFC 9293, 3.10.7.
RC_GTEST_PROP(PacketProperty, ResetFollowsRfc9293, ()) {
  const Generated Packet = anyPacket();
  const auto View = parsePacket(Packet.Bytes);
  RC_ASSERT(View.has_value());
  const ResetPacket Reset = makeResetFor(*View);
  RC_ASSERT(parsePacket(Reset).has_value());

  Tins::IP Ip(Reset.data(), Reset.size());
  const auto &Tcp = Ip.rfind_pdu<Tins::TCP>();
  RC_ASSERT(Ip.src_addr() == Packet.Ip.dst_addr());
  RC_ASSERT(Ip.dst_addr() == Packet.Ip.src_addr());
  RC_ASSERT(Tcp.sport() == Packet.tcp().dport());
  RC_ASSERT(Tcp.dport() == Packet.tcp().sport());
  if (View->Flags.Ack) {
    RC_ASSERT(Tcp.flags() == Tins::TCP::RST);
    RC_ASSERT(Tcp.seq() == View->Acknowledgment);
  } else {
    RC_ASSERT(Tcp.flags() == (Tins::TCP::RST | Tins::TCP::ACK));
    RC_ASSERT(Tcp.seq() == 0U);
    RC_ASSERT(Tcp.ack_seq() == View->nextSequence());
  }
  // libtins recomputes both checksums when it serializes the packet.
  const auto Rewritten = Ip.serialize();
  RC_ASSERT(std::equal(Reset.begin(), Reset.end(), Rewritten.begin(),
                       Rewritten.end()));
}

// Guards against a reset with wrong endpoints or a wrong sequence number.
TEST(PacketTest, MakesResetAtSequence) {
  const Endpoint Service = {0x7F000001, 443};
  const Endpoint Caller = {0x7F000002, 5000};
  const ResetPacket Reset = makeReset(Service, Caller, 0xFFFFFFFF);
  const auto View = parsePacket(Reset);
  ASSERT_TRUE(View.has_value());
  EXPECT_EQ(View->upstreamFlow(), (FlowKey{Caller, Service}));
  EXPECT_EQ(View->Sequence, 0xFFFFFFFF);
  EXPECT_TRUE(View->Flags.Rst);
  EXPECT_FALSE(View->Flags.Ack);
}

} // namespace
} // namespace mulberryhoist
