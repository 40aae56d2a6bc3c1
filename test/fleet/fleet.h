/// \file
/// Runs the decision logic of some balancers and agents in simulated time, with
/// an upstream beside each agent, callers, and datagrams that may be lost,
/// repeated, delayed and cut.

#ifndef MULBERRYHOIST_TEST_FLEET_FLEET_H
#define MULBERRYHOIST_TEST_FLEET_FLEET_H

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/oracle.h"
#include "fleet/tcp.h"
#include "mulberryhoist/agent.h"
#include "mulberryhoist/balancer.h"
#include "mulberryhoist/replication.h"

namespace mulberryhoist::fleet {

/// What the network does to datagrams and to packets of callers.
struct Noise {
  unsigned LossPercent = 0;
  unsigned RepeatPercent = 0;
  /// How many arrive late, by up to `MaxLate`.
  unsigned LatePercent = 0;
  Duration MaxLate = std::chrono::seconds(3);
  Duration MaxJitter = std::chrono::milliseconds(2);
  /// How long a table takes to reach each process, at most.
  Duration TableSpread = std::chrono::seconds(3);
};

/// A message or packet between two processes.
struct Letter {
  Endpoint From;
  Endpoint To;
  /// Empty for a bare packet.
  std::optional<Message> Body;
  std::vector<std::uint8_t> Packet;
};

/// One row of the operator's table.
struct OperatorRow {
  std::string Service;
  std::string Upstream;
  unsigned Weight = 100;
};

/// The operator's table before it is published.
struct OperatorTable {
  std::map<std::string, Endpoint> Addresses;
  std::vector<OperatorRow> Rows;
  unsigned Slots = 4;

  OperatorRow *find(std::string_view Service, std::string_view Upstream);
};

struct BalancerProcess {
  Endpoint Address;
  BalancerLogic Logic;
  std::uint64_t Revision = 0;
  bool Alive = true;
  /// Gets packets of callers.
  bool InFabric = true;
  /// Gets no further tables.
  bool KeepsTable = false;
  bool Paused = false;
  std::deque<Letter> Inbox;
};

struct AgentProcess {
  std::string Name;
  Endpoint Address;
  std::vector<std::string> Services;
  /// Empty while the process does not run.
  std::unique_ptr<AgentLogic> Logic;
  /// Empty if the upstream is dead.
  std::unique_ptr<UpstreamTcp> Upstream;
  std::uint64_t Revision = 0;
  std::shared_ptr<const Table> InForce;
  bool Leaving = false;
  bool Terminated = false;
  bool Paused = false;
  bool TickPlanned = false;
  std::deque<Letter> Inbox;
  std::deque<std::vector<std::uint8_t>> UpstreamInbox;
};

/// The size of a fleet. Agents `a0`, `a1`, ... serve `orders`; the last
/// `Shared` of them serve `prints` as well, and as many others only `prints`.
struct FleetSize {
  unsigned Balancers = 3;
  unsigned Orders = 3;
  unsigned Prints = 2;
  unsigned Shared = 1;
  unsigned Slots = 4;
};

class Fleet {
public:
  /// Decides about one letter; false loses it.
  using Filter = std::function<bool(const Letter &)>;

  Fleet(const FleetSize &Size, std::uint64_t Seed);
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;

  // Time.
  Instant now() const { return this->Now; }
  void run(Duration For);
  /// Runs until all callers are done and the upstreams are idle, at most `Max`.
  void settle(Duration Max = std::chrono::seconds(120));
  void after(Duration Delay, std::function<void()> Event);

  // Callers.
  /// Opens a flow to the service's address as published last.
  std::size_t open(std::string_view Service, FlowPlan Plan = {});
  /// Opens a flow with the same ports as an earlier one; a flow that still uses
  /// them is given up by its caller without a word.
  std::size_t openAgain(std::size_t Earlier);
  /// Sends a copy of the opening of a flow through a balancer.
  void repeatOpening(std::size_t Flow, std::size_t Balancer);
  /// True if the flow that uses the ports of this flow now is done.
  bool isKeyFree(std::size_t Flow) const;
  CallerTcp::State stateOf(std::size_t Flow) const;
  const FlowTruth &truth(std::size_t Flow) const {
    return this->Judge.flows()[Flow];
  }

