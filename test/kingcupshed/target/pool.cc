#include "kingcupshed/target/pool.h"

#include <vector>

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

namespace kingcupshed::target {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1)};

std::vector<TargetInfo> MakeTargets(std::uint32_t count) {
  std::vector<TargetInfo> targets(count);
  for (std::uint32_t i = 0; i < count; ++i) {
    targets[i].id = TargetId{i};
  }
  return targets;
}

std::size_t CountViews(const Pool& pool, TimePoint now) {
  std::vector<routing::TargetView> views;
  pool.AppendViews(ServiceId{0}, {}, now, views);
  return views.size();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(PoolTest)

BOOST_AUTO_TEST_CASE(EjectionNeverLeavesAServiceWithoutTargets) {
  const bool passed = rc::check("ejection is bounded", [] {
    const auto count = *rc::gen::inRange<std::uint32_t>(1, 20);
    Pool pool(ZoneId{0}, RegionId{0});
    pool.SetTargets(MakeTargets(count), kStart);
    TimePoint now = kStart;
    for (int step = 0; step < 50; ++step) {
      now += milliseconds(*rc::gen::inRange(0, 400));
      pool.Advance(now);
      pool.TryEject(TargetId{*rc::gen::inRange<std::uint32_t>(0, count)}, now);
      RC_ASSERT(CountViews(pool, now) * 3 >= count * 2 - 2);
      RC_ASSERT(CountViews(pool, now) > 0U);
    }
  });
  BOOST_TEST(passed);
}

BOOST_AUTO_TEST_CASE(StaleListDoesNotClearTheLeavingMark) {
  Pool pool(ZoneId{0}, RegionId{0});
  pool.SetTargets(MakeTargets(3), kStart);
  pool.SetLeaving(TargetId{1}, true, kStart);
  BOOST_TEST(CountViews(pool, kStart) == 2U);
  pool.SetTargets(MakeTargets(3), kStart + seconds(1));
  BOOST_TEST(CountViews(pool, kStart + seconds(1)) == 2U);
  auto marked = MakeTargets(3);
  marked[1].leaving = true;
  pool.SetTargets(marked, kStart + seconds(2));
  BOOST_TEST(CountViews(pool, kStart + seconds(2)) == 2U);
  pool.SetTargets(MakeTargets(3), kStart + seconds(3));
  BOOST_TEST(CountViews(pool, kStart + seconds(3)) == 3U);
}

BOOST_AUTO_TEST_CASE(UnlistedTargetGetsNoWorkButFinishesItsAttempts) {
  Pool pool(ZoneId{0}, RegionId{0});
  pool.SetTargets(MakeTargets(2), kStart);
  pool.Find(TargetId{1})->stats.OnAttemptStarted(kStart);
  pool.SetTargets(MakeTargets(1), kStart);
  BOOST_TEST(CountViews(pool, kStart) == 1U);
  BOOST_REQUIRE((pool.Find(TargetId{1}) != nullptr));
  pool.Find(TargetId{1})->stats.OnAttemptEnded(kStart);
  pool.SetTargets(MakeTargets(1), kStart);
  BOOST_TEST((pool.Find(TargetId{1}) == nullptr));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::target
