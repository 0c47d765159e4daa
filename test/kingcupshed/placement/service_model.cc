#include "kingcupshed/placement/service_model.h"

#include <boost/test/unit_test.hpp>

namespace kingcupshed::placement {

namespace {

using std::chrono::milliseconds;

constexpr RouteId kRoute{1};
constexpr RouteId kShortRoute{2};

}  // namespace

BOOST_AUTO_TEST_SUITE(ServiceModelTest)

BOOST_AUTO_TEST_CASE(LearnsTheWorkTimeOfARoute) {
  ServiceModel model;
  for (int i = 0; i < 200; ++i) {
    model.AddWorkTime(kRoute, milliseconds(i % 2 == 0 ? 50 : 70), 1.0, false);
  }
  BOOST_TEST(ToMilliseconds(model.work_time(kRoute, milliseconds(5))) > 55);
  BOOST_TEST(ToMilliseconds(model.work_time(kRoute, milliseconds(5))) < 65);
}

// Guards against one work time for all routes of a service: routes with calls
// of a millisecond then made all calls seem that short, and calls went to slow
// targets without probes.
BOOST_AUTO_TEST_CASE(KeepsOneWorkTimePerRoute) {
  ServiceModel model;
  model.AddWorkTime(kShortRoute, milliseconds(1), 1.0, false);
  BOOST_TEST((model.work_time(kRoute, milliseconds(40)) == milliseconds(40)));
}

// Guards against a first sample that is far off, such as a quick failure of
// 0.8 ms, after which all later samples were rejected as outliers.
BOOST_AUTO_TEST_CASE(RecoversFromAnUnrepresentativeFirstSample) {
  ServiceModel model;
  model.AddWorkTime(kRoute, std::chrono::microseconds(800), 1.0, false);
  for (int i = 0; i < 200; ++i) {
    model.AddWorkTime(kRoute, milliseconds(120), 1.0, false);
  }
  BOOST_TEST(ToMilliseconds(model.work_time(kRoute, milliseconds(5))) > 100);
}

BOOST_AUTO_TEST_CASE(LeavesOutALastSlotThatLowersThroughput) {
  ServiceModel model;
  BOOST_TEST(model.UsefulSlots(3.0) == 3.0);
  for (int i = 0; i < 200; ++i) {
    model.AddWorkTime(kRoute, milliseconds(60), 1.0, false);
    model.AddWorkTime(kRoute, milliseconds(102), 1.0, true);
  }
  BOOST_TEST(model.UsefulSlots(3.0) == 2.0);
  BOOST_TEST(model.UsefulSlots(1.0) == 1.0);
}

BOOST_AUTO_TEST_CASE(PredictsTheTypicalSlowdownForOldReports) {
  ServiceModel model;
  BOOST_TEST(model.PredictSlowdown(5.0, Duration::zero()) == 5.0);
  BOOST_TEST(model.PredictSlowdown(5.0, milliseconds(1000)) < 1.1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::placement
