#include "mulberryhoist/balancer-data.h"

#include <algorithm>

namespace mulberryhoist {
namespace {

using std::chrono::milliseconds;

/// Datagrams that are read before documents and timers are looked at again.
constexpr int DatagramsPerIteration = 64;

/// How often probes are planned; also the longest sleep, which is far below
/// `PauseThreshold`.
constexpr Duration TickPeriod = milliseconds(50);

/// Actions that one event can cause without allocation.
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
      ProbeBytes(makeCounter(Metrics, "balancer_probe_bytes_total",
                             "Bytes of probes and replies with headers")),
      DroppedOpenings(
          makeCounter(Metrics, "balancer_dropped_openings_total",
                      "Openings dropped because they waited during a pause")),
      Pauses(makeCounter(Metrics, "balancer_pauses_total",
                         "Pauses of the process longer than 500 ms")),
      ShedProblems(makeCounter(Metrics, "balancer_shed_log_entries_total",
                               "Input errors that were counted but not "
                               "passed to the log")),
      SuspectedAgents(makeGauge(Metrics, "balancer_suspected_agents",
                                "Agents that are suspected now")),
      Documents(Metrics) {}

/// The state of one run: fresh whenever the supervisor restarts the duty.
struct BalancerData::Turn {
  explicit Turn(BalancerData &Parent) : Parent(Parent) {
    this->Out.reserve(ActionReserve);
    const Instant Begin = now();
    this->Timers.subscribe(TickPeriod, Begin, [this](Instant Now) {
      this->Logic.onTick(Now, this->Out);
      this->perform({});
      this->publish();
    });
  }

  /// One turn: documents, waiting datagrams, timers.
  void run() {
    const Instant Now = now();
    this->checkPause(Now);
    this->takeDocuments(Now);
    const bool Empty = this->readInput(Now);
    this->Timers.advance(Now);
    if (Empty) {
      this->Parent.Socket.wait(this->Timers.nextDue().value_or(Now) - now());
    }
  }

private:
  void checkPause(Instant Now) {
    if (this->Pauses.observe(Now)) {
      this->Logic.onPause(Now);
      this->Parent.Metrics.Pauses.Increment();
    }
  }

  /// Takes over documents that changed; costs two pointer copies otherwise.
  void takeDocuments(Instant Now) {
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

  /// Reads what is waiting, up to a limit; true if nothing is left.
  bool readInput(Instant Now) {
    for (int I = 0; I < DatagramsPerIteration; ++I) {
      const auto Received = this->Parent.Socket.receive();
      if (!Received) {
        this->Logic.onBacklogRead();
        return true;
      }
      this->take(*Received, Now);
      this->perform(Received->From);
    }
    return false;
  }

  void take(const ReceivedDatagram &Received, Instant Now) {
    if (this->Logic.isAgent(Received.From)) {
      this->takeMessage(Received, Now);
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

  void takeMessage(const ReceivedDatagram &Received, Instant Now) {
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

  /// Shows a new view if the table or an agent changed.
  void publish() {
    const std::uint64_t Dropped = this->Logic.droppedOpenings();
    this->Parent.Metrics.DroppedOpenings.Increment(
        static_cast<double>(Dropped - this->CountedDropped));
    this->CountedDropped = Dropped;
    const std::uint64_t Changes = this->Logic.suspicion().changeCount();
    if (Changes == this->ShownChanges) {
      return;
    }
    this->ShownChanges = Changes;
    const auto Agents = this->Logic.suspicion().agents();
    auto View = std::make_shared<BalancerView>();
    View->InForce = this->Logic.table();
    View->Agents.assign(Agents.begin(), Agents.end());
    const auto Suspected =
        std::count_if(Agents.begin(), Agents.end(),
                      [](const AgentHealth &Agent) { return Agent.Suspected; });
    this->Parent.Metrics.SuspectedAgents.Set(static_cast<double>(Suspected));
    this->Parent.Shown.store(std::move(View));
  }

  BalancerData &Parent;
  BalancerLogic Logic;
  Codec Messages;
  PauseDetector Pauses;
  TimerService Timers;
  ActionList Out;
  std::shared_ptr<const Table> SeenTable;
  std::shared_ptr<const VmList> SeenVms;
  std::uint64_t ShownChanges = 0;
  std::uint64_t CountedDropped = 0;
};

BalancerData::BalancerData(DatagramSocket Socket, DocumentSource Documents,
                           BalancerMetrics &Metrics)
    : Socket(std::move(Socket)), Documents(std::move(Documents)),
      Metrics(Metrics), Shown(std::make_shared<const BalancerView>()) {}

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
  Turn Each(*this);
  while (!Stop.stop_requested()) {
    Each.run();
  }
  return {};
}

} // namespace mulberryhoist
