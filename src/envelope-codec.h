/// \file
/// The form of a datagram between processes: a length-prefixed protobuf
/// envelope, followed by a packet where the message has one.

#ifndef MULBERRYHOIST_SRC_ENVELOPE_CODEC_H
#define MULBERRYHOIST_SRC_ENVELOPE_CODEC_H

#include <algorithm>
#include <array>
#include <google/protobuf/arena.h>
#include <google/protobuf/io/coded_stream.h>
#include <optional>
#include <utility>

#include "mulberryhoist/wire.h"

namespace mulberryhoist::detail {

/// Largest envelope that is accepted; the tests bound those sent, and the rest
/// leaves room for fields of newer versions.
inline constexpr std::size_t MaxEnvelopeBytes = 512;

/// The longest encoding of the length prefix, a 32-bit varint.
inline constexpr std::size_t MaxPrefixBytes = 5;

/// Room for one envelope with its body and their nested messages. An envelope
/// that does not fit makes the arena allocate a further block.
inline constexpr std::size_t ArenaBytes = 4096;

/// Maps one family of typed messages to its envelope.
template <typename T>
concept EnvelopeSchema = requires(const typename T::Typed &Body,
                                  typename T::Envelope &To) {
  T::encode(Body, To);
  { T::decode(To) } -> std::same_as<std::optional<typename T::Typed>>;
  { T::hasPacket(Body) } -> std::same_as<bool>;
};

/// Encodes and decodes the datagrams of one schema; reuses its buffers.
template <EnvelopeSchema Schema> class EnvelopeCodec {
public:
  struct Decoded {
    typename Schema::Typed Body;
    PacketBytes Packet;
  };

  EnvelopeCodec() : Memory(this->Block.data(), this->Block.size()) {}

  Result<Decoded> decode(PacketBytes Bytes) {
    using google::protobuf::io::CodedInputStream;
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
    auto &Envelope = this->freshEnvelope();
    if (!Envelope.ParseFromArray(Rest.data(), static_cast<int>(Length))) {
      return makeError(ErrorKind::MalformedMessage, "no envelope");
    }
    auto Body = Schema::decode(Envelope);
    if (!Body) {
      return makeError(ErrorKind::MalformedMessage, "invalid message");
    }
    const PacketBytes Packet = Rest.subspan(Length);
    if (Schema::hasPacket(*Body) == Packet.empty()) {
      return makeError(ErrorKind::MalformedMessage, "packet does not fit");
    }
    return Decoded{*Body, Packet};
  }

  Result<PacketBytes> encode(const typename Schema::Typed &Body,
                             PacketBytes Packet) {
    using google::protobuf::io::CodedOutputStream;
    if (Schema::hasPacket(Body) == Packet.empty()) {
      return makeError(ErrorKind::MalformedMessage, "packet does not fit");
    }
    auto &Envelope = this->freshEnvelope();
    Schema::encode(Body, Envelope);
    const std::size_t Length = Envelope.ByteSizeLong();
    if (MaxPrefixBytes + Length + Packet.size() > this->Output.size()) {
      return makeError(ErrorKind::OversizedMessage, "packet too large");
    }
    std::uint8_t *Next = CodedOutputStream::WriteVarint32ToArray(
        static_cast<std::uint32_t>(Length), this->Output.data());
    Next = Envelope.SerializeWithCachedSizesToArray(Next);
    Next = std::copy(Packet.begin(), Packet.end(), Next);
    return PacketBytes(this->Output.data(), Next);
  }

private:
  /// Returns an empty envelope. It lives in a reused block, because clearing a
  /// oneof outside of an arena frees its body.
  typename Schema::Envelope &freshEnvelope() {
    this->Memory.Reset();
    return *google::protobuf::Arena::CreateMessage<typename Schema::Envelope>(
        &this->Memory);
  }

  alignas(std::max_align_t) std::array<char, ArenaBytes> Block;
  google::protobuf::Arena Memory;
  std::array<std::uint8_t, MaxDatagramBytes> Output;
};

} // namespace mulberryhoist::detail

#endif // MULBERRYHOIST_SRC_ENVELOPE_CODEC_H
