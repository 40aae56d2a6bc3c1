/// \file
/// The platform's list of VMs, and the rules by which every process computes
/// its neighbours and the readers of its availability zone.

#ifndef MULBERRYHOIST_MEMBERSHIP_H
#define MULBERRYHOIST_MEMBERSHIP_H

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "mulberryhoist/types.h"

namespace mulberryhoist {

/// What a VM runs.
enum class VmRole : std::uint8_t { Balancer, Agent };

/// What the lagging list says about a VM.
enum class VmState : std::uint8_t { Live, Leaving };

/// One VM of the list.
struct Vm {
  std::string Name;
  VmRole Role = VmRole::Balancer;
  std::string AvailabilityZone;
  VmState State = VmState::Live;
  /// Where the process listens for the document exchange.
  Endpoint Control;
  /// Where the process receives datagrams.
  Endpoint Data;
};

/// The list of VMs at one version; it lags and is only a hint.
struct VmList {
  DocumentVersion Version;
  /// Sorted by name.
  std::vector<Vm> Vms;

  /// Finds a VM by name, or null.
  const Vm *find(std::string_view Name) const;
};

/// Parses lines `name,role,zone,state,control_address,data_address`.
Result<VmList> parseVmList(std::string_view Text, DocumentVersion Version);

/// Formats a VM as the line that `parseVmList` reads.
std::string formatVm(const Vm &Value);

/// Number of processes in each availability zone that read the configuration
/// service while they are in touch.
inline constexpr std::size_t ReadersPerZone = 2;

/// True if the rule makes this process a reader of its availability zone.
///
/// Every process computes the same answer from the same list; a process that is
/// not on the list is a reader, since it may be alone.
bool isReader(const VmList &List, std::string_view Name);

/// Chooses the neighbours of a process: 4 of its zone, 2 of other zones, 1 of
/// another region, fewer where there are fewer. The region of a zone is the
/// part of its name before the last `-`.
std::vector<Endpoint> chooseNeighbours(const VmList &List,
                                       std::string_view Name,
                                       std::string_view AvailabilityZone);

} // namespace mulberryhoist

#endif // MULBERRYHOIST_MEMBERSHIP_H
