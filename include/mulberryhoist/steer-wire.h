/// \file
/// The messages of the steered path, on which upstreams return packets of flows
/// that they do not hold, and the codec of these messages.

#ifndef MULBERRYHOIST_STEER_WIRE_H
#define MULBERRYHOIST_STEER_WIRE_H

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <span>
#include <variant>

#include "mulberryhoist/wire.h"

namespace mulberryhoist {

/// A list of bounded length whose elements are stored in the object.
template <typename T, std::size_t Capacity> class InlineList {
public:
  /// Appends a value, or returns false if the list is full.
  bool add(T Value) {
    if (this->Count == Capacity) {
      return false;
    }
    this->Values[this->Count++] = Value;
    return true;
  }

  /// Removes and returns the first value; the list must not be empty.
  T takeFirst() {
    const T First = this->Values[0];
    std::copy(this->Values.begin() + 1, this->Values.begin() + this->Count,
              this->Values.begin());
    --this->Count;
    return First;
  }

  std::span<const T> view() const { return {this->Values.data(), this->Count}; }
  std::size_t size() const { return this->Count; }
  bool empty() const { return this->Count == 0; }
  bool contains(const T &Value) const {
    return std::find(this->view().begin(), this->view().end(), Value) !=
           this->view().end();
  }

private:
  std::array<T, Capacity> Values = {};
  std::size_t Count = 0;
};

/// An agent that may accept a flow; all agents listen at the same port.
struct Candidate {
  std::uint32_t Agent = 0;
  /// Requests that the upstream beside the agent processes concurrently.
  std::uint32_t Slots = 1;
  /// How long the upstream stays cold; set only where that limits it.
  std::chrono::milliseconds ColdLeft{0};

  friend bool operator==(const Candidate &, const Candidate &) = default;
};

/// Maximum number of candidates; an envelope has room for that many.
inline constexpr std::size_t MaxSteerCandidates = 56;

/// Maximum number of services among which one address can be split.
inline constexpr std::size_t MaxSteerServices = 8;

using CandidateList = InlineList<Candidate, MaxSteerCandidates>;
using ServiceList = InlineList<ServiceId, MaxSteerServices>;

/// Carries a caller's packet to the candidates of its flow, one after another.
struct Steer {
  /// The services whose upstreams may receive the packet; never empty.
  ServiceList Services;
  /// The candidates after the receiver, in order.
  CandidateList Next;
  /// The address of the balancer that received the packet from the caller.
  std::uint32_t Balancer = 0;
  /// The receiver does not forward the opening because of its load.
  bool Final = false;
  /// The balancer requests a `Taken` message from the owner of the flow.
  bool Notify = false;
  /// Slots of the upstream beside the receiver.
  std::uint32_t Slots = 1;
  /// The latency objective of the service.
  std::chrono::milliseconds Goal{0};
  /// How long callers wait for a response; 0 if it is not known.
  std::chrono::milliseconds Timeout{0};
  /// The class of the route; 0 is the most urgent.
  std::uint32_t Class = 0;
  /// The least loaded agent that forwarded the opening; address 0 if none did.
  Candidate LeastLoaded{0, 0};
  std::uint32_t LeastLoad = 0;
  std::uint32_t Hops = 0;
  /// The balancer's number of the search that the message is part of, or 0.
  std::uint32_t Search = 0;
  /// An upstream that was asked may hold the flow: it has neither answered nor
  /// returned its packets.
  bool Incomplete = false;
  /// Agents that do not know the flow pass the packet on without asking their
  /// upstreams.
  bool KnownOnly = false;
  /// An agent whose upstream takes no new flows has given the opening back.
  bool Displaced = false;
  /// How long the opening was held before that.
  std::chrono::milliseconds Waited{0};
  /// Requests in any second that a cold upstream of the service may get; 0 if
  /// there is no limit.
  std::uint32_t ColdLimit = 0;
  /// How long the upstream beside the receiver stays cold.
  std::chrono::milliseconds ColdLeft{0};
};

/// Notifies a balancer that the sender is the owner of a flow or holds its
/// opening.
struct Taken {
  FlowIncarnation Flow;
  /// The initial sequence number of the upstream; 0 if it is not known.
  std::uint32_t Sequence = 0;
  std::uint32_t Load = 0;
  bool Leaving = false;
};

/// Notifies a balancer that an opening was refused, so that it offers it to no
/// other agent; the caller has been notified already.
struct Refused {
  FlowIncarnation Flow;
};

/// Notifies a balancer that each upstream to which a packet was sent has
/// returned it, and carries the packet.
struct NotHeld {
  /// `Steer::Search` of the packet's message.
  std::uint32_t Search = 0;
  /// `Steer::Incomplete` of the packet's last message; some upstream has not
  /// returned the packet then.
  bool Incomplete = false;
};

/// Returns an opening to the balancer that sent it, because the upstream takes
/// no new flows any more, and carries its packet.
struct Displaced {
  /// How long the opening was held.
  std::chrono::milliseconds Waited{0};
};

/// Notifies an agent whether its upstream takes new flows.
struct IntakeNotice {
  ServiceId Service;
  /// The revision of the source that decided it.
  SourceRevision Revision;
  bool IsClosed = false;
};

/// Checks whether an agent is alive.
struct Check {
  std::uint64_t Sequence = 0;
};

/// Replies to a `Check`, or announces with sequence 0 that the agent leaves.
struct CheckReply {
  std::uint64_t Sequence = 0;
  bool Leaving = false;
};

/// Any message of the steered path.
using SteerMessage = std::variant<Steer, Taken, Refused, NotHeld, Check,
                                  CheckReply, IntakeNotice, Displaced>;

/// A decoded datagram; `Packet` points into the decoded bytes.
struct SteerDatagram {
  SteerMessage Body;
  PacketBytes Packet;
};

/// Encodes and decodes datagrams of the steered path; one instance for each
/// thread.
class SteerCodec {
public:
  SteerCodec();
  ~SteerCodec();
  SteerCodec(SteerCodec &&) noexcept;
  SteerCodec &operator=(SteerCodec &&) noexcept;

  /// Decodes a datagram, or reports `MalformedMessage` or `OversizedMessage`.
  Result<SteerDatagram> decode(PacketBytes Bytes);

  /// Encodes a message and packet; the result is valid until the next call.
  Result<PacketBytes> encode(const SteerMessage &Body, PacketBytes Packet = {});

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_STEER_WIRE_H
