/// \file
/// Failure detection of agents: chooses which agents to probe within the byte
/// budget, and which agents a balancer avoids.

#ifndef MULBERRYHOIST_SUSPICION_H
#define MULBERRYHOIST_SUSPICION_H

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "mulberryhoist/types.h"

namespace mulberryhoist {

/// The shortest time between two probes of an agent, and the time after which
/// an unanswered probe counts as missed.
inline constexpr Duration ProbePeriod = std::chrono::seconds(1);

/// Number of consecutive missed probes after which an agent is suspected.
inline constexpr unsigned MissedUntilSuspected = 3;

/// Number of consecutive missed probes after which an agent that the VM list no
/// longer contains is suspected.
inline constexpr unsigned MissedUntilSuspectedIfUnlisted = 1;

/// Bytes per second that a balancer may use for probes and their replies.
inline constexpr std::uint64_t ProbeBytesPerSecond = 1500;

/// Size of the IPv4 and UDP headers of a datagram, in bytes.
inline constexpr std::uint64_t DatagramHeaderBytes = 28;

/// Upper bound of the bytes of a probe (14) and its reply (46) with headers.
/// The usual pair takes about 80; planning with the bound keeps within the
/// budget.
inline constexpr std::uint64_t ProbePairBytes =
    14 + 46 + 2 * DatagramHeaderBytes;

/// The state of an agent in the VM list, which lags.
enum class AgentPresence : std::uint8_t {
  Unknown, ///< No VM list has been received yet.
  Live,
  Leaving,
  Unlisted, ///< The list does not contain the agent.
};

/// An agent that may be chosen and is therefore probed.
struct ProbeTarget {
  UpstreamId Id;
  Endpoint Agent;
  AgentPresence Presence = AgentPresence::Unknown;
};

/// The reason for which a balancer avoids an agent.
enum class Exclusion : std::uint8_t { None, Suspected, Leaving, Draining };

/// Returns the name of the exclusion as it appears in dumps.
std::string_view exclusionName(Exclusion Value);

/// The state of one agent as seen by a balancer.
struct AgentHealth {
  UpstreamId Id;
  Endpoint Agent;
  AgentPresence Presence = AgentPresence::Unknown;
  bool Suspected = false;
  /// As the agent reported in its last reply.
  bool Draining = false;
  std::uint32_t Load = 0;
  unsigned Missed = 0;

  /// Returns why this agent is avoided; a suspicion takes precedence over the
  /// other reasons.
  Exclusion exclusion() const;
};

/// Returns an agent of a list that is sorted by identifier, or null.
const AgentHealth *findAgent(std::span<const AgentHealth> Agents,
                             UpstreamId Id);

/// A probe that is to be sent now.
struct DueProbe {
  Endpoint To;
  std::uint64_t Sequence = 0;
};

/// Schedules probes and keeps the suspicions of one balancer.
/// Suspicions are hints for routing and never end a flow.
class FailureDetector {
public:
  /// Replaces the agents; the state of those that stay is kept.
  void setAgents(std::span<const ProbeTarget> Targets, Instant Now);

  /// Appends the probes that are due and within the budget.
  void onTick(Instant Now, std::vector<DueProbe> &Out);

  /// Clears the suspicion of an agent; to be called for any datagram from it.
  void onReceived(UpstreamId Id);

  /// Stores the state that an agent reports; a reply that is not newer than the
  /// last one, or to a probe that was not sent, only has the effect of
  /// `onReceived`.
  void onReply(UpstreamId Id, std::uint64_t Sequence, bool Draining,
               std::uint32_t Load);

  /// Discards suspicions and unanswered probes: the agents may have replied
  /// while this process was paused.
  void onPause(Instant Now);

  /// Returns why an agent is avoided; an unknown agent is not avoided.
  Exclusion exclusion(UpstreamId Id) const;

  bool isSuspected(UpstreamId Id) const {
    return this->exclusion(Id) == Exclusion::Suspected;
  }

  /// Returns all agents, sorted by identifier.
  std::span<const AgentHealth> agents() const { return this->Agents; }

  /// Returns a counter that grows whenever the agents or an exclusion change.
  std::uint64_t changeCount() const { return this->Changes; }

  /// Returns the time between two probes of a responsive agent; it grows with
  /// the number of agents so that the budget is kept.
  Duration period() const;

private:
  /// The time of the next probe of an agent, and its outstanding probe.
  struct ProbeState {
    Instant Due;
    Instant SentAt;
    std::uint64_t LastReply = 0;
    bool Outstanding = false;
  };

  std::size_t indexOf(UpstreamId Id) const;
  void recordMissedProbe(std::size_t Index, Instant Now);
  bool consumeBudget(Instant Now);
  void send(std::size_t Index, Instant Now, std::vector<DueProbe> &Out);

  std::vector<AgentHealth> Agents;
  /// Has the same indices as `Agents`.
  std::vector<ProbeState> ProbeStates;
  /// Indices of the agents that are due; a member to reuse its memory.
  std::vector<std::size_t> DueNow;
  std::uint64_t NextSequence = 1;
  std::uint64_t Changes = 0;
  /// The time up to which the byte budget is used.
  Instant BudgetSpentUntil;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_SUSPICION_H
