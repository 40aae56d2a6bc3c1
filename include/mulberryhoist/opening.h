/// \file
/// The coordinator's coordination of one opening: who is asked for its load,
/// who is asked to take the flow, and when the caller may be refused.

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

/// How long the coordinator waits for answers to `LoadQuery`.
inline constexpr Duration LoadQueryTimeout = std::chrono::milliseconds(5);

/// How long the coordinator waits for the answer to an opening.
inline constexpr Duration OpeningTimeout = std::chrono::milliseconds(200);

/// Candidates whose load is queried, beside the coordinator itself. With two,
/// the busy-slot imbalance of seven equal upstreams at 0.7 load is 1.301 and
/// misses its bound of 1.3; with three it is 1.28.
inline constexpr std::size_t QueriedCandidates = 3;

/// Candidates that may be asked in total: the coordinator, the queried ones,
/// and a further pair within the retry budget.
inline constexpr std::size_t MaxCandidates = 6;

/// The states of an opening at its coordinator.
enum class OpeningState : std::uint8_t {
  Querying,   ///< Waits for load replies.
  Choosing,   ///< The next candidate can be asked.
  Asking,     ///< Waits for the answer of a candidate.
  Placed,     ///< A candidate took the flow.
  Refused,    ///< Every candidate that was asked definitely declined.
  Unanswered, ///< Nobody took it and one that was asked stayed silent.
};

/// Number of members of `OpeningState`.
inline constexpr std::size_t OpeningStateCount = 6;

/// What happens to an opening.
enum class OpeningEvent : std::uint8_t {
  QueriesDone,
  Asked,
  Accepted,
  NotAccepted,
  AllDeclined,
  OneSilent,
};

/// Number of members of `OpeningEvent`.
inline constexpr std::size_t OpeningEventCount = 6;

/// Returns the state after an event; an event that means nothing in a state
/// leaves it as it is.
OpeningState nextOpeningState(OpeningState State, OpeningEvent Event);

/// What the coordinator is to do next.
enum class OpeningStep : std::uint8_t {
  Wait,
  OfferToSelf,
  OfferToOther, ///< `Opening::offeredTo` names the candidate.
  Refuse,
  LeaveUnanswered,
};

/// One opening that its coordinator coordinates.
class Opening {
public:
  /// Begins to coordinate. `Others` are the candidates after the coordinator,
  /// best first; `SelfTakesPart` is false if the coordinator itself drains.
  Opening(FlowIncarnation Flow, ServiceId Service, PacketBytes Packet,
          std::span<const UpstreamId> Others, bool SelfTakesPart,
          std::uint64_t Query, Instant Now);

  /// Records the load of the coordinator itself.
  void setSelfLoad(std::uint32_t Load) { this->Candidates[0].Load = Load; }

  /// Records a load reply to this opening's query.
  void recordLoad(const LoadReply &Reply);

  /// Skips the load queries, since the coordinator takes the opening anyway.
  void skipQueries();

  /// Records the answer of a candidate; true if it had been asked.
  bool recordAccepted(std::optional<UpstreamId> By);
  bool recordDeclined(std::optional<UpstreamId> By);

  /// Decides what to do now; asks at most one candidate at a time.
  OpeningStep step(RetryBudget &Budget, Instant Now);

  /// The other candidates whose load is to be queried.
  std::span<const UpstreamId> queried() const;

  /// The candidate that was asked last, or none if it is the coordinator
  /// itself.
  std::optional<UpstreamId> offeredTo() const;

  const FlowIncarnation &flow() const { return this->Flow; }
  ServiceId service() const { return this->Service; }
  PacketBytes packet() const { return this->Packet; }

  /// Takes the packet out; views of its bytes stay valid.
  std::vector<std::uint8_t> takePacket() { return std::move(this->Packet); }

  OpeningState state() const { return this->State; }
  std::uint64_t query() const { return this->Query; }

private:
  enum class Answer : std::uint8_t { NotAsked, Waiting, Declined, Silent };

  struct Candidate {
    UpstreamId Id;
    std::uint32_t Load = 0;
    /// May be asked: it has room, as far as known.
    bool Usable = false;
    bool Replied = false;
    Answer Given = Answer::NotAsked;
  };

  Candidate *find(std::optional<UpstreamId> Id);
  Candidate *choose();
  bool addFurther(RetryBudget &Budget);
  OpeningStep finish();
  bool canRefuse() const;

  FlowIncarnation Flow;
  ServiceId Service;
  std::vector<std::uint8_t> Packet;
  /// The coordinator itself comes first.
  std::array<Candidate, MaxCandidates> Candidates;
  std::array<UpstreamId, QueriedCandidates> QueriedIds;
  std::size_t Count = 1;
  std::size_t LastAsked = 0;
  OpeningState State = OpeningState::Querying;
  std::uint64_t Query;
  Instant Deadline;
  bool FurtherUsed = false;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_OPENING_H
