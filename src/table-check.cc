#include <map>
#include <set>

#include "table-rows.h"

namespace mulberryhoist::detail {
namespace {

/// Checks that rows are consistent with each other.
class CrossChecker {
public:
  std::optional<Error> check(std::span<const CheckedRow> Rows) {
    for (const CheckedRow &Row : Rows) {
      if (auto Problem = this->checkService(Row)) {
        return Problem;
      }
      if (auto Problem = this->checkUpstream(Row)) {
        return Problem;
      }
      if (!this->Pairs.emplace(Row.OfService.Id, Row.OfUpstream.Id).second) {
        return rowError(Row, UpstreamColumn, Row.OfUpstream.Name,
                        "is a duplicate row of the service");
      }
      this->TotalWeight[Row.OfService.Id] += Row.Weight;
    }
    return this->checkWeights(Rows);
  }

private:
  static Error rowError(const CheckedRow &Row, Column Index,
                        std::string_view Value, std::string_view Text) {
    return cellError(Row.Line, ColumnNames[Index], Value, Text).value();
  }

  std::optional<Error> checkService(const CheckedRow &Row) {
    const Service &Current = Row.OfService;
    const Service &First =
        *this->Services.emplace(Current.Id, &Current).first->second;
    if (First.Name != Current.Name) {
      return rowError(Row, ServiceColumn, Current.Name,
                      "has the identifier of service " + First.Name);
    }
    if (First.Address != Current.Address) {
      return rowError(Row, AddressColumn, formatEndpoint(Current.Address),
                      "differs from another row of the service");
    }
    if (First.Class != Current.Class) {
      return rowError(Row, ClassColumn, std::to_string(Current.Class),
                      "differs from another row of the service");
    }
    if (First.Share != Current.Share || First.Closed != Current.Closed) {
      return rowError(Row, ShareColumn,
                      Current.Closed ? ClosedShare
                                     : std::to_string(Current.Share),
                      "differs from another row of the service");
    }
    const auto &Entry = this->Addresses.emplace(Current.Address, &Current);
    if (Entry.first->second->Id != Current.Id) {
      return rowError(Row, AddressColumn, formatEndpoint(Current.Address),
                      "belongs to service " + Entry.first->second->Name);
    }
    return std::nullopt;
  }

  std::optional<Error> checkUpstream(const CheckedRow &Row) {
    const Upstream &Current = Row.OfUpstream;
    const Upstream &First =
        *this->Upstreams.emplace(Current.Id, &Current).first->second;
    constexpr std::string_view Differs =
        "differs from another row of the upstream";
    if (First.Name != Current.Name) {
      return rowError(Row, UpstreamColumn, Current.Name,
                      "has the identifier of upstream " + First.Name);
    }
    if (First.Agent != Current.Agent) {
      return rowError(Row, EndpointColumn, formatEndpoint(Current.Agent),
                      Differs);
    }
    if (First.AvailabilityZone != Current.AvailabilityZone) {
      return rowError(Row, ZoneColumn, Current.AvailabilityZone, Differs);
    }
    if (First.Slots != Current.Slots) {
      return rowError(Row, SlotsColumn, std::to_string(Current.Slots), Differs);
    }
    if (First.Connections != Current.Connections) {
      return rowError(Row, ConnectionsColumn,
                      std::to_string(Current.Connections), Differs);
    }
    const auto &Entry = this->Agents.emplace(Current.Agent, &Current);
    if (Entry.first->second->Id != Current.Id) {
      return rowError(Row, EndpointColumn, formatEndpoint(Current.Agent),
                      "belongs to upstream " + Entry.first->second->Name);
    }
    return std::nullopt;
  }

  std::optional<Error> checkWeights(std::span<const CheckedRow> Rows) const {
    for (const CheckedRow &Row : Rows) {
      if (!Row.OfService.Closed &&
          this->TotalWeight.at(Row.OfService.Id) == 0) {
        return rowError(Row, WeightColumn, "0",
                        "in every row needs share 'closed' (service " +
                            Row.OfService.Name + ")");
      }
    }
    return std::nullopt;
  }

  std::map<ServiceId, const Service *> Services;
  std::map<Endpoint, const Service *> Addresses;
  std::map<UpstreamId, const Upstream *> Upstreams;
  std::map<Endpoint, const Upstream *> Agents;
  std::set<std::pair<ServiceId, UpstreamId>> Pairs;
  std::map<ServiceId, std::uint64_t> TotalWeight;
};

} // namespace

std::optional<Error> checkConsistency(std::span<const CheckedRow> Rows) {
  return CrossChecker().check(Rows);
}

} // namespace mulberryhoist::detail
