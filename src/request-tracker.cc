#include "mulberryhoist/request-tracker.h"

#include <algorithm>
#include <utility>

namespace mulberryhoist {

RequestTracker::CallerEvent
RequestTracker::onCallerPacket(const PacketView &Packet) {
  if (Packet.Flags.Rst) {
    this->Ended = true;
    return std::exchange(this->Open, false) ? CallerEvent::Aborts
                                            : CallerEvent::None;
  }
  const std::size_t Length = Packet.Payload.size();
  const std::uint32_t End =
      Packet.Sequence + static_cast<std::uint32_t>(Length);
  if (this->Ended || Length == 0 || !sequenceBefore(this->CallerNext, End)) {
    return CallerEvent::None;
  }
  this->CallerNext = End;
  this->LastLength = Length;
  this->LongestLength = std::max(this->LongestLength, Length);
  if (this->Open) {
    ++this->Segments;
    return CallerEvent::Continues;
  }
  this->Open = true;
  this->Segments = 1;
  return CallerEvent::Begins;
}

bool RequestTracker::onUpstreamPacket(const PacketView &Packet) {
  if (Packet.Flags.Syn) {
    this->UpstreamInitial = Packet.Sequence;
    this->UpstreamNext = Packet.nextSequence();
    return false;
  }
  const bool IsEnd = Packet.Flags.Fin || Packet.Flags.Rst;
  const bool HasNewData =
      !Packet.Payload.empty() &&
      (!this->UpstreamNext ||
       sequenceBefore(*this->UpstreamNext, Packet.nextSequence()));
  if (HasNewData) {
    this->UpstreamNext = Packet.nextSequence();
  }
  this->Ended = this->Ended || IsEnd;
  // Further segments of a response acknowledge nothing new.
  const bool BeginsResponse =
      HasNewData && sequenceBefore(this->AnsweredUpTo, Packet.Acknowledgment);
  if (!this->Open || (!BeginsResponse && !IsEnd)) {
    return false;
  }
  this->AnsweredUpTo = Packet.Acknowledgment;
  // Data that the upstream had not received when it responded belongs to a
  // later request.
  this->Open =
      !IsEnd && sequenceBefore(Packet.Acknowledgment, this->CallerNext);
  return true;
}

bool RequestTracker::hasSent(std::uint32_t Acknowledgment) const {
  return this->UpstreamInitial && this->UpstreamNext &&
         sequenceBefore(*this->UpstreamInitial, Acknowledgment) &&
         !sequenceBefore(*this->UpstreamNext, Acknowledgment);
}

} // namespace mulberryhoist
