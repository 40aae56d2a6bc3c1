#include "fleet/oracle.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace mulberryhoist::fleet {
namespace {

/// New work to a leaving upstream must end within this time (G6).
constexpr Duration LeavingBound = std::chrono::seconds(3);

/// Enough breaches to see a pattern.
constexpr std::size_t MaxBreaches = 20;

/// Reads the identifier that follows the first letter of a unit.
RequestId idOf(std::string_view Unit) {
  constexpr std::size_t Digits = 8;
  RequestId Id = 0;
  if (Unit.size() > Digits) {
    std::from_chars(Unit.data() + 1, Unit.data() + 1 + Digits, Id);
  }
  return Id;
}

std::string describeFlow(const FlowTruth &Flow) {
  return fmt::format("flow {} -> {} ({:08x})",
                     formatEndpoint(Flow.Plan.Key.Caller),
                     formatEndpoint(Flow.Plan.Key.Service), Flow.Initial);
}

} // namespace

std::string requestUnit(RequestId Id, unsigned Part, unsigned Parts) {
  return fmt::format("Q{:08}/{:02}/{:02}\n", Id, Part, Parts);
}

std::string answerUnit(RequestId Id, unsigned Number) {
  return fmt::format("A{:08}/{:05}\n", Id, Number);
}

void Oracle::onServices(const std::string &Upstream,
                        const std::vector<std::string> &Services) {
  this->ServicesOf[Upstream] = {Services.begin(), Services.end()};
}

void Oracle::onPublished(std::shared_ptr<const Table> Published) {
  this->Tables.push_back(std::move(Published));
}

void Oracle::onTold(const std::string &Upstream, Endpoint Address, bool Leaving,
                    Instant Now) {
  const std::pair Key(Upstream, Address);
  if (Leaving) {
    this->LeavingSince.emplace(Key, Now);
  } else {
    this->LeavingSince.erase(Key);
  }
}

std::size_t Oracle::onOpen(const FlowPlan &Plan, Incarnation Initial,
                           std::uint64_t OldestTable, Instant Now) {
  FlowTruth Flow;
  Flow.Plan = Plan;
  Flow.Initial = Initial;
  Flow.FirstRequest = static_cast<RequestId>(this->FlowOfRequest.size());
  Flow.Opened = Now;
  Flow.OldestTable = OldestTable;
  this->FlowOfRequest.insert(this->FlowOfRequest.end(), Plan.Requests,
                             this->Flows.size());
  this->Flows.push_back(Flow);
  return this->Flows.size() - 1;
}

void Oracle::onEstablished(std::size_t Flow) {
  this->Flows[Flow].Established = true;
}

void Oracle::onRefused(std::size_t Flow) {
  this->Flows[Flow].Refused = true;
  if (this->Flows[Flow].Runs > 0) {
    this->report(fmt::format("G4: {} was refused after it ran",
                             describeFlow(this->Flows[Flow])));
  }
}

void Oracle::onReset(std::size_t Flow) { this->Flows[Flow].Reset = true; }

void Oracle::onAbandoned(std::size_t Flow) {
  this->Flows[Flow].Abandoned = true;
}

void Oracle::onAnswer(std::size_t Flow, std::string_view Bytes) {
  FlowTruth &Truth = this->Flows[Flow];
  for (const char Byte : Bytes) {
    const std::size_t Unit = Truth.Received / UnitBytes;
    const auto Request = static_cast<unsigned>(Unit / Truth.Plan.Units);
    const auto Number = static_cast<unsigned>(Unit % Truth.Plan.Units);
    const std::string Expected =
        answerUnit(Truth.FirstRequest + Request, Number);
    if (Request >= Truth.Plan.Requests ||
        Byte != Expected[Truth.Received % UnitBytes]) {
      this->report(fmt::format("G3: {} got a wrong byte at {}",
                               describeFlow(Truth), Truth.Received));
      return;
    }
    ++Truth.Received;
  }
  Truth.Complete = Truth.Received == std::size_t{Truth.Plan.Requests} *
                                         Truth.Plan.Units * UnitBytes;
}

