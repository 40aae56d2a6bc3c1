#include "mulberryhoist/refusal.h"

namespace mulberryhoist {

bool RefusalRecords::add(const FlowIncarnation &Flow, RefusalKind Kind,
                         Instant Now) {
  this->expire(Now);
  const auto Existing = this->Records.find(Flow);
  if (Existing != this->Records.end()) {
    if (Kind == RefusalKind::Refused) {
      Existing->second.Kind = Kind;
    }
    return true;
  }
  if (this->Records.size() >= this->Capacity) {
    return false;
  }
  const Instant Expires = Now + RefusalRetention;
  this->Records.emplace(Flow, Record{Kind, Expires});
  this->Expiries.push_back({Flow, Expires});
  return true;
}

std::optional<RefusalKind> RefusalRecords::find(const FlowIncarnation &Flow,
                                                Instant Now) const {
  const auto Existing = this->Records.find(Flow);
  if (Existing == this->Records.end() || Existing->second.Expires <= Now) {
    return std::nullopt;
  }
  return Existing->second.Kind;
}

void RefusalRecords::expire(Instant Now) {
  while (!this->Expiries.empty() && this->Expiries.front().Expires <= Now) {
    this->Records.erase(this->Expiries.front().Flow);
    this->Expiries.pop_front();
  }
}

} // namespace mulberryhoist
