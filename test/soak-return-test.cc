#include "soak/soak-case.h"

namespace mulberryhoist::soak {
namespace {

// Guards the promises of the users' pages while the store comes back from older
// copies beside crashes of upstreams. A program of its own, since KNOWN-RED.txt
// lists it.
TEST(SoakReturnTest, KeepsItsPromisesBesideCrashes) {
  expectPromises({959, true, true});
}

} // namespace
} // namespace mulberryhoist::soak
