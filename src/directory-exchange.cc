#include "mulberryhoist/directory-exchange.h"

#include <nlohmann/json.hpp>

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
  Route Read;
  Read.Address = {From.at(0).get<std::uint32_t>(),
                  From.at(1).get<std::uint16_t>()};
  Read.Goal = std::chrono::milliseconds(From.at(2).get<std::int64_t>());
  Read.Timeout = std::chrono::milliseconds(From.at(3).get<std::int64_t>());
  Read.Class = From.at(4).get<std::uint32_t>();
  for (const Json &Target : From.at(5)) {
    Read.Targets.push_back({{Target.at(0).get<std::uint32_t>()},
                            Target.at(1).get<std::uint32_t>()});
  }
  return Read;
}

ListedUpstream readUpstream(const Json &From) {
  ListedUpstream Read;
  Read.Name = From.at("name").get<std::string>();
  Read.Id = upstreamId(Read.Name);
  Read.Service = {From.at("service").get<std::uint32_t>()};
  Read.Address = From.at("address").get<std::uint32_t>();
  Read.Slots = From.at("slots").get<std::uint32_t>();
  Read.Registered = From.at("registered").get<std::uint64_t>();
  Read.State = From.at("ready").get<bool>() ? UpstreamState::Ready
                                            : UpstreamState::Draining;
  return Read;
}

} // namespace

std::string writeDirectory(const Directory &From, bool SourceAvailable) {
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
                           {"slots", Each.Slots},
                           {"registered", Each.Registered},
                           {"ready", Each.State == UpstreamState::Ready}});
    }
  });
  return Json{{"version", From.version()},
              {"source_available", SourceAvailable},
              {"routes", std::move(Routes)},
              {"upstreams", std::move(Upstreams)}}
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<DirectoryCopy> readDirectory(std::string_view Text) {
  try {
    const Json Root = Json::parse(Text);
    DirectoryCopy Read;
    Read.Routes.Version = Root.at("version").get<std::uint64_t>();
    Read.SourceAvailable = Root.at("source_available").get<bool>();
    for (const Json &Each : Root.at("routes")) {
      Read.Routes.Routes.push_back(readRoute(Each));
      if (Read.Routes.Routes.back().Targets.empty()) {
        return makeError(ErrorKind::MalformedMessage,
                         "directory: a route has no target");
      }
    }
    for (const Json &Each : Root.at("upstreams")) {
      Read.Upstreams.push_back(readUpstream(Each));
    }
    return Read;
  } catch (const Json::exception &Problem) {
    return makeError(ErrorKind::MalformedMessage, Problem.what());
  }
}

bool fetchDirectoryFromPeers(std::span<const Endpoint> Peers,
                             SharedDirectory &To) {
  std::optional<DirectoryCopy> Best;
  for (const auto &Answer : httpGetAll(Peers, DirectoryPath, PeerTimeout)) {
    if (!Answer || Answer->Status != StatusOk) {
      continue;
    }
    auto Copy = readDirectory(Answer->Body);
    if (!Copy) {
      logError(Copy.error());
      continue;
    }
    const bool IsBetter = !Best ||
                          (Copy->SourceAvailable && !Best->SourceAvailable) ||
                          (Copy->SourceAvailable == Best->SourceAvailable &&
                           Copy->Routes.Version > Best->Routes.Version);
    if (IsBetter) {
      Best = std::move(*Copy);
    }
  }
  if (!Best) {
    return false;
  }
  return To.update([&Best](DirectoryBuilder &Builder) {
    if (Builder.isComplete() && !Best->SourceAvailable) {
      return false;
    }
    const bool IsNew = !Builder.isComplete();
    const auto Taken = Builder.onRoutes(std::move(Best->Routes));
    if (!Taken) {
      return false;
    }
    Builder.onCopy(std::move(Best->Upstreams));
    if (IsNew) {
      log(LogLevel::Info, "directory taken over from another balancer",
          {{"version", static_cast<std::int64_t>(Builder.version())},
           {"source_available", Best->SourceAvailable}});
    }
    return true;
  });
}

} // namespace mulberryhoist
