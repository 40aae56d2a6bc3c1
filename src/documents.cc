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
/// The longest time until a thread sees a stop request or a new ring entry.
constexpr milliseconds PollInterval{20};
/// A link is probed once a second and replaced after 3 s without a reply.
constexpr int HeartbeatPeriodMs = 1000;
constexpr int HeartbeatTimeoutMs = 3000;
constexpr int ReconnectMs = 100;
constexpr int MaxReconnectMs = 1000;
/// ZeroMQ drops the link above this size without an error to the process;
/// smaller frames above `MaxExchangeBytes` are counted as malformed.
constexpr std::int64_t MaxFrameBytes = 8 << 20;
/// Messages queued for a link; further ones are dropped, from which the
/// exchange recovers by its periodic digests.
constexpr int MaxQueuedMessages = 100;
/// Frames handled per link in one iteration, so that no link starves the
/// others.
constexpr int MaxFramesPerIteration = 100;
/// A call that the reader has not completed within this time counts as failed,
/// so that reads continue after a restart of the reader.
constexpr Duration ReadResponseTimeout = std::chrono::seconds(15);
constexpr std::size_t RingCapacity = 8;
constexpr std::size_t KindCount = 2;
constexpr std::array<DocumentKind, KindCount> Kinds = {DocumentKind::Table,
                                                       DocumentKind::VmList};

std::size_t indexOf(DocumentKind Kind) {
  return static_cast<std::size_t>(Kind);
}

/// A call that the exchange requests from the reader.
struct ReadCall {
  std::uint64_t Number = 0;
  DocumentKind Kind = DocumentKind::Table;
  ReadRequest Request;
};

/// The result of a call, from the reader to the exchange.
struct ReadCompletion {
  std::uint64_t Number = 0;
  DocumentKind Kind = DocumentKind::Table;
  Result<PlatformResponse> Response;
  HttpCounters Counters;
};

using ReadCalls = Ring<ReadCall, RingCapacity>;
using ReadCompletions =
    Ring<std::shared_ptr<const ReadCompletion>, RingCapacity>;

std::string linkAddress(Endpoint Address) {
  return "tcp://" + formatEndpoint(Address);
}

void setLinkOptions(zmq::socket_t &Link) {
  Link.set(zmq::sockopt::linger, 0);
  Link.set(zmq::sockopt::sndhwm, MaxQueuedMessages);
  Link.set(zmq::sockopt::maxmsgsize, MaxFrameBytes);
  Link.set(zmq::sockopt::heartbeat_ivl, HeartbeatPeriodMs);
  Link.set(zmq::sockopt::heartbeat_timeout, HeartbeatTimeoutMs);
  Link.set(zmq::sockopt::heartbeat_ttl, HeartbeatTimeoutMs);
}

PacketBytes bytesOf(const zmq::message_t &Frame) {
  return {static_cast<const std::uint8_t *>(Frame.data()), Frame.size()};
}

/// Builds a table; tombstones that this version of the program cannot parse are
/// omitted, so that they do not block the live rows.
Result<Table> makeTable(const DocumentContent &Content) {
  auto NewTable = Table::create(Content.Version, Content.Rows, Content.Removed);
  return NewTable ? std::move(NewTable)
                  : Table::create(Content.Version, Content.Rows);
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
                     "VM list: a row has more than one line");
  }
  return List;
}

/// A value of the configuration service, split into rows.
struct ReadValue {
  DocumentVersion Version;
  std::vector<RowText> Rows;
};

