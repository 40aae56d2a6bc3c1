/// \file
/// The messages of the steered path, on which upstreams tell by themselves
/// whether they hold a flow, and their codec.

#ifndef MULBERRYHOIST_STEER_WIRE_H
#define MULBERRYHOIST_STEER_WIRE_H

#include <array>
#include <cstdint>
#include <memory>
#include <span>
#include <variant>

#include "mulberryhoist/wire.h"

namespace mulberryhoist {

/// A list of bounded length that is stored in place.
template <typename T, std::size_t Capacity> class InlineList {
public:
  /// Adds a value; false if the list is full.
  bool add(T Value) {
    if (this->Count == Capacity) {
      return false;
    }
    this->Values[this->Count++] = Value;
    return true;
  }

  /// Removes the first value, which must exist.
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

/// An agent that may take a flow. All agents listen at the same port.
struct Candidate {
  std::uint32_t Agent = 0;
  /// Requests that the upstream beside the agent works on at once.
  std::uint32_t Slots = 1;

  friend bool operator==(const Candidate &, const Candidate &) = default;
};

/// The longest list of candidates, which an envelope has room for.
inline constexpr std::size_t MaxSteerCandidates = 56;

/// The most services among which one address can be split.
inline constexpr std::size_t MaxSplit = 8;

using CandidateList = InlineList<Candidate, MaxSteerCandidates>;
using ServiceList = InlineList<ServiceId, MaxSplit>;

/// Carries a caller's packet along the candidates of its flow.
struct Steer {
  /// The services whose upstreams may get the packet; never empty.
  ServiceList Services;
  /// The agents to ask after the receiver.
  CandidateList Next;
  /// The address of the balancer that took the packet from the caller.
  std::uint32_t Balancer = 0;
  /// The receiver takes an opening whatever its load.
  bool Final = false;
  /// The balancer wants to know which agent holds the flow.
  bool Notify = false;
  /// Slots of the upstream beside the receiver.
  std::uint32_t Slots = 1;
  /// The latency objective of the service.
  std::chrono::milliseconds Goal{0};
  /// How long callers wait for an answer; 0 if it is not known.
  std::chrono::milliseconds Timeout{0};
  /// The class of the route; 0 is the most urgent.
  std::uint32_t Class = 0;
  /// The least loaded agent that passed the opening on, if any did.
  Candidate LeastLoaded{0, 0};
  std::uint32_t LeastLoad = 0;
  std::uint32_t Hops = 0;
};

/// Tells a balancer which agent holds a flow; the sender is that agent.
struct Taken {
  FlowIncarnation Flow;
  /// The initial sequence number of the upstream; 0 if it is not known.
  std::uint32_t Sequence = 0;
  std::uint32_t Load = 0;
  bool Leaving = false;
};

/// Tells a balancer that an opening was refused, so that it asks no others; the
/// caller knows already.
struct Refused {
  FlowIncarnation Flow;
};

/// Asks an agent whether it answers.
struct Check {
  std::uint64_t Sequence = 0;
};

/// Answers a `Check`.
struct CheckReply {
  std::uint64_t Sequence = 0;
  bool Leaving = false;
};

/// Any message of the steered path.
using SteerMessage = std::variant<Steer, Taken, Refused, Check, CheckReply>;

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
