#include "path/fleet.h"

#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <mutex>
#include <nlohmann/json.hpp>

#include "standin/link.h"

namespace mulberryhoist::path {
namespace {

constexpr std::uint32_t Loopback = 0x7F000001;
constexpr std::uint32_t CallerAddress = 0x7F010001;
constexpr std::string_view Zone = "kl-sentral";
constexpr unsigned Slots = 4;
constexpr unsigned Connections = 2000;
constexpr Duration ReadyLimit = std::chrono::seconds(20);
constexpr Duration StopLimit = std::chrono::seconds(20);

Endpoint freeEndpoint() { return {Loopback, freePort()}; }

/// Sends a control request; any status but 200 is an error.
Result<std::string> control(Endpoint Server, std::string_view Target,
                            std::string_view Body = {}) {
  auto Answer = standin::httpCall(Server, "POST", Target, Body);
  if (!Answer) {
    return tl::unexpected(Answer.error());
  }
  if (Answer->Status != 200) {
    return makeError(ErrorKind::PeerUnreachable,
                     fmt::format("{}: status {}", Target, Answer->Status));
  }
  return std::move(Answer->Body);
}

Result<void> controlOnly(Endpoint Server, const std::string &Target) {
  const auto Answer = control(Server, Target);
  if (!Answer) {
    return tl::unexpected(Answer.error());
  }
  return {};
}

bool waitForHttp(Endpoint Server, std::string_view Target) {
  return standin::pollUntil(
      [&] { return standin::httpCall(Server, "GET", Target).has_value(); },
      ReadyLimit);
}

Node makeNode(std::string Name) {
  Node Value;
  Value.Name = std::move(Name);
  Value.Data = freeEndpoint();
  Value.Published = Value.Data;
  Value.Control = freeEndpoint();
  Value.Admin = freeEndpoint();
  return Value;
}

/// The revision in force on a process, 0 if there is none.
std::uint64_t revisionOf(const Node &Value) {
  const nlohmann::json Version = getJson(Value.Admin, "/version");
  const auto Table = Version.find("table");
  if (Table == Version.end() || !Table->is_object()) {
    return 0;
  }
  return Table->value("revision", std::uint64_t{0});
}

} // namespace

nlohmann::json getJson(Endpoint Server, std::string_view Target) {
  const auto Answer = standin::httpCall(Server, "GET", Target);
  if (!Answer) {
    return nullptr;
  }
  return nlohmann::json::parse(Answer->Body, nullptr, false);
}

/// The caller and its results, on a thread of their own.
struct Fleet::Callers {
  ~Callers() { this->Thread.stop(); }

