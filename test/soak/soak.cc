#include "soak/soak.h"

#include <csignal>
#include <deque>
#include <fmt/format.h>
#include <fstream>
#include <functional>
#include <map>
#include <random>
#include <thread>
#include <unistd.h>

#include "mulberryhoist/process.h"
#include "path/process.h"
#include "soak/callers.h"
#include "soak/store.h"
#include "soak/upstream.h"

namespace mulberryhoist::soak {
namespace {

using path::Process;
using std::chrono::milliseconds;

// Every VM of a run has a loopback address of its own, so that ports are the
// same everywhere, as on the platform.
constexpr std::uint16_t PacketPort = 8172;
constexpr std::uint16_t ReadyPort = 8167;
constexpr std::uint16_t ControlPort = 8166;
constexpr std::uint16_t PeerPort = 7720;
constexpr std::uint16_t UpstreamPort = 8165;
constexpr std::uint16_t OutboundPort = 8162;
constexpr std::uint16_t StorePort = 8169;

constexpr std::uint32_t ServiceAddress = 0xC6120001;
constexpr std::uint16_t OrderPort = 8080;
constexpr std::uint16_t TemplatePort = 8443;

constexpr Duration StartTime = milliseconds(1500);
constexpr Duration CalmDelay = milliseconds(5500);
constexpr Duration CalmTime = std::chrono::seconds(2);
constexpr Duration LastCalls = milliseconds(1700);
/// The platform's bound for the end of new work, and the time after trouble
/// from which its bounds count.
constexpr Duration DrainBound = std::chrono::seconds(3);
constexpr Duration StableTime = std::chrono::seconds(4);

// After the store came back from an older copy: when all that it lost is
// written again, and when entries that nobody writes lapse.
constexpr Duration RewriteTime = std::chrono::seconds(2);
constexpr Duration LapseTime = milliseconds(3000);
constexpr Duration CopyPeriod = milliseconds(500);
constexpr std::size_t MaxCopies = 10;

/// One VM: its address and the process on it.
struct Vm {
  std::uint32_t Address = 0;
  bool IsBalancer = false;
  std::filesystem::path SettingsFile;
  std::unique_ptr<Process> Running;
  /// When a frozen process goes on.
  std::optional<Instant> ResumeAt;
};

class Run {
public:
  explicit Run(const SoakSettings &Settings)
      : Settings(Settings), Random(Settings.Seed),
        Network(0x7F000000U + ((16U + Settings.Seed % 64U) << 16U) +
                ((static_cast<std::uint32_t>(::getpid()) % 200U) << 8U)),
        Platform({this->Network + 250, StorePort}) {}

  Result<SoakReport> run() {
    this->publishRoutes();
    for (std::size_t I = 0; I < this->Settings.Balancers; ++I) {
      this->addVm(static_cast<std::uint32_t>(1 + I), true);
    }
    for (std::size_t I = 0; I < this->Settings.Upstreams; ++I) {
      this->addVm(static_cast<std::uint32_t>(100 + I), false);
      this->addUpstream(I);
    }
    for (Vm &Each : this->Vms) {
      if (auto Started = this->start(Each); !Started) {
        return tl::unexpected<Error>(std::move(Started.error()));
      }
    }
    std::this_thread::sleep_for(StartTime);
    return this->serve();
  }

private:
  SoakReport serve() {
    Callers Clients(this->callerSettings(), this->Seen,
                    [this](const FlowKey &Key) { return this->isHeld(Key); });
    const Instant End = now() + this->Settings.Faults;
    while (now() < End) {
      if (this->Settings.HasFaults) {
        this->injectFault(Clients);
      }
      this->pause();
    }
    this->calmDown(Clients);
    std::this_thread::sleep_for(CalmDelay);
    const Instant Calm = now();
    std::this_thread::sleep_for(CalmTime);
    const Instant CalmEnd = now();
    Clients.stopNew();
    std::this_thread::sleep_for(LastCalls);
    return this->report(Calm, CalmEnd);
  }

  SoakReport report(Instant Calm, Instant CalmEnd) {
    SoakReport Report;
    Report.Violations = this->Seen.violations();
    Report.Faults = this->Faults;
    Report.Returns = this->Returns;
    Report.Served = this->Seen.count(Outcome::Served);
    Report.Refused = this->Seen.count(Outcome::Refused);
    Report.Reset = this->Seen.count(Outcome::Reset);
    Report.Expired = this->Seen.count(Outcome::Expired);
    Report.CalmShare = this->Seen.servedShare(Calm, CalmEnd);
    if (Report.CalmShare < LeastCalmShare) {
      Report.Violations.push_back(
          fmt::format("only {:.3f} of the requests were served after the "
                      "faults",
                      Report.CalmShare));
    }
    return Report;
  }

