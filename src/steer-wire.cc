#include "mulberryhoist/steer-wire.h"

#include <algorithm>

#include "envelope-codec.h"
#include "flow-codec.h"

namespace mulberryhoist {
namespace {

/// Maximum number of slots of one upstream; a message with more is malformed.
constexpr std::uint32_t MaxSlots = 65'535;

bool isCold(const Candidate &Each) { return Each.ColdLeft.count() != 0; }

void write(const Steer &From, proto::SteerEnvelope &Envelope) {
  proto::Steer &To = *Envelope.mutable_steer();
  for (const ServiceId Each : From.Services.view()) {
    To.add_services(Each.Value);
  }
  for (const Candidate &Each : From.Next.view()) {
    To.add_candidates(Each.Agent);
    To.add_slots(Each.Slots);
  }
  To.set_balancer(From.Balancer);
  To.set_final(From.Final);
  To.set_notify(From.Notify);
  To.set_own_slots(From.Slots);
  To.set_goal_ms(static_cast<std::uint32_t>(From.Goal.count()));
  To.set_timeout_ms(static_cast<std::uint32_t>(From.Timeout.count()));
  To.set_urgency(From.Class);
  To.set_least_loaded(From.LeastLoaded.Agent);
  To.set_least_slots(From.LeastLoaded.Slots);
  To.set_least_load(From.LeastLoad);
  To.set_hops(From.Hops);
  To.set_search(From.Search);
  To.set_incomplete(From.Incomplete);
  To.set_known_only(From.KnownOnly);
  To.set_displaced(From.Displaced);
  To.set_waited_ms(static_cast<std::uint32_t>(From.Waited.count()));
  To.set_cold_limit(From.ColdLimit);
  To.set_own_cold_ms(static_cast<std::uint32_t>(From.ColdLeft.count()));
  if (std::ranges::any_of(From.Next.view(), isCold)) {
    for (const Candidate &Each : From.Next.view()) {
      To.add_cold_ms(static_cast<std::uint32_t>(Each.ColdLeft.count()));
    }
  }
}

void write(const Taken &From, proto::SteerEnvelope &Envelope) {
  proto::Taken &To = *Envelope.mutable_taken();
  detail::writeFlow(From.Flow, *To.mutable_flow());
  To.set_sequence(From.Sequence);
  To.set_load(From.Load);
  To.set_leaving(From.Leaving);
}

void write(const Refused &From, proto::SteerEnvelope &Envelope) {
  detail::writeFlow(From.Flow, *Envelope.mutable_refused()->mutable_flow());
}

void write(const NotHeld &From, proto::SteerEnvelope &Envelope) {
  proto::NotHeld &To = *Envelope.mutable_not_held();
  To.set_search(From.Search);
  To.set_incomplete(From.Incomplete);
}

void write(const Displaced &From, proto::SteerEnvelope &Envelope) {
  Envelope.mutable_displaced()->set_waited_ms(
      static_cast<std::uint32_t>(From.Waited.count()));
}

void write(const IntakeNotice &From, proto::SteerEnvelope &Envelope) {
  proto::IntakeNotice &To = *Envelope.mutable_intake_notice();
  To.set_service(From.Service.Value);
  To.set_revision(From.Revision.Number);
  if (From.Revision.Era) {
    To.set_era(*From.Revision.Era);
  }
  To.set_closed(From.IsClosed);
}

void write(const Check &From, proto::SteerEnvelope &Envelope) {
  Envelope.mutable_check()->set_sequence(From.Sequence);
}

void write(const CheckReply &From, proto::SteerEnvelope &Envelope) {
  proto::CheckReply &To = *Envelope.mutable_check_reply();
  To.set_sequence(From.Sequence);
  To.set_leaving(From.Leaving);
}

bool isValidSlotCount(std::uint32_t Value) {
  return Value >= 1 && Value <= MaxSlots;
}

std::optional<SteerMessage> read(const proto::Steer &From) {
  Steer To;
  for (const std::uint32_t Each : From.services()) {
    if (!To.Services.add({Each})) {
      return std::nullopt;
    }
  }
  const bool HasCold = From.cold_ms_size() != 0;
  if (From.candidates_size() != From.slots_size() ||
      (HasCold && From.cold_ms_size() != From.candidates_size()) ||
      To.Services.empty() || !isValidSlotCount(From.own_slots()) ||
      (From.least_loaded() != 0 && !isValidSlotCount(From.least_slots()))) {
    return std::nullopt;
  }
  for (int I = 0; I < From.candidates_size(); ++I) {
    if (!isValidSlotCount(From.slots(I)) ||
        !To.Next.add(
            {From.candidates(I), From.slots(I),
             std::chrono::milliseconds(HasCold ? From.cold_ms(I) : 0)})) {
      return std::nullopt;
    }
  }
  To.Balancer = From.balancer();
  To.Final = From.final();
  To.Notify = From.notify();
  To.Slots = From.own_slots();
  To.Goal = std::chrono::milliseconds(From.goal_ms());
  To.Timeout = std::chrono::milliseconds(From.timeout_ms());
  To.Class = From.urgency();
  To.LeastLoaded = {From.least_loaded(), From.least_slots()};
  To.LeastLoad = From.least_load();
  To.Hops = From.hops();
  To.Search = From.search();
  To.Incomplete = From.incomplete();
  To.KnownOnly = From.known_only();
  To.Displaced = From.displaced();
  To.Waited = std::chrono::milliseconds(From.waited_ms());
  To.ColdLimit = From.cold_limit();
  To.ColdLeft = std::chrono::milliseconds(From.own_cold_ms());
  return To;
}

std::optional<SteerMessage> read(const proto::Taken &From) {
  const auto Flow = detail::readFlow(From);
  if (!Flow) {
    return std::nullopt;
  }
  return Taken{*Flow, From.sequence(), From.load(), From.leaving()};
}

std::optional<SteerMessage> read(const proto::Refused &From) {
  const auto Flow = detail::readFlow(From);
  return Flow ? std::optional<SteerMessage>(Refused{*Flow}) : std::nullopt;
}

std::optional<SteerMessage> read(const proto::IntakeNotice &From) {
  // The greatest number stands for an unknown revision in directories; a notice
  // with it, or with the greatest era, could not be replaced by a newer one.
  constexpr auto Greatest = std::numeric_limits<std::uint64_t>::max();
  if (From.revision() == Greatest || From.era() == Greatest) {
    return std::nullopt;
  }
  SourceRevision Revision = From.revision();
  if (From.has_era()) {
    Revision.Era = From.era();
  }
  return IntakeNotice{{From.service()}, Revision, From.closed()};
}

/// The schema of the steered path's envelopes; `Steer`, `NotHeld` and
/// `Displaced` carry a packet.
struct Schema {
  using Typed = SteerMessage;
  using Envelope = proto::SteerEnvelope;

