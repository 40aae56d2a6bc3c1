/// Entries of other writers that are valid for the store and name no upstream.

#include <gtest/gtest.h>

#include <thread>

#include "allocation-counter.h"
#include "soak/store.h"
#include "standin/host.h"
#include "store-feed.h"
#include "store-model.h"

namespace mulberryhoist::platform {
namespace {

using soak::Store;
using standin::pollUntil;

/// A port that no other test uses, since tests run in parallel.
constexpr Endpoint Address = {0x7F000001, 18'773};

/// The largest value of the store.
constexpr std::size_t MaxValueBytes = std::size_t{1} << 20U;

/// Allocations for reading an entry: a few for each field, whatever the size of
/// the entry. An entry VM may have no more than 80 MB of memory.
constexpr std::uint64_t MaxAllocations = 200;

std::string entry(const std::string &Address, const std::string &More = "") {
  return R"({"backend":"orders","addr":")" + Address +
         R"(","zone":"z","version":"v1","slots":4,"state":"ready",)"
         R"("cold_left_ms":0,"seq":4,"born":1)" +
         More + "}";
}

std::string repeat(std::string_view Text, std::size_t Count) {
  std::string Repeated;
  for (std::size_t I = 0; I < Count; ++I) {
    Repeated += Text;
  }
  return Repeated;
}

struct OddEntryRow {
  std::string Name;
  std::string Value;
  /// Whether the entry names an upstream all the same.
  bool IsUpstream = false;
};

class OddEntryTest : public testing::TestWithParam<OddEntryRow> {};

// Guards against a process that exceeds its memory, is restarted and reads the
// same entry again.
TEST_P(OddEntryTest, IsReadInLittleMemory) {
  const AllocationProbe Probe;
  const auto Read = parseUpstream("x", GetParam().Value, Instant());
  EXPECT_EQ(Read.has_value(), GetParam().IsUpstream);
  EXPECT_LT(Probe.count(), MaxAllocations);
}

// Guards against a balancer that does not follow the list any more because of
// one entry, whether it finds it at its start or later.
TEST_P(OddEntryTest, BalancerFollowsTheOthers) {
  for (const bool IsFirst : {true, false}) {
    Store Server{Address};
    SharedDirectory Directories;
    BootSettings Settings;
    Settings.Store = Address;
    StoreFeed Feed(Settings, Directories);
    Server.put("op/config",
               R"({"version":1,"routes":[],"backends":[{"name":"orders"}]})");
    Server.put("servers/1", entry("10.128.0.1:8080"));
    if (IsFirst) {
      Server.put("servers/0", GetParam().Value);
    }
    const std::jthread Reader([&Feed](const std::stop_token &Stop) {
      EXPECT_TRUE(Feed.run(Stop).has_value());
    });
    const auto IsListed = [&](std::uint32_t Upstream) {
      const auto InForce = Directories.get();
      return InForce != nullptr && InForce->hasAgent(Upstream);
    };
    ASSERT_TRUE(pollUntil([&] { return IsListed(0x0A800001); }));
    if (!IsFirst) {
      Server.put("servers/0", GetParam().Value);
    }
    Server.put("servers/2", entry("10.128.0.2:8080"));
    EXPECT_TRUE(pollUntil([&] { return IsListed(0x0A800002); }));
    EXPECT_EQ(IsListed(0x0A800009), GetParam().IsUpstream);
    EXPECT_TRUE(Directories.sourceStatus().IsAvailable);
  }
}

constexpr std::size_t Depth = MaxValueBytes / 2;

INSTANTIATE_TEST_SUITE_P(
    Rows, OddEntryTest,
    testing::Values(
        OddEntryRow{"nestedLists", repeat("[", Depth) + repeat("]", Depth)},
        OddEntryRow{"listsWithoutEnd", repeat("[", MaxValueBytes)},
        OddEntryRow{"nestedObjects", repeat(R"({"":)", Depth / 4) + "1" +
                                         repeat("}", Depth / 4)},
        OddEntryRow{"nestedInAnUnknownField",
                    entry("10.128.0.9:1", ",\"new\":" + repeat("[", Depth / 2) +
                                              repeat("]", Depth / 2)),
                    true},
        OddEntryRow{
            "nestedInAKnownField",
            entry("10.128.0.9:1", ",\"zone\":" + repeat("[", Depth / 2) +
                                      repeat("]", Depth / 2))},
        OddEntryRow{"longListInAnUnknownField",
                    entry("10.128.0.9:1",
                          ",\"new\":[0" + repeat(",0", Depth / 2) + "]"),
                    true},
        OddEntryRow{"numberTooLarge",
                    entry("10.128.0.9:1", ",\"cold_left_ms\":1e999")},
        OddEntryRow{"slotsTooLarge",
                    entry("10.128.0.9:1", ",\"slots\":1" + repeat("0", 400))},
        OddEntryRow{"startBeyondEveryDate",
                    entry("10.128.0.9:1", ",\"born\":9223372036854775808")},
        OddEntryRow{"countTooLarge", entry("10.128.0.9:1", ",\"seq\":-1e308")},
        OddEntryRow{"portOutOfRange", entry("10.128.0.9:65536")},
        OddEntryRow{"portBeyondEveryNumber",
                    entry("10.128.0.9:" + repeat("9", 400))},
        OddEntryRow{"negativePort", entry("10.128.0.9:-1")}),
    [](const auto &Info) { return Info.param.Name; });

} // namespace
} // namespace mulberryhoist::platform
