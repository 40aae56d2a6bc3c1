#include "mulberryhoist/datagram.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "allocation-counter.h"
#include "mulberryhoist/wire.h"

namespace mulberryhoist {
namespace {

constexpr Endpoint Loopback = {0x7f000001, 0};
constexpr Duration LongWait = std::chrono::seconds(5);

DatagramSocket openSocket() {
  auto Socket = DatagramSocket::create(Loopback);
  EXPECT_TRUE(Socket.has_value());
  return std::move(*Socket);
}

struct SizeRow {
  std::size_t Size;
  bool Truncated;
};

class DatagramSizeTest : public testing::TestWithParam<SizeRow> {};

// Guards against a datagram that is truncated without being reported.
TEST_P(DatagramSizeTest, ReportsTruncation) {
  DatagramSocket Sender = openSocket();
  DatagramSocket Receiver = openSocket();
  const std::vector<std::uint8_t> Bytes(GetParam().Size, 7);
  ASSERT_TRUE(Sender.send(Receiver.address(), Bytes).has_value());
  Receiver.wait(LongWait);
  const auto Received = Receiver.receive();
  ASSERT_TRUE(Received.has_value());
  EXPECT_EQ(Received->From, Sender.address());
  EXPECT_EQ(Received->Truncated, GetParam().Truncated);
  EXPECT_EQ(Received->Bytes.size(), std::min(Bytes.size(), MaxDatagramBytes));
}

INSTANTIATE_TEST_SUITE_P(Sizes, DatagramSizeTest,
                         testing::Values(SizeRow{0, false}, SizeRow{1, false},
                                         SizeRow{MaxDatagramBytes, false},
                                         SizeRow{MaxDatagramBytes + 1, true},
                                         SizeRow{20000, true}));

// Guards against a memory allocation per packet on the data path.
TEST(DatagramTest, SendAndReceiveAllocateNothing) {
  DatagramSocket Sender = openSocket();
  DatagramSocket Receiver = openSocket();
  const std::vector<std::uint8_t> Bytes(1500, 1);
  const AllocationProbe Probe;
  for (int I = 0; I < 100; ++I) {
    (void)Sender.send(Receiver.address(), Bytes);
    Receiver.wait(LongWait);
    (void)Receiver.receive();
  }
  EXPECT_EQ(Probe.count(), 0U);
}

// Guards against a data thread that blocks when nothing arrives.
TEST(DatagramTest, EmptySocketDoesNotBlock) {
  DatagramSocket Socket = openSocket();
  EXPECT_FALSE(Socket.receive().has_value());
  const auto Begin = std::chrono::steady_clock::now();
  Socket.wait(std::chrono::milliseconds(20));
  Socket.wait(std::chrono::milliseconds(-5));
  EXPECT_LT(std::chrono::steady_clock::now() - Begin, LongWait);
}

// Guards against outdated openings that are handled after a pause of the
// process.
TEST(DatagramTest, DiscardsQueuedDatagrams) {
  DatagramSocket Sender = openSocket();
  DatagramSocket Receiver = openSocket();
  constexpr std::size_t Count = 20;
  const std::vector<std::uint8_t> Bytes(10, 1);
  for (std::size_t I = 0; I < Count; ++I) {
    ASSERT_TRUE(Sender.send(Receiver.address(), Bytes).has_value());
  }
  EXPECT_EQ(Receiver.discardWaiting(), Count);
  EXPECT_FALSE(Receiver.receive().has_value());
}

// Guards against failures that are reported with a wrong kind or not at all.
TEST(DatagramTest, ReportsFailures) {
  DatagramSocket Socket = openSocket();
  const std::vector<std::uint8_t> TooLarge(70000);
  const auto Sent = Socket.send(Loopback, TooLarge);
  ASSERT_FALSE(Sent.has_value());
  EXPECT_EQ(Sent.error().Kind, ErrorKind::PeerUnreachable);
  const auto Second = DatagramSocket::create(Socket.address());
  ASSERT_FALSE(Second.has_value());
  EXPECT_EQ(Second.error().Kind, ErrorKind::InvalidSetting);
}

} // namespace
} // namespace mulberryhoist
