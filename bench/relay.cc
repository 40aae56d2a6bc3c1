#include "relay.h"

#include <algorithm>
#include <deque>
#include <fmt/format.h>
#include <map>
#include <optional>
#include <random>

#include "mulberryhoist/exchange.h"
#include "mulberryhoist/membership.h"
#include "mulberryhoist/replication.h"

namespace mulberryhoist::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds Step{10};
constexpr milliseconds ServiceLatency{10};
/// How long a call without answer lasts.
constexpr seconds CallTimeout{2};
constexpr std::uint64_t StepsPerTick = seconds(1) / Step;
constexpr std::uint64_t HeaderBytes = 40;
constexpr std::uint64_t CallBytes = 300;
constexpr seconds WarmUp{20};

struct PendingCall {
  ReadRequest Request;
  Instant Since;
};

struct Process {
  Replica Table;
  ReadSchedule Schedule;
  bool Reader = false;
  bool CutOff = false;
  std::uint64_t Phase = 0;
  std::optional<PendingCall> Call;
  std::uint64_t Bytes = 0;
  std::uint64_t ReadBytes = 0;
};

struct InTransit {
  std::size_t From = 0;
  std::size_t To = 0;
  ExchangeMessage Body;
};

Endpoint addressOf(std::size_t Index) {
  return {0x7F010000 + static_cast<std::uint32_t>(Index), 9};
}

Result<void> checkTable(const DocumentContent &Content) {
  const auto Made =
      Table::create(Content.Version, Content.Rows, Content.Removed);
  if (!Made) {
    return tl::unexpected<Error>(Made.error());
  }
  return {};
}

/// The processes, the network between them and the configuration service.
class RelayFleet {
public:
  explicit RelayFleet(const RelaySpec &Spec) : Spec(Spec), Random(Spec.Seed) {
    this->Weights.resize(Spec.Rows, 100);
    this->publish();
    this->makeList();
    std::size_t Readers = 0;
    for (std::size_t I = 0; I < this->List.Vms.size(); ++I) {
      this->addProcess(I, Readers);
    }
  }

  RelayResult run() {
    this->advance(WarmUp);
    for (Process &Each : this->Processes) {
      Each.Bytes = 0;
      Each.ReadBytes = 0;
      Each.CutOff = Each.CutOff || (this->Spec.AllCutOffLater && Each.Reader);
    }
    this->Calls = 0;
    this->ReaderCalls = 0;
    this->CallsBySecond.clear();
    RelayResult Result;
    Result.Processes = this->Processes.size();
    for (unsigned I = 0; I < this->Spec.Changes; ++I) {
      this->change(Result);
    }
    const std::chrono::duration<double> Passed =
        this->Spec.ChangePeriod * this->Spec.Changes;
    double Sum = 0;
    double ReadSum = 0;
    for (const Process &Each : this->Processes) {
      const double Reads = static_cast<double>(Each.ReadBytes) / Passed.count();
      const double Rate =
          Reads + static_cast<double>(Each.Bytes) / Passed.count();
      Sum += Rate;
      ReadSum += Reads;
      Result.BusiestBytesPerSecond =
          std::max(Result.BusiestBytesPerSecond, Rate);
    }
    Result.BytesPerSecond = Sum / static_cast<double>(Result.Processes);
    Result.ReadBytesPerSecond = ReadSum / static_cast<double>(Result.Processes);
    Result.MeanSlowestSeconds /= this->Spec.Changes;
    Result.CallsPerSecond = static_cast<double>(this->Calls) / Passed.count();
    Result.ReaderCallsPerSecond =
        static_cast<double>(this->ReaderCalls) / Passed.count();
    for (const auto &[Second, Count] : this->CallsBySecond) {
      Result.PeakCallsPerSecond =
          std::max(Result.PeakCallsPerSecond, static_cast<double>(Count));
    }
    return Result;
  }

private:
  void makeList() {
    for (std::size_t Zone = 0; Zone < this->Spec.Zones; ++Zone) {
      const std::string Name =
          fmt::format("r{}-z{}", Zone % 2, static_cast<char>('a' + Zone));
      const std::size_t Count =
          this->Spec.BalancersPerZone + this->Spec.AgentsPerZone;
      for (std::size_t I = 0; I < Count; ++I) {
        const Endpoint Address = addressOf(this->List.Vms.size());
        const VmRole Role =
            I < this->Spec.BalancersPerZone ? VmRole::Balancer : VmRole::Agent;
        this->List.Vms.push_back({fmt::format("{}-{:04}", Name, I), Role, Name,
                                  VmState::Live, Address, Address});
      }
    }
    std::sort(this->List.Vms.begin(), this->List.Vms.end(),
              [](const Vm &A, const Vm &B) { return A.Name < B.Name; });
    for (std::size_t I = 0; I < this->List.Vms.size(); ++I) {
      this->List.Vms[I].Control = addressOf(I);
    }
  }

