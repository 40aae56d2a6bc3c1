#include "mulberryhoist/decision-log.h"

#include <fmt/format.h>
#include <utility>

#include "mulberryhoist/log.h"

namespace mulberryhoist {
namespace {

/// Bucket bounds in seconds, around the latency objectives of the services
/// (150 ms to 800 ms).
const prometheus::Histogram::BucketBoundaries LatencyBounds = {
    0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.15,
    0.2,   0.25,  0.3,   0.5,  0.8,   1.2,  2.5};

std::string flowText(const FlowKey &Flow) {
  return fmt::format("{}>{}", formatEndpoint(Flow.Caller),
                     formatEndpoint(Flow.Service));
}

prometheus::Histogram &makeHistogram(prometheus::Registry &Metrics,
                                     const std::string &Name,
                                     const std::string &Help) {
  return prometheus::BuildHistogram()
      .Name("mulberry_" + Name)
      .Help(Help)
      .Register(Metrics)
      .Add({}, LatencyBounds);
}

} // namespace

LineKind lineKind(Decision Kind) {
  switch (Kind) {
  case Decision::AgentSuspected:
  case Decision::AgentLeaving:
  case Decision::AgentRegained:
  case Decision::UpstreamSilent:
  case Decision::UpstreamAnswers:
  case Decision::PauseNoticed:
  case Decision::IntakeClosed:
  case Decision::IntakeOpened:
  case Decision::LinkFull:
  case Decision::LinkClear:
    return LineKind::StateChange;
  case Decision::OpeningResent:
  case Decision::OpeningPassedOn:
  case Decision::OpeningReturned:
  case Decision::PacketReturned:
  case Decision::OwnerSought:
  case Decision::OpeningTurnedAway:
  case Decision::OpeningDisplaced:
  case Decision::FlowUnknown:
  case Decision::UpstreamsAsked:
  case Decision::UpstreamSpared:
  case Decision::UpstreamUnanswered:
    return LineKind::Step;
  default:
    return LineKind::Outcome;
  }
}

DecisionLog::DecisionLog(prometheus::Registry &Metrics,
                         const std::string &LatencyName,
                         const std::string &LatencyHelp)
    : Latency(makeHistogram(Metrics, LatencyName, LatencyHelp)) {
  auto &Family = prometheus::BuildCounter()
                     .Name("mulberry_decisions_total")
                     .Help("Decisions by kind.")
                     .Register(Metrics);
  for (std::size_t I = 0; I < DecisionCount; ++I) {
    const auto Kind = static_cast<Decision>(I);
    this->Counters[I] =
        &Family.Add({{"decision", std::string(decisionName(Kind))}});
  }
}

void DecisionLog::observe(Duration Value) {
  this->Latency.Observe(std::chrono::duration<double>(Value).count());
}

bool DecisionLog::consumeLine(LineKind Kind, Instant Now) {
  if (Now >= this->WindowEnd) {
    this->WindowEnd = Now + std::chrono::seconds(1);
    this->OutcomeLines = 0;
    this->StepLines = 0;
    if (const auto Omitted = std::exchange(this->Suppressed, 0)) {
      log(LogLevel::Warning, "flow decisions not logged",
          {{"count", static_cast<std::int64_t>(Omitted)}});
    }
  }
  const bool IsStep = Kind == LineKind::Step;
  std::uint32_t &LineCount = IsStep ? this->StepLines : this->OutcomeLines;
  if (LineCount == (IsStep ? StepLinesPerSecond : OutcomeLinesPerSecond)) {
    ++this->Suppressed;
    return false;
  }
  ++LineCount;
  return true;
}

void DecisionLog::record(const RecordDecision &Each, std::uint64_t Version,
                         Instant Now) {
  this->Counters[static_cast<std::size_t>(Each.Kind)]->Increment();
  const auto AgeMs =
      std::chrono::duration<double, std::milli>(Each.Age).count();
  const LineKind Kind = lineKind(Each.Kind);
  if (Kind == LineKind::StateChange) {
    log(LogLevel::Info, decisionName(Each.Kind),
        {{"agent", formatAddress(Each.Agent)},
         {"load", std::int64_t{Each.Load}},
         {"age_ms", AgeMs}});
    return;
  }
  if (!this->consumeLine(Kind, Now)) {
    return;
  }
  log(LogLevel::Info, decisionName(Each.Kind),
      {{"flow", flowText(Each.Flow)},
       {"agent", formatAddress(Each.Agent)},
       {"load", std::int64_t{Each.Load}},
       {"slots", std::int64_t{Each.Slots}},
       {"hops", std::int64_t{Each.Hops}},
       {"class", std::int64_t{Each.Class}},
       {"age_ms", AgeMs},
       {"version", static_cast<std::int64_t>(Version)}});
}

} // namespace mulberryhoist
