/// \file
/// The UDP socket of a data thread.

#ifndef MULBERRYHOIST_DATAGRAM_H
#define MULBERRYHOIST_DATAGRAM_H

#include <memory>
#include <optional>
#include <span>

#include "mulberryhoist/types.h"

namespace mulberryhoist {

/// A received datagram; `Bytes` is valid until the next receive.
struct ReceivedDatagram {
  Endpoint From;
  PacketBytes Bytes;
  /// True if the datagram is larger than `MaxDatagramBytes`; `Bytes` holds only
  /// its beginning.
  bool Truncated = false;
};

/// A bound, non-blocking UDP socket; sending and receiving allocate no memory.
class DatagramSocket {
public:
  /// Opens a socket bound to an address; port 0 picks a free port.
  /// `InvalidSetting` if the address cannot be bound.
  static Result<DatagramSocket> create(Endpoint Listen);

  DatagramSocket(DatagramSocket &&) noexcept;
  DatagramSocket &operator=(DatagramSocket &&) noexcept;
  ~DatagramSocket();

  /// Receives one datagram without blocking; empty if none is queued.
  std::optional<ReceivedDatagram> receive();

  /// Waits until a datagram can be received or the time-out expires.
  void wait(Duration Timeout);

  /// Waits until a datagram can be received on one of at most four sockets or
  /// the time-out expires.
  static void waitAny(std::span<const DatagramSocket *const> Sockets,
                      Duration Timeout);

  /// Sends a datagram; `RingFull` if the send buffer is full,
  /// `PeerUnreachable` on any other failure.
  Result<void> send(Endpoint To, PacketBytes Bytes);

  /// Discards the queued datagrams and returns their number.
  std::size_t discardWaiting();

  /// Returns the address that the socket is bound to.
  Endpoint address() const;

private:
  struct State;
  explicit DatagramSocket(std::unique_ptr<State> Impl);
  std::unique_ptr<State> Impl;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_DATAGRAM_H
