/// \file
/// The routes and upstreams that a balancer uses when upstreams register
/// themselves: an immutable directory, and the builder that keeps it valid
/// while its source fails.

#ifndef MULBERRYHOIST_DIRECTORY_H
#define MULBERRYHOIST_DIRECTORY_H

#include <algorithm>
#include <atomic>
#include <chrono>
#include <concepts>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <stop_token>
#include <string>
#include <string_view>
#include <type_traits>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "mulberryhoist/types.h"

namespace mulberryhoist {

/// A service that gets a share of a route's new flows.
struct RouteTarget {
  ServiceId Service;
  std::uint32_t Weight = 1;

  friend bool operator==(const RouteTarget &, const RouteTarget &) = default;
};

/// A service that a route sent new flows to until a change of the routes.
struct FormerTarget {
  ServiceId Service;
  Instant Until;

  friend bool operator==(const FormerTarget &, const FormerTarget &) = default;
};

/// An address that callers connect to, and the services behind it.
struct Route {
  Endpoint Address;
  /// Where new flows go: at least one service, with a weight above 0.
  std::vector<RouteTarget> Targets;
  /// Further services whose upstreams may hold flows of the route.
  std::vector<FormerTarget> Former;
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
  /// All services that the configuration names, also those without a route.
  std::vector<ServiceId> Services{};
  /// How many requests per second a cold upstream of a service bears; a service
  /// that is missing has no limit.
  std::unordered_map<ServiceId, double> ColdRates{};
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
  /// Empty if it is not known; such an upstream is never evacuated.
  std::string AvailabilityZone;
  /// The revision at which the entry was created, of the era of `Revision`;
  /// greater is newer.
  std::uint64_t Registered = 0;
  /// The revision of the entry's last change at the source.
  SourceRevision Revision;
  /// When the upstream started, in Unix time by its own clock; 0 if unknown.
  std::chrono::milliseconds StartedAt{0};
  /// When the upstream was found to be gone; set in snapshots only.
  std::optional<Instant> GoneSince;
  /// Whether the availability zone is evacuated; set in snapshots only.
  bool IsEvacuated = false;
  /// Whether all fields could be read; if not, only the name and the revisions
  /// are valid.
  bool IsReadable = true;
  /// Until when the upstream is cold, if that limits what it gets.
  Instant ColdUntil{};

  friend bool operator==(const ListedUpstream &,
                         const ListedUpstream &) = default;
};

/// Whether an availability zone is evacuated: its upstreams get no new flows.
struct Evacuation {
  std::string AvailabilityZone;
  /// The revision at the source that began or ended the evacuation.
  SourceRevision Revision;
  bool IsActive = true;
  /// When a balancer first learned of it, in Unix time.
  std::chrono::milliseconds Since{0};

  friend bool operator==(const Evacuation &, const Evacuation &) = default;
};

/// Whether the upstream beside an agent takes new flows, as of a revision of
/// the source: it does not while it drains or its zone is evacuated.
struct UpstreamIntake {
  std::uint32_t Agent = 0;
  ServiceId Service;
  SourceRevision Revision;
  bool IsClosed = false;

  friend bool operator==(const UpstreamIntake &,
                         const UpstreamIntake &) = default;
};
/// Returns how long an upstream stays cold, 0 if it is not.
inline std::chrono::milliseconds coldLeft(const ListedUpstream &Each,
                                          Instant Now) {
  return std::max(
      std::chrono::ceil<std::chrono::milliseconds>(Each.ColdUntil - Now),
      std::chrono::milliseconds(0));
}

/// Identifies the routes and upstreams of a directory. A search has covered all
/// upstreams that may hold its flow if the edition has not changed since.
struct DirectoryEdition {
  /// The version of the routes.
  std::uint64_t Version = 0;
  /// How many upstreams and restarts of upstreams were listed so far.
  std::uint32_t Additions = 0;

