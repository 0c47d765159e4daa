#include "kingcupshed/once/claim_arbiter.h"

#include <string>

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

#include "kingcupshed/once/fleet.h"
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
  scenario.lost_answer_percent = *rc::gen::inRange<std::uint32_t>(0, 40);
  scenario.late_append_percent = *rc::gen::inRange<std::uint32_t>(0, 30);
  scenario.kills = *rc::gen::inRange<std::uint32_t>(0, 4);
  scenario.freezes = *rc::gen::inRange<std::uint32_t>(0, 4);
  scenario.outage = milliseconds(*rc::gen::inRange(0, 15'000));
  scenario.truncates = *rc::gen::arbitrary<bool>();
  scenario.limits.lifetime = seconds(20);
  scenario.limits.grace = seconds(10);
  return scenario;
}

/// One VM that reads back what it appends.
struct LoneVm {
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

BOOST_AUTO_TEST_CASE(RunsOnlyOnceTheClaimWasReadBack) {
  LoneVm vm;
  vm.claims.Begin({"k", 1, kStart + seconds(1)}, kStart);
  vm.Append(AppendOutcome::kDone, kStart);
  BOOST_TEST(vm.claims.TakeDecisions().empty());
  vm.claims.OnRead(vm.page, kStart);
  const auto decisions = vm.claims.TakeDecisions();
  BOOST_REQUIRE(decisions.size() == 1U);
  BOOST_TEST((decisions[0].type == Decision::Type::kRun));
}

BOOST_AUTO_TEST_CASE(KeyOfAnotherRequestIsRefused) {
  LoneVm vm;
  vm.claims.Begin({"k", 1, kStart + seconds(1)}, kStart);
  vm.Append(AppendOutcome::kDone, kStart);
  vm.claims.OnRead(vm.page, kStart);
  BOOST_TEST(vm.claims.TakeDecisions().size() == 1U);
  vm.claims.Begin({"k", 2, kStart + seconds(1)}, kStart);
  BOOST_TEST(vm.claims.TakeDecisions().at(0).reason == "key-reused");
}

BOOST_AUTO_TEST_CASE(UnconfirmedClaimIsReleasedAndNeverRuns) {
  LoneVm vm;
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

BOOST_AUTO_TEST_CASE(LogThatFailsLongRefusesAtOnce) {
  LoneVm vm;
  vm.claims.OnReadFailed(kStart);
  vm.claims.Begin({"k", 1, kStart + seconds(9)}, kStart + seconds(3));
  BOOST_TEST(vm.claims.TakeDecisions().at(0).reason == "log-unreachable");
  BOOST_TEST(!vm.claims.TakeBatch(kStart + seconds(3)).has_value());
}

BOOST_AUTO_TEST_CASE(FullMemoryRefusesInsteadOfForgetting) {
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
  Findings sum;
  support::CheckPromise(4, "keys run at most once over the fleet", [&sum] {
    const Findings findings = Fleet(DrawScenario()).Run();
    sum.ran += findings.ran;
    sum.not_run += findings.not_run;
    sum.unknown += findings.unknown;
    sum.refused_claims += findings.refused_claims;
    RC_ASSERT(findings.double_runs == 0U);
  });
  BOOST_TEST_MESSAGE("ran " << sum.ran << ", not run " << sum.not_run
                            << " (claim not confirmed " << sum.refused_claims
                            << "), unknown " << sum.unknown);
}

BOOST_AUTO_TEST_CASE(NotRunIsNeverToldOfWorkThatRan) {
  support::CheckPromise(4, "not run is never told of work that ran", [] {
    RC_ASSERT(Fleet(DrawScenario()).Run().false_not_run == 0U);
  });
}

BOOST_AUTO_TEST_CASE(WithoutFaultsNothingIsRefusedNeedlessly) {
  Scenario scenario;
  scenario.limits.lifetime = seconds(20);
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    scenario.seed = seed;
    const Findings findings = Fleet(scenario).Run();
    BOOST_TEST(findings.refused_claims == 0U);
    BOOST_TEST(findings.double_runs == 0U);
  }
}

BOOST_AUTO_TEST_CASE(MemoryPerVmRunsKeysTwice) {
  Scenario naive;
  naive.shares_log = false;
  naive.calls = 25;
  BOOST_TEST(Fleet(naive).Run().double_runs > 0U);
}

BOOST_AUTO_TEST_CASE(ClaimsThatLapseRunKeysTwice) {
  Scenario naive;
  naive.limits.lifetime = seconds(1);
  naive.limits.grace = {};
  naive.calls = 25;
  naive.freezes = 2;
  BOOST_TEST(Fleet(naive).Run().double_runs > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::once
