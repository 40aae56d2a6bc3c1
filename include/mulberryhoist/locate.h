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

/// Packets of one flow that wait for its owner.
inline constexpr std::size_t MaxBufferedPackets = 4;

/// How long one round waits for `LocateReply`.
inline constexpr Duration LocateTimeout = std::chrono::milliseconds(50);

/// The back-off between rounds, doubled after each.
inline constexpr Duration FirstLocateBackOff = std::chrono::milliseconds(50);
inline constexpr Duration LastLocateBackOff = std::chrono::seconds(2);

/// How long the upstream of an adopting agent may take to answer with a reset.
inline constexpr Duration AdoptTimeout = std::chrono::seconds(1);

/// How long a search without packets is kept. The caller's retransmissions may
/// be half a minute apart.
inline constexpr Duration SearchRetention = std::chrono::seconds(60);

/// What the coordinator is to do next.
enum class LocateStep : std::uint8_t {
  Wait,
  Found,      ///< `owner` has the flow: forward what is buffered.
  AdoptSelf,  ///< Try the own upstream with what is buffered.
  AdoptOther, ///< Try `owner` with what is buffered, marked as `adopt`.
  Settled,    ///< The adopting agent kept the flow: forget the search.
  Gone,       ///< No agent has the flow: reset the caller and forget.
  GiveUp,     ///< Drop what is buffered; the caller will send it again.
};

/// One search, over as many rounds as the caller keeps sending.
class LocateSearch {
public:
  /// `GoneConfirmation` is how long all members must deny the flow before it
  /// counts as gone.
  explicit LocateSearch(Duration GoneConfirmation)
      : GoneConfirmation(GoneConfirmation) {}

  /// Begins a round for a packet. `SelfMaybe` is true if the coordinator itself
  /// has lost its flow table recently; `Complete` is false if the list of
  /// members may be outdated or is empty, so that the flow cannot count as
  /// gone.
  void beginRound(PacketNumbers Numbers, std::span<const UpstreamId> Members,
                  bool SelfMaybe, bool Complete, Instant Now);

  /// True if a packet may begin a round now.
  bool isIdle(Instant Now) const {
    return this->Phase == State::Idle && Now >= this->NextRound;
  }

  /// True while no round runs.
  bool isBackingOff() const { return this->Phase == State::Idle; }

  /// True while an agent that lost its flow table is tried.
  bool isAdopting() const { return this->Phase == State::Adopting; }

  /// True if the search has had no packet for `SearchRetention`.
  bool isExpired(Instant Now) const {
    return Now - this->LastPacket >= SearchRetention;
  }

  /// Keeps a packet until the owner is known; drops it when there are too many.
  bool buffer(PacketBytes Packet, Instant Now);

  /// Notes a packet that was not buffered.
  void touch(Instant Now) { this->LastPacket = Now; }

  /// Records an answer; a late one that names an owner counts as well.
  void recordReply(const LocateReply &Reply);

  /// Records that the agent that was tried does not have the flow. `By` is
  /// empty for the coordinator itself; false if that agent is not being tried.
  bool recordNotOwner(std::optional<UpstreamId> By);

  /// Decides what to do now.
  LocateStep step(Instant Now);

  /// The owner, or the agent that is tried; empty for the coordinator itself.
  std::optional<UpstreamId> owner() const { return this->Target; }
  Incarnation incarnation() const { return this->Initial; }
  PacketNumbers numbers() const { return this->Numbers; }

  std::vector<std::vector<std::uint8_t>> &buffered() { return this->Buffer; }

private:
  enum class State : std::uint8_t { Idle, Asking, Adopting, Found };
  enum class Answer : std::uint8_t { Silent, No, Maybe };

  struct Member {
    /// Empty for the coordinator itself.
    std::optional<UpstreamId> Id;
    Answer Given = Answer::Silent;
  };

  Member *find(std::optional<UpstreamId> Id);
  bool hasSilent() const;
  LocateStep tryNext(Instant Now);
  LocateStep backOff(Instant Now);

  Duration GoneConfirmation;
  PacketNumbers Numbers;
  std::vector<Member> Members;
  std::vector<std::vector<std::uint8_t>> Buffer;
  std::optional<UpstreamId> Target;
  Incarnation Initial = 0;
  State Phase = State::Idle;
  Instant Deadline;
  Instant NextRound;
  Instant LastPacket;
  Duration NextBackOff = FirstLocateBackOff;
  std::optional<Instant> FirstDenied;
  bool Complete = false;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_LOCATE_H
