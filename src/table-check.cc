#include <map>
#include <set>

#include "table-rows.h"

namespace mulberryhoist::detail {
namespace {

/// Checks rows against each other.
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
        return fail(Row, UpstreamColumn, Row.OfUpstream.Name,
                    "is a duplicate row of the service");
      }
      this->Total[Row.OfService.Id] += Row.Weight;
    }
    return this->checkWeights(Rows);
  }

private:
  static Error fail(const CheckedRow &Row, Column Which, std::string_view Value,
                    std::string_view Text) {
    return cellError(Row.Line, ColumnNames[Which], Value, Text).value();
  }

  std::optional<Error> checkService(const CheckedRow &Row) {
    const Service &New = Row.OfService;
    const Service &Old = *this->Services.emplace(New.Id, &New).first->second;
    if (Old.Name != New.Name) {
      return fail(Row, ServiceColumn, New.Name,
                  "has the identifier of service " + Old.Name);
    }
    if (Old.Address != New.Address) {
      return fail(Row, AddressColumn, formatEndpoint(New.Address),
                  "differs from another row of the service");
    }
    if (Old.Class != New.Class) {
      return fail(Row, ClassColumn, std::to_string(New.Class),
                  "differs from another row of the service");
    }
    if (Old.Share != New.Share || Old.Closed != New.Closed) {
      return fail(Row, ShareColumn,
                  New.Closed ? ClosedShare : std::to_string(New.Share),
                  "differs from another row of the service");
    }
    const auto &Owner = this->Addresses.emplace(New.Address, &New);
    if (Owner.first->second->Id != New.Id) {
      return fail(Row, AddressColumn, formatEndpoint(New.Address),
                  "belongs to service " + Owner.first->second->Name);
    }
    return std::nullopt;
  }

  std::optional<Error> checkUpstream(const CheckedRow &Row) {
    const Upstream &New = Row.OfUpstream;
    const Upstream &Old = *this->Upstreams.emplace(New.Id, &New).first->second;
    constexpr std::string_view Differs =
        "differs from another row of the upstream";
    if (Old.Name != New.Name) {
      return fail(Row, UpstreamColumn, New.Name,
                  "has the identifier of upstream " + Old.Name);
    }
    if (Old.Agent != New.Agent) {
      return fail(Row, EndpointColumn, formatEndpoint(New.Agent), Differs);
    }
    if (Old.AvailabilityZone != New.AvailabilityZone) {
      return fail(Row, ZoneColumn, New.AvailabilityZone, Differs);
    }
    if (Old.Slots != New.Slots) {
      return fail(Row, SlotsColumn, std::to_string(New.Slots), Differs);
    }
    if (Old.Connections != New.Connections) {
      return fail(Row, ConnectionsColumn, std::to_string(New.Connections),
                  Differs);
    }
    const auto &Owner = this->Agents.emplace(New.Agent, &New);
    if (Owner.first->second->Id != New.Id) {
      return fail(Row, EndpointColumn, formatEndpoint(New.Agent),
                  "belongs to upstream " + Owner.first->second->Name);
    }
    return std::nullopt;
  }

  std::optional<Error> checkWeights(std::span<const CheckedRow> Rows) const {
    for (const CheckedRow &Row : Rows) {
      if (!Row.OfService.Closed && this->Total.at(Row.OfService.Id) == 0) {
        return fail(Row, WeightColumn, "0",
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
  std::map<ServiceId, std::uint64_t> Total;
};

} // namespace

std::optional<Error> checkConsistency(std::span<const CheckedRow> Rows) {
  return CrossChecker().check(Rows);
}

} // namespace mulberryhoist::detail
