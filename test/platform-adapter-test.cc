#include <gtest/gtest.h>

#include <algorithm>
#include <fmt/format.h>
#include <fstream>

#include "boot-settings.h"
#include "packet-codec.h"
#include "program.h"
#include "store-feed.h"
#include "store-model.h"

namespace mulberryhoist::platform {
namespace {

using std::chrono::milliseconds;

/// The platform's example of an opening.
std::vector<std::uint8_t> sampleOpening() {
  return {0x11, 0x22, 0x33, 0x44, 0x00, 0x00, 0x00, 0x00, 0x10, 0x00, 0x00,
          0x00, 0xa1, 0xb2, 0xc3, 0xd5, 0xc6, 0x12, 0x00, 0x01, 0x01, 0xbb,
          0x9c, 0x41, 0x64, 0x40, 0x00, 0x07, 0x00, 0x00, 0x00, 0x00};
}

const FlowKey SampleFlow = {{0x64400007, 40001}, {0xC6120001, 443}};

TEST(PacketCodecTest, ParsesSampleOpening) {
  const auto Bytes = sampleOpening();
  const auto Packet = PlatformFormat::parse(Bytes);
  ASSERT_TRUE(Packet.has_value());
  EXPECT_TRUE(Packet->View.isOpening());
  EXPECT_EQ(Packet->View.callerFlow(), SampleFlow);
  EXPECT_EQ(Packet->View.Sequence, 0x11223344U);
  EXPECT_EQ(Packet->Waited, Duration::zero());
  EXPECT_FALSE(Packet->Returned);
}

TEST(PacketCodecTest, RefusalMatchesSampleReset) {
  const std::vector<std::uint8_t> Expected = {
      0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x04, 0x00, 0x00,
      0x00, 0x00, 0x00, 0x00, 0x00, 0x64, 0x40, 0x00, 0x07, 0x9c, 0x41,
      0x01, 0xbb, 0xc6, 0x12, 0x00, 0x01, 0x00, 0x00, 0x00, 0x00};
  EXPECT_EQ(PlatformFormat::makeReset(SampleFlow, 0), Expected);
}

// Guards against a reset that the caller of an open flow ignores.
TEST(PacketCodecTest, ResetHasTheGivenSequenceNumber) {
  const auto Bytes = PlatformFormat::makeReset(SampleFlow, 0xA1B2C3D4);
  const auto Packet = PlatformFormat::parse(Bytes);
  ASSERT_TRUE(Packet.has_value());
  EXPECT_EQ(Packet->View.Sequence, 0xA1B2C3D4U);
  EXPECT_TRUE(Packet->View.Flags.Rst);
  EXPECT_EQ(Packet->View.upstreamFlow(), SampleFlow);
}

// Guards against changes to what the sender wrote: only the tag and the
// returned flag may differ.
TEST(PacketCodecTest, RestoreClearsOnlyTagAndReturnedFlag) {
  auto Bytes = sampleOpening();
  PlatformFormat::prepare(Bytes, 0xDEADBEEF);
  EXPECT_EQ(PlatformFormat::parse(Bytes)->Tag, 0xDEADBEEFU);
  constexpr std::size_t FlagsOffset = 8;
  Bytes[FlagsOffset] |= 64U;
  EXPECT_TRUE(PlatformFormat::parse(Bytes)->Returned);
  PlatformFormat::restore(Bytes);
  EXPECT_EQ(Bytes, sampleOpening());
}

struct RetransmissionRow {
  std::uint8_t EarlierTransmissions;
  milliseconds Waited;
};

class RetransmissionTest : public testing::TestWithParam<RetransmissionRow> {};

TEST_P(RetransmissionTest, GivesWaitTimeOfCaller) {
  auto Bytes = sampleOpening();
  constexpr std::size_t EarlierTransmissionsOffset = 7;
  Bytes[EarlierTransmissionsOffset] = GetParam().EarlierTransmissions;
  EXPECT_EQ(PlatformFormat::parse(Bytes)->Waited, GetParam().Waited);
}

INSTANTIATE_TEST_SUITE_P(
    Counts, RetransmissionTest,
    testing::Values(RetransmissionRow{0, milliseconds(0)},
                    RetransmissionRow{1, milliseconds(200)},
                    RetransmissionRow{2, milliseconds(600)},
                    RetransmissionRow{9, milliseconds(600)}));

// Guards against a crash on packets with wrong lengths.
TEST(PacketCodecTest, RejectsWrongLengths) {
  auto Bytes = sampleOpening();
  for (std::size_t Size = 0; Size < Bytes.size(); ++Size) {
    EXPECT_EQ(
        PlatformFormat::parse(PacketBytes(Bytes).first(Size)).error().Kind,
        ErrorKind::MalformedPacket);
  }
  constexpr std::size_t LengthOffset = 11;
  Bytes[LengthOffset] = 1;
  EXPECT_FALSE(PlatformFormat::parse(Bytes).has_value());
  Bytes.resize(HeaderBytes + MaxPayloadBytes + 1);
  EXPECT_FALSE(PlatformFormat::parse(Bytes).has_value());
}

constexpr Instant Now = Instant(std::chrono::hours(1));

constexpr std::string_view GoodEntry =
    R"({"backend":"orders","addr":"10.128.0.9:8080","zone":"z","version":"v1",
        "slots":4,"state":"ready","cold_left_ms":0,"seq":4,"born":1})";

