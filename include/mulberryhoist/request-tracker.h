/// \file
/// What the sequence numbers of a flow show of its requests.

#ifndef MULBERRYHOIST_REQUEST_TRACKER_H
#define MULBERRYHOIST_REQUEST_TRACKER_H

#include <cstdint>
#include <optional>

#include "mulberryhoist/packet.h"

namespace mulberryhoist {

/// Tracks whether a flow has an open request: one whose data has begun to
/// arrive and whose response has not begun.
///
/// Only data beyond the highest sequence number seen belongs to a new request
/// or continues the open one, so that reordered and retransmitted segments
/// change nothing. Requests that a caller pipelines count as one.
class RequestTracker {
public:
  /// What a caller's packet does to the request of its flow.
  enum class CallerEvent : std::uint8_t {
    None,      ///< No new data.
    Begins,    ///< The first data of a request.
    Continues, ///< More data of the open request.
    Aborts,    ///< The caller reset the flow while a request was open.
  };

  RequestTracker() = default;

  /// Tracks a flow whose next data from the caller begins at `CallerNext`.
  explicit RequestTracker(std::uint32_t CallerNext)
      : CallerNext(CallerNext), AnsweredUpTo(CallerNext) {}

  CallerEvent onCallerPacket(const PacketView &Packet);

  /// Handles a packet that the upstream sent, and returns whether it begins the
  /// response to an open request or ends the flow before one.
  bool onUpstreamPacket(const PacketView &Packet);

  bool isOpen() const { return this->Open; }

  /// Returns whether the caller's last segment with new data was as long as the
  /// longest of the flow, so that the request probably continues.
  bool expectsMoreData() const {
    return this->Open && this->LastLength == this->LongestLength &&
           this->Segments > 1;
  }

  /// Returns whether an acknowledgment number of the caller is one of this
  /// upstream's sequence numbers: only the upstream whose SYN-ACK the caller
  /// accepted sent it.
  bool hasSent(std::uint32_t Acknowledgment) const;

private:
  /// The sequence number after the caller's newest data.
  std::uint32_t CallerNext = 0;
  /// The sequence number after the data that the upstream had received when its
  /// last response began.
  std::uint32_t AnsweredUpTo = 0;
  /// The initial sequence number of the upstream, once it has responded.
  std::optional<std::uint32_t> UpstreamInitial;
  /// The sequence number after the upstream's newest data.
  std::optional<std::uint32_t> UpstreamNext;
  std::size_t LastLength = 0;
  std::size_t LongestLength = 0;
  /// Segments with new data of the open request.
  std::uint32_t Segments = 0;
  bool Open = false;
  /// Set after the upstream's FIN or RST, or the caller's RST.
  bool Ended = false;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_REQUEST_TRACKER_H
