#include "standin/platform.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>
#include <list>
#include <nlohmann/json.hpp>

namespace mulberryhoist::standin {
namespace {

using std::chrono::steady_clock;

constexpr std::size_t MaxValueBytes = std::size_t{1} << 20U;
constexpr Duration WatchTurn = std::chrono::milliseconds(20);
constexpr Duration OneSecond = std::chrono::seconds(1);
constexpr double MaxWaitSeconds = 300;
constexpr std::size_t HistoryLength = 64;

enum class Mode : std::uint8_t { Up, Down, Stale, Half, Silent };

std::optional<Mode> parseMode(std::string_view Text) {
  constexpr std::array<std::pair<std::string_view, Mode>, 5> Modes = {
      {{"up", Mode::Up},
       {"down", Mode::Down},
       {"stale", Mode::Stale},
       {"half", Mode::Half},
       {"silent", Mode::Silent}}};
  for (const auto &[Name, Value] : Modes) {
    if (Name == Text) {
      return Value;
    }
  }
  return std::nullopt;
}

/// A published value at one revision.
struct Value {
  std::uint64_t Revision = 0;
  std::string Body;
};

/// A document: what is published, what readers see and what a stale service
/// still shows.
struct Document {
  std::vector<Value> History;
  Value Current;
  Value Visible;
  Value Frozen;
  Instant VisibleAt{};

  void publish(std::string Body, Instant At) {
    this->Current = {this->Current.Revision + 1, std::move(Body)};
    this->History.push_back(this->Current);
    if (this->History.size() > HistoryLength) {
      this->History.erase(this->History.begin());
    }
    this->VisibleAt = At;
  }
};

/// A request that waits for a newer value.
struct Watch {
  Document *Wanted;
  std::uint64_t After;
  Instant Until;
  Instant NextCharge;
  HttpRespond Respond;
};

} // namespace

struct Platform::State : std::enable_shared_from_this<Platform::State> {
  State(io_context &Io, PlatformOptions Options)
      : Io(Io), Options(Options), Turn(Io), Tokens(Options.CallsPerSecond),
        RefilledAt(steady_clock::now()) {}

  void handle(const HttpCall &Call, HttpRespond Respond);
  void handleControl(const HttpCall &Call, const HttpRespond &Respond);
  HttpAnswer publish(Document &Wanted, const HttpCall &Call, Duration Lag);
  HttpAnswer setMode(std::string_view Text);
  HttpAnswer restore(std::uint64_t Revision);
  HttpAnswer change(const Pairs &Query);
  HttpAnswer calls() const;
  void read(Document &Wanted, const HttpCall &Call, HttpRespond Respond);
  const Value &shown(Document &Wanted) const;
  HttpAnswer answer(Document &Wanted, std::uint64_t After) const;
  bool takeToken(Instant Now);
  void answerLater(HttpRespond Respond, HttpAnswer Answer);
  void turn();
  void schedule();

