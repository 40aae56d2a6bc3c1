#include "mulberryhoist/ring.h"

#include <gtest/gtest.h>

#include <thread>

namespace mulberryhoist {
namespace {

// Guards against a full ring that blocks, overwrites entries, or sheds entries
// without counting them.
TEST(RingTest, ShedsAndCountsWhenFull) {
  Ring<int, 4> Entries;
  for (int I = 0; I < 4; ++I) {
    EXPECT_TRUE(Entries.push(I));
  }
  EXPECT_FALSE(Entries.push(4));
  EXPECT_EQ(Entries.shedCount(), 1U);
  for (int I = 0; I < 4; ++I) {
    EXPECT_EQ(Entries.pop(), I);
  }
  EXPECT_EQ(Entries.pop(), std::nullopt);
}

// Guards against entries that are lost, repeated or reordered between threads.
TEST(RingTest, KeepsOrderBetweenThreads) {
  constexpr int Count = 100000;
  Ring<int, 64> Entries;
  std::jthread Writer([&] {
    for (int I = 0; I < Count; ++I) {
      while (!Entries.push(I)) {
        std::this_thread::yield();
      }
    }
  });
  for (int Expected = 0; Expected < Count;) {
    if (const auto Entry = Entries.pop()) {
      ASSERT_EQ(*Entry, Expected);
      ++Expected;
    } else {
      std::this_thread::yield();
    }
  }
}

} // namespace
} // namespace mulberryhoist
