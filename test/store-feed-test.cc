#include "store-feed.h"

#include <gtest/gtest.h>

#include <thread>

#include "mulberryhoist/admin.h"
#include "mulberryhoist/process.h"
#include "soak/store.h"

namespace mulberryhoist::platform {
namespace {

using soak::Store;
using soak::StoreMode;
using std::chrono::milliseconds;

/// A port that no other test uses, since tests run in parallel.
constexpr Endpoint Address = {0x7F000001, 18'771};

constexpr std::string_view Entry =
    R"({"backend":"orders","addr":"10.128.0.9:8080","zone":"z","version":"v1",
        "slots":4,"state":"ready","cold_left_ms":0,"seq":4,"born":1})";

std::string configuration(int Version) {
  return R"({"version":)" + std::to_string(Version) +
         R"(,"routes":[],"backends":[{"name":"orders"}]})";
}

// Guards against the reset of flows whose upstream lives, because another
// writer has written over its entry.
TEST(StoreFeedWatchTest, InvalidEntryEndsNoFlowsOfTheUpstreamItReplaces) {
  Store Server{Address};
  SharedDirectory Directories;
  BootSettings Settings;
  Settings.Store = Address;
  StoreFeed Feed{Settings, Directories};
  Server.put("op/config", configuration(7));
  Server.put("servers/i-1", std::string(Entry));
  std::jthread Reader([&Feed](const std::stop_token &Stop) {
    EXPECT_TRUE(Feed.run(Stop).has_value());
  });
  const auto AwaitState = [&Directories](UpstreamState Expected) {
    for (int I = 0; I < 500; ++I) {
      const auto InForce = Directories.get();
      if (InForce != nullptr) {
        const auto Listed = InForce->upstreams(serviceId("orders"));
        if (!Listed.empty() && Listed[0].State == Expected) {
          return true;
        }
      }
      std::this_thread::sleep_for(milliseconds(10));
    }
    return false;
  };
  ASSERT_TRUE(AwaitState(UpstreamState::Ready));
  Server.put("servers/i-1", R"({"state":"rea)");
  EXPECT_TRUE(AwaitState(UpstreamState::Draining));
  Server.put("servers/i-1", std::string(Entry));
  EXPECT_TRUE(AwaitState(UpstreamState::Ready));
}

/// What happens at the store after the directory was read from it.
struct ConfirmationRow {
  std::string Name;
  void (*Change)(Store &);
  bool IsConfirmed = false;
};

class StoreFeedTest : public testing::TestWithParam<ConfirmationRow> {
protected:
  static BootSettings settings() {
    BootSettings Settings;
    Settings.Store = Address;
    return Settings;
  }

  /// Reads the whole store once, and stops before changes are watched.
  void readOnce() {
    std::jthread Reader([this](const std::stop_token &Stop) {
      EXPECT_TRUE(this->Feed.run(Stop).has_value());
    });
    while (this->Directories.get() == nullptr) {
      std::this_thread::sleep_for(milliseconds(1));
    }
  }

  /// Returns whether the directory was confirmed within a second.
  bool awaitConfirmation() {
    std::jthread Reader([this](const std::stop_token &Stop) {
      EXPECT_TRUE(this->Feed.confirm(Stop).has_value());
    });
    this->Directories.requestConfirmation();
    for (int I = 0; I < 100 && !this->Directories.confirmation(); ++I) {
      std::this_thread::sleep_for(milliseconds(10));
    }
    return this->Directories.confirmation().has_value();
  }

