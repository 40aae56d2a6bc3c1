/// \file
/// Program `standin-caller`: sends a load and reports each request as a line of
/// JSON, then a summary.

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <cstdio>
#include <fmt/format.h>

#include "standin/caller.h"
#include "standin/program.h"

using namespace mulberryhoist;

namespace {

constexpr std::int64_t MaxMilliseconds = 600000;
constexpr std::int64_t MaxRate = 100000;
constexpr std::int64_t MaxCount = 1000000;
constexpr std::int64_t MaxSeed = 1U << 31U;

constexpr std::array<SettingSpec, 10> Specs = {{
    {"listen", SettingType::Endpoint, "UDP address", "127.0.0.1:0"},
    {"fabric", SettingType::Endpoint, "where packets are sent", "", true},
    {"source", SettingType::Endpoint, "source address of packets, port 0",
     "127.1.0.1:0"},
    {"mix", SettingType::Text,
     "service=A;weight=W;size=N;time-ms=N;idempotent=0|1;stream=0|1;class=C,.."
     ".",
     "", true},
    {"rate", SettingType::Number, "requests a second; 0: all at once", "0",
     false, 0, MaxRate},
    {"count", SettingType::Number, "number of requests", "1", false, 1,
     MaxCount},
    {"seed", SettingType::Number, "seed of the load", "1", false, 0, MaxSeed},
    {"id-prefix", SettingType::Name, "begin of request identifiers", "call"},
    {"syn-timeout-ms", SettingType::Number, "first retransmission of a SYN",
     "1000", false, 1, MaxMilliseconds},
    {"data-timeout-ms", SettingType::Number, "first retransmission of data",
     "200", false, 1, MaxMilliseconds},
}};

// How long to wait for the exchange of FINs after the last result.
constexpr int MaxClosePolls = 300;
constexpr std::chrono::milliseconds ClosePoll(10);

/// A running load; stops the program after the last result.
struct Running {
  explicit Running(standin::io_context &Io) : Io(Io), Timer(Io) {}

  standin::io_context &Io;
  boost::asio::steady_timer Timer;
  int Polls = 0;
  std::unique_ptr<standin::Caller> From;
  standin::Summary Sums;
  std::size_t Count = 0;

  void add(const standin::CallResult &Result) {
    fmt::print("{}\n", standin::formatResult(Result));
    this->Sums.add(Result);
    if (this->Sums.count() == this->Count) {
      this->finish();
    }
  }

  void finish() {
    if (this->From->openFlows() > 0 && ++this->Polls < MaxClosePolls) {
      this->Timer.expires_after(ClosePoll);
      this->Timer.async_wait([this](auto Problem) {
        if (!Problem) {
          this->finish();
        }
      });
      return;
    }
    fmt::print("{}\n", this->Sums.format(this->From->extraBytes()));
    std::fflush(stdout);
    this->Io.stop();
  }
};

Result<std::shared_ptr<void>> setUp(standin::io_context &Io,
                                    const Settings &Values) {
  using std::chrono::milliseconds;
  standin::CallerOptions Options;
  Options.Listen = Values.endpoint("listen");
  Options.Fabric = Values.endpoint("fabric");
  Options.Address = Values.endpoint("source").Address;
  Options.Seed = static_cast<std::uint64_t>(Values.number("seed"));
  Options.Tcp.HandshakeTimeout = milliseconds(Values.number("syn-timeout-ms"));
  Options.Tcp.DataTimeout = milliseconds(Values.number("data-timeout-ms"));
  auto Mix = standin::parseMix(Values.text("mix"));
  if (!Mix) {
    return tl::unexpected(Mix.error());
  }
  auto From = standin::Caller::create(Io, Options);
  if (!From) {
    return tl::unexpected(From.error());
  }
  standin::LoadOptions Load;
  Load.Rate = static_cast<double>(Values.number("rate"));
  Load.Count = static_cast<std::size_t>(Values.number("count"));
  Load.Seed = Options.Seed;
  Load.IdPrefix = Values.text("id-prefix");
  Load.Mix = std::move(*Mix);
  auto State = std::make_shared<Running>(Io);
  State->From = std::move(*From);
  State->Count = Load.Count;
  standin::startLoad(
      Io, *State->From, Load,
      [State = State.get()](const auto &Result) { State->add(Result); });
  return State;
}

} // namespace

int main(int Count, char **Arguments) {
  return standin::runProgram(
      Specs, {Arguments, static_cast<std::size_t>(Count)}, setUp);
}
