#include "mulberryhoist/directory-exchange.h"

#include <nlohmann/json.hpp>
#include <tuple>

#include "mulberryhoist/http-client.h"
#include "mulberryhoist/log.h"
#include "mulberryhoist/process.h"

namespace mulberryhoist {
namespace {

Json targetsJson(const Route &Each) {
  Json Targets = Json::array();
  for (const RouteTarget &Target : Each.Targets) {
    Targets.push_back({Target.Service.Value, Target.Weight});
  }
  return Targets;
}

Route readRoute(const Json &From) {
  Route Parsed;
  Parsed.Address = {From.at(0).get<std::uint32_t>(),
                    From.at(1).get<std::uint16_t>()};
  Parsed.Goal = std::chrono::milliseconds(From.at(2).get<std::int64_t>());
  Parsed.Timeout = std::chrono::milliseconds(From.at(3).get<std::int64_t>());
  Parsed.Class = From.at(4).get<std::uint32_t>();
  for (const Json &Target : From.at(5)) {
    Parsed.Targets.push_back({{Target.at(0).get<std::uint32_t>()},
                              Target.at(1).get<std::uint32_t>()});
  }
  return Parsed;
}

/// Reads an era; balancers of an older version, or without one, send none.
std::optional<std::uint64_t> readEra(const Json &From) {
  const auto Found = From.find("era");
  return Found == From.end() ? std::nullopt
                             : std::optional(Found->get<std::uint64_t>());
}

void writeRevision(const SourceRevision &From, Json &To) {
  To["revision"] = From.Number;
  if (From.Era) {
    To["era"] = *From.Era;
  }
}

ListedUpstream readUpstream(const Json &From) {
  ListedUpstream Parsed;
  Parsed.Name = From.at("name").get<std::string>();
  Parsed.Id = upstreamId(Parsed.Name);
  Parsed.Service = {From.at("service").get<std::uint32_t>()};
  Parsed.Address = From.at("address").get<std::uint32_t>();
  Parsed.Slots = From.at("slots").get<std::uint32_t>();
  Parsed.Registered = From.at("registered").get<std::uint64_t>();
  // Balancers of an older version do not send these two. An entry without a
  // revision counts as the newest.
  constexpr auto Newest = std::numeric_limits<std::uint64_t>::max();
  Parsed.Revision = {From.value("revision", Newest), readEra(From)};
  Parsed.StartedAt =
      std::chrono::milliseconds(From.value("started_at_ms", std::int64_t{0}));
  Parsed.State = From.at("ready").get<bool>() ? UpstreamState::Ready
                                              : UpstreamState::Draining;
  // Balancers of an older version do not send it.
  Parsed.AvailabilityZone = From.value("zone", std::string());
  if (const auto Cold = From.find("cold_left_ms"); Cold != From.end()) {
    Parsed.ColdUntil =
        now() + std::chrono::milliseconds(Cold->get<std::uint32_t>());
  }
  return Parsed;
}

Json evacuationsJson(std::span<const Evacuation> From) {
  Json All = Json::array();
  for (const Evacuation &Each : From) {
    All.push_back({{"zone", Each.AvailabilityZone},
                   {"active", Each.IsActive},
                   {"since_ms", Each.Since.count()}});
    writeRevision(Each.Revision, All.back());
  }
  return All;
}

Evacuation readEvacuation(const Json &From) {
  return {From.at("zone").get<std::string>(),
          {From.at("revision").get<std::uint64_t>(), readEra(From)},
          From.at("active").get<bool>(),
          std::chrono::milliseconds(From.at("since_ms").get<std::int64_t>())};
}

} // namespace

std::string writeDirectory(const Directory &From, const SourceStatus &Source) {
  Json Routes = Json::array();
  for (const Route &Each : From.routes()) {
    Routes.push_back({Each.Address.Address, Each.Address.Port,
                      Each.Goal.count(), Each.Timeout.count(), Each.Class,
                      targetsJson(Each)});
  }
  Json Upstreams = Json::array();
  From.forEachUpstream([&Upstreams](const ListedUpstream &Each) {
    if (Each.State != UpstreamState::Gone) {
      Upstreams.push_back({{"name", Each.Name},
                           {"service", Each.Service.Value},
                           {"address", Each.Address},
                           {"zone", Each.AvailabilityZone},
                           {"slots", Each.Slots},
                           {"registered", Each.Registered},
                           {"started_at_ms", Each.StartedAt.count()},
                           {"ready", Each.State == UpstreamState::Ready}});
      writeRevision(Each.Revision, Upstreams.back());
      if (const auto Left = coldLeft(Each, now()); Left.count() > 0) {
        Upstreams.back()["cold_left_ms"] = Left.count();
      }
    }
  });
  Json Services = Json::array();
  for (const ServiceId Each : From.namedServices()) {
    Services.push_back(Each.Value);
  }
  Json ColdRates = Json::array();
  for (const auto &[Service, Rate] : From.coldRates()) {
    ColdRates.push_back({Service.Value, Rate});
  }
  Json Root = {{"version", From.version()},
               {"source_available", Source.IsAvailable},
               {"routes", std::move(Routes)},
               {"evacuations", evacuationsJson(From.evacuations())},
               {"services", std::move(Services)},
               {"upstreams", std::move(Upstreams)}};
  writeRevision(Source.Revision, Root);
  if (Source.KeptUntil) {
    Root["kept_ms"] =
        std::max(toMilliseconds(*Source.KeptUntil - now()), std::int64_t{0});
  }
  if (!ColdRates.empty()) {
    Root["cold_rates"] = std::move(ColdRates);
  }
  return Root.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<PeerDirectory> readDirectory(std::string_view Text) {
  try {
    const Json Root = Json::parse(Text);
    PeerDirectory Parsed;
    Parsed.Routes.Version = Root.at("version").get<std::uint64_t>();
    Parsed.Source.IsAvailable = Root.at("source_available").get<bool>();
    // Balancers of an older version do not send it.
    Parsed.Source.Revision = {Root.value("revision", std::uint64_t{0}),
                              readEra(Root)};
    if (const auto Kept = Root.find("kept_ms"); Kept != Root.end()) {
      Parsed.Source.KeptUntil =
          now() + std::min<Duration>(
                      std::chrono::milliseconds(Kept->get<std::uint32_t>()),
                      ReregistrationGrace);
    }
    for (const Json &Each : Root.at("routes")) {
      Parsed.Routes.Routes.push_back(readRoute(Each));
      if (Parsed.Routes.Routes.back().Targets.empty()) {
        return makeError(ErrorKind::MalformedMessage,
                         "directory: route has no targets");
      }
    }
    // Balancers of an older version do not send it.
    for (const Json &Each : Root.value("services", Json::array())) {
      Parsed.Routes.Services.push_back({Each.get<std::uint32_t>()});
    }
    for (const Json &Each : Root.value("cold_rates", Json::array())) {
      Parsed.Routes.ColdRates[{Each.at(0).get<std::uint32_t>()}] =
          Each.at(1).get<double>();
    }
    for (const Json &Each : Root.at("upstreams")) {
      Parsed.Upstreams.push_back(readUpstream(Each));
    }
    // Balancers of an older version do not send them.
    for (const Json &Each : Root.value("evacuations", Json::array())) {
      Parsed.Evacuations.push_back(readEvacuation(Each));
    }
    return Parsed;
  } catch (const Json::exception &Problem) {
    return makeError(ErrorKind::MalformedMessage, Problem.what());
  }
}

bool isBetter(const PeerDirectory &A, const PeerDirectory &B) {
  const auto Rank = [](const PeerDirectory &Each) {
    const SourceRevision &Revision = Each.Source.Revision;
    return std::tuple(Each.Source.IsAvailable, Revision.Era,
                      Each.Routes.Version, Revision.Number);
  };
  return Rank(A) > Rank(B);
}

std::vector<PeerDirectory> fetchDirectories(std::span<const Endpoint> Peers) {
  std::vector<PeerDirectory> All;
  for (const auto &Response : httpGetAll(Peers, DirectoryPath, PeerTimeout)) {
    if (!Response || Response->Status != StatusOk ||
        Response->Body == NoDirectory) {
      continue;
    }
    auto Peer = readDirectory(Response->Body);
    if (!Peer) {
      logError(Peer.error());
      continue;
    }
    All.push_back(std::move(*Peer));
  }
  return All;
}

std::optional<PeerDirectory> bestDirectory(std::vector<PeerDirectory> All) {
  const auto Best = std::ranges::max_element(
      All, [](const auto &A, const auto &B) { return isBetter(B, A); });
  if (Best == All.end()) {
    return std::nullopt;
  }
  const auto Newest =
      std::ranges::max_element(All, {}, [&Best](const PeerDirectory &Each) {
        return std::pair(Each.Source.IsAvailable == Best->Source.IsAvailable,
                         Each.Routes.Version);
      });
  if (Newest != Best) {
    std::swap(Newest->Routes, Best->Routes);
  }
  return std::move(*Best);
}

void applyPeerDirectory(PeerDirectory Peer, DirectoryBuilder &To) {
  To.onPeerSource(Peer.Source, now());
  To.onPeerEvacuations(Peer.Evacuations, now());
  if (const auto Applied = To.onRoutes(std::move(Peer.Routes), true, now());
      !Applied) {
    logError(Applied.error());
  }
  To.onPeerListing(std::move(Peer.Upstreams));
}

bool fetchDirectoryFromPeers(std::span<const Endpoint> Peers,
                             SharedDirectory &To) {
  std::vector<PeerDirectory> All = fetchDirectories(Peers);
  To.update([&All](DirectoryBuilder &Builder) {
    for (const PeerDirectory &Each : All) {
      Builder.onPeerEvacuations(Each.Evacuations, now());
    }
  });
  auto Best = bestDirectory(std::move(All));
  if (!Best) {
    return false;
  }
  return To.update([&Best](DirectoryBuilder &Builder) {
    const bool IsNew = !Builder.isComplete();
    const bool IsAvailable = Best->Source.IsAvailable;
    const bool IsOlder = Builder.version() > Best->Routes.Version &&
                         Best->Source.Revision.Era <= Builder.revision().Era;
    if (!IsNew && (!IsAvailable || IsOlder)) {
      return false;
    }
    applyPeerDirectory(std::move(*Best), Builder);
    if (IsNew) {
      log(LogLevel::Info, "directory loaded from another balancer",
          {{"version", static_cast<std::int64_t>(Builder.version())},
           {"source_available", IsAvailable}});
    }
    return true;
  });
}

} // namespace mulberryhoist
