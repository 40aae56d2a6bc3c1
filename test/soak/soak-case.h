/// \file
/// One seeded run of the soak as a test.

#ifndef MULBERRYHOIST_TEST_SOAK_SOAK_CASE_H
#define MULBERRYHOIST_TEST_SOAK_SOAK_CASE_H

#include <gtest/gtest.h>

#include "mulberryhoist/log.h"
#include "soak/soak.h"

namespace mulberryhoist::soak {

struct SeedRow {
  std::uint64_t Seed;
  bool HasFaults;
  bool HasReturns = false;
};

/// Runs a seed and reports each broken promise with the faults of the run.
inline void expectPromises(const SeedRow &Row) {
  setUpLog("soak", LogLevel::Warning);
  SoakSettings Settings;
  Settings.Seed = Row.Seed;
  Settings.HasFaults = Row.HasFaults;
  Settings.HasReturns = Row.HasReturns;
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
  EXPECT_EQ(Report->Returns > 0, Row.HasReturns);
}

} // namespace mulberryhoist::soak

#endif // MULBERRYHOIST_TEST_SOAK_SOAK_CASE_H
