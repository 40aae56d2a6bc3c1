#include "mulberryhoist/table.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <fmt/format.h>
#include <rapidcheck/gtest.h>

#include "accepted-inputs.h"

namespace mulberryhoist {
namespace {

constexpr std::string_view Header =
    "service,address,class,share,upstream,endpoint,zone,weight,slots,"
    "connections\n";

constexpr std::string_view Rows =
    "orders,127.1.0.1:80,0,10,u1,127.2.0.1:90,kl-sentral,100,4,2000\n"
    "orders,127.1.0.1:80,0,10,u2,127.2.0.2:90,ipoh-perak,50,4,2000\n"
    "prints,127.1.0.2:80,3,5,u1,127.2.0.1:90,kl-sentral,7,4,2000\n"
    "old,127.1.0.3:80,7,closed,u2,127.2.0.2:90,ipoh-perak,0,4,2000\n";

std::string validCsv() {
  return fmt::format("{}epoch,3\n{}end,4\n", Header, Rows);
}

std::string replaceFirst(std::string Text, std::string_view From,
                         std::string_view To) {
  const auto Position = Text.find(From);
  EXPECT_NE(Position, std::string::npos) << From;
  return Text.replace(Position, From.size(), To);
}

TEST(TableTest, IndexesServicesUpstreamsAndRows) {
  const auto Created = Table::fromCsv(validCsv(), 9);
  ASSERT_TRUE(Created) << Created.error().Detail;
  EXPECT_EQ(Created->version(), (TableVersion{3, 9}));
  ASSERT_EQ(Created->services().size(), 3U);
  const Service *Orders = Created->findService(*parseEndpoint("127.1.0.1:80"));
  ASSERT_NE(Orders, nullptr);
  EXPECT_EQ(Orders->Id, serviceId("orders"));
  EXPECT_EQ(Created->findService(serviceId("old"))->Closed, true);
  EXPECT_EQ(Created->assignments(serviceId("orders")).size(), 2U);
  EXPECT_EQ(Created->assignments(upstreamId("u1")).size(), 2U);
  EXPECT_EQ(Created->findUpstream(*parseEndpoint("127.2.0.2:90"))->Name, "u2");
  EXPECT_EQ(Created->findService(*parseEndpoint("127.9.9.9:80")), nullptr);
}

// Guards against a digest that depends on line endings, quotation marks or
// spaces of the file.
TEST(TableTest, DigestDependsOnContentOnly) {
  const auto Plain = Table::fromCsv(validCsv(), 9);
  std::string Windows;
  for (const char Character : validCsv()) {
    Windows += Character == '\n' ? "\r\n" : std::string(1, Character);
  }
  const auto Other =
      Table::fromCsv(replaceFirst(Windows, "orders,", "\"orders\" ,"), 9);
  ASSERT_TRUE(Other) << Other.error().Detail;
  EXPECT_EQ(Plain->digest(), Other->digest());
  EXPECT_NE(Plain->digest(), Table::fromCsv(validCsv(), 10)->digest());
}

// Guards against lost flows after the address or the rows of a service change:
// the locate group must include recently removed rows.
TEST(TableTest, RemovedRowsStayInTheLocateGroup) {
  const auto Published = parsePublishedTable(validCsv());
  const std::vector<RowText> Removed = {
      {"gone/u9", "gone,127.1.0.1:80,0,1,u9,127.2.0.9:90,kl-sentral,1,4,2000"}};
  const auto Created = Table::create({3, 9}, Published->Rows, Removed);
  ASSERT_TRUE(Created) << Created.error().Detail;
  EXPECT_EQ(Created->locateGroup(*parseEndpoint("127.1.0.1:80")).size(), 3U);
  EXPECT_NE(Created->findUpstream(upstreamId("u9")), nullptr);
  EXPECT_EQ(Created->upstreams().size(), 2U);
  EXPECT_EQ(Created->findService(serviceId("gone")), nullptr);
  EXPECT_EQ(Created->digest(), Table::fromCsv(validCsv(), 9)->digest());
}

struct BadCell {
  std::string_view From;
  std::string_view To;
  /// Texts that the error must contain: line, column and value.
  std::vector<std::string_view> ExpectedTexts;
};

class BadTableTest : public testing::TestWithParam<BadCell> {};

// Guards against a table with an invalid cell that comes into force, and
// against an error that does not show the operator its place.
TEST_P(BadTableTest, ErrorNamesLineColumnAndValue) {
  const auto Created = Table::fromCsv(
      replaceFirst(validCsv(), GetParam().From, GetParam().To), 1);
  ASSERT_FALSE(Created);
  for (const std::string_view Expected : GetParam().ExpectedTexts) {
    EXPECT_NE(Created.error().Detail.find(Expected), std::string::npos)
        << Created.error().Detail << " lacks " << Expected;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Cells, BadTableTest,
    testing::Values(
        BadCell{"class,", "klass,", {"line 1", "'klass'", "not a known"}},
        BadCell{"class,share", "class,class", {"line 1", "'class'", "twice"}},
        BadCell{"class,", "", {"line 1", "'class'", "missing"}},
        BadCell{"orders,", "Orders,", {"line 3", "service", "'Orders'"}},
        BadCell{"127.1.0.1:80", "127.1.0:80", {"line 3", "address", "127.1.0"}},
        BadCell{"127.1.0.1:80", "127.1.0.1:0", {"line 3", "address", ":0'"}},
        BadCell{"80,0,10", "80,8,10", {"line 3", "class", "'8'"}},
        BadCell{"80,0,10", "80,0,0", {"line 3", "share", "'0'"}},
        BadCell{"80,0,10", "80,0,1001", {"line 3", "share", "'1001'"}},
        BadCell{"u1,", "u_1,", {"line 3", "upstream", "'u_1'"}},
        BadCell{"kl-sentral", "KL", {"line 3", "zone", "'KL'"}},
        BadCell{"100,4", "1001,4", {"line 3", "weight", "'1001'"}},
        BadCell{"100,4", "-1,4", {"line 3", "weight", "'-1'"}},
        BadCell{"100,4", "100,0", {"line 3", "slots", "'0'"}},
        BadCell{"100,4", "100,1025", {"line 3", "slots", "'1025'"}},
        BadCell{"4,2000", "4,1000001", {"line 3", "connections", "1000001"}},
        BadCell{"4,2000", "4,", {"line 3", "connections", "''"}},
        BadCell{"4,2000\n", "4\n", {"line 3", "column", "u1", "10"}},
        BadCell{"4,2000\n", "4,2000,\n", {"line 3", "column", "u1", "10"}},
        BadCell{"orders,", "\"orders,", {"line", "column", "orders"}},
        BadCell{"orders,127.1.0.1:80,0,10,u2",
                "orders,127.1.0.1:81,0,10,u2",
                {"line 4", "address", "127.1.0.1:81", "differs"}},
        BadCell{"0,10,u2", "1,10,u2", {"line 4", "class", "'1'", "differs"}},
        BadCell{"0,10,u2", "0,11,u2", {"line 4", "share", "'11'", "differs"}},
        BadCell{"0,10,u2", "0,closed,u2", {"line 4", "weight", "'50'"}},
        BadCell{"127.2.0.1:90,kl-sentral,7",
                "127.2.0.7:90,kl-sentral,7",
                {"line 5", "endpoint", "127.2.0.7:90", "differs"}},
        BadCell{"kl-sentral,7", "kl-x,7", {"line 5", "zone", "kl-x"}},
        BadCell{"7,4,2000", "7,5,2000", {"line 5", "slots", "'5'"}},
        BadCell{"7,4,2000", "7,4,2001", {"line 5", "connections", "'2001'"}},
        BadCell{"127.1.0.2:80",
                "127.1.0.1:80",
                {"line 5", "address", "127.1.0.1:80", "service orders"}},
        BadCell{"u2,127.2.0.2:90",
                "u2,127.2.0.1:90",
                {"line 4", "endpoint", "127.2.0.1:90", "upstream u1"}},
        BadCell{"u2,127.2.0.2:90,ipoh-perak,50",
                "u1,127.2.0.1:90,kl-sentral,50",
                {"line 4", "upstream", "'u1'", "duplicate"}},
        BadCell{
            "sentral,7", "sentral,0", {"line 5", "weight", "'0'", "closed"}},
        BadCell{"perak,0", "perak,1", {"line 6", "weight", "'1'"}},
        BadCell{"epoch,3", "epoch,x", {"line 2", "address", "'x'"}},
        BadCell{"epoch,3", "epoch,4294967296", {"line 2", "4294967296"}},
        BadCell{"end,4", "end,3", {"line 7", "address", "'3'"}},
        BadCell{"end,4\n", "end,4\n\n", {"line 8"}},
        BadCell{"end,4\n", "end,4\nend,4\n", {"line 8", "'4'"}},
        BadCell{"end,4\n", "", {"line 6", "service", "'old'"}}));

// Guards against an empty table, which would drain every upstream.
TEST(TableTest, RejectsATableWithoutServices) {
  EXPECT_FALSE(Table::fromCsv(fmt::format("{}end,0\n", Header), 1));
  EXPECT_FALSE(Table::create({1, 1}, {}));
}

// Guards against rows of another process whose value does not match their key.
TEST(TableTest, RejectsRowsThatDoNotBelongToTheirKey) {
  auto Published = *parsePublishedTable(validCsv());
  Published.Rows[0].Key = "old/u3";
  EXPECT_FALSE(Table::create({1, 1}, Published.Rows));
  Published = *parsePublishedTable(validCsv());
  Published.Rows[0].Value += "\n" + Published.Rows[1].Value;
  EXPECT_FALSE(Table::create({1, 1}, Published.Rows));
}

// Guards against a partly written value: no proper prefix may be accepted.
TEST(TableTest, RejectsEveryTruncatedValue) {
  const std::string Complete = validCsv();
  for (std::size_t Length = 0; Length < Complete.size(); ++Length) {
    ASSERT_FALSE(parsePublishedTable(Complete.substr(0, Length))) << Length;
  }
}

/// Checks that parsing either fails with a detail or gives rows from which a
/// consistent table can be created; returns whether it gave rows.
bool checkParseResult(const std::string &Csv) {
  const auto Published = parsePublishedTable(Csv);
  if (!Published) {
    RC_ASSERT(!Published.error().Detail.empty());
    return false;
  }
  const auto Created = Table::create({Published->Epoch, 1}, Published->Rows);
  RC_ASSERT(Created.has_value());
  RC_ASSERT(!Created->services().empty());
  for (const Service &Current : Created->services()) {
    RC_ASSERT(!Created->assignments(Current.Id).empty());
    RC_ASSERT(Created->findService(Current.Address) != nullptr);
  }
  return true;
}

/// Returns a cell: a valid one in most cases, else any bytes.
std::string anyCell(const std::string &Valid) {
  return anyBelow(60) != 0 ? Valid
                           : *rc::gen::container<std::string>(anyChar());
}

/// Returns a row whose cells are all valid in most cases.
std::string anyRow(std::size_t Number) {
  std::string Row = anyCell("s");
  for (const std::string &Valid :
       {std::string("127.1.0.1:80"), std::string("1"), std::string("1"),
        fmt::format("u{}", Number), fmt::format("127.2.0.1:{}", Number + 1),
        std::string("z"), std::to_string(anyBelow(1001)), std::string("4"),
        std::string("20")}) {
    Row += "," + anyCell(Valid);
  }
  return Row + "\n";
}

RC_GTEST_PROP(TableFuzzTest, RandomBytesNeverCrash, ()) {
  (void)checkParseResult(*rc::gen::container<std::string>(anyChar()));
  (void)checkParseResult(std::string(Header) +
                         *rc::gen::container<std::string>(rc::gen::elementOf(
                             std::string("ae0129.:,-\n\r\"\t end"))));
}

// Guards against a table with random cells that is accepted and inconsistent.
TEST(TableFuzzTest, RandomCellsNeverCrash) {
  checkWithAcceptedInputs([] {
    std::string Csv(Header);
    const auto Count = 1 + anyBelow(3);
    for (std::size_t I = 0; I < Count; ++I) {
      Csv += anyRow(I);
    }
    return checkParseResult(Csv + fmt::format("end,{}\n", Count));
  });
}

/// Changes one weight, byte or part of a table.
void mutate(std::string &Csv) {
  const auto Position = anyBelow(Csv.size());
  const auto Length = anyBelow(40);
  switch (anyBelow(12)) {
  case 0:
    Csv[Position] = *anyChar();
    break;
  case 1:
    Csv.erase(Position, Length);
    break;
  case 2:
    Csv.insert(Position, Csv.substr(Position, Length));
    break;
  case 3:
    Csv[Position] = *rc::gen::elementOf(std::string(",\n\r\"0189a-"));
    break;
  default:
    // Other weights leave many tables valid.
    const std::size_t Next = Csv.find(",4,2000", Position);
    if (Next != std::string::npos && Next > 0) {
      Csv[Next - 1] = *rc::gen::elementOf(std::string("0123456789"));
    }
    break;
  }
}

TEST(TableFuzzTest, MutatedTablesNeverCrash) {
  checkWithAcceptedInputs([] {
    std::string Csv = validCsv();
    const std::size_t Count = 1 + anyBelow(3);
    for (std::size_t I = 0; I < Count && !Csv.empty(); ++I) {
      mutate(Csv);
    }
    return checkParseResult(Csv);
  });
}

RC_GTEST_PROP(TableFuzzTest, GeneratedTablesAreRejectedAtEveryCut, ()) {
  const auto Weights = *rc::gen::nonEmpty(
      rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 1001)));
  std::string Csv(Header);
  for (std::size_t I = 0; I < Weights.size(); ++I) {
    Csv += fmt::format("s,127.1.0.1:80,1,1,u{},127.2.0.1:{},z,{},4,20\n", I,
                       I + 1, Weights[I]);
  }
  Csv += fmt::format("end,{}\n", Weights.size());
  RC_ASSERT(parsePublishedTable(Csv).has_value());
  const auto Cut = *rc::gen::inRange<std::size_t>(0, Csv.size());
  RC_ASSERT(!parsePublishedTable(Csv.substr(0, Cut)).has_value());
}

} // namespace
} // namespace mulberryhoist
