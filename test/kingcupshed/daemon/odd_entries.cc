// Entries in the list of targets that another writer has added, under names and
// with values of its own. They name no target; all others hold.
#include <array>
#include <string>
#include <string_view>

#include <boost/test/unit_test.hpp>

#include "support/store_rig.h"

namespace kingcupshed::daemon {

namespace {

using support::StoreRig;
using Vm = support::StoreRig::Vm;

/// Time from a VM's start, or from a change, until the VM follows the store:
/// the bound on the use of a confirmed version of the smallest deployment.
constexpr Duration kBound = std::chrono::milliseconds(2500);

/// Names that mean something else in a URL, a header field or a message.
const std::array<std::string, 8> kOddNames{
    "&x", "#x", "+x", "%41x", " x", "?after=x", "x\r\nX: y", "\xff"};

/// A listing of one entry a page, with an odd entry among those of targets.
struct OddEntryRig : StoreRig {
  explicit OddEntryRig(const std::string& odd) {
    ControlStandin(R"({"page_items": 1})");
    PutHeartbeat("0-1", "ready", 1, 1);
    // All but its name is that of a target.
    PutHeartbeat(odd, "ready", 1, 1);
  }
};

bool HasAllTargets(const Vm& vm) {
  return !vm.versions.empty() && vm.HasActiveTarget("0-1") &&
         vm.HasActiveTarget("a-1") && vm.HasActiveTarget("a-2");
}

}  // namespace

BOOST_AUTO_TEST_SUITE(OddEntriesTest)

// The name at the end of a page used to go into the request for the next page
// as it was: targets after it were never found, or no list was read at all.
BOOST_AUTO_TEST_CASE(OddNameAtTheEndOfAPageHidesNoTarget) {
  for (const std::string& odd : kOddNames) {
    BOOST_TEST_CONTEXT(odd) {
      OddEntryRig rig(odd);
      const Vm& vm = rig.AddVm();
      BOOST_TEST(rig.RunWithin(kBound, [&] { return HasAllTargets(vm); }));
      BOOST_TEST(vm.follower.targets().targets().count(odd) == 0U);
    }
  }
}

BOOST_AUTO_TEST_CASE(TargetsHoldBesideAnOddNameAfterARestartOfAll) {
  for (const std::string& odd : kOddNames) {
    BOOST_TEST_CONTEXT(odd) {
      StoreRig rig;
      const Vm& first = rig.AddVm();
      const Vm& second = rig.AddVm();
      rig.PutHeartbeat("0-1", "ready", 1, 1);
      BOOST_TEST(rig.RunWithin(kBound, [&] {
        return HasAllTargets(first) && HasAllTargets(second);
      }));
      rig.ControlStandin(R"({"page_items": 1})");
      rig.PutHeartbeat(odd, "ready", 1, 1);
      const Vm& first_again = rig.RestartVm(first);
      const Vm& second_again = rig.RestartVm(second);
      BOOST_TEST(rig.RunWithin(kBound, [&] {
        return HasAllTargets(first_again) && HasAllTargets(second_again);
      }));
      BOOST_TEST(first_again.follower.targets().targets().count(odd) == 0U);
      BOOST_TEST(second_again.follower.targets().targets().count(odd) == 0U);
    }
  }
}

// Each VM learns of targets from the store or from another VM.
BOOST_AUTO_TEST_CASE(OddNameThatComesAndGoesStopsNoVm) {
  for (const std::string& odd : kOddNames) {
    BOOST_TEST_CONTEXT(odd) {
      StoreRig rig;
      const Vm& first = rig.AddVm();
      const Vm& second = rig.AddVm();
      rig.PutHeartbeat("0-1", "ready", 1, 1);
      BOOST_TEST(rig.RunWithin(kBound, [&] {
        return HasAllTargets(first) && HasAllTargets(second) &&
               first.fleet_size == 2 && second.fleet_size == 2;
      }));
      const Vm* reader = rig.InReaderOrder("z").front();
      rig.SilenceStoreFor({reader == &first ? &second : &first});
      rig.PutHeartbeat(odd, "ready", 1, 1);
      rig.PutTarget(odd, "");
      rig.ControlStandin(R"({"targets": {"a-2": "leaving"}})");
      BOOST_TEST(rig.RunWithin(kBound, [&] {
        return !first.HasActiveTarget("a-2") && !second.HasActiveTarget("a-2");
      }));
      for (const Vm* vm : {&first, &second}) {
        BOOST_TEST(vm->HasActiveTarget("0-1"));
        BOOST_TEST(vm->HasActiveTarget("a-1"));
        BOOST_TEST(vm->follower.targets().targets().count(odd) == 0U);
      }
    }
  }
}

// A listing that can't be read to its end doesn't show that a target is gone.
BOOST_AUTO_TEST_CASE(ListingWithoutAnEndRemovesNoTarget) {
  StoreRig rig;
  const Vm& vm = rig.AddVm();
  rig.PutHeartbeat("0-1", "ready", 1, 1);
  BOOST_TEST(rig.RunWithin(kBound, [&] { return HasAllTargets(vm); }));
  rig.ControlStandin(R"({"page_items": 1, "repeat_first_page": true})");
  const std::uint64_t lists = rig.ReadCounter("list_reads");
  // The log no longer has what comes next, so the VM lists the targets again.
  rig.PutHeartbeat("0-1", "ready", 1, 2);
  rig.ControlStandin(R"({"compact": "keyed.servers"})");
  BOOST_TEST(rig.RunWithin(
      kBound, [&] { return rig.ReadCounter("list_reads") > lists + 3; }));
  rig.RunFor(kBound);
  BOOST_TEST(HasAllTargets(vm));
  rig.ControlStandin(R"({"repeat_first_page": false})");
  rig.ControlStandin(R"({"targets": {"a-2": "removed"}})");
  BOOST_TEST(rig.RunWithin(kBound, [&] { return !vm.HasActiveTarget("a-2"); }));
  BOOST_TEST(vm.HasActiveTarget("0-1"));
  BOOST_TEST(vm.HasActiveTarget("a-1"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::daemon
