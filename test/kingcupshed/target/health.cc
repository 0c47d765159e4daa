#include "kingcupshed/target/health.h"

#include <boost/test/unit_test.hpp>

namespace kingcupshed::target {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1)};

}  // namespace

BOOST_AUTO_TEST_SUITE(HealthTest)

BOOST_AUTO_TEST_CASE(WarmTargetIsLiveImmediately) {
  const Health health(true, kStart);
  BOOST_TEST((health.state() == HealthState::kLive));
  BOOST_TEST(health.slow_start_share(kStart) == 1.0);
}

BOOST_AUTO_TEST_CASE(ColdTargetBeginsInSlowStart) {
  Health health(false, kStart);
  BOOST_TEST((health.state() == HealthState::kSlowStart));
  BOOST_TEST(health.is_serving());
  BOOST_TEST(health.slow_start_share(kStart) < 0.2);
  BOOST_TEST(health.slow_start_share(kStart + seconds(2)) > 0.5);
  health.Advance(kStart + seconds(3));
  BOOST_TEST((health.state() == HealthState::kLive));
}

BOOST_AUTO_TEST_CASE(EjectionEndsInSlowStartAndDoublesInLength) {
  Health health(true, kStart);
  health.Eject(kStart);
  BOOST_TEST(!health.is_serving());
  health.Advance(kStart + milliseconds(499));
  BOOST_TEST((health.state() == HealthState::kEjected));
  health.Advance(kStart + milliseconds(500));
  BOOST_TEST((health.state() == HealthState::kSlowStart));
  health.Eject(kStart + milliseconds(600));
  health.Advance(kStart + milliseconds(1500));
  BOOST_TEST((health.state() == HealthState::kEjected));
  health.Advance(kStart + milliseconds(1600));
  BOOST_TEST((health.state() == HealthState::kSlowStart));
}

BOOST_AUTO_TEST_CASE(LeavingTargetServesOnlyAfterTheMarkIsCleared) {
  Health health(true, kStart);
  health.MarkLeaving();
  BOOST_TEST(!health.is_serving());
  health.Eject(kStart);
  health.Advance(kStart + seconds(60));
  BOOST_TEST((health.state() == HealthState::kLeaving));
  health.ClearLeaving(kStart + seconds(60));
  BOOST_TEST((health.state() == HealthState::kSlowStart));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::target