  Store Server{Address};
  SharedDirectory Directories;
  StoreFeed Feed{settings(), Directories};
};

// Guards against a reset of a flow whose upstream or route the directory does
// not have yet.
TEST_P(StoreFeedTest, ConfirmsOnlyADirectoryThatIsUpToDate) {
  this->Server.put("op/config", configuration(7));
  this->Server.put("servers/i-1", std::string(Entry));
  this->readOnce();
  GetParam().Change(this->Server);
  EXPECT_EQ(this->awaitConfirmation(), GetParam().IsConfirmed);
}

INSTANTIATE_TEST_SUITE_P(
    Rows, StoreFeedTest,
    testing::Values(
        ConfirmationRow{"noChange", [](Store &) {}, true},
        ConfirmationRow{"upstreamRegistered",
                        [](Store &Server) {
                          Server.put("servers/i-2", std::string(Entry));
                        }},
        ConfirmationRow{"upstreamRestarted",
                        [](Store &Server) {
                          Server.remove("servers/i-1");
                          Server.put("servers/i-1", std::string(Entry));
                        }},
        ConfirmationRow{
            "newerRoutes",
            [](Store &Server) { Server.put("op/config", configuration(8)); }},
        ConfirmationRow{"upstreamLeft",
                        [](Store &Server) { Server.remove("servers/i-1"); },
                        true},
        ConfirmationRow{"historyLost",
                        [](Store &Server) {
                          Server.put("servers/i-2", std::string(Entry));
                          Server.dropHistory();
                        }},
        ConfirmationRow{
            "storeDown",
            [](Store &Server) { Server.setMode(StoreMode::Busy); }}),
    [](const auto &Info) { return Info.param.Name; });

/// Runs a feed against a store that holds a configuration and two upstreams.
class FeedReturnTest : public testing::Test {
protected:
  FeedReturnTest() {
    this->Server.put("op/config", configuration(7));
    this->Server.put("servers/i-1", std::string(Entry));
    this->Server.put("servers/i-2", otherEntry("ready"));
    this->Copy = this->Server.copy();
  }

  static std::string otherEntry(std::string_view State) {
    std::string Text(Entry);
    Text.replace(Text.find("10.128.0.9"), 10, "10.128.0.7");
    Text.replace(Text.find("ready"), 5, State);
    return Text;
  }

  static BootSettings settings(std::vector<Endpoint> Seeds = {}) {
    BootSettings Settings;
    Settings.Store = Address;
    Settings.Seeds = std::move(Seeds);
    return Settings;
  }

  static std::jthread start(StoreFeed &Feed) {
    return std::jthread([&Feed](const std::stop_token &Stop) {
      EXPECT_TRUE(Feed.run(Stop).has_value());
    });
  }

  /// The state of `i-2`, which counts as gone while it is not listed.
  static UpstreamState stateOfOther(const SharedDirectory &From) {
    UpstreamState State = UpstreamState::Gone;
    if (const auto InForce = From.get()) {
      InForce->forEachUpstream([&State](const ListedUpstream &Each) {
        State = Each.Name == "i-2" ? Each.State : State;
      });
    }
    return State;
  }

  template <std::invocable Condition>
  static bool await(const Condition &IsMet,
                    milliseconds Limit = milliseconds(4000)) {
    const Instant Until = now() + Limit;
    while (!IsMet() && now() < Until) {
      std::this_thread::sleep_for(milliseconds(5));
    }
    return IsMet();
  }

