/// \file
/// Property tests of parsers, whose inputs must not all be rejected.

#ifndef MULBERRYHOIST_TEST_ACCEPTED_INPUTS_H
#define MULBERRYHOIST_TEST_ACCEPTED_INPUTS_H

#include <gtest/gtest.h>

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <rapidcheck.h>

namespace mulberryhoist {

/// Checks a property that returns whether its input was accepted, and that at
/// least a fifth of the inputs were: else it holds for lack of a case.
template <std::predicate Property>
void checkWithAcceptedInputs(const Property &Holds) {
  constexpr int MinShareDivisor = 5;
  int Inputs = 0;
  int Accepted = 0;
  EXPECT_TRUE(rc::check([&] {
    Accepted += Holds() ? 1 : 0;
    ++Inputs;
  }));
  EXPECT_GE(Accepted * MinShareDivisor, Inputs)
      << Accepted << " of " << Inputs << " inputs were accepted";
}

/// Returns a number below `Limit`, each as likely as any other; `inRange` gives
/// low numbers only in the first cases of a property.
inline std::size_t anyBelow(std::size_t Limit) {
  return *rc::gen::resize(rc::kNominalSize,
                          rc::gen::inRange<std::size_t>(0, Limit));
}

/// Returns any byte; `arbitrary<char>` differs between processors.
inline rc::Gen<char> anyChar() {
  return rc::gen::map(
      rc::gen::arbitrary<std::uint8_t>(),
      [](std::uint8_t Each) { return static_cast<char>(Each); });
}

} // namespace mulberryhoist

#endif // MULBERRYHOIST_TEST_ACCEPTED_INPUTS_H
