#include "store-client.h"

#include <gtest/gtest.h>

#include "soak/store.h"

namespace mulberryhoist::platform {
namespace {

using soak::Store;
using soak::StoreMode;
using std::chrono::milliseconds;

/// A port that no other test uses, since tests run in parallel.
constexpr Endpoint Address = {0x7F000001, 18'769};

class StoreClientTest : public testing::Test {
protected:
  Result<StoreItems> list() { return this->Client.list("", this->Stop); }

  Result<StoreItems> watch(std::uint64_t After,
                           milliseconds Wait = milliseconds(50)) {
    return this->Client.watch("", After, Wait, this->Stop);
  }

  Store Server{Address};
  StoreClient Client{Address};
  std::stop_token Stop;
};

// Guards against items that are lost between two pages, and against a listing
// that never ends because a key is truncated at a reserved character in the
// query.
TEST_F(StoreClientTest, ListConcatenatesPages) {
  const std::vector<std::string> Keys = {"a", "b & c=d", "e#f", "g%20h", "i+j"};
  for (const std::string &Key : Keys) {
    this->Server.put(Key, "value of " + Key);
  }
  for (const std::size_t PageSize : {1U, 2U, 5U}) {
    this->Server.setPageSize(PageSize);
    const auto All = this->list();
    ASSERT_TRUE(All.has_value()) << All.error().Detail;
    ASSERT_EQ(All->Items.size(), Keys.size()) << PageSize;
    for (std::size_t I = 0; I < Keys.size(); ++I) {
      EXPECT_EQ(All->Items[I].Key, Keys[I]);
      EXPECT_EQ(All->Items[I].Value, "value of " + Keys[I]);
    }
  }
}

TEST_F(StoreClientTest, WatchReturnsChangesAndRemovalsInOrder) {
  this->Server.put("a", "1");
  const auto All = this->list();
  ASSERT_TRUE(All.has_value());
  this->Server.put("a", "2");
  this->Server.remove("a");
  const auto Changes = this->watch(All->Revision);
  ASSERT_TRUE(Changes.has_value());
  ASSERT_EQ(Changes->Items.size(), 2U);
  EXPECT_EQ(Changes->Items[0].Value, "2");
  EXPECT_EQ(Changes->Items[0].CreateRevision, All->Items[0].CreateRevision);
  EXPECT_TRUE(Changes->Items[1].Removed);
  // No change is returned twice.
  const auto None = this->watch(Changes->Revision);
  ASSERT_TRUE(None.has_value());
  EXPECT_TRUE(None->Items.empty());
}

// Guards against skipped changes when the store no longer has its history.
TEST_F(StoreClientTest, LostHistoryHasItsOwnErrorKind) {
  this->Server.put("a", "1");
  this->Server.put("a", "2");
  this->Server.dropHistory();
  const auto Changes = this->watch(1);
  ASSERT_FALSE(Changes.has_value());
  EXPECT_EQ(Changes.error().Kind, ErrorKind::HistoryLost);
}

// Guards against a write beyond the buffer of a value whose Base64 text has no
// padding.
TEST_F(StoreClientTest, ValueWithoutPaddingIsComplete) {
  this->Server.setMode(StoreMode::Unpadded);
  for (const std::size_t Size : {30U, 31U, 32U, 33U}) {
    const std::string Value(Size, 'x');
    this->Server.put("a", Value);
    const auto All = this->list();
    ASSERT_TRUE(All.has_value()) << All.error().Detail;
    EXPECT_EQ(All->Items[0].Value, Value);
  }
}

// Guards against the copy of an answer, on a connection in use again, that is
// taken for the answer to the next call.
TEST_F(StoreClientTest, RepeatedAnswersAreNotUsed) {
  this->Server.setMode(StoreMode::Repeating);
  std::uint64_t Revision = 0;
  for (int I = 0; I < 10; ++I) {
    this->Server.put("a", std::to_string(I));
    const bool IsWatch = I % 3 == 2;
    const auto Read = IsWatch ? this->watch(Revision) : this->list();
    ASSERT_TRUE(Read.has_value()) << Read.error().Detail;
    ASSERT_EQ(Read->Items.size(), 1U);
    EXPECT_EQ(Read->Items[0].Value, std::to_string(I));
    Revision = Read->Revision;
    // Gives the copy time to arrive.
    std::this_thread::sleep_for(milliseconds(20));
  }
}

struct FaultRow {
  StoreMode Mode;
  ErrorKind Expected;
};

class StoreFaultTest : public StoreClientTest,
                       public testing::WithParamInterface<FaultRow> {};

// Guards against a failing store that is treated as an empty one, and against a
// call that hangs.
TEST_P(StoreFaultTest, ReturnsTypedErrorInTimeAndRecovers) {
  this->Server.put("a", "1");
  ASSERT_TRUE(this->list().has_value());
  this->Server.setMode(GetParam().Mode);
  const auto Begin = std::chrono::steady_clock::now();
  const auto Failed = this->list();
  EXPECT_LT(std::chrono::steady_clock::now() - Begin, 3 * StoreTimeout);
  ASSERT_FALSE(Failed.has_value());
  EXPECT_EQ(Failed.error().Kind, GetParam().Expected);
  this->Server.setMode(StoreMode::Resetting);
  this->Server.setMode(StoreMode::Up);
  const auto Again = this->list();
  ASSERT_TRUE(Again.has_value()) << Again.error().Detail;
  EXPECT_EQ(Again->Items.size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(
    Modes, StoreFaultTest,
    testing::Values(
        FaultRow{StoreMode::Busy, ErrorKind::ConfigurationUnavailable},
        FaultRow{StoreMode::Refusing, ErrorKind::CallRateExceeded},
        FaultRow{StoreMode::Resetting, ErrorKind::ConfigurationUnavailable},
        FaultRow{StoreMode::Silent, ErrorKind::ConfigurationUnavailable},
        FaultRow{StoreMode::OddEra, ErrorKind::MalformedMessage}));

/// How a store comes back from a copy that holds one item, and what the client
/// gets from a call after that.
struct ReturnRow {
  std::string Name;
  /// Writes what the copy does not have, and returns from it.
  void (*Return)(Store &, const Store::Copy &);
  bool IsWatch = false;
  /// Empty if the call succeeds, with the items of the copy alone.
  std::optional<ErrorKind> Expected{};
};

class StoreReturnTest : public StoreClientTest,
                        public testing::WithParamInterface<ReturnRow> {};

// Guards against a client that drops all answers, or misses changes, after the
// store's revisions went back (review cases 11 and 13).
TEST_P(StoreReturnTest, RevisionsOfTwoErasAreNotCompared) {
  this->Server.put("a", "1");
  const Store::Copy Copy = this->Server.copy();
  this->Server.put("a", "2");
  this->Server.put("b", "1");
  const auto Before = this->list();
  ASSERT_TRUE(Before.has_value()) << Before.error().Detail;
  GetParam().Return(this->Server, Copy);
  const auto Read = GetParam().IsWatch
                        ? this->watch(Before->Revision, milliseconds(300))
                        : this->list();
  if (GetParam().Expected) {
    ASSERT_FALSE(Read.has_value());
    EXPECT_EQ(Read.error().Kind, *GetParam().Expected);
  }
  // A listing is read at once.
  const auto Again = GetParam().Expected ? this->list() : Read;
  ASSERT_TRUE(Again.has_value()) << Again.error().Detail;
  EXPECT_EQ(Again->Items[0].Value, "1");
  EXPECT_EQ(Again->Era, Before->Era.value_or(0) + 1);
}

INSTANTIATE_TEST_SUITE_P(
    Rows, StoreReturnTest,
    testing::Values(ReturnRow{.Name = "listing",
                              .Return =
                                  [](Store &Server, const Store::Copy &Old) {
                                    Server.returnFrom(Old);
                                  }},
                    ReturnRow{.Name = "watchOfARevisionThatItLacks",
                              .Return =
                                  [](Store &Server, const Store::Copy &Old) {
                                    Server.returnFrom(Old);
                                  },
                              .IsWatch = true,
                              .Expected = ErrorKind::HistoryLost},
                    ReturnRow{.Name = "watchOfARevisionGivenOutAgain",
                              .Return =
                                  [](Store &Server, const Store::Copy &Old) {
                                    Server.returnFrom(Old);
                                    for (int I = 0; I < 5; ++I) {
                                      Server.put("c", std::to_string(I));
                                    }
                                  },
                              .IsWatch = true,
                              .Expected = ErrorKind::HistoryLost}),
    [](const auto &Info) { return Info.param.Name; });

// Guards against a watch that waits over the return and goes on from a revision
// of the former history (review case 12).
TEST_F(StoreClientTest, WatchThatWaitsOverTheReturnLosesItsHistory) {
  this->Server.put("a", "1");
  const Store::Copy Copy = this->Server.copy();
  this->Server.put("a", "2");
  const auto Before = this->list();
  ASSERT_TRUE(Before.has_value());
  const std::jthread Returner([this, &Copy] {
    std::this_thread::sleep_for(milliseconds(50));
    this->Server.returnFrom(Copy);
  });
  const auto Read = this->watch(Before->Revision, milliseconds(200));
  ASSERT_FALSE(Read.has_value());
  EXPECT_EQ(Read.error().Kind, ErrorKind::HistoryLost);
}

// Guards against one listing of two histories.
TEST_F(StoreClientTest, ListingDoesNotSpanAReturn) {
  for (const std::string_view Key : {"a", "b", "c", "d"}) {
    this->Server.put(std::string(Key), std::string(1'000, 'x'));
  }
  const Store::Copy Copy = this->Server.copy();
  this->Server.setPageSize(1);
  this->Server.setMode(StoreMode::Slow);
  const std::jthread Returner([this, &Copy] {
    std::this_thread::sleep_for(milliseconds(300));
    this->Server.returnFrom(Copy);
  });
  const auto Read = this->list();
  ASSERT_FALSE(Read.has_value());
  EXPECT_EQ(Read.error().Kind, ErrorKind::HistoryLost);
}

// Guards against a late answer of the former store that is taken for one of the
// present store, and against a store without the header that is not read.
TEST_F(StoreClientTest, OlderEraIsDroppedAndNoEraSaysNothing) {
  this->Server.put("a", "1");
  this->Server.setEra(3);
  ASSERT_TRUE(this->list().has_value());
  this->Server.setEra(2);
  const auto Late = this->list();
  ASSERT_FALSE(Late.has_value());
  EXPECT_EQ(Late.error().Kind, ErrorKind::MalformedMessage);
  this->Server.setMode(StoreMode::NoEra);
  const auto Without = this->list();
  ASSERT_TRUE(Without.has_value()) << Without.error().Detail;
  EXPECT_EQ(Without->Era, 3U);
}

} // namespace
} // namespace mulberryhoist::platform
