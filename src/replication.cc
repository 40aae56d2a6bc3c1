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

/// How long a pull may stay unanswered before another neighbour is asked.
constexpr Duration PullTimeout = seconds(1);
/// A content that failed the checks here is not pulled again for this long.
/// Neighbours of another program version may have accepted it and announce it
/// every second.
constexpr Duration RefusedContentPause = seconds(30);
/// A neighbour whose last confirmed read is older than the own one by this much
/// is told the younger age.
constexpr milliseconds AgeDifference{1000};
/// Larger changes are announced by digest, so that a neighbour pulls them only
/// once instead of receiving them from several sides.
constexpr std::size_t MaxPushedBytes = 16U << 10U;
/// Room for rows in one message, below the limit of 2 MB for a message.
constexpr std::size_t MaxRowBytes = 1900000;
/// Estimated size of a row's version and framing.
constexpr std::size_t RowOverhead = 40;
/// The watch of a reader ends after this time at the latest, so that every
/// neighbour hears of a read younger than `MaxConfirmedAge`.
constexpr seconds WatchTime{1};
/// Bounds the calls of a reader while the table changes all the time.
constexpr Duration MinReaderSpacing = milliseconds(200);
/// Spreads the reads of processes that lose touch at the same time.
constexpr Duration MaxFallbackSpread = seconds(1);
constexpr Duration MinBackOff = seconds(1);
constexpr Duration MaxBackOff = seconds(4);
/// Back-off before a rejected value is fetched again; it may have been read
/// half-written.
constexpr Duration MinReread = seconds(1);
constexpr Duration MaxReread = seconds(30);
/// Reads without condition take at most 2 KB/s of the 3 KB/s control budget.
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

/// A removed row is identified by its key and by what flows depend on.
struct TombstoneKey {
  std::string Key;
  std::string Identity;

  friend bool operator<(const TombstoneKey &A, const TombstoneKey &B) {
    return std::tie(A.Key, A.Identity) < std::tie(B.Key, B.Identity);
  }
};

using LiveRows = std::map<std::string, LiveRow>;
using Tombstones = std::map<TombstoneKey, Tombstone>;

/// A content that was received or read but is not in force.
struct Candidate {
  DocumentVersion Version;
  std::uint64_t Digest = 0;
  LiveRows Live;
  std::vector<ExchangeRow> Removed;
};

/// The cells of a table row that decide where flows go: service, address,
/// upstream and endpoint. A row that changes one of them leaves a tombstone.
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

std::vector<RowText> textOf(const LiveRows &Live) {
  std::vector<RowText> Rows;
  Rows.reserve(Live.size());
  for (const auto &[Key, Row] : Live) {
    Rows.push_back({Key, Row.Value});
  }
  return Rows;
}

std::size_t sizeOf(const ExchangeRow &Row) {
  return Row.Key.size() + Row.Value.size() + RowOverhead;
}

