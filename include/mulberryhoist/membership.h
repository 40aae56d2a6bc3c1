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

/// The role of the process on a VM.
enum class VmRole : std::uint8_t { Balancer, Agent };

/// The state of a VM in the list, which lags.
enum class VmState : std::uint8_t { Live, Leaving };

/// One VM of the list.
struct Vm {
  std::string Name;
  VmRole Role = VmRole::Balancer;
  std::string AvailabilityZone;
  VmState State = VmState::Live;
  /// The address at which the process listens for the document exchange.
  Endpoint Control;
  /// The address at which the process receives datagrams.
  Endpoint Data;
};

/// The list of VMs at one version; it lags and is only a hint.
struct VmList {
  DocumentVersion Version;
  /// Sorted by name.
  std::vector<Vm> Vms;

  /// Returns the VM of this name, or null.
  const Vm *find(std::string_view Name) const;
};

/// Parses lines `name,role,zone,state,control_address,data_address`; fails if
/// any line is invalid or incomplete, or if a name appears twice.
Result<VmList> parseVmList(std::string_view Text, DocumentVersion Version);

/// Formats a VM as the line that `parseVmList` reads.
std::string formatVm(const Vm &Value);

/// Number of balancers in each availability zone that watch the configuration
/// service; other processes read it only if no neighbour confirms their
/// documents.
inline constexpr std::size_t ReadersPerZone = 2;

/// Returns true if this process is a reader of its availability zone.
/// Every process computes the same result from the same list; a process that is
/// not on the list is a reader, since it may be the only process.
bool isReader(const VmList &List, std::string_view Name);

/// Chooses the neighbours of a process: 4 of its zone, 2 of other zones, 1 of
/// another region, fewer where there are fewer. The region of a zone is the
/// part of its name before the last `-`.
std::vector<Endpoint> chooseNeighbours(const VmList &List,
                                       std::string_view Name,
                                       std::string_view AvailabilityZone);

} // namespace mulberryhoist

#endif // MULBERRYHOIST_MEMBERSHIP_H