  Store Server{Address};
  Store::Copy Copy;
  SharedDirectory Directories;
};

// Guards against a balancer that hears nothing of the store until its revision
// has passed the greatest one before the return (review case 11).
TEST_F(FeedReturnTest, DrainIsInForceBelowTheFormerRevision) {
  StoreFeed Feed(settings(), this->Directories);
  for (int I = 0; I < 20; ++I) {
    this->Server.put("servers/i-3", otherEntry(std::to_string(I)));
  }
  const auto Reader = start(Feed);
  ASSERT_TRUE(await(
      [&] { return stateOfOther(this->Directories) == UpstreamState::Ready; }));
  this->Server.returnFrom(this->Copy);
  this->Server.put("servers/i-2", otherEntry("draining"));
  EXPECT_TRUE(await([&] {
    return stateOfOther(this->Directories) == UpstreamState::Draining;
  }));
}

// Guards against new flows for an upstream that drains, because the copy has it
// as ready, and against one that gets none for good.
TEST_F(FeedReturnTest, CopyCountsOnceWhatWasLostIsWrittenAgain) {
  StoreFeed Feed(settings(), this->Directories);
  this->Server.put("servers/i-2", otherEntry("draining"));
  const auto Reader = start(Feed);
  ASSERT_TRUE(await([&] {
    return stateOfOther(this->Directories) == UpstreamState::Draining;
  }));
  this->Server.returnFrom(this->Copy);
  ASSERT_TRUE(await(
      [&] { return this->Directories.sourceStatus().KeptUntil.has_value(); }));
  EXPECT_EQ(stateOfOther(this->Directories), UpstreamState::Draining);
  std::this_thread::sleep_for(milliseconds(2000));
  EXPECT_EQ(stateOfOther(this->Directories), UpstreamState::Draining);
  EXPECT_TRUE(await(
      [&] { return stateOfOther(this->Directories) == UpstreamState::Ready; }));
  EXPECT_FALSE(this->Directories.sourceStatus().KeptUntil.has_value());
}

// Guards against the reset of an open flow whose upstream the directory lacks:
// its entry has a revision that was given out before (review case 12).
TEST_F(FeedReturnTest, ReadOfAnotherEraConfirmsNothing) {
  StoreFeed Feed(settings(), this->Directories);
  {
    const auto Reader = start(Feed);
    ASSERT_TRUE(await([&] { return this->Directories.get() != nullptr; }));
  }
  this->Server.returnFrom(this->Copy);
  const std::jthread Confirmer([&Feed](const std::stop_token &Stop) {
    EXPECT_TRUE(Feed.confirm(Stop).has_value());
  });
  this->Directories.requestConfirmation();
  EXPECT_FALSE(
      await([&] { return this->Directories.confirmation().has_value(); },
            milliseconds(500)));
}

// Guards against a balancer that starts after the return and believes the copy:
// it would send new flows to an upstream that drains, and refuse those of a
// route that only the newer configuration has.
TEST_F(FeedReturnTest, BalancerThatStartsAfterTheReturnAsksTheOthers) {
  StoreFeed Feed(settings(), this->Directories);
  this->Server.put("servers/i-2", otherEntry("draining"));
  this->Server.put("op/config", configuration(9));
  const auto Reader = start(Feed);
  ASSERT_TRUE(await([&] {
    return stateOfOther(this->Directories) == UpstreamState::Draining;
  }));
  auto Control = AdminServer::create({0x7F000001, 0});
  ASSERT_TRUE(Control.has_value());
  Control->handle(std::string(DirectoryPath), [this](const AdminQuery &) {
    return AdminAnswer{StatusOk, "application/json",
                       writeDirectory(*this->Directories.get(),
                                      this->Directories.sourceStatus())};
  });
  const std::jthread Serving([&Control](const std::stop_token &Stop) {
    EXPECT_TRUE(Control->run(Stop).has_value());
  });
  this->Server.returnFrom(this->Copy);
  for (const bool OthersHaveNoticed : {false, true}) {
    if (OthersHaveNoticed) {
      ASSERT_TRUE(await([&] {
        return this->Directories.sourceStatus().KeptUntil.has_value();
      }));
    }
    SharedDirectory Own;
    StoreFeed Started(settings({Control->address()}), Own);
    const auto OwnReader = start(Started);
    EXPECT_TRUE(await(
        [&] {
          return stateOfOther(Own) == UpstreamState::Draining &&
                 Own.get()->version() == 9U;
        },
        milliseconds(1000)))
        << OthersHaveNoticed;
  }
}

// Guards against a balancer that learned of the return from others, and then
// takes what the former store still answers for newer.
TEST_F(FeedReturnTest, ListingOfAnEarlierEraIsNotApplied) {
  this->Directories.update([](DirectoryBuilder &Builder) {
    Builder.onPeerSource({true, {3, 2}}, now());
  });
  StoreFeed Feed(settings(), this->Directories);
  const auto Reader = start(Feed);
  EXPECT_FALSE(await([&] { return this->Directories.get() != nullptr; },
                     milliseconds(300)));
  this->Server.returnFrom(this->Copy);
  EXPECT_TRUE(await([&] { return this->Directories.get() != nullptr; }));
}

/// A store at the address that the settings name anew, and whether it is used.
struct AddressRow {
  std::string Name;
  /// Makes the store there differ from the former one.
  void (*Prepare)(Store &);
  bool IsUsed = false;
};

class FeedAddressTest : public FeedReturnTest,
                        public testing::WithParamInterface<AddressRow> {
protected:
  static constexpr Endpoint NewAddress = {0x7F000001, 18'775};
};

// Guards against a balancer that keeps to the former address of the store
// (review case 7), and against one that gives it up for a wrong one.
TEST_P(FeedAddressTest, StoreIsFollowedAtAnAddressThatServesIt) {
  Store Next{NewAddress};
  Next.returnFrom(this->Copy);
  Next.setEra(1);
  GetParam().Prepare(Next);
  StoreFeed Feed(settings(), this->Directories);
  const auto Reader = start(Feed);
  const std::jthread Follower([&Feed](const std::stop_token &Stop) {
    EXPECT_TRUE(Feed.followAddress(Stop).has_value());
  });
  ASSERT_TRUE(await([&] { return this->Directories.get() != nullptr; }));
  BootSettings Changed = settings();
  Changed.Store = NewAddress;
  Feed.onSettings(Changed);
  std::this_thread::sleep_for(milliseconds(300));
  Store &Followed = GetParam().IsUsed ? Next : this->Server;
  Store &Other = GetParam().IsUsed ? this->Server : Next;
  Other.setMode(StoreMode::Resetting);
  Followed.put("servers/i-2", otherEntry("draining"));
  EXPECT_TRUE(await([&] {
    return stateOfOther(this->Directories) == UpstreamState::Draining;
  }));
  // A store that is away at both addresses takes nothing from the directory.
  Followed.setMode(StoreMode::Resetting);
  std::this_thread::sleep_for(milliseconds(300));
  EXPECT_EQ(stateOfOther(this->Directories), UpstreamState::Draining);
}

INSTANTIATE_TEST_SUITE_P(
    Rows, FeedAddressTest,
    testing::Values(
        AddressRow{"sameStore", [](Store &) {}, true},
        AddressRow{"newerStore",
                   [](Store &Next) { Next.put("op/config", configuration(9)); },
                   true},
        AddressRow{"returnedFromACopy", [](Store &Next) { Next.setEra(2); },
                   true},
        AddressRow{"away",
                   [](Store &Next) { Next.setMode(StoreMode::Resetting); }},
        AddressRow{"busy", [](Store &Next) { Next.setMode(StoreMode::Busy); }},
        AddressRow{
            "olderConfiguration",
            [](Store &Next) { Next.put("op/config", configuration(6)); }},
        AddressRow{"noConfiguration",
                   [](Store &Next) { Next.remove("op/config"); }},
        AddressRow{"formerEra", [](Store &Next) { Next.setEra(0); }}),
    [](const auto &Info) { return Info.param.Name; });

/// Changes of the store: the first one evacuates the upstream's zone, and each
/// further one changes that.
struct EvacuationRow {
  std::string Name;
  std::vector<void (*)(Store &)> Changes;
};

class EvacuationFeedTest : public testing::TestWithParam<EvacuationRow> {};

// Guards against an evacuation, or its end, that a balancer does not learn from
// the watch or from reading the whole store after its history was lost.
TEST_P(EvacuationFeedTest, DirectoryFollowsTheKeyOfTheZone) {
  Store Server{Address};
  Server.put("op/config", configuration(7));
  Server.put("servers/i-1", std::string(Entry));
  SharedDirectory Directories;
  BootSettings Settings;
  Settings.Store = Address;
  StoreFeed Feed(Settings, Directories);
  const std::jthread Reader([&Feed](const std::stop_token &Stop) {
    EXPECT_TRUE(Feed.run(Stop).has_value());
  });
  const auto IsEvacuated = [&Directories] {
    const auto InForce = Directories.get();
    const auto Upstreams = InForce == nullptr
                               ? std::span<const ListedUpstream>()
                               : InForce->upstreams(serviceId("orders"));
    return !Upstreams.empty() && Upstreams[0].IsEvacuated;
  };
  bool Expected = false;
  for (const auto &Change : GetParam().Changes) {
    Change(Server);
    Expected = !Expected;
    for (int I = 0; I < 200 && IsEvacuated() != Expected; ++I) {
      std::this_thread::sleep_for(milliseconds(10));
    }
    ASSERT_EQ(IsEvacuated(), Expected);
  }
}

void evacuate(Store &Server) { Server.put("op/evacuate/z", "{}"); }

INSTANTIATE_TEST_SUITE_P(
    Rows, EvacuationFeedTest,
    testing::Values(EvacuationRow{"keyWrittenRemovedAndWritten",
                                  {evacuate,
                                   [](Store &Server) {
                                     Server.remove("op/evacuate/z");
                                   },
                                   evacuate}},
                    EvacuationRow{"valueIsNotJson", {[](Store &Server) {
                                    Server.put("op/evacuate/z", "\xFF");
                                  }}},
                    EvacuationRow{"historyLost",
                                  {[](Store &Server) {
                                     evacuate(Server);
                                     Server.dropHistory();
                                   },
                                   [](Store &Server) {
                                     Server.remove("op/evacuate/z");
                                     Server.dropHistory();
                                   }}}),
    [](const auto &Info) { return Info.param.Name; });

} // namespace
} // namespace mulberryhoist::platform
