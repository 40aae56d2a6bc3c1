#include "mulberryhoist/balancer-data.h"

#include <algorithm>

namespace mulberryhoist {
namespace {

using std::chrono::milliseconds;

/// Limit of datagrams read in one iteration, so that documents and timers are
/// not delayed under load.
constexpr int DatagramsPerIteration = 64;

/// Interval at which probes are planned; also the longest sleep, which is far
/// below `PauseThreshold`.
constexpr Duration TickPeriod = milliseconds(50);

/// Number of actions that one event can cause without an allocation.
constexpr std::size_t ActionReserve = 64;

Instant now() { return std::chrono::steady_clock::now(); }

} // namespace

BalancerMetrics::BalancerMetrics(prometheus::Registry &Metrics)
    : Errors(Metrics), Packets(makeCounter(Metrics, "balancer_packets_total",
                                           "Packets received from the fabric")),
      Openings(makeCounter(Metrics, "balancer_openings_total",
                           "Openings forwarded")),
      ForwardedPackets(makeCounter(Metrics, "balancer_forwarded_packets_total",
                                   "Packets sent to agents")),
      ForwardedBytes(makeCounter(Metrics, "balancer_forwarded_bytes_total",
                                 "Bytes of the packets sent to agents")),
      ProbeBytes(makeCounter(
          Metrics, "balancer_probe_bytes_total",
          "Bytes of probes and replies, including IP and UDP headers")),
      DroppedOpenings(makeCounter(
          Metrics, "balancer_dropped_openings_total",
          "Openings dropped because they were queued during a pause")),
      Pauses(makeCounter(Metrics, "balancer_pauses_total",
                         "Pauses of the process longer than 500 ms")),
      ShedProblems(makeCounter(Metrics, "balancer_shed_log_entries_total",
                               "Input errors that were counted but not "
                               "logged because the queue was full")),
      SuspectedAgents(makeGauge(Metrics, "balancer_suspected_agents",
                                "Agents currently suspected")),
      Documents(Metrics) {}

/// The event loop and its state; new whenever the supervisor restarts the duty.
struct BalancerData::EventLoop {
  explicit EventLoop(BalancerData &Parent) : Parent(Parent) {
    this->Out.reserve(ActionReserve);
    const Instant Begin = now();
    this->Timers.subscribe(TickPeriod, Begin, [this](Instant Now) {
      this->Logic.onTick(Now, this->Out);
      this->perform({});
      this->publish();
    });
  }

  /// Runs one iteration: documents, pending datagrams, timers.
  void runIteration() {
    const Instant Now = now();
    this->detectPause(Now);
    this->applyDocuments(Now);
    const bool InputEmpty = this->readInput(Now);
    this->Timers.advance(Now);
    if (InputEmpty) {
      this->Parent.Socket.wait(this->Timers.nextDue().value_or(Now) - now());
    }
  }

private:
  void detectPause(Instant Now) {
    if (this->Pauses.observe(Now)) {
      this->Logic.onPause(Now);
      this->Parent.Metrics.Pauses.Increment();
    }
  }

  /// Passes changed documents to the logic; costs two pointer copies if none
  /// changed.
  void applyDocuments(Instant Now) {
    auto NewTable = this->Parent.Documents.GetTable();
    if (NewTable != this->SeenTable) {
      this->SeenTable = NewTable;
      this->Logic.onTable(std::move(NewTable), Now, this->Out);
      this->perform({});
    }
    auto NewVms = this->Parent.Documents.GetVms();
    if (NewVms != this->SeenVms && NewVms != nullptr) {
      this->Logic.onVms(*NewVms, Now);
    }
    this->SeenVms = std::move(NewVms);
  }

  /// Reads up to `DatagramsPerIteration` datagrams; returns true if none is
  /// left.
  bool readInput(Instant Now) {
    for (int I = 0; I < DatagramsPerIteration; ++I) {
      const auto Received = this->Parent.Socket.receive();
      if (!Received) {
        this->Logic.onBacklogRead();
        return true;
      }
      this->handleDatagram(*Received, Now);
      this->perform(Received->From);
    }
    return false;
  }

  void handleDatagram(const ReceivedDatagram &Received, Instant Now) {
    if (this->Logic.isAgent(Received.From)) {
      this->handleAgentMessage(Received, Now);
      return;
    }
    this->Parent.Metrics.Packets.Increment();
    this->Parent.LastPacket.store(Now.time_since_epoch().count(),
                                  std::memory_order_relaxed);
    if (Received.Truncated) {
      this->Out.push_back(ReportError{ErrorKind::OversizedMessage});
      return;
    }
    this->Logic.onPacket(Received.Bytes, Now, this->Out);
  }

