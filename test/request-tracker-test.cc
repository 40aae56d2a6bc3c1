#include "mulberryhoist/request-tracker.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <numeric>
#include <random>
#include <string>
#include <vector>

namespace mulberryhoist {
namespace {

using Event = RequestTracker::CallerEvent;

constexpr std::uint32_t CallerInitial = 0xFFFFFF00U; // Wraps around in tests.
constexpr std::uint32_t UpstreamInitial = 0xFFFFFFF0U;

const std::vector<std::uint8_t> &payload(std::size_t Length) {
  static const std::vector<std::uint8_t> Bytes(1200, 7);
  static std::vector<std::vector<std::uint8_t>> Cut(1201);
  Cut[Length].assign(Bytes.begin(),
                     Bytes.begin() + static_cast<std::ptrdiff_t>(Length));
  return Cut[Length];
}

/// Returns caller data at an offset from the first byte of the flow.
PacketView data(std::uint32_t Offset, std::size_t Length) {
  PacketView Packet;
  Packet.Sequence = CallerInitial + 1 + Offset;
  Packet.Flags.Ack = true;
  Packet.Payload = payload(Length);
  return Packet;
}

struct ResponseShape {
  std::size_t Length = 100;
  bool Fin = false;
  bool Rst = false;
};

/// Returns an upstream's packet at an offset from its first byte, which
/// acknowledges the caller's first `Received` bytes.
PacketView response(std::uint32_t Offset, std::uint32_t Received,
                    ResponseShape Shape = {}) {
  PacketView Packet;
  Packet.Sequence = UpstreamInitial + 1 + Offset;
  Packet.Acknowledgment = CallerInitial + 1 + Received;
  Packet.Flags.Ack = true;
  Packet.Flags.Fin = Shape.Fin;
  Packet.Flags.Rst = Shape.Rst;
  Packet.Payload = payload(Shape.Length);
  return Packet;
}

PacketView handshake() {
  PacketView Packet;
  Packet.Sequence = UpstreamInitial;
  Packet.Acknowledgment = CallerInitial + 1;
  Packet.Flags.Syn = true;
  Packet.Flags.Ack = true;
  return Packet;
}

/// One packet, and what the tracker must say after it.
struct Step {
  bool FromCaller = true;
  PacketView Packet;
  Event Expected = Event::None;
  bool RespondsOrEnds = false;
  bool IsOpen = false;
};

Step fromCaller(PacketView Packet, Event Expected, bool IsOpen) {
  return {true, Packet, Expected, false, IsOpen};
}

Step fromUpstream(PacketView Packet, bool RespondsOrEnds, bool IsOpen) {
  return {false, Packet, Event::None, RespondsOrEnds, IsOpen};
}

PacketView resetByCaller() {
  PacketView Packet = data(0, 0);
  Packet.Flags.Rst = true;
  return Packet;
}

struct TraceRow {
  std::string Name;
  std::vector<Step> Steps;
};

class RequestTraceTest : public testing::TestWithParam<TraceRow> {};

TEST_P(RequestTraceTest, FollowsTheFlow) {
  RequestTracker Tracker(CallerInitial + 1);
  (void)Tracker.onUpstreamPacket(handshake());
  std::size_t Index = 0;
  for (const Step &Each : GetParam().Steps) {
    SCOPED_TRACE(Index++);
    if (Each.FromCaller) {
      EXPECT_EQ(Tracker.onCallerPacket(Each.Packet), Each.Expected);
    } else {
      EXPECT_EQ(Tracker.onUpstreamPacket(Each.Packet), Each.RespondsOrEnds);
    }
    EXPECT_EQ(Tracker.isOpen(), Each.IsOpen);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Rows, RequestTraceTest,
    testing::Values(
        // Guards against an upload whose retransmitted segment counts as a
        // request after the response and FIN.
        TraceRow{"copyAfterFin",
                 {fromCaller(data(0, 1200), Event::Begins, true),
                  fromCaller(data(2400, 400), Event::Continues, true),
                  fromCaller(data(1200, 1200), Event::None, true),
                  fromUpstream(response(0, 2800, {100, true}), true, false),
                  fromCaller(data(1200, 1200), Event::None, false)}},
        // Guards against the same copy on a flow that stays open.
        TraceRow{"copyAfterResponse",
                 {fromCaller(data(0, 900), Event::Begins, true),
                  fromUpstream(response(0, 900), true, false),
                  fromCaller(data(0, 900), Event::None, false),
                  fromCaller(data(900, 900), Event::Begins, true)}},
        // Guards against a retransmitted response that closes the next request.
        TraceRow{"retransmittedResponse",
                 {fromCaller(data(0, 900), Event::Begins, true),
                  fromUpstream(response(0, 900), true, false),
                  fromCaller(data(900, 900), Event::Begins, true),
                  fromUpstream(response(0, 1800), false, true),
                  fromUpstream(response(100, 1800), true, false)}},
        // Guards against a second sample for each segment of a response.
        TraceRow{"longResponse",
                 {fromCaller(data(0, 300), Event::Begins, true),
                  fromUpstream(response(0, 300, {1200}), true, false),
                  fromUpstream(response(1200, 300, {1200}), false, false),
                  fromUpstream(response(2400, 300, {80, true}), false, false)}},
        TraceRow{"pipelinedRequest",
                 {fromCaller(data(0, 300), Event::Begins, true),
                  fromCaller(data(300, 300), Event::Continues, true),
                  fromUpstream(response(0, 300, {1200}), true, true),
                  fromUpstream(response(1200, 300, {80}), false, true),
                  fromUpstream(response(1280, 600), true, false)}},
        TraceRow{"acknowledgmentIsNoResponse",
                 {fromCaller(data(0, 1200), Event::Begins, true),
                  fromUpstream(response(0, 1200, {0}), false, true)}},
        TraceRow{"upstreamReset",
                 {fromCaller(data(0, 900), Event::Begins, true),
                  fromUpstream(response(0, 900, {0, false, true}), true, false),
                  fromCaller(data(900, 900), Event::None, false)}},
        TraceRow{"callerReset",
                 {fromCaller(data(0, 900), Event::Begins, true),
                  fromCaller(resetByCaller(), Event::Aborts, false),
                  fromCaller(data(900, 900), Event::None, false)}}),
    [](const auto &Info) { return Info.param.Name; });

// Guards against a slot that counts as busy for a caller that went away in the
// middle of an upload.
TEST(RequestTrackerTest, UnfinishedUploadExpectsMoreData) {
  RequestTracker Tracker(CallerInitial + 1);
  (void)Tracker.onCallerPacket(data(0, 1200));
  (void)Tracker.onCallerPacket(data(1200, 1200));
  EXPECT_TRUE(Tracker.expectsMoreData());
  (void)Tracker.onCallerPacket(data(2400, 400));
  EXPECT_FALSE(Tracker.expectsMoreData());
}

// Guards against a reset of a flow that another upstream holds: only its
// sequence numbers are acknowledged by the caller.
TEST(RequestTrackerTest, RecognizesAcknowledgmentsOfItsUpstream) {
  RequestTracker Tracker(CallerInitial + 1);
  EXPECT_FALSE(Tracker.hasSent(1));
  (void)Tracker.onUpstreamPacket(handshake());
  (void)Tracker.onUpstreamPacket(response(0, 0, {500}));
  EXPECT_FALSE(Tracker.hasSent(UpstreamInitial));
  EXPECT_TRUE(Tracker.hasSent(UpstreamInitial + 1));
  EXPECT_TRUE(Tracker.hasSent(UpstreamInitial + 501));
  EXPECT_FALSE(Tracker.hasSent(UpstreamInitial + 502));
}

/// A flow of sequential requests over a network that reorders, duplicates and
/// loses segments, with the upstream's receive queue as the reference.
class ReorderedFlow {
public:
  explicit ReorderedFlow(std::uint32_t Seed) : Random(Seed) {
    (void)this->Tracker.onUpstreamPacket(handshake());
  }

  /// Sends one request, and returns whether the tracker was never open without
  /// data of an unanswered request.
  bool exchange(std::uint32_t Length) {
    const std::uint32_t Begin = this->Sent;
    this->Sent += Length;
    std::vector<std::pair<std::uint32_t, std::uint32_t>> Segments;
    for (std::uint32_t At = Begin; At < this->Sent; At += 1200) {
      Segments.emplace_back(At, std::min(1200U, this->Sent - At));
    }
    std::vector<bool> Received(Segments.size());
    const auto IsMissing = [&] {
      return std::ranges::find(Received, false) != Received.end();
    };
    while (IsMissing()) {
      std::vector<std::size_t> Order(Segments.size());
      std::iota(Order.begin(), Order.end(), 0);
      std::ranges::shuffle(Order, this->Random);
      for (const std::size_t Each : Order) {
        if (this->Random() % 3 == 0) {
          continue;
        }
        (void)this->Tracker.onCallerPacket(
            data(Segments[Each].first, Segments[Each].second));
        Received[Each] = true;
        if (!this->Tracker.isOpen()) {
          return false;
        }
        if (!IsMissing()) {
          break;
        }
      }
    }
    (void)this->Tracker.onUpstreamPacket(response(this->Answered, this->Sent));
    this->Answered += 100;
    for (const auto &[At, Size] : Segments) {
      if (this->Random() % 2 == 0) {
        (void)this->Tracker.onCallerPacket(data(At, Size));
      }
    }
    (void)this->Tracker.onUpstreamPacket(
        response(this->Answered - 100, this->Sent));
    return !this->Tracker.isOpen();
  }

private:
  std::mt19937 Random;
  RequestTracker Tracker{CallerInitial + 1};
  std::uint32_t Sent = 0;
  std::uint32_t Answered = 0;
};

RC_GTEST_PROP(RequestTrackerProperty, OpenOnlyWhileARequestIsUnanswered,
              (std::uint32_t Seed)) {
  ReorderedFlow Flow(Seed);
  const auto Requests = *rc::gen::inRange(1, 6);
  for (int I = 0; I < Requests; ++I) {
    RC_ASSERT(Flow.exchange(*rc::gen::inRange(1U, 45'000U)));
  }
}

} // namespace
} // namespace mulberryhoist
