#include "mulberryhoist/replication.h"

#include <algorithm>
#include <array>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <fmt/format.h>
#include <map>

namespace mulberryhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
namespace msm = boost::msm;

/// Time without a reply after which another neighbour may be pulled from.
constexpr Duration PullTimeout = seconds(1);
/// Time for which a content that failed validation is not pulled again.
/// Neighbours that run another program version may have accepted it and
/// announce it every second.
constexpr Duration RejectedContentHoldOff = seconds(30);
/// A neighbour whose confirmation is older than the local one by more than this
/// gets a digest with the younger age.
constexpr milliseconds MaxAgeDifference{1000};
/// Larger changes are announced by digest only, so that a neighbour pulls them
/// once instead of receiving them from several processes.
constexpr std::size_t MaxPushedBytes = 16U << 10U;
/// Size of the rows of a message above which tombstones are omitted, below the
/// limit of 2 MiB for a message.
constexpr std::size_t MaxRowBytes = 1900000;
/// Estimated encoded size of a row besides its key and value, in bytes.
constexpr std::size_t RowOverhead = 40;
/// The longest wait of a reader's long poll, short enough that every neighbour
/// receives a confirmation younger than `MaxConfirmedAge`.
constexpr seconds MaxWatchTime{1};
/// Bounds the call rate of a reader while the table changes continually.
constexpr Duration MinReaderInterval = milliseconds(200);
/// Spreads the reads of processes that lose their neighbours at the same time.
constexpr Duration MaxFallbackJitter = seconds(1);
constexpr Duration MinBackOff = seconds(1);
constexpr Duration MaxBackOff = seconds(4);
/// Back-off before a rejected value is read again, since it may have been read
/// while it was being written.
constexpr Duration MinRejectedBackOff = seconds(1);
constexpr Duration MaxRejectedBackOff = seconds(30);
/// Unconditional reads use at most 2 KB/s of the 3 KB/s control budget.
constexpr Duration MinUnconditionalPeriod = seconds(2);
constexpr std::int64_t UnconditionalBytesPerSecond = 2000;
/// Bounds memory if rows are replaced faster than tombstones expire.
constexpr std::size_t MaxTombstones = 8192;

struct LiveRow {
  std::string Value;
  DocumentVersion Changed;
};

struct Tombstone {
  std::string Value;
  DocumentVersion Changed;
  Instant RemovedAt;
};

/// Identifies a removed row by its key and by the cells that routing of flows
/// depends on.
struct TombstoneKey {
  std::string Key;
  std::string Identity;

  friend bool operator<(const TombstoneKey &A, const TombstoneKey &B) {
    return std::tie(A.Key, A.Identity) < std::tie(B.Key, B.Identity);
  }
};

using LiveRows = std::map<std::string, LiveRow>;
using Tombstones = std::map<TombstoneKey, Tombstone>;

/// A content that was received or read but is not in force yet.
struct Candidate {
  DocumentVersion Version;
  std::uint64_t Digest = 0;
  LiveRows Live;
  std::vector<ExchangeRow> Removed;
};

/// Returns the cells of a table row that decide where flows go: service,
/// address, upstream and endpoint. A row that changes one of them leaves a
/// tombstone.
std::string identityOf(DocumentKind Document, std::string_view Value) {
  if (Document == DocumentKind::VmList) {
    return {};
  }
  constexpr std::array<bool, 6> Kept = {true, true, false, false, true, true};
  std::string Identity;
  for (const bool Keep : Kept) {
    const std::string_view Cell = Value.substr(0, Value.find(','));
    if (Keep) {
      Identity.append(Cell).append(",");
    }
    Value.remove_prefix(std::min(Value.size(), Cell.size() + 1));
  }
  return Identity;
}

std::vector<RowText> toRowTexts(const LiveRows &Live) {
  std::vector<RowText> Rows;
  Rows.reserve(Live.size());
  for (const auto &[Key, Row] : Live) {
    Rows.push_back({Key, Row.Value});
  }
  return Rows;
}

std::size_t estimatedSize(const ExchangeRow &Row) {
  return Row.Key.size() + Row.Value.size() + RowOverhead;
}

