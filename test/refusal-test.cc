#include "mulberryhoist/refusal.h"

#include <gtest/gtest.h>

namespace mulberryhoist {
namespace {

constexpr Instant Start = Instant() + std::chrono::seconds(10);

FlowIncarnation flow(Incarnation Initial) {
  return {{{1, 1}, {2, 2}}, Initial};
}

// Guards against a late copy that is taken for a new opening, and against a
// record that blocks a port forever.
TEST(RefusalTest, RemembersForTheRetention) {
  RefusalRecords Test(10);
  EXPECT_TRUE(Test.add(flow(1), RefusalKind::Declined, Start));
  EXPECT_TRUE(Test.add(flow(1), RefusalKind::Refused, Start));
  EXPECT_TRUE(Test.add(flow(1), RefusalKind::Declined, Start));
  const Instant End = Start + RefusalRetention;
  EXPECT_EQ(Test.find(flow(1), End - Duration(1)), RefusalKind::Refused);
  EXPECT_EQ(Test.find(flow(2), Start), std::nullopt);
  EXPECT_EQ(Test.find(flow(1), End), std::nullopt);
  Test.expire(End);
  EXPECT_EQ(Test.size(), 0U);
}

// Guards against records that are given up early to make room.
TEST(RefusalTest, FullStoreTakesNoMore) {
  RefusalRecords Test(1);
  EXPECT_TRUE(Test.add(flow(1), RefusalKind::Declined, Start));
  EXPECT_FALSE(Test.add(flow(2), RefusalKind::Declined, Start));
  EXPECT_TRUE(Test.find(flow(1), Start));
  EXPECT_TRUE(
      Test.add(flow(2), RefusalKind::Declined, Start + RefusalRetention));
}

} // namespace
} // namespace mulberryhoist
