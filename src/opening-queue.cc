#include "mulberryhoist/opening-queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace mulberryhoist {
namespace {

/// Returns how long a request waits inside the upstream behind the load.
Duration upstreamWait(const UpstreamLoad &Load) {
  return Load.ServiceTime.expectedTime(Load.Requests, Load.Slots) -
         Load.ServiceTime.mean();
}

Duration multiply(Duration Each, double Factor) {
  return std::chrono::duration_cast<Duration>(Each * Factor);
}

} // namespace

Duration holdLimit(const Steer &Header, const UpstreamLoad &Load) {
  if (Header.Timeout.count() == 0) {
    return Header.Goal;
  }
  return std::min<Duration>(Header.Timeout - Load.ServiceTime.mean(),
                            OpeningLifetime) -
         HeldMargin;
}

OpeningQueue::Candidate
OpeningQueue::candidate(const Steer &Header, Instant StartedAt,
                        double WorkFactor, std::size_t Index,
                        const UpstreamLoad &Load, Instant Now) {
  Candidate Each;
  Each.Index = Index;
  Each.Class = admissionClass(Header);
  Each.SlotTime = multiply(Load.ServiceTime.mean(), WorkFactor);
  Each.StartedAt = StartedAt;
  Each.HasGoal = Header.Goal.count() != 0;
  Each.ToGoal = Header.Goal - NetworkTime - (Now - StartedAt);
  Each.ToLimit = holdLimit(Header, Load) - (Now - StartedAt);
  Each.Density =
      std::pow(ClassWorthRatio, static_cast<double>(Each.Class)) / WorkFactor;
  return Each;
}

std::vector<OpeningQueue::Candidate>
OpeningQueue::candidates(const UpstreamLoad &Load, Instant Now) const {
  std::vector<Candidate> All;
  All.reserve(this->Openings.size() + 1);
  for (std::size_t I = 0; I < this->Openings.size(); ++I) {
    const HeldOpening &Each = this->Openings[I];
    All.push_back(
        candidate(Each.Header, Each.StartedAt, Each.WorkFactor, I, Load, Now));
  }
  return All;
}

OpeningQueue::Plan OpeningQueue::plan(std::vector<Candidate> All,
                                      const UpstreamLoad &Load) {
  // The latest start of the request, with a reserve for its own time.
  const auto LatestStart = [](const Candidate &Each) {
    return Each.HasGoal
               ? multiply(Each.ToGoal, 1 / GoalSafetyFactor) - Each.SlotTime
               : Duration::max();
  };
  std::ranges::sort(All, {}, [&](const Candidate &Each) {
    return std::tuple(LatestStart(Each), Each.Class, Each.Index);
  });
  const Duration Begin = upstreamWait(Load);
  Plan Result;
  // Time in which all slots serve the planned openings.
  Duration Planned{};
  for (const Candidate &Each : All) {
    Result.Prompt.push_back(Each);
    Planned += Each.SlotTime / Load.Slots;
    while (!Result.Prompt.empty() &&
           Begin + Planned - Result.Prompt.back().SlotTime / Load.Slots >
               LatestStart(Result.Prompt.back())) {
      // Among equals the oldest is left out, whose objective is most at risk.
      const auto Least = std::ranges::min_element(
          Result.Prompt, {}, [](const Candidate &Planned) {
            return std::tuple(Planned.Density,
                              Planned.StartedAt.time_since_epoch(),
                              Planned.Index);
          });
      Planned -= Least->SlotTime / Load.Slots;
      Result.Late.push_back(*Least);
      Result.Prompt.erase(Least);
    }
  }
  std::ranges::sort(Result.Late, {}, [](const Candidate &Each) {
    return std::tuple(-Each.Density, Each.StartedAt, Each.Index);
  });
  return Result;
}

Duration OpeningQueue::totalSlotTime(std::span<const Candidate> Openings) {
  Duration Total{};
  for (const Candidate &Each : Openings) {
    Total += Each.SlotTime;
  }
  return Total;
}

bool OpeningQueue::canMeetDeadline(const Candidate &Each, Duration Ahead,
                                   const UpstreamLoad &Load) const {
  const Duration Expected =
      (Load.ServiceTime.mean() * Load.Requests + Ahead + Each.SlotTime) /
      Load.Slots * LateWaitFactor;
  if (Expected <= Each.ToLimit) {
    return true;
  }
  // The first opening of a class gets the share of the slots that the class
  // has.
  for (std::size_t I = 0; I < this->Openings.size(); ++I) {
    if (I != Each.Index &&
        admissionClass(this->Openings[I].Header) == Each.Class) {
      return false;
    }
  }
  const Duration LongestWait =
      upstreamWait(Load) +
      Load.ServiceTime.mean() * (MaxPassedOver + AdmissionClasses) / Load.Slots;
  return LongestWait <= Each.ToLimit;
}