TEST(StoreModelTest, ReadsAnUpstream) {
  const auto Listed = parseUpstream("i-1", GoodEntry, Now);
  ASSERT_TRUE(Listed.has_value());
  EXPECT_EQ(Listed->Service, serviceId("orders"));
  EXPECT_EQ(Listed->Address, 0x0A800009U);
  EXPECT_EQ(Listed->Slots, 4U);
  EXPECT_EQ(Listed->State, UpstreamState::Ready);
  EXPECT_EQ(Listed->ColdUntil, Instant());
}

// Guards against a cold upstream that gets the openings of a warm one.
TEST(StoreModelTest, ReadsForHowLongAnUpstreamStaysCold) {
  std::string Entry(GoodEntry);
  Entry.replace(Entry.find(R"("cold_left_ms":0)"),
                std::size(R"("cold_left_ms":0)") - 1, R"("cold_left_ms":1800)");
  EXPECT_EQ(parseUpstream("i-1", Entry, Now)->ColdUntil,
            Now + milliseconds(1800));
}

// Entries of older versions of the platform have no start time.
TEST(StoreModelTest, ReadsAnUpstreamWithoutStartTime) {
  std::string Entry(GoodEntry);
  Entry.replace(Entry.find(R"(,"born":1)"), std::size(R"(,"born":1)") - 1, "");
  const auto Listed = parseUpstream("i-1", Entry, Now);
  ASSERT_TRUE(Listed.has_value());
  EXPECT_EQ(Listed->StartedAt, milliseconds(0));
}

class BadEntryTest : public testing::TestWithParam<std::string_view> {};

// Guards against entries of other writers that are accepted as upstreams.
TEST_P(BadEntryTest, IsRejected) {
  const auto Listed = parseUpstream("i-1", GetParam(), Now);
  ASSERT_FALSE(Listed.has_value());
  EXPECT_EQ(Listed.error().Kind, ErrorKind::InvalidTable);
}

INSTANTIATE_TEST_SUITE_P(Entries, BadEntryTest,
                         testing::Values("", "\xff\xfe", "[]", "7", "{}"));

struct BadFieldRow {
  std::string_view Field;
  /// The field with an invalid value; the field is missing if empty.
  std::string_view Replacement = "";
};

class BadFieldTest : public testing::TestWithParam<BadFieldRow> {};

// Guards against an incomplete entry of another writer that counts as that of
// an upstream (review case 4).
TEST_P(BadFieldTest, EntryIsRejectedAndTheErrorNamesTheField) {
  const auto [Field, Replacement] = GetParam();
  std::string Entry(GoodEntry);
  const std::size_t At = Entry.find(Field);
  ASSERT_NE(At, std::string::npos);
  const std::size_t After = Entry.find_first_of(",}", At);
  if (Replacement.empty()) {
    // No field of this name is left.
    Entry[At + 1] = '_';
  } else {
    Entry.replace(At, After - At, Replacement);
  }
  const auto Listed = parseUpstream("i-1", Entry, Now);
  ASSERT_FALSE(Listed.has_value()) << Entry;
  const std::string Name(Field.substr(1, Field.find('"', 1) - 1));
  EXPECT_TRUE(Listed.error().Detail.ends_with(Name)) << Listed.error().Detail;
}

