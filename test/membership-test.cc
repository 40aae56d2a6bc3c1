#include "mulberryhoist/membership.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <set>

#include "accepted-inputs.h"

namespace mulberryhoist {
namespace {

constexpr std::string_view Line =
    "b1,balancer,kl-sentral,live,127.3.0.1:70,127.3.0.1:71\n";

struct InvalidLine {
  std::string_view From;
  std::string_view To;
};

class InvalidVmListTest : public testing::TestWithParam<InvalidLine> {};

// Guards against a corrupt list that replaces a valid one.
TEST_P(InvalidVmListTest, IsRejected) {
  ASSERT_TRUE(parseVmList(Line, {}));
  std::string Text(Line);
  Text.replace(Text.find(GetParam().From), GetParam().From.size(),
               GetParam().To);
  const auto List = parseVmList(Text, {});
  ASSERT_FALSE(List);
  EXPECT_NE(List.error().Detail.find("VM list"), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(
    Lines, InvalidVmListTest,
    testing::Values(InvalidLine{"b1", ""}, InvalidLine{"b1", "B1"},
                    InvalidLine{"balancer", "router"},
                    InvalidLine{"kl-", "kl_"}, InvalidLine{"live", "gone"},
                    InvalidLine{"127.3.0.1:70", "x"},
                    InvalidLine{"0.1:71", "0.1:0"}, InvalidLine{",live", ""},
                    InvalidLine{"live,", "live,,"}, InvalidLine{":71\n", ":71"},
                    InvalidLine{":71\n", ":71\n\n"},
                    InvalidLine{":71\n",
                                ":71\nb1,agent,z,live,127.0.0.1:1,127.0."
                                "0.1:2\n"}));

/// Returns lines of VMs with different names, in any order of the names.
std::string anyLines() {
  std::string Text;
  const std::size_t Count = anyBelow(7);
  for (std::size_t I = 0; I < Count; ++I) {
    Text += fmt::format(
        "{}{},{},{},{},127.3.0.{}:70,127.3.0.{}:{}\n", anyBelow(100),
        "abcdefg"[I], *rc::gen::element("balancer", "agent"),
        *rc::gen::element("a-1", "b"), *rc::gen::element("live", "leaving"), I,
        I, anyBelow(65'535) + 1);
  }
  return Text;
}

/// Replaces up to eight bytes of a text by any others, or inserts them.
void damage(std::string &Text) {
  const auto At = anyBelow(Text.size() + 1);
  const auto Length = anyBelow(9);
  const auto Bytes = *rc::gen::container<std::string>(anyChar());
  Text.replace(At, Length, Bytes.substr(0, 8));
}

// Guards against a list that lacks a VM of its text, or that does not find one
// of its own VMs, whatever the text is (issue 23).
TEST(VmListFuzzTest, AnyBytesGiveAListOrAnError) {
  checkWithAcceptedInputs([] {
    std::string Text = anyLines();
    const bool IsDamaged = *rc::gen::arbitrary<bool>();
    if (IsDamaged) {
      damage(Text);
    }
    const auto List = parseVmList(Text, {1, 2});
    if (!List) {
      RC_ASSERT(IsDamaged || Text.empty());
      RC_ASSERT(!List.error().Detail.empty());
      return false;
    }
    RC_ASSERT(static_cast<std::ptrdiff_t>(List->Vms.size()) ==
              std::ranges::count(Text, '\n'));
    for (const Vm &Each : List->Vms) {
      RC_ASSERT(List->find(Each.Name) == &Each);
      const auto Again = parseVmList(formatVm(Each) + "\n", {});
      RC_ASSERT(Again.has_value());
      RC_ASSERT(formatVm(Again->Vms.at(0)) == formatVm(Each));
    }
    return true;
  });
}

/// Returns a list with `PerZone` balancers and as many agents in each zone.
VmList fleet(std::size_t PerZone) {
  std::string Text;
  unsigned Number = 0;
  for (const std::string_view Zone : {"a-1", "a-2", "a-3", "b-1", "c-1"}) {
    for (std::size_t I = 0; I < 2 * PerZone; ++I) {
      ++Number;
      Text += fmt::format("{}{},{},{},live,127.3.{}.{}:70,127.3.{}.{}:71\n",
                          I % 2 == 0 ? "b" : "u", Number,
                          I % 2 == 0 ? "balancer" : "agent", Zone, Number / 250,
                          Number % 250, Number / 250, Number % 250);
    }
  }
  return *parseVmList(Text, {});
}

// Guards against zones without readers, and against too many processes that
// call the configuration service.
TEST(MembershipTest, TwoLiveBalancersOfEachZoneAreReaders) {
  VmList List = fleet(6);
  // In the second round the readers of the first one are leaving.
  for (int Round = 0; Round < 2; ++Round) {
    std::map<std::string, std::size_t> Readers;
    VmList Next = List;
    for (std::size_t I = 0; I < List.Vms.size(); ++I) {
      if (isReader(List, List.Vms[I].Name)) {
        EXPECT_EQ(List.Vms[I].Role, VmRole::Balancer);
        ++Readers[List.Vms[I].AvailabilityZone];
        Next.Vms[I].State = VmState::Leaving;
      }
    }
    EXPECT_EQ(Readers.size(), 5U);
    for (const auto &[Zone, Count] : Readers) {
      EXPECT_EQ(Count, ReadersPerZone) << Zone;
    }
    List = Next;
  }
  EXPECT_TRUE(isReader(List, "not-listed"));
}

TEST(MembershipTest, ChoosesNeighboursInZoneOtherZonesAndOtherRegion) {
  const VmList List = fleet(6);
  const Vm *Own = List.find("b1");
  ASSERT_NE(Own, nullptr);
  const auto Chosen = chooseNeighbours(List, "b1", Own->AvailabilityZone);
  std::size_t SameZone = 0;
  std::size_t SameRegion = 0;
  for (const Endpoint Each : Chosen) {
    const auto Found =
        std::find_if(List.Vms.begin(), List.Vms.end(),
                     [Each](const Vm &One) { return One.Control == Each; });
    ASSERT_NE(Found, List.Vms.end());
    EXPECT_NE(Found->Name, "b1");
    SameZone += Found->AvailabilityZone == "a-1" ? 1U : 0U;
    SameRegion += Found->AvailabilityZone.starts_with("a-") ? 1U : 0U;
  }
  EXPECT_EQ(Chosen.size(), 7U);
  EXPECT_EQ(SameZone, 4U);
  EXPECT_EQ(SameRegion, 6U);
  EXPECT_EQ(std::set<Endpoint>(Chosen.begin(), Chosen.end()).size(), 7U);
  EXPECT_TRUE(chooseNeighbours({}, "b1", "a-1").empty());
}

// Guards against a fleet that is partitioned into groups that never exchange
// documents.
TEST(MembershipTest, NeighboursConnectTheFleet) {
  const VmList List = fleet(20);
  std::map<Endpoint, std::set<Endpoint>> Links;
  for (const Vm &Each : List.Vms) {
    for (const Endpoint Other :
         chooseNeighbours(List, Each.Name, Each.AvailabilityZone)) {
      Links[Each.Control].insert(Other);
      Links[Other].insert(Each.Control);
    }
  }
  std::set<Endpoint> Reached = {List.Vms.front().Control};
  std::vector<Endpoint> Frontier(Reached.begin(), Reached.end());
  while (!Frontier.empty()) {
    const Endpoint Each = Frontier.back();
    Frontier.pop_back();
    for (const Endpoint Other : Links[Each]) {
      if (Reached.insert(Other).second) {
        Frontier.push_back(Other);
      }
    }
  }
  EXPECT_EQ(Reached.size(), List.Vms.size());
}

} // namespace
} // namespace mulberryhoist
