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
  /// Larger than `MaxDatagramBytes`; `Bytes` holds only the beginning.
  bool Truncated = false;
};

/// A bound, non-blocking UDP socket; allocates nothing to send or receive.
class DatagramSocket {
public:
  /// Binds to an address; port 0 picks a free port.
  static Result<DatagramSocket> create(Endpoint Listen);

  DatagramSocket(DatagramSocket &&) noexcept;
  DatagramSocket &operator=(DatagramSocket &&) noexcept;
  ~DatagramSocket();

  /// Receives what is waiting; empty if there is nothing.
  std::optional<ReceivedDatagram> receive();

  /// Waits until a datagram can be received or the time is over.
  void wait(Duration Timeout);

  /// Waits until one of several sockets can be received from or the time is
  /// over.
  static void waitAny(std::span<const DatagramSocket *const> Sockets,
                      Duration Timeout);

  /// Sends a datagram; a full send buffer is `RingFull`, another failure
  /// `PeerUnreachable`.
  Result<void> send(Endpoint To, PacketBytes Bytes);

  /// Drops everything that is waiting and returns how many datagrams that were.
  std::size_t discardWaiting();

  /// The address that the socket is bound to.
  Endpoint address() const;

private:
  struct State;
  explicit DatagramSocket(std::unique_ptr<State> Impl);
  std::unique_ptr<State> Impl;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_DATAGRAM_H
