/// \file
/// Transfer of the directory between balancers while its source is unavailable.

#ifndef MULBERRYHOIST_DIRECTORY_EXCHANGE_H
#define MULBERRYHOIST_DIRECTORY_EXCHANGE_H

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "mulberryhoist/directory.h"

namespace mulberryhoist {

/// The path at which a balancer serves its directory.
inline constexpr std::string_view DirectoryPath = "/directory";

/// What a balancer without a complete directory serves there.
inline constexpr std::string_view NoDirectory = "{}";

/// The time limit for the responses of other balancers. They respond within
/// milliseconds, and one that is down must not delay the others for long.
inline constexpr Duration PeerTimeout = std::chrono::milliseconds(300);

/// A directory received from another balancer.
struct PeerDirectory {
  RouteSet Routes;
  std::vector<ListedUpstream> Upstreams;
  SourceStatus Source;
  std::vector<Evacuation> Evacuations{};
};

/// Serializes a directory as JSON, without upstreams that are gone.
std::string writeDirectory(const Directory &From, const SourceStatus &Source);

/// Parses the output of `writeDirectory`, or reports `MalformedMessage`.
Result<PeerDirectory> readDirectory(std::string_view Text);

/// Returns whether the directory of one balancer is preferable to another: its
/// source is available, or else its era, its routes or its upstreams are newer.
bool isBetter(const PeerDirectory &A, const PeerDirectory &B);

/// Fetches the directories of other balancers that have a complete one.
std::vector<PeerDirectory> fetchDirectories(std::span<const Endpoint> Peers);

/// Returns the best directory, with the newest routes of all whose source is as
/// available; empty if there is none.
std::optional<PeerDirectory> bestDirectory(std::vector<PeerDirectory> All);

/// Applies another balancer's directory while the source is unavailable, or
/// before its first listing.
void applyPeerDirectory(PeerDirectory Peer, DirectoryBuilder &To);

/// Fetches the directories of other balancers and applies the best one: one
/// whose source is available, or any if there is no complete directory yet.
/// The evacuations of all of them are merged. Returns whether a directory was
/// applied.
bool fetchDirectoryFromPeers(std::span<const Endpoint> Peers,
                             SharedDirectory &To);

} // namespace mulberryhoist

#endif // MULBERRYHOIST_DIRECTORY_EXCHANGE_H
