#include "mulberryhoist/cold-limit.h"

#include <algorithm>

namespace mulberryhoist {

void ColdLimit::onMessage(std::uint32_t Limit, Duration Left, Instant Now) {
  if (Limit == 0 || Left <= Duration::zero()) {
    return;
  }
  this->Limit = std::min(Limit, MaxColdLimit);
  this->ColdUntil = std::max(this->ColdUntil, Now + Left);
}

bool ColdLimit::admits(Instant Now) {
  if (!this->isCold(Now)) {
    return true;
  }
  this->forgetOld(Now);
  return Now - this->KnownSince > ColdWindow &&
         this->Requests.size() < this->Limit;
}

Duration ColdLimit::delay(std::size_t Ahead, Instant Now) {
  if (!this->isCold(Now)) {
    return Duration::zero();
  }
  this->forgetOld(Now);
  const Instant Known = this->KnownSince + ColdWindow;
  const std::size_t Total = this->Requests.size() + Ahead + 1;
  Instant At = std::max(Now, Known);
  if (Total > this->Limit) {
    // As many must leave the window; those ahead leave it in later windows.
    const std::size_t Leaving = Total - this->Limit - 1;
    const std::size_t Windows = Leaving / this->Limit;
    const std::size_t Index = Leaving % this->Limit;
    const Instant Since =
        Index < this->Requests.size() ? this->Requests[Index] : At;
    At = std::max(At,
                  Since + ColdWindow * static_cast<Duration::rep>(Windows + 1));
  }
  return std::min(At, this->ColdUntil) - Now;
}

void ColdLimit::count(Instant Now) {
  this->forgetOld(Now);
  // Counted while the upstream is warm too: messages that say that it is cold
  // may come late.
  if (this->Requests.size() == MaxColdLimit) {
    this->Requests.pop_front();
  }
  this->Requests.push_back(Now);
}

void ColdLimit::forgetOld(Instant Now) {
  while (!this->Requests.empty() && Now - this->Requests.front() > ColdWindow) {
    this->Requests.pop_front();
  }
}

} // namespace mulberryhoist
