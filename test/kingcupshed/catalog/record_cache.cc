#include "kingcupshed/catalog/record_cache.h"

#include <boost/test/unit_test.hpp>

namespace kingcupshed::catalog {

namespace {

constexpr TimePoint kStart{std::chrono::seconds(100)};

}  // namespace

BOOST_AUTO_TEST_SUITE(Cache)

BOOST_AUTO_TEST_CASE(KeepsTheNewestRecordOfAKey) {
  RecordCache cache;
  cache.Take({LogOffset{5}, "a", "new"}, kStart);
  cache.Take({LogOffset{3}, "a", "old"}, kStart);
  cache.Take({LogOffset{4}, "b", "other"}, kStart);
  const auto all = cache.Since(LogOffset{0});
  BOOST_REQUIRE_EQUAL(all.size(), 2U);
  BOOST_TEST(all[0].key == "b");
  BOOST_TEST(all[1].value.value() == "new");
  BOOST_TEST(cache.Since(LogOffset{5}).size() == 1U);
  BOOST_TEST(cache.Since(LogOffset{6}).empty());
}

BOOST_AUTO_TEST_CASE(PassesRemovalsOn) {
  RecordCache cache;
  cache.Take({LogOffset{5}, "a", "value"}, kStart);
  cache.Take({LogOffset{7}, "a", std::nullopt}, kStart);
  const auto news = cache.Since(LogOffset{6});
  BOOST_REQUIRE_EQUAL(news.size(), 1U);
  BOOST_TEST(!news[0].value);
  cache.Trim(kStart + std::chrono::seconds(61));
  BOOST_TEST(cache.Since(LogOffset{0}).empty());
}

// A listing after a gap shows removals only by what it lacks.
BOOST_AUTO_TEST_CASE(PassesRemovalsOnThatOnlyAListingShows) {
  RecordCache cache;
  cache.Take({LogOffset{5}, "a", "value"}, kStart);
  cache.Take({LogOffset{6}, "b", "value"}, kStart);
  cache.KeepOnly({"b"}, LogOffset{20}, kStart);
  const auto news = cache.Since(LogOffset{10});
  BOOST_REQUIRE_EQUAL(news.size(), 1U);
  BOOST_TEST(news[0].key == "a");
  BOOST_TEST(!news[0].value);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::catalog
