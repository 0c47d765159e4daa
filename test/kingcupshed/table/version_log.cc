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
          ToPayload(Publication{TableVersion{base}, "operator", kCsv})};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(VersionLogTest)

BOOST_AUTO_TEST_CASE(RacingPublicationsHaveOneWinner) {
  VersionLog versions;
  BOOST_TEST((versions.Apply(MakeRecord(0, 0)) == Verdict::kAccepted));
  BOOST_TEST((versions.Apply(MakeRecord(1, 0)) == Verdict::kStaleBase));
  BOOST_TEST((versions.active_table().version == TableVersion{1}));
}

BOOST_AUTO_TEST_CASE(ReaderAfterRetentionReachesTheSameVersion) {
  VersionLog whole;
  whole.Apply(MakeRecord(0, 0));
  const LogRecord checkpoint{LogOffset{1}, "c",
                             ToPayload(whole.ToCheckpoint())};
  whole.Apply(checkpoint);
  whole.Apply(MakeRecord(2, 1));
  VersionLog late;
  late.SkipTo(LogOffset{1});
  BOOST_TEST(!late.complete());
  BOOST_TEST((late.Apply(checkpoint) == Verdict::kCheckpointApplied));
  late.Apply(MakeRecord(2, 1));
  BOOST_TEST(late.complete());
  BOOST_TEST((late.active_table().version == TableVersion{2}));
  BOOST_TEST((whole.active_table().version == TableVersion{2}));
}

BOOST_AUTO_TEST_CASE(PublicationBesideItsCheckpointIsReplayed) {
  VersionLog writer;
  writer.Apply(MakeRecord(0, 0));
  const Checkpoint checkpoint = writer.ToCheckpoint();
  // A publication gets in between the writer's read and its append.
  VersionLog late;
  late.SkipTo(LogOffset{1});
  BOOST_TEST((late.Apply(MakeRecord(1, 1)) == Verdict::kUndecided));
  late.Apply({LogOffset{2}, "c", ToPayload(checkpoint)});
  BOOST_TEST(late.complete());
  BOOST_TEST((late.active_table().version == TableVersion{2}));
}

BOOST_AUTO_TEST_CASE(CheckpointOlderThanTheGapIsOnlyALowerBound) {
  VersionLog writer;
  writer.Apply(MakeRecord(0, 0));
  VersionLog late;
  late.SkipTo(LogOffset{2});
  late.Apply({LogOffset{2}, "c", ToPayload(writer.ToCheckpoint())});
  BOOST_TEST((late.active_table().version == TableVersion{1}));
  BOOST_TEST(!late.complete());
  BOOST_TEST((late.Apply(MakeRecord(3, 1)) == Verdict::kUndecided));
}

BOOST_AUTO_TEST_CASE(StaleNewsIsIgnoredAndFreshNewsRunsAheadOfTheLog) {
  VersionLog versions;
  versions.Apply(MakeRecord(0, 0));
  const Checkpoint old = versions.ToCheckpoint();
  BOOST_TEST(
      (versions.ApplyCheckpoint({TableVersion{2}, "x", kCsv, LogOffset{3}}) ==
       Verdict::kCheckpointApplied));
  BOOST_TEST((versions.ApplyCheckpoint(old) == Verdict::kIgnored));
  BOOST_TEST((versions.Apply(MakeRecord(1, 1)) == Verdict::kIgnored));
  BOOST_TEST((versions.active_table().version == TableVersion{2}));
  BOOST_TEST((versions.next_offset() == LogOffset{3}));
}

BOOST_AUTO_TEST_CASE(NewsThatContradictsTheLogIsNotTaken) {
  VersionLog versions;
  versions.Apply(MakeRecord(0, 0));
  BOOST_TEST(
      (versions.ApplyCheckpoint({TableVersion{5}, "x", kCsv, LogOffset{1}}) ==
       Verdict::kContradiction));
  BOOST_TEST((versions.active_table().version == TableVersion{1}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Promise7)

BOOST_AUTO_TEST_CASE(VersionsNeverRevert) {
  support::CheckPromise(
      7, "versions never revert", [](const std::vector<std::uint8_t>& bases) {
        VersionLog versions;
        std::uint64_t offset = 0;
        for (const std::uint8_t base : bases) {
          const TableVersion before = versions.active_table().version;
          versions.Apply(MakeRecord(offset++, base % 4));
          RC_ASSERT(versions.active_table().version >= before);
        }
      });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::table
