/// \file
/// The queue of openings that wait at an agent for a slot of its upstream, and
/// the order in which they are taken, held and refused.
///
/// The order goes by what callers lose. An opening is prompt while its request
/// can still meet its latency objective, and late afterwards. The queue plans
/// the prompt openings by the time that they have left; when the plan can't
/// meet all objectives, it leaves out the openings that are worth least for
/// each second of slot time. Those are late: they get the remaining slots, by
/// the same worth, and are refused as soon as their caller's deadline can't be
/// met. Whatever the load, each class that waits gets a share of the slots.

#ifndef MULBERRYHOIST_OPENING_QUEUE_H
#define MULBERRYHOIST_OPENING_QUEUE_H

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <span>
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

/// Number of classes that are told apart; less urgent ones count as the last.
inline constexpr std::size_t AdmissionClasses = 8;

/// Worth of a request relative to one of the next more urgent class.
inline constexpr double ClassWorthRatio = 0.5;

/// Number of openings that may be taken in a row while a class with a waiting
/// opening gets none. A class that waits beside `N` other ones gets at least
/// one in every `MaxPassedOver + N` openings that are taken.
inline constexpr std::uint32_t MaxPassedOver = 4;

/// Factor on the expected wait of a late opening, since prompt ones overtake
/// it.
inline constexpr int LateWaitFactor = 2;

/// Time reserved after the wait of an opening for its response to the caller
/// and the request.
inline constexpr Duration HeldMargin = std::chrono::milliseconds(100);

/// How long callers wait for the response to an opening; afterwards they have
/// given up the flow and try again with a new one, so that it must not be
/// taken.
inline constexpr Duration OpeningLifetime = std::chrono::milliseconds(1400);

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
  /// The time in the slot, as a multiple of the upstream's mean.
  double WorkFactor = 1;
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

/// Returns the class of an opening.
inline std::size_t admissionClass(const Steer &Header) {
  return std::min<std::size_t>(Header.Class, AdmissionClasses - 1);
}

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
                  const UpstreamLoad &Load, Instant Now,
                  double WorkFactor = 1) const;

  void hold(HeldOpening Opening) {
    this->Openings.push_back(std::move(Opening));
  }

  /// Removes and returns the opening to serve next, or nothing if the upstream
  /// has no room or no opening may be served yet.
  std::optional<HeldOpening> takeNext(const UpstreamLoad &Load, Instant Now);

  /// Removes and returns one expired opening, or nothing if there is none.
  std::optional<HeldOpening> takeExpired(Instant Now);

  /// Removes and returns one opening that can no longer be served before its
  /// caller's deadline, or nothing if there is none.
  std::optional<HeldOpening> takeUnservable(const UpstreamLoad &Load,
                                            Instant Now);

  bool contains(const FlowIncarnation &Flow) const;
  std::uint32_t size() const {
    return static_cast<std::uint32_t>(this->Openings.size());
  }
  bool empty() const { return this->Openings.empty(); }
  void clear() { this->Openings.clear(); }

private:
  /// An opening as the plan sees it.
  struct Candidate {
    std::size_t Index = 0;
    std::size_t Class = 0;
    Duration SlotTime{};
    /// How long before its latency objective the caller is.
    Duration ToGoal{};
    /// How long the opening may still wait for a slot.
    Duration ToLimit{};
    Instant StartedAt;
    bool HasGoal = false;
    /// Worth for each second of slot time.
    double Density = 0;
  };

  /// All openings in the order in which they are served.
  struct Plan {
    /// Meet their objective; by the time that they have left.
    std::vector<Candidate> Prompt;
    /// The others, by worth.
    std::vector<Candidate> Late;
  };

  static Candidate candidate(const Steer &Header, Instant StartedAt,
                             double WorkFactor, std::size_t Index,
                             const UpstreamLoad &Load, Instant Now);
  std::vector<Candidate> candidates(const UpstreamLoad &Load,
                                    Instant Now) const;
  static Plan plan(std::vector<Candidate> All, const UpstreamLoad &Load);
  static Duration totalSlotTime(std::span<const Candidate> Openings);
  /// Returns whether an opening behind others with this slot time is
  /// expected to be answered before its caller gives up, or has the share of
  /// its class.
  bool canMeetDeadline(const Candidate &Each, Duration Ahead,
                       const UpstreamLoad &Load) const;
  HeldOpening remove(std::size_t Index);

  /// Ordered by arrival, oldest first.
  std::vector<HeldOpening> Openings;
  /// For each class, the openings taken in a row while one of it waited.
  std::array<std::uint32_t, AdmissionClasses> PassedOver = {};
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_OPENING_QUEUE_H
