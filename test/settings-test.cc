#include "mulberryhoist/settings.h"

#include <gtest/gtest.h>

#include <cstdlib>

namespace mulberryhoist {
namespace {

constexpr SettingSpec Specs[] = {
    {"vm-name", SettingType::Name, "Name of this VM", "", true},
    {"port", SettingType::Number, "Port", "80", false, 1, 65535},
    {"data", SettingType::Endpoint, "Data address"},
    {"peers", SettingType::EndpointList, "Neighbours"},
    {"verbose", SettingType::Flag, "Log more"},
};

Result<Settings> parse(std::vector<const char *> Arguments) {
  Arguments.insert(Arguments.begin(), "program");
  return Settings::create(Specs, Arguments);
}

struct ProblemRow {
  std::vector<const char *> Arguments;
  std::vector<std::string_view> Expected;
};

class SettingsProblemTest : public testing::TestWithParam<ProblemRow> {};

// Guards against an error that does not name the flag, the value and the
// allowed values, and against an invalid value that is clamped or ignored.
TEST_P(SettingsProblemTest, NamesFlagValueAndRange) {
  const auto Parsed = parse(GetParam().Arguments);
  ASSERT_FALSE(Parsed.has_value());
  EXPECT_EQ(Parsed.error().Kind, ErrorKind::InvalidSetting);
  for (const std::string_view Part : GetParam().Expected) {
    EXPECT_NE(Parsed.error().Detail.find(Part), std::string::npos)
        << Parsed.error().Detail;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Problems, SettingsProblemTest,
    testing::Values(
        ProblemRow{{}, {"--vm-name: missing, must be [a-z0-9-]{1,63}"}},
        ProblemRow{{"--vm-name=Upper"}, {"--vm-name: 'Upper'"}},
        ProblemRow{{"--vm-name=a", "--port=0"},
                   {"--port: '0' is not 1..65535"}},
        ProblemRow{{"--vm-name=a", "--port", "12x"}, {"--port: '12x'"}},
        ProblemRow{{"--vm-name=a", "--data=127.0.0.1"},
                   {"--data: '127.0.0.1' is not IPv4:port"}},
        ProblemRow{{"--vm-name=a", "--peers=127.0.0.1:1,"}, {"--peers"}},
        ProblemRow{{"--vm-name=a", "--unknown"}, {"--unknown"}},
        ProblemRow{{"--vm-name=a", "--port"}, {"--port"}},
        ProblemRow{{"--check-config", "--port=70000"},
                   {"--vm-name", "--port: '70000'"}}));

// Guards against an environment variable that overrides a flag, and against a
// default that overrides either.
TEST(SettingsTest, FlagOverridesVariableOverridesDefault) {
  EXPECT_EQ(parse({"--vm-name=a"})->number("port"), 80);
  setenv("MULBERRY_PORT", "81", 1);
  EXPECT_EQ(parse({"--vm-name=a"})->number("port"), 81);
  EXPECT_EQ(parse({"--vm-name=a", "--port=82"})->number("port"), 82);
  setenv("MULBERRY_PORT", "0", 1);
  const auto Wrong = parse({"--vm-name=a"});
  unsetenv("MULBERRY_PORT");
  ASSERT_FALSE(Wrong.has_value());
  EXPECT_NE(Wrong.error().Detail.find("MULBERRY_PORT"), std::string::npos);
}

// Guards against a value that is parsed as another type than specified.
TEST(SettingsTest, ReadsEveryType) {
  const auto Parsed =
      parse({"first", "--vm-name=kl-1", "--data=127.0.0.1:5", "--verbose",
             "--peers=127.0.0.1:6,127.0.0.2:7", "second"});
  ASSERT_TRUE(Parsed.has_value()) << Parsed.error().Detail;
  EXPECT_EQ(Parsed->mode(), SettingsMode::Run);
  EXPECT_EQ(Parsed->text("vm-name"), "kl-1");
  EXPECT_EQ(Parsed->endpoint("data").Port, 5);
  EXPECT_EQ(Parsed->endpoints("peers").size(), 2U);
  EXPECT_TRUE(Parsed->flag("verbose"));
  ASSERT_EQ(Parsed->positional().size(), 2U);
  EXPECT_EQ(Parsed->positional()[1], "second");
}

// Guards against `--help` or `--version` failing because a required setting is
// missing, and against a setting that is missing from the help text.
TEST(SettingsTest, HelpAndVersionNeedNoSettings) {
  const auto Help = parse({"--help"});
  ASSERT_TRUE(Help.has_value());
  EXPECT_EQ(Help->mode(), SettingsMode::ShowHelp);
  for (const SettingSpec &Spec : Specs) {
    EXPECT_NE(Help->helpText().find(Spec.Name), std::string::npos);
  }
  EXPECT_EQ(parse({"--version"})->mode(), SettingsMode::ShowVersion);
  EXPECT_EQ(parse({"--check-config", "--vm-name=a"})->mode(),
            SettingsMode::CheckConfig);
}

} // namespace
} // namespace mulberryhoist