  standin::Host Thread;
  std::mutex Guard;
  std::vector<standin::CallResult> Results;
  std::unique_ptr<standin::Caller> Client;
  standin::FarSide Far;
  std::vector<std::unique_ptr<standin::Link>> Links;
};

Fleet::Fleet(FleetOptions Options) : Options(std::move(Options)) {}

Fleet::~Fleet() = default;

Result<std::unique_ptr<Fleet>> Fleet::start(FleetOptions Options) {
  std::unique_ptr<Fleet> Value(new Fleet(std::move(Options)));
  auto Outcome = Value->startOutside();
  for (std::size_t Index = 1; Outcome && Index <= Value->Options.Upstreams;
       ++Index) {
    const std::string Name = fmt::format("upstream-{}", Index);
    Outcome = Value->addSite(Name);
    for (const ServiceSpec &Service : Value->Options.Services) {
      Value->Rows.push_back({Service.Name, Name});
    }
  }
  std::uint64_t Revision = 0;
  if (Outcome) {
    const auto Published = Value->publish();
    if (!Published) {
      return tl::unexpected(Published.error());
    }
    Revision = *Published;
  }
  for (std::size_t Index = 1; Outcome && Index <= Value->Options.Balancers;
       ++Index) {
    Outcome = Value->addBalancer(fmt::format("balancer-{}", Index));
  }
  if (Outcome && !Value->waitForRevision(Revision)) {
    Outcome = makeError(ErrorKind::ConfigurationUnavailable,
                        "a process has no table in force");
  }
  if (!Outcome) {
    return makeError(Outcome.error().Kind,
                     Outcome.error().Detail + "\n" + Value->logTails());
  }
  return Value;
}

Result<std::unique_ptr<Process>>
Fleet::startProgram(const std::string &Program, const std::string &LogName,
                    const std::vector<std::string> &Arguments) {
  return Process::start(this->Options.Programs / Program, Arguments,
                        this->Scratch.path() / (LogName + ".log"));
}

Result<void> Fleet::startOutside() {
  this->PlatformAt = freeEndpoint();
  this->FabricData = freeEndpoint();
  this->FabricEgress = freeEndpoint();
  this->FabricControl = freeEndpoint();
  auto Platform =
      this->startProgram("standin-platform", "platform",
                         {"--listen", formatEndpoint(this->PlatformAt)});
  if (!Platform) {
    return tl::unexpected(Platform.error());
  }
  this->Platform = std::move(*Platform);
  std::vector<std::string> Arguments = {
      "--listen",  formatEndpoint(this->FabricData),
      "--egress",  formatEndpoint(this->FabricEgress),
      "--control", formatEndpoint(this->FabricControl)};
  Arguments.insert(Arguments.end(), this->Options.FabricSettings.begin(),
                   this->Options.FabricSettings.end());
  auto Fabric = this->startProgram("standin-fabric", "fabric", Arguments);
  if (!Fabric) {
    return tl::unexpected(Fabric.error());
  }
  this->Fabric = std::move(*Fabric);
  if (!waitForHttp(this->PlatformAt, "/test/calls") ||
      !waitForHttp(this->FabricControl, "/stats")) {
    return makeError(ErrorKind::PeerUnreachable, "a stand-in did not start");
  }
  this->From = std::make_unique<Callers>();
  return this->From->Thread.run([&](standin::io_context &Io) -> Result<void> {
    const standin::CallerOptions Client{
        {Loopback, 0}, this->FabricData, CallerAddress, 1, {}};
    auto Created = standin::Caller::create(Io, Client);
    if (!Created) {
      return tl::unexpected(Created.error());
    }
    this->From->Client = std::move(*Created);
    return {};
  });
}

std::vector<std::string> Fleet::commonArguments(const Node &Value) const {
  std::vector<std::string> Peers;
  for (const Node *Other : this->nodes()) {
    if (Other->Name != Value.Name) {
      Peers.push_back(formatEndpoint(Other->Control));
    }
  }
  const auto Own = this->Options.PlatformOf.find(Value.Name);
  const Endpoint Platform =
      Own == this->Options.PlatformOf.end() ? this->PlatformAt : Own->second;
  return {"--name",     Value.Name,
          "--zone",     std::string(Zone),
          "--listen",   formatEndpoint(Value.Data),
          "--control",  formatEndpoint(Value.Control),
          "--admin",    formatEndpoint(Value.Admin),
          "--platform", formatEndpoint(Platform),
          "--peers",    fmt::format("{}", fmt::join(Peers, ","))};
}

Result<void> Fleet::addBalancer(const std::string &Name) {
  auto Value = std::make_unique<Node>(makeNode(Name));
  auto Running = this->startProgram("mulberry-balancer", Name,
                                    this->commonArguments(*Value));
  if (!Running) {
    return tl::unexpected(Running.error());
  }
  Value->Running = std::move(*Running);
  Node &Added = *Value;
  this->Balancers.insert_or_assign(Name, std::move(Value));
  if (!standin::pollUntil([&] { return revisionOf(Added) > 0; }, ReadyLimit)) {
    return makeError(ErrorKind::ConfigurationUnavailable,
                     Name + " has no table in force");
  }
  auto Published = this->publishVms();
  return Published ? this->sprayOver() : Published;
}

Result<void> Fleet::removeBalancer(const std::string &Name) {
  const auto Found = this->Balancers.find(Name);
  if (Found == this->Balancers.end()) {
    return makeError(ErrorKind::InvalidSetting, "no balancer " + Name);
  }
  const std::unique_ptr<Node> Removed = std::move(Found->second);
  this->Balancers.erase(Found);
  const auto Sprayed = this->sprayOver();
  auto Published = Sprayed ? this->publishVms() : Sprayed;
  if (!Published) {
    return Published;
  }
  Removed->Running->terminate();
  const auto Status = Removed->Running->wait(StopLimit);
  if (Status != 0) {
    return makeError(ErrorKind::WorkerFailed,
                     fmt::format("{} ended with {}\n{}", Name,
                                 Status.value_or(-1),
                                 Removed->Running->logTail()));
  }
  return {};
}

Result<void> Fleet::forgetBalancer(const std::string &Name) {
  if (this->Balancers.erase(Name) == 0) {
    return makeError(ErrorKind::InvalidSetting, "no balancer " + Name);
  }
  const auto Sprayed = this->sprayOver();
  return Sprayed ? this->publishVms() : Sprayed;
}

Result<void> Fleet::addSite(const std::string &Name) {
  auto Value = std::make_unique<Site>();
  Value->Agent = makeNode(Name);
  Value->UpstreamData = freeEndpoint();
  Value->UpstreamControl = freeEndpoint();
  std::vector<std::string> Arguments = {
      "--listen", formatEndpoint(Value->UpstreamData), "--control",
      formatEndpoint(Value->UpstreamControl)};
  Arguments.insert(Arguments.end(), this->Options.UpstreamSettings.begin(),
                   this->Options.UpstreamSettings.end());
  auto Upstream =
      this->startProgram("standin-upstream", Name + "-server", Arguments);
  if (!Upstream) {
    return tl::unexpected(Upstream.error());
  }
  Value->Upstream = std::move(*Upstream);
  if (!waitForHttp(Value->UpstreamControl, "/health")) {
    return makeError(ErrorKind::PeerUnreachable, "an upstream did not start");
  }
  auto Outcome = this->startAgent(*Value);
  if (Outcome && this->Options.Links) {
    Outcome = this->addLink(*Value);
  }
  this->Sites.insert_or_assign(Name, std::move(Value));
  return Outcome;
}

Result<void> Fleet::startAgent(Site &Value) {
  std::vector<std::string> Services;
  for (const ServiceSpec &Service : this->Options.Services) {
    Services.push_back(Service.Name);
  }
  std::vector<std::string> Arguments = this->commonArguments(Value.Agent);
  const std::vector<std::string> Own = {
      "--services", fmt::format("{}", fmt::join(Services, ",")),
      "--upstream", formatEndpoint(Value.UpstreamData),
      "--egress",   formatEndpoint(this->FabricEgress)};
  Arguments.insert(Arguments.end(), Own.begin(), Own.end());
  Arguments.insert(Arguments.end(), this->Options.AgentSettings.begin(),
                   this->Options.AgentSettings.end());
  auto Running =
      this->startProgram("mulberry-agent", Value.Agent.Name, Arguments);
  if (!Running) {
    return tl::unexpected(Running.error());
  }
  Value.Agent.Running = std::move(*Running);
  if (!waitForHttp(Value.Agent.Admin, "/version")) {
    return makeError(ErrorKind::PeerUnreachable,
                     Value.Agent.Name + " did not start");
  }
  return {};
}

Result<void> Fleet::addLink(Site &Value) {
  return this->From->Thread.run([&](standin::io_context &Io) -> Result<void> {
    auto Created = standin::Link::create(Io, freeEndpoint(), Value.Agent.Data,
                                         this->From->Far);
    if (!Created) {
      return tl::unexpected(Created.error());
    }
    Value.Agent.Published = (*Created)->address();
    this->From->Links.push_back(std::move(*Created));
    return {};
  });
}

void Fleet::partition(const std::vector<std::string> &Names) {
  standin::FarSide Far;
  for (const Node *Value : this->nodes()) {
    if (std::ranges::find(Names, Value->Name) != Names.end()) {
      Far.insert(Value->Data);
    }
  }
  this->From->Thread.run([&](standin::io_context &) { this->From->Far = Far; });
}

Result<void> Fleet::restartAgent(const std::string &Name) {
  Site &Value = *this->Sites.at(Name);
  Value.Agent.Running.reset();
  return this->startAgent(Value);
}

Result<void> Fleet::sprayOver() {
  std::vector<std::string> List;
  for (const auto &[Name, Value] : this->Balancers) {
    List.push_back(formatEndpoint(Value->Data));
  }
  return controlOnly(this->FabricControl,
                     fmt::format("/balancers?list={}", fmt::join(List, ",")));
}

std::string Fleet::tableCsv() const {
  std::string Csv = "service,address,class,share,upstream,endpoint,zone,weight,"
                    "slots,connections\n";
  if (this->Epoch > 0) {
    Csv += fmt::format("epoch,{}\n", this->Epoch);
  }
  for (const TableRow &Row : this->Rows) {
    const auto Service = std::ranges::find(this->Options.Services, Row.Service,
                                           &ServiceSpec::Name);
    Csv += fmt::format(
        "{},{},{},{},{},{},{},{},{},{}\n", Service->Name,
        formatEndpoint(Service->Address), Service->Class, Service->Share,
        Row.Upstream,
        formatEndpoint(this->Sites.at(Row.Upstream)->Agent.Published), Zone,
        Row.Weight, Slots, Connections);
  }
  return Csv + fmt::format("end,{}\n", this->Rows.size());
}

std::string Fleet::vmList() const {
  std::string Lines;
  for (const Node *Value : this->nodes()) {
    const bool IsBalancer = this->Balancers.contains(Value->Name);
    Lines += fmt::format("{},{},{},{},{},{}\n", Value->Name,
                         IsBalancer ? "balancer" : "agent", Zone, Value->State,
                         formatEndpoint(Value->Control),
                         formatEndpoint(Value->Published));
  }
  return Lines;
}

std::vector<Node *> Fleet::nodes() const {
  std::vector<Node *> All;
  for (const auto &[Name, Value] : this->Balancers) {
    All.push_back(Value.get());
  }
  for (const auto &[Name, Value] : this->Sites) {
    All.push_back(&Value->Agent);
  }
  return All;
}

Result<void> Fleet::publishVms() {
  const auto Answer = control(this->PlatformAt, "/test/vms", this->vmList());
  if (!Answer) {
    return tl::unexpected(Answer.error());
  }
  return {};
}

Result<std::uint64_t> Fleet::publish() {
  const auto Vms = this->publishVms();
  if (!Vms) {
    return tl::unexpected(Vms.error());
  }
  const auto Table = control(this->PlatformAt, "/test/table", this->tableCsv());
  if (!Table) {
    return tl::unexpected(Table.error());
  }
  return nlohmann::json::parse(*Table).value("revision", std::uint64_t{0});
}

bool Fleet::waitForRevision(std::uint64_t Revision, Duration Limit) {
  return standin::pollUntil(
      [&] {
        const auto All = this->nodes();
        return std::ranges::all_of(All, [Revision](const Node *Value) {
          return !Value->Running->isRunning() || revisionOf(*Value) >= Revision;
        });
      },
      Limit);
}

std::vector<std::string> Fleet::balancerNames() const {
  std::vector<std::string> Names;
  for (const auto &[Name, Value] : this->Balancers) {
    Names.push_back(Name);
  }
  return Names;
}

std::vector<std::string> Fleet::siteNames() const {
  std::vector<std::string> Names;
  for (const auto &[Name, Value] : this->Sites) {
    Names.push_back(Name);
  }
  return Names;
}

Result<void> Fleet::cut(Endpoint Address) {
  return controlOnly(this->FabricControl,
                     "/cut?address=" + formatEndpoint(Address));
}

Result<void> Fleet::heal() { return controlOnly(this->FabricControl, "/heal"); }

void Fleet::call(const standin::CallRequest &Request) {
  this->From->Thread.run([&](standin::io_context &) {
    this->From->Client->start(
        Request, [To = this->From.get()](const standin::CallResult &Value) {
          const std::lock_guard Lock(To->Guard);
          To->Results.push_back(Value);
        });
  });
}

std::vector<standin::CallResult> Fleet::results() {
  const std::lock_guard Lock(this->From->Guard);
  return this->From->Results;
}

bool Fleet::waitForResults(std::size_t Count, Duration Limit) {
  return standin::pollUntil(
      [&] {
        const std::lock_guard Lock(this->From->Guard);
        return this->From->Results.size() >= Count;
      },
      Limit);
}

std::map<std::string, std::size_t> Fleet::runsPerId() const {
  std::map<std::string, std::size_t> Runs;
  for (const auto &[Name, Value] : this->Sites) {
    for (const auto &Entry : getJson(Value->UpstreamControl, "/runs")) {
      ++Runs[Entry.value("id", "")];
    }
  }
  return Runs;
}

std::map<std::string, std::uint64_t> Fleet::packetsPerBalancer() const {
  const nlohmann::json Stats = getJson(this->FabricControl, "/stats");
  return Stats.is_object() ? Stats.value("per_balancer",
                                         std::map<std::string, std::uint64_t>{})
                           : std::map<std::string, std::uint64_t>{};
}

std::string Fleet::logTails() const {
  std::string Text;
  const auto Append = [&Text](std::string_view Name,
                              const std::unique_ptr<Process> &From) {
    if (From) {
      Text += fmt::format("--- {}\n{}\n", Name, From->logTail());
    }
  };
  Append("platform", this->Platform);
  Append("fabric", this->Fabric);
  for (const Node *Value : this->nodes()) {
    Append(Value->Name, Value->Running);
  }
  return Text;
}

} // namespace mulberryhoist::path
