#include "kingcupshed/placement/retry_budget.h"

#include <algorithm>
#include <random>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace kingcupshed::placement {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};
constexpr RetryBudgetRule kRule{0.2, seconds(10), 60.0};

RetryBudget MakeBudget(std::size_t vms) {
  RetryBudget budget;
  budget.Configure(kRule, vms);
  return budget;
}

int SpendAll(RetryBudget& budget, TimePoint now) {
  int spent = 0;
  while (budget.TrySpend(now, 0.0)) {
    ++spent;
  }
  return spent;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(Budget)

BOOST_AUTO_TEST_CASE(AllowsAPartOfTheSlackWithoutCalls) {
  RetryBudget budget = MakeBudget(4);
  BOOST_TEST(SpendAll(budget, kStart) == 13);  // 0.9 x 60 / 4
}

BOOST_AUTO_TEST_CASE(AllowsAShareOfTheCalls) {
  RetryBudget budget = MakeBudget(1000);
  for (int call = 0; call < 100; ++call) {
    budget.NoteCall(kStart);
  }
  BOOST_TEST(SpendAll(budget, kStart) == 18);  // 0.9 x 0.2 x 100
}

BOOST_AUTO_TEST_CASE(NeverExceedsTheRuleInAnyWindow) {
  RetryBudget budget = MakeBudget(1);
  std::vector<TimePoint> calls;
  std::vector<TimePoint> repeats;
  for (int step = 0; step < 600; ++step) {
    const TimePoint now = kStart + step * milliseconds(100);
    const int load = step % 150 < 20 ? 30 : 2;
    for (int call = 0; call < load; ++call) {
      budget.NoteCall(now);
      calls.push_back(now);
    }
    while (budget.TrySpend(now, 0.0)) {
      repeats.push_back(now);
    }
  }
  const auto count = [](const std::vector<TimePoint>& times, TimePoint from,
                        TimePoint to) {
    return static_cast<double>(std::count_if(
        times.begin(), times.end(),
        [&](TimePoint time) { return time >= from && time < to; }));
  };
  for (int step = 0; step < 500; ++step) {
    const TimePoint from = kStart + step * milliseconds(100);
    const TimePoint to = from + kRule.window;
    const double requests = std::max(
        {count(calls, from, to), count(calls, from - kRule.window, from),
         count(calls, from - kRule.window / 2, to - kRule.window / 2)});
    BOOST_TEST(count(repeats, from, to) <=
               kRule.ratio * requests + kRule.slack);
  }
}

BOOST_AUTO_TEST_CASE(LeavesAReserve) {
  RetryBudget budget = MakeBudget(20);
  BOOST_TEST(!budget.TrySpend(kStart, 2.0));
  BOOST_TEST(budget.TrySpend(kStart, 0.0));
}

BOOST_AUTO_TEST_CASE(ForgetsAfterThePause) {
  RetryBudget budget = MakeBudget(4);
  SpendAll(budget, kStart);
  BOOST_TEST(SpendAll(budget, kStart + seconds(60)) == 13);
}

// VMs die with their part of the budget spent, come back, and others join: the
// fleet keeps to the rule in every window. A VM that came back used to spend
// its part of the slack once more.
BOOST_AUTO_TEST_CASE(HoldsOverAFleetWhoseVmsDieAndJoin) {
  constexpr std::size_t kVms = 8;
  constexpr int kSteps = 900;
  constexpr milliseconds kStep{100};
  std::mt19937_64 random(7);
  std::vector<RetryBudget> fleet(kVms, MakeBudget(kVms));
  std::vector<int> calls(kSteps, 0);
  std::vector<int> repeats(kSteps, 0);
  for (int step = 0; step < kSteps; ++step) {
    const TimePoint now = kStart + step * kStep;
    for (RetryBudget& budget : fleet) {
      if (random() % 60 == 0) {
        budget = RetryBudget();
        budget.Configure(kRule, fleet.size(), now + kRule.window);
      }
      const int load = step % 200 < 30 ? 12 : 1;
      for (int call = 0; call < load; ++call) {
        budget.NoteCall(now);
      }
      calls[static_cast<std::size_t>(step)] += load;
      repeats[static_cast<std::size_t>(step)] += SpendAll(budget, now);
    }
    if (step == kSteps / 2) {
      RetryBudget joined;
      joined.Configure(kRule, fleet.size() + 1, now + kRule.window);
      fleet.push_back(joined);
      for (RetryBudget& budget : fleet) {
        budget.Configure(kRule, fleet.size(), now + kRule.window);
      }
    }
  }
  const auto sum = [](const std::vector<int>& counts, int from, int to) {
    double total = 0.0;
    for (int at = std::max(0, from);
         at < std::min(static_cast<int>(counts.size()), to); ++at) {
      total += counts[static_cast<std::size_t>(at)];
    }
    return total;
  };
  constexpr int kWindow = static_cast<int>(kRule.window / kStep);
  for (int from = 0; from + kWindow <= kSteps; ++from) {
    const double requests = std::max(
        {sum(calls, from, from + kWindow), sum(calls, from - kWindow, from),
         sum(calls, from - kWindow / 2, from + kWindow / 2)});
    BOOST_TEST(sum(repeats, from, from + kWindow) <=
               kRule.ratio * requests + kRule.slack);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::placement
