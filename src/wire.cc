#include "mulberryhoist/wire.h"

#include <optional>

#include "envelope-codec.h"
#include "flow-codec.h"

namespace mulberryhoist {
namespace {

using detail::readFlow;
using detail::writeFlow;

// Each `write` copies a typed message into the envelope.

void write(const TableVersion &From, proto::Version &To) {
  To.set_epoch(From.Epoch);
  To.set_revision(From.Revision);
}

void write(const Forward &From, proto::Envelope &Envelope) {
  proto::Forward &To = *Envelope.mutable_forward();
  To.set_opening(From.Opening);
  To.set_service(From.Service.Value);
  To.set_home(From.Coordinator.Value);
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
  writeFlow(From.Flow, *To.mutable_flow());
  To.set_owner(From.Owner.Value);
}

void write(const Decline &From, proto::Envelope &Envelope) {
  proto::Decline &To = *Envelope.mutable_decline();
  writeFlow(From.Flow, *To.mutable_flow());
  To.set_upstream(From.Upstream.Value);
  To.set_reason(static_cast<std::uint32_t>(From.Reason));
}

void write(const NotOwner &From, proto::Envelope &Envelope) {
  proto::NotOwner &To = *Envelope.mutable_not_owner();
  writeFlow(FlowIncarnation{From.Key, 0}, *To.mutable_flow());
  To.set_upstream(From.Upstream.Value);
}

void write(const Locate &From, proto::Envelope &Envelope) {
  proto::Locate &To = *Envelope.mutable_locate();
  writeFlow(FlowIncarnation{From.Key, 0}, *To.mutable_flow());
  To.set_sequence(From.Sequence);
  To.set_acknowledgment(From.Acknowledgment);
}

void write(const LocateReply &From, proto::Envelope &Envelope) {
  proto::LocateReply &To = *Envelope.mutable_locate_reply();
  writeFlow(From.Flow, *To.mutable_flow());
  To.set_upstream(From.Upstream.Value);
  To.set_answer(static_cast<std::uint32_t>(From.Answer));
  To.set_acknowledgment(From.Acknowledgment);
}

// Each `read` returns nothing if a field is missing or out of range.

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

/// Maps `Message` to its envelope; only `Forward` carries a packet.
struct Schema {
  using Typed = Message;
  using Envelope = proto::Envelope;

  static void encode(const Message &Body, Envelope &To) {
    std::visit([&To](const auto &Typed) { write(Typed, To); }, Body);
  }
  static std::optional<Message> decode(const Envelope &From) {
    return read(From);
  }
  static bool hasPacket(const Message &Body) {
    return std::holds_alternative<Forward>(Body);
  }
};

} // namespace

struct Codec::State {
  detail::EnvelopeCodec<Schema> Envelopes;
};

Codec::Codec() : Impl(std::make_unique<State>()) {}
Codec::~Codec() = default;
Codec::Codec(Codec &&) noexcept = default;
Codec &Codec::operator=(Codec &&) noexcept = default;

Result<Datagram> Codec::decode(PacketBytes Bytes) {
  auto Decoded = this->Impl->Envelopes.decode(Bytes);
  if (!Decoded) {
    return tl::unexpected<Error>(std::move(Decoded.error()));
  }
  return Datagram{Decoded->Body, Decoded->Packet};
}

Result<PacketBytes> Codec::encode(const Message &Body, PacketBytes Packet) {
  return this->Impl->Envelopes.encode(Body, Packet);
}

} // namespace mulberryhoist
