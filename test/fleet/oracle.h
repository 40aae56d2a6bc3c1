/// \file
/// The judge of the proofs: a model of what callers, upstreams and operators
/// saw. It knows nothing of the implementation.

#ifndef MULBERRYHOIST_TEST_FLEET_ORACLE_H
#define MULBERRYHOIST_TEST_FLEET_ORACLE_H

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "mulberryhoist/table.h"

namespace mulberryhoist::fleet {

/// Requests and answers consist of units that name the request.
inline constexpr std::size_t UnitBytes = 16;

/// Identifies a request and thereby its flow.
using RequestId = std::uint32_t;

/// Returns a part of a request.
std::string requestUnit(RequestId Id, unsigned Part, unsigned Parts);

/// Returns a unit of the answer to a request.
std::string answerUnit(RequestId Id, unsigned Number);

/// What a flow is meant to do.
struct FlowPlan {
  FlowKey Key;
  /// Work that must not run twice, also when a refused caller opens again.
  std::uint32_t Order = 0;
  unsigned Requests = 1;
  unsigned Parts = 1;
  /// The length of each answer.
  unsigned Units = 1;
  /// The time between two segments of an answer.
  Duration Pace = std::chrono::milliseconds(5);
  /// How long the caller waits between two requests.
  Duration Pause{};
};

/// What happened to a flow.
struct FlowTruth {
  FlowPlan Plan;
  Incarnation Initial = 0;
  RequestId FirstRequest = 0;
  Instant Opened;
  /// The oldest table in force anywhere when the flow was opened.
  std::uint64_t OldestTable = 0;
  std::size_t Received = 0;
  unsigned Runs = 0;
  /// The upstream that ran a request of the flow last.
  std::string RanAt;
  bool Established = false;
  bool Refused = false;
  bool Reset = false;
  bool Complete = false;
  bool Abandoned = false;
};

/// Collects what was seen and the breaches of the guarantees.
class Oracle {
public:
  /// An upstream runs the software of these services.
  void onServices(const std::string &Upstream,
                  const std::vector<std::string> &Services);

  void onPublished(std::shared_ptr<const Table> Published);

  /// An agent was told whether its upstream takes new work for an address.
  void onTold(const std::string &Upstream, Endpoint Address, bool Leaving,
              Instant Now);

  /// A caller opens a flow; returns the index of the flow.
  std::size_t onOpen(const FlowPlan &Plan, Incarnation Initial,
                     std::uint64_t OldestTable, Instant Now);
  void onEstablished(std::size_t Flow);
  void onRefused(std::size_t Flow);
  void onReset(std::size_t Flow);
  /// The caller itself gave up the flow.
  void onAbandoned(std::size_t Flow);
  /// A caller received further bytes of its answers, in order.
  void onAnswer(std::size_t Flow, std::string_view Bytes);

  /// An upstream got an opening or payload of a caller.
  void onUpstreamOpening(const std::string &Upstream, const FlowKey &Key,
                         Incarnation Initial, Instant Now);
  void onUpstreamPayload(const std::string &Upstream, const FlowKey &Key,
                         std::string_view Bytes);
  /// An upstream ran a request.
  void onRun(const std::string &Upstream, RequestId Id);

  /// Judges after the end of all work that every established flow got its whole
  /// answer (G1, G3, G7).
  void judgeSurvival();

  /// Records a breach that the driver saw.
  void report(std::string Breach);

  const std::vector<FlowTruth> &flows() const { return this->Flows; }
  /// The plan of the flow of a request that was made.
  const FlowPlan &planOf(RequestId Id) const;
  /// How many openings reached upstreams, without repetitions.
  std::size_t openings() const { return this->TableAtOpening.size(); }
  /// All breaches as text for a test's message.
  std::string describe() const;

private:
  std::optional<std::size_t> findFlow(RequestId Id) const;
  bool isRightService(const std::string &Upstream, const FlowTruth &Flow,
                      std::uint64_t NewestTable) const;

  std::vector<FlowTruth> Flows;
  /// The flow of each request.
  std::vector<std::size_t> FlowOfRequest;
  std::map<RequestId, unsigned> RunsOfRequest;
  std::map<std::pair<std::uint32_t, unsigned>, unsigned> RunsOfOrder;
  std::vector<std::shared_ptr<const Table>> Tables;
  std::map<std::string, std::set<std::string>> ServicesOf;
  std::map<std::pair<std::string, Endpoint>, Instant> LeavingSince;
  /// The newest table when an upstream got the opening of an incarnation.
  std::map<std::tuple<std::string, FlowKey, Incarnation>, std::uint64_t>
      TableAtOpening;
  std::vector<std::string> Breaches;
};

} // namespace mulberryhoist::fleet

#endif // MULBERRYHOIST_TEST_FLEET_ORACLE_H
