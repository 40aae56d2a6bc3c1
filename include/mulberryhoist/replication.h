/// \file
/// The rules of the document exchange: which content comes into force, what is
/// sent to neighbours, and when a process reads the configuration service.
///
/// Contents are ordered by version and then by digest, and only a greater
/// content replaces the one in force. Processes that see the same contents in
/// any order therefore end with the same one.

#ifndef MULBERRYHOIST_REPLICATION_H
#define MULBERRYHOIST_REPLICATION_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "mulberryhoist/table.h"
#include "mulberryhoist/types.h"

namespace mulberryhoist {

/// The documents that processes exchange.
enum class DocumentKind : std::uint8_t { Table, VmList };

/// The age that stands for "never confirmed".
inline constexpr std::chrono::milliseconds NeverConfirmed =
    std::chrono::hours(24 * 365);

/// Number of neighbours that a process pushes a change to on acceptance.
inline constexpr std::size_t PushFanout = 3;

/// One row as it is exchanged, live or removed.
struct ExchangeRow {
  std::string Key;
  std::string Value;
  /// The version with which this row came or went.
  DocumentVersion Changed;
  bool Deleted = false;
  /// How long ago a deleted row was removed.
  std::chrono::milliseconds DeletedAge{0};
};

/// Tells a neighbour what is in force here.
struct DigestMessage {
  DocumentKind Document = DocumentKind::Table;
  DocumentVersion Version;
  std::uint64_t Digest = 0;
  /// The age of the last confirmed read.
  std::chrono::milliseconds Age = NeverConfirmed;
};

/// Asks a neighbour for the rows that changed since a version, or for all.
struct PullMessage {
  DocumentKind Document = DocumentKind::Table;
  DocumentVersion Since;
  bool Whole = false;
};

/// Rows that lead from `Base` to `Version`, or all rows if `Whole`.
struct ChangesMessage {
  DocumentKind Document = DocumentKind::Table;
  DocumentVersion Base;
  DocumentVersion Version;
  std::uint64_t Digest = 0;
  std::chrono::milliseconds Age = NeverConfirmed;
  bool Whole = false;
  std::vector<ExchangeRow> Rows;
};

/// Any message of the document exchange.
using ExchangeMessage =
    std::variant<DigestMessage, PullMessage, ChangesMessage>;

/// A message and the control address of the process that it is for.
struct OutgoingMessage {
  Endpoint To;
  ExchangeMessage Body;
};

/// A content that is about to come into force.
struct DocumentContent {
  DocumentVersion Version;
  /// Live rows, sorted by key.
  std::vector<RowText> Rows;
  /// Rows that were removed within `TombstoneRetention`, the newest first.
  std::vector<RowText> Removed;
};

/// What a replica has counted.
struct ReplicaCounters {
  std::uint64_t Accepted = 0;
  std::uint64_t OlderIgnored = 0;
  std::uint64_t ConflictsSeen = 0;
  std::uint64_t InvalidRejected = 0;
  /// Row changes that did not lead to the announced digest.
  std::uint64_t DigestMismatches = 0;
  /// The last rejection, for people.
  std::string LastProblem;
};

/// One process's copy of a document.
class Replica {
public:
  /// The last check of a content; on success the content comes into force, so
  /// the callee may publish what it made from it.
  using Check = std::function<Result<void>(const DocumentContent &)>;

  Replica(DocumentKind Document, Check Checker, std::uint64_t Seed);
  Replica(Replica &&) noexcept;
  Replica &operator=(Replica &&) noexcept;
  ~Replica();

  /// Sets whom to exchange with.
  void setNeighbours(std::vector<Endpoint> Neighbours);

  /// Handles a message about this document; appends the messages to send.
  void receive(Endpoint From, const ExchangeMessage &Message, Instant Now,
               std::vector<OutgoingMessage> &Out);

