#include "mulberryhoist/directory.h"

#include <gtest/gtest.h>

#include "mulberryhoist/directory-exchange.h"
#include "mulberryhoist/process.h"
#include "steer-samples.h"

namespace mulberryhoist {
namespace {

using namespace samples;
using std::chrono::milliseconds;

class DirectoryBuilderTest : public testing::Test {
protected:
  UpstreamState stateOf(std::uint32_t Number) {
    const auto InForce = this->Builder.current();
    for (const ListedUpstream &Each : InForce->upstreams(OrderService)) {
      if (Each.Address == agentAddress(Number)) {
        return Each.State;
      }
    }
    ADD_FAILURE() << "upstream " << Number << " is not listed";
    return UpstreamState::Gone;
  }

  Instant Now = Instant(std::chrono::hours(1));
  DirectoryBuilder Builder;
};

// Guards against a process that returns to an older configuration.
TEST_F(DirectoryBuilderTest, OlderConfigurationIsRejected) {
  ASSERT_TRUE(this->Builder.onRoutes(routes(7), false, this->Now).has_value());
  EXPECT_EQ(this->Builder.onRoutes(routes(6), false, this->Now).error().Kind,
            ErrorKind::OlderTable);
  EXPECT_TRUE(this->Builder.onRoutes(routes(7), false, this->Now).has_value());
  EXPECT_EQ(this->Builder.version(), 7U);
}

struct UnnamedServiceRow {
  std::string Name;
  ServiceId Service = TemplateService;
  /// The number of the agent at whose address the entry is.
  std::uint32_t Address = 2;
  bool IsReadable = true;
  bool IsUnnamed = false;
};

class UnnamedServiceTest
    : public DirectoryBuilderTest,
      public testing::WithParamInterface<UnnamedServiceRow> {};

// Guards against the reset of a flow at an upstream whose service no route
// names any more, by a balancer that has not seen the earlier version.
TEST_P(UnnamedServiceTest, EntryOfAnUnnamedServiceIsNoticed) {
  ASSERT_TRUE(this->Builder.onRoutes(routes(1), true, this->Now).has_value());
  ListedUpstream Other = upstream(GetParam().Address);
  Other.Name = "i-other";
  Other.Service = GetParam().Service;
  Other.IsReadable = GetParam().IsReadable;
  this->Builder.onListing({upstream(1), Other}, this->Now);
  EXPECT_EQ(this->Builder.current()->completeness().HasUnnamedServices,
            GetParam().IsUnnamed);
}

INSTANTIATE_TEST_SUITE_P(
    Rows, UnnamedServiceTest,
    testing::Values(
        UnnamedServiceRow{.Name = "ownAddress", .IsUnnamed = true},
        UnnamedServiceRow{.Name = "addressOfAnother", .Address = 1},
        UnnamedServiceRow{.Name = "unreadable", .IsReadable = false},
        UnnamedServiceRow{.Name = "named", .Service = OrderService}),
    [](const auto &Info) { return Info.param.Name; });

struct FormerTargetRow {
  std::string Name;
  /// The services of successive versions; none if the route is removed.
  std::vector<std::vector<ServiceId>> Versions;
  /// The time between two versions.
  Duration Gap = std::chrono::seconds(1);
  std::vector<ServiceId> Former = {};
};

class FormerTargetTest : public DirectoryBuilderTest,
                         public testing::WithParamInterface<FormerTargetRow> {};

// Guards against flows that count as gone because their service left the route
// (review case 1).
TEST_P(FormerTargetTest, ServicesThatLeftARouteAreKept) {
  const FormerTargetRow &Row = GetParam();
  for (std::size_t I = 0; I < Row.Versions.size(); ++I) {
    RouteSet Next = routes(I + 1);
    Next.Routes[0].Targets.clear();
    for (const ServiceId Each : Row.Versions[I]) {
      Next.Routes[0].Targets.push_back({Each, 1});
    }
    if (Row.Versions[I].empty()) {
      Next.Routes.clear();
    }
    ASSERT_TRUE(
        this->Builder.onRoutes(std::move(Next), false, this->Now).has_value());
    this->Now += Row.Gap;
  }
  std::vector<ServiceId> Former = {};
  for (const FormerTarget &Each :
       this->Builder.current()->findRoute(Orders)->Former) {
    Former.push_back(Each.Service);
  }
  EXPECT_EQ(Former, Row.Former);
}

inline const ServiceId ThirdService = serviceId("third");

INSTANTIATE_TEST_SUITE_P(
    Rows, FormerTargetTest,
    testing::Values(
        FormerTargetRow{.Name = "unchanged",
                        .Versions = {{OrderService}, {OrderService}}},
        FormerTargetRow{
            .Name = "weightOfZero",
            .Versions = {{OrderService, TemplateService}, {OrderService}},
            .Former = {TemplateService}},
        FormerTargetRow{.Name = "otherService",
                        .Versions = {{OrderService}, {TemplateService}},
                        .Former = {OrderService}},
        FormerTargetRow{
            .Name = "twoChanges",
            .Versions = {{OrderService}, {TemplateService}, {ThirdService}},
            .Former = {TemplateService, OrderService}},
        FormerTargetRow{
            .Name = "cameBack",
            .Versions = {{OrderService}, {TemplateService}, {OrderService}},
            .Former = {TemplateService}},
        FormerTargetRow{.Name = "longAgo",
                        .Versions = {{OrderService},
                                     {TemplateService},
                                     {TemplateService},
                                     {ThirdService}},
                        .Gap = FlowLifetime / 2,
                        .Former = {TemplateService}},
        // Removing a route ends its flows.
        FormerTargetRow{.Name = "removedAndAddedAgain",
                        .Versions = {{OrderService}, {}, {TemplateService}}}),
    [](const auto &Info) { return Info.param.Name; });

// Guards against the reset of a flow that a version opened which this balancer
// has not seen.
TEST_F(DirectoryBuilderTest, SkippedVersionBeginsTheHistoryOfRoutesAnew) {
  const auto Since = [this] {
    return this->Builder.completeness().RoutesKnownSince;
  };
  EXPECT_FALSE(Since().has_value());
  const Instant First = this->Now;
  ASSERT_TRUE(this->Builder.onRoutes(routes(1), true, First).has_value());
  EXPECT_EQ(Since(), First);
  this->Now += std::chrono::seconds(1);
  ASSERT_TRUE(this->Builder.onRoutes(routes(2), false, this->Now).has_value());
  // A list that has the current version skips none.
  ASSERT_TRUE(this->Builder.onRoutes(routes(2), true, this->Now).has_value());
  EXPECT_EQ(Since(), First);
  ASSERT_TRUE(this->Builder.onRoutes(routes(4), true, this->Now).has_value());
  EXPECT_EQ(Since(), this->Now);
}

TEST_F(DirectoryBuilderTest, IsCompleteOnlyWithRoutesAndListing) {
  EXPECT_FALSE(this->Builder.isComplete());
  this->Builder.onListing({upstream(1)}, this->Now);
  EXPECT_FALSE(this->Builder.isComplete());
  ASSERT_TRUE(this->Builder.onRoutes(routes(), false, this->Now).has_value());
  EXPECT_TRUE(this->Builder.isComplete());
}

TEST_F(DirectoryBuilderTest,
       RemovedUpstreamGetsNoNewFlowsButStaysToLocateOldOnes) {
  this->Builder.onListing({upstream(1), upstream(2)}, this->Now);
  this->Builder.onRemoved("i-1", this->Now);
  EXPECT_EQ(this->stateOf(1), UpstreamState::Gone);
  EXPECT_EQ(this->stateOf(2), UpstreamState::Ready);
  this->Builder.onTick(this->Now + GoneRetention);
  EXPECT_EQ(this->Builder.current()->upstreams(OrderService).size(), 1U);
}

// Guards against the loss of all upstreams after an outage of the store during
// which their entries expired.
TEST_F(DirectoryBuilderTest, UpstreamMissingAfterAnOutageStaysForAGracePeriod) {
  this->Builder.onListing({upstream(1), upstream(2)}, this->Now);
  this->Builder.onSourceLost();
  this->Builder.onListing({upstream(2)}, this->Now);
  EXPECT_EQ(this->stateOf(1), UpstreamState::Ready);
  this->Now += ReregistrationGrace - milliseconds(1);
  this->Builder.onTick(this->Now);
  EXPECT_EQ(this->stateOf(1), UpstreamState::Ready);
  this->Now += milliseconds(1);
  this->Builder.onTick(this->Now);
  EXPECT_EQ(this->stateOf(1), UpstreamState::Gone);
}

TEST_F(DirectoryBuilderTest, UpstreamThatReturnsInTimeStays) {
  this->Builder.onListing({upstream(1)}, this->Now);
  this->Builder.onSourceLost();
  this->Builder.onListing({}, this->Now);
  this->Builder.onUpstream(upstream(1));
  this->Builder.onTick(this->Now + ReregistrationGrace);
  EXPECT_EQ(this->stateOf(1), UpstreamState::Ready);
}

// Guards against new flows for an upstream that was draining before the outage
// of the store.
TEST_F(DirectoryBuilderTest, DrainingUpstreamIsGoneImmediately) {
  this->Builder.onListing({upstream(1, UpstreamState::Draining)}, this->Now);
  this->Builder.onSourceLost();
  this->Builder.onListing({}, this->Now);
  EXPECT_EQ(this->stateOf(1), UpstreamState::Gone);
}

// Guards against new flows for a draining upstream that is still listed as
// ready under its name before a restart (soak seeds 103 and 118).
TEST_F(DirectoryBuilderTest, NewestEntryOfAnAddressIsUsed) {
  ListedUpstream Restarted = upstream(5, UpstreamState::Draining);
  Restarted.Address = agentAddress(1);
  Restarted.Registered = 2;
  ListedUpstream Old = upstream(1);
  Old.Registered = 1;
  this->Builder.onListing({Restarted, Old}, this->Now);
  const auto InForce = this->Builder.current();
  for (const ListedUpstream &Each : InForce->upstreams(OrderService)) {
    EXPECT_NE(Each.State, UpstreamState::Ready) << Each.Name;
  }
  EXPECT_TRUE(InForce->hasAgent(agentAddress(1)));
  // The older entry stays ignored after the newer one is gone.
  this->Builder.onRemoved("i-5", this->Now);
  EXPECT_FALSE(this->Builder.current()->hasAgent(agentAddress(1)));
}

/// How an entry that claims the address of a living upstream arrives.
enum class Delivery : std::uint8_t { Watch, Listing, Peer };

/// The services of one version of the configuration.
struct NamedServices {
  std::vector<ServiceId> OfTheRoute;
  std::vector<ServiceId> Listed = {};
};

struct NamingRow {
  std::string Name;
  /// The service of the entry, which is newer than the upstream's own.
  ServiceId Service;
  /// Versions of the configuration before and after the entry.
  std::vector<NamedServices> Before;
  std::vector<NamedServices> After = {};
  Duration Gap = std::chrono::seconds(1);
  bool NamesAnUpstream = false;
};

class NamingTest : public DirectoryBuilderTest,
                   public testing::WithParamInterface<NamingRow> {
protected:
  void apply(const std::vector<NamedServices> &Versions) {
    for (const NamedServices &Each : Versions) {
      RouteSet Next = routes(this->Builder.version() + 1);
      Next.Services = Each.Listed;
      Next.Routes[0].Targets.clear();
      for (const ServiceId Service : Each.OfTheRoute) {
        Next.Routes[0].Targets.push_back({Service, 1});
      }
      ASSERT_TRUE(this->Builder.onRoutes(std::move(Next), false, this->Now)
                      .has_value());
      this->Now += GetParam().Gap;
    }
  }

  void deliver(const ListedUpstream &Entry, Delivery Way) {
    switch (Way) {
    case Delivery::Watch:
      this->Builder.onUpstream(Entry);
      break;
    case Delivery::Listing:
      this->Builder.onListing({upstream(1), Entry}, this->Now);
      break;
    case Delivery::Peer:
      this->Builder.onPeerListing({Entry});
      break;
    }
  }
};

// Guards against another writer's entry that takes the address of a living
// upstream (review case 2), and against a service without a route, or one that
// a route has left, whose upstreams are not known.
TEST_P(NamingTest, OnlyEntriesOfNamedServicesTakeAnAddress) {
  const NamingRow &Row = GetParam();
  for (const Delivery Way :
       {Delivery::Watch, Delivery::Listing, Delivery::Peer}) {
    this->Builder = DirectoryBuilder();
    this->apply(Row.Before);
    this->Builder.onListing({upstream(1)}, this->Now);
    ListedUpstream Entry = upstream(2);
    Entry.Service = Row.Service;
    Entry.Address = agentAddress(1);
    Entry.Registered = 9;
    Entry.Revision = 9;
    this->deliver(Entry, Way);
    this->apply(Row.After);
    const auto InForce = this->Builder.current();
    EXPECT_EQ(InForce->upstreams(Row.Service).size(),
              Row.NamesAnUpstream ? 1U : 0U);
    ASSERT_EQ(InForce->upstreams(OrderService).size(), 1U);
    EXPECT_EQ(InForce->upstreams(OrderService)[0].State,
              Row.NamesAnUpstream ? UpstreamState::Gone : UpstreamState::Ready);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Rows, NamingTest,
    testing::Values(
        NamingRow{.Name = "unknownService",
                  .Service = ThirdService,
                  .Before = {{{OrderService}, {OrderService}}}},
        NamingRow{.Name = "listedWithoutARoute",
                  .Service = ThirdService,
                  .Before = {{{OrderService}, {OrderService, ThirdService}}},
                  .NamesAnUpstream = true},
        NamingRow{.Name = "ofARoute",
                  .Service = ThirdService,
                  .Before = {{{OrderService, ThirdService}}},
                  .NamesAnUpstream = true},
        NamingRow{.Name = "leftItsRoute",
                  .Service = ThirdService,
                  .Before = {{{OrderService, ThirdService}}, {{OrderService}}},
                  .NamesAnUpstream = true},
        NamingRow{.Name = "leftItsRouteLongAgo",
                  .Service = ThirdService,
                  .Before = {{{OrderService, ThirdService}},
                             {{OrderService}},
                             {{OrderService}},
                             {{OrderService}}},
                  .Gap = FlowLifetime},
        NamingRow{.Name = "namedLater",
                  .Service = ThirdService,
                  .Before = {{{OrderService}}},
                  .After = {{{OrderService}, {ThirdService}}},
                  .NamesAnUpstream = true},
        NamingRow{.Name = "noLongerListed",
                  .Service = ThirdService,
                  .Before = {{{OrderService}, {ThirdService}}},
                  .After = {{{OrderService}, {OrderService}}}},
        // The configuration may arrive after the entries.
        NamingRow{.Name = "beforeAnyConfiguration",
                  .Service = ThirdService,
                  .Before = {},
                  .After = {{{OrderService}}}}),
    [](const auto &Info) { return Info.param.Name; });

ListedUpstream foreignEntry() {
  ListedUpstream Each = upstream(1);
  Each.Service = ThirdService;
  return Each;
}

ListedUpstream unreadableEntry() {
  ListedUpstream Each;
  Each.Name = "i-1";
  Each.IsReadable = false;
  return Each;
}

struct OverwrittenRow {
  std::string Name;
  /// What happens after the entry of a ready upstream has been read.
  void (*Change)(DirectoryBuilder &, Instant);
  UpstreamState Expected;
};

class OverwrittenEntryTest
    : public DirectoryBuilderTest,
      public testing::WithParamInterface<OverwrittenRow> {};

// Guards against the reset of flows of a living upstream over whose entry
// another writer has written, and against new flows for it: the entry names no
// upstream.
TEST_P(OverwrittenEntryTest, UpstreamKeepsItsFlowsUntilItRegistersAgain) {
  ASSERT_TRUE(this->Builder.onRoutes(routes(), false, this->Now).has_value());
  this->Builder.onListing({upstream(1), upstream(2)}, this->Now);
  GetParam().Change(this->Builder, this->Now);
  EXPECT_EQ(this->stateOf(1), GetParam().Expected);
  EXPECT_EQ(this->stateOf(2), UpstreamState::Ready);
  EXPECT_EQ(this->Builder.completeness().Additions, 2U);
  EXPECT_TRUE(this->Builder.current()->upstreams(ThirdService).empty());
}

INSTANTIATE_TEST_SUITE_P(
    Rows, OverwrittenEntryTest,
    testing::Values(
        OverwrittenRow{"unknownService",
                       [](DirectoryBuilder &Builder, Instant) {
                         Builder.onUpstream(foreignEntry());
                       },
                       UpstreamState::Draining},
        OverwrittenRow{"notReadable",
                       [](DirectoryBuilder &Builder, Instant) {
                         Builder.onUpstream(unreadableEntry());
                       },
                       UpstreamState::Draining},
        OverwrittenRow{
            "inAListing",
            [](DirectoryBuilder &Builder, Instant Now) {
              Builder.onListing({unreadableEntry(), upstream(2)}, Now);
            },
            UpstreamState::Draining},
        OverwrittenRow{"ofADrainingUpstream",
                       [](DirectoryBuilder &Builder, Instant) {
                         Builder.onUpstream(
                             upstream(1, UpstreamState::Draining));
                         Builder.onUpstream(foreignEntry());
                       },
                       UpstreamState::Draining},
        OverwrittenRow{"registeredAgain",
                       [](DirectoryBuilder &Builder, Instant) {
                         Builder.onUpstream(foreignEntry());
                         Builder.onUpstream(upstream(1));
                       },
                       UpstreamState::Ready},
        OverwrittenRow{"removed",
                       [](DirectoryBuilder &Builder, Instant Now) {
                         Builder.onUpstream(foreignEntry());
                         Builder.onRemoved("i-1", Now);
                       },
                       UpstreamState::Gone},
        OverwrittenRow{"missingFromAListing",
                       [](DirectoryBuilder &Builder, Instant Now) {
                         Builder.onUpstream(foreignEntry());
                         Builder.onListing({upstream(2)}, Now);
                       },
                       UpstreamState::Gone},
        OverwrittenRow{"afterItsRemoval",
                       [](DirectoryBuilder &Builder, Instant Now) {
                         Builder.onRemoved("i-1", Now);
                         Builder.onUpstream(foreignEntry());
                       },
                       UpstreamState::Gone}),
    [](const auto &Info) { return Info.param.Name; });

// Guards against a directory that is never confirmed, or not complete, because
// of an entry that names no upstream.
TEST_F(DirectoryBuilderTest, ForeignEntriesAreNoUpstreamsToConfirm) {
  ASSERT_TRUE(this->Builder.onRoutes(routes(), false, this->Now).has_value());
  this->Builder.onListing({unreadableEntry()}, this->Now);
  EXPECT_TRUE(this->Builder.isComplete());
  EXPECT_TRUE(this->Builder.hasAll(std::vector{foreignEntry()}));
  EXPECT_FALSE(this->Builder.hasAll(std::vector{upstream(1)}));
}

// Guards against a search that misses an upstream: each new one, and each
// restart under the same name, must change the number of additions.
TEST_F(DirectoryBuilderTest, AdditionsCountUpstreamsAndRestarts) {
  this->Builder.onListing({upstream(1), upstream(2)}, this->Now);
  EXPECT_EQ(this->Builder.completeness().Additions, 2U);
  this->Builder.onUpstream(upstream(1, UpstreamState::Draining));
  this->Builder.onRemoved("i-2", this->Now);
  EXPECT_EQ(this->Builder.completeness().Additions, 2U);
  ListedUpstream Restarted = upstream(1);
  Restarted.StartedAt = milliseconds(7);
  this->Builder.onUpstream(Restarted);
  EXPECT_EQ(this->Builder.completeness().Additions, 3U);
  EXPECT_FALSE(this->Builder.hasAll(std::vector{upstream(1)}));
  EXPECT_TRUE(this->Builder.hasAll(std::vector{Restarted, upstream(2)}));
  EXPECT_FALSE(this->Builder.hasAll(std::vector{Restarted, upstream(3)}));
}

TEST_F(DirectoryBuilderTest, ListingSettlesAfterEachOutage) {
  EXPECT_FALSE(this->Builder.completeness().SettledAt.has_value());
  this->Builder.onListing({upstream(1)}, this->Now);
  EXPECT_EQ(this->Builder.completeness().SettledAt,
            this->Now + ReregistrationGrace);
  // Reading all items again is no outage.
  this->Builder.onListing({upstream(1)}, this->Now + milliseconds(100));
  EXPECT_EQ(this->Builder.completeness().SettledAt,
            this->Now + ReregistrationGrace);
  this->Builder.onSourceLost();
  EXPECT_FALSE(this->Builder.current()->completeness().SettledAt.has_value());
}

// Guards against a confirmation although the source has an upstream that the
// directory lacks, or is unavailable.
TEST(SharedDirectoryTest, ConfirmsOnlyWhatItHas) {
  SharedDirectory Shared;
  const Instant Now = Instant(std::chrono::hours(1));
  Shared.update([Now](DirectoryBuilder &Builder) {
    (void)Builder.onRoutes(routes(7), false, Instant());
    Builder.onListing({upstream(1)}, Now);
  });
  EXPECT_FALSE(Shared.confirm(std::vector{upstream(2)}, Now));
  EXPECT_FALSE(Shared.confirmation().has_value());
  EXPECT_TRUE(Shared.confirm(std::vector{upstream(1)}, Now));
  EXPECT_EQ(Shared.confirmation()->ReadAt, Now);
  EXPECT_EQ(Shared.confirmation()->Edition, (DirectoryEdition{7, 1}));
  Shared.update([](DirectoryBuilder &Builder) { Builder.onSourceLost(); });
  EXPECT_FALSE(Shared.confirm({}, Now));
}

TEST(SharedDirectoryTest, RequestIsTakenOnce) {
  SharedDirectory Shared;
  std::stop_source Stop;
  Shared.requestConfirmation();
  EXPECT_TRUE(Shared.awaitConfirmationRequest(Stop.get_token()));
  Stop.request_stop();
  EXPECT_FALSE(Shared.awaitConfirmationRequest(Stop.get_token()));
}

ListedUpstream atRevision(ListedUpstream Each, const SourceRevision &Revision) {
  Each.Revision = Revision;
  return Each;
}

struct PeerEntryRow {
  std::string Name;
  /// The entry in the other balancer's list, while this one applied all changes
  /// up to revision 10.
  ListedUpstream Entry;
  UpstreamState Expected;
};

class PeerEntryTest : public DirectoryBuilderTest,
                      public testing::WithParamInterface<PeerEntryRow> {};

// Guards against an upstream that has left, or drains, and is used again
// because the list of another balancer is older.
TEST_P(PeerEntryTest, OnlyNewerEntriesAreApplied) {
  this->Builder.onListing({atRevision(upstream(1), 4),
                           atRevision(upstream(2, UpstreamState::Draining), 8),
                           atRevision(upstream(3), 5)},
                          this->Now);
  this->Builder.onRemoved("i-3", this->Now);
  this->Builder.onRevision(10);
  this->Builder.onSourceLost();
  this->Builder.onPeerListing({GetParam().Entry});
  for (const ListedUpstream &Each :
       this->Builder.current()->upstreams(OrderService)) {
    if (Each.Name == GetParam().Entry.Name) {
      EXPECT_EQ(Each.State, GetParam().Expected);
      return;
    }
  }
  EXPECT_EQ(GetParam().Expected, UpstreamState::Gone);
}

INSTANTIATE_TEST_SUITE_P(
    Rows, PeerEntryTest,
    testing::Values(PeerEntryRow{"olderThanDrain", atRevision(upstream(2), 7),
                                 UpstreamState::Draining},
                    PeerEntryRow{"olderThanRemoval", atRevision(upstream(3), 5),
                                 UpstreamState::Gone},
                    PeerEntryRow{"leftLongAgo", atRevision(upstream(4), 9),
                                 UpstreamState::Gone},
                    PeerEntryRow{"newUpstream", atRevision(upstream(4), 11),
                                 UpstreamState::Ready},
                    PeerEntryRow{
                        "newDrain",
                        atRevision(upstream(1, UpstreamState::Draining), 12),
                        UpstreamState::Draining}),
    [](const auto &Info) { return Info.param.Name; });

struct PeerEraRow {
  std::string Name;
  SourceRevision Applied;
  SourceRevision Entry;
  bool IsTaken = false;
};

class PeerEraTest : public DirectoryBuilderTest,
                    public testing::WithParamInterface<PeerEraRow> {};

// Guards against a balancer that missed the return of the source from a copy
// and overrules the others by its greater revision, or ignores them.
TEST_P(PeerEraTest, EraGoesBeforeTheNumber) {
  this->Builder.onListing({}, this->Now);
  this->Builder.onRevision(GetParam().Applied);
  this->Builder.onSourceLost();
  this->Builder.onPeerListing({atRevision(upstream(1), GetParam().Entry)});
  EXPECT_EQ(!this->Builder.current()->upstreams(OrderService).empty(),
            GetParam().IsTaken);
}

INSTANTIATE_TEST_SUITE_P(
    Rows, PeerEraTest,
    testing::Values(PeerEraRow{"newerEra", {10, 1}, {4, 2}, true},
                    PeerEraRow{"olderEra", {10, 2}, {40, 1}},
                    PeerEraRow{"sameEra", {10, 2}, {11, 2}, true},
                    PeerEraRow{"sameEraOlder", {10, 2}, {9, 2}}),
    [](const auto &Info) { return Info.param.Name; });

// Guards against a living upstream that is taken for gone because an entry of
// the former era, at the same address, was created at a greater revision.
TEST_F(DirectoryBuilderTest, EntryCreatedInTheNewestEraHasTheAddress) {
  ListedUpstream Old = atRevision(upstream(1), {20, 1});
  Old.Registered = 20;
  ListedUpstream Next = atRevision(upstream(5), {6, 2});
  Next.Registered = 6;
  Next.Address = Old.Address;
  this->Builder.onListing({Old}, this->Now);
  this->Builder.onUpstream(Next);
  for (const ListedUpstream &Each :
       this->Builder.current()->upstreams(OrderService)) {
    EXPECT_EQ(Each.State, Each.Name == Next.Name ? UpstreamState::Ready
                                                 : UpstreamState::Gone);
  }
}

// Guards against a search that begins anew for each upstream that is written
// again after the source came back from a copy.
TEST_F(DirectoryBuilderTest, EntryWrittenAgainInANewEraIsNoAddition) {
  ListedUpstream Each = atRevision(upstream(1), {20, 1});
  Each.Registered = 20;
  Each.StartedAt = milliseconds(7);
  this->Builder.onListing({Each}, this->Now);
  Each.Revision = {6, 2};
  Each.Registered = 6;
  this->Builder.onUpstream(Each);
  EXPECT_EQ(this->Builder.completeness().Additions, 1U);
  Each.StartedAt = milliseconds(8);
  this->Builder.onUpstream(Each);
  EXPECT_EQ(this->Builder.completeness().Additions, 2U);
}

// Guards against a balancer without source that takes the older of two lists.
TEST_F(DirectoryBuilderTest, OlderOfTwoPeerListingsChangesNothing) {
  this->Builder.onPeerListing(
      {atRevision(upstream(1, UpstreamState::Draining), 12)});
  this->Builder.onPeerListing({atRevision(upstream(1), 11)});
  EXPECT_EQ(this->stateOf(1), UpstreamState::Draining);
}

TEST(DirectoryExchangeTest, NewerDirectoryIsBetter) {
  const auto Peer = [](bool IsAvailable, std::uint64_t Version,
                       const SourceRevision &Revision) {
    return PeerDirectory{routes(Version), {}, {IsAvailable, Revision}};
  };
  EXPECT_TRUE(isBetter(Peer(true, 1, 1), Peer(false, 9, 9)));
  EXPECT_TRUE(isBetter(Peer(false, 9, 1), Peer(false, 8, 9)));
  EXPECT_TRUE(isBetter(Peer(false, 9, 2), Peer(false, 9, 1)));
  EXPECT_FALSE(isBetter(Peer(false, 9, 1), Peer(false, 9, 1)));
  EXPECT_TRUE(isBetter(Peer(true, 1, {1, 2}), Peer(true, 1, {9, 1})));
  EXPECT_TRUE(isBetter(Peer(true, 1, {1, 2}), Peer(true, 2, {9, 1})));
}

TEST_F(DirectoryBuilderTest, ListingOfAnotherBalancerRemovesNoUpstream) {
  this->Builder.onListing({upstream(1)}, this->Now);
  this->Builder.onPeerListing({atRevision(upstream(2), 1)});
  EXPECT_EQ(this->stateOf(1), UpstreamState::Ready);
  EXPECT_EQ(this->stateOf(2), UpstreamState::Ready);
}

/// What a balancer hears of the evacuation of one zone, and what holds then.
struct EvacuationRow {
  std::string Name;
  void (*Steps)(DirectoryBuilder &, Instant);
  bool IsActive = false;
  std::uint64_t Revision = 0;
};

Evacuation evacuation(const SourceRevision &Revision, bool IsActive = true) {
  return {"z-1", Revision, IsActive, milliseconds(1)};
}

class EvacuationTest : public DirectoryBuilderTest,
                       public testing::WithParamInterface<EvacuationRow> {};

// Guards against a balancer with an older copy that misses an evacuation, ends
// one or brings one back.
TEST_P(EvacuationTest, NewestRevisionHolds) {
  ListedUpstream InZone = upstream(1);
  InZone.AvailabilityZone = "z-1";
  this->Builder.onListing({InZone, upstream(2)}, this->Now);
  GetParam().Steps(this->Builder, this->Now);
  const auto InForce = this->Builder.current();
  std::uint64_t Revision = 0;
  for (const Evacuation &Each : InForce->evacuations()) {
    EXPECT_EQ(Each.IsActive, GetParam().IsActive);
    Revision = Each.Revision.Number;
  }
  EXPECT_EQ(Revision, GetParam().Revision);
  for (const ListedUpstream &Each : InForce->upstreams(OrderService)) {
    // An upstream without a zone is never evacuated.
    EXPECT_EQ(Each.IsEvacuated,
              GetParam().IsActive && Each.Address == agentAddress(1));
  }
}

INSTANTIATE_TEST_SUITE_P(
    Rows, EvacuationTest,
    testing::Values(
        EvacuationRow{"began",
                      [](DirectoryBuilder &Of, Instant Now) {
                        Of.onEvacuation(evacuation(5), Now);
                      },
                      true, 5},
        EvacuationRow{"ended",
                      [](DirectoryBuilder &Of, Instant Now) {
                        Of.onEvacuation(evacuation(5), Now);
                        Of.onEvacuation(evacuation(6, false), Now);
                      },
                      false, 6},
        EvacuationRow{"olderEnd",
                      [](DirectoryBuilder &Of, Instant Now) {
                        Of.onEvacuation(evacuation(5), Now);
                        Of.onEvacuation(evacuation(4, false), Now);
                      },
                      true, 5},
        EvacuationRow{"listingWithoutIt",
                      [](DirectoryBuilder &Of, Instant Now) {
                        Of.onEvacuation(evacuation(5), Now);
                        Of.onEvacuationListing({}, 9, Now);
                      },
                      false, 9},
        EvacuationRow{"begunAfterTheListing",
                      [](DirectoryBuilder &Of, Instant Now) {
                        Of.onEvacuation(evacuation(10), Now);
                        Of.onEvacuationListing({}, 9, Now);
                      },
                      true, 10},
        EvacuationRow{"peerIsNewer",
                      [](DirectoryBuilder &Of, Instant Now) {
                        Of.onRevision(9);
                        Of.onPeerEvacuations(std::array{evacuation(10)}, Now);
                      },
                      true, 10},
        EvacuationRow{"peerHasOneThatEnded",
                      [](DirectoryBuilder &Of, Instant Now) {
                        Of.onEvacuation(evacuation(10, false), Now);
                        Of.onPeerEvacuations(std::array{evacuation(9)}, Now);
                      },
                      false, 10},
        EvacuationRow{"peerHasOneThatEndedBeforeTheListing",
                      [](DirectoryBuilder &Of, Instant Now) {
                        Of.onRevision(9);
                        Of.onPeerEvacuations(std::array{evacuation(5)}, Now);
                      },
                      false, 0},
        EvacuationRow{"peerMissesIt",
                      [](DirectoryBuilder &Of, Instant Now) {
                        Of.onEvacuation(evacuation(5), Now);
                        Of.onPeerEvacuations({}, Now);
                      },
                      true, 5},
        EvacuationRow{"zoneWithoutName",
                      [](DirectoryBuilder &Of, Instant Now) {
                        Of.onEvacuation({"", 5, true}, Now);
                      },
                      false, 0},
        EvacuationRow{"forgottenAfterItsEnd",
                      [](DirectoryBuilder &Of, Instant Now) {
                        Of.onEvacuation(evacuation(6, false), Now);
                        Of.onTick(Now + EndedEvacuationRetention);
                      },
                      false, 0},
        // Guards against an evacuation that is taken for an older one after the
        // source came back from a copy (review case 14), and its counterparts.
        EvacuationRow{"beganAgainInANewEra",
                      [](DirectoryBuilder &Of, Instant Now) {
                        Of.onEvacuation(evacuation({6, 1}), Now);
                        Of.onEvacuation(evacuation({7, 1}, false), Now);
                        Of.onEvacuation(evacuation({6, 2}), Now);
                      },
                      true, 6},
        EvacuationRow{"endedInANewEra",
                      [](DirectoryBuilder &Of, Instant Now) {
                        Of.onEvacuation(evacuation({9, 1}), Now);
                        Of.onEvacuation(evacuation({6, 2}, false), Now);
                      },
                      false, 6},
        EvacuationRow{"endedInAnOlderEra",
                      [](DirectoryBuilder &Of, Instant Now) {
                        Of.onEvacuation(evacuation({6, 2}), Now);
                        Of.onEvacuation(evacuation({9, 1}, false), Now);
                      },
                      true, 6},
        EvacuationRow{"listingOfANewEraWithoutIt",
                      [](DirectoryBuilder &Of, Instant Now) {
                        Of.onEvacuation(evacuation({9, 1}), Now);
                        Of.onEvacuationListing({}, {5, 2}, Now);
                      },
                      false, 5},
        EvacuationRow{
            "peerOfANewEra",
            [](DirectoryBuilder &Of, Instant Now) {
              Of.onRevision({9, 1});
              Of.onPeerEvacuations(std::array{evacuation({5, 2})}, Now);
            },
            true, 5},
        EvacuationRow{
            "peerOfAnOlderEra",
            [](DirectoryBuilder &Of, Instant Now) {
              Of.onRevision({9, 2});
              Of.onPeerEvacuations(std::array{evacuation({15, 1})}, Now);
            },
            false, 0},
        EvacuationRow{"neverForgottenWhileItLasts",
                      [](DirectoryBuilder &Of, Instant Now) {
                        Of.onEvacuation(evacuation(6), Now);
                        Of.onTick(Now + EndedEvacuationRetention);
                      },
                      true, 6}),
    [](const auto &Info) { return Info.param.Name; });

ListedUpstream entry(std::uint32_t Number, UpstreamState State,
                     const SourceRevision &Revision,
                     milliseconds StartedAt = milliseconds(100)) {
  ListedUpstream Each = atRevision(upstream(Number, State), Revision);
  Each.Registered = Revision.Number;
  Each.StartedAt = StartedAt;
  return Each;
}

/// Moves an entry to the address of the upstream with another number.
ListedUpstream atAddressOf(ListedUpstream Each, std::uint32_t Number) {
  Each.Address = agentAddress(Number);
  return Each;
}

constexpr auto Ready = UpstreamState::Ready;
constexpr auto Draining = UpstreamState::Draining;
constexpr auto Gone = UpstreamState::Gone;

/// What a balancer knows of an upstream when the source comes back from an
/// older copy, and what it makes of the copy.
struct ReturnRow {
  std::string Name;
  std::vector<ListedUpstream> Before;
  /// The upstreams that have left before the return.
  std::vector<std::string> Left = {};
  std::vector<ListedUpstream> Copy = {};
  /// What the watch reports after the first listing of the copy.
  std::vector<ListedUpstream> Written = {};
  /// The state of the first upstream of `Before`, until what was lost has been
  /// written again and after that.
  UpstreamState First = Ready;
  UpstreamState Later = Ready;
};

class ReturnTest : public DirectoryBuilderTest,
                   public testing::WithParamInterface<ReturnRow> {
protected:
  UpstreamState stateOfFirst() {
    const std::string &Name = GetParam().Before.front().Name;
    for (const ListedUpstream &Each :
         this->Builder.current()->upstreams(OrderService)) {
      if (Each.Name == Name) {
        return Each.State;
      }
    }
    return Gone;
  }

  void list(std::vector<ListedUpstream> All, const SourceRevision &AsOf) {
    this->Builder.onSource(AsOf, this->Now, this->Now);
    this->Builder.onListing(std::move(All), this->Now);
    this->Builder.onRevision(AsOf);
  }
};

// Guards against an older copy of the source that replaces what a balancer
// knows: flows of living upstreams would be reset, and new flows sent to those
// that drain or have left.
TEST_P(ReturnTest, CopyDoesNotReplaceWhatIsKnown) {
  const ReturnRow &Row = GetParam();
  this->list(Row.Before, {30, 1});
  for (const std::string &Each : Row.Left) {
    this->Builder.onRemoved(Each, this->Now);
  }
  this->Now += milliseconds(500);
  this->list(Row.Copy, {12, 2});
  ASSERT_EQ(this->Builder.completeness().Returns, 1U);
  std::vector<ListedUpstream> Present = Row.Copy;
  for (const ListedUpstream &Each : Row.Written) {
    this->Builder.onUpstream(Each);
    std::erase_if(Present,
                  [&](const auto &Old) { return Old.Name == Each.Name; });
    Present.push_back(Each);
  }
  EXPECT_EQ(this->stateOfFirst(), Row.First);
  EXPECT_EQ(this->Builder.keptUntil(), this->Now + ReregistrationGrace);
  this->Now += ReregistrationGrace;
  this->Builder.onTick(this->Now);
  this->list(Present, {20, 2});
  EXPECT_EQ(this->stateOfFirst(), Row.Later);
  EXPECT_FALSE(this->Builder.keptUntil().has_value());
}

INSTANTIATE_TEST_SUITE_P(
    Rows, ReturnTest,
    testing::Values(
        ReturnRow{.Name = "drainingIsReadyInTheCopy",
                  .Before = {entry(1, Draining, {9, 1})},
                  .Copy = {entry(1, Ready, {5, 2})},
                  .First = Draining},
        ReturnRow{.Name = "drainingWritesAgain",
                  .Before = {entry(1, Draining, {9, 1})},
                  .Copy = {entry(1, Ready, {5, 2})},
                  .Written = {entry(1, Draining, {13, 2})},
                  .First = Draining,
                  .Later = Draining},
        ReturnRow{.Name = "restartedUnderItsName",
                  .Before = {entry(1, Draining, {9, 1})},
                  .Copy = {entry(1, Ready, {8, 2}, milliseconds(200))}},
        ReturnRow{.Name = "restartReportedByTheWatch",
                  .Before = {entry(1, Draining, {9, 1})},
                  .Copy = {entry(1, Ready, {5, 2})},
                  .Written = {entry(1, Ready, {13, 2}, milliseconds(200))}},
        ReturnRow{.Name = "formerProcessInTheCopy",
                  .Before = {entry(1, Ready, {9, 1}, milliseconds(200))},
                  .Copy = {entry(1, Draining, {5, 2})},
                  .Written = {entry(1, Ready, {13, 2}, milliseconds(200))}},
        ReturnRow{.Name = "leftAndListedInTheCopy",
                  .Before = {entry(1, Ready, {9, 1})},
                  .Left = {"i-1"},
                  .Copy = {entry(1, Ready, {9, 2})},
                  .First = Gone},
        ReturnRow{.Name = "registeredAfterTheCopy",
                  .Before = {entry(1, Ready, {9, 1})},
                  .Later = Gone},
        ReturnRow{.Name = "registeredAfterTheCopyAndWritesAgain",
                  .Before = {entry(1, Ready, {9, 1})},
                  .Written = {entry(1, Ready, {13, 2})}},
        ReturnRow{.Name = "drainsSinceTheReturn",
                  .Before = {entry(1, Ready, {9, 1})},
                  .Copy = {entry(1, Draining, {6, 2})},
                  .First = Draining,
                  .Later = Draining},
        ReturnRow{.Name = "unchanged",
                  .Before = {entry(1, Ready, {9, 1})},
                  .Copy = {entry(1, Ready, {9, 2})}},
        ReturnRow{.Name = "startTimeUnknown",
                  .Before = {entry(1, Draining, {9, 1}, milliseconds(0))},
                  .Copy = {entry(1, Ready, {5, 2}, milliseconds(0))},
                  .First = Draining},
        ReturnRow{.Name = "addressHasAnotherOwnerSinceTheCopy",
                  .Before = {entry(1, Ready, {9, 1}),
                             atAddressOf(entry(5, Ready, {20, 1}), 1)},
                  .Copy = {entry(1, Ready, {9, 2})},
                  .Written = {atAddressOf(entry(5, Ready, {13, 2}), 1)},
                  .First = Gone,
                  .Later = Gone},
        ReturnRow{.Name = "addressTakenOver",
                  .Before = {entry(5, Ready, {20, 1}), entry(1, Ready, {9, 1})},
                  .Left = {"i-1"},
                  .Copy = {entry(1, Ready, {9, 2})},
                  .Written = {entry(5, Ready, {13, 2})}}),
    [](const auto &Info) { return Info.param.Name; });

// Guards against knowledge that is lost at the second of two returns.
TEST_F(ReturnTest, SecondReturnKeepsWhatIsKnownAnew) {
  this->list({entry(1, Draining, {9, 1}), entry(2, Ready, {10, 1})}, {30, 1});
  this->list({entry(1, Ready, {5, 2})}, {12, 2});
  this->Now += milliseconds(2000);
  this->list({entry(1, Ready, {4, 3})}, {8, 3});
  this->Now += milliseconds(2000);
  this->Builder.onTick(this->Now);
  EXPECT_EQ(this->stateOf(1), Draining);
  EXPECT_EQ(this->stateOf(2), Ready);
  EXPECT_EQ(this->Builder.completeness().Returns, 2U);
}

// Guards against a source that begins to tell its era and is taken for one that
// came back, and against one that came back meanwhile and is not.
TEST_F(ReturnTest, FirstEraIsAReturnOnlyIfRevisionsWentBack) {
  for (const bool WentBack : {false, true}) {
    this->Builder = {};
    this->list({entry(1, Draining, 9)}, 30);
    this->list({entry(1, Ready, {5, 1})}, {WentBack ? 12U : 31U, 1});
    EXPECT_EQ(this->Builder.completeness().Returns, WentBack ? 1U : 0U);
    EXPECT_EQ(this->stateOf(1), WentBack ? Draining : Ready);
  }
}

// Guards against a balancer that starts after a return and knows the copy
// alone, or reads the source long after the others.
TEST_F(ReturnTest, EraOfAnotherBalancerBeginsTheReturn) {
  const auto KeptUntil = this->Now + milliseconds(1000);
  this->Builder.onPeerSource({true, {12, 2}, KeptUntil}, this->Now);
  this->Builder.onPeerListing(
      {entry(1, Draining, {9, 1}), entry(2, Ready, {11, 2})});
  this->list({entry(1, Ready, {5, 2}), entry(2, Draining, {13, 2})}, {14, 2});
  EXPECT_EQ(this->stateOf(1), Draining);
  EXPECT_EQ(this->stateOf(2), Draining);
  EXPECT_EQ(this->Builder.keptUntil(), KeptUntil);
  this->Now = KeptUntil;
  this->list({entry(1, Ready, {5, 2})}, {15, 2});
  EXPECT_EQ(this->stateOf(1), Ready);
}

/// What is known of the evacuation of a zone when the source comes back from an
/// older copy.
struct EvacuationReturnRow {
  std::string Name;
  std::vector<Evacuation> Before;
  std::vector<Evacuation> Copy = {};
  std::vector<Evacuation> Written = {};
  /// When the former source answered last.
  Duration Silence = std::chrono::seconds(1);
  bool IsActive = false;
  bool IsActiveLater = false;
};

class EvacuationReturnTest
    : public DirectoryBuilderTest,
      public testing::WithParamInterface<EvacuationReturnRow> {
protected:
  bool isActive() {
    const auto InForce = this->Builder.current();
    return std::ranges::any_of(InForce->evacuations(), &Evacuation::IsActive);
  }

  void list(std::span<const Evacuation> All, const SourceRevision &AsOf,
            Instant HeardAt) {
    this->Builder.onSource(AsOf, HeardAt, this->Now);
    this->Builder.onEvacuationListing(All, AsOf, this->Now);
    this->Builder.onListing({}, this->Now);
    this->Builder.onRevision(AsOf);
  }
};

// Guards against a zone that gets new flows although it is evacuated, and one
// that gets none although that has ended, because of an older copy.
TEST_P(EvacuationReturnTest, CopyDoesNotReplaceWhatIsKnown) {
  const EvacuationReturnRow &Row = GetParam();
  this->list({}, {3, 1}, this->Now);
  for (const Evacuation &Each : Row.Before) {
    this->Builder.onEvacuation(Each, this->Now);
  }
  this->Builder.onRevision({30, 1});
  this->list(Row.Copy, {12, 2}, this->Now - Row.Silence);
  std::vector<Evacuation> Present = Row.Copy;
  for (const Evacuation &Each : Row.Written) {
    this->Builder.onEvacuation(Each, this->Now);
    Present.clear();
    if (Each.IsActive) {
      Present.push_back(Each);
    }
  }
  EXPECT_EQ(this->isActive(), Row.IsActive);
  this->Now += ReregistrationGrace;
  this->list(Present, {20, 2}, this->Now);
  EXPECT_EQ(this->isActive(), Row.IsActiveLater);
}

INSTANTIATE_TEST_SUITE_P(
    Rows, EvacuationReturnTest,
    testing::Values(
        EvacuationReturnRow{.Name = "copyLacksIt",
                            .Before = {evacuation({9, 1})},
                            .IsActive = true},
        EvacuationReturnRow{.Name = "copyLacksItAndItIsWrittenAgain",
                            .Before = {evacuation({9, 1})},
                            .Written = {evacuation({13, 2})},
                            .IsActive = true,
                            .IsActiveLater = true},
        EvacuationReturnRow{.Name = "endedSinceTheReturn",
                            .Before = {evacuation({9, 1})},
                            .Written = {evacuation({13, 2}, false)}},
        EvacuationReturnRow{
            .Name = "endedSinceTheCopy",
            .Before = {evacuation({5, 1}), evacuation({9, 1}, false)},
            .Copy = {evacuation({5, 2})},
            .IsActiveLater = true},
        EvacuationReturnRow{
            .Name = "endIsWrittenAgain",
            .Before = {evacuation({5, 1}), evacuation({9, 1}, false)},
            .Copy = {evacuation({5, 2})},
            .Written = {evacuation({13, 2}, false)}},
        EvacuationReturnRow{
            .Name = "beganAgainSinceTheReturn",
            .Before = {evacuation({5, 1}), evacuation({9, 1}, false)},
            .Copy = {evacuation({6, 2})},
            .IsActive = true,
            .IsActiveLater = true},
        // It may have begun too long ago to wait for the next listing.
        EvacuationReturnRow{
            .Name = "endedSinceTheCopyAfterALongSilence",
            .Before = {evacuation({5, 1}), evacuation({9, 1}, false)},
            .Copy = {evacuation({5, 2})},
            .Silence = std::chrono::seconds(3),
            .IsActive = true,
            .IsActiveLater = true}),
    [](const auto &Info) { return Info.param.Name; });

// Guards against a reset that relies on a read of the former era, or on a copy
// that lacks living upstreams.
TEST(SharedDirectoryTest, ConfirmsOnlyInThePresentEra) {
  SharedDirectory Shared;
  Instant Now = Instant(std::chrono::hours(1));
  const auto List = [&](const SourceRevision &AsOf) {
    Shared.update([&](DirectoryBuilder &Builder) {
      (void)Builder.onRoutes(routes(7), false, Now);
      Builder.onSource(AsOf, Now, Now);
      Builder.onListing({}, Now);
      Builder.onRevision(AsOf);
    });
  };
  List({30, 1});
  EXPECT_TRUE(Shared.confirm({}, Now, {30, 1}));
  List({12, 2});
  EXPECT_FALSE(Shared.confirm({}, Now, {30, 1}));
  EXPECT_FALSE(Shared.confirm({}, Now, {12, 2}));
  Now += ReregistrationGrace;
  List({14, 2});
  EXPECT_FALSE(Shared.confirm({}, Now, {30, 1}));
  EXPECT_TRUE(Shared.confirm({}, Now, {14, 2}));
}

// Guards against an agent that keeps the state of an older revision: a change
// of the upstream or of its zone is newer than what it was told before.
TEST_F(DirectoryBuilderTest, IntakeHasTheRevisionThatDecidedIt) {
  ListedUpstream InZone = atRevision(upstream(1, UpstreamState::Draining), 7);
  InZone.AvailabilityZone = "z-1";
  this->Builder.onListing({InZone}, this->Now);
  EXPECT_EQ(
      this->Builder.current()->intakes(),
      (std::vector<UpstreamIntake>{{agentAddress(1), OrderService, 7, true}}));
  InZone.State = UpstreamState::Ready;
  this->Builder.onUpstream(InZone);
  this->Builder.onEvacuation(evacuation(9), this->Now);
  this->Builder.onEvacuation(evacuation(11, false), this->Now);
  EXPECT_EQ(this->Builder.current()->intakes(),
            (std::vector<UpstreamIntake>{
                {agentAddress(1), OrderService, 11, false}}));
}

TEST(DirectoryExchangeTest, ParsedDirectoryEqualsTheOriginal) {
  std::vector<ListedUpstream> All = {upstream(1),
                                     upstream(2, UpstreamState::Draining),
                                     upstream(3, UpstreamState::Gone)};
  All[0].StartedAt = milliseconds(1'800'000'000'000);
  All[0].Revision = {16, 4};
  All[0].AvailabilityZone = "z-1";
  const std::vector<Evacuation> Evacuations = {evacuation(5),
                                               {"z-2", {6, 4}, false}};
  RouteSet Configuration = routes(9);
  Configuration.Services = {OrderService, TemplateService};
  const Directory From(Configuration, All, {}, Evacuations);
  const auto Parsed = readDirectory(writeDirectory(From, {true, {17, 4}}));
  ASSERT_TRUE(Parsed.has_value());
  EXPECT_EQ(Parsed->Routes.Services, Configuration.Services);
  EXPECT_TRUE(Parsed->Source.IsAvailable);
  EXPECT_EQ(Parsed->Source.Revision, (SourceRevision{17, 4}));
  EXPECT_EQ(Parsed->Routes.Version, 9U);
  EXPECT_EQ(Parsed->Evacuations, Evacuations);
  EXPECT_EQ(Parsed->Routes.Routes, routes(9).Routes);
  EXPECT_TRUE(Parsed->Routes.ColdRates.empty());
  // Upstreams that are gone are not serialized.
  EXPECT_EQ(Parsed->Upstreams, (std::vector<ListedUpstream>{All[0], All[1]}));
}

// Guards against a balancer that learns of a cold upstream from another one,
// and takes it for a warm one.
TEST(DirectoryExchangeTest, KeepsWhatIsLeftOfTheColdTime) {
  RouteSet Configuration = routes(9);
  Configuration.ColdRates[OrderService] = 20.5;
  ListedUpstream Cold = upstream(1);
  Cold.ColdUntil = now() + std::chrono::hours(1);
  const auto Parsed = readDirectory(writeDirectory(
      Directory(Configuration, std::vector{Cold, upstream(2)}), {true, 17}));
  ASSERT_TRUE(Parsed.has_value());
  EXPECT_EQ(Parsed->Routes.ColdRates, Configuration.ColdRates);
  const Instant Read = Parsed->Upstreams[0].ColdUntil;
  EXPECT_LT(Read - Cold.ColdUntil, std::chrono::minutes(1));
  EXPECT_LT(Cold.ColdUntil - Read, std::chrono::minutes(1));
  EXPECT_EQ(Parsed->Upstreams[1].ColdUntil, Instant());
}

// Guards against a directory that changes with each heartbeat of an upstream
// whose coldness limits nothing.
TEST_F(DirectoryBuilderTest, ColdTimeMattersOnlyWithARate) {
  ListedUpstream Cold = upstream(1);
  Cold.ColdUntil = this->Now;
  RouteSet Configuration = routes(1);
  ASSERT_TRUE(
      this->Builder.onRoutes(Configuration, false, this->Now).has_value());
  this->Builder.onUpstream(Cold);
  const auto UntilOf = [this] {
    return this->Builder.current()->upstreams(OrderService)[0].ColdUntil;
  };
  EXPECT_EQ(UntilOf(), Instant());
  Configuration.Version = 2;
  Configuration.ColdRates[OrderService] = 20;
  ASSERT_TRUE(
      this->Builder.onRoutes(Configuration, false, this->Now).has_value());
  this->Builder.onUpstream(Cold);
  EXPECT_EQ(UntilOf(), this->Now);
}

// Guards against a balancer that rejects the directory of an older version.
TEST(DirectoryExchangeTest, ListOfServicesIsOptional) {
  const auto Parsed =
      readDirectory(R"({"version":1,"source_available":true,"routes":[],
                        "upstreams":[]})");
  ASSERT_TRUE(Parsed.has_value());
  EXPECT_TRUE(Parsed->Routes.Services.empty());
}

class MalformedDirectoryTest : public testing::TestWithParam<std::string_view> {
};

// Guards against a crash or a partial directory after a malformed response of
// another balancer.
TEST_P(MalformedDirectoryTest, IsReportedAsMalformedMessage) {
  const auto Parsed = readDirectory(GetParam());
  ASSERT_FALSE(Parsed.has_value());
  EXPECT_EQ(Parsed.error().Kind, ErrorKind::MalformedMessage);
}

INSTANTIATE_TEST_SUITE_P(
    Texts, MalformedDirectoryTest,
    testing::Values("", "{", "[]", R"({"version":1})",
                    R"({"version":"x","source_available":true,"routes":[],
                        "upstreams":[]})",
                    R"({"version":1,"source_available":true,
                        "routes":[[1,2,3,4,5,[]]],"upstreams":[]})",
                    R"({"version":1,"source_available":true,"routes":[],
                        "services":["x"],"upstreams":[]})"));

} // namespace
} // namespace mulberryhoist
