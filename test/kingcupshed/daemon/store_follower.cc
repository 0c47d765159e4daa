#include "kingcupshed/daemon/store_follower.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "support/store_rig.h"

namespace kingcupshed::daemon {

namespace {

using Vm = support::StoreRig::Vm;

bool HasEvent(const Vm& vm, const std::string& event) {
  return std::find(vm.events.begin(), vm.events.end(), event) !=
         vm.events.end();
}

bool HasAllData(const Vm& vm) {
  return !vm.versions.empty() && vm.HasActiveTarget("a-1") &&
         vm.HasActiveTarget("a-2");
}

/// Bound on the time from a confirmed version to its use, and on the time for
/// which a leaving target gets calls, of the smallest deployment.
constexpr Duration kChangeBound = std::chrono::milliseconds(2500);

/// Routes that are published and a target that begins to leave, together.
struct Change {
  std::uint64_t version = 0;
  const char* leaving_target = nullptr;
};

constexpr std::array<Change, 2> kChanges{{{2, "a-1"}, {3, "a-2"}}};

/// The stand-in of the store and VMs that it may be silent to.
class SilencedZone : public support::StoreRig {
 public:
  /// Starts VMs in zone `z` and two in zone `y`, and waits until they no longer
  /// consider the store degraded, as they do after their start.
  void StartTwoZones(std::size_t vms) {
    for (std::size_t at = 0; at < vms; ++at) {
      served_.push_back(&AddVm("z"));
    }
    served_.push_back(&AddVm("y"));
    served_.push_back(&AddVm("y"));
    const std::size_t count = served_.size();
    RunUntil([&] {
      return std::all_of(served_.begin(), served_.end(), [&](const Vm* vm) {
        return HasAllData(*vm) && vm->fleet_size == count;
      });
    });
    RunFor(std::chrono::seconds(6));
  }

  /// Silences the store for the VMs of zone `z` that would read it first.
  void SilenceFirstReaders(std::size_t count) {
    std::vector<const Vm*> silenced = InReaderOrder("z");
    silenced.resize(count);
    SilenceStoreFor(silenced);
    served_.erase(std::remove_if(served_.begin(), served_.end(),
                                 [&](const Vm* vm) {
                                   return std::count(silenced.begin(),
                                                     silenced.end(), vm) > 0;
                                 }),
                  served_.end());
  }

  /// Makes a change and checks that all VMs that the store serves follow it.
  void CheckInForceWithinBound(const Change& change) {
    const std::string target = change.leaving_target;
    PublishRoutes(change.version);
    ControlStandin(R"({"targets": {")" + target + R"(": "leaving"}})");
    RunFor(kChangeBound);
    for (const Vm* vm : served_) {
      BOOST_TEST(vm->versions.back() == change.version, vm->name << ": routes");
      BOOST_TEST(!vm->HasActiveTarget(target), vm->name << ": " << target);
    }
  }

