/// \file
/// A minimal TCP connection without I/O or clock, used by the caller and the
/// upstream stand-ins.

#ifndef MULBERRYHOIST_TEST_STANDIN_CONNECTION_H
#define MULBERRYHOIST_TEST_STANDIN_CONNECTION_H

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "standin/segment.h"

namespace mulberryhoist::standin {

/// Timers and sizes of a connection.
struct ConnectionOptions {
  /// First retransmission timeout of SYN and SYN-ACK; it doubles.
  Duration HandshakeTimeout = std::chrono::seconds(1);
  /// First retransmission timeout of data and FIN; it doubles.
  Duration DataTimeout = std::chrono::milliseconds(200);
  Duration MaxTimeout = std::chrono::seconds(4);
  /// Gives up after this time with unacknowledged bytes and no progress.
  Duration GiveUp = std::chrono::seconds(60);
  std::size_t SegmentBytes = 1400;
  /// Segments in flight; small enough for the socket buffers of loopback.
  std::size_t WindowSegments = 16;
};

/// Where a connection is in its life.
enum class ConnectionState : std::uint8_t {
  SynSent,
  SynReceived,
  Established, ///< Includes the exchange of FINs.
  Finished,    ///< Both FINs are acknowledged.
  Refused,     ///< Reset before the handshake was complete.
  Reset,       ///< Reset by the other end after the handshake.
  TimedOut,    ///< Gave up on unacknowledged bytes.
};

/// One end of a connection; outgoing segments are appended to `Out`.
class Connection {
public:
  using SegmentList = std::vector<Segment>;

  /// Opens a connection with a SYN.
  static Connection connect(Endpoint Local, Endpoint Remote,
                            std::uint32_t Initial, ConnectionOptions Options,
                            Instant Now, SegmentList &Out);

  /// Accepts a received SYN with a SYN-ACK.
  static Connection accept(const Segment &Opening, std::uint32_t Initial,
                           ConnectionOptions Options, Instant Now,
                           SegmentList &Out);

  /// Handles a segment of this connection.
  void receive(const Segment &Value, Instant Now, SegmentList &Out);

  /// Queues bytes; `Push` marks the end of a message with PSH.
  void send(std::string_view Bytes, bool Push, Instant Now, SegmentList &Out);

  /// Sends FIN after the queued bytes.
  void close(Instant Now, SegmentList &Out);

  /// Ends the connection with RST.
  void abort(SegmentList &Out);

  /// Retransmits what is due.
  void tick(Instant Now, SegmentList &Out);

  /// Takes the bytes received in order since the last call.
  std::string takeReceived();

  ConnectionState state() const { return this->State; }
  bool isOver() const { return this->State >= ConnectionState::Finished; }
  /// True once the other end has sent FIN and all bytes before it.
  bool peerClosed() const { return this->PeerFinished; }
  std::size_t queuedBytes() const { return this->Queue.size(); }
  std::uint64_t retransmissions() const { return this->Retransmissions; }

private:
  Connection(Endpoint Local, Endpoint Remote, std::uint32_t Initial,
             ConnectionOptions Options);

  Segment makeSegment(std::uint32_t Sequence) const;
  void sendOpening(SegmentList &Out) const;
  void sendAcknowledgment(SegmentList &Out) const;
  /// Sends one segment at `Sequence`; returns the sequence number after it.
  std::uint32_t sendDataAt(std::uint32_t Sequence, SegmentList &Out);
  void sendNew(Instant Now, SegmentList &Out);
  void resendFirst(SegmentList &Out);
  void receiveReset(const Segment &Value);
  void receiveSynAck(const Segment &Value, Instant Now, SegmentList &Out);
  void receiveAcknowledgment(const Segment &Value, Instant Now,
                             SegmentList &Out);
  void receivePayload(const Segment &Value, SegmentList &Out);
  void startTimer(Instant Now, Duration First);

  Endpoint Local;
  Endpoint Remote;
  ConnectionOptions Options;
  ConnectionState State = ConnectionState::SynSent;
  std::uint32_t Initial;
  std::uint32_t Unacknowledged;
  std::uint32_t NextToSend;
  std::uint32_t NextExpected = 0;
  /// Bytes from sequence number `Unacknowledged` on.
  std::string Queue;
  std::optional<std::uint32_t> PushEnd;
  bool CloseRequested = false;
  bool FinishSent = false;
  bool FinishAcknowledged = false;
  bool PeerFinished = false;
  std::optional<std::uint32_t> PeerFinishAt;
  std::map<std::uint32_t, std::string> OutOfOrder;
  std::string Received;
  unsigned DuplicateAcknowledgments = 0;
  /// After a loss: end of what was in flight then. Until it is acknowledged,
  /// every partial acknowledgment shows the next lost segment.
  std::optional<std::uint32_t> RecoverUntil;
  std::uint64_t Retransmissions = 0;
  Duration Timeout{};
  std::optional<Instant> Due;
  Instant Progress{};
};

} // namespace mulberryhoist::standin

#endif // MULBERRYHOIST_TEST_STANDIN_CONNECTION_H
