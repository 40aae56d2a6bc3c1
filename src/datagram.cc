#include "mulberryhoist/datagram.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <fmt/format.h>
#include <poll.h>

#include "mulberryhoist/log.h"
#include "mulberryhoist/wire.h"

namespace mulberryhoist {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

/// Holds about 50 ms of 1,500-byte packets at 1 Gbit/s. The operating system
/// may grant less.
constexpr int RequestedBufferBytes = 8 * 1024 * 1024;

/// The most datagrams that one call discards, so that it ends even if datagrams
/// arrive faster than they are discarded; more than the receive buffer can
/// hold.
constexpr std::size_t MaxDiscardedDatagrams = std::size_t{1} << 16U;

/// The most sockets that one call of `waitAny` polls.
constexpr std::size_t MaxPolledSockets = 4;

udp::endpoint toAsio(Endpoint Value) {
  return {asio::ip::address_v4(Value.Address), Value.Port};
}

Endpoint fromAsio(const udp::endpoint &Value) {
  return {Value.address().to_v4().to_uint(), Value.port()};
}

void enlargeBuffers(udp::socket &Socket) {
  error_code Code;
  Socket.set_option(asio::socket_base::send_buffer_size(RequestedBufferBytes),
                    Code);
  Socket.set_option(
      asio::socket_base::receive_buffer_size(RequestedBufferBytes), Code);
  asio::socket_base::receive_buffer_size Granted;
  Socket.get_option(Granted, Code);
  if (!Code && Granted.value() < RequestedBufferBytes) {
    log(LogLevel::Info,
        "receive buffer of a UDP socket is smaller than requested",
        {{"wanted_bytes", RequestedBufferBytes},
         {"granted_bytes", Granted.value()}});
  }
}

bool isBufferFull(const error_code &Code) {
  return Code == asio::error::would_block || Code == asio::error::try_again ||
         Code == asio::error::no_buffer_space;
}

} // namespace

struct DatagramSocket::State {
  asio::io_context Context{1};
  udp::socket Socket{Context};
  Endpoint Address;
  /// One byte larger than the largest datagram, to detect a truncated one.
  std::array<std::uint8_t, MaxDatagramBytes + 1> Buffer;
};

DatagramSocket::DatagramSocket(std::unique_ptr<State> Impl)
    : Impl(std::move(Impl)) {}
DatagramSocket::DatagramSocket(DatagramSocket &&) noexcept = default;
DatagramSocket &DatagramSocket::operator=(DatagramSocket &&) noexcept = default;
DatagramSocket::~DatagramSocket() = default;

Result<DatagramSocket> DatagramSocket::create(Endpoint Listen) {
  auto Impl = std::make_unique<State>();
  udp::socket &Socket = Impl->Socket;
  error_code Code;
  Socket.open(udp::v4(), Code);
  if (!Code) {
    Socket.bind(toAsio(Listen), Code);
  }
  if (!Code) {
    Socket.non_blocking(true, Code);
  }
  if (Code) {
    return makeError(ErrorKind::InvalidSetting,
                     fmt::format("cannot open UDP socket at {}: {}",
                                 formatEndpoint(Listen), Code.message()));
  }
  enlargeBuffers(Socket);
  Impl->Address = fromAsio(Socket.local_endpoint());
  return DatagramSocket(std::move(Impl));
}

std::optional<ReceivedDatagram> DatagramSocket::receive() {
  udp::endpoint From;
  error_code Code;
  const std::size_t Size = this->Impl->Socket.receive_from(
      asio::buffer(this->Impl->Buffer), From, 0, Code);
  if (Code) {
    return std::nullopt;
  }
  const std::size_t Kept = std::min(Size, MaxDatagramBytes);
  return ReceivedDatagram{fromAsio(From),
                          PacketBytes(this->Impl->Buffer.data(), Kept),
                          Size > MaxDatagramBytes};
}

void DatagramSocket::wait(Duration Timeout) {
  const DatagramSocket *Self = this;
  waitAny({&Self, 1}, Timeout);
}

void DatagramSocket::waitAny(std::span<const DatagramSocket *const> Sockets,
                             Duration Timeout) {
  const Duration Bounded = std::max(Timeout, Duration::zero());
  const auto Seconds =
      std::chrono::duration_cast<std::chrono::seconds>(Bounded);
  const std::chrono::nanoseconds Remainder = Bounded - Seconds;
  const timespec Time = {Seconds.count(), Remainder.count()};
  std::array<pollfd, MaxPolledSockets> Entries = {};
  std::size_t Count = 0;
  for (const DatagramSocket *Each :
       Sockets.first(std::min(Sockets.size(), MaxPolledSockets))) {
    Entries[Count++] = {Each->Impl->Socket.native_handle(), POLLIN, 0};
  }
  // The result does not matter: the caller tries to receive in any case.
  (void)ppoll(Entries.data(), Count, &Time, nullptr);
}

Result<void> DatagramSocket::send(Endpoint To, PacketBytes Bytes) {
  error_code Code;
  this->Impl->Socket.send_to(asio::buffer(Bytes.data(), Bytes.size()),
                             toAsio(To), 0, Code);
  if (!Code) {
    return {};
  }
  if (isBufferFull(Code)) {
    // Short enough for std::string to store without an allocation.
    return makeError(ErrorKind::RingFull, "buffer full");
  }
  return makeError(ErrorKind::PeerUnreachable,
                   fmt::format("cannot send {} bytes to {}: {}", Bytes.size(),
                               formatEndpoint(To), Code.message()));
}

std::size_t DatagramSocket::discardWaiting() {
  std::size_t Count = 0;
  while (Count < MaxDiscardedDatagrams && this->receive()) {
    ++Count;
  }
  return Count;
}

Endpoint DatagramSocket::address() const { return this->Impl->Address; }

} // namespace mulberryhoist
