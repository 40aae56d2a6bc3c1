#include "mulberryhoist/link-budget.h"

#include <algorithm>
#include <cmath>

namespace mulberryhoist {
namespace {

double seconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

Duration fromSeconds(double Value) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Value));
}

/// The weight of the latest request in the mean size of a route's requests.
constexpr double SizeWeight = 1.0 / 8;

constexpr Duration SweepPeriod = std::chrono::milliseconds(500);

} // namespace

void ByteRate::add(std::uint64_t Bytes, Instant Now) {
  this->Level =
      this->perSecond(Now) + static_cast<double>(Bytes) / seconds(RateSpan);
  this->UpdatedAt = Now;
}

double ByteRate::perSecond(Instant Now) const {
  return this->Level *
         std::exp(-seconds(Now - this->UpdatedAt) / seconds(RateSpan));
}

LinkBudget::LinkBudget(std::uint64_t BytesPerSecond)
    : Rate(static_cast<double>(BytesPerSecond)) {}

double LinkBudget::remainingBytes(const Request &Each,
                                  const RouteUse &Use) const {
  // A request beyond the mean is still sending: the next window is certain.
  const double Expected = Use.MeanBytes - Each.Progress;
  const bool IsBeyondMean = Each.Progress > 0 && Expected <= 0;
  return LinkOverhead *
         (IsBeyondMean ? static_cast<double>(FlowWindow) : Expected);
}

LinkBudget::Outstanding LinkBudget::outstanding(Instant Now) const {
  Outstanding Sum;
  for (const auto &[Flow, Each] : this->Requests) {
    const auto Use = this->Routes.find(Each.Route);
    if (Use == this->Routes.end() || !this->isTransfer(Use->second) ||
        Now - Each.LastAt >= TransferIdleLimit) {
      continue;
    }
    const double Remaining = this->remainingBytes(Each, Use->second);
    ++Sum.Count;
    Sum.Remaining += Remaining;
    Sum.InFlight +=
        std::min(Remaining, LinkOverhead * static_cast<double>(FlowWindow));
  }
  return Sum;
}

double LinkBudget::transferRate(Instant Now) const {
  return std::max(this->Rate * UsableShare - this->ShortReceived.perSecond(Now),
                  this->Rate * TransferShare);
}

Duration LinkBudget::queueLimit(const RouteTerms &Terms, Instant Now) const {
  // Less urgent short requests are protected from running out of time only.
  Duration Limit = Terms.Goal.count() != 0 ? Terms.Goal : Terms.Timeout;
  for (const auto &[Address, Use] : this->Routes) {
    const Duration Bound =
        Use.Terms.Class <= Terms.Class && Use.Terms.Goal.count() != 0
            ? Use.Terms.Goal
            : Use.Terms.Timeout;
    if (!this->isTransfer(Use) && Bound.count() != 0 &&
        Now - Use.LastOpeningAt < RouteIdleLimit) {
      Limit = Limit.count() == 0 ? Bound : std::min(Limit, Bound);
    }
  }
  return fromSeconds(seconds(Limit) * QueueShare);
}

bool LinkBudget::hasTransfer(Endpoint Route, Instant Now) const {
  return std::ranges::any_of(this->Requests, [&](const auto &Entry) {
    return Entry.second.Route == Route &&
           Now - Entry.second.LastAt < TransferIdleLimit;
  });
}

bool LinkBudget::canCarry(const RouteUse &Use, Instant Now) const {
  if (!this->hasTransfer(Use.Terms.Address, Now)) {
    // No route starves: each has at least one transfer at a time.
    return true;
  }
  const Outstanding Sum = this->outstanding(Now);
  const double PerSecond = this->transferRate(Now);
  const double Window = LinkOverhead * static_cast<double>(FlowWindow);
  const Duration Queue = fromSeconds((Sum.InFlight + Window) / PerSecond);
  const Duration Limit = this->queueLimit(Use.Terms, Now);
  if (Limit.count() != 0 && Queue > Limit) {
    return false;
  }
  const Duration Aim =
      Use.Terms.Goal.count() != 0 ? Use.Terms.Goal : Use.Terms.Timeout;
  const Duration Transfer =
      fromSeconds((Sum.Remaining + LinkOverhead * Use.MeanBytes) / PerSecond);
  return Aim.count() == 0 || Transfer <= Aim;
}

bool LinkBudget::admit(const FlowKey &Flow, std::uint32_t Initial,
                       const RouteTerms &Terms, bool IsCopy, Instant Now) {
  if (this->Rate == 0) {
    return true;
  }
  this->sweep(Now);
  RouteUse &Use = this->Routes[Terms.Address];
  Use.Terms = Terms;
  Use.LastOpeningAt = Now;
  const auto Known = this->Requests.find(Flow);
  if (Known != this->Requests.end() && Known->second.Initial == Initial) {
    return true;
  }
  if (!IsCopy && this->isTransfer(Use) && !this->canCarry(Use, Now)) {
    this->RefusedAt = Now;
    return false;
  }
  this->follow(Flow, {Terms.Address, Initial, 0, std::nullopt, Now, false});
  return true;
}

