/// \file
/// The data duty of a balancer: passes packets and probes between its socket
/// and the decision logic.

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

/// Snapshot of the data duty for other threads; immutable.
struct BalancerView {
  /// The table in force, or null.
  std::shared_ptr<const Table> InForce;
  /// Sorted by identifier.
  std::vector<AgentHealth> Agents;
};

/// An error caused by a packet or message, queued for the log.
struct InputError {
  ErrorKind Kind = ErrorKind::MalformedPacket;
  Endpoint From;
};

/// Number of input errors that can be queued for the log.
inline constexpr std::size_t ProblemRingCapacity = 1024;

/// Owns the socket of a balancer and runs its data duty.
class BalancerData {
public:
  /// Binds the socket, so that an unusable address is reported at start. The
  /// metrics must outlive the result.
  static Result<std::unique_ptr<BalancerData>>
  create(Endpoint Listen, DocumentSource Documents, BalancerMetrics &Metrics);

  /// Serves the socket until a stop is requested; each run begins with new
  /// decision logic, while the socket stays bound.
  Result<void> run(const std::stop_token &Stop);

  /// Returns the latest snapshot, never null. Thread-safe.
  std::shared_ptr<const BalancerView> view() const {
    return this->CurrentView.load();
  }

  /// Returns the time of the last packet from the fabric. Thread-safe.
  Instant lastPacketAt() const {
    return Instant(Duration(this->LastPacket.load(std::memory_order_relaxed)));
  }

  /// Removes and returns the next input error; for one thread only.
  std::optional<InputError> popProblem() { return this->Problems.pop(); }

  /// Returns the number of input errors that were dropped because the queue for
  /// the log was full.
  std::uint64_t shedProblems() const { return this->Problems.shedCount(); }

  /// Returns the address that the socket is bound to.
  Endpoint address() const { return this->Socket.address(); }

private:
  struct EventLoop;

  BalancerData(DatagramSocket Socket, DocumentSource Documents,
               BalancerMetrics &Metrics);

  DatagramSocket Socket;
  DocumentSource Documents;
  BalancerMetrics &Metrics;
  Ring<InputError, ProblemRingCapacity> Problems;
  std::atomic<std::shared_ptr<const BalancerView>> CurrentView;
  std::atomic<Duration::rep> LastPacket{0};
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_BALANCER_DATA_H