INSTANTIATE_TEST_SUITE_P(
    Fields, BadFieldTest,
    testing::Values(BadFieldRow{R"("backend":)"}, BadFieldRow{R"("addr":)"},
                    BadFieldRow{R"("zone":)"}, BadFieldRow{R"("version":)"},
                    BadFieldRow{R"("slots":)"}, BadFieldRow{R"("state":)"},
                    BadFieldRow{R"("cold_left_ms":)"}, BadFieldRow{R"("seq":)"},
                    BadFieldRow{R"("backend":)", R"("backend":7)"},
                    BadFieldRow{R"("addr":)", R"("addr":"10.0.0.1")"},
                    BadFieldRow{R"("zone":)", R"("zone":null)"},
                    BadFieldRow{R"("version":)", R"("version":1)"},
                    BadFieldRow{R"("slots":)", R"("slots":"4")"},
                    BadFieldRow{R"("slots":)", R"("slots":0)"},
                    BadFieldRow{R"("slots":)", R"("slots":-4)"},
                    BadFieldRow{R"("state":)", R"("state":"odd")"},
                    BadFieldRow{R"("cold_left_ms":)", R"("cold_left_ms":"0")"},
                    BadFieldRow{R"("cold_left_ms":)", R"("cold_left_ms":-1)"},
                    BadFieldRow{R"("seq":)", R"("seq":[4])"},
                    BadFieldRow{R"("born":)", R"("born":"1")"},
                    BadFieldRow{R"("born":)", R"("born":1.5)"}));

TEST(StoreModelTest, SkipsInvalidRoutes) {
  const auto Read = parseRoutes(
      R"({"version":7,"routes":[
        {"name":"a","host":"198.18.0.1","prefix":"/8080/","backend":"orders",
         "goal_ms":200,"timeout_ms":1200,"priority":1},
        {"name":"b","host":"nowhere","prefix":"/1/","backend":"orders"},
        {"name":"c","host":"198.18.0.1","prefix":"8443","backend":"orders"},
        {"name":"d","host":"198.18.0.1","prefix":"/8443/"},
        {"name":"e","host":"198.18.0.1","prefix":"/443/","split":[
          {"backend":"x","weight":90},{"backend":"y","weight":0},
          {"backend":"z","weight":0}]},
        17],"backends":[{"name":"orders","cold_per_s":20.5},
          {"name":"y","cold_per_s":0.0},{"name":7,"cold_per_s":1},8]})");
  ASSERT_TRUE(Read.has_value());
  EXPECT_EQ(Read->Version, 7U);
  ASSERT_EQ(Read->Routes.size(), 2U);
  EXPECT_EQ(Read->Routes[0].Address, (Endpoint{0xC6120001, 8080}));
  EXPECT_EQ(Read->Routes[0].Goal, milliseconds(200));
  EXPECT_EQ(Read->Routes[0].Timeout, milliseconds(1200));
  EXPECT_EQ(Read->Routes[1].Targets.size(), 1U);
  // Upstreams of a service without weight may still hold flows.
  EXPECT_EQ(Read->Services, (std::vector{serviceId("x"), serviceId("y"),
                                         serviceId("z"), serviceId("orders")}));
  // A rate of 0 is none.
  ASSERT_EQ(Read->ColdRates.size(), 1U);
  EXPECT_EQ(Read->ColdRates.at(serviceId("orders")), 20.5);
}

class BadConfigurationTest : public testing::TestWithParam<std::string_view> {};

TEST_P(BadConfigurationTest, IsRejected) {
  EXPECT_EQ(parseRoutes(GetParam()).error().Kind, ErrorKind::InvalidTable);
}

INSTANTIATE_TEST_SUITE_P(Values, BadConfigurationTest,
                         testing::Values("", "{", "[]", R"({"version":1})",
                                         R"({"version":-1,"routes":[]})",
                                         R"({"version":"1","routes":[]})",
                                         R"({"version":1,"routes":{}})"));

constexpr std::string_view GoodSettings = R"(
node = "side-1"
class = "side"
new_field = { a = 1 }
ip = "10.1.0.12"
zone = "z"
port_range = [7720,7735]
seeds = ["10.1.0.10:8166","10.2.0.40:8166"]
app = "10.1.0.12:8165"
backend = "orders"
[listen]
udp_addr = "10.1.0.12:8172"
outbound = "10.1.0.12:8162"
ready = "10.1.0.12:8167"
[bounds]
stable_ms = 5000
cold_excess = 1.5
cold_slack = 5
[limits]
link_mbps = 12.0
[platform]
addr = "10.200.1.7:8169"
)";

