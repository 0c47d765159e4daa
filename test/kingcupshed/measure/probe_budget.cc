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
constexpr std::uint32_t kMaxVms = 4;

/// Arrival of a probe at a target.
struct Arrival {
  TimePoint at;
  Duration cost;
};

/// Probe time that was lent to a VM in a message that hasn't arrived yet.
struct Loan {
  std::size_t borrower = 0;
  TimePoint arrives;
  TimePoint valid_until;
  Duration amount{};
};

/// Returns the most probe time that arrived within any second.
Duration MaxProbeTimePerSecond(std::vector<Arrival> arrivals) {
  std::sort(arrivals.begin(), arrivals.end(),
            [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
  Duration max_sum{};
  Duration sum{};
  std::size_t first = 0;
  for (const Arrival& arrival : arrivals) {
    sum += arrival.cost;
    while (arrivals[first].at + seconds(1) <= arrival.at) {
      sum -= arrivals[first++].cost;
    }
    max_sum = std::max(max_sum, sum);
  }
  return max_sum;
}

/// Simulates VMs that start, crash and restart, and that probe and lend as much
/// as they may.
class Fleet {
 public:
  explicit Fleet(Duration budget) : budget_(budget), vms_(kMaxVms) {}

  /// Delivers lent time that has arrived, then restarts a VM, crashes one, lets
  /// one lend, or lets all probe.
  void Step(TimePoint now) {
    Deliver(now);
    const auto vm = *rc::gen::inRange<std::size_t>(0, kMaxVms);
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
        for (std::size_t prober = 0; prober < kMaxVms; ++prober) {
          Probe(prober, now);
        }
    }
  }

  [[nodiscard]] const std::vector<Arrival>& arrivals() const {
    return arrivals_;
  }

 private:
  void Restart(std::size_t vm, TimePoint now) {
    vms_[vm].emplace(now);
    vms_[vm]->Configure(budget_, kMaxVms);
  }

  void Lend(std::size_t vm, TimePoint now) {
    if (!vms_[vm]) {
      return;
    }
    const TimePoint until = now + milliseconds(*rc::gen::element(0, 500, 1000));
    const Duration wanted = milliseconds(*rc::gen::inRange(1, 30));
    const Duration lent = vms_[vm]->Lend(wanted, now, until);
    if (lent > Duration::zero() && *rc::gen::inRange(0, 4) > 0) {
      loans_.push_back({*rc::gen::inRange<std::size_t>(0, kMaxVms),
                        now + milliseconds(*rc::gen::inRange(0, 1200)), until,
                        lent});
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

BOOST_AUTO_TEST_CASE(ShareCanBeUsedInFull) {
  ProbeBudget budget(kStart);
  budget.Configure(milliseconds(40), 4);
  int probes = 0;
  for (int ms = 0; ms < 13'100; ++ms) {
    probes += budget.TrySpend(milliseconds(2), kStart + milliseconds(ms));
  }
  BOOST_TEST(probes >= 5 * 10);
}

BOOST_AUTO_TEST_CASE(LentTimeCountsAsUsedUntilTheBorrowersWindowHasPassed) {
  ProbeBudget lender(kStart);
  lender.Configure(milliseconds(40), 4);
  const TimePoint lent_at = kStart + seconds(5);
  const TimePoint until = lent_at + kCreditValidity;
  const Duration lent = lender.Lend(milliseconds(10), lent_at, until);
  BOOST_TEST((lent == milliseconds(10)));
  BOOST_TEST(!lender.TrySpend(milliseconds(1), until + milliseconds(999)));
  BOOST_TEST(lender.TrySpend(milliseconds(1), until + kBudgetWindow));
}

BOOST_AUTO_TEST_CASE(CreditExpires) {
  ProbeBudget borrower(kStart);
  borrower.Configure(Duration::zero(), 4);
  borrower.AddCredit(milliseconds(10), kStart + seconds(1));
  BOOST_TEST(borrower.TrySpend(milliseconds(4), kStart));
  BOOST_TEST(!borrower.TrySpend(milliseconds(4), kStart + seconds(1)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Promise1)

BOOST_AUTO_TEST_CASE(ProbeTimeStaysWithinTheBudget) {
  support::CheckPromise(1, "probe time stays inside the budget", [] {
    const Duration budget = milliseconds(*rc::gen::inRange(4, 121));
    Fleet fleet(budget);
    TimePoint now = kStart;
    const int steps = *rc::gen::inRange(1, 400);
    for (int step = 0; step < steps; ++step) {
      now += milliseconds(*rc::gen::inRange(0, 150));
      fleet.Step(now);
    }
    RC_ASSERT(MaxProbeTimePerSecond(fleet.arrivals()) <= budget);
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::measure
