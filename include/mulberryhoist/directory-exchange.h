/// \file
/// How balancers hand each other the directory when its source is away.

#ifndef MULBERRYHOIST_DIRECTORY_EXCHANGE_H
#define MULBERRYHOIST_DIRECTORY_EXCHANGE_H

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "mulberryhoist/directory.h"

namespace mulberryhoist {

/// The path at which a balancer serves its directory.
inline constexpr std::string_view DirectoryPath = "/directory";

/// How long balancers may take to answer. They answer within milliseconds, and
/// one that is down must not delay the others' answers for long.
inline constexpr Duration PeerTimeout = std::chrono::milliseconds(300);

/// A directory as another balancer believes it.
struct DirectoryCopy {
  RouteSet Routes;
  std::vector<ListedUpstream> Upstreams;
  /// The other balancer can read the source.
  bool SourceAvailable = false;
};

/// Writes a directory as JSON.
std::string writeDirectory(const Directory &From, bool SourceAvailable);

/// Reads what `writeDirectory` wrote, or reports `MalformedMessage`.
Result<DirectoryCopy> readDirectory(std::string_view Text);

/// Asks balancers for their directories and hands the best one to the builder:
/// one whose source is available, or any while there is none at all. Returns
/// whether a directory was taken over.
bool fetchDirectoryFromPeers(std::span<const Endpoint> Peers,
                             SharedDirectory &To);

} // namespace mulberryhoist

#endif // MULBERRYHOIST_DIRECTORY_EXCHANGE_H
