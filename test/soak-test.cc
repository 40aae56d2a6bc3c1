#include "soak/soak-case.h"

namespace mulberryhoist::soak {
namespace {

class SoakTest : public testing::TestWithParam<SeedRow> {};

// Guards the promises of the users' pages on the whole path with real
// processes: at most once, never the wrong service, true refusals, flows that
// stay, leaving upstreams without new work, and service after the faults.
TEST_P(SoakTest, KeepsItsPromises) { expectPromises(GetParam()); }

INSTANTIATE_TEST_SUITE_P(Seeds, SoakTest,
                         // 113: upstreams of the soak gave out the same
                         // sequence numbers. 103: new work by the entry that
                         // an upstream had before its restart. 114: the bytes
                         // of an opening were freed before they were sent.
                         // 954: the store comes back from older copies.
                         testing::Values(SeedRow{1, false}, SeedRow{113, true},
                                         SeedRow{103, true}, SeedRow{114, true},
                                         SeedRow{954, true, true}));

} // namespace
} // namespace mulberryhoist::soak
