#include "kingcupshed/catalog/record_cache.h"

#include <boost/test/unit_test.hpp>

namespace kingcupshed::catalog {

namespace {

constexpr TimePoint kStart{std::chrono::seconds(100)};

}  // namespace

BOOST_AUTO_TEST_SUITE(Cache)

BOOST_AUTO_TEST_CASE(KeepsTheNewestRecordOfAKey) {
  RecordCache cache;
  cache.Apply({LogOffset{5}, "a", "new"}, true, kStart);
  cache.Apply({LogOffset{3}, "a", "old"}, true, kStart);
  cache.Apply({LogOffset{4}, "b", "other"}, true, kStart);
  const auto all = cache.ChangedSince(LogOffset{0});
  BOOST_REQUIRE_EQUAL(all.size(), 2U);
  BOOST_TEST(all[0].key == "b");
  BOOST_TEST(all[1].value.value() == "new");
  BOOST_TEST(cache.ChangedSince(LogOffset{5}).size() == 1U);
  BOOST_TEST(cache.ChangedSince(LogOffset{6}).empty());
}

// Each of 23 VMs got every heartbeat of 334 targets from the one that read:
// 11 Mbit/s, over a link of 10 (lestage-passerelle-grown hunt-0d7f-7).
BOOST_AUTO_TEST_CASE(KeepsHeartbeatsToItself) {
  RecordCache cache;
  cache.Apply({LogOffset{5}, "a", "ready 1"}, true, kStart);
  cache.Apply({LogOffset{6}, "a", "ready 2"}, false, kStart);
  BOOST_TEST(cache.ChangedSince(LogOffset{6}).empty());
  const auto all = cache.ChangedSince(LogOffset{0});
  BOOST_REQUIRE_EQUAL(all.size(), 1U);
  BOOST_TEST(all[0].value.value() == "ready 2");
  cache.Apply({LogOffset{7}, "a", "draining 3"}, true, kStart);
  cache.Apply({LogOffset{8}, "a", "draining 4"}, false, kStart);
  const auto news = cache.ChangedSince(LogOffset{6});
  BOOST_REQUIRE_EQUAL(news.size(), 1U);
  BOOST_TEST(news[0].value.value() == "draining 4");
}

BOOST_AUTO_TEST_CASE(PassesOnThatAKeyIsBack) {
  RecordCache cache;
  cache.Apply({LogOffset{5}, "a", "ready"}, true, kStart);
  cache.Apply({LogOffset{6}, "a", std::nullopt}, true, kStart);
  cache.Apply({LogOffset{7}, "a", "ready"}, false, kStart);
  BOOST_TEST(cache.ChangedSince(LogOffset{7}).size() == 1U);
}

BOOST_AUTO_TEST_CASE(PassesRemovalsOn) {
  RecordCache cache;
  cache.Apply({LogOffset{5}, "a", "value"}, true, kStart);
  cache.Apply({LogOffset{7}, "a", std::nullopt}, true, kStart);
  const auto news = cache.ChangedSince(LogOffset{6});
  BOOST_REQUIRE_EQUAL(news.size(), 1U);
  BOOST_TEST(!news[0].value);
  cache.Trim(kStart + std::chrono::seconds(61));
  BOOST_TEST(cache.ChangedSince(LogOffset{0}).empty());
}

// A listing after a gap shows removals only by what it lacks.
BOOST_AUTO_TEST_CASE(PassesRemovalsOnThatOnlyAListingShows) {
  RecordCache cache;
  cache.Apply({LogOffset{5}, "a", "value"}, true, kStart);
  cache.Apply({LogOffset{6}, "b", "value"}, true, kStart);
  cache.ApplyListing({"b"}, LogOffset{20}, kStart);
  const auto news = cache.ChangedSince(LogOffset{10});
  BOOST_REQUIRE_EQUAL(news.size(), 1U);
  BOOST_TEST(news[0].key == "a");
  BOOST_TEST(!news[0].value);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::catalog