  void handleAgentMessage(const ReceivedDatagram &Received, Instant Now) {
    const auto Decoded = Received.Truncated
                             ? makeError(ErrorKind::OversizedMessage, "")
                             : this->Messages.decode(Received.Bytes);
    if (!Decoded) {
      this->Out.push_back(ReportError{Decoded.error().Kind});
      return;
    }
    if (std::holds_alternative<ProbeReply>(Decoded->Body)) {
      this->countProbe(Received.Bytes);
    }
    this->Logic.onDatagram(Received.From, Decoded->Body, Now, this->Out);
  }

  /// Performs and clears the actions that an event from `From` caused.
  void perform(Endpoint From) {
    for (const Action &Each : this->Out) {
      if (const auto *Send = std::get_if<SendMessage>(&Each)) {
        this->send(*Send);
      } else if (const auto *Report = std::get_if<ReportError>(&Each)) {
        this->report(Report->Kind, From);
      }
    }
    this->Out.clear();
  }

  void send(const SendMessage &Each) {
    const auto Bytes = this->Messages.encode(Each.Body, Each.Packet);
    if (!Bytes) {
      this->report(Bytes.error().Kind, Each.To);
      return;
    }
    const auto Sent = this->Parent.Socket.send(Each.To, *Bytes);
    if (!Sent) {
      this->report(Sent.error().Kind, Each.To);
      return;
    }
    BalancerMetrics &Metrics = this->Parent.Metrics;
    if (const auto *Body = std::get_if<Forward>(&Each.Body)) {
      Metrics.ForwardedPackets.Increment();
      Metrics.ForwardedBytes.Increment(static_cast<double>(Each.Packet.size()));
      Metrics.Openings.Increment(Body->Opening ? 1 : 0);
    } else {
      this->countProbe(*Bytes);
    }
  }

  void countProbe(PacketBytes Bytes) {
    this->Parent.Metrics.ProbeBytes.Increment(
        static_cast<double>(Bytes.size() + DatagramHeaderBytes));
  }

  void report(ErrorKind Kind, Endpoint From) {
    this->Parent.Metrics.Errors.add(Kind);
    this->Parent.Problems.push({Kind, From});
  }

  /// Publishes a new snapshot if the table or the state of an agent changed.
  void publish() {
    const std::uint64_t Dropped = this->Logic.droppedOpenings();
    this->Parent.Metrics.DroppedOpenings.Increment(
        static_cast<double>(Dropped - this->ReportedDropped));
    this->ReportedDropped = Dropped;
    const std::uint64_t Changes = this->Logic.failureDetector().changeCount();
    if (Changes == this->PublishedChanges) {
      return;
    }
    this->PublishedChanges = Changes;
    const auto Agents = this->Logic.failureDetector().agents();
    auto View = std::make_shared<BalancerView>();
    View->InForce = this->Logic.table();
    View->Agents.assign(Agents.begin(), Agents.end());
    const auto Suspected =
        std::count_if(Agents.begin(), Agents.end(),
                      [](const AgentHealth &Agent) { return Agent.Suspected; });
    this->Parent.Metrics.SuspectedAgents.Set(static_cast<double>(Suspected));
    this->Parent.CurrentView.store(std::move(View));
  }

  BalancerData &Parent;
  BalancerLogic Logic;
  Codec Messages;
  PauseDetector Pauses;
  TimerService Timers;
  ActionList Out;
  std::shared_ptr<const Table> SeenTable;
  std::shared_ptr<const VmList> SeenVms;
  std::uint64_t PublishedChanges = 0;
  std::uint64_t ReportedDropped = 0;
};

BalancerData::BalancerData(DatagramSocket Socket, DocumentSource Documents,
                           BalancerMetrics &Metrics)
    : Socket(std::move(Socket)), Documents(std::move(Documents)),
      Metrics(Metrics), CurrentView(std::make_shared<const BalancerView>()) {}

Result<std::unique_ptr<BalancerData>>
BalancerData::create(Endpoint Listen, DocumentSource Documents,
                     BalancerMetrics &Metrics) {
  auto Socket = DatagramSocket::create(Listen);
  if (!Socket) {
    return tl::unexpected<Error>(std::move(Socket.error()));
  }
  return std::unique_ptr<BalancerData>(
      new BalancerData(std::move(*Socket), std::move(Documents), Metrics));
}

Result<void> BalancerData::run(const std::stop_token &Stop) {
  EventLoop Loop(*this);
  while (!Stop.stop_requested()) {
    Loop.runIteration();
  }
  return {};
}

} // namespace mulberryhoist
