/// \file
/// The decision logic of a balancer: chooses the agent for each packet.

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

/// Upper bound of the time for which openings are dropped after a pause. Under
/// overload the input is never empty, but the receive buffer is read completely
/// in less than this time.
inline constexpr Duration MaxOpeningDropTime = std::chrono::seconds(1);

/// One candidate for the coordinator of a flow.
struct CandidateExplanation {
  UpstreamId Upstream;
  std::uint32_t Weight = 0;
  /// The rendezvous score; the smallest wins. None for weight 0, which is never
  /// chosen.
  std::optional<double> Score;
  Exclusion Excluded = Exclusion::None;
};

/// Why a balancer sends a flow to its coordinator.
struct FlowExplanation {
  /// The live service that has the address.
  std::optional<ServiceId> Service;
  /// The destination of the flow's packets; none if they are dropped.
  std::optional<UpstreamId> Coordinator;
  /// The destination of packets of an established flow; differs from
  /// `Coordinator` while that is suspected.
  std::optional<UpstreamId> EstablishedCoordinator;
  /// True if every candidate is excluded, so that exclusion is ignored.
  bool FailOpen = false;
  /// True if no upstream of the address accepts new flows: the candidates are
  /// members of the locate group, which find the owners of established flows.
  bool EstablishedOnly = false;
  /// Sorted by score; candidates of weight 0 come last.
  std::vector<CandidateExplanation> Candidates;
};

/// Explains the choice of coordinator for a flow, using the code that makes it.
FlowExplanation explainFlow(const Table &InForce,
                            std::span<const AgentHealth> Agents,
                            const FlowKey &Key);

/// Chooses an agent for every packet; keeps no flow state.
/// Handling a packet allocates nothing once `Out` has enough capacity.
class BalancerLogic {
public:
  /// Puts a table in force; reports and ignores one that is older than the
  /// table in force.
  void onTable(std::shared_ptr<const Table> New, Instant Now, ActionList &Out);

  /// Updates the states of agents from the VM list, which is only a hint.
  void onVms(const VmList &New, Instant Now);

  /// Returns true if datagrams from this endpoint are messages of an agent; all
  /// others come from the fabric.
  bool isAgent(Endpoint From) const;

  /// Forwards a caller's packet to the coordinator of its flow.
  void onPacket(PacketBytes Bytes, Instant Now, ActionList &Out);

  /// Handles a message from an agent.
  void onDatagram(Endpoint From, const Message &Body, Instant Now,
                  ActionList &Out);

  /// Sends probes that are due; to be called several times a second, after the
  /// pending input was read.
  void onTick(Instant Now, ActionList &Out);

  /// Handles a pause of this process: discards suspicions, and drops openings
  /// until `onBacklogRead` or for `MaxOpeningDropTime`, because the callers of
  /// openings that were queued meanwhile may have given up.
  void onPause(Instant Now);

  /// Ends the dropping of openings: the input queued during a pause is read.
  void onBacklogRead() { this->DropOpeningsUntil = Instant(); }

  /// Returns the table in force, or null.
  const std::shared_ptr<const Table> &table() const { return this->InForce; }

  const FailureDetector &failureDetector() const { return this->Detector; }

  /// Returns the number of openings that were dropped after pauses.
  std::uint64_t droppedOpenings() const { return this->DroppedOpeningCount; }

private:
  void updateAgents(Instant Now);
  /// Adds an upstream without live rows to the probed agents: it was chosen as
  /// coordinator of an established flow, and may no longer run.
  void probeRemovedCoordinator(UpstreamId Id, Instant Now);
  AgentPresence presenceOf(Endpoint Agent) const;

  std::shared_ptr<const Table> InForce;
  /// The state of each agent in the VM list, by its data address.
  std::unordered_map<Endpoint, AgentPresence> PresenceByAgent;
  bool HasVms = false;
  FailureDetector Detector;
  std::vector<DueProbe> Probes;
  /// Upstreams without live rows that were chosen as coordinators under the
  /// table in force.
  std::vector<UpstreamId> RemovedCoordinators;
  /// Candidates from a locate group; a member to reuse its memory.
  std::vector<Assignment> GroupRows;
  std::uint64_t DroppedOpeningCount = 0;
  Instant DropOpeningsUntil;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_BALANCER_H
