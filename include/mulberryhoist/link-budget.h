/// \file
/// Decides which openings the link of a balancer's own VM can carry, and how
/// long packets wait on it. Free of I/O and clocks.
///
/// Load that it answers: many transfers of some ten kilobytes at a time on a
/// link of some ten Mbit/s, beside short requests that share the link.
/// `docs/design/link-budget.md` gives the reasons.

#ifndef MULBERRYHOIST_LINK_BUDGET_H
#define MULBERRYHOIST_LINK_BUDGET_H

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "mulberryhoist/packet.h"
#include "mulberryhoist/types.h"

namespace mulberryhoist {

/// The bytes that a caller has in flight at most on one flow: 16 packets of
/// 1,200 bytes. A request within one window is short; longer ones are
/// transfers.
inline constexpr std::uint64_t FlowWindow = 19'200;

/// The bytes on the link for each byte of payload: the packet's header, the
/// message's header, and UDP and IP around them.
inline constexpr double LinkOverhead = 1.1;

/// The bytes of a forwarded packet's message, UDP and IP headers, at most.
inline constexpr std::uint64_t ForwardOverhead = 76;

/// The part of the shortest objective that packets may wait on the link; the
/// rest is for the way to the upstream, its work, and the way back.
inline constexpr double QueueShare = 1.0 / 3;

/// The part of the link's rate that is used at most; the rest covers the
/// control path and packets that are sent again.
inline constexpr double UsableShare = 0.9;

/// The part of the link's rate that transfers get however much short requests
/// use.
inline constexpr double TransferShare = 0.1;

/// The least part of the link's rate in use at which the link counts as loaded.
inline constexpr double LoadedShare = 0.7;

/// The least time until sent bytes have left the VM at which the link counts as
/// loaded, whatever its use.
inline constexpr Duration LoadedWait = std::chrono::milliseconds(5);

/// How long a transfer may be silent before it is forgotten; longer than the
/// longest interval between retransmissions, 1.6 s.
inline constexpr Duration TransferIdleLimit = std::chrono::seconds(2);

/// How long a route counts as used after its last opening.
inline constexpr Duration RouteIdleLimit = std::chrono::seconds(30);

/// The time constant of the measured rates.
inline constexpr Duration RateSpan = std::chrono::milliseconds(500);

/// How long nothing must have been refused before the link counts as clear.
inline constexpr Duration ClearDelay = std::chrono::seconds(1);

/// The most requests that are followed; bounds memory, at some hundred bytes
/// each. Flows beyond it are neither followed nor refused.
inline constexpr std::size_t MaxFollowedRequests = 8'192;

/// Bytes per second, decaying with `RateSpan`.
class ByteRate {
public:
  void add(std::uint64_t Bytes, Instant Now);
  double perSecond(Instant Now) const;

private:
  double Level = 0;
  Instant UpdatedAt;
};

/// What a route's callers expect.
struct RouteTerms {
  Endpoint Address;
  /// The latency objective; 0 if unknown.
  Duration Goal{};
  /// How long callers wait for a response; 0 if unknown.
  Duration Timeout{};
  /// 0 is the most urgent.
  std::uint32_t Class = 0;
};

/// What the budget measures and decides, for metrics.
struct LinkFigures {
  double RatePerSecond = 0;
  double UsePerSecond = 0;
  std::size_t Transfers = 0;
  /// Bytes of transfers that may be in flight at once.
  double InFlight = 0;
  bool IsRefusing = false;
};

/// The budget of one link. Not thread-safe.
class LinkBudget {
public:
  /// `BytesPerSecond` is the link's rate in each direction; 0 if it is unknown,
  /// which makes the budget accept everything.
  explicit LinkBudget(std::uint64_t BytesPerSecond);

  /// Returns whether the link can carry the request that an opening of this
  /// route brings, and follows the request if so. `IsCopy` marks a
  /// retransmission, which may have been sent on before and is never refused.
  bool admit(const FlowKey &Flow, std::uint32_t Initial,
             const RouteTerms &Terms, bool IsCopy, Instant Now);

  /// Counts a caller's packet.
  void onPacket(const FlowKey &Flow, const PacketView &View, std::size_t Bytes,
                Instant Now);

  /// Counts bytes that this VM sends.
  void onSent(std::size_t Bytes, Instant Now);

  /// Stops following a request whose opening was refused elsewhere.
  void onRefused(const FlowKey &Flow);

  /// Returns how long a packet may wait on the link for now, in one direction;
  /// zero unless the link is loaded.
  Duration queueDelay(Instant Now) const;

  /// Returns whether openings were refused within `ClearDelay`.
  bool isRefusing(Instant Now) const;

  LinkFigures figures(Instant Now) const;

private:
  /// The requests of one route.
  struct RouteUse {
    RouteTerms Terms;
    /// The payload of a request, as a moving mean; 0 if none has ended yet.
    double MeanBytes = 0;
    Instant LastOpeningAt;
  };

  /// A request that is being sent.
  struct Request {
    Endpoint Route;
    std::uint32_t Initial = 0;
    /// The payload so far.
    std::uint32_t Progress = 0;
    /// The acknowledgment number of the data; a greater one shows that the
    /// upstream has answered.
    std::optional<std::uint32_t> Acknowledgment;
    Instant LastAt;
    /// Whether its beginning went through another balancer, or through this one
    /// as a later request of its flow; its size is not known then.
    bool IsAdopted = false;
  };

  using RequestMap = std::unordered_map<FlowKey, Request>;

  bool isTransfer(const RouteUse &Use) const {
    return Use.MeanBytes > static_cast<double>(FlowWindow);
  }
  double remainingBytes(const Request &Each, const RouteUse &Use) const;
  /// The bytes of all transfers: those that remain, and of those the part that
  /// may be in flight at once.
  struct Outstanding {
    std::size_t Count = 0;
    double Remaining = 0;
    double InFlight = 0;
  };
  Outstanding outstanding(Instant Now) const;
  bool hasTransfer(Endpoint Route, Instant Now) const;
  double transferRate(Instant Now) const;
  Duration queueLimit(const RouteTerms &Terms, Instant Now) const;
  bool canCarry(const RouteUse &Use, Instant Now) const;
  void follow(const FlowKey &Flow, const Request &Begun);
  void finish(RequestMap::iterator Ended);
  void sweep(Instant Now);

  double Rate;
  std::unordered_map<Endpoint, RouteUse> Routes;
  RequestMap Requests;
  ByteRate Received;
  ByteRate Sent;
  /// Received bytes of other packets than those of transfers.
  ByteRate ShortReceived;
  /// The bytes that were sent and have not left the VM, at `DrainedAt`.
  double Unsent = 0;
  Instant DrainedAt;
  Instant NextSweep;
  std::optional<Instant> RefusedAt;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_LINK_BUDGET_H
