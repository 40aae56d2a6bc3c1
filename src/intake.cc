#include "mulberryhoist/intake.h"

#include <algorithm>

namespace mulberryhoist {

void IntakeState::onNotice(const IntakeNotice &Next, Instant Now) {
  SourceRevision Stated = Next.Revision;
  if (!Stated.Era) {
    Stated.Era = this->Revision.Era;
  }
  if (isOlder(Stated, this->Revision)) {
    return;
  }
  // Between notices of one revision, the safe one holds.
  this->Closed = Next.IsClosed || (this->Closed && Stated == this->Revision);
  this->Revision = Stated;
  this->HeardAt = Now;
}

void IntakeState::onTick(Instant Now) {
  this->Closed = this->Closed && Now - this->HeardAt < IntakeLifetime;
  if (Now - this->HeardAt >= EndedEvacuationRetention) {
    this->Revision = {};
  }
}

void IntakeAnnouncer::onDirectory(const Directory &Next) {
  for (const UpstreamIntake &Each : Next.intakes()) {
    const auto Found = this->Agents.find(Each.Agent);
    if (Found == this->Agents.end()) {
      if (Each.IsClosed) {
        this->Agents[Each.Agent].Notice = {Each.Service, Each.Revision, true};
        this->NextAt = Instant();
      }
      continue;
    }
    Announcement &Known = Found->second;
    if (Known.Notice.IsClosed != Each.IsClosed ||
        Known.Notice.Service != Each.Service) {
      Known = {};
      this->NextAt = Instant();
    }
    Known.Notice = {Each.Service, Each.Revision, Each.IsClosed};
  }
  // An agent that was told that its upstream drains is told when the next one
  // registers.
  for (auto &[Agent, Each] : this->Agents) {
    Each.IsListed = Next.hasAgent(Agent);
  }
  std::erase_if(this->Agents, [&Next](const auto &Each) {
    return !Next.knowsAgent(Each.first);
  });
}

bool IntakeAnnouncer::isClosed(std::uint32_t Agent) const {
  const auto Found = this->Agents.find(Agent);
  return Found != this->Agents.end() && Found->second.Notice.IsClosed;
}

void IntakeAnnouncer::onTick(std::uint16_t PeerPort, Instant Now,
                             SteerActionList &Out) {
  if (!this->NextAt || Now < *this->NextAt) {
    return;
  }
  for (auto &[Agent, Each] : this->Agents) {
    if (Now >= Each.DueAt) {
      if (Each.IsListed) {
        Out.emplace_back(SendSteer{{Agent, PeerPort}, Each.Notice, {}});
      }
      Each.DueAt = Now + (Each.Sent == 0 ? IntakeFirstRepeat : IntakeRenewal);
      ++Each.Sent;
    }
  }
  std::erase_if(this->Agents, [](const auto &Each) {
    return !Each.second.Notice.IsClosed &&
           Each.second.Sent >= IntakeOpenNotices;
  });
  this->NextAt.reset();
  for (const auto &[Agent, Each] : this->Agents) {
    this->NextAt =
        this->NextAt ? std::min(*this->NextAt, Each.DueAt) : Each.DueAt;
  }
}

} // namespace mulberryhoist