  static void encode(const SteerMessage &Body, Envelope &To) {
    std::visit([&To](const auto &Each) { write(Each, To); }, Body);
  }

  static std::optional<SteerMessage> decode(const Envelope &From) {
    switch (From.body_case()) {
    case Envelope::kSteer:
      return read(From.steer());
    case Envelope::kTaken:
      return read(From.taken());
    case Envelope::kRefused:
      return read(From.refused());
    case Envelope::kNotHeld:
      return NotHeld{From.not_held().search(), From.not_held().incomplete()};
    case Envelope::kDisplaced:
      return Displaced{std::chrono::milliseconds(From.displaced().waited_ms())};
    case Envelope::kIntakeNotice:
      return read(From.intake_notice());
    case Envelope::kCheck:
      return Check{From.check().sequence()};
    case Envelope::kCheckReply:
      return CheckReply{From.check_reply().sequence(),
                        From.check_reply().leaving()};
    case Envelope::BODY_NOT_SET:
      break;
    }
    return std::nullopt;
  }

  static bool hasPacket(const SteerMessage &Body) {
    return std::holds_alternative<Steer>(Body) ||
           std::holds_alternative<NotHeld>(Body) ||
           std::holds_alternative<Displaced>(Body);
  }
};

} // namespace

struct SteerCodec::State {
  detail::EnvelopeCodec<Schema> Envelopes;
};

SteerCodec::SteerCodec() : Impl(std::make_unique<State>()) {}
SteerCodec::~SteerCodec() = default;
SteerCodec::SteerCodec(SteerCodec &&) noexcept = default;
SteerCodec &SteerCodec::operator=(SteerCodec &&) noexcept = default;

Result<SteerDatagram> SteerCodec::decode(PacketBytes Bytes) {
  auto Decoded = this->Impl->Envelopes.decode(Bytes);
  if (!Decoded) {
    return tl::unexpected<Error>(std::move(Decoded.error()));
  }
  return SteerDatagram{Decoded->Body, Decoded->Packet};
}

Result<PacketBytes> SteerCodec::encode(const SteerMessage &Body,
                                       PacketBytes Packet) {
  return this->Impl->Envelopes.encode(Body, Packet);
}

} // namespace mulberryhoist