  void addProcess(std::size_t Index, std::size_t &Readers) {
    const Vm &Own = this->List.Vms[Index];
    const bool Everybody = this->Spec.How == Distribution::EverybodyReads;
    const bool Reader = Everybody || isReader(this->List, Own.Name);
    const bool CutOff = this->Spec.HalfCutOff && Reader && Readers % 2 == 1;
    Readers += Reader ? 1 : 0;
    std::uniform_int_distribution<std::uint64_t> Phase(0, StepsPerTick - 1);
    this->Processes.push_back(
        {Replica(DocumentKind::Table, checkTable, Index),
         ReadSchedule(Index + 1, ReadSchedule::TablePeriod), Reader, CutOff,
         Phase(this->Random), std::nullopt, 0, 0});
    if (!Everybody) {
      this->Processes.back().Table.setNeighbours(
          chooseNeighbours(this->List, Own.Name, Own.AvailabilityZone));
    }
  }

  void publish() {
    this->Csv = "service,address,class,share,upstream,endpoint,zone,weight,"
                "slots,connections\n";
    constexpr std::size_t RowsPerService = 4;
    for (std::size_t I = 0; I < this->Weights.size(); ++I) {
      const std::size_t Service = I / RowsPerService;
      this->Csv += fmt::format(
          "s{0},127.3.{1}.{2}:80,0,1,u{3},127.{4}.{5}.{6}:9,r0-za,{7},4,2000\n",
          Service, Service / 250, Service % 250 + 1, I, 4 + I / 62500,
          I / 250 % 250, I % 250 + 1, this->Weights[I]);
    }
    this->Csv += fmt::format("end,{}\n", this->Weights.size());
    ++this->Revision;
    this->Value = parsePublishedTable(this->Csv).value();
  }

  void change(RelayResult &Result) {
    std::uniform_int_distribution<std::size_t> Row(0, this->Weights.size() - 1);
    std::uniform_int_distribution<unsigned> Weight(1, 99);
    this->Weights[Row(this->Random)] = Weight(this->Random);
    this->publish();
    const Instant Published = this->Now;
    const Instant End = Published + this->Spec.ChangePeriod;
    std::optional<Instant> Complete;
    while (this->Now < End) {
      this->step();
      if (!Complete && this->isInForceEverywhere()) {
        Complete = this->Now;
      }
    }
    Result.Incomplete += Complete ? 0 : 1;
    const std::chrono::duration<double> Taken =
        Complete.value_or(End) - Published;
    Result.SlowestSeconds = std::max(Result.SlowestSeconds, Taken.count());
    Result.MeanSlowestSeconds += Taken.count();
  }

  bool isInForceEverywhere() const {
    return std::all_of(this->Processes.begin(), this->Processes.end(),
                       [this](const Process &Each) {
                         return Each.Table.version().Revision == this->Revision;
                       });
  }

  void advance(Duration Length) {
    const Instant End = this->Now + Length;
    while (this->Now < End) {
      this->step();
    }
  }

  void step() {
    this->Now += Step;
    std::deque<InTransit> Arriving;
    std::swap(Arriving, this->Messages);
    for (const InTransit &Each : Arriving) {
      std::vector<OutgoingMessage> Out;
      this->Processes[Each.To].Table.receive(addressOf(Each.From), Each.Body,
                                             this->Now, Out);
      this->send(Each.To, std::move(Out));
    }
    for (std::size_t I = 0; I < this->Processes.size(); ++I) {
      this->turn(I);
    }
    ++this->Steps;
  }

  void turn(std::size_t Index) {
    Process &Own = this->Processes[Index];
    if (this->Steps % StepsPerTick == Own.Phase) {
      std::vector<OutgoingMessage> Out;
      Own.Table.tick(this->Now, Out);
      this->send(Index, std::move(Out));
    }
    this->finishCall(Index);
    if (Own.Call) {
      return;
    }
    const ReadSituation Situation{Own.Reader, Own.Table.version().Revision,
                                  Own.Table.sinceConfirmed(this->Now)};
    if (const auto Request = Own.Schedule.next(Situation, this->Now)) {
      Own.Call = PendingCall{*Request, this->Now};
      Own.ReadBytes += CallBytes;
      ++this->Calls;
      this->ReaderCalls += Own.Reader ? 1 : 0;
      const auto Second = this->Now.time_since_epoch() / seconds(1);
      ++this->CallsBySecond[Second];
    }
  }

  void finishCall(std::size_t Index) {
    Process &Own = this->Processes[Index];
    if (!Own.Call || this->Now - Own.Call->Since < ServiceLatency) {
      return;
    }
    const Duration Passed = this->Now - Own.Call->Since;
    if (Own.CutOff) {
      if (Passed >= CallTimeout) {
        Own.Call.reset();
        Own.Schedule.finished({}, this->Now);
      }
      return;
    }
    FinishedRead Read{ReadOutcome::Unchanged, this->Revision, 0};
    if (Own.Call->Request.After < this->Revision) {
      Read = this->offer(Index);
    } else if (Passed < Own.Call->Request.Wait) {
      return;
    }
    Own.Call.reset();
    if (Own.Schedule.finished(Read, this->Now)) {
      Own.Table.confirm(this->Now);
    }
  }

  FinishedRead offer(std::size_t Index) {
    Process &Own = this->Processes[Index];
    Own.ReadBytes += this->Csv.size();
    std::vector<OutgoingMessage> Out;
    const auto Offered = Own.Table.offerRead(
        {this->Value.Epoch, this->Revision}, this->Value.Rows, this->Now, Out);
    this->send(Index, std::move(Out));
    return {Offered ? ReadOutcome::InForce : ReadOutcome::Older, this->Revision,
            this->Csv.size()};
  }

  void send(std::size_t From, std::vector<OutgoingMessage> Out) {
    for (OutgoingMessage &Each : Out) {
      const std::size_t To = Each.To.Address - addressOf(0).Address;
      const std::uint64_t Bytes =
          encodeExchange(Each.Body).size() + HeaderBytes;
      this->Processes[From].Bytes += Bytes;
      this->Processes[To].Bytes += Bytes;
      this->Messages.push_back({From, To, std::move(Each.Body)});
    }
  }

  RelaySpec Spec;
  std::mt19937_64 Random;
  Instant Now = Instant() + std::chrono::hours(100);
  std::uint64_t Steps = 0;
  VmList List;
  std::vector<Process> Processes;
  std::deque<InTransit> Messages;
  std::vector<unsigned> Weights;
  std::string Csv;
  PublishedTable Value;
  std::uint64_t Revision = 0;
  std::uint64_t Calls = 0;
  std::uint64_t ReaderCalls = 0;
  std::map<std::int64_t, std::uint64_t> CallsBySecond;
};

} // namespace

RelayResult runRelay(const RelaySpec &Spec) { return RelayFleet(Spec).run(); }

} // namespace mulberryhoist::bench
