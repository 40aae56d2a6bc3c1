/// \file
/// The state of one opening at its coordinator: the candidates whose load is
/// queried, the candidates that the opening is offered to, and the conditions
/// under which the caller may be refused.

#ifndef MULBERRYHOIST_OPENING_H
#define MULBERRYHOIST_OPENING_H

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include "mulberryhoist/admission.h"
#include "mulberryhoist/types.h"
#include "mulberryhoist/wire.h"

namespace mulberryhoist {

/// Time limit for replies to `LoadQuery`.
inline constexpr Duration LoadQueryTimeout = std::chrono::milliseconds(5);

/// Time limit for a candidate's reply to an offered opening.
inline constexpr Duration OpeningTimeout = std::chrono::milliseconds(200);

/// Number of candidates whose load is queried, besides the coordinator itself.
/// With two, the busy-slot imbalance of seven equal upstreams at a load of 0.7
/// is 1.301 and exceeds the bound of 1.3; with three it is 1.28.
inline constexpr std::size_t QueriedCandidates = 3;

/// Maximum number of candidates of an opening: the coordinator, those whose
/// load is queried, and two more that are offered it within the retry budget.
inline constexpr std::size_t MaxCandidates = 6;

/// The states of an opening at its coordinator.
enum class OpeningState : std::uint8_t {
  Querying,   ///< Waiting for load replies.
  Choosing,   ///< The opening can be offered to the next candidate.
  Offering,   ///< Waiting for a candidate's reply to the offer.
  Placed,     ///< A candidate accepted the flow.
  Refused,    ///< Every candidate that was offered the opening declined it.
  Unanswered, ///< No candidate accepted and a reply is missing.
};

/// Number of members of `OpeningState`.
inline constexpr std::size_t OpeningStateCount = 6;

/// Events that change the state of an opening.
enum class OpeningEvent : std::uint8_t {
  QueriesDone,
  Offered,
  Accepted,
  OfferFailed,
  AllDeclined,
  ReplyMissing,
};

/// Number of members of `OpeningEvent`.
inline constexpr std::size_t OpeningEventCount = 6;

/// Returns the state after an event, which is unchanged if the event has no
/// transition in that state.
OpeningState nextOpeningState(OpeningState State, OpeningEvent Event);

/// The next action of the coordinator.
enum class OpeningStep : std::uint8_t {
  Wait,
  OfferToSelf,
  OfferToOther, ///< Offer it to the candidate `Opening::offeredTo`.
  Refuse,
  LeaveUnanswered,
};

/// An opening in progress at its coordinator.
class Opening {
public:
  /// Creates an opening in progress. `Others` are the candidates after the
  /// coordinator, best first; `SelfEligible` is false if the coordinator may
  /// not accept the flow, for example because it drains.
  Opening(FlowIncarnation Flow, ServiceId Service, PacketBytes Packet,
          std::span<const UpstreamId> Others, bool SelfEligible,
          std::uint64_t Query, Instant Now);

  /// Sets the load of the coordinator itself.
  void setSelfLoad(std::uint32_t Load) { this->Candidates[0].Load = Load; }

  /// Records a load reply to this opening's query.
  void recordLoad(const LoadReply &Reply);

  /// Ends the query phase without waiting for load replies, for a coordinator
  /// that is idle or has no other candidates.
  void skipQueries();

  /// Records that a candidate, or the coordinator if `By` is empty, accepted
  /// the opening. Returns false if it was not offered the opening.
  bool recordAccepted(std::optional<UpstreamId> By);

  /// Records that a candidate, or the coordinator if `By` is empty, declined
  /// the opening. Returns false if it was not offered the opening.
  bool recordDeclined(std::optional<UpstreamId> By);

  /// Returns the next action. The opening is offered to one candidate at a time
  /// and to the next one after a decline or `OpeningTimeout`.
  OpeningStep step(RetryBudget &Budget, Instant Now);

  /// Returns the other candidates whose load is queried.
  std::span<const UpstreamId> queried() const;

  /// Returns the candidate that was offered the opening last, or none if that
  /// is the coordinator itself.
  std::optional<UpstreamId> offeredTo() const;

  const FlowIncarnation &flow() const { return this->Flow; }
  ServiceId service() const { return this->Service; }
  PacketBytes packet() const { return this->Packet; }

  /// Moves the packet out; views of its bytes stay valid.
  std::vector<std::uint8_t> takePacket() { return std::move(this->Packet); }

  OpeningState state() const { return this->State; }
  std::uint64_t query() const { return this->Query; }

private:
  enum class OfferState : std::uint8_t {
    NotOffered,
    Pending,
    Declined,
    TimedOut
  };

  struct Candidate {
    UpstreamId Id;
    std::uint32_t Load = 0;
    /// True if the opening may be offered to it: it reported room, is the
    /// coordinator and may accept, or is within the retry budget.
    bool Eligible = false;
    bool Replied = false;
    OfferState Offer = OfferState::NotOffered;
  };

  Candidate *find(std::optional<UpstreamId> Id);
  Candidate *selectCandidate();
  bool addRetryCandidates(RetryBudget &Budget);
  OpeningStep finish();
  bool canRefuse() const;

  FlowIncarnation Flow;
  ServiceId Service;
  std::vector<std::uint8_t> Packet;
  /// The first entry is the coordinator itself.
  std::array<Candidate, MaxCandidates> Candidates;
  std::array<UpstreamId, QueriedCandidates> QueriedIds;
  std::size_t Count = 1;
  std::size_t LastOffered = 0;
  OpeningState State = OpeningState::Querying;
  std::uint64_t Query;
  Instant Deadline;
  bool RetryUsed = false;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_OPENING_H