DocumentContent contentOf(DocumentVersion Version, const LiveRows &Live,
                          const Tombstones &Removed) {
  DocumentContent Content{Version, toRowTexts(Live), {}};
  std::vector<std::pair<Instant, RowText>> Dated;
  for (const auto &[Key, Row] : Removed) {
    Dated.push_back({Row.RemovedAt, {Key.Key, Row.Value}});
  }
  std::sort(Dated.begin(), Dated.end(), std::greater<>());
  for (auto &[RemovedAt, Row] : Dated) {
    Content.Removed.push_back(std::move(Row));
  }
  return Content;
}

std::string formatVersion(DocumentVersion Version) {
  return fmt::format("{}.{}", Version.Epoch, Version.Revision);
}

/// Event: a neighbour announced a greater content.
struct PeerAhead {
  Endpoint Peer;
  bool Whole = false;
};

/// Event: the received rows did not give the announced digest.
struct DigestMismatch {
  Endpoint Peer;
};

/// Event: a content came into force.
struct Accepted {};

/// Event: there was no reply to the pull within `PullTimeout`.
struct TimedOut {};

/// The state machine of pulls: at most one is outstanding, and row changes that
/// do not give the announced digest are followed by one pull of the whole
/// document.
struct PullFrontEnd : msm::front::state_machine_def<PullFrontEnd> {
  struct Idle : msm::front::state<> {};
  struct AwaitingChanges : msm::front::state<> {};
  struct AwaitingWhole : msm::front::state<> {};
  using initial_state = Idle; // NOLINT(readability-identifier-naming)

  void pull(const PeerAhead &Event) { this->send(Event.Peer, Event.Whole); }
  void pullWhole(const DigestMismatch &Event) { this->send(Event.Peer, true); }

  void send(Endpoint To, bool Whole) {
    this->Out->push_back(
        {To, PullMessage{this->Document, this->OwnVersion, Whole}});
  }

  using M = PullFrontEnd;
  // NOLINTNEXTLINE(readability-identifier-naming)
  struct transition_table
      : boost::mpl::vector<
            a_row<Idle, PeerAhead, AwaitingChanges, &M::pull>,
            a_row<Idle, DigestMismatch, AwaitingWhole, &M::pullWhole>,
            a_row<AwaitingChanges, DigestMismatch, AwaitingWhole,
                  &M::pullWhole>,
            _row<AwaitingChanges, Accepted, Idle>,
            _row<AwaitingChanges, TimedOut, Idle>,
            _row<AwaitingWhole, DigestMismatch, Idle>,
            _row<AwaitingWhole, Accepted, Idle>,
            _row<AwaitingWhole, TimedOut, Idle>> {};

  /// Ignores events without a transition.
  template <typename Machine, typename Event>
  // NOLINTNEXTLINE(readability-identifier-naming)
  void no_transition(const Event & /*unused*/, Machine & /*unused*/,
                     int /*unused*/) {}

  DocumentKind Document = DocumentKind::Table;
  DocumentVersion OwnVersion;
  std::vector<OutgoingMessage> *Out = nullptr;
};

using PullMachine = msm::back::state_machine<PullFrontEnd>;

} // namespace

struct Replica::State {
  DocumentKind Document;
  Validator Validate;
  std::minstd_rand Random;
  std::vector<Endpoint> Neighbours;
  /// The neighbours that have not been sent a digest in this round yet.
  std::vector<Endpoint> DigestTargets;
  DocumentVersion Version;
  std::uint64_t Digest = 0;
  LiveRows Live;
  Tombstones Removed;
  std::optional<Instant> ConfirmedAt;
  ReplicaCounters Counters;
  std::pair<DocumentVersion, std::uint64_t> RejectedContent;
  Instant RejectedUntil;
  PullMachine Pulls;
  Instant PullDeadline;

  State(DocumentKind Document, Validator Validate, std::uint64_t Seed)
      : Document(Document), Validate(std::move(Validate)),
        Random(static_cast<std::minstd_rand::result_type>(Seed)) {
    this->Pulls.start();
  }

