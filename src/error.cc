#include "mulberryhoist/error.h"

#include <array>

namespace mulberryhoist {
namespace {

struct ErrorRow {
  ErrorKind Kind;
  std::string_view Name;
  ErrorAnswer Answer;
};

constexpr std::array<ErrorRow, ErrorKindCount> ErrorRows = {{
    {ErrorKind::MalformedPacket, "malformed_packet", ErrorAnswer::Drop},
    {ErrorKind::UnknownAddress, "unknown_address", ErrorAnswer::Drop},
    {ErrorKind::WrongService, "wrong_service", ErrorAnswer::Drop},
    {ErrorKind::MalformedMessage, "malformed_message", ErrorAnswer::Drop},
    {ErrorKind::OversizedMessage, "oversized_message", ErrorAnswer::Drop},
    {ErrorKind::InvalidTable, "invalid_table", ErrorAnswer::KeepInForce},
    {ErrorKind::IncompleteTable, "incomplete_table", ErrorAnswer::KeepInForce},
    {ErrorKind::OlderTable, "older_table", ErrorAnswer::KeepInForce},
    {ErrorKind::ConflictingTable, "conflicting_table",
     ErrorAnswer::KeepInForce},
    {ErrorKind::InvalidSetting, "invalid_setting", ErrorAnswer::ExitProcess},
    {ErrorKind::PeerUnreachable, "peer_unreachable", ErrorAnswer::RetryLater},
    {ErrorKind::ConfigurationUnavailable, "configuration_unavailable",
     ErrorAnswer::RetryLater},
    {ErrorKind::CallRateExceeded, "call_rate_exceeded",
     ErrorAnswer::RetryLater},
    {ErrorKind::HistoryLost, "history_lost", ErrorAnswer::RetryLater},
    {ErrorKind::RefusedNotRun, "refused_not_run", ErrorAnswer::Refuse},
    {ErrorKind::OutcomeUnknown, "outcome_unknown", ErrorAnswer::Reset},
    {ErrorKind::RingFull, "ring_full", ErrorAnswer::Drop},
    {ErrorKind::WorkerFailed, "worker_failed", ErrorAnswer::RestartWorker},
    {ErrorKind::SystemCall, "system_call", ErrorAnswer::RetryLater},
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

ErrorAnswer errorAnswer(ErrorKind Kind) { return rowOf(Kind).Answer; }

} // namespace mulberryhoist
