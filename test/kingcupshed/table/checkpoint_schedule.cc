#include "kingcupshed/table/checkpoint_schedule.h"

#include <algorithm>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace kingcupshed::table {

namespace {

using std::chrono::seconds;

constexpr Duration kInterval = seconds(60);
const TimePoint kStart{seconds(100)};

/// Returns a log that was read up to an offset and contains no table.
VersionLog ReadUpTo(std::uint64_t end) {
  VersionLog versions;
  for (std::uint64_t offset = 0; offset < end; ++offset) {
    versions.Apply({LogOffset{offset}, "id", "{}"});
  }
  return versions;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(CheckpointScheduleTest)

BOOST_AUTO_TEST_CASE(EachVmHasItsOwnTime) {
  const VersionLog versions = ReadUpTo(1);
  std::vector<TimePoint> times;
  for (int i = 0; i < 16; ++i) {
    CheckpointSchedule schedule("vm-" + std::to_string(i), kInterval);
    schedule.Observe(versions, LogOffset{}, LogOffset{1}, kStart);
    BOOST_REQUIRE(schedule.due().has_value());
    BOOST_TEST((*schedule.due() - kStart < kInterval / 4));
    times.push_back(*schedule.due());
  }
  std::sort(times.begin(), times.end());
  BOOST_TEST((times[1] - times[0] > std::chrono::milliseconds(100)));
}

BOOST_AUTO_TEST_CASE(NewCheckpointPostponesTheNextOne) {
  VersionLog versions = ReadUpTo(1);
  CheckpointSchedule schedule("vm-1", kInterval);
  schedule.Observe(versions, LogOffset{}, LogOffset{1}, kStart);
  versions.Apply({LogOffset{1}, "id", ToPayload(versions.ToCheckpoint())});
  schedule.Observe(versions, LogOffset{}, LogOffset{2}, kStart);
  BOOST_TEST((*schedule.due() >= kStart + kInterval));
}

BOOST_AUTO_TEST_CASE(CheckpointIsUrgentWhenRetentionReachesTheLastOne) {
  VersionLog versions = ReadUpTo(1);
  CheckpointSchedule schedule("vm-1", kInterval);
  schedule.Observe(versions, LogOffset{}, LogOffset{1}, kStart);
  versions.Apply({LogOffset{1}, "id", ToPayload(versions.ToCheckpoint())});
  for (std::uint64_t offset = 2; offset < 9; ++offset) {
    versions.Apply({LogOffset{offset}, "id", "{}"});
  }
  schedule.Observe(versions, LogOffset{}, LogOffset{9}, kStart);
  BOOST_TEST((*schedule.due() >= kStart + kInterval));
  schedule.Observe(versions, LogOffset{1}, LogOffset{9}, kStart);
  BOOST_TEST((*schedule.due() <= kStart + seconds(1)));
}

BOOST_AUTO_TEST_CASE(ReaderWithIncompleteHistoryAppendsNone) {
  VersionLog versions;
  versions.SkipTo(LogOffset{5});
  CheckpointSchedule schedule("vm-1", kInterval);
  schedule.Observe(versions, LogOffset{5}, LogOffset{5}, kStart);
  BOOST_TEST(!schedule.due().has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::table
