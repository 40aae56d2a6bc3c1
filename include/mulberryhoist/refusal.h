/// \file
/// Records of openings that an agent has declined or refused, so that a delayed
/// retransmission of the opening gets the same reply and never runs.

#ifndef MULBERRYHOIST_REFUSAL_H
#define MULBERRYHOIST_REFUSAL_H

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>

#include "mulberryhoist/types.h"
#include "mulberryhoist/wire.h"

namespace mulberryhoist {

/// How long a refusal is kept; longer than callers retransmit an opening.
inline constexpr Duration RefusalRetention = std::chrono::seconds(120);

/// How an opening was rejected.
enum class RefusalKind : std::uint8_t {
  Declined, ///< Reported to the coordinator; another agent may accept it.
  Refused,  ///< Reported to the caller as not run.
};

/// A bounded store of refusals, each of which expires after `RefusalRetention`.
class RefusalRecords {
public:
  explicit RefusalRecords(std::size_t Capacity) : Capacity(Capacity) {}

  /// Stores a refusal; a refusal to the caller replaces a decline. Returns
  /// false if the store is full: the opening must then get no reply, since a
  /// delayed retransmission could still run.
  bool add(const FlowIncarnation &Flow, RefusalKind Kind, Instant Now);

  /// Returns the refusal of an opening unless it has expired.
  std::optional<RefusalKind> find(const FlowIncarnation &Flow,
                                  Instant Now) const;

  /// Discards expired records.
  void expire(Instant Now);

  std::size_t size() const { return this->Records.size(); }

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
  std::unordered_map<FlowIncarnation, Record, Hash> Records;
  /// Ordered by time, since all records have the same retention.
  std::deque<Expiry> Expiries;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_REFUSAL_H
