/// \file
/// The data duty of a balancer: moves packets and probes between its socket and
/// the decision logic.

#ifndef MULBERRYHOIST_BALANCER_DATA_H
#define MULBERRYHOIST_BALANCER_DATA_H

#include <atomic>
#include <cstdint>
#include <memory>
#include <vector>

#include "mulberryhoist/admin.h"
#include "mulberryhoist/balancer.h"
#include "mulberryhoist/datagram.h"
#include "mulberryhoist/documents.h"
#include "mulberryhoist/metrics.h"
#include "mulberryhoist/ring.h"
#include "mulberryhoist/supervisor.h"
#include "mulberryhoist/timer.h"

namespace mulberryhoist {

/// The metrics of a balancer; the registry must outlive them.
struct BalancerMetrics {
  explicit BalancerMetrics(prometheus::Registry &Metrics);

  ErrorCounters Errors;
  prometheus::Counter &Packets;
  prometheus::Counter &Openings;
  prometheus::Counter &ForwardedPackets;
  prometheus::Counter &ForwardedBytes;
  prometheus::Counter &ProbeBytes;
  prometheus::Counter &DroppedOpenings;
  prometheus::Counter &Pauses;
  prometheus::Counter &ShedProblems;
  prometheus::Gauge &SuspectedAgents;
  DocumentMetrics Documents;
};

/// What the data duty shows to other threads; immutable.
struct BalancerView {
  /// The table in force, or null.
  std::shared_ptr<const Table> InForce;
  /// Sorted by identifier.
  std::vector<AgentHealth> Agents;
};

/// An error in the input, for the log.
struct InputProblem {
  ErrorKind Kind = ErrorKind::MalformedPacket;
  Endpoint From;
};

/// Number of input errors that can wait for the log.
inline constexpr std::size_t ProblemRingCapacity = 1024;

/// The socket of a balancer and the duty that serves it.
class BalancerData {
public:
  /// Binds the socket, so that a wrong address is reported at start. The
  /// metrics must outlive the result.
  static Result<std::unique_ptr<BalancerData>>
  create(Endpoint Listen, DocumentSource Documents, BalancerMetrics &Metrics);

  /// Serves the socket until it is asked to stop; each run begins with fresh
  /// logic, while the socket stays bound.
  Result<void> run(const std::stop_token &Stop);

  /// The newest view; never null. For any thread.
  std::shared_ptr<const BalancerView> view() const {
    return this->Shown.load();
  }

  /// When the last packet from the fabric came. For any thread.
  Instant lastPacketAt() const {
    return Instant(Duration(this->LastPacket.load(std::memory_order_relaxed)));
  }

  /// Takes the next input error; for one thread only.
  std::optional<InputProblem> takeProblem() { return this->Problems.pop(); }

  /// Number of input errors that were not kept for the log.
  std::uint64_t shedProblems() const { return this->Problems.shedCount(); }

  /// The address that the socket is bound to.
  Endpoint address() const { return this->Socket.address(); }

private:
  struct Turn;

  BalancerData(DatagramSocket Socket, DocumentSource Documents,
               BalancerMetrics &Metrics);

  DatagramSocket Socket;
  DocumentSource Documents;
  BalancerMetrics &Metrics;
  Ring<InputProblem, ProblemRingCapacity> Problems;
  std::atomic<std::shared_ptr<const BalancerView>> Shown;
  std::atomic<Duration::rep> LastPacket{0};
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_BALANCER_DATA_H
