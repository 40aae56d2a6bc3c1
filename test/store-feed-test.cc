#include "store-feed.h"

#include <gtest/gtest.h>

#include <thread>

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
