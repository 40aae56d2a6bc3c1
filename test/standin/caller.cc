#include "standin/caller.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>
#include <random>
#include <unordered_map>

namespace mulberryhoist::standin {
namespace {

using std::chrono::steady_clock;

constexpr Duration TurnPeriod = std::chrono::milliseconds(5);
// A finished flow stays so long to acknowledge a repeated FIN.
constexpr Duration LingerTime = std::chrono::seconds(1);
constexpr std::uint16_t FirstPort = 1024;

double toMilliseconds(Duration Value) {
  return std::chrono::duration<double, std::milli>(Value).count();
}

/// A flow and the request that it carries.
struct Flow {
  Connection Tcp;
  CallRequest Request;
  Caller::Done Finish;
  CallResult Result;
  Instant Started;
  Instant LastByte;
  std::optional<Instant> ForgetAt;
  bool Reported = false;
};

double percentile(std::vector<double> Values, double Share) {
  if (Values.empty()) {
    return 0;
  }
  std::ranges::sort(Values);
  const auto Index =
      static_cast<std::size_t>(Share * static_cast<double>(Values.size() - 1));
  return Values[Index];
}

} // namespace

std::string_view outcomeName(CallOutcome Outcome) {
  switch (Outcome) {
  case CallOutcome::Complete:
    return "complete";
  case CallOutcome::Refused:
    return "refused";
  case CallOutcome::Unknown:
    return "unknown";
  case CallOutcome::WrongAnswer:
    return "wrong_answer";
  case CallOutcome::Cancelled:
    return "cancelled";
  }
  return "unknown";
}

std::string formatResult(const CallResult &Result) {
  const nlohmann::json Line = {
      {"id", Result.Id},
      {"service", formatEndpoint(Result.Service)},
      {"class", Result.Class},
      {"outcome", outcomeName(Result.Outcome)},
      {"established", Result.Established},
      {"detail", Result.Detail},
      {"bytes", Result.Bytes},
      {"latency_ms", toMilliseconds(Result.Latency)},
      {"first_byte_ms", toMilliseconds(Result.FirstByte)},
      {"longest_gap_ms", toMilliseconds(Result.LongestGap)},
      {"retransmissions", Result.Retransmissions}};
  return Line.dump();
}

struct Caller::State : std::enable_shared_from_this<Caller::State> {
  State(io_context &Io, CallerOptions Options)
      : Options(Options), Turn(Io), Random(Options.Seed) {}

  void start(const CallRequest &Request, Done Finish);
  void receivePacket(PacketBytes Bytes);
  void readAnswer(Flow &Entry, Instant Now);
  void checkState(Flow &Entry, Instant Now);
  void report(Flow &Entry, CallOutcome Outcome, std::string_view Detail,
              Instant Now);
  void abort(Flow &Entry, CallOutcome Outcome, std::string_view Detail,
             Instant Now);
  void flush();
  void turn();
  void schedule();
  Endpoint freeLocal();

