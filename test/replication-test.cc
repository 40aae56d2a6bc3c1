#include "mulberryhoist/replication.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <rapidcheck/state.h>
#include <utility>

#include "mulberryhoist/membership.h"

namespace mulberryhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t InstanceCount = 6;
constexpr milliseconds Latency{50};
constexpr milliseconds IterationPeriod{100};
/// The longest time until a published change is in force in every process.
constexpr seconds InForceBound{9};

Result<void> checkTable(const DocumentContent &Content) {
  const auto NewTable =
      Table::create(Content.Version, Content.Rows, Content.Removed);
  if (!NewTable) {
    return tl::unexpected<Error>(NewTable.error());
  }
  return {};
}

Endpoint address(std::size_t Instance) {
  return {0x7F000001U, static_cast<std::uint16_t>(1000 + Instance)};
}

std::string csv(std::uint32_t Epoch, const std::map<int, int> &Weights) {
  std::string Text = "service,address,class,share,upstream,endpoint,zone,"
                     "weight,slots,connections\n";
  Text += fmt::format("epoch,{}\n", Epoch);
  for (const auto &[Number, Weight] : Weights) {
    Text += fmt::format("s,127.1.0.1:80,0,1,u{},127.2.0.1:{},z-1,{},4,20\n",
                        Number, Number + 1, Weight);
  }
  return Text + fmt::format("end,{}\n", Weights.size());
}

struct PublishedValue {
  std::uint64_t Revision = 0;
  std::string Csv;
  Result<PublishedTable> Parsed;
};

/// A message that was sent but not delivered yet.
struct MessageInTransit {
  std::size_t From = 0;
  std::size_t To = 0;
  ExchangeMessage Body;
  Instant Due;
};

/// Simulates a fleet, the network between its processes and the configuration
/// service.
class Simulation {
public:
  Simulation() {
    for (std::size_t I = 0; I < InstanceCount; ++I) {
      this->restart(I);
    }
    this->publish(1, 0);
  }

  void publish(int Weight, int Removed) {
    std::map<int, int> Weights;
    for (int I = 0; I < 4; ++I) {
      if (I != Removed % 8) {
        Weights[I] = 1 + (Weight + I * 7) % 1000;
      }
    }
    ++this->Revision;
    std::string Csv = csv(this->Epoch, Weights);
    auto Parsed = parsePublishedTable(Csv);
    this->add({this->Revision, std::move(Csv), std::move(Parsed)});
  }

  /// Restores the service to an earlier value, so that revisions are reused.
  void restore(std::size_t Index) {
    this->Serving = Index % this->Values.size();
    this->Revision = this->Values[this->Serving].Revision;
  }

  void raiseEpoch(int Weight) {
    ++this->Epoch;
    this->publish(Weight, 0);
  }

  /// Reads the value that is served, an earlier one, or a truncated one.
  void read(std::size_t Instance, std::size_t Kind) {
    const std::size_t Index =
        Kind % 4 == 1 ? Kind % this->Values.size() : this->Serving;
    const PublishedValue &Value = this->Values[Index];
    std::string Csv = Value.Csv;
    if (Kind % 4 == 2) {
      Csv.resize(Kind % Csv.size());
    }
    // A complete value was parsed when it was published.
    const auto Parsed =
        Csv == Value.Csv ? Value.Parsed : parsePublishedTable(Csv);
    Replica &Target = this->Replicas[Instance];
    if (!Parsed) {
      Target.reject(Parsed.error());
      return;
    }
    std::vector<OutgoingMessage> Out;
    (void)Target.offerRead({Parsed->Epoch, Value.Revision}, Parsed->Rows,
                           this->Now, Out);
    this->send(Instance, std::move(Out));
  }

