/// \file
/// The decision logic of a balancer: to which agent each packet goes.

#ifndef MULBERRYHOIST_BALANCER_H
#define MULBERRYHOIST_BALANCER_H

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "mulberryhoist/actions.h"
#include "mulberryhoist/membership.h"
#include "mulberryhoist/suspicion.h"
#include "mulberryhoist/table.h"
#include "mulberryhoist/types.h"
#include "mulberryhoist/wire.h"

namespace mulberryhoist {

/// The longest time for which openings are dropped after a pause. Under
/// overload the input is never empty, but the receive buffer is read in less
/// than this.
inline constexpr Duration OpeningDropTime = std::chrono::seconds(1);

/// One upstream in the choice of a flow's coordinator.
struct CandidateExplanation {
  UpstreamId Upstream;
  std::uint32_t Weight = 0;
  /// The rendezvous score, smallest first; none for weight 0, which is never
  /// chosen.
  std::optional<double> Score;
  Exclusion Excluded = Exclusion::None;
};

/// Why a balancer sends a flow to its coordinator.
struct FlowExplanation {
  /// The live service that has the address.
  std::optional<ServiceId> Service;
  /// Where packets of the flow go; none if they are dropped.
  std::optional<UpstreamId> Coordinator;
  /// Where packets of an established flow go; differs from `Coordinator` while
  /// that is suspected.
  std::optional<UpstreamId> OldFlowsCoordinator;
  /// True if every candidate is excluded, so that exclusion is ignored.
  bool FailOpen = false;
  /// True if no upstream of the address takes new work: the candidates are
  /// members of the locate group, which find the owners of old flows.
  bool OldFlowsOnly = false;
  /// Best first; weight 0 comes last.
  std::vector<CandidateExplanation> Candidates;
};

/// Explains the choice for a flow, from the same code that makes it.
FlowExplanation explainFlow(const Table &InForce,
                            std::span<const AgentHealth> Agents,
                            const FlowKey &Key);

/// Chooses an agent for every packet; keeps no state of flows.
///
/// Nothing is allocated for a packet once `Out` is warm.
class BalancerLogic {
public:
  /// Puts a table in force; an older one is reported and ignored.
  void onTable(std::shared_ptr<const Table> New, Instant Now, ActionList &Out);

  /// Takes over the VM list as a hint about agents.
  void onVms(const VmList &New, Instant Now);

  /// True if datagrams from here are messages of an agent; everything else
  /// comes from the fabric.
  bool isAgent(Endpoint From) const;

  /// Forwards a caller's packet to the coordinator of its flow.
  void onPacket(PacketBytes Bytes, Instant Now, ActionList &Out);

  /// Takes a message from an agent.
  void onDatagram(Endpoint From, const Message &Body, Instant Now,
                  ActionList &Out);

  /// Sends probes; to be called several times a second, after the waiting input
  /// was read.
  void onTick(Instant Now, ActionList &Out);

  /// Own pause: forgets suspicions, and drops openings until `onBacklogRead` or
  /// for `OpeningDropTime`, because the callers of those that waited may have
  /// given up.
  void onPause(Instant Now);

  /// The input that had been waiting is read.
  void onBacklogRead() { this->DropOpeningsUntil = Instant(); }

  /// The table in force, or null.
  const std::shared_ptr<const Table> &table() const { return this->InForce; }

  const SuspicionLogic &suspicion() const { return this->Agents; }

  /// Number of openings that were dropped after pauses.
  std::uint64_t droppedOpenings() const { return this->Dropped; }

private:
  void updateAgents(Instant Now);
  /// Probes an upstream without live rows from now on: it became the
  /// coordinator of an old flow, and may no longer run.
  void watchRemoved(UpstreamId Id, Instant Now);
  AgentPresence presenceOf(Endpoint Agent) const;

  std::shared_ptr<const Table> InForce;
  /// What the VM list says, by the data address of the agent.
  std::unordered_map<Endpoint, AgentPresence> Presences;
  bool HasVms = false;
  SuspicionLogic Agents;
  std::vector<DueProbe> Probes;
  /// Upstreams without live rows that are coordinators under the table in
  /// force.
  std::vector<UpstreamId> RemovedCoordinators;
  /// Candidates from a locate group; a member so that it is reused.
  std::vector<Assignment> GroupRows;
  std::uint64_t Dropped = 0;
  Instant DropOpeningsUntil;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_BALANCER_H
