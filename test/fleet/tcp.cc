#include "fleet/tcp.h"

#include <algorithm>
#include <fmt/format.h>

#include "agent-harness.h"

namespace mulberryhoist::fleet {
namespace {

constexpr Duration FirstInterval = std::chrono::milliseconds(200);
constexpr Duration LastInterval = std::chrono::seconds(2);

/// A caller gives up an opening after this many repetitions.
constexpr unsigned MaxOpenings = 6;

/// How often an upstream repeats an answer, and a SYN-ACK or FIN.
constexpr unsigned MaxTries = 20;
constexpr unsigned MaxEndingTries = 8;

/// A caller gives up a flow that makes no progress for this time.
constexpr Duration CallerPatience = std::chrono::seconds(60);

constexpr std::size_t SegmentBytes = 4 * UnitBytes;

/// Unacknowledged bytes of an answer.
constexpr std::size_t WindowBytes = 16 * SegmentBytes;

std::string_view textOf(PacketBytes Payload) {
  return {reinterpret_cast<const char *>(Payload.data()), Payload.size()};
}

} // namespace

void RetransmissionTimer::start(Instant Now) {
  this->Running = true;
  this->Tries = 0;
  this->Interval = FirstInterval;
  this->Due = Now + this->Interval;
}

bool RetransmissionTimer::expire(Instant Now) {
  if (!this->Running || Now < this->Due) {
    return false;
  }
  ++this->Tries;
  this->Interval = std::min(this->Interval * 2, LastInterval);
  this->Due = Now + this->Interval;
  return true;
}

CallerTcp::CallerTcp(Oracle &Judge, std::size_t Flow, SendPacket Send,
                     Instant Now)
    : Judge(&Judge), Flow(Flow), Send(std::move(Send)), LastProgress(Now) {
  this->send("S", this->truth().Initial);
  this->Timer.start(Now);
}

void CallerTcp::onPacket(const PacketView &Packet, Instant Now) {
  const std::uint32_t First = this->truth().Initial + 1;
  if (this->Current == State::SynSent) {
    const bool Fits = Packet.Flags.Ack && Packet.Acknowledgment == First;
    if (Packet.Flags.Rst) {
      if (Fits) {
        this->Current = State::Refused;
        this->Judge->onRefused(this->Flow);
      }
      return;
    }
    if (!Fits) {
      if (Packet.Flags.Ack) {
        this->send("R", Packet.Acknowledgment);
      }
      return;
    }
    if (!Packet.Flags.Syn) {
      return;
    }
    this->Current = State::Established;
    this->UpstreamNext = Packet.Sequence + 1;
    this->Judge->onEstablished(this->Flow);
    this->Timer.stop();
    this->send("A", First);
    this->request(Now);
    return;
  }
  if (this->Current == State::Established ||
      this->Current == State::Finishing) {
    this->onSegment(Packet, Now);
    return;
  }
  if (Packet.Flags.Rst) {
    return;
  }
  if (this->Current == State::Done) {
    // The last acknowledgment may have been lost.
    this->send("A", First + static_cast<std::uint32_t>(this->Sent.size()) + 1);
    return;
  }
  if (Packet.Flags.Ack) {
    this->send("R", Packet.Acknowledgment);
  }
}

void CallerTcp::onTimer(Instant Now) {
  if (this->isOver()) {
    return;
  }
  if (this->Current == State::Established &&
      this->Requested < this->truth().Plan.Requests &&
      Now >= this->NextRequest) {
    this->request(Now);
  }
  if (Now - this->LastProgress > CallerPatience) {
    this->Current = State::GaveUp;
    return;
  }
  if (!this->Timer.expire(Now)) {
    return;
  }
  if (this->Current == State::SynSent) {
    if (this->Timer.tries() >= MaxOpenings) {
      this->Current = State::GaveUp;
      return;
    }
    this->send("S", this->truth().Initial);
    return;
  }
  this->sendUnacknowledged();
}

void CallerTcp::send(std::string_view Flags, std::uint32_t Sequence,
                     std::string_view Payload) {
  const FlowKey &Key = this->truth().Plan.Key;
  const bool Acknowledges = Flags.find('A') != std::string_view::npos;
  this->Send(buildPacket(
      Key.Caller, Key.Service,
      {Flags, Sequence, Acknowledges ? this->UpstreamNext : 0, Payload}));
}

void CallerTcp::sendUnacknowledged() {
  const std::uint32_t First = this->truth().Initial + 1;
  for (std::size_t At = this->Acknowledged; At < this->Sent.size();
       At += UnitBytes) {
    this->send("AP", First + static_cast<std::uint32_t>(At),
               std::string_view(this->Sent).substr(At, UnitBytes));
  }
  if (this->FinSent) {
    this->send("AF", First + static_cast<std::uint32_t>(this->Sent.size()));
  }
}

void CallerTcp::request(Instant Now) {
  const FlowPlan &Plan = this->truth().Plan;
  const RequestId Id = this->truth().FirstRequest + this->Requested;
  ++this->Requested;
  for (unsigned Part = 0; Part < Plan.Parts; ++Part) {
    this->Sent += requestUnit(Id, Part, Plan.Parts);
  }
  this->NextRequest = Instant::max();
  this->LastProgress = Now;
  this->Timer.start(Now);
  this->sendUnacknowledged();
}

void CallerTcp::onSegment(const PacketView &Packet, Instant Now) {
  if (Packet.Flags.Rst) {
    if (Packet.Sequence == this->UpstreamNext) {
      this->Current = State::Reset;
      this->Judge->onReset(this->Flow);
    }
    return;
  }
  const std::uint32_t First = this->truth().Initial + 1;
  const auto All =
      static_cast<std::uint32_t>(this->Sent.size()) + (this->FinSent ? 1U : 0U);
  if (Packet.Flags.Syn || !Packet.Flags.Ack ||
      Packet.Acknowledgment - First > All) {
    // A repeated SYN-ACK, or a segment of another incarnation.
    this->send("A", First + All);
    return;
  }
  const std::uint32_t Acknowledged = Packet.Acknowledgment - First;
  if (Acknowledged > this->Acknowledged) {
    this->Acknowledged = Acknowledged;
    this->LastProgress = Now;
    if (Acknowledged == All) {
      this->Timer.stop();
    } else {
      this->Timer.start(Now);
    }
  }
  this->onBytes(Packet, Now);
}

void CallerTcp::onBytes(const PacketView &Packet, Instant Now) {
  if (Packet.Payload.empty() && !Packet.Flags.Fin) {
    return;
  }
  const std::uint32_t First = this->truth().Initial + 1;
  if (Packet.Sequence == this->UpstreamNext) {
    this->LastProgress = Now;
    this->UpstreamNext = Packet.nextSequence();
    this->Judge->onAnswer(this->Flow, textOf(Packet.Payload));
    const std::size_t Expected =
        std::size_t{this->Requested} * this->truth().Plan.Units * UnitBytes;
    if (Packet.Flags.Fin) {
      this->Current = State::Done;
    } else if (this->truth().Complete) {
      this->Current = State::Finishing;
      this->FinSent = true;
      this->Timer.start(Now);
      this->sendUnacknowledged();
      return;
    } else if (this->truth().Received == Expected) {
      this->NextRequest = Now + this->truth().Plan.Pause;
    }
  }
  this->send("A", First + static_cast<std::uint32_t>(this->Sent.size()) +
                      (this->FinSent ? 1U : 0U));
}

UpstreamTcp::UpstreamTcp(Oracle &Judge, std::string Name, std::uint64_t Seed,
                         SendPacket Send)
    : Judge(&Judge), Name(std::move(Name)), Numbers(Seed),
      Send(std::move(Send)) {}

void UpstreamTcp::onPacket(const PacketView &Packet, Instant Now) {
  const FlowKey Key = Packet.callerFlow();
  if (Packet.isOpening()) {
    this->Judge->onUpstreamOpening(this->Name, Key, Packet.Sequence, Now);
    this->onOpening(Packet, Now);
    return;
  }
  if (!Packet.Payload.empty()) {
    this->Judge->onUpstreamPayload(this->Name, Key, textOf(Packet.Payload));
  }
  const auto Found = this->Connections.find(Key);
  if (Found == this->Connections.end()) {
    if (!Packet.Flags.Rst) {
      const ResetPacket Reset = makeResetFor(Packet);
      this->Send({Reset.begin(), Reset.end()});
    }
    return;
  }
  Connection &Of = Found->second;
  if (Packet.Flags.Rst) {
    if (Packet.Sequence == Of.CallerNext) {
      this->Connections.erase(Found);
    } else {
      this->send(Key, Of, "A",
                 Of.Unacknowledged + static_cast<std::uint32_t>(Of.SentBytes));
    }
    return;
  }
  if (!this->onAcknowledgment(Key, Of, Packet, Now)) {
    this->Connections.erase(Found);
    return;
  }
  if (Of.Established) {
    this->onPayload(Key, Of, Packet, Now);
  }
}

void UpstreamTcp::onTimer(Instant Now) {
  for (auto &[Key, Of] : this->Connections) {
    if (Of.UnitsLeft > 0 && Now >= Of.NextUnit &&
        Of.Pending.size() < WindowBytes) {
      const auto Units = std::min<unsigned>(Of.UnitsLeft, 4);
      const std::size_t From = Of.Pending.size();
      for (unsigned I = 0; I < Units; ++I) {
        Of.Pending += answerUnit(Of.Answering, Of.UnitsDone++);
        --Of.UnitsLeft;
      }
      Of.NextUnit = Now + Of.Pace;
      if (!Of.Timer.isRunning()) {
        Of.Timer.start(Now);
      }
      this->sendPending(Key, Of, From);
      Of.SentBytes = Of.Pending.size();
      this->runRequests(Of, Now);
    }
    if (Of.CallerFinished && !Of.FinSent && Of.UnitsLeft == 0) {
      Of.FinSent = true;
      Of.Timer.start(Now);
      this->sendPending(Key, Of, Of.SentBytes);
    }
    if (Of.Timer.expire(Now)) {
      if (!Of.Established) {
        this->send(Key, Of, "SA", Of.Initial);
      } else {
        this->sendPending(Key, Of, 0);
      }
    }
  }
  std::erase_if(this->Connections, [](const auto &Entry) {
    const Connection &Of = Entry.second;
    const bool IsEnding = Of.FinSent || !Of.Established;
    return Of.Timer.isRunning() &&
           Of.Timer.tries() > (IsEnding ? MaxEndingTries : MaxTries);
  });
}

void UpstreamTcp::send(const FlowKey &Key, const Connection &Of,
                       std::string_view Flags, std::uint32_t Sequence,
                       std::string_view Payload) {
  this->Send(buildPacket(Key.Service, Key.Caller,
                         {Flags, Sequence, Of.CallerNext, Payload}));
}

void UpstreamTcp::sendPending(const FlowKey &Key, const Connection &Of,
                              std::size_t From) {
  for (std::size_t At = From; At < Of.Pending.size(); At += SegmentBytes) {
    const bool IsLast = At + SegmentBytes >= Of.Pending.size();
    this->send(Key, Of, IsLast && Of.UnitsLeft == 0 ? "AP" : "A",
               Of.Unacknowledged + static_cast<std::uint32_t>(At),
               std::string_view(Of.Pending).substr(At, SegmentBytes));
  }
  if (Of.FinSent) {
    this->send(Key, Of, "AF",
               Of.Unacknowledged +
                   static_cast<std::uint32_t>(Of.Pending.size()));
  }
}

void UpstreamTcp::onOpening(const PacketView &Packet, Instant Now) {
  const FlowKey Key = Packet.callerFlow();
  const auto Found = this->Connections.find(Key);
  if (Found != this->Connections.end()) {
    Connection &Of = Found->second;
    const bool Repeats = !Of.Established && Of.CallerInitial == Packet.Sequence;
    if (Repeats) {
      this->send(Key, Of, "SA", Of.Initial);
    } else {
      this->send(Key, Of, "A",
                 Of.Unacknowledged + static_cast<std::uint32_t>(Of.SentBytes));
    }
    return;
  }
  Connection Of;
  Of.CallerInitial = Packet.Sequence;
  Of.CallerNext = Packet.Sequence + 1;
  Of.Initial = static_cast<std::uint32_t>(this->Numbers());
  Of.Unacknowledged = Of.Initial + 1;
  Of.Timer.start(Now);
  this->send(Key, Of, "SA", Of.Initial);
  this->Connections.emplace(Key, std::move(Of));
}

bool UpstreamTcp::onAcknowledgment(const FlowKey &Key, Connection &Of,
                                   const PacketView &Packet, Instant Now) {
  if (!Packet.Flags.Ack || Packet.Flags.Syn) {
    return true;
  }
  const std::uint32_t Added = Packet.Acknowledgment - Of.Unacknowledged;
  const auto All =
      static_cast<std::uint32_t>(Of.SentBytes) + (Of.FinSent ? 1U : 0U);
  if (sequenceBefore(Packet.Sequence, Of.CallerNext) &&
      Packet.Payload.empty()) {
    // Not acceptable (RFC 9293, 3.10.7.4).
    this->send(Key, Of, "A",
               Of.Unacknowledged + static_cast<std::uint32_t>(Of.SentBytes));
    if (!Of.Established) {
      return true;
    }
  }
  if (!Of.Established) {
    if (Added != 0) {
      const ResetPacket Reset = makeResetFor(Packet);
      this->Send({Reset.begin(), Reset.end()});
      return true;
    }
    Of.Established = true;
    Of.Timer.stop();
    return true;
  }
  if (Added == 0 || Added > All) {
    return true;
  }
  if (Of.FinSent && Added == All) {
    return false;
  }
  Of.Pending.erase(0, Added);
  Of.SentBytes -= Added;
  Of.Unacknowledged += Added;
  if (Added == All) {
    Of.Timer.stop();
  } else {
    Of.Timer.start(Now);
  }
  return true;
}

void UpstreamTcp::onPayload(const FlowKey &Key, Connection &Of,
                            const PacketView &Packet, Instant Now) {
  if (Packet.Payload.empty() && !Packet.Flags.Fin) {
    return;
  }
  // An acknowledgment of bytes that were never sent is of another incarnation.
  const std::uint32_t Beyond = Packet.Acknowledgment - Of.Unacknowledged;
  const bool IsOwn = Beyond <= Of.SentBytes + 1 || Beyond > (1U << 31U);
  if (IsOwn && Packet.Sequence == Of.CallerNext) {
    Of.CallerNext = Packet.nextSequence();
    Of.Request += textOf(Packet.Payload);
    Of.CallerFinished = Of.CallerFinished || Packet.Flags.Fin;
    this->runRequests(Of, Now);
  }
  this->send(Key, Of, "A",
             Of.Unacknowledged + static_cast<std::uint32_t>(Of.SentBytes));
}

void UpstreamTcp::runRequests(Connection &Of, Instant Now) {
  constexpr std::size_t PartAt = 10;
  constexpr std::size_t PartsAt = 13;
  while (Of.UnitsLeft == 0 && Of.Request.size() >= UnitBytes) {
    const std::string Unit = Of.Request.substr(0, UnitBytes);
    Of.Request.erase(0, UnitBytes);
    const int Part = std::stoi(Unit.substr(PartAt, 2));
    const int Parts = std::stoi(Unit.substr(PartsAt, 2));
    if (Part + 1 < Parts) {
      continue;
    }
    Of.Answering = static_cast<RequestId>(std::stoul(Unit.substr(1, 8)));
    this->Judge->onRun(this->Name, Of.Answering);
    const FlowPlan &Plan = this->Judge->planOf(Of.Answering);
    Of.UnitsLeft = Plan.Units;
    Of.Pace = Plan.Pace;
    Of.UnitsDone = 0;
    Of.NextUnit = Now + Of.Pace;
  }
}

} // namespace mulberryhoist::fleet
