#include "kingcupshed/catalog/route_freshness.h"

#include <boost/test/unit_test.hpp>

namespace kingcupshed::catalog {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};

}  // namespace

BOOST_AUTO_TEST_SUITE(Routes)

BOOST_AUTO_TEST_CASE(AreStaleUntilTheyAreRead) {
  RouteFreshness watch;
  BOOST_TEST(watch.IsStale(kStart));
  watch.OnRead(kStart);
  BOOST_TEST(!watch.IsStale(kStart + milliseconds(1500)));
  BOOST_TEST(watch.IsStale(kStart + milliseconds(2500)));
}

// A change must be in force 2.5 s after it was confirmed: the age at which the
// routes are read, a question under way and a read have to fit.
BOOST_AUTO_TEST_CASE(AreReadInTimeForTheBound) {
  RouteFreshness watch;
  watch.OnRead(kStart);
  BOOST_TEST(watch.IsStale(kStart + milliseconds(2500) - milliseconds(600)));
}

BOOST_AUTO_TEST_CASE(StayCurrentWhileAPollWaitsAtASoundStore) {
  RouteFreshness watch;
  watch.OnRead(kStart);
  watch.OnPollSent(kStart + seconds(1));
  watch.OnStoreHealthy(kStart + seconds(3));
  BOOST_TEST(!watch.IsStale(kStart + seconds(4)));
  BOOST_TEST(watch.IsStale(kStart + seconds(6)));
}

// The VM reads the targets for itself, but has no poll for routes.
BOOST_AUTO_TEST_CASE(FreshTargetsSayNothingOfThem) {
  RouteFreshness watch;
  watch.OnRead(kStart);
  watch.OnStoreHealthy(kStart + seconds(1));
  watch.OnStoreHealthy(kStart + seconds(2));
  BOOST_TEST(watch.IsStale(kStart + seconds(2)));
}

BOOST_AUTO_TEST_CASE(APollThatEndedOrCameLaterSaysNothing) {
  RouteFreshness watch;
  watch.OnRead(kStart);
  watch.OnPollSent(kStart + milliseconds(100));
  watch.OnPollEnded();
  watch.OnStoreHealthy(kStart + seconds(2));
  BOOST_TEST(watch.IsStale(kStart + seconds(3)));
  watch.OnPollSent(kStart + seconds(4));
  watch.OnStoreHealthy(kStart + seconds(3));
  BOOST_TEST(watch.IsStale(kStart + seconds(4)));
}

// A poll that waited while the store was slow is never woken, also long after.
BOOST_AUTO_TEST_CASE(APollFromBeforeADisturbanceSaysNothing) {
  RouteFreshness watch;
  watch.OnRead(kStart);
  watch.OnPollSent(kStart);
  watch.OnStoreDegraded();
  watch.OnStoreHealthy(kStart + seconds(8));
  BOOST_TEST(watch.IsStale(kStart + seconds(8)));
  watch.OnPollSent(kStart + seconds(9));
  watch.OnStoreHealthy(kStart + seconds(10));
  BOOST_TEST(!watch.IsStale(kStart + seconds(11)));
}

BOOST_AUTO_TEST_CASE(TakeOverTheAgeThatAnotherVmTells) {
  RouteFreshness watch;
  watch.OnPeerReport(kStart);
  watch.OnPeerReport(kStart - seconds(1));
  BOOST_TEST((watch.last_current() == kStart));
  BOOST_TEST(!watch.IsStale(kStart + seconds(1)));
  BOOST_TEST(watch.IsStale(kStart + seconds(2)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::catalog
