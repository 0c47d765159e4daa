#include "kingcupshed/target/target_stats.h"

#include <boost/test/unit_test.hpp>

namespace kingcupshed::target {

namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::seconds(1)};

}  // namespace

BOOST_AUTO_TEST_SUITE(TargetStatsTest)

BOOST_AUTO_TEST_CASE(ContradictedReportsLowerConfidence) {
  TargetStats stats;
  const LoadReport idle{0, 0, 3};
  stats.OnReport(idle, kStart, true);
  stats.OnReport(idle, kStart, true);
  BOOST_TEST(stats.report_confidence() <= 0.25);
  for (int i = 0; i < 10; ++i) {
    stats.OnReport(idle, kStart, false);
  }
  BOOST_TEST(stats.report_confidence() == 1.0);
}

BOOST_AUTO_TEST_CASE(CountsAttemptsStartedBeforeAnInstant) {
  TargetStats stats;
  stats.OnAttemptStarted(kStart);
  stats.OnAttemptStarted(kStart + milliseconds(50));
  BOOST_TEST(stats.CountStartedBefore(kStart + milliseconds(50)) == 1U);
  stats.OnAttemptEnded(kStart);
  BOOST_TEST(stats.CountStartedBefore(kStart + milliseconds(50)) == 0U);
  BOOST_TEST(stats.in_flight() == 1U);
}

BOOST_AUTO_TEST_CASE(OutliersHardlyMoveTheLatencyEstimate) {
  LatencyEstimate latency;
  for (int i = 0; i < 1000; ++i) {
    latency.AddSample(milliseconds(5 + i % 11));
  }
  for (int i = 0; i < 10; ++i) {
    latency.AddSample(milliseconds(1000));
  }
  BOOST_TEST((latency.mean({}) < milliseconds(16)));
  BOOST_TEST((latency.upper({}) < milliseconds(60)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::target
