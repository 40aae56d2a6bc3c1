#include "standin/connection.h"

#include <algorithm>
#include <utility>

namespace mulberryhoist::standin {
namespace {

constexpr std::uint32_t ReceiveWindow = 65535;
constexpr unsigned FastRetransmitAfter = 3;

} // namespace

Connection::Connection(Endpoint Local, Endpoint Remote, std::uint32_t Initial,
                       ConnectionOptions Options)
    : Local(Local), Remote(Remote), Options(Options), Initial(Initial),
      Unacknowledged(Initial + 1), NextToSend(Initial + 1) {}

Connection Connection::connect(Endpoint Local, Endpoint Remote,
                               std::uint32_t Initial, ConnectionOptions Options,
                               Instant Now, SegmentList &Out) {
  Connection Value(Local, Remote, Initial, Options);
  Value.Progress = Now;
  Value.startTimer(Now, Options.HandshakeTimeout);
  Value.sendOpening(Out);
  return Value;
}

Connection Connection::accept(const Segment &Opening, std::uint32_t Initial,
                              ConnectionOptions Options, Instant Now,
                              SegmentList &Out) {
  Connection Value(Opening.Destination, Opening.Source, Initial, Options);
  Value.State = ConnectionState::SynReceived;
  Value.NextExpected = Opening.Sequence + 1;
  Value.Progress = Now;
  Value.startTimer(Now, Options.HandshakeTimeout);
  Value.sendOpening(Out);
  return Value;
}

Segment Connection::makeSegment(std::uint32_t Sequence) const {
  Segment Value;
  Value.Source = this->Local;
  Value.Destination = this->Remote;
  Value.Sequence = Sequence;
  Value.Ack = true;
  Value.Acknowledgment = this->NextExpected;
  return Value;
}

void Connection::sendOpening(SegmentList &Out) const {
  Segment Opening = this->makeSegment(this->Initial);
  Opening.Syn = true;
  if (this->State == ConnectionState::SynSent) {
    Opening.Ack = false;
    Opening.Acknowledgment = 0;
  }
  Out.push_back(std::move(Opening));
}

void Connection::sendAcknowledgment(SegmentList &Out) const {
  Out.push_back(this->makeSegment(this->NextToSend));
}

std::uint32_t Connection::sendDataAt(std::uint32_t Sequence, SegmentList &Out) {
  const std::size_t Offset = Sequence - this->Unacknowledged;
  Segment Value = this->makeSegment(Sequence);
  if (Offset < this->Queue.size()) {
    std::size_t Length =
        std::min(this->Options.SegmentBytes, this->Queue.size() - Offset);
    if (this->PushEnd && isBefore(Sequence, *this->PushEnd)) {
      const std::size_t ToPush = *this->PushEnd - Sequence;
      Length = std::min(Length, ToPush);
      Value.Psh = Length == ToPush;
    }
    Value.Payload = this->Queue.substr(Offset, Length);
  } else {
    Value.Fin = this->CloseRequested;
    this->FinishSent = this->FinishSent || Value.Fin;
  }
  const std::uint32_t Next = Value.next();
  Out.push_back(std::move(Value));
  return Next;
}

void Connection::sendNew(Instant Now, SegmentList &Out) {
  if (this->State != ConnectionState::Established) {
    return;
  }
  const std::size_t Window =
      this->Options.WindowSegments * this->Options.SegmentBytes;
  const bool WasIdle = this->NextToSend == this->Unacknowledged;
  while (true) {
    const std::size_t InFlight = this->NextToSend - this->Unacknowledged;
    const bool HasData = InFlight < this->Queue.size() && InFlight < Window;
    const bool HasFinish = this->CloseRequested && !this->FinishSent &&
                           InFlight == this->Queue.size();
    if (!HasData && !HasFinish) {
      break;
    }
    this->NextToSend = this->sendDataAt(this->NextToSend, Out);
  }
  if (WasIdle && this->NextToSend != this->Unacknowledged) {
    this->Progress = Now;
    this->startTimer(Now, this->Options.DataTimeout);
  }
}

void Connection::resendFirst(SegmentList &Out) {
  ++this->Retransmissions;
  if (!this->RecoverUntil) {
    this->RecoverUntil = this->NextToSend;
  }
  this->sendDataAt(this->Unacknowledged, Out);
}

void Connection::startTimer(Instant Now, Duration First) {
  this->Timeout = First;
  this->Due = Now + First;
}

void Connection::send(std::string_view Bytes, bool Push, Instant Now,
                      SegmentList &Out) {
  this->Queue.append(Bytes);
  if (Push) {
    this->PushEnd =
        this->Unacknowledged + static_cast<std::uint32_t>(this->Queue.size());
  }
  this->sendNew(Now, Out);
}

void Connection::close(Instant Now, SegmentList &Out) {
  this->CloseRequested = true;
  this->sendNew(Now, Out);
}

void Connection::abort(SegmentList &Out) {
  Segment Reset = this->makeSegment(this->NextToSend);
  Reset.Rst = true;
  Out.push_back(std::move(Reset));
  this->State = ConnectionState::Reset;
}

std::string Connection::takeReceived() {
  return std::exchange(this->Received, {});
}

void Connection::receiveReset(const Segment &Value) {
  if (this->State == ConnectionState::SynSent) {
    if (Value.Ack && Value.Acknowledgment == this->Initial + 1) {
      this->State = ConnectionState::Refused;
    }
    return;
  }
  const std::uint32_t Offset = Value.Sequence - this->NextExpected;
  if (Offset < ReceiveWindow) {
    this->State = this->State == ConnectionState::SynReceived
                      ? ConnectionState::Refused
                      : ConnectionState::Reset;
  }
}

void Connection::receiveSynAck(const Segment &Value, Instant Now,
                               SegmentList &Out) {
  if (Value.Acknowledgment != this->Initial + 1) {
    Out.push_back(resetFor(Value));
    return;
  }
  this->State = ConnectionState::Established;
  this->NextExpected = Value.Sequence + 1;
  this->Progress = Now;
  this->Due.reset();
  this->sendAcknowledgment(Out);
  this->sendNew(Now, Out);
}

void Connection::receive(const Segment &Value, Instant Now, SegmentList &Out) {
  if (this->isOver()) {
    // The last acknowledgment was lost: repeat it for a repeated FIN.
    if (this->State == ConnectionState::Finished && Value.Fin) {
      this->sendAcknowledgment(Out);
    }
    return;
  }
  if (Value.Rst) {
    this->receiveReset(Value);
    return;
  }
  if (this->State == ConnectionState::SynSent) {
    if (Value.Syn && Value.Ack) {
      this->receiveSynAck(Value, Now, Out);
    } else if (Value.Ack) {
      Out.push_back(resetFor(Value));
    }
    return;
  }
  if (Value.Syn) {
    if (this->State == ConnectionState::SynReceived) {
      this->sendOpening(Out);
    } else {
      this->sendAcknowledgment(Out);
    }
    return;
  }
  if (!Value.Ack) {
    return;
  }
  if (this->State == ConnectionState::SynReceived) {
    // Only the holder of the SYN-ACK may establish the connection.
    if (Value.Acknowledgment != this->Initial + 1) {
      Out.push_back(resetFor(Value));
      return;
    }
    this->State = ConnectionState::Established;
    this->Due.reset();
  }
  this->receiveAcknowledgment(Value, Now, Out);
  this->receivePayload(Value, Out);
  if (this->FinishAcknowledged && this->PeerFinished) {
    this->State = ConnectionState::Finished;
  }
}

void Connection::receiveAcknowledgment(const Segment &Value, Instant Now,
                                       SegmentList &Out) {
  const std::uint32_t Acknowledged = Value.Acknowledgment;
  if (isBefore(this->NextToSend, Acknowledged) ||
      isBefore(Acknowledged, this->Unacknowledged)) {
    return;
  }
  if (Acknowledged == this->Unacknowledged) {
    const bool Outstanding = this->NextToSend != this->Unacknowledged;
    if (Outstanding && Value.Payload.empty() && !Value.Fin &&
        ++this->DuplicateAcknowledgments == FastRetransmitAfter) {
      this->resendFirst(Out);
    }
    return;
  }
  const std::size_t Bytes = std::min<std::size_t>(
      Acknowledged - this->Unacknowledged, this->Queue.size());
  this->FinishAcknowledged =
      this->FinishSent && Acknowledged - this->Unacknowledged > Bytes;
  this->Queue.erase(0, Bytes);
  this->Unacknowledged = Acknowledged;
  this->DuplicateAcknowledgments = 0;
  this->Progress = Now;
  if (this->Unacknowledged == this->NextToSend) {
    this->Due.reset();
  } else {
    this->startTimer(Now, this->Options.DataTimeout);
  }
  if (this->RecoverUntil) {
    if (isBefore(this->Unacknowledged, *this->RecoverUntil)) {
      this->resendFirst(Out);
    } else {
      this->RecoverUntil.reset();
    }
  }
  this->sendNew(Now, Out);
}

void Connection::receivePayload(const Segment &Value, SegmentList &Out) {
  if (Value.Payload.empty() && !Value.Fin) {
    return;
  }
  const std::uint32_t Ahead = Value.Sequence - this->NextExpected;
  if (Ahead < ReceiveWindow) {
    this->OutOfOrder.try_emplace(Value.Sequence, Value.Payload);
    if (Value.Fin) {
      this->PeerFinishAt =
          Value.Sequence + static_cast<std::uint32_t>(Value.Payload.size());
    }
  }
  for (auto Found = this->OutOfOrder.find(this->NextExpected);
       Found != this->OutOfOrder.end();
       Found = this->OutOfOrder.find(this->NextExpected)) {
    this->Received += Found->second;
    this->NextExpected += static_cast<std::uint32_t>(Found->second.size());
    this->OutOfOrder.erase(Found);
  }
  if (!this->PeerFinished && this->PeerFinishAt == this->NextExpected) {
    this->PeerFinished = true;
    ++this->NextExpected;
  }
  std::erase_if(this->OutOfOrder, [this](const auto &Entry) {
    return isBefore(Entry.first, this->NextExpected);
  });
  this->sendAcknowledgment(Out);
}

void Connection::tick(Instant Now, SegmentList &Out) {
  if (this->isOver() || !this->Due || Now < *this->Due) {
    return;
  }
  if (Now - this->Progress >= this->Options.GiveUp) {
    this->State = ConnectionState::TimedOut;
    return;
  }
  this->Timeout = std::min(this->Timeout * 2, this->Options.MaxTimeout);
  this->Due = Now + this->Timeout;
  this->DuplicateAcknowledgments = 0;
  if (this->State == ConnectionState::Established) {
    this->resendFirst(Out);
  } else {
    ++this->Retransmissions;
    this->sendOpening(Out);
  }
}

} // namespace mulberryhoist::standin