  void addVm(std::uint32_t Number, bool IsBalancer) {
    Vm &Each = this->Vms.emplace_back();
    Each.Address = this->Network + Number;
    Each.IsBalancer = IsBalancer;
    Each.SettingsFile = this->Scratch.path() / fmt::format("{}.toml", Number);
    this->writeSettings(Each, "orders");
  }

  void writeSettings(const Vm &Each, std::string_view Service) {
    const std::string Host = formatAddress(Each.Address);
    std::string Text =
        fmt::format("node = \"vm-{}\"\nip = \"{}\"\nzone = \"z\"\n"
                    "port_range = [{}, {}]\nseeds = [\"{}:{}\", \"{}:{}\"]\n",
                    Each.Address & 0xFFU, Host, PeerPort, PeerPort + 15,
                    formatAddress(this->Network + 1), ControlPort,
                    formatAddress(this->Network + 2), ControlPort);
    if (!Each.IsBalancer) {
      Text += fmt::format("app = \"{}:{}\"\nbackend = \"{}\"\n", Host,
                          UpstreamPort, Service);
    }
    Text += fmt::format("[listen]\nudp_addr = \"{0}:{1}\"\n"
                        "ready = \"{0}:{2}\"\n",
                        Host, PacketPort, ReadyPort);
    Text += Each.IsBalancer
                ? fmt::format("control = \"{}:{}\"\n", Host, ControlPort)
                : fmt::format("outbound = \"{}:{}\"\n", Host, OutboundPort);
    Text += fmt::format("[bounds]\nstable_ms = 4000\n[platform]\n"
                        "addr = \"{}:{}\"\n",
                        formatAddress(this->Network + 250), StorePort);
    std::ofstream(Each.SettingsFile) << Text;
  }

  Result<void> start(Vm &Each) {
    auto Started = Process::start(
        this->Settings.Programs /
            (Each.IsBalancer ? "platform-balancer" : "platform-agent"),
        {"--settings", Each.SettingsFile.string()},
        this->Scratch.path() / fmt::format("{}.log", Each.Address & 0xFFU));
    if (!Started) {
      return tl::unexpected<Error>(std::move(Started.error()));
    }
    Each.Running = std::move(*Started);
    Each.ResumeAt.reset();
    return {};
  }

