#include <gtest/gtest.h>

#include <atomic>
#include <fmt/format.h>
#include <mutex>
#include <nlohmann/json.hpp>

#include "standin/caller.h"
#include "standin/fabric.h"
#include "standin/host.h"
#include "standin/link.h"
#include "standin/platform.h"
#include "standin/upstream.h"

namespace mulberryhoist::standin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t Loopback = 0x7F000001;
constexpr std::uint32_t CallerAddress = 0x7F010001;
constexpr Endpoint AnyPort{Loopback, 0};
constexpr Endpoint Service{0x7F090001, 80};
constexpr Endpoint OtherService{0x7F090002, 80};

nlohmann::json getJson(Endpoint Server, std::string_view Target) {
  const auto Answer = httpCall(Server, "GET", Target);
  return Answer ? nlohmann::json::parse(Answer->Body) : nlohmann::json();
}

unsigned post(Endpoint Server, std::string_view Target,
              std::string_view Body = {}) {
  const auto Answer = httpCall(Server, "POST", Target, Body);
  return Answer ? Answer->Status : 0;
}

template <typename T> T must(Result<T> Value) {
  if (!Value) {
    throw std::runtime_error(Value.error().Detail);
  }
  return std::move(*Value);
}

/// A caller, the fabric and an upstream without the product between them.
class DirectTest : public testing::Test {
protected:
  void start(FabricFaults Faults, UpstreamOptions Options = {}) {
    Options.Listen = AnyPort;
    Options.Control = AnyPort;
    Options.Tcp.HandshakeTimeout = milliseconds(100);
    Options.Tcp.DataTimeout = milliseconds(50);
    this->Threads.run([&](io_context &Io) {
      this->Server = must(UpstreamHost::create(Io, Options));
      FabricOptions Network{AnyPort, AnyPort, AnyPort, {}, Faults, 7};
      Network.Balancers = {this->Server->address()};
      this->Network = must(Fabric::create(Io, Network));
      CallerOptions Client{
          AnyPort, this->Network->address(), CallerAddress, 3, {}};
      Client.Tcp.HandshakeTimeout = milliseconds(100);
      Client.Tcp.DataTimeout = milliseconds(50);
      this->Client = must(Caller::create(Io, Client));
    });
  }

  void TearDown() override { this->Threads.stop(); }

  void call(const CallRequest &Request) {
    this->Threads.run([&](io_context &) {
      this->Client->start(Request, [this](const CallResult &Result) {
        const std::lock_guard Lock(this->Guard);
        this->Results.push_back(Result);
      });
    });
  }

  std::size_t finished() {
    const std::lock_guard Lock(this->Guard);
    return this->Results.size();
  }

  CallResult callAndWait(const CallRequest &Request) {
    const std::size_t Before = this->finished();
    this->call(Request);
    EXPECT_TRUE(pollUntil([&] { return this->finished() > Before; }));
    const std::lock_guard Lock(this->Guard);
    return this->Results.size() > Before ? this->Results.back() : CallResult{};
  }

  nlohmann::json runs() { return getJson(this->Server->control(), "/runs"); }
  nlohmann::json stats() { return getJson(this->Server->control(), "/stats"); }

  Host Threads;
  std::mutex Guard;
  std::vector<CallResult> Results;
  std::unique_ptr<UpstreamHost> Server;
  std::unique_ptr<Fabric> Network;
  std::unique_ptr<Caller> Client;
};

CallRequest makeRequest(std::string Id, std::size_t Size, Duration Time) {
  CallRequest Request;
  Request.Service = Service;
  Request.Run.Id = std::move(Id);
  Request.Run.Size = Size;
  Request.Run.Time = Time;
  Request.Timeout = seconds(30);
  return Request;
}

struct FaultRow {
  const char *Name;
  FabricFaults Faults;
};

class FaultTest : public DirectTest,
                  public testing::WithParamInterface<FaultRow> {};

