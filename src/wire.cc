#include "mulberryhoist/wire.h"

#include <algorithm>
#include <array>
#include <google/protobuf/arena.h>
#include <google/protobuf/io/coded_stream.h>
#include <limits>
#include <optional>

#include "mulberryhoist.pb.h"

namespace mulberryhoist {
namespace {

using google::protobuf::io::CodedInputStream;
using google::protobuf::io::CodedOutputStream;

/// Largest envelope that is accepted; the test bounds those sent at 46
/// bytes, and the rest leaves room for fields of newer versions.
constexpr std::size_t MaxEnvelopeBytes = 512;

/// The longest encoding of the length prefix, a 32-bit varint.
constexpr std::size_t MaxPrefixBytes = 5;

/// Room for one envelope with its body and their nested messages. An envelope
/// that does not fit makes the arena allocate a further block.
constexpr std::size_t ArenaBytes = 4096;

// The writers copy a typed message into the envelope.

void write(const FlowIncarnation &From, proto::Flow &To) {
  To.set_caller_address(From.Key.Caller.Address);
  To.set_caller_port(From.Key.Caller.Port);
  To.set_service_address(From.Key.Service.Address);
  To.set_service_port(From.Key.Service.Port);
  To.set_incarnation(From.Initial);
}

void write(const TableVersion &From, proto::Version &To) {
  To.set_epoch(From.Epoch);
  To.set_revision(From.Revision);
}

void write(const Forward &From, proto::Envelope &Envelope) {
  proto::Forward &To = *Envelope.mutable_forward();
  To.set_opening(From.Opening);
  To.set_service(From.Service.Value);
  To.set_home(From.Home.Value);
  write(From.Table, *To.mutable_table());
  To.set_relayed(From.Relayed);
  To.set_adopt(From.Adopt);
}

void write(const Probe &From, proto::Envelope &Envelope) {
  Envelope.mutable_probe()->set_sequence(From.Sequence);
}

void write(const ProbeReply &From, proto::Envelope &Envelope) {
  proto::ProbeReply &To = *Envelope.mutable_probe_reply();
  To.set_sequence(From.Sequence);
  To.set_upstream(From.Upstream.Value);
  To.set_draining(From.Draining);
  To.set_load(From.Load);
  write(From.Table, *To.mutable_table());
}

void write(const LoadQuery &From, proto::Envelope &Envelope) {
  proto::LoadQuery &To = *Envelope.mutable_load_query();
  To.set_query(From.Query);
  To.set_service(From.Service.Value);
}

void write(const LoadReply &From, proto::Envelope &Envelope) {
  proto::LoadReply &To = *Envelope.mutable_load_reply();
  To.set_query(From.Query);
  To.set_upstream(From.Upstream.Value);
  To.set_load(From.Load);
  To.set_room(From.Room);
  To.set_draining(From.Draining);
}

void write(const OwnerNotice &From, proto::Envelope &Envelope) {
  proto::OwnerNotice &To = *Envelope.mutable_owner_notice();
  write(From.Flow, *To.mutable_flow());
  To.set_owner(From.Owner.Value);
}

void write(const Decline &From, proto::Envelope &Envelope) {
  proto::Decline &To = *Envelope.mutable_decline();
  write(From.Flow, *To.mutable_flow());
  To.set_upstream(From.Upstream.Value);
  To.set_reason(static_cast<std::uint32_t>(From.Reason));
}

void write(const NotOwner &From, proto::Envelope &Envelope) {
  proto::NotOwner &To = *Envelope.mutable_not_owner();
  write(FlowIncarnation{From.Key, 0}, *To.mutable_flow());
  To.set_upstream(From.Upstream.Value);
}

void write(const Locate &From, proto::Envelope &Envelope) {
  proto::Locate &To = *Envelope.mutable_locate();
  write(FlowIncarnation{From.Key, 0}, *To.mutable_flow());
  To.set_sequence(From.Sequence);
  To.set_acknowledgment(From.Acknowledgment);
}

void write(const LocateReply &From, proto::Envelope &Envelope) {
  proto::LocateReply &To = *Envelope.mutable_locate_reply();
  write(From.Flow, *To.mutable_flow());
  To.set_upstream(From.Upstream.Value);
  To.set_answer(static_cast<std::uint32_t>(From.Answer));
  To.set_acknowledgment(From.Acknowledgment);
}

// The readers return nothing if a value is missing or out of its range.

bool isPort(std::uint32_t Value) {
  return Value <= std::numeric_limits<std::uint16_t>::max();
}

/// Reads the flow of a message that must have one.
template <typename T>
std::optional<FlowIncarnation> readFlow(const T &WithFlow) {
  const proto::Flow &From = WithFlow.flow();
  if (!WithFlow.has_flow() || !isPort(From.caller_port()) ||
      !isPort(From.service_port())) {
    return std::nullopt;
  }
  const Endpoint Caller = {From.caller_address(),
                           static_cast<std::uint16_t>(From.caller_port())};
  const Endpoint Service = {From.service_address(),
                            static_cast<std::uint16_t>(From.service_port())};
  return FlowIncarnation{{Caller, Service}, From.incarnation()};
}

TableVersion read(const proto::Version &From) {
  return {From.epoch(), From.revision()};
}

std::optional<Message> read(const proto::Forward &From) {
  return Forward{From.opening(),     {From.service()}, {From.home()},
                 read(From.table()), From.relayed(),   From.adopt()};
}

std::optional<Message> read(const proto::Probe &From) {
  return Probe{From.sequence()};
}

std::optional<Message> read(const proto::ProbeReply &From) {
  return ProbeReply{From.sequence(),
                    {From.upstream()},
                    From.draining(),
                    From.load(),
                    read(From.table())};
}

std::optional<Message> read(const proto::LoadQuery &From) {
  return LoadQuery{From.query(), {From.service()}};
}

std::optional<Message> read(const proto::LoadReply &From) {
  return LoadReply{From.query(),
                   {From.upstream()},
                   From.load(),
                   From.room(),
                   From.draining()};
}

std::optional<Message> read(const proto::OwnerNotice &From) {
  const auto Flow = readFlow(From);
  if (!Flow) {
    return std::nullopt;
  }
  return OwnerNotice{*Flow, {From.owner()}};
}

std::optional<Message> read(const proto::Decline &From) {
  constexpr auto Last =
      static_cast<std::uint32_t>(DeclineReason::AlreadyRefused);
  const auto Flow = readFlow(From);
  if (!Flow || From.reason() > Last) {
    return std::nullopt;
  }
  return Decline{
      *Flow, {From.upstream()}, static_cast<DeclineReason>(From.reason())};
}

std::optional<Message> read(const proto::NotOwner &From) {
  const auto Flow = readFlow(From);
  if (!Flow) {
    return std::nullopt;
  }
  return NotOwner{Flow->Key, {From.upstream()}};
}

std::optional<Message> read(const proto::Locate &From) {
  const auto Flow = readFlow(From);
  if (!Flow) {
    return std::nullopt;
  }
  return Locate{Flow->Key, From.sequence(), From.acknowledgment()};
}

std::optional<Message> read(const proto::LocateReply &From) {
  constexpr auto Last = static_cast<std::uint32_t>(OwnerAnswer::Maybe);
  const auto Flow = readFlow(From);
  if (!Flow || From.answer() > Last) {
    return std::nullopt;
  }
  return LocateReply{*Flow,
                     {From.upstream()},
                     static_cast<OwnerAnswer>(From.answer()),
                     From.acknowledgment()};
}

std::optional<Message> read(const proto::Envelope &Envelope) {
  switch (Envelope.body_case()) {
  case proto::Envelope::kForward:
    return read(Envelope.forward());
  case proto::Envelope::kProbe:
    return read(Envelope.probe());
  case proto::Envelope::kProbeReply:
    return read(Envelope.probe_reply());
  case proto::Envelope::kLoadQuery:
    return read(Envelope.load_query());
  case proto::Envelope::kLoadReply:
    return read(Envelope.load_reply());
  case proto::Envelope::kOwnerNotice:
    return read(Envelope.owner_notice());
  case proto::Envelope::kDecline:
    return read(Envelope.decline());
  case proto::Envelope::kNotOwner:
    return read(Envelope.not_owner());
  case proto::Envelope::kLocate:
    return read(Envelope.locate());
  case proto::Envelope::kLocateReply:
    return read(Envelope.locate_reply());
  case proto::Envelope::BODY_NOT_SET:
    break;
  }
  return std::nullopt;
}

/// True if a packet follows exactly where the message needs one.
bool packetFits(const Message &Body, PacketBytes Packet) {
  return std::holds_alternative<Forward>(Body) != Packet.empty();
}

} // namespace

struct Codec::State {
  State() : Memory(this->Block.data(), this->Block.size()) {}

