#include "kingcupshed/dispatch/dispatcher.h"

#include <algorithm>
#include <array>
#include <string>
#include <vector>

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

#include "support/dispatcher_rig.h"

namespace kingcupshed::dispatch {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using support::DispatcherRig;
using support::FakeTarget;

constexpr TimePoint kStart{seconds(1)};

table::Row MakeRow(Rank rank, double weight, table::Semantics semantics) {
  table::Row row;
  row.service = "lookup";
  row.rank = rank;
  row.weight = weight;
  row.concurrency_limit = 30;
  row.queue_limit = 100;
  row.rate_limit = 100000;
  row.deadline = seconds(2);
  row.retry_share = 0.2;
  row.hedge_share = 0.1;
  row.semantics = semantics;
  row.measure_budget = milliseconds(100);
  return row;
}

table::Table MakeTable(table::Semantics semantics) {
  table::Table table;
  table.version = TableVersion{1};
  table.rows = {MakeRow(Rank::kUrgent, 6, semantics),
                MakeRow(Rank::kStandard, 3, semantics),
                MakeRow(Rank::kBulk, 1, semantics)};
  return table;
}

Config MakeConfig() {
  Config config;
  config.max_vms = 1;
  return config;
}

CallArrived MakeCall(std::uint64_t id, Rank rank, TimePoint at) {
  CallArrived call;
  call.call = CallId{id};
  call.service = ServiceId{0};
  call.rank = rank;
  call.deadline = at + seconds(2);
  call.replayable = true;
  return call;
}

/// Lets calls of a rank arrive evenly over three seconds.
void ArriveEvenly(DispatcherRig& rig, std::uint64_t& id, Rank rank, int per_s) {
  for (int at = 0; at < 3 * per_s; ++at) {
    const TimePoint when = kStart + Duration(seconds(3)) * at / (3 * per_s);
    rig.Arrive(when, MakeCall(id++, rank, when));
  }
}

struct RankResult {
  int answered = 0;
  int refused = 0;
};

/// Counts what became of calls that arrived in the last two of three seconds.
std::array<RankResult, kRankCount> CountByRank(DispatcherRig& rig) {
  std::array<RankResult, kRankCount> results{};
  for (const auto& [id, record] : rig.calls()) {
    RankResult& result = results[RankIndex(record.request.rank)];
    if (record.ended < kStart + seconds(1) ||
        record.ended > kStart + seconds(3)) {
      continue;
    }
    result.answered += static_cast<int>(record.responses);
    result.refused += static_cast<int>(record.refusals);
  }
  return results;
}

/// Runs a flood of one rank against 30 slots of 10 ms: 3000 calls a second.
std::array<RankResult, kRankCount> RunFlood(std::array<int, kRankCount> rates) {
  DispatcherRig rig(MakeConfig(), 1);
  rig.SetTable(MakeTable(table::Semantics::kIdempotent));
  rig.AddTargets("lookup", 0, 10, FakeTarget{});
  std::uint64_t id = 1;
  for (const Rank rank : kRanks) {
    ArriveEvenly(rig, id, rank, rates[RankIndex(rank)]);
  }
  rig.RunUntil(kStart + seconds(8));
  return CountByRank(rig);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(DispatcherTest)

BOOST_AUTO_TEST_CASE(UnknownServiceIsRefused) {
  Dispatcher dispatcher(MakeConfig());
  const auto actions =
      dispatcher.Handle(MakeCall(1, Rank::kUrgent, kStart), kStart);
  BOOST_REQUIRE(actions.size() == 1);
  BOOST_TEST((std::get<RefuseCall>(actions[0]).reason ==
              RefuseReason::kUnknownService));
}

BOOST_AUTO_TEST_CASE(UrgentFloodLeavesLowerRanksTheirShare) {
  const auto results = RunFlood({30000, 3000, 3000});
  const double total =
      results[0].answered + results[1].answered + results[2].answered;
  BOOST_TEST(results[0].answered / total >= 0.6 * 0.95);
  BOOST_TEST(results[1].answered / total >= 0.3 * 0.95);
  BOOST_TEST(results[2].answered / total >= 0.1 * 0.9);
  BOOST_TEST(total >= 2 * 3000 * 0.9);
}

BOOST_AUTO_TEST_CASE(BulkFloodTakesNothingFromOthers) {
  const auto results = RunFlood({1000, 500, 30000});
  BOOST_TEST(results[0].answered >= 2 * 1000 - 20);
  BOOST_TEST(results[1].answered >= 2 * 500 - 20);
  BOOST_TEST(results[0].refused == 0);
  BOOST_TEST(results[1].refused == 0);
  BOOST_TEST(results[2].answered >= 2 * 1500 * 0.85);
}

BOOST_AUTO_TEST_CASE(AttemptThatMayHaveRunIsNeverRepeatedWhenAtMostOnce) {
  DispatcherRig rig(MakeConfig(), 1);
  rig.SetTable(MakeTable(table::Semantics::kAtMostOnce));
  FakeTarget target;
  target.lost_share = 1.0;
  rig.AddTargets("lookup", 0, 5, target);
  auto call = MakeCall(1, Rank::kUrgent, kStart);
  call.semantics = table::Semantics::kAtMostOnce;
  rig.Arrive(kStart, call);
  rig.RunUntil(kStart + seconds(3));
  const auto& record = rig.calls()[CallId{1}];
  BOOST_TEST(record.attempts == 1U);
  BOOST_TEST(record.refusals == 1U);
  BOOST_TEST((record.reason == RefuseReason::kOutcomeUnknown));
}

BOOST_AUTO_TEST_CASE(EachCallEndsOnce) {
  const bool passed = rc::check("each call ends once", [] {
    const auto at_most_once = *rc::gen::arbitrary<bool>();
    const auto semantics = at_most_once ? table::Semantics::kAtMostOnce
                                        : table::Semantics::kIdempotent;
    DispatcherRig rig(MakeConfig(), *rc::gen::arbitrary<std::uint64_t>());
    rig.SetTable(MakeTable(semantics));
    const auto share = rc::gen::inRange(0, 30);
    for (std::uint32_t id = 0; id < 4; ++id) {
      FakeTarget target;
      target.slots = 1;
      target.refused_share = *share / 100.0;
      target.not_sent_share = *share / 100.0;
      target.lost_share = *share / 100.0;
      target.service_time = milliseconds(*rc::gen::inRange(1, 100));
      rig.AddTargets("lookup", id, 1, target);
    }
    const int calls = *rc::gen::inRange(1, 150);
    for (int at = 0; at < calls; ++at) {
      const TimePoint when = kStart + milliseconds(*rc::gen::inRange(0, 500));
      const Rank rank = kRanks[*rc::gen::inRange<std::size_t>(0, 3)];
      auto call = MakeCall(static_cast<std::uint64_t>(at), rank, when);
      call.semantics = semantics;
      call.deadline = when + milliseconds(*rc::gen::inRange(0, 400));
      call.replayable = *rc::gen::arbitrary<bool>();
      rig.Arrive(when, call);
      if (*rc::gen::inRange(0, 10) == 0) {
        rig.Abandon(when + milliseconds(*rc::gen::inRange(0, 50)), call.call);
      }
    }
    rig.Schedule(kStart + milliseconds(200), [&rig] {
      rig.dispatcher().SetLeaving(TargetId{0}, true, rig.now());
    });
    rig.RunUntil(kStart + seconds(5));
    for (const auto& [id, record] : rig.calls()) {
      RC_ASSERT(record.responses + record.refusals +
                    (record.abandoned ? 1 : 0) ==
                1U);
      RC_ASSERT(record.running == 0U);
      RC_ASSERT(record.max_non_hedges_running <= 1U);
      RC_ASSERT(record.hedges <= 1U);
      if (at_most_once) {
        RC_ASSERT(record.hedges == 0U);
      }
      if (record.refusals > 0 &&
          record.reason != RefuseReason::kOutcomeUnknown) {
        RC_ASSERT(!record.ran);
      }
    }
    const Counters counters = rig.dispatcher().ReadCounters();
    for (const auto& [id, target] : counters.targets) {
      RC_ASSERT(target.in_flight == 0U);
    }
    for (const RowCounters& row : counters.services.at(ServiceId{0}).rows) {
      RC_ASSERT(row.in_flight == 0U);
      RC_ASSERT(row.queue_length == 0U);
    }
  });
  BOOST_TEST(passed);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::dispatch