DocumentContent contentOf(DocumentVersion Version, const LiveRows &Live,
                          const Tombstones &Removed) {
  DocumentContent Content{Version, textOf(Live), {}};
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

std::string describe(DocumentVersion Version) {
  return fmt::format("{}.{}", Version.Epoch, Version.Revision);
}

/// A neighbour has greater content.
struct Behind {
  Endpoint Peer;
  bool Whole = false;
};

/// Received rows did not lead to the announced digest.
struct Mismatched {
  Endpoint Peer;
};

/// A content came into force.
struct Accepted {};

/// The pull was not answered in time.
struct TimedOut {};

/// The state machine of pulls: at most one is open, and row changes that do not
/// fit are followed by one pull of the whole document.
struct PullFrontEnd : msm::front::state_machine_def<PullFrontEnd> {
  struct Idle : msm::front::state<> {};
  struct AwaitingChanges : msm::front::state<> {};
  struct AwaitingWhole : msm::front::state<> {};
  using initial_state = Idle; // NOLINT(readability-identifier-naming)

  void pull(const Behind &Event) { this->send(Event.Peer, Event.Whole); }
  void pullWhole(const Mismatched &Event) { this->send(Event.Peer, true); }

  void send(Endpoint To, bool Whole) {
    this->Out->push_back({To, PullMessage{this->Document, this->Own, Whole}});
  }

  using M = PullFrontEnd;
  // NOLINTNEXTLINE(readability-identifier-naming)
  struct transition_table
      : boost::mpl::vector<
            a_row<Idle, Behind, AwaitingChanges, &M::pull>,
            a_row<Idle, Mismatched, AwaitingWhole, &M::pullWhole>,
            a_row<AwaitingChanges, Mismatched, AwaitingWhole, &M::pullWhole>,
            _row<AwaitingChanges, Accepted, Idle>,
            _row<AwaitingChanges, TimedOut, Idle>,
            _row<AwaitingWhole, Mismatched, Idle>,
            _row<AwaitingWhole, Accepted, Idle>,
            _row<AwaitingWhole, TimedOut, Idle>> {};

  /// Events without a transition change nothing.
  template <typename Machine, typename Event>
  // NOLINTNEXTLINE(readability-identifier-naming)
  void no_transition(const Event & /*unused*/, Machine & /*unused*/,
                     int /*unused*/) {}

  DocumentKind Document = DocumentKind::Table;
  DocumentVersion Own;
  std::vector<OutgoingMessage> *Out = nullptr;
};

using PullMachine = msm::back::state_machine<PullFrontEnd>;

} // namespace

struct Replica::State {
  DocumentKind Document;
  Check Checker;
  std::minstd_rand Random;
  std::vector<Endpoint> Neighbours;
  /// The neighbours that still get a digest in this round.
  std::vector<Endpoint> Cycle;
  DocumentVersion Version;
  std::uint64_t Digest = 0;
  LiveRows Live;
  Tombstones Removed;
  std::optional<Instant> ConfirmedAt;
  ReplicaCounters Counters;
  std::pair<DocumentVersion, std::uint64_t> Refused;
  Instant RefusedUntil;
  PullMachine Pulls;
  Instant PullDeadline;

  State(DocumentKind Document, Check Checker, std::uint64_t Seed)
      : Document(Document), Checker(std::move(Checker)),
        Random(static_cast<std::minstd_rand::result_type>(Seed)) {
    this->Pulls.start();
  }