TEST(BootSettingsTest, ReadsTheSettingsAndIgnoresUnknownFields) {
  const auto Read = parseBootSettings(GoodSettings);
  ASSERT_TRUE(Read.has_value()) << Read.error().Detail;
  EXPECT_EQ(Read->Vm, "side-1");
  EXPECT_EQ(Read->PeerPort, 7720);
  EXPECT_EQ(Read->Seeds.size(), 2U);
  EXPECT_EQ(formatEndpoint(*Read->Upstream), "10.1.0.12:8165");
  EXPECT_EQ(formatEndpoint(*Read->FromUpstream), "10.1.0.12:8162");
  EXPECT_FALSE(Read->Control.has_value());
  EXPECT_EQ(Read->StableTime, milliseconds(5000));
  EXPECT_EQ(Read->LinkRate, 1'500'000U);
  EXPECT_EQ(Read->ColdExcess, 1.5);
  EXPECT_EQ(Read->ColdSlack, 5);
}

// Guards against a budget for a link whose rate is absent or nonsense.
TEST(BootSettingsTest, LinkRateIsUnknownUnlessPositive) {
  for (const std::string_view Value : {"0", "-1.0", "1e300", "nan", "\"x\""}) {
    std::string Text(GoodSettings);
    Text.replace(Text.find("12.0"), 4, Value);
    const auto Read = parseBootSettings(Text);
    ASSERT_TRUE(Read.has_value()) << Read.error().Detail;
    EXPECT_EQ(Read->LinkRate, 0U) << Value;
  }
}

struct AddressReuseRow {
  std::string_view Value;
  milliseconds Expected;
};

class AddressReuseTest : public testing::TestWithParam<AddressReuseRow> {};

// Guards against an agent that trusts its settings longer than the address of
// an upstream that has ended stays unused.
TEST_P(AddressReuseTest, IsReadFromTheBounds) {
  std::string Text(GoodSettings);
  Text.replace(Text.find("cold_slack"), 0,
               fmt::format("reuse_s = {}\n", GetParam().Value));
  const auto Read = parseBootSettings(Text);
  ASSERT_TRUE(Read.has_value()) << Read.error().Detail;
  EXPECT_EQ(Read->AddressReuse, GetParam().Expected);
}

INSTANTIATE_TEST_SUITE_P(
    Rows, AddressReuseTest,
    testing::Values(AddressReuseRow{"3", milliseconds(3000)},
                    AddressReuseRow{"0.5", milliseconds(500)},
                    AddressReuseRow{"0", milliseconds(0)},
                    AddressReuseRow{"-1", milliseconds(2000)},
                    AddressReuseRow{"nan", milliseconds(2000)},
                    AddressReuseRow{"1e300", std::chrono::hours(1)},
                    AddressReuseRow{"\"x\"", milliseconds(2000)}));

struct BadSettingsRow {
  std::string_view Line;
  std::string_view Replacement;
  std::string_view Field;
};

class BadSettingsTest : public testing::TestWithParam<BadSettingsRow> {};

// Guards against an error that does not name the invalid field.
TEST_P(BadSettingsTest, ErrorNamesTheField) {
  std::string Text(GoodSettings);
  const std::size_t At = Text.find(GetParam().Line);
  ASSERT_NE(At, std::string::npos);
  Text.replace(At, GetParam().Line.size(), GetParam().Replacement);
  const auto Read = parseBootSettings(Text);
  ASSERT_FALSE(Read.has_value());
  EXPECT_EQ(Read.error().Kind, ErrorKind::InvalidSetting);
  EXPECT_NE(Read.error().Detail.find(GetParam().Field), std::string::npos)
      << Read.error().Detail;
}

INSTANTIATE_TEST_SUITE_P(
    Rows, BadSettingsTest,
    testing::Values(BadSettingsRow{"node = \"side-1\"", "", "node"},
                    BadSettingsRow{"zone = \"z\"", "zone = 7", "zone"},
                    BadSettingsRow{"10.1.0.12:8172", "10.1.0.12",
                                   "listen.udp_addr"},
                    BadSettingsRow{"10.1.0.12:8162", "x", "listen.outbound"},
                    BadSettingsRow{"10.200.1.7:8169", "", "platform.addr"},
                    BadSettingsRow{"[7720,7735]", "[0]", "port_range"},
                    BadSettingsRow{"10.2.0.40:8166", "a:b", "seeds"},
                    BadSettingsRow{"[listen]", "[listen", "syntax"}));

/// A field of the settings file, and who reads it at its start only.
struct FieldRow {
  std::string Name;
  std::string Line;
  std::string Replacement;
  bool NeedsBalancerRestart = false;
  bool NeedsAgentRestart = false;
};