 private:
  /// VMs that the store responds to.
  std::vector<const Vm*> served_;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(StoreFollowerTest, SilencedZone)

BOOST_AUTO_TEST_CASE(ReadsRoutesAndTargetsAndTheirChanges) {
  Vm& vm = AddVm();
  RunUntil([&] { return HasAllData(vm); });
  BOOST_TEST(vm.versions.back() == 1U);
  PublishRoutes(3);
  RunUntil([&] { return vm.versions.back() == 3U; });
  ControlStandin(R"({"targets": {"a-1": "leaving", "a-2": "removed"}})");
  RunUntil(
      [&] { return !vm.HasActiveTarget("a-1") && !vm.HasActiveTarget("a-2"); });
}

BOOST_AUTO_TEST_CASE(NeverRevertsToAnOlderVersion) {
  Vm& vm = AddVm();
  RunUntil([&] { return HasAllData(vm); });
  PublishRoutes(5);
  RunUntil([&] { return vm.versions.back() == 5U; });
  PublishRoutes(4);
  PublishRoutes(6);
  RunUntil([&] { return vm.versions.back() == 6U; });
  BOOST_TEST(std::is_sorted(vm.versions.begin(), vm.versions.end()));
  BOOST_TEST((vm.versions == std::vector<std::uint64_t>{1, 5, 6}));
}

BOOST_AUTO_TEST_CASE(KeepsItsRoutesWhenInvalidOnesArePublished) {
  Vm& vm = AddVm();
  RunUntil([&] { return HasAllData(vm); });
  PublishDocument("{\"version\":");
  RunUntil([&] { return HasEvent(vm, "routes_not_usable"); });
  PublishRoutes(2);
  RunUntil([&] { return vm.versions.back() == 2U; });
}

BOOST_AUTO_TEST_CASE(IgnoresMalformedTargets) {
  Vm& vm = AddVm();
  RunUntil([&] { return HasAllData(vm); });
  PutTarget("a-1", "\xff nonsense");
  PutTarget("forged", R"({"addr":5})");
  ControlStandin(R"({"targets": {"a-2": "leaving"}})");
  RunUntil([&] { return !vm.HasActiveTarget("a-2"); });
  BOOST_TEST(vm.HasActiveTarget("a-1"));
  BOOST_TEST(!vm.HasActiveTarget("forged"));
}

BOOST_AUTO_TEST_CASE(KeepsItsDataDuringAnOutage) {
  Vm& vm = AddVm();
  RunUntil([&] { return HasAllData(vm); });
  for (const char* outage : {"refuse", "hang"}) {
    vm.events.clear();
    ControlStandin(R"({"outage": ")" + std::string(outage) + "\"}");
    RunUntil([&] { return HasEvent(vm, "store_lost"); });
    BOOST_TEST(HasAllData(vm));
    ControlStandin(R"({"outage": "none"})");
    RunUntil([&] { return HasEvent(vm, "store_regained"); });
  }
  PublishRoutes(9);
  RunUntil([&] { return vm.versions.back() == 9U; });
}

BOOST_AUTO_TEST_CASE(StartsWhenTheStoreRecovers) {
  ControlStandin(R"({"outage": "refuse"})");
  Vm& vm = AddVm();
  RunUntil([&] { return HasEvent(vm, "store_lost"); });
  BOOST_TEST(!vm.follower.has_targets());
  ControlStandin(R"({"outage": "none"})");
  RunUntil([&] { return HasAllData(vm); });
}

BOOST_AUTO_TEST_CASE(RegistersEvenIfAResponseIsLost) {
  ControlStandin(R"({"lose_answers": 1})");
  Vm& first = AddVm();
  RunUntil([&] { return HasAllData(first); });
  Vm& second = AddVm();
  RunUntil([&] { return second.fleet_size == 2U && first.fleet_size == 2U; });
}

BOOST_AUTO_TEST_CASE(ListsAgainAfterItsLogOffsetIsDeleted) {
  Vm& vm = AddVm();
  RunUntil([&] { return HasAllData(vm); });
  ControlStandin(R"({"outage": "refuse"})");
  RunUntil([&] { return HasEvent(vm, "store_lost"); });
  ControlStandin(R"({"outage": "none", "targets": {"a-2": "removed"},
             "compact": "keyed.servers"})");
  RunUntil([&] { return !vm.HasActiveTarget("a-2"); });
  BOOST_TEST(vm.HasActiveTarget("a-1"));
}

BOOST_AUTO_TEST_CASE(OneVmOfAZoneReadsForTheOthers) {
  std::vector<Vm*> vms;
  vms.reserve(5);
  for (int at = 0; at < 5; ++at) {
    vms.push_back(&AddVm());
  }
  RunUntil([&] {
    return std::all_of(vms.begin(), vms.end(), [](const Vm* vm) {
      return HasAllData(*vm) && vm->fleet_size == 5U;
    });
  });
  // All VMs have found their reader after a few more polls.
  const std::uint64_t lists = ReadCounter("list_reads");
  PublishRoutes(2);
  RunUntil([&] {
    return std::all_of(vms.begin(), vms.end(),
                       [](const Vm* vm) { return vm->versions.back() == 2U; });
  });
  ControlStandin(R"({"targets": {"a-1": "leaving"}})");
  RunUntil([&] {
    return std::all_of(vms.begin(), vms.end(), [](const Vm* vm) {
      return !vm->HasActiveTarget("a-1");
    });
  });
  BOOST_TEST(ReadCounter("list_reads") <= lists + 5);
}

BOOST_AUTO_TEST_CASE(PollsOthersWhenTheStoreRefusesOnlyThisVm) {
  Vm& first = AddVm();
  Vm& second = AddVm();
  RunUntil([&] {
    return HasAllData(first) && HasAllData(second) && first.fleet_size == 2U &&
           second.fleet_size == 2U;
  });
  // The store refuses one VM and then the other, so that the reader is refused
  // once, whichever VM it is.
  for (std::size_t refused = 0; refused < 2; ++refused) {
    const std::uint64_t version = 10 + refused;
    ControlStandin(R"({"refused_senders": [")" + IpAddressOf(refused) + "\"]}");
    PublishRoutes(version);
    RunUntil([&] {
      return first.versions.back() == version &&
             second.versions.back() == version;
    });
  }
}

