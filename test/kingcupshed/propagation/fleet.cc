#include "support/fleet.h"

#include <cstdlib>

#include <boost/test/unit_test.hpp>

namespace kingcupshed::propagation {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Bound of the smallest deployment on the time from a confirmation until a
/// change is in force.
constexpr Duration kBound = milliseconds(2500);
/// What a calm day takes at most: two failed steps in a row still fit.
constexpr Duration kCalmBound = kBound / 3;
/// Time after its own trouble for which nothing is expected of a VM.
constexpr Duration kStableWindow = seconds(4);
/// Length of a document with 1,400 routes.
constexpr std::size_t kLargeDocument = 240'000;
constexpr TimePoint kStart = Fleet::kStart;

const std::vector<std::vector<std::size_t>> kSizes{{5, 2, 5, 2},
                                                   {15, 15, 15, 15},
                                                   {27, 27, 22, 22, 22, 24}};

/// Fleets of 472 and 1,904 VMs.
const std::vector<std::vector<std::size_t>> kLargeSizes{
    std::vector<std::size_t>(8, 59), std::vector<std::size_t>(8, 238)};
/// Processor time of a message at a VM with a tenth of a core.
constexpr Duration kMessageTime = milliseconds(4);

FleetConfig ConfigOf(const std::vector<std::size_t>& zones,
                     std::uint64_t seed) {
  FleetConfig config;
  config.zones = zones;
  config.seed = seed;
  return config;
}

/// Publishes versions and departures at random moments, at times two at once.
void PublishAtRandom(Fleet& fleet, Random& random, Duration length) {
  TimePoint at = kStart + seconds(8);
  while (at < kStart + length) {
    at += milliseconds(200 + random.Below(900));
    const std::uint64_t kind = random.Below(10);
    if (kind < 7) {
      fleet.PublishDeparture(at);
    }
    if (kind >= 6) {
      fleet.PublishRoutes(at, 2000);
    }
  }
}

/// Draws a fault; it hits the heads of zones more often than others.
Fault DrawFault(const Fleet& fleet, Random& random, TimePoint at) {
  Fault fault;
  fault.kind = static_cast<FaultKind>(random.Below(kFaultKinds));
  fault.from = at;
  fault.until = at + milliseconds(500 + random.Below(6000));
  const std::vector<std::size_t> heads = fleet.Heads();
  const std::uint64_t where = random.Below(4);
  if (where <= 1) {
    const std::uint64_t count = 1 + random.Below(2);
    for (std::uint64_t vm = 0; vm < count; ++vm) {
      fault.vms.insert(heads[random.Below(heads.size())]);
    }
  } else {
    const std::uint64_t parts = where == 2 ? 3 : 10;
    for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
      if (random.Below(parts) == 0) {
        fault.vms.insert(vm);
      }
    }
  }
  return fault;
}

/// Plays a day with faults that overlap.
/// @return The longest delay of a change on an undisturbed VM.
Duration PlayRandomDay(std::uint64_t seed) {
  Random random(seed);
  Fleet fleet(ConfigOf(kSizes[seed % kSizes.size()], seed));
  const Duration length = seconds(40);
  PublishAtRandom(fleet, random, length);
  const std::uint64_t faults = 2 + random.Below(4);
  TimePoint at = kStart + seconds(9);
  for (std::uint64_t fault = 0; fault < faults; ++fault) {
    at += milliseconds(random.Below(6000));
    fleet.Add(DrawFault(fleet, random, at));
    if (random.Below(2) == 0) {
      fleet.Add(DrawFault(fleet, random, at + milliseconds(random.Below(500))));
    }
  }
  fleet.RunUntil(kStart + length + seconds(6));
  const Duration delay = fleet.LongestDelay(kStableWindow, kStart + length);
  BOOST_TEST(!fleet.reverted(), "seed " << seed);
  BOOST_TEST((delay <= kBound), "seed " << seed << ": "
                                        << fleet.DescribeLongest()
                                        << fleet.DescribeFaults());
  return delay;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(FleetTest)

BOOST_AUTO_TEST_CASE(ChangesAreInForceWithinAThirdOfTheBoundOnACalmDay) {
  for (const auto& zones : kSizes) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      Fleet fleet(ConfigOf(zones, seed));
      Random random(seed);
      PublishAtRandom(fleet, random, seconds(40));
      fleet.RunUntil(kStart + seconds(50));
      const Duration delay =
          fleet.LongestDelay(kStableWindow, kStart + seconds(40));
      BOOST_TEST((delay > Duration::zero()));
      BOOST_TEST((delay <= kCalmBound), fleet.DescribeLongest());
    }
  }
}

