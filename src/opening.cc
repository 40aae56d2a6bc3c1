#include "mulberryhoist/opening.h"

#include <algorithm>

#include "transitions.h"

namespace mulberryhoist {
namespace {

using boost::msm::front::Row;
using detail::Enter;
using detail::Occur;
using detail::Start;
using detail::StateOf;

struct OpeningDefinition
    : detail::MachineDefinition<OpeningDefinition, OpeningState> {
  using Querying = StateOf<OpeningState::Querying>;
  using Choosing = StateOf<OpeningState::Choosing>;
  using Offering = StateOf<OpeningState::Offering>;
  using Placed = StateOf<OpeningState::Placed>;
  using Refused = StateOf<OpeningState::Refused>;
  using Unanswered = StateOf<OpeningState::Unanswered>;

  // A late acceptance by a candidate that was offered the opening earlier
  // counts while another is selected or offered it. Only `Choosing` leads to
  // `Refused` and `Unanswered`, since no reply is outstanding there.
  // clang-format off
  // NOLINTNEXTLINE(readability-identifier-naming): Boost.MSM reads this name.
  struct transition_table : boost::mpl::vector<
      Row<Start, Enter<OpeningState::Querying>, Querying>,
      Row<Start, Enter<OpeningState::Choosing>, Choosing>,
      Row<Start, Enter<OpeningState::Offering>, Offering>,
      Row<Start, Enter<OpeningState::Placed>, Placed>,
      Row<Start, Enter<OpeningState::Refused>, Refused>,
      Row<Start, Enter<OpeningState::Unanswered>, Unanswered>,
      Row<Querying, Occur<OpeningEvent::QueriesDone>, Choosing>,
      Row<Choosing, Occur<OpeningEvent::Offered>, Offering>,
      Row<Choosing, Occur<OpeningEvent::Accepted>, Placed>,
      Row<Choosing, Occur<OpeningEvent::AllDeclined>, Refused>,
      Row<Choosing, Occur<OpeningEvent::ReplyMissing>, Unanswered>,
      Row<Offering, Occur<OpeningEvent::Accepted>, Placed>,
      Row<Offering, Occur<OpeningEvent::OfferFailed>, Choosing>> {};
  // clang-format on
};

void advance(OpeningState &State, OpeningEvent Event) {
  State = nextOpeningState(State, Event);
}

} // namespace

OpeningState nextOpeningState(OpeningState State, OpeningEvent Event) {
  static const auto Transitions =
      detail::makeTransitions<OpeningDefinition, OpeningState,
                              OpeningStateCount, OpeningEvent,
                              OpeningEventCount>();
  return Transitions[static_cast<std::size_t>(State)]
                    [static_cast<std::size_t>(Event)];
}

Opening::Opening(FlowIncarnation Flow, ServiceId Service, PacketBytes Packet,
                 std::span<const UpstreamId> Others, bool SelfEligible,
                 std::uint64_t Query, Instant Now)
    : Flow(Flow), Service(Service), Packet(Packet.begin(), Packet.end()),
      Query(Query), Deadline(Now + LoadQueryTimeout) {
  this->Candidates[0].Eligible = SelfEligible;
  this->Candidates[0].Replied = true;
  for (const UpstreamId Id : Others) {
    if (this->Count == MaxCandidates) {
      break;
    }
    if (this->Count <= QueriedCandidates) {
      this->QueriedIds[this->Count - 1] = Id;
    }
    this->Candidates[this->Count].Id = Id;
    ++this->Count;
  }
  if (this->Count == 1) {
    this->skipQueries();
  }
}

void Opening::recordLoad(const LoadReply &Reply) {
  Candidate *Found = this->find(Reply.Upstream);
  if (Found == nullptr || this->State != OpeningState::Querying) {
    return;
  }
  Found->Replied = true;
  Found->Load = Reply.Load;
  Found->Eligible = Reply.Room && !Reply.Draining;
  const std::size_t Last = this->queried().size();
  const bool AllReplied =
      std::all_of(this->Candidates.begin(), this->Candidates.begin() + Last + 1,
                  [](const Candidate &Entry) { return Entry.Replied; });
  if (AllReplied) {
    advance(this->State, OpeningEvent::QueriesDone);
  }
}

void Opening::skipQueries() { advance(this->State, OpeningEvent::QueriesDone); }

bool Opening::recordAccepted(std::optional<UpstreamId> By) {
  const Candidate *Found = this->find(By);
  if (Found == nullptr || Found->Offer == OfferState::NotOffered) {
    return false;
  }
  advance(this->State, OpeningEvent::Accepted);
  return true;
}

bool Opening::recordDeclined(std::optional<UpstreamId> By) {
  Candidate *Found = this->find(By);
  if (Found == nullptr || Found->Offer == OfferState::NotOffered) {
    return false;
  }
  const bool WasPending = Found->Offer == OfferState::Pending;
  Found->Offer = OfferState::Declined;
  if (WasPending) {
    advance(this->State, OpeningEvent::OfferFailed);
  }
  return true;
}

OpeningStep Opening::step(RetryBudget &Budget, Instant Now) {
  if (this->State == OpeningState::Querying && Now >= this->Deadline) {
    advance(this->State, OpeningEvent::QueriesDone);
  }
  if (this->State == OpeningState::Offering && Now >= this->Deadline) {
    this->Candidates[this->LastOffered].Offer = OfferState::TimedOut;
    advance(this->State, OpeningEvent::OfferFailed);
  }
  if (this->State != OpeningState::Choosing) {
    return OpeningStep::Wait;
  }
  Candidate *Next = this->selectCandidate();
  if (Next == nullptr && this->addRetryCandidates(Budget)) {
    Next = this->selectCandidate();
  }
  if (Next == nullptr) {
    return this->finish();
  }
  Next->Offer = OfferState::Pending;
  this->LastOffered = static_cast<std::size_t>(Next - this->Candidates.data());
  this->Deadline = Now + OpeningTimeout;
  advance(this->State, OpeningEvent::Offered);
  return this->LastOffered == 0 ? OpeningStep::OfferToSelf
                                : OpeningStep::OfferToOther;
}

std::span<const UpstreamId> Opening::queried() const {
  const std::size_t Others = std::min(this->Count - 1, QueriedCandidates);
  return std::span(this->QueriedIds).first(Others);
}

std::optional<UpstreamId> Opening::offeredTo() const {
  if (this->LastOffered == 0) {
    return std::nullopt;
  }
  return this->Candidates[this->LastOffered].Id;
}

Opening::Candidate *Opening::find(std::optional<UpstreamId> Id) {
  if (!Id) {
    return this->Candidates.data();
  }
  for (std::size_t I = 1; I < this->Count; ++I) {
    if (this->Candidates[I].Id == *Id) {
      return &this->Candidates[I];
    }
  }
  return nullptr;
}

Opening::Candidate *Opening::selectCandidate() {
  Candidate *Best = nullptr;
  for (std::size_t I = 0; I < this->Count; ++I) {
    Candidate &Entry = this->Candidates[I];
    const bool IsSelectable =
        Entry.Eligible && Entry.Offer == OfferState::NotOffered;
    // The coordinator is the first entry, so it wins ties.
    if (IsSelectable && (Best == nullptr || Entry.Load < Best->Load)) {
      Best = &Entry;
    }
  }
  return Best;
}

bool Opening::addRetryCandidates(RetryBudget &Budget) {
  const std::size_t First = 1 + QueriedCandidates;
  if (this->RetryUsed || this->Count <= First) {
    return false;
  }
  this->RetryUsed = true;
  if (!Budget.take(static_cast<std::uint32_t>(this->Count - First))) {
    return false;
  }
  for (std::size_t I = First; I < this->Count; ++I) {
    this->Candidates[I].Eligible = true;
  }
  return true;
}

OpeningStep Opening::finish() {
  const bool Refusable = this->canRefuse();
  advance(this->State,
          Refusable ? OpeningEvent::AllDeclined : OpeningEvent::ReplyMissing);
  return Refusable ? OpeningStep::Refuse : OpeningStep::LeaveUnanswered;
}

bool Opening::canRefuse() const {
  bool AllQueriesReplied = true;
  bool AnyDeclined = false;
  for (std::size_t I = 0; I < this->Count; ++I) {
    const Candidate &Entry = this->Candidates[I];
    // A missing reply is not a decline: the opening may have reached the
    // upstream.
    if (Entry.Offer == OfferState::TimedOut ||
        Entry.Offer == OfferState::Pending) {
      return false;
    }
    AnyDeclined = AnyDeclined || Entry.Offer == OfferState::Declined;
    AllQueriesReplied =
        AllQueriesReplied && (Entry.Replied || I > QueriedCandidates);
  }
  // A draining coordinator refuses only after a decline or after replies to all
  // load queries. Otherwise it stays silent, since the caller's next
  // retransmission reaches another coordinator.
  return AnyDeclined || AllQueriesReplied;
}

} // namespace mulberryhoist
