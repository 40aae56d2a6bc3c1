#include "soak/ledger.h"

#include <fmt/format.h>

namespace mulberryhoist::soak {

void Ledger::began(std::uint32_t Request, Instant Now) {
  const std::scoped_lock Guard(this->Lock);
  this->Records[Request].Began = Now;
}

void Ledger::ran(std::uint32_t Request, const std::string &Upstream) {
  const std::scoped_lock Guard(this->Lock);
  this->Records[Request].Runs.push_back(Upstream);
}

void Ledger::ended(std::uint32_t Request, Outcome How) {
  const std::scoped_lock Guard(this->Lock);
  this->Records[Request].How = How;
}

void Ledger::broke(std::string What) {
  const std::scoped_lock Guard(this->Lock);
  this->Broken.push_back(std::move(What));
}

std::vector<std::string> Ledger::violations() const {
  const std::scoped_lock Guard(this->Lock);
  std::vector<std::string> All = this->Broken;
  for (const auto &[Request, Each] : this->Records) {
    if (Each.Began == Instant()) {
      All.push_back(
          fmt::format("request {} ran but no caller sent it", Request));
    }
    if (Each.Runs.size() > 1) {
      All.push_back(fmt::format("request {} ran {} times, at {} and {}",
                                Request, Each.Runs.size(), Each.Runs[0],
                                Each.Runs[1]));
    }
    if (Each.How == Outcome::Refused && !Each.Runs.empty()) {
      All.push_back(fmt::format("request {} was refused but ran at {}", Request,
                                Each.Runs[0]));
    }
  }
  return All;
}

double Ledger::servedShare(Instant From, Instant To) const {
  const std::scoped_lock Guard(this->Lock);
  std::size_t Total = 0;
  std::size_t Served = 0;
  for (const auto &[Request, Each] : this->Records) {
    if (Each.Began >= From && Each.Began < To) {
      ++Total;
      Served += Each.How == Outcome::Served ? 1U : 0U;
    }
  }
  return Total == 0 ? 0
                    : static_cast<double>(Served) / static_cast<double>(Total);
}

std::size_t Ledger::count(Outcome How) const {
  const std::scoped_lock Guard(this->Lock);
  std::size_t Count = 0;
  for (const auto &[Request, Each] : this->Records) {
    Count += Each.How == How ? 1U : 0U;
  }
  return Count;
}

} // namespace mulberryhoist::soak