void Oracle::onUpstreamOpening(const std::string &Upstream, const FlowKey &Key,
                               Incarnation Initial, Instant Now) {
  const std::uint64_t Newest =
      this->Tables.empty() ? 0 : this->Tables.back()->version().Revision;
  const bool IsFirst =
      this->TableAtOpening.emplace(std::tuple(Upstream, Key, Initial), Newest)
          .second;
  const auto Since = this->LeavingSince.find({Upstream, Key.Service});
  if (!IsFirst || Since == this->LeavingSince.end()) {
    return;
  }
  if (Now - Since->second > LeavingBound) {
    this->report(fmt::format("G6: {} got an opening more than 3 s after it was "
                             "told to leave",
                             Upstream));
  }
  for (const FlowTruth &Flow : this->Flows) {
    if (Flow.Plan.Key == Key && Flow.Initial == Initial &&
        Flow.Opened > Since->second) {
      this->report(fmt::format("G6: {} accepted {}, opened after it was told "
                               "to leave",
                               Upstream, describeFlow(Flow)));
    }
  }
}

void Oracle::onUpstreamPayload(const std::string &Upstream, const FlowKey &Key,
                               std::string_view Bytes) {
  for (; Bytes.size() >= UnitBytes; Bytes.remove_prefix(UnitBytes)) {
    const auto Found = this->findFlow(idOf(Bytes));
    if (!Found || this->Flows[*Found].Plan.Key != Key) {
      this->report(
          fmt::format("G3: {} got payload of an unknown flow", Upstream));
      continue;
    }
    const FlowTruth &Flow = this->Flows[*Found];
    const auto Opening =
        this->TableAtOpening.find({Upstream, Key, Flow.Initial});
    const std::uint64_t Newest = Opening != this->TableAtOpening.end()
                                     ? Opening->second
                                     : this->Tables.back()->version().Revision;
    if (!this->isRightService(Upstream, Flow, Newest)) {
      this->report(fmt::format("G2: {} of another service got payload of {}",
                               Upstream, describeFlow(Flow)));
    }
  }
}

void Oracle::onRun(const std::string &Upstream, RequestId Id) {
  const auto Found = this->findFlow(Id);
  if (!Found) {
    this->report(fmt::format("G3: {} ran an unknown request", Upstream));
    return;
  }
  FlowTruth &Flow = this->Flows[*Found];
  ++Flow.Runs;
  Flow.RanAt = Upstream;
  if (Flow.Refused) {
    this->report(fmt::format("G4: {} ran at {} after it was refused",
                             describeFlow(Flow), Upstream));
  }
  const bool SameRequest = ++this->RunsOfRequest[Id] > 1;
  const std::pair Order(Flow.Plan.Order, Id - Flow.FirstRequest);
  if (++this->RunsOfOrder[Order] > 1 || SameRequest) {
    this->report(fmt::format("G5: order {} of {} ran again at {}",
                             Flow.Plan.Order, describeFlow(Flow), Upstream));
  }
}

void Oracle::judgeSurvival() {
  for (const FlowTruth &Flow : this->Flows) {
    if (Flow.Established && !Flow.Complete && !Flow.Abandoned) {
      this->report(fmt::format("G1: {} broke after {} bytes{}",
                               describeFlow(Flow), Flow.Received,
                               Flow.Reset ? ", reset" : ", silent"));
    }
  }
}

void Oracle::report(std::string Breach) {
  if (this->Breaches.size() < MaxBreaches) {
    this->Breaches.push_back(std::move(Breach));
  }
}

const FlowPlan &Oracle::planOf(RequestId Id) const {
  return this->Flows[this->FlowOfRequest.at(Id)].Plan;
}

std::string Oracle::describe() const {
  return fmt::format("{}", fmt::join(this->Breaches, "\n"));
}

std::optional<std::size_t> Oracle::findFlow(RequestId Id) const {
  if (Id >= this->FlowOfRequest.size()) {
    return std::nullopt;
  }
  return this->FlowOfRequest[Id];
}

bool Oracle::isRightService(const std::string &Upstream, const FlowTruth &Flow,
                            std::uint64_t NewestTable) const {
  const auto Own = this->ServicesOf.find(Upstream);
  // The upstream itself may have joined the service later: a coordinator that
  // looks for the owner of a flow asks all upstreams of the service.
  return std::any_of(
      this->Tables.begin(), this->Tables.end(),
      [&](const std::shared_ptr<const Table> &Published) {
        const std::uint64_t Revision = Published->version().Revision;
        const Service *Wanted = Published->findService(Flow.Plan.Key.Service);
        return Revision >= Flow.OldestTable && Revision <= NewestTable &&
               Wanted != nullptr && Own != this->ServicesOf.end() &&
               Own->second.contains(Wanted->Name);
      });
}

} // namespace mulberryhoist::fleet
