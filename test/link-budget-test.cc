#include "mulberryhoist/link-budget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

#include "steer-samples.h"

namespace mulberryhoist {
namespace {

using namespace samples;
using std::chrono::milliseconds;

constexpr std::uint64_t ThinLink = 1'500'000;   // 12 Mbit/s
constexpr std::uint64_t LargeLink = 25'000'000; // 200 Mbit/s
constexpr std::uint32_t PacketData = 1200;

const RouteTerms Uploads = {{1, 80}, milliseconds(800), milliseconds(6000), 2};
const RouteTerms Lookups = {{2, 80}, milliseconds(300), milliseconds(2500), 0};
const RouteTerms Streams = {{3, 80}, milliseconds(250), milliseconds(2000), 1};

/// Plays requests against a budget on a link that serves flows in turn, one
/// packet each.
struct Link {
  LinkBudget Budget;
  std::uint64_t Rate;
  Instant Now = Instant(std::chrono::hours(1));
  std::uint32_t NextFlow = 1;
  /// The requests that are being sent and the bytes that they still have.
  std::vector<std::pair<FlowKey, std::uint32_t>> Sending;
  std::vector<std::uint32_t> Sizes;
  Duration Unused{};

  explicit Link(std::uint64_t BytesPerSecond, std::uint64_t Actual)
      : Budget(BytesPerSecond), Rate(Actual) {}

  bool open(const RouteTerms &Terms, std::uint32_t Size, bool IsCopy = false) {
    const FlowKey Flow = {{this->NextFlow++, 1}, Terms.Address};
    const bool IsAccepted =
        this->Budget.admit(Flow, 0, Terms, IsCopy, this->Now);
    if (IsAccepted) {
      this->Sending.emplace_back(Flow, Size);
      this->Sizes.push_back(Size);
    }
    return IsAccepted;
  }

  void send(const FlowKey &Flow, std::uint32_t Sequence, std::uint32_t Length,
            std::uint32_t Acknowledgment) {
    static const std::vector<std::uint8_t> Data(PacketData);
    PacketView View;
    View.Sequence = Sequence;
    View.Acknowledgment = Acknowledgment;
    View.Flags.Ack = true;
    View.Payload = std::span(Data).first(Length);
    this->Budget.onPacket(Flow, View, 32 + Length, this->Now);
    this->Budget.onSent(32 + Length, this->Now);
  }

  void run(Duration Span) {
    this->Unused += Span;
    const auto PerPacket =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
            1300.0 / static_cast<double>(this->Rate)));
    const Instant End = this->Now + Span;
    while (this->Unused >= PerPacket && !this->Sending.empty()) {
      this->Unused -= PerPacket;
      this->Now = std::max(this->Now, End - this->Unused);
      auto [Flow, Left] = this->Sending.front();
      const std::uint32_t Size = this->Sizes.front();
      this->Sending.erase(this->Sending.begin());
      this->Sizes.erase(this->Sizes.begin());
      const std::uint32_t Length = std::min(Left, PacketData);
      this->send(Flow, 1 + Size - Left, Length, 7);
      if (Left > Length) {
        this->Sending.emplace_back(Flow, Left - Length);
        this->Sizes.push_back(Size);
      } else {
        this->send(Flow, 1 + Size, 0, 8); // The response was acknowledged.
      }
    }
    if (this->Sending.empty()) {
      this->Unused = {};
    }
    this->Now = End;
  }

  /// Opens requests at even intervals; returns how many were refused.
  int load(const RouteTerms &Terms, std::uint32_t Size, int PerSecond,
           milliseconds Span) {
    int Refused = 0;
    const Duration Interval = Duration(std::chrono::seconds(1)) / PerSecond;
    for (Duration At{}; At < Span; At += Interval) {
      Refused += this->open(Terms, Size) ? 0 : 1;
      Refused += this->open(Lookups, 900) ? 0 : 1000;
      Refused += this->open(Streams, 100) ? 0 : 1000;
      this->run(Interval);
    }
    return Refused;
  }

  double estimatedWait() const {
    return this->Budget.figures(this->Now).InFlight /
           static_cast<double>(this->Rate);
  }
};

struct ReplayRow {
  const char *Load;
  std::uint64_t SettingsRate;
  std::uint64_t ActualRate;
  std::uint32_t Size;
  int PerSecond;
  milliseconds Span;
  int LeastRefused;
  int MostRefused;
};

class LinkReplayTest : public testing::TestWithParam<ReplayRow> {};

// Guards against uploads that fill a thin link, and against refusals where
// there is room: 12 Mbit/s carry 17 uploads of 80 kB a second.
TEST_P(LinkReplayTest, RefusesWhatTheLinkCannotCarry) {
  const ReplayRow &Row = GetParam();
  Link Played(Row.SettingsRate, Row.ActualRate);
  ASSERT_TRUE(Played.open(Uploads, Row.Size)); // Its size is learned.
  Played.run(std::chrono::seconds(10));
  const int Refused = Played.load(Uploads, Row.Size, Row.PerSecond, Row.Span);
  EXPECT_GE(Refused, Row.LeastRefused) << Row.Load;
  EXPECT_LE(Refused, Row.MostRefused) << Row.Load;
  // After the load, the same route is accepted again at once.
  Played.run(std::chrono::seconds(10));
  EXPECT_TRUE(Played.open(Uploads, Row.Size)) << Row.Load;
  EXPECT_FALSE(Played.Budget.isRefusing(Played.Now)) << Row.Load;
}