  template <typename Event>
  void processPullEvent(const Event &PullEvent, Instant Now,
                        std::vector<OutgoingMessage> &Out) {
    this->Pulls.Document = this->Document;
    this->Pulls.OwnVersion = this->Version;
    this->Pulls.Out = &Out;
    const std::size_t Sent = Out.size();
    this->Pulls.process_event(PullEvent);
    if (Out.size() != Sent) {
      this->PullDeadline = Now + PullTimeout;
    }
  }

  milliseconds age(Instant Now) const {
    if (!this->ConfirmedAt) {
      return NeverConfirmed;
    }
    const auto Age =
        std::chrono::duration_cast<milliseconds>(Now - *this->ConfirmedAt);
    return std::clamp(Age, milliseconds(0), NeverConfirmed);
  }

  /// Records a read at `ReadAt` that confirmed the content in force.
  void confirmAt(Instant ReadAt) {
    this->ConfirmedAt = std::max(this->ConfirmedAt.value_or(ReadAt), ReadAt);
  }

  void confirmFromPeer(milliseconds Age, Instant Now) {
    if (Age < NeverConfirmed) {
      this->confirmAt(Now - std::max(Age, milliseconds(0)));
    }
  }

  DigestMessage digestMessage(Instant Now) const {
    return {this->Document, this->Version, this->Digest, this->age(Now)};
  }

  tl::unexpected<Error> recordError(ErrorKind Kind, std::string Detail) {
    this->Counters.LastProblem = Detail;
    return makeError(Kind, std::move(Detail));
  }

  void reject(const Error &Problem) {
    ++this->Counters.InvalidRejected;
    this->Counters.LastProblem = Problem.Detail;
  }

  ChangesMessage changesSince(DocumentVersion Since, bool Whole, Instant Now);
  void expireTombstones(Instant Now);
  void mergeTombstones(const Candidate &New, Tombstones &Into,
                       Instant Now) const;
  /// Returns the tombstones that apply once the candidate is in force.
  Tombstones tombstonesAfter(const Candidate &New, Instant Now);
  /// Sets the versions with which the rows of a candidate changed locally.
  void markChanged(Candidate &New) const;
  Result<void> checkOrder(const Candidate &New);
  Candidate apply(const ChangesMessage &Message) const;
  Result<void> tryAccept(Candidate New, Instant Now,
                         std::vector<OutgoingMessage> &Out,
                         std::optional<Endpoint> From);
  void push(DocumentVersion PreviousVersion, std::optional<Endpoint> From,
            Instant Now, std::vector<OutgoingMessage> &Out);
  void onDigest(Endpoint From, const DigestMessage &Message, Instant Now,
                std::vector<OutgoingMessage> &Out);
  void onPull(Endpoint From, const PullMessage &Message, Instant Now,
              std::vector<OutgoingMessage> &Out);
  void onChanges(Endpoint From, const ChangesMessage &Message, Instant Now,
                 std::vector<OutgoingMessage> &Out);
};

ChangesMessage Replica::State::changesSince(DocumentVersion Since, bool Whole,
                                            Instant Now) {
  this->expireTombstones(Now);
  ChangesMessage Message{this->Document,
                         Whole ? DocumentVersion{} : Since,
                         this->Version,
                         this->Digest,
                         this->age(Now),
                         Whole,
                         {}};
  std::size_t Bytes = 0;
  for (const auto &[Key, Row] : this->Live) {
    if (Whole || Row.Changed > Since) {
      Message.Rows.push_back({Key, Row.Value, Row.Changed, false, {}});
      Bytes += estimatedSize(Message.Rows.back());
    }
  }
  std::vector<ExchangeRow> RemovedRows;
  for (const auto &[Key, Row] : this->Removed) {
    if (Whole || Row.Changed > Since) {
      RemovedRows.push_back(
          {Key.Key, Row.Value, Row.Changed, true,
           std::chrono::duration_cast<milliseconds>(Now - Row.RemovedAt)});
    }
  }
  // If the message is too large, the oldest tombstones are omitted.
  std::sort(
      RemovedRows.begin(), RemovedRows.end(),
      [](const auto &A, const auto &B) { return A.DeletedAge < B.DeletedAge; });
  for (ExchangeRow &Row : RemovedRows) {
    Bytes += estimatedSize(Row);
    if (Bytes > MaxRowBytes) {
      break;
    }
    Message.Rows.push_back(std::move(Row));
  }
  return Message;
}

