#include "mulberryhoist/agent-data.h"

#include <algorithm>
#include <random>

namespace mulberryhoist {
namespace {

using std::chrono::milliseconds;

/// Maximum number of datagrams read from one socket before the other one is
/// polled.
constexpr int DatagramsPerIteration = 64;

/// Resolution of the timeouts of openings. It also limits the wait for input,
/// since only one of the two sockets can be waited for.
constexpr Duration TickPeriod = milliseconds(1);

constexpr Duration ViewPeriod = milliseconds(500);

/// How long another thread waits for an explanation.
constexpr Duration ExplainTimeout = std::chrono::seconds(1);

/// Maximum number of flows listed in a view.
constexpr std::size_t MaxListedFlows = 100;

/// Number of actions that one event can cause without an allocation.
constexpr std::size_t ActionReserve = 256;

Instant now() { return std::chrono::steady_clock::now(); }

std::uint64_t drawSeed() {
  std::random_device Device;
  return (std::uint64_t{Device()} << 32U) | Device();
}

} // namespace

/// The state of one run, created anew when the supervisor restarts the duty.
struct AgentData::RunState {
  RunState(AgentData &Parent, AgentLogic Logic)
      : Parent(Parent), Logic(std::move(Logic)) {
    this->Actions.reserve(ActionReserve);
    const Instant Begin = now();
    this->Timers.subscribe(TickPeriod, Begin, [this](Instant Now) {
      this->Logic.onTick(Now, this->Actions);
      this->performActions();
      this->Parent.Drained = this->Logic.isDrained(Now);
    });
    this->Timers.subscribe(ViewPeriod, Begin,
                           [this](Instant Now) { this->publish(Now); });
  }

  /// Runs one iteration: documents, requests, received datagrams, timers.
  void run() {
    const Instant Now = now();
    this->checkPause(Now);
    if (this->Parent.Terminating) {
      this->Logic.onTerminate(Now);
    }
    this->updateDocuments(Now);
    this->serveExplainRequests(Now);
    const bool Empty = this->readMessages(Now);
    const bool UpstreamEmpty = this->readUpstream(Now);
    this->Timers.advance(Now);
    if (Empty && UpstreamEmpty) {
      this->Parent.Socket.wait(this->Timers.nextDue().value_or(Now) - now());
    }
  }

  void publish(Instant Now) {
    auto View = std::make_shared<AgentView>();
    View->InForce = this->LastTable;
    View->Status = this->Logic.status(Now);
    View->Drain = this->Logic.drainProgress(MaxListedFlows, Now);
    this->Parent.LatestView.store(std::move(View));
  }

private:
  void checkPause(Instant Now) {
    if (this->Pauses.observe(Now)) {
      this->Logic.onPause(Now);
      this->MessageArrival = Arrival::BeforePause;
      ++this->Parent.Counters.Pauses;
    }
  }

  /// Applies changed documents; costs two pointer copies if none has changed.
  void updateDocuments(Instant Now) {
    auto NewTable = this->Parent.Documents.GetTable();
    if (NewTable != this->LastTable && NewTable != nullptr) {
      this->LastTable = NewTable;
      this->Logic.onTable(std::move(NewTable), Now, this->Actions);
      this->performActions();
      this->publish(Now);
    }
    const auto Vms = this->Parent.Documents.GetVms();
    if (Vms != this->LastVms && Vms != nullptr) {
      const Vm *Self = Vms->find(this->Parent.Settings.Name);
      this->Logic.onLeaving(Self != nullptr && Self->State == VmState::Leaving);
    }
    this->LastVms = Vms;
  }

  void serveExplainRequests(Instant Now) {
    while (const auto Request = this->Parent.ExplainRequests.pop()) {
      (*Request)->Explanation.set_value(
          this->Logic.explain((*Request)->Key, Now));
    }
  }

  /// Reads up to `DatagramsPerIteration` messages of balancers and agents;
  /// returns true if none is left.
  bool readMessages(Instant Now) {
    for (int I = 0; I < DatagramsPerIteration; ++I) {
      const auto Received = this->Parent.Socket.receive();
      if (!Received) {
        this->MessageArrival = Arrival::Fresh;
        return true;
      }
      this->handleMessage(*Received, Now);
    }
    return false;
  }

  void handleMessage(const ReceivedDatagram &Received, Instant Now) {
    const auto Decoded = Received.Truncated
                             ? makeError(ErrorKind::OversizedMessage, "")
                             : this->Messages.decode(Received.Bytes);
    if (!Decoded) {
      this->report(Decoded.error().Kind);
      return;
    }
    if (!std::holds_alternative<Forward>(Decoded->Body)) {
      this->Parent.Counters.MessageBytesReceived += Received.Bytes.size();
    }
    this->Logic.onDatagram(Received.From, *Decoded, this->MessageArrival, Now,
                           this->Actions);
    this->performActions();
  }

