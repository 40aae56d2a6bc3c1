#include "mulberryhoist/wire.h"

#include <gtest/gtest.h>
#include <limits>
#include <rapidcheck/gtest.h>

#include "allocation-counter.h"

namespace mulberryhoist {
namespace {

constexpr auto Max32 = std::numeric_limits<std::uint32_t>::max();
constexpr auto Max64 = std::numeric_limits<std::uint64_t>::max();

const FlowKey LargeKey = {{Max32, 65535}, {Max32, 65535}};
const FlowIncarnation LargeFlow = {LargeKey, Max32};
const TableVersion LargeVersion = {Max32, Max64};

/// Compares two messages field by field.
bool same(const Message &A, const Message &B);

std::vector<std::uint8_t> copyOf(PacketBytes Bytes) {
  return {Bytes.begin(), Bytes.end()};
}

/// Every message once with the largest and once with the smallest values.
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

const std::vector<std::uint8_t> SomePacket(60, 0x45);

/// The packet that goes with a message: only `Forward` carries one.
PacketBytes packetFor(const Message &Body) {
  if (std::holds_alternative<Forward>(Body)) {
    return SomePacket;
  }
  return {};
}

template <typename T> auto tied(const T &Value);
template <> auto tied(const Forward &V) {
  return std::make_tuple(V.Opening, V.Service, V.Coordinator, V.Table,
                         V.Relayed, V.Adopt);
}
template <> auto tied(const Probe &V) { return std::make_tuple(V.Sequence); }
template <> auto tied(const ProbeReply &V) {
  return std::make_tuple(V.Sequence, V.Upstream, V.Draining, V.Load, V.Table);
}
template <> auto tied(const LoadQuery &V) {
  return std::make_tuple(V.Query, V.Service);
}
template <> auto tied(const LoadReply &V) {
  return std::make_tuple(V.Query, V.Upstream, V.Load, V.Room, V.Draining);
}
template <> auto tied(const OwnerNotice &V) {
  return std::make_tuple(V.Flow, V.Owner);
}
template <> auto tied(const Decline &V) {
  return std::make_tuple(V.Flow, V.Upstream, V.Reason);
}
template <> auto tied(const NotOwner &V) {
  return std::make_tuple(V.Key, V.Upstream);
}
template <> auto tied(const Locate &V) {
  return std::make_tuple(V.Key, V.Sequence, V.Acknowledgment);
}
template <> auto tied(const LocateReply &V) {
  return std::make_tuple(V.Flow, V.Upstream, V.Answer, V.Acknowledgment);
}

bool same(const Message &A, const Message &B) {
  return std::visit(
      [&B](const auto &Typed) {
        const auto *Other = std::get_if<std::decay_t<decltype(Typed)>>(&B);
        return Other != nullptr && tied(Typed) == tied(*Other);
      },
      A);
}

class RoundTripTest : public testing::TestWithParam<Message> {};

// Guards against a field that is lost or swapped on the way.
TEST_P(RoundTripTest, KeepsEveryField) {
  Codec Sender;
  Codec Receiver;
  const PacketBytes Packet = packetFor(GetParam());
  const auto Bytes = Sender.encode(GetParam(), Packet);
  ASSERT_TRUE(Bytes.has_value());
  // Section 2.6 counts about 80 bytes for a probe and its reply.
  EXPECT_LE(Bytes->size() - Packet.size(), 46U);
  const auto Back = Receiver.decode(*Bytes);
  ASSERT_TRUE(Back.has_value());
  EXPECT_TRUE(same(Back->Body, GetParam()));
  EXPECT_EQ(copyOf(Back->Packet), copyOf(Packet));
}

// Guards against a truncated message that is read as a whole one.
TEST_P(RoundTripTest, TruncationIsMalformedOrShorterPacket) {
  Codec Each;
  const PacketBytes Packet = packetFor(GetParam());
  const auto Bytes = copyOf(*Each.encode(GetParam(), Packet));
  for (std::size_t Size = 0; Size < Bytes.size(); ++Size) {
    const auto Back = Each.decode(PacketBytes(Bytes).first(Size));
    if (Size > Bytes.size() - Packet.size()) {
      ASSERT_TRUE(Back.has_value()) << Size;
      EXPECT_TRUE(same(Back->Body, GetParam()));
      EXPECT_LT(Back->Packet.size(), Packet.size());
    } else {
      ASSERT_FALSE(Back.has_value()) << Size;
      EXPECT_EQ(Back.error().Kind, ErrorKind::MalformedMessage);
    }
  }
}

// Guards against a damaged message that crashes the process or yields an enum
// value outside of its list.
TEST_P(RoundTripTest, BitFlipsGiveTypedErrorsOrValidMessages) {
  Codec Each;
  Codec Again;
  auto Bytes = copyOf(*Each.encode(GetParam(), packetFor(GetParam())));
  for (std::size_t Bit = 0; Bit < Bytes.size() * 8; ++Bit) {
    const auto Mask = static_cast<std::uint8_t>(1U << (Bit % 8));
    Bytes[Bit / 8] ^= Mask;
    const auto Back = Each.decode(Bytes);
    if (Back) {
      const auto Encoded = Again.encode(Back->Body, Back->Packet);
      ASSERT_TRUE(Encoded.has_value());
      EXPECT_TRUE(same(Again.decode(*Encoded)->Body, Back->Body));
    } else {
      EXPECT_TRUE(Back.error().Kind == ErrorKind::MalformedMessage ||
                  Back.error().Kind == ErrorKind::OversizedMessage);
    }
    Bytes[Bit / 8] ^= Mask;
  }
}

INSTANTIATE_TEST_SUITE_P(Messages, RoundTripTest,
                         testing::ValuesIn(allMessages()));

// Guards against reads outside of the input (the sanitizer build reports them).
RC_GTEST_PROP(WireProperty, SurvivesRandomBytes,
              (const std::vector<std::uint8_t> &Bytes)) {
  Codec Each;
  const auto Back = Each.decode(Bytes);
  const bool Typed = Back || Back.error().Kind == ErrorKind::MalformedMessage ||
                     Back.error().Kind == ErrorKind::OversizedMessage;
  RC_ASSERT(Typed);
}

struct InvalidRow {
  const char *Name;
  std::vector<std::uint8_t> Bytes;
  ErrorKind Kind;
};

class InvalidTest : public testing::TestWithParam<InvalidRow> {};

// Guards against messages whose values have no meaning in this version.
TEST_P(InvalidTest, IsTypedError) {
  Codec Each;
  const auto Back = Each.decode(GetParam().Bytes);
  ASSERT_FALSE(Back.has_value());
  EXPECT_EQ(Back.error().Kind, GetParam().Kind);
}

INSTANTIATE_TEST_SUITE_P(
    Envelopes, InvalidTest,
    testing::Values(
        InvalidRow{"NoBody", {0}, ErrorKind::MalformedMessage},
        InvalidRow{
            "PrefixTooLong",
            {0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF},
            ErrorKind::MalformedMessage},
        InvalidRow{
            "EnvelopeTooLarge", {0xFF, 0x7F}, ErrorKind::OversizedMessage},
        InvalidRow{"DatagramTooLarge",
                   std::vector<std::uint8_t>(MaxDatagramBytes + 1),
                   ErrorKind::OversizedMessage},
        // decline{flow{} reason: 5}
        InvalidRow{"UnknownReason",
                   {6, 0x3A, 4, 0x0A, 0, 0x18, 5},
                   ErrorKind::MalformedMessage},
        // locate_reply{flow{} answer: 3}
        InvalidRow{"UnknownAnswer",
                   {6, 0x52, 4, 0x0A, 0, 0x18, 3},
                   ErrorKind::MalformedMessage},
        // not_owner{flow{caller_port: 65536}}
        InvalidRow{"PortOutOfRange",
                   {8, 0x42, 6, 0x0A, 4, 0x10, 0x80, 0x80, 0x04},
                   ErrorKind::MalformedMessage},
        // locate{}
        InvalidRow{"NoFlow", {2, 0x4A, 0}, ErrorKind::MalformedMessage},
        // forward{} without a packet
        InvalidRow{"NoPacket", {2, 0x0A, 0}, ErrorKind::MalformedMessage},
        // probe{} with a packet
        InvalidRow{
            "StrayPacket", {2, 0x12, 0, 0x45}, ErrorKind::MalformedMessage}),
    [](const auto &Info) { return std::string(Info.param.Name); });

// Guards against rows of `InvalidTest` that fail for another reason.
TEST(WireTest, AcceptsTheSameBytesWithValidValues) {
  Codec Each;
  const std::vector<std::uint8_t> Reason = {6, 0x3A, 4, 0x0A, 0, 0x18, 4};
  const std::vector<std::uint8_t> Answer = {6, 0x52, 4, 0x0A, 0, 0x18, 2};
  EXPECT_TRUE(Each.decode(Reason).has_value());
  EXPECT_TRUE(Each.decode(Answer).has_value());
}

// Guards against an older process that drops messages of a newer one.
TEST(WireTest, IgnoresUnknownFields) {
  Codec Each;
  // probe{sequence: 1, field 15: 1}
  const std::vector<std::uint8_t> Bytes = {6, 0x12, 4, 0x08, 1, 0x78, 1};
  const auto Back = Each.decode(Bytes);
  ASSERT_TRUE(Back.has_value());
  EXPECT_TRUE(same(Back->Body, Probe{1}));
}

// Guards against datagrams that the receiver must reject.
TEST(WireTest, EncodesOnlyWhatIsAccepted) {
  Codec Each;
  const std::vector<std::uint8_t> Large(MaxDatagramBytes);
  EXPECT_EQ(Each.encode(Forward{}, Large).error().Kind,
            ErrorKind::OversizedMessage);
  EXPECT_EQ(Each.encode(Forward{}).error().Kind, ErrorKind::MalformedMessage);
  EXPECT_EQ(Each.encode(Probe{}, SomePacket).error().Kind,
            ErrorKind::MalformedMessage);
}

// Guards against allocations on the path of established packets.
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

// Guards against a counter that does not see allocations.
TEST(WireTest, CounterSeesAllocations) {
  const AllocationProbe Allocations;
  const auto Memory = std::make_unique<std::array<char, 100>>();
  EXPECT_NE(Memory, nullptr);
  EXPECT_GE(Allocations.count(), 1U);
}

} // namespace
} // namespace mulberryhoist