  void restart(std::size_t Instance) {
    std::vector<Endpoint> Neighbours;
    for (const std::size_t Step : {1, 2}) {
      Neighbours.push_back(address((Instance + Step) % InstanceCount));
    }
    if (this->Replicas.size() <= Instance) {
      this->Replicas.emplace_back(DocumentKind::Table, checkTable, Instance);
    } else {
      this->Replicas[Instance] =
          Replica(DocumentKind::Table, checkTable, Instance + this->Revision);
    }
    this->Replicas[Instance].setNeighbours(Neighbours);
    this->LastContent[Instance] = {};
  }

  /// Delivers the chosen message, so that messages are reordered.
  void deliver(std::size_t Index, bool Duplicate) {
    if (this->Messages.empty()) {
      return;
    }
    Index %= this->Messages.size();
    const MessageInTransit Message = this->Messages[Index];
    if (!Duplicate) {
      this->drop(Index);
    }
    if (this->PartitionOf[Message.From] != this->PartitionOf[Message.To]) {
      return;
    }
    std::vector<OutgoingMessage> Out;
    this->Replicas[Message.To].receive(address(Message.From), Message.Body,
                                       this->Now, Out);
    this->send(Message.To, std::move(Out));
  }

  void drop(std::size_t Index) {
    if (!this->Messages.empty()) {
      this->Messages.erase(
          this->Messages.begin() +
          static_cast<std::ptrdiff_t>(Index % this->Messages.size()));
    }
  }

  void partition(std::size_t Mask) {
    for (std::size_t I = 0; I < InstanceCount; ++I) {
      this->PartitionOf[I] = (Mask >> I) & 1U;
    }
  }

  void tick(std::size_t Instance) {
    this->Now += IterationPeriod;
    std::vector<OutgoingMessage> Out;
    this->Replicas[Instance].tick(this->Now, Out);
    this->send(Instance, std::move(Out));
  }

  /// Removes the partition and runs the fleet for 9 s without loss; two
  /// instances read if the service is available.
  void runUndisturbed(bool ServiceAvailable) {
    this->partition(0);
    const Instant End = this->Now + InForceBound;
    for (int Round = 0; this->Now < End; ++Round) {
      this->Now += IterationPeriod;
      for (std::size_t I = 0; I < this->Messages.size();) {
        if (this->Messages[I].Due <= this->Now) {
          this->deliver(I, false);
        } else {
          ++I;
        }
      }
      for (std::size_t I = 0; I < InstanceCount; ++I) {
        if (static_cast<std::size_t>(Round) % 10 == I) {
          std::vector<OutgoingMessage> Out;
          this->Replicas[I].tick(this->Now, Out);
          this->send(I, std::move(Out));
          if (ServiceAvailable && I < 2) {
            this->read(I, 0);
          }
        }
      }
    }
  }

  std::pair<DocumentVersion, std::uint64_t> content(std::size_t I) const {
    return {this->Replicas[I].version(), this->Replicas[I].digest()};
  }

  /// Returns the greatest content of any instance and, if it is available, of
  /// the service.
  std::pair<DocumentVersion, std::uint64_t>
  newest(bool ServiceAvailable) const {
    std::pair<DocumentVersion, std::uint64_t> Greatest;
    for (std::size_t I = 0; I < InstanceCount; ++I) {
      Greatest = std::max(Greatest, this->content(I));
    }
    if (ServiceAvailable) {
      const PublishedValue &Value = this->Values[this->Serving];
      const DocumentVersion Version = {Value.Parsed->Epoch, Value.Revision};
      Greatest =
          std::max(Greatest,
                   std::pair(Version, digestRows(Version, Value.Parsed->Rows)));
    }
    return Greatest;
  }

