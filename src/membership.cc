#include "mulberryhoist/membership.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <tuple>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace mulberryhoist {
namespace {

constexpr std::size_t ColumnCount = 6;
constexpr std::size_t NeighboursInZone = 4;
constexpr std::size_t NeighboursInOtherZones = 2;
constexpr std::size_t NeighboursInOtherRegions = 1;

constexpr std::array<std::string_view, ColumnCount> ColumnNames = {
    "name", "role", "zone", "state", "control_address", "data_address"};

using Fields = std::array<std::string_view, ColumnCount>;

tl::unexpected<Error> fieldError(std::size_t Line, std::size_t Column,
                                 std::string_view Value) {
  constexpr std::size_t MaxShown = 80;
  std::string Shown(Value.substr(0, MaxShown));
  std::replace_if(
      Shown.begin(), Shown.end(),
      [](char Letter) { return Letter < ' ' || Letter > '~'; }, '?');
  return makeError(ErrorKind::InvalidTable,
                   fmt::format("VM list, line {}, column {}: '{}' is not valid",
                               Line, ColumnNames[Column], Shown));
}

Result<Fields> splitLine(std::string_view Line, std::size_t Number) {
  Fields Found;
  for (std::size_t I = 0; I < ColumnCount; ++I) {
    const std::size_t Comma = Line.find(',');
    if ((Comma == std::string_view::npos) != (I + 1 == ColumnCount)) {
      return fieldError(Number, I, Line);
    }
    Found[I] = Line.substr(0, Comma);
    Line.remove_prefix(std::min(Line.size(), Found[I].size() + 1));
  }
  return Found;
}

Result<Vm> parseVm(std::string_view Line, std::size_t Number) {
  const auto Columns = splitLine(Line, Number);
  if (!Columns) {
    return tl::unexpected<Error>(Columns.error());
  }
  const auto &[Name, Role, Zone, State, Control, Data] = *Columns;
  if (!isName(Name)) {
    return fieldError(Number, 0, Name);
  }
  if (Role != "balancer" && Role != "agent") {
    return fieldError(Number, 1, Role);
  }
  if (!isName(Zone)) {
    return fieldError(Number, 2, Zone);
  }
  if (State != "live" && State != "leaving") {
    return fieldError(Number, 3, State);
  }
  const auto ControlAddress = parseEndpoint(Control);
  if (!ControlAddress || ControlAddress->Port == 0) {
    return fieldError(Number, 4, Control);
  }
  const auto DataAddress = parseEndpoint(Data);
  if (!DataAddress || DataAddress->Port == 0) {
    return fieldError(Number, 5, Data);
  }
  return Vm{
      std::string(Name), Role == "agent" ? VmRole::Agent : VmRole::Balancer,
      std::string(Zone), State == "leaving" ? VmState::Leaving : VmState::Live,
      *ControlAddress,   *DataAddress};
}

std::uint64_t rankHash(std::string_view Own, std::string_view Other) {
  return XXH3_64bits_withSeed(Other.data(), Other.size(),
                              XXH3_64bits(Own.data(), Own.size()));
}

std::string_view regionOf(std::string_view Zone) {
  return Zone.substr(0, Zone.rfind('-'));
}

struct RankedVm {
  const Vm *Listed = nullptr;
  bool Leaving = false;
  bool OtherRegion = false;
  std::uint64_t Rank = 0;
};

} // namespace

const Vm *VmList::find(std::string_view Name) const {
  const auto Found = std::lower_bound(
      this->Vms.begin(), this->Vms.end(), Name,
      [](const Vm &Each, std::string_view Text) { return Each.Name < Text; });
  return Found != this->Vms.end() && Found->Name == Name ? &*Found : nullptr;
}

