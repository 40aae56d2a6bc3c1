/// \file
/// Program `mulberry-demo`: runs a whole installation on loopback, serves
/// requests and replaces a balancer and an upstream during a download.

#include <algorithm>
#include <cstdlib>
#include <fmt/format.h>

#include "path/fleet.h"

using namespace mulberryhoist;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Endpoint Orders{0x7F090001, 80};
constexpr Endpoint Templates{0x7F090002, 80};
constexpr std::size_t OrderCount = 50;
constexpr std::size_t DownloadCount = 4;
constexpr std::size_t DownloadBytes = std::size_t{4} << 20U;
constexpr Duration DownloadTime = seconds(6);
constexpr Duration ResultLimit = seconds(40);

void step(std::string_view Text) { fmt::print("* {}\n", Text); }

standin::CallRequest makeOrder(std::size_t Index) {
  standin::CallRequest Request;
  Request.Service = Orders;
  Request.Run.Id = fmt::format("order-{}", Index);
  Request.Run.Idempotent = false;
  Request.Run.Size = 2000;
  Request.Run.Time = milliseconds(20);
  return Request;
}

standin::CallRequest makeDownload(std::size_t Index) {
  standin::CallRequest Request;
  Request.Service = Templates;
  Request.Class = 4;
  Request.Run.Id = fmt::format("download-{}", Index);
  Request.Run.Size = DownloadBytes;
  Request.Run.Time = DownloadTime;
  Request.Run.Stream = true;
  return Request;
}

Result<std::unique_ptr<path::Fleet>>
startFleet(const std::filesystem::path &Programs) {
  path::FleetOptions Options;
  Options.Programs = Programs;
  Options.Services = {{"orders", Orders, 0, "100"},
                      {"templates", Templates, 4, "50"}};
  return path::Fleet::start(std::move(Options));
}

/// Takes an upstream out of the table and a balancer out of the fleet, and
/// brings in new ones.
Result<void> replaceParts(path::Fleet &Fleet) {
  step("replacing balancer-1 by balancer-3 and draining upstream-1");
  auto Outcome = Fleet.addBalancer("balancer-3");
  if (Outcome) {
    Outcome = Fleet.removeBalancer("balancer-1");
  }
  if (!Outcome) {
    return Outcome;
  }
  for (path::TableRow &Row : Fleet.rows()) {
    Row.Weight = Row.Upstream == "upstream-1" ? 0 : Row.Weight;
  }
  const auto Revision = Fleet.publish();
  if (!Revision) {
    return tl::unexpected(Revision.error());
  }
  if (!Fleet.waitForRevision(*Revision)) {
    return makeError(ErrorKind::ConfigurationUnavailable,
                     "the new table is not in force everywhere");
  }
  step(fmt::format("table revision {} is in force everywhere", *Revision));
  return {};
}

/// Prints what became of the requests; true if all went well.
bool summarize(path::Fleet &Fleet) {
  const auto Results = Fleet.results();
  const auto Complete = std::ranges::count(
      Results, standin::CallOutcome::Complete, &standin::CallResult::Outcome);
  for (const standin::CallResult &Result : Results) {
    if (Result.Outcome != standin::CallOutcome::Complete) {
      fmt::print("  {}\n", standin::formatResult(Result));
    }
  }
  const auto Runs = Fleet.runsPerId();
  const auto Repeated = std::ranges::count_if(
      Runs, [](const auto &Entry) { return Entry.second > 1; });
  for (const auto &[Balancer, Packets] : Fleet.packetsPerBalancer()) {
    fmt::print("  packets sprayed to {}: {}\n", Balancer, Packets);
  }
  fmt::print("summary: {} requests, {} complete, {} different requests ran, "
             "{} ran more than once\n",
             Results.size(), Complete, Runs.size(), Repeated);
  return Results.size() == OrderCount + DownloadCount &&
         static_cast<std::size_t>(Complete) == Results.size() && Repeated == 0;
}

Result<bool> runDemo(path::Fleet &Fleet) {
  step(fmt::format("sending {} orders", OrderCount));
  for (std::size_t Index = 0; Index < OrderCount; ++Index) {
    Fleet.call(makeOrder(Index));
  }
  if (!Fleet.waitForResults(OrderCount, ResultLimit)) {
    step("not all orders were answered");
  }
  step(fmt::format("starting {} downloads of {} bytes", DownloadCount,
                   DownloadBytes));
  for (std::size_t Index = 0; Index < DownloadCount; ++Index) {
    Fleet.call(makeDownload(Index));
  }
  std::this_thread::sleep_for(DownloadTime / 6);
  const auto Replaced = replaceParts(Fleet);
  if (!Replaced) {
    return tl::unexpected(Replaced.error());
  }
  const std::size_t Open = OrderCount + DownloadCount - Fleet.results().size();
  step(fmt::format("{} downloads are still in progress", Open));
  Fleet.waitForResults(OrderCount + DownloadCount, ResultLimit);
  return summarize(Fleet);
}

} // namespace

int main(int Count, char **Arguments) {
  const auto Self = std::filesystem::absolute(Arguments[0]);
  const std::filesystem::path Programs =
      Count > 1 ? std::filesystem::path(Arguments[1]) : Self.parent_path();
  step("starting platform, fabric, 2 balancers and 3 agents with upstreams");
  auto Fleet = startFleet(Programs);
  if (!Fleet) {
    fmt::print("failed: {}\n", Fleet.error().Detail);
    return EXIT_FAILURE;
  }
  const auto Good = runDemo(**Fleet);
  if (!Good) {
    fmt::print("failed: {}\n{}", Good.error().Detail, (*Fleet)->logTails());
    return EXIT_FAILURE;
  }
  if (!*Good) {
    fmt::print("{}", (*Fleet)->logTails());
  }
  return *Good ? EXIT_SUCCESS : EXIT_FAILURE;
}
