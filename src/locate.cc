#include "mulberryhoist/locate.h"

#include <algorithm>

namespace mulberryhoist {
namespace {

/// Packets whose numbers are further apart may belong to different flows that
/// used the same ports. A flow taken for two is only reset later.
constexpr std::uint32_t SameFlowWindow = 1U << 20U;

bool isNear(std::uint32_t A, std::uint32_t B) {
  return A - B < SameFlowWindow || B - A < SameFlowWindow;
}

bool isSameFlow(PacketNumbers A, PacketNumbers B) {
  const bool OneHasNone = A.Acknowledgment == 0 || B.Acknowledgment == 0;
  return isNear(A.Sequence, B.Sequence) &&
         (OneHasNone || isNear(A.Acknowledgment, B.Acknowledgment));
}

} // namespace

void LocateSearch::beginRound(PacketNumbers Numbers,
                              std::span<const UpstreamId> Members,
                              bool SelfMaybe, bool Complete, Instant Now) {
  // Members denied the earlier flow, not this one.
  if (!isSameFlow(this->Numbers, Numbers)) {
    this->FirstDenied.reset();
  }
  this->Numbers = Numbers;
  this->Complete = Complete;
  this->Members.clear();
  this->Target.reset();
  if (SelfMaybe) {
    this->Members.push_back({std::nullopt, Answer::Maybe});
  }
  for (const UpstreamId Id : Members) {
    this->Members.push_back({Id, Answer::Silent});
  }
  this->Phase = State::Asking;
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
    if (this->Phase == State::Asking) {
      Found->Given = Answer::Maybe;
    }
    return;
  case OwnerAnswer::No:
    Found->Given = Answer::No;
    return;
  }
}

bool LocateSearch::recordNotOwner(std::optional<UpstreamId> By) {
  if (this->Phase != State::Adopting || this->Target != By) {
    return false;
  }
  if (Member *Found = this->find(By)) {
    Found->Given = Answer::No;
  }
  // The deadline is over: `step` goes on to the next member.
  this->Phase = State::Asking;
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
    return Now >= this->Deadline ? LocateStep::Settled : LocateStep::Wait;
  case State::Asking:
    break;
  }
  if (this->hasSilent() && Now < this->Deadline) {
    return LocateStep::Wait;
  }
  return this->tryNext(Now);
}

LocateSearch::Member *LocateSearch::find(std::optional<UpstreamId> Id) {
  const auto Found = std::find_if(
      this->Members.begin(), this->Members.end(),
      [&Id](const Member &Candidate) { return Candidate.Id == Id; });
  return Found == this->Members.end() ? nullptr : &*Found;
}

bool LocateSearch::hasSilent() const {
  return std::any_of(
      this->Members.begin(), this->Members.end(),
      [](const Member &Entry) { return Entry.Given == Answer::Silent; });
}

LocateStep LocateSearch::tryNext(Instant Now) {
  for (const Member &Entry : this->Members) {
    if (Entry.Given == Answer::Maybe) {
      this->Target = Entry.Id;
      this->Initial = 0;
      this->Phase = State::Adopting;
      this->Deadline = Now + AdoptTimeout;
      return Entry.Id ? LocateStep::AdoptOther : LocateStep::AdoptSelf;
    }
  }
  if (this->hasSilent() || !this->Complete) {
    return this->backOff(Now);
  }
  if (!this->FirstDenied) {
    this->FirstDenied = Now;
  }
  if (Now - *this->FirstDenied >= this->GoneConfirmation) {
    return LocateStep::Gone;
  }
  return this->backOff(Now);
}

LocateStep LocateSearch::backOff(Instant Now) {
  this->Phase = State::Idle;
  this->NextRound = Now + this->NextBackOff;
  this->NextBackOff = std::min(this->NextBackOff * 2, LastLocateBackOff);
  return LocateStep::GiveUp;
}

} // namespace mulberryhoist
