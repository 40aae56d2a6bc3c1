/// \file
/// A bounded queue from one writing thread to one reading thread.

#ifndef MULBERRYHOIST_RING_H
#define MULBERRYHOIST_RING_H

#include <atomic>
#include <boost/lockfree/spsc_queue.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>

namespace mulberryhoist {

/// A bounded single-producer, single-consumer ring buffer that counts the
/// entries it sheds.
template <typename T, std::size_t Capacity> class Ring {
public:
  /// Adds an entry, or sheds it and returns false when the ring is full.
  bool push(T Entry) {
    if (this->Queue.push(std::move(Entry))) {
      return true;
    }
    this->Shed.fetch_add(1, std::memory_order_relaxed);
    return false;
  }

  /// Removes and returns the oldest entry, if there is one.
  std::optional<T> pop() {
    T Entry;
    if (this->Queue.pop(Entry)) {
      return Entry;
    }
    return std::nullopt;
  }

  /// Returns the number of entries shed so far.
  std::uint64_t shedCount() const {
    return this->Shed.load(std::memory_order_relaxed);
  }

private:
  boost::lockfree::spsc_queue<T, boost::lockfree::capacity<Capacity>> Queue;
  std::atomic<std::uint64_t> Shed{0};
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_RING_H
