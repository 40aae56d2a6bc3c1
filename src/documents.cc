#include "mulberryhoist/documents.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <map>
#include <mutex>
#include <thread>
#include <zmq.hpp>

#include "mulberryhoist/exchange.h"
#include "mulberryhoist/log.h"
#include "mulberryhoist/platform.h"
#include "mulberryhoist/replication.h"
#include "mulberryhoist/ring.h"
#include "mulberryhoist/timer.h"

namespace mulberryhoist {
namespace {

using std::chrono::milliseconds;

constexpr Duration TickPeriod = std::chrono::seconds(1);
/// The longest time until a thread notices a stop or an entry of a ring.
constexpr milliseconds TurnTime{20};
/// A link is checked once a second and replaced after 3 s of silence.
constexpr int HeartbeatPeriodMs = 1000;
constexpr int HeartbeatTimeoutMs = 3000;
constexpr int ReconnectMs = 100;
constexpr int LongestReconnectMs = 1000;
/// ZeroMQ drops the link at this size, without telling us; smaller frames above
/// `MaxExchangeBytes` are counted.
constexpr std::int64_t HardFrameLimit = 8 << 20;
/// Messages that may wait for a link; more are lost, which the exchange heals.
constexpr int MaxQueuedMessages = 100;
/// Frames handled in one turn of a link, so that no link starves the others.
constexpr int MaxFramesPerTurn = 100;
/// A call that the reader has not answered by then counts as failed, so that a
/// restart of the reader does not end all reading.
constexpr Duration ReadAnswerTimeout = std::chrono::seconds(15);
constexpr std::size_t RingCapacity = 8;
constexpr std::size_t KindCount = 2;
constexpr std::array<DocumentKind, KindCount> Kinds = {DocumentKind::Table,
                                                       DocumentKind::VmList};

std::size_t indexOf(DocumentKind Kind) {
  return static_cast<std::size_t>(Kind);
}

/// A call for the reader to make.
struct ReadCall {
  std::uint64_t Number = 0;
  DocumentKind Kind = DocumentKind::Table;
  ReadRequest Request;
};

/// What the reader brings back.
struct ReadReturn {
  std::uint64_t Number = 0;
  DocumentKind Kind = DocumentKind::Table;
  Result<PlatformAnswer> Answer;
  HttpCounters Counters;
};

using ReadCalls = Ring<ReadCall, RingCapacity>;
using ReadReturns = Ring<std::shared_ptr<const ReadReturn>, RingCapacity>;

std::string linkAddress(Endpoint Where) {
  return "tcp://" + formatEndpoint(Where);
}

void setLinkOptions(zmq::socket_t &Link) {
  Link.set(zmq::sockopt::linger, 0);
  Link.set(zmq::sockopt::sndhwm, MaxQueuedMessages);
  Link.set(zmq::sockopt::maxmsgsize, HardFrameLimit);
  Link.set(zmq::sockopt::heartbeat_ivl, HeartbeatPeriodMs);
  Link.set(zmq::sockopt::heartbeat_timeout, HeartbeatTimeoutMs);
  Link.set(zmq::sockopt::heartbeat_ttl, HeartbeatTimeoutMs);
}

PacketBytes bytesOf(const zmq::message_t &Frame) {
  return {static_cast<const std::uint8_t *>(Frame.data()), Frame.size()};
}

/// Makes a table; tombstones that this version of the program cannot read do
/// not stand in the way of the live rows.
Result<Table> makeTable(const DocumentContent &Content) {
  auto Made = Table::create(Content.Version, Content.Rows, Content.Removed);
  return Made ? std::move(Made) : Table::create(Content.Version, Content.Rows);
}

Result<VmList> makeVmList(const DocumentContent &Content) {
  std::string Text;
  for (const RowText &Row : Content.Rows) {
    Text += Row.Value;
    Text += '\n';
  }
  auto List = parseVmList(Text, Content.Version);
  if (List && List->Vms.size() != Content.Rows.size()) {
    return makeError(ErrorKind::InvalidTable,
                     "VM list: a row is more than one line");
  }
  return List;
}

/// A read value as rows.
struct ReadValue {
  DocumentVersion Version;
  std::vector<RowText> Rows;
};

Result<ReadValue> parseRead(DocumentKind Kind, const PlatformAnswer &Answer,
                            std::uint32_t TableEpoch) {
  if (Kind == DocumentKind::Table) {
    auto Published = parsePublishedTable(Answer.Body);
    if (!Published) {
      return tl::unexpected<Error>(std::move(Published.error()));
    }
    return ReadValue{{Published->Epoch, *Answer.Revision},
                     std::move(Published->Rows)};
  }
  // The VM list has no epoch of its own; with that of the table it follows a
  // restored service once operators have raised the epoch.
  const DocumentVersion Version{TableEpoch, *Answer.Revision};
  const auto List = parseVmList(Answer.Body, Version);
  if (!List) {
    return tl::unexpected<Error>(List.error());
  }
  ReadValue Value{Version, {}};
  for (const Vm &Each : List->Vms) {
    Value.Rows.push_back({Each.Name, formatVm(Each)});
  }
  return Value;
}

} // namespace

struct DocumentFeed::State {
  explicit State(DocumentSettings Given);