void Replica::State::expireTombstones(Instant Now) {
  std::erase_if(this->Removed, [Now](const auto &Entry) {
    return Now - Entry.second.RemovedAt >= TombstoneRetention;
  });
}

void Replica::State::mergeTombstones(const Candidate &New, Tombstones &Into,
                                     Instant Now) const {
  for (const ExchangeRow &Row : New.Removed) {
    const Instant RemovedAt = Now - std::max(Row.DeletedAge, milliseconds(0));
    const auto [Entry, Added] = Into.emplace(
        TombstoneKey{Row.Key, identityOf(this->Document, Row.Value)},
        Tombstone{Row.Value, Row.Changed, RemovedAt});
    Tombstone &Existing = Entry->second;
    if (Added || Row.Changed < Existing.Changed) {
      continue;
    }
    // The earlier of two times reported for one removal is kept, so that
    // forwarding a tombstone between processes does not extend its lifetime.
    Existing.RemovedAt = Row.Changed > Existing.Changed
                             ? RemovedAt
                             : std::min(Existing.RemovedAt, RemovedAt);
    Existing.Changed = Row.Changed;
  }
  for (const auto &[Key, Row] : New.Live) {
    Into.erase({Key, identityOf(this->Document, Row.Value)});
  }
  while (Into.size() > MaxTombstones) {
    Into.erase(std::min_element(
        Into.begin(), Into.end(), [](const auto &A, const auto &B) {
          return A.second.RemovedAt < B.second.RemovedAt;
        }));
  }
}

Tombstones Replica::State::tombstonesAfter(const Candidate &New, Instant Now) {
  this->expireTombstones(Now);
  Tombstones NewTombstones = this->Removed;
  for (const auto &[Key, Row] : this->Live) {
    const std::string Identity = identityOf(this->Document, Row.Value);
    const auto Kept = New.Live.find(Key);
    if (Kept == New.Live.end() ||
        identityOf(this->Document, Kept->second.Value) != Identity) {
      NewTombstones[{Key, Identity}] = {Row.Value, New.Version, Now};
    }
  }
  this->mergeTombstones(New, NewTombstones, Now);
  return NewTombstones;
}

void Replica::State::markChanged(Candidate &New) const {
  for (auto &[Key, Row] : New.Live) {
    const auto Old = this->Live.find(Key);
    if (Old != this->Live.end() && Old->second.Value == Row.Value) {
      Row.Changed = Old->second.Changed;
    } else if (!this->Live.empty()) {
      // Even if the row changed earlier at the sender: a neighbour that pulls
      // from this process may still have the value that it had until now.
      Row.Changed = New.Version;
    }
  }
}

Result<void> Replica::State::checkOrder(const Candidate &New) {
  if (New.Version < this->Version) {
    ++this->Counters.OlderIgnored;
    return this->recordError(
        ErrorKind::OlderTable,
        fmt::format("version {} is older than version {} in force",
                    formatVersion(New.Version), formatVersion(this->Version)));
  }
  if (New.Version > this->Version) {
    return {};
  }
  ++this->Counters.ConflictsSeen;
  auto Conflict = this->recordError(
      ErrorKind::ConflictingTable,
      fmt::format("version {} has two contents with digests {:016x} and "
                  "{:016x}; the one with the greater digest is used",
                  formatVersion(New.Version), New.Digest, this->Digest));
  if (New.Digest < this->Digest) {
    return Conflict;
  }
  return {};
}

