/// \file
/// Whether upstreams take new flows: the notices by which balancers tell agents
/// that an upstream drains or is in an evacuated availability zone, and what an
/// agent makes of them.

#ifndef MULBERRYHOIST_INTAKE_H
#define MULBERRYHOIST_INTAKE_H

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "mulberryhoist/directory.h"
#include "mulberryhoist/steer-actions.h"

namespace mulberryhoist {

/// How often a balancer repeats that an upstream takes no new flows.
inline constexpr Duration IntakeRenewal = std::chrono::seconds(1);

/// The delay of the first repetition, in case that the first notice is lost;
/// with the half second and more until a balancer learns of a change, an agent
/// knows it within the 3 s that the shortest drain leaves.
inline constexpr Duration IntakeFirstRepeat = std::chrono::milliseconds(200);

/// How long an agent heeds a notice that is not repeated: two lost ones do not
/// end it, and an agent that no balancer reaches soon takes new flows again.
inline constexpr Duration IntakeLifetime = std::chrono::milliseconds(3500);

/// How often an agent is told that its upstream takes new flows again.
inline constexpr std::uint32_t IntakeOpenNotices = 3;

/// Whether the upstream beside an agent takes new flows, by the newest notice.
class IntakeState {
public:
  /// Applies a notice unless a newer one is known. One without an era comes
  /// from a balancer of an older version and counts as one of the known era.
  void onNotice(const IntakeNotice &Next, Instant Now);

  /// Ends a closure that no balancer has repeated, and forgets old notices.
  void onTick(Instant Now);

  bool isClosed() const { return this->Closed; }

  const SourceRevision &revision() const { return this->Revision; }

private:
  SourceRevision Revision;
  bool Closed = false;
  Instant HeardAt;
};

/// Tells agents whether their upstreams take new flows.
class IntakeAnnouncer {
public:
  /// Announces what differs from the last directory at the next tick.
  void onDirectory(const Directory &Next);

  /// Returns whether the upstream beside an agent takes no new flows.
  bool isClosed(std::uint32_t Agent) const;

  /// Sends the notices that are due to agents at a port.
  void onTick(std::uint16_t PeerPort, Instant Now, SteerActionList &Out);

  std::optional<Instant> nextDue() const { return this->NextAt; }

private:
  struct Announcement {
    IntakeNotice Notice;
    std::uint32_t Sent = 0;
    /// Whether an upstream is listed at the agent; none is told otherwise.
    bool IsListed = true;
    Instant DueAt;
  };

  /// The agents whose upstreams take no new flows, and those that have been
  /// told for less than `IntakeOpenNotices` times that they do again.
  std::unordered_map<std::uint32_t, Announcement> Agents;
  std::optional<Instant> NextAt;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_INTAKE_H