// One VM of the fleet reads for all; a further zone costs no further calls.
BOOST_AUTO_TEST_CASE(LargeFleetStartsSoonAndWithFewReads) {
  for (const auto& zones : kLargeSizes) {
    for (const bool first_start : {true, false}) {
      FleetConfig config = ConfigOf(zones, 1);
      config.message_time = kMessageTime;
      config.first_start = first_start;
      Fleet fleet(config);
      fleet.RunUntil(kStart + seconds(6));
      BOOST_TEST(fleet.CountServing() == fleet.size());
      BOOST_TEST(fleet.store_calls() <= fleet.size() / 5);
    }
  }
}

BOOST_AUTO_TEST_CASE(LargeFleetIsCalmWithSomeTensOfVmsAtEach) {
  for (const auto& zones : kLargeSizes) {
    FleetConfig config = ConfigOf(zones, 2);
    config.message_time = kMessageTime;
    Fleet fleet(config);
    Random random(2);
    PublishAtRandom(fleet, random, seconds(20));
    fleet.RunUntil(kStart + seconds(8));
    const std::size_t calls = fleet.store_calls();
    (void)fleet.TakeMostPollingVms();
    fleet.RunUntil(kStart + seconds(24));
    constexpr std::size_t kMostPollingVms = 50;
    BOOST_TEST(fleet.TakeMostPollingVms() <= kMostPollingVms);
    // Two contents, each every 0.5 s.
    constexpr std::size_t kReads = 64;
    BOOST_TEST(fleet.store_calls() - calls <= kReads);
    const Duration delay =
        fleet.LongestDelay(kStableWindow, kStart + seconds(20));
    BOOST_TEST((delay > Duration::zero()));
    BOOST_TEST((delay <= kCalmBound), fleet.DescribeLongest());
  }
}

BOOST_AUTO_TEST_CASE(CalmFleetCallsTheStoreAtTheRateOfOneReader) {
  for (const auto& zones : kSizes) {
    Fleet fleet(ConfigOf(zones, 1));
    fleet.RunUntil(kStart + seconds(8));
    const std::size_t calls = fleet.store_calls();
    const std::size_t polls = fleet.polls();
    fleet.RunUntil(kStart + seconds(48));
    // Two contents, each every 0.5 s.
    constexpr std::size_t kReads = 160;
    BOOST_TEST(fleet.store_calls() - calls <= kReads);
    // A VM polls its source less than three times a second.
    constexpr std::size_t kPollsOfAVm = 120;
    BOOST_TEST(fleet.polls() - polls <= kPollsOfAVm * fleet.size());
  }
}

// A table that fills the links of the VMs for a second delayed the departures
// of targets beyond 3 s (issue 21, norrvik-gw-grown inc2).
BOOST_AUTO_TEST_CASE(DeparturesAreInTimeWhileALargeTableIsSent) {
  for (const auto& zones : kSizes) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      Fleet fleet(ConfigOf(zones, seed));
      for (int at = 0; at < 60; ++at) {
        fleet.PublishDeparture(kStart + seconds(9) + milliseconds(500 * at));
      }
      for (const int at : {12, 14, 20, 21, 28}) {
        fleet.PublishRoutes(kStart + seconds(at), kLargeDocument);
      }
      fleet.RunUntil(kStart + seconds(45));
      const Duration delay =
          fleet.LongestDelay(kStableWindow, kStart + seconds(40));
      BOOST_TEST((delay <= kBound), fleet.DescribeLongest());
    }
  }
}

// The heads of the first zones can't read the store (issue 18, and the
// suspicion of issue 21, inc1).
BOOST_AUTO_TEST_CASE(ChangesAreInTimeWhileTheStoreIsSilentToTheFirstHeads) {
  for (const auto& zones : kSizes) {
    for (const std::size_t silent : {1U, 2U, 3U}) {
      Fleet fleet(ConfigOf(zones, 5));
      Random random(silent);
      PublishAtRandom(fleet, random, seconds(40));
      const auto heads = fleet.Heads();
      fleet.Add(
          {FaultKind::kStoreSilent,
           {heads.begin(), heads.begin() + static_cast<std::ptrdiff_t>(silent)},
           kStart + seconds(12),
           kStart + seconds(30)});
      fleet.RunUntil(kStart + seconds(48));
      const Duration delay =
          fleet.LongestDelay(kStableWindow, kStart + seconds(40));
      BOOST_TEST((delay <= kBound), fleet.DescribeLongest());
    }
  }
}