Result<ReadValue> parseRead(DocumentKind Kind, const PlatformResponse &Response,
                            std::uint32_t TableEpoch) {
  if (Kind == DocumentKind::Table) {
    auto Published = parsePublishedTable(Response.Body);
    if (!Published) {
      return tl::unexpected<Error>(std::move(Published.error()));
    }
    return ReadValue{{Published->Epoch, *Response.Revision},
                     std::move(Published->Rows)};
  }
  // The VM list has no epoch of its own. With that of the table, the list of a
  // restored service is accepted once operators have raised the epoch.
  const DocumentVersion Version{TableEpoch, *Response.Revision};
  const auto List = parseVmList(Response.Body, Version);
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
  explicit State(DocumentSettings Settings);

  Result<void> bind();
  Result<void> runExchange(const std::stop_token &Stop);
  Result<void> runReader(const std::stop_token &Stop);

  DocumentSettings Settings;

  // Protected by `Lock` and read by the getters.
  mutable std::mutex Lock;
  std::shared_ptr<const Table> CurrentTable;
  std::shared_ptr<const VmList> CurrentVms;
  DocumentStatus CurrentStatus;
  std::optional<Instant> ConfirmedAt;

  // Queues between the exchange and the reader.
  ReadCalls Calls;
  ReadCompletions Completions;

  // Used only by the thread of the exchange.
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
  HttpCounters PlatformCounters;
  std::uint64_t BytesSent = 0;
  std::uint64_t BytesReceived = 0;
  std::uint64_t MalformedFrames = 0;
  std::uint64_t ProblemsLogged = 0;
  std::string LastProblem;

private:
  Result<void> acceptTable(const DocumentContent &Content);
  Result<void> acceptVmList(const DocumentContent &Content);
  void runIteration(Instant Now, bool Discard);
  void updateNeighbours();
  void connect(Endpoint Peer);
  void receiveFrames(zmq::socket_t &From, std::optional<Endpoint> Peer,
                     Instant Now, bool Discard);
  void handleFrame(Endpoint From, const zmq::message_t &Frame, Instant Now,
                   zmq::socket_t &ReplySocket, const zmq::message_t *Identity);
  void countMalformed(const Error &Problem);
  void send(const std::vector<OutgoingMessage> &Out);
  void sendFrame(zmq::socket_t &Link, const ExchangeMessage &Body,
                 const zmq::message_t *Identity);
  void scheduleReads(Instant Now);
  void finishReads(Instant Now);
  void finishRead(const ReadCompletion &Completion, Instant Now);
  FinishedRead offerResponse(DocumentKind Kind,
                             const PlatformResponse &Response, Instant Now);
  void tick(Instant Now);
  void updateStatus(Instant Now);
  std::uint64_t problemCount() const;
};

DocumentFeed::State::State(DocumentSettings Settings)
    : Settings(std::move(Settings)) {
  const auto Seed = std::hash<std::string>()(this->Settings.Name) ^
                    std::hash<Endpoint>()(this->Settings.Control);
  this->Replicas.emplace_back(
      DocumentKind::Table,
      [this](const DocumentContent &New) { return this->acceptTable(New); },
      Seed);
  this->Replicas.emplace_back(
      DocumentKind::VmList,
      [this](const DocumentContent &New) { return this->acceptVmList(New); },
      Seed + 1);
  this->Schedules.emplace_back(Seed, ReadSchedule::TablePeriod);
  this->Schedules.emplace_back(Seed + 1, ReadSchedule::VmListPeriod);
}

