/// \file
/// The routes and upstreams that a balancer uses when upstreams register
/// themselves: an immutable directory, and the builder that keeps it valid
/// while its source fails.

#ifndef MULBERRYHOIST_DIRECTORY_H
#define MULBERRYHOIST_DIRECTORY_H

#include <atomic>
#include <chrono>
#include <concepts>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <type_traits>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "mulberryhoist/types.h"

namespace mulberryhoist {

/// A service that gets a share of a route's new flows.
struct RouteTarget {
  ServiceId Service;
  std::uint32_t Weight = 1;

  friend bool operator==(const RouteTarget &, const RouteTarget &) = default;
};

/// An address that callers connect to, and the services behind it.
struct Route {
  Endpoint Address;
  /// At least one, with a weight above 0.
  std::vector<RouteTarget> Targets;
  /// The latency objective.
  std::chrono::milliseconds Goal{0};
  /// How long callers wait for a response; 0 if unknown.
  std::chrono::milliseconds Timeout{0};
  /// 0 is the most urgent.
  std::uint32_t Class = 0;

  friend bool operator==(const Route &, const Route &) = default;
};

/// The routes of one version of the configuration.
struct RouteSet {
  std::uint64_t Version = 0;
  std::vector<Route> Routes;
};

/// Whether an upstream takes new flows.
enum class UpstreamState : std::uint8_t {
  Ready,
  Draining, ///< Keeps its flows and gets no new ones.
  Gone,     ///< No longer listed; may still own flows.
};

/// Returns the name of a state as it appears in logs.
std::string_view upstreamStateName(UpstreamState State);

/// The registration of an upstream.
struct ListedUpstream {
  std::string Name;
  /// Derived from the name.
  UpstreamId Id;
  ServiceId Service;
  /// The address of the VM on which the upstream and its agent run.
  std::uint32_t Address = 0;
  std::uint32_t Slots = 1;
  UpstreamState State = UpstreamState::Ready;
  /// The creation revision of the entry at the source; greater is newer.
  std::uint64_t Registered = 0;

  friend bool operator==(const ListedUpstream &,
                         const ListedUpstream &) = default;
};

/// An immutable snapshot of routes and upstreams.
class Directory {
public:
  Directory(RouteSet Routes, std::span<const ListedUpstream> Upstreams);

  std::uint64_t version() const { return this->Version; }

  /// Returns the route of an address, or null if there is none.
  const Route *findRoute(Endpoint Address) const;

  /// Returns the upstreams of a service in any state.
  std::span<const ListedUpstream> upstreams(ServiceId Service) const;

  /// Returns whether an upstream that is not gone has its agent at `Address`.
  bool hasAgent(std::uint32_t Address) const {
    return this->Agents.contains(Address);
  }

  /// Calls `Visit` for every upstream in any state.
  template <std::invocable<const ListedUpstream &> Visitor>
  void forEachUpstream(const Visitor &Visit) const {
    for (const auto &[Service, List] : this->ByService) {
      for (const ListedUpstream &Each : List) {
        Visit(Each);
      }
    }
  }

  std::span<const Route> routes() const { return this->Routes; }

private:
  std::uint64_t Version;
  std::vector<Route> Routes;
  std::unordered_map<Endpoint, std::size_t> ByAddress;
  std::unordered_map<ServiceId, std::vector<ListedUpstream>> ByService;
  std::unordered_set<std::uint32_t> Agents;
};

/// How long upstreams that are missing after an outage of the source stay
/// listed: they register again within two seconds, and delivery of the change
/// may take another half second.
inline constexpr Duration ReregistrationGrace = std::chrono::milliseconds(2500);

/// How long an upstream that is gone is kept to locate its flows: the longest
/// lifetime of a flow on the platform.
inline constexpr Duration GoneRetention = std::chrono::seconds(60);

/// Builds directories from the updates of the source. Not thread-safe.
class DirectoryBuilder {
public:
  /// Applies a version of the routes, or reports `OlderTable` and keeps the
  /// current routes if the version is older than theirs.
  Result<void> onRoutes(RouteSet Next);

  /// Adds an upstream or replaces its entry.
  void onUpstream(ListedUpstream Changed);

  /// Handles the removal of an upstream's entry at the source.
  void onRemoved(std::string_view Name, Instant Now);

  /// Replaces all upstreams with a complete list from the source.
  void onListing(std::vector<ListedUpstream> All, Instant Now);

  /// Merges another balancer's list of upstreams while the source is
  /// unavailable; adds and changes upstreams but removes none.
  void onPeerListing(std::vector<ListedUpstream> All);

  /// Marks the source as unavailable.
  void onSourceLost();

  bool isSourceLost() const { return this->SourceLost; }

  /// Marks missing upstreams as gone after their grace period, and evicts those
  /// that have been gone for `GoneRetention`.
  void onTick(Instant Now);

  /// Returns whether both routes and a list of upstreams have arrived.
  bool isComplete() const { return this->HasRoutes && this->HasListing; }

  /// Returns a directory with all updates so far.
  std::shared_ptr<const Directory> current();

  std::uint64_t version() const { return this->Routes.Version; }

private:
  struct Entry {
    ListedUpstream Listed;
    /// When a missing upstream is marked as gone; empty while it is listed.
    std::optional<Instant> ReregisterBy;
    /// When the entry is evicted; set once the upstream is gone.
    std::optional<Instant> ExpiresAt;
  };

  void remove(Entry &Each, Instant Now);
  void markGone(Entry &Each, Instant Now);

  RouteSet Routes;
  std::map<std::string, Entry, std::less<>> Entries;
  bool HasRoutes = false;
  bool HasListing = false;
  bool SourceLost = true;
  /// Removals before this time may be caused by an outage of the source.
  std::optional<Instant> GraceUntil;
  std::shared_ptr<const Directory> Cached;
};

/// A directory that several threads update and read.
class SharedDirectory {
public:
  /// Applies a change to the builder and publishes the resulting directory.
  template <std::invocable<DirectoryBuilder &> Change>
  auto update(const Change &Apply) {
    const std::scoped_lock Guard(this->Lock);
    if constexpr (std::is_void_v<
                      std::invoke_result_t<Change, DirectoryBuilder &>>) {
      Apply(this->Builder);
      this->publish();
    } else {
      auto Outcome = Apply(this->Builder);
      this->publish();
      return Outcome;
    }
  }

  /// Returns whether the source is available. Thread-safe.
  bool isSourceAvailable() {
    const std::scoped_lock Guard(this->Lock);
    return !this->Builder.isSourceLost();
  }

  /// Returns the latest directory, or null until it is complete. Thread-safe.
  std::shared_ptr<const Directory> get() const {
    return this->Published.load();
  }

private:
  void publish() {
    if (this->Builder.isComplete()) {
      this->Published.store(this->Builder.current());
    }
  }

  std::mutex Lock;
  DirectoryBuilder Builder;
  std::atomic<std::shared_ptr<const Directory>> Published;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_DIRECTORY_H
