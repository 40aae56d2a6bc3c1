#include "mulberryhoist/types.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <fmt/format.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace mulberryhoist {
namespace {

/// Consumes a decimal number of at most `Max` and the separator after it; with
/// the separator `'\0'` the number must end the text.
Result<std::uint32_t> consumeNumber(std::string_view &Text, std::uint32_t Max,
                                    char Separator) {
  std::uint32_t Value = 0;
  const char *First = Text.data();
  const char *Last = First + Text.size();
  const auto [Stop, Code] = std::from_chars(First, Last, Value);
  if (Code != std::errc() || Stop == First || Value > Max) {
    return makeError(ErrorKind::InvalidSetting, "number out of range");
  }
  Text.remove_prefix(static_cast<std::size_t>(Stop - First));
  if (Separator == '\0') {
    if (!Text.empty()) {
      return makeError(ErrorKind::InvalidSetting, "trailing characters");
    }
    return Value;
  }
  if (Text.empty() || Text.front() != Separator) {
    return makeError(ErrorKind::InvalidSetting, "missing separator");
  }
  Text.remove_prefix(1);
  return Value;
}

std::uint32_t hashName(std::string_view Name) {
  return XXH32(Name.data(), Name.size(), 0);
}

} // namespace

Result<Endpoint> parseEndpoint(std::string_view Text) {
  constexpr std::uint32_t MaxOctet = 255;
  constexpr std::uint32_t MaxPort = 65535;
  constexpr std::array<char, 4> Separators = {'.', '.', '.', ':'};
  const std::string Original(Text);
  Endpoint Value;
  for (const char Separator : Separators) {
    const auto Octet = consumeNumber(Text, MaxOctet, Separator);
    if (!Octet) {
      return makeError(ErrorKind::InvalidSetting,
                       fmt::format("'{}' is not IPv4:port", Original));
    }
    Value.Address = (Value.Address << 8U) | *Octet;
  }
  const auto Port = consumeNumber(Text, MaxPort, '\0');
  if (!Port) {
    return makeError(ErrorKind::InvalidSetting,
                     fmt::format("'{}' is not IPv4:port", Original));
  }
  Value.Port = static_cast<std::uint16_t>(*Port);
  return Value;
}

std::string formatAddress(std::uint32_t Address) {
  return fmt::format("{}.{}.{}.{}", Address >> 24U, (Address >> 16U) & 0xFFU,
                     (Address >> 8U) & 0xFFU, Address & 0xFFU);
}

std::string formatEndpoint(Endpoint Value) {
  return fmt::format("{}:{}", formatAddress(Value.Address), Value.Port);
}

bool isName(std::string_view Text) {
  constexpr std::size_t MaxNameLength = 63;
  return !Text.empty() && Text.size() <= MaxNameLength &&
         std::all_of(Text.begin(), Text.end(), [](char Character) {
           return (Character >= 'a' && Character <= 'z') ||
                  (Character >= '0' && Character <= '9') || Character == '-';
         });
}

bool isOlder(const DocumentVersion &A, const DocumentVersion &B) {
  return A.Epoch != B.Epoch ? A.Epoch < B.Epoch : A.Revision < B.Revision;
}

bool isOlder(const SourceRevision &A, const SourceRevision &B) {
  return A.Era != B.Era ? A.Era < B.Era : A.Number < B.Number;
}

UpstreamId upstreamId(std::string_view Name) { return {hashName(Name)}; }

ServiceId serviceId(std::string_view Name) { return {hashName(Name)}; }

std::uint64_t hashFlow(const FlowKey &Key) {
  const std::array<std::uint32_t, 4> Words = {
      Key.Caller.Address, Key.Caller.Port, Key.Service.Address,
      Key.Service.Port};
  return XXH3_64bits(Words.data(), sizeof(Words));
}

} // namespace mulberryhoist
