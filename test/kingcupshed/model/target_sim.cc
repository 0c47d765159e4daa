#include "kingcupshed/model/target_sim.h"

#include <vector>

#include <boost/test/unit_test.hpp>

namespace kingcupshed::model {

namespace {

using std::chrono::milliseconds;

struct Rig {
  Rig() {
    service.slots = 2;
    service.queue = 1;
    service.crowded_from = 0.8;
    service.crowded_factor = 2.0;
  }

  bool Take(TargetSim& target, std::uint64_t id) {
    return target.Take(id, milliseconds(10),
                       [this, id](const WorkTimes& times) {
                         ended.push_back(id);
                         last = times;
                       });
  }

  ServiceScenario service;
  Clock clock;
  std::vector<std::uint64_t> ended;
  WorkTimes last;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(Targets, Rig)

BOOST_AUTO_TEST_CASE(RunAsManyAsTheyHaveSlotsAndQueueTheRest) {
  TargetSim target(service, clock, 1);
  BOOST_TEST(Take(target, 1));
  BOOST_TEST(Take(target, 2));
  BOOST_TEST(Take(target, 3));
  BOOST_TEST(!Take(target, 4));
  BOOST_TEST(target.Report().in_flight == 2U);
  BOOST_TEST(target.Report().queued == 1U);
  clock.RunUntil(TimePoint{milliseconds(10)});
  BOOST_TEST((ended == std::vector<std::uint64_t>{1}));
  // The second one took the last slot, and so did the third from the queue.
  clock.RunUntil(TimePoint{milliseconds(20)});
  BOOST_TEST((ended == std::vector<std::uint64_t>{1, 2}));
  clock.RunUntil(TimePoint{milliseconds(30)});
  BOOST_TEST((ended == std::vector<std::uint64_t>{1, 2, 3}));
  BOOST_TEST((last.queued == milliseconds(10)));
  BOOST_TEST(last.slowdown == 2.0);
}

BOOST_AUTO_TEST_CASE(ForgetWorkThatIsDropped) {
  TargetSim target(service, clock, 1);
  for (std::uint64_t id = 1; id <= 3; ++id) {
    BOOST_TEST(Take(target, id));
  }
  target.Drop(1);
  target.Drop(9);
  BOOST_TEST(target.Report().in_flight == 2U);
  BOOST_TEST(target.Report().queued == 0U);
  clock.RunUntil(TimePoint{milliseconds(50)});
  BOOST_TEST((ended == std::vector<std::uint64_t>{2, 3}));
}

BOOST_AUTO_TEST_CASE(LoseTheirWorkWhenTheyGoDown) {
  TargetSim target(service, clock, 1);
  BOOST_TEST(Take(target, 1));
  target.SetDown(true);
  BOOST_TEST(!Take(target, 2));
  clock.RunUntil(TimePoint{milliseconds(50)});
  BOOST_TEST(ended.empty());
  target.SetDown(false);
  BOOST_TEST(Take(target, 3));
}

BOOST_AUTO_TEST_CASE(AreSlowForTheirShareOfTime) {
  service.noise = {0.25, 5.0, milliseconds(150)};
  std::vector<std::unique_ptr<TargetSim>> targets;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    targets.push_back(std::make_unique<TargetSim>(service, clock, seed));
  }
  int slow = 0;
  int seen = 0;
  for (int step = 1; step <= 200; ++step) {
    clock.RunUntil(TimePoint{milliseconds(100 * step)});
    for (const auto& target : targets) {
      ++seen;
      slow += target->Report().slowdown > 1.0 ? 1 : 0;
    }
  }
  const double share = static_cast<double>(slow) / seen;
  BOOST_TEST(share > 0.22);
  BOOST_TEST(share < 0.28);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::model
