#include "mulberryhoist/agent-metrics.h"

#include <string>
#include <vector>

#include "mulberryhoist/error.h"
#include "mulberryhoist/metrics.h"

namespace mulberryhoist {
namespace {

/// A counter of the logic and where it is shown.
struct LogicCounter {
  const char *Name;
  const char *Help;
  std::uint64_t AgentCounters::*Value;
  /// The value of the label `outcome`, if the metric has it.
  const char *Outcome = nullptr;
};

constexpr const char *OutcomesName = "agent_opening_outcomes_total";
constexpr const char *OutcomesHelp = "Openings by what happened to them";

constexpr LogicCounter LogicCounters[] = {
    {"agent_openings_total", "Openings coordinated as home",
     &AgentCounters::Openings},
    {OutcomesName, OutcomesHelp, &AgentCounters::Accepted, "accepted"},
    {OutcomesName, OutcomesHelp, &AgentCounters::Queued, "queued"},
    {OutcomesName, OutcomesHelp, &AgentCounters::Declined, "declined"},
    {OutcomesName, OutcomesHelp, &AgentCounters::Refused, "refused"},
    {OutcomesName, OutcomesHelp, &AgentCounters::Unanswered, "unanswered"},
    {OutcomesName, OutcomesHelp, &AgentCounters::Duplicates, "duplicate"},
    {OutcomesName, OutcomesHelp, &AgentCounters::Challenges, "challenged"},
    {OutcomesName, OutcomesHelp, &AgentCounters::StaleDropped, "stale"},
    {"agent_relayed_packets_total", "Packets relayed to the owner of the flow",
     &AgentCounters::Relayed},
    {"agent_not_owned_packets_total",
     "Relayed packets of flows that are not owned here",
     &AgentCounters::NotOwned},
    {"agent_locate_rounds_total", "Rounds of messages to locate an owner",
     &AgentCounters::LocateRounds},
    {"agent_locate_dropped_packets_total",
     "Packets dropped while their owner was not known",
     &AgentCounters::LocateDropped},
    {"agent_adopted_flows_total", "Flows taken over without their handshake",
     &AgentCounters::Adopted},
    {"agent_store_full_total", "Entries that a full store did not take",
     &AgentCounters::StoreFull},
    {"agent_ended_flows_total", "Flows that ended here",
     &AgentCounters::FlowsEnded},
};

/// A number of the view and where it is shown.
struct ViewGauge {
  const char *Name;
  const char *Help;
  double (*Read)(const AgentStatus &Status);
};

constexpr ViewGauge ViewGauges[] = {
    {"agent_busy_slots", "Slots in use",
     [](const AgentStatus &Status) { return double(Status.Busy); }},
    {"agent_slots", "Slots of the upstream",
     [](const AgentStatus &Status) { return double(Status.Slots); }},
    {"agent_waiting_openings", "Openings that wait for a slot",
     [](const AgentStatus &Status) { return double(Status.Waiting); }},
    {"agent_load_ratio", "Reported load: active work, scaled up after a start",
     [](const AgentStatus &Status) { return Status.Load / 1000.0; }},
    {"agent_redirects", "Flows whose owner is another agent",
     [](const AgentStatus &Status) { return double(Status.Redirects); }},
    {"agent_pending_openings", "Openings that are coordinated now",
     [](const AgentStatus &Status) { return double(Status.Openings); }},
    {"agent_searches", "Flows whose owner is being located",
     [](const AgentStatus &Status) { return double(Status.Searches); }},
    {"agent_refusal_records", "Refusals that are remembered",
     [](const AgentStatus &Status) { return double(Status.Refusals); }},
    {"agent_draining", "1 while no new work is taken",
     [](const AgentStatus &Status) { return Status.Draining ? 1.0 : 0.0; }},
};

} // namespace

struct AgentMetrics::State {
  explicit State(prometheus::Registry &Metrics)
      : MessageBytesSent(makeCounter(Metrics, "agent_message_sent_bytes_total",
                                     "Bytes of messages without a packet sent "
                                     "to balancers and agents")),
        MessageBytesReceived(
            makeCounter(Metrics, "agent_message_received_bytes_total",
                        "Bytes of messages without a packet received")),
        Pauses(makeCounter(Metrics, "agent_pauses_total",
                           "Pauses of the process longer than 500 ms")),
        Documents(Metrics) {
    for (const LogicCounter &Each : LogicCounters) {
      const prometheus::Labels Labels =
          Each.Outcome == nullptr
              ? prometheus::Labels{}
              : prometheus::Labels{{"outcome", Each.Outcome}};
      this->Logic.push_back(
          &makeCounter(Metrics, Each.Name, Each.Help, Labels));
    }
    for (const ViewGauge &Each : ViewGauges) {
      this->Views.push_back(&makeGauge(Metrics, Each.Name, Each.Help));
    }
    for (std::size_t I = 0; I < FlowStateCount; ++I) {
      const std::string Name(flowStateName(static_cast<FlowState>(I)));
      this->Flows.push_back(&makeGauge(Metrics, "agent_flows", "Flows by state",
                                       {{"state", Name}}));
    }
    for (std::size_t I = 0; I < EndReasonCount; ++I) {
      const std::string Name(endReasonName(static_cast<EndReason>(I)));
      this->Resets.push_back(&makeCounter(Metrics, "agent_resets_total",
                                          "Flows reset by the agent by reason",
                                          {{"reason", Name}}));
    }
    for (std::size_t I = 0; I < ErrorKindCount; ++I) {
      const std::string Name(errorName(static_cast<ErrorKind>(I)));
      this->Errors.push_back(&makeCounter(Metrics, "errors_total",
                                          "Errors by kind.", {{"kind", Name}}));
    }
  }

