#include "mulberryhoist/opening-queue.h"

#include <algorithm>
#include <utility>

namespace mulberryhoist {
namespace {

bool isPrompt(const HeldOpening &Each, const UpstreamLoad &Load, Instant Now) {
  return canReachGoal(Each.Header, Now - Each.StartedAt, Load);
}

/// Returns whether a late opening behind `OpeningsAhead` others is expected to
/// be answered before its caller gives up.
bool canAnswerBeforeTimeout(const Steer &Header, Duration Waited,
                            std::uint32_t OpeningsAhead,
                            const UpstreamLoad &Load) {
  const auto RequestsPerSlot =
      static_cast<double>(Load.Requests + OpeningsAhead + 1) / Load.Slots;
  const Duration Expected = std::chrono::duration_cast<Duration>(
      Load.ServiceTime.mean() * RequestsPerSlot * LateWaitFactor);
  return Waited + Expected + Load.ServiceTime.mean() + HeldMargin <=
         Header.Timeout;
}

} // namespace

bool canReachGoal(const Steer &Header, Duration Waited,
                  const UpstreamLoad &Load) {
  if (Header.Goal.count() == 0) {
    return true;
  }
  const Duration Expected = std::chrono::duration_cast<Duration>(
      Load.ServiceTime.expectedTime(Load.Requests, Load.Slots) *
      GoalSafetyFactor);
  return Waited + NetworkTime + Expected <= Header.Goal;
}

Duration holdLimit(const Steer &Header, const UpstreamLoad &Load) {
  if (Header.Timeout.count() == 0) {
    return Header.Goal;
  }
  return Header.Timeout - Load.ServiceTime.mean() - HeldMargin;
}

std::uint32_t OpeningQueue::countPrompt(std::uint32_t Class,
                                        const UpstreamLoad &Load,
                                        Instant Now) const {
  return static_cast<std::uint32_t>(
      std::ranges::count_if(this->Openings, [&](const HeldOpening &Each) {
        return Each.Header.Class <= Class && isPrompt(Each, Load, Now);
      }));
}

OpeningQueue::Placement OpeningQueue::place(const Steer &Header,
                                            Duration Waited,
                                            const UpstreamLoad &Load,
                                            Instant Now) const {
  const std::uint32_t Prompt = this->countPrompt(Header.Class, Load, Now);
  UpstreamLoad Ahead = Load;
  Ahead.Requests += Prompt;
  const bool IsPrompt = canReachGoal(Header, Waited, Ahead);
  const bool HasTime = Waited < holdLimit(Header, Load);
  if (IsPrompt && (!HasTime || (Prompt == 0 && Load.hasRoom()))) {
    return Placement::Take;
  }
  const bool MayHold =
      HasTime && this->Openings.size() < MaxHeldOpenings &&
      (IsPrompt || canAnswerBeforeTimeout(Header, Waited, this->size(), Load));
  return MayHold ? Placement::Hold : Placement::Refuse;
}

std::optional<std::size_t> OpeningQueue::choosePrompt(const UpstreamLoad &Load,
                                                      Instant Now) {
  // Urgent is the newest of the most urgent class, LessUrgent one of a less
  // urgent class.
  std::optional<std::size_t> Urgent;
  std::optional<std::size_t> LessUrgent;
  for (std::size_t I = this->Openings.size(); I > 0; --I) {
    const HeldOpening &Each = this->Openings[I - 1];
    if (!isPrompt(Each, Load, Now)) {
      continue;
    }
    if (!Urgent || Each.Header.Class < this->Openings[*Urgent].Header.Class) {
      LessUrgent = Urgent;
      Urgent = I - 1;
    } else if (!LessUrgent &&
               Each.Header.Class > this->Openings[*Urgent].Header.Class) {
      LessUrgent = I - 1;
    }
  }
  if (!LessUrgent) {
    this->ConsecutiveUrgent = 0;
    return Urgent;
  }
  if (this->ConsecutiveUrgent == MaxConsecutiveUrgent) {
    this->ConsecutiveUrgent = 0;
    return LessUrgent;
  }
  ++this->ConsecutiveUrgent;
  return Urgent;
}

std::optional<HeldOpening> OpeningQueue::takeNext(const UpstreamLoad &Load,
                                                  Instant Now) {
  if (!Load.hasRoom()) {
    return std::nullopt;
  }
  if (const auto Prompt = this->choosePrompt(Load, Now)) {
    return this->remove(*Prompt);
  }
  if (this->Openings.empty() || !Load.hasFreeSlot()) {
    return std::nullopt;
  }
  const auto Best =
      std::ranges::min_element(this->Openings, {}, [](const HeldOpening &Each) {
        return std::pair(Each.Header.Class, Each.StartedAt);
      });
  return this->remove(static_cast<std::size_t>(Best - this->Openings.begin()));
}

std::optional<HeldOpening> OpeningQueue::takeExpired(Instant Now) {
  for (std::size_t I = 0; I < this->Openings.size(); ++I) {
    if (Now >= this->Openings[I].ExpiresAt) {
      return this->remove(I);
    }
  }
  return std::nullopt;
}

bool OpeningQueue::contains(const FlowIncarnation &Flow) const {
  return std::ranges::find(this->Openings, Flow, &HeldOpening::Flow) !=
         this->Openings.end();
}

HeldOpening OpeningQueue::remove(std::size_t Index) {
  HeldOpening Removed = std::move(this->Openings[Index]);
  this->Openings.erase(this->Openings.begin() +
                       static_cast<std::ptrdiff_t>(Index));
  return Removed;
}

} // namespace mulberryhoist
