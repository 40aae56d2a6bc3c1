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

/// Holds about 50 ms of 1,500-byte packets at 1 Gbit/s. The system may grant
/// less.
constexpr int WantedBufferBytes = 8 * 1024 * 1024;

/// Upper bound of one discard, so that a flood cannot keep it from ending; more
/// datagrams than the receive buffer can hold.
constexpr std::size_t MaxDiscarded = std::size_t{1} << 16U;

/// The most sockets that one thread waits for.
constexpr std::size_t MaxWaitedSockets = 4;

udp::endpoint toAsio(Endpoint Value) {
  return {asio::ip::address_v4(Value.Address), Value.Port};
}

Endpoint fromAsio(const udp::endpoint &Value) {
  return {Value.address().to_v4().to_uint(), Value.port()};
}

void growBuffers(udp::socket &Socket) {
  error_code Code;
  Socket.set_option(asio::socket_base::send_buffer_size(WantedBufferBytes),
                    Code);
  Socket.set_option(asio::socket_base::receive_buffer_size(WantedBufferBytes),
                    Code);
  asio::socket_base::receive_buffer_size Granted;
  Socket.get_option(Granted, Code);
  if (!Code && Granted.value() < WantedBufferBytes) {
    log(LogLevel::Info, "the system limits the receive buffer",
        {{"wanted_bytes", WantedBufferBytes},
         {"granted_bytes", Granted.value()}});
  }
}

bool isFull(const error_code &Code) {
  return Code == asio::error::would_block || Code == asio::error::try_again ||
         Code == asio::error::no_buffer_space;
}

} // namespace

struct DatagramSocket::State {
  asio::io_context Context{1};
  udp::socket Socket{Context};
  Endpoint Address;
  /// One byte more than the largest datagram shows that one was truncated.
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
                     fmt::format("cannot receive datagrams at {}: {}",
                                 formatEndpoint(Listen), Code.message()));
  }
  growBuffers(Socket);
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
  const std::chrono::nanoseconds Rest = Bounded - Seconds;
  const timespec Time = {Seconds.count(), Rest.count()};
  std::array<pollfd, MaxWaitedSockets> Entries = {};
  std::size_t Count = 0;
  for (const DatagramSocket *Each :
       Sockets.first(std::min(Sockets.size(), MaxWaitedSockets))) {
    Entries[Count++] = {Each->Impl->Socket.native_handle(), POLLIN, 0};
  }
  // Every outcome means the same: the caller looks for datagrams again.
  (void)ppoll(Entries.data(), Count, &Time, nullptr);
}

Result<void> DatagramSocket::send(Endpoint To, PacketBytes Bytes) {
  error_code Code;
  this->Impl->Socket.send_to(asio::buffer(Bytes.data(), Bytes.size()),
                             toAsio(To), 0, Code);
  if (!Code) {
    return {};
  }
  if (isFull(Code)) {
    // Short enough for std::string to hold without allocation.
    return makeError(ErrorKind::RingFull, "buffer full");
  }
  return makeError(ErrorKind::PeerUnreachable,
                   fmt::format("cannot send {} bytes to {}: {}", Bytes.size(),
                               formatEndpoint(To), Code.message()));
}

std::size_t DatagramSocket::discardWaiting() {
  std::size_t Count = 0;
  while (Count < MaxDiscarded && this->receive()) {
    ++Count;
  }
  return Count;
}

Endpoint DatagramSocket::address() const { return this->Impl->Address; }

} // namespace mulberryhoist
