#include "kingcupshed/placement/placer.h"

#include <map>
#include <variant>
#include <vector>

#include <boost/test/unit_test.hpp>

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

constexpr ServiceId kService{1};
constexpr RouteId kRoute{1};

struct Rig {
  Rig() : placer(MakeConfig()) {}

  static Config MakeConfig() {
    Config config;
    config.retry_budget = {0.2, seconds(10), 100.0};
    return config;
  }

  void AddTargets(int count, Distance distance = Distance::kSameZone) {
    for (int at = 0; at < count; ++at) {
      TargetProperties facts;
      facts.id = TargetId{static_cast<std::uint32_t>(targets.size() + 1)};
      facts.service = kService;
      facts.distance = distance;
      facts.slots = 3;
      targets.push_back(facts);
    }
    placer.SetTargets(targets);
  }

  [[nodiscard]] dispatch::CallArrived MakeCall(std::uint64_t id) const {
    dispatch::CallArrived call;
    call.call = CallId{id};
    call.service = kService;
    call.route = kRoute;
    call.rank = Rank::kUrgent;
    call.deadline = now + seconds(1);
    call.objective = now + milliseconds(200);
    call.replayable = true;
    call.max_attempts = 2;
    return call;
  }

  std::vector<Action> Handle(const dispatch::Event& event) {
    return placer.Handle(event, now);
  }

  /// Answers each probe among the actions with a report, until none is left.
  std::vector<Action> AnswerProbes(std::vector<Action> actions) {
    std::vector<Action> rest;
    while (!actions.empty()) {
      std::vector<Action> more;
      for (const Action& action : actions) {
        const auto* probe = std::get_if<dispatch::ProbeTarget>(&action);
        if (probe == nullptr) {
          rest.push_back(action);
          continue;
        }
        ++probes;
        const auto load = loads.find(probe->target);
        LoadReport report;
        report.slots = 3;
        if (load != loads.end()) {
          report = load->second;
        }
        for (Action& next : Handle(dispatch::LoadReported{probe->target, report,
                                                          milliseconds(1)})) {
          more.push_back(next);
        }
      }
      actions = std::move(more);
    }
    return rest;
  }

  std::vector<Action> Arrive(const dispatch::CallArrived& call) {
    return AnswerProbes(Handle(call));
  }

  /// Lets time pass until an action other than a probe comes.
  std::vector<Action> Wait(Duration most) {
    const TimePoint end = now + most;
    for (auto wake = placer.NextWake(); wake && *wake <= end;
         wake = placer.NextWake()) {
      now = std::max(now, *wake);
      std::vector<Action> actions = AnswerProbes(Handle(dispatch::Tick{}));
      if (!actions.empty()) {
        return actions;
      }
    }
    now = end;
    return {};
  }

  void SetLoad(std::uint32_t target,
               std::uint32_t running,
               std::uint32_t queued,
               double slowdown) {
    LoadReport& load = loads[TargetId{target}];
    load.in_flight = running;
    load.queued = queued;
    load.slots = 3;
    load.slowdown = slowdown;
  }

  Placer placer;
  std::vector<TargetProperties> targets;
  std::map<TargetId, LoadReport> loads;
  int probes = 0;
  TimePoint now{seconds(1000)};
};

const StartAttempt* FindStart(const std::vector<Action>& actions) {
  for (const Action& action : actions) {
    if (const auto* start = std::get_if<StartAttempt>(&action)) {
      return start;
    }
  }
  return nullptr;
}