Result<void> Replica::State::tryAccept(Candidate New, Instant Now,
                                       std::vector<OutgoingMessage> &Out,
                                       std::optional<Endpoint> From) {
  if (New.Version == this->Version && New.Digest == this->Digest) {
    return {};
  }
  if (auto Ordered = this->checkOrder(New); !Ordered) {
    return Ordered;
  }
  Tombstones NewRemoved = this->tombstonesAfter(New, Now);
  this->markChanged(New);
  const auto Validated =
      this->Validate(contentOf(New.Version, New.Live, NewRemoved));
  if (!Validated) {
    ++this->Counters.InvalidRejected;
    this->RejectedContent = {New.Version, New.Digest};
    this->RejectedUntil = Now + RejectedContentHoldOff;
    return this->recordError(Validated.error().Kind, Validated.error().Detail);
  }
  const DocumentVersion PreviousVersion = this->Version;
  this->Version = New.Version;
  this->Digest = New.Digest;
  this->Live = std::move(New.Live);
  this->Removed = std::move(NewRemoved);
  this->ConfirmedAt.reset();
  ++this->Counters.Accepted;
  this->processPullEvent(Accepted{}, Now, Out);
  this->push(PreviousVersion, From, Now, Out);
  return {};
}

void Replica::State::push(DocumentVersion PreviousVersion,
                          std::optional<Endpoint> From, Instant Now,
                          std::vector<OutgoingMessage> &Out) {
  std::vector<Endpoint> Targets = this->Neighbours;
  std::erase_if(Targets, [From](Endpoint Each) { return Each == From; });
  std::shuffle(Targets.begin(), Targets.end(), this->Random);
  Targets.resize(std::min(Targets.size(), PushFanout));
  ExchangeMessage Body = this->digestMessage(Now);
  // A first content is announced by digest only, since the neighbours that it
  // came from have it already. A second content of the same version is not a
  // change since that version.
  if (PreviousVersion != DocumentVersion{} &&
      PreviousVersion != this->Version) {
    ChangesMessage Changes = this->changesSince(PreviousVersion, false, Now);
    std::size_t Bytes = 0;
    for (const ExchangeRow &Row : Changes.Rows) {
      Bytes += estimatedSize(Row);
    }
    if (Bytes <= MaxPushedBytes) {
      Body = std::move(Changes);
    }
  }
  for (const Endpoint To : Targets) {
    Out.push_back({To, Body});
  }
}

void Replica::State::onDigest(Endpoint From, const DigestMessage &Message,
                              Instant Now, std::vector<OutgoingMessage> &Out) {
  const auto PeerContent = std::pair(Message.Version, Message.Digest);
  const auto OwnContent = std::pair(this->Version, this->Digest);
  if (PeerContent == this->RejectedContent && Now < this->RejectedUntil) {
    return;
  }
  if (PeerContent > OwnContent) {
    const bool Whole =
        this->Version == DocumentVersion{} || this->Version == Message.Version;
    this->processPullEvent(PeerAhead{From, Whole}, Now, Out);
    return;
  }
  if (PeerContent == OwnContent) {
    this->confirmFromPeer(Message.Age, Now);
    if (Message.Age <= this->age(Now) + MaxAgeDifference) {
      return;
    }
  }
  Out.push_back({From, this->digestMessage(Now)});
}

void Replica::State::onPull(Endpoint From, const PullMessage &Message,
                            Instant Now, std::vector<OutgoingMessage> &Out) {
  if (this->Version == DocumentVersion{}) {
    return;
  }
  if (!Message.Whole && Message.Since >= this->Version) {
    Out.push_back({From, this->digestMessage(Now)});
    return;
  }
  Out.push_back({From, this->changesSince(Message.Since, Message.Whole, Now)});
}

Candidate Replica::State::apply(const ChangesMessage &Message) const {
  Candidate New;
  New.Version = Message.Version;
  if (!Message.Whole) {
    New.Live = this->Live;
  }
  for (const ExchangeRow &Row : Message.Rows) {
    if (Row.Deleted) {
      New.Live.erase(Row.Key);
      New.Removed.push_back(Row);
    }
  }
  for (const ExchangeRow &Row : Message.Rows) {
    if (!Row.Deleted) {
      New.Live[Row.Key] = {Row.Value, std::min(Row.Changed, Message.Version)};
    }
  }
  New.Digest = digestRows(New.Version, toRowTexts(New.Live));
  return New;
}

