/// \file
/// Replication of documents between processes: which content comes into force,
/// which messages are sent to neighbours, and when a process reads from the
/// configuration service.
///
/// Contents are ordered by version and then by digest, and only a greater
/// content replaces the one in force. Processes that receive the same contents
/// therefore converge to the same one, in whichever order they receive them.

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

/// The documents that processes replicate.
enum class DocumentKind : std::uint8_t { Table, VmList };

/// The age of a content that was never confirmed by a read.
inline constexpr std::chrono::milliseconds NeverConfirmed =
    std::chrono::hours(24 * 365);

/// Number of neighbours that a process pushes a newly accepted content to.
inline constexpr std::size_t PushFanout = 3;

/// One row of a `ChangesMessage`, live or removed.
struct ExchangeRow {
  std::string Key;
  std::string Value;
  /// The version that added, changed or removed this row.
  DocumentVersion Changed;
  bool Deleted = false;
  /// Time since a deleted row was removed.
  std::chrono::milliseconds DeletedAge{0};
};

/// Announces the content in force at the sender.
struct DigestMessage {
  DocumentKind Document = DocumentKind::Table;
  DocumentVersion Version;
  std::uint64_t Digest = 0;
  /// Time since the content was last confirmed by a read.
  std::chrono::milliseconds Age = NeverConfirmed;
};

/// Requests the rows that changed since a version, or all rows if `Whole`.
struct PullMessage {
  DocumentKind Document = DocumentKind::Table;
  DocumentVersion Since;
  bool Whole = false;
};

/// The row changes from `Base` to `Version`, or all rows if `Whole`.
struct ChangesMessage {
  DocumentKind Document = DocumentKind::Table;
  DocumentVersion Base;
  DocumentVersion Version;
  std::uint64_t Digest = 0;
  std::chrono::milliseconds Age = NeverConfirmed;
  bool Whole = false;
  std::vector<ExchangeRow> Rows;
};

/// Any message of the document exchange protocol.
using ExchangeMessage =
    std::variant<DigestMessage, PullMessage, ChangesMessage>;

/// A message and the control address of its destination.
struct OutgoingMessage {
  Endpoint To;
  ExchangeMessage Body;
};

/// The rows of a document at one version.
struct DocumentContent {
  DocumentVersion Version;
  /// Live rows, sorted by key.
  std::vector<RowText> Rows;
  /// Rows removed within `TombstoneRetention`, most recently removed first.
  std::vector<RowText> Removed;
};

/// Counters of a replica since its creation.
struct ReplicaCounters {
  std::uint64_t Accepted = 0;
  std::uint64_t OlderIgnored = 0;
  std::uint64_t ConflictsSeen = 0;
  std::uint64_t InvalidRejected = 0;
  /// Received changes whose application did not give the announced digest.
  std::uint64_t DigestMismatches = 0;
  /// Text of the last rejection.
  std::string LastProblem;
};

/// The copy of one document that this process holds.
class Replica {
public:
  /// Validates a content as the last step before it comes into force; on
  /// success it always does, so the callee may publish what it built from it.
  using Validator = std::function<Result<void>(const DocumentContent &)>;

  Replica(DocumentKind Document, Validator Validate, std::uint64_t Seed);
  Replica(Replica &&) noexcept;
  Replica &operator=(Replica &&) noexcept;
  ~Replica();

  /// Sets the control addresses of the processes to exchange with.
  void setNeighbours(std::vector<Endpoint> Neighbours);

  /// Handles a message about this document and appends the messages to send to
  /// `Out`.
  void receive(Endpoint From, const ExchangeMessage &Message, Instant Now,
               std::vector<OutgoingMessage> &Out);

  /// Offers a value that was read from the configuration service, with rows
  /// sorted by key; on success it is in force and confirmed, otherwise the
  /// error is `OlderTable`, `ConflictingTable` or that of the validator.
  Result<void> offerRead(DocumentVersion Version, std::span<const RowText> Rows,
                         Instant Now, std::vector<OutgoingMessage> &Out);