  template <typename Event>
  void pullEvent(const Event &Happened, Instant Now,
                 std::vector<OutgoingMessage> &Out) {
    this->Pulls.Document = this->Document;
    this->Pulls.Own = this->Version;
    this->Pulls.Out = &Out;
    const std::size_t Sent = Out.size();
    this->Pulls.process_event(Happened);
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

  /// Takes over the age of a read that confirmed the content in force.
  void confirmAt(Instant When) {
    this->ConfirmedAt = std::max(this->ConfirmedAt.value_or(When), When);
  }

  void confirmFromPeer(milliseconds Age, Instant Now) {
    if (Age < NeverConfirmed) {
      this->confirmAt(Now - std::max(Age, milliseconds(0)));
    }
  }

  DigestMessage digestMessage(Instant Now) const {
    return {this->Document, this->Version, this->Digest, this->age(Now)};
  }

  tl::unexpected<Error> refuse(ErrorKind Kind, std::string Detail) {
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
  /// The tombstones that hold once the candidate is in force.
  Tombstones removedBy(const Candidate &New, Instant Now);
  /// Sets with which version the rows of a candidate changed here.
  void markChanged(Candidate &New) const;
  Result<void> checkOrder(const Candidate &New);
  Candidate apply(const ChangesMessage &Message) const;
  Result<void> offer(Candidate New, Instant Now,
                     std::vector<OutgoingMessage> &Out,
                     std::optional<Endpoint> From);
  void push(DocumentVersion Before, std::optional<Endpoint> From, Instant Now,
            std::vector<OutgoingMessage> &Out);
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
      Bytes += sizeOf(Message.Rows.back());
    }
  }
  std::vector<ExchangeRow> Gone;
  for (const auto &[Key, Row] : this->Removed) {
    if (Whole || Row.Changed > Since) {
      Gone.push_back(
          {Key.Key, Row.Value, Row.Changed, true,
           std::chrono::duration_cast<milliseconds>(Now - Row.RemovedAt)});
    }
  }
  // If not everything fits, the oldest tombstones are left out.
  std::sort(Gone.begin(), Gone.end(), [](const auto &A, const auto &B) {
    return A.DeletedAge < B.DeletedAge;
  });
  for (ExchangeRow &Row : Gone) {
    Bytes += sizeOf(Row);
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
    Tombstone &Known = Entry->second;
    if (Added || Row.Changed < Known.Changed) {
      continue;
    }
    // Of two reports of one removal the earlier time holds, so that a tombstone
    // does not live on by being passed around.
    Known.RemovedAt = Row.Changed > Known.Changed
                          ? RemovedAt
                          : std::min(Known.RemovedAt, RemovedAt);
    Known.Changed = Row.Changed;
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

Tombstones Replica::State::removedBy(const Candidate &New, Instant Now) {
  this->expireTombstones(Now);
  Tombstones Made = this->Removed;
  for (const auto &[Key, Row] : this->Live) {
    const std::string Identity = identityOf(this->Document, Row.Value);
    const auto Kept = New.Live.find(Key);
    if (Kept == New.Live.end() ||
        identityOf(this->Document, Kept->second.Value) != Identity) {
      Made[{Key, Identity}] = {Row.Value, New.Version, Now};
    }
  }
  this->mergeTombstones(New, Made, Now);
  return Made;
}

void Replica::State::markChanged(Candidate &New) const {
  for (auto &[Key, Row] : New.Live) {
    const auto Old = this->Live.find(Key);
    if (Old != this->Live.end() && Old->second.Value == Row.Value) {
      Row.Changed = Old->second.Changed;
    } else if (!this->Live.empty()) {
      // Also if the sender saw the row change earlier: a neighbour that pulls
      // from here may still have the own old value.
      Row.Changed = New.Version;
    }
  }
}

Result<void> Replica::State::checkOrder(const Candidate &New) {
  if (New.Version < this->Version) {
    ++this->Counters.OlderIgnored;
    return this->refuse(ErrorKind::OlderTable,
                        fmt::format("version {} is older than {} in force",
                                    describe(New.Version),
                                    describe(this->Version)));
  }
  if (New.Version > this->Version) {
    return {};
  }
  ++this->Counters.ConflictsSeen;
  auto Refusal = this->refuse(
      ErrorKind::ConflictingTable,
      fmt::format("version {} has two contents with digests {:016x} and "
                  "{:016x}; the greater is used",
                  describe(New.Version), New.Digest, this->Digest));
  if (New.Digest < this->Digest) {
    return Refusal;
  }
  return {};
}

Result<void> Replica::State::offer(Candidate New, Instant Now,
                                   std::vector<OutgoingMessage> &Out,
                                   std::optional<Endpoint> From) {
  if (New.Version == this->Version && New.Digest == this->Digest) {
    return {};
  }
  if (auto Ordered = this->checkOrder(New); !Ordered) {
    return Ordered;
  }
  Tombstones NewRemoved = this->removedBy(New, Now);
  this->markChanged(New);
  const auto Checked =
      this->Checker(contentOf(New.Version, New.Live, NewRemoved));
  if (!Checked) {
    ++this->Counters.InvalidRejected;
    this->Refused = {New.Version, New.Digest};
    this->RefusedUntil = Now + RefusedContentPause;
    return this->refuse(Checked.error().Kind, Checked.error().Detail);
  }
  const DocumentVersion Before = this->Version;
  this->Version = New.Version;
  this->Digest = New.Digest;
  this->Live = std::move(New.Live);
  this->Removed = std::move(NewRemoved);
  this->ConfirmedAt.reset();
  ++this->Counters.Accepted;
  this->pullEvent(Accepted{}, Now, Out);
  this->push(Before, From, Now, Out);
  return {};
}

void Replica::State::push(DocumentVersion Before, std::optional<Endpoint> From,
                          Instant Now, std::vector<OutgoingMessage> &Out) {
  std::vector<Endpoint> Targets = this->Neighbours;
  std::erase_if(Targets, [From](Endpoint Each) { return Each == From; });
  std::shuffle(Targets.begin(), Targets.end(), this->Random);
  Targets.resize(std::min(Targets.size(), PushFanout));
  ExchangeMessage Body = this->digestMessage(Now);
  // A first content is known to the neighbours that it came from, and a second
  // content of one version is no change since that version.
  if (Before != DocumentVersion{} && Before != this->Version) {
    ChangesMessage Changes = this->changesSince(Before, false, Now);
    std::size_t Bytes = 0;
    for (const ExchangeRow &Row : Changes.Rows) {
      Bytes += sizeOf(Row);
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
  const auto Theirs = std::pair(Message.Version, Message.Digest);
  const auto Own = std::pair(this->Version, this->Digest);
  if (Theirs == this->Refused && Now < this->RefusedUntil) {
    return;
  }
  if (Theirs > Own) {
    const bool Whole =
        this->Version == DocumentVersion{} || this->Version == Message.Version;
    this->pullEvent(Behind{From, Whole}, Now, Out);
    return;
  }
  if (Theirs == Own) {
    this->confirmFromPeer(Message.Age, Now);
    if (Message.Age <= this->age(Now) + AgeDifference) {
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
  New.Digest = digestRows(New.Version, textOf(New.Live));
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
      this->pullEvent(Behind{From, this->Version == DocumentVersion{}}, Now,
                      Out);
      return;
    }
    if (Message.Whole) {
      this->reject({ErrorKind::IncompleteTable,
                    fmt::format("the rows of version {} from {} do not have "
                                "the digest {:016x}",
                                describe(Message.Version), formatEndpoint(From),
                                Message.Digest)});
    }
    this->pullEvent(Mismatched{From}, Now, Out);
    return;
  }
  if (this->offer(std::move(New), Now, Out, From)) {
    this->confirmFromPeer(Message.Age, Now);
  }
}

Replica::Replica(DocumentKind Document, Check Checker, std::uint64_t Seed)
    : Impl(std::make_unique<State>(Document, std::move(Checker), Seed)) {}

Replica::Replica(Replica &&) noexcept = default;
Replica &Replica::operator=(Replica &&) noexcept = default;
Replica::~Replica() = default;

void Replica::setNeighbours(std::vector<Endpoint> Neighbours) {
  if (Neighbours != this->Impl->Neighbours) {
    this->Impl->Neighbours = std::move(Neighbours);
    this->Impl->Cycle.clear();
  }
}

void Replica::receive(Endpoint From, const ExchangeMessage &Message,
                      Instant Now, std::vector<OutgoingMessage> &Out) {
  State &Own = *this->Impl;
  if (const auto *Digest = std::get_if<DigestMessage>(&Message)) {
    Own.onDigest(From, *Digest, Now, Out);
  } else if (const auto *Pull = std::get_if<PullMessage>(&Message)) {
    Own.onPull(From, *Pull, Now, Out);
  } else {
    Own.onChanges(From, std::get<ChangesMessage>(Message), Now, Out);
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
  auto Offered = this->Impl->offer(std::move(New), Now, Out, std::nullopt);
  if (Offered) {
    this->Impl->confirmAt(Now);
  }
  return Offered;
}

void Replica::confirm(Instant Now) { this->Impl->confirmAt(Now); }

void Replica::reject(const Error &Problem) { this->Impl->reject(Problem); }

void Replica::tick(Instant Now, std::vector<OutgoingMessage> &Out) {
  State &Own = *this->Impl;
  if (Now >= Own.PullDeadline) {
    Own.pullEvent(TimedOut{}, Now, Out);
  }
  if (Own.Cycle.empty()) {
    Own.Cycle = Own.Neighbours;
    std::shuffle(Own.Cycle.begin(), Own.Cycle.end(), Own.Random);
  }
  if (!Own.Cycle.empty()) {
    Out.push_back({Own.Cycle.back(), Own.digestMessage(Now)});
    Own.Cycle.pop_back();
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

Duration ReadSchedule::spread(Duration Max) {
  return Duration(std::uniform_int_distribution<Duration::rep>(0, Max.count())(
      this->Random));
}

ReadRequest ReadSchedule::watch(const ReadSituation &Situation,
                                Instant Now) const {
  const std::uint64_t Base =
      this->BehindRevision.value_or(Situation.RevisionInForce);
  // A rejected value is not fetched again before its back-off, but what comes
  // after it is.
  if (this->Rejected && Now < this->Rejected->ReadAgain) {
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
    this->FallbackDue = Now + this->spread(MaxFallbackSpread);
  }
  const Instant Due = Situation.Reader
                          ? this->NextReaderCall
                          : std::max(*this->FallbackDue, this->NextFallback);
  if (Now < Due) {
    return std::nullopt;
  }
  this->NextFallback =
      Now + this->FallbackPeriod + this->spread(MaxFallbackSpread);
  this->NextReaderCall = Now + MinReaderSpacing;
  ReadRequest Request = this->watch(Situation, Now);
  if (Now >= this->NextUnconditional) {
    this->NextUnconditional = Now + MinUnconditionalPeriod;
    Request = {};
  } else if (Situation.Reader) {
    Request.Wait = WatchTime;
  }
  this->LastAfter = Request.After;
  return Request;
}

bool ReadSchedule::finished(const FinishedRead &Read, Instant Now) {
  if (Read.Outcome == ReadOutcome::Failed ||
      Read.Outcome == ReadOutcome::RateExceeded) {
    this->BackOff = std::clamp(2 * this->BackOff, MinBackOff, MaxBackOff);
    this->NextReaderCall = Now + this->BackOff + this->spread(this->BackOff);
    return false;
  }
  this->BackOff = {};
  const Duration Affordable =
      Duration(seconds(Read.Bytes)) / UnconditionalBytesPerSecond;
  this->NextUnconditional = std::max(this->NextUnconditional, Now + Affordable);
  switch (Read.Outcome) {
  case ReadOutcome::InForce:
    this->BehindRevision.reset();
    this->Rejected.reset();
    return true;
  case ReadOutcome::Older:
    this->BehindRevision = Read.Revision;
    return false;
  case ReadOutcome::Rejected:
    this->noteRejected(Read.Revision, Now);
    return true;
  default:
    break;
  }
  if (Read.Revision && *Read.Revision < this->LastAfter) {
    // The service was restored; the next call finds out what it holds.
    this->BehindRevision = Read.Revision;
    this->NextUnconditional = Now;
  }
  return !this->BehindRevision;
}

void ReadSchedule::noteRejected(std::optional<std::uint64_t> Revision,
                                Instant Now) {
  if (!Revision) {
    return;
  }
  const bool Again = this->Rejected && this->Rejected->Revision == *Revision;
  const Duration BackOff =
      Again ? std::min(2 * this->Rejected->BackOff, MaxReread) : MinReread;
  this->Rejected = RejectedValue{*Revision, Now + BackOff, BackOff};
}

} // namespace mulberryhoist
