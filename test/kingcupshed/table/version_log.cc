#include "kingcupshed/table/version_log.h"

#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "support/promise.h"

namespace kingcupshed::table {

namespace {

const std::string kCsv =
    "service,rank,weight,concurrency_limit,queue_limit,rate_limit_per_s,"
    "deadline_ms,retry_share,hedge_share,semantics,measure_budget_ms_per_s,"
    "cross_region_bytes_per_s\n"
    "a,1,1,1,0,1,1,0,0,idempotent,0,0\n";

LogRecord MakeRecord(std::uint64_t offset, std::uint64_t base) {
  return {LogOffset{offset}, "id-" + std::to_string(offset),
          ToPayload({TableVersion{base}, "operator", kCsv})};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(VersionLogTest)

BOOST_AUTO_TEST_CASE(RacingPublicationsHaveOneWinner) {
  VersionLog versions;
  BOOST_TEST((versions.Apply(MakeRecord(0, 0)) == Verdict::kAccepted));
  BOOST_TEST((versions.Apply(MakeRecord(1, 0)) == Verdict::kLostRace));
  BOOST_TEST((versions.in_force().version == TableVersion{1}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Promise7)

BOOST_AUTO_TEST_CASE(VersionsNeverRevert) {
  support::CheckPromise(
      7, "versions never revert", [](const std::vector<std::uint8_t>& bases) {
        VersionLog versions;
        std::uint64_t offset = 0;
        for (const std::uint8_t base : bases) {
          const TableVersion before = versions.in_force().version;
          versions.Apply(MakeRecord(offset++, base % 4));
          RC_ASSERT(versions.in_force().version >= before);
        }
      });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::table