  CallerOptions Options;
  boost::asio::steady_timer Turn;
  std::mt19937_64 Random;
  std::unique_ptr<UdpPort> Udp;
  std::unordered_map<FlowKey, Flow> Flows;
  std::vector<Segment> Out;
  std::uint16_t NextPort = FirstPort;
  std::size_t Pending = 0;
  std::uint64_t ExtraBytes = 0;
};

Endpoint Caller::State::freeLocal() {
  const Endpoint Local{this->Options.Address, this->NextPort};
  this->NextPort = std::max<std::uint16_t>(
      FirstPort, static_cast<std::uint16_t>(this->NextPort + 1));
  return Local;
}

void Caller::State::flush() {
  for (const Segment &Value : this->Out) {
    this->Udp->send(this->Options.Fabric, buildSegment(Value));
  }
  this->Out.clear();
}

void Caller::State::start(const CallRequest &Request, Done Finish) {
  const Instant Now = steady_clock::now();
  FlowKey Key{this->freeLocal(), Request.Service};
  while (this->Flows.contains(Key)) {
    Key.Caller = this->freeLocal();
  }
  Flow Entry{Connection::connect(Key.Caller, Key.Service,
                                 static_cast<std::uint32_t>(this->Random()),
                                 this->Options.Tcp, Now, this->Out),
             Request,
             std::move(Finish),
             {},
             Now,
             Now,
             {}};
  Entry.Result.Id = Request.Run.Id;
  Entry.Result.Service = Request.Service;
  Entry.Result.Class = Request.Class;
  Entry.Tcp.send(formatRequest(Request.Run), true, Now, this->Out);
  this->Flows.emplace(Key, std::move(Entry));
  ++this->Pending;
  this->flush();
}

void Caller::State::receivePacket(PacketBytes Bytes) {
  const auto Value = parseSegment(Bytes);
  if (!Value) {
    return;
  }
  const Instant Now = steady_clock::now();
  const auto Found = this->Flows.find({Value->Destination, Value->Source});
  if (Found == this->Flows.end()) {
    if (!Value->Rst) {
      this->Out.push_back(resetFor(*Value));
    }
  } else {
    Flow &Entry = Found->second;
    Entry.Tcp.receive(*Value, Now, this->Out);
    this->readAnswer(Entry, Now);
    this->checkState(Entry, Now);
  }
  this->flush();
}

void Caller::State::readAnswer(Flow &Entry, Instant Now) {
  const std::string Part = Entry.Tcp.takeReceived();
  if (Part.empty()) {
    return;
  }
  if (Entry.Reported) {
    this->ExtraBytes += Part.size();
    return;
  }
  CallResult &Result = Entry.Result;
  if (Result.Bytes == 0) {
    Result.FirstByte = Now - Entry.Started;
  } else {
    Result.LongestGap = std::max(Result.LongestGap, Now - Entry.LastByte);
  }
  Entry.LastByte = Now;
  if (Part !=
      answerPart(Entry.Request.Service, Result.Id, Result.Bytes, Part.size())) {
    this->abort(Entry, CallOutcome::WrongAnswer, "unexpected content", Now);
    return;
  }
  Result.Bytes += Part.size();
  if (Result.Bytes > Entry.Request.Run.Size) {
    this->abort(Entry, CallOutcome::WrongAnswer, "longer than requested", Now);
  } else if (Result.Bytes == Entry.Request.Run.Size) {
    this->report(Entry, CallOutcome::Complete, "", Now);
    Entry.Tcp.close(Now, this->Out);
  }
}

void Caller::State::checkState(Flow &Entry, Instant Now) {
  switch (Entry.Tcp.state()) {
  case ConnectionState::SynSent:
  case ConnectionState::SynReceived:
    break;
  case ConnectionState::Established:
    Entry.Result.Established = true;
    if (Entry.Tcp.peerClosed() && !Entry.Reported) {
      this->abort(Entry, CallOutcome::Unknown, "closed before the end", Now);
    }
    break;
  case ConnectionState::Finished:
    break;
  case ConnectionState::Refused:
    this->report(Entry, CallOutcome::Refused, "reset instead of SYN-ACK", Now);
    break;
  case ConnectionState::Reset:
    this->report(Entry, CallOutcome::Unknown, "reset", Now);
    break;
  case ConnectionState::TimedOut:
    this->report(
        Entry, CallOutcome::Unknown,
        Entry.Result.Established ? "no acknowledgment" : "SYN unanswered", Now);
    break;
  }
  if (Entry.Tcp.isOver() && !Entry.ForgetAt) {
    Entry.ForgetAt = Now + LingerTime;
  }
}

void Caller::State::abort(Flow &Entry, CallOutcome Outcome,
                          std::string_view Detail, Instant Now) {
  this->report(Entry, Outcome, Detail, Now);
  Entry.Tcp.abort(this->Out);
}

void Caller::State::report(Flow &Entry, CallOutcome Outcome,
                           std::string_view Detail, Instant Now) {
  if (Entry.Reported) {
    return;
  }
  Entry.Reported = true;
  Entry.Result.Established = Entry.Result.Established || Entry.Result.Bytes > 0;
  Entry.Result.Outcome = Outcome;
  Entry.Result.Detail = Detail;
  Entry.Result.Latency = Now - Entry.Started;
  Entry.Result.Retransmissions = Entry.Tcp.retransmissions();
  --this->Pending;
  Entry.Finish(Entry.Result);
}

void Caller::State::turn() {
  const Instant Now = steady_clock::now();
  for (auto &[Key, Entry] : this->Flows) {
    if (!Entry.Reported && Now - Entry.Started >= Entry.Request.Timeout) {
      this->abort(Entry, CallOutcome::Unknown,
                  Entry.Result.Established ? "timeout" : "SYN unanswered", Now);
    } else if (!Entry.Reported && Entry.Request.CancelAfter &&
               Now - Entry.Started >= *Entry.Request.CancelAfter) {
      this->abort(Entry, CallOutcome::Cancelled, "", Now);
    }
    Entry.Tcp.tick(Now, this->Out);
    this->checkState(Entry, Now);
  }
  this->flush();
  std::erase_if(this->Flows, [Now](const auto &Item) {
    return Item.second.ForgetAt && Now >= *Item.second.ForgetAt;
  });
}

void Caller::State::schedule() {
  this->Turn.expires_after(TurnPeriod);
  this->Turn.async_wait([Weak = this->weak_from_this()](auto Problem) {
    const auto Self = Weak.lock();
    if (!Problem && Self) {
      Self->turn();
      Self->schedule();
    }
  });
}

Result<std::unique_ptr<Caller>> Caller::create(io_context &Io,
                                               CallerOptions Options) {
  auto Impl = std::make_shared<State>(Io, Options);
  State &Self = *Impl;
  auto Udp = UdpPort::create(Io, Options.Listen,
                             [&Self](Endpoint /*From*/, PacketBytes Bytes) {
                               Self.receivePacket(Bytes);
                             });
  if (!Udp) {
    return tl::unexpected(Udp.error());
  }
  Impl->Udp = std::move(*Udp);
  Impl->schedule();
  return std::unique_ptr<Caller>(new Caller(std::move(Impl)));
}

Caller::Caller(std::shared_ptr<State> Impl) : Impl(std::move(Impl)) {}

Caller::~Caller() = default;

void Caller::start(const CallRequest &Request, Done Finish) {
  this->Impl->start(Request, std::move(Finish));
}

std::size_t Caller::pending() const { return this->Impl->Pending; }

std::size_t Caller::openFlows() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(this->Impl->Flows, [](const auto &Item) {
        return !Item.second.Tcp.isOver();
      }));
}