  friend bool operator==(const DirectoryEdition &,
                         const DirectoryEdition &) = default;
};

/// How far a list of upstreams can be trusted to be complete.
struct Completeness {
  /// `DirectoryEdition::Additions`.
  std::uint32_t Additions = 0;
  /// When the upstreams that were missing after an outage of the source have
  /// registered again; empty while the source is unavailable.
  std::optional<Instant> SettledAt;
  /// Since when every version of the routes has been applied; empty if that is
  /// not known.
  std::optional<Instant> RoutesKnownSince{};
  /// Whether there are entries of services that the configuration does not
  /// name, at addresses that no other entry has. An earlier version may have
  /// named them, so that they may hold flows.
  bool HasUnnamedServices = false;
  /// The era of the source; empty if it has not told one.
  std::optional<std::uint64_t> Era{};
  /// How often the source has come back from an older copy.
  std::uint32_t Returns = 0;
};

/// An immutable snapshot of routes and upstreams.
class Directory {
public:
  Directory(RouteSet Routes, std::span<const ListedUpstream> Upstreams,
            Completeness Listing = {},
            std::vector<Evacuation> Evacuations = {});

  std::uint64_t version() const { return this->Version; }

  const Completeness &completeness() const { return this->Listing; }

  DirectoryEdition edition() const {
    return {this->Version, this->Listing.Additions};
  }

  /// Returns the route of an address, or null if there is none.
  const Route *findRoute(Endpoint Address) const;

  /// Returns the upstreams of a service in any state.
  std::span<const ListedUpstream> upstreams(ServiceId Service) const;

  /// Returns whether an upstream that is not gone has its agent at `Address`.
  bool hasAgent(std::uint32_t Address) const {
    return this->Agents.contains(Address);
  }

  /// Returns whether an upstream in any state has its agent at `Address`.
  bool knowsAgent(std::uint32_t Address) const {
    return this->AllAgents.contains(Address);
  }

  /// Returns the services of all upstreams in any state.
  std::span<const ServiceId> services() const { return this->Services; }

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

  /// Returns the evacuations that are active or ended a short time ago.
  std::span<const Evacuation> evacuations() const { return this->Evacuations; }

  /// Returns the intake of all upstreams that are not gone.
  std::vector<UpstreamIntake> intakes() const;
  /// Returns the services that the configuration names besides its routes.
  std::span<const ServiceId> namedServices() const { return this->Named; }

  /// `RouteSet::ColdRates`.
  const std::unordered_map<ServiceId, double> &coldRates() const {
    return this->ColdRates;
  }

private:
  std::uint64_t Version;
  std::vector<Route> Routes;
  std::vector<ServiceId> Named;
  std::unordered_map<ServiceId, double> ColdRates;
  Completeness Listing;
  std::vector<Evacuation> Evacuations;
  std::unordered_map<Endpoint, std::size_t> ByAddress;
  std::unordered_map<ServiceId, std::vector<ListedUpstream>> ByService;
  std::vector<ServiceId> Services;
  std::unordered_set<std::uint32_t> Agents;
  std::unordered_set<std::uint32_t> AllAgents;
};

/// How long upstreams that are missing after an outage of the source stay
/// listed: they register again within two seconds, and delivery of the change
/// may take another half second.
inline constexpr Duration ReregistrationGrace = std::chrono::milliseconds(2500);

/// The longest lifetime of a flow on the platform.
inline constexpr Duration FlowLifetime = std::chrono::seconds(60);

/// How long an upstream that is gone is kept to locate its flows.
inline constexpr Duration GoneRetention = FlowLifetime;

/// How long an evacuation that has ended is remembered, so that an older copy
/// does not bring it back; longer than a balancer or agent holds one.
inline constexpr Duration EndedEvacuationRetention = std::chrono::minutes(10);

/// The most availability zones with an evacuation, active or ended; beyond it,
/// ended ones are forgotten.
inline constexpr std::size_t MaxEvacuations = 1'024;

/// How long ago the former source may have answered last for an evacuation that
/// has ended, and that the copy still has, to stay ended. The copy may have it
/// because it was ordered again; then it must be in force 5 s after that, and
/// the listing `ReregistrationGrace` later tells.
inline constexpr Duration RecentAnswer = std::chrono::seconds(2);

/// What a balancer knows of the source of its directory.
struct SourceStatus {
  bool IsAvailable = false;
  /// The revision up to which all changes are applied.
  SourceRevision Revision;
  /// `DirectoryBuilder::keptUntil`.
  std::optional<Instant> KeptUntil{};
};

/// Builds directories from the updates of the source. Not thread-safe.
class DirectoryBuilder {
public:
  /// Handles the revision of a listing before it is applied. If the era has
  /// risen, the source has come back from an older copy, and for
  /// `ReregistrationGrace` what is known goes before the copy; `HeardAt` is
  /// when the source had answered last.
  void onSource(const SourceRevision &AsOf, Instant HeardAt, Instant Now);

