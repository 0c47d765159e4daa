#include "kingcupshed/lifecycle/lifecycle.h"

#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "support/promise.h"

namespace kingcupshed::lifecycle {

namespace {

constexpr Duration kLag = std::chrono::seconds(2);
constexpr int kSteps = 60;

bool Contains(const std::vector<Action>& actions, Action action) {
  return std::find(actions.begin(), actions.end(), action) != actions.end();
}

/// A balancer and its callers around one lifecycle.
struct Vm {
  Lifecycle lifecycle{kLag};
  TimePoint now{};
  TimePoint asked{};
  std::size_t open = 0;
  bool stopping = false;
  bool accepting = true;
  bool exited = false;

  void Take(const std::vector<Action>& actions) {
    for (const Action action : actions) {
      if (action == Action::kStopAccepting) {
        // The balancer may have sent connections until now.
        RC_ASSERT(now >= asked + kLag);
        accepting = false;
      }
      if (action == Action::kExit) {
        RC_ASSERT(open == 0);
        RC_ASSERT(!accepting);
        exited = true;
      }
    }
  }

  void Step() {
    now += std::chrono::milliseconds(*rc::gen::inRange(0, 500));
    switch (*rc::gen::inRange(0, 6)) {
      case 0:
        lifecycle.SetServable(*rc::gen::arbitrary<bool>());
        break;
      case 1:
        asked = stopping ? asked : now;
        stopping = true;
        Take(lifecycle.HandleStopSignal(now));
        break;
      case 2:
        open += accepting ? 1 : 0;
        break;
      case 3:
        open -= open > 0 ? 1 : 0;
        break;
      default:
        Take(lifecycle.Advance(now, open));
        break;
    }
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(Promise6)

BOOST_AUTO_TEST_CASE(AVmExitsOnlyWithNoRequestLeft) {
  support::CheckPromise(6, "exit only when idle, after the lag", [] {
    Vm vm;
    for (int i = 0; i < kSteps && !vm.exited; ++i) {
      vm.Step();
      RC_ASSERT(!vm.stopping || !vm.lifecycle.ready());
    }
    // Once callers are served a stopping VM does exit.
    if (vm.stopping && !vm.exited) {
      vm.open = 0;
      vm.now += kLag;
      vm.Take(vm.lifecycle.Advance(vm.now, vm.open));
      vm.Take(vm.lifecycle.Advance(vm.now, vm.open));
      RC_ASSERT(vm.exited);
    }
  });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(LifecycleTest)

BOOST_AUTO_TEST_CASE(ASecondSignalOnlyWarns) {
  Lifecycle lifecycle(kLag);
  lifecycle.SetServable(true);
  BOOST_TEST(lifecycle.ready());
  const TimePoint start{};
  BOOST_TEST(Contains(lifecycle.HandleStopSignal(start), Action::kBeginStop));
  BOOST_TEST(!lifecycle.ready());
  lifecycle.SetServable(true);
  BOOST_TEST(!lifecycle.ready());
  const auto again = lifecycle.HandleStopSignal(start);
  BOOST_TEST(again.size() == 1);
  BOOST_TEST(Contains(again, Action::kWarnAlreadyStopping));
  BOOST_TEST(lifecycle.Advance(start, 0).empty());
  BOOST_TEST(
      Contains(lifecycle.Advance(start + kLag, 1), Action::kStopAccepting));
  BOOST_TEST(lifecycle.Advance(start + kLag, 1).empty());
  BOOST_TEST(Contains(lifecycle.Advance(start + kLag, 0), Action::kExit));
}

// A connection that does not end must not keep the VM until the platform kills
// it: what was open would be lost without a line (edge-vitre-8 in the replay of
// lestage-passerelle-grown hunt-613b-3).
BOOST_AUTO_TEST_CASE(GivesUpRightBeforeThePlatformEndsIt) {
  constexpr Duration kLimit = std::chrono::seconds(6);
  Lifecycle lifecycle(kLag, kLimit);
  lifecycle.SetServable(true);
  const TimePoint start{};
  (void)lifecycle.HandleStopSignal(start);
  BOOST_TEST(
      Contains(lifecycle.Advance(start + kLag, 1), Action::kStopAccepting));
  BOOST_TEST(lifecycle.Advance(start + kLimit * 9 / 10, 1).empty());
  const auto actions =
      lifecycle.Advance(start + kLimit - std::chrono::milliseconds(100), 1);
  BOOST_TEST(Contains(actions, Action::kWarnStopTimeout));
  BOOST_TEST(Contains(actions, Action::kExit));
  BOOST_TEST((lifecycle.phase() == Phase::kStopped));
}

BOOST_AUTO_TEST_CASE(DoesNotGiveUpWithoutALimit) {
  Lifecycle lifecycle(kLag);
  lifecycle.SetServable(true);
  const TimePoint start{};
  (void)lifecycle.HandleStopSignal(start);
  (void)lifecycle.Advance(start + kLag, 1);
  BOOST_TEST(lifecycle.Advance(start + std::chrono::hours(1), 1).empty());
}

// A limit shorter than the lag ends the VM while it still accepts.
BOOST_AUTO_TEST_CASE(KeepsToALimitShorterThanTheLag) {
  Lifecycle lifecycle(kLag, kLag / 2);
  const TimePoint start{};
  (void)lifecycle.HandleStopSignal(start);
  BOOST_TEST((*lifecycle.NextWake() < start + kLag / 2));
  BOOST_TEST(
      Contains(lifecycle.Advance(*lifecycle.NextWake(), 0), Action::kExit));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::lifecycle
