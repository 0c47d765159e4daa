#include "kingcupshed/model/simulated_target.h"

#include <vector>

#include <boost/test/unit_test.hpp>

namespace kingcupshed::model {

namespace {

using std::chrono::milliseconds;

struct TargetFixture {
  TargetFixture() {
    service.slots = 2;
    service.queue_limit = 1;
    service.crowding_threshold = 0.8;
    service.crowding_factor = 2.0;
  }

  bool Submit(SimulatedTarget& target, std::uint64_t id) {
    last_submission =
        target.Submit(id, milliseconds(10), [this, id](const WorkTimes& times) {
          completed.push_back(id);
          last_times = times;
        });
    return last_submission == Submission::kAccepted;
  }

  ServiceScenario service;
  VirtualClock clock;
  std::vector<std::uint64_t> completed;
  WorkTimes last_times;
  Submission last_submission = Submission::kAccepted;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(SimulatedTargetTest, TargetFixture)

BOOST_AUTO_TEST_CASE(RunsWorkInFreeSlotsAndQueuesTheRest) {
  SimulatedTarget target(service, clock, 1);
  BOOST_TEST(Submit(target, 1));
  BOOST_TEST(Submit(target, 2));
  BOOST_TEST(Submit(target, 3));
  BOOST_TEST(!Submit(target, 4));
  BOOST_TEST(target.Report().in_flight == 2U);
  BOOST_TEST(target.Report().queued == 1U);
  clock.RunUntil(TimePoint{milliseconds(10)});
  BOOST_TEST((completed == std::vector<std::uint64_t>{1}));
  // The second item took the last slot and the third followed from the queue,
  // so both ran with the crowding factor.
  clock.RunUntil(TimePoint{milliseconds(20)});
  BOOST_TEST((completed == std::vector<std::uint64_t>{1, 2}));
  clock.RunUntil(TimePoint{milliseconds(30)});
  BOOST_TEST((completed == std::vector<std::uint64_t>{1, 2, 3}));
  BOOST_TEST((last_times.queue_time == milliseconds(10)));
  BOOST_TEST(last_times.slowdown == 2.0);
}

BOOST_AUTO_TEST_CASE(RefusesOrIgnoresWorkWhenFull) {
  for (const bool silent : {false, true}) {
    service.silent_when_full = silent;
    SimulatedTarget target(service, clock, 1);
    for (std::uint64_t id = 1; id <= 4; ++id) {
      (void)Submit(target, id);
    }
    BOOST_TEST((last_submission ==
                (silent ? Submission::kUnanswered : Submission::kRefused)));
  }
}

BOOST_AUTO_TEST_CASE(CancelledWorkLeavesTheTarget) {
  SimulatedTarget target(service, clock, 1);
  for (std::uint64_t id = 1; id <= 3; ++id) {
    BOOST_TEST(Submit(target, id));
  }
  target.Cancel(1);
  target.Cancel(9);
  BOOST_TEST(target.Report().in_flight == 2U);
  BOOST_TEST(target.Report().queued == 0U);
  clock.RunUntil(TimePoint{milliseconds(50)});
  BOOST_TEST((completed == std::vector<std::uint64_t>{2, 3}));
}

BOOST_AUTO_TEST_CASE(GoingDownDiscardsAllWork) {
  SimulatedTarget target(service, clock, 1);
  BOOST_TEST(Submit(target, 1));
  target.SetDown(true);
  BOOST_TEST(!Submit(target, 2));
  clock.RunUntil(TimePoint{milliseconds(50)});
  BOOST_TEST(completed.empty());
  target.SetDown(false);
  BOOST_TEST(Submit(target, 3));
}

BOOST_AUTO_TEST_CASE(IsSlowForTheConfiguredShareOfTime) {
  service.noise = {0.25, 5.0, milliseconds(150)};
  std::vector<std::unique_ptr<SimulatedTarget>> targets;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    targets.push_back(std::make_unique<SimulatedTarget>(service, clock, seed));
  }
  int slow = 0;
  int samples = 0;
  for (int step = 1; step <= 200; ++step) {
    clock.RunUntil(TimePoint{milliseconds(100 * step)});
    for (const auto& target : targets) {
      ++samples;
      slow += target->Report().slowdown > 1.0 ? 1 : 0;
    }
  }
  const double share = static_cast<double>(slow) / samples;
  BOOST_TEST(share > 0.22);
  BOOST_TEST(share < 0.28);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::model