  std::vector<prometheus::Counter *> Logic;
  std::vector<prometheus::Gauge *> Views;
  std::vector<prometheus::Gauge *> Flows;
  std::vector<prometheus::Counter *> Resets;
  std::vector<prometheus::Counter *> Errors;
  prometheus::Counter &MessageBytesSent;
  prometheus::Counter &MessageBytesReceived;
  prometheus::Counter &Pauses;
  DocumentMetrics Documents;
};

AgentMetrics::AgentMetrics(prometheus::Registry &Metrics)
    : Impl(std::make_unique<State>(Metrics)) {}
AgentMetrics::~AgentMetrics() = default;

void AgentMetrics::update(const AgentView &View,
                          const AgentDataCounters &Counters,
                          const DocumentStatus &Documents) {
  State &Shown = *this->Impl;
  for (std::size_t I = 0; I < std::size(LogicCounters); ++I) {
    raiseTo(*Shown.Logic[I], View.Status.Counters.*LogicCounters[I].Value);
  }
  for (std::size_t I = 0; I < std::size(ViewGauges); ++I) {
    Shown.Views[I]->Set(ViewGauges[I].Read(View.Status));
  }
  for (std::size_t I = 0; I < FlowStateCount; ++I) {
    Shown.Flows[I]->Set(static_cast<double>(View.Status.Flows[I]));
  }
  for (std::size_t I = 0; I < EndReasonCount; ++I) {
    raiseTo(*Shown.Resets[I], View.Status.Counters.Resets[I]);
  }
  for (std::size_t I = 0; I < ErrorKindCount; ++I) {
    raiseTo(*Shown.Errors[I], Counters.Errors[I]);
  }
  raiseTo(Shown.MessageBytesSent, Counters.MessageBytesSent);
  raiseTo(Shown.MessageBytesReceived, Counters.MessageBytesReceived);
  raiseTo(Shown.Pauses, Counters.Pauses);
  Shown.Documents.update(Documents, View.InForce.get());
}

} // namespace mulberryhoist