  // Operators.
  /// Publishes `Draft`; an invalid table is taken back.
  bool publish();
  void giveTable(BalancerProcess &To);
  void giveTable(AgentProcess &To);

  // Processes.
  void addBalancer();
  /// Takes a balancer out of the fabric and stops it a while later.
  void removeBalancer(std::size_t Index);
  void killBalancer(std::size_t Index);
  void pauseBalancer(std::size_t Index, Duration For);
  std::size_t addAgent(const std::vector<std::string> &Services);
  void terminateAgent(std::size_t Index);
  /// Restarts the agent with empty state; its upstream keeps running.
  void restartAgent(std::size_t Index);
  /// The agent and its upstream are gone.
  void killVm(std::size_t Index);
  /// Replaces a VM by one with other software at the same address.
  void replaceVm(std::size_t Index, const std::string &Name,
                 const std::vector<std::string> &Services);
  void pauseVm(std::size_t Index, Duration For);
  /// Tells the agent what the VM list says about it, balancers a while later.
  void setLeaving(std::size_t Index, bool Leaving);
  /// Gives all balancers a VM list that names these agents.
  void setVmList(const std::vector<std::size_t> &Listed);
  std::size_t agentIndex(std::string_view Name) const;
  /// The agent whose upstream ran a flow's request.
  std::optional<std::size_t> ownerOf(std::size_t Flow) const;

  Noise Network;
  OperatorTable Draft;
  /// Loses letters for which it returns false.
  Filter Cut;
  Oracle Judge;
  std::vector<std::unique_ptr<BalancerProcess>> Balancers;
  std::vector<std::unique_ptr<AgentProcess>> Agents;
  std::vector<std::unique_ptr<CallerTcp>> Callers;
  Random Numbers;
  /// Refused orders are opened again by their callers.
  bool RetryRefused = false;

private:
  struct Event {
    Instant At;
    std::uint64_t Order;
    std::function<void()> Run;

    bool operator<(const Event &Other) const {
      return this->At != Other.At ? this->At > Other.At
                                  : this->Order > Other.Order;
    }
  };

  bool chance(unsigned Percent) { return this->Numbers() % 100 < Percent; }
  Duration upTo(Duration Max);
  void post(const Letter &Value);
  void arrive(const Letter &Value);
  void receive(BalancerProcess &To, const Letter &Value);
  void receive(AgentProcess &To, const Letter &Value, Arrival When);
  void fromUpstream(AgentProcess &To, std::vector<std::uint8_t> Packet);
  void perform(Endpoint From);
  void perform(AgentProcess &From);
  void planTick(AgentProcess &Of);
  void tickBalancers();
  void tickAgents();
  void tickEnds();
  void tell(AgentProcess &To);
  void startLogic(AgentProcess &Of);
  void startUpstream(AgentProcess &Of);
  std::uint64_t oldestTable() const;
  std::string render() const;
  FlowKey newKey(std::string_view Service);
  std::size_t openPlan(const FlowPlan &Plan);
  void retryRefused();
  bool isSettled() const;

  Instant Now = Instant() + std::chrono::hours(1);
  std::uint64_t EventCount = 0;
  /// A heap with the next event at the front.
  std::vector<Event> Events;
  Replica Publisher;
  std::shared_ptr<const Table> Published;
  OperatorTable LastDraft;
  std::uint64_t Revision = 0;
  unsigned NextPort = 2000;
  std::size_t NextRetry = 0;
  ActionList Out;
  /// The caller that uses a key now.
  std::map<FlowKey, std::size_t> CallerOf;
};

} // namespace mulberryhoist::fleet

#endif // MULBERRYHOIST_TEST_FLEET_FLEET_H
