#include <vector>

#include <boost/test/unit_test.hpp>

#include "support/placer_rig.h"

namespace kingcupshed::placement {

namespace {

using dispatch::Action;
using dispatch::AttemptResult;
using dispatch::CancelAttempt;
using dispatch::RefuseCall;
using dispatch::RefuseReason;
using dispatch::StartAttempt;
using std::chrono::milliseconds;
using support::FindAction;
using support::FindRefusal;
using support::FindStart;

/// Deadline of the calls, long after all expected responses.
constexpr Duration kDeadline = milliseconds(2500);

struct Rig : support::PlacerRig {
  [[nodiscard]] dispatch::CallArrived MakeLongCall(
      std::uint64_t id,
      table::Semantics semantics) const {
    dispatch::CallArrived call = MakeCall(id);
    call.deadline = now + kDeadline;
    call.semantics = semantics;
    return call;
  }

  /// Starts a call at a target whose queue is full by the time it arrives.
  TargetId StartAtFullTarget(std::uint64_t id, table::Semantics semantics) {
    const auto actions = Arrive(MakeLongCall(id, semantics));
    const StartAttempt* start = FindStart(actions);
    BOOST_REQUIRE(start != nullptr);
    const TargetId target = start->target;
    SetLoad(ToIndex(target), 3, 2, 1.0);
    (void)Handle(dispatch::LoadReported{target, loads[target], {}});
    return target;
  }

