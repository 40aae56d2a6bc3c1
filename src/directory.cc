#include "mulberryhoist/directory.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

#include "mulberryhoist/log.h"

namespace mulberryhoist {
namespace {

void logUpstream(std::string_view Text, const ListedUpstream &Each) {
  log(LogLevel::Info, Text,
      {{"upstream", Each.Name},
       {"agent", formatAddress(Each.Address)},
       {"state", upstreamStateName(Each.State)},
       {"slots", std::int64_t{Each.Slots}}});
}

/// Returns the services that a configuration lists, those of its routes, and
/// those that its routes have left.
std::unordered_set<ServiceId> namedServices(const RouteSet &From) {
  std::unordered_set<ServiceId> Named(From.Services.begin(),
                                      From.Services.end());
  for (const Route &Each : From.Routes) {
    for (const RouteTarget &Target : Each.Targets) {
      Named.insert(Target.Service);
    }
    for (const FormerTarget &Target : Each.Former) {
      Named.insert(Target.Service);
    }
  }
  return Named;
}

const SourceRevision &newer(const SourceRevision &A, const SourceRevision &B) {
  return isOlder(A, B) ? B : A;
}

SourceRevision createdAt(const ListedUpstream &Each) {
  return {Each.Registered, Each.Revision.Era};
}

/// Returns whether two entries of one name describe the same process. An entry
/// that is written again in another era is created anew.
bool isSameIncarnation(const ListedUpstream &A, const ListedUpstream &B) {
  const bool IsCreatedAnew =
      A.Revision.Era != B.Revision.Era && A.StartedAt.count() != 0;
  return (A.Registered == B.Registered || IsCreatedAnew) &&
         A.StartedAt == B.StartedAt && A.Address == B.Address &&
         A.Service == B.Service;
}

} // namespace

std::string_view upstreamStateName(UpstreamState State) {
  switch (State) {
  case UpstreamState::Ready:
    return "ready";
  case UpstreamState::Draining:
    return "draining";
  case UpstreamState::Gone:
    return "gone";
  }
  return "gone";
}

Directory::Directory(RouteSet Routes, std::span<const ListedUpstream> Upstreams,
                     Completeness Listing, std::vector<Evacuation> Evacuations)
    : Version(Routes.Version), Routes(std::move(Routes.Routes)),
      Named(std::move(Routes.Services)), ColdRates(std::move(Routes.ColdRates)),
      Listing(Listing), Evacuations(std::move(Evacuations)) {
  for (std::size_t I = 0; I < this->Routes.size(); ++I) {
    this->ByAddress.insert_or_assign(this->Routes[I].Address, I);
  }
  for (const ListedUpstream &Each : Upstreams) {
    auto &List = this->ByService[Each.Service];
    if (List.empty()) {
      this->Services.push_back(Each.Service);
    }
    List.push_back(Each);
    this->AllAgents.insert(Each.Address);
    if (Each.State != UpstreamState::Gone) {
      this->Agents.insert(Each.Address);
    }
  }
}

const Route *Directory::findRoute(Endpoint Address) const {
  const auto Found = this->ByAddress.find(Address);
  return Found == this->ByAddress.end() ? nullptr
                                        : &this->Routes[Found->second];
}

std::span<const ListedUpstream> Directory::upstreams(ServiceId Service) const {
  const auto Found = this->ByService.find(Service);
  if (Found == this->ByService.end()) {
    return {};
  }
  return Found->second;
}

std::vector<UpstreamIntake> Directory::intakes() const {
  std::vector<UpstreamIntake> All;
  this->forEachUpstream([&](const ListedUpstream &Each) {
    if (Each.State == UpstreamState::Gone) {
      return;
    }
    UpstreamIntake Intake = {Each.Address, Each.Service, Each.Revision,
                             Each.IsEvacuated ||
                                 Each.State == UpstreamState::Draining};
    const auto Zone =
        std::ranges::find(this->Evacuations, Each.AvailabilityZone,
                          &Evacuation::AvailabilityZone);
    if (Zone != this->Evacuations.end()) {
      Intake.Revision = newer(Intake.Revision, Zone->Revision);
    }
    All.push_back(Intake);
  });
  return All;
}

void DirectoryBuilder::keepFormerTargets(RouteSet &Next, Instant Now) const {
  std::unordered_map<Endpoint, const Route *> Current;
  for (const Route &Each : this->Routes.Routes) {
    Current.insert_or_assign(Each.Address, &Each);
  }
  for (Route &Each : Next.Routes) {
    const auto Found = Current.find(Each.Address);
    if (Found == Current.end()) {
      continue;
    }
    const auto Keep = [&Each](ServiceId Service, Instant Until) {
      if (std::ranges::find(Each.Targets, Service, &RouteTarget::Service) ==
          Each.Targets.end()) {
        Each.Former.push_back({Service, Until});
      }
    };
    for (const RouteTarget &Target : Found->second->Targets) {
      Keep(Target.Service, Now);
    }
    for (const FormerTarget &Target : Found->second->Former) {
      if (Now - Target.Until < FlowLifetime) {
        Keep(Target.Service, Target.Until);
      }
    }
  }
}

Result<void> DirectoryBuilder::onRoutes(RouteSet Next, bool Skips,
                                        Instant Now) {
  if (this->HasRoutes && Next.Version < this->Routes.Version) {
    return makeError(
        ErrorKind::OlderTable,
        fmt::format("configuration version {} is older than current version {}",
                    Next.Version, this->Routes.Version));
  }
  if (this->HasRoutes && Next.Version == this->Routes.Version) {
    return {};
  }
  log(LogLevel::Info, "configuration in force",
      {{"version", static_cast<std::int64_t>(Next.Version)},
       {"previous", static_cast<std::int64_t>(this->Routes.Version)},
       {"routes", static_cast<std::int64_t>(Next.Routes.size())}});
  this->keepFormerTargets(Next, Now);
  if (Skips || !this->HasRoutes) {
    this->Listing.RoutesKnownSince = Now;
  }
  this->Routes = std::move(Next);
  this->Named = namedServices(this->Routes);
  this->HasRoutes = true;
  this->reconsiderForeignEntries();
  this->Cached = nullptr;
  return {};
}

bool DirectoryBuilder::namesUpstream(const ListedUpstream &Entry) const {
  return Entry.IsReadable &&
         (!this->HasRoutes || this->Named.contains(Entry.Service));
}

void DirectoryBuilder::onForeignEntry(ListedUpstream Changed) {
  const auto Known = this->Foreign.find(Changed.Name);
  if (Known != this->Foreign.end() && Known->second == Changed) {
    return;
  }
  log(LogLevel::Info, "entry names no upstream",
      {{"entry", Changed.Name},
       {"cause", Changed.IsReadable ? "unknown service" : "not readable"},
       {"replaces_upstream", this->Entries.contains(Changed.Name)}});
  std::string Name = Changed.Name;
  this->Foreign.insert_or_assign(std::move(Name), std::move(Changed));
  this->Cached = nullptr;
}

void DirectoryBuilder::reconsiderForeignEntries() {
  std::vector<ListedUpstream> Upstreams;
  for (const auto &[Name, Each] : this->Foreign) {
    if (this->namesUpstream(Each)) {
      Upstreams.push_back(Each);
    }
  }
  for (ListedUpstream &Each : Upstreams) {
    this->onUpstream(std::move(Each));
  }
}

void DirectoryBuilder::onUpstream(ListedUpstream Changed) {
  if (!this->namesUpstream(Changed)) {
    this->onForeignEntry(std::move(Changed));
    return;
  }
  if (this->Foreign.erase(Changed.Name) > 0) {
    this->Cached = nullptr;
  }
  if (!this->Routes.ColdRates.contains(Changed.Service)) {
    Changed.ColdUntil = Instant();
  }
  Entry &Existing = this->Entries[Changed.Name];
  const bool IsNew = Existing.Listed.Name.empty();
  if (!IsNew && Existing.Listed.Revision.Era != Changed.Revision.Era) {
    this->Cached = nullptr;
    if (isSameIncarnation(Existing.Listed, Changed)) {
      Existing.Listed.Revision = Changed.Revision;
      Existing.Listed.Registered = Changed.Registered;
    }
  }
  const bool IsSame = Existing.Listed == Changed;
  Existing.ReregisterBy.reset();
  Existing.ExpiresAt.reset();
  if (IsSame) {
    return;
  }
  if (IsNew || !isSameIncarnation(Existing.Listed, Changed)) {
    ++this->Listing.Additions;
  }
  Existing.Listed = std::move(Changed);
  logUpstream(IsNew ? "upstream listed" : "upstream changed", Existing.Listed);
  this->Cached = nullptr;
}

void DirectoryBuilder::markGone(Entry &Each, Instant Now) {
  Each.ReregisterBy.reset();
  Each.ExpiresAt = Now + GoneRetention;
  Each.Listed.State = UpstreamState::Gone;
  logUpstream("upstream gone", Each.Listed);
  this->Cached = nullptr;
}

void DirectoryBuilder::remove(Entry &Each, Instant Now) {
  if (Each.ExpiresAt || Each.ReregisterBy) {
    return;
  }
  // A draining upstream is not expected to register again.
  const bool MayReturn = this->GraceUntil && Now < *this->GraceUntil &&
                         Each.Listed.State == UpstreamState::Ready;
  if (!MayReturn) {
    this->markGone(Each, Now);
    return;
  }
  Each.ReregisterBy = this->GraceUntil;
  logUpstream("upstream missing after source outage", Each.Listed);
}

void DirectoryBuilder::onRemoved(std::string_view Name, Instant Now) {
  if (const auto Other = this->Foreign.find(Name);
      Other != this->Foreign.end()) {
    this->Foreign.erase(Other);
  }
  const auto Found = this->Entries.find(Name);
  if (Found != this->Entries.end()) {
    this->remove(Found->second, Now);
  }
}

void DirectoryBuilder::setUnknownEras(std::uint64_t Next) {
  for (auto &[Name, Each] : this->Entries) {
    if (!Each.Listed.Revision.Era) {
      Each.Listed.Revision.Era = Next;
    }
  }
  for (auto &[Zone, Each] : this->Evacuations) {
    if (!Each.Latest.Revision.Era) {
      Each.Latest.Revision.Era = Next;
    }
  }
  if (this->AppliedRevision.Number != 0 && !this->AppliedRevision.Era) {
    this->AppliedRevision.Era = Next;
  }
  this->Cached = nullptr;
}

void DirectoryBuilder::beginReturn(const SourceRevision &AsOf, Instant Until) {
  log(LogLevel::Warning, "source came back from an older copy",
      {{"era", static_cast<std::int64_t>(*AsOf.Era)},
       {"former_era", static_cast<std::int64_t>(this->Listing.Era.value_or(0))},
       {"revision", static_cast<std::int64_t>(AsOf.Number)},
       {"former_revision",
        static_cast<std::int64_t>(this->AppliedRevision.Number)},
       {"version", static_cast<std::int64_t>(this->Routes.Version)},
       {"upstreams", static_cast<std::int64_t>(this->Entries.size())}});
  ++this->Listing.Returns;
  this->KeptUntil = Until;
  this->GraceUntil = Until;
  if (!this->SourceLost) {
    this->Listing.SettledAt = Until;
  }
  for (auto &[Name, Each] : this->Entries) {
    if (Each.ReregisterBy) {
      Each.ReregisterBy = std::max(*Each.ReregisterBy, Until);
    }
  }
}

void DirectoryBuilder::onSource(const SourceRevision &AsOf, Instant HeardAt,
                                Instant Now) {
  if (!AsOf.Era || (this->Listing.Era && *AsOf.Era <= *this->Listing.Era)) {
    return;
  }
  const bool WentBack = AsOf.Number < this->AppliedRevision.Number;
  if (!this->Listing.Era) {
    this->setUnknownEras(WentBack && *AsOf.Era > 0 ? *AsOf.Era - 1 : *AsOf.Era);
  }
  if (this->Listing.Era || WentBack) {
    this->beginReturn(AsOf, Now + ReregistrationGrace);
    this->KeepsEnds = Now - HeardAt <= RecentAnswer;
  }
  this->Listing.Era = AsOf.Era;
  this->Cached = nullptr;
}

void DirectoryBuilder::onPeerSource(const SourceStatus &Peer, Instant Now) {
  const std::optional<std::uint64_t> &Era = Peer.Revision.Era;
  if (!Era || (this->Listing.Era && *Era <= *this->Listing.Era)) {
    return;
  }
  if (!this->Listing.Era) {
    this->setUnknownEras(*Era);
  }
  if (this->Listing.Era || Peer.KeptUntil) {
    this->beginReturn(Peer.Revision, Peer.KeptUntil.value_or(Now));
    this->KeepsEnds = false;
  }
  this->Listing.Era = Era;
  this->Cached = nullptr;
}

bool DirectoryBuilder::onCopiedUpstream(ListedUpstream Changed) {
  const auto Found = this->Entries.find(Changed.Name);
  if (Found == this->Entries.end() || !this->namesUpstream(Changed) ||
      Found->second.Listed.Revision.Era >= Changed.Revision.Era) {
    this->onUpstream(std::move(Changed));
    return true;
  }
  Entry &Known = Found->second;
  const bool HasStartTimes =
      Known.Listed.StartedAt.count() != 0 && Changed.StartedAt.count() != 0;
  if (HasStartTimes && Changed.StartedAt > Known.Listed.StartedAt) {
    this->onUpstream(std::move(Changed));
    return true;
  }
  if (HasStartTimes && Changed.StartedAt < Known.Listed.StartedAt) {
    logUpstream("entry of a former process ignored", Changed);
    return false;
  }
  const bool IsReadyAgain = Changed.State == UpstreamState::Ready &&
                            Known.Listed.State != UpstreamState::Ready;
  if (IsReadyAgain || Known.ExpiresAt) {
    logUpstream("older entry of a copy ignored", Known.Listed);
    return true;
  }
  if (Changed.State == UpstreamState::Ready &&
      Changed.Revision.Number <= Known.Listed.Revision.Number) {
    Known.ReregisterBy.reset();
    return true;
  }
  this->onUpstream(std::move(Changed));
  return true;
}

void DirectoryBuilder::onListing(std::vector<ListedUpstream> All, Instant Now) {
  if (this->SourceLost && this->HasListing) {
    this->GraceUntil = Now + ReregistrationGrace;
  }
  if (this->SourceLost) {
    log(LogLevel::Info, "source of the directory available",
        {{"upstreams", static_cast<std::int64_t>(All.size())}});
    this->Listing.SettledAt = Now + ReregistrationGrace;
  }
  this->SourceLost = false;
  this->HasListing = true;
  std::set<std::string, std::less<>> Present;
  const bool IsCopy = this->isCopy(Now);
  for (ListedUpstream &Each : All) {
    std::string Name = Each.Name;
    if (!IsCopy) {
      this->onUpstream(std::move(Each));
    } else if (!this->onCopiedUpstream(std::move(Each))) {
      continue;
    }
    Present.insert(std::move(Name));
  }
  std::erase_if(this->Foreign, [&Present](const auto &Each) {
    return !Present.contains(Each.first);
  });
  for (auto &[Name, Each] : this->Entries) {
    if (!Present.contains(Name)) {
      this->remove(Each, Now);
    }
  }
  if (!IsCopy && this->KeptUntil) {
    log(LogLevel::Info, "directory follows the source again",
        {{"upstreams", static_cast<std::int64_t>(Present.size())}});
    this->KeptUntil.reset();
  }
  this->Cached = nullptr;
}

bool DirectoryBuilder::isEvacuated(std::string_view Zone) const {
  const auto Found = this->Evacuations.find(Zone);
  return Found != this->Evacuations.end() && Found->second.Latest.IsActive;
}

void DirectoryBuilder::onEvacuation(Evacuation Changed, Instant Now) {
  const std::string Zone = Changed.AvailabilityZone;
  if (Zone.empty()) {
    log(LogLevel::Warning, "evacuation without an availability zone ignored",
        {{"revision", static_cast<std::int64_t>(Changed.Revision.Number)}});
    return;
  }
  const auto Found = this->Evacuations.find(Zone);
  const bool IsKnown = Found != this->Evacuations.end();
  if (IsKnown && !isOlder(Found->second.Latest.Revision, Changed.Revision)) {
    return;
  }
  if (!IsKnown && this->Evacuations.size() >= MaxEvacuations) {
    std::erase_if(this->Evacuations, [](const auto &Each) {
      return !Each.second.Latest.IsActive;
    });
  }
  const bool WasActive = this->isEvacuated(Zone);
  const bool IsActive = Changed.IsActive;
  if (WasActive && IsActive) {
    // Written again: the evacuation goes on.
    Changed.Since = Found->second.Latest.Since;
  } else if (Changed.Since.count() == 0) {
    Changed.Since = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
  }
  if (WasActive != IsActive) {
    const auto Upstreams =
        std::ranges::count_if(this->Entries, [&Zone](const auto &Each) {
          return Each.second.Listed.AvailabilityZone == Zone;
        });
    log(LogLevel::Info,
        IsActive ? "evacuation of zone began" : "evacuation of zone ended",
        {{"zone", Zone},
         {"revision", static_cast<std::int64_t>(Changed.Revision.Number)},
         {"upstreams", static_cast<std::int64_t>(Upstreams)}});
  }
  const SourceRevision BeganAt =
      IsActive || !IsKnown ? Changed.Revision : Found->second.BeganAt;
  this->Evacuations.insert_or_assign(
      Zone, KnownEvacuation{std::move(Changed), Now, BeganAt});
  this->Cached = nullptr;
}

bool DirectoryBuilder::hasEnded(const Evacuation &Copied) const {
  const auto Found = this->Evacuations.find(Copied.AvailabilityZone);
  if (!this->KeepsEnds || Found == this->Evacuations.end()) {
    return false;
  }
  const KnownEvacuation &Known = Found->second;
  return !Known.Latest.IsActive &&
         Known.Latest.Revision.Era < Copied.Revision.Era &&
         Known.BeganAt.Number == Copied.Revision.Number;
}

void DirectoryBuilder::onEvacuationListing(std::span<const Evacuation> All,
                                           const SourceRevision &AsOf,
                                           Instant Now) {
  const bool IsCopy = this->isCopy(Now);
  for (const Evacuation &Each : All) {
    if (!IsCopy || !this->hasEnded(Each)) {
      this->onEvacuation(Each, Now);
    }
  }
  std::vector<Evacuation> Ended;
  for (const auto &[Zone, Each] : this->Evacuations) {
    const bool IsListed =
        std::ranges::find(All, Zone, &Evacuation::AvailabilityZone) !=
        All.end();
    const bool IsKept = IsCopy && Each.Latest.Revision.Era < AsOf.Era;
    if (Each.Latest.IsActive && !IsListed && !IsKept &&
        isOlder(Each.Latest.Revision, AsOf)) {
      Ended.push_back({Zone, AsOf, false});
    }
  }
  for (Evacuation &Each : Ended) {
    this->onEvacuation(std::move(Each), Now);
  }
}

void DirectoryBuilder::onPeerEvacuations(std::span<const Evacuation> All,
                                         Instant Now) {
  for (Evacuation Each : All) {
    if (!Each.Revision.Era) {
      Each.Revision.Era = this->Listing.Era;
    }
    // One that is not known at the applied revision has ended before it.
    const bool IsApplied = !isOlder(this->AppliedRevision, Each.Revision) &&
                           !this->Evacuations.contains(Each.AvailabilityZone);
    if (!IsApplied) {
      this->onEvacuation(std::move(Each), Now);
    }
  }
}

void DirectoryBuilder::onRevision(const SourceRevision &Applied) {
  this->AppliedRevision = newer(this->AppliedRevision, Applied);
}

void DirectoryBuilder::onPeerListing(std::vector<ListedUpstream> All) {
  this->HasListing = true;
  for (ListedUpstream &Each : All) {
    if (!Each.Revision.Era) {
      Each.Revision.Era = this->Listing.Era;
    }
    const auto Known = this->Entries.find(Each.Name);
    // An upstream that is not known at the applied revision has left before it.
    const bool IsKnown =
        !isOlder(this->AppliedRevision, Each.Revision) ||
        (Known != this->Entries.end() &&
         isOlder(Each.Revision, Known->second.Listed.Revision));
    if (!IsKnown) {
      this->onUpstream(std::move(Each));
    }
  }
  this->Cached = nullptr;
}

void DirectoryBuilder::onSourceLost() {
  if (!this->SourceLost) {
    log(LogLevel::Warning, "source of the directory lost",
        {{"version", static_cast<std::int64_t>(this->Routes.Version)},
         {"upstreams", static_cast<std::int64_t>(this->Entries.size())}});
  }
  this->SourceLost = true;
  this->Listing.SettledAt.reset();
  this->Cached = nullptr;
}

bool DirectoryBuilder::hasAll(std::span<const ListedUpstream> Listed) const {
  return std::ranges::all_of(Listed, [this](const ListedUpstream &Each) {
    if (!this->namesUpstream(Each)) {
      return true;
    }
    const auto Found = this->Entries.find(Each.Name);
    return Found != this->Entries.end() &&
           isSameIncarnation(Found->second.Listed, Each);
  });
}

void DirectoryBuilder::onTick(Instant Now) {
  std::erase_if(this->Evacuations, [&](const auto &Each) {
    const bool IsExpired =
        !Each.second.Latest.IsActive &&
        Now - Each.second.ChangedAt >= EndedEvacuationRetention;
    if (IsExpired) {
      this->Cached = nullptr;
    }
    return IsExpired;
  });
  for (auto Each = this->Entries.begin(); Each != this->Entries.end();) {
    Entry &Existing = Each->second;
    if (Existing.ReregisterBy && Now >= *Existing.ReregisterBy) {
      this->markGone(Existing, Now);
    }
    if (Existing.ExpiresAt && Now >= *Existing.ExpiresAt) {
      Each = this->Entries.erase(Each);
      this->Cached = nullptr;
    } else {
      ++Each;
    }
  }
}

std::shared_ptr<const Directory> DirectoryBuilder::current() {
  if (this->Cached == nullptr) {
    // An upstream that restarted is also listed under its old name until that
    // entry expires; only the newest entry of an address is valid.
    std::unordered_map<std::uint32_t, SourceRevision> Newest;
    for (const auto &[Name, Each] : this->Entries) {
      if (this->namesUpstream(Each.Listed)) {
        SourceRevision &Last = Newest[Each.Listed.Address];
        Last = newer(Last, createdAt(Each.Listed));
      }
    }
    std::vector<ListedUpstream> All;
    All.reserve(this->Entries.size());
    for (const auto &[Name, Each] : this->Entries) {
      if (!this->namesUpstream(Each.Listed)) {
        continue;
      }
      All.push_back(Each.Listed);
      if (Each.ExpiresAt) {
        All.back().GoneSince = *Each.ExpiresAt - GoneRetention;
      }
      if (isOlder(createdAt(Each.Listed), Newest[Each.Listed.Address])) {
        All.back().State = UpstreamState::Gone;
      } else if (Each.Listed.State == UpstreamState::Ready &&
                 this->Foreign.contains(Name)) {
        All.back().State = UpstreamState::Draining;
      }
      All.back().IsEvacuated = this->isEvacuated(Each.Listed.AvailabilityZone);
    }
    const auto IsUnnamed = [&](const ListedUpstream &Each) {
      return Each.IsReadable && !this->namesUpstream(Each) &&
             !Newest.contains(Each.Address);
    };
    this->Listing.HasUnnamedServices =
        std::ranges::any_of(
            this->Foreign,
            [&](const auto &Each) { return IsUnnamed(Each.second); }) ||
        std::ranges::any_of(this->Entries, [&](const auto &Each) {
          return IsUnnamed(Each.second.Listed);
        });
    std::vector<Evacuation> Evacuated;
    for (const auto &[Zone, Each] : this->Evacuations) {
      Evacuated.push_back(Each.Latest);
    }
    this->Cached = std::make_shared<const Directory>(
        this->Routes, All, this->Listing, std::move(Evacuated));
  }
  return this->Cached;
}

} // namespace mulberryhoist