  /// Records that the configuration service has nothing newer than the content
  /// in force.
  void confirm(Instant Now);

  /// Counts a value that was rejected before it was offered, such as one that
  /// could not be parsed.
  void reject(const Error &Problem);

  /// Sends the digest to one neighbour and expires an unanswered pull; to be
  /// called once a second.
  void tick(Instant Now, std::vector<OutgoingMessage> &Out);

  DocumentVersion version() const;
  std::uint64_t digest() const;
  const ReplicaCounters &counters() const;

  /// Returns the content in force, without rows if there is none.
  DocumentContent content() const;

  /// Returns the time since the content in force was last confirmed by a read,
  /// here or at another process; at most `NeverConfirmed`.
  std::chrono::milliseconds sinceConfirmed(Instant Now) const;

private:
  struct State;
  std::unique_ptr<State> Impl;
};

/// A read to make from the configuration service.
struct ReadRequest {
  /// Requests a value with a greater revision.
  std::uint64_t After = 0;
  /// How long the service may wait for such a value.
  std::chrono::seconds Wait{0};
};

/// The outcome of a read.
enum class ReadOutcome : std::uint8_t {
  InForce,      ///< The value is in force.
  Older,        ///< The value is older than the content in force, or conflicts.
  Rejected,     ///< The value is incomplete or invalid.
  Unchanged,    ///< The service has no greater revision than requested.
  Failed,       ///< There was no response.
  RateExceeded, ///< The service refused the call because of its rate limit.
};

/// The result of a read.
struct FinishedRead {
  ReadOutcome Outcome = ReadOutcome::Failed;
  /// The revision that the service reported, if any.
  std::optional<std::uint64_t> Revision;
  /// Size of the value in bytes, counted against the control budget.
  std::size_t Bytes = 0;
};

/// The state of the process on which a read schedule depends.
struct ReadSituation {
  /// This process is a reader of its availability zone.
  bool Reader = false;
  std::uint64_t RevisionInForce = 0;
  std::chrono::milliseconds SinceConfirmed = NeverConfirmed;
};

/// Decides when a process reads a document from the configuration service.
///
/// A reader of its availability zone watches with long polls. Other processes
/// read only if the content in force was not confirmed for `MaxConfirmedAge`,
/// and then at most once per fallback period. A service that was restored to an
/// older revision would reply "nothing newer" to every watch, so a reader also
/// reads without a condition as often as the control budget allows.
class ReadSchedule {
public:
  /// The fallback period of the table.
  static constexpr Duration TablePeriod = std::chrono::seconds(5);
  /// The fallback period of the VM list, which may lag since it is only a hint.
  static constexpr Duration VmListPeriod = std::chrono::seconds(60);
  /// Age of the last confirmation from which a process that is not a reader
  /// reads the service itself.
  static constexpr std::chrono::milliseconds MaxConfirmedAge{3000};

  ReadSchedule(std::uint64_t Seed, Duration FallbackPeriod);

  /// Returns the read to make now, if any; `finished` must be called before the
  /// next call.
  std::optional<ReadRequest> next(const ReadSituation &Situation, Instant Now);

  /// Records the result of the read; returns true if the service replied and
  /// does not serve a value older than the content in force.
  bool finished(const FinishedRead &Read, Instant Now);

private:
  struct RejectedValue {
    std::uint64_t Revision = 0;
    Instant RetryAt;
    Duration BackOff{};
  };

  Duration jitter(Duration Max);
  void recordRejected(std::optional<std::uint64_t> Revision, Instant Now);
  ReadRequest watch(const ReadSituation &Situation, Instant Now) const;

  std::minstd_rand Random;
  Duration FallbackPeriod;
  Instant NextReaderCall;
  Instant NextFallback;
  std::optional<Instant> FallbackDue;
  Instant NextUnconditional;
  Duration BackOff{};
  std::uint64_t LastAfter = 0;
  /// Set while the service serves a revision older than the one in force.
  std::optional<std::uint64_t> OlderServiceRevision;
  std::optional<RejectedValue> Rejected;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_REPLICATION_H
