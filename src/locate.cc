#include "mulberryhoist/locate.h"

#include <algorithm>

namespace mulberryhoist {
namespace {

/// Packets whose numbers are further apart may belong to different flows on the
/// same ports. If one flow is mistaken for two, its reset is merely delayed.
constexpr std::uint32_t SameFlowWindow = 1U << 20U;

bool isNear(std::uint32_t A, std::uint32_t B) {
  return A - B < SameFlowWindow || B - A < SameFlowWindow;
}

bool isSameFlow(SequenceNumbers A, SequenceNumbers B) {
  const bool OneHasNone = A.Acknowledgment == 0 || B.Acknowledgment == 0;
  return isNear(A.Sequence, B.Sequence) &&
         (OneHasNone || isNear(A.Acknowledgment, B.Acknowledgment));
}

} // namespace

void LocateSearch::beginRound(SequenceNumbers Numbers,
                              std::span<const UpstreamId> Members,
                              bool SelfMayOwn, bool Complete, Instant Now) {
  // The members denied the previous flow, not this one.
  if (!isSameFlow(this->Numbers, Numbers)) {
    this->FirstDeniedAt.reset();
  }
  this->Numbers = Numbers;
  this->Complete = Complete;
  this->Members.clear();
  this->Target.reset();
  if (SelfMayOwn) {
    this->Members.push_back({std::nullopt, ReplyState::Maybe});
  }
  for (const UpstreamId Id : Members) {
    this->Members.push_back({Id, ReplyState::Pending});
  }
  this->Phase = State::Querying;
  this->Deadline = Now + LocateTimeout;
  this->LastPacket = Now;
}

bool LocateSearch::buffer(PacketBytes Packet, Instant Now) {
  this->LastPacket = Now;
  if (this->Buffer.size() >= MaxBufferedPackets) {
    return false;
  }
  this->Buffer.emplace_back(Packet.begin(), Packet.end());
  return true;
}

void LocateSearch::recordReply(const LocateReply &Reply) {
  Member *Found = this->find(Reply.Upstream);
  if (Found == nullptr ||
      Reply.Acknowledgment != this->Numbers.Acknowledgment) {
    return;
  }
  switch (Reply.Answer) {
  case OwnerAnswer::Owns:
    this->Target = Reply.Upstream;
    this->Initial = Reply.Flow.Initial;
    this->Phase = State::Found;
    return;
  case OwnerAnswer::Maybe:
    if (this->Phase == State::Querying) {
      Found->Reply = ReplyState::Maybe;
    }
    return;
  case OwnerAnswer::No:
    Found->Reply = ReplyState::No;
    return;
  }
}

bool LocateSearch::recordNotOwner(std::optional<UpstreamId> By) {
  if (this->Phase != State::Adopting || this->Target != By) {
    return false;
  }
  if (Member *Found = this->find(By)) {
    Found->Reply = ReplyState::No;
  }
  // With the deadline passed, `step` continues with the next member.
  this->Phase = State::Querying;
  this->Deadline = Instant::min();
  return true;
}

LocateStep LocateSearch::step(Instant Now) {
  switch (this->Phase) {
  case State::Idle:
    return LocateStep::Wait;
  case State::Found:
    return LocateStep::Found;
  case State::Adopting:
    return Now >= this->Deadline ? LocateStep::Adopted : LocateStep::Wait;
  case State::Querying:
    break;
  }
  if (this->hasPendingReply() && Now < this->Deadline) {
    return LocateStep::Wait;
  }
  return this->finishRound(Now);
}

LocateSearch::Member *LocateSearch::find(std::optional<UpstreamId> Id) {
  const auto Found = std::find_if(
      this->Members.begin(), this->Members.end(),
      [&Id](const Member &Candidate) { return Candidate.Id == Id; });
  return Found == this->Members.end() ? nullptr : &*Found;
}

bool LocateSearch::hasPendingReply() const {
  return std::any_of(
      this->Members.begin(), this->Members.end(),
      [](const Member &Entry) { return Entry.Reply == ReplyState::Pending; });
}

LocateStep LocateSearch::finishRound(Instant Now) {
  for (const Member &Entry : this->Members) {
    if (Entry.Reply == ReplyState::Maybe) {
      this->Target = Entry.Id;
      this->Initial = 0;
      this->Phase = State::Adopting;
      this->Deadline = Now + AdoptTimeout;
      return Entry.Id ? LocateStep::AdoptOther : LocateStep::AdoptSelf;
    }
  }
  if (this->hasPendingReply() || !this->Complete) {
    return this->backOff(Now);
  }
  if (!this->FirstDeniedAt) {
    this->FirstDeniedAt = Now;
  }
  if (Now - *this->FirstDeniedAt >= this->GoneConfirmation) {
    return LocateStep::NotFound;
  }
  return this->backOff(Now);
}

LocateStep LocateSearch::backOff(Instant Now) {
  this->Phase = State::Idle;
  this->NextRound = Now + this->NextBackOff;
  this->NextBackOff = std::min(this->NextBackOff * 2, MaxLocateBackOff);
  return LocateStep::DropBuffered;
}

} // namespace mulberryhoist
