#include "mulberryhoist/exchange.h"

#include <algorithm>
#include <fmt/format.h>
#include <google/protobuf/stubs/logging.h>
#include <optional>

#include "mulberryhoist.pb.h"

namespace mulberryhoist {
namespace {

using std::chrono::milliseconds;

std::string_view nameOf(DocumentKind Document) {
  return Document == DocumentKind::Table ? "table" : "vms";
}

std::optional<DocumentKind> kindOf(std::string_view Name) {
  if (Name == nameOf(DocumentKind::Table)) {
    return DocumentKind::Table;
  }
  if (Name == nameOf(DocumentKind::VmList)) {
    return DocumentKind::VmList;
  }
  return std::nullopt;
}

void encodeVersion(DocumentVersion From, proto::Version &To) {
  To.set_epoch(From.Epoch);
  To.set_revision(From.Revision);
}

DocumentVersion decodeVersion(const proto::Version &From) {
  return {From.epoch(), From.revision()};
}

std::uint64_t encodeAge(milliseconds Age) {
  return static_cast<std::uint64_t>(std::max(Age, milliseconds(0)).count());
}

/// Bounds an age, so that arithmetic with it cannot overflow.
milliseconds decodeAge(std::uint64_t Age) {
  constexpr auto Max = static_cast<std::uint64_t>(NeverConfirmed.count());
  return milliseconds(std::min(Age, Max));
}

void encodeBody(const DigestMessage &From, proto::Exchange &To) {
  proto::Digest &Body = *To.mutable_digest();
  Body.set_document(std::string(nameOf(From.Document)));
  encodeVersion(From.Version, *Body.mutable_version());
  Body.set_digest(From.Digest);
  Body.set_age_ms(encodeAge(From.Age));
}

void encodeBody(const PullMessage &From, proto::Exchange &To) {
  proto::Pull &Body = *To.mutable_pull();
  Body.set_document(std::string(nameOf(From.Document)));
  encodeVersion(From.Since, *Body.mutable_since());
  Body.set_whole(From.Whole);
}

void encodeBody(const ChangesMessage &From, proto::Exchange &To) {
  proto::Changes &Body = *To.mutable_changes();
  Body.set_document(std::string(nameOf(From.Document)));
  encodeVersion(From.Base, *Body.mutable_base());
  encodeVersion(From.Version, *Body.mutable_version());
  Body.set_digest(From.Digest);
  Body.set_age_ms(encodeAge(From.Age));
  Body.set_whole(From.Whole);
  for (const ExchangeRow &Each : From.Rows) {
    proto::Row &Row = *Body.add_rows();
    Row.set_key(Each.Key);
    Row.set_value(Each.Value);
    encodeVersion(Each.Changed, *Row.mutable_changed());
    Row.set_deleted(Each.Deleted);
    Row.set_deleted_age_ms(encodeAge(Each.DeletedAge));
  }
}

ChangesMessage decodeChanges(DocumentKind Document,
                             const proto::Changes &From) {
  ChangesMessage Message{Document,
                         decodeVersion(From.base()),
                         decodeVersion(From.version()),
                         From.digest(),
                         decodeAge(From.age_ms()),
                         From.whole(),
                         {}};
  Message.Rows.reserve(static_cast<std::size_t>(From.rows_size()));
  for (const proto::Row &Row : From.rows()) {
    Message.Rows.push_back({Row.key(), Row.value(),
                            decodeVersion(Row.changed()), Row.deleted(),
                            decodeAge(Row.deleted_age_ms())});
  }
  return Message;
}

/// Disables the log of protobuf, which writes plain text to standard error
/// about strings that are not UTF-8. Only messages of the exchange have
/// strings.
void silenceProtobuf() {
  // `SetLogHandler` is not thread-safe; the initialisation of a static is.
  [[maybe_unused]] static auto *const Previous =
      google::protobuf::SetLogHandler(nullptr);
}

tl::unexpected<Error> malformed(std::string_view Problem) {
  return makeError(ErrorKind::MalformedMessage,
                   fmt::format("document exchange: {}", Problem));
}

} // namespace

DocumentKind documentOf(const ExchangeMessage &Message) {
  return std::visit([](const auto &Body) { return Body.Document; }, Message);
}

std::string encodeExchange(const ExchangeMessage &Message) {
  silenceProtobuf();
  proto::Exchange Encoded;
  std::visit([&Encoded](const auto &Body) { encodeBody(Body, Encoded); },
             Message);
  return Encoded.SerializeAsString();
}

Result<ExchangeMessage> decodeExchange(PacketBytes Bytes) {
  if (Bytes.size() > MaxExchangeBytes) {
    return makeError(
        ErrorKind::OversizedMessage,
        fmt::format("document exchange: {} bytes exceeds the limit of {}",
                    Bytes.size(), MaxExchangeBytes));
  }
  silenceProtobuf();
  proto::Exchange Decoded;
  if (!Decoded.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size()))) {
    return malformed("the protobuf message cannot be parsed");
  }
  std::optional<DocumentKind> Document;
  switch (Decoded.body_case()) {
  case proto::Exchange::kDigest:
    Document = kindOf(Decoded.digest().document());
    break;
  case proto::Exchange::kPull:
    Document = kindOf(Decoded.pull().document());
    break;
  case proto::Exchange::kChanges:
    Document = kindOf(Decoded.changes().document());
    break;
  default:
    return malformed("the message has no body");
  }
  if (!Document) {
    return malformed("unknown document name");
  }
  if (Decoded.has_digest()) {
    const proto::Digest &Body = Decoded.digest();
    return DigestMessage{*Document, decodeVersion(Body.version()),
                         Body.digest(), decodeAge(Body.age_ms())};
  }
  if (Decoded.has_pull()) {
    return PullMessage{*Document, decodeVersion(Decoded.pull().since()),
                       Decoded.pull().whole()};
  }
  return decodeChanges(*Document, Decoded.changes());
}

} // namespace mulberryhoist
