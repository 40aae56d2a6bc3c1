#include "mulberryhoist/error.h"

#include <gtest/gtest.h>

namespace mulberryhoist {
namespace {

struct AnswerRow {
  ErrorKind Kind;
  std::string_view Name;
  ErrorAnswer Answer;
};

class ErrorTest : public testing::TestWithParam<AnswerRow> {};

// Guards against a kind that is logged under another kind's name or that gets
// an answer which claims more than the system knows.
TEST_P(ErrorTest, HasNameAndAnswer) {
  EXPECT_EQ(errorName(GetParam().Kind), GetParam().Name);
  EXPECT_EQ(errorAnswer(GetParam().Kind), GetParam().Answer);
}

INSTANTIATE_TEST_SUITE_P(
    Kinds, ErrorTest,
    testing::Values(AnswerRow{ErrorKind::MalformedPacket, "malformed_packet",
                              ErrorAnswer::Drop},
                    AnswerRow{ErrorKind::OlderTable, "older_table",
                              ErrorAnswer::KeepInForce},
                    AnswerRow{ErrorKind::RefusedNotRun, "refused_not_run",
                              ErrorAnswer::Refuse},
                    AnswerRow{ErrorKind::OutcomeUnknown, "outcome_unknown",
                              ErrorAnswer::Reset},
                    AnswerRow{ErrorKind::SystemCall, "system_call",
                              ErrorAnswer::RetryLater}));

} // namespace
} // namespace mulberryhoist
