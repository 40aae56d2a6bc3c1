/// \file
/// Records of openings that an agent has declined or refused, so that a late
/// copy of the opening gets the same answer and never runs.

#ifndef MULBERRYHOIST_REFUSAL_H
#define MULBERRYHOIST_REFUSAL_H

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>

#include "mulberryhoist/types.h"
#include "mulberryhoist/wire.h"

namespace mulberryhoist {

/// How long a refusal is remembered; longer than callers repeat an opening.
inline constexpr Duration RefusalRetention = std::chrono::seconds(120);

/// What was said about an opening.
enum class RefusalKind : std::uint8_t {
  Declined, ///< Said to the coordinator; the caller may be served elsewhere.
  Refused,  ///< Said to the caller: not run.
};

/// A bounded store of refusals, forgotten after `RefusalRetention`.
class RefusalRecords {
public:
  explicit RefusalRecords(std::size_t Capacity) : Capacity(Capacity) {}

  /// Remembers a refusal; a refusal to the caller replaces a decline. Returns
  /// false when the store is full: then nothing may be said, since a late copy
  /// could run.
  bool add(const FlowIncarnation &Flow, RefusalKind Kind, Instant Now);

  /// Finds a refusal that is not forgotten yet.
  std::optional<RefusalKind> find(const FlowIncarnation &Flow,
                                  Instant Now) const;

  /// Forgets what is older than `RefusalRetention`.
  void expire(Instant Now);

  std::size_t size() const { return this->Kinds.size(); }

private:
  struct Hash {
    std::size_t operator()(const FlowIncarnation &Flow) const noexcept {
      return hashFlow(Flow.Key) ^ Flow.Initial;
    }
  };
  struct Record {
    RefusalKind Kind = RefusalKind::Declined;
    Instant Expires;
  };
  struct Expiry {
    FlowIncarnation Flow;
    Instant Expires;
  };

  std::size_t Capacity;
  std::unordered_map<FlowIncarnation, Record, Hash> Kinds;
  /// Ordered by time, since every record is kept equally long.
  std::deque<Expiry> Expiries;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_REFUSAL_H
