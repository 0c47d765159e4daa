#include "kingcupshed/timeline/hybrid_clock.h"

#include <boost/test/unit_test.hpp>

namespace kingcupshed::timeline {

BOOST_AUTO_TEST_SUITE(HybridClockTest)

BOOST_AUTO_TEST_CASE(TimestampsIncreaseWhenWallClockStepsBack) {
  HybridClock clock;
  const WallTime start{std::chrono::hours(1000)};
  const HybridTime first = clock.Next(start);
  const HybridTime second = clock.Next(start - std::chrono::hours(1));
  BOOST_TEST((second > first));
}

BOOST_AUTO_TEST_CASE(TimestampsAreLaterThanObservedOnes) {
  HybridClock receiver;
  HybridClock sender;
  const WallTime start{std::chrono::hours(1000)};
  const HybridTime sent = sender.Next(start + std::chrono::seconds(2));
  receiver.Observe(sent, start);
  BOOST_TEST((receiver.Next(start) > sent));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::timeline
