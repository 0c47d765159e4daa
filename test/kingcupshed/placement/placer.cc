#include "kingcupshed/placement/placer.h"

#include <map>
#include <variant>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "support/placer_rig.h"

namespace kingcupshed::placement {

namespace {

using dispatch::Action;
using dispatch::AttemptResult;
using dispatch::RefuseCall;
using dispatch::RefuseReason;
using dispatch::StartAttempt;
using routing::Distance;
using std::chrono::milliseconds;
using std::chrono::seconds;
using support::FindRefusal;
using support::FindStart;

}  // namespace

BOOST_FIXTURE_TEST_SUITE(PlacerTest, support::PlacerRig)

BOOST_AUTO_TEST_CASE(RefusesWithoutTargets) {
  const auto actions = Arrive(MakeCall(1));
  const RefuseCall* refusal = FindRefusal(actions);
  BOOST_REQUIRE(refusal != nullptr);
  BOOST_TEST((refusal->reason == RefuseReason::kNoTarget));
}

BOOST_AUTO_TEST_CASE(AvoidsTargetsOnSlowMachines) {
  AddTargets(3);
  SetLoad(1, 0, 0, 5.0);
  SetLoad(2, 1, 0, 1.0);
  SetLoad(3, 0, 0, 5.0);
  const auto actions = Arrive(MakeCall(1));
  const StartAttempt* start = FindStart(actions);
  BOOST_REQUIRE(start != nullptr);
  BOOST_TEST(ToIndex(start->target) == 2U);
}

BOOST_AUTO_TEST_CASE(ProbesTargetsOfOtherZonesWhenTheNearestAreSlow) {
  AddTargets(3);
  AddTargets(4, Distance::kSameRegion);
  for (std::uint32_t target = 1; target <= 6; ++target) {
    SetLoad(target, 0, 0, 9.0);
  }
  const auto actions = Arrive(MakeCall(1));
  const StartAttempt* start = FindStart(actions);
  BOOST_REQUIRE(start != nullptr);
  BOOST_TEST(ToIndex(start->target) == 7U);
}

// A burst fills the queue of every target. A call that can't be completed in
// time must be refused while its caller can still retry, not queued behind the
// others.
BOOST_AUTO_TEST_CASE(WaitsForCapacityAndThenRefuses) {
  AddTargets(3);
  for (std::uint32_t target = 1; target <= 3; ++target) {
    SetLoad(target, 3, 6, 3.0);
  }
  BOOST_TEST(Arrive(MakeCall(1)).empty());
  const auto actions = Wait(milliseconds(250));
  const RefuseCall* refusal = FindRefusal(actions);
  BOOST_REQUIRE(refusal != nullptr);
  BOOST_TEST((refusal->reason == RefuseReason::kOverloaded));
  BOOST_TEST(ToMilliseconds(refusal->retry_after) > 0.0);
  BOOST_TEST(ToMilliseconds(refusal->retry_after) <= 1000.0 / 3);
}

BOOST_AUTO_TEST_CASE(UsesCapacityThatBecomesFreeWhileItWaits) {
  AddTargets(3);
  for (std::uint32_t target = 1; target <= 3; ++target) {
    SetLoad(target, 3, 6, 3.0);
  }
  BOOST_TEST(Arrive(MakeCall(1)).empty());
  BOOST_TEST(Wait(milliseconds(20)).empty());
  SetLoad(1, 1, 0, 1.0);
  SetLoad(2, 1, 0, 1.0);
  SetLoad(3, 1, 0, 1.0);
  BOOST_TEST(FindStart(Wait(milliseconds(40))) != nullptr);
}

// Callers crowd in one zone: its targets stay full, and slots become free at
// others of the region only.
BOOST_AUTO_TEST_CASE(WaitingCallFindsRoomAnywhereInTheRegion) {
  constexpr std::uint32_t kInZone = 8;
  constexpr std::uint32_t kInRegion = 20;
  AddTargets(kInZone);
  AddTargets(kInRegion, Distance::kSameRegion);
  for (std::uint32_t target = 1; target <= kInZone + kInRegion; ++target) {
    SetLoad(target, 3, 6, 3.0);
  }
  BOOST_TEST(Arrive(MakeCall(1)).empty());
  for (std::uint32_t target = kInZone + 1; target <= kInZone + 10; ++target) {
    SetLoad(target, 1, 0, 1.0);
  }
  const auto actions = Wait(milliseconds(100));
  const StartAttempt* start = FindStart(actions);
  BOOST_REQUIRE(start != nullptr);
  BOOST_TEST(ToIndex(start->target) > kInZone);
}

// Guards against retried calls that are sent to full targets after a burst: the
// targets' queues then never emptied.
BOOST_AUTO_TEST_CASE(SendsLateCallsOnlyToSpareSlots) {
  AddTargets(2);
  SetLoad(1, 2, 0, 1.0);
  SetLoad(2, 3, 6, 1.0);
  dispatch::CallArrived call = MakeCall(1);
  call.caller_retry = true;
  call.objective = now - milliseconds(100);
  BOOST_TEST(Arrive(call).empty());
  SetLoad(1, 0, 0, 1.0);
  BOOST_TEST(FindStart(Wait(milliseconds(60))) != nullptr);
}

BOOST_AUTO_TEST_CASE(RetriesIdempotentCallsAtAnotherTarget) {
  AddTargets(3);
  const auto first = Arrive(MakeCall(1));
  BOOST_REQUIRE(FindStart(first) != nullptr);
  now += milliseconds(10);
  const auto second = RespondToProbes(Handle(dispatch::AttemptEnded{
      CallId{1}, AttemptId{0}, AttemptResult::kLost, std::nullopt, 0}));
  const StartAttempt* start = FindStart(second);
  BOOST_REQUIRE(start != nullptr);
  BOOST_TEST((start->target != FindStart(first)->target));
  now += milliseconds(10);
  const auto third = RespondToProbes(Handle(dispatch::AttemptEnded{
      CallId{1}, AttemptId{1}, AttemptResult::kLost, std::nullopt, 0}));
  const RefuseCall* refusal = FindRefusal(third);
  BOOST_REQUIRE(refusal != nullptr);
  BOOST_TEST((refusal->reason == RefuseReason::kOutcomeUnknown));
}

BOOST_AUTO_TEST_CASE(NeverRetriesAtMostOnceCallsThatMayHaveRun) {
  AddTargets(3);
  dispatch::CallArrived call = MakeCall(1);
  call.semantics = table::Semantics::kAtMostOnce;
  BOOST_REQUIRE(FindStart(Arrive(call)) != nullptr);
  const auto actions = RespondToProbes(Handle(dispatch::AttemptEnded{
      CallId{1}, AttemptId{0}, AttemptResult::kLost, std::nullopt, 0}));
  BOOST_TEST(FindStart(actions) == nullptr);
  BOOST_REQUIRE(FindRefusal(actions) != nullptr);
  BOOST_TEST((FindRefusal(actions)->reason == RefuseReason::kOutcomeUnknown));
}

BOOST_AUTO_TEST_CASE(RetriesAtMostOnceCallsThatATargetRefused) {
  AddTargets(3);
  dispatch::CallArrived call = MakeCall(1);
  call.semantics = table::Semantics::kAtMostOnce;
  BOOST_REQUIRE(FindStart(Arrive(call)) != nullptr);
  const auto actions = RespondToProbes(Handle(dispatch::AttemptEnded{
      CallId{1}, AttemptId{0}, AttemptResult::kRefused, std::nullopt, 0}));
  BOOST_TEST(FindStart(actions) != nullptr);
}

BOOST_AUTO_TEST_CASE(HedgesLateCalls) {
  AddTargets(3);
  BOOST_REQUIRE(FindStart(Arrive(MakeCall(1))) != nullptr);
  const auto actions = Wait(milliseconds(190));
  const StartAttempt* hedge = FindStart(actions);
  BOOST_REQUIRE(hedge != nullptr);
  BOOST_TEST(hedge->hedge);
}

BOOST_AUTO_TEST_CASE(NeverHedgesAtMostOnceCalls) {
  AddTargets(3);
  dispatch::CallArrived call = MakeCall(1);
  call.semantics = table::Semantics::kAtMostOnce;
  const auto placed = Arrive(call);
  const StartAttempt* start = FindStart(placed);
  BOOST_REQUIRE(start != nullptr);
  SetLoad(ToIndex(start->target), 1, 0, 1.0);
  BOOST_TEST(Wait(milliseconds(900)).empty());
}

// The second of two attempts after an error response must not be hedged when
// the time for a hedge of the first one has come.
BOOST_AUTO_TEST_CASE(HedgeAfterARetryDoesNotExceedTheAttemptsOfTheRoute) {
  AddTargets(3);
  BOOST_REQUIRE(FindStart(Arrive(MakeCall(1))) != nullptr);
  now += milliseconds(20);
  const auto retried = RespondToProbes(Handle(
      dispatch::AttemptEnded{CallId{1}, AttemptId{0},
                             AttemptResult::kErrorResponse, std::nullopt, 0}));
  const StartAttempt* retry = FindStart(retried);
  BOOST_REQUIRE(retry != nullptr);
  SetLoad(ToIndex(retry->target), 1, 0, 1.0);
  BOOST_TEST(Wait(milliseconds(900)).empty());
}

BOOST_AUTO_TEST_CASE(StaysWithinTheRetryBudget) {
  AddTargets(3);
  placer.SetBudgets({0.2, seconds(10), 0.0}, 0.0);
  BOOST_REQUIRE(FindStart(Arrive(MakeCall(1))) != nullptr);
  const auto actions = RespondToProbes(Handle(dispatch::AttemptEnded{
      CallId{1}, AttemptId{0}, AttemptResult::kLost, std::nullopt, 0}));
  BOOST_TEST(FindStart(actions) == nullptr);
  BOOST_TEST(FindRefusal(actions) != nullptr);
}

// Guards against targets that shed half of their load using up the retry budget
// on callers that can still retry by themselves, so that nothing remains for
// callers that have already retried.
BOOST_AUTO_TEST_CASE(ReservesHalfOfTheRetryBudgetForCallersThatRetried) {
  AddTargets(3);
  // Slack of ten extra attempts per window, of which nine are used.
  placer.SetBudgets({0.0, seconds(10), 10.0}, 0.0);
  const auto shed = [&](std::uint64_t id, bool caller_retry) {
    dispatch::CallArrived call = MakeCall(id);
    call.caller_retry = caller_retry;
    BOOST_REQUIRE(FindStart(Arrive(call)) != nullptr);
    return RespondToProbes(Handle(dispatch::AttemptEnded{
        CallId{id}, AttemptId{0}, AttemptResult::kRefused, std::nullopt, 0}));
  };
  std::uint64_t id = 1;
  while (FindStart(shed(id, false)) != nullptr) {
    ++id;
  }
  BOOST_TEST(id == 5U);
  const auto refused = shed(++id, false);
  const RefuseCall* refusal = FindRefusal(refused);
  BOOST_REQUIRE(refusal != nullptr);
  BOOST_TEST((refusal->reason == RefuseReason::kRefusedByTargets));
  BOOST_TEST(ToMilliseconds(refusal->retry_after) <= 80.0);
  BOOST_TEST(FindStart(shed(++id, true)) != nullptr);
}

BOOST_AUTO_TEST_CASE(PrefersNearTargetsForLargeResponses) {
  AddTargets(1, Distance::kOtherRegion);
  AddTargets(1, Distance::kSameRegion);
  AddTargets(1);
  dispatch::CallArrived call = MakeCall(1);
  call.large_response = true;
  call.objective = now + milliseconds(800);
  SetLoad(3, 2, 0, 1.0);
  const StartAttempt* start = nullptr;
  const auto actions = Arrive(call);
  start = FindStart(actions);
  BOOST_REQUIRE(start != nullptr);
  BOOST_TEST(ToIndex(start->target) == 3U);
}

// Large downloads that share targets with urgent lookups must leave the last
// slot free for them.
BOOST_AUTO_TEST_CASE(LeavesASlotFreeForMoreUrgentCalls) {
  AddTargets(1);
  BOOST_REQUIRE(FindStart(Arrive(MakeCall(1))) != nullptr);
  (void)Handle(dispatch::AttemptEnded{
      CallId{1}, AttemptId{0}, AttemptResult::kCompleted, std::nullopt, 0});
  MakeBusy();
  SetLoad(1, 2, 0, 1.0);
  now += milliseconds(100);
  dispatch::CallArrived call = MakeCall(2);
  call.rank = Rank::kBulk;
  BOOST_TEST(Arrive(call).empty());
  SetLoad(1, 1, 0, 1.0);
  BOOST_TEST(FindStart(Wait(milliseconds(60))) != nullptr);
}

// While slots are free at most targets, more urgent calls find one, and none
// needs to be kept for them.
BOOST_AUTO_TEST_CASE(KeepsNoSlotFreeWhileMostTargetsHaveRoom) {
  AddTargets(1);
  BOOST_REQUIRE(FindStart(Arrive(MakeCall(1))) != nullptr);
  (void)Handle(dispatch::AttemptEnded{
      CallId{1}, AttemptId{0}, AttemptResult::kCompleted, std::nullopt, 0});
  SetLoad(1, 2, 0, 1.0);
  now += milliseconds(100);
  dispatch::CallArrived call = MakeCall(2);
  call.rank = Rank::kStandard;
  BOOST_TEST(FindStart(Arrive(call)) != nullptr);
}

// A route whose urgent calls hardly ever come must not take a slot of every
// target from the others: with three slots, a third of a service stood idle
// while its calls were refused.
BOOST_AUTO_TEST_CASE(UsesAllSlotsWhileMoreUrgentCallsAreRare) {
  AddTargets(1);
  for (std::uint64_t id = 1; id <= 20; ++id) {
    dispatch::CallArrived call = MakeCall(id);
    call.rank = id == 1 ? Rank::kUrgent : Rank::kStandard;
    const auto placed = Arrive(call);
    const StartAttempt* start = FindStart(placed);
    BOOST_REQUIRE(start != nullptr);
    (void)Handle(dispatch::AttemptEnded{CallId{id}, start->attempt,
                                        AttemptResult::kCompleted, std::nullopt,
                                        0});
  }
  MakeBusy();
  SetLoad(1, 2, 0, 1.0);
  now += milliseconds(100);
  dispatch::CallArrived call = MakeCall(21);
  call.rank = Rank::kStandard;
  BOOST_TEST(FindStart(Arrive(call)) != nullptr);
}

BOOST_AUTO_TEST_CASE(LimitsProbesOverTheFleet) {
  AddTargets(3);
  placer.SetFleetSize(2);
  placer.SetBudgets({0.2, seconds(10), 100.0}, 4.0);
  for (std::uint64_t call = 1; call <= 200; ++call) {
    Arrive(MakeCall(call));
    now += milliseconds(50);
  }
  // Ten seconds at 0.75 x 4 x 3 / 2 probes per second, plus an initial burst of
  // one second's worth.
  BOOST_TEST(probes <= 50);
  BOOST_TEST(probes >= 40);
}

BOOST_AUTO_TEST_CASE(SendsTheCallWhenProbesTimeOut) {
  AddTargets(3);
  BOOST_TEST(FindStart(Handle(MakeCall(1))) == nullptr);
  now = *placer.NextWake();
  BOOST_TEST(FindStart(Handle(dispatch::Tick{})) != nullptr);
}

// The health checks of some services do not report the load. Guards against
// treating such responses as failed probes, which made every target count as
// unreachable.
BOOST_AUTO_TEST_CASE(SpreadsCallsOverTargetsThatDoNotReportTheirLoad) {
  AddTargets(3);
  std::vector<Action> actions = Handle(MakeCall(1));
  for (std::uint32_t target = 1; target <= 3; ++target) {
    for (Action& next : Handle(dispatch::LoadReported{
             TargetId{target}, LoadReport{}, milliseconds(1)})) {
      actions.push_back(next);
    }
  }
  BOOST_TEST(FindStart(actions) != nullptr);
  std::map<TargetId, int> starts;
  for (std::uint64_t call = 2; call <= 10; ++call) {
    const auto placed = Handle(MakeCall(call));
    BOOST_REQUIRE(FindStart(placed) != nullptr);
    ++starts[FindStart(placed)->target];
  }
  BOOST_TEST(starts.size() == 3U);
}

// Guards against a VM with few calls probing many targets in turn: with 144 VMs
// at three calls per second each and 300 targets, most probes needed a new
// connection.
BOOST_AUTO_TEST_CASE(ProbesFewTargetsWhileThereAreFewCalls) {
  AddTargets(60);
  std::map<TargetId, int> probed;
  for (std::uint64_t id = 1; id <= 40; ++id) {
    for (const Action& action : Handle(MakeCall(id))) {
      if (const auto* probe = std::get_if<dispatch::ProbeTarget>(&action)) {
        ++probed[probe->target];
        (void)Handle(dispatch::LoadReported{probe->target,
                                            [] {
                                              LoadReport load;
                                              load.slots = 3;
                                              return load;
                                            }(),
                                            milliseconds(1)});
      }
    }
    now += milliseconds(1000);
  }
  BOOST_TEST(probed.size() <= 20U);
}

BOOST_AUTO_TEST_CASE(RemovesACallWhoseCallerDisconnected) {
  AddTargets(3);
  for (std::uint32_t target = 1; target <= 3; ++target) {
    SetLoad(target, 3, 6, 3.0);
  }
  BOOST_TEST(Arrive(MakeCall(1)).empty());
  (void)Handle(dispatch::CallAbandoned{CallId{1}});
  BOOST_TEST(!placer.NextWake().has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::placement
