#include "mulberryhoist/admission.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace mulberryhoist {

Admission::Admission(Instant Started)
    : Started(Started), ChargedUntil(Started) {}

void Admission::setLimits(const AdmissionLimits &Limits, Instant Now) {
  this->charge(Now);
  this->Limits = Limits;
  for (Queue &Entry : this->Queues) {
    Entry.Listed = false;
    Entry.Share.Share = 1;
  }
  for (const ServiceShare &Share : Limits.Services) {
    Queue &Entry = this->findOrAdd(Share.Service);
    Entry.Share = Share;
    Entry.Share.Share = std::max(Share.Share, 1U);
    Entry.Listed = true;
  }
  std::erase_if(this->Queues, [](const Queue &Entry) {
    return !Entry.Listed && !Entry.isActive() && Entry.Connections == 0;
  });
}

AdmissionResult Admission::offer(const FlowKey &Key, ServiceId Service,
                                 Instant Now,
                                 std::vector<WaitingOpening> &Shed) {
  this->charge(Now);
  Queue *Entry = this->find(Service);
  if (Entry == nullptr || !Entry->Listed || !this->mayConnect(*Entry)) {
    return AdmissionResult::Declined;
  }
  this->activate(*Entry);
  if (this->Busy < this->Limits.Slots && this->Waiting == 0) {
    this->start(*Entry);
    return AdmissionResult::Started;
  }
  if (this->Waiting >= this->queueCapacity()) {
    Queue *Victim = this->chooseQueueToShed(*Entry);
    if (Victim == nullptr) {
      return AdmissionResult::Declined;
    }
    // Evict the newest opening: the older ones have waited longer.
    Shed.push_back(Victim->Openings.back());
    Victim->Openings.pop_back();
    --this->Waiting;
  }
  Entry->Openings.push_back(
      {Key, Service, Now + waitDeadline(Entry->Share.Class)});
  ++this->Waiting;
  return AdmissionResult::Queued;
}

std::optional<WaitingOpening> Admission::startNext(Instant Now) {
  if (this->Waiting == 0 || this->Busy >= this->Limits.Slots) {
    return std::nullopt;
  }
  this->charge(Now);
  Queue *Best = nullptr;
  for (Queue &Entry : this->Queues) {
    if (Entry.Openings.empty()) {
      continue;
    }
    if (Best == nullptr || Entry.UsedPerShare < Best->UsedPerShare ||
        (Entry.UsedPerShare == Best->UsedPerShare &&
         Entry.Share.Class < Best->Share.Class)) {
      Best = &Entry;
    }
  }
  if (Best == nullptr) {
    return std::nullopt;
  }
  const WaitingOpening Next = Best->Openings.front();
  Best->Openings.pop_front();
  --this->Waiting;
  this->start(*Best);
  return Next;
}

void Admission::expire(Instant Now, std::vector<WaitingOpening> &Out) {
  if (this->Waiting == 0) {
    return;
  }
  for (Queue &Entry : this->Queues) {
    const auto First =
        std::stable_partition(Entry.Openings.begin(), Entry.Openings.end(),
                              [Now](const WaitingOpening &Opening) {
                                return Opening.Deadline > Now;
                              });
    Out.insert(Out.end(), First, Entry.Openings.end());
    this->Waiting -= static_cast<std::uint32_t>(Entry.Openings.end() - First);
    Entry.Openings.erase(First, Entry.Openings.end());
  }
}

bool Admission::cancel(const FlowKey &Key, ServiceId Service) {
  Queue *Entry = this->find(Service);
  if (Entry == nullptr) {
    return false;
  }
  const auto Removed =
      std::erase_if(Entry->Openings, [&Key](const WaitingOpening &Opening) {
        return Opening.Key == Key;
      });
  this->Waiting -= static_cast<std::uint32_t>(Removed);
  return Removed > 0;
}

void Admission::beginWork(ServiceId Service, Instant Now) {
  this->charge(Now);
  Queue &Entry = this->findOrAdd(Service);
  this->activate(Entry);
  this->start(Entry);
}

void Admission::endWork(ServiceId Service, Instant Now) {
  this->charge(Now);
  Queue *Entry = this->find(Service);
  if (Entry == nullptr || Entry->Busy == 0) {
    return;
  }
  --Entry->Busy;
  --this->Busy;
}

void Admission::addConnection(ServiceId Service) {
  ++this->findOrAdd(Service).Connections;
  ++this->Connections;
}

void Admission::removeConnection(ServiceId Service) {
  Queue *Entry = this->find(Service);
  if (Entry != nullptr && Entry->Connections > 0) {
    --Entry->Connections;
    --this->Connections;
  }
}

