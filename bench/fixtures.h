/// \file
/// Tables, packets and single agents for benchmarks and regression tests.

#ifndef MULBERRYHOIST_BENCH_FIXTURES_H
#define MULBERRYHOIST_BENCH_FIXTURES_H

#include <cstddef>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "mulberryhoist/agent.h"
#include "mulberryhoist/balancer.h"
#include "mulberryhoist/replication.h"
#include "mulberryhoist/table.h"

namespace mulberryhoist::bench {

using Packet = std::vector<std::uint8_t>;

/// A table as CSV; each service has `RowsPerService` upstreams of its own. The
/// weight of the first row is `FirstWeight`, the others are 100.
std::string makeCsv(std::size_t Rows, std::size_t RowsPerService,
                    unsigned FirstWeight);

/// The rows of the same table, sorted by key.
std::vector<RowText> makeRows(std::size_t Rows, std::size_t RowsPerService,
                              unsigned FirstWeight);

/// The same table.
std::shared_ptr<const Table> makeTable(std::size_t Rows,
                                       std::size_t RowsPerService);

/// Segments of established flows to the given services in turn.
std::vector<Packet> makePackets(std::size_t Count,
                                std::span<const Service> Services);

/// One agent of a service with seven upstreams, and the answers of the others.
class AgentFixture {
public:
  explicit AgentFixture(std::size_t Capacity);

  /// Opens a flow whose request never ends, so that the agent is not idle.
  void occupySlot();

  /// Opens flows and lets the first request of each be answered.
  void openFlows(std::size_t Count);

  /// The openings of flows.
  std::vector<Packet> openingPackets(std::size_t Count) const;

  /// An acknowledgment of each flow, after its first answer.
  std::vector<Packet> establishedPackets(std::size_t Count) const;

  /// Hands in a caller's packet as a balancer forwards it.
  void fromCaller(const Packet &Value);

  /// Hands in an opening as its busy coordinator, with load replies of others
  /// that are busier, lets the flow's request be answered and the caller reset
  /// the flow.
  void openAndServe(const Packet &Opening);

  /// Hands in a packet of an unknown flow and the reply that names its owner.
  void locate(const Packet &Value);

  const AgentLogic &logic() const { return this->Agent; }

  /// The actions of the last event.
  ActionList Out;

private:
  void serve(const FlowKey &Key);
  void fromUpstream(const Packet &Value);

  std::shared_ptr<const Table> InForce;
  Instant Now = Instant() + std::chrono::hours(2);
  AgentLogic Agent;
  Forward Header;
};

/// Two replicas; the first gets changes and the second the row changes.
class TwoReplicas {
public:
  explicit TwoReplicas(std::size_t Rows);

  /// Changes the weight of one row at the first replica and lets the second
  /// get it.
  void changeOneWeight();

  /// Changes one weight at the first replica only; the message for the second.
  ChangesMessage makeChange();

  /// Hands a message to the second replica.
  void apply(const ChangesMessage &Change);

  /// The table in force at the second replica.
  const std::shared_ptr<const Table> &receiverTable() const {
    return *this->InForce;
  }

private:
  static constexpr Endpoint First{0x7F010000, 1};
  static constexpr Endpoint Second{0x7F010000, 2};

  Instant Now = Instant() + std::chrono::hours(100);
  std::vector<RowText> Rows;
  std::uint64_t Revision = 0;
  std::shared_ptr<std::shared_ptr<const Table>> InForce;
  Replica Sender;
  Replica Receiver;
};

} // namespace mulberryhoist::bench

#endif // MULBERRYHOIST_BENCH_FIXTURES_H
