/// \file
/// The data duty of an agent: moves packets and messages between its sockets
/// and the decision logic.

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

/// Where the data duty sends and receives.
struct AgentDataSettings {
  /// The name of the upstream beside the agent; also its name in the VM list.
  std::string Name;
  /// For balancers and agents.
  Endpoint Listen;
  /// For packets from the upstream, to which it sends its answers.
  Endpoint UpstreamListen;
  Endpoint Upstream;
  /// Takes the packets for callers.
  Endpoint Egress;
  AgentSettings Logic;
};

/// What the data duty shows to other threads; immutable.
struct AgentView {
  /// The table in force, or null.
  std::shared_ptr<const Table> InForce;
  AgentStatus Status;
  DrainProgress Drain;
};

/// Counts of the data duty that the logic does not know. For any thread.
struct AgentDataCounters {
  std::array<std::atomic<std::uint64_t>, ErrorKindCount> Errors = {};
  std::atomic<std::uint64_t> MessageBytesSent{0};
  std::atomic<std::uint64_t> MessageBytesReceived{0};
  std::atomic<std::uint64_t> Pauses{0};
};

/// The sockets of an agent and the duty that serves them.
class AgentData {
public:
  /// Binds the sockets, so that a wrong address is reported at start.
  static Result<std::unique_ptr<AgentData>> create(AgentDataSettings Settings,
                                                   DocumentSource Documents);

  /// Serves the sockets until it is asked to stop; each run begins with fresh
  /// logic, while the sockets stay bound.
  Result<void> run(const std::stop_token &Stop);

  /// Begins the drain before the process ends. For any thread.
  void terminate() { this->Terminating = true; }

  /// True once the process may exit. For any thread.
  bool isDrained() const { return this->Drained; }

  /// The newest view; never null. For any thread.
  std::shared_ptr<const AgentView> view() const { return this->Shown.load(); }

  /// Explains a flow; for one thread only. Empty if the duty does not answer.
  std::string explain(const FlowKey &Key);

  const AgentDataCounters &counters() const { return this->Counters; }

  /// The address for balancers and agents.
  Endpoint address() const { return this->Socket.address(); }

  /// The address for packets from the upstream.
  Endpoint upstreamAddress() const { return this->UpstreamSocket.address(); }

private:
  struct Turn;

  /// A question of another thread about a flow.
  struct Question {
    FlowKey Key;
    std::promise<std::string> Answer;
  };

  static constexpr std::size_t QuestionRingCapacity = 16;

  AgentData(AgentDataSettings Settings, DocumentSource Documents,
            DatagramSocket Socket, DatagramSocket UpstreamSocket);

  AgentDataSettings Settings;
  DocumentSource Documents;
  DatagramSocket Socket;
  DatagramSocket UpstreamSocket;
  AgentDataCounters Counters;
  Ring<std::shared_ptr<Question>, QuestionRingCapacity> Questions;
  std::atomic<std::shared_ptr<const AgentView>> Shown;
  std::atomic<bool> Terminating{false};
  std::atomic<bool> Drained{false};
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_AGENT_DATA_H
