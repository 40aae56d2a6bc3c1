#include "mulberryhoist/steer-actions.h"

#include <array>

namespace mulberryhoist {
namespace {

constexpr std::array<std::string_view, DecisionCount> Names = {
    "opening_sent",          "opening_repeated",    "opening_resent",
    "owner_learned",         "refusal_learned",     "owner_sought",
    "refused_no_route",      "refused_no_upstream", "refused_link",
    "packet_without_route",  "opening_taken",       "opening_passed_on",
    "opening_returned",      "opening_held",        "opening_refused",
    "opening_dropped",       "packet_returned",     "owner_not_found",
    "owner_forgotten",       "search_unanswered",   "flow_not_held",
    "flow_not_held_ignored", "flow_reset",          "wrong_service",
    "agent_suspected",       "agent_leaving",       "agent_regained",
    "request_overdue",       "load_expired",        "upstream_silent",
    "upstream_answers",      "pause_noticed",       "refused_evacuated",
    "intake_closed",         "intake_opened",       "opening_turned_away",
    "opening_displaced",     "link_full",           "link_clear",
    "flow_unknown",          "upstreams_asked",     "upstream_spared",
    "upstream_unanswered",   "answer_unexpected"};

} // namespace

std::string_view decisionName(Decision Kind) {
  return Names[static_cast<std::size_t>(Kind)];
}

} // namespace mulberryhoist
