#include "mulberryhoist/steering-agent-data.h"

#include <gtest/gtest.h>

#include <climits>
#include <thread>

#include "packet-codec.h"
#include "standin/host.h"
#include "steer-samples.h"

namespace mulberryhoist {
namespace {

using namespace samples;
using platform::PlatformFormat;
using standin::pollUntil;

constexpr std::uint32_t BalancerVm = 0x7F000001;
constexpr std::uint32_t AgentVm = 0x7F000002;
constexpr std::uint32_t NextVm = 0x7F000003;

constexpr std::uint8_t SynFlag = 16;
constexpr std::uint8_t AckFlag = 32;

/// Returns a packet between a caller at `BalancerVm` and the route 198.18.0.1:1
/// with these flags.
std::vector<std::uint8_t> packetBytes(std::uint8_t Flags, bool IsFromCaller) {
  std::vector<std::uint8_t> Bytes(platform::HeaderBytes);
  Bytes[8] = Flags;
  const std::array<std::uint8_t, 4> Caller = {127, 0, 0, 1};
  const std::array<std::uint8_t, 4> Route = {198, 18, 0, 1};
  std::ranges::copy(IsFromCaller ? Route : Caller, Bytes.begin() + 16);
  std::ranges::copy(IsFromCaller ? Caller : Route, Bytes.begin() + 24);
  Bytes[21] = Bytes[23] = 1;
  return Bytes;
}

struct ReplacementRow {
  std::string Name;
  Duration AddressReuse = std::chrono::seconds(2);
  /// At which read of the settings the address has gone to another service.
  std::optional<int> ReplacedAt{};
  /// Whether the upstream sends a packet before the opening.
  bool HasSpoken = false;
  bool IsDelivered = false;
  int Refreshes = 0;
  /// Whether the caller gets the upstream's answer to the opening.
  bool IsAnswered = false;
};

class UpstreamReplacementTest : public testing::TestWithParam<ReplacementRow> {
protected:
  static DatagramSocket bound(std::uint32_t Address, std::uint16_t Port = 0) {
    return std::move(*DatagramSocket::create({Address, Port}));
  }

  void start() {
    SteeringAgentDataSettings Settings;
    Settings.Peers = {AgentVm, this->Balancer.address().Port};
    Settings.FromUpstream = {AgentVm, 0};
    Settings.Upstream = this->Upstream.address();
    Settings.Service = OrderService;
    Settings.CallerPort = this->Balancer.address().Port;
    Settings.AddressReuse = GetParam().AddressReuse;
    Settings.RefreshUpstream = [this] {
      if (++this->Refreshes >= GetParam().ReplacedAt.value_or(INT_MAX)) {
        this->Data->setUpstream(TemplateService, this->Upstream.address());
      }
    };
    auto Created =
        SteeringAgentData<PlatformFormat>::create(Settings, this->Registry);
    ASSERT_TRUE(Created.has_value()) << Created.error().Detail;
    this->Data = std::move(*Created);
    this->Thread = std::jthread([this](const std::stop_token &Stop) {
      EXPECT_TRUE(this->Data->run(Stop).has_value());
    });
  }

  /// Sends a packet of the upstream with these flags to the caller.
  void speak(std::uint8_t Flags) {
    ASSERT_TRUE(this->Upstream.send(this->Data->fromUpstreamAddress(),
                                    packetBytes(Flags, false)));
  }

  /// Returns the flags of the next packet that the caller gets. Messages to the
  /// balancer arrive at the same socket and are skipped.
  std::uint8_t awaitCallerPacket() {
    std::uint8_t Flags = 0;
    EXPECT_TRUE(pollUntil([&] {
      while (const auto Received = this->Balancer.receive()) {
        const auto Packet = PlatformFormat::parse(Received->Bytes);
        if (Packet) {
          Flags = Received->Bytes[8];
          return true;
        }
      }
      return false;
    }));
    return Flags;
  }

  /// Sends the agent an opening for the orders, which it may pass on.
  void open() {
    Steer Header;
    (void)Header.Services.add(OrderService);
    (void)Header.Next.add({NextVm, 4});
    Header.Balancer = BalancerVm;
    Header.Slots = 4;
    const auto Message = this->Codec.encode(Header, packetBytes(SynFlag, true));
    ASSERT_TRUE(this->Balancer.send(this->Data->peersAddress(), *Message));
  }

  DatagramSocket Balancer = bound(BalancerVm);
  DatagramSocket Next = bound(NextVm, Balancer.address().Port);
  DatagramSocket Upstream = bound(AgentVm);
  SteerCodec Codec;
  prometheus::Registry Registry;
  std::atomic<int> Refreshes{0};
  std::unique_ptr<SteeringAgentData<PlatformFormat>> Data;
  std::jthread Thread;
};

// Guards against openings that the upstream of another service runs: it gets
// the address of one that has ended, and the agent reads its settings only four
// times a second (review case 8).
TEST_P(UpstreamReplacementTest, OpeningReachesOnlyTheUpstreamOfItsService) {
  this->start();
  if (GetParam().HasSpoken) {
    this->speak(AckFlag);
    EXPECT_EQ(this->awaitCallerPacket(), AckFlag);
  }
  this->open();
  std::optional<bool> IsDelivered;
  ASSERT_TRUE(pollUntil([&] {
    if (this->Upstream.receive()) {
      IsDelivered = true;
    } else if (this->Next.receive()) {
      IsDelivered = false;
    }
    return IsDelivered.has_value();
  }));
  EXPECT_EQ(*IsDelivered, GetParam().IsDelivered);
  EXPECT_EQ(this->Refreshes, GetParam().Refreshes);
  if (GetParam().IsDelivered) {
    this->speak(SynFlag | AckFlag);
    this->speak(AckFlag);
    EXPECT_EQ(this->awaitCallerPacket(),
              GetParam().IsAnswered ? SynFlag | AckFlag : AckFlag);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Rows, UpstreamReplacementTest,
    testing::Values(
        ReplacementRow{.Name = "sameService",
                       .IsDelivered = true,
                       .Refreshes = 1,
                       .IsAnswered = true},
        ReplacementRow{.Name = "otherService", .ReplacedAt = 1, .Refreshes = 1},
        // The address changes hands after the read, and before the opening
        // arrives there.
        ReplacementRow{.Name = "otherServiceMeanwhile",
                       .ReplacedAt = 2,
                       .IsDelivered = true,
                       .Refreshes = 1},
        // The first packet after a silence may be of the other service, too.
        ReplacementRow{.Name = "otherServiceHasSpoken",
                       .AddressReuse = std::chrono::minutes(1),
                       .ReplacedAt = 1,
                       .HasSpoken = true,
                       .Refreshes = 1},
        // An upstream that answers costs no further reads.
        ReplacementRow{.Name = "sameServiceHasSpoken",
                       .AddressReuse = std::chrono::minutes(1),
                       .HasSpoken = true,
                       .IsDelivered = true,
                       .Refreshes = 1,
                       .IsAnswered = true}),
    [](const auto &Info) { return Info.param.Name; });

} // namespace
} // namespace mulberryhoist
