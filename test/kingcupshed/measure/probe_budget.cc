#include "kingcupshed/measure/probe_budget.h"

#include <algorithm>
#include <optional>
#include <vector>

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

#include "support/promise.h"

namespace kingcupshed::measure {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(10)};
constexpr std::uint32_t kMostVms = 4;

/// A probe as a target sees it.
struct Arrival {
  TimePoint at;
  Duration cost;
};

/// Probe time that was lent to a VM and is still under way.
struct Loan {
  std::size_t borrower = 0;
  TimePoint arrives;
  TimePoint valid_until;
  Duration amount{};
};

/// Returns the largest probe time that arrived within any second.
Duration WorstSecond(std::vector<Arrival> arrivals) {
  std::sort(arrivals.begin(), arrivals.end(),
            [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
  Duration worst{};
  Duration sum{};
  std::size_t first = 0;
  for (const Arrival& arrival : arrivals) {
    sum += arrival.cost;
    while (arrivals[first].at + seconds(1) <= arrival.at) {
      sum -= arrivals[first++].cost;
    }
    worst = std::max(worst, sum);
  }
  return worst;
}

/// Fleet of VMs that come, die and come again, and probe as often as they may.
class Fleet {
 public:
  explicit Fleet(Duration budget) : budget_(budget), vms_(kMostVms) {}

  void Step(TimePoint now) {
    Deliver(now);
    const auto vm = *rc::gen::inRange<std::size_t>(0, kMostVms);
    switch (*rc::gen::inRange(0, 8)) {
      case 0:
        Restart(vm, now);
        break;
      case 1:
        vms_[vm].reset();
        break;
      case 2:
        Lend(vm, now);
        break;
      default:
        for (std::size_t each = 0; each < kMostVms; ++each) {
          Probe(each, now);
        }
    }
  }

  [[nodiscard]] const std::vector<Arrival>& arrivals() const {
    return arrivals_;
  }

 private:
  void Restart(std::size_t vm, TimePoint now) {
    vms_[vm].emplace(now);
    vms_[vm]->Configure(budget_, kMostVms);
  }

  void Lend(std::size_t vm, TimePoint now) {
    if (!vms_[vm]) {
      return;
    }
    const TimePoint until = now + milliseconds(*rc::gen::element(0, 500, 1000));
    const Duration wanted = milliseconds(*rc::gen::inRange(1, 30));
    const Duration given = vms_[vm]->GiveUp(wanted, now, until);
    if (given > Duration::zero() && *rc::gen::inRange(0, 4) > 0) {
      loans_.push_back({*rc::gen::inRange<std::size_t>(0, kMostVms),
                        now + milliseconds(*rc::gen::inRange(0, 1200)), until,
                        given});
    }
  }

  void Deliver(TimePoint now) {
    std::erase_if(loans_, [&](const Loan& loan) {
      if (loan.arrives > now) {
        return false;
      }
      if (vms_[loan.borrower]) {
        vms_[loan.borrower]->AddCredit(loan.amount, loan.valid_until);
      }
      return true;
    });
  }

  void Probe(std::size_t vm, TimePoint now) {
    const Duration cost = milliseconds(*rc::gen::inRange(1, 3));
    while (vms_[vm] && vms_[vm]->TrySpend(cost, now)) {
      const Duration delay = milliseconds(*rc::gen::inRange(0, 31));
      arrivals_.push_back({now + delay, cost});
    }
  }

  Duration budget_;
  std::vector<std::optional<ProbeBudget>> vms_;
  std::vector<Loan> loans_;
  std::vector<Arrival> arrivals_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(ProbeBudgetTest)

BOOST_AUTO_TEST_CASE(ShareCanBeUsedWhole) {
  ProbeBudget budget(kStart);
  budget.Configure(milliseconds(40), 4);
  int probes = 0;
  for (int ms = 0; ms < 13'100; ++ms) {
    probes += budget.TrySpend(milliseconds(2), kStart + milliseconds(ms));
  }
  BOOST_TEST(probes >= 5 * 10);
}

BOOST_AUTO_TEST_CASE(LentTimeStaysInUseUntilTheBorrowersWindowHasPassed) {
  ProbeBudget lender(kStart);
  lender.Configure(milliseconds(40), 4);
  const TimePoint lent = kStart + seconds(5);
  const TimePoint until = lent + kCreditValidity;
  const Duration given = lender.GiveUp(milliseconds(10), lent, until);
  BOOST_TEST((given == milliseconds(10)));
  BOOST_TEST(!lender.TrySpend(milliseconds(1), until + milliseconds(999)));
  BOOST_TEST(lender.TrySpend(milliseconds(1), until + kBudgetWindow));
}

BOOST_AUTO_TEST_CASE(CreditEndsWithItsValidity) {
  ProbeBudget borrower(kStart);
  borrower.Configure(Duration::zero(), 4);
  borrower.AddCredit(milliseconds(10), kStart + seconds(1));
  BOOST_TEST(borrower.TrySpend(milliseconds(4), kStart));
  BOOST_TEST(!borrower.TrySpend(milliseconds(4), kStart + seconds(1)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Promise1)

BOOST_AUTO_TEST_CASE(ProbeTimeStaysInsideTheBudget) {
  support::CheckPromise(1, "probe time stays inside the budget", [] {
    const Duration budget = milliseconds(*rc::gen::inRange(4, 121));
    Fleet fleet(budget);
    TimePoint now = kStart;
    const int steps = *rc::gen::inRange(1, 400);
    for (int step = 0; step < steps; ++step) {
      now += milliseconds(*rc::gen::inRange(0, 150));
      fleet.Step(now);
    }
    RC_ASSERT(WorstSecond(fleet.arrivals()) <= budget);
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::measure
