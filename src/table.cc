#include "mulberryhoist/table.h"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>

#include "table-rows.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace mulberryhoist {

using detail::CheckedRow;

std::uint64_t digestRows(DocumentVersion Version,
                         std::span<const RowText> Rows) {
  XXH3_state_t State;
  XXH3_64bits_reset(&State);
  const auto AddNumber = [&State](std::uint64_t Value) {
    XXH3_64bits_update(&State, &Value, sizeof(Value));
  };
  AddNumber(Version.Epoch);
  AddNumber(Version.Revision);
  for (const RowText &Row : Rows) {
    AddNumber(Row.Key.size());
    XXH3_64bits_update(&State, Row.Key.data(), Row.Key.size());
    AddNumber(Row.Value.size());
    XXH3_64bits_update(&State, Row.Value.data(), Row.Value.size());
  }
  return XXH3_64bits_digest(&State);
}

/// The lookup maps of a table.
struct Table::Index {
  std::unordered_map<Endpoint, std::size_t> ServiceByAddress;
  std::unordered_map<ServiceId, std::size_t> ServiceById;
  std::unordered_map<UpstreamId, Upstream> UpstreamById;
  std::unordered_map<Endpoint, UpstreamId> UpstreamByAgent;
  std::unordered_map<ServiceId, std::vector<Assignment>> ByService;
  std::unordered_map<UpstreamId, std::vector<Assignment>> ByUpstream;
  std::unordered_map<Endpoint, std::vector<UpstreamId>> LocateGroups;

  /// Fills `LocateGroups` for each address with the upstreams of every service
  /// that has or recently had it.
  void addLocateGroups(std::span<const CheckedRow> Live,
                       std::span<const CheckedRow> Removed) {
    std::map<ServiceId, std::set<UpstreamId>> UpstreamsByService;
    std::map<Endpoint, std::set<ServiceId>> ServicesByAddress;
    for (const auto &Rows : {Live, Removed}) {
      for (const CheckedRow &Row : Rows) {
        UpstreamsByService[Row.OfService.Id].insert(Row.OfUpstream.Id);
        ServicesByAddress[Row.OfService.Address].insert(Row.OfService.Id);
      }
    }
    for (const auto &[Address, Ids] : ServicesByAddress) {
      std::set<UpstreamId> Group;
      for (const ServiceId Id : Ids) {
        Group.insert(UpstreamsByService[Id].begin(),
                     UpstreamsByService[Id].end());
      }
      this->LocateGroups[Address].assign(Group.begin(), Group.end());
    }
  }
};

Result<Table> Table::create(TableVersion Version, std::span<const RowText> Rows,
                            std::span<const RowText> Removed) {
  std::vector<RowText> Sorted(Rows.begin(), Rows.end());
  std::sort(Sorted.begin(), Sorted.end());
  const auto LiveRows = detail::checkRowTexts(Sorted);
  if (!LiveRows) {
    return tl::unexpected<Error>(LiveRows.error());
  }
  const auto RemovedRows = detail::checkRowTexts(Removed);
  if (!RemovedRows) {
    return tl::unexpected<Error>(RemovedRows.error());
  }
  if (LiveRows->empty()) {
    return makeError(ErrorKind::InvalidTable, "a table needs a service");
  }
  if (auto Problem = detail::checkConsistency(*LiveRows)) {
    return tl::unexpected<Error>(std::move(*Problem));
  }
  Table Created;
  Created.Version = Version;
  Created.Digest = digestRows(Version, Sorted);
  const auto Lookup = std::make_shared<Index>();
  for (const CheckedRow &Row : *LiveRows) {
    const Service &S = Row.OfService;
    const Upstream &U = Row.OfUpstream;
    if (Lookup->ServiceById.emplace(S.Id, Created.Services.size()).second) {
      Lookup->ServiceByAddress.emplace(S.Address, Created.Services.size());
      Created.Services.push_back(S);
    }
    if (Lookup->UpstreamById.emplace(U.Id, U).second) {
      Lookup->UpstreamByAgent.emplace(U.Agent, U.Id);
      Created.Upstreams.push_back(U);
    }
    Lookup->ByService[S.Id].push_back({S.Id, U.Id, Row.Weight});
    Lookup->ByUpstream[U.Id].push_back({S.Id, U.Id, Row.Weight});
  }
  for (const CheckedRow &Row : *RemovedRows) {
    // `emplace` keeps a live upstream that has the same identifier or
    // endpoint as a removed one.
    Lookup->UpstreamById.emplace(Row.OfUpstream.Id, Row.OfUpstream);
    Lookup->UpstreamByAgent.emplace(Row.OfUpstream.Agent, Row.OfUpstream.Id);
  }
  for (auto &[Id, List] : Lookup->ByService) {
    std::sort(List.begin(), List.end(), [](const auto &A, const auto &B) {
      return A.Upstream < B.Upstream;
    });
  }
  for (auto &[Id, List] : Lookup->ByUpstream) {
    std::sort(List.begin(), List.end(), [](const auto &A, const auto &B) {
      return A.Service < B.Service;
    });
  }
  Lookup->addLocateGroups(*LiveRows, *RemovedRows);
  Created.Lookup = Lookup;
  return Created;
}

Result<Table> Table::fromCsv(std::string_view Csv, std::uint64_t Revision) {
  const auto Published = parsePublishedTable(Csv);
  if (!Published) {
    return tl::unexpected<Error>(Published.error());
  }
  return Table::create({Published->Epoch, Revision}, Published->Rows);
}

const Service *Table::findService(Endpoint Address) const {
  const auto Found = this->Lookup->ServiceByAddress.find(Address);
  return Found == this->Lookup->ServiceByAddress.end()
             ? nullptr
             : &this->Services[Found->second];
}

const Service *Table::findService(ServiceId Id) const {
  const auto Found = this->Lookup->ServiceById.find(Id);
  return Found == this->Lookup->ServiceById.end()
             ? nullptr
             : &this->Services[Found->second];
}

const Upstream *Table::findUpstream(UpstreamId Id) const {
  const auto Found = this->Lookup->UpstreamById.find(Id);
  return Found == this->Lookup->UpstreamById.end() ? nullptr : &Found->second;
}

const Upstream *Table::findUpstream(Endpoint Agent) const {
  const auto Found = this->Lookup->UpstreamByAgent.find(Agent);
  return Found == this->Lookup->UpstreamByAgent.end()
             ? nullptr
             : this->findUpstream(Found->second);
}

std::span<const Assignment> Table::assignments(ServiceId Id) const {
  const auto Found = this->Lookup->ByService.find(Id);
  return Found == this->Lookup->ByService.end()
             ? std::span<const Assignment>()
             : std::span<const Assignment>(Found->second);
}

std::span<const Assignment> Table::assignments(UpstreamId Id) const {
  const auto Found = this->Lookup->ByUpstream.find(Id);
  return Found == this->Lookup->ByUpstream.end()
             ? std::span<const Assignment>()
             : std::span<const Assignment>(Found->second);
}

std::span<const UpstreamId> Table::locateGroup(Endpoint Address) const {
  const auto Found = this->Lookup->LocateGroups.find(Address);
  return Found == this->Lookup->LocateGroups.end()
             ? std::span<const UpstreamId>()
             : std::span<const UpstreamId>(Found->second);
}

} // namespace mulberryhoist
