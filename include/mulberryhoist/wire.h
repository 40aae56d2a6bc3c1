/// \file
/// The messages between balancers and agents, and their codec.

#ifndef MULBERRYHOIST_WIRE_H
#define MULBERRYHOIST_WIRE_H

#include <cstddef>
#include <cstdint>
#include <memory>
#include <variant>
#include <vector>

#include "mulberryhoist/types.h"

namespace mulberryhoist {

/// The largest datagram that is accepted or sent, in bytes.
inline constexpr std::size_t MaxDatagramBytes = 9000;

/// A flow together with its incarnation.
struct FlowIncarnation {
  FlowKey Key;
  Incarnation Initial = 0;

  friend auto operator<=>(const FlowIncarnation &,
                          const FlowIncarnation &) = default;
};

/// Carries a caller's packet to an agent; the packet follows the envelope.
struct Forward {
  bool Opening = false;
  ServiceId Service;
  UpstreamId Coordinator;
  TableVersion Table;
  bool Relayed = false;
  bool Adopt = false;
};

/// Asks an agent whether it is alive.
struct Probe {
  std::uint64_t Sequence = 0;
};

/// Answers a `Probe`.
struct ProbeReply {
  std::uint64_t Sequence = 0;
  UpstreamId Upstream;
  bool Draining = false;
  std::uint32_t Load = 0;
  TableVersion Table;
};

/// Asks an agent for its load before an opening is placed.
struct LoadQuery {
  std::uint64_t Query = 0;
  ServiceId Service;
};

/// Answers a `LoadQuery`; `Load` is active work per weight in thousandths.
struct LoadReply {
  std::uint64_t Query = 0;
  UpstreamId Upstream;
  std::uint32_t Load = 0;
  bool Room = false;
  bool Draining = false;
};

/// Tells the coordinator which agent owns a flow.
struct OwnerNotice {
  FlowIncarnation Flow;
  UpstreamId Owner;
};

/// Why an agent declines an opening.
enum class DeclineReason : std::uint8_t {
  Full,
  Draining,
  WrongService,
  Stale,
  AlreadyRefused,
};

/// A definite "no" to an opening: it has not run here and never will.
struct Decline {
  FlowIncarnation Flow;
  UpstreamId Upstream;
  DeclineReason Reason = DeclineReason::Full;
};

/// Tells the coordinator that a relayed packet reached an agent without that
/// flow.
struct NotOwner {
  FlowKey Key;
  UpstreamId Upstream;
};

/// Asks the members of the locate group who owns a flow.
struct Locate {
  FlowKey Key;
  /// Sequence and acknowledgment number of the packet whose owner is sought.
  std::uint32_t Sequence = 0;
  std::uint32_t Acknowledgment = 0;
};

/// What an agent knows about the owner of a flow.
enum class OwnerAnswer : std::uint8_t {
  No,    ///< Not owned here.
  Owns,  ///< Owned here, and the sequence numbers fit.
  Maybe, ///< This agent restarted recently and has lost its flow table.
};

/// Answers a `Locate`.
struct LocateReply {
  /// The incarnation is 0 unless the flow is owned here.
  FlowIncarnation Flow;
  UpstreamId Upstream;
  OwnerAnswer Answer = OwnerAnswer::No;
  /// Repeats the acknowledgment number of the `Locate`.
  std::uint32_t Acknowledgment = 0;
};

/// Any message between balancers and agents.
using Message =
    std::variant<Forward, Probe, ProbeReply, LoadQuery, LoadReply, OwnerNotice,
                 Decline, NotOwner, Locate, LocateReply>;

/// A decoded datagram; `Packet` points into the decoded bytes.
struct Datagram {
  Message Body;
  PacketBytes Packet;
};

/// Encodes and decodes datagrams; one instance for each thread.
///
/// The instance reuses its buffers, so that encoding and decoding allocate
/// nothing once warm.
class Codec {
public:
  Codec();
  ~Codec();
  Codec(Codec &&) noexcept;
  Codec &operator=(Codec &&) noexcept;

  /// Decodes a datagram, or reports `MalformedMessage` or `OversizedMessage`.
  Result<Datagram> decode(PacketBytes Bytes);

  /// Encodes a message and packet; the result is valid until the next call.
  Result<PacketBytes> encode(const Message &Body, PacketBytes Packet = {});

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_WIRE_H
