/// \file
/// Packets, messages and directories for tests of the steered path.

#ifndef MULBERRYHOIST_TEST_STEER_SAMPLES_H
#define MULBERRYHOIST_TEST_STEER_SAMPLES_H

#include <string>
#include <vector>

#include "mulberryhoist/directory.h"
#include "mulberryhoist/packet-format.h"
#include "mulberryhoist/steer-actions.h"

namespace mulberryhoist::samples {

inline constexpr std::uint16_t PeerPort = 7720;
inline constexpr std::uint32_t BalancerAddress = 0x0A010001;
inline constexpr Endpoint Orders = {0xC6120001, 8080};
inline const ServiceId OrderService = serviceId("orders");
inline const ServiceId TemplateService = serviceId("templates");

/// Returns the address of the agent with this number.
inline std::uint32_t agentAddress(std::uint32_t Number) {
  return 0x0A020000 + Number;
}

/// Returns a flow of the caller with this port.
inline FlowKey flowOf(std::uint16_t Port) {
  return {{0x64400007, Port}, Orders};
}

inline const std::vector<std::uint8_t> &anyBytes() {
  static const std::vector<std::uint8_t> Bytes(32, 1);
  return Bytes;
}

/// Returns an opening whose sequence number is the caller's port.
inline RoutedPacket opening(std::uint16_t Port, Duration Waited = {}) {
  RoutedPacket Packet;
  Packet.View.Source = flowOf(Port).Caller;
  Packet.View.Destination = Orders;
  Packet.View.Sequence = Port;
  Packet.View.Flags.Syn = true;
  Packet.Waited = Waited;
  Packet.Bytes = anyBytes();
  return Packet;
}

/// Returns a packet from the caller, with or without payload.
inline RoutedPacket callerPacket(std::uint16_t Port, std::uint32_t Ack,
                                 bool HasPayload) {
  RoutedPacket Packet = opening(Port);
  Packet.View.Flags.Syn = false;
  Packet.View.Flags.Ack = true;
  Packet.View.Acknowledgment = Ack;
  if (HasPayload) {
    Packet.View.Payload = anyBytes();
  }
  return Packet;
}

/// Returns a packet from the upstream: a SYN-ACK, or a response after it to the
/// request that `callerPacket` returns.
inline RoutedPacket answer(std::uint16_t Port, bool IsHandshake) {
  RoutedPacket Packet;
  Packet.View.Source = Orders;
  Packet.View.Destination = flowOf(Port).Caller;
  Packet.View.Sequence = 5000U + Port + (IsHandshake ? 0U : 1U);
  Packet.View.Acknowledgment =
      Port + (IsHandshake ? 1U : static_cast<std::uint32_t>(anyBytes().size()));
  Packet.View.Flags.Ack = true;
  Packet.View.Flags.Syn = IsHandshake;
  if (!IsHandshake) {
    Packet.View.Payload = anyBytes();
  }
  Packet.Bytes = anyBytes();
  return Packet;
}

/// Returns the caller's packet in the form in which the upstream sends it back.
inline RoutedPacket returned(RoutedPacket Packet, std::uint32_t Tag) {
  Packet.Returned = true;
  Packet.Tag = Tag;
  return Packet;
}

/// Returns the actions of type `T`.
template <typename T> std::vector<T> only(const SteerActionList &Out) {
  std::vector<T> Found;
  for (const SteerAction &Each : Out) {
    if (const auto *Typed = std::get_if<T>(&Each)) {
      Found.push_back(*Typed);
    }
  }
  return Found;
}

/// Returns the sent messages of type `T` with their receivers.
template <typename T>
std::vector<std::pair<std::uint32_t, T>> sent(const SteerActionList &Out) {
  std::vector<std::pair<std::uint32_t, T>> Found;
  for (const SendSteer &Each : only<SendSteer>(Out)) {
    if (const auto *Typed = std::get_if<T>(&Each.Body)) {
      Found.emplace_back(Each.To.Address, *Typed);
    }
  }
  return Found;
}

inline bool decided(const SteerActionList &Out, Decision Kind) {
  for (const RecordDecision &Each : only<RecordDecision>(Out)) {
    if (Each.Kind == Kind) {
      return true;
    }
  }
  return false;
}

inline ListedUpstream upstream(std::uint32_t Number,
                               UpstreamState State = UpstreamState::Ready) {
  ListedUpstream Each;
  Each.Name = "i-" + std::to_string(Number);
  Each.Id = upstreamId(Each.Name);
  Each.Service = OrderService;
  Each.Address = agentAddress(Number);
  Each.Slots = 4;
  Each.State = State;
  return Each;
}

inline RouteSet routes(std::uint64_t Version = 1) {
  Route Each;
  Each.Address = Orders;
  Each.Targets = {{OrderService, 1}};
  Each.Goal = std::chrono::milliseconds(200);
  Each.Timeout = std::chrono::milliseconds(1200);
  return {Version, {Each}};
}

} // namespace mulberryhoist::samples

#endif // MULBERRYHOIST_TEST_STEER_SAMPLES_H