  void publishRoutes() {
    ++this->Version;
    this->Platform.put("op/config", fmt::format(
                                        R"({{"version":{},"routes":[
            {{"name":"o","host":"198.18.0.1","prefix":"/{}/",
              "backend":"orders","goal_ms":200,"timeout_ms":{}}},
            {{"name":"t","host":"198.18.0.1","prefix":"/{}/",
              "backend":"templates","goal_ms":200,"timeout_ms":1500}}]}})",
                                        this->Version, OrderPort,
                                        1200 + this->Version, TemplatePort));
  }

  std::string nextName() { return fmt::format("i-{}", ++this->Names); }

  /// Even upstreams serve orders, odd ones templates.
  void addUpstream(std::size_t Number) {
    const std::uint32_t Address =
        this->Network + 100 + static_cast<std::uint32_t>(Number);
    this->Serves.push_back(Number % 2 == 0);
    UpstreamSettings Own;
    Own.Listen = {Address, UpstreamPort};
    Own.Outbound = {Address, OutboundPort};
    Own.ServicePort = this->Serves[Number] ? OrderPort : TemplatePort;
    this->Upstreams.push_back(
        std::make_unique<UpstreamStandIn>(Own, this->nextName(), this->Seen));
    this->writeSettings(this->Vms.back(),
                        this->Serves[Number] ? "orders" : "templates");
    this->list(Number, "ready");
  }

  void list(std::size_t Number, const std::string &State) {
    this->States[Number] = State;
    const std::uint32_t Address =
        this->Network + 100 + static_cast<std::uint32_t>(Number);
    this->Platform.put(
        "servers/" + this->Upstreams[Number]->name(),
        fmt::format(
            R"({{"backend":"{}","addr":"{}","zone":"z","version":"v1","slots":4,
                        "state":"{}","cold_left_ms":0,"seq":1}})",
            this->Serves[Number] ? "orders" : "templates",
            formatEndpoint({Address, UpstreamPort}), State));
  }

  CallerSettings callerSettings() {
    CallerSettings Own;
    Own.Listen = {this->Network + 200, PacketPort};
    for (const Vm &Each : this->Vms) {
      if (Each.IsBalancer) {
        Own.Balancers.push_back(
            {{Each.Address, PacketPort}, {Each.Address, ReadyPort}});
      }
    }
    Own.ServiceAddress = ServiceAddress;
    Own.ServicePorts = {OrderPort, TemplatePort};
    Own.Seed = this->Settings.Seed;
    return Own;
  }

  bool isHeld(const FlowKey &Key) const {
    return std::ranges::any_of(
        this->Upstreams, [&Key](const auto &Each) { return Each->holds(Key); });
  }

  std::size_t pick(std::size_t Count) { return this->Random() % Count; }

  void note(std::string What) {
    this->Faults.push_back(
        fmt::format("{} ms: {}", toMilliseconds(now() - this->Began), What));
  }

  /// Sleeps until the next fault and restarts what has ended.
  void pause() {
    const Instant Until = now() + milliseconds(100 + this->pick(500));
    while (now() < Until) {
      this->care();
      std::this_thread::sleep_for(milliseconds(20));
    }
  }

  void care() {
    for (Vm &Each : this->Vms) {
      if (Each.ResumeAt && now() >= *Each.ResumeAt) {
        Each.Running->resume();
        Each.ResumeAt.reset();
      }
      if (!Each.Running->isRunning()) {
        // A program that cannot be started again shows in the calm share.
        (void)this->start(Each);
      }
    }
    if (this->StoreUpAt && now() >= *this->StoreUpAt) {
      this->StoreUpAt.reset();
      this->Platform.setMode(StoreMode::Resetting);
      if (this->ReturnsFrom) {
        this->returnStore();
      }
      this->Platform.setMode(StoreMode::Up);
      this->StoreTroubleAt = now();
    }
    this->keepCopy();
    while (!this->Due.empty() && now() >= this->Due.begin()->first) {
      const auto Next = this->Due.extract(this->Due.begin());
      Next.mapped()();
    }
  }

  void keepCopy() {
    if (!this->Settings.HasReturns || now() < this->NextCopyAt) {
      return;
    }
    this->NextCopyAt = now() + CopyPeriod;
    this->Copies.push_back(this->Platform.copy());
    if (this->Copies.size() > MaxCopies) {
      this->Copies.pop_front();
    }
  }

  /// Takes the store away, to come back from a copy up to five seconds old.
  void beginReturn() {
    if (this->Copies.empty() || this->StoreUpAt) {
      return;
    }
    const std::size_t Age = this->pick(this->Copies.size());
    this->ReturnsFrom = this->Copies[this->Copies.size() - 1 - Age];
    this->note(fmt::format("store returns from copy {}", Age));
    this->Platform.setMode(StoreMode::Resetting);
    this->StoreUpAt = now() + milliseconds(200 + this->pick(1000));
    // Rules with a time bound do not hold until the store has been stable.
    for (const auto &Each : this->Upstreams) {
      Each->setNoNewFlowsAfter(Instant::max());
    }
  }

  void returnStore() {
    ++this->Returns;
    this->Platform.returnFrom(*this->ReturnsFrom);
    this->ReturnsFrom.reset();
    this->Copies.clear();
    const auto Within = [this](Duration Limit) {
      return now() + milliseconds(this->pick(
                         static_cast<std::size_t>(toMilliseconds(Limit))));
    };
    this->Due.emplace(Within(RewriteTime), [this] { this->publishRoutes(); });
    for (std::size_t I = 0; I < this->Upstreams.size(); ++I) {
      this->Due.emplace(Within(RewriteTime),
                        [this, I] { this->list(I, this->States[I]); });
    }
    this->Due.emplace(now() + LapseTime, [this] { this->removeFormerNames(); });
    this->Due.emplace(now() + StableTime + DrainBound, [this] {
      for (std::size_t I = 0; I < this->Upstreams.size(); ++I) {
        if (this->States[I] == "draining" && !this->StoreUpAt) {
          this->Upstreams[I]->setNoNewFlowsAfter(now());
        }
      }
    });
  }

  void removeFormerNames() {
    for (std::uint32_t Name = 1; Name <= this->Names; ++Name) {
      const std::string Each = fmt::format("i-{}", Name);
      if (std::ranges::find(this->Upstreams, Each, [](const auto &Upstream) {
            return Upstream->name();
          }) == this->Upstreams.end()) {
        this->Platform.remove("servers/" + Each);
      }
    }
  }

  void injectFault(Callers &Clients) {
    // Without returns, a seed draws the same faults as before there were any.
    const std::size_t Kinds = this->Settings.HasReturns ? 12 : 11;
    Vm &Target = this->Vms[this->pick(this->Vms.size())];
    const std::size_t Number = this->pick(this->Upstreams.size());
    switch (this->pick(Kinds)) {
    case 0:
      this->note(fmt::format("kill vm {}", Target.Address & 0xFFU));
      Target.Running->kill();
      break;
    case 1:
      this->note(fmt::format("stop vm {}", Target.Address & 0xFFU));
      Target.Running->resume();
      Target.ResumeAt.reset();
      Target.Running->terminate();
      break;
    case 2:
      this->note(fmt::format("freeze vm {}", Target.Address & 0xFFU));
      Target.Running->freeze();
      Target.ResumeAt = now() + milliseconds(200 + this->pick(1500));
      break;
    case 3:
      this->note(fmt::format("hang up vm {}", Target.Address & 0xFFU));
      ::kill(Target.Running->pid(), SIGHUP);
      break;
    case 4:
      this->troubleStore();
      break;
    case 5:
      this->note("drop the store's history");
      this->Platform.dropHistory();
      break;
    case 6:
      this->note("publish routes");
      this->publishRoutes();
      break;
    case 7:
      this->crash(Number);
      break;
    case 8:
      this->drain(Number);
      break;
    case 9:
      this->note(fmt::format("slow upstream {}", Number));
      this->Upstreams[Number]->setSlow(this->pick(2) == 0);
      break;
    case 10:
      this->note("lose packets");
      Clients.setLoss(0.01 * static_cast<double>(this->pick(8)));
      break;
    default:
      this->beginReturn();
      break;
    }
  }

  void troubleStore() {
    constexpr StoreMode Modes[] = {StoreMode::Busy, StoreMode::Refusing,
                                   StoreMode::Resetting, StoreMode::Silent,
                                   StoreMode::Slow};
    const StoreMode Next = Modes[this->pick(std::size(Modes))];
    this->note(fmt::format("store mode {}", static_cast<int>(Next)));
    if (this->ReturnsFrom) {
      // It stays away until it returns.
      return;
    }
    this->Platform.setMode(Next);
    this->StoreUpAt = now() + milliseconds(300 + this->pick(2500));
  }

  /// The upstream loses its flows and starts again under another name; the old
  /// entry lapses, or stays for a while.
  void crash(std::size_t Number) {
    this->note(fmt::format("crash upstream {}", Number));
    const std::string Old = this->Upstreams[Number]->name();
    this->Upstreams[Number]->restart(this->nextName());
    this->list(Number, "ready");
    if (this->pick(2) == 0) {
      this->Platform.remove("servers/" + Old);
    }
  }

  void drain(std::size_t Number) {
    // Each service keeps an upstream that is ready.
    if (Number < 2) {
      return;
    }
    this->note(fmt::format("drain upstream {}", Number));
    this->list(Number, "draining");
    const bool IsStable =
        !this->StoreUpAt && now() - this->StoreTroubleAt >= StableTime;
    const Duration Bound = DrainBound + (IsStable ? Duration() : StableTime);
    this->Upstreams[Number]->setNoNewFlowsAfter(
        this->StoreUpAt ? Instant::max() : now() + Bound);
  }

  void calmDown(Callers &Clients) {
    Clients.setLoss(0);
    this->StoreUpAt = now();
    for (Vm &Each : this->Vms) {
      if (Each.ResumeAt) {
        Each.ResumeAt = now();
      }
    }
    this->care();
    for (std::size_t I = 0; I < this->Upstreams.size(); ++I) {
      this->Upstreams[I]->setSlow(false);
      this->Upstreams[I]->setNoNewFlowsAfter(Instant::max());
      this->list(I, "ready");
    }
    // Processes that were asked to stop end within their grace time.
    const Instant Until = now() + CalmDelay;
    while (now() < Until) {
      this->care();
      std::this_thread::sleep_for(milliseconds(20));
    }
  }

  SoakSettings Settings;
  std::mt19937_64 Random;
  std::uint32_t Network;
  path::ScratchDirectory Scratch;
  Ledger Seen;
  Store Platform;
  std::vector<Vm> Vms;
  std::vector<std::unique_ptr<UpstreamStandIn>> Upstreams;
  std::vector<bool> Serves;
  std::vector<std::string> Faults;
  /// The state that each upstream writes.
  std::map<std::size_t, std::string> States;
  std::deque<Store::Copy> Copies;
  Instant NextCopyAt;
  std::optional<Store::Copy> ReturnsFrom;
  /// What is done at a time.
  std::multimap<Instant, std::function<void()>> Due;
  std::optional<Instant> StoreUpAt;
  Instant StoreTroubleAt;
  Instant Began = now();
  std::uint64_t Version = 0;
  std::uint32_t Names = 0;
  std::size_t Returns = 0;
};

} // namespace

Result<SoakReport> runSoak(const SoakSettings &Settings) {
  return Run(Settings).run();
}

} // namespace mulberryhoist::soak