std::uint64_t Caller::extraBytes() const { return this->Impl->ExtraBytes; }

Result<std::vector<LoadClass>> parseMix(std::string_view Text) {
  std::vector<LoadClass> Mix;
  while (!Text.empty()) {
    const std::string_view Item = Text.substr(0, Text.find(','));
    Text.remove_prefix(std::min(Text.size(), Item.size() + 1));
    const Pairs Values = parsePairs(Item, ';');
    const auto Service = parseEndpoint(textOr(Values, "service"));
    if (!Service) {
      return tl::unexpected(Service.error());
    }
    LoadClass Entry;
    Entry.Weight = numberOr(Values, "weight", 1);
    Entry.Request.Service = *Service;
    Entry.Request.Class = static_cast<unsigned>(numberOr(Values, "class", 0));
    Entry.Request.Timeout =
        fromMilliseconds(numberOr(Values, "timeout-ms", 60000));
    RunRequest &Run = Entry.Request.Run;
    Run.Size = static_cast<std::size_t>(numberOr(Values, "size", 1000));
    Run.Time = fromMilliseconds(numberOr(Values, "time-ms", 10));
    Run.Idempotent = numberOr(Values, "idempotent", 1) != 0;
    Run.Stream = numberOr(Values, "stream", 0) != 0;
    if (Entry.Weight <= 0 || Run.Size < 1 || Run.Size > MaxAnswerBytes) {
      return makeError(ErrorKind::InvalidSetting,
                       "mix: weight or size is out of range");
    }
    Mix.push_back(Entry);
  }
  return Mix;
}

