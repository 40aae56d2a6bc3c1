#include "mulberryhoist/wire.h"

#include <gtest/gtest.h>
#include <limits>

#include "accepted-inputs.h"
#include "allocation-counter.h"

namespace mulberryhoist {
namespace {

constexpr auto Max32 = std::numeric_limits<std::uint32_t>::max();
constexpr auto Max64 = std::numeric_limits<std::uint64_t>::max();

const FlowKey LargeKey = {{Max32, 65535}, {Max32, 65535}};
const FlowIncarnation LargeFlow = {LargeKey, Max32};
const TableVersion LargeVersion = {Max32, Max64};

/// Compares two messages field by field.
bool equalFields(const Message &A, const Message &B);

std::vector<std::uint8_t> toVector(PacketBytes Bytes) {
  return {Bytes.begin(), Bytes.end()};
}

/// Returns every message type with the smallest and with the largest values.
std::vector<Message> allMessages() {
  return {
      Forward{},
      Forward{true, {Max32}, {Max32}, LargeVersion, true, true},
      Probe{},
      Probe{Max64},
      ProbeReply{},
      ProbeReply{Max64, {Max32}, true, Max32, LargeVersion},
      LoadQuery{},
      LoadQuery{Max64, {Max32}},
      LoadReply{},
      LoadReply{Max64, {Max32}, Max32, true, true},
      OwnerNotice{},
      OwnerNotice{LargeFlow, {Max32}},
      Decline{},
      Decline{LargeFlow, {Max32}, DeclineReason::AlreadyRefused},
      NotOwner{},
      NotOwner{LargeKey, {Max32}},
      Locate{},
      Locate{LargeKey, Max32, Max32},
      LocateReply{},
      LocateReply{LargeFlow, {Max32}, OwnerAnswer::Maybe, Max32},
      LocateReply{LargeFlow, {Max32}, OwnerAnswer::Owns, Max32},
  };
}

const std::vector<std::uint8_t> SamplePacket(60, 0x45);

/// Returns the packet for a message: only `Forward` carries one.
PacketBytes packetFor(const Message &Body) {
  if (std::holds_alternative<Forward>(Body)) {
    return SamplePacket;
  }
  return {};
}

template <typename T> auto fieldsOf(const T &Value);
template <> auto fieldsOf(const Forward &V) {
  return std::make_tuple(V.Opening, V.Service, V.Coordinator, V.Table,
                         V.Relayed, V.Adopt);
}
template <> auto fieldsOf(const Probe &V) {
  return std::make_tuple(V.Sequence);
}
template <> auto fieldsOf(const ProbeReply &V) {
  return std::make_tuple(V.Sequence, V.Upstream, V.Draining, V.Load, V.Table);
}
template <> auto fieldsOf(const LoadQuery &V) {
  return std::make_tuple(V.Query, V.Service);
}
template <> auto fieldsOf(const LoadReply &V) {
  return std::make_tuple(V.Query, V.Upstream, V.Load, V.Room, V.Draining);
}
template <> auto fieldsOf(const OwnerNotice &V) {
  return std::make_tuple(V.Flow, V.Owner);
}
template <> auto fieldsOf(const Decline &V) {
  return std::make_tuple(V.Flow, V.Upstream, V.Reason);
}
template <> auto fieldsOf(const NotOwner &V) {
  return std::make_tuple(V.Key, V.Upstream);
}
template <> auto fieldsOf(const Locate &V) {
  return std::make_tuple(V.Key, V.Sequence, V.Acknowledgment);
}
template <> auto fieldsOf(const LocateReply &V) {
  return std::make_tuple(V.Flow, V.Upstream, V.Answer, V.Acknowledgment);
}

bool equalFields(const Message &A, const Message &B) {
  return std::visit(
      [&B](const auto &Typed) {
        const auto *Other = std::get_if<std::decay_t<decltype(Typed)>>(&B);
        return Other != nullptr && fieldsOf(Typed) == fieldsOf(*Other);
      },
      A);
}

class RoundTripTest : public testing::TestWithParam<Message> {};

// Guards against a field that is lost or swapped by the codec.
TEST_P(RoundTripTest, KeepsEveryField) {
  Codec Sender;
  Codec Receiver;
  const PacketBytes Packet = packetFor(GetParam());
  const auto Bytes = Sender.encode(GetParam(), Packet);
  ASSERT_TRUE(Bytes.has_value());
  // The bandwidth estimate allows about 80 bytes for a probe and its reply.
  EXPECT_LE(Bytes->size() - Packet.size(), 46U);
  const auto Decoded = Receiver.decode(*Bytes);
  ASSERT_TRUE(Decoded.has_value());
  EXPECT_TRUE(equalFields(Decoded->Body, GetParam()));
  EXPECT_EQ(toVector(Decoded->Packet), toVector(Packet));
}

// Guards against a truncated message that is accepted as a complete one.
TEST_P(RoundTripTest, TruncationIsMalformedOrShorterPacket) {
  Codec TestCodec;
  const PacketBytes Packet = packetFor(GetParam());
  const auto Bytes = toVector(*TestCodec.encode(GetParam(), Packet));
  for (std::size_t Size = 0; Size < Bytes.size(); ++Size) {
    const auto Decoded = TestCodec.decode(PacketBytes(Bytes).first(Size));
    if (Size > Bytes.size() - Packet.size()) {
      ASSERT_TRUE(Decoded.has_value()) << Size;
      EXPECT_TRUE(equalFields(Decoded->Body, GetParam()));
      EXPECT_LT(Decoded->Packet.size(), Packet.size());
    } else {
      ASSERT_FALSE(Decoded.has_value()) << Size;
      EXPECT_EQ(Decoded.error().Kind, ErrorKind::MalformedMessage);
    }
  }
}

// Guards against a corrupted message that crashes the process or decodes to an
// unknown enumerator.
TEST_P(RoundTripTest, BitFlipsGiveTypedErrorsOrValidMessages) {
  Codec TestCodec;
  Codec SecondCodec;
  auto Bytes = toVector(*TestCodec.encode(GetParam(), packetFor(GetParam())));
  for (std::size_t Bit = 0; Bit < Bytes.size() * 8; ++Bit) {
    const auto Mask = static_cast<std::uint8_t>(1U << (Bit % 8));
    Bytes[Bit / 8] ^= Mask;
    const auto Decoded = TestCodec.decode(Bytes);
    if (Decoded) {
      const auto Encoded = SecondCodec.encode(Decoded->Body, Decoded->Packet);
      ASSERT_TRUE(Encoded.has_value());
      EXPECT_TRUE(
          equalFields(SecondCodec.decode(*Encoded)->Body, Decoded->Body));
    } else {
      EXPECT_TRUE(Decoded.error().Kind == ErrorKind::MalformedMessage ||
                  Decoded.error().Kind == ErrorKind::OversizedMessage);
    }
    Bytes[Bit / 8] ^= Mask;
  }
}

INSTANTIATE_TEST_SUITE_P(Messages, RoundTripTest,
                         testing::ValuesIn(allMessages()));

/// Returns a message with up to two bytes replaced.
std::vector<std::uint8_t> anyMessage() {
  const Message Body = *rc::gen::elementOf(allMessages());
  Codec TestCodec;
  auto Bytes = toVector(*TestCodec.encode(Body, packetFor(Body)));
  for (std::size_t I = anyBelow(3); I > 0; --I) {
    Bytes[anyBelow(Bytes.size())] = *rc::gen::arbitrary<std::uint8_t>();
  }
  return Bytes;
}

// Guards against reads outside the input, which the sanitizer build reports.
TEST(WireProperty, SurvivesRandomBytes) {
  checkWithAcceptedInputs([] {
    Codec TestCodec;
    const auto IsDecoded = [&TestCodec](const auto &Bytes) {
      const auto Decoded = TestCodec.decode(Bytes);
      const bool Typed = Decoded ||
                         Decoded.error().Kind == ErrorKind::MalformedMessage ||
                         Decoded.error().Kind == ErrorKind::OversizedMessage;
      RC_ASSERT(Typed);
      return Decoded.has_value();
    };
    (void)IsDecoded(*rc::gen::arbitrary<std::vector<std::uint8_t>>());
    return IsDecoded(anyMessage());
  });
}

struct InvalidCase {
  const char *Name;
  std::vector<std::uint8_t> Bytes;
  ErrorKind Kind;
};

class InvalidTest : public testing::TestWithParam<InvalidCase> {};

// Guards against messages with values that this version does not define.
TEST_P(InvalidTest, IsTypedError) {
  Codec TestCodec;
  const auto Decoded = TestCodec.decode(GetParam().Bytes);
  ASSERT_FALSE(Decoded.has_value());
  EXPECT_EQ(Decoded.error().Kind, GetParam().Kind);
}

INSTANTIATE_TEST_SUITE_P(
    Envelopes, InvalidTest,
    testing::Values(
        InvalidCase{"NoBody", {0}, ErrorKind::MalformedMessage},
        InvalidCase{
            "PrefixTooLong",
            {0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF},
            ErrorKind::MalformedMessage},
        InvalidCase{
            "EnvelopeTooLarge", {0xFF, 0x7F}, ErrorKind::OversizedMessage},
        InvalidCase{"DatagramTooLarge",
                    std::vector<std::uint8_t>(MaxDatagramBytes + 1),
                    ErrorKind::OversizedMessage},
        // decline{flow{} reason: 5}
        InvalidCase{"UnknownReason",
                    {6, 0x3A, 4, 0x0A, 0, 0x18, 5},
                    ErrorKind::MalformedMessage},
        // locate_reply{flow{} answer: 3}
        InvalidCase{"UnknownAnswer",
                    {6, 0x52, 4, 0x0A, 0, 0x18, 3},
                    ErrorKind::MalformedMessage},
        // not_owner{flow{caller_port: 65536}}
        InvalidCase{"PortOutOfRange",
                    {8, 0x42, 6, 0x0A, 4, 0x10, 0x80, 0x80, 0x04},
                    ErrorKind::MalformedMessage},
        // locate{}
        InvalidCase{"NoFlow", {2, 0x4A, 0}, ErrorKind::MalformedMessage},
        // forward{} without a packet
        InvalidCase{"NoPacket", {2, 0x0A, 0}, ErrorKind::MalformedMessage},
        // probe{} with a packet
        InvalidCase{
            "StrayPacket", {2, 0x12, 0, 0x45}, ErrorKind::MalformedMessage}),
    [](const auto &Info) { return std::string(Info.param.Name); });

// Guards against cases of `InvalidTest` that fail for another reason than the
// invalid value.
TEST(WireTest, AcceptsTheSameBytesWithValidValues) {
  Codec TestCodec;
  const std::vector<std::uint8_t> Reason = {6, 0x3A, 4, 0x0A, 0, 0x18, 4};
  const std::vector<std::uint8_t> Answer = {6, 0x52, 4, 0x0A, 0, 0x18, 2};
  EXPECT_TRUE(TestCodec.decode(Reason).has_value());
  EXPECT_TRUE(TestCodec.decode(Answer).has_value());
}

// Guards against an older process that rejects messages of a newer one.
TEST(WireTest, IgnoresUnknownFields) {
  Codec TestCodec;
  // probe{sequence: 1, field 15: 1}
  const std::vector<std::uint8_t> Bytes = {6, 0x12, 4, 0x08, 1, 0x78, 1};
  const auto Decoded = TestCodec.decode(Bytes);
  ASSERT_TRUE(Decoded.has_value());
  EXPECT_TRUE(equalFields(Decoded->Body, Probe{1}));
}

// Guards against encoding datagrams that the receiver must reject.
TEST(WireTest, EncodesOnlyWhatIsAccepted) {
  Codec TestCodec;
  const std::vector<std::uint8_t> Large(MaxDatagramBytes);
  EXPECT_EQ(TestCodec.encode(Forward{}, Large).error().Kind,
            ErrorKind::OversizedMessage);
  EXPECT_EQ(TestCodec.encode(Forward{}).error().Kind,
            ErrorKind::MalformedMessage);
  EXPECT_EQ(TestCodec.encode(Probe{}, SamplePacket).error().Kind,
            ErrorKind::MalformedMessage);
}

// Guards against allocations while packets of established flows are forwarded.
TEST(WireTest, WarmForwardAllocatesNothing) {
  Codec Sender;
  Codec Receiver;
  const std::vector<std::uint8_t> Packet(1500, 0x45);
  const Message Body = Forward{false, {7}, {9}, LargeVersion, true, false};
  const auto RoundTrip = [&] {
    const auto Bytes = Sender.encode(Body, Packet);
    return Bytes && Receiver.decode(*Bytes).has_value();
  };
  ASSERT_TRUE(RoundTrip());
  constexpr int Packets = 1000;
  int Passed = 0;
  const AllocationProbe Allocations;
  for (int I = 0; I < Packets; ++I) {
    Passed += RoundTrip() ? 1 : 0;
  }
  EXPECT_EQ(Allocations.count(), 0U);
  EXPECT_EQ(Passed, Packets);
}

// Guards against a counter that misses allocations, so that the test above
// always passes.
TEST(WireTest, CounterSeesAllocations) {
  const AllocationProbe Allocations;
  const auto Memory = std::make_unique<std::array<char, 100>>();
  EXPECT_NE(Memory, nullptr);
  EXPECT_GE(Allocations.count(), 1U);
}

} // namespace
} // namespace mulberryhoist