const RefuseCall* FindRefusal(const std::vector<Action>& actions) {
  for (const Action& action : actions) {
    if (const auto* refusal = std::get_if<RefuseCall>(&action)) {
      return refusal;
    }
  }
  return nullptr;
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(Place, Rig)

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

BOOST_AUTO_TEST_CASE(AsksFurtherTargetsWhenTheFirstAreSlow) {
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

// A burst filled every queue: work that can't be in time must be turned away
// while it can still come back, not put behind the rest.
BOOST_AUTO_TEST_CASE(WaitsForRoomAndThenRefuses) {
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

BOOST_AUTO_TEST_CASE(TakesRoomThatComesWhileItWaits) {
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

// After a burst, calls that had come back were sent to full targets whatever
// their state, and the queues never emptied.
BOOST_AUTO_TEST_CASE(SendsLateWorkOnlyIntoSpareSlots) {
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

BOOST_AUTO_TEST_CASE(RepeatsIdempotentWorkElsewhere) {
  AddTargets(3);
  const auto first = Arrive(MakeCall(1));
  BOOST_REQUIRE(FindStart(first) != nullptr);
  now += milliseconds(10);
  const auto second = AnswerProbes(Handle(dispatch::AttemptEnded{
      CallId{1}, AttemptId{0}, AttemptResult::kLost, std::nullopt, 0}));
  const StartAttempt* start = FindStart(second);
  BOOST_REQUIRE(start != nullptr);
  BOOST_TEST((start->target != FindStart(first)->target));
  now += milliseconds(10);
  const auto third = AnswerProbes(Handle(dispatch::AttemptEnded{
      CallId{1}, AttemptId{1}, AttemptResult::kLost, std::nullopt, 0}));
  const RefuseCall* refusal = FindRefusal(third);
  BOOST_REQUIRE(refusal != nullptr);
  BOOST_TEST((refusal->reason == RefuseReason::kOutcomeUnknown));
}

BOOST_AUTO_TEST_CASE(NeverRepeatsWorkThatMayHaveRun) {
  AddTargets(3);
  dispatch::CallArrived call = MakeCall(1);
  call.semantics = table::Semantics::kAtMostOnce;
  BOOST_REQUIRE(FindStart(Arrive(call)) != nullptr);
  const auto actions = AnswerProbes(Handle(dispatch::AttemptEnded{
      CallId{1}, AttemptId{0}, AttemptResult::kLost, std::nullopt, 0}));
  BOOST_TEST(FindStart(actions) == nullptr);
  BOOST_REQUIRE(FindRefusal(actions) != nullptr);
  BOOST_TEST((FindRefusal(actions)->reason == RefuseReason::kOutcomeUnknown));
}

BOOST_AUTO_TEST_CASE(RepeatsAtMostOnceWorkThatATargetTurnedAway) {
  AddTargets(3);
  dispatch::CallArrived call = MakeCall(1);
  call.semantics = table::Semantics::kAtMostOnce;
  BOOST_REQUIRE(FindStart(Arrive(call)) != nullptr);
  const auto actions = AnswerProbes(Handle(dispatch::AttemptEnded{
      CallId{1}, AttemptId{0}, AttemptResult::kRefused, std::nullopt, 0}));
  BOOST_TEST(FindStart(actions) != nullptr);
}

BOOST_AUTO_TEST_CASE(HedgesWorkThatIsLate) {
  AddTargets(3);
  BOOST_REQUIRE(FindStart(Arrive(MakeCall(1))) != nullptr);
  const auto actions = Wait(milliseconds(190));
  const StartAttempt* hedge = FindStart(actions);
  BOOST_REQUIRE(hedge != nullptr);
  BOOST_TEST(hedge->hedge);
}

BOOST_AUTO_TEST_CASE(NeverHedgesAtMostOnceWork) {
  AddTargets(3);
  dispatch::CallArrived call = MakeCall(1);
  call.semantics = table::Semantics::kAtMostOnce;
  BOOST_REQUIRE(FindStart(Arrive(call)) != nullptr);
  BOOST_TEST(Wait(milliseconds(900)).empty());
}

BOOST_AUTO_TEST_CASE(StaysWithinTheRetryBudget) {
  AddTargets(3);
  placer.SetBudgets({0.2, seconds(10), 0.0}, 0.0);
  BOOST_REQUIRE(FindStart(Arrive(MakeCall(1))) != nullptr);
  const auto actions = AnswerProbes(Handle(dispatch::AttemptEnded{
      CallId{1}, AttemptId{0}, AttemptResult::kLost, std::nullopt, 0}));
  BOOST_TEST(FindStart(actions) == nullptr);
  BOOST_TEST(FindRefusal(actions) != nullptr);
}

// Targets that shed half of their work used up the budget for callers that
// would have come back by themselves, and those that had come back got nothing.
BOOST_AUTO_TEST_CASE(KeepsHalfOfTheRetryBudgetForCallersThatCameBack) {
  AddTargets(3);
  // Ten repeats in a window; nine are used.
  placer.SetBudgets({0.0, seconds(10), 10.0}, 0.0);
  const auto shed = [&](std::uint64_t id, bool returned) {
    dispatch::CallArrived call = MakeCall(id);
    call.caller_retry = returned;
    BOOST_REQUIRE(FindStart(Arrive(call)) != nullptr);
    return AnswerProbes(Handle(dispatch::AttemptEnded{
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

BOOST_AUTO_TEST_CASE(KeepsLargeAnswersNear) {
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

// Downloads on the targets of lookups must not take the last slot from them.
BOOST_AUTO_TEST_CASE(LeavesASlotToMoreUrgentWork) {
  AddTargets(1);
  placer.SetMostUrgentRank(kService, Rank::kUrgent);
  SetLoad(1, 2, 0, 1.0);
  dispatch::CallArrived call = MakeCall(1);
  call.rank = Rank::kBulk;
  BOOST_TEST(Arrive(call).empty());
  SetLoad(1, 1, 0, 1.0);
  BOOST_TEST(FindStart(Wait(milliseconds(60))) != nullptr);
}

BOOST_AUTO_TEST_CASE(BoundsProbesOverTheFleet) {
  AddTargets(3);
  placer.SetFleetSize(2);
  placer.SetBudgets({0.2, seconds(10), 100.0}, 4.0);
  for (std::uint64_t call = 1; call <= 200; ++call) {
    Arrive(MakeCall(call));
    now += milliseconds(50);
  }
  // Ten seconds at 0.75 x 4 x 3 / 2 a second, and a second's worth to start.
  BOOST_TEST(probes <= 50);
  BOOST_TEST(probes >= 40);
}

BOOST_AUTO_TEST_CASE(GoesOnWithoutReportsWhenProbesAreSilent) {
  AddTargets(3);
  BOOST_TEST(FindStart(Handle(MakeCall(1))) == nullptr);
  now = *placer.NextWake();
  BOOST_TEST(FindStart(Handle(dispatch::Tick{})) != nullptr);
}

// Health checks of some services tell nothing of the load; they were taken for
// failed, and every target for unreachable.
BOOST_AUTO_TEST_CASE(PlacesByItsOwnCallsWhereTargetsDoNotTellTheirLoad) {
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

// 144 VMs with three calls a second each probed 300 targets in turn, and most
// probes needed a new connection.
BOOST_AUTO_TEST_CASE(KeepsToFewTargetsWhileItHasFewCalls) {
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

BOOST_AUTO_TEST_CASE(ForgetsACallWhoseCallerLeft) {
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
