/// \file
/// The queue of openings that wait at an agent for a slot of its upstream.
///
/// An opening is prompt while its request can still meet its latency objective,
/// and late afterwards. Prompt openings are served first, by class, and newest
/// first within a class, since under overload that serves the most callers
/// within their objective. Late ones get the remaining slots.

#ifndef MULBERRYHOIST_OPENING_QUEUE_H
#define MULBERRYHOIST_OPENING_QUEUE_H

#include <cstdint>
#include <optional>
#include <vector>

#include "mulberryhoist/service-time.h"
#include "mulberryhoist/steer-wire.h"

namespace mulberryhoist {

/// Factor on the expected time of a request when it is compared with the
/// latency objective; service times vary by half of their mean.
inline constexpr double GoalSafetyFactor = 1.5;

/// Time that an opening, its response and its request take between the caller
/// and the upstream, through a balancer and several agents.
inline constexpr Duration NetworkTime = std::chrono::milliseconds(15);

/// Maximum number of requests that queue inside the upstream; they keep a freed
/// slot from idling for the milliseconds that the handshake of a flow takes.
inline constexpr std::uint32_t UpstreamQueueLimit = 2;

/// Maximum number of openings that wait for a slot at one agent.
inline constexpr std::size_t MaxHeldOpenings = 256;

/// Maximum number of prompt openings of the most urgent class that are served
/// in a row while a less urgent one waits, so that a flood of urgent requests
/// leaves a fifth of the slots to the others.
inline constexpr std::uint32_t MaxConsecutiveUrgent = 4;

/// Factor on the expected wait of a late opening, since prompt ones overtake
/// it.
inline constexpr int LateWaitFactor = 2;

/// Time reserved after the wait of an opening for its response to the caller
/// and the request.
inline constexpr Duration HeldMargin = std::chrono::milliseconds(100);

/// An opening that waits for a slot.
struct HeldOpening {
  FlowIncarnation Flow;
  std::vector<std::uint8_t> Bytes;
  Steer Header;
  Instant HeldSince;
  /// When the caller first sent the opening.
  Instant StartedAt;
  /// When the caller can no longer be served in time.
  Instant ExpiresAt;
};

/// The load of an upstream.
struct UpstreamLoad {
  /// Requests that the upstream processes or queues.
  std::uint32_t Requests = 0;
  std::uint32_t Slots = 1;
  ServiceTimeEstimate ServiceTime;

  bool hasFreeSlot() const { return this->Requests < this->Slots; }
  bool hasRoom() const {
    return this->Requests < this->Slots + UpstreamQueueLimit;
  }
};

/// Returns whether a request that queues behind the load is expected to be
/// answered within its latency objective; `Waited` is how long its caller has
/// waited already.
bool canReachGoal(const Steer &Header, Duration Waited,
                  const UpstreamLoad &Load);

/// Returns how long after its start an opening may wait for a slot: as long as
/// its caller can be served before its timeout, or up to the latency objective
/// if the timeout is not known.
Duration holdLimit(const Steer &Header, const UpstreamLoad &Load);

/// The queue of openings at one agent.
class OpeningQueue {
public:
  /// What happens to an opening that finds no free slot.
  enum class Placement : std::uint8_t { Take, Hold, Refuse };

  Placement place(const Steer &Header, Duration Waited,
                  const UpstreamLoad &Load, Instant Now) const;

  void hold(HeldOpening Opening) {
    this->Openings.push_back(std::move(Opening));
  }

  /// Removes and returns the opening to serve next, or nothing if the upstream
  /// has no room or no opening may be served yet.
  std::optional<HeldOpening> takeNext(const UpstreamLoad &Load, Instant Now);

  /// Removes and returns one expired opening, or nothing if there is none.
  std::optional<HeldOpening> takeExpired(Instant Now);

  bool contains(const FlowIncarnation &Flow) const;
  std::uint32_t size() const {
    return static_cast<std::uint32_t>(this->Openings.size());
  }
  bool empty() const { return this->Openings.empty(); }
  void clear() { this->Openings.clear(); }

private:
  /// Returns the number of prompt openings that are served before one of this
  /// class.
  std::uint32_t countPrompt(std::uint32_t Class, const UpstreamLoad &Load,
                            Instant Now) const;
  std::optional<std::size_t> choosePrompt(const UpstreamLoad &Load,
                                          Instant Now);
  HeldOpening remove(std::size_t Index);

  /// Ordered by arrival, oldest first.
  std::vector<HeldOpening> Openings;
  /// Openings of the most urgent class served in a row while less urgent ones
  /// waited.
  std::uint32_t ConsecutiveUrgent = 0;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_OPENING_QUEUE_H
