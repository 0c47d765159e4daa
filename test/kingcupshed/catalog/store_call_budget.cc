#include "kingcupshed/catalog/store_call_budget.h"

#include <vector>

#include <boost/test/unit_test.hpp>

namespace kingcupshed::catalog {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};

/// Calls within a span when each is sent after the wait that it was told.
int CallsWithin(StoreCallBudget& budget, Duration span, int tried) {
  int sent = 0;
  for (int at = 0; at < tried; ++at) {
    sent += budget.ReserveRead(kStart) <= span ? 1 : 0;
  }
  return sent;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(CallBudgets)

BOOST_AUTO_TEST_CASE(HaveNoBoundWithoutLimits) {
  StoreCallBudget budget(StoreCallLimits{});
  BOOST_TEST(CallsWithin(budget, Duration::zero(), 1000) == 1000);
  BOOST_TEST((budget.ReserveWrite(kStart) == Duration::zero()));
}

// Half a second's worth at once, then one by one.
BOOST_AUTO_TEST_CASE(SpreadWhatIsBeyondTheLimit) {
  StoreCallBudget budget({100.0, 10.0});
  BOOST_TEST(CallsWithin(budget, seconds(2), 1000) <= 200);
  StoreCallBudget fresh({100.0, 10.0});
  BOOST_TEST(CallsWithin(fresh, Duration::zero(), 1000) == 50);
}

BOOST_AUTO_TEST_CASE(KeepReadsAndWritesApart) {
  StoreCallBudget budget({1.0, 1.0});
  BOOST_TEST((budget.ReserveRead(kStart) == Duration::zero()));
  BOOST_TEST((budget.ReserveWrite(kStart) == Duration::zero()));
  BOOST_TEST((budget.ReserveRead(kStart) > Duration::zero()));
}

// All VMs restart at once and read as fast as they may: the fleet stays within
// the store's limit in every second, whatever its size.
BOOST_AUTO_TEST_CASE(HoldOverTheFleet) {
  for (const std::size_t vms : {1U, 16U, 144U}) {
    std::vector<StoreCallBudget> fleet(vms, StoreCallBudget({2000.0, 400.0}));
    int first = 0;
    for (StoreCallBudget& budget : fleet) {
      budget.SetFleetSize(vms);
      first += CallsWithin(budget, seconds(1), 5000);
    }
    BOOST_TEST(first <= 2000);
    BOOST_TEST(first > 1700);
  }
}

BOOST_AUTO_TEST_CASE(FollowTheSizeOfTheFleet) {
  StoreCallBudget budget({50.0, 50.0});
  budget.SetFleetSize(10);
  BOOST_TEST(CallsWithin(budget, Duration::zero(), 100) == 3);
  BOOST_TEST((budget.ReserveRead(kStart) > milliseconds(300)));
}

// A VM that reads for its zone must keep its pace in a large fleet too.
BOOST_AUTO_TEST_CASE(LeaveAReaderWhatItNeeds) {
  StoreCallBudget budget({100.0, 100.0});
  budget.SetFleetSize(1000);
  BOOST_TEST(CallsWithin(budget, Duration::zero(), 100) == 3);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::catalog
