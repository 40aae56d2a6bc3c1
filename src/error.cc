#include "mulberryhoist/error.h"

#include <array>

namespace mulberryhoist {
namespace {

struct ErrorRow {
  ErrorKind Kind;
  std::string_view Name;
  ErrorResponse Response;
};

constexpr std::array<ErrorRow, ErrorKindCount> ErrorRows = {{
    {ErrorKind::MalformedPacket, "malformed_packet", ErrorResponse::Drop},
    {ErrorKind::UnknownAddress, "unknown_address", ErrorResponse::Drop},
    {ErrorKind::WrongService, "wrong_service", ErrorResponse::Drop},
    {ErrorKind::MalformedMessage, "malformed_message", ErrorResponse::Drop},
    {ErrorKind::OversizedMessage, "oversized_message", ErrorResponse::Drop},
    {ErrorKind::InvalidTable, "invalid_table", ErrorResponse::KeepInForce},
    {ErrorKind::IncompleteTable, "incomplete_table",
     ErrorResponse::KeepInForce},
    {ErrorKind::OlderTable, "older_table", ErrorResponse::KeepInForce},
    {ErrorKind::ConflictingTable, "conflicting_table",
     ErrorResponse::KeepInForce},
    {ErrorKind::InvalidSetting, "invalid_setting", ErrorResponse::ExitProcess},
    {ErrorKind::PeerUnreachable, "peer_unreachable", ErrorResponse::RetryLater},
    {ErrorKind::ConfigurationUnavailable, "configuration_unavailable",
     ErrorResponse::RetryLater},
    {ErrorKind::CallRateExceeded, "call_rate_exceeded",
     ErrorResponse::RetryLater},
    {ErrorKind::HistoryLost, "history_lost", ErrorResponse::RetryLater},
    {ErrorKind::RefusedNotRun, "refused_not_run", ErrorResponse::Refuse},
    {ErrorKind::OutcomeUnknown, "outcome_unknown", ErrorResponse::Reset},
    {ErrorKind::RingFull, "ring_full", ErrorResponse::Drop},
    {ErrorKind::WorkerFailed, "worker_failed", ErrorResponse::RestartWorker},
    {ErrorKind::SystemCall, "system_call", ErrorResponse::RetryLater},
}};

constexpr bool rowsFollowEnumOrder() {
  for (std::size_t I = 0; I < ErrorRows.size(); ++I) {
    if (static_cast<std::size_t>(ErrorRows[I].Kind) != I) {
      return false;
    }
  }
  return true;
}
static_assert(rowsFollowEnumOrder(), "ErrorRows is indexed by kind");

const ErrorRow &rowOf(ErrorKind Kind) {
  return ErrorRows[static_cast<std::size_t>(Kind)];
}

} // namespace

std::string_view errorName(ErrorKind Kind) { return rowOf(Kind).Name; }

ErrorResponse errorResponse(ErrorKind Kind) { return rowOf(Kind).Response; }

} // namespace mulberryhoist
