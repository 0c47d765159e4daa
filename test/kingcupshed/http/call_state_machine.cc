#include "kingcupshed/http/call_state_machine.h"

#include <algorithm>
#include <iterator>
#include <map>

#include <boost/test/unit_test.hpp>

#include "support/promise.h"

namespace kingcupshed::http {

namespace {

/// What actually happened to one attempt, from the view of the target.
struct ActualAttempt {
  bool ran = false;
  bool ended = false;
};

/// Drives a state machine with random events and records what actually
/// happened.
class RandomHistory {
 public:
  void Step() {
    const int step = *rc::gen::inRange(0, 8);
    if (step == 0) {
      const AttemptId id{next_++};
      if (machine.StartAttempt(id)) {
        attempts[id] = {};
      }
      return;
    }
    if (step == 7) {
      machine.Abandon();
      return;
    }
    if (attempts.empty()) {
      return;
    }
    const auto at = *rc::gen::inRange<std::size_t>(0, attempts.size());
    auto chosen = std::next(attempts.begin(), static_cast<long>(at));
    if (!chosen->second.ended) {
      StepAttempt(step, chosen->first, chosen->second);
    }
  }

  [[nodiscard]] bool ran() const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [](const auto& entry) { return entry.second.ran; });
  }

  CallStateMachine machine;
  std::map<AttemptId, ActualAttempt> attempts;

 private:
  void StepAttempt(int step, AttemptId id, ActualAttempt& attempt) {
    switch (step) {
      case 1:  // Sent; the target may run the work at once.
        machine.OnBytesSent(id);
        attempt.ran = *rc::gen::arbitrary<bool>();
        break;
      case 2:
        if (!attempt.ran) {
          machine.OnRefused(id);
          attempt.ended = true;
        }
        break;
      case 3:  // The connection failed.
        machine.OnEnded(id);
        attempt.ended = true;
        break;
      case 4:
        if (attempt.ran) {
          forwarded_ += machine.OnResponse(id) ? 1 : 0;
          attempt.ended = true;
        }
        break;
      default:
        break;
    }
    RC_ASSERT(forwarded_ <= 1);
  }

  std::uint32_t next_ = 0;
  int forwarded_ = 0;
};

constexpr int kSteps = 30;

}  // namespace

BOOST_AUTO_TEST_SUITE(Promise3)

BOOST_AUTO_TEST_CASE(NotRunIsReportedOnlyForWorkThatNoTargetRan) {
  support::CheckPromise(3, "not run by the attempts seen", [] {
    RandomHistory history;
    for (int i = 0; i < kSteps; ++i) {
      history.Step();
      if (history.machine.outcome() == Outcome::kNotRun) {
        RC_ASSERT(!history.ran());
      }
    }
  });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(CallStateMachineTest)

BOOST_AUTO_TEST_CASE(OnlyFirstResponseIsForwarded) {
  CallStateMachine machine;
  BOOST_TEST(machine.StartAttempt(AttemptId{0}));
  BOOST_TEST(machine.StartAttempt(AttemptId{1}));
  BOOST_TEST(machine.OnResponse(AttemptId{1}));
  BOOST_TEST(!machine.OnResponse(AttemptId{0}));
  BOOST_TEST(!machine.StartAttempt(AttemptId{2}));
  BOOST_TEST((machine.outcome() == Outcome::kRan));
  BOOST_TEST(machine.running_attempts().size() == 1);
}

BOOST_AUTO_TEST_CASE(RefusalOfOneAttemptDoesNotCoverAnother) {
  CallStateMachine machine;
  BOOST_TEST(machine.StartAttempt(AttemptId{0}));
  machine.OnBytesSent(AttemptId{0});
  machine.OnEnded(AttemptId{0});
  BOOST_TEST(machine.StartAttempt(AttemptId{1}));
  machine.OnBytesSent(AttemptId{1});
  machine.OnRefused(AttemptId{1});
  BOOST_TEST((machine.outcome() == Outcome::kUnknown));
}

BOOST_AUTO_TEST_CASE(AbandonedCallAcceptsNoResponse) {
  CallStateMachine machine;
  BOOST_TEST(machine.StartAttempt(AttemptId{0}));
  machine.OnBytesSent(AttemptId{0});
  machine.Abandon();
  BOOST_TEST(!machine.OnResponse(AttemptId{0}));
  BOOST_TEST((machine.outcome() == Outcome::kUnknown));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::http
