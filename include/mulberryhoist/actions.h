/// \file
/// The actions that decision logic returns for the process to perform.

#ifndef MULBERRYHOIST_ACTIONS_H
#define MULBERRYHOIST_ACTIONS_H

#include <variant>
#include <vector>

#include "mulberryhoist/packet.h"
#include "mulberryhoist/types.h"
#include "mulberryhoist/wire.h"

namespace mulberryhoist {

/// Send a message, with an optional packet, to an agent or balancer.
struct SendMessage {
  Endpoint To;
  Message Body;
  PacketBytes Packet;
};

/// Deliver a caller's packet to the upstream of this agent.
struct DeliverToUpstream {
  PacketBytes Packet;
};

/// Send a packet to its caller.
struct SendToCaller {
  PacketBytes Packet;
};

/// Deliver a reset to the upstream of this agent, which aborts the connection
/// and its work.
struct ResetUpstream {
  ResetPacket Packet;
};

/// Send a reset to a caller.
struct ResetCaller {
  ResetPacket Packet;
  /// `RefusedNotRun` or `OutcomeUnknown`.
  ErrorKind Reason;
};

/// Count an error; the process logs it at a limited rate.
struct ReportError {
  ErrorKind Kind;
};

/// Any action. Packet bytes stay valid until the next call into the logic that
/// produced the action or until the input buffer is reused.
using Action = std::variant<SendMessage, DeliverToUpstream, SendToCaller,
                            ResetUpstream, ResetCaller, ReportError>;

/// The list that decision logic appends to; the process clears and reuses it.
using ActionList = std::vector<Action>;

} // namespace mulberryhoist

#endif // MULBERRYHOIST_ACTIONS_H