bool Admission::hasRoom(ServiceId Service) const {
  const Queue *Entry = this->find(Service);
  if (Entry == nullptr || !Entry->Listed || !this->mayConnect(*Entry)) {
    return false;
  }
  return this->Waiting < this->queueCapacity() ||
         static_cast<double>(Entry->Openings.size()) + 1.0 <=
             this->fairShare(*Entry, this->queueCapacity());
}

std::uint32_t Admission::load(std::uint32_t Weight, Instant Now) const {
  constexpr double Thousandths = 1000.0;
  const std::chrono::duration<double> Age = Now - this->Started;
  const std::chrono::duration<double> Period = ColdStartPeriod;
  const double Remaining = std::clamp(1.0 - Age / Period, 0.0, 1.0);
  const double Factor = 1.0 + (ColdStartFactor - 1.0) * Remaining;
  const double Load =
      this->active() * Thousandths * Factor / std::max(Weight, 1U);
  const double Max = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::min(std::round(Load), Max));
}

Admission::Queue *Admission::find(ServiceId Service) {
  for (Queue &Entry : this->Queues) {
    if (Entry.Share.Service == Service) {
      return &Entry;
    }
  }
  return nullptr;
}

const Admission::Queue *Admission::find(ServiceId Service) const {
  for (const Queue &Entry : this->Queues) {
    if (Entry.Share.Service == Service) {
      return &Entry;
    }
  }
  return nullptr;
}

Admission::Queue &Admission::findOrAdd(ServiceId Service) {
  if (Queue *Entry = this->find(Service)) {
    return *Entry;
  }
  Queue &Added = this->Queues.emplace_back();
  Added.Share.Service = Service;
  Added.Share.Class = ClassCount - 1;
  Added.Listed = false;
  return Added;
}

std::uint32_t Admission::queueCapacity() const {
  return this->Limits.Slots * QueuePerSlot;
}

double Admission::fairShare(const Queue &Entry, std::uint32_t Total) const {
  double Sum = 0;
  for (const Queue &Other : this->Queues) {
    Sum += Other.Listed ? Other.Share.Share : 0U;
  }
  return Sum > 0 ? Total * (Entry.Share.Share / Sum) : 0;
}

bool Admission::mayConnect(const Queue &Entry) const {
  const std::uint32_t Limit = this->Limits.Connections;
  if (this->Connections >= Limit) {
    return false;
  }
  return this->Connections < Limit * CommonConnectionFraction ||
         Entry.Connections < this->fairShare(Entry, Limit);
}

Admission::Queue *Admission::chooseQueueToShed(const Queue &Newcomer) {
  // Count the new opening as waiting, so that a service that exceeds its share
  // itself does not evict openings of another one.
  const auto Excess = [this, &Newcomer](const Queue &Entry) {
    const double Own = &Entry == &Newcomer ? 1.0 : 0.0;
    return static_cast<double>(Entry.Openings.size()) + Own -
           this->fairShare(Entry, this->queueCapacity());
  };
  Queue *Worst = nullptr;
  for (Queue &Entry : this->Queues) {
    if (Excess(Entry) <= 0) {
      continue;
    }
    if (Worst == nullptr || Entry.Share.Class > Worst->Share.Class ||
        (Entry.Share.Class == Worst->Share.Class &&
         Excess(Entry) > Excess(*Worst))) {
      Worst = &Entry;
    }
  }
  const bool Usable =
      Worst != nullptr && Worst != &Newcomer && !Worst->Openings.empty();
  return Usable ? Worst : nullptr;
}

void Admission::charge(Instant Now) {
  if (Now <= this->ChargedUntil) {
    return;
  }
  const std::chrono::duration<double, std::nano> Passed =
      Now - this->ChargedUntil;
  this->ChargedUntil = Now;
  for (Queue &Entry : this->Queues) {
    Entry.UsedPerShare += Entry.Busy * Passed.count() / Entry.Share.Share;
  }
}

void Admission::activate(Queue &Entry) {
  if (Entry.isActive()) {
    return;
  }
  // A service that was idle starts level with the least served active one, so
  // that it does not accumulate credit while idle.
  std::optional<double> Least;
  for (const Queue &Other : this->Queues) {
    if (Other.isActive() && (!Least || Other.UsedPerShare < *Least)) {
      Least = Other.UsedPerShare;
    }
  }
  Entry.UsedPerShare =
      std::max(Entry.UsedPerShare, Least.value_or(this->VirtualTime));
}

void Admission::start(Queue &Entry) {
  this->VirtualTime = std::max(this->VirtualTime, Entry.UsedPerShare);
  ++Entry.Busy;
  ++this->Busy;
}

void RetryBudget::earn() {
  this->Tenths = std::min(this->Tenths + 1, MaxTenths);
}

bool RetryBudget::take(std::uint32_t Count) {
  const std::uint32_t Cost = Count * TenthsPerRetry;
  if (this->Tenths < Cost) {
    return false;
  }
  this->Tenths -= Cost;
  return true;
}

} // namespace mulberryhoist