void Replica::State::onChanges(Endpoint From, const ChangesMessage &Message,
                               Instant Now, std::vector<OutgoingMessage> &Out) {
  if (Message.Version == this->Version && Message.Digest == this->Digest) {
    this->confirmFromPeer(Message.Age, Now);
    return;
  }
  if (Message.Version < this->Version) {
    ++this->Counters.OlderIgnored;
    return;
  }
  Candidate New = this->apply(Message);
  if (New.Digest != Message.Digest) {
    ++this->Counters.DigestMismatches;
    if (!Message.Whole && Message.Base > this->Version) {
      this->processPullEvent(
          PeerAhead{From, this->Version == DocumentVersion{}}, Now, Out);
      return;
    }
    if (Message.Whole) {
      this->reject({ErrorKind::IncompleteTable,
                    fmt::format("the rows of version {} from {} do not match "
                                "the digest {:016x}",
                                formatVersion(Message.Version),
                                formatEndpoint(From), Message.Digest)});
    }
    this->processPullEvent(DigestMismatch{From}, Now, Out);
    return;
  }
  if (this->tryAccept(std::move(New), Now, Out, From)) {
    this->confirmFromPeer(Message.Age, Now);
  }
}

Replica::Replica(DocumentKind Document, Validator Validate, std::uint64_t Seed)
    : Impl(std::make_unique<State>(Document, std::move(Validate), Seed)) {}

Replica::Replica(Replica &&) noexcept = default;
Replica &Replica::operator=(Replica &&) noexcept = default;
Replica::~Replica() = default;

void Replica::setNeighbours(std::vector<Endpoint> Neighbours) {
  if (Neighbours != this->Impl->Neighbours) {
    this->Impl->Neighbours = std::move(Neighbours);
    this->Impl->DigestTargets.clear();
  }
}

void Replica::receive(Endpoint From, const ExchangeMessage &Message,
                      Instant Now, std::vector<OutgoingMessage> &Out) {
  State &Self = *this->Impl;
  if (const auto *Digest = std::get_if<DigestMessage>(&Message)) {
    Self.onDigest(From, *Digest, Now, Out);
  } else if (const auto *Pull = std::get_if<PullMessage>(&Message)) {
    Self.onPull(From, *Pull, Now, Out);
  } else {
    Self.onChanges(From, std::get<ChangesMessage>(Message), Now, Out);
  }
}

Result<void> Replica::offerRead(DocumentVersion Version,
                                std::span<const RowText> Rows, Instant Now,
                                std::vector<OutgoingMessage> &Out) {
  Candidate New;
  New.Version = Version;
  New.Digest = digestRows(Version, Rows);
  for (const RowText &Row : Rows) {
    New.Live[Row.Key] = {Row.Value, Version};
  }
  auto Offered = this->Impl->tryAccept(std::move(New), Now, Out, std::nullopt);
  if (Offered) {
    this->Impl->confirmAt(Now);
  }
  return Offered;
}

void Replica::confirm(Instant Now) { this->Impl->confirmAt(Now); }

void Replica::reject(const Error &Problem) { this->Impl->reject(Problem); }

void Replica::tick(Instant Now, std::vector<OutgoingMessage> &Out) {
  State &Self = *this->Impl;
  if (Now >= Self.PullDeadline) {
    Self.processPullEvent(TimedOut{}, Now, Out);
  }
  if (Self.DigestTargets.empty()) {
    Self.DigestTargets = Self.Neighbours;
    std::shuffle(Self.DigestTargets.begin(), Self.DigestTargets.end(),
                 Self.Random);
  }
  if (!Self.DigestTargets.empty()) {
    Out.push_back({Self.DigestTargets.back(), Self.digestMessage(Now)});
    Self.DigestTargets.pop_back();
  }
}

DocumentVersion Replica::version() const { return this->Impl->Version; }

std::uint64_t Replica::digest() const { return this->Impl->Digest; }

const ReplicaCounters &Replica::counters() const {
  return this->Impl->Counters;
}

