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

/// The largest datagram that is sent or accepted, in bytes.
inline constexpr std::size_t MaxDatagramBytes = 9000;

/// A flow together with its incarnation.
struct FlowIncarnation {
  FlowKey Key;
  Incarnation Initial = 0;

  friend auto operator<=>(const FlowIncarnation &,
                          const FlowIncarnation &) = default;
};

/// Forwards a caller's packet to an agent; the packet follows the envelope.
struct Forward {
  bool Opening = false;
  ServiceId Service;
  UpstreamId Coordinator;
  TableVersion Table;
  bool Relayed = false;
  bool Adopt = false;
};

/// Checks whether an agent is alive.
struct Probe {
  std::uint64_t Sequence = 0;
};

/// Replies to a `Probe`.
struct ProbeReply {
  std::uint64_t Sequence = 0;
  UpstreamId Upstream;
  bool Draining = false;
  std::uint32_t Load = 0;
  TableVersion Table;
};

/// Queries the load of an agent before an opening is offered to it.
struct LoadQuery {
  std::uint64_t Query = 0;
  ServiceId Service;
};

/// Replies to a `LoadQuery`; `Load` is active work per weight in thousandths.
struct LoadReply {
  std::uint64_t Query = 0;
  UpstreamId Upstream;
  std::uint32_t Load = 0;
  bool Room = false;
  bool Draining = false;
};

/// Notifies the coordinator of the agent that owns a flow.
struct OwnerNotice {
  FlowIncarnation Flow;
  UpstreamId Owner;
};

/// The reason why an agent declines an opening.
enum class DeclineReason : std::uint8_t {
  Full,
  Draining,
  WrongService,
  Stale,
  AlreadyRefused,
};

/// Declines an opening for good: the sender has not delivered it to its
/// upstream and never will.
struct Decline {
  FlowIncarnation Flow;
  UpstreamId Upstream;
  DeclineReason Reason = DeclineReason::Full;
};

/// Notifies the coordinator that a relayed packet reached an agent that does
/// not have the flow.
struct NotOwner {
  FlowKey Key;
  UpstreamId Upstream;
};

/// Queries a member of the locate group about the owner of a flow.
struct Locate {
  FlowKey Key;
  /// Sequence and acknowledgment numbers of the packet to be routed.
  std::uint32_t Sequence = 0;
  std::uint32_t Acknowledgment = 0;
};

/// Whether the replying agent owns a flow.
enum class OwnerAnswer : std::uint8_t {
  No,    ///< Not owned here.
  Owns,  ///< Owned here, and the sequence numbers match.
  Maybe, ///< This agent restarted recently and has lost its flow table.
};

/// Replies to a `Locate`.
struct LocateReply {
  /// The incarnation is 0 unless the replying agent owns the flow.
  FlowIncarnation Flow;
  UpstreamId Upstream;
  OwnerAnswer Answer = OwnerAnswer::No;
  /// The acknowledgment number of the `Locate`.
  std::uint32_t Acknowledgment = 0;
};

/// Any message between balancers and agents.
using Message =
    std::variant<Forward, Probe, ProbeReply, LoadQuery, LoadReply, OwnerNotice,
                 Decline, NotOwner, Locate, LocateReply>;

/// A decoded datagram; `Packet` refers to the bytes given to `decode`.
struct Datagram {
  Message Body;
  PacketBytes Packet;
};

/// Encodes and decodes datagrams; not thread-safe, so each thread has its own.
///
/// An instance reuses its buffers: after the first calls, encoding and decoding
/// allocate no memory.
class Codec {
public:
  Codec();
  ~Codec();
  Codec(Codec &&) noexcept;
  Codec &operator=(Codec &&) noexcept;

  /// Decodes a datagram; the error is `MalformedMessage` or `OversizedMessage`.
  Result<Datagram> decode(PacketBytes Bytes);

  /// Encodes a message and its packet; the result is valid until the next call.
  /// The error is `MalformedMessage` if the packet is missing or not allowed,
  /// or `OversizedMessage`.
  Result<PacketBytes> encode(const Message &Body, PacketBytes Packet = {});

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_WIRE_H
