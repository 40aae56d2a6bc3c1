#include "mulberryhoist/documents.h"

#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <chrono>
#include <fmt/format.h>
#include <functional>
#include <list>
#include <optional>
#include <thread>
#include <zmq.hpp>

#include "fake-platform.h"
#include "mulberryhoist/exchange.h"
#include "mulberryhoist/log.h"

namespace mulberryhoist {
namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::FakePlatform;
using testing::PlatformFault;

constexpr std::uint32_t Loopback = 0x7F000001U;
/// Bound of guarantee G8.
constexpr seconds InForceBound{9};

/// A list that makes the process `b1` a reader, which watches.
const std::string OneReader = "b1,balancer,z-1,live,127.0.0.1:1,127.0.0.1:2\n";

Endpoint freeAddress() {
  boost::asio::io_context Context;
  const tcp::acceptor Any(Context,
                          {boost::asio::ip::address_v4::loopback(), 0});
  return {Loopback, Any.local_endpoint().port()};
}

std::string csv(std::uint32_t Epoch, int Weight) {
  return fmt::format("service,address,class,share,upstream,endpoint,zone,"
                     "weight,slots,connections\nepoch,{}\n"
                     "s,127.1.0.1:80,0,1,u1,127.2.0.1:90,z-1,{},4,20\nend,1\n",
                     Epoch, Weight);
}

bool within(Duration Limit, const std::function<bool()> &Reached) {
  const Instant End = std::chrono::steady_clock::now() + Limit;
  while (!Reached()) {
    if (std::chrono::steady_clock::now() > End) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(5));
  }
  return true;
}

/// A feed that runs under its supervisor.
struct RunningFeed {
  RunningFeed(const std::string &Name, std::optional<Endpoint> Platform,
              std::vector<Endpoint> Peers, Endpoint Control = freeAddress())
      : Control(Control) {
    setUpLog("documents-test", LogLevel::Error);
    auto Made = DocumentFeed::create(
        {Name, "z-1", VmRole::Balancer, Control, Platform, std::move(Peers)});
    EXPECT_TRUE(Made) << Made.error().Detail;
    this->Feed.emplace(std::move(*Made));
    this->Duties.emplace(std::move(*Supervisor::start(this->Feed->duties())));
  }

  bool reaches(TableVersion Version, Duration Limit = InForceBound) const {
    return within(Limit, [&] {
      const auto Table = this->Feed->table();
      return Table && Table->version() == Version;
    });
  }

  Endpoint Control;
  std::optional<DocumentFeed> Feed;
  std::optional<Supervisor> Duties;
};

// Guards against a table that does not reach processes without access to the
// configuration service, against a start that needs the service, and against a
// restored service that takes the fleet back.
TEST(DocumentsTest, TablesTravelAndNeverGoBack) {
  std::optional<FakePlatform> Service(std::in_place);
  const Endpoint Address = Service->address();
  Service->set("/v1/table", 100, csv(0, 5));
  const RunningFeed First("b1", Address, {});
  const RunningFeed Second("b2", std::nullopt, {First.Control});
  const RunningFeed Third("b3", std::nullopt, {Second.Control});
  EXPECT_TRUE(Third.reaches({0, 100}));
  EXPECT_EQ(Third.Feed->table()->digest(), First.Feed->table()->digest());
  Service->set("/v1/table", 101, csv(0, 6));
  EXPECT_TRUE(Third.reaches({0, 101}));

  Service->set("/v1/table", 50, csv(0, 5));
  EXPECT_TRUE(within(InForceBound, [&First] {
    return First.Feed->status().OlderIgnored > 0;
  }));
  EXPECT_NE(First.Feed->status().LastProblem.find("older"), std::string::npos);
  for (const RunningFeed *Each : {&First, &Second, &Third}) {
    EXPECT_EQ(Each->Feed->table()->version(), (TableVersion{0, 101}));
  }
  Service->set("/v1/table", 51, csv(1, 7));
  EXPECT_TRUE(Third.reaches({1, 51}));

  Service.reset();
  const RunningFeed Late("b4", Address, {Third.Control});
  EXPECT_TRUE(Late.reaches({1, 51}));
  EXPECT_EQ(Late.Feed->table()->digest(), First.Feed->table()->digest());
}

