#include "kingcupshed/placement/call_mix.h"

#include <boost/test/unit_test.hpp>

namespace kingcupshed::placement {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

BOOST_AUTO_TEST_SUITE(CallMixTest)

BOOST_AUTO_TEST_CASE(SharesAreThoseOfMoreUrgentCallsOnly) {
  CallMix mix;
  BOOST_TEST(mix.ShareAbove(Rank::kBulk) == 0.0);
  const TimePoint now{seconds(1000)};
  mix.Record(Rank::kUrgent, now);
  mix.Record(Rank::kStandard, now);
  mix.Record(Rank::kBulk, now);
  mix.Record(Rank::kBulk, now);
  BOOST_TEST(mix.ShareAbove(Rank::kUrgent) == 0.0);
  BOOST_TEST(mix.ShareAbove(Rank::kStandard) == 0.25);
  BOOST_TEST(mix.ShareAbove(Rank::kBulk) == 0.5);
}

BOOST_AUTO_TEST_CASE(OldCallsAreForgotten) {
  CallMix mix;
  TimePoint now{seconds(1000)};
  for (int call = 0; call < 100; ++call) {
    now += milliseconds(100);
    mix.Record(Rank::kUrgent, now);
  }
  for (int call = 0; call < 300; ++call) {
    now += milliseconds(100);
    mix.Record(Rank::kStandard, now);
  }
  BOOST_TEST(mix.ShareAbove(Rank::kStandard) < 0.1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::placement
