#include "mulberryhoist/types.h"

#include <gtest/gtest.h>

namespace mulberryhoist {
namespace {

struct EndpointRow {
  std::string_view Text;
  bool Valid;
};

class EndpointTest : public testing::TestWithParam<EndpointRow> {};

// Guards against an invalid address that is accepted, and against an address
// that is parsed as another one.
TEST_P(EndpointTest, ParsesOnlyWholeAddresses) {
  const auto Value = parseEndpoint(GetParam().Text);
  ASSERT_EQ(Value.has_value(), GetParam().Valid);
  if (Value) {
    EXPECT_EQ(formatEndpoint(*Value), GetParam().Text);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Texts, EndpointTest,
    testing::Values(EndpointRow{"127.0.0.1:8080", true},
                    EndpointRow{"255.255.255.255:65535", true},
                    EndpointRow{"256.0.0.1:1", false},
                    EndpointRow{"127.0.0.1:65536", false},
                    EndpointRow{"127.0.0.1", false},
                    EndpointRow{"127.0.0.1:80 ", false},
                    EndpointRow{"127.0.0.:80", false}, EndpointRow{"", false}));

} // namespace
} // namespace mulberryhoist