  /// Checks that no instance reverts to a lesser content and that each has
  /// exactly a published content.
  void checkInvariants() {
    for (std::size_t I = 0; I < InstanceCount; ++I) {
      const auto Content = this->content(I);
      RC_ASSERT(Content >= this->LastContent[I]);
      if (Content == this->LastContent[I]) {
        continue;
      }
      this->LastContent[I] = Content;
      const auto Match = this->Published.find(Content);
      RC_ASSERT(Match != this->Published.end());
      RC_ASSERT(Match->second == this->Replicas[I].content().Rows);
    }
  }

private:
  void add(PublishedValue Value) {
    const auto &Parsed = Value.Parsed;
    ASSERT_TRUE(Parsed) << Parsed.error().Detail;
    const DocumentVersion Version = {Parsed->Epoch, Value.Revision};
    this->Published[{Version, digestRows(Version, Parsed->Rows)}] =
        Parsed->Rows;
    this->Values.push_back(std::move(Value));
    this->Serving = this->Values.size() - 1;
  }

  void send(std::size_t From, std::vector<OutgoingMessage> Out) {
    for (OutgoingMessage &Each : Out) {
      this->Messages.push_back({From, Each.To.Port - std::size_t{1000},
                                std::move(Each.Body), this->Now + Latency});
    }
  }

  Instant Now{std::chrono::hours(100)};
  std::vector<Replica> Replicas;
  std::vector<MessageInTransit> Messages;
  std::array<std::size_t, InstanceCount> PartitionOf{};
  std::array<std::pair<DocumentVersion, std::uint64_t>, InstanceCount>
      LastContent;
  std::uint32_t Epoch = 0;
  std::uint64_t Revision = 0;
  std::size_t Serving = 0;
  std::vector<PublishedValue> Values;
  /// Every published content, against which the instances are checked.
  std::map<std::pair<DocumentVersion, std::uint64_t>, std::vector<RowText>>
      Published;
};

/// Counts steps only; the expected state is kept by the simulation.
struct Model {
  int Steps = 0;
};

enum class StepKind : std::uint8_t {
  Publish,
  Restore,
  RaiseEpoch,
  Read,
  Restart,
  Deliver,
  Duplicate,
  Drop,
  Partition,
  Tick,
};

struct Step : rc::state::Command<Model, Simulation> {
  StepKind Kind = StepKind::Tick;
  std::size_t Number = 0;
  std::size_t Instance = 0;

  Step() {
    this->Kind = *rc::gen::weightedElement<StepKind>({{6, StepKind::Publish},
                                                      {1, StepKind::Restore},
                                                      {1, StepKind::RaiseEpoch},
                                                      {12, StepKind::Read},
                                                      {1, StepKind::Restart},
                                                      {40, StepKind::Deliver},
                                                      {8, StepKind::Duplicate},
                                                      {4, StepKind::Drop},
                                                      {2, StepKind::Partition},
                                                      {15, StepKind::Tick}});
    this->Number = *rc::gen::inRange<std::size_t>(0, 1000);
    this->Instance = *rc::gen::inRange<std::size_t>(0, InstanceCount);
  }

  void apply(Model &State) const override { ++State.Steps; }

  void run(const Model & /*State*/, Simulation &System) const override {
    const int Weight = static_cast<int>(this->Number);
    switch (this->Kind) {
    case StepKind::Publish:
      System.publish(Weight, Weight);
      break;
    case StepKind::Restore:
      System.restore(this->Number);
      break;
    case StepKind::RaiseEpoch:
      System.raiseEpoch(Weight);
      break;
    case StepKind::Read:
      System.read(this->Instance, this->Number);
      break;
    case StepKind::Restart:
      System.restart(this->Instance);
      break;
    case StepKind::Deliver:
    case StepKind::Duplicate:
      System.deliver(this->Number, this->Kind == StepKind::Duplicate);
      break;
    case StepKind::Drop:
      System.drop(this->Number);
      break;
    case StepKind::Partition:
      System.partition(this->Number);
      break;
    case StepKind::Tick:
      System.tick(this->Instance);
      break;
    }
    System.checkInvariants();
  }

  void show(std::ostream &Out) const override {
    Out << "step " << static_cast<int>(this->Kind) << ' ' << this->Number << ' '
        << this->Instance;
  }
};