// Issue 18, lestage-passerelle-grown trouble-1 --seed 246486876179.
BOOST_AUTO_TEST_CASE(RoutesAreInTimeWhileTheStoreIsSilentToTheFirstReaders) {
  StartTwoZones(6);
  SilenceFirstReaders(2);
  for (const Change& change : kChanges) {
    CheckInForceWithinBound(change);
    RunFor(std::chrono::seconds(2));
  }
}

// None of the VMs that the others poll, nor of those that these poll, can read
// the store; another zone can.
BOOST_AUTO_TEST_CASE(RoutesAreInTimeWhileTheStoreIsSilentToMostOfAZone) {
  StartTwoZones(12);
  SilenceFirstReaders(8);
  for (const Change& change : kChanges) {
    CheckInForceWithinBound(change);
    RunFor(std::chrono::seconds(2));
  }
}

// The connection of a reader's poll went silent while other connections to the
// store worked, so its targets were fresh and its routes were not.
BOOST_AUTO_TEST_CASE(RoutesAreInTimeWhenThePollOfAReaderGoesSilent) {
  constexpr std::uint64_t kRounds = 3;
  std::vector<const Vm*> vms{&AddVm(), &AddVm(), &AddVm()};
  const auto all_have = [&](std::uint64_t version) {
    return std::all_of(vms.begin(), vms.end(), [&](const Vm* vm) {
      return HasAllData(*vm) && vm->versions.back() == version;
    });
  };
  RunUntil([&] { return all_have(1); });
  RunFor(std::chrono::seconds(6));
  for (std::uint64_t round = 1; round <= kRounds; ++round) {
    // A change ends the poll, and the reader sends the next one.
    PublishRoutes(2 * round);
    RunUntil([&] {
      return InReaderOrder("z").front()->versions.back() == 2 * round;
    });
    RunFor(std::chrono::milliseconds(50));
    ControlStandin(R"({"hang_waiting_reads": true})");
    PublishRoutes(2 * round + 1);
    RunFor(kChangeBound);
    BOOST_TEST(all_have(2 * round + 1), "round " << round);
    RunUntil([&] { return all_have(2 * round + 1); });
  }
}

// The reader restarts right before a target's entry is removed, so its listing
// doesn't show the target at all (issue 21, lestage-passerelle inc3).
BOOST_AUTO_TEST_CASE(RemovalIsInForceThoughTheReaderRestartedMeanwhile) {
  std::vector<const Vm*> vms{&AddVm(), &AddVm(), &AddVm()};
  RunUntil([&] {
    return std::all_of(vms.begin(), vms.end(), [](const Vm* vm) {
      return HasAllData(*vm) && vm->fleet_size == 3U;
    });
  });
  RunFor(std::chrono::seconds(2));
  for (const char* target : {"a-1", "a-2"}) {
    SetTargetState(target, "removed");
    RestartVm(*InReaderOrder("z").front());
    RunFor(kChangeBound);
    for (const Vm* vm : InReaderOrder("z")) {
      BOOST_TEST(!vm->HasActiveTarget(target), vm->name << ": " << target);
    }
  }
}

BOOST_AUTO_TEST_CASE(TargetWhoseResponseSaysThatItLeavesIsNotUsed) {
  Vm& vm = AddVm();
  RunUntil([&] { return HasAllData(vm); });
  const int changes = vm.target_changes;
  vm.follower.OnLeavingResponse("a-1");
  BOOST_TEST(!vm.HasActiveTarget("a-1"));
  BOOST_TEST(vm.target_changes > changes);
  BOOST_TEST(HasEvent(vm, "target_leaving"));
  PutHeartbeat("a-1", "ready", 1, 1000);
  RunFor(std::chrono::seconds(1));
  BOOST_TEST(!vm.HasActiveTarget("a-1"));
  BOOST_TEST(vm.HasActiveTarget("a-2"));
}

// In a zone where many VMs were replaced, the VMs to poll no longer exist, so a
// VM reads the targets itself. It used to read no routes until it had suspected
// each of them (lestage-passerelle-grown hunt-613b-3).
BOOST_AUTO_TEST_CASE(ReadsRoutesWhenTheVmsToPollNoLongerExist) {
  constexpr int kRemovedVms = 60;
  for (int at = 0; at < kRemovedVms; ++at) {
    PutVm("removed-" + std::to_string(at));
  }
  Vm& vm = AddVm();
  RunUntil([&] { return HasAllData(vm) && vm.fleet_size > kRemovedVms; });
  // The first version ends the long poll that the VM sent before it knew of the
  // others. By the last version, the VM no longer considers the store degraded.
  constexpr std::uint64_t kLast = 6;
  for (std::uint64_t version = 2; version <= kLast; ++version) {
    PublishRoutes(version);
    const std::uint64_t reads = ReadCounter("reads");
    RunUntil([&] {
      return vm.versions.back() == version || ReadCounter("reads") > reads + 5;
    });
    BOOST_REQUIRE(vm.versions.back() == version);
  }
}

// A long poll that was sent while the store was slow is never woken by a change
// (lestage-passerelle trouble-2).
BOOST_AUTO_TEST_CASE(ReadsRoutesWhileTheStoreIsSlowAndNeverWakesPolls) {
  ControlStandin(R"({"delay_ms": 120, "deaf_polls": true})");
  Vm& vm = AddVm();
  RunUntil([&] { return HasAllData(vm); });
  for (std::uint64_t version = 2; version <= 4; ++version) {
    PublishRoutes(version);
    const std::uint64_t reads = ReadCounter("reads");
    RunUntil([&] {
      return vm.versions.back() == version || ReadCounter("reads") > reads + 6;
    });
    BOOST_REQUIRE(vm.versions.back() == version);
  }
}

// The response to a long poll was lost while the store was failing. The VM used
// to wait for it long after the store's recovery, with stale routes
// (norrvik-gw mix --seed 331916083811).
BOOST_AUTO_TEST_CASE(TimesOutAPollWhoseResponseWasLost) {
  Vm& vm = AddVm();
  RunUntil([&] { return HasAllData(vm); });
  PublishRoutes(2);
  RunUntil([&] { return vm.versions.back() == 2U; });
  // After these reads, the VM no longer considers the store degraded, as it
  // does right after its start.
  const std::uint64_t reads_at_start = ReadCounter("reads");
  RunUntil([&] { return ReadCounter("reads") > reads_at_start + 16; });
  // From here on the responses to all polls are lost, including the poll that
  // the next version ends.
  ControlStandin(R"({"lose_polls": true})");
  PublishRoutes(3);
  RunUntil([&] { return vm.versions.back() == 3U; });
  ControlStandin(R"({"lose_polls": false})");
  PublishRoutes(4);
  const std::uint64_t lists = ReadCounter("reads");
  RunUntil([&] {
    return vm.versions.back() == 4U || ReadCounter("reads") > lists + 12;
  });
  BOOST_TEST(vm.versions.back() == 4U);
}

// A target restarts under the same id: its sequence numbers start again, and
// late heartbeats of its earlier incarnation have no effect.
BOOST_AUTO_TEST_CASE(AcceptsATargetThatRestartsUnderTheSameId) {
  Vm& vm = AddVm();
  RunUntil([&] { return HasAllData(vm); });
  constexpr std::uint64_t kSecondIncarnation = 50;
  PutHeartbeat("a-1", "draining", 2, 900);
  RunUntil([&] { return !vm.HasActiveTarget("a-1"); });
  PutHeartbeat("a-1", "ready", kSecondIncarnation, 1);
  RunUntil([&] { return vm.HasActiveTarget("a-1"); });
  PutHeartbeat("a-1", "draining", 2, 901);
  PutHeartbeat("a-2", "draining", 2, 1);
  RunUntil([&] { return !vm.HasActiveTarget("a-2"); });
  BOOST_TEST(vm.HasActiveTarget("a-1"));
}

// Entries expire during an outage of the store, since targets can't renew them.
// A target that registers again soon after the outage must not be removed in
// between; one that doesn't is removed.
BOOST_AUTO_TEST_CASE(DelaysRemovalOfExpiredEntriesAfterAnOutage) {
  Vm& vm = AddVm();
  RunUntil([&] { return HasAllData(vm); });
  ControlStandin(R"({"outage": "refuse"})");
  RunUntil([&] { return HasEvent(vm, "store_lost"); });
  bool removed = false;
  vm.on_targets = [&] { removed = removed || !vm.HasActiveTarget("a-1"); };
  ControlStandin(R"({"outage": "none",
             "targets": {"a-1": "removed", "a-2": "removed"}})");
  RunUntil([&] { return HasEvent(vm, "store_regained"); });
  BOOST_TEST(vm.HasActiveTarget("a-1"));
  BOOST_TEST(vm.HasActiveTarget("a-2"));
  ControlStandin(R"({"targets": {"a-1": "live"}})");
  RunUntil([&] { return !vm.HasActiveTarget("a-2"); });
  BOOST_TEST(!removed);
  BOOST_TEST(vm.HasActiveTarget("a-1"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::daemon
