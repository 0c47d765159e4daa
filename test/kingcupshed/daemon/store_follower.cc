#include "kingcupshed/daemon/store_follower.h"

#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "support/store_rig.h"

namespace kingcupshed::daemon {

namespace {

using Vm = support::StoreRig::Vm;

bool Has(const Vm& vm, const std::string& event) {
  return std::find(vm.events.begin(), vm.events.end(), event) !=
         vm.events.end();
}

bool Ready(const Vm& vm) {
  return !vm.versions.empty() && vm.Knows("a-1") && vm.Knows("a-2");
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(Follow, support::StoreRig)

BOOST_AUTO_TEST_CASE(LearnsRoutesAndTargetsAndTheirChanges) {
  Vm& vm = AddVm();
  RunUntil([&] { return Ready(vm); });
  BOOST_TEST(vm.versions.back() == 1U);
  Publish(3);
  RunUntil([&] { return vm.versions.back() == 3U; });
  Switch(R"({"targets": {"a-1": "leaving", "a-2": "removed"}})");
  RunUntil([&] { return !vm.Knows("a-1") && !vm.Knows("a-2"); });
}

BOOST_AUTO_TEST_CASE(NeverGoesBackToAnOlderVersion) {
  Vm& vm = AddVm();
  RunUntil([&] { return Ready(vm); });
  Publish(5);
  RunUntil([&] { return vm.versions.back() == 5U; });
  Publish(4);
  Publish(6);
  RunUntil([&] { return vm.versions.back() == 6U; });
  BOOST_TEST(std::is_sorted(vm.versions.begin(), vm.versions.end()));
  BOOST_TEST((vm.versions == std::vector<std::uint64_t>{1, 5, 6}));
}

BOOST_AUTO_TEST_CASE(KeepsItsRoutesWhenUnusableOnesArePublished) {
  Vm& vm = AddVm();
  RunUntil([&] { return Ready(vm); });
  PublishText("{\"version\":");
  RunUntil([&] { return Has(vm, "routes_not_usable"); });
  Publish(2);
  RunUntil([&] { return vm.versions.back() == 2U; });
}

BOOST_AUTO_TEST_CASE(IgnoresForgedTargets) {
  Vm& vm = AddVm();
  RunUntil([&] { return Ready(vm); });
  PutTarget("a-1", "\xff nonsense");
  PutTarget("forged", R"({"addr":5})");
  Switch(R"({"targets": {"a-2": "leaving"}})");
  RunUntil([&] { return !vm.Knows("a-2"); });
  BOOST_TEST(vm.Knows("a-1"));
  BOOST_TEST(!vm.Knows("forged"));
}

BOOST_AUTO_TEST_CASE(KeepsWhatItKnowsThroughAnOutage) {
  Vm& vm = AddVm();
  RunUntil([&] { return Ready(vm); });
  for (const char* outage : {"refuse", "hang"}) {
    vm.events.clear();
    Switch(R"({"outage": ")" + std::string(outage) + "\"}");
    RunUntil([&] { return Has(vm, "store_lost"); });
    BOOST_TEST(Ready(vm));
    Switch(R"({"outage": "none"})");
    RunUntil([&] { return Has(vm, "store_regained"); });
  }
  Publish(9);
  RunUntil([&] { return vm.versions.back() == 9U; });
}

BOOST_AUTO_TEST_CASE(StartsWhenTheStoreComesBack) {
  Switch(R"({"outage": "refuse"})");
  Vm& vm = AddVm();
  RunUntil([&] { return Has(vm, "store_lost"); });
  BOOST_TEST(!vm.follower.knows_targets());
  Switch(R"({"outage": "none"})");
  RunUntil([&] { return Ready(vm); });
}

BOOST_AUTO_TEST_CASE(RegistersAlsoWhenAnAnswerIsLost) {
  Switch(R"({"lose_answers": 1})");
  Vm& first = AddVm();
  RunUntil([&] { return Ready(first); });
  Vm& second = AddVm();
  RunUntil([&] { return second.fleet == 2U && first.fleet == 2U; });
}

BOOST_AUTO_TEST_CASE(ReadsAllAgainAfterItsPlaceInTheLogIsDeleted) {
  Vm& vm = AddVm();
  RunUntil([&] { return Ready(vm); });
  Switch(R"({"outage": "refuse"})");
  RunUntil([&] { return Has(vm, "store_lost"); });
  Switch(R"({"outage": "none", "targets": {"a-2": "removed"},
             "compact": "keyed.servers"})");
  RunUntil([&] { return !vm.Knows("a-2"); });
  BOOST_TEST(vm.Knows("a-1"));
}

BOOST_AUTO_TEST_CASE(OneVmOfAZoneReadsForTheOthers) {
  std::vector<Vm*> vms;
  vms.reserve(5);
  for (int at = 0; at < 5; ++at) {
    vms.push_back(&AddVm());
  }
  RunUntil([&] {
    return std::all_of(vms.begin(), vms.end(), [](const Vm* vm) {
      return Ready(*vm) && vm->fleet == 5U;
    });
  });
  // All have found their reader once some rounds have passed.
  const std::uint64_t lists = Count("list_reads");
  Publish(2);
  RunUntil([&] {
    return std::all_of(vms.begin(), vms.end(),
                       [](const Vm* vm) { return vm->versions.back() == 2U; });
  });
  Switch(R"({"targets": {"a-1": "leaving"}})");
  RunUntil([&] {
    return std::all_of(vms.begin(), vms.end(),
                       [](const Vm* vm) { return !vm->Knows("a-1"); });
  });
  BOOST_TEST(Count("list_reads") <= lists + 5);
}

BOOST_AUTO_TEST_CASE(AsksOthersWhenTheStoreRefusesItAlone) {
  Vm& first = AddVm();
  Vm& second = AddVm();
  RunUntil([&] {
    return Ready(first) && Ready(second) && first.fleet == 2U &&
           second.fleet == 2U;
  });
  // Whichever reads: the other one is refused by the store, then this one.
  for (std::size_t refused = 0; refused < 2; ++refused) {
    const std::uint64_t version = 10 + refused;
    Switch(R"({"refused_senders": [")" + IpOf(refused) + "\"]}");
    Publish(version);
    RunUntil([&] {
      return first.versions.back() == version &&
             second.versions.back() == version;
    });
  }
}

