/// Random and damaged bytes for everything that a process of the steered path
/// reads from outside. Set MULBERRY_FUZZ_RUNS for a longer run.

#include <gtest/gtest.h>

#include <cstdlib>
#include <random>
#include <string>
#include <vector>

#include "boot-settings.h"
#include "mulberryhoist/directory-exchange.h"
#include "mulberryhoist/log.h"
#include "mulberryhoist/steer-wire.h"
#include "packet-codec.h"
#include "steer-samples.h"
#include "store-model.h"

namespace mulberryhoist {
namespace {

using namespace samples;
using namespace platform;

constexpr std::uint32_t Seed = 20'261'204;
constexpr int DefaultRuns = 3'000;

int runCount() {
  const char *Text = std::getenv("MULBERRY_FUZZ_RUNS");
  return Text == nullptr ? DefaultRuns : std::atoi(Text);
}

/// Damages a valid input: changes, inserts, removes and repeats bytes, or
/// replaces it by random ones.
class Damager {
public:
  std::string damage(std::string Input) {
    if (this->pick(20) == 0) {
      Input.assign(this->pick(200), '\0');
      for (char &Each : Input) {
        Each = this->anyByte();
      }
      return Input;
    }
    for (std::size_t Left = 1 + this->pick(6); Left > 0 && !Input.empty();
         --Left) {
      this->damageOnce(Input);
    }
    return Input;
  }

private:
  std::size_t pick(std::size_t Limit) { return this->Random() % Limit; }

  char anyByte() {
    // Characters of JSON and TOML reach deeper into the parsers.
    constexpr std::string_view Structural = "{}[]\",:=.-0123456789eEtfn\\/";
    return this->pick(2) == 0 ? Structural[this->pick(Structural.size())]
                              : static_cast<char>(this->pick(256));
  }

  void damageOnce(std::string &Input) {
    const std::size_t At = this->pick(Input.size());
    const std::size_t Length = std::min(1 + this->pick(24), Input.size() - At);
    switch (this->pick(5)) {
    case 0:
      Input[At] = this->anyByte();
      break;
    case 1:
      Input.insert(At, 1, this->anyByte());
      break;
    case 2:
      Input.erase(At, Length);
      break;
    case 3:
      Input.insert(At, Input.substr(At, Length));
      break;
    default:
      Input.resize(At);
      break;
    }
  }

  std::mt19937 Random{Seed};
};

PacketBytes bytesOf(const std::string &Text) {
  return {reinterpret_cast<const std::uint8_t *>(Text.data()), Text.size()};
}

std::string textOf(PacketBytes Bytes) { return {Bytes.begin(), Bytes.end()}; }

std::string packetSample() {
  std::string Sample(HeaderBytes + 4, '\x11');
  Sample[10] = 0;
  Sample[11] = 4;
  return Sample;
}

std::string steerSample() {
  SteerCodec Codec;
  Steer Header;
  (void)Header.Services.add(OrderService);
  (void)Header.Next.add({agentAddress(2), 4});
  Header.Balancer = BalancerAddress;
  return textOf(*Codec.encode(Header, bytesOf(packetSample())));
}

std::string directorySample() {
  const std::vector<ListedUpstream> All = {upstream(1), upstream(2)};
  return writeDirectory(Directory(routes(9), All), {true, 17});
}

constexpr std::string_view ConfigurationSample =
    R"({"version":7,"routes":[{"name":"r","host":"198.18.0.1","prefix":"/443/",
        "backend":"orders","timeout_ms":1000,"goal_ms":150,"priority":0}],
        "backends":[{"name":"orders"}],"limits":{"idle_timeout_ms":1000}})";

constexpr std::string_view EntrySample =
    R"({"backend":"orders","addr":"10.128.0.9:8080","zone":"z","version":"v1",
        "slots":4,"state":"ready","cold_left_ms":0,"seq":4,"born":1})";

constexpr std::string_view SettingsSample = R"(
node = "edge-1"
ip = "10.1.0.10"
zone = "z"
port_range = [7720,7735]
seeds = ["10.1.0.10:8166"]
[listen]
udp_addr = "10.1.0.10:8172"
ready = "10.1.0.10:8167"
control = "10.1.0.10:8166"
[bounds]
stable_ms = 4000
[platform]
addr = "10.200.1.7:8169"
)";

/// Decodes an input and uses what was accepted; must return.
using Reader = void (*)(const std::string &);

struct InputRow {
  std::string Name;
  std::string Sample;
  Reader Read;
};

void readPacket(const std::string &Input) {
  const auto Packet = PlatformFormat::parse(bytesOf(Input));
  if (Packet) {
    std::vector<std::uint8_t> Copy(Packet->Bytes.begin(), Packet->Bytes.end());
    PlatformFormat::prepare(Copy, 7);
    PlatformFormat::restore(Copy);
  }
}

void readSteer(const std::string &Input) {
  static SteerCodec Decoder;
  static SteerCodec Encoder;
  const auto Decoded = Decoder.decode(bytesOf(Input));
  if (Decoded) {
    // A message that was accepted can be sent on.
    EXPECT_TRUE(Encoder.encode(Decoded->Body, Decoded->Packet).has_value());
  }
}

void readPeerDirectory(const std::string &Input) {
  auto Parsed = readDirectory(Input);
  if (Parsed) {
    DirectoryBuilder Builder;
    (void)Builder.onRoutes(std::move(Parsed->Routes), true, Instant());
    Builder.onPeerListing(std::move(Parsed->Upstreams));
    // Names of any bytes must not end the process when they are shown.
    (void)writeDirectory(*Builder.current(), Parsed->Source);
  }
}

void readConfiguration(const std::string &Input) {
  if (auto Parsed = parseRoutes(Input)) {
    DirectoryBuilder Builder;
    (void)Builder.onRoutes(std::move(*Parsed), true, Instant());
    (void)writeDirectory(*Builder.current(), {});
  }
}

void readEntry(const std::string &Input) {
  // The name comes from the key, which other writers choose.
  if (auto Parsed = parseUpstream(Input.substr(0, 9), Input, Instant())) {
    DirectoryBuilder Builder;
    Builder.onUpstream(std::move(*Parsed));
    (void)writeDirectory(*Builder.current(), {});
  }
}

void readSettings(const std::string &Input) { (void)parseBootSettings(Input); }

class MalformedInputTest : public testing::TestWithParam<InputRow> {};

// Guards against one malformed input that ends a whole process: readers report
// an error or accept the input, and neither throw nor touch foreign memory.
TEST_P(MalformedInputTest, IsReportedOrAccepted) {
  const InputRow &Row = GetParam();
  EXPECT_NO_THROW(Row.Read(Row.Sample));
  Damager Source;
  for (int I = 0; I < runCount(); ++I) {
    const std::string Input = Source.damage(Row.Sample);
    ASSERT_NO_THROW(Row.Read(Input)) << "run " << I;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Inputs, MalformedInputTest,
    testing::Values(
        InputRow{"packet", packetSample(), readPacket},
        InputRow{"steerMessage", steerSample(), readSteer},
        InputRow{"peerDirectory", directorySample(), readPeerDirectory},
        InputRow{"configuration", std::string(ConfigurationSample),
                 readConfiguration},
        InputRow{"entry", std::string(EntrySample), readEntry},
        InputRow{"settings", std::string(SettingsSample), readSettings}),
    [](const auto &Info) { return Info.param.Name; });

} // namespace
} // namespace mulberryhoist
