#include "mulberryhoist/balancer.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <fmt/format.h>
#include <rapidcheck/gtest.h>

#include "allocation-counter.h"
#include "samples.h"

namespace mulberryhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant Start = Instant(seconds(1000));
constexpr std::uint32_t Loopback = 127U << 24U;
const Endpoint Photos = {Loopback | 1U, 443};
const Endpoint Templates = {Loopback | 2U, 443};

Endpoint agentAt(std::uint32_t Index) {
  return {Loopback | (10U << 8U) | Index, 7000};
}

UpstreamId upstreamAt(std::uint32_t Index) {
  return upstreamId(fmt::format("u{}", Index));
}

std::string row(std::string_view Service, Endpoint Address,
                std::uint32_t Upstream, unsigned Weight,
                std::string_view Share = "1") {
  return sampleRow(Service, Address, fmt::format("u{}", Upstream),
                   agentAt(Upstream), Weight, Share);
}

/// Returns rows of one service with an upstream for each weight.
std::vector<std::string> photoRows(std::vector<unsigned> Weights) {
  std::vector<std::string> Rows;
  for (std::uint32_t I = 0; I < Weights.size(); ++I) {
    Rows.push_back(row("photos", Photos, I, Weights[I]));
  }
  return Rows;
}

const std::vector<unsigned> EqualWeights = {10, 10, 10, 10, 10, 10, 10};

std::vector<std::uint8_t> makePacket(std::uint32_t Caller, Endpoint Service,
                                     Tins::TCP::Flags Flags = Tins::TCP::ACK) {
  return samplePacket({Loopback | Caller, 5000}, Service, Flags);
}

FlowKey keyOf(std::uint32_t Caller, Endpoint Service) {
  return {{Loopback | Caller, 5000}, Service};
}

/// Drives the logic of a balancer with packets, probe replies and time.
struct Driver {
  explicit Driver(const std::shared_ptr<const Table> &InForce) {
    this->Logic.onTable(InForce, this->Now, this->Out);
  }

  /// Returns the message that the balancer forwards, or nothing.
  std::optional<SendMessage> forward(const std::vector<std::uint8_t> &Packet) {
    this->Out.clear();
    this->Logic.onPacket(Packet, this->Now, this->Out);
    if (this->Out.size() != 1) {
      return std::nullopt;
    }
    const auto *Sent = std::get_if<SendMessage>(&this->Out.front());
    return Sent == nullptr ? std::nullopt : std::optional(*Sent);
  }

  std::optional<UpstreamId> coordinatorFor(std::uint32_t Caller,
                                           Endpoint Service = Photos) {
    const auto Sent = this->forward(makePacket(Caller, Service));
    if (!Sent) {
      return std::nullopt;
    }
    return std::get<Forward>(Sent->Body).Coordinator;
  }

  /// Returns the error that the last event reported.
  std::optional<ErrorKind> error() const {
    const auto *Report = this->Out.size() != 1
                             ? nullptr
                             : std::get_if<ReportError>(&this->Out.front());
    return Report == nullptr ? std::nullopt : std::optional(Report->Kind);
  }

  /// Advances the time; agents reply to probes unless they are silent.
  void advance(Duration Time) {
    for (const Instant End = this->Now + Time; this->Now < End;
         this->Now += milliseconds(50)) {
      ActionList Probes;
      this->Logic.onTick(this->Now, Probes);
      for (const Action &Each : Probes) {
        this->replyToProbe(std::get<SendMessage>(Each));
      }
    }
  }

  void replyToProbe(const SendMessage &Sent) {
    const auto Index = static_cast<std::uint8_t>(Sent.To.Address);
    if (std::count(this->Silent.begin(), this->Silent.end(), Index) != 0) {
      return;
    }
    const auto Sequence = std::get<Probe>(Sent.Body).Sequence;
    const bool Draining =
        std::count(this->Draining.begin(), this->Draining.end(), Index) != 0;
    this->Out.clear();
    this->Logic.onDatagram(
        Sent.To, ProbeReply{Sequence, upstreamAt(Index), Draining, 0, {}},
        this->Now, this->Out);
  }

  BalancerLogic Logic;
  ActionList Out;
  Instant Now = Start;
  std::vector<unsigned> Silent;
  std::vector<unsigned> Draining;
};

constexpr std::uint32_t Flows = 200;