  /// Offers a value that was read from the configuration service; the rows must
  /// be sorted by key. Success means that the value is in force now, and
  /// confirms it.
  Result<void> offerRead(DocumentVersion Version, std::span<const RowText> Rows,
                         Instant Now, std::vector<OutgoingMessage> &Out);

  /// Records that the configuration service has nothing newer.
  void confirm(Instant Now);

  /// Counts a value that was rejected before it could be offered.
  void reject(const Error &Problem);

  /// To be called every second: sends the digest to one neighbour.
  void tick(Instant Now, std::vector<OutgoingMessage> &Out);

  DocumentVersion version() const;
  std::uint64_t digest() const;
  const ReplicaCounters &counters() const;

  /// The content in force; no rows if there is none.
  DocumentContent content() const;

  /// Time since the version in force was last confirmed by a read, here or at a
  /// neighbour; at most `NeverConfirmed`.
  std::chrono::milliseconds sinceConfirmed(Instant Now) const;

private:
  struct State;
  std::unique_ptr<State> Impl;
};

/// A call to make to the configuration service.
struct ReadRequest {
  std::uint64_t After = 0;
  std::chrono::seconds Wait{0};
};

/// What came of a call.
enum class ReadOutcome : std::uint8_t {
  InForce,      ///< The value is in force now.
  Older,        ///< The service serves something older or conflicting.
  Rejected,     ///< The value is half-written or invalid.
  Unchanged,    ///< The service has nothing newer than asked for.
  Failed,       ///< There was no answer.
  RateExceeded, ///< The service refused the call.
};

/// A finished call.
struct FinishedRead {
  ReadOutcome Outcome = ReadOutcome::Failed;
  /// The revision that the service reported, if it did.
  std::optional<std::uint64_t> Revision;
  /// Size of the value, for the control budget.
  std::size_t Bytes = 0;
};

/// What a schedule needs to know about the process.
struct ReadSituation {
  /// This process is a reader of its availability zone.
  bool Reader = false;
  std::uint64_t RevisionInForce = 0;
  std::chrono::milliseconds SinceConfirmed = NeverConfirmed;
};

/// Decides when one process reads one document.
///
/// A reader watches. Others read only if no read was confirmed for 3 s, and
/// then not more often than the fallback period. A service that was restored to
/// an older revision would answer "nothing newer" to every watch, so a reader
/// also reads without condition now and then, as often as the control budget
/// allows.
class ReadSchedule {
public:
  /// The fallback period of the table.
  static constexpr Duration TablePeriod = std::chrono::seconds(5);
  /// The fallback period of the VM list, which is only a hint.
  static constexpr Duration VmListPeriod = std::chrono::seconds(60);
  /// Age of the last confirmed read from which a process reads by itself.
  static constexpr std::chrono::milliseconds MaxConfirmedAge{3000};

  ReadSchedule(std::uint64_t Seed, Duration FallbackPeriod);

  /// The call to make now, if any; `finished` must follow before the next.
  std::optional<ReadRequest> next(const ReadSituation &Situation, Instant Now);

  /// Reports the result of the call; true if the service is in touch and does
  /// not serve something older than what is in force.
  bool finished(const FinishedRead &Read, Instant Now);

private:
  struct RejectedValue {
    std::uint64_t Revision = 0;
    Instant ReadAgain;
    Duration BackOff{};
  };

  Duration spread(Duration Max);
  void noteRejected(std::optional<std::uint64_t> Revision, Instant Now);
  ReadRequest watch(const ReadSituation &Situation, Instant Now) const;

  std::minstd_rand Random;
  Duration FallbackPeriod;
  Instant NextReaderCall;
  Instant NextFallback;
  std::optional<Instant> FallbackDue;
  Instant NextUnconditional;
  Duration BackOff{};
  std::uint64_t LastAfter = 0;
  /// Set while the service serves something older than what is in force.
  std::optional<std::uint64_t> BehindRevision;
  std::optional<RejectedValue> Rejected;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_REPLICATION_H
