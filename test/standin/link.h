/// \file
/// Stand-in of the network between balancers and agents: a UDP relay in front
/// of one process, which can be cut off from others.

#ifndef MULBERRYHOIST_TEST_STANDIN_LINK_H
#define MULBERRYHOIST_TEST_STANDIN_LINK_H

#include <memory>
#include <unordered_map>
#include <unordered_set>

#include "standin/network.h"

namespace mulberryhoist::standin {

/// The addresses on the far side of a partition, shared by all links.
using FarSide = std::unordered_set<Endpoint>;

/// Relays datagrams to a process, from a socket of its own for each sender, and
/// the answers back. Drops them while the partition separates the two ends.
class Link {
public:
  /// `Far` must outlive the link.
  static Result<std::unique_ptr<Link>>
  create(io_context &Io, Endpoint Listen, Endpoint Target, const FarSide &Far);

  Endpoint address() const { return this->Front->address(); }
  std::uint64_t dropped() const { return this->Dropped; }

private:
  Link(io_context &Io, Endpoint Target, const FarSide &Far)
      : Io(Io), Target(Target), Far(Far) {}

  void relay(Endpoint From, PacketBytes Bytes);
  bool isCut(Endpoint Sender) const;

  io_context &Io;
  Endpoint Target;
  const FarSide &Far;
  std::unique_ptr<UdpPort> Front;
  std::unordered_map<Endpoint, std::unique_ptr<UdpPort>> Senders;
  std::uint64_t Dropped = 0;
};

} // namespace mulberryhoist::standin

#endif // MULBERRYHOIST_TEST_STANDIN_LINK_H