constexpr milliseconds Burst{6000};
INSTANTIATE_TEST_SUITE_P(
    Loads, LinkReplayTest,
    testing::Values(ReplayRow{"usual uploads, thin link", ThinLink, ThinLink,
                              80'000, 7, Burst, 0, 0},
                    ReplayRow{"burst of uploads, thin link: 30 a second for 17",
                              ThinLink, ThinLink, 80'000, 30, Burst, 60, 110},
                    ReplayRow{"burst of uploads, large link", LargeLink,
                              LargeLink, 80'000, 60, Burst, 0, 0},
                    ReplayRow{"burst of uploads, link rate not known", 0,
                              ThinLink, 80'000, 30, Burst, 0, 0},
                    ReplayRow{"requests of one window, thin link", ThinLink,
                              ThinLink, 19'000, 60, Burst, 0, 0},
                    ReplayRow{"transfers of 480 kB: two a second for three",
                              ThinLink, ThinLink, 480'000, 2, Burst, 0, 6}),
    [](const auto &Each) { return "Row" + std::to_string(Each.index); });

// Guards against a route that waits for ever behind others: its only transfer
// is accepted however much is under way.
TEST(LinkBudgetTest, EachRouteHasOneTransfer) {
  RouteTerms Giant = Uploads;
  Giant.Address.Port = 81;
  Link Played(ThinLink, ThinLink);
  for (const auto &[Terms, Size] :
       {std::pair(Uploads, 80'000U), std::pair(Giant, 2'000'000U)}) {
    ASSERT_TRUE(Played.open(Terms, Size));
    Played.run(std::chrono::seconds(5));
  }
  while (Played.open(Uploads, 80'000)) {
  }
  EXPECT_TRUE(Played.open(Giant, 2'000'000));
  EXPECT_FALSE(Played.open(Giant, 2'000'000));
}

// Guards against a reset of a flow that another balancer has sent on.
TEST(LinkBudgetTest, CopiesAreNotRefused) {
  Link Played(ThinLink, ThinLink);
  ASSERT_TRUE(Played.open(Uploads, 80'000));
  Played.run(std::chrono::seconds(1));
  while (Played.open(Uploads, 80'000)) {
  }
  EXPECT_TRUE(Played.open(Uploads, 80'000, true));
}

// Guards against transfers of refused openings that hold room on the link.
TEST(LinkBudgetTest, RefusedElsewhereFreesRoom) {
  Link Played(ThinLink, ThinLink);
  ASSERT_TRUE(Played.open(Uploads, 80'000));
  Played.run(std::chrono::seconds(1));
  while (Played.open(Uploads, 80'000)) {
  }
  Played.Budget.onRefused(Played.Sending.front().first);
  EXPECT_TRUE(Played.open(Uploads, 80'000));
}

// Guards against time limits that follow a link which is not loaded, and
// against suspicion on one that is.
TEST(LinkBudgetTest, QueueDelayFollowsLoad) {
  Link Played(ThinLink, ThinLink);
  ASSERT_TRUE(Played.open(Uploads, 80'000));
  Played.run(std::chrono::seconds(1));
  (void)Played.load(Uploads, 80'000, 7, Burst);
  EXPECT_EQ(Played.Budget.queueDelay(Played.Now), Duration::zero());
  (void)Played.load(Uploads, 80'000, 40, Burst);
  EXPECT_GT(Played.Budget.queueDelay(Played.Now), milliseconds(20));
  Played.run(std::chrono::seconds(2));
  EXPECT_EQ(Played.Budget.queueDelay(Played.Now), Duration::zero());
}

// The wait on the link that accepted transfers may cause stays within the
// objective of short requests, for any sizes, rates and pauses.
RC_GTEST_PROP(LinkBudgetProperty, WaitStaysWithinShortObjective, ()) {
  const auto Rate = *rc::gen::inRange<std::uint64_t>(1'250'000, 25'000'000);
  Link Played(Rate, Rate);
  RC_ASSERT(Played.open(Streams, 100));
  const auto Size = *rc::gen::inRange<std::uint32_t>(25'000, 480'000);
  RC_ASSERT(Played.open(Uploads, Size));
  Played.run(std::chrono::seconds(1));
  const auto Steps =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 200));
  for (const int Step : Steps) {
    (void)Played.open(Streams, 100);
    (void)Played.open(Uploads, Size / 2 + Size * (Step % 10) / 10);
    Played.run(milliseconds(Step));
    RC_ASSERT(Played.estimatedWait() <= 0.250);
  }
}

} // namespace
} // namespace mulberryhoist
