/// \file
/// Replaces the global allocation functions of a test program to count
/// allocations; include it in exactly one source file of the program.

#ifndef MULBERRYHOIST_TEST_ALLOCATION_COUNTER_H
#define MULBERRYHOIST_TEST_ALLOCATION_COUNTER_H

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <new>

namespace mulberryhoist {

/// Number of allocations of the program so far, on all threads.
inline std::atomic<std::uint64_t> AllocationCount{0};

/// Counts the allocations of the program since the construction of the probe.
class AllocationProbe {
public:
  std::uint64_t count() const { return AllocationCount - this->Start; }

private:
  std::uint64_t Start = AllocationCount;
};

namespace detail {

inline void *countedAllocateOrNull(std::size_t Size) {
  ++AllocationCount;
  return std::malloc(Size == 0 ? 1 : Size);
}

inline void *countedAllocate(std::size_t Size) {
  void *Memory = countedAllocateOrNull(Size);
  if (Memory == nullptr) {
    throw std::bad_alloc();
  }
  return Memory;
}

} // namespace detail
} // namespace mulberryhoist

// The standard forbids inline replacement functions, so these definitions allow
// only one source file of a program to include the header.
// NOLINTBEGIN(misc-definitions-in-headers)
void *operator new(std::size_t Size) {
  return mulberryhoist::detail::countedAllocate(Size);
}
void *operator new[](std::size_t Size) {
  return mulberryhoist::detail::countedAllocate(Size);
}
void *operator new(std::size_t Size, const std::nothrow_t &) noexcept {
  return mulberryhoist::detail::countedAllocateOrNull(Size);
}
void *operator new[](std::size_t Size, const std::nothrow_t &) noexcept {
  return mulberryhoist::detail::countedAllocateOrNull(Size);
}
void operator delete(void *Memory) noexcept { std::free(Memory); }
void operator delete[](void *Memory) noexcept { std::free(Memory); }
void operator delete(void *Memory, std::size_t) noexcept { std::free(Memory); }
void operator delete[](void *Memory, std::size_t) noexcept {
  std::free(Memory);
}
// NOLINTEND(misc-definitions-in-headers)

#endif // MULBERRYHOIST_TEST_ALLOCATION_COUNTER_H
