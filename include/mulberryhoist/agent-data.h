/// \file
/// The data duty of an agent: transfers packets and messages between the
/// sockets and the agent logic.

#ifndef MULBERRYHOIST_AGENT_DATA_H
#define MULBERRYHOIST_AGENT_DATA_H

#include <array>
#include <atomic>
#include <future>
#include <memory>
#include <stop_token>
#include <string>

#include "mulberryhoist/agent.h"
#include "mulberryhoist/datagram.h"
#include "mulberryhoist/documents.h"
#include "mulberryhoist/ring.h"
#include "mulberryhoist/timer.h"

namespace mulberryhoist {

/// Addresses and logic settings of the data duty.
struct AgentDataSettings {
  /// The name of the upstream served by the agent; also the agent's name in the
  /// VM list.
  std::string Name;
  /// Receives messages from balancers and agents.
  Endpoint Listen;
  /// Receives packets from the upstream.
  Endpoint UpstreamListen;
  /// Receives the packets for the upstream.
  Endpoint Upstream;
  /// Receives the packets for callers.
  Endpoint Egress;
  AgentSettings Logic;
};

/// An immutable snapshot of the data duty for other threads.
struct AgentView {
  /// The table in force, or null.
  std::shared_ptr<const Table> InForce;
  AgentStatus Status;
  DrainProgress Drain;
};

/// Counters of the data duty that the agent logic does not keep. Thread-safe.
struct AgentDataCounters {
  std::array<std::atomic<std::uint64_t>, ErrorKindCount> Errors = {};
  std::atomic<std::uint64_t> MessageBytesSent{0};
  std::atomic<std::uint64_t> MessageBytesReceived{0};
  std::atomic<std::uint64_t> Pauses{0};
};

/// The sockets of an agent and the duty that serves them.
class AgentData {
public:
  /// Binds the sockets, so that an invalid address is reported at start.
  static Result<std::unique_ptr<AgentData>> create(AgentDataSettings Settings,
                                                   DocumentSource Documents);

  /// Serves the sockets until a stop is requested; each run starts with new
  /// logic, while the sockets stay bound.
  Result<void> run(const std::stop_token &Stop);

  /// Starts draining before the process exits. Thread-safe.
  void terminate() { this->Terminating = true; }

  /// Returns true once the process may exit. Thread-safe.
  bool isDrained() const { return this->Drained; }

  /// Returns the latest view, which is never null. Thread-safe.
  std::shared_ptr<const AgentView> view() const {
    return this->LatestView.load();
  }

  /// Returns a description of a flow, or an empty string if the duty does not
  /// respond within a second. Must be called from one thread only.
  std::string explain(const FlowKey &Key);

  const AgentDataCounters &counters() const { return this->Counters; }

  /// Returns the address that balancers and agents send to.
  Endpoint address() const { return this->Socket.address(); }

  /// Returns the address that the upstream sends its packets to.
  Endpoint upstreamAddress() const { return this->UpstreamSocket.address(); }

private:
  struct RunState;

  /// A request of another thread to explain a flow.
  struct ExplainRequest {
    FlowKey Key;
    std::promise<std::string> Explanation;
  };

  static constexpr std::size_t ExplainRequestCapacity = 16;

  AgentData(AgentDataSettings Settings, DocumentSource Documents,
            DatagramSocket Socket, DatagramSocket UpstreamSocket);

  AgentDataSettings Settings;
  DocumentSource Documents;
  DatagramSocket Socket;
  DatagramSocket UpstreamSocket;
  AgentDataCounters Counters;
  Ring<std::shared_ptr<ExplainRequest>, ExplainRequestCapacity> ExplainRequests;
  std::atomic<std::shared_ptr<const AgentView>> LatestView;
  std::atomic<bool> Terminating{false};
  std::atomic<bool> Drained{false};
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_AGENT_DATA_H
