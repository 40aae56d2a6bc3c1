#include <span>

#include "mulberryhoist/agent-process.h"

using namespace mulberryhoist;

int main(int ArgumentCount, char **Arguments) {
  const std::span<const char *const> Words(
      Arguments, static_cast<std::size_t>(ArgumentCount));
  return runProgram<AgentProcess>("mulberry-agent", agentSettingSpecs(),
                                  readAgentSettings, Words);
}
