/// \file
/// What a balancer believes about routes and upstreams when upstreams register
/// themselves: an immutable directory, and the builder that maintains it
/// through failures of its source.

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

/// A part of a route's new flows.
struct RouteTarget {
  ServiceId Service;
  std::uint32_t Weight = 1;

  friend bool operator==(const RouteTarget &, const RouteTarget &) = default;
};

/// An address that callers use, and where its new flows go.
struct Route {
  Endpoint Address;
  /// At least one, with a weight above 0.
  std::vector<RouteTarget> Targets;
  /// The latency objective.
  std::chrono::milliseconds Goal{0};
  /// How long callers wait for an answer; 0 if it is not known.
  std::chrono::milliseconds Timeout{0};
  /// 0 is the most urgent.
  std::uint32_t Class = 0;

  friend bool operator==(const Route &, const Route &) = default;
};

/// All routes of one version of the configuration.
struct RouteSet {
  std::uint64_t Version = 0;
  std::vector<Route> Routes;
};

/// Whether an upstream takes new flows.
enum class UpstreamState : std::uint8_t {
  Ready,
  Draining, ///< Keeps its flows and gets no new ones.
  Gone,     ///< No longer listed; may still hold old flows.
};

/// Returns the name of a state as it appears in logs.
std::string_view upstreamStateName(UpstreamState State);

/// An upstream as it registered itself.
struct ListedUpstream {
  std::string Name;
  /// Derived from the name.
  UpstreamId Id;
  ServiceId Service;
  /// The VM of the upstream, on which its agent runs.
  std::uint32_t Address = 0;
  std::uint32_t Slots = 1;
  UpstreamState State = UpstreamState::Ready;
  /// Orders the registrations at the source: the greater one is newer.
  std::uint64_t Registered = 0;

  friend bool operator==(const ListedUpstream &,
                         const ListedUpstream &) = default;
};

/// Routes and upstreams at one moment; immutable once made.
class Directory {
public:
  Directory(RouteSet Routes, std::span<const ListedUpstream> Upstreams);

  std::uint64_t version() const { return this->Version; }

  /// Finds the route that has this address, or null.
  const Route *findRoute(Endpoint Address) const;

  /// All upstreams of a service, whatever their state.
  std::span<const ListedUpstream> upstreams(ServiceId Service) const;

  /// True if an upstream that is not gone has its agent at this address.
  bool hasAgent(std::uint32_t Address) const {
    return this->Agents.contains(Address);
  }

  /// Calls `Visit` for every upstream, whatever its state.
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

/// How long upstreams that are missing after an outage of the source are still
/// believed: they register again within two seconds, and half a second allows
/// for the delivery of the change.
inline constexpr Duration ReturnGrace = std::chrono::milliseconds(2500);

/// How long an upstream that left is kept to locate its old flows: the longest
/// life of a flow on the platform.
inline constexpr Duration GoneRetention = std::chrono::seconds(60);

/// Builds directories from what the source reports; for one thread.
class DirectoryBuilder {
public:
  /// Takes over a version of the routes; an older version is `OlderTable`, and
  /// the one in force stays.
  Result<void> onRoutes(RouteSet Next);

  /// An upstream registered itself or changed its entry.
  void onUpstream(ListedUpstream Changed);

  /// The entry of an upstream was removed.
  void onRemoved(std::string_view Name, Instant Now);

  /// A complete list of the upstreams.
  void onListing(std::vector<ListedUpstream> All, Instant Now);

  /// Another balancer's list of the upstreams, while the source is away. It
  /// adds and changes upstreams and removes none.
  void onCopy(std::vector<ListedUpstream> All);

  /// The source cannot be read any more.
  void onSourceLost();

  bool isSourceLost() const { return this->SourceLost; }

  /// Time passes; believes absences whose grace has ended.
  void onTick(Instant Now);

  /// True once there are routes and a list of upstreams.
  bool isComplete() const { return this->HasRoutes && this->HasListing; }

  /// The directory with everything that was reported so far.
  std::shared_ptr<const Directory> current();

  std::uint64_t version() const { return this->Routes.Version; }

private:
  struct Entry {
    ListedUpstream Listed;
    /// Set while an absence is not believed yet.
    std::optional<Instant> BelieveAbsenceAt;
    /// Set once the upstream is gone.
    std::optional<Instant> ForgetAt;
  };

  void remove(Entry &Each, Instant Now);
  void markGone(Entry &Each, Instant Now);

  RouteSet Routes;
  std::map<std::string, Entry, std::less<>> Entries;
  bool HasRoutes = false;
  bool HasListing = false;
  bool SourceLost = true;
  /// Removals before this time may be the effect of an outage.
  std::optional<Instant> GraceUntil;
  std::shared_ptr<const Directory> Built;
};

/// The directory that several threads maintain and read.
class SharedDirectory {
public:
  /// Changes the builder and publishes what it believes afterwards.
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

  /// True while the source can be read. For any thread.
  bool isSourceAvailable() {
    const std::scoped_lock Guard(this->Lock);
    return !this->Builder.isSourceLost();
  }

  /// The newest directory; null until it is complete. For any thread.
  std::shared_ptr<const Directory> get() const { return this->Shown.load(); }

private:
  void publish() {
    if (this->Builder.isComplete()) {
      this->Shown.store(this->Builder.current());
    }
  }

  std::mutex Lock;
  DirectoryBuilder Builder;
  std::atomic<std::shared_ptr<const Directory>> Shown;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_DIRECTORY_H