  Result<void> bind();
  Result<void> runExchange(const std::stop_token &Stop);
  Result<void> runReader(const std::stop_token &Stop);

  DocumentSettings Settings;

  // Shared with the callers of the getters.
  mutable std::mutex Lock;
  std::shared_ptr<const Table> CurrentTable;
  std::shared_ptr<const VmList> CurrentVms;
  DocumentStatus Known;
  std::optional<Instant> ConfirmedAt;

  // Between the exchange and the reader.
  ReadCalls Calls;
  ReadReturns Returns;

  // Used by the thread of the exchange only.
  zmq::context_t Context;
  zmq::socket_t Router;
  std::map<Endpoint, zmq::socket_t> Links;
  std::vector<Replica> Replicas;
  std::vector<ReadSchedule> Schedules;
  std::array<std::optional<ReadCall>, KindCount> Pending;
  std::array<Instant, KindCount> PendingSince{};
  std::uint64_t NextCall = 1;
  bool NeighboursChanged = true;
  bool PlatformReachable = false;
  HttpCounters Platform;
  std::uint64_t BytesSent = 0;
  std::uint64_t BytesReceived = 0;
  std::uint64_t MalformedFrames = 0;
  std::uint64_t ProblemsLogged = 0;
  std::string LastProblem;

private:
  Result<void> checkTable(const DocumentContent &Content);
  Result<void> checkVmList(const DocumentContent &Content);
  void turn(Instant Now, bool Discard);
  void updateNeighbours();
  void connect(Endpoint Where);
  void receiveFrames(zmq::socket_t &From, std::optional<Endpoint> Peer,
                     Instant Now, bool Discard);
  void handleFrame(Endpoint From, const zmq::message_t &Frame, Instant Now,
                   zmq::socket_t &Arrival, const zmq::message_t *Identity);
  void countMalformed(const Error &Problem);
  void send(const std::vector<OutgoingMessage> &Out);
  void sendFrame(zmq::socket_t &Link, const ExchangeMessage &Body,
                 const zmq::message_t *Identity);
  void planReads(Instant Now);
  void finishReads(Instant Now);
  void finishRead(const ReadReturn &Returned, Instant Now);
  FinishedRead offerAnswer(DocumentKind Kind, const PlatformAnswer &Answer,
                           Instant Now);
  void tick(Instant Now);
  void updateStatus(Instant Now);
  std::uint64_t problemCount() const;
};

DocumentFeed::State::State(DocumentSettings Given)
    : Settings(std::move(Given)) {
  const auto Seed = std::hash<std::string>()(this->Settings.Name) ^
                    std::hash<Endpoint>()(this->Settings.Control);
  this->Replicas.emplace_back(
      DocumentKind::Table,
      [this](const DocumentContent &New) { return this->checkTable(New); },
      Seed);
  this->Replicas.emplace_back(
      DocumentKind::VmList,
      [this](const DocumentContent &New) { return this->checkVmList(New); },
      Seed + 1);
  this->Schedules.emplace_back(Seed, ReadSchedule::TablePeriod);
  this->Schedules.emplace_back(Seed + 1, ReadSchedule::VmListPeriod);
}

Result<void> DocumentFeed::State::bind() {
  try {
    this->Router = zmq::socket_t(this->Context, zmq::socket_type::router);
    setLinkOptions(this->Router);
    // A process that lost its connection comes back under the same identity
    // before this side has noticed.
    this->Router.set(zmq::sockopt::router_handover, true);
    this->Router.bind(linkAddress(this->Settings.Control));
  } catch (const zmq::error_t &Problem) {
    this->Router.close();
    return makeError(ErrorKind::InvalidSetting,
                     fmt::format("control address {}: {}",
                                 formatEndpoint(this->Settings.Control),
                                 Problem.what()));
  }
  return {};
}

Result<void> DocumentFeed::State::checkTable(const DocumentContent &Content) {
  auto Made = makeTable(Content);
  if (!Made) {
    return tl::unexpected<Error>(std::move(Made.error()));
  }
  auto Shared = std::make_shared<const Table>(std::move(*Made));
  log(LogLevel::Info, "table in force",
      {{"epoch", std::int64_t{Content.Version.Epoch}},
       {"revision", static_cast<std::int64_t>(Content.Version.Revision)},
       {"rows", static_cast<std::int64_t>(Content.Rows.size())}});
  const std::lock_guard Guard(this->Lock);
  this->CurrentTable = std::move(Shared);
  return {};
}

Result<void> DocumentFeed::State::checkVmList(const DocumentContent &Content) {
  auto Made = makeVmList(Content);
  if (!Made) {
    return tl::unexpected<Error>(std::move(Made.error()));
  }
  this->NeighboursChanged = true;
  auto Shared = std::make_shared<const VmList>(std::move(*Made));
  const std::lock_guard Guard(this->Lock);
  this->CurrentVms = std::move(Shared);
  return {};
}

void DocumentFeed::State::connect(Endpoint Where) {
  zmq::socket_t Link(this->Context, zmq::socket_type::dealer);
  setLinkOptions(Link);
  Link.set(zmq::sockopt::routing_id, formatEndpoint(this->Settings.Control));
  // Without a connection messages are dropped instead of arriving late.
  Link.set(zmq::sockopt::immediate, true);
  Link.set(zmq::sockopt::connect_timeout, LongestReconnectMs);
  Link.set(zmq::sockopt::reconnect_ivl, ReconnectMs);
  Link.set(zmq::sockopt::reconnect_ivl_max, LongestReconnectMs);
  Link.connect(linkAddress(Where));
  this->Links.emplace(Where, std::move(Link));
}

void DocumentFeed::State::updateNeighbours() {
  if (!this->NeighboursChanged) {
    return;
  }
  this->NeighboursChanged = false;
  std::vector<Endpoint> Chosen;
  if (this->CurrentVms) {
    Chosen = chooseNeighbours(*this->CurrentVms, this->Settings.Name,
                              this->Settings.AvailabilityZone);
  }
  if (Chosen.empty()) {
    Chosen = this->Settings.Peers;
  }
  std::erase(Chosen, this->Settings.Control);
  std::erase_if(this->Links, [&Chosen](const auto &Each) {
    return std::find(Chosen.begin(), Chosen.end(), Each.first) == Chosen.end();
  });
  for (const Endpoint Each : Chosen) {
    if (!this->Links.contains(Each)) {
      this->connect(Each);
    }
  }
  for (Replica &Each : this->Replicas) {
    Each.setNeighbours(Chosen);
  }
}

void DocumentFeed::State::countMalformed(const Error &Problem) {
  ++this->MalformedFrames;
  this->LastProblem = Problem.Detail;
}

void DocumentFeed::State::sendFrame(zmq::socket_t &Link,
                                    const ExchangeMessage &Body,
                                    const zmq::message_t *Identity) {
  const std::string Bytes = encodeExchange(Body);
  if (Identity != nullptr) {
    Link.send(zmq::buffer(Identity->data(), Identity->size()),
              zmq::send_flags::sndmore | zmq::send_flags::dontwait);
  }
  if (Link.send(zmq::buffer(Bytes), zmq::send_flags::dontwait)) {
    this->BytesSent += Bytes.size();
  }
}

void DocumentFeed::State::send(const std::vector<OutgoingMessage> &Out) {
  for (const OutgoingMessage &Each : Out) {
    const auto Link = this->Links.find(Each.To);
    if (Link != this->Links.end()) {
      this->sendFrame(Link->second, Each.Body, nullptr);
    }
  }
}

void DocumentFeed::State::handleFrame(Endpoint From,
                                      const zmq::message_t &Frame, Instant Now,
                                      zmq::socket_t &Arrival,
                                      const zmq::message_t *Identity) {
  const auto Message = decodeExchange(bytesOf(Frame));
  if (!Message) {
    this->countMalformed(Message.error());
    return;
  }
  std::vector<OutgoingMessage> Out;
  this->Replicas[indexOf(documentOf(*Message))].receive(From, *Message, Now,
                                                        Out);
  // Answers go back the way that the message came.
  std::vector<OutgoingMessage> Others;
  for (OutgoingMessage &Each : Out) {
    if (Each.To == From) {
      this->sendFrame(Arrival, Each.Body, Identity);
    } else {
      Others.push_back(std::move(Each));
    }
  }
  this->send(Others);
}

void DocumentFeed::State::receiveFrames(zmq::socket_t &From,
                                        std::optional<Endpoint> Peer,
                                        Instant Now, bool Discard) {
  for (int I = 0; I < MaxFramesPerTurn; ++I) {
    zmq::message_t Identity;
    zmq::message_t Frame;
    zmq::message_t &First = Peer ? Frame : Identity;
    if (!From.recv(First, zmq::recv_flags::dontwait)) {
      return;
    }
    if (!Peer && First.more()) {
      (void)From.recv(Frame, zmq::recv_flags::none);
    }
    bool Extra = Frame.more();
    while (Extra) {
      zmq::message_t Rest;
      (void)From.recv(Rest, zmq::recv_flags::none);
      Extra = Rest.more();
      Frame.rebuild();
    }
    this->BytesReceived += Frame.size();
    if (Discard) {
      continue;
    }
    const auto Sender =
        Peer ? Result<Endpoint>(*Peer) : parseEndpoint(Identity.to_string());
    if (!Sender) {
      this->countMalformed({ErrorKind::MalformedMessage,
                            "document exchange: a peer has no address"});
      continue;
    }
    this->handleFrame(*Sender, Frame, Now, From, Peer ? nullptr : &Identity);
  }
}

void DocumentFeed::State::planReads(Instant Now) {
  if (!this->Settings.Platform) {
    return;
  }
  const bool Reader =
      this->CurrentVms && isReader(*this->CurrentVms, this->Settings.Name);
  for (const DocumentKind Kind : Kinds) {
    const std::size_t I = indexOf(Kind);
    if (this->Pending[I] && Now - this->PendingSince[I] < ReadAnswerTimeout) {
      continue;
    }
    if (this->Pending[I]) {
      this->Pending[I].reset();
      this->Schedules[I].finished({}, Now);
    }
    const ReadSituation Situation{Reader, this->Replicas[I].version().Revision,
                                  this->Replicas[I].sinceConfirmed(Now)};
    const auto Request = this->Schedules[I].next(Situation, Now);
    if (!Request) {
      continue;
    }
    this->Pending[I] = ReadCall{this->NextCall++, Kind, *Request};
    this->PendingSince[I] = Now;
    this->Calls.push(*this->Pending[I]);
  }
}

FinishedRead DocumentFeed::State::offerAnswer(DocumentKind Kind,
                                              const PlatformAnswer &Answer,
                                              Instant Now) {
  FinishedRead Read{ReadOutcome::InForce, Answer.Revision, Answer.Body.size()};
  Replica &Own = this->Replicas[indexOf(Kind)];
  const auto Value =
      parseRead(Kind, Answer,
                this->Replicas[indexOf(DocumentKind::Table)].version().Epoch);
  if (!Value) {
    Own.reject(Value.error());
    Read.Outcome = ReadOutcome::Rejected;
    return Read;
  }
  std::vector<OutgoingMessage> Out;
  const auto Offered = Own.offerRead(Value->Version, Value->Rows, Now, Out);
  if (!Offered) {
    const ErrorKind Problem = Offered.error().Kind;
    Read.Outcome = Problem == ErrorKind::OlderTable ||
                           Problem == ErrorKind::ConflictingTable
                       ? ReadOutcome::Older
                       : ReadOutcome::Rejected;
  }
  this->send(Out);
  return Read;
}

void DocumentFeed::State::finishRead(const ReadReturn &Returned, Instant Now) {
  this->Platform = Returned.Counters;
  const std::size_t I = indexOf(Returned.Kind);
  if (!this->Pending[I] || this->Pending[I]->Number != Returned.Number) {
    return;
  }
  this->Pending[I].reset();
  FinishedRead Read;
  const auto &Answer = Returned.Answer;
  if (!Answer) {
    const ErrorKind Problem = Answer.error().Kind;
    if (Problem == ErrorKind::CallRateExceeded) {
      Read.Outcome = ReadOutcome::RateExceeded;
    } else if (Problem != ErrorKind::ConfigurationUnavailable) {
      this->Replicas[I].reject(Answer.error());
    }
    this->LastProblem = Answer.error().Detail;
  } else if (Answer->Modified) {
    Read = this->offerAnswer(Returned.Kind, *Answer, Now);
  } else {
    Read = {ReadOutcome::Unchanged, Answer->Revision, 0};
  }
  this->PlatformReachable = Read.Outcome != ReadOutcome::Failed;
  const bool Confirmed = this->Schedules[I].finished(Read, Now);
  if (Confirmed && this->Replicas[I].version() != DocumentVersion{}) {
    this->Replicas[I].confirm(Now);
  }
}

void DocumentFeed::State::finishReads(Instant Now) {
  while (const auto Returned = this->Returns.pop()) {
    if (*Returned) {
      this->finishRead(**Returned, Now);
    }
  }
}

std::uint64_t DocumentFeed::State::problemCount() const {
  std::uint64_t Count = this->MalformedFrames;
  for (const Replica &Each : this->Replicas) {
    const ReplicaCounters &Own = Each.counters();
    Count += Own.OlderIgnored + Own.ConflictsSeen + Own.InvalidRejected;
  }
  return Count;
}

void DocumentFeed::State::tick(Instant Now) {
  std::vector<OutgoingMessage> Out;
  for (Replica &Each : this->Replicas) {
    Each.tick(Now, Out);
  }
  this->send(Out);
  this->updateStatus(Now);
  const std::uint64_t Problems = this->problemCount();
  if (Problems != this->ProblemsLogged) {
    log(LogLevel::Warning, "document rejected",
        {{"problem", std::string_view(this->LastProblem)},
         {"count",
          static_cast<std::int64_t>(Problems - this->ProblemsLogged)}});
    this->ProblemsLogged = Problems;
  }
}

void DocumentFeed::State::updateStatus(Instant Now) {
  const Replica &TableReplica = this->Replicas[indexOf(DocumentKind::Table)];
  const Replica &VmReplica = this->Replicas[indexOf(DocumentKind::VmList)];
  DocumentStatus New;
  New.Table = TableReplica.version();
  New.TableDigest = TableReplica.digest();
  New.VmListVersion = VmReplica.version();
  New.Reader =
      this->CurrentVms && isReader(*this->CurrentVms, this->Settings.Name);
  New.PlatformReachable = this->PlatformReachable;
  New.PlatformCalls = this->Platform.Calls;
  New.InvalidRejected = this->MalformedFrames;
  for (const Replica &Each : this->Replicas) {
    const ReplicaCounters &Own = Each.counters();
    New.OlderIgnored += Own.OlderIgnored;
    New.ConflictsSeen += Own.ConflictsSeen;
    New.InvalidRejected += Own.InvalidRejected;
    if (!Own.LastProblem.empty()) {
      this->LastProblem = Own.LastProblem;
    }
  }
  New.BytesSent = this->BytesSent + this->Platform.BytesSent;
  New.BytesReceived = this->BytesReceived + this->Platform.BytesReceived;
  New.LastProblem = this->LastProblem;
  const auto Age = TableReplica.sinceConfirmed(Now);
  const std::lock_guard Guard(this->Lock);
  this->Known = std::move(New);
  this->ConfirmedAt =
      Age < NeverConfirmed ? std::optional(Now - Age) : std::nullopt;
}

void DocumentFeed::State::turn(Instant Now, bool Discard) {
  this->receiveFrames(this->Router, std::nullopt, Now, Discard);
  for (auto &[Where, Link] : this->Links) {
    this->receiveFrames(Link, Where, Now, Discard);
  }
  this->finishReads(Now);
  this->updateNeighbours();
  this->planReads(Now);
}

Result<void> DocumentFeed::State::runExchange(const std::stop_token &Stop) {
  if (this->Router.handle() == nullptr) {
    if (auto Bound = this->bind(); !Bound) {
      return Bound;
    }
  }
  this->NeighboursChanged = true;
  PauseDetector Pauses;
  Instant NextTick = std::chrono::steady_clock::now();
  try {
    while (!Stop.stop_requested()) {
      std::vector<zmq::pollitem_t> Items = {
          {this->Router.handle(), 0, ZMQ_POLLIN, 0}};
      for (auto &[Where, Link] : this->Links) {
        Items.push_back({Link.handle(), 0, ZMQ_POLLIN, 0});
      }
      zmq::poll(Items, TurnTime);
      const Instant Now = std::chrono::steady_clock::now();
      // After a pause the ages in waiting messages are too young; lost messages
      // are repeated.
      this->turn(Now, Pauses.observe(Now).has_value());
      if (Now >= NextTick) {
        this->tick(Now);
        NextTick = Now + TickPeriod;
      }
    }
  } catch (const zmq::error_t &Problem) {
    this->Links.clear();
    this->Router.close();
    return makeError(ErrorKind::WorkerFailed,
                     fmt::format("document exchange: {}", Problem.what()));
  }
  this->Links.clear();
  this->Router.close();
  return {};
}

Result<void> DocumentFeed::State::runReader(const std::stop_token &Stop) {
  PlatformClient Client(*this->Settings.Platform);
  while (!Stop.stop_requested()) {
    const auto Call = this->Calls.pop();
    if (!Call) {
      std::this_thread::sleep_for(TurnTime);
      continue;
    }
    const std::string_view Path =
        Call->Kind == DocumentKind::Table ? TablePath : VmListPath;
    auto Answer =
        Client.fetch({Path, Call->Request.After, Call->Request.Wait}, Stop);
    this->Returns.push(std::make_shared<const ReadReturn>(ReadReturn{
        Call->Number, Call->Kind, std::move(Answer), Client.counters()}));
  }
  return {};
}

Result<DocumentFeed> DocumentFeed::create(DocumentSettings Settings) {
  auto Made = std::make_unique<State>(std::move(Settings));
  if (auto Bound = Made->bind(); !Bound) {
    return tl::unexpected<Error>(std::move(Bound.error()));
  }
  return DocumentFeed(std::move(Made));
}

DocumentFeed::DocumentFeed(std::unique_ptr<State> Impl)
    : Impl(std::move(Impl)) {}

DocumentFeed::DocumentFeed(DocumentFeed &&) noexcept = default;
DocumentFeed &DocumentFeed::operator=(DocumentFeed &&) noexcept = default;
DocumentFeed::~DocumentFeed() = default;

std::vector<Duty> DocumentFeed::duties() {
  State *Own = this->Impl.get();
  std::vector<Duty> Duties;
  Duties.push_back({"documents", [Own](const std::stop_token &Stop) {
                      return Own->runExchange(Stop);
                    }});
  if (Own->Settings.Platform) {
    Duties.push_back({"reader", [Own](const std::stop_token &Stop) {
                        return Own->runReader(Stop);
                      }});
  }
  return Duties;
}

std::shared_ptr<const Table> DocumentFeed::table() const {
  const std::lock_guard Guard(this->Impl->Lock);
  return this->Impl->CurrentTable;
}

std::shared_ptr<const VmList> DocumentFeed::vms() const {
  const std::lock_guard Guard(this->Impl->Lock);
  return this->Impl->CurrentVms;
}

DocumentStatus DocumentFeed::status() const {
  const Instant Now = std::chrono::steady_clock::now();
  const std::lock_guard Guard(this->Impl->Lock);
  DocumentStatus Status = this->Impl->Known;
  Status.SinceConfirmed = this->Impl->ConfirmedAt
                              ? Now - *this->Impl->ConfirmedAt
                              : Duration(NeverConfirmed);
  return Status;
}

} // namespace mulberryhoist
