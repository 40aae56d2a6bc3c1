/// \file
/// The operator's tool: checks tables and reads the administration API of
/// running processes.

#ifndef MULBERRYHOIST_CTL_H
#define MULBERRYHOIST_CTL_H

#include <cstdint>
#include <iosfwd>
#include <span>

namespace mulberryhoist {

/// The exit status of the operator's tool.
enum class CtlStatus : std::uint8_t {
  Success = 0,
  /// The answer to the question is "no": an invalid table, dumps that differ,
  /// versions or choices that do not agree.
  Finding = 1,
  UnknownCommand = 2,
  /// An argument is missing, superfluous or malformed.
  WrongArgument = 3,
  /// A process did not answer.
  Unreachable = 4,
  /// A process answered, but not with what was asked for.
  UnusableAnswer = 5,
};

/// Runs one command; the arguments begin with the program's name, as in `main`.
///
/// Results go to `Out`. Each problem is one line on `Err`.
CtlStatus runCtl(std::span<const char *const> Arguments, std::ostream &Out,
                 std::ostream &Err);

} // namespace mulberryhoist

#endif // MULBERRYHOIST_CTL_H
