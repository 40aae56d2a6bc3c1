/// \file
/// A whole installation on loopback: platform, balancers, agents with upstreams
/// and the fabric as processes, and callers on a thread of the test.

#ifndef MULBERRYHOIST_TEST_PATH_FLEET_H
#define MULBERRYHOIST_TEST_PATH_FLEET_H

#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "path/process.h"
#include "standin/caller.h"
#include "standin/host.h"

namespace mulberryhoist::path {

/// One row of the published table apart from the upstream's own columns.
struct TableRow {
  std::string Service;
  std::string Upstream;
  unsigned Weight = 100;
};

/// A service and its columns.
struct ServiceSpec {
  std::string Name;
  Endpoint Address;
  unsigned Class = 0;
  std::string Share = "100";
};

/// Which processes to begin with.
struct FleetOptions {
  /// Put a relay in front of each agent, so that `partition` works.
  bool Links = false;
  /// Directory of the built programs.
  std::filesystem::path Programs;
  std::size_t Balancers = 2;
  std::size_t Upstreams = 3;
  /// Every upstream serves every service at first.
  std::vector<ServiceSpec> Services;
  /// More settings of the upstream, fabric and agent programs.
  std::vector<std::string> UpstreamSettings;
  std::vector<std::string> FabricSettings;
  std::vector<std::string> AgentSettings;
  /// The configuration service of single processes by name, if not the common
  /// one.
  std::map<std::string, Endpoint> PlatformOf;
};

/// A process of the product and its addresses.
struct Node {
  std::string Name;
  Endpoint Data;
  /// The address in table and VM list: `Data` or that of the relay before it.
  Endpoint Published;
  Endpoint Control;
  Endpoint Admin;
  std::string State = "live";
  std::unique_ptr<Process> Running;
};

/// An agent, its upstream and the upstream's addresses.
struct Site {
  Node Agent;
  Endpoint UpstreamData;
  Endpoint UpstreamControl;
  std::unique_ptr<Process> Upstream;
};

/// Starts, replaces, kills, freezes and cuts the processes of an installation;
/// everything ends with its scope. Used by one thread.
class Fleet {
public:
  /// Starts all processes and waits until the table is in force on all of them.
  static Result<std::unique_ptr<Fleet>> start(FleetOptions Options);
  ~Fleet();
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;

  /// Starts a balancer and sprays over it once it has the table.
  Result<void> addBalancer(const std::string &Name);

  /// Stops spraying over a balancer, then stops it with SIGTERM; fails if it
  /// does not end cleanly.
  Result<void> removeBalancer(const std::string &Name);

  /// Stops spraying over a balancer that was killed and forgets it.
  Result<void> forgetBalancer(const std::string &Name);

  /// Starts an agent and an upstream; `publish` brings them into the table.
  Result<void> addSite(const std::string &Name);

  /// Restarts an agent that was killed or stopped, at its old addresses.
  Result<void> restartAgent(const std::string &Name);

  /// The rows of the next table; change them, then `publish`.
  std::vector<TableRow> &rows() { return this->Rows; }

  /// The epoch cell of the next table.
  void setEpoch(std::uint64_t Value) { this->Epoch = Value; }

  /// Publishes VM list and rows; returns the revision of the table. Balancers
  /// that come and go publish the VM list by themselves.
  Result<std::uint64_t> publish();

  /// Waits until every running process has this revision in force.
  bool waitForRevision(std::uint64_t Revision,
                       Duration Limit = std::chrono::seconds(20));

  Node &balancer(const std::string &Name) { return *this->Balancers.at(Name); }
  Site &site(const std::string &Name) { return *this->Sites.at(Name); }
  std::vector<std::string> balancerNames() const;
  std::vector<std::string> siteNames() const;

  Endpoint platform() const { return this->PlatformAt; }
  Endpoint fabricControl() const { return this->FabricControl; }

  /// Stops or resumes all packets of the fabric from and to an address.
  Result<void> cut(Endpoint Address);
  Result<void> heal();

  /// Separates the named balancers and agents from all others, for datagrams
  /// between processes of the product; no names end the partition. The document
  /// exchange over TCP is not cut.
  void partition(const std::vector<std::string> &Names);

  /// Sends a request from the fleet's own caller; poll `results`.
  void call(const standin::CallRequest &Request);

  /// The results so far, in the order of their end.
  std::vector<standin::CallResult> results();

  /// Waits until there are so many results.
  bool waitForResults(std::size_t Count, Duration Limit);

  /// How often each request identifier ran, over all upstreams.
  std::map<std::string, std::size_t> runsPerId() const;

  /// How many packets the fabric sent to each balancer address so far.
  std::map<std::string, std::uint64_t> packetsPerBalancer() const;

  /// The end of each process's log, for messages of failed tests.
  std::string logTails() const;

private:
  struct Callers;

  explicit Fleet(FleetOptions Options);

  Result<void> startOutside();
  Result<std::unique_ptr<Process>>
  startProgram(const std::string &Program, const std::string &LogName,
               const std::vector<std::string> &Arguments);
  std::vector<std::string> commonArguments(const Node &Value) const;
  Result<void> startAgent(Site &Value);
  Result<void> addLink(Site &Value);
  Result<void> sprayOver();
  Result<void> publishVms();
  std::string tableCsv() const;
  std::string vmList() const;
  std::vector<Node *> nodes() const;

  FleetOptions Options;
  ScratchDirectory Scratch;
  Endpoint PlatformAt;
  Endpoint FabricData;
  Endpoint FabricEgress;
  Endpoint FabricControl;
  std::unique_ptr<Process> Platform;
  std::unique_ptr<Process> Fabric;
  std::map<std::string, std::unique_ptr<Node>> Balancers;
  std::map<std::string, std::unique_ptr<Site>> Sites;
  std::vector<TableRow> Rows;
  std::uint64_t Epoch = 0;
  std::unique_ptr<Callers> From;
};

/// Parses the JSON answer to a GET request; null if there is none.
nlohmann::json getJson(Endpoint Server, std::string_view Target);

} // namespace mulberryhoist::path

#endif // MULBERRYHOIST_TEST_PATH_FLEET_H