/// Counts the flows of which each upstream is the coordinator.
std::vector<unsigned> countCoordinators(Driver &Run) {
  std::vector<unsigned> Counts(EqualWeights.size());
  for (std::uint32_t Caller = 0; Caller < Flows; ++Caller) {
    const auto Coordinator = Run.coordinatorFor(Caller);
    for (std::uint32_t I = 0; I < Counts.size(); ++I) {
      Counts[I] += Coordinator == upstreamAt(I) ? 1 : 0;
    }
  }
  return Counts;
}

// Guards against envelopes whose fields do not match the packet, its service or
// the table in force.
TEST(BalancerTest, ForwardsWithServiceCoordinatorAndVersion) {
  Driver Run(sampleTable(photoRows(EqualWeights), 7));
  for (const auto Flags : {Tins::TCP::SYN, Tins::TCP::ACK, Tins::TCP::RST}) {
    const auto Packet = makePacket(1, Photos, Flags);
    const auto Sent = Run.forward(Packet);
    ASSERT_TRUE(Sent.has_value());
    const auto &Body = std::get<Forward>(Sent->Body);
    EXPECT_EQ(Body.Opening, Flags == Tins::TCP::SYN);
    EXPECT_EQ(Body.Service, serviceId("photos"));
    EXPECT_EQ(Run.Logic.table()->findUpstream(Sent->To)->Id, Body.Coordinator);
    EXPECT_EQ(Body.Table, (TableVersion{0, 7}));
    EXPECT_FALSE(Body.Relayed || Body.Adopt);
    EXPECT_EQ(Sent->Packet.data(), Packet.data());
  }
}

struct ExclusionCase {
  const char *Name;
  void (*Prepare)(Driver &Run);
};

void silenceAgent(Driver &Run) { Run.Silent = {3}; }
void drainAgent(Driver &Run) { Run.Draining = {3}; }
void setWeightZero(Driver &Run) {
  auto Weights = EqualWeights;
  Weights[3] = 0;
  Run.Logic.onTable(sampleTable(photoRows(Weights), 2), Run.Now, Run.Out);
}
void markVmLeaving(Driver &Run) {
  VmList List;
  for (std::uint32_t I = 0; I < EqualWeights.size(); ++I) {
    List.Vms.push_back({"u", VmRole::Agent, "kl-sentral",
                        I == 3 ? VmState::Leaving : VmState::Live, agentAt(I),
                        agentAt(I)});
  }
  Run.Logic.onVms(List, Run.Now);
}

class ExclusionTest : public testing::TestWithParam<ExclusionCase> {};

