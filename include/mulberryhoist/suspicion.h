/// \file
/// Probe plan and suspicion of agents: which agent to probe next within the
/// byte budget, and which agents a balancer avoids for now.

#ifndef MULBERRYHOIST_SUSPICION_H
#define MULBERRYHOIST_SUSPICION_H

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "mulberryhoist/types.h"

namespace mulberryhoist {

/// The shortest time between two probes of an agent, and the time after which a
/// probe without answer is missed.
inline constexpr Duration ProbePeriod = std::chrono::seconds(1);

/// Number of missed probes in a row after which an agent is suspected.
inline constexpr unsigned MissedUntilSuspected = 3;

/// The same for an agent that the VM list no longer names.
inline constexpr unsigned MissedUntilSuspectedIfGone = 1;

/// Bytes that one balancer may spend on probes and their replies in a second.
inline constexpr std::uint64_t ProbeBytesPerSecond = 1500;

/// IPv4 and UDP header of a datagram, in bytes.
inline constexpr std::uint64_t DatagramHeaderBytes = 28;

/// Upper bound of the bytes of a probe (14) and its reply (46) with headers.
/// The usual pair takes about 80; planning with the bound keeps the budget.
inline constexpr std::uint64_t ProbePairBytes =
    14 + 46 + 2 * DatagramHeaderBytes;

/// What the lagging VM list says about an agent.
enum class AgentPresence : std::uint8_t {
  Unknown, ///< There is no VM list yet.
  Live,
  Leaving,
  Gone, ///< The list does not name it.
};

/// An agent that may be chosen, and is therefore probed.
struct ProbeTarget {
  UpstreamId Id;
  Endpoint Agent;
  AgentPresence Presence = AgentPresence::Unknown;
};

/// Why a balancer avoids an agent.
enum class Exclusion : std::uint8_t { None, Suspected, Leaving, Draining };

/// Returns the name of the exclusion as it appears in dumps.
std::string_view exclusionName(Exclusion Value);

/// What a balancer knows about one agent.
struct AgentHealth {
  UpstreamId Id;
  Endpoint Agent;
  AgentPresence Presence = AgentPresence::Unknown;
  bool Suspected = false;
  /// The agent's own word, from its last reply.
  bool Draining = false;
  std::uint32_t Load = 0;
  unsigned Missed = 0;

  /// Why this agent is avoided; a suspicion goes before the other reasons.
  Exclusion exclusion() const;
};

/// Finds an agent in a list that is sorted by identifier, or null.
const AgentHealth *findAgent(std::span<const AgentHealth> Agents,
                             UpstreamId Id);

/// A probe that is to be sent now.
struct DueProbe {
  Endpoint To;
  std::uint64_t Sequence = 0;
};

/// Plans probes and keeps the suspicions of one balancer.
///
/// Suspicions are hints for routing and never end a flow.
class SuspicionLogic {
public:
  /// Replaces the agents; what is known about those that stay is kept.
  void setAgents(std::span<const ProbeTarget> Targets, Instant Now);

  /// Appends the probes that are due and within the budget.
  void onTick(Instant Now, std::vector<DueProbe> &Out);

  /// Any datagram from an agent clears its suspicion.
  void onHeard(UpstreamId Id);

  /// Takes over the state that an agent reports; replies that are older than
  /// one already seen only count as a sign of life.
  void onReply(UpstreamId Id, std::uint64_t Sequence, bool Draining,
               std::uint32_t Load);

  /// Forgets suspicions and unanswered probes: after a pause of this process
  /// the agents may well have answered.
  void onPause(Instant Now);

  /// Why an agent is avoided; an unknown agent is not avoided.
  Exclusion exclusion(UpstreamId Id) const;

  bool isSuspected(UpstreamId Id) const {
    return this->exclusion(Id) == Exclusion::Suspected;
  }

  /// All agents, sorted by identifier.
  std::span<const AgentHealth> agents() const { return this->Agents; }

  /// Grows whenever an exclusion of some agent changes.
  std::uint64_t changeCount() const { return this->Changes; }

  /// The time between two probes of an agent that answers; grows with the
  /// number of agents so that the budget is kept.
  Duration period() const;

private:
  /// When an agent is probed next, and the probe that waits for an answer.
  struct Plan {
    Instant Due;
    Instant SentAt;
    std::uint64_t LastReply = 0;
    bool Outstanding = false;
  };

  std::size_t indexOf(UpstreamId Id) const;
  void noteMissed(std::size_t Index, Instant Now);
  bool takeBudget(Instant Now);
  void send(std::size_t Index, Instant Now, std::vector<DueProbe> &Out);

  std::vector<AgentHealth> Agents;
  /// Same index as `Agents`.
  std::vector<Plan> Plans;
  /// Indices of the agents that are due; a member so that it is reused.
  std::vector<std::size_t> DueNow;
  std::uint64_t NextSequence = 1;
  std::uint64_t Changes = 0;
  /// The time up to which the budget is spent.
  Instant BudgetSpentUntil;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_SUSPICION_H