// Guards against an invalid or half-written value that comes into force, and
// against a feed that does not notice the corrected one.
TEST(DocumentsTest, RejectedValuesLeaveTheTableInForce) {
  FakePlatform Service;
  Service.set("/v1/vms", 1, OneReader);
  Service.set("/v1/table", 1, csv(0, 5));
  const RunningFeed Feed("b1", Service.address(), {});
  ASSERT_TRUE(Feed.reaches({0, 1}));
  Service.set("/v1/table", 2, csv(0, 5000));
  EXPECT_TRUE(within(InForceBound, [&Feed] {
    return Feed.Feed->status().InvalidRejected > 0;
  }));
  EXPECT_EQ(Feed.Feed->table()->version(), (TableVersion{0, 1}));
  EXPECT_NE(Feed.Feed->status().LastProblem.find("'5000'"), std::string::npos);
  Service.set("/v1/table", 3, csv(0, 6));
  EXPECT_TRUE(Feed.reaches({0, 3}));
  Service.Fault = PlatformFault::HalfBody;
  Service.set("/v1/table", 4, csv(0, 7));
  std::this_thread::sleep_for(seconds(1));
  EXPECT_EQ(Feed.Feed->table()->version(), (TableVersion{0, 3}));
  Service.Fault = PlatformFault::None;
  EXPECT_TRUE(Feed.reaches({0, 4}));
}

// Guards against a listed reader that does not watch, and against neighbours
// that are not taken from the VM list.
TEST(DocumentsTest, VmListTravelsAndNamesReadersAndNeighbours) {
  FakePlatform Service;
  const Endpoint First = freeAddress();
  const Endpoint Second = freeAddress();
  Service.set("/v1/vms", 3,
              fmt::format("b1,balancer,z-1,live,{},127.0.0.1:1\n"
                          "u1,agent,z-1,live,{},127.0.0.1:2\n",
                          formatEndpoint(First), formatEndpoint(Second)));
  Service.set("/v1/table", 1, csv(0, 5));
  const RunningFeed Reader("b1", Service.address(), {}, First);
  const RunningFeed Agent("u1", std::nullopt, {}, Second);
  ASSERT_TRUE(Agent.reaches({0, 1}));
  EXPECT_TRUE(within(InForceBound, [&] {
    return Reader.Feed->status().Reader && Agent.Feed->vms() &&
           Agent.Feed->vms()->Vms.size() == 2;
  }));
  EXPECT_FALSE(Agent.Feed->status().Reader);
  EXPECT_TRUE(within(InForceBound, [&] {
    return Agent.Feed->status().SinceConfirmed < seconds(3);
  }));
  Service.set("/v1/table", 2, csv(0, 6));
  EXPECT_TRUE(Agent.reaches({0, 2}, seconds(3)));
  EXPECT_GT(Agent.Feed->status().BytesReceived, 0U);
}

// Guards against a frame that ends the exchange or goes unnoticed.
TEST(DocumentsTest, BadFramesAreCounted) {
  FakePlatform Service;
  Service.set("/v1/vms", 1, OneReader);
  Service.set("/v1/table", 1, csv(0, 5));
  const RunningFeed Feed("b1", Service.address(), {});
  ASSERT_TRUE(Feed.reaches({0, 1}));
  zmq::context_t Context;
  zmq::socket_t Link(Context, zmq::socket_type::dealer);
  Link.set(zmq::sockopt::linger, 0);
  Link.set(zmq::sockopt::routing_id, "127.0.0.1:9");
  Link.connect("tcp://" + formatEndpoint(Feed.Control));
  Link.send(zmq::str_buffer("garbage"));
  Link.send(zmq::buffer(std::string(MaxExchangeBytes + 1, 'x')));
  Link.send(zmq::str_buffer("two"), zmq::send_flags::sndmore);
  Link.send(zmq::str_buffer("parts"));
  zmq::socket_t Nameless(Context, zmq::socket_type::dealer);
  Nameless.set(zmq::sockopt::linger, 0);
  Nameless.connect("tcp://" + formatEndpoint(Feed.Control));
  Nameless.send(zmq::str_buffer("x"));
  EXPECT_TRUE(within(InForceBound, [&Feed] {
    return Feed.Feed->status().InvalidRejected == 4;
  })) << Feed.Feed->status().InvalidRejected;
  Service.set("/v1/table", 2, csv(0, 6));
  EXPECT_TRUE(Feed.reaches({0, 2}));
}

