#include "mulberryhoist/agent-metrics.h"

#include <string>
#include <vector>

#include "mulberryhoist/error.h"
#include "mulberryhoist/metrics.h"

namespace mulberryhoist {
namespace {

/// A metric for one of the counters of the agent logic.
struct LogicCounter {
  const char *Name;
  const char *Help;
  std::uint64_t AgentCounters::*Value;
  /// The value of the label `outcome`, or null if the metric has no such label.
  const char *Outcome = nullptr;
};

constexpr const char *OutcomesName = "agent_opening_outcomes_total";
constexpr const char *OutcomesHelp = "Openings by outcome";

constexpr LogicCounter LogicCounters[] = {
    {"agent_openings_total", "Openings coordinated by this agent",
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
     "Relayed packets received for flows that this agent does not own",
     &AgentCounters::NotOwned},
    {"agent_locate_rounds_total",
     "Rounds of locate requests sent to find the owner of a flow",
     &AgentCounters::LocateRounds},
    {"agent_locate_dropped_packets_total",
     "Packets dropped while the owner of their flow was unknown",
     &AgentCounters::LocateDropped},
    {"agent_adopted_flows_total",
     "Flows adopted without having seen their handshake",
     &AgentCounters::Adopted},
    {"agent_store_full_total", "Entries rejected because a store was full",
     &AgentCounters::StoreFull},
    {"agent_ended_flows_total", "Flows that ended at this agent",
     &AgentCounters::FlowsEnded},
};

/// A metric for a value of the agent's status.
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
    {"agent_waiting_openings", "Openings waiting for a slot",
     [](const AgentStatus &Status) { return double(Status.Waiting); }},
    {"agent_load_ratio",
     "Reported load: active work per weight, scaled up after a start",
     [](const AgentStatus &Status) { return Status.Load / 1000.0; }},
    {"agent_redirects", "Flows whose owner is another agent",
     [](const AgentStatus &Status) { return double(Status.Redirects); }},
    {"agent_pending_openings", "Openings being coordinated",
     [](const AgentStatus &Status) { return double(Status.Openings); }},
    {"agent_searches", "Flows whose owner is being located",
     [](const AgentStatus &Status) { return double(Status.Searches); }},
    {"agent_refusal_records", "Stored refusal records",
     [](const AgentStatus &Status) { return double(Status.Refusals); }},
    {"agent_draining", "1 while no new connections are accepted",
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
                                          "Errors by kind", {{"kind", Name}}));
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
  State &Exported = *this->Impl;
  for (std::size_t I = 0; I < std::size(LogicCounters); ++I) {
    raiseTo(*Exported.Logic[I], View.Status.Counters.*LogicCounters[I].Value);
  }
  for (std::size_t I = 0; I < std::size(ViewGauges); ++I) {
    Exported.Views[I]->Set(ViewGauges[I].Read(View.Status));
  }
  for (std::size_t I = 0; I < FlowStateCount; ++I) {
    Exported.Flows[I]->Set(static_cast<double>(View.Status.Flows[I]));
  }
  for (std::size_t I = 0; I < EndReasonCount; ++I) {
    raiseTo(*Exported.Resets[I], View.Status.Counters.Resets[I]);
  }
  for (std::size_t I = 0; I < ErrorKindCount; ++I) {
    raiseTo(*Exported.Errors[I], Counters.Errors[I]);
  }
  raiseTo(Exported.MessageBytesSent, Counters.MessageBytesSent);
  raiseTo(Exported.MessageBytesReceived, Counters.MessageBytesReceived);
  raiseTo(Exported.Pauses, Counters.Pauses);
  Exported.Documents.update(Documents, View.InForce.get());
}

} // namespace mulberryhoist
