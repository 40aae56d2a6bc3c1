#include "standin/upstream.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <nlohmann/json.hpp>
#include <random>
#include <unordered_map>

#include "standin/request.h"

namespace mulberryhoist::standin {
namespace {

using std::chrono::steady_clock;

constexpr Duration TurnPeriod = std::chrono::milliseconds(5);
constexpr Duration ReportPeriod = std::chrono::milliseconds(50);
constexpr std::size_t MaxRequestBytes = 4096;
// Bytes queued ahead of the acknowledgments, so that a large answer does not
// sit in memory as a whole.
constexpr std::size_t StepBytes = std::size_t{64} << 10U;

/// One execution of a request, for the oracle.
struct Run {
  std::string Id;
  std::string Service;
  bool Idempotent = true;
  std::size_t Size = 0;
  std::string_view Outcome = "running";
};

/// A request that runs in a slot or waits for one.
struct Work {
  RunRequest Request;
  Instant Arrived;
  Instant Started;
  Instant Ends;
  std::size_t Sent = 0;
  std::optional<std::size_t> RunIndex;

  bool isRunning() const { return this->RunIndex.has_value(); }
};

/// A connection and the request that it carries.
struct Flow {
  Connection Tcp;
  Endpoint Via;
  std::string Input;
  std::optional<Work> Current;
};

/// What `GET /health` tells.
struct HealthReport {
  Instant At;
  std::string_view State;
  std::size_t Busy = 0;
  std::size_t Waiting = 0;
  std::size_t Connections = 0;
};

/// Counters for `GET /stats`.
struct Counters {
  std::uint64_t Malformed = 0;
  std::uint64_t WrongService = 0;
  std::uint64_t Accepted = 0;
  std::uint64_t Shed = 0;
  std::uint64_t UnknownConnection = 0;
  std::uint64_t BadRequest = 0;
  std::uint64_t Cancelled = 0;
  std::uint64_t CancelledBeforeStart = 0;
  std::uint64_t DeadlineExceeded = 0;
  std::uint64_t Retransmissions = 0;
  std::size_t PeakBusy = 0;
};

} // namespace

struct UpstreamHost::State : std::enable_shared_from_this<UpstreamHost::State> {
  State(io_context &Io, UpstreamOptions Options)
      : Options(std::move(Options)), Turn(Io), Random(this->Options.Seed),
        StartedAt(steady_clock::now()) {}

  void receivePacket(Endpoint From, PacketBytes Bytes);
  void receiveUnknown(Endpoint From, const Segment &Value);
  void openFlow(Endpoint From, const Segment &Value);
  void readRequest(const FlowKey &Key, Flow &Entry);
  void startWork(Instant Now);
  void advanceWork(Instant Now);
  void dropOverdue(const FlowKey &Key, Flow &Entry);
  void sendAnswer(const FlowKey &Key, Flow &Entry, Instant Now);
  void afterSegment(const FlowKey &Key, Flow &Entry);
  void forget(const FlowKey &Key, Flow &Entry);
  void flush(Endpoint To);
  void turn();
  void schedule();
  double slowdown(Instant Now) const;
  HealthReport reportNow(Instant Now) const;
  HttpAnswer handle(const HttpCall &Call);
  HttpAnswer runs() const;
  HttpAnswer health() const;
  HttpAnswer stats() const;
  HttpAnswer change(const Pairs &Query);

