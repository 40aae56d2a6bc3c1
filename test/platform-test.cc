#include "mulberryhoist/platform.h"

#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <thread>

#include "fake-platform.h"

namespace mulberryhoist {
namespace {

using testing::FakePlatform;
using testing::PlatformFault;

constexpr std::string_view Body = "a,b,c\nd,e,f\n";

TEST(PlatformTest, ReadsAndWatches) {
  FakePlatform Service;
  Service.set("/v1/table", 7, std::string(Body));
  PlatformClient Client(Service.address());
  const auto First = Client.fetch({}, {});
  ASSERT_TRUE(First) << First.error().Detail;
  EXPECT_TRUE(First->Modified);
  EXPECT_EQ(First->Revision, 7U);
  EXPECT_EQ(First->Body, Body);
  const auto Unmodified = Client.fetch({TablePath, 7}, {});
  ASSERT_TRUE(Unmodified) << Unmodified.error().Detail;
  EXPECT_FALSE(Unmodified->Modified);
  std::thread Publisher([&Service] {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    Service.set("/v1/table", 8, "x\n");
  });
  const auto Watched =
      Client.fetch({TablePath, 7, std::chrono::seconds(2)}, {});
  Publisher.join();
  ASSERT_TRUE(Watched) << Watched.error().Detail;
  EXPECT_EQ(Watched->Revision, 8U);
  EXPECT_EQ(Service.Connections, 1U);
  EXPECT_EQ(Client.counters().Calls, 3U);
  EXPECT_GT(Client.counters().BytesReceived, Body.size());
}

struct FaultCase {
  PlatformFault Fault;
  ErrorKind Kind;
};

class PlatformFaultTest : public ::testing::TestWithParam<FaultCase> {};

// Guards against a faulty response that is accepted as a value, a call that
// never returns, and a client that does not recover.
TEST_P(PlatformFaultTest, ReturnsATypedErrorAndTheNextCallWorks) {
  FakePlatform Service;
  Service.set("/v1/table", 7, std::string(Body));
  PlatformClient Client(Service.address());
  ASSERT_TRUE(Client.fetch({}, {}));
  Service.Fault = GetParam().Fault;
  const auto Start = std::chrono::steady_clock::now();
  const auto Failed = Client.fetch({}, {});
  ASSERT_FALSE(Failed);
  EXPECT_EQ(Failed.error().Kind, GetParam().Kind) << Failed.error().Detail;
  EXPECT_LT(std::chrono::steady_clock::now() - Start,
            PlatformTimeout + std::chrono::seconds(1));
  Service.Fault = PlatformFault::None;
  const auto Next = Client.fetch({}, {});
  ASSERT_TRUE(Next) << Next.error().Detail;
  EXPECT_EQ(Next->Body, Body);
}

INSTANTIATE_TEST_SUITE_P(
    Faults, PlatformFaultTest,
    ::testing::Values(
        FaultCase{PlatformFault::Silent, ErrorKind::ConfigurationUnavailable},
        FaultCase{PlatformFault::HalfBody, ErrorKind::IncompleteTable},
        FaultCase{PlatformFault::HugeBody, ErrorKind::OversizedMessage},
        FaultCase{PlatformFault::NoRevision, ErrorKind::MalformedMessage},
        FaultCase{PlatformFault::Garbage, ErrorKind::MalformedMessage},
        FaultCase{PlatformFault::TooManyCalls, ErrorKind::CallRateExceeded}));

// Guards against a call that fails because the service closed an idle
// connection.
TEST(PlatformTest, RetriesACallOnAClosedConnection) {
  FakePlatform Service;
  Service.Fault = PlatformFault::CloseAfter;
  Service.set("/v1/table", 7, std::string(Body));
  PlatformClient Client(Service.address());
  for (int I = 0; I < 3; ++I) {
    const auto Response = Client.fetch({}, {});
    ASSERT_TRUE(Response) << Response.error().Detail;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  EXPECT_EQ(Service.Connections, 3U);
}

TEST(PlatformTest, ReportsAnUnreachableService) {
  std::optional<FakePlatform> Service(std::in_place);
  const Endpoint Address = Service->address();
  Service.reset();
  const auto Response = PlatformClient(Address).fetch({}, {});
  ASSERT_FALSE(Response);
  EXPECT_EQ(Response.error().Kind, ErrorKind::ConfigurationUnavailable);
}

// Guards against a process that cannot stop during a long poll.
TEST(PlatformTest, StopRequestEndsAWatch) {
  FakePlatform Service;
  Service.set("/v1/table", 7, std::string(Body));
  PlatformClient Client(Service.address());
  std::stop_source Stop;
  std::thread Stopper([&Stop] {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    Stop.request_stop();
  });
  const auto Start = std::chrono::steady_clock::now();
  EXPECT_FALSE(
      Client.fetch({TablePath, 7, std::chrono::seconds(5)}, Stop.get_token()));
  Stopper.join();
  EXPECT_LT(std::chrono::steady_clock::now() - Start, std::chrono::seconds(1));
}

} // namespace
} // namespace mulberryhoist