// Guards against processes that revert to a lesser content, use a table that
// was never published, or do not converge within 9 s after faults.
RC_GTEST_PROP(ReplicationTest, NeverRevertsAndConverges, ()) {
  // Ten fleets per case, since some faults need rare orders of messages.
  for (int Fleet = 0; Fleet < 10; ++Fleet) {
    const bool ServiceAvailable = *rc::gen::arbitrary<bool>();
    const auto Steps = *rc::gen::scale(
        3.0, rc::state::gen::commands(
                 Model{}, rc::state::gen::execOneOfWithArgs<Step>()));
    Simulation System;
    rc::state::runAll(Steps, Model{}, System);
    const auto Newest = System.newest(ServiceAvailable);
    System.runUndisturbed(ServiceAvailable);
    System.checkInvariants();
    // A message in transit may deliver a content that its sender lost in a
    // restart, so the final content can be greater than that of any instance.
    RC_ASSERT(System.content(0) >= Newest);
    for (std::size_t I = 1; I < InstanceCount; ++I) {
      RC_ASSERT(System.content(I) == System.content(0));
    }
  }
}

/// Two replicas whose messages are delivered at once.
struct Pair {
  Replica First{DocumentKind::Table, checkTable, 1};
  Replica Second{DocumentKind::Table, checkTable, 2};
  Instant Now{std::chrono::hours(100)};
  std::vector<ExchangeMessage> Delivered;

  Pair() {
    this->First.setNeighbours({address(2)});
    this->Second.setNeighbours({address(1)});
  }

  void read(std::uint64_t Revision, const std::map<int, int> &Weights) {
    std::vector<OutgoingMessage> Out;
    const auto Rows = parsePublishedTable(csv(1, Weights))->Rows;
    ASSERT_TRUE(this->First.offerRead({1, Revision}, Rows, this->Now, Out));
    this->deliverAll(std::move(Out));
  }

  void tick() {
    std::vector<OutgoingMessage> Out;
    this->Second.tick(this->Now, Out);
    this->deliverAll(std::move(Out));
  }

  void deliverAll(std::vector<OutgoingMessage> Out) {
    while (!Out.empty()) {
      std::vector<OutgoingMessage> Next;
      for (const OutgoingMessage &Each : Out) {
        this->Delivered.push_back(Each.Body);
        const bool ToFirst = Each.To == address(1);
        (ToFirst ? this->First : this->Second)
            .receive(address(ToFirst ? 2 : 1), Each.Body, this->Now, Next);
      }
      Out = std::move(Next);
    }
  }
};

// Guards against sending whole tables where row changes suffice.
TEST(ReplicationTest, RemovalAndChangeAreSentAsRowChanges) {
  Pair Both;
  Both.read(1, {{0, 5}, {1, 6}, {2, 7}});
  EXPECT_EQ(Both.Second.version(), (DocumentVersion{1, 1}));
  Both.Delivered.clear();
  Both.read(2, {{0, 9}, {2, 7}});
  EXPECT_EQ(Both.Second.digest(), Both.First.digest());
  ASSERT_EQ(Both.Delivered.size(), 1U);
  const auto *Changes = std::get_if<ChangesMessage>(&Both.Delivered[0]);
  ASSERT_NE(Changes, nullptr);
  EXPECT_FALSE(Changes->Whole);
  EXPECT_EQ(Changes->Rows.size(), 2U);
}

// Guards against a tombstone that expires early, or that is kept longer because
// it is forwarded from process to process.
TEST(ReplicationTest, TombstonesExpireADayAfterTheRemoval) {
  Pair Both;
  Both.Second = Replica(DocumentKind::Table, checkTable, 3);
  Both.First.setNeighbours({});
  Both.read(1, {{0, 5}, {1, 6}});
  Both.read(2, {{0, 5}});
  Both.Now += std::chrono::hours(23);
  Both.Second.setNeighbours({address(1)});
  Both.tick();
  ASSERT_EQ(Both.Second.content().Removed.size(), 1U);
  EXPECT_EQ(Both.Second.content().Removed[0].Key, "s/u1");
  Both.Now += std::chrono::hours(1);
  Both.read(3, {{0, 6}});
  Both.tick();
  EXPECT_TRUE(Both.First.content().Removed.empty());
  EXPECT_TRUE(Both.Second.content().Removed.empty());
}

