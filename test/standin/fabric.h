/// \file
/// Stand-in of the network fabric: sprays callers' packets over the balancers
/// and carries answers back, with faults on request.

#ifndef MULBERRYHOIST_TEST_STANDIN_FABRIC_H
#define MULBERRYHOIST_TEST_STANDIN_FABRIC_H

#include <memory>
#include <vector>

#include "mulberryhoist/types.h"
#include "standin/network.h"

namespace mulberryhoist::standin {

/// What happens to packets on their way; the shares are from 0 to 1.
struct FabricFaults {
  double Drop = 0;
  double Duplicate = 0;
  double Reorder = 0;
  Duration Delay{};
  /// Extra delay of a reordered packet.
  Duration ReorderDelay = std::chrono::milliseconds(5);
};

/// Settings of the fabric.
struct FabricOptions {
  /// Receives callers' packets.
  Endpoint Listen;
  /// Receives the agents' packets and is the sender towards the balancers.
  Endpoint Egress;
  Endpoint Control;
  std::vector<Endpoint> Balancers;
  FabricFaults Faults;
  std::uint64_t Seed = 1;
};

/// Carries packets; a caller is known by the source address of its packets.
/// HTTP paths:
///
/// - `POST /balancers?list=ADDRESS,...`: spray over these from now on;
/// - `POST /faults?drop=F&duplicate=F&reorder=F&delay-ms=N&reorder-ms=N`;
/// - `POST /cut?address=A`, `POST /heal?address=A`: stop or resume all packets
///   from and to a balancer or agent (`IPv4:port`), or a caller (`IPv4:0`);
///   `POST /heal` without address resumes all;
/// - `GET /stats`: counters.
class Fabric {
public:
  static Result<std::unique_ptr<Fabric>> create(io_context &Io,
                                                FabricOptions Options);
  ~Fabric();

  Endpoint address() const;
  Endpoint egress() const;
  Endpoint control() const;

private:
  struct State;
  explicit Fabric(std::shared_ptr<State> Impl);
  std::shared_ptr<State> Impl;
};

/// Parses a list of addresses separated by commas; wrong ones are an error.
Result<std::vector<Endpoint>> parseEndpoints(std::string_view Text);

} // namespace mulberryhoist::standin

#endif // MULBERRYHOIST_TEST_STANDIN_FABRIC_H
