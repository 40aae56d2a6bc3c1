/// \file
/// The feed of documents: keeps the table and the VM list up to date through
/// the configuration service and the neighbours.

#ifndef MULBERRYHOIST_DOCUMENTS_H
#define MULBERRYHOIST_DOCUMENTS_H

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "mulberryhoist/membership.h"
#include "mulberryhoist/supervisor.h"
#include "mulberryhoist/table.h"
#include "mulberryhoist/types.h"

namespace mulberryhoist {

/// How a process takes part in the document exchange.
struct DocumentSettings {
  std::string Name;
  std::string AvailabilityZone;
  VmRole Role = VmRole::Balancer;
  /// Where this process listens for its neighbours.
  Endpoint Control;
  /// The configuration service; without it only neighbours are asked.
  std::optional<Endpoint> Platform;
  /// Neighbours to begin with, until there is a VM list.
  std::vector<Endpoint> Peers;
};

/// What the feed knows about itself, for dump, metrics and health.
struct DocumentStatus {
  TableVersion Table;
  std::uint64_t TableDigest = 0;
  DocumentVersion VmListVersion;
  /// Time since the version in force was last confirmed by a read, here or at
  /// a neighbour.
  Duration SinceConfirmed{};
  bool Reader = false;
  bool PlatformReachable = false;
  std::uint64_t PlatformCalls = 0;
  std::uint64_t OlderIgnored = 0;
  std::uint64_t ConflictsSeen = 0;
  std::uint64_t InvalidRejected = 0;
  std::uint64_t BytesSent = 0;
  std::uint64_t BytesReceived = 0;
  /// The last rejection, for people; empty if there was none.
  std::string LastProblem;
};

/// Where a data duty gets the documents; called from its thread each turn.
struct DocumentSource {
  std::function<std::shared_ptr<const Table>()> GetTable;
  std::function<std::shared_ptr<const VmList>()> GetVms;
};

/// Keeps the documents up to date on its own threads; the getters may be called
/// from any thread.
class DocumentFeed {
public:
  /// Opens the control address, so that a wrong setting is reported at start.
  static Result<DocumentFeed> create(DocumentSettings Settings);

  DocumentFeed(DocumentFeed &&) noexcept;
  DocumentFeed &operator=(DocumentFeed &&) noexcept;
  ~DocumentFeed();

  /// The duties to run under a supervisor: exchange and reader.
  std::vector<Duty> duties();

  /// The table in force, or null before there is one.
  std::shared_ptr<const Table> table() const;

  /// The VM list, or null before there is one.
  std::shared_ptr<const VmList> vms() const;

  DocumentStatus status() const;

private:
  struct State;
  explicit DocumentFeed(std::unique_ptr<State> Impl);
  std::unique_ptr<State> Impl;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_DOCUMENTS_H