// Guards against losing flows of a service whose address changed.
TEST(ReplicationTest, RowWithANewAddressLeavesATombstone) {
  Pair Both;
  Both.read(1, {{0, 5}});
  std::vector<OutgoingMessage> Out;
  auto Moved = parsePublishedTable(csv(1, {{0, 5}}))->Rows;
  Moved[0].Value.replace(Moved[0].Value.find("127.1.0.1"), 9, "127.1.0.9");
  ASSERT_TRUE(Both.First.offerRead({1, 2}, Moved, Both.Now, Out));
  EXPECT_EQ(Both.First.content().Removed.size(), 1U);
}

// Guards against a process that starts without the configuration service and
// stays without a table, against processes that revert to the older table of a
// restored service, and against a greater epoch that does not take precedence.
TEST(ReplicationTest, StartsRestoresAndEpochs) {
  Pair Both;
  Both.read(100, {{0, 5}});
  Both.Second = Replica(DocumentKind::Table, checkTable, 4);
  Both.Second.setNeighbours({address(1)});
  Both.tick();
  EXPECT_EQ(Both.Second.version(), (DocumentVersion{1, 100}));
  const auto Older = parsePublishedTable(csv(1, {{0, 6}}))->Rows;
  std::vector<OutgoingMessage> Out;
  const auto Offered = Both.Second.offerRead({1, 50}, Older, Both.Now, Out);
  ASSERT_FALSE(Offered);
  EXPECT_EQ(Offered.error().Kind, ErrorKind::OlderTable);
  EXPECT_EQ(Both.Second.counters().OlderIgnored, 1U);
  EXPECT_FALSE(Both.Second.counters().LastProblem.empty());
  EXPECT_TRUE(Both.Second.offerRead({2, 51}, Older, Both.Now, Out));
  Both.deliverAll(std::move(Out));
  EXPECT_EQ(Both.First.version(), (DocumentVersion{2, 51}));
}

// Guards against processes that all call the configuration service although a
// neighbour has just confirmed the content in force.
TEST(ReplicationTest, AgeOfTheConfirmedReadPropagates) {
  Pair Both;
  Both.read(1, {{0, 5}});
  Both.Now += seconds(2);
  Both.tick();
  EXPECT_EQ(Both.Second.sinceConfirmed(Both.Now), milliseconds(2000));
  Both.First.confirm(Both.Now);
  Both.Now += milliseconds(500);
  Both.tick();
  EXPECT_EQ(Both.Second.sinceConfirmed(Both.Now), milliseconds(500));
}

// Guards against pulling a whole table every second because this process
// rejects a content that its neighbours have accepted.
TEST(ReplicationTest, RejectedContentIsNotPulledAgainAtOnce) {
  Pair Both;
  Both.Second = Replica(
      DocumentKind::Table,
      [](const DocumentContent &) -> Result<void> {
        return makeError(ErrorKind::InvalidTable, "not understood");
      },
      5);
  Both.Second.setNeighbours({address(1)});
  Both.read(1, {{0, 5}});
  EXPECT_EQ(Both.Second.counters().InvalidRejected, 1U);
  for (int I = 0; I < 20; ++I) {
    Both.Now += seconds(1);
    Both.tick();
  }
  EXPECT_EQ(Both.Second.counters().InvalidRejected, 1U);
  Both.Now += seconds(20);
  Both.tick();
  EXPECT_EQ(Both.Second.counters().InvalidRejected, 2U);
}

