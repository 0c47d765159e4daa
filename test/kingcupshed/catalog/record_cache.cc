#include "kingcupshed/catalog/record_cache.h"

#include <boost/test/unit_test.hpp>

namespace kingcupshed::catalog {

namespace {

constexpr TimePoint kStart{std::chrono::seconds(100)};

}  // namespace

BOOST_AUTO_TEST_SUITE(RecordCacheTest)

BOOST_AUTO_TEST_CASE(NewestRecordOfAKeyIsKept) {
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

// When heartbeats were passed on, each of 23 VMs got every heartbeat of 334
// targets from the VM that read the store: 11 Mbit/s over a 10 Mbit/s link
// (lestage-passerelle-grown hunt-0d7f-7).
BOOST_AUTO_TEST_CASE(HeartbeatsAreNotPassedOn) {
  RecordCache cache;
  cache.Apply({LogOffset{5}, "a", "ready 1"}, true, kStart);
  cache.Apply({LogOffset{6}, "a", "ready 2"}, false, kStart);
  BOOST_TEST(cache.ChangedSince(LogOffset{6}).empty());
  const auto all = cache.ChangedSince(LogOffset{0});
  BOOST_REQUIRE_EQUAL(all.size(), 1U);
  BOOST_TEST(all[0].value.value() == "ready 2");
  cache.Apply({LogOffset{7}, "a", "draining 3"}, true, kStart);
  cache.Apply({LogOffset{8}, "a", "draining 4"}, false, kStart);
  const auto changes = cache.ChangedSince(LogOffset{6});
  BOOST_REQUIRE_EQUAL(changes.size(), 1U);
  BOOST_TEST(changes[0].value.value() == "draining 4");
}

BOOST_AUTO_TEST_CASE(RestoredKeyIsPassedOn) {
  RecordCache cache;
  cache.Apply({LogOffset{5}, "a", "ready"}, true, kStart);
  cache.Apply({LogOffset{6}, "a", std::nullopt}, true, kStart);
  cache.Apply({LogOffset{7}, "a", "ready"}, false, kStart);
  BOOST_TEST(cache.ChangedSince(LogOffset{7}).size() == 1U);
}

BOOST_AUTO_TEST_CASE(RemovalIsPassedOnUntilItIsForgotten) {
  RecordCache cache;
  cache.Apply({LogOffset{5}, "a", "value"}, true, kStart);
  cache.Apply({LogOffset{7}, "a", std::nullopt}, true, kStart);
  const auto changes = cache.ChangedSince(LogOffset{6});
  BOOST_REQUIRE_EQUAL(changes.size(), 1U);
  BOOST_TEST(!changes[0].value);
  cache.Trim(kStart + std::chrono::seconds(61));
  BOOST_TEST(cache.ChangedSince(LogOffset{0}).empty());
}

// After a gap in the log, a listing shows removals only by the keys it lacks.
BOOST_AUTO_TEST_CASE(RemovalFoundByAListingIsPassedOn) {
  RecordCache cache;
  cache.Apply({LogOffset{5}, "a", "value"}, true, kStart);
  cache.Apply({LogOffset{6}, "b", "value"}, true, kStart);
  cache.ApplyListing({"b"}, LogOffset{20}, kStart);
  const auto changes = cache.ChangedSince(LogOffset{10});
  BOOST_REQUIRE_EQUAL(changes.size(), 1U);
  BOOST_TEST(changes[0].key == "a");
  BOOST_TEST(!changes[0].value);
}

// A listing doesn't show the keys that were removed before it.
BOOST_AUTO_TEST_CASE(ChangesBeforeAListingAreIncomplete) {
  RecordCache cache;
  BOOST_TEST(!cache.IsCompleteSince(LogOffset{30}));
  cache.Apply({LogOffset{5}, "a", "value"}, true, kStart);
  cache.ApplyListing({"a"}, LogOffset{20}, kStart);
  BOOST_TEST(!cache.IsCompleteSince(LogOffset{19}));
  BOOST_TEST(cache.IsCompleteSince(LogOffset{20}));
  cache.ApplyListing({"a"}, LogOffset{40}, kStart);
  BOOST_TEST(!cache.IsCompleteSince(LogOffset{39}));
  BOOST_TEST(cache.IsCompleteSince(LogOffset{40}));
}

BOOST_AUTO_TEST_CASE(ChangesBeforeAForgottenRemovalAreIncomplete) {
  RecordCache cache;
  cache.Apply({LogOffset{5}, "a", "value"}, true, kStart);
  cache.ApplyListing({"a"}, LogOffset{6}, kStart);
  cache.Apply({LogOffset{7}, "a", std::nullopt}, true, kStart);
  BOOST_TEST(cache.IsCompleteSince(LogOffset{6}));
  cache.Trim(kStart + std::chrono::seconds(61));
  BOOST_TEST(!cache.IsCompleteSince(LogOffset{7}));
  BOOST_TEST(cache.IsCompleteSince(LogOffset{8}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::catalog
