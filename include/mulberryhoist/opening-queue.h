/// \file
/// The openings that wait at an agent for a slot of its upstream, and the order
/// in which they are served.
///
/// Openings whose requests can still reach their latency objective are prompt
/// and go first: the more urgent class before the others, within it the newest,
/// since under overload that serves the most callers in time. Late ones get the
/// slots that are left.

#ifndef MULBERRYHOIST_OPENING_QUEUE_H
#define MULBERRYHOIST_OPENING_QUEUE_H

#include <cstdint>
#include <optional>
#include <vector>

#include "mulberryhoist/service-time.h"
#include "mulberryhoist/steer-wire.h"

namespace mulberryhoist {

/// How much longer than expected a request may take and still reach its goal:
/// the work of a request varies by half of its mean.
inline constexpr double GoalReserve = 1.5;

/// The way of an opening, its answer and its request between the caller and the
/// upstream, through a balancer and some agents.
inline constexpr Duration ExchangeTime = std::chrono::milliseconds(15);

/// How many requests may wait inside the upstream, so that one is there when a
/// slot becomes free although its handshake takes some milliseconds.
inline constexpr std::uint32_t QueueAhead = 2;

/// The most openings that wait for a slot at one agent.
inline constexpr std::size_t MaxHeldOpenings = 256;

/// How many prompt openings of the most urgent class go before one of another
/// class that waits too, so that a flood of urgent work leaves a fifth of the
/// slots to the rest.
inline constexpr std::uint32_t MaxUrgentInRow = 4;

/// How many times longer a late opening waits than the requests before it take,
/// since prompt ones go first.
inline constexpr int HeldSlowdown = 2;

/// What remains for the way to the caller and its request when the wait of an
/// opening ends.
inline constexpr Duration HeldMargin = std::chrono::milliseconds(100);

/// An opening that waits for a slot.
struct HeldOpening {
  FlowIncarnation Flow;
  std::vector<std::uint8_t> Bytes;
  Steer Header;
  Instant Since;
  /// When the caller began to open the flow.
  Instant Begun;
  /// When the caller can no longer be served.
  Instant Until;
};

/// What an upstream works on.
struct UpstreamLoad {
  /// Requests in its slots and in its queue.
  std::uint32_t Requests = 0;
  std::uint32_t Slots = 1;
  ServiceTime Work;

  bool hasFreeSlot() const { return this->Requests < this->Slots; }
  bool hasRoom() const { return this->Requests < this->Slots + QueueAhead; }
};

/// Whether a request that begins to wait behind the load is expected to be
/// answered within its goal; `Waited` is how long its caller has waited.
bool canReachGoal(const Steer &Header, Duration Waited,
                  const UpstreamLoad &Load);

/// How long after its beginning an opening may wait for a slot: as long as its
/// caller can be served, or until its goal if that is not known.
Duration holdLimit(const Steer &Header, const UpstreamLoad &Load);

/// The openings that wait at one agent.
class OpeningQueue {
public:
  /// What to do with an opening that finds no free slot.
  enum class Placement : std::uint8_t { Take, Hold, Refuse };

  Placement place(const Steer &Header, Duration Waited,
                  const UpstreamLoad &Load, Instant Now) const;

  void hold(HeldOpening Opening) {
    this->Openings.push_back(std::move(Opening));
  }

  /// Removes and returns the opening to serve next, if the load has room for
  /// one.
  std::optional<HeldOpening> takeNext(const UpstreamLoad &Load, Instant Now);

  /// Removes and returns an opening that can no longer be served, if any is
  /// left.
  std::optional<HeldOpening> takeExpired(Instant Now);

  bool contains(const FlowIncarnation &Flow) const;
  std::uint32_t size() const {
    return static_cast<std::uint32_t>(this->Openings.size());
  }
  bool empty() const { return this->Openings.empty(); }
  void clear() { this->Openings.clear(); }

private:
  /// The prompt openings that go before one of this class.
  std::uint32_t countPrompt(std::uint32_t Class, const UpstreamLoad &Load,
                            Instant Now) const;
  std::optional<std::size_t> choosePrompt(const UpstreamLoad &Load,
                                          Instant Now);
  HeldOpening remove(std::size_t Index);

  /// In the order of arrival.
  std::vector<HeldOpening> Openings;
  /// Urgent openings served in a row while others waited.
  std::uint32_t UrgentInRow = 0;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_OPENING_QUEUE_H
