#include "mulberryhoist/steer-wire.h"

#include <gtest/gtest.h>

#include "steer-samples.h"

namespace mulberryhoist {
namespace {

using namespace samples;
using std::chrono::milliseconds;

Steer makeFullSteer() {
  Steer Header;
  (void)Header.Services.add(OrderService);
  (void)Header.Services.add(TemplateService);
  while (Header.Next.add({0xFFFFFF00U, 65'535})) {
  }
  Header.Balancer = BalancerAddress;
  Header.Final = true;
  Header.Notify = true;
  Header.Slots = 4;
  Header.Goal = milliseconds(150);
  Header.Timeout = milliseconds(1000);
  Header.Class = 2;
  Header.LeastLoaded = {agentAddress(3), 2};
  Header.LeastLoad = 9;
  Header.Hops = 5;
  Header.Search = 0xFFFFFFFFU;
  Header.Incomplete = true;
  Header.KnownOnly = true;
  Header.Displaced = true;
  Header.Waited = milliseconds(1400);
  Header.ColdLimit = 35;
  Header.ColdLeft = milliseconds(1900);
  return Header;
}

// Guards against a field that is missing in the encoding, and against a longest
// list of candidates that does not fit into an envelope.
TEST(SteerWireTest, SteerKeepsItsFields) {
  SteerCodec Codec;
  const Steer From = makeFullSteer();
  const auto Encoded = Codec.encode(From, anyBytes());
  ASSERT_TRUE(Encoded.has_value());
  const std::vector<std::uint8_t> Bytes(Encoded->begin(), Encoded->end());
  const auto Decoded = Codec.decode(Bytes);
  ASSERT_TRUE(Decoded.has_value());
  const Steer &To = std::get<Steer>(Decoded->Body);
  EXPECT_TRUE(std::ranges::equal(To.Services.view(), From.Services.view()));
  EXPECT_TRUE(std::ranges::equal(To.Next.view(), From.Next.view()));
  EXPECT_EQ(To.Balancer, From.Balancer);
  EXPECT_TRUE(To.Final && To.Notify);
  EXPECT_EQ(To.Slots, From.Slots);
  EXPECT_EQ(To.Goal, From.Goal);
  EXPECT_EQ(To.Timeout, From.Timeout);
  EXPECT_EQ(To.Class, From.Class);
  EXPECT_EQ(To.LeastLoaded, From.LeastLoaded);
  EXPECT_EQ(To.LeastLoad, From.LeastLoad);
  EXPECT_EQ(To.Hops, From.Hops);
  EXPECT_EQ(To.Search, From.Search);
  EXPECT_TRUE(To.Incomplete && To.KnownOnly);
  EXPECT_TRUE(To.Displaced);
  EXPECT_EQ(To.Waited, From.Waited);
  EXPECT_EQ(To.ColdLimit, From.ColdLimit);
  EXPECT_EQ(To.ColdLeft, From.ColdLeft);
  EXPECT_EQ(Decoded->Packet.size(), anyBytes().size());
}

// Guards against a candidate that gets the cold time of another one, and
// against bytes for candidates that are warm.
TEST(SteerWireTest, CandidatesKeepTheirColdTimes) {
  SteerCodec Codec;
  Steer From;
  (void)From.Services.add(OrderService);
  (void)From.Next.add({agentAddress(2), 4});
  (void)From.Next.add({agentAddress(3), 4});
  const std::size_t WarmSize = Codec.encode(From, anyBytes())->size();
  From.Next = {};
  (void)From.Next.add({agentAddress(2), 4});
  (void)From.Next.add({agentAddress(3), 4, milliseconds(700)});
  const auto Encoded = Codec.encode(From, anyBytes());
  const std::vector<std::uint8_t> Bytes(Encoded->begin(), Encoded->end());
  EXPECT_GT(Bytes.size(), WarmSize);
  const auto Decoded = Codec.decode(Bytes);
  ASSERT_TRUE(Decoded.has_value());
  EXPECT_TRUE(std::ranges::equal(std::get<Steer>(Decoded->Body).Next.view(),
                                 From.Next.view()));
}

TEST(SteerWireTest, NoticesKeepTheirFields) {
  SteerCodec Codec;
  const Taken Notice = {{flowOf(9), 77}, 5, 3, true};
  const auto Encoded = Codec.encode(Notice);
  const std::vector<std::uint8_t> Bytes(Encoded->begin(), Encoded->end());
  const auto Decoded = Codec.decode(Bytes);
  ASSERT_TRUE(Decoded.has_value());
  const Taken &To = std::get<Taken>(Decoded->Body);
  EXPECT_EQ(To.Flow, Notice.Flow);
  EXPECT_EQ(To.Sequence, 5U);
  EXPECT_EQ(To.Load, 3U);
  EXPECT_TRUE(To.Leaving);
}

TEST(SteerWireTest, RefusalKeepsItsFlow) {
  SteerCodec Codec;
  const auto Encoded = Codec.encode(Refused{{flowOf(9), 77}});
  const std::vector<std::uint8_t> Bytes(Encoded->begin(), Encoded->end());
  const auto Decoded = Codec.decode(Bytes);
  ASSERT_TRUE(Decoded.has_value());
  EXPECT_EQ(std::get<Refused>(Decoded->Body).Flow,
            (FlowIncarnation{flowOf(9), 77}));
}

TEST(SteerWireTest, NotHeldKeepsItsSearchAndPacket) {
  SteerCodec Codec;
  const auto Encoded = Codec.encode(NotHeld{0xFFFFFFFEU, true}, anyBytes());
  const std::vector<std::uint8_t> Bytes(Encoded->begin(), Encoded->end());
  const auto Decoded = Codec.decode(Bytes);
  ASSERT_TRUE(Decoded.has_value());
  EXPECT_EQ(std::get<NotHeld>(Decoded->Body).Search, 0xFFFFFFFEU);
  EXPECT_TRUE(std::get<NotHeld>(Decoded->Body).Incomplete);
  EXPECT_TRUE(std::ranges::equal(Decoded->Packet, anyBytes()));
}

// Guards against a notice that no newer one could replace.
TEST(SteerWireTest, IntakeNoticeKeepsItsFieldsAndHasAKnownRevision) {
  constexpr auto Unknown = std::numeric_limits<std::uint64_t>::max();
  for (const SourceRevision &Revision :
       {SourceRevision(Unknown - 1), SourceRevision(Unknown),
        SourceRevision(5, 0), SourceRevision(5, Unknown)}) {
    SteerCodec Codec;
    const auto Encoded =
        Codec.encode(IntakeNotice{OrderService, Revision, true});
    const std::vector<std::uint8_t> Bytes(Encoded->begin(), Encoded->end());
    const auto Decoded = Codec.decode(Bytes);
    ASSERT_EQ(Decoded.has_value(),
              Revision.Number != Unknown && Revision.Era != Unknown);
    if (Decoded) {
      const auto &To = std::get<IntakeNotice>(Decoded->Body);
      EXPECT_EQ(To.Service, OrderService);
      EXPECT_EQ(To.Revision, Revision);
      EXPECT_TRUE(To.IsClosed);
    }
  }
}

TEST(SteerWireTest, DisplacedKeepsItsTimeAndPacket) {
  SteerCodec Codec;
  const auto Encoded = Codec.encode(Displaced{milliseconds(70)}, anyBytes());
  const std::vector<std::uint8_t> Bytes(Encoded->begin(), Encoded->end());
  const auto Decoded = Codec.decode(Bytes);
  ASSERT_TRUE(Decoded.has_value());
  EXPECT_EQ(std::get<Displaced>(Decoded->Body).Waited, milliseconds(70));
  EXPECT_TRUE(std::ranges::equal(Decoded->Packet, anyBytes()));
}

// Guards against crashes by malformed datagrams from arbitrary senders.
TEST(SteerWireTest, EveryTruncationIsATypedError) {
  SteerCodec Codec;
  const auto Encoded = Codec.encode(makeFullSteer(), anyBytes());
  const std::vector<std::uint8_t> Bytes(Encoded->begin(), Encoded->end());
  for (std::size_t Size = 0; Size + anyBytes().size() <= Bytes.size(); ++Size) {
    const auto Decoded = Codec.decode(PacketBytes(Bytes).first(Size));
    ASSERT_FALSE(Decoded.has_value()) << Size;
    EXPECT_EQ(Decoded.error().Kind, ErrorKind::MalformedMessage);
  }
}

TEST(SteerWireTest, MessageWithoutServiceOrSlotsIsMalformed) {
  SteerCodec Codec;
  for (const bool HasService : {false, true}) {
    Steer Header = makeFullSteer();
    if (HasService) {
      Header.Slots = 0;
    } else {
      Header.Services = {};
    }
    const auto Encoded = Codec.encode(Header, anyBytes());
    const std::vector<std::uint8_t> Bytes(Encoded->begin(), Encoded->end());
    EXPECT_FALSE(Codec.decode(Bytes).has_value());
  }
}

} // namespace
} // namespace mulberryhoist
