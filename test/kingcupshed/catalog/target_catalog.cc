#include "kingcupshed/catalog/target_catalog.h"

#include <boost/test/unit_test.hpp>

namespace kingcupshed::catalog {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TargetReport MakeReport(std::uint64_t life, std::uint64_t sequence) {
  TargetReport report;
  report.name = "t1";
  report.service = "lookup";
  report.zone = "a";
  report.address = "127.0.0.1:9000";
  report.slots = 3;
  report.incarnation = life;
  report.sequence = sequence;
  return report;
}

struct Fixture {
  TargetCatalog catalog;
  TimePoint now{seconds(100)};

  bool Report(std::uint64_t life,
              std::uint64_t sequence,
              bool draining,
              std::uint64_t offset) {
    TargetReport report = MakeReport(life, sequence);
    report.draining = draining;
    return catalog.ApplyReport(report, LogOffset{offset}, now);
  }
  [[nodiscard]] bool Leaving() const {
    return catalog.targets().at("t1").leaving;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(Catalog, Fixture)

BOOST_AUTO_TEST_CASE(TakesATargetAndItsDrainMark) {
  BOOST_TEST(Report(1, 1, false, 0));
  BOOST_TEST(catalog.Advance(now));
  BOOST_TEST(!Leaving());
  BOOST_TEST(Report(1, 2, true, 1));
  BOOST_TEST(catalog.Advance(now));
  BOOST_TEST(Leaving());
}

BOOST_AUTO_TEST_CASE(NeverTakesADrainMarkBackWithinALife) {
  Report(1, 2, true, 0);
  Report(1, 3, false, 1);
  BOOST_TEST(Leaving());
  Report(2, 1, false, 2);
  BOOST_TEST(!Leaving());
}

BOOST_AUTO_TEST_CASE(IgnoresLateHeartbeats) {
  Report(5, 3, true, 10);
  BOOST_TEST(!Report(5, 2, false, 11));
  BOOST_TEST(!Report(4, 90, false, 12));
  BOOST_TEST(Leaving());
}

BOOST_AUTO_TEST_CASE(IgnoresStaleListings) {
  Report(5, 3, false, 10);
  catalog.ApplyListing({}, LogOffset{9}, now);
  (void)catalog.Advance(now);
  BOOST_TEST(!Leaving());
  catalog.ApplyListing({}, LogOffset{11}, now);
  BOOST_TEST(catalog.Advance(now));
  BOOST_TEST(Leaving());
}

BOOST_AUTO_TEST_CASE(BelievesARemovalAtOnceWhileTheStoreIsWell) {
  Report(1, 1, false, 0);
  catalog.ApplyRemoval("t1", LogOffset{1}, now);
  BOOST_TEST(catalog.Advance(now));
  BOOST_TEST(Leaving());
}

// Entries lapse while the store is down, since their targets can't renew them.
BOOST_AUTO_TEST_CASE(WaitsForTargetsToRegisterAgainAfterAnOutage) {
  Report(1, 1, false, 0);
  (void)catalog.Advance(now);
  catalog.OnOutage(now);
  now += seconds(5);
  catalog.OnReadSucceeded(now);
  catalog.ApplyRemoval("t1", LogOffset{1}, now);
  BOOST_TEST(!catalog.Advance(now));
  now += milliseconds(1500);
  BOOST_TEST(Report(1, 2, false, 2));
  now += seconds(10);
  (void)catalog.Advance(now);
  BOOST_TEST(!Leaving());
}

// A machine counts as in touch four seconds after its cut has healed; by then
// a target whose entry went meanwhile must get nothing more.
BOOST_AUTO_TEST_CASE(BelievesARemovalSoonAfterAnOutage) {
  Report(1, 1, false, 0);
  (void)catalog.Advance(now);
  catalog.OnOutage(now);
  catalog.OnReadSucceeded(now);
  catalog.ApplyListing({}, LogOffset{5}, now);
  now += milliseconds(2300);
  BOOST_TEST(catalog.Advance(now));
  BOOST_TEST(Leaving());
}

BOOST_AUTO_TEST_CASE(TakesATargetBackThatRegistersAgain) {
  Report(1, 7, false, 0);
  catalog.ApplyRemoval("t1", LogOffset{1}, now);
  (void)catalog.Advance(now);
  BOOST_TEST(Leaving());
  BOOST_TEST(Report(1, 7, false, 2));
  BOOST_TEST(catalog.Advance(now));
  BOOST_TEST(!Leaving());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::catalog