  /// Returns an empty envelope. It lives in a reused block, because clearing a
  /// oneof outside of an arena frees its body.
  proto::Envelope &freshEnvelope() {
    this->Memory.Reset();
    return *google::protobuf::Arena::CreateMessage<proto::Envelope>(
        &this->Memory);
  }

  alignas(std::max_align_t) std::array<char, ArenaBytes> Block;
  google::protobuf::Arena Memory;
  std::array<std::uint8_t, MaxDatagramBytes> Output;
};

Codec::Codec() : Impl(std::make_unique<State>()) {}
Codec::~Codec() = default;
Codec::Codec(Codec &&) noexcept = default;
Codec &Codec::operator=(Codec &&) noexcept = default;

Result<Datagram> Codec::decode(PacketBytes Bytes) {
  if (Bytes.size() > MaxDatagramBytes) {
    return makeError(ErrorKind::OversizedMessage, "datagram too large");
  }
  CodedInputStream Input(Bytes.data(), static_cast<int>(Bytes.size()));
  std::uint32_t Length = 0;
  if (!Input.ReadVarint32(&Length)) {
    return makeError(ErrorKind::MalformedMessage, "no length prefix");
  }
  if (Length > MaxEnvelopeBytes) {
    return makeError(ErrorKind::OversizedMessage, "envelope too large");
  }
  const PacketBytes Rest =
      Bytes.subspan(static_cast<std::size_t>(Input.CurrentPosition()));
  if (Length > Rest.size()) {
    return makeError(ErrorKind::MalformedMessage, "truncated envelope");
  }
  proto::Envelope &Envelope = this->Impl->freshEnvelope();
  if (!Envelope.ParseFromArray(Rest.data(), static_cast<int>(Length))) {
    return makeError(ErrorKind::MalformedMessage, "no envelope");
  }
  const std::optional<Message> Body = read(Envelope);
  if (!Body) {
    return makeError(ErrorKind::MalformedMessage, "invalid message");
  }
  const PacketBytes Packet = Rest.subspan(Length);
  if (!packetFits(*Body, Packet)) {
    return makeError(ErrorKind::MalformedMessage, "packet does not fit");
  }
  return Datagram{*Body, Packet};
}

Result<PacketBytes> Codec::encode(const Message &Body, PacketBytes Packet) {
  if (!packetFits(Body, Packet)) {
    return makeError(ErrorKind::MalformedMessage, "packet does not fit");
  }
  proto::Envelope &Envelope = this->Impl->freshEnvelope();
  std::visit([&Envelope](const auto &Typed) { write(Typed, Envelope); }, Body);
  const std::size_t Length = Envelope.ByteSizeLong();
  auto &Output = this->Impl->Output;
  if (MaxPrefixBytes + Length + Packet.size() > Output.size()) {
    return makeError(ErrorKind::OversizedMessage, "packet too large");
  }
  std::uint8_t *Next = CodedOutputStream::WriteVarint32ToArray(
      static_cast<std::uint32_t>(Length), Output.data());
  Next = Envelope.SerializeWithCachedSizesToArray(Next);
  Next = std::copy(Packet.begin(), Packet.end(), Next);
  return PacketBytes(Output.data(), Next);
}

} // namespace mulberryhoist