Result<VmList> parseVmList(std::string_view Text, DocumentVersion Version) {
  if (!Text.ends_with('\n')) {
    return makeError(ErrorKind::IncompleteTable,
                     "VM list: the last line has no newline");
  }
  VmList List;
  List.Version = Version;
  std::size_t Number = 0;
  while (!Text.empty()) {
    std::string_view Line = Text.substr(0, Text.find('\n'));
    Text.remove_prefix(Line.size() + 1);
    if (Line.ends_with('\r')) {
      Line.remove_suffix(1);
    }
    auto Each = parseVm(Line, ++Number);
    if (!Each) {
      return tl::unexpected<Error>(std::move(Each.error()));
    }
    List.Vms.push_back(std::move(*Each));
  }
  std::sort(List.Vms.begin(), List.Vms.end(),
            [](const Vm &A, const Vm &B) { return A.Name < B.Name; });
  const auto Duplicate = std::adjacent_find(
      List.Vms.begin(), List.Vms.end(),
      [](const Vm &A, const Vm &B) { return A.Name == B.Name; });
  if (Duplicate != List.Vms.end()) {
    return makeError(ErrorKind::InvalidTable,
                     fmt::format("VM list, column name: '{}' appears twice",
                                 Duplicate->Name));
  }
  return List;
}

std::string formatVm(const Vm &Value) {
  return fmt::format("{},{},{},{},{},{}", Value.Name,
                     Value.Role == VmRole::Agent ? "agent" : "balancer",
                     Value.AvailabilityZone,
                     Value.State == VmState::Leaving ? "leaving" : "live",
                     formatEndpoint(Value.Control), formatEndpoint(Value.Data));
}

bool isReader(const VmList &List, std::string_view Name) {
  const Vm *Own = List.find(Name);
  if (Own == nullptr) {
    return true;
  }
  if (Own->Role != VmRole::Balancer || Own->State != VmState::Live) {
    return false;
  }
  const std::string &Zone = Own->AvailabilityZone;
  const auto Order = [&Zone](const Vm &Each) {
    return std::pair(rankHash(Zone, Each.Name), std::string_view(Each.Name));
  };
  const auto RankedBefore =
      std::count_if(List.Vms.begin(), List.Vms.end(), [&](const Vm &Each) {
        return Each.Role == VmRole::Balancer && Each.State == VmState::Live &&
               Each.AvailabilityZone == Zone && Order(Each) < Order(*Own);
      });
  return static_cast<std::size_t>(RankedBefore) < ReadersPerZone;
}

std::vector<Endpoint> chooseNeighbours(const VmList &List,
                                       std::string_view Name,
                                       std::string_view AvailabilityZone) {
  const std::string_view Region = regionOf(AvailabilityZone);
  std::vector<RankedVm> InZone;
  std::vector<RankedVm> OtherZones;
  for (const Vm &Each : List.Vms) {
    if (Each.Name == Name) {
      continue;
    }
    const RankedVm Entry = {&Each, Each.State == VmState::Leaving,
                            regionOf(Each.AvailabilityZone) != Region,
                            rankHash(Name, Each.Name)};
    (Each.AvailabilityZone == AvailabilityZone ? InZone : OtherZones)
        .push_back(Entry);
  }
  // A leaving VM is chosen only if there is no other; of the other zones those
  // of the same region come first.
  const auto ComesBefore = [](const RankedVm &A, const RankedVm &B) {
    return std::tuple(A.Leaving, A.OtherRegion, A.Rank) <
           std::tuple(B.Leaving, B.OtherRegion, B.Rank);
  };
  std::sort(InZone.begin(), InZone.end(), ComesBefore);
  std::sort(OtherZones.begin(), OtherZones.end(), ComesBefore);
  std::vector<Endpoint> Chosen;
  const auto ChooseFrom = [&Chosen](std::vector<RankedVm> &From,
                                    std::size_t Limit, bool OnlyOtherRegions) {
    for (auto Each = From.begin(); Each != From.end() && Limit > 0;) {
      if (OnlyOtherRegions && !Each->OtherRegion) {
        ++Each;
        continue;
      }
      Chosen.push_back(Each->Listed->Control);
      Each = From.erase(Each);
      --Limit;
    }
  };
  ChooseFrom(InZone, NeighboursInZone, false);
  ChooseFrom(OtherZones, NeighboursInOtherZones, false);
  ChooseFrom(OtherZones, NeighboursInOtherRegions, true);
  return Chosen;
}

} // namespace mulberryhoist