class FieldTest : public testing::TestWithParam<FieldRow> {
protected:
  /// Returns the lines of the page on settings that name the field.
  static std::string documentation(const std::string &Field) {
    std::ifstream Page(MULBERRY_SOURCE_DIR "/docs/settings.md");
    std::string Found;
    for (std::string Line; std::getline(Page, Line);) {
      if (Line.find("`" + Field + "`") != std::string::npos) {
        Found += Line;
      }
    }
    return Found;
  }
};

// Guards against a setting that changes and is neither taken over nor said to
// need a restart (review case 7).
TEST_P(FieldTest, ChangeIsTakenOverOrNeedsARestart) {
  const FieldRow &Row = GetParam();
  std::string Text(GoodSettings);
  const std::size_t At = Text.find(Row.Line);
  ASSERT_NE(At, std::string::npos);
  Text.replace(At, Row.Line.size(), Row.Replacement);
  const auto Before = parseBootSettings(GoodSettings);
  const auto After = parseBootSettings(Text);
  ASSERT_TRUE(Before.has_value());
  ASSERT_TRUE(After.has_value()) << After.error().Detail;
  for (const BootField &Each : bootFields()) {
    EXPECT_EQ(Each.Differs(*Before, *After), Each.Name == Row.Name)
        << Each.Name;
  }
  const auto Expected = [&Row](bool NeedsRestart) {
    return NeedsRestart ? std::vector<std::string_view>{Row.Name}
                        : std::vector<std::string_view>();
  };
  EXPECT_EQ(fieldsForRestart(*Before, *After, BalancerRestartFields),
            Expected(Row.NeedsBalancerRestart));
  EXPECT_EQ(fieldsForRestart(*Before, *After, AgentRestartFields),
            Expected(Row.NeedsAgentRestart));
  const std::string Page = documentation(Row.Name);
  EXPECT_FALSE(Page.empty());
  EXPECT_EQ(Page.find("at the start") != std::string::npos,
            Row.NeedsBalancerRestart || Row.NeedsAgentRestart);
}

const std::vector<FieldRow> FieldRows = {
    {"node", "side-1", "side-2", true, true},
    {"zone", "zone = \"z\"", "zone = \"y\""},
    {"ip", "ip = \"10.1.0.12\"", "ip = \"10.1.0.13\"", true, true},
    {"port_range", "[7720", "[7721", true, true},
    {"seeds", "10.1.0.10:8166", "10.1.0.11:8166"},
    {"app", "10.1.0.12:8165", "10.1.0.12:8164"},
    {"backend", "orders", "templates"},
    {"listen.udp_addr", "10.1.0.12:8172", "10.1.0.12:8173", true, true},
    {"listen.outbound", "10.1.0.12:8162", "10.1.0.12:8163", false, true},
    {"listen.ready", "10.1.0.12:8167", "10.1.0.12:8168", true, true},
    {"listen.control", "[bounds]", "control = \"10.1.0.12:8166\"\n[bounds]",
     true, false},
    {"bounds.stable_ms", "5000", "4000"},
    {"bounds.reuse_s", "stable_ms", "reuse_s = 3\nstable_ms", false, true},
    {"bounds.cold_excess", "1.5", "2.5", true, false},
    {"bounds.cold_slack", "cold_slack = 5", "cold_slack = 6", true, false},
    {"limits.link_mbps", "12.0", "13.0", true, false},
    {"platform.addr", "10.200.1.7", "10.200.1.8"}};

INSTANTIATE_TEST_SUITE_P(Rows, FieldTest, testing::ValuesIn(FieldRows),
                         [](const auto &Info) {
                           std::string Name = Info.param.Name;
                           std::ranges::replace(Name, '.', '_');
                           return Name;
                         });

// Guards against a field that no row covers.
TEST(BootSettingsTest, EachFieldHasARow) {
  EXPECT_EQ(bootFields().size(), FieldRows.size());
}

struct WatchRow {
  milliseconds StableTime;
};

class WatchWaitTest : public testing::TestWithParam<WatchRow> {};

// Guards against a watch that missed a change during a fault of the store and
// still waits when the change must be in force.
TEST_P(WatchWaitTest, WatchEndsWithinStableTime) {
  BootSettings Settings;
  Settings.StableTime = GetParam().StableTime;
  EXPECT_LT(watchWait(Settings) + StoreTimeout, Settings.StableTime);
  EXPECT_GE(watchWait(Settings), milliseconds(500));
}

INSTANTIATE_TEST_SUITE_P(Rows, WatchWaitTest,
                         testing::Values(WatchRow{milliseconds(4000)},
                                         WatchRow{milliseconds(5000)},
                                         WatchRow{milliseconds(2500)}));

} // namespace
} // namespace mulberryhoist::platform
