#include "kingcupshed/catalog/target_catalog.h"

#include <boost/test/unit_test.hpp>

namespace kingcupshed::catalog {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TargetReport MakeReport(std::uint64_t incarnation, std::uint64_t sequence) {
  TargetReport report;
  report.name = "t1";
  report.service = "lookup";
  report.zone = "a";
  report.address = "127.0.0.1:9000";
  report.slots = 3;
  report.incarnation = incarnation;
  report.sequence = sequence;
  return report;
}

struct Fixture {
  TargetCatalog catalog;
  TimePoint now{seconds(100)};

  bool ApplyReport(std::uint64_t incarnation,
                   std::uint64_t sequence,
                   bool draining,
                   std::uint64_t offset) {
    TargetReport report = MakeReport(incarnation, sequence);
    report.draining = draining;
    return catalog.ApplyReport(report, LogOffset{offset}, now);
  }
  [[nodiscard]] bool IsLeaving() const {
    return catalog.targets().at("t1").leaving;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(TargetCatalogTest, Fixture)

BOOST_AUTO_TEST_CASE(TargetAndItsDrainStateAreApplied) {
  BOOST_TEST(ApplyReport(1, 1, false, 0));
  BOOST_TEST(catalog.Advance(now));
  BOOST_TEST(!IsLeaving());
  BOOST_TEST(ApplyReport(1, 2, true, 1));
  BOOST_TEST(catalog.Advance(now));
  BOOST_TEST(IsLeaving());
}

BOOST_AUTO_TEST_CASE(EachDepartureIsReturnedOnceWithItsSign) {
  ApplyReport(1, 1, false, 0);
  BOOST_TEST(catalog.TakeDepartures().empty());
  catalog.ApplyRemoval("t1", LogOffset{1}, now);
  (void)catalog.Advance(now);
  const auto removed = catalog.TakeDepartures();
  BOOST_REQUIRE_EQUAL(removed.size(), 1U);
  BOOST_TEST(removed.front().name == "t1");
  BOOST_TEST((removed.front().sign == DepartureSign::kRemoved));
  ApplyReport(2, 1, false, 2);
  ApplyReport(2, 2, true, 3);
  ApplyReport(2, 3, true, 4);
  const auto reported = catalog.TakeDepartures();
  BOOST_REQUIRE_EQUAL(reported.size(), 1U);
  BOOST_TEST((reported.front().sign == DepartureSign::kReported));
}

BOOST_AUTO_TEST_CASE(DrainStateEndsOnlyWithTheIncarnation) {
  ApplyReport(1, 2, true, 0);
  ApplyReport(1, 3, false, 1);
  BOOST_TEST(IsLeaving());
  ApplyReport(2, 1, false, 2);
  BOOST_TEST(!IsLeaving());
}

BOOST_AUTO_TEST_CASE(LateHeartbeatsAreIgnored) {
  ApplyReport(5, 3, true, 10);
  BOOST_TEST(!ApplyReport(5, 2, false, 11));
  BOOST_TEST(!ApplyReport(4, 90, false, 12));
  BOOST_TEST(IsLeaving());
}

BOOST_AUTO_TEST_CASE(StaleListingsAreIgnored) {
  ApplyReport(5, 3, false, 10);
  catalog.ApplyListing({}, LogOffset{9}, now);
  (void)catalog.Advance(now);
  BOOST_TEST(!IsLeaving());
  catalog.ApplyListing({}, LogOffset{11}, now);
  BOOST_TEST(catalog.Advance(now));
  BOOST_TEST(IsLeaving());
}

BOOST_AUTO_TEST_CASE(RemovalTakesEffectAtOnceWhileTheStoreIsHealthy) {
  ApplyReport(1, 1, false, 0);
  catalog.ApplyRemoval("t1", LogOffset{1}, now);
  BOOST_TEST(catalog.Advance(now));
  BOOST_TEST(IsLeaving());
}

// Entries expire during a store outage, since their targets can't renew them.
BOOST_AUTO_TEST_CASE(TargetsHaveTimeToRegisterAgainAfterAnOutage) {
  ApplyReport(1, 1, false, 0);
  (void)catalog.Advance(now);
  catalog.OnOutage();
  now += seconds(5);
  catalog.OnReadSucceeded(now);
  catalog.ApplyRemoval("t1", LogOffset{1}, now);
  BOOST_TEST(!catalog.Advance(now));
  now += milliseconds(1500);
  BOOST_TEST(ApplyReport(1, 2, false, 2));
  now += seconds(10);
  (void)catalog.Advance(now);
  BOOST_TEST(!IsLeaving());
}

// A VM counts as connected four seconds after a network partition has healed.
// By then a target whose entry was removed meanwhile must get no more work.
BOOST_AUTO_TEST_CASE(RemovalTakesEffectSoonAfterAnOutage) {
  ApplyReport(1, 1, false, 0);
  (void)catalog.Advance(now);
  catalog.OnOutage();
  catalog.OnReadSucceeded(now);
  catalog.ApplyListing({}, LogOffset{5}, now);
  now += milliseconds(2300);
  BOOST_TEST(catalog.Advance(now));
  BOOST_TEST(IsLeaving());
}

// One VM's reads failed while others read on; a removal was delayed beyond the
// time in which a leaving target may get calls.
BOOST_AUTO_TEST_CASE(RemovalIsNotDelayedWhenOthersReadAllTheTime) {
  ApplyReport(1, 1, false, 0);
  (void)catalog.Advance(now);
  catalog.OnOutage();
  catalog.OnReadByOthers(milliseconds(600), now);
  catalog.ApplyRemoval("t1", LogOffset{1}, now);
  BOOST_TEST(catalog.Advance(now));
  BOOST_TEST(IsLeaving());
}

BOOST_AUTO_TEST_CASE(RemovalIsDelayedAfterAnOutageForAllVms) {
  ApplyReport(1, 1, false, 0);
  (void)catalog.Advance(now);
  catalog.OnOutage();
  catalog.OnReadByOthers(seconds(5), now);
  catalog.OnOutage();
  catalog.OnReadByOthers(milliseconds(600), now);
  catalog.ApplyRemoval("t1", LogOffset{1}, now);
  BOOST_TEST(!catalog.Advance(now));
  BOOST_TEST(!IsLeaving());
}

// A target's response said that it leaves, before its heartbeat did.
BOOST_AUTO_TEST_CASE(LeavingResponseHoldsForTheIncarnation) {
  catalog.OnLeavingResponse("t1");
  ApplyReport(1, 1, false, 0);
  (void)catalog.Advance(now);
  catalog.OnLeavingResponse("t1");
  BOOST_TEST(catalog.Advance(now));
  BOOST_TEST(IsLeaving());
  ApplyReport(1, 2, false, 1);
  BOOST_TEST(IsLeaving());
  BOOST_REQUIRE_EQUAL(catalog.TakeDepartures().size(), 1U);
  ApplyReport(2, 1, false, 2);
  BOOST_TEST(!IsLeaving());
}

BOOST_AUTO_TEST_CASE(RemovedTargetThatRegistersAgainIsRestored) {
  ApplyReport(1, 7, false, 0);
  catalog.ApplyRemoval("t1", LogOffset{1}, now);
  (void)catalog.Advance(now);
  BOOST_TEST(IsLeaving());
  BOOST_TEST(ApplyReport(1, 7, false, 2));
  BOOST_TEST(catalog.Advance(now));
  BOOST_TEST(!IsLeaving());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::catalog
