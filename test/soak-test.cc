#include "soak/soak.h"

#include <gtest/gtest.h>

#include "mulberryhoist/log.h"

namespace mulberryhoist::soak {
namespace {

struct SeedRow {
  std::uint64_t Seed;
  bool HasFaults;
  bool HasReturns = false;
};

class SoakTest : public testing::TestWithParam<SeedRow> {};

// Guards the promises of the users' pages on the whole path with real
// processes: at most once, never the wrong service, true refusals, flows that
// stay, leaving upstreams without new work, and service after the faults.
TEST_P(SoakTest, KeepsItsPromises) {
  setUpLog("soak", LogLevel::Warning);
  SoakSettings Settings;
  Settings.Seed = GetParam().Seed;
  Settings.HasFaults = GetParam().HasFaults;
  Settings.HasReturns = GetParam().HasReturns;
  Settings.Programs = MULBERRY_BINARY_DIR;
  const auto Report = runSoak(Settings);
  ASSERT_TRUE(Report.has_value()) << Report.error().Detail;
  std::string Faults;
  for (const std::string &Each : Report->Faults) {
    Faults += Each + '\n';
  }
  for (const std::string &Each : Report->Violations) {
    ADD_FAILURE() << Each << "\nfaults:\n" << Faults;
  }
  EXPECT_GT(Report->Served, 0U);
  EXPECT_EQ(Report->Returns > 0, GetParam().HasReturns);
}

INSTANTIATE_TEST_SUITE_P(Seeds, SoakTest,
                         // 113: upstreams of the soak gave out the same
                         // sequence numbers. 103: new work by the entry that
                         // an upstream had before its restart. 114: the bytes
                         // of an opening were freed before they were sent.
                         // 954, 959: the store comes back from older copies.
                         testing::Values(SeedRow{1, false}, SeedRow{113, true},
                                         SeedRow{103, true}, SeedRow{114, true},
                                         SeedRow{954, true, true},
                                         SeedRow{959, true, true}));

} // namespace
} // namespace mulberryhoist::soak