  io_context &Io;
  PlatformOptions Options;
  boost::asio::steady_timer Turn;
  std::unique_ptr<HttpServer> Server;
  Document Table;
  Document Vms;
  std::list<Watch> Watches;
  std::vector<HttpRespond> Held;
  Mode Now = Mode::Up;
  double Tokens;
  Instant RefilledAt;
  std::uint64_t Counted = 0;
  std::uint64_t Rejected = 0;
};

bool Platform::State::takeToken(Instant Now) {
  const double Seconds =
      std::chrono::duration<double>(Now - this->RefilledAt).count();
  this->RefilledAt = Now;
  this->Tokens =
      std::min(this->Options.CallsPerSecond,
               this->Tokens + Seconds * this->Options.CallsPerSecond);
  if (this->Tokens < 1) {
    ++this->Rejected;
    return false;
  }
  this->Tokens -= 1;
  ++this->Counted;
  return true;
}

void Platform::State::answerLater(HttpRespond Respond, HttpAnswer Answer) {
  auto Timer = std::make_shared<boost::asio::steady_timer>(
      this->Io, this->Options.AnswerDelay);
  Timer->async_wait([Timer, Respond = std::move(Respond),
                     Answer = std::move(Answer)](auto Problem) {
    if (!Problem) {
      Respond(Answer);
    }
  });
}

const Value &Platform::State::shown(Document &Wanted) const {
  if (this->Now == Mode::Stale) {
    return Wanted.Frozen;
  }
  if (steady_clock::now() >= Wanted.VisibleAt) {
    Wanted.Visible = Wanted.Current;
  }
  return Wanted.Visible;
}

HttpAnswer Platform::State::answer(Document &Wanted,
                                   std::uint64_t After) const {
  const Value &Shown = this->shown(Wanted);
  HttpAnswer Answer;
  Answer.ContentType = "text/csv";
  Answer.Headers.emplace("X-Revision", std::to_string(Shown.Revision));
  if (Shown.Revision <= After) {
    Answer.Status = 304;
    return Answer;
  }
  Answer.Body = Shown.Body;
  if (this->Now == Mode::Half) {
    Answer.Body.resize(Answer.Body.size() / 2);
  }
  return Answer;
}

void Platform::State::read(Document &Wanted, const HttpCall &Call,
                           HttpRespond Respond) {
  if (this->Now == Mode::Down) {
    Respond({.Drop = true});
    return;
  }
  if (this->Now == Mode::Silent) {
    this->Held.push_back(std::move(Respond));
    return;
  }
  const Instant Now = steady_clock::now();
  if (!this->takeToken(Now)) {
    this->answerLater(std::move(Respond), {.Status = 429});
    return;
  }
  const auto After =
      static_cast<std::uint64_t>(numberOr(Call.Query, "after", 0));
  const double Wait =
      std::clamp(numberOr(Call.Query, "wait", 0), 0.0, MaxWaitSeconds);
  HttpAnswer Answer = this->answer(Wanted, After);
  if (Answer.Status != 304 || Wait == 0) {
    this->answerLater(std::move(Respond), std::move(Answer));
    return;
  }
  const auto Until = Now + std::chrono::duration_cast<Duration>(
                               std::chrono::duration<double>(Wait));
  this->Watches.push_back(
      {&Wanted, After, Until, Now + OneSecond, std::move(Respond)});
}

void Platform::State::turn() {
  const Instant Now = steady_clock::now();
  for (auto Entry = this->Watches.begin(); Entry != this->Watches.end();) {
    bool Over = this->Now == Mode::Down;
    HttpAnswer Answer{.Drop = Over};
    if (!Over && this->Now != Mode::Silent) {
      // Every second is charged, also those that a late turn finds together.
      bool Charged = true;
      for (; Charged && Entry->NextCharge <= std::min(Now, Entry->Until);
           Entry->NextCharge += OneSecond) {
        Charged = this->takeToken(Now);
      }
      Answer = this->answer(*Entry->Wanted, Entry->After);
      Over = Answer.Status != 304 || Now >= Entry->Until || !Charged;
      if (!Charged) {
        Answer = {.Status = 429};
      }
    }
    if (!Over) {
      ++Entry;
      continue;
    }
    this->answerLater(std::move(Entry->Respond), std::move(Answer));
    Entry = this->Watches.erase(Entry);
  }
}

void Platform::State::schedule() {
  this->Turn.expires_after(WatchTurn);
  this->Turn.async_wait([Weak = this->weak_from_this()](auto Problem) {
    const auto Self = Weak.lock();
    if (!Problem && Self) {
      Self->turn();
      Self->schedule();
    }
  });
}

HttpAnswer Platform::State::publish(Document &Wanted, const HttpCall &Call,
                                    Duration Lag) {
  if (Call.Body.size() > MaxValueBytes) {
    return {.Status = 413};
  }
  Wanted.publish(Call.Body, steady_clock::now() + Lag);
  this->turn();
  return {.Body =
              fmt::format("{{\"revision\":{}}}\n", Wanted.Current.Revision)};
}

HttpAnswer Platform::State::setMode(std::string_view Text) {
  const auto Wanted = parseMode(Text);
  if (!Wanted) {
    return {.Status = 400};
  }
  this->Table.Frozen = this->shown(this->Table);
  this->Vms.Frozen = this->shown(this->Vms);
  this->Now = *Wanted;
  // Requests that were held while silent are never answered.
  for (const auto &Respond : this->Held) {
    Respond({.Drop = true});
  }
  this->Held.clear();
  this->turn();
  return {.Body = "{}\n"};
}

HttpAnswer Platform::State::restore(std::uint64_t Revision) {
  for (const Value &Entry : this->Table.History) {
    if (Entry.Revision == Revision) {
      this->Table.Current = Entry;
      this->Table.VisibleAt = steady_clock::now();
      return {.Body = fmt::format("{{\"revision\":{}}}\n", Revision)};
    }
  }
  return {.Status = 404};
}

HttpAnswer Platform::State::change(const Pairs &Query) {
  const auto Milliseconds = [&Query](std::string_view Name, Duration Old) {
    const std::chrono::duration<double, std::milli> Default(Old);
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(
            numberOr(Query, Name, Default.count())));
  };
  this->Options.AnswerDelay =
      Milliseconds("delay-ms", this->Options.AnswerDelay);
  this->Options.VmLag = Milliseconds("lag-ms", this->Options.VmLag);
  this->Options.CallsPerSecond =
      numberOr(Query, "rate", this->Options.CallsPerSecond);
  return {.Body = "{}\n"};
}

