/// \file
/// Value types used by all components: addresses, flow keys, identifiers, time.

#ifndef MULBERRYHOIST_TYPES_H
#define MULBERRYHOIST_TYPES_H

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "mulberryhoist/error.h"

namespace mulberryhoist {

/// A point on the monotonic clock; decision logic takes it as an argument
/// instead of reading the clock.
using Instant = std::chrono::steady_clock::time_point;

/// A span of monotonic time.
using Duration = std::chrono::steady_clock::duration;

/// The bytes of one datagram or packet; a view of the receive buffer.
using PacketBytes = std::span<const std::uint8_t>;

/// An IPv4 address and port, both in host byte order.
struct Endpoint {
  std::uint32_t Address = 0;
  std::uint16_t Port = 0;

  friend auto operator<=>(const Endpoint &, const Endpoint &) = default;
};

/// Parses `a.b.c.d:port`; returns `InvalidSetting` for any other text.
///
///     parseEndpoint("127.0.0.1:8080")->Port == 8080
Result<Endpoint> parseEndpoint(std::string_view Text);

/// Formats an IPv4 address as `a.b.c.d`.
std::string formatAddress(std::uint32_t Address);

/// Formats an endpoint as `a.b.c.d:port`.
std::string formatEndpoint(Endpoint Value);

/// The two ends of a TCP flow: the caller and the address of the service.
struct FlowKey {
  Endpoint Caller;
  Endpoint Service;

  friend auto operator<=>(const FlowKey &, const FlowKey &) = default;
};

/// The caller's initial sequence number, which distinguishes successive flows
/// with the same key.
using Incarnation = std::uint32_t;

/// An identifier derived from a name, a distinct type for each `Tag`.
template <typename Tag> struct NameId {
  std::uint32_t Value = 0;

  friend bool operator==(const NameId &, const NameId &) = default;

  friend bool operator<(const NameId &A, const NameId &B) {
    return A.Value < B.Value;
  }
};

struct UpstreamTag;
struct ServiceTag;

/// Returns whether the table and the settings allow a text as a name, that is
/// `[a-z0-9-]{1,63}`.
bool isName(std::string_view Text);

/// Identifies an upstream: the hash of its name in the table.
using UpstreamId = NameId<UpstreamTag>;

/// Identifies a service: the hash of its name in the table.
using ServiceId = NameId<ServiceTag>;

/// Returns the identifier of the upstream with this name.
UpstreamId upstreamId(std::string_view Name);

/// Returns the identifier of the service with this name.
ServiceId serviceId(std::string_view Name);

/// The version of a document, ordered by epoch first, then by revision.
struct DocumentVersion {
  std::uint32_t Epoch = 0;
  std::uint64_t Revision = 0;

  friend auto operator<=>(const DocumentVersion &,
                          const DocumentVersion &) = default;
};

/// Returns whether version A is older than B. Use it instead of `<`, since
/// clang-tidy 14 reports errors inside the defaulted comparison at each use.
bool isOlder(const DocumentVersion &A, const DocumentVersion &B);

/// A revision of a source that may come back from an older copy of itself: its
/// revisions then go back and are given out again, and its era rises.
struct SourceRevision {
  SourceRevision(std::uint64_t Number = 0,
                 std::optional<std::uint64_t> Era = std::nullopt)
      : Era(Era), Number(Number) {}

  /// Empty if the source has not told it; this precedes all eras.
  std::optional<std::uint64_t> Era;
  std::uint64_t Number;

  friend bool operator==(const SourceRevision &,
                         const SourceRevision &) = default;
};

/// Returns whether revision A precedes B: by the era first, then by the number.
bool isOlder(const SourceRevision &A, const SourceRevision &B);

/// The version of a table.
using TableVersion = DocumentVersion;

/// Returns a uniformly distributed 64-bit hash of a flow key.
std::uint64_t hashFlow(const FlowKey &Key);

} // namespace mulberryhoist

template <> struct std::hash<mulberryhoist::FlowKey> {
  std::size_t operator()(const mulberryhoist::FlowKey &Key) const noexcept {
    return mulberryhoist::hashFlow(Key);
  }
};

template <typename Tag> struct std::hash<mulberryhoist::NameId<Tag>> {
  std::size_t operator()(const mulberryhoist::NameId<Tag> &Id) const noexcept {
    return Id.Value;
  }
};

template <> struct std::hash<mulberryhoist::Endpoint> {
  std::size_t operator()(const mulberryhoist::Endpoint &Value) const noexcept {
    return (std::size_t{Value.Address} << 16U) | Value.Port;
  }
};

#endif // MULBERRYHOIST_TYPES_H
