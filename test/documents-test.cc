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
/// The longest time until a published change is in force in every process.
constexpr seconds InForceBound{9};

/// A VM list that makes the process `b1` a reader, which watches the service.
const std::string OneReader = "b1,balancer,z-1,live,127.0.0.1:1,127.0.0.1:2\n";

Endpoint freeAddress() {
  boost::asio::io_context Context;
  const tcp::acceptor Acceptor(Context,
                               {boost::asio::ip::address_v4::loopback(), 0});
  return {Loopback, Acceptor.local_endpoint().port()};
}

std::string csv(std::uint32_t Epoch, int Weight) {
  return fmt::format("service,address,class,share,upstream,endpoint,zone,"
                     "weight,slots,connections\nepoch,{}\n"
                     "s,127.1.0.1:80,0,1,u1,127.2.0.1:90,z-1,{},4,20\nend,1\n",
                     Epoch, Weight);
}

bool waitFor(Duration Limit, const std::function<bool()> &Condition) {
  const Instant End = std::chrono::steady_clock::now() + Limit;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() > End) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(5));
  }
  return true;
}

/// A feed whose duties run under a supervisor.
struct RunningFeed {
  RunningFeed(const std::string &Name, std::optional<Endpoint> Platform,
              std::vector<Endpoint> Peers, Endpoint Control = freeAddress())
      : Control(Control) {
    setUpLog("documents-test", LogLevel::Error);
    auto NewFeed = DocumentFeed::create(
        {Name, "z-1", VmRole::Balancer, Control, Platform, std::move(Peers)});
    EXPECT_TRUE(NewFeed) << NewFeed.error().Detail;
    this->Feed.emplace(std::move(*NewFeed));
    this->Duties.emplace(std::move(*Supervisor::start(this->Feed->duties())));
  }

  bool reachesVersion(TableVersion Version,
                      Duration Limit = InForceBound) const {
    return waitFor(Limit, [&] {
      const auto Table = this->Feed->table();
      return Table && Table->version() == Version;
    });
  }

  Endpoint Control;
  std::optional<DocumentFeed> Feed;
  std::optional<Supervisor> Duties;
};

// Guards against a table that does not reach processes without access to the
// configuration service, against a start that needs the service, and against
// processes that revert to the older table of a restored service.
TEST(DocumentsTest, TablesPropagateAndNeverRevert) {
  std::optional<FakePlatform> Service(std::in_place);
  const Endpoint Address = Service->address();
  Service->set("/v1/table", 100, csv(0, 5));
  const RunningFeed First("b1", Address, {});
  const RunningFeed Second("b2", std::nullopt, {First.Control});
  const RunningFeed Third("b3", std::nullopt, {Second.Control});
  EXPECT_TRUE(Third.reachesVersion({0, 100}));
  EXPECT_EQ(Third.Feed->table()->digest(), First.Feed->table()->digest());
  Service->set("/v1/table", 101, csv(0, 6));
  EXPECT_TRUE(Third.reachesVersion({0, 101}));

  Service->set("/v1/table", 50, csv(0, 5));
  EXPECT_TRUE(waitFor(InForceBound, [&First] {
    return First.Feed->status().OlderIgnored > 0;
  }));
  EXPECT_NE(First.Feed->status().LastProblem.find("older"), std::string::npos);
  for (const RunningFeed *Each : {&First, &Second, &Third}) {
    EXPECT_EQ(Each->Feed->table()->version(), (TableVersion{0, 101}));
  }
  Service->set("/v1/table", 51, csv(1, 7));
  EXPECT_TRUE(Third.reachesVersion({1, 51}));

  Service.reset();
  const RunningFeed Late("b4", Address, {Third.Control});
  EXPECT_TRUE(Late.reachesVersion({1, 51}));
  EXPECT_EQ(Late.Feed->table()->digest(), First.Feed->table()->digest());
}

// Guards against an invalid or incomplete value that comes into force, and
// against a feed that does not read the corrected one.
TEST(DocumentsTest, RejectedValuesLeaveTheTableInForce) {
  FakePlatform Service;
  Service.set("/v1/vms", 1, OneReader);
  Service.set("/v1/table", 1, csv(0, 5));
  const RunningFeed Feed("b1", Service.address(), {});
  ASSERT_TRUE(Feed.reachesVersion({0, 1}));
  Service.set("/v1/table", 2, csv(0, 5000));
  EXPECT_TRUE(waitFor(InForceBound, [&Feed] {
    return Feed.Feed->status().InvalidRejected > 0;
  }));
  EXPECT_EQ(Feed.Feed->table()->version(), (TableVersion{0, 1}));
  EXPECT_NE(Feed.Feed->status().LastProblem.find("'5000'"), std::string::npos);
  Service.set("/v1/table", 3, csv(0, 6));
  EXPECT_TRUE(Feed.reachesVersion({0, 3}));
  Service.Fault = PlatformFault::HalfBody;
  Service.set("/v1/table", 4, csv(0, 7));
  std::this_thread::sleep_for(seconds(1));
  EXPECT_EQ(Feed.Feed->table()->version(), (TableVersion{0, 3}));
  Service.Fault = PlatformFault::None;
  EXPECT_TRUE(Feed.reachesVersion({0, 4}));
}