void LinkBudget::follow(const FlowKey &Flow, const Request &Begun) {
  if (this->Requests.size() < MaxFollowedRequests) {
    this->Requests.insert_or_assign(Flow, Begun);
  }
}

void LinkBudget::finish(RequestMap::iterator Ended) {
  const Request &Each = Ended->second;
  const auto Use = this->Routes.find(Each.Route);
  if (Each.Progress != 0 && !Each.IsAdopted && Use != this->Routes.end()) {
    double &Mean = Use->second.MeanBytes;
    Mean =
        Mean == 0 ? Each.Progress : Mean + (Each.Progress - Mean) * SizeWeight;
  }
  this->Requests.erase(Ended);
}

void LinkBudget::onPacket(const FlowKey &Flow, const PacketView &View,
                          std::size_t Bytes, Instant Now) {
  if (this->Rate == 0) {
    return;
  }
  const std::uint64_t OnLink = Bytes + ForwardOverhead;
  this->Received.add(OnLink, Now);
  auto Found = this->Requests.find(Flow);
  const auto Use = this->Routes.find(Flow.Service);
  const bool IsTransfer =
      Use != this->Routes.end() && this->isTransfer(Use->second);
  if (!IsTransfer || View.Payload.empty()) {
    this->ShortReceived.add(OnLink, Now);
  }
  if (Found == this->Requests.end()) {
    if (IsTransfer && !View.Payload.empty()) {
      this->follow(Flow, {Flow.Service, View.Sequence - 1, 0,
                          View.Acknowledgment, Now, true});
    }
    return;
  }
  Request &Each = Found->second;
  if (View.Flags.Rst || View.Flags.Fin) {
    this->finish(Found);
    return;
  }
  if (View.Flags.Syn) {
    return;
  }
  if (Each.Acknowledgment && View.Acknowledgment != *Each.Acknowledgment &&
      View.Acknowledgment - *Each.Acknowledgment < (1U << 31U)) {
    this->finish(Found);
    return;
  }
  Each.LastAt = Now;
  if (!View.Payload.empty()) {
    Each.Acknowledgment = View.Acknowledgment;
    // Sequence numbers wrap; a request is shorter than half their range.
    const std::uint32_t End = View.nextSequence() - Each.Initial - 1;
    if (End < (1U << 31U)) {
      Each.Progress = std::max(Each.Progress, End);
    }
  }
}

void LinkBudget::onSent(std::size_t Bytes, Instant Now) {
  if (this->Rate == 0) {
    return;
  }
  const double Drained = this->Rate * seconds(Now - this->DrainedAt);
  const std::uint64_t OnLink = Bytes + ForwardOverhead;
  this->Unsent =
      std::max(this->Unsent - Drained, 0.0) + static_cast<double>(OnLink);
  this->DrainedAt = Now;
  this->Sent.add(OnLink, Now);
}

void LinkBudget::onRefused(const FlowKey &Flow) { this->Requests.erase(Flow); }

Duration LinkBudget::queueDelay(Instant Now) const {
  if (this->Rate == 0) {
    return {};
  }
  const double Unsent =
      std::max(this->Unsent - this->Rate * seconds(Now - this->DrainedAt), 0.0);
  const double Use =
      std::max(this->Received.perSecond(Now), this->Sent.perSecond(Now));
  if (Use < this->Rate * LoadedShare) {
    const Duration Wait = fromSeconds(Unsent / this->Rate);
    return Wait < LoadedWait ? Duration::zero() : Wait;
  }
  // Packets that wait in front of the VM are not seen; callers keep at most a
  // window each in flight.
  return fromSeconds(std::max(Unsent, this->outstanding(Now).InFlight) /
                     this->Rate);
}

bool LinkBudget::isRefusing(Instant Now) const {
  return this->RefusedAt && Now - *this->RefusedAt < ClearDelay;
}

LinkFigures LinkBudget::figures(Instant Now) const {
  const Outstanding Sum = this->outstanding(Now);
  return {this->Rate,
          std::max(this->Received.perSecond(Now), this->Sent.perSecond(Now)),
          Sum.Count, Sum.InFlight, this->isRefusing(Now)};
}

void LinkBudget::sweep(Instant Now) {
  if (Now < this->NextSweep) {
    return;
  }
  this->NextSweep = Now + SweepPeriod;
  std::erase_if(this->Requests, [Now](const auto &Entry) {
    return Now - Entry.second.LastAt >= TransferIdleLimit;
  });
  std::erase_if(this->Routes, [Now](const auto &Entry) {
    return Now - Entry.second.LastOpeningAt >= 2 * RouteIdleLimit;
  });
}

} // namespace mulberryhoist
