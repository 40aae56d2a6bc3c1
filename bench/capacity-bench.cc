/// \file
/// Measures what each row, flow, record and event costs, and works out from the
/// slopes what the roles need at the target size of section 1.5 of the design.
///
/// Prints one JSON line for each measure and then Markdown tables, from which
/// docs/CAPACITY.md takes its figures.

#include <algorithm>
#include <array>
#include <ctime>
#include <exception>
#include <fmt/format.h>
#include <functional>
#include <malloc.h>
#include <nlohmann/json.hpp>

#include "fixtures.h"
#include "mulberryhoist/exchange.h"
#include "mulberryhoist/membership.h"
#include "mulberryhoist/refusal.h"
#include "policy.h"
#include "relay.h"

namespace mulberryhoist::bench {
namespace {

constexpr std::size_t SizeCount = 3;
using Sizes = std::array<std::size_t, SizeCount>;
constexpr Sizes RowSizes = {100, 1000, 6600};
constexpr Sizes FlowSizes = {1000, 10'000, 100'000};
constexpr Sizes VmSizes = {100, 1000, 7800};
constexpr std::size_t RowsPerService = 4;
constexpr std::uint64_t UdpHeaderBytes = 28;
constexpr std::uint64_t TcpHeaderBytes = 40;

/// Live bytes of the allocator, with its own overhead.
double allocatedBytes() {
  const struct mallinfo2 Info = mallinfo2();
  return static_cast<double>(Info.uordblks + Info.hblkhd);
}

double cpuSeconds() {
  timespec Now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Now);
  constexpr double Nano = 1e-9;
  return static_cast<double>(Now.tv_sec) +
         static_cast<double>(Now.tv_nsec) * Nano;
}

/// A straight line through the measured points, by least squares.
struct Fit {
  double Base = 0;
  double Slope = 0;
};

Fit fitLine(const Sizes &X, const std::array<double, SizeCount> &Y) {
  double SumX = 0;
  double SumY = 0;
  double SumXX = 0;
  double SumXY = 0;
  for (std::size_t I = 0; I < SizeCount; ++I) {
    const auto Value = static_cast<double>(X[I]);
    SumX += Value;
    SumY += Y[I];
    SumXX += Value * Value;
    SumXY += Value * Y[I];
  }
  const double Slope =
      (SizeCount * SumXY - SumX * SumY) / (SizeCount * SumXX - SumX * SumX);
  return {(SumY - Slope * SumX) / SizeCount, Slope};
}

Fit report(const char *Name, const char *Unit, const Sizes &X,
           const std::array<double, SizeCount> &Y) {
  const Fit Line = fitLine(X, Y);
  const nlohmann::json Json = {{"measure", Name},   {"unit", Unit},
                               {"sizes", X},        {"values", Y},
                               {"base", Line.Base}, {"slope", Line.Slope}};
  fmt::print("{}\n", Json.dump());
  return Line;
}

/// Measures the memory that `Make` keeps at each size.
template <typename Function>
Fit measureMemory(const char *Name, const Sizes &X, const Function &Make) {
  std::array<double, SizeCount> Y{};
  for (std::size_t I = 0; I < SizeCount; ++I) {
    Y[I] = Make(X[I]);
  }
  return report(Name, "B", X, Y);
}

/// Measures processor time: the least of several runs, since other programs
/// disturb the measurement only upwards. `Make` returns what is to be timed.
template <typename Function>
Fit measureTime(const char *Name, const Sizes &X, const Function &Make) {
  constexpr int Repeats = 5;
  std::array<double, SizeCount> Y{};
  for (std::size_t I = 0; I < SizeCount; ++I) {
    for (int Run = 0; Run < Repeats; ++Run) {
      const std::function<void()> Timed = Make(X[I]);
      const double Start = cpuSeconds();
      Timed();
      const double Taken = cpuSeconds() - Start;
      Y[I] = Run == 0 ? Taken : std::min(Y[I], Taken);
    }
  }
  return report(Name, "s", X, Y);
}

template <typename Type, typename Function>
double memoryOf(const Function &Make) {
  malloc_trim(0);
  const double Before = allocatedBytes();
  const Type Kept = Make();
  return allocatedBytes() - Before;
}

Replica makeReplica() {
  return {DocumentKind::Table,
          [](const DocumentContent &) { return Result<void>(); }, 1};
}

std::string makeVmText(std::size_t Count) {
  constexpr std::size_t Zones = 20;
  std::string Text;
  for (std::size_t I = 0; I < Count; ++I) {
    Text += fmt::format(
        "vm-{:05},{},region{}-{},live,{},{}\n", I,
        I % 13 < 2 ? "balancer" : "agent", I % Zones % 6,
        static_cast<char>('a' + I % Zones),
        formatEndpoint({0x7F010000 + static_cast<std::uint32_t>(I), 9000}),
        formatEndpoint({0x7F010000 + static_cast<std::uint32_t>(I), 9001}));
  }
  return Text;
}

/// The slopes from which the roles are worked out.
struct Slopes {
  Fit TableMemory;
  Fit ReplicaMemory;
  Fit HealthMemory;
  Fit VmMemory;
  Fit FlowMemory;
  Fit RedirectMemory;
  Fit RefusalMemory;
  Fit OpeningTime;
  Fit AgentPacketTime;
  Fit BalancerPacketTime;
  Fit ProbeTime;
  Fit ChangeTime;
  Fit DigestTime;
  Fit VmTime;
  Fit CodecTime;
};

void measureMemories(Slopes &To) {
  To.TableMemory = measureMemory("table", RowSizes, [](std::size_t Rows) {
    return memoryOf<std::shared_ptr<const Table>>(
        [Rows] { return makeTable(Rows, RowsPerService); });
  });
  To.ReplicaMemory = measureMemory("replica", RowSizes, [](std::size_t Count) {
    const auto Rows = makeRows(Count, RowsPerService, 100);
    return memoryOf<Replica>([&Rows] {
      Replica Made = makeReplica();
      std::vector<OutgoingMessage> Out;
      (void)Made.offerRead({0, 1}, Rows, Instant(), Out);
      return Made;
    });
  });
  To.HealthMemory =
      measureMemory("agents' health", RowSizes, [](std::size_t Rows) {
        const auto InForce = makeTable(Rows, RowsPerService);
        return memoryOf<BalancerLogic>([&InForce] {
          BalancerLogic Made;
          ActionList Out;
          Made.onTable(InForce, Instant(), Out);
          return Made;
        });
      });
  To.VmMemory = measureMemory("VM list", VmSizes, [](std::size_t Count) {
    const std::string Text = makeVmText(Count);
    return memoryOf<VmList>([&Text] {
      return parseVmList(Text, {0, 1}).value();
    });
  });
  To.FlowMemory = measureMemory("flow", FlowSizes, [](std::size_t Flows) {
    return memoryOf<AgentFixture>([Flows] {
      AgentFixture Made(Flows);
      Made.openFlows(Flows);
      return Made;
    });
  });
  To.RedirectMemory =
      measureMemory("redirect", FlowSizes, [](std::size_t Flows) {
        const auto Packets = AgentFixture(1).establishedPackets(Flows);
        return memoryOf<AgentFixture>([Flows, &Packets] {
          AgentFixture Made(Flows);
          for (const Packet &Each : Packets) {
            Made.locate(Each);
          }
          return Made;
        });
      });
  To.RefusalMemory =
      measureMemory("refusal record", FlowSizes, [](std::size_t Count) {
        return memoryOf<RefusalRecords>([Count] {
          RefusalRecords Made(Count);
          for (std::size_t I = 0; I < Count; ++I) {
            const auto Initial = static_cast<Incarnation>(I);
            Made.add({{{Initial, 1}, {1, 80}}, Initial}, RefusalKind::Refused,
                     Instant());
          }
          return Made;
        });
      });
}

std::function<void()> makeProbeRound(std::size_t Count) {
  struct Round {
    std::shared_ptr<const Table> InForce;
    FailureDetector Logic;
    std::vector<DueProbe> Due;
  };
  auto Kept = std::make_shared<Round>();
  Kept->InForce = makeTable(Count, RowsPerService);
  std::vector<ProbeTarget> Targets;
  for (const Upstream &Each : Kept->InForce->upstreams()) {
    Targets.push_back({Each.Id, Each.Agent});
  }
  Kept->Logic.setAgents(Targets, Instant() + std::chrono::hours(1));
  // One second of ticks; the budget lets 12 probes a second through.
  return [Kept] {
    constexpr int TicksPerSecond = 10;
    Instant Now = Instant() + std::chrono::hours(1);
    for (int I = 0; I < TicksPerSecond; ++I) {
      Now += std::chrono::seconds(1) / TicksPerSecond;
      Kept->Due.clear();
      Kept->Logic.onTick(Now, Kept->Due);
      for (const DueProbe &Each : Kept->Due) {
        const Upstream *From = Kept->InForce->findUpstream(Each.To);
        Kept->Logic.onReply(From->Id, Each.Sequence, false, 1);
      }
    }
  };
}

void measurePacketTimes(Slopes &To) {
  To.OpeningTime = measureTime("openings", FlowSizes, [](std::size_t Count) {
    auto Agent = std::make_shared<AgentFixture>(Count);
    Agent->occupySlot();
    auto Packets =
        std::make_shared<std::vector<Packet>>(Agent->openingPackets(Count));
    return [Agent, Packets] {
      for (const Packet &Each : *Packets) {
        Agent->openAndServe(Each);
      }
    };
  });
  To.AgentPacketTime =
      measureTime("agent packets", FlowSizes, [](std::size_t Count) {
        auto Agent = std::make_shared<AgentFixture>(Count);
        Agent->openFlows(Count);
        auto Packets = std::make_shared<std::vector<Packet>>(
            Agent->establishedPackets(Count));
        return [Agent, Packets] {
          for (const Packet &Each : *Packets) {
            Agent->fromCaller(Each);
          }
        };
      });
  To.BalancerPacketTime =
      measureTime("balancer packets", FlowSizes, [](std::size_t Count) {
        const auto InForce = makeTable(RowSizes.back(), RowsPerService);
        auto Logic = std::make_shared<BalancerLogic>();
        auto Out = std::make_shared<ActionList>();
        Logic->onTable(InForce, Instant(), *Out);
        auto Packets = std::make_shared<std::vector<Packet>>(
            makePackets(Count, InForce->services()));
        return [Logic, Out, Packets] {
          for (const Packet &Each : *Packets) {
            Out->clear();
            Logic->onPacket(Each, Instant(), *Out);
          }
        };
      });
}

void measureControlTimes(Slopes &To) {
  To.ProbeTime = measureTime("one second of probes", RowSizes, makeProbeRound);
  To.ChangeTime =
      measureTime("row change at its receiver", RowSizes, [](std::size_t Rows) {
        auto Pair = std::make_shared<TwoReplicas>(Rows);
        auto Logic = std::make_shared<BalancerLogic>();
        const ChangesMessage Change = Pair->makeChange();
        return [Pair, Logic, Change] {
          ActionList Out;
          Pair->apply(Change);
          Logic->onTable(Pair->receiverTable(), Instant(), Out);
        };
      });
  To.DigestTime = measureTime("digest", RowSizes, [](std::size_t Count) {
    auto Rows = std::make_shared<std::vector<RowText>>(
        makeRows(Count, RowsPerService, 100));
    return [Rows] { (void)digestRows({0, 1}, *Rows); };
  });
  To.VmTime = measureTime("VM list", VmSizes, [](std::size_t Count) {
    auto Text = std::make_shared<std::string>(makeVmText(Count));
    return [Text] {
      const VmList List = parseVmList(*Text, {0, 1}).value();
      const Vm &Own = List.Vms.front();
      (void)isReader(List, Own.Name);
      (void)chooseNeighbours(List, Own.Name, Own.AvailabilityZone);
    };
  });
}

void measureCodecTime(Slopes &To) {
  To.CodecTime = measureTime(
      "messages encoded and decoded", FlowSizes, [](std::size_t Count) {
        return [Count] {
          Codec Wire;
          for (std::size_t I = 0; I < Count; ++I) {
            const auto Bytes = Wire.encode(LoadQuery{I, {7}});
            (void)Wire.decode(Bytes.value());
          }
        };
      });
}

/// Bytes on the wire, with IP and UDP or TCP headers.
struct WireBytes {
  double Forward = 0;
  double ProbePair = 0;
  double QueryPair = 0;
  double Notice = 0;
  double LocatePair = 0;
  double Digest = 0;
  double RowChange = 0;
  double Snapshot = 0;
  double Csv = 0;
  double VmText = 0;
};

double sizeOf(Codec &Wire, const Message &Body, PacketBytes With = {}) {
  return static_cast<double>(Wire.encode(Body, With).value().size() +
                             UdpHeaderBytes);
}

WireBytes measureWire() {
  constexpr std::uint64_t LargeNumber = 0x123456789ABCDEF0;
  constexpr UpstreamId Id{0xFFFFFFF0};
  constexpr ServiceId Service{0xFFFFFFF1};
  const FlowKey Key{{0x7F010203, 40'000}, {0x7F010204, 80}};
  const DocumentVersion Version{1, 5'600'000};
  Codec Wire;
  WireBytes Bytes;
  const Packet Opening = AgentFixture(1).openingPackets(1).front();
  Bytes.Forward =
      sizeOf(Wire, Forward{true, Service, Id, Version, true, false}, Opening);
  Bytes.ProbePair =
      sizeOf(Wire, Probe{1'000'000}) +
      sizeOf(Wire, ProbeReply{1'000'000, Id, false, 4000, Version});
  Bytes.QueryPair = sizeOf(Wire, LoadQuery{LargeNumber, Service}) +
                    sizeOf(Wire, LoadReply{LargeNumber, Id, 30, true, false});
  Bytes.Notice = sizeOf(Wire, OwnerNotice{{Key, 0xFFFFFFF0}, Id});
  Bytes.LocatePair =
      sizeOf(Wire, Locate{Key, 0xFFFFFFF0, 0xFFFFFFF1}) +
      sizeOf(Wire, LocateReply{{Key, 0}, Id, OwnerAnswer::No, 0xFFFFFFF1});
  const auto Exchanged = [](const ExchangeMessage &Body) {
    return static_cast<double>(encodeExchange(Body).size() + TcpHeaderBytes);
  };
  Bytes.Digest =
      Exchanged(DigestMessage{DocumentKind::Table, Version, LargeNumber,
                              std::chrono::milliseconds(1500)});
  TwoReplicas Pair(RowSizes.back());
  ChangesMessage Change = Pair.makeChange();
  Bytes.RowChange = Exchanged(Change);
  Change.Whole = true;
  Change.Rows.clear();
  for (const RowText &Row : makeRows(RowSizes.back(), RowsPerService, 100)) {
    Change.Rows.push_back({Row.Key, Row.Value, Version});
  }
  Bytes.Snapshot = Exchanged(Change);
  Bytes.Csv =
      static_cast<double>(makeCsv(RowSizes.back(), RowsPerService, 100).size());
  Bytes.VmText = static_cast<double>(makeVmText(VmSizes.back()).size());
  const nlohmann::json Json = {
      {"measure", "bytes on the wire"}, {"forward", Bytes.Forward},
      {"probe_pair", Bytes.ProbePair},  {"query_pair", Bytes.QueryPair},
      {"owner_notice", Bytes.Notice},   {"locate_pair", Bytes.LocatePair},
      {"digest", Bytes.Digest},         {"row_change", Bytes.RowChange},
      {"snapshot", Bytes.Snapshot},     {"csv", Bytes.Csv},
      {"vm_list", Bytes.VmText}};
  fmt::print("{}\n", Json.dump());
  return Bytes;
}

/// The target size, section 1.5 of the design.
constexpr double Balancers = 1200;
constexpr double Agents = 6600;
constexpr double Processes = Balancers + Agents;
constexpr double Rows = 6600;
constexpr double FlowsInAll = 33e6;
constexpr double OpeningsInAll = 140e3;
constexpr double Zones = 20;
constexpr double ChangesPerSecond = 5600.0 / 86'400;
/// A restart is seen twice in the VM list: leaving, and live again.
constexpr double VmChangesPerSecond = 2 * 2900.0 / 86'400;
constexpr double FlowsPerAgent = FlowsInAll / Agents;
constexpr double OpeningsPerAgent = OpeningsInAll / Agents;
constexpr double ServiceSize = Rows / 1500;

void printRow(const char *Name, double Value, const char *Unit,
              const char *Mechanism) {
  fmt::print("| {} | {:.2f} {} | {} |\n", Name, Value, Unit, Mechanism);
}

constexpr double Mega = 1e6;
constexpr double Percent = 100;

double documentMemory(const Slopes &Cost) {
  const double VmRows = Processes;
  // The replica of the VM list keeps rows like that of the table.
  return Rows * (Cost.TableMemory.Slope + Cost.ReplicaMemory.Slope) +
         VmRows * (Cost.VmMemory.Slope + Cost.ReplicaMemory.Slope);
}

double changeShare(const Slopes &Cost) {
  const double Change = Cost.ChangeTime.Base + Rows * Cost.ChangeTime.Slope;
  const double Vms = Cost.VmTime.Base + Processes * Cost.VmTime.Slope;
  return ChangesPerSecond * Change + VmChangesPerSecond * Vms;
}

/// Digests of two documents, sent and received, and row changes to and from
/// neighbours.
double documentBytes(const WireBytes &Bytes) {
  constexpr double Documents = 2;
  constexpr double Copies = 2.0 * PushFanout;
  return Documents * 2 * Bytes.Digest +
         Copies * (ChangesPerSecond + VmChangesPerSecond) * Bytes.RowChange;
}

void printBalancer(const Slopes &Cost, const WireBytes &Bytes) {
  fmt::print("\nBalancer\n\n| Figure | Value | Mechanism |\n|---|---|---|\n");
  printRow("memory",
           (documentMemory(Cost) + Rows * Cost.HealthMemory.Slope) / Mega, "MB",
           "table, VM list, health of every agent; no flows");
  const double ProbeShare = Cost.ProbeTime.Base + Rows * Cost.ProbeTime.Slope;
  printRow("control time", Percent * (ProbeShare + changeShare(Cost)),
           "% of a core", "probe ticks, whole rebuild for each change");
  printRow("document bytes", documentBytes(Bytes), "B/s",
           "digests each second, row changes");
  // The plan uses the upper bound of a pair, so the real bytes are fewer.
  const double Period =
      std::max(1.0, Agents * ProbePairBytes / ProbeBytesPerSecond);
  printRow("probe bytes", Agents / Period * Bytes.ProbePair, "B/s",
           "budget of 1,500 B/s, planned with 116 B for each pair");
  printRow("probe period", Period, "s", "every balancer probes every agent");
  printRow("probe period if a zone divides the agents",
           Period / (Balancers / Zones), "s",
           "sharing of suspicions (planned, not built)");
  printRow("time of a packet", Mega * Cost.BalancerPacketTime.Slope, "us",
           "home choice, no socket");
}

void printAgent(const Slopes &Cost, const WireBytes &Bytes, double Queries) {
  fmt::print("\nAgent\n\n| Figure | Value | Mechanism |\n|---|---|---|\n");
  const double Redirects = FlowsPerAgent * (1 - 1 / ServiceSize);
  const double Flows = FlowsPerAgent * Cost.FlowMemory.Slope +
                       Redirects * Cost.RedirectMemory.Slope;
  printRow("memory", (documentMemory(Cost) + Flows) / Mega, "MB",
           "table, VM list, flows, redirects");
  constexpr double RefusalSeconds = 120;
  constexpr double FloodFactor = 10;
  printRow("memory of refusals in a flood of ten times the openings",
           FloodFactor * OpeningsPerAgent * RefusalSeconds * (1 + Queries) *
               Cost.RefusalMemory.Slope / Mega,
           "MB", "records for 120 s at the home and each decliner");
  // Sent and received: a pair for each query, forwarded opening and notice.
  const double Messages = 2 * OpeningsPerAgent * (2 * Queries + 2);
  printRow("control time",
           Percent * (OpeningsPerAgent * Cost.OpeningTime.Slope +
                      Messages * Cost.CodecTime.Slope + changeShare(Cost)),
           "% of a core", "openings, codec, whole rebuild for each change");
  // Each message is sent by one agent and received by another.
  const double Opening =
      2 * OpeningsPerAgent *
      (Queries * Bytes.QueryPair + Bytes.Forward + Bytes.Notice);
  printRow("opening bytes", Opening, "B/s",
           "load queries, forwarded opening, owner notice; sent and received");
  printRow("load query bytes alone",
           2 * OpeningsPerAgent * Queries * Bytes.QueryPair, "B/s",
           "three pairs for each opening");
  const double Probes =
      Balancers / std::max(1.0, Agents * ProbePairBytes / ProbeBytesPerSecond);
  printRow("probe bytes", Probes * Bytes.ProbePair, "B/s",
           "probes of all balancers");
  printRow("document bytes", documentBytes(Bytes), "B/s",
           "digests each second, row changes");
  printRow("time of a packet", Mega * Cost.AgentPacketTime.Slope, "us",
           "flow record, no socket");
}

void printReader(const WireBytes &Bytes, const RelayResult &AllCutOff) {
  fmt::print("\nReader (a balancer, two for each zone)\n\n"
             "| Figure | Value | Mechanism |\n|---|---|---|\n");
  printRow("table reads", ChangesPerSecond * Bytes.Csv, "B/s",
           "whole value for each change");
  printRow("VM list reads", VmChangesPerSecond * Bytes.VmText, "B/s",
           "whole value for each change");
  constexpr double Documents = 2;
  constexpr double CallsPerReader = 5;
  printRow("calls of all readers in a burst of changes",
           Zones * ReadersPerZone * Documents * CallsPerReader, "calls/s",
           "at most one in 200 ms for each document");
  const double Period =
      std::chrono::duration<double>(ReadSchedule::TablePeriod).count();
  const double VmPeriod =
      std::chrono::duration<double>(ReadSchedule::VmListPeriod).count();
  printRow("calls if every process falls back",
           Processes / Period + Processes / VmPeriod, "calls/s",
           "at most one in 5 s and in 60 s for each process");
  printRow("peak calls when all readers lose the service at once",
           Processes * AllCutOff.PeakCallsPerSecond /
               static_cast<double>(AllCutOff.Processes),
           "calls/s", "measured part of a small fleet times 7,800");
}

void printBadDays(const Slopes &Cost, const WireBytes &Bytes) {
  fmt::print("\nBad days\n\n| Figure | Value | Mechanism |\n|---|---|---|\n");
  const double Away = 1 - 1 / ServiceSize;
  const double Lost = FlowsInAll / Zones;
  printRow("zone lost: flows that end", Lost / Mega, "million",
           "their upstreams are gone");
  const double WithoutCoordinator = Lost * Away * (1 - 1 / Zones);
  printRow("zone lost: flows to be located", WithoutCoordinator / Mega,
           "million", "home gone, owner elsewhere");
  printRow("zone lost: lookup bytes for each agent left",
           2 * WithoutCoordinator * (ServiceSize - 1) * Bytes.LocatePair /
               (Agents * (1 - 1 / Zones)) / 1e3,
           "KB", "Locate and replies, sent and received, once");
  constexpr double Hour = 3600;
  printRow("regions parted for an hour: row changes to catch up",
           Hour * ChangesPerSecond, "rows", "one pull when they meet again");
  printRow("regions parted for an hour: bytes to catch up",
           Hour * ChangesPerSecond * Bytes.RowChange / 1e3, "KB",
           "at most; rows travel together");
  printRow("restart: snapshot of the table", Bytes.Snapshot / Mega, "MB",
           "limit of a message is 2.1 MB");
  constexpr double RestartsPerSecond = 2900.0 / 86'400;
  printRow("restarts: snapshot bytes for each process",
           RestartsPerSecond * 2 * Bytes.Snapshot * 2 / Processes, "B/s",
           "two documents, sent and received, mean");
  printRow("rebuild after one row change",
           1e3 * (Cost.ChangeTime.Base + Rows * Cost.ChangeTime.Slope), "ms",
           "table, indices and digest are made anew");
}

double measureQueries() {
  // Upstreams of a service at the target size, rounded.
  FleetSpec Spec;
  Spec.Speeds.assign(4, 1.0);
  Spec.Work = {{.Name = "orders", .Load = 0.7}};
  Spec.Length = std::chrono::seconds(100);
  const FleetResult Result = runFleet(Spec);
  const nlohmann::json Json = {
      {"measure", "messages per opening, 4 upstreams, 0.7 load"},
      {"value", Result.MessagesPerOpening}};
  fmt::print("{}\n", Json.dump());
  return QueriedCandidates;
}

RelayResult measureRelay(const char *Name, bool HalfCutOff, bool AllLater) {
  RelaySpec Spec;
  Spec.HalfCutOff = HalfCutOff;
  Spec.AllCutOffLater = AllLater;
  Spec.Changes = 2;
  const RelayResult Result = runRelay(Spec);
  const nlohmann::json Json = {
      {"measure", Name},
      {"processes", Result.Processes},
      {"slowest_s", Result.SlowestSeconds},
      {"bytes_per_s", Result.BytesPerSecond},
      {"read_bytes_per_s", Result.ReadBytesPerSecond},
      {"calls_per_s", Result.CallsPerSecond},
      {"reader_calls_per_s", Result.ReaderCallsPerSecond},
      {"peak_calls_per_s", Result.PeakCallsPerSecond}};
  fmt::print("{}\n", Json.dump());
  return Result;
}

int run() {
  Slopes Cost;
  measureMemories(Cost);
  measurePacketTimes(Cost);
  measureControlTimes(Cost);
  measureCodecTime(Cost);
  const WireBytes Bytes = measureWire();
  const double Queries = measureQueries();
  (void)measureRelay("all readers in touch", false, false);
  (void)measureRelay("half of the readers cut off", true, false);
  const RelayResult AllCutOff =
      measureRelay("all readers lose the service", false, true);
  printBalancer(Cost, Bytes);
  printAgent(Cost, Bytes, Queries);
  printReader(Bytes, AllCutOff);
  printBadDays(Cost, Bytes);
  return 0;
}

} // namespace
} // namespace mulberryhoist::bench

int main() {
  try {
    return mulberryhoist::bench::run();
  } catch (const std::exception &Problem) {
    fmt::print(stderr, "capacity-bench: {}\n", Problem.what());
    return 2;
  }
}
