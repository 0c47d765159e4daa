#include "kingcupshed/admission/row_limits.h"

#include <vector>

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

namespace kingcupshed::admission {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1)};

}  // namespace

BOOST_AUTO_TEST_SUITE(RowLimitsTest)

BOOST_AUTO_TEST_CASE(RateIsKept) {
  RowLimits limits;
  limits.Configure({100.0, 1.0, 0.0});
  int admitted = 0;
  for (int ms = 0; ms < 10000; ++ms) {
    admitted += limits.TryAdmit(kStart + milliseconds(ms)) ? 1 : 0;
  }
  BOOST_TEST(admitted <= 100 * 10 + 100);
  BOOST_TEST(admitted >= 100 * 10);
  BOOST_TEST((limits.RetryAfter() > Duration::zero()));
}

BOOST_AUTO_TEST_CASE(ConcurrencyIsKeptOnAverage) {
  const bool passed = rc::check("concurrency is kept on average", [] {
    const double share = *rc::gen::inRange(1, 100) / 10.0;
    const int hold_ms = *rc::gen::inRange(1, 50);
    RowLimits limits;
    limits.Configure({1e9, share, 0.0});
    std::vector<int> ends;
    double used_slot_ms = 0.0;
    constexpr int kRunMs = 5000;
    for (int ms = 0; ms < kRunMs; ++ms) {
      const TimePoint now = kStart + milliseconds(ms);
      std::erase_if(ends, [&](int end) {
        if (end > ms) {
          return false;
        }
        limits.OnAttemptEnded(now);
        return true;
      });
      while (ends.size() < 50 && limits.MayStartAttempt(now)) {
        limits.OnAttemptStarted(now);
        ends.push_back(ms + hold_ms);
      }
      used_slot_ms += static_cast<double>(ends.size());
    }
    // The burst, and one round of attempts that started just before the end.
    const double spare = share * 500.0 + 50.0 * hold_ms;
    RC_ASSERT(used_slot_ms <= share * kRunMs + spare);
    RC_ASSERT(used_slot_ms >= share * kRunMs * 0.8);
  });
  BOOST_TEST(passed);
}

BOOST_AUTO_TEST_CASE(CrossRegionBytesStartEmptyAndAreKept) {
  RowLimits limits;
  limits.Configure({1.0, 1.0, 1000.0});
  BOOST_TEST(!limits.MayCrossRegions(kStart));
  double sent = 0.0;
  for (int ms = 1; ms <= 10000; ++ms) {
    if (limits.MayCrossRegions(kStart + milliseconds(ms))) {
      limits.SpendCrossRegionBytes(500.0);
      sent += 500.0;
    }
  }
  BOOST_TEST(sent <= 1000.0 * 10 + 500.0);
  BOOST_TEST(sent >= 1000.0 * 9);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::admission