OpeningQueue::Placement OpeningQueue::place(const Steer &Header,
                                            Duration Waited,
                                            const UpstreamLoad &Load,
                                            Instant Now,
                                            double WorkFactor) const {
  std::vector<Candidate> All = this->candidates(Load, Now);
  const std::size_t NewIndex = All.size();
  All.push_back(
      candidate(Header, Now - Waited, WorkFactor, NewIndex, Load, Now));
  const Candidate New = All.back();
  const Plan Planned = plan(std::move(All), Load);
  const auto IsNew = [&](const Candidate &Each) {
    return Each.Index == NewIndex;
  };
  const bool IsPrompt = std::ranges::any_of(Planned.Prompt, IsNew);
  const bool HasTime = New.ToLimit > Duration::zero();
  if (IsPrompt &&
      (!HasTime || (IsNew(Planned.Prompt.front()) && Load.hasRoom()))) {
    return Placement::Take;
  }
  if (!HasTime || this->Openings.size() >= MaxHeldOpenings) {
    return Placement::Refuse;
  }
  if (IsPrompt) {
    return Placement::Hold;
  }
  Duration Ahead = totalSlotTime(Planned.Prompt);
  for (const Candidate &Each : Planned.Late) {
    if (IsNew(Each)) {
      break;
    }
    Ahead += Each.SlotTime;
  }
  return this->canMeetDeadline(New, Ahead, Load) ? Placement::Hold
                                                 : Placement::Refuse;
}

std::optional<HeldOpening> OpeningQueue::takeNext(const UpstreamLoad &Load,
                                                  Instant Now) {
  if (this->Openings.empty() || !Load.hasRoom()) {
    return std::nullopt;
  }
  const Plan Planned = plan(this->candidates(Load, Now), Load);
  std::array<const Candidate *, AdmissionClasses> FirstOfClass = {};
  const auto AddFirst = [&](const Candidate &Each) {
    if (FirstOfClass.at(Each.Class) == nullptr) {
      FirstOfClass.at(Each.Class) = &Each;
    }
  };
  std::ranges::for_each(Planned.Prompt, AddFirst);
  std::ranges::for_each(Planned.Late, AddFirst);

  const Candidate *Next = nullptr;
  if (!Planned.Prompt.empty()) {
    Next = &Planned.Prompt.front();
  } else if (Load.hasFreeSlot()) {
    Next = &Planned.Late.front();
  } else {
    return std::nullopt;
  }
  std::uint32_t MostPassedOver = MaxPassedOver - 1;
  for (std::size_t Class = 0; Class < AdmissionClasses; ++Class) {
    if (FirstOfClass.at(Class) != nullptr &&
        this->PassedOver.at(Class) > MostPassedOver) {
      MostPassedOver = this->PassedOver.at(Class);
      Next = FirstOfClass.at(Class);
    }
  }
  for (std::size_t Class = 0; Class < AdmissionClasses; ++Class) {
    const bool Waits =
        FirstOfClass.at(Class) != nullptr && Class != Next->Class;
    this->PassedOver.at(Class) = Waits ? this->PassedOver.at(Class) + 1 : 0;
  }
  return this->remove(Next->Index);
}

std::optional<HeldOpening> OpeningQueue::takeExpired(Instant Now) {
  for (std::size_t I = 0; I < this->Openings.size(); ++I) {
    if (Now >= this->Openings[I].ExpiresAt) {
      return this->remove(I);
    }
  }
  return std::nullopt;
}

std::optional<HeldOpening>
OpeningQueue::takeUnservable(const UpstreamLoad &Load, Instant Now) {
  if (this->Openings.empty()) {
    return std::nullopt;
  }
  const Plan Planned = plan(this->candidates(Load, Now), Load);
  Duration Ahead = totalSlotTime(Planned.Prompt);
  for (const Candidate &Each : Planned.Late) {
    if (!this->canMeetDeadline(Each, Ahead, Load)) {
      return this->remove(Each.Index);
    }
    Ahead += Each.SlotTime;
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
