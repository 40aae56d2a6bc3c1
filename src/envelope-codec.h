/// \file
/// The format of datagrams between processes: a length-prefixed protobuf
/// envelope, followed by a packet if the message carries one.

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

/// The largest envelope that is accepted, in bytes. Envelopes that are sent are
/// smaller, within bounds that tests check; the difference leaves room for
/// fields of newer versions.
inline constexpr std::size_t MaxEnvelopeBytes = 512;

/// The longest encoding of the length prefix, a 32-bit varint, in bytes.
inline constexpr std::size_t MaxPrefixBytes = 5;

/// The size of the arena block, in bytes; it holds one envelope with its body
/// and nested messages. For a larger envelope the arena allocates another
/// block.
inline constexpr std::size_t ArenaBytes = 4096;

/// Converts between one variant of typed messages and its envelope.
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

  EnvelopeCodec()
      : MessageArena(this->ArenaBlock.data(), this->ArenaBlock.size()) {}

  Result<Decoded> decode(PacketBytes Bytes) {
    using google::protobuf::io::CodedInputStream;
    if (Bytes.size() > MaxDatagramBytes) {
      return makeError(ErrorKind::OversizedMessage,
                       "datagram exceeds the size limit");
    }
    CodedInputStream Input(Bytes.data(), static_cast<int>(Bytes.size()));
    std::uint32_t Length = 0;
    if (!Input.ReadVarint32(&Length)) {
      return makeError(ErrorKind::MalformedMessage,
                       "missing or invalid length prefix");
    }
    if (Length > MaxEnvelopeBytes) {
      return makeError(ErrorKind::OversizedMessage,
                       "envelope exceeds the size limit");
    }
    const PacketBytes Rest =
        Bytes.subspan(static_cast<std::size_t>(Input.CurrentPosition()));
    if (Length > Rest.size()) {
      return makeError(ErrorKind::MalformedMessage, "truncated envelope");
    }
    auto &Envelope = this->resetEnvelope();
    if (!Envelope.ParseFromArray(Rest.data(), static_cast<int>(Length))) {
      return makeError(ErrorKind::MalformedMessage,
                       "envelope is not a valid protobuf message");
    }
    auto Body = Schema::decode(Envelope);
    if (!Body) {
      return makeError(ErrorKind::MalformedMessage,
                       "missing or out-of-range field");
    }
    const PacketBytes Packet = Rest.subspan(Length);
    if (Schema::hasPacket(*Body) == Packet.empty()) {
      return makeError(ErrorKind::MalformedMessage,
                       "packet missing or not allowed for this message");
    }
    return Decoded{*Body, Packet};
  }

  Result<PacketBytes> encode(const typename Schema::Typed &Body,
                             PacketBytes Packet) {
    using google::protobuf::io::CodedOutputStream;
    if (Schema::hasPacket(Body) == Packet.empty()) {
      return makeError(ErrorKind::MalformedMessage,
                       "packet missing or not allowed for this message");
    }
    auto &Envelope = this->resetEnvelope();
    Schema::encode(Body, Envelope);
    const std::size_t Length = Envelope.ByteSizeLong();
    if (MaxPrefixBytes + Length + Packet.size() > this->Output.size()) {
      return makeError(ErrorKind::OversizedMessage,
                       "message and packet exceed the datagram size limit");
    }
    std::uint8_t *Next = CodedOutputStream::WriteVarint32ToArray(
        static_cast<std::uint32_t>(Length), this->Output.data());
    Next = Envelope.SerializeWithCachedSizesToArray(Next);
    Next = std::copy(Packet.begin(), Packet.end(), Next);
    return PacketBytes(this->Output.data(), Next);
  }

private:
  /// Returns an empty envelope in the reused arena block. Without an arena,
  /// clearing a oneof would free its body and each message would allocate.
  typename Schema::Envelope &resetEnvelope() {
    this->MessageArena.Reset();
    return *google::protobuf::Arena::CreateMessage<typename Schema::Envelope>(
        &this->MessageArena);
  }

  alignas(std::max_align_t) std::array<char, ArenaBytes> ArenaBlock;
  google::protobuf::Arena MessageArena;
  std::array<std::uint8_t, MaxDatagramBytes> Output;
};

} // namespace mulberryhoist::detail

#endif // MULBERRYHOIST_SRC_ENVELOPE_CODEC_H