namespace {

/// The state of a running load; it keeps itself alive until the last start.
struct Load : std::enable_shared_from_this<Load> {
  Load(io_context &Io, Caller &From, const LoadOptions &Options,
       Caller::Done Finish)
      : Timer(Io), From(From), Options(Options), Finish(std::move(Finish)),
        Random(Options.Seed), Next(steady_clock::now()) {
    std::vector<double> Weights;
    for (const LoadClass &Entry : Options.Mix) {
      Weights.push_back(Entry.Weight);
    }
    this->Choice = {Weights.begin(), Weights.end()};
  }

  void startDue() {
    while (this->Started < this->Options.Count &&
           this->Next <= steady_clock::now()) {
      CallRequest Request =
          this->Options.Mix[this->Choice(this->Random)].Request;
      Request.Run.Id =
          this->Options.IdPrefix + "-" + std::to_string(this->Started);
      ++this->Started;
      this->From.start(Request, this->Finish);
      if (this->Options.Rate > 0) {
        this->Next += std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(std::exponential_distribution<double>(
                this->Options.Rate)(this->Random)));
      }
    }
    if (this->Started == this->Options.Count) {
      return;
    }
    this->Timer.expires_at(this->Next);
    this->Timer.async_wait([Self = this->shared_from_this()](auto Problem) {
      if (!Problem) {
        Self->startDue();
      }
    });
  }

  boost::asio::steady_timer Timer;
  Caller &From;
  LoadOptions Options;
  Caller::Done Finish;
  std::mt19937_64 Random;
  std::discrete_distribution<std::size_t> Choice;
  Instant Next;
  std::size_t Started = 0;
};

} // namespace

void startLoad(io_context &Io, Caller &From, const LoadOptions &Options,
               Caller::Done Finish) {
  if (!Options.Mix.empty()) {
    std::make_shared<Load>(Io, From, Options, std::move(Finish))->startDue();
  }
}

void Summary::add(const CallResult &Result) {
  ++this->Outcomes[std::string(outcomeName(Result.Outcome))];
  this->Latencies.push_back(toMilliseconds(Result.Latency));
  if (Result.Outcome == CallOutcome::Complete) {
    this->CompleteLatencies.push_back(toMilliseconds(Result.Latency));
  }
  if (Result.Outcome == CallOutcome::Unknown && !Result.Established) {
    ++this->Unanswered;
  }
  this->Retransmissions += Result.Retransmissions;
}

std::string Summary::format(std::uint64_t ExtraBytes) const {
  nlohmann::json Line = {
      {"summary", true},
      {"count", this->count()},
      {"unanswered", this->Unanswered},
      {"extra_bytes", ExtraBytes},
      {"retransmissions", this->Retransmissions},
      {"complete_p50_ms", percentile(this->CompleteLatencies, 0.5)},
      {"complete_p99_ms", percentile(this->CompleteLatencies, 0.99)}};
  for (const auto Outcome :
       {CallOutcome::Complete, CallOutcome::Refused, CallOutcome::Unknown,
        CallOutcome::WrongAnswer, CallOutcome::Cancelled}) {
    const auto Found = this->Outcomes.find(outcomeName(Outcome));
    Line[std::string(outcomeName(Outcome))] =
        Found == this->Outcomes.end() ? 0 : Found->second;
  }
  return Line.dump();
}

} // namespace mulberryhoist::standin
