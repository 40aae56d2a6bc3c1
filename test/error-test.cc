#include "mulberryhoist/error.h"

#include <gtest/gtest.h>

namespace mulberryhoist {
namespace {

struct ResponseRow {
  ErrorKind Kind;
  std::string_view Name;
  ErrorResponse Response;
};

class ErrorTest : public testing::TestWithParam<ResponseRow> {};

// Guards against a kind that is logged under the name of another kind, and
// against a wrong response, such as a refusal for an unknown outcome.
TEST_P(ErrorTest, HasNameAndResponse) {
  EXPECT_EQ(errorName(GetParam().Kind), GetParam().Name);
  EXPECT_EQ(errorResponse(GetParam().Kind), GetParam().Response);
}

INSTANTIATE_TEST_SUITE_P(
    Kinds, ErrorTest,
    testing::Values(ResponseRow{ErrorKind::MalformedPacket, "malformed_packet",
                                ErrorResponse::Drop},
                    ResponseRow{ErrorKind::OlderTable, "older_table",
                                ErrorResponse::KeepInForce},
                    ResponseRow{ErrorKind::RefusedNotRun, "refused_not_run",
                                ErrorResponse::Refuse},
                    ResponseRow{ErrorKind::OutcomeUnknown, "outcome_unknown",
                                ErrorResponse::Reset},
                    ResponseRow{ErrorKind::SystemCall, "system_call",
                                ErrorResponse::RetryLater}));

} // namespace
} // namespace mulberryhoist
