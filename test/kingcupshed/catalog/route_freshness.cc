#include "kingcupshed/catalog/route_freshness.h"

#include <boost/test/unit_test.hpp>

namespace kingcupshed::catalog {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};

}  // namespace

BOOST_AUTO_TEST_SUITE(RouteFreshnessTest)

BOOST_AUTO_TEST_CASE(RoutesAreStaleUntilRead) {
  RouteFreshness freshness;
  BOOST_TEST(freshness.IsStale(kStart));
  freshness.OnRead(kStart);
  BOOST_TEST(!freshness.IsStale(kStart + milliseconds(1500)));
  BOOST_TEST(freshness.IsStale(kStart + milliseconds(2500)));
}

// A change must be active 2.5 s after it was confirmed. The age at which the
// routes are read, a request in progress and a read have to fit into that time.
BOOST_AUTO_TEST_CASE(RoutesAreReadInTimeForTheBound) {
  RouteFreshness freshness;
  freshness.OnRead(kStart);
  BOOST_TEST(
      freshness.IsStale(kStart + milliseconds(2500) - milliseconds(600)));
}

BOOST_AUTO_TEST_CASE(AgeReportedByAPeerIsUsed) {
  RouteFreshness freshness;
  freshness.OnPeerReport(kStart);
  freshness.OnPeerReport(kStart - seconds(1));
  BOOST_TEST((freshness.last_current() == kStart));
  BOOST_TEST(!freshness.IsStale(kStart + seconds(1)));
  BOOST_TEST(freshness.IsStale(kStart + seconds(2)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::catalog