  /// Takes over the era that another balancer knows, if it is higher.
  void onPeerSource(const SourceStatus &Peer, Instant Now);

  /// Returns until when listings do not replace what was known before the
  /// source came back from an older copy; stays set until a listing after that.
  std::optional<Instant> keptUntil() const { return this->KeptUntil; }

  /// Applies a version of the routes, or reports `OlderTable` and keeps the
  /// current routes if the version is older than theirs. `Skips` is true unless
  /// the version is known to follow the current one.
  Result<void> onRoutes(RouteSet Next, bool Skips, Instant Now);

  /// Adds an upstream or replaces its entry. An entry that names no upstream
  /// adds none, and takes no flows from the upstream whose entry it replaces.
  void onUpstream(ListedUpstream Changed);

  /// Handles the removal of an upstream's entry at the source.
  void onRemoved(std::string_view Name, Instant Now);

  /// Replaces all upstreams with a complete list from the source.
  /// Before `keptUntil`, a known upstream stays as it is if its entry may be
  /// older, and one that is missing has until then to register again.
  void onListing(std::vector<ListedUpstream> All, Instant Now);

  /// Applies the beginning or end of an evacuation, unless a newer change of
  /// the zone is known.
  void onEvacuation(Evacuation Changed, Instant Now);

  /// Replaces the evacuations with a complete list from the source, as of a
  /// revision; changes with a greater revision stay. Before `keptUntil`, those
  /// of a former era stay too.
  void onEvacuationListing(std::span<const Evacuation> All,
                           const SourceRevision &AsOf, Instant Now);

  /// Merges another balancer's evacuations by their revisions. Ignores those
  /// that the source would have reported already.
  void onPeerEvacuations(std::span<const Evacuation> All, Instant Now);

  /// Records that all changes of the source up to a revision are applied.
  void onRevision(const SourceRevision &Applied);

  /// Merges another balancer's list of upstreams while the source is
  /// unavailable; adds and changes upstreams but removes none. Ignores entries
  /// that are older than what the builder knows.
  void onPeerListing(std::vector<ListedUpstream> All);

  const SourceRevision &revision() const { return this->AppliedRevision; }

  /// Marks the source as unavailable.
  void onSourceLost();

  bool isSourceLost() const { return this->SourceLost; }

  /// Returns whether the directory has all upstreams of a list from the source,
  /// in their present incarnations.
  bool hasAll(std::span<const ListedUpstream> Listed) const;

  const Completeness &completeness() const { return this->Listing; }

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

  struct KnownEvacuation {
    Evacuation Latest;
    Instant ChangedAt;
    /// The revision that began it.
    SourceRevision BeganAt;
  };

  bool isEvacuated(std::string_view Zone) const;
  /// Returns whether a listing may be that of an older copy, so that it does
  /// not replace what is known.
  bool isCopy(Instant Now) const {
    return this->KeptUntil && Now < *this->KeptUntil;
  }
  /// Sets the era of all that is known without one.
  void setUnknownEras(std::uint64_t Next);
  /// Begins the time in which what is known goes before listings.
  void beginReturn(const SourceRevision &AsOf, Instant Until);
  /// Applies an entry of a copy, unless the known one counts. Returns false if
  /// it is of a former process of that name, so that the known one is missing.
  bool onCopiedUpstream(ListedUpstream Changed);
  /// Returns whether an evacuation of a copy is known to have ended since.
  bool hasEnded(const Evacuation &Copied) const;
  /// Returns whether an entry names an upstream: it is readable, and its
  /// service is one of the configuration, or a former target of a route, whose
  /// flows may live there. Other writers leave other entries. Any service
  /// counts until there is a configuration.
  bool namesUpstream(const ListedUpstream &Entry) const;
  /// Handles an entry that names no upstream.
  void onForeignEntry(ListedUpstream Changed);
  /// Lists the upstreams that a new configuration names.
  void reconsiderForeignEntries();
  void remove(Entry &Each, Instant Now);
  void markGone(Entry &Each, Instant Now);
  /// Sets the former targets of the next version's routes, which replaces the
  /// current one.
  void keepFormerTargets(RouteSet &Next, Instant Now) const;