// Guards against a stand-in TCP that loses, repeats or mixes up bytes or runs a
// request twice when the network is bad.
TEST_P(FaultTest, EveryAnswerIsWholeAndRunsOnce) {
  constexpr std::size_t Calls = 20;
  this->start(GetParam().Faults);
  for (std::size_t Index = 0; Index < Calls; ++Index) {
    this->call(makeRequest(fmt::format("r{}", Index), 1 + Index * 5000,
                           milliseconds(5)));
  }
  ASSERT_TRUE(
      pollUntil([&] { return this->finished() == Calls; }, seconds(60)));
  for (const CallResult &Result : this->Results) {
    EXPECT_EQ(Result.Outcome, CallOutcome::Complete) << formatResult(Result);
  }
  EXPECT_EQ(this->runs().size(), Calls);
  EXPECT_EQ(this->stats()["malformed"], 0);
  EXPECT_EQ(this->Client->extraBytes(), 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Networks, FaultTest,
    testing::Values(FaultRow{"perfect", {}}, FaultRow{"loss", {.Drop = 0.1}},
                    FaultRow{"duplication", {.Duplicate = 0.3}},
                    FaultRow{"reordering",
                             {.Reorder = 0.3, .ReorderDelay = milliseconds(3)}},
                    FaultRow{"all",
                             {.Drop = 0.05,
                              .Duplicate = 0.1,
                              .Reorder = 0.1,
                              .Delay = milliseconds(1)}}),
    [](const auto &Info) { return Info.param.Name; });

// Guards against an answer of another service or request being taken as right.
TEST(AnswerTest, ContentDependsOnServiceIdAndOffset) {
  const std::string Whole = answerPart(Service, "a", 0, 100);
  EXPECT_EQ(Whole.substr(13, 50), answerPart(Service, "a", 13, 50));
  EXPECT_NE(Whole, answerPart(OtherService, "a", 0, 100));
  EXPECT_NE(Whole, answerPart(Service, "b", 0, 100));
  EXPECT_NE(Whole, answerPart(Service, "a", 8, 100));
}

// Guards against a caller that does not notice foreign bytes in its answer.
TEST_F(DirectTest, CallerReportsWrongAnswer) {
  this->start({});
  CallRequest Request = makeRequest("other", 10, milliseconds(0));
  // The line end inside the identifier makes the upstream see another request.
  Request.Run.Id = "x idempotent=1 size=10\nRUN id=y";
  EXPECT_EQ(this->callAndWait(Request).Outcome, CallOutcome::WrongAnswer);
}

// Guards against refusals that are reported as something else, and against a
// refused or drained request that runs.
TEST_F(DirectTest, RefusalIsResetToSyn) {
  this->start({});
  ASSERT_EQ(post(this->Server->control(), "/control?shed=1"), 200U);
  EXPECT_EQ(this->callAndWait(makeRequest("a", 1, {})).Outcome,
            CallOutcome::Refused);
  ASSERT_EQ(post(this->Server->control(), "/control?shed=0&drain=1"), 200U);
  EXPECT_EQ(this->callAndWait(makeRequest("b", 1, {})).Outcome,
            CallOutcome::Refused);
  EXPECT_TRUE(this->runs().empty());
  EXPECT_EQ(this->stats()["shed"], 2);
}

// Guards against an upstream that serves addresses it was not given.
TEST_F(DirectTest, OtherServiceIsCountedAndRefused) {
  UpstreamOptions Options;
  Options.Services = {OtherService};
  this->start({}, Options);
  EXPECT_EQ(this->callAndWait(makeRequest("a", 1, {})).Outcome,
            CallOutcome::Refused);
  EXPECT_EQ(this->stats()["wrong_service"], 1);
}

// Guards against a timeout that is reported as refusal.
TEST_F(DirectTest, SilenceIsUnknown) {
  this->start({.Drop = 1});
  CallRequest Request = makeRequest("a", 1, {});
  Request.Timeout = milliseconds(300);
  const CallResult Result = this->callAndWait(Request);
  EXPECT_EQ(Result.Outcome, CallOutcome::Unknown);
  EXPECT_FALSE(Result.Established);
  EXPECT_GT(Result.Retransmissions, 0U);
}

// Guards against more work at once than the slots allow.
TEST_F(DirectTest, SlotsBoundTheWork) {
  constexpr std::size_t Calls = 30;
  this->start({});
  for (std::size_t Index = 0; Index < Calls; ++Index) {
    this->call(makeRequest(fmt::format("r{}", Index), 100, milliseconds(10)));
  }
  ASSERT_TRUE(pollUntil([&] { return this->finished() == Calls; }));
  EXPECT_EQ(this->stats()["peak_busy"], 4);
}

// Guards against cancelled work that keeps its slot.
TEST_F(DirectTest, CancellationFreesTheSlot) {
  UpstreamOptions Options;
  Options.Slots = 1;
  this->start({}, Options);
  CallRequest Request = makeRequest("long", 1, seconds(60));
  Request.CancelAfter = milliseconds(200);
  EXPECT_EQ(this->callAndWait(Request).Outcome, CallOutcome::Cancelled);
  EXPECT_EQ(this->callAndWait(makeRequest("next", 1, {})).Outcome,
            CallOutcome::Complete);
  EXPECT_EQ(this->stats()["cancelled"], 1);
  EXPECT_EQ(this->runs()[0]["outcome"], "cancelled");
}

// Guards against work that starts after its deadline.
TEST_F(DirectTest, OverdueRequestDoesNotRun) {
  UpstreamOptions Options;
  Options.Slots = 1;
  this->start({}, Options);
  this->call(makeRequest("long", 1, seconds(1)));
  ASSERT_TRUE(pollUntil([&] { return this->stats()["busy"] == 1; }));
  CallRequest Request = makeRequest("late", 1, {});
  Request.Run.Deadline = milliseconds(100);
  EXPECT_EQ(this->callAndWait(Request).Outcome, CallOutcome::Unknown);
  EXPECT_EQ(this->stats()["deadline_exceeded"], 1);
  EXPECT_EQ(this->runs().size(), 1U);
}

// Guards against connections beyond the limit being accepted.
TEST_F(DirectTest, ConnectionLimitSheds) {
  UpstreamOptions Options;
  Options.Connections = 1;
  this->start({}, Options);
  this->call(makeRequest("long", 1, milliseconds(500)));
  ASSERT_TRUE(pollUntil([&] { return this->stats()["connections"] == 1; }));
  EXPECT_EQ(this->callAndWait(makeRequest("more", 1, {})).Outcome,
            CallOutcome::Refused);
}

// Guards against a health endpoint whose lag or falsehood has no effect.
TEST_F(DirectTest, HealthCanMislead) {
  this->start({});
  const Endpoint Control = this->Server->control();
  ASSERT_EQ(post(Control, "/control?drain=1&mislead=1"), 200U);
  EXPECT_EQ(getJson(Control, "/health")["state"], "live");
  ASSERT_EQ(post(Control, "/control?mislead=0"), 200U);
  EXPECT_TRUE(pollUntil(
      [&] { return getJson(Control, "/health")["state"] == "draining"; }));
}

// Guards against a cut that lets packets through or does not end.
TEST_F(DirectTest, CutStopsPacketsUntilItHeals) {
  this->start({});
  const Endpoint Control = this->Network->control();
  const std::string Address = formatEndpoint(this->Server->address());
  ASSERT_EQ(post(Control, "/cut?address=" + Address), 200U);
  this->call(makeRequest("a", 1000, {}));
  ASSERT_TRUE(
      pollUntil([&] { return getJson(Control, "/stats")["cut_off"] >= 2; }));
  EXPECT_EQ(this->finished(), 0U);
  ASSERT_EQ(post(Control, "/heal?address=" + Address), 200U);
  ASSERT_TRUE(pollUntil([&] { return this->finished() == 1; }));
  EXPECT_EQ(this->Results[0].Outcome, CallOutcome::Complete);
}

// Guards against a load that loses requests or ignores its mix.
TEST_F(DirectTest, LoadReportsEveryRequest) {
  this->start({});
  LoadOptions Load;
  Load.Rate = 500;
  Load.Count = 200;
  Load.Mix = *parseMix("service=127.9.0.1:80;weight=3;size=2000;time-ms=1,"
                       "service=127.9.0.2:80;class=5;size=10;time-ms=1");
  Summary Sums;
  std::size_t OfClass5 = 0;
  this->Threads.run([&](io_context &Io) {
    startLoad(Io, *this->Client, Load, [&](const CallResult &Result) {
      const std::lock_guard Lock(this->Guard);
      Sums.add(Result);
      OfClass5 += Result.Class == 5 ? 1 : 0;
    });
  });
  ASSERT_TRUE(pollUntil([&] {
    const std::lock_guard Lock(this->Guard);
    return Sums.count() == Load.Count;
  }));
  const auto Line = nlohmann::json::parse(Sums.format(0));
  EXPECT_EQ(Line["complete"], Load.Count);
  EXPECT_GT(OfClass5, 0U);
  EXPECT_LT(OfClass5, Load.Count / 2);
}

// Guards against a partition that lets datagrams through, or against answers
// that come from another address than the one that was asked.
TEST(LinkTest, RelaysBothWaysUntilThePartition) {
  Host Threads;
  FarSide Far;
  std::unique_ptr<UdpPort> Client;
  std::unique_ptr<UdpPort> Server;
  std::unique_ptr<Link> Between;
  std::atomic<int> Answers = 0;
  std::atomic<int> Strangers = 0;
  Threads.run([&](io_context &Io) {
    Server = must(
        UdpPort::create(Io, AnyPort, [&](Endpoint From, PacketBytes Bytes) {
          Server->send(From, Bytes);
        }));
    Between = must(Link::create(Io, AnyPort, Server->address(), Far));
    Client = must(
        UdpPort::create(Io, AnyPort, [&](Endpoint From, PacketBytes /*Bytes*/) {
          ++(From == Between->address() ? Answers : Strangers);
        }));
  });
  const auto Ask = [&] {
    Threads.run([&](io_context &) {
      const std::array<std::uint8_t, 1> Bytes = {1};
      Client->send(Between->address(), Bytes);
    });
  };
  Ask();
  ASSERT_TRUE(pollUntil([&] { return Answers == 1; }));
  Threads.run([&](io_context &) { Far.insert(Server->address()); });
  Ask();
  ASSERT_TRUE(pollUntil([&] {
    return Threads.run([&](io_context &) { return Between->dropped() == 1; });
  }));
  Threads.run([&](io_context &) { Far.clear(); });
  Ask();
  EXPECT_TRUE(pollUntil([&] { return Answers == 2; }));
  EXPECT_EQ(Strangers, 0);
  Threads.stop();
}

/// The configuration service and its control paths.
class PlatformTest : public testing::Test {
protected:
  void SetUp() override {
    this->Threads.run([&](io_context &Io) {
      PlatformOptions Options;
      Options.Listen = AnyPort;
      Options.AnswerDelay = milliseconds(1);
      this->Service = must(Platform::create(Io, Options));
      this->At = this->Service->address();
    });
  }

  void TearDown() override { this->Threads.stop(); }

  Result<HttpAnswer> read(std::string_view Target,
                          Duration Timeout = seconds(5)) {
    return httpCall(this->At, "GET", Target, {}, Timeout);
  }

  Host Threads;
  std::unique_ptr<Platform> Service;
  Endpoint At;
};

// Guards against a watch that misses a newer value or never ends.
TEST_F(PlatformTest, WatchEndsWithNewValueOrAfterItsWait) {
  ASSERT_EQ(post(this->At, "/test/table", "one"), 200U);
  const auto First = this->read("/v1/table?after=0&wait=0");
  ASSERT_TRUE(First);
  EXPECT_EQ(First->Status, 200U);
  EXPECT_EQ(First->Body, "one");
  EXPECT_EQ(textOr(First->Headers, "X-Revision"), "1");
  EXPECT_EQ(this->read("/v1/table?after=1&wait=0.1")->Status, 304U);

  auto Watch = std::async(std::launch::async, [&] {
    return this->read("/v1/table?after=1&wait=20", seconds(30));
  });
  ASSERT_TRUE(pollUntil(
      [&] { return getJson(this->At, "/test/calls")["waiting"] == 1; }));
  ASSERT_EQ(post(this->At, "/test/table", "two"), 200U);
  const auto Second = Watch.get();
  ASSERT_TRUE(Second);
  EXPECT_EQ(Second->Body, "two");
}

// Guards against a waiting watch that is free of charge.
TEST_F(PlatformTest, WaitingWatchCountsEverySecond) {
  ASSERT_EQ(this->read("/v1/table?after=0&wait=2.5")->Status, 304U);
  EXPECT_EQ(getJson(this->At, "/test/calls")["counted"], 3);
}

// Guards against a service that answers beyond its call rate.
TEST_F(PlatformTest, CallsBeyondTheRateGet429) {
  ASSERT_EQ(post(this->At, "/test/settings?rate=2"), 200U);
  bool Rejected = false;
  for (int Call = 0; Call < 200 && !Rejected; ++Call) {
    Rejected = this->read("/v1/table")->Status == 429U;
  }
  EXPECT_TRUE(Rejected);
  EXPECT_GE(getJson(this->At, "/test/calls")["rejected"], 1);
}

// Guards against modes that do not do what failure tests rely on.
TEST_F(PlatformTest, ModesChangeTheAnswers) {
  ASSERT_EQ(post(this->At, "/test/table", "12345678"), 200U);
  ASSERT_EQ(post(this->At, "/test/mode?mode=half"), 200U);
  EXPECT_EQ(this->read("/v1/table")->Body, "1234");
  ASSERT_EQ(post(this->At, "/test/mode?mode=stale"), 200U);
  ASSERT_EQ(post(this->At, "/test/table", "new"), 200U);
  EXPECT_EQ(this->read("/v1/table")->Body, "12345678");
  ASSERT_EQ(post(this->At, "/test/mode?mode=down"), 200U);
  EXPECT_FALSE(this->read("/v1/table"));
  ASSERT_EQ(post(this->At, "/test/mode?mode=silent"), 200U);
  EXPECT_FALSE(this->read("/v1/table", milliseconds(200)));
  ASSERT_EQ(post(this->At, "/test/mode?mode=up"), 200U);
  EXPECT_EQ(this->read("/v1/table")->Body, "new");
  ASSERT_EQ(post(this->At, "/test/restore?revision=1"), 200U);
  EXPECT_EQ(textOr(this->read("/v1/table")->Headers, "X-Revision"), "1");
  EXPECT_EQ(post(this->At, "/test/mode?mode=other"), 400U);
}

// Guards against a VM list without lag, and against values beyond the limit.
TEST_F(PlatformTest, VmListLagsAndValuesAreBounded) {
  ASSERT_EQ(post(this->At, "/test/settings?lag-ms=500"), 200U);
  ASSERT_EQ(post(this->At, "/test/vms", "vm"), 200U);
  EXPECT_EQ(this->read("/v1/vms?after=0")->Status, 304U);
  EXPECT_EQ(this->read("/v1/vms?after=0&wait=20")->Body, "vm");
  const std::string Large(std::size_t{1} << 20U, 'x');
  EXPECT_EQ(post(this->At, "/test/table", Large), 200U);
  EXPECT_EQ(post(this->At, "/test/table", Large + "x"), 413U);
  EXPECT_EQ(this->read("/v1/table")->Body.size(), Large.size());
}

} // namespace
} // namespace mulberryhoist::standin
