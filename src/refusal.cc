#include "mulberryhoist/refusal.h"

namespace mulberryhoist {

bool RefusalRecords::add(const FlowIncarnation &Flow, RefusalKind Kind,
                         Instant Now) {
  this->expire(Now);
  const auto Known = this->Kinds.find(Flow);
  if (Known != this->Kinds.end()) {
    if (Kind == RefusalKind::Refused) {
      Known->second.Kind = Kind;
    }
    return true;
  }
  if (this->Kinds.size() >= this->Capacity) {
    return false;
  }
  const Instant Expires = Now + RefusalRetention;
  this->Kinds.emplace(Flow, Record{Kind, Expires});
  this->Expiries.push_back({Flow, Expires});
  return true;
}

std::optional<RefusalKind> RefusalRecords::find(const FlowIncarnation &Flow,
                                                Instant Now) const {
  const auto Known = this->Kinds.find(Flow);
  if (Known == this->Kinds.end() || Known->second.Expires <= Now) {
    return std::nullopt;
  }
  return Known->second.Kind;
}

void RefusalRecords::expire(Instant Now) {
  while (!this->Expiries.empty() && this->Expiries.front().Expires <= Now) {
    this->Kinds.erase(this->Expiries.front().Flow);
    this->Expiries.pop_front();
  }
}

} // namespace mulberryhoist
