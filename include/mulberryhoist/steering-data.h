/// \file
/// The data thread of a balancer on the steered path.

#ifndef MULBERRYHOIST_STEERING_DATA_H
#define MULBERRYHOIST_STEERING_DATA_H

#include <atomic>
#include <memory>
#include <stop_token>

#include "mulberryhoist/directory.h"
#include "mulberryhoist/metrics.h"
#include "mulberryhoist/steer-io.h"
#include "mulberryhoist/steering.h"

namespace mulberryhoist {

/// The local addresses of a balancer's data thread and the port of its callers.
struct SteeringDataSettings {
  /// Receives packets from callers.
  Endpoint Packets;
  /// Receives messages from agents.
  Endpoint Peers;
  /// The port on which callers receive packets.
  std::uint16_t CallerPort = 0;
  /// When the process started, and the same in Unix time.
  Instant StartedAt;
  std::chrono::milliseconds StartedAtUnix{0};
  /// The rate of the VM's link in bytes per second, each way; 0 if unknown.
  std::uint64_t LinkRate = 0;
  /// `SteeringSettings`.
  double ColdExcess = 1;
  double ColdSlack = 0;
};

/// How often the gauges of the link are written.
inline constexpr Duration LinkGaugePeriod = std::chrono::milliseconds(500);

/// The gauges of a balancer's link.
class LinkGauges {
public:
  explicit LinkGauges(prometheus::Registry &Metrics)
      : Rate(makeGauge(Metrics, "link_rate_bytes_per_second",
                       "Rate of the VM's link from the settings; 0: unknown")),
        Use(makeGauge(Metrics, "link_use_bytes_per_second",
                      "Estimated use of the link, of the busier direction")),
        Transfers(makeGauge(Metrics, "link_transfers",
                            "Requests above one window that are being sent")),
        InFlight(makeGauge(Metrics, "link_transfer_window_bytes",
                           "Bytes that these may have in flight at once")),
        IsRefusing(
            makeGauge(Metrics, "link_full", "1 while transfers are refused")) {}

