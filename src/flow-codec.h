/// \file
/// Conversion between `FlowIncarnation` and its protobuf message.

#ifndef MULBERRYHOIST_SRC_FLOW_CODEC_H
#define MULBERRYHOIST_SRC_FLOW_CODEC_H

#include <limits>
#include <optional>

#include "mulberryhoist.pb.h"
#include "mulberryhoist/wire.h"

namespace mulberryhoist::detail {

inline void writeFlow(const FlowIncarnation &From, proto::Flow &To) {
  To.set_caller_address(From.Key.Caller.Address);
  To.set_caller_port(From.Key.Caller.Port);
  To.set_service_address(From.Key.Service.Address);
  To.set_service_port(From.Key.Service.Port);
  To.set_incarnation(From.Initial);
}

inline bool isPort(std::uint32_t Value) {
  return Value <= std::numeric_limits<std::uint16_t>::max();
}

/// Reads the flow of a message; empty if it is absent or has an invalid port.
template <typename T> std::optional<FlowIncarnation> readFlow(const T &Body) {
  const proto::Flow &From = Body.flow();
  if (!Body.has_flow() || !isPort(From.caller_port()) ||
      !isPort(From.service_port())) {
    return std::nullopt;
  }
  const Endpoint Caller = {From.caller_address(),
                           static_cast<std::uint16_t>(From.caller_port())};
  const Endpoint Service = {From.service_address(),
                            static_cast<std::uint16_t>(From.service_port())};
  return FlowIncarnation{{Caller, Service}, From.incarnation()};
}

} // namespace mulberryhoist::detail

#endif // MULBERRYHOIST_SRC_FLOW_CODEC_H