// Guards against packets to an agent that accepts no flows, and against moving
// the flows of other agents because of it.
TEST_P(ExclusionTest, MovesOnlyFlowsOfExcludedAgent) {
  Driver Run(sampleTable(photoRows(EqualWeights)));
  Run.advance(seconds(2));
  std::vector<std::optional<UpstreamId>> Before;
  for (std::uint32_t Caller = 0; Caller < Flows; ++Caller) {
    Before.push_back(Run.coordinatorFor(Caller));
  }
  GetParam().Prepare(Run);
  Run.advance(seconds(4) + milliseconds(100));
  EXPECT_EQ(countCoordinators(Run)[3], 0U);
  for (std::uint32_t Caller = 0; Caller < Flows; ++Caller) {
    if (Before[Caller] != upstreamAt(3)) {
      EXPECT_EQ(Run.coordinatorFor(Caller), Before[Caller]);
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
    Reasons, ExclusionTest,
    testing::Values(ExclusionCase{"Suspected", silenceAgent},
                    ExclusionCase{"Draining", drainAgent},
                    ExclusionCase{"WeightZero", setWeightZero},
                    ExclusionCase{"Leaving", markVmLeaving}),
    [](const auto &Info) { return std::string(Info.param.Name); });

// Guards against dropping all packets because every agent is suspected.
TEST(BalancerTest, FailsOpenAndClearsSuspicionsAfterPause) {
  Driver Run(sampleTable(photoRows(EqualWeights)));
  const auto Before = countCoordinators(Run);
  Run.Silent = {0, 1, 2, 3, 4, 5, 6};
  Run.advance(seconds(5));
  EXPECT_EQ(countCoordinators(Run), Before);
  const auto Explanation =
      explainFlow(*Run.Logic.table(), Run.Logic.failureDetector().agents(),
                  keyOf(1, Photos));
  EXPECT_TRUE(Explanation.FailOpen);
  EXPECT_EQ(Explanation.Coordinator, Run.coordinatorFor(1));

  Run.Logic.onPause(Run.Now);
  EXPECT_FALSE(Run.Logic.failureDetector().isSuspected(upstreamAt(1)));
}

// Guards against forwarding openings that were queued during a pause and whose
// callers have given up, against dropping packets of established flows with
// them, and against dropping openings indefinitely under overload.
TEST(BalancerTest, PauseDropsOnlyQueuedOpenings) {
  Driver Run(sampleTable(photoRows(EqualWeights)));
  Run.Logic.onPause(Run.Now);
  EXPECT_FALSE(Run.forward(makePacket(1, Photos, Tins::TCP::SYN)).has_value());
  EXPECT_TRUE(Run.forward(makePacket(1, Photos)).has_value());
  EXPECT_EQ(Run.Logic.droppedOpenings(), 1U);
  Run.Logic.onBacklogRead();
  EXPECT_TRUE(Run.forward(makePacket(1, Photos, Tins::TCP::SYN)).has_value());

  Run.Logic.onPause(Run.Now);
  Run.Now += MaxOpeningDropTime;
  EXPECT_TRUE(Run.forward(makePacket(1, Photos, Tins::TCP::SYN)).has_value());
}

// Guards against openings that reach a service that no longer has the address.
TEST(BalancerTest, MovedAddressIsRoutedToNewService) {
  Driver Run(sampleTable(
      {row("photos", Photos, 0, 10), row("templates", Templates, 1, 10)}));
  EXPECT_EQ(Run.coordinatorFor(1, Templates), upstreamAt(1));
  Run.Logic.onTable(sampleTable({row("photos", Templates, 0, 10),
                                 row("templates", Photos, 1, 10)},
                                2),
                    Run.Now, Run.Out);
  const auto Sent = Run.forward(makePacket(1, Templates, Tins::TCP::SYN));
  ASSERT_TRUE(Sent.has_value());
  EXPECT_EQ(std::get<Forward>(Sent->Body).Service, serviceId("photos"));
  EXPECT_EQ(std::get<Forward>(Sent->Body).Coordinator, upstreamAt(0));
}

// Guards against cutting the remaining flows of a closed service.
TEST(BalancerTest, ClosedServiceIsRoutedToItsAgents) {
  Driver Run(sampleTable({row("photos", Photos, 0, 0, "closed"),
                          row("photos", Photos, 1, 0, "closed"),
                          row("templates", Templates, 2, 10)}));
  Run.Draining = {0, 1};
  Run.Silent = {1};
  Run.advance(seconds(5));
  for (std::uint32_t Caller = 0; Caller < Flows; ++Caller) {
    EXPECT_EQ(Run.coordinatorFor(Caller), upstreamAt(0));
  }
}

// Guards against cutting the flows of a removed service, and against new flows
// for it.
TEST(BalancerTest, RemovedServiceKeepsOnlyEstablishedFlows) {
  const auto InForce = Table::create(
      {0, 2},
      std::vector<RowText>{
          {"templates/u2", row("templates", Templates, 2, 10)}},
      std::vector<RowText>{{"photos/u0", row("photos", Photos, 0, 10)},
                           {"photos/u1", row("photos", Photos, 1, 10)}});
  ASSERT_TRUE(InForce.has_value()) << InForce.error().Detail;
  Driver Run(std::make_shared<const Table>(*InForce));
  EXPECT_TRUE(Run.coordinatorFor(1, Photos).has_value());
  EXPECT_FALSE(Run.forward(makePacket(1, Photos, Tins::TCP::SYN)).has_value());
  EXPECT_EQ(Run.error(), ErrorKind::UnknownAddress);
}

// Guards against flows that break because their coordinator was removed from
// the table and then stopped.
TEST(BalancerTest, EstablishedFlowsAvoidRemovedUpstreamThatStopped) {
  const auto InForce = Table::create(
      {0, 2},
      std::vector<RowText>{
          {"templates/u2", row("templates", Templates, 2, 10)}},
      std::vector<RowText>{{"photos/u0", row("photos", Photos, 0, 10)},
                           {"photos/u1", row("photos", Photos, 1, 10)}});
  ASSERT_TRUE(InForce.has_value()) << InForce.error().Detail;
  Driver Run(std::make_shared<const Table>(*InForce));
  Run.Silent = {0};
  for (std::uint32_t Caller = 0; Caller < Flows; ++Caller) {
    Run.coordinatorFor(Caller);
  }
  Run.advance(seconds(6));
  for (std::uint32_t Caller = 0; Caller < Flows; ++Caller) {
    EXPECT_EQ(Run.coordinatorFor(Caller), upstreamAt(1));
  }
}

// Guards against flows that break because the last upstream that the table
// still lists has stopped: a removed one may still run.
TEST(BalancerTest, EstablishedFlowsReachRemovedUpstreamIfListedOneStopped) {
  const auto InForce = Table::create(
      {0, 2},
      std::vector<RowText>{
          {"photos/u0", row("photos", Photos, 0, 10)},
          {"templates/u2", row("templates", Templates, 2, 10)}},
      std::vector<RowText>{{"photos/u1", row("photos", Photos, 1, 10)}});
  ASSERT_TRUE(InForce.has_value()) << InForce.error().Detail;
  Driver Run(std::make_shared<const Table>(*InForce));
  EXPECT_EQ(Run.coordinatorFor(1), upstreamAt(0));
  Run.Silent = {0};
  Run.advance(seconds(6));
  EXPECT_EQ(Run.coordinatorFor(1), upstreamAt(1));
}

// Guards against flows that break because their address moved to a service
// whose only upstream then fails.
TEST(BalancerTest, EstablishedFlowsAvoidFailedService) {
  Driver Run(
      sampleTable({row("photos", Photos, 0, 10), row("photos", Photos, 1, 10),
                   row("templates", Templates, 2, 10)}));
  auto Moved = parsePublishedTable(
      "service,address,class,share,upstream,endpoint,zone,weight,slots,"
      "connections\n" +
      row("photos", {Loopback | 3U, 443}, 0, 10) + '\n' +
      row("photos", {Loopback | 3U, 443}, 1, 10) + '\n' +
      row("templates", Photos, 2, 10) + "\nend,3\n");
  const std::vector<RowText> Removed = {
      {"photos/u0", row("photos", Photos, 0, 10)},
      {"photos/u1", row("photos", Photos, 1, 10)}};
  auto Made = Table::create({0, 2}, Moved->Rows, Removed);
  ASSERT_TRUE(Made) << Made.error().Detail;
  Run.Logic.onTable(std::make_shared<const Table>(std::move(*Made)), Run.Now,
                    Run.Out);
  EXPECT_EQ(Run.coordinatorFor(1), upstreamAt(2));
  Run.Silent = {2};
  Run.advance(seconds(10));
  ASSERT_TRUE(Run.Logic.failureDetector().isSuspected(upstreamAt(2)));
  const auto Coordinator = Run.coordinatorFor(1);
  EXPECT_TRUE(Coordinator == upstreamAt(0) || Coordinator == upstreamAt(1));
  // An opening is still sent to the service that has the address.
  const auto Opened = Run.forward(makePacket(1, Photos, Tins::TCP::SYN));
  ASSERT_TRUE(Opened);
  EXPECT_EQ(std::get<Forward>(Opened->Body).Coordinator, upstreamAt(2));
  // The explanation names both coordinators.
  const auto Explanation =
      explainFlow(*Run.Logic.table(), Run.Logic.failureDetector().agents(),
                  {{Loopback | 9U, 1}, Photos});
  EXPECT_EQ(Explanation.Coordinator, upstreamAt(2));
  ASSERT_TRUE(Explanation.EstablishedCoordinator);
  EXPECT_NE(*Explanation.EstablishedCoordinator, upstreamAt(2));
}

// Guards against replacing the table in force by an older one.
TEST(BalancerTest, OlderTableIsIgnored) {
  Driver Run(sampleTable(photoRows(EqualWeights), 5));
  Run.Out.clear();
  Run.Logic.onTable(sampleTable({row("photos", Photos, 0, 1)}, 4), Run.Now,
                    Run.Out);
  EXPECT_EQ(Run.error(), ErrorKind::OlderTable);
  EXPECT_EQ(Run.Logic.table()->version().Revision, 5U);
}

struct InvalidCase {
  const char *Name;
  std::vector<std::uint8_t> Packet;
  ErrorKind Kind;
};

std::vector<std::uint8_t> openingWithPayload() {
  Tins::TCP Tcp(Photos.Port, 5000);
  Tcp.flags(Tins::TCP::SYN);
  return (Tins::IP("127.0.0.1", "127.0.0.9") / Tcp / Tins::RawPDU("x"))
      .serialize();
}

class InvalidPacketTest : public testing::TestWithParam<InvalidCase> {};

// Guards against input that crashes the process or is forwarded anyway.
TEST_P(InvalidPacketTest, IsReportedAndDropped) {
  Driver Run(sampleTable(photoRows(EqualWeights)));
  EXPECT_FALSE(Run.forward(GetParam().Packet).has_value());
  EXPECT_EQ(Run.error(), GetParam().Kind);
}

INSTANTIATE_TEST_SUITE_P(
    Packets, InvalidPacketTest,
    testing::Values(InvalidCase{"Empty", {}, ErrorKind::MalformedPacket},
                    InvalidCase{"OpeningWithPayload", openingWithPayload(),
                                ErrorKind::MalformedPacket},
                    InvalidCase{"UnknownAddress",
                                makePacket(1, {Loopback | 9U, 443}),
                                ErrorKind::UnknownAddress},
                    InvalidCase{"UnknownPort",
                                makePacket(1, {Photos.Address, 80}),
                                ErrorKind::UnknownAddress}),
    [](const auto &Info) { return std::string(Info.param.Name); });

// Guards against datagrams that change the state of an agent although they are
// not replies from that agent.
TEST(BalancerTest, ReportsUnexpectedDatagrams) {
  Driver Run(sampleTable(photoRows(EqualWeights)));
  const auto Report = [&](Endpoint From, const Message &Body) {
    Run.Out.clear();
    Run.Logic.onDatagram(From, Body, Run.Now, Run.Out);
    return Run.error();
  };
  EXPECT_EQ(Report({1, 1}, ProbeReply{}), ErrorKind::UnknownAddress);
  EXPECT_EQ(Report(agentAt(1), Probe{}), ErrorKind::MalformedMessage);
  EXPECT_EQ(Report(agentAt(1), ProbeReply{1, upstreamAt(2), true, 0, {}}),
            ErrorKind::WrongService);
  EXPECT_FALSE(Run.Logic.isAgent({1, 1}));
  EXPECT_TRUE(Run.Logic.isAgent(agentAt(1)));
}

// Guards against a crash on packets that arrive before the first table, when
// they have no coordinator.
TEST(BalancerTest, DropsPacketsWithoutTable) {
  Driver Run(nullptr);
  EXPECT_FALSE(Run.forward(makePacket(1, Photos)).has_value());
  EXPECT_EQ(Run.error(), ErrorKind::UnknownAddress);
}

// Guards against balancers that choose different coordinators for a flow from
// the same table and agent states, and against explanations that differ from
// the choice.
RC_GTEST_PROP(BalancerProperty, SameInputsGiveSameChoice, ()) {
  const auto Weights =
      *rc::gen::container<std::vector<unsigned>>(7, rc::gen::inRange(1U, 50U));
  const auto Silent = *rc::gen::container<std::vector<unsigned>>(
      *rc::gen::inRange(0, 7), rc::gen::inRange(0U, 7U));
  auto Rows = photoRows(Weights);
  Driver One(sampleTable(Rows));
  std::reverse(Rows.begin(), Rows.end());
  Driver Other(sampleTable(Rows));
  for (Driver *Each : {&One, &Other}) {
    Each->Silent = Silent;
    Each->advance(seconds(5));
  }
  for (std::uint32_t Caller = 0; Caller < Flows; ++Caller) {
    const auto Coordinator = One.coordinatorFor(Caller);
    RC_ASSERT(Coordinator.has_value());
    RC_ASSERT(Coordinator == Other.coordinatorFor(Caller));
    const auto Explanation =
        explainFlow(*One.Logic.table(), One.Logic.failureDetector().agents(),
                    keyOf(Caller, Photos));
    RC_ASSERT(Explanation.Coordinator == Coordinator);
    const auto First = std::find_if(
        Explanation.Candidates.begin(), Explanation.Candidates.end(),
        [](const auto &Each) { return Each.Excluded == Exclusion::None; });
    RC_ASSERT(First != Explanation.Candidates.end());
    RC_ASSERT(First->Upstream == *Coordinator);
  }
}

// Guards against allocations on the path of packets of established flows.
TEST(BalancerTest, EstablishedPacketAllocatesNothing) {
  Driver Run(sampleTable(photoRows(EqualWeights)));
  const auto Packet = makePacket(1, Photos);
  ASSERT_TRUE(Run.forward(Packet).has_value());
  const AllocationProbe Allocations;
  for (int I = 0; I < 1000; ++I) {
    Run.Out.clear();
    Run.Logic.onPacket(Packet, Run.Now, Run.Out);
  }
  EXPECT_EQ(Allocations.count(), 0U);
}

} // namespace
} // namespace mulberryhoist