  /// Ends an attempt in the way in which the HTTP side reports a cancelled one.
  std::vector<Action> EndCancelled(const CancelAttempt& cancel) {
    return RespondToProbes(Handle(
        dispatch::AttemptEnded{cancel.call, cancel.attempt,
                               AttemptResult::kCancelled, std::nullopt, 0}));
  }
};

}  // namespace

// Load pattern: the targets of a service never respond to a call that they
// can't queue, and their queues are full for a moment.
BOOST_FIXTURE_TEST_SUITE(SilentAttemptsTest, Rig)

BOOST_AUTO_TEST_CASE(AtMostOnceCallThatItsTargetDoesNotHaveEndsEarly) {
  AddTargets(2);
  const TimePoint sent = now;
  const TargetId target = StartAtFullTarget(1, table::Semantics::kAtMostOnce);
  SetLoad(ToIndex(target), 0, 0, 1.0);
  const auto actions = Wait(kDeadline);
  const auto* cancel = FindAction<CancelAttempt>(actions);
  BOOST_REQUIRE(cancel != nullptr);
  BOOST_TEST(ToMilliseconds(now - sent) < 1250.0);
  const auto ended = EndCancelled(*cancel);
  BOOST_TEST(FindStart(ended) == nullptr);
  const RefuseCall* refusal = FindRefusal(ended);
  BOOST_REQUIRE(refusal != nullptr);
  BOOST_TEST((refusal->reason == RefuseReason::kOutcomeUnknown));
}

BOOST_AUTO_TEST_CASE(LostIdempotentCallIsSentToAnotherTarget) {
  AddTargets(2);
  const TargetId target = StartAtFullTarget(1, table::Semantics::kIdempotent);
  SetLoad(ToIndex(target), 0, 0, 1.0);
  const auto actions = Wait(kDeadline);
  const StartAttempt* hedge = FindStart(actions);
  BOOST_REQUIRE(hedge != nullptr);
  BOOST_TEST((hedge->target != target));
}

BOOST_AUTO_TEST_CASE(CallThatItsTargetHasIsNotGivenUp) {
  AddTargets(1);
  const TargetId target = StartAtFullTarget(1, table::Semantics::kAtMostOnce);
  SetLoad(ToIndex(target), 1, 0, 7.0);
  BOOST_TEST(Wait(kDeadline).empty());
  BOOST_TEST(probes < 20);
}

// Guards against an at-most-once call that is given up at work because its
// target doesn't count a response that this VM still forwards to a slow caller.
BOOST_AUTO_TEST_CASE(CallAtWorkIsKeptWhileAnotherResponseIsForwarded) {
  AddTargets(1);
  const TargetId target = StartAtFullTarget(1, table::Semantics::kAtMostOnce);
  SetLoad(ToIndex(target), 1, 0, 1.0);
  const auto placed = Arrive(MakeLongCall(2, table::Semantics::kIdempotent));
  const StartAttempt* start = FindStart(placed);
  BOOST_REQUIRE(start != nullptr);
  (void)Handle(
      dispatch::ResponseStarted{CallId{2}, start->attempt, loads[target], {}});
  BOOST_TEST(Wait(kDeadline).empty());
}

// Guards against an at-most-once call that is given up at work because another
// call of this VM did not reach the target: the load doesn't tell which one
// did.
BOOST_AUTO_TEST_CASE(CallAtWorkIsKeptWhenTheTargetDroppedAnother) {
  AddTargets(1);
  const TargetId target = StartAtFullTarget(1, table::Semantics::kAtMostOnce);
  SetLoad(ToIndex(target), 1, 0, 1.0);
  const auto placed = Arrive(MakeLongCall(2, table::Semantics::kAtMostOnce));
  const StartAttempt* start = FindStart(placed);
  BOOST_REQUIRE(start != nullptr);
  BOOST_TEST(Wait(milliseconds(1500)).empty());
  // The first call ends, so the second one is not at the target.
  SetLoad(ToIndex(target), 0, 0, 1.0);
  (void)Handle(
      dispatch::ResponseStarted{CallId{1}, AttemptId{0}, loads[target], {}});
  const auto actions = Wait(kDeadline);
  const auto* cancel = FindAction<CancelAttempt>(actions);
  BOOST_REQUIRE(cancel != nullptr);
  BOOST_TEST((cancel->call == CallId{2}));
}

// A target that is only silent, or slow to report, keeps its work.
BOOST_AUTO_TEST_CASE(SilentTargetKeepsItsAtMostOnceCall) {
  AddTargets(2);
  const auto placed = Arrive(MakeLongCall(1, table::Semantics::kAtMostOnce));
  const StartAttempt* start = FindStart(placed);
  BOOST_REQUIRE(start != nullptr);
  while (now < TimePoint{std::chrono::seconds(1002)}) {
    now += milliseconds(50);
    for (const Action& action : Handle(dispatch::Tick{})) {
      const auto* probe = std::get_if<dispatch::ProbeTarget>(&action);
      BOOST_REQUIRE(probe != nullptr);
      (void)Handle(dispatch::ProbeFailed{probe->target});
    }
  }
}

BOOST_AUTO_TEST_CASE(ResponseOnItsWayIsAwaited) {
  AddTargets(1);
  const TargetId target = StartAtFullTarget(1, table::Semantics::kAtMostOnce);
  SetLoad(ToIndex(target), 0, 0, 1.0);
  now += milliseconds(400);
  (void)Handle(dispatch::LoadReported{target, loads[target], {}});
  now += milliseconds(100);
  (void)Handle(dispatch::LoadReported{target, loads[target], {}});
  BOOST_TEST(FindAction<CancelAttempt>(Handle(dispatch::Tick{})) == nullptr);
}

// A target that didn't take a call because it was full is no failing one: it
// stays in use.
BOOST_AUTO_TEST_CASE(FullTargetIsUsedAgain) {
  AddTargets(2);
  const TargetId target = StartAtFullTarget(1, table::Semantics::kAtMostOnce);
  SetLoad(ToIndex(target), 0, 0, 1.0);
  const auto actions = Wait(kDeadline);
  const auto* cancel = FindAction<CancelAttempt>(actions);
  BOOST_REQUIRE(cancel != nullptr);
  (void)EndCancelled(*cancel);
  int used = 0;
  for (std::uint64_t id = 2; id < 42; ++id) {
    now += milliseconds(20);
    const auto placed = Arrive(MakeCall(id));
    const StartAttempt* start = FindStart(placed);
    BOOST_REQUIRE(start != nullptr);
    used += start->target == target ? 1 : 0;
    (void)Handle(dispatch::ResponseStarted{
        CallId{id}, start->attempt, LoadReport{0, 0, 3, 1.0}, {}});
    (void)Handle(dispatch::AttemptEnded{CallId{id}, start->attempt,
                                        AttemptResult::kCompleted, std::nullopt,
                                        0});
  }
  BOOST_TEST(used >= 10);
}

// Once a service is known to drop calls, none is sent to a target without room
// in its queue, however much time the call has.
BOOST_AUTO_TEST_CASE(CallsWaitForRoomInAQueueThatDropsThem) {
  AddTargets(1);
  const TargetId target = StartAtFullTarget(1, table::Semantics::kAtMostOnce);
  SetLoad(ToIndex(target), 0, 0, 1.0);
  const auto lost = Wait(kDeadline);
  const auto* cancel = FindAction<CancelAttempt>(lost);
  BOOST_REQUIRE(cancel != nullptr);
  (void)EndCancelled(*cancel);
  SetLoad(ToIndex(target), 3, 2, 1.0);
  (void)Handle(dispatch::LoadReported{target, loads[target], {}});
  dispatch::CallArrived call = MakeLongCall(2, table::Semantics::kIdempotent);
  call.objective = call.deadline;
  BOOST_TEST(FindStart(Arrive(call)) == nullptr);
  SetLoad(ToIndex(target), 1, 0, 1.0);
  BOOST_TEST(FindStart(Wait(milliseconds(100))) != nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::placement