  bool readUpstream(Instant Now) {
    for (int I = 0; I < DatagramsPerIteration; ++I) {
      const auto Received = this->Parent.UpstreamSocket.receive();
      if (!Received) {
        return true;
      }
      if (Received->Truncated) {
        this->report(ErrorKind::OversizedMessage);
        continue;
      }
      if (Received->From != this->Parent.Settings.Upstream) {
        this->report(ErrorKind::UnknownAddress);
        continue;
      }
      this->Logic.onUpstreamPacket(Received->Bytes, Now, this->Actions);
      this->performActions();
    }
    return false;
  }

  /// Performs and clears the actions of one event.
  void performActions() {
    const Endpoint Upstream = this->Parent.Settings.Upstream;
    const Endpoint Egress = this->Parent.Settings.Egress;
    for (const Action &Each : this->Actions) {
      if (const auto *Deliver = std::get_if<DeliverToUpstream>(&Each)) {
        this->sendPacket(Upstream, Deliver->Packet);
      } else if (const auto *ToCaller = std::get_if<SendToCaller>(&Each)) {
        this->sendPacket(Egress, ToCaller->Packet);
      } else if (const auto *Message = std::get_if<SendMessage>(&Each)) {
        this->sendMessage(*Message);
      } else if (const auto *UpstreamReset =
                     std::get_if<ResetUpstream>(&Each)) {
        this->sendPacket(Upstream, UpstreamReset->Packet);
      } else if (const auto *Reset = std::get_if<ResetCaller>(&Each)) {
        this->sendPacket(Egress, Reset->Packet);
        this->report(Reset->Reason);
      } else if (const auto *Problem = std::get_if<ReportError>(&Each)) {
        this->report(Problem->Kind);
      }
    }
    this->Actions.clear();
  }

  void sendPacket(Endpoint To, PacketBytes Packet) {
    const auto Sent = this->Parent.UpstreamSocket.send(To, Packet);
    if (!Sent) {
      this->report(Sent.error().Kind);
    }
  }

  void sendMessage(const SendMessage &Outgoing) {
    const auto Bytes = this->Messages.encode(Outgoing.Body, Outgoing.Packet);
    if (!Bytes) {
      this->report(Bytes.error().Kind);
      return;
    }
    const auto Sent = this->Parent.Socket.send(Outgoing.To, *Bytes);
    if (!Sent) {
      this->report(Sent.error().Kind);
      return;
    }
    if (!std::holds_alternative<Forward>(Outgoing.Body)) {
      this->Parent.Counters.MessageBytesSent += Bytes->size();
    }
  }

  void report(ErrorKind Kind) {
    ++this->Parent.Counters.Errors[static_cast<std::size_t>(Kind)];
  }

  AgentData &Parent;
  AgentLogic Logic;
  Codec Messages;
  PauseDetector Pauses;
  TimerService Timers;
  ActionList Actions;
  Arrival MessageArrival = Arrival::Fresh;
  std::shared_ptr<const Table> LastTable;
  std::shared_ptr<const VmList> LastVms;
};

AgentData::AgentData(AgentDataSettings Settings, DocumentSource Documents,
                     DatagramSocket Socket, DatagramSocket UpstreamSocket)
    : Settings(std::move(Settings)), Documents(std::move(Documents)),
      Socket(std::move(Socket)), UpstreamSocket(std::move(UpstreamSocket)),
      LatestView(std::make_shared<const AgentView>()) {}

Result<std::unique_ptr<AgentData>> AgentData::create(AgentDataSettings Settings,
                                                     DocumentSource Documents) {
  auto Socket = DatagramSocket::create(Settings.Listen);
  if (!Socket) {
    return tl::unexpected<Error>(std::move(Socket.error()));
  }
  auto UpstreamSocket = DatagramSocket::create(Settings.UpstreamListen);
  if (!UpstreamSocket) {
    return tl::unexpected<Error>(std::move(UpstreamSocket.error()));
  }
  return std::unique_ptr<AgentData>(
      new AgentData(std::move(Settings), std::move(Documents),
                    std::move(*Socket), std::move(*UpstreamSocket)));
}

Result<void> AgentData::run(const std::stop_token &Stop) {
  auto Logic = AgentLogic::create(this->Settings.Logic, drawSeed(), now());
  if (!Logic) {
    return tl::unexpected<Error>(std::move(Logic.error()));
  }
  RunState State(*this, std::move(*Logic));
  while (!Stop.stop_requested()) {
    State.run();
  }
  State.publish(now());
  return {};
}

std::string AgentData::explain(const FlowKey &Key) {
  auto Request = std::make_shared<ExplainRequest>();
  Request->Key = Key;
  auto Explanation = Request->Explanation.get_future();
  if (!this->ExplainRequests.push(std::move(Request)) ||
      Explanation.wait_for(ExplainTimeout) != std::future_status::ready) {
    return {};
  }
  return Explanation.get();
}

} // namespace mulberryhoist
