/// \file
/// The search of a coordinator for the owner of an established flow.

#ifndef MULBERRYHOIST_LOCATE_H
#define MULBERRYHOIST_LOCATE_H

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "mulberryhoist/flow.h"
#include "mulberryhoist/types.h"
#include "mulberryhoist/wire.h"

namespace mulberryhoist {

/// Maximum number of packets of one flow that are buffered until its owner is
/// found.
inline constexpr std::size_t MaxBufferedPackets = 4;

/// How long one round waits for `LocateReply` messages.
inline constexpr Duration LocateTimeout = std::chrono::milliseconds(50);

/// The back-off after the first round, doubled after each further round up to
/// `MaxLocateBackOff`.
inline constexpr Duration InitialLocateBackOff = std::chrono::milliseconds(50);
inline constexpr Duration MaxLocateBackOff = std::chrono::seconds(2);

/// How long the upstream of an adopting agent may take to respond with a reset.
inline constexpr Duration AdoptTimeout = std::chrono::seconds(1);

/// How long a search is kept without packets. The caller's retransmissions may
/// be half a minute apart.
inline constexpr Duration SearchRetention = std::chrono::seconds(60);

/// The next step of the coordinator.
enum class LocateStep : std::uint8_t {
  Wait,
  Found,        ///< `owner` has the flow: forward the buffered packets.
  AdoptSelf,    ///< Deliver the buffered packets to the own upstream.
  AdoptOther,   ///< Forward the buffered packets to `owner` with `adopt`.
  Adopted,      ///< The adopting agent kept the flow: end the search.
  NotFound,     ///< No agent has the flow: reset the caller, end the search.
  DropBuffered, ///< Drop the buffered packets; the caller retransmits them.
};

/// A search for the owner of one flow, in as many rounds as the caller's
/// packets start.
class LocateSearch {
public:
  /// `GoneConfirmation` is how long all members must deny that they own the
  /// flow before it counts as gone.
  explicit LocateSearch(Duration GoneConfirmation)
      : GoneConfirmation(GoneConfirmation) {}

  /// Begins a round for a packet. `SelfMayOwn` is true if the coordinator
  /// itself has lost its flow table recently; `Complete` is false if the list
  /// of members may be outdated or is empty, in which case the flow cannot
  /// count as gone.
  void beginRound(SequenceNumbers Numbers, std::span<const UpstreamId> Members,
                  bool SelfMayOwn, bool Complete, Instant Now);

  /// Returns true if a packet may begin a round.
  bool isIdle(Instant Now) const {
    return this->Phase == State::Idle && Now >= this->NextRound;
  }

  /// Returns true while no round runs.
  bool isBackingOff() const { return this->Phase == State::Idle; }

  /// Returns true while an agent that has lost its flow table tries to adopt
  /// the flow.
  bool isAdopting() const { return this->Phase == State::Adopting; }

  /// Returns true if the search has had no packet for `SearchRetention`.
  bool isExpired(Instant Now) const {
    return Now - this->LastPacket >= SearchRetention;
  }

  /// Buffers a packet until the owner is found; returns false if the buffer is
  /// full.
  bool buffer(PacketBytes Packet, Instant Now);

  /// Records the arrival of a packet that is not buffered.
  void touch(Instant Now) { this->LastPacket = Now; }

  /// Records a reply; one that names an owner counts also after its round.
  void recordReply(const LocateReply &Reply);

  /// Records that the adopting agent does not have the flow; returns false if
  /// that agent is not adopting. `By` is empty for the coordinator itself.
  bool recordNotOwner(std::optional<UpstreamId> By);

  /// Returns the next step.
  LocateStep step(Instant Now);

  /// Returns the owner or the adopting agent; empty for the coordinator itself.
  std::optional<UpstreamId> owner() const { return this->Target; }
  Incarnation incarnation() const { return this->Initial; }
  SequenceNumbers numbers() const { return this->Numbers; }

  std::vector<std::vector<std::uint8_t>> &buffered() { return this->Buffer; }

private:
  enum class State : std::uint8_t { Idle, Querying, Adopting, Found };
  enum class ReplyState : std::uint8_t { Pending, No, Maybe };

  struct Member {
    /// Empty for the coordinator itself.
    std::optional<UpstreamId> Id;
    ReplyState Reply = ReplyState::Pending;
  };

  Member *find(std::optional<UpstreamId> Id);
  bool hasPendingReply() const;
  LocateStep finishRound(Instant Now);
  LocateStep backOff(Instant Now);

  Duration GoneConfirmation;
  SequenceNumbers Numbers;
  std::vector<Member> Members;
  std::vector<std::vector<std::uint8_t>> Buffer;
  std::optional<UpstreamId> Target;
  Incarnation Initial = 0;
  State Phase = State::Idle;
  Instant Deadline;
  Instant NextRound;
  Instant LastPacket;
  Duration NextBackOff = InitialLocateBackOff;
  std::optional<Instant> FirstDeniedAt;
  bool Complete = false;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_LOCATE_H
