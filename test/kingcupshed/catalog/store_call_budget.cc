#include "kingcupshed/catalog/store_call_budget.h"

#include <vector>

#include <boost/test/unit_test.hpp>

namespace kingcupshed::catalog {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};

/// Reserves reads at `kStart` and returns how many of them may be sent within
/// `window`.
int ReadsWithin(StoreCallBudget& budget, Duration window, int attempts) {
  int sent = 0;
  for (int at = 0; at < attempts; ++at) {
    sent += budget.ReserveRead(kStart) <= window ? 1 : 0;
  }
  return sent;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(StoreCallBudgetTest)

BOOST_AUTO_TEST_CASE(CallsAreUnlimitedWithoutLimits) {
  StoreCallBudget budget(StoreCallLimits{});
  BOOST_TEST(ReadsWithin(budget, Duration::zero(), 1000) == 1000);
  BOOST_TEST((budget.ReserveWrite(kStart) == Duration::zero()));
}

// A burst of half a second's calls, then one call at a time.
BOOST_AUTO_TEST_CASE(CallsBeyondTheBurstAreSpreadOut) {
  StoreCallBudget budget({100.0, 10.0});
  BOOST_TEST(ReadsWithin(budget, seconds(2), 1000) <= 200);
  StoreCallBudget unused({100.0, 10.0});
  BOOST_TEST(ReadsWithin(unused, Duration::zero(), 1000) == 50);
}

BOOST_AUTO_TEST_CASE(ReadsAndWritesAreLimitedSeparately) {
  StoreCallBudget budget({1.0, 1.0});
  BOOST_TEST((budget.ReserveRead(kStart) == Duration::zero()));
  BOOST_TEST((budget.ReserveWrite(kStart) == Duration::zero()));
  BOOST_TEST((budget.ReserveRead(kStart) > Duration::zero()));
}

// When all VMs restart at once and read as fast as they may, the fleet stays
// within the store's limit in every second, whatever its size.
BOOST_AUTO_TEST_CASE(FleetStaysWithinTheLimit) {
  for (const std::size_t vms : {1U, 16U, 144U}) {
    std::vector<StoreCallBudget> fleet(vms, StoreCallBudget({2000.0, 400.0}));
    int in_first_second = 0;
    for (StoreCallBudget& budget : fleet) {
      budget.SetFleetSize(vms);
      in_first_second += ReadsWithin(budget, seconds(1), 5000);
    }
    BOOST_TEST(in_first_second <= 2000);
    BOOST_TEST(in_first_second > 1700);
  }
}

BOOST_AUTO_TEST_CASE(ShareDependsOnTheFleetSize) {
  StoreCallBudget budget({50.0, 50.0});
  budget.SetFleetSize(10);
  BOOST_TEST(ReadsWithin(budget, Duration::zero(), 100) == 3);
  BOOST_TEST((budget.ReserveRead(kStart) > milliseconds(300)));
}

// A VM that reads for its zone must keep its polling interval in a large fleet
// too.
BOOST_AUTO_TEST_CASE(ShareHasALowerBoundForReaders) {
  StoreCallBudget budget({100.0, 100.0});
  budget.SetFleetSize(1000);
  BOOST_TEST(ReadsWithin(budget, Duration::zero(), 100) == 3);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::catalog