// Guards against a reader on the VM list that does not watch the service, and
// against neighbours that are not taken from the VM list.
TEST(DocumentsTest, VmListPropagatesAndDeterminesReadersAndNeighbours) {
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
  ASSERT_TRUE(Agent.reachesVersion({0, 1}));
  EXPECT_TRUE(waitFor(InForceBound, [&] {
    return Reader.Feed->status().Reader && Agent.Feed->vms() &&
           Agent.Feed->vms()->Vms.size() == 2;
  }));
  EXPECT_FALSE(Agent.Feed->status().Reader);
  EXPECT_TRUE(waitFor(InForceBound, [&] {
    return Agent.Feed->status().SinceConfirmed < seconds(3);
  }));
  Service.set("/v1/table", 2, csv(0, 6));
  EXPECT_TRUE(Agent.reachesVersion({0, 2}, seconds(3)));
  EXPECT_GT(Agent.Feed->status().BytesReceived, 0U);
}

// Guards against a malformed frame that ends the exchange or is not counted.
TEST(DocumentsTest, MalformedFramesAreCounted) {
  FakePlatform Service;
  Service.set("/v1/vms", 1, OneReader);
  Service.set("/v1/table", 1, csv(0, 5));
  const RunningFeed Feed("b1", Service.address(), {});
  ASSERT_TRUE(Feed.reachesVersion({0, 1}));
  zmq::context_t Context;
  zmq::socket_t Link(Context, zmq::socket_type::dealer);
  Link.set(zmq::sockopt::linger, 0);
  Link.set(zmq::sockopt::routing_id, "127.0.0.1:9");
  Link.connect("tcp://" + formatEndpoint(Feed.Control));
  Link.send(zmq::str_buffer("garbage"));
  Link.send(zmq::buffer(std::string(MaxExchangeBytes + 1, 'x')));
  Link.send(zmq::str_buffer("two"), zmq::send_flags::sndmore);
  Link.send(zmq::str_buffer("parts"));
  zmq::socket_t WithoutIdentity(Context, zmq::socket_type::dealer);
  WithoutIdentity.set(zmq::sockopt::linger, 0);
  WithoutIdentity.connect("tcp://" + formatEndpoint(Feed.Control));
  WithoutIdentity.send(zmq::str_buffer("x"));
  EXPECT_TRUE(waitFor(InForceBound, [&Feed] {
    return Feed.Feed->status().InvalidRejected == 4;
  })) << Feed.Feed->status().InvalidRejected;
  Service.set("/v1/table", 2, csv(0, 6));
  EXPECT_TRUE(Feed.reachesVersion({0, 2}));
}

TEST(DocumentsTest, AddressInUseIsReportedAtStart) {
  const RunningFeed Feed("b1", std::nullopt, {});
  const auto Second = DocumentFeed::create(
      {"b2", "z-1", VmRole::Balancer, Feed.Control, {}, {}});
  ASSERT_FALSE(Second);
  EXPECT_EQ(Second.error().Kind, ErrorKind::InvalidSetting);
}

/// Forwards TCP connections and can stall those that exist.
class TcpProxy {
public:
  explicit TcpProxy(Endpoint Target)
      : Target(Target),
        Acceptor(this->Context, {boost::asio::ip::address_v4::loopback(), 0}),
        Thread([this] { this->run(); }) {}

  TcpProxy(const TcpProxy &) = delete;
  TcpProxy &operator=(const TcpProxy &) = delete;

  ~TcpProxy() { this->Stopping = true; }

  Endpoint address() const {
    return {Loopback, this->Acceptor.local_endpoint().port()};
  }

  void stallConnections() { this->StallRequested = true; }

  std::atomic<int> Connections = 0;

private:
  struct Connection {
    tcp::socket Client;
    tcp::socket Server;
    bool Stalled = false;
  };

  static void forward(tcp::socket &From, tcp::socket &To) {
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
    tcp::socket Client = this->Acceptor.accept(Code);
    if (Code) {
      return;
    }
    tcp::socket Server(this->Context);
    Server.connect(
        {boost::asio::ip::address_v4(this->Target.Address), this->Target.Port},
        Code);
    Client.non_blocking(true);
    Server.non_blocking(true);
    this->Open.push_back({std::move(Client), std::move(Server)});
    ++this->Connections;
  }

  void run() {
    this->Acceptor.non_blocking(true);
    while (!this->Stopping) {
      if (this->StallRequested.exchange(false)) {
        for (Connection &Each : this->Open) {
          Each.Stalled = true;
        }
      }
      this->accept();
      for (Connection &Each : this->Open) {
        if (!Each.Stalled) {
          forward(Each.Client, Each.Server);
          forward(Each.Server, Each.Client);
        }
      }
      std::this_thread::sleep_for(milliseconds(2));
    }
  }

  Endpoint Target;
  std::atomic<bool> StallRequested = false;
  std::atomic<bool> Stopping = false;
  boost::asio::io_context Context;
  tcp::acceptor Acceptor;
  std::list<Connection> Open;
  std::jthread Thread;
};

// Guards against a link that stays open but delivers nothing, because its state
// was lost between its ends: it must be replaced within the bound.
TEST(DocumentsTest, StalledLinkIsReplaced) {
  FakePlatform Service;
  Service.set("/v1/table", 1, csv(0, 5));
  const RunningFeed First("b1", Service.address(), {});
  TcpProxy Proxy(First.Control);
  const RunningFeed Second("b2", std::nullopt, {Proxy.address()});
  ASSERT_TRUE(Second.reachesVersion({0, 1}));
  EXPECT_EQ(Proxy.Connections, 1);
  Proxy.stallConnections();
  Service.set("/v1/table", 2, csv(0, 6));
  EXPECT_TRUE(Second.reachesVersion({0, 2}));
  EXPECT_GE(Proxy.Connections, 2);
}

} // namespace
} // namespace mulberryhoist
