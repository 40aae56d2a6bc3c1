#include <array>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>

#include <gtest/gtest.h>

namespace mulberryhoist {
namespace {

std::string readFile(const std::string &Path) {
  std::ifstream In(Path);
  std::ostringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

std::string helpOf(const std::string &Program) {
  const std::string Command =
      std::string(MULBERRY_BINARY_DIR) + "/" + Program + " --help";
  FILE *Pipe = popen(Command.c_str(), "r");
  std::string Text;
  std::array<char, 256> Line;
  while (Pipe != nullptr && fgets(Line.data(), Line.size(), Pipe) != nullptr) {
    Text += Line.data();
  }
  if (Pipe != nullptr) {
    pclose(Pipe);
  }
  return Text;
}

class SettingsPageTest : public testing::TestWithParam<const char *> {};

// Guards against a settings reference that does not match the help texts of the
// programs.
TEST_P(SettingsPageTest, ShowsTheHelpOfTheProgram) {
  const std::string Help = helpOf(GetParam());
  ASSERT_FALSE(Help.empty());
  const std::string Page =
      readFile(std::string(MULBERRY_SOURCE_DIR) + "/docs/settings.md");
  EXPECT_NE(Page.find(Help), std::string::npos)
      << "docs/settings.md should contain:\n"
      << Help;
}

INSTANTIATE_TEST_SUITE_P(Programs, SettingsPageTest,
                         testing::Values("mulberry-balancer", "mulberry-agent",
                                         "mulberryctl"));

} // namespace
} // namespace mulberryhoist