Result<void> DocumentFeed::State::bind() {
  try {
    this->Router = zmq::socket_t(this->Context, zmq::socket_type::router);
    setLinkOptions(this->Router);
    // A process that lost its connection reconnects under the same identity
    // before this side has detected the loss.
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

Result<void> DocumentFeed::State::acceptTable(const DocumentContent &Content) {
  auto NewTable = makeTable(Content);
  if (!NewTable) {
    return tl::unexpected<Error>(std::move(NewTable.error()));
  }
  auto Shared = std::make_shared<const Table>(std::move(*NewTable));
  log(LogLevel::Info, "table in force",
      {{"epoch", std::int64_t{Content.Version.Epoch}},
       {"revision", static_cast<std::int64_t>(Content.Version.Revision)},
       {"rows", static_cast<std::int64_t>(Content.Rows.size())}});
  const std::lock_guard Guard(this->Lock);
  this->CurrentTable = std::move(Shared);
  return {};
}

Result<void> DocumentFeed::State::acceptVmList(const DocumentContent &Content) {
  auto NewList = makeVmList(Content);
  if (!NewList) {
    return tl::unexpected<Error>(std::move(NewList.error()));
  }
  this->NeighboursChanged = true;
  auto Shared = std::make_shared<const VmList>(std::move(*NewList));
  const std::lock_guard Guard(this->Lock);
  this->CurrentVms = std::move(Shared);
  return {};
}

void DocumentFeed::State::connect(Endpoint Peer) {
  zmq::socket_t Link(this->Context, zmq::socket_type::dealer);
  setLinkOptions(Link);
  Link.set(zmq::sockopt::routing_id, formatEndpoint(this->Settings.Control));
  // While disconnected, messages are dropped instead of delivered late.
  Link.set(zmq::sockopt::immediate, true);
  Link.set(zmq::sockopt::connect_timeout, MaxReconnectMs);
  Link.set(zmq::sockopt::reconnect_ivl, ReconnectMs);
  Link.set(zmq::sockopt::reconnect_ivl_max, MaxReconnectMs);
  Link.connect(linkAddress(Peer));
  this->Links.emplace(Peer, std::move(Link));
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
                                      zmq::socket_t &ReplySocket,
                                      const zmq::message_t *Identity) {
  const auto Message = decodeExchange(bytesOf(Frame));
  if (!Message) {
    this->countMalformed(Message.error());
    return;
  }
  std::vector<OutgoingMessage> Out;
  this->Replicas[indexOf(documentOf(*Message))].receive(From, *Message, Now,
                                                        Out);
  // Replies are sent on the socket on which the message was received.
  std::vector<OutgoingMessage> Others;
  for (OutgoingMessage &Each : Out) {
    if (Each.To == From) {
      this->sendFrame(ReplySocket, Each.Body, Identity);
    } else {
      Others.push_back(std::move(Each));
    }
  }
  this->send(Others);
}

void DocumentFeed::State::receiveFrames(zmq::socket_t &From,
                                        std::optional<Endpoint> Peer,
                                        Instant Now, bool Discard) {
  for (int I = 0; I < MaxFramesPerIteration; ++I) {
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
      this->countMalformed(
          {ErrorKind::MalformedMessage,
           "document exchange: the routing id of a peer is not "
           "an endpoint"});
      continue;
    }
    this->handleFrame(*Sender, Frame, Now, From, Peer ? nullptr : &Identity);
  }
}

void DocumentFeed::State::scheduleReads(Instant Now) {
  if (!this->Settings.Platform) {
    return;
  }
  const bool Reader =
      this->CurrentVms && isReader(*this->CurrentVms, this->Settings.Name);
  for (const DocumentKind Kind : Kinds) {
    const std::size_t I = indexOf(Kind);
    if (this->Pending[I] && Now - this->PendingSince[I] < ReadResponseTimeout) {
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

FinishedRead DocumentFeed::State::offerResponse(
    DocumentKind Kind, const PlatformResponse &Response, Instant Now) {
  FinishedRead Read{ReadOutcome::InForce, Response.Revision,
                    Response.Body.size()};
  Replica &Target = this->Replicas[indexOf(Kind)];
  const auto Value =
      parseRead(Kind, Response,
                this->Replicas[indexOf(DocumentKind::Table)].version().Epoch);
  if (!Value) {
    Target.reject(Value.error());
    Read.Outcome = ReadOutcome::Rejected;
    return Read;
  }
  std::vector<OutgoingMessage> Out;
  const auto Offered = Target.offerRead(Value->Version, Value->Rows, Now, Out);
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

void DocumentFeed::State::finishRead(const ReadCompletion &Completion,
                                     Instant Now) {
  this->PlatformCounters = Completion.Counters;
  const std::size_t I = indexOf(Completion.Kind);
  if (!this->Pending[I] || this->Pending[I]->Number != Completion.Number) {
    return;
  }
  this->Pending[I].reset();
  FinishedRead Read;
  const auto &Response = Completion.Response;
  if (!Response) {
    const ErrorKind Problem = Response.error().Kind;
    if (Problem == ErrorKind::CallRateExceeded) {
      Read.Outcome = ReadOutcome::RateExceeded;
    } else if (Problem != ErrorKind::ConfigurationUnavailable) {
      this->Replicas[I].reject(Response.error());
    }
    this->LastProblem = Response.error().Detail;
  } else if (Response->Modified) {
    Read = this->offerResponse(Completion.Kind, *Response, Now);
  } else {
    Read = {ReadOutcome::Unchanged, Response->Revision, 0};
  }
  this->PlatformReachable = Read.Outcome != ReadOutcome::Failed;
  const bool Confirmed = this->Schedules[I].finished(Read, Now);
  if (Confirmed && this->Replicas[I].version() != DocumentVersion{}) {
    this->Replicas[I].confirm(Now);
  }
}

void DocumentFeed::State::finishReads(Instant Now) {
  while (const auto Completion = this->Completions.pop()) {
    if (*Completion) {
      this->finishRead(**Completion, Now);
    }
  }
}

std::uint64_t DocumentFeed::State::problemCount() const {
  std::uint64_t Count = this->MalformedFrames;
  for (const Replica &Each : this->Replicas) {
    const ReplicaCounters &Counters = Each.counters();
    Count += Counters.OlderIgnored + Counters.ConflictsSeen +
             Counters.InvalidRejected;
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
  New.PlatformCalls = this->PlatformCounters.Calls;
  New.InvalidRejected = this->MalformedFrames;
  for (const Replica &Each : this->Replicas) {
    const ReplicaCounters &Counters = Each.counters();
    New.OlderIgnored += Counters.OlderIgnored;
    New.ConflictsSeen += Counters.ConflictsSeen;
    New.InvalidRejected += Counters.InvalidRejected;
    if (!Counters.LastProblem.empty()) {
      this->LastProblem = Counters.LastProblem;
    }
  }
  New.BytesSent = this->BytesSent + this->PlatformCounters.BytesSent;
  New.BytesReceived =
      this->BytesReceived + this->PlatformCounters.BytesReceived;
  New.LastProblem = this->LastProblem;
  const auto Age = TableReplica.sinceConfirmed(Now);
  const std::lock_guard Guard(this->Lock);
  this->CurrentStatus = std::move(New);
  this->ConfirmedAt =
      Age < NeverConfirmed ? std::optional(Now - Age) : std::nullopt;
}

void DocumentFeed::State::runIteration(Instant Now, bool Discard) {
  this->receiveFrames(this->Router, std::nullopt, Now, Discard);
  for (auto &[Peer, Link] : this->Links) {
    this->receiveFrames(Link, Peer, Now, Discard);
  }
  this->finishReads(Now);
  this->updateNeighbours();
  this->scheduleReads(Now);
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
      for (auto &[Peer, Link] : this->Links) {
        Items.push_back({Link.handle(), 0, ZMQ_POLLIN, 0});
      }
      zmq::poll(Items, PollInterval);
      const Instant Now = std::chrono::steady_clock::now();
      // Messages queued during a pause of the process are discarded, since
      // their ages are too young; the exchange repeats lost messages.
      this->runIteration(Now, Pauses.observe(Now).has_value());
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
      std::this_thread::sleep_for(PollInterval);
      continue;
    }
    const std::string_view Path =
        Call->Kind == DocumentKind::Table ? TablePath : VmListPath;
    auto Response =
        Client.fetch({Path, Call->Request.After, Call->Request.Wait}, Stop);
    this->Completions.push(
        std::make_shared<const ReadCompletion>(ReadCompletion{
            Call->Number, Call->Kind, std::move(Response), Client.counters()}));
  }
  return {};
}

Result<DocumentFeed> DocumentFeed::create(DocumentSettings Settings) {
  auto NewState = std::make_unique<State>(std::move(Settings));
  if (auto Bound = NewState->bind(); !Bound) {
    return tl::unexpected<Error>(std::move(Bound.error()));
  }
  return DocumentFeed(std::move(NewState));
}

DocumentFeed::DocumentFeed(std::unique_ptr<State> Impl)
    : Impl(std::move(Impl)) {}

DocumentFeed::DocumentFeed(DocumentFeed &&) noexcept = default;
DocumentFeed &DocumentFeed::operator=(DocumentFeed &&) noexcept = default;
DocumentFeed::~DocumentFeed() = default;

std::vector<Duty> DocumentFeed::duties() {
  State *Feed = this->Impl.get();
  std::vector<Duty> Duties;
  Duties.push_back({"documents", [Feed](const std::stop_token &Stop) {
                      return Feed->runExchange(Stop);
                    }});
  if (Feed->Settings.Platform) {
    Duties.push_back({"reader", [Feed](const std::stop_token &Stop) {
                        return Feed->runReader(Stop);
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
  DocumentStatus Status = this->Impl->CurrentStatus;
  Status.SinceConfirmed = this->Impl->ConfirmedAt
                              ? Now - *this->Impl->ConfirmedAt
                              : Duration(NeverConfirmed);
  return Status;
}

} // namespace mulberryhoist