  UpstreamOptions Options;
  boost::asio::steady_timer Turn;
  std::mt19937_64 Random;
  Instant StartedAt;
  std::unique_ptr<UdpPort> Udp;
  std::unique_ptr<HttpServer> Http;
  std::unordered_map<FlowKey, Flow> Flows;
  std::deque<FlowKey> Waiting;
  std::vector<FlowKey> Running;
  std::vector<Run> Runs;
  std::deque<HealthReport> Reports;
  std::vector<Segment> Out;
  Counters Count;
  bool Shedding = false;
  bool Draining = false;
  bool Misleading = false;
};

void UpstreamHost::State::flush(Endpoint To) {
  for (const Segment &Value : this->Out) {
    this->Udp->send(To, buildSegment(Value));
  }
  this->Out.clear();
}

void UpstreamHost::State::receivePacket(Endpoint From, PacketBytes Bytes) {
  const auto Value = parseSegment(Bytes);
  if (!Value) {
    ++this->Count.Malformed;
    return;
  }
  const FlowKey Key{Value->Source, Value->Destination};
  const auto Found = this->Flows.find(Key);
  if (Found == this->Flows.end()) {
    this->receiveUnknown(From, *Value);
    return;
  }
  Flow &Entry = Found->second;
  Entry.Via = From;
  Entry.Tcp.receive(*Value, steady_clock::now(), this->Out);
  this->afterSegment(Key, Entry);
  this->flush(From);
}

void UpstreamHost::State::receiveUnknown(Endpoint From, const Segment &Value) {
  if (Value.Rst) {
    return;
  }
  const auto &Services = this->Options.Services;
  if (!Services.empty() &&
      std::ranges::find(Services, Value.Destination) == Services.end()) {
    ++this->Count.WrongService;
    this->Out.push_back(resetFor(Value));
  } else if (!Value.Syn || Value.Ack) {
    ++this->Count.UnknownConnection;
    this->Out.push_back(resetFor(Value));
  } else if (this->Shedding || this->Draining ||
             this->Flows.size() >= this->Options.Connections) {
    ++this->Count.Shed;
    this->Out.push_back(resetFor(Value));
  } else {
    this->openFlow(From, Value);
  }
  this->flush(From);
}

void UpstreamHost::State::openFlow(Endpoint From, const Segment &Value) {
  ++this->Count.Accepted;
  const auto Initial = static_cast<std::uint32_t>(this->Random());
  this->Flows.try_emplace(
      FlowKey{Value.Source, Value.Destination},
      Flow{Connection::accept(Value, Initial, this->Options.Tcp,
                              steady_clock::now(), this->Out),
           From,
           {},
           {}});
}

void UpstreamHost::State::afterSegment(const FlowKey &Key, Flow &Entry) {
  Entry.Input += Entry.Tcp.takeReceived();
  if (!Entry.Tcp.isOver()) {
    this->readRequest(Key, Entry);
    if (Entry.Tcp.peerClosed() && !Entry.Current) {
      Entry.Tcp.close(steady_clock::now(), this->Out);
    }
  }
  if (Entry.Tcp.isOver()) {
    this->forget(Key, Entry);
  }
}

void UpstreamHost::State::readRequest(const FlowKey &Key, Flow &Entry) {
  const std::size_t End = Entry.Input.find('\n');
  if (Entry.Current ||
      (End == std::string::npos && Entry.Input.size() < MaxRequestBytes)) {
    return;
  }
  const auto Request =
      parseRequest(std::string_view(Entry.Input).substr(0, End));
  if (!Request || End == std::string::npos) {
    ++this->Count.BadRequest;
    Entry.Tcp.abort(this->Out);
    return;
  }
  Entry.Input.erase(0, End + 1);
  Work Wanted;
  Wanted.Request = *Request;
  Wanted.Arrived = steady_clock::now();
  Entry.Current = std::move(Wanted);
  this->Waiting.push_back(Key);
  this->startWork(Entry.Current->Arrived);
}

double UpstreamHost::State::slowdown(Instant Now) const {
  const std::chrono::duration<double> Cold(this->Options.ColdTime);
  const std::chrono::duration<double> Age(Now - this->StartedAt);
  double Factor = 1;
  if (Age < Cold) {
    Factor += (this->Options.ColdFactor - 1) * (1 - Age / Cold);
  }
  return Factor / this->Options.Speed;
}

void UpstreamHost::State::startWork(Instant Now) {
  while (!this->Waiting.empty() && this->Running.size() < this->Options.Slots) {
    const FlowKey Key = this->Waiting.front();
    this->Waiting.pop_front();
    Work &Wanted = *this->Flows.at(Key).Current;
    const auto Time = std::chrono::duration<double>(Wanted.Request.Time) *
                      this->slowdown(Now);
    Wanted.Started = Now;
    Wanted.Ends = Now + std::chrono::duration_cast<Duration>(Time);
    Wanted.RunIndex = this->Runs.size();
    this->Runs.push_back({Wanted.Request.Id, formatEndpoint(Key.Service),
                          Wanted.Request.Idempotent, Wanted.Request.Size});
    this->Running.push_back(Key);
    this->Count.PeakBusy = std::max(this->Count.PeakBusy, this->Running.size());
  }
}

void UpstreamHost::State::sendAnswer(const FlowKey &Key, Flow &Entry,
                                     Instant Now) {
  Work &Wanted = *Entry.Current;
  const std::size_t Size = Wanted.Request.Size;
  std::size_t Ready = Now >= Wanted.Ends ? Size : 0;
  if (Now < Wanted.Ends && Wanted.Request.Stream) {
    const std::chrono::duration<double> Passed(Now - Wanted.Started);
    const std::chrono::duration<double> Whole(Wanted.Ends - Wanted.Started);
    Ready =
        static_cast<std::size_t>(static_cast<double>(Size) * (Passed / Whole));
  }
  while (Wanted.Sent < Ready && Entry.Tcp.queuedBytes() < StepBytes) {
    const std::size_t Length = std::min(StepBytes, Ready - Wanted.Sent);
    const bool Last = Wanted.Sent + Length == Size;
    Entry.Tcp.send(
        answerPart(Key.Service, Wanted.Request.Id, Wanted.Sent, Length), Last,
        Now, this->Out);
    Wanted.Sent += Length;
  }
  if (Wanted.Sent == Size && Now >= Wanted.Ends) {
    this->Runs[*Wanted.RunIndex].Outcome = "complete";
    Entry.Current.reset();
    std::erase(this->Running, Key);
    this->afterSegment(Key, Entry);
  }
}

void UpstreamHost::State::dropOverdue(const FlowKey &Key, Flow &Entry) {
  ++this->Count.DeadlineExceeded;
  std::erase(this->Waiting, Key);
  Entry.Current.reset();
  Entry.Tcp.abort(this->Out);
}

void UpstreamHost::State::advanceWork(Instant Now) {
  const std::vector<FlowKey> Busy = this->Running;
  for (const FlowKey &Key : Busy) {
    const auto Found = this->Flows.find(Key);
    const Endpoint Via = Found->second.Via;
    this->sendAnswer(Key, Found->second, Now);
    this->flush(Via);
  }
  const std::deque<FlowKey> Queued = this->Waiting;
  for (const FlowKey &Key : Queued) {
    Flow &Entry = this->Flows.at(Key);
    const auto &Deadline = Entry.Current->Request.Deadline;
    if (Deadline && Now - Entry.Current->Arrived >= *Deadline) {
      const Endpoint Via = Entry.Via;
      this->dropOverdue(Key, Entry);
      this->forget(Key, Entry);
      this->flush(Via);
    }
  }
}

void UpstreamHost::State::forget(const FlowKey &Key, Flow &Entry) {
  if (Entry.Current) {
    if (Entry.Current->isRunning()) {
      ++this->Count.Cancelled;
      this->Runs[*Entry.Current->RunIndex].Outcome = "cancelled";
      std::erase(this->Running, Key);
    } else {
      ++this->Count.CancelledBeforeStart;
      std::erase(this->Waiting, Key);
    }
  }
  this->Count.Retransmissions += Entry.Tcp.retransmissions();
  this->Flows.erase(FlowKey(Key));
}

void UpstreamHost::State::turn() {
  const Instant Now = steady_clock::now();
  this->advanceWork(Now);
  this->startWork(Now);
  std::vector<FlowKey> Over;
  for (auto &[Key, Entry] : this->Flows) {
    Entry.Tcp.tick(Now, this->Out);
    this->flush(Entry.Via);
    if (Entry.Tcp.isOver()) {
      Over.push_back(Key);
    }
  }
  for (const FlowKey &Key : Over) {
    this->forget(Key, this->Flows.at(Key));
  }
  if (this->Reports.empty() || Now - this->Reports.back().At >= ReportPeriod) {
    this->Reports.push_back(this->reportNow(Now));
  }
  while (this->Reports.size() > 1 &&
         Now - this->Reports[1].At >= this->Options.HealthLag) {
    this->Reports.pop_front();
  }
}

void UpstreamHost::State::schedule() {
  this->Turn.expires_after(TurnPeriod);
  this->Turn.async_wait([Weak = this->weak_from_this()](auto Problem) {
    const auto Self = Weak.lock();
    if (!Problem && Self) {
      Self->turn();
      Self->schedule();
    }
  });
}

HealthReport UpstreamHost::State::reportNow(Instant Now) const {
  return {Now, this->Draining ? "draining" : "live", this->Running.size(),
          this->Waiting.size(), this->Flows.size()};
}

HttpAnswer UpstreamHost::State::runs() const {
  nlohmann::json List = nlohmann::json::array();
  for (const Run &Entry : this->Runs) {
    List.push_back({{"id", Entry.Id},
                    {"service", Entry.Service},
                    {"idempotent", Entry.Idempotent},
                    {"size", Entry.Size},
                    {"outcome", Entry.Outcome}});
  }
  return {.Body = List.dump() + "\n"};
}

HttpAnswer UpstreamHost::State::health() const {
  HealthReport Report;
  Report.State = "live";
  if (!this->Misleading && !this->Reports.empty()) {
    Report = this->Reports.front();
  }
  const nlohmann::json Body = {{"state", Report.State},
                               {"busy", Report.Busy},
                               {"waiting", Report.Waiting},
                               {"connections", Report.Connections}};
  return {.Body = Body.dump() + "\n"};
}

HttpAnswer UpstreamHost::State::stats() const {
  const nlohmann::json Body = {
      {"malformed", this->Count.Malformed},
      {"wrong_service", this->Count.WrongService},
      {"accepted", this->Count.Accepted},
      {"shed", this->Count.Shed},
      {"unknown_connection", this->Count.UnknownConnection},
      {"bad_request", this->Count.BadRequest},
      {"cancelled", this->Count.Cancelled},
      {"cancelled_before_start", this->Count.CancelledBeforeStart},
      {"deadline_exceeded", this->Count.DeadlineExceeded},
      {"retransmissions", this->Count.Retransmissions},
      {"peak_busy", this->Count.PeakBusy},
      {"busy", this->Running.size()},
      {"connections", this->Flows.size()},
      {"runs", this->Runs.size()}};
  return {.Body = Body.dump() + "\n"};
}

HttpAnswer UpstreamHost::State::change(const Pairs &Query) {
  const double Speed = numberOr(Query, "speed", this->Options.Speed);
  if (Speed <= 0) {
    return {.Status = 400};
  }
  this->Options.Speed = Speed;
  this->Shedding = numberOr(Query, "shed", this->Shedding ? 1 : 0) != 0;
  this->Draining = numberOr(Query, "drain", this->Draining ? 1 : 0) != 0;
  this->Misleading = numberOr(Query, "mislead", this->Misleading ? 1 : 0) != 0;
  if (Query.contains("health-lag-ms")) {
    this->Options.HealthLag =
        fromMilliseconds(numberOr(Query, "health-lag-ms", 0));
  }
  return {.Body = "{}\n"};
}

HttpAnswer UpstreamHost::State::handle(const HttpCall &Call) {
  if (Call.Path == "/runs") {
    return this->runs();
  }
  if (Call.Path == "/health") {
    return this->health();
  }
  if (Call.Path == "/stats") {
    return this->stats();
  }
  if (Call.Path == "/control") {
    return this->change(Call.Query);
  }
  return {.Status = 404};
}

Result<std::unique_ptr<UpstreamHost>>
UpstreamHost::create(io_context &Io, UpstreamOptions Options) {
  const Endpoint Listen = Options.Listen;
  const Endpoint Control = Options.Control;
  auto Impl = std::make_shared<State>(Io, std::move(Options));
  State &Self = *Impl;
  auto Udp =
      UdpPort::create(Io, Listen, [&Self](Endpoint From, PacketBytes Bytes) {
        Self.receivePacket(From, Bytes);
      });
  if (!Udp) {
    return tl::unexpected(Udp.error());
  }
  Impl->Udp = std::move(*Udp);
  auto Http = HttpServer::create(
      Io, Control, [&Self](const HttpCall &Call, const HttpRespond &Respond) {
        Respond(Self.handle(Call));
      });
  if (!Http) {
    return tl::unexpected(Http.error());
  }
  Impl->Http = std::move(*Http);
  Impl->schedule();
  return std::unique_ptr<UpstreamHost>(new UpstreamHost(std::move(Impl)));
}

UpstreamHost::UpstreamHost(std::shared_ptr<State> Impl)
    : Impl(std::move(Impl)) {}

UpstreamHost::~UpstreamHost() = default;

Endpoint UpstreamHost::address() const { return this->Impl->Udp->address(); }

Endpoint UpstreamHost::control() const { return this->Impl->Http->address(); }

} // namespace mulberryhoist::standin
