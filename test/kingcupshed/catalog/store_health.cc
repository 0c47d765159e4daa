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
  health.NoteAnswer(milliseconds(124), kStart);
  health.NoteAnswer(milliseconds(150), kStart + seconds(1));
  BOOST_TEST(!health.IsDoubtful(kStart + seconds(1)));
}

BOOST_AUTO_TEST_CASE(DoubtsASlowStoreForAWhile) {
  StoreHealth health;
  health.NoteAnswer(milliseconds(8), kStart);
  health.NoteAnswer(milliseconds(120), kStart + seconds(1));
  BOOST_TEST(health.IsDoubtful(kStart + seconds(5)));
  BOOST_TEST(!health.IsDoubtful(kStart + seconds(7)));
}

BOOST_AUTO_TEST_CASE(DoubtsAStoreThatFailed) {
  StoreHealth health;
  health.NoteFailure(kStart);
  BOOST_TEST(health.IsDoubtful(kStart + seconds(4)));
}

// A VM that starts while the store is slow has nothing to compare with.
BOOST_AUTO_TEST_CASE(LearnsWhatIsFastLate) {
  StoreHealth health;
  health.NoteAnswer(milliseconds(300), kStart);
  health.NoteAnswer(milliseconds(290), kStart + seconds(1));
  BOOST_TEST(!health.IsDoubtful(kStart + seconds(1)));
  health.NoteAnswer(milliseconds(10), kStart + seconds(2));
  BOOST_TEST(!health.IsDoubtful(kStart + seconds(2)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::catalog