// In a zone of many VMs that were replaced, those that are asked are gone. The
// VM reads the targets for itself then, and did not look at the routes until it
// had doubted all of them (lestage-passerelle-grown hunt-613b-3).
BOOST_AUTO_TEST_CASE(ReadsRoutesAlsoWhenTheVmsItAsksAreGone) {
  constexpr int kGone = 60;
  for (int at = 0; at < kGone; ++at) {
    PutVm("gone-" + std::to_string(at));
  }
  Vm& vm = AddVm();
  RunUntil([&] { return Ready(vm) && vm.fleet > kGone; });
  // The first version ends the poll that the VM sent before it knew of the
  // others, and by the last one it no longer doubts the store.
  constexpr std::uint64_t kLast = 6;
  for (std::uint64_t version = 2; version <= kLast; ++version) {
    Publish(version);
    const std::uint64_t reads = Count("reads");
    RunUntil([&] {
      return vm.versions.back() == version || Count("reads") > reads + 5;
    });
    BOOST_REQUIRE(vm.versions.back() == version);
  }
}

// A poll that was sent while the store was slow is never woken
// (lestage-passerelle trouble-2).
BOOST_AUTO_TEST_CASE(LearnsRoutesWhileTheStoreIsSlowAndPollsAreDeaf) {
  Switch(R"({"delay_ms": 120, "deaf_polls": true})");
  Vm& vm = AddVm();
  RunUntil([&] { return Ready(vm); });
  for (std::uint64_t version = 2; version <= 4; ++version) {
    Publish(version);
    const std::uint64_t reads = Count("reads");
    RunUntil([&] {
      return vm.versions.back() == version || Count("reads") > reads + 6;
    });
    BOOST_REQUIRE(vm.versions.back() == version);
  }
}

// The answer to a poll was lost while the store was in trouble. The VM waited
// for it long after, and had old routes (norrvik-gw mix --seed 331916083811).
BOOST_AUTO_TEST_CASE(GivesUpAPollWhoseAnswerWasLost) {
  Vm& vm = AddVm();
  RunUntil([&] { return Ready(vm); });
  Publish(2);
  RunUntil([&] { return vm.versions.back() == 2U; });
  // By now the VM no longer doubts the store that it has just met.
  const std::uint64_t met = Count("reads");
  RunUntil([&] { return Count("reads") > met + 16; });
  // All polls from here on are lost, also the one that the next version ends.
  Switch(R"({"lose_polls": true})");
  Publish(3);
  RunUntil([&] { return vm.versions.back() == 3U; });
  Switch(R"({"lose_polls": false})");
  Publish(4);
  const std::uint64_t lists = Count("reads");
  RunUntil(
      [&] { return vm.versions.back() == 4U || Count("reads") > lists + 12; });
  BOOST_TEST(vm.versions.back() == 4U);
}

// A target starts anew under its id: its counts start again, and late reports
// of the life before change nothing.
BOOST_AUTO_TEST_CASE(TakesATargetThatStartsAgainUnderItsId) {
  Vm& vm = AddVm();
  RunUntil([&] { return Ready(vm); });
  constexpr std::uint64_t kSecondLife = 50;
  PutHeartbeat("a-1", "draining", 2, 900);
  RunUntil([&] { return !vm.Knows("a-1"); });
  PutHeartbeat("a-1", "ready", kSecondLife, 1);
  RunUntil([&] { return vm.Knows("a-1"); });
  PutHeartbeat("a-1", "draining", 2, 901);
  PutHeartbeat("a-2", "draining", 2, 1);
  RunUntil([&] { return !vm.Knows("a-2"); });
  BOOST_TEST(vm.Knows("a-1"));
}

// Entries lapse while the store is away, since targets can't renew them. One
// that is back soon was never lost; one that stays away is gone.
BOOST_AUTO_TEST_CASE(WaitsForLapsedEntriesAfterAnOutage) {
  Vm& vm = AddVm();
  RunUntil([&] { return Ready(vm); });
  Switch(R"({"outage": "refuse"})");
  RunUntil([&] { return Has(vm, "store_lost"); });
  bool lost = false;
  vm.on_targets = [&] { lost = lost || !vm.Knows("a-1"); };
  Switch(R"({"outage": "none",
             "targets": {"a-1": "removed", "a-2": "removed"}})");
  RunUntil([&] { return Has(vm, "store_regained"); });
  BOOST_TEST(vm.Knows("a-1"));
  BOOST_TEST(vm.Knows("a-2"));
  Switch(R"({"targets": {"a-1": "live"}})");
  RunUntil([&] { return !vm.Knows("a-2"); });
  BOOST_TEST(!lost);
  BOOST_TEST(vm.Knows("a-1"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::daemon
