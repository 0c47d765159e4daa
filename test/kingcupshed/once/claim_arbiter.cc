#include "kingcupshed/once/claim_arbiter.h"

#include <string>

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

#include "kingcupshed/once/fleet_simulation.h"
#include "support/promise.h"

namespace kingcupshed::once {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

Scenario DrawScenario() {
  Scenario scenario;
  scenario.seed = *rc::gen::arbitrary<std::uint32_t>();
  scenario.vms = *rc::gen::inRange<std::uint32_t>(1, 6);
  scenario.keys = *rc::gen::inRange<std::uint32_t>(1, 6);
  scenario.calls = *rc::gen::inRange<std::uint32_t>(1, 25);
  scenario.lost_response_percent = *rc::gen::inRange<std::uint32_t>(0, 40);
  scenario.late_append_percent = *rc::gen::inRange<std::uint32_t>(0, 30);
  scenario.kills = *rc::gen::inRange<std::uint32_t>(0, 4);
  scenario.freezes = *rc::gen::inRange<std::uint32_t>(0, 4);
  scenario.outage = milliseconds(*rc::gen::inRange(0, 15'000));
  scenario.truncates = *rc::gen::arbitrary<bool>();
  scenario.limits.lifetime = seconds(20);
  scenario.limits.grace_period = seconds(10);
  return scenario;
}

/// A single VM that reads back the records that it appends.
struct SingleVm {
  ClaimArbiter claims{"a", 1, {}};
  LogPage page;

  void Append(AppendOutcome outcome, TimePoint now) {
    const auto batch = claims.TakeBatch(now);
    BOOST_REQUIRE(batch.has_value());
    claims.OnAppended(batch->number, outcome, now);
    for (LogRecord record : batch->records) {
      record.offset = page.end;
      page.end = LogOffset{static_cast<std::uint64_t>(page.end) + 1};
      page.records.push_back(record);
    }
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(ClaimArbiterTest)

BOOST_AUTO_TEST_CASE(CallRunsOnlyAfterItsClaimWasReadBack) {
  SingleVm vm;
  vm.claims.Begin({"k", 1, kStart + seconds(1)}, kStart);
  vm.Append(AppendOutcome::kDone, kStart);
  BOOST_TEST(vm.claims.TakeDecisions().empty());
  vm.claims.OnRead(vm.page, kStart);
  const auto decisions = vm.claims.TakeDecisions();
  BOOST_REQUIRE(decisions.size() == 1U);
  BOOST_TEST((decisions[0].type == Decision::Type::kRun));
}

BOOST_AUTO_TEST_CASE(KeyReusedForAnotherRequestIsRefused) {
  SingleVm vm;
  vm.claims.Begin({"k", 1, kStart + seconds(1)}, kStart);
  vm.Append(AppendOutcome::kDone, kStart);
  vm.claims.OnRead(vm.page, kStart);
  BOOST_TEST(vm.claims.TakeDecisions().size() == 1U);
  vm.claims.Begin({"k", 2, kStart + seconds(1)}, kStart);
  BOOST_TEST(vm.claims.TakeDecisions().at(0).reason == "key-reused");
}

BOOST_AUTO_TEST_CASE(UnconfirmedClaimIsReleasedAndNeverRuns) {
  SingleVm vm;
  vm.claims.Begin({"k", 1, kStart + seconds(1)}, kStart);
  vm.Append(AppendOutcome::kUnknown, kStart);
  vm.claims.OnTick(kStart + seconds(1));
  BOOST_TEST(vm.claims.TakeDecisions().at(0).reason == "claim-unconfirmed");
  vm.claims.OnRead(vm.page, kStart + seconds(2));
  BOOST_TEST(vm.claims.TakeDecisions().empty());
  vm.Append(AppendOutcome::kDone, kStart + seconds(2));
  vm.claims.OnRead(vm.page, kStart + seconds(2));
  BOOST_TEST(vm.claims.pending_releases() == 0U);
  vm.claims.Begin({"k", 1, kStart + seconds(9)}, kStart + seconds(3));
  vm.Append(AppendOutcome::kDone, kStart + seconds(3));
  vm.claims.OnRead(vm.page, kStart + seconds(3));
  BOOST_TEST((vm.claims.TakeDecisions().at(0).type == Decision::Type::kRun));
}

BOOST_AUTO_TEST_CASE(NewKeysAreRefusedAtOnceWhileTheLogFails) {
  SingleVm vm;
  vm.claims.OnReadFailed(kStart);
  vm.claims.Begin({"k", 1, kStart + seconds(9)}, kStart + seconds(3));
  BOOST_TEST(vm.claims.TakeDecisions().at(0).reason == "log-unreachable");
  BOOST_TEST(!vm.claims.TakeBatch(kStart + seconds(3)).has_value());
}

BOOST_AUTO_TEST_CASE(NewKeysAreRefusedWhenKeyMemoryIsFull) {
  Limits limits;
  limits.max_keys = 2;
  ClaimArbiter claims("a", 1, limits);
  LogPage page;
  for (std::uint64_t i = 0; i < 3; ++i) {
    const std::string id = "b:1:" + std::to_string(i);
    page.records.push_back(
        {LogOffset{i}, id, ToPayload(Claim{id, id, "b", 1})});
  }
  claims.OnRead(page, kStart);
  BOOST_TEST(claims.known_keys() == 2U);
  claims.Begin({"b:1:2", 1, kStart + seconds(1)}, kStart);
  BOOST_TEST(claims.TakeDecisions().at(0).reason == "claims-full");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Promise4)

BOOST_AUTO_TEST_CASE(KeysRunAtMostOnce) {
  SimulationResult total;
  support::CheckPromise(4, "keys run at most once over the fleet", [&total] {
    const SimulationResult result = FleetSimulation(DrawScenario()).Run();
    total.ran += result.ran;
    total.not_run += result.not_run;
    total.unknown += result.unknown;
    total.refused_claims += result.refused_claims;
    RC_ASSERT(result.double_runs == 0U);
  });
  BOOST_TEST_MESSAGE("ran " << total.ran << ", not run " << total.not_run
                            << " (claim not confirmed " << total.refused_claims
                            << "), unknown " << total.unknown);
}

BOOST_AUTO_TEST_CASE(NotRunIsNeverReportedForWorkThatRan) {
  support::CheckPromise(4, "not run is never told of work that ran", [] {
    RC_ASSERT(FleetSimulation(DrawScenario()).Run().false_not_run == 0U);
  });
}

BOOST_AUTO_TEST_CASE(NoClaimIsRefusedWithoutFaults) {
  Scenario scenario;
  scenario.limits.lifetime = seconds(20);
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    scenario.seed = seed;
    const SimulationResult result = FleetSimulation(scenario).Run();
    BOOST_TEST(result.refused_claims == 0U);
    BOOST_TEST(result.double_runs == 0U);
  }
}

BOOST_AUTO_TEST_CASE(KeysRunTwiceWithoutSharedLog) {
  Scenario naive;
  naive.shares_log = false;
  naive.calls = 25;
  BOOST_TEST(FleetSimulation(naive).Run().double_runs > 0U);
}

BOOST_AUTO_TEST_CASE(KeysRunTwiceWhenClaimsExpireTooEarly) {
  Scenario naive;
  naive.limits.lifetime = seconds(1);
  naive.limits.grace_period = {};
  naive.calls = 25;
  naive.freezes = 2;
  BOOST_TEST(FleetSimulation(naive).Run().double_runs > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::once
