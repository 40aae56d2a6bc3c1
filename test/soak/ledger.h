/// \file
/// What callers and upstreams saw, and the promises that it breaks.

#ifndef MULBERRYHOIST_TEST_SOAK_LEDGER_H
#define MULBERRYHOIST_TEST_SOAK_LEDGER_H

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "mulberryhoist/types.h"

namespace mulberryhoist::soak {

/// How a request ended for its caller.
enum class Outcome : std::uint8_t { Open, Served, Refused, Reset, Expired };

/// Collects what happened to each request; for any thread.
class Ledger {
public:
  void began(std::uint32_t Request, Instant Now);
  void ran(std::uint32_t Request, const std::string &Upstream);
  void ended(std::uint32_t Request, Outcome How);
  /// Notes a broken promise that was seen directly.
  void broke(std::string What);

  /// All broken promises, also those that only the whole record shows.
  std::vector<std::string> violations() const;

  /// The share of the requests between two times that were served.
  double servedShare(Instant From, Instant To) const;

  std::size_t count(Outcome How) const;

private:
  struct Record {
    Instant Began;
    std::vector<std::string> Runs;
    Outcome How = Outcome::Open;
  };

  mutable std::mutex Lock;
  std::map<std::uint32_t, Record> Records;
  std::vector<std::string> Broken;
};

} // namespace mulberryhoist::soak

#endif // MULBERRYHOIST_TEST_SOAK_LEDGER_H
