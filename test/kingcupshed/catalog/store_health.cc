#include "kingcupshed/catalog/store_health.h"

#include <boost/test/unit_test.hpp>

namespace kingcupshed::catalog {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};

}  // namespace

BOOST_AUTO_TEST_SUITE(Health)

BOOST_AUTO_TEST_CASE(TrustsASteadyStore) {
  StoreHealth health;
  health.OnResponse(milliseconds(124), kStart);
  health.OnResponse(milliseconds(150), kStart + seconds(1));
  BOOST_TEST(!health.IsDegraded(kStart + seconds(6)));
}

// A VM that began to read while the store was slow took that for usual, and a
// poll that it sent then was never woken (lestage-passerelle trouble-2).
BOOST_AUTO_TEST_CASE(DoubtsAStoreThatItHasJustBegunToRead) {
  StoreHealth health;
  health.OnResponse(milliseconds(300), kStart);
  BOOST_TEST(health.IsDegraded(kStart + seconds(4)));
  health.OnResponse(milliseconds(300), kStart + seconds(6));
  BOOST_TEST(!health.IsDegraded(kStart + seconds(6)));
  health.OnResponse(milliseconds(20), kStart + seconds(7));
  BOOST_TEST(health.IsDegraded(kStart + seconds(8)));
}

BOOST_AUTO_TEST_CASE(DoubtsASlowStoreForAWhile) {
  StoreHealth health;
  health.OnResponse(milliseconds(8), kStart);
  health.OnResponse(milliseconds(9), kStart + seconds(6));
  health.OnResponse(milliseconds(120), kStart + seconds(7));
  BOOST_TEST(health.IsDegraded(kStart + seconds(11)));
  BOOST_TEST(!health.IsDegraded(kStart + seconds(13)));
}

BOOST_AUTO_TEST_CASE(DoubtsAStoreThatFailed) {
  StoreHealth health;
  health.OnFailure(kStart);
  BOOST_TEST(health.IsDegraded(kStart + seconds(4)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::catalog