DocumentContent Replica::content() const {
  return contentOf(this->Impl->Version, this->Impl->Live, this->Impl->Removed);
}

milliseconds Replica::sinceConfirmed(Instant Now) const {
  return this->Impl->age(Now);
}

ReadSchedule::ReadSchedule(std::uint64_t Seed, Duration FallbackPeriod)
    : Random(static_cast<std::minstd_rand::result_type>(Seed)),
      FallbackPeriod(FallbackPeriod) {}

Duration ReadSchedule::jitter(Duration Max) {
  return Duration(std::uniform_int_distribution<Duration::rep>(0, Max.count())(
      this->Random));
}

ReadRequest ReadSchedule::watch(const ReadSituation &Situation,
                                Instant Now) const {
  const std::uint64_t Base =
      this->OlderServiceRevision.value_or(Situation.RevisionInForce);
  // A rejected value is not read again during its back-off, but a later
  // revision is.
  if (this->Rejected && Now < this->Rejected->RetryAt) {
    return {std::max(Base, this->Rejected->Revision), {}};
  }
  return {Base, {}};
}

std::optional<ReadRequest> ReadSchedule::next(const ReadSituation &Situation,
                                              Instant Now) {
  if (!Situation.Reader && Situation.SinceConfirmed < MaxConfirmedAge) {
    this->FallbackDue.reset();
    return std::nullopt;
  }
  if (!Situation.Reader && !this->FallbackDue) {
    this->FallbackDue = Now + this->jitter(MaxFallbackJitter);
  }
  const Instant Due = Situation.Reader
                          ? this->NextReaderCall
                          : std::max(*this->FallbackDue, this->NextFallback);
  if (Now < Due) {
    return std::nullopt;
  }
  this->NextFallback =
      Now + this->FallbackPeriod + this->jitter(MaxFallbackJitter);
  this->NextReaderCall = Now + MinReaderInterval;
  ReadRequest Request = this->watch(Situation, Now);
  if (Now >= this->NextUnconditional) {
    this->NextUnconditional = Now + MinUnconditionalPeriod;
    Request = {};
  } else if (Situation.Reader) {
    Request.Wait = MaxWatchTime;
  }
  this->LastAfter = Request.After;
  return Request;
}

bool ReadSchedule::finished(const FinishedRead &Read, Instant Now) {
  if (Read.Outcome == ReadOutcome::Failed ||
      Read.Outcome == ReadOutcome::RateExceeded) {
    this->BackOff = std::clamp(2 * this->BackOff, MinBackOff, MaxBackOff);
    this->NextReaderCall = Now + this->BackOff + this->jitter(this->BackOff);
    return false;
  }
  this->BackOff = {};
  const Duration BudgetInterval =
      Duration(seconds(Read.Bytes)) / UnconditionalBytesPerSecond;
  this->NextUnconditional =
      std::max(this->NextUnconditional, Now + BudgetInterval);
  switch (Read.Outcome) {
  case ReadOutcome::InForce:
    this->OlderServiceRevision.reset();
    this->Rejected.reset();
    return true;
  case ReadOutcome::Older:
    this->OlderServiceRevision = Read.Revision;
    return false;
  case ReadOutcome::Rejected:
    this->recordRejected(Read.Revision, Now);
    return true;
  default:
    break;
  }
  if (Read.Revision && *Read.Revision < this->LastAfter) {
    // The service was restored to an older revision; the next read is
    // unconditional and returns the value that it serves.
    this->OlderServiceRevision = Read.Revision;
    this->NextUnconditional = Now;
  }
  return !this->OlderServiceRevision;
}

void ReadSchedule::recordRejected(std::optional<std::uint64_t> Revision,
                                  Instant Now) {
  if (!Revision) {
    return;
  }
  const bool Repeated = this->Rejected && this->Rejected->Revision == *Revision;
  const Duration BackOff =
      Repeated ? std::min(2 * this->Rejected->BackOff, MaxRejectedBackOff)
               : MinRejectedBackOff;
  this->Rejected = RejectedValue{*Revision, Now + BackOff, BackOff};
}

} // namespace mulberryhoist
