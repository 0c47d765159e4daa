#include "kingcupshed/core/token_bucket.h"

#include <boost/test/unit_test.hpp>

namespace kingcupshed {

BOOST_AUTO_TEST_SUITE(TokenBucketTest)

BOOST_AUTO_TEST_CASE(TokensAccrueUpToTheDepth) {
  const TimePoint start{std::chrono::seconds(1)};
  TokenBucket bucket(10.0, 5.0, 0.0);
  bucket.Advance(start);
  BOOST_TEST(!bucket.TrySpend(1.0));
  BOOST_TEST((bucket.TimeUntil(1.0) == std::chrono::milliseconds(100)));
  bucket.Advance(start + std::chrono::milliseconds(100));
  BOOST_TEST(bucket.TrySpend(1.0));
  bucket.Advance(start + std::chrono::seconds(9));
  BOOST_TEST(bucket.tokens() == 5.0);
  bucket.Advance(start);
  BOOST_TEST(bucket.tokens() == 5.0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed
