#include "kingcupshed/propagation/schedule.h"

#include <algorithm>

#include <boost/test/unit_test.hpp>

namespace kingcupshed::propagation {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};
const std::vector<std::string> kZones = InSourceOrder({"x", "y", "z"});
/// VMs of the zones: the name begins with that of the zone.
constexpr std::size_t kVmsPerZone = 4;

std::vector<std::string> VmsOf(const std::string& zone) {
  std::vector<std::string> vms;
  for (std::size_t at = 0; at < kVmsPerZone; ++at) {
    vms.push_back(zone + "-" + std::to_string(at));
  }
  return InSourceOrder(vms);
}

/// Returns the schedule of a VM that knows the others.
Schedule ScheduleOf(std::size_t zone, std::size_t index) {
  const std::string name = VmsOf(kZones[zone])[index];
  std::map<std::string, std::vector<std::string>> others;
  for (const std::string& other_zone : kZones) {
    for (const std::string& vm : VmsOf(other_zone)) {
      if (vm != name) {
        others[other_zone].push_back(vm);
      }
    }
  }
  Schedule schedule(name, kZones[zone], false, kStart);
  schedule.SetVms(others);
  schedule.OnVmsListed(kStart);
  return schedule;
}

void SetCurrent(Schedule& schedule, TimePoint at) {
  for (const Content content : kContents) {
    schedule.OnCurrent(content, at);
  }
}

std::size_t CountReads(const std::vector<Action>& actions) {
  return static_cast<std::size_t>(
      std::count_if(actions.begin(), actions.end(), [](const Action& action) {
        return std::holds_alternative<ReadStore>(action);
      }));
}

std::vector<PollVm> PollsOf(const std::vector<Action>& actions) {
  std::vector<PollVm> polls;
  for (const Action& action : actions) {
    if (const auto* poll = std::get_if<PollVm>(&action)) {
      polls.push_back(*poll);
    }
  }
  return polls;
}

/// Returns the age of the copies at which a VM reads the store, though no other
/// VM responds.
Duration ReadAgeOf(std::size_t zone, std::size_t index) {
  Schedule schedule = ScheduleOf(zone, index);
  SetCurrent(schedule, kStart);
  Duration age{};
  while (CountReads(schedule.Advance(kStart + age)) == 0) {
    age += milliseconds(10);
    BOOST_REQUIRE((age < seconds(5)));
  }
  return age;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(ScheduleTest)

BOOST_AUTO_TEST_CASE(HeadsReadOneAfterTheOtherAndOthersLast) {
  const Duration first = ReadAgeOf(0, 0);
  const Duration second = ReadAgeOf(1, 0);
  const Duration third = ReadAgeOf(2, 0);
  const Duration other = ReadAgeOf(0, 1);
  // A read of a store in another region and a poll of the head fit in between.
  BOOST_TEST((second - first >= milliseconds(200)));
  BOOST_TEST((third > second));
  BOOST_TEST((other > third));
  // A read that fails still fits before the bound.
  BOOST_TEST((other + milliseconds(500) <= milliseconds(2500)));
}

BOOST_AUTO_TEST_CASE(NobodyReadsWhileTheCopiesAreFresh) {
  for (std::size_t zone = 0; zone < kZones.size(); ++zone) {
    Schedule schedule = ScheduleOf(zone, 0);
    for (int step = 0; step < 100; ++step) {
      const TimePoint now = kStart + milliseconds(100 * step);
      SetCurrent(schedule, now - milliseconds(300));
      BOOST_TEST(CountReads(schedule.Advance(now)) == 0U);
    }
  }
}

// Fresh targets don't make the routes fresh.
BOOST_AUTO_TEST_CASE(EachContentIsReadByItsOwnAge) {
  Schedule schedule = ScheduleOf(0, 0);
  SetCurrent(schedule, kStart);
  const TimePoint now = kStart + seconds(1);
  schedule.OnCurrent(Content::kTargets, now);
  const auto actions = schedule.Advance(now);
  BOOST_REQUIRE(CountReads(actions) == 1U);
  for (const Action& action : actions) {
    if (const auto* read = std::get_if<ReadStore>(&action)) {
      BOOST_TEST((read->content == Content::kRoutes));
    }
  }
}

BOOST_AUTO_TEST_CASE(ReadIsNotRepeatedWhileItIsOutNorRightAfterItFailed) {
  Schedule schedule = ScheduleOf(0, 0);
  SetCurrent(schedule, kStart);
  TimePoint now = kStart + seconds(1);
  BOOST_REQUIRE(CountReads(schedule.Advance(now)) == 2U);
  now += seconds(1);
  BOOST_TEST(CountReads(schedule.Advance(now)) == 0U);
  schedule.OnReadEnded(Content::kTargets, false, now);
  BOOST_TEST(CountReads(schedule.Advance(now + milliseconds(100))) == 0U);
  BOOST_TEST(CountReads(schedule.Advance(now + milliseconds(500))) == 1U);
}

BOOST_AUTO_TEST_CASE(OnePollWaitsAtThePrimary) {
  Schedule schedule = ScheduleOf(1, 2);
  SetCurrent(schedule, kStart);
  const auto polls = PollsOf(schedule.Advance(kStart));
  BOOST_REQUIRE(polls.size() == 1U);
  BOOST_TEST(polls[0].vm == VmsOf(kZones[1]).front());
  BOOST_TEST((polls[0].wait > Duration::zero()));
  BOOST_TEST((polls[0].timeout > polls[0].wait));
  BOOST_TEST(PollsOf(schedule.Advance(kStart + milliseconds(300))).empty());
  schedule.OnPollResponded(polls[0].vm, schedule.current(), kStart);
  BOOST_TEST(PollsOf(schedule.Advance(kStart + milliseconds(100))).size() ==
             1U);
}

// The primary was silent, and its loss was noticed only when its polls failed.
BOOST_AUTO_TEST_CASE(FurtherVmsArePolledWhileThePrimarysPollIsOut) {
  Schedule schedule = ScheduleOf(1, 2);
  SetCurrent(schedule, kStart);
  const auto primary = PollsOf(schedule.Advance(kStart));
  BOOST_REQUIRE(primary.size() == 1U);
  const auto polls = PollsOf(schedule.Advance(kStart + milliseconds(900)));
  BOOST_REQUIRE(polls.size() == 1U);
  BOOST_TEST(polls[0].vm != primary[0].vm);
  BOOST_TEST((polls[0].wait == Duration::zero()));
}

BOOST_AUTO_TEST_CASE(SeveralVmsArePolledWhenTheCopyIsOld) {
  Schedule schedule = ScheduleOf(1, 2);
  SetCurrent(schedule, kStart);
  (void)schedule.Advance(kStart);
  const auto polls = PollsOf(schedule.Advance(kStart + milliseconds(1300)));
  BOOST_TEST(polls.size() == 3U);
}

BOOST_AUTO_TEST_CASE(NobodyElseIsPolledOnACalmDay) {
  Schedule schedule = ScheduleOf(1, 2);
  for (int step = 0; step < 100; ++step) {
    const TimePoint now = kStart + milliseconds(100 * step);
    SetCurrent(schedule, now - milliseconds(800));
    for (const PollVm& poll : PollsOf(schedule.Advance(now))) {
      BOOST_TEST(poll.vm == VmsOf(kZones[1]).front());
      schedule.OnPollResponded(poll.vm, schedule.current(), now);
    }
  }
}

BOOST_AUTO_TEST_CASE(PrimaryThatFailsOrIsStaleIsReplaced) {
  const auto vms = VmsOf(kZones[1]);
  for (const bool fails : {true, false}) {
    Schedule schedule = ScheduleOf(1, 2);
    const TimePoint now = kStart + seconds(5);
    SetCurrent(schedule, now);
    BOOST_REQUIRE(PollsOf(schedule.Advance(now)).front().vm == vms[0]);
    if (fails) {
      schedule.OnPollFailed(vms[0], now);
    } else {
      CurrentTimes old;
      old.Advance(Content::kRoutes, now);
      old.Advance(Content::kTargets, now - seconds(2));
      schedule.OnPollResponded(vms[0], old, now);
    }
    const auto next = PollsOf(schedule.Advance(now + milliseconds(200)));
    BOOST_REQUIRE(next.size() == 1U);
    BOOST_TEST(next[0].vm == vms[1]);
  }
}

// A primary whose copy is as old as this VM's is no worse than others during an
// outage of the store.
BOOST_AUTO_TEST_CASE(PrimaryIsKeptDuringAnOutage) {
  Schedule schedule = ScheduleOf(1, 2);
  SetCurrent(schedule, kStart);
  const TimePoint now = kStart + seconds(5);
  const std::string primary = VmsOf(kZones[1]).front();
  (void)schedule.Advance(now);
  schedule.OnPollResponded(primary, schedule.current(), now);
  const auto polls = PollsOf(schedule.Advance(now + milliseconds(100)));
  BOOST_TEST(std::any_of(polls.begin(), polls.end(), [&](const PollVm& poll) {
    return poll.vm == primary && poll.wait > Duration::zero();
  }));
}

// A restarted VM waits a short time for its zone's head, which may have
// restarted with it.
BOOST_AUTO_TEST_CASE(RestartedVmWaitsForTheHead) {
  Schedule schedule = ScheduleOf(1, 2);
  const std::string head = VmsOf(kZones[1]).front();
  (void)schedule.Advance(kStart);
  schedule.OnPollResponded(head, {}, kStart + milliseconds(700));
  BOOST_TEST(CountReads(schedule.Advance(kStart + milliseconds(800))) == 0U);
  schedule.OnPollResponded(head, {}, kStart + milliseconds(1400));
  BOOST_TEST(CountReads(schedule.Advance(kStart + milliseconds(1600))) == 2U);
}

BOOST_AUTO_TEST_CASE(RestartedVmReadsAtOnceWhenNobodyResponds) {
  Schedule schedule = ScheduleOf(1, 2);
  BOOST_TEST(CountReads(schedule.Advance(kStart + milliseconds(300))) == 2U);
}

BOOST_AUTO_TEST_CASE(VmWaitsForTheListOfVms) {
  Schedule schedule("a", "x", true, kStart);
  BOOST_TEST(CountReads(schedule.Advance(kStart + seconds(3))) == 0U);
  BOOST_TEST(CountReads(schedule.Advance(kStart + seconds(4))) == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::propagation
