#include "kingcupshed/target/health.h"

#include <boost/test/unit_test.hpp>

namespace kingcupshed::target {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1)};

}  // namespace

BOOST_AUTO_TEST_SUITE(HealthTest)

BOOST_AUTO_TEST_CASE(WarmTargetIsLiveAtOnce) {
  const Health health(true, kStart);
  BOOST_TEST((health.state() == HealthState::kLive));
  BOOST_TEST(health.start_share(kStart) == 1.0);
}

BOOST_AUTO_TEST_CASE(ColdTargetStartsSlowly) {
  Health health(false, kStart);
  BOOST_TEST((health.state() == HealthState::kStarting));
  BOOST_TEST(health.serves());
  BOOST_TEST(health.start_share(kStart) < 0.2);
  BOOST_TEST(health.start_share(kStart + seconds(2)) > 0.5);
  health.Advance(kStart + seconds(3));
  BOOST_TEST((health.state() == HealthState::kLive));
}

BOOST_AUTO_TEST_CASE(EjectionEndsInASlowStartAndGrows) {
  Health health(true, kStart);
  health.Eject(kStart);
  BOOST_TEST(!health.serves());
  health.Advance(kStart + milliseconds(499));
  BOOST_TEST((health.state() == HealthState::kEjected));
  health.Advance(kStart + milliseconds(500));
  BOOST_TEST((health.state() == HealthState::kStarting));
  health.Eject(kStart + milliseconds(600));
  health.Advance(kStart + milliseconds(1500));
  BOOST_TEST((health.state() == HealthState::kEjected));
  health.Advance(kStart + milliseconds(1600));
  BOOST_TEST((health.state() == HealthState::kStarting));
}

BOOST_AUTO_TEST_CASE(LeavingTargetServesOnlyOnceItIsBack) {
  Health health(true, kStart);
  health.Leave();
  BOOST_TEST(!health.serves());
  health.Eject(kStart);
  health.Advance(kStart + seconds(60));
  BOOST_TEST((health.state() == HealthState::kLeaving));
  health.Return(kStart + seconds(60));
  BOOST_TEST((health.state() == HealthState::kStarting));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::target