TEST(DocumentsTest, AnAddressInUseIsReportedAtStart) {
  const RunningFeed Feed("b1", std::nullopt, {});
  const auto Second = DocumentFeed::create(
      {"b2", "z-1", VmRole::Balancer, Feed.Control, {}, {}});
  ASSERT_FALSE(Second);
  EXPECT_EQ(Second.error().Kind, ErrorKind::InvalidSetting);
}

/// Passes connections on, and can let those that exist go silent.
class Relay {
public:
  explicit Relay(Endpoint Target)
      : Target(Target),
        Acceptor(this->Context, {boost::asio::ip::address_v4::loopback(), 0}),
        Runner([this] { this->run(); }) {}

  Relay(const Relay &) = delete;
  Relay &operator=(const Relay &) = delete;

  ~Relay() { this->Stopping = true; }

  Endpoint address() const {
    return {Loopback, this->Acceptor.local_endpoint().port()};
  }

  void silenceExisting() { this->Silence = true; }

  std::atomic<int> Connections = 0;

private:
  struct Connection {
    tcp::socket Near;
    tcp::socket Far;
    bool Silent = false;
  };

  static void move(tcp::socket &From, tcp::socket &To) {
    std::array<char, 65536> Buffer{};
    boost::system::error_code Code;
    const std::size_t Length =
        From.read_some(boost::asio::buffer(Buffer), Code);
    if (Length > 0) {
      To.non_blocking(false);
      boost::asio::write(To, boost::asio::buffer(Buffer, Length), Code);
      To.non_blocking(true);
    }
  }

  void accept() {
    boost::system::error_code Code;
    tcp::socket Near = this->Acceptor.accept(Code);
    if (Code) {
      return;
    }
    tcp::socket Far(this->Context);
    Far.connect(
        {boost::asio::ip::address_v4(this->Target.Address), this->Target.Port},
        Code);
    Near.non_blocking(true);
    Far.non_blocking(true);
    this->Open.push_back({std::move(Near), std::move(Far)});
    ++this->Connections;
  }

  void run() {
    this->Acceptor.non_blocking(true);
    while (!this->Stopping) {
      if (this->Silence.exchange(false)) {
        for (Connection &Each : this->Open) {
          Each.Silent = true;
        }
      }
      this->accept();
      for (Connection &Each : this->Open) {
        if (!Each.Silent) {
          move(Each.Near, Each.Far);
          move(Each.Far, Each.Near);
        }
      }
      std::this_thread::sleep_for(milliseconds(2));
    }
  }

  Endpoint Target;
  std::atomic<bool> Silence = false;
  std::atomic<bool> Stopping = false;
  boost::asio::io_context Context;
  tcp::acceptor Acceptor;
  std::list<Connection> Open;
  std::jthread Runner;
};

// Guards against a link whose state was lost between its ends: it must be
// replaced in time for the bound.
TEST(DocumentsTest, ASilentLinkIsReplaced) {
  FakePlatform Service;
  Service.set("/v1/table", 1, csv(0, 5));
  const RunningFeed First("b1", Service.address(), {});
  Relay Between(First.Control);
  const RunningFeed Second("b2", std::nullopt, {Between.address()});
  ASSERT_TRUE(Second.reaches({0, 1}));
  EXPECT_EQ(Between.Connections, 1);
  Between.silenceExisting();
  Service.set("/v1/table", 2, csv(0, 6));
  EXPECT_TRUE(Second.reaches({0, 2}));
  EXPECT_GE(Between.Connections, 2);
}

} // namespace
} // namespace mulberryhoist
