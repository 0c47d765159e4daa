#include "kingcupshed/lifecycle/lifecycle.h"

#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "support/promise.h"

namespace kingcupshed::lifecycle {

namespace {

constexpr Duration kDeregistrationTime = std::chrono::seconds(2);
constexpr int kSteps = 60;

bool Contains(const std::vector<Action>& actions, Action action) {
  return std::find(actions.begin(), actions.end(), action) != actions.end();
}

/// Simulates the load balancer, the callers and the daemon around one
/// lifecycle.
struct Vm {
  Lifecycle lifecycle{kDeregistrationTime};
  TimePoint now{};
  /// Time of the first signal to stop.
  TimePoint stop_requested{};
  std::size_t open_connections = 0;
  bool stopping = false;
  bool accepting = true;
  bool exited = false;

  void Apply(const std::vector<Action>& actions) {
    for (const Action action : actions) {
      if (action == Action::kStopAccepting) {
        // The load balancer may have sent new connections until then.
        RC_ASSERT(now >= stop_requested + kDeregistrationTime);
        accepting = false;
      }
      if (action == Action::kExit) {
        RC_ASSERT(open_connections == 0);
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
        stop_requested = stopping ? stop_requested : now;
        stopping = true;
        Apply(lifecycle.HandleStopSignal(now));
        break;
      case 2:
        open_connections += accepting ? 1 : 0;
        break;
      case 3:
        open_connections -= open_connections > 0 ? 1 : 0;
        break;
      default:
        Apply(lifecycle.Advance(now, open_connections));
        break;
    }
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(Promise6)

BOOST_AUTO_TEST_CASE(VmExitsOnlyWithNoOpenConnections) {
  support::CheckPromise(6, "exit only when idle, after the lag", [] {
    Vm vm;
    for (int i = 0; i < kSteps && !vm.exited; ++i) {
      vm.Step();
      RC_ASSERT(!vm.stopping || !vm.lifecycle.ready());
    }
    // A stopping VM exits once all connections have ended.
    if (vm.stopping && !vm.exited) {
      vm.open_connections = 0;
      vm.now += kDeregistrationTime;
      vm.Apply(vm.lifecycle.Advance(vm.now, vm.open_connections));
      vm.Apply(vm.lifecycle.Advance(vm.now, vm.open_connections));
      RC_ASSERT(vm.exited);
    }
  });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(LifecycleTest)

BOOST_AUTO_TEST_CASE(SecondSignalOnlyWarns) {
  Lifecycle lifecycle(kDeregistrationTime);
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
  BOOST_TEST(Contains(lifecycle.Advance(start + kDeregistrationTime, 1),
                      Action::kStopAccepting));
  BOOST_TEST(lifecycle.Advance(start + kDeregistrationTime, 1).empty());
  BOOST_TEST(Contains(lifecycle.Advance(start + kDeregistrationTime, 0),
                      Action::kExit));
}

// A connection that doesn't end must not keep the VM running until the platform
// kills it: the requests in progress would be lost without a log line
// (edge-vitre-8 in the replay of lestage-passerelle-grown hunt-613b-3).
BOOST_AUTO_TEST_CASE(VmExitsRightBeforeThePlatformEndsIt) {
  constexpr Duration kStopTimeout = std::chrono::seconds(6);
  Lifecycle lifecycle(kDeregistrationTime, kStopTimeout);
  lifecycle.SetServable(true);
  const TimePoint start{};
  (void)lifecycle.HandleStopSignal(start);
  BOOST_TEST(Contains(lifecycle.Advance(start + kDeregistrationTime, 1),
                      Action::kStopAccepting));
  BOOST_TEST(lifecycle.Advance(start + kStopTimeout * 9 / 10, 1).empty());
  const auto actions = lifecycle.Advance(
      start + kStopTimeout - std::chrono::milliseconds(100), 1);
  BOOST_TEST(Contains(actions, Action::kWarnStopTimeout));
  BOOST_TEST(Contains(actions, Action::kExit));
  BOOST_TEST((lifecycle.phase() == Phase::kStopped));
}

BOOST_AUTO_TEST_CASE(VmWaitsForeverWithoutAStopTimeout) {
  Lifecycle lifecycle(kDeregistrationTime);
  lifecycle.SetServable(true);
  const TimePoint start{};
  (void)lifecycle.HandleStopSignal(start);
  (void)lifecycle.Advance(start + kDeregistrationTime, 1);
  BOOST_TEST(lifecycle.Advance(start + std::chrono::hours(1), 1).empty());
}

// When the platform ends the VM before the load balancer notices that it is
// leaving, the VM exits while it still accepts connections.
BOOST_AUTO_TEST_CASE(StopTimeoutMayBeShorterThanTheDeregistrationTime) {
  Lifecycle lifecycle(kDeregistrationTime, kDeregistrationTime / 2);
  const TimePoint start{};
  (void)lifecycle.HandleStopSignal(start);
  BOOST_TEST((*lifecycle.NextWake() < start + kDeregistrationTime / 2));
  BOOST_TEST(
      Contains(lifecycle.Advance(*lifecycle.NextWake(), 0), Action::kExit));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::lifecycle
