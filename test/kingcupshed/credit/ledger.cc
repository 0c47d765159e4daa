#include "kingcupshed/credit/ledger.h"

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

#include "support/promise.h"

namespace kingcupshed::credit {

namespace {

using std::chrono::milliseconds;
using timeline::HybridTime;

constexpr std::uint32_t kVms = 8;
constexpr double kRate = 100.0;
constexpr double kDepth = 50.0;
constexpr Duration kStep = milliseconds(20);
constexpr int kSteps = 500;
constexpr int kWindowSteps = 50;
const std::string kPool = "probes";

HybridTime HybridAt(TimePoint now) {
  const auto millis =
      std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
  return HybridTime{static_cast<std::uint64_t>(millis.count()) << 16U};
}

/// Simulates VMs that spend, restart and transfer credit over a faulty network.
/// Which faults occur is derived from the seed.
class Fleet {
 public:
  explicit Fleet(std::uint32_t seed)
      : random_(seed),
        loss_percent_(seed % 3 * 15),
        duplicate_percent_(seed / 3 % 3 * 30),
        spend_percent_(20 + seed / 9 % 3 * 25),
        max_delay_ms_(seed / 27 % 2 == 0 ? 60 : 3'000),
        restarts_enabled_(seed / 54 % 2 == 0) {
    for (std::uint32_t vm = 0; vm < kVms; ++vm) {
      Restart(vm);
    }
  }

  /// Returns the credit that all VMs spent in each step.
  std::vector<double> Run() {
    std::vector<double> spent;
    for (int step = 0; step < kSteps; ++step) {
      now_ += kStep;
      Deliver();
      spent.push_back(0.0);
      for (std::uint32_t vm = 0; vm < kVms; ++vm) {
        spent.back() += Act(vm);
      }
      total_spent_ += spent.back();
      max_excess_ = std::max(max_excess_, Excess());
    }
    return spent;
  }

  /// Returns the largest amount by which spent credit and balances together
  /// exceeded what the fleet may have accrued by then.
  [[nodiscard]] double max_excess() const { return max_excess_; }

 private:
  struct InFlight {
    TimePoint due;
    std::uint32_t from = 0;
    std::uint64_t incarnation = 0;
    std::uint32_t to = 0;
    Transfer transfer;
  };

  double Excess() {
    double sum = total_spent_;
    for (Ledger& ledger : ledgers_) {
      sum += ledger.Balance(kPool, now_);
    }
    return sum - kRate * ToSeconds(now_ - start_);
  }

  void Restart(std::uint32_t vm) {
    ledgers_.resize(kVms, Ledger(kVms));
    incarnations_.resize(kVms);
    ledgers_[vm] = Ledger(kVms);
    ledgers_[vm].Configure(kPool, kRate, kDepth);
    (void)ledgers_[vm].Balance(kPool, now_);
    incarnations_[vm] = ++last_incarnation_;
  }

  /// Lets a VM restart, transfer or spend credit, or do nothing.
  /// @return Credit that was spent.
  double Act(std::uint32_t vm) {
    const auto draw = random_() % 100;
    if (draw == 0 && restarts_enabled_) {
      Restart(vm);
    } else if (draw < 30) {
      const auto to = static_cast<std::uint32_t>(random_() % kVms);
      const auto transfer =
          ledgers_[vm].IssueTransfer(kPool, 10.0, HybridAt(now_), now_);
      // A message is lost, delivered once or delivered twice, at once or late.
      const int copies = random_() % 100 < loss_percent_        ? 0
                         : random_() % 100 < duplicate_percent_ ? 2
                                                                : 1;
      for (int i = 0; transfer && to != vm && i < copies; ++i) {
        const auto delay = milliseconds(random_() % max_delay_ms_);
        in_flight_.push_back(
            {now_ + delay, vm, incarnations_[vm], to, *transfer});
      }
    } else if (draw < 30 + spend_percent_ &&
               ledgers_[vm].TrySpend(kPool, 0.5, now_)) {
      return 0.5;
    }
    return 0.0;
  }

  void Deliver() {
    std::erase_if(in_flight_, [this](const InFlight& item) {
      if (item.due > now_) {
        return false;
      }
      ledgers_[item.to].AcceptTransfer("vm" + std::to_string(item.from),
                                       item.incarnation, item.transfer,
                                       HybridAt(now_));
      return true;
    });
  }

  std::mt19937 random_;
  std::uint32_t loss_percent_;
  std::uint32_t duplicate_percent_;
  std::uint32_t spend_percent_;
  std::uint32_t max_delay_ms_;
  bool restarts_enabled_;
  double total_spent_ = 0.0;
  double max_excess_ = 0.0;
  TimePoint now_{std::chrono::hours(1)};
  TimePoint start_ = now_;
  std::uint64_t last_incarnation_ = 0;
  std::vector<Ledger> ledgers_;
  std::vector<std::uint64_t> incarnations_;
  std::vector<InFlight> in_flight_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(LedgerTest)

BOOST_AUTO_TEST_CASE(BalanceStartsAtZero) {
  Ledger ledger(kVms);
  ledger.Configure(kPool, kRate, kDepth);
  const TimePoint start(std::chrono::hours(1));
  BOOST_TEST(!ledger.TrySpend(kPool, 0.1, start));
  BOOST_TEST(ledger.TrySpend(kPool, 1.0, start + std::chrono::seconds(1)));
}

BOOST_AUTO_TEST_CASE(UnknownPoolHasNoCredit) {
  Ledger ledger(kVms);
  BOOST_TEST(!ledger.TrySpend("other", 0.1, TimePoint(std::chrono::hours(1))));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Promise1)

BOOST_AUTO_TEST_CASE(CreditIsConserved) {
  support::CheckPromise(1, "credits are conserved", [](std::uint32_t seed) {
    Fleet fleet(seed);
    const std::vector<double> spent = fleet.Run();
    RC_ASSERT(fleet.max_excess() <= 1e-6);
    // Within a window, accumulated credit and transfers in progress are added.
    const double allowed = kRate * ToSeconds(kStep * kWindowSteps) + kDepth +
                           kRate * ToSeconds(kTransferValidity);
    for (std::size_t i = kWindowSteps; i < spent.size(); ++i) {
      double window = 0.0;
      for (std::size_t j = i - kWindowSteps; j < i; ++j) {
        window += spent[j];
      }
      RC_ASSERT(window <= allowed + 1e-6);
    }
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::credit