HttpAnswer Platform::State::calls() const {
  const nlohmann::json Body = {{"counted", this->Counted},
                               {"rejected", this->Rejected},
                               {"waiting", this->Watches.size()},
                               {"table", this->Table.Current.Revision},
                               {"vms", this->Vms.Current.Revision}};
  return {.Body = Body.dump() + "\n"};
}

void Platform::State::handleControl(const HttpCall &Call,
                                    const HttpRespond &Respond) {
  if (Call.Path == "/test/table") {
    Respond(this->publish(this->Table, Call, {}));
  } else if (Call.Path == "/test/vms") {
    Respond(this->publish(this->Vms, Call, this->Options.VmLag));
  } else if (Call.Path == "/test/mode") {
    Respond(this->setMode(textOr(Call.Query, "mode")));
  } else if (Call.Path == "/test/restore") {
    Respond(this->restore(
        static_cast<std::uint64_t>(numberOr(Call.Query, "revision", 0))));
  } else if (Call.Path == "/test/settings") {
    Respond(this->change(Call.Query));
  } else if (Call.Path == "/test/calls") {
    Respond(this->calls());
  } else {
    Respond({.Status = 404});
  }
}

void Platform::State::handle(const HttpCall &Call, HttpRespond Respond) {
  if (Call.Path == "/v1/table") {
    this->read(this->Table, Call, std::move(Respond));
  } else if (Call.Path == "/v1/vms") {
    this->read(this->Vms, Call, std::move(Respond));
  } else {
    this->handleControl(Call, Respond);
  }
}

Result<std::unique_ptr<Platform>> Platform::create(io_context &Io,
                                                   PlatformOptions Options) {
  auto Impl = std::make_shared<State>(Io, Options);
  auto Server =
      HttpServer::create(Io, Options.Listen,
                         [Weak = std::weak_ptr<State>(Impl)](
                             const HttpCall &Call, HttpRespond Respond) {
                           if (const auto Self = Weak.lock()) {
                             Self->handle(Call, std::move(Respond));
                           }
                         });
  if (!Server) {
    return tl::unexpected(Server.error());
  }
  Impl->Server = std::move(*Server);
  Impl->schedule();
  return std::unique_ptr<Platform>(new Platform(std::move(Impl)));
}

Platform::Platform(std::shared_ptr<State> Impl) : Impl(std::move(Impl)) {}

Platform::~Platform() = default;

Endpoint Platform::address() const { return this->Impl->Server->address(); }

} // namespace mulberryhoist::standin