/// Simulates a fleet in iterations of 100 ms, with neighbours from its VM list.
class Fleet {
public:
  /// Creates `Zones` availability zones with `PerZone` processes each; three
  /// zones form a region.
  Fleet(std::size_t Zones, std::size_t PerZone) {
    for (std::size_t I = 0; I < Zones * PerZone; ++I) {
      const std::size_t Zone = I % Zones;
      this->List.Vms.push_back({fmt::format("p{:05}", I),
                                VmRole::Balancer,
                                fmt::format("r{}-{}", Zone / 3, Zone),
                                VmState::Live,
                                {0x7F000001U, static_cast<std::uint16_t>(I)},
                                {}});
    }
    for (const Vm &Each : this->List.Vms) {
      this->Replicas.emplace_back(
          DocumentKind::Table,
          [](const DocumentContent &) { return Result<void>{}; },
          Each.Control.Port);
      this->Replicas.back().setNeighbours(
          chooseNeighbours(this->List, Each.Name, Each.AvailabilityZone));
    }
  }

  std::size_t size() const { return this->Replicas.size(); }

  void read(std::size_t Process, std::uint64_t Revision) {
    std::vector<OutgoingMessage> Out;
    const std::vector<RowText> Rows = {{"row", std::to_string(Revision)}};
    ASSERT_TRUE(
        this->Replicas[Process].offerRead({1, Revision}, Rows, this->Now, Out));
    this->send(Process, std::move(Out));
  }

  /// Delivers the messages that were sent in the previous iteration.
  void runIteration() {
    this->Now += IterationPeriod;
    ++this->Iterations;
    for (MessageInTransit &Each : std::exchange(this->Messages, {})) {
      std::vector<OutgoingMessage> Out;
      this->Replicas[Each.To].receive(this->List.Vms[Each.From].Control,
                                      Each.Body, this->Now, Out);
      this->send(Each.To, std::move(Out));
    }
    for (std::size_t I = this->Iterations % 10; I < this->size(); I += 10) {
      std::vector<OutgoingMessage> Out;
      this->Replicas[I].tick(this->Now, Out);
      this->send(I, std::move(Out));
    }
  }

  /// Runs until all processes have the revision or 60 s have passed; returns
  /// the simulated time that it took.
  Duration runUntilAllHave(std::uint64_t Revision) {
    const Instant Start = this->Now;
    while (this->Now - Start < seconds(60) &&
           std::any_of(this->Replicas.begin(), this->Replicas.end(),
                       [Revision](const Replica &Each) {
                         return Each.version().Revision != Revision;
                       })) {
      this->runIteration();
    }
    return this->Now - Start;
  }

private:
  void send(std::size_t From, std::vector<OutgoingMessage> Out) {
    for (OutgoingMessage &Each : Out) {
      this->Messages.push_back(
          {From, Each.To.Port, std::move(Each.Body), this->Now});
    }
  }

  VmList List;
  std::vector<Replica> Replicas;
  std::vector<MessageInTransit> Messages;
  Instant Now{std::chrono::hours(1)};
  std::size_t Iterations = 0;
};

// Guards against a protocol that only works in small fleets: at the target size
// a change that one process reads must reach all 7,800 within 9 s, whether they
// have the previous version or have just started.
TEST(ReplicationTest, ChangeReadByOneProcessReachesAFleetOfTheTargetSize) {
  Fleet All(20, 390);
  All.read(0, 1);
  const Duration First = All.runUntilAllHave(1);
  All.read(7000, 2);
  const Duration Second = All.runUntilAllHave(2);
  const auto InMs = [](Duration Time) {
    return std::chrono::duration_cast<milliseconds>(Time).count();
  };
  fmt::print("first content {} ms, row change {} ms\n", InMs(First),
             InMs(Second));
  EXPECT_LE(First, InForceBound);
  EXPECT_LE(Second, InForceBound);
}