  void update(const LinkFigures &Figures) {
    this->Rate.Set(Figures.RatePerSecond);
    this->Use.Set(Figures.UsePerSecond);
    this->Transfers.Set(static_cast<double>(Figures.Transfers));
    this->InFlight.Set(Figures.InFlight);
    this->IsRefusing.Set(Figures.IsRefusing ? 1 : 0);
  }

private:
  prometheus::Gauge &Rate;
  prometheus::Gauge &Use;
  prometheus::Gauge &Transfers;
  prometheus::Gauge &InFlight;
  prometheus::Gauge &IsRefusing;
};

/// The sockets of a balancer and the event loop that serves them.
template <PacketFormat Format> class SteeringData {
public:
  /// Binds the sockets, or reports the error of the failed call; the references
  /// must outlive the object.
  static Result<std::unique_ptr<SteeringData>>
  create(const SteeringDataSettings &Settings, SharedDirectory &Directories,
         prometheus::Registry &Metrics) {
    auto Packets = DatagramSocket::create(Settings.Packets);
    if (!Packets) {
      return tl::unexpected<Error>(std::move(Packets.error()));
    }
    auto Peers = DatagramSocket::create(Settings.Peers);
    if (!Peers) {
      return tl::unexpected<Error>(std::move(Peers.error()));
    }
    return std::unique_ptr<SteeringData>(
        new SteeringData(Settings, Directories, Metrics, std::move(*Packets),
                         std::move(*Peers)));
  }

  /// Runs the event loop until a stop is requested; each run starts with new
  /// decision logic, while the sockets stay bound.
  Result<void> run(const std::stop_token &Stop) {
    SteeringLogic Logic({this->Settings.Peers.Address,
                         this->Settings.Peers.Port, this->Settings.StartedAt,
                         this->Settings.StartedAtUnix, this->Settings.LinkRate,
                         this->Settings.ColdExcess, this->Settings.ColdSlack});
    SteerActionList Out;
    Out.reserve(SteerActionReserve);
    std::shared_ptr<const Directory> Applied;
    Instant NextGaugesAt;
    while (!Stop.stop_requested()) {
      const Instant Now = now();
      this->updateDirectory(Logic, Applied);
      const bool HasNoPackets = this->readPackets(Logic, Out, Now);
      const bool HasNoMessages = this->readMessages(Logic, Out, Now);
      Logic.onTick(Now, Out);
      if (Now >= NextGaugesAt) {
        this->Gauges.update(Logic.linkFigures(Now));
        NextGaugesAt = Now + LinkGaugePeriod;
      }
      this->exchangeConfirmations(Logic, Out);
      this->Output.perform(Out, Now);
      if (HasNoPackets && HasNoMessages) {
        this->waitForInput(Logic);
      }
    }
    return {};
  }

  /// Returns when the last packet from a caller arrived. Thread-safe.
  Instant lastPacketAt() const {
    return Instant(
        Duration(this->LastPacketAt.load(std::memory_order_relaxed)));
  }

private:
  SteeringData(const SteeringDataSettings &Settings,
               SharedDirectory &Directories, prometheus::Registry &Metrics,
               DatagramSocket Packets, DatagramSocket Peers)
      : Settings(Settings), Directories(Directories), Errors(Metrics),
        Decisions(Metrics, "opening_answer_seconds",
                  "Time until an agent accepted an opening"),
        EvacuatedZones(makeGauge(Metrics, "evacuated_zones",
                                 "Availability zones that get no new flows")),
        SourceEra(makeGauge(Metrics, "source_era",
                            "Era of the store; 0 if it has not told one")),
        SourceReturns(makeCounter(Metrics, "source_returns_total",
                                  "Returns of the store from an older copy")),
        Gauges(Metrics), Packets(std::move(Packets)), Peers(std::move(Peers)),
        Output(this->Peers, Settings.CallerPort, this->Decisions,
               this->Errors) {}

  void updateDirectory(SteeringLogic &Logic,
                       std::shared_ptr<const Directory> &Applied) {
    auto Next = this->Directories.get();
    if (Next != Applied && Next != nullptr) {
      Logic.onDirectory(Next);
      this->Output.Version = Next->version();
      this->SourceEra.Set(
          static_cast<double>(Next->completeness().Era.value_or(0)));
      raiseTo(this->SourceReturns, Next->completeness().Returns);
      this->EvacuatedZones.Set(static_cast<double>(
          std::ranges::count_if(Next->evacuations(), &Evacuation::IsActive)));
      Applied = std::move(Next);
    }
  }

  bool readPackets(SteeringLogic &Logic, SteerActionList &Out, Instant Now) {
    return receivePending(this->Packets, [&](const ReceivedDatagram &Received) {
      this->LastPacketAt.store(Now.time_since_epoch().count(),
                               std::memory_order_relaxed);
      const auto Packet = Format::parse(Received.Bytes);
      if (!Packet) {
        this->Output.report(Packet.error(), Now);
        return;
      }
      Logic.onCallerPacket(*Packet, Now, Out);
      this->Output.perform(Out, Now);
    });
  }

  bool readMessages(SteeringLogic &Logic, SteerActionList &Out, Instant Now) {
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

  void exchangeConfirmations(SteeringLogic &Logic, SteerActionList &Out) {
    if (Logic.takeConfirmationRequest()) {
      this->Directories.requestConfirmation();
    }
    if (Logic.awaitsConfirmation()) {
      if (const auto Latest = this->Directories.confirmation()) {
        Logic.onConfirmation(*Latest, Out);
      }
    }
  }

  void handleMessage(SteeringLogic &Logic, Endpoint From,
                     const SteerDatagram &Input, SteerActionList &Out,
                     Instant Now) {
    const SteerMessage &Body = Input.Body;
    if (const auto *Notice = std::get_if<Taken>(&Body)) {
      Logic.onTaken(From, *Notice, Now, Out);
    } else if (const auto *Refusal = std::get_if<Refused>(&Body)) {
      Logic.onRefused(From, *Refusal, Now, Out);
    } else if (const auto *Returned = std::get_if<NotHeld>(&Body)) {
      const auto Packet = Format::parse(Input.Packet);
      if (!Packet) {
        this->Output.report(Packet.error(), Now);
        return;
      }
      Logic.onNotHeld(From, *Returned, *Packet, Now, Out);
    } else if (const auto *GivenBack = std::get_if<Displaced>(&Body)) {
      const auto Packet = Format::parse(Input.Packet);
      if (!Packet) {
        this->Output.report(Packet.error(), Now);
        return;
      }
      Logic.onDisplaced(From, *GivenBack, *Packet, Now, Out);
    } else if (const auto *Reply = std::get_if<CheckReply>(&Body)) {
      Logic.onCheckReply(From, *Reply, Now, Out);
    } else {
      this->Output.report({ErrorKind::MalformedMessage,
                           "balancer received a message intended for agents"},
                          Now);
    }
  }

  void waitForInput(const SteeringLogic &Logic) {
    const Instant Now = now();
    const Instant Latest =
        Now +
        (Logic.awaitsConfirmation() ? ConfirmationPollPeriod : LongestWait);
    const Instant Until = std::min(Logic.nextDue().value_or(Latest), Latest);
    const std::array<const DatagramSocket *, 2> Sockets = {&this->Packets,
                                                           &this->Peers};
    DatagramSocket::waitAny(Sockets, Until - Now);
  }

  SteeringDataSettings Settings;
  SharedDirectory &Directories;
  ErrorCounters Errors;
  DecisionLog Decisions;
  prometheus::Gauge &EvacuatedZones;
  prometheus::Gauge &SourceEra;
  prometheus::Counter &SourceReturns;
  LinkGauges Gauges;
  DatagramSocket Packets;
  DatagramSocket Peers;
  SteerOutput<Format> Output;
  SteerCodec Codec;
  std::atomic<Duration::rep> LastPacketAt{0};
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_STEERING_DATA_H