// Two heads at a time stand still.
BOOST_AUTO_TEST_CASE(ChangesAreInTimeWhileHeadsStandStill) {
  for (const auto& zones : kSizes) {
    for (std::size_t first = 0; first < zones.size(); ++first) {
      Fleet fleet(ConfigOf(zones, 7));
      Random random(first);
      PublishAtRandom(fleet, random, seconds(40));
      const auto heads = fleet.Heads();
      const std::size_t second = (first + 1) % heads.size();
      fleet.Add({FaultKind::kFrozen,
                 {heads[first], heads[second]},
                 kStart + seconds(15),
                 kStart + seconds(25)});
      fleet.RunUntil(kStart + seconds(48));
      const Duration delay =
          fleet.LongestDelay(kStableWindow, kStart + seconds(40));
      BOOST_TEST((delay <= kBound), fleet.DescribeLongest());
    }
  }
}

// During an outage few VMs call the store, and its rates are kept when it is
// back (lestage-passerelle-grown hunt-0d7f-7).
BOOST_AUTO_TEST_CASE(FewVmsCallTheStoreDuringAndAfterAnOutage) {
  for (const FaultKind kind :
       {FaultKind::kStoreSilent, FaultKind::kStoreRefuses}) {
    Fleet fleet(ConfigOf(kSizes.back(), 3));
    Fault outage{kind, {}, kStart + seconds(12), kStart + seconds(18)};
    for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
      outage.vms.insert(vm);
    }
    fleet.Add(outage);
    fleet.PublishRoutes(kStart + milliseconds(18'100), 2000);
    fleet.PublishDeparture(kStart + milliseconds(18'100));
    fleet.RunUntil(kStart + seconds(30));
    // A third of the VMs at a time, each with both contents in 450 ms.
    BOOST_TEST(fleet.MaxStoreCallsPerSecond() <=
               static_cast<std::size_t>(fleet.size() / 3.0 * 2.0 / 0.45));
    const Duration delay =
        fleet.LongestDelay(kStableWindow, kStart + seconds(25));
    BOOST_TEST((delay <= kBound), fleet.DescribeLongest());
  }
}

BOOST_AUTO_TEST_CASE(RestartedVmsHaveEverythingSoon) {
  Fleet fleet(ConfigOf(kSizes.back(), 4));
  Fault power{
      FaultKind::kKilled, {}, kStart + seconds(12), kStart + seconds(13)};
  for (std::size_t vm = 0; vm < fleet.size(); vm += 2) {
    power.vms.insert(vm);
  }
  fleet.Add(power);
  fleet.PublishRoutes(kStart + milliseconds(12'500), 2000);
  fleet.RunUntil(kStart + milliseconds(13'150) + kBound);
  fleet.PublishDeparture(kStart + seconds(18));
  fleet.RunUntil(kStart + seconds(25));
  BOOST_TEST((fleet.LongestDelay(seconds(1), kStart + seconds(20)) <= kBound),
             fleet.DescribeLongest());
}

// KINGCUPSHED_FLEET_SEEDS and KINGCUPSHED_FLEET_FIRST_SEED play other seeds
// than CI does.
BOOST_AUTO_TEST_CASE(ChangesAreInTimeOnDaysWithRandomFaults) {
  const char* more = std::getenv("KINGCUPSHED_FLEET_SEEDS");
  const char* start = std::getenv("KINGCUPSHED_FLEET_FIRST_SEED");
  const std::uint64_t seeds =
      more == nullptr ? 120 : std::strtoull(more, nullptr, 10);
  const std::uint64_t first =
      start == nullptr ? 1 : std::strtoull(start, nullptr, 10);
  Duration longest{};
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    longest = std::max(longest, PlayRandomDay(seed));
  }
  BOOST_TEST_MESSAGE("longest delay " << ToSeconds(longest) << " s");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::propagation
