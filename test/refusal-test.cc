#include "mulberryhoist/refusal.h"

#include <gtest/gtest.h>

namespace mulberryhoist {
namespace {

constexpr Instant Start = Instant() + std::chrono::seconds(10);

FlowIncarnation flow(Incarnation Initial) {
  return {{{1, 1}, {2, 2}}, Initial};
}

// Guards against treating a delayed retransmission as a new opening, and
// against a record that blocks a port forever.
TEST(RefusalTest, KeepsRecordsForRetention) {
  RefusalRecords Records(10);
  EXPECT_TRUE(Records.add(flow(1), RefusalKind::Declined, Start));
  EXPECT_TRUE(Records.add(flow(1), RefusalKind::Refused, Start));
  EXPECT_TRUE(Records.add(flow(1), RefusalKind::Declined, Start));
  const Instant End = Start + RefusalRetention;
  EXPECT_EQ(Records.find(flow(1), End - Duration(1)), RefusalKind::Refused);
  EXPECT_EQ(Records.find(flow(2), Start), std::nullopt);
  EXPECT_EQ(Records.find(flow(1), End), std::nullopt);
  Records.expire(End);
  EXPECT_EQ(Records.size(), 0U);
}

// Guards against evicting unexpired records to make room.
TEST(RefusalTest, FullStoreRejectsRecords) {
  RefusalRecords Records(1);
  EXPECT_TRUE(Records.add(flow(1), RefusalKind::Declined, Start));
  EXPECT_FALSE(Records.add(flow(2), RefusalKind::Declined, Start));
  EXPECT_TRUE(Records.find(flow(1), Start));
  EXPECT_TRUE(
      Records.add(flow(2), RefusalKind::Declined, Start + RefusalRetention));
}

} // namespace
} // namespace mulberryhoist