  RouteSet Routes;
  /// The services whose entries name upstreams.
  std::unordered_set<ServiceId> Named;
  std::map<std::string, Entry, std::less<>> Entries;
  std::map<std::string, KnownEvacuation, std::less<>> Evacuations;
  /// Entries that name no upstream. One that replaced the entry of an upstream
  /// keeps it from new flows until the upstream registers again or is removed.
  std::map<std::string, ListedUpstream, std::less<>> Foreign;
  Completeness Listing;
  SourceRevision AppliedRevision;
  bool HasRoutes = false;
  bool HasListing = false;
  bool SourceLost = true;
  /// Removals before this time may be caused by an outage of the source.
  std::optional<Instant> GraceUntil;
  /// See `keptUntil`.
  std::optional<Instant> KeptUntil;
  /// Whether the end of an evacuation that the copy has is believed; see
  /// `RecentAnswer`.
  bool KeepsEnds = false;
  std::shared_ptr<const Directory> Cached;
};

/// A read of the source that found the directory to be up to date.
struct Confirmation {
  /// When the read began.
  Instant ReadAt;
  DirectoryEdition Edition;
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

  /// Returns whether the source is available, and up to which revision its
  /// changes are applied. Thread-safe.
  SourceStatus sourceStatus() {
    const std::scoped_lock Guard(this->Lock);
    return {!this->Builder.isSourceLost(), this->Builder.revision(),
            this->Builder.keptUntil()};
  }

  /// Returns the latest directory, or null until it is complete. Thread-safe.
  std::shared_ptr<const Directory> get() const {
    return this->Published.load();
  }

  /// Requests that the source is asked for changes that the directory does not
  /// have yet. Thread-safe.
  void requestConfirmation() {
    const std::scoped_lock Guard(this->Lock);
    this->IsConfirmationRequested = true;
    this->ConfirmationRequested.notify_all();
  }

  /// Waits for a request, and returns false if a stop is requested first.
  bool awaitConfirmationRequest(const std::stop_token &Stop) {
    std::unique_lock Guard(this->Lock);
    return this->ConfirmationRequested.wait(Guard, Stop, [this] {
      return std::exchange(this->IsConfirmationRequested, false);
    });
  }

  /// Compares the upstreams that have changed at the source with the directory,
  /// and returns whether they confirm it; the read of the changes began at
  /// `ReadAt` and covers those after `After`. A read of a former era, or before
  /// the directory follows the source again, confirms nothing. Thread-safe.
  bool confirm(std::span<const ListedUpstream> Changed, Instant ReadAt,
               const SourceRevision &After = {}) {
    const std::scoped_lock Guard(this->Lock);
    if (this->Builder.isSourceLost() || this->Builder.keptUntil() ||
        After.Era != this->Builder.revision().Era ||
        !this->Builder.hasAll(Changed)) {
      return false;
    }
    this->LastConfirmation = {ReadAt, this->Builder.current()->edition()};
    return true;
  }

  /// Returns the last confirmation, if there is any. Thread-safe.
  std::optional<Confirmation> confirmation() {
    const std::scoped_lock Guard(this->Lock);
    return this->LastConfirmation;
  }

private:
  void publish() {
    if (this->Builder.isComplete()) {
      this->Published.store(this->Builder.current());
    }
  }

  std::mutex Lock;
  DirectoryBuilder Builder;
  std::condition_variable_any ConfirmationRequested;
  bool IsConfirmationRequested = false;
  std::optional<Confirmation> LastConfirmation;
  std::atomic<std::shared_ptr<const Directory>> Published;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_DIRECTORY_H
