#include "kingcupshed/target/evidence.h"

#include <boost/test/unit_test.hpp>

namespace kingcupshed::target {

namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::seconds(1)};

}  // namespace

BOOST_AUTO_TEST_SUITE(EvidenceTest)

BOOST_AUTO_TEST_CASE(ReportThatDisagreesLosesTrust) {
  Evidence evidence;
  const LoadReport idle{0, 0, 3};
  evidence.Report(idle, kStart, true);
  evidence.Report(idle, kStart, true);
  BOOST_TEST(evidence.trust() <= 0.25);
  for (int at = 0; at < 10; ++at) {
    evidence.Report(idle, kStart, false);
  }
  BOOST_TEST(evidence.trust() == 1.0);
}

BOOST_AUTO_TEST_CASE(OldAttemptsAreCounted) {
  Evidence evidence;
  evidence.Start(kStart);
  evidence.Start(kStart + milliseconds(50));
  BOOST_TEST(evidence.StartedBefore(kStart + milliseconds(50)) == 1U);
  evidence.End(kStart);
  BOOST_TEST(evidence.StartedBefore(kStart + milliseconds(50)) == 0U);
  BOOST_TEST(evidence.in_flight() == 1U);
}

BOOST_AUTO_TEST_CASE(SlowTargetHardlyMovesTheUsualLatency) {
  LatencyEstimate latency;
  for (int at = 0; at < 1000; ++at) {
    latency.Add(milliseconds(5 + at % 11));
  }
  for (int at = 0; at < 10; ++at) {
    latency.Add(milliseconds(1000));
  }
  BOOST_TEST((latency.mean({}) < milliseconds(16)));
  BOOST_TEST((latency.upper({}) < milliseconds(60)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::target
