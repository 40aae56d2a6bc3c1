/// \file
/// The document feed, which keeps the table and the VM list up to date from the
/// configuration service and the neighbours.

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

/// The settings of a process for the document exchange.
struct DocumentSettings {
  std::string Name;
  std::string AvailabilityZone;
  VmRole Role = VmRole::Balancer;
  /// The address at which this process listens for its neighbours.
  Endpoint Control;
  /// The configuration service; without it documents come only from neighbours.
  std::optional<Endpoint> Platform;
  /// Neighbours that are used until there is a VM list.
  std::vector<Endpoint> Peers;
};

/// The state of the feed as reported in dump, metrics and health.
struct DocumentStatus {
  TableVersion Table;
  std::uint64_t TableDigest = 0;
  DocumentVersion VmListVersion;
  /// Time since the table in force was last confirmed by a read, here or at
  /// another process.
  Duration SinceConfirmed{};
  bool Reader = false;
  bool PlatformReachable = false;
  std::uint64_t PlatformCalls = 0;
  std::uint64_t OlderIgnored = 0;
  std::uint64_t ConflictsSeen = 0;
  std::uint64_t InvalidRejected = 0;
  std::uint64_t BytesSent = 0;
  std::uint64_t BytesReceived = 0;
  /// Text of the last rejection; empty if there was none.
  std::string LastProblem;
};

/// Getters of the documents for a data duty, called from its thread in each
/// iteration of its event loop.
struct DocumentSource {
  std::function<std::shared_ptr<const Table>()> GetTable;
  std::function<std::shared_ptr<const VmList>()> GetVms;
};

/// Keeps the documents up to date on the threads of its duties; the getters may
/// be called from any thread.
class DocumentFeed {
public:
  /// Creates a feed and binds the control address, so that an unusable address
  /// is reported at start, as `InvalidSetting`.
  static Result<DocumentFeed> create(DocumentSettings Settings);

  DocumentFeed(DocumentFeed &&) noexcept;
  DocumentFeed &operator=(DocumentFeed &&) noexcept;
  ~DocumentFeed();

  /// Returns the duties to run under a supervisor: the exchange and, if there
  /// is a configuration service, the reader.
  std::vector<Duty> duties();

  /// Returns the table in force, or null before there is one.
  std::shared_ptr<const Table> table() const;

  /// Returns the VM list in force, or null before there is one.
  std::shared_ptr<const VmList> vms() const;

  DocumentStatus status() const;

private:
  struct State;
  explicit DocumentFeed(std::unique_ptr<State> Impl);
  std::unique_ptr<State> Impl;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_DOCUMENTS_H
