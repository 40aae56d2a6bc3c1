#include "mulberryhoist/exchange.h"

#include <gtest/gtest.h>

#include <string>

#include "accepted-inputs.h"

namespace mulberryhoist {
namespace {

using std::chrono::milliseconds;

PacketBytes bytesOf(const std::string &Text) {
  return {reinterpret_cast<const std::uint8_t *>(Text.data()), Text.size()};
}

ChangesMessage changes(std::size_t Rows) {
  ChangesMessage Message{DocumentKind::Table, {1, 2}, {1, 3}, 77,
                         milliseconds(9),     true,   {}};
  for (std::size_t I = 0; I < Rows; ++I) {
    Message.Rows.push_back({"key" + std::to_string(I),
                            "value",
                            {1, I},
                            I % 2 == 1,
                            milliseconds(I)});
  }
  return Message;
}

TEST(ExchangeTest, MessagesRoundTrip) {
  const std::string Encoded = encodeExchange(changes(3));
  const auto Decoded = decodeExchange(bytesOf(Encoded));
  ASSERT_TRUE(Decoded) << Decoded.error().Detail;
  const auto &Message = std::get<ChangesMessage>(*Decoded);
  EXPECT_EQ(Message.Base, (DocumentVersion{1, 2}));
  EXPECT_EQ(Message.Version, (DocumentVersion{1, 3}));
  EXPECT_EQ(Message.Age, milliseconds(9));
  ASSERT_EQ(Message.Rows.size(), 3U);
  EXPECT_TRUE(Message.Rows[1].Deleted);
  EXPECT_EQ(Message.Rows[1].DeletedAge, milliseconds(1));
  EXPECT_EQ(encodeExchange(*Decoded), Encoded);
  const auto Pull = decodeExchange(
      bytesOf(encodeExchange(PullMessage{DocumentKind::VmList, {4, 5}, true})));
  EXPECT_EQ(documentOf(*Pull), DocumentKind::VmList);
  EXPECT_TRUE(std::get<PullMessage>(*Pull).Whole);
}

// Guards against arithmetic overflow with an invalid age from a peer.
TEST(ExchangeTest, AgesAreBounded) {
  const DigestMessage Sent{DocumentKind::Table, {}, 0, milliseconds::max()};
  const auto Decoded = decodeExchange(bytesOf(encodeExchange(Sent)));
  EXPECT_EQ(std::get<DigestMessage>(*Decoded).Age, NeverConfirmed);
}

// Guards against lines on standard error that are not JSON: protobuf logs plain
// text about a string that is not UTF-8.
TEST(ExchangeTest, InvalidUtf8IsMalformedAndNotLogged) {
  std::string Encoded = encodeExchange(DigestMessage{});
  const std::size_t Name = Encoded.find("table");
  ASSERT_NE(Name, std::string::npos);
  Encoded[Name] = '\xFF';
  testing::internal::CaptureStderr();
  const auto Decoded = decodeExchange(bytesOf(Encoded));
  EXPECT_EQ(testing::internal::GetCapturedStderr(), "");
  ASSERT_FALSE(Decoded);
  EXPECT_EQ(Decoded.error().Kind, ErrorKind::MalformedMessage);
}

TEST(ExchangeTest, OversizedAndEmptyMessagesAreRejected) {
  const std::string Large(MaxExchangeBytes + 1, 'x');
  EXPECT_EQ(decodeExchange(bytesOf(Large)).error().Kind,
            ErrorKind::OversizedMessage);
  EXPECT_EQ(decodeExchange({}).error().Kind, ErrorKind::MalformedMessage);
}

// Guards against a corrupted message that ends a process, in the decoder or in
// the replica that receives it.
TEST(ExchangeFuzzTest, AnyBytesAreDecodedOrRejected) {
  checkWithAcceptedInputs([] {
    std::string Bytes = encodeExchange(changes(4));
    for (std::size_t I = anyBelow(5); I > 0; --I) {
      Bytes[anyBelow(Bytes.size())] = *anyChar();
    }
    if (anyBelow(3) == 0) {
      Bytes.resize(anyBelow(Bytes.size() + 1));
    }
    Replica Receiver(
        DocumentKind::Table,
        [](const DocumentContent &) { return Result<void>{}; }, 1);
    std::vector<OutgoingMessage> Out;
    const auto Message = decodeExchange(bytesOf(Bytes));
    if (Message) {
      Receiver.receive({}, *Message, Instant(std::chrono::hours(1)), Out);
    }
    return Message.has_value();
  });
}

} // namespace
} // namespace mulberryhoist
