/// \file
/// The data thread of an agent on the steered path.

#ifndef MULBERRYHOIST_STEERING_AGENT_DATA_H
#define MULBERRYHOIST_STEERING_AGENT_DATA_H

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <stop_token>

#include "mulberryhoist/steer-io.h"
#include "mulberryhoist/steering-agent.h"

namespace mulberryhoist {

/// The addresses at which the data thread of an agent sends and receives.
struct SteeringAgentDataSettings {
  /// Receives messages of balancers and agents.
  Endpoint Peers;
  /// Receives packets of the upstream.
  Endpoint FromUpstream;
  Endpoint Upstream;
  ServiceId Service;
  /// The port at which callers receive packets.
  std::uint16_t CallerPort = 0;
  /// `SteeringAgentSettings::AddressReuse`.
  Duration AddressReuse = std::chrono::seconds(2);
  /// Reads the settings again and calls `setUpstream` if the upstream has been
  /// replaced; called by the data thread. If it is empty, the settings count as
  /// up to date.
  std::function<void()> RefreshUpstream;
};

/// Interval at which the state that `dump` shows is copied.
inline constexpr Duration CopyPeriod = std::chrono::milliseconds(250);

/// The sockets of an agent and the event loop that serves them.
template <PacketFormat Format> class SteeringAgentData {
public:
  /// Binds the sockets; the registry must outlive the object.
  static Result<std::unique_ptr<SteeringAgentData>>
  create(const SteeringAgentDataSettings &Settings,
         prometheus::Registry &Metrics) {
    auto Peers = DatagramSocket::create(Settings.Peers);
    if (!Peers) {
      return tl::unexpected<Error>(std::move(Peers.error()));
    }
    auto FromUpstream = DatagramSocket::create(Settings.FromUpstream);
    if (!FromUpstream) {
      return tl::unexpected<Error>(std::move(FromUpstream.error()));
    }
    return std::unique_ptr<SteeringAgentData>(new SteeringAgentData(
        Settings, Metrics, std::move(*Peers), std::move(*FromUpstream)));
  }

  /// Returns the address that receives messages of balancers and agents.
  Endpoint peersAddress() const { return this->Peers.address(); }

  /// Returns the address that receives packets of the upstream.
  Endpoint fromUpstreamAddress() const { return this->FromUpstream.address(); }

  /// Serves the sockets until a stop is requested; each run starts with empty
  /// flow state, while the sockets stay bound.
  Result<void> run(const std::stop_token &Stop) {
    SteeringAgentSettings LogicSettings;
    LogicSettings.Service = this->Service;
    LogicSettings.Address = this->Settings.Peers.Address;
    LogicSettings.PeerPort = this->Settings.Peers.Port;
    LogicSettings.AddressReuse = this->Settings.AddressReuse;
    SteeringAgentLogic Logic(LogicSettings, now());
    SteerActionList Out;
    Out.reserve(SteerActionReserve);
    while (!Stop.stop_requested()) {
      const Instant Now = now();
      this->applyPendingChanges(Logic, Out, Now);
      if (Logic.holdsOpenings()) {
        this->refreshUpstream(Logic);
      }
      const bool HasNoPackets = this->readUpstream(Logic, Out, Now);
      const bool HasNoMessages = this->readMessages(Logic, Out, Now);
      Logic.onTick(Now, Out);
      this->Output.perform(Out, Now);
      this->LoadGauge.Set(Logic.load());
      this->OverdueGauge.Set(Logic.overdueCount());
      this->FlowGauge.Set(static_cast<double>(Logic.flowCount()));
      this->ServiceTimeGauge.Set(toSeconds(Logic.serviceTime()));
      this->ClosedGauge.Set(Logic.intake().isClosed() ? 1 : 0);
      this->IntakeRevision = Logic.intake().revision().Number;
      this->IntakeEra = Logic.intake().revision().Era.value_or(0);
      this->copyAdmissions(Logic, Now);
      if (Logic.isDrained(Now)) {
        this->Drained = true;
      }
      if (HasNoPackets && HasNoMessages) {
        const std::array<const DatagramSocket *, 2> Sockets = {
            &this->Peers, &this->FromUpstream};
        const Instant Waiting = now();
        const Instant Latest = Waiting + LongestWait;
        const Instant Until =
            std::min(Logic.nextDue().value_or(Latest), Latest);
        DatagramSocket::waitAny(Sockets, Until - Waiting);
      }
    }
    return {};
  }

  /// Replaces the upstream beside the agent. Thread-safe.
  void setUpstream(ServiceId Next, Endpoint Upstream) {
    this->Service = Next;
    this->Upstream = Upstream;
  }

  /// Starts the drain before the process exits. Thread-safe.
  void terminate() { this->Terminating = true; }

  /// Returns the state of the data thread as JSON. Thread-safe.
  std::string dump() const {
    return jsonText({{"upstream", formatEndpoint(this->Upstream)},
                     {"service", this->Service.load().Value},
                     {"load", this->LoadGauge.Value()},
                     {"overdue", this->OverdueGauge.Value()},
                     {"flows", this->FlowGauge.Value()},
                     {"service_time_s", this->ServiceTimeGauge.Value()},
                     {"intake_closed", this->ClosedGauge.Value() != 0},
                     {"intake_revision", this->IntakeRevision.load()},
                     {"intake_era", this->IntakeEra.load()},
                     {"stopping", this->Terminating.load()},
                     {"classes", this->dumpClasses()},
                     {"routes", this->dumpRoutes()}});
  }

  /// Returns true once the process may exit. Thread-safe.
  bool isDrained() const { return this->Drained; }

private:
  SteeringAgentData(const SteeringAgentDataSettings &Settings,
                    prometheus::Registry &Metrics, DatagramSocket Peers,
                    DatagramSocket FromUpstream)
      : Settings(Settings), Errors(Metrics),
        Decisions(Metrics, "request_seconds",
                  "Time from a request to the upstream's first response"),
        LoadGauge(makeGauge(Metrics, "upstream_load",
                            "Requests that the upstream processes or queues")),
        OverdueGauge(makeGauge(
            Metrics, "overdue_requests",
            "Requests in the load for longer than the estimate explains")),
        FlowGauge(makeGauge(Metrics, "remembered_flows",
                            "Flows in the agent's flow table")),
        ServiceTimeGauge(
            makeGauge(Metrics, "service_time_seconds",
                      "Estimated mean time of a request in its slot")),
        ClosedGauge(makeGauge(Metrics, "intake_closed",
                              "1 while the upstream takes no new flows")),
        Peers(std::move(Peers)), FromUpstream(std::move(FromUpstream)),
        Output(this->Peers, Settings.CallerPort, this->Decisions, this->Errors),
        Service(Settings.Service), Upstream(Settings.Upstream) {}

  /// Copies the counts and estimates for `dump` a few times a second.
  void copyAdmissions(const SteeringAgentLogic &Logic, Instant Now) {
    if (Now < this->NextCopy) {
      return;
    }
    this->NextCopy = Now + CopyPeriod;
    const std::lock_guard Lock(this->AdmissionsMutex);
    this->Admissions = Logic.admissionCounts();
    this->Routes = Logic.routeWork();
  }

  nlohmann::json dumpClasses() const {
    const std::lock_guard Lock(this->AdmissionsMutex);
    nlohmann::json Classes = nlohmann::json::array();
    for (std::size_t Class = 0; Class < AdmissionClasses; ++Class) {
      const ClassAdmissions &Each = this->Admissions.at(Class);
      if (Each.Held + Each.Taken + Each.Refused != 0) {
        Classes.push_back(
            {{"class", Class},
             {"held", Each.Held},
             {"taken", Each.Taken},
             {"refused", Each.Refused},
             {"held_before_refusal_s", toSeconds(Each.HeldBeforeRefusal)}});
      }
    }
    return Classes;
  }

  nlohmann::json dumpRoutes() const {
    const std::lock_guard Lock(this->AdmissionsMutex);
    nlohmann::json Routes = nlohmann::json::array();
    for (const RouteWork &Each : this->Routes) {
      Routes.push_back(
          {{"address", formatEndpoint(Each.Route)},
           {"slot_time_s", Each.Factor * this->ServiceTimeGauge.Value()}});
    }
    return Routes;
  }

  void applyPendingChanges(SteeringAgentLogic &Logic, SteerActionList &Out,
                           Instant Now) {
    this->applyUpstream(Logic);
    if (this->Terminating) {
      Logic.onTerminate(Now, Out);
      this->Output.perform(Out, Now);
    }
  }

  void applyUpstream(SteeringAgentLogic &Logic) {
    Logic.onService(this->Service);
    this->Output.Upstream = this->Upstream;
  }

  /// Reads the settings again if the upstream may have been replaced.
  void refreshUpstream(SteeringAgentLogic &Logic) {
    // The process may have been suspended since the iteration began.
    if (this->Settings.RefreshUpstream && Logic.mayBeReplaced(now())) {
      this->Settings.RefreshUpstream();
      this->applyUpstream(Logic);
    }
  }

  bool readUpstream(SteeringAgentLogic &Logic, SteerActionList &Out,
                    Instant Now) {
    return receivePending(this->FromUpstream,
                          [&](const ReceivedDatagram &Received) {
                            const auto Packet = Format::parse(Received.Bytes);
                            if (!Packet) {
                              this->Output.report(Packet.error(), Now);
                              return;
                            }
                            this->refreshUpstream(Logic);
                            Logic.onUpstreamPacket(*Packet, Now, Out);
                            this->Output.perform(Out, Now);
                          });
  }

  bool readMessages(SteeringAgentLogic &Logic, SteerActionList &Out,
                    Instant Now) {
    return receivePending(this->Peers, [&](const ReceivedDatagram &Received) {
      const auto Decoded = this->Codec.decode(Received.Bytes);
      if (!Decoded) {
        this->Output.report(Decoded.error(), Now);
        return;
      }
      this->handleMessage(Logic, Received.From, *Decoded, Out, Now);
      this->Output.perform(Out, Now);
    });
  }

  void handleMessage(SteeringAgentLogic &Logic, Endpoint From,
                     const SteerDatagram &Input, SteerActionList &Out,
                     Instant Now) {
    if (const auto *Request = std::get_if<Check>(&Input.Body)) {
      Logic.onCheck(From, *Request, Out);
      return;
    }
    if (const auto *Notice = std::get_if<IntakeNotice>(&Input.Body)) {
      Logic.onIntake(*Notice, Now, Out);
      return;
    }
    const auto *Header = std::get_if<Steer>(&Input.Body);
    if (Header == nullptr) {
      this->Output.report(
          {ErrorKind::MalformedMessage,
           "agent received a message that only balancers accept"},
          Now);
      return;
    }
    const auto Packet = Format::parse(Input.Packet);
    if (!Packet) {
      this->Output.report(Packet.error(), Now);
      return;
    }
    if (Packet->View.isOpening()) {
      this->refreshUpstream(Logic);
    }
    Logic.onSteer(*Header, *Packet, Now, Out);
  }

  SteeringAgentDataSettings Settings;
  ErrorCounters Errors;
  DecisionLog Decisions;
  prometheus::Gauge &LoadGauge;
  prometheus::Gauge &OverdueGauge;
  prometheus::Gauge &FlowGauge;
  prometheus::Gauge &ServiceTimeGauge;
  prometheus::Gauge &ClosedGauge;
  DatagramSocket Peers;
  DatagramSocket FromUpstream;
  SteerOutput<Format> Output;
  SteerCodec Codec;
  std::atomic<std::uint64_t> IntakeRevision{0};
  /// 0 if it is not known.
  std::atomic<std::uint64_t> IntakeEra{0};
  std::atomic<ServiceId> Service;
  std::atomic<Endpoint> Upstream;
  std::atomic<bool> Terminating{false};
  std::atomic<bool> Drained{false};
  mutable std::mutex AdmissionsMutex;
  AdmissionCounts Admissions = {};
  std::vector<RouteWork> Routes;
  Instant NextCopy;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_STEERING_AGENT_DATA_H
