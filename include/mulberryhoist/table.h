/// \file
/// The table that operators edit: its parser, checks, model and row changes.

#ifndef MULBERRYHOIST_TABLE_H
#define MULBERRYHOIST_TABLE_H

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "mulberryhoist/types.h"

namespace mulberryhoist {

/// The largest value of the configuration service that is read, in bytes.
inline constexpr std::size_t MaxTableBytes = 1U << 20U;

/// How long a removed row can still name the owner of an old flow.
inline constexpr Duration TombstoneRetention = std::chrono::hours(24);

/// A service: one address, its urgency and its share of each upstream.
struct Service {
  ServiceId Id;
  std::string Name;
  Endpoint Address;
  /// 0 is the most urgent class, 7 the least.
  std::uint8_t Class = 0;
  std::uint32_t Share = 1;
  /// True for a service that is wound down: every weight is 0 on purpose.
  bool Closed = false;
};

/// An upstream: one back end with an agent beside it.
struct Upstream {
  UpstreamId Id;
  std::string Name;
  /// Where the agent beside this upstream receives datagrams.
  Endpoint Agent;
  std::string AvailabilityZone;
  std::uint32_t Slots = 1;
  std::uint32_t Connections = 1;
};

/// One row: the weight of an upstream for a service.
struct Assignment {
  ServiceId Service;
  UpstreamId Upstream;
  std::uint32_t Weight = 0;
};

/// One row as text, the unit in which tables are exchanged.
///
/// `Key` is `service/upstream`; `Value` is the CSV line of the row.
struct RowText {
  std::string Key;
  std::string Value;

  friend auto operator<=>(const RowText &, const RowText &) = default;
};

/// The rows of a published value that passed the checks of its envelope: the
/// header, the epoch row and the end row.
struct PublishedTable {
  std::uint32_t Epoch = 0;
  /// Sorted by key.
  std::vector<RowText> Rows;
};

/// Splits a published CSV value into rows and checks the whole table.
///
/// An error names the line, the column and the value.
Result<PublishedTable> parsePublishedTable(std::string_view Csv);

/// Returns the digest of a version and rows that are sorted by key.
std::uint64_t digestRows(DocumentVersion Version,
                         std::span<const RowText> Rows);

/// A whole, checked table, indexed for lookups; immutable once made.
class Table {
public:
  /// Makes a table from live rows and the rows that were removed recently.
  ///
  /// Removed rows only serve to locate flows that began under them.
  static Result<Table> create(TableVersion Version,
                              std::span<const RowText> Rows,
                              std::span<const RowText> Removed = {});

  /// Makes a table from a published CSV value.
  static Result<Table> fromCsv(std::string_view Csv, std::uint64_t Revision);

  TableVersion version() const { return this->Version; }

  /// A digest of version and live rows; equal on all processes that have the
  /// same table in force.
  std::uint64_t digest() const { return this->Digest; }

  std::span<const Service> services() const { return this->Services; }
  std::span<const Upstream> upstreams() const { return this->Upstreams; }

  /// Finds the service that has this address, or null.
  const Service *findService(Endpoint Address) const;

  /// Finds a live service, or null.
  const Service *findService(ServiceId Id) const;

  /// Finds an upstream, live or removed recently, or null.
  const Upstream *findUpstream(UpstreamId Id) const;

  /// Finds an upstream by the endpoint of its agent, or null.
  const Upstream *findUpstream(Endpoint Agent) const;

  /// The live rows of a service, sorted by upstream identifier.
  std::span<const Assignment> assignments(ServiceId Id) const;

  /// The live rows of an upstream, sorted by service identifier.
  std::span<const Assignment> assignments(UpstreamId Id) const;

  /// Every upstream that may own a flow to this address: those of the service
  /// that has the address and of the services that had it recently, live or
  /// removed, without repetition.
  std::span<const UpstreamId> locateGroup(Endpoint Address) const;

private:
  struct Index;

  Table() = default;

  TableVersion Version;
  std::uint64_t Digest = 0;
  std::vector<Service> Services;
  std::vector<Upstream> Upstreams;
  std::shared_ptr<const Index> Lookup;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_TABLE_H
