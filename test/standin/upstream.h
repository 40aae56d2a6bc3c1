/// \file
/// Stand-in of an upstream: a minimal TCP endpoint over UDP datagrams that each
/// hold one IP packet.

#ifndef MULBERRYHOIST_TEST_STANDIN_UPSTREAM_H
#define MULBERRYHOIST_TEST_STANDIN_UPSTREAM_H

#include <memory>
#include <vector>

#include "mulberryhoist/types.h"
#include "standin/connection.h"
#include "standin/network.h"

namespace mulberryhoist::standin {

/// Settings of an upstream.
struct UpstreamOptions {
  /// Receives IP packets; answers go to the last sender of each connection.
  Endpoint Listen;
  /// HTTP: runs, health and control.
  Endpoint Control;
  std::size_t Slots = 4;
  std::size_t Connections = 2000;
  /// Multiplies the speed of every request.
  double Speed = 1;
  /// Service time is `ColdFactor` times longer at start, falling to 1 over
  /// `ColdTime`.
  Duration ColdTime{};
  double ColdFactor = 1;
  /// How old the health report is.
  Duration HealthLag{};
  /// Service addresses that this upstream serves; empty for all.
  std::vector<Endpoint> Services;
  std::uint64_t Seed = 1;
  ConnectionOptions Tcp;
};

/// Serves requests and records every execution. HTTP paths:
///
/// - `GET /runs`: executions with id, service and outcome;
/// - `GET /health`: state and load, late or wrong if set so;
/// - `GET /stats`: counters;
/// - `POST /control?speed=F&shed=0|1&drain=0|1&mislead=0|1&health-lag-ms=N`.
class UpstreamHost {
public:
  static Result<std::unique_ptr<UpstreamHost>> create(io_context &Io,
                                                      UpstreamOptions Options);
  ~UpstreamHost();

  Endpoint address() const;
  Endpoint control() const;

private:
  struct State;
  explicit UpstreamHost(std::shared_ptr<State> Impl);
  std::shared_ptr<State> Impl;
};

} // namespace mulberryhoist::standin

#endif // MULBERRYHOIST_TEST_STANDIN_UPSTREAM_H
