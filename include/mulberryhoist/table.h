/// \file
/// The table that operators edit: its data model, parser and checks.

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

/// The largest value accepted from the configuration service, in bytes.
inline constexpr std::size_t MaxTableBytes = 1U << 20U;

/// How long a removed row is kept to locate the owners of older flows.
inline constexpr Duration TombstoneRetention = std::chrono::hours(24);

/// A service: its address, its class and its share of each upstream.
struct Service {
  ServiceId Id;
  std::string Name;
  Endpoint Address;
  /// 0 is the most urgent class, 7 the least.
  std::uint8_t Class = 0;
  std::uint32_t Share = 1;
  /// True for a service that is being retired; its weights are all 0, which is
  /// an error in other services.
  bool Closed = false;
};

/// An upstream: one back-end server and its agent.
struct Upstream {
  UpstreamId Id;
  std::string Name;
  /// The endpoint at which the agent of this upstream receives datagrams.
  Endpoint Agent;
  std::string AvailabilityZone;
  std::uint32_t Slots = 1;
  std::uint32_t Connections = 1;
};

/// The weight of an upstream for a service, from one row of the table.
struct Assignment {
  ServiceId Service;
  UpstreamId Upstream;
  std::uint32_t Weight = 0;
};

/// One row as text, the unit in which processes exchange tables.
///
/// `Key` is `service/upstream`; `Value` is the CSV line of the row.
struct RowText {
  std::string Key;
  std::string Value;

  friend auto operator<=>(const RowText &, const RowText &) = default;
};

/// The checked rows of a published value, without its header, epoch row and
/// end row.
struct PublishedTable {
  std::uint32_t Epoch = 0;
  /// Sorted by key.
  std::vector<RowText> Rows;
};

/// Parses a published CSV value and checks the complete table.
///
/// The error detail names the line, the column and the value.
Result<PublishedTable> parsePublishedTable(std::string_view Csv);

/// Returns the digest of a version and its rows, which are sorted by key.
std::uint64_t digestRows(DocumentVersion Version,
                         std::span<const RowText> Rows);

/// A complete, checked and immutable table, indexed for lookups.
class Table {
public:
  /// Creates a table from live rows and the rows that were removed recently.
  ///
  /// Removed rows are only used to locate flows that were opened under them.
  static Result<Table> create(TableVersion Version,
                              std::span<const RowText> Rows,
                              std::span<const RowText> Removed = {});

  /// Creates a table from a published CSV value.
  static Result<Table> fromCsv(std::string_view Csv, std::uint64_t Revision);

  TableVersion version() const { return this->Version; }

  /// Returns the digest of the version and the live rows; it is equal on all
  /// processes that have the same table in force.
  std::uint64_t digest() const { return this->Digest; }

  std::span<const Service> services() const { return this->Services; }
  std::span<const Upstream> upstreams() const { return this->Upstreams; }

  /// Returns the live service with this address, or null.
  const Service *findService(Endpoint Address) const;

  /// Returns the live service with this identifier, or null.
  const Service *findService(ServiceId Id) const;

  /// Returns an upstream, live or recently removed, or null.
  const Upstream *findUpstream(UpstreamId Id) const;

  /// Returns the upstream, live or recently removed, whose agent has this
  /// endpoint, or null.
  const Upstream *findUpstream(Endpoint Agent) const;

  /// Returns the live rows of a service, sorted by upstream identifier.
  std::span<const Assignment> assignments(ServiceId Id) const;

  /// Returns the live rows of an upstream, sorted by service identifier.
  std::span<const Assignment> assignments(UpstreamId Id) const;

  /// Returns every upstream that may own a flow to this address, without
  /// duplicates: the live and recently removed upstreams of each service that
  /// has the address or had it recently.
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
