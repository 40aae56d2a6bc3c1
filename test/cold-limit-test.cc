#include "mulberryhoist/cold-limit.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "accepted-inputs.h"

namespace mulberryhoist {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant Start = Instant(std::chrono::hours(1));
constexpr Duration LongColdTime = std::chrono::hours(1);

/// Returns a limit that knows all requests and whose upstream is cold.
ColdLimit coldLimit(std::uint32_t Limit) {
  ColdLimit Each(Start - seconds(10));
  Each.onMessage(Limit, LongColdTime, Start);
  return Each;
}

/// Offers requests at these times and returns when those admitted came.
std::vector<Instant> admitted(ColdLimit &To,
                              const std::vector<Instant> &Arrivals) {
  std::vector<Instant> Times;
  for (const Instant Each : Arrivals) {
    if (To.admits(Each)) {
      To.count(Each);
      Times.push_back(Each);
    }
  }
  return Times;
}

/// Returns arrivals of any density, with bursts at one moment and pauses.
std::vector<Instant> anyArrivals() {
  std::vector<Instant> Arrivals;
  Instant Now = Start;
  const std::size_t Bursts = anyBelow(60);
  for (std::size_t I = 0; I < Bursts; ++I) {
    Now +=
        microseconds(anyBelow(2) == 0 ? anyBelow(20'000) : anyBelow(1'200'000));
    Arrivals.insert(Arrivals.end(), anyBelow(12), Now);
  }
  return Arrivals;
}

// Guards against more requests than a cold upstream bears in any second that
// begins at a request, whatever the arrivals are.
TEST(ColdLimitTest, NoSecondExceedsTheLimit) {
  checkWithAcceptedInputs([] {
    const std::size_t Limit = 1 + anyBelow(40);
    ColdLimit Cold = coldLimit(static_cast<std::uint32_t>(Limit));
    const auto Arrivals = anyArrivals();
    const auto Times = admitted(Cold, Arrivals);
    for (std::size_t I = Limit; I < Times.size(); ++I) {
      RC_ASSERT(Times[I] - Times[I - Limit] > seconds(1));
    }
    // An input counts if the limit turned a request away.
    return Times.size() < Arrivals.size();
  });
}

// Guards against an upstream that stays cold because it gets far less than it
// bears.
TEST(ColdLimitTest, DemandReachesNineTenthsOfTheLimit) {
  EXPECT_TRUE(rc::check([] {
    constexpr std::size_t Seconds = 20;
    const std::size_t Limit = 1 + anyBelow(200);
    ColdLimit Cold = coldLimit(static_cast<std::uint32_t>(Limit));
    const auto Gap = microseconds(1 + anyBelow(1'000'000 / (10 * Limit)));
    std::size_t Admitted = 0;
    for (Instant Now = Start; Now < Start + seconds(Seconds); Now += Gap) {
      if (Cold.admits(Now)) {
        Cold.count(Now);
        ++Admitted;
      }
    }
    RC_ASSERT(10 * Admitted >= 9 * Limit * Seconds);
  }));
}

// Guards against openings that are held although their callers give up before
// the window opens, and against refusals of those that could wait.
TEST(ColdLimitTest, DelayEndsWhenTheNextRequestIsAdmitted) {
  checkWithAcceptedInputs([] {
    const std::size_t Limit = 1 + anyBelow(8);
    ColdLimit Cold = coldLimit(static_cast<std::uint32_t>(Limit));
    const auto Arrivals = anyArrivals();
    (void)admitted(Cold, Arrivals);
    const Instant Now = Arrivals.empty() ? Start : Arrivals.back();
    const std::size_t Ahead = anyBelow(4);
    const Duration Delay = Cold.delay(Ahead, Now);
    // Those ahead are sent as soon as they may be.
    Instant At = Now;
    for (std::size_t I = 0; I <= Ahead; ++I) {
      while (!Cold.admits(At)) {
        At += milliseconds(1);
      }
      if (I < Ahead) {
        Cold.count(At);
      }
    }
    RC_ASSERT(At - Now >= Delay);
    // Each of them may be sent a step too late.
    RC_ASSERT(At - Now <= Delay + milliseconds(1 + Ahead));
    return Delay > Duration::zero();
  });
}

struct AdmissionRow {
  std::string Name;
  /// What happens from `Start` on, before the request.
  void (*Before)(ColdLimit &);
  Duration At;
  bool IsAdmitted = false;
};

class AdmissionTest : public testing::TestWithParam<AdmissionRow> {};

// Guards against a limit that a restart, a message or a flow's further requests
// put out of force, and against one that holds for a warm upstream.
TEST_P(AdmissionTest, IsDecidedByTheRequestsOfTheLastSecond) {
  ColdLimit Cold(Start);
  GetParam().Before(Cold);
  EXPECT_EQ(Cold.admits(Start + GetParam().At), GetParam().IsAdmitted);
}

void countTwice(ColdLimit &To, Duration At) {
  To.count(Start + At);
  To.count(Start + At);
}

INSTANTIATE_TEST_SUITE_P(
    Rows, AdmissionTest,
    testing::Values(AdmissionRow{"warm", [](ColdLimit &) {}, seconds(0), true},
                    AdmissionRow{"limitNotGiven",
                                 [](ColdLimit &To) {
                                   To.onMessage(0, LongColdTime, Start);
                                 },
                                 seconds(0), true},
                    AdmissionRow{"rightAfterARestart",
                                 [](ColdLimit &To) {
                                   To.onMessage(2, LongColdTime, Start);
                                 },
                                 seconds(1)},
                    AdmissionRow{"aSecondAfterARestart",
                                 [](ColdLimit &To) {
                                   To.onMessage(2, LongColdTime, Start);
                                 },
                                 ColdWindow + milliseconds(1), true},
                    AdmissionRow{"full",
                                 [](ColdLimit &To) {
                                   To.onMessage(2, LongColdTime, Start);
                                   countTwice(To, seconds(5));
                                 },
                                 seconds(6)},
                    AdmissionRow{"emptyAgain",
                                 [](ColdLimit &To) {
                                   To.onMessage(2, LongColdTime, Start);
                                   countTwice(To, seconds(5));
                                 },
                                 seconds(5) + ColdWindow + milliseconds(1),
                                 true},
                    AdmissionRow{"learnsLate",
                                 [](ColdLimit &To) {
                                   countTwice(To, seconds(5));
                                   To.onMessage(2, LongColdTime,
                                                Start + milliseconds(5500));
                                 },
                                 seconds(6)},
                    AdmissionRow{"otherMessageIsOlder",
                                 [](ColdLimit &To) {
                                   To.onMessage(2, seconds(9), Start);
                                   To.onMessage(2, seconds(1), Start);
                                   countTwice(To, seconds(5));
                                 },
                                 seconds(6)},
                    AdmissionRow{"warmAgain",
                                 [](ColdLimit &To) {
                                   To.onMessage(2, seconds(6), Start);
                                   countTwice(To, seconds(5));
                                 },
                                 seconds(6), true},
                    AdmissionRow{"replaced",
                                 [](ColdLimit &To) {
                                   To.onMessage(2, LongColdTime, Start);
                                   To.reset();
                                 },
                                 seconds(0), true}),
    [](const auto &Info) { return Info.param.Name; });

} // namespace
} // namespace mulberryhoist
