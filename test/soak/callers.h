/// \file
/// Callers and the platform's routers: they spread packets over the balancers
/// that are ready.

#ifndef MULBERRYHOIST_TEST_SOAK_CALLERS_H
#define MULBERRYHOIST_TEST_SOAK_CALLERS_H

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

#include "mulberryhoist/datagram.h"
#include "soak/ledger.h"
#include "soak/packet.h"

namespace mulberryhoist::soak {

/// A balancer as the routers see it.
struct RoutedBalancer {
  Endpoint Packets;
  Endpoint Ready;
};

/// What callers use.
struct CallerSettings {
  /// Where all callers receive.
  Endpoint Listen;
  std::vector<RoutedBalancer> Balancers;
  std::uint32_t ServiceAddress = 0;
  std::vector<std::uint16_t> ServicePorts;
  std::uint32_t RequestsPerSecond = 150;
  std::uint64_t Seed = 0;
};

/// Sends requests, one flow each, until it ends.
class Callers {
public:
  /// `IsHeld` tells whether a living upstream holds a flow open.
  Callers(CallerSettings Settings, Ledger &Seen,
          std::function<bool(const FlowKey &)> IsHeld);

  void stopNew() { this->Beginning = false; }
  /// The share of packets that are lost on the way to the balancers.
  void setLoss(double Share) { this->Loss = Share; }

private:
  struct Call {
    std::uint32_t Request = 0;
    std::uint32_t Sequence = 0;
    std::uint32_t Copies = 0;
    std::optional<std::uint32_t> UpstreamSequence;
    Instant Began;
    Instant NextSend;
    Duration Retry{};
  };

  void runRouters(const std::stop_token &Stop);
  void run(const std::stop_token &Stop);
  void begin(Instant Now);
  void take(const RoutedPacket &Packet, Instant Now);
  void resendDue(Instant Now);
  void send(const FlowKey &Key, const Call &Each);
  std::optional<Endpoint> route(const FlowKey &Key);

  CallerSettings Settings;
  Ledger &Seen;
  std::function<bool(const FlowKey &)> IsHeld;
  std::mt19937_64 Random;
  std::map<FlowKey, Call> Calls;
  std::uint32_t NextRequest = 1;
  std::uint16_t NextPort = 1024;
  Instant NextBegin;
  std::atomic<bool> Beginning{true};
  std::atomic<double> Loss{0};
  std::mutex ReadyLock;
  std::vector<std::size_t> Ready;
  DatagramSocket Socket;
  std::jthread Routers;
  std::jthread Thread;
};

} // namespace mulberryhoist::soak

#endif // MULBERRYHOIST_TEST_SOAK_CALLERS_H