/// Runs a schedule for a simulated minute and returns the times of its calls.
std::vector<Duration> callsInAMinute(std::uint64_t Seed, bool Reader,
                                     ReadOutcome Outcome) {
  ReadSchedule Schedule(Seed, ReadSchedule::TablePeriod);
  const Instant Start{std::chrono::hours(1)};
  std::vector<Duration> Calls;
  for (Instant Now = Start; Now < Start + seconds(60);
       Now += milliseconds(50)) {
    if (const auto Request = Schedule.next({Reader, 7, NeverConfirmed}, Now)) {
      Calls.push_back(Now - Start);
      Now += Outcome == ReadOutcome::Unchanged ? Request->Wait : seconds(0);
      Schedule.finished({Outcome, 7, 400000}, Now);
    }
  }
  return Calls;
}

// Guards against exceeding the call limit when all processes lose their
// neighbours, and against a process with access to the service only that misses
// the bound of 9 s.
RC_GTEST_PROP(ReadScheduleTest, FallbackReadsStayWithinCallLimitAndBound, ()) {
  const auto Seed = *rc::gen::arbitrary<std::uint64_t>();
  const auto Outcome = *rc::gen::element(
      ReadOutcome::Unchanged, ReadOutcome::Failed, ReadOutcome::RateExceeded,
      ReadOutcome::Rejected, ReadOutcome::Older);
  const auto Calls = callsInAMinute(Seed, false, Outcome);
  RC_ASSERT(!Calls.empty());
  RC_ASSERT(Calls.front() <= seconds(1) + milliseconds(50));
  for (std::size_t I = 1; I < Calls.size(); ++I) {
    RC_ASSERT(Calls[I] - Calls[I - 1] >= seconds(5));
    RC_ASSERT(Calls[I] - Calls[I - 1] <= seconds(6) + milliseconds(50));
  }
  const auto ReaderCalls = callsInAMinute(Seed, true, Outcome);
  RC_ASSERT(ReaderCalls.size() >= 6U);
  RC_ASSERT(ReaderCalls.size() <= 300U);
}

// Guards against a reader that waits for a revision that a restored service
// will not reach.
TEST(ReadScheduleTest, DetectsARestoredService) {
  ReadSchedule Schedule(1, ReadSchedule::TablePeriod);
  Instant Now{std::chrono::hours(1)};
  const ReadSituation Reader = {true, 100, milliseconds(0)};
  EXPECT_EQ(Schedule.next(Reader, Now)->After, 0U);
  EXPECT_TRUE(Schedule.finished({ReadOutcome::InForce, 100, 400000}, Now));
  Now += seconds(1);
  EXPECT_EQ(Schedule.next(Reader, Now)->After, 100U);
  EXPECT_FALSE(Schedule.finished({ReadOutcome::Unchanged, 50, 0}, Now));
  Now += seconds(1);
  EXPECT_EQ(Schedule.next(Reader, Now)->After, 0U);
  EXPECT_FALSE(Schedule.finished({ReadOutcome::Older, 50, 400000}, Now));
  Now += seconds(1);
  EXPECT_EQ(Schedule.next(Reader, Now)->After, 50U);
  EXPECT_FALSE(Schedule.finished({ReadOutcome::Unchanged, {}, 0}, Now));
}

// Guards against reading a rejected value repeatedly, and against a back-off
// that also delays its successor.
TEST(ReadScheduleTest, ReadsARejectedValueAgainAfterABackOff) {
  ReadSchedule Schedule(1, ReadSchedule::TablePeriod);
  Instant Now{std::chrono::hours(1)};
  const ReadSituation Reader = {true, 5, milliseconds(0)};
  ASSERT_TRUE(Schedule.next(Reader, Now));
  Schedule.finished({ReadOutcome::Rejected, 6, 400000}, Now);
  Now += milliseconds(500);
  EXPECT_EQ(Schedule.next(Reader, Now)->After, 6U);
  Schedule.finished({ReadOutcome::Unchanged, {}, 0}, Now);
  Now += milliseconds(600);
  EXPECT_EQ(Schedule.next(Reader, Now)->After, 5U);
}

} // namespace
} // namespace mulberryhoist
