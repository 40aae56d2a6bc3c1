#include "mulberryhoist/agent-data.h"

#include <algorithm>
#include <random>

namespace mulberryhoist {
namespace {

using std::chrono::milliseconds;

/// Datagrams that are read from a socket before the other is looked at.
constexpr int DatagramsPerIteration = 64;

/// The resolution of the timeouts of openings. It is also the longest sleep,
/// since only one of the two sockets can be waited for.
constexpr Duration TickPeriod = milliseconds(1);

constexpr Duration ViewPeriod = milliseconds(500);

/// How long another thread waits for an explanation.
constexpr Duration AnswerTimeout = std::chrono::seconds(1);

/// Flows that a view names.
constexpr std::size_t MaxHolders = 100;

/// Actions that one event can cause without allocation.
constexpr std::size_t ActionReserve = 256;

Instant now() { return std::chrono::steady_clock::now(); }

std::uint64_t drawSeed() {
  std::random_device Device;
  return (std::uint64_t{Device()} << 32U) | Device();
}

} // namespace

/// The state of one run: fresh whenever the supervisor restarts the duty.
struct AgentData::Turn {
  Turn(AgentData &Parent, AgentLogic Logic)
      : Parent(Parent), Logic(std::move(Logic)) {
    this->Out.reserve(ActionReserve);
    const Instant Begin = now();
    this->Timers.subscribe(TickPeriod, Begin, [this](Instant Now) {
      this->Logic.onTick(Now, this->Out);
      this->perform();
      this->Parent.Drained = this->Logic.isDrained(Now);
    });
    this->Timers.subscribe(ViewPeriod, Begin,
                           [this](Instant Now) { this->publish(Now); });
  }

  /// One turn: requests, documents, waiting datagrams, timers.
  void run() {
    const Instant Now = now();
    this->checkPause(Now);
    if (this->Parent.Terminating) {
      this->Logic.onTerminate(Now);
    }
    this->takeDocuments(Now);
    this->answerQuestions(Now);
    const bool Empty = this->readMessages(Now);
    const bool UpstreamEmpty = this->readUpstream(Now);
    this->Timers.advance(Now);
    if (Empty && UpstreamEmpty) {
      this->Parent.Socket.wait(this->Timers.nextDue().value_or(Now) - now());
    }
  }

  void publish(Instant Now) {
    auto View = std::make_shared<AgentView>();
    View->InForce = this->SeenTable;
    View->Status = this->Logic.status(Now);
    View->Drain = this->Logic.drainProgress(MaxHolders, Now);
    this->Parent.Shown.store(std::move(View));
  }

private:
  void checkPause(Instant Now) {
    if (this->Pauses.observe(Now)) {
      this->Logic.onPause(Now);
      this->When = Arrival::BeforePause;
      ++this->Parent.Counters.Pauses;
    }
  }

  /// Takes over documents that changed; costs two pointer copies otherwise.
  void takeDocuments(Instant Now) {
    auto NewTable = this->Parent.Documents.GetTable();
    if (NewTable != this->SeenTable && NewTable != nullptr) {
      this->SeenTable = NewTable;
      this->Logic.onTable(std::move(NewTable), Now, this->Out);
      this->perform();
      this->publish(Now);
    }
    const auto Vms = this->Parent.Documents.GetVms();
    if (Vms != this->SeenVms && Vms != nullptr) {
      const Vm *Self = Vms->find(this->Parent.Settings.Name);
      this->Logic.onLeaving(Self != nullptr && Self->State == VmState::Leaving);
    }
    this->SeenVms = Vms;
  }

  void answerQuestions(Instant Now) {
    while (const auto Asked = this->Parent.Questions.pop()) {
      (*Asked)->Answer.set_value(this->Logic.explain((*Asked)->Key, Now));
    }
  }

  /// Reads what balancers and agents sent, up to a limit; true if nothing is
  /// left.
  bool readMessages(Instant Now) {
    for (int I = 0; I < DatagramsPerIteration; ++I) {
      const auto Received = this->Parent.Socket.receive();
      if (!Received) {
        this->When = Arrival::Fresh;
        return true;
      }
      this->takeMessage(*Received, Now);
    }
    return false;
  }

  void takeMessage(const ReceivedDatagram &Received, Instant Now) {
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
    this->Logic.onDatagram(Received.From, *Decoded, this->When, Now, this->Out);
    this->perform();
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
      this->Logic.onUpstreamPacket(Received->Bytes, Now, this->Out);
      this->perform();
    }
    return false;
  }

  /// Carries out and clears the actions of one event.
  void perform() {
    const Endpoint Upstream = this->Parent.Settings.Upstream;
    const Endpoint Egress = this->Parent.Settings.Egress;
    for (const Action &Each : this->Out) {
      if (const auto *Deliver = std::get_if<DeliverToUpstream>(&Each)) {
        this->sendPacket(Upstream, Deliver->Packet);
      } else if (const auto *Answer = std::get_if<SendToCaller>(&Each)) {
        this->sendPacket(Egress, Answer->Packet);
      } else if (const auto *Message = std::get_if<SendMessage>(&Each)) {
        this->sendMessage(*Message);
      } else if (const auto *Cancel = std::get_if<ResetUpstream>(&Each)) {
        this->sendPacket(Upstream, Cancel->Packet);
      } else if (const auto *Reset = std::get_if<ResetCaller>(&Each)) {
        this->sendPacket(Egress, Reset->Packet);
        this->report(Reset->Reason);
      } else if (const auto *Problem = std::get_if<ReportError>(&Each)) {
        this->report(Problem->Kind);
      }
    }
    this->Out.clear();
  }

  void sendPacket(Endpoint To, PacketBytes Packet) {
    const auto Sent = this->Parent.UpstreamSocket.send(To, Packet);
    if (!Sent) {
      this->report(Sent.error().Kind);
    }
  }

  void sendMessage(const SendMessage &Each) {
    const auto Bytes = this->Messages.encode(Each.Body, Each.Packet);
    if (!Bytes) {
      this->report(Bytes.error().Kind);
      return;
    }
    const auto Sent = this->Parent.Socket.send(Each.To, *Bytes);
    if (!Sent) {
      this->report(Sent.error().Kind);
      return;
    }
    if (!std::holds_alternative<Forward>(Each.Body)) {
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
  ActionList Out;
  Arrival When = Arrival::Fresh;
  std::shared_ptr<const Table> SeenTable;
  std::shared_ptr<const VmList> SeenVms;
};

AgentData::AgentData(AgentDataSettings Settings, DocumentSource Documents,
                     DatagramSocket Socket, DatagramSocket UpstreamSocket)
    : Settings(std::move(Settings)), Documents(std::move(Documents)),
      Socket(std::move(Socket)), UpstreamSocket(std::move(UpstreamSocket)),
      Shown(std::make_shared<const AgentView>()) {}

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
  Turn Each(*this, std::move(*Logic));
  while (!Stop.stop_requested()) {
    Each.run();
  }
  Each.publish(now());
  return {};
}

std::string AgentData::explain(const FlowKey &Key) {
  auto Asked = std::make_shared<Question>();
  Asked->Key = Key;
  auto Answer = Asked->Answer.get_future();
  if (!this->Questions.push(std::move(Asked)) ||
      Answer.wait_for(AnswerTimeout) != std::future_status::ready) {
    return {};
  }
  return Answer.get();
}

} // namespace mulberryhoist
