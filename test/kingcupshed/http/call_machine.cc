#include "kingcupshed/http/call_machine.h"

#include <algorithm>
#include <iterator>
#include <map>

#include <boost/test/unit_test.hpp>

#include "support/promise.h"

namespace kingcupshed::http {

namespace {

/// What really happened to one attempt, as the target knows it.
struct TrueAttempt {
  bool ran = false;
  bool over = false;
};

/// Drives a machine with a random history and keeps the truth beside it.
class History {
 public:
  void Step() {
    const int step = *rc::gen::inRange(0, 8);
    if (step == 0) {
      const AttemptId id{next_++};
      if (machine.Start(id)) {
        attempts[id] = {};
      }
      return;
    }
    if (step == 7) {
      machine.Close();
      return;
    }
    if (attempts.empty()) {
      return;
    }
    const auto at = *rc::gen::inRange<std::size_t>(0, attempts.size());
    auto chosen = std::next(attempts.begin(), static_cast<long>(at));
    if (!chosen->second.over) {
      StepAttempt(step, chosen->first, chosen->second);
    }
  }

  [[nodiscard]] bool ran() const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [](const auto& entry) { return entry.second.ran; });
  }

  CallMachine machine;
  std::map<AttemptId, TrueAttempt> attempts;

 private:
  void StepAttempt(int step, AttemptId id, TrueAttempt& attempt) {
    switch (step) {
      case 1:  // Written, and the target may run it at once.
        machine.Sent(id);
        attempt.ran = *rc::gen::arbitrary<bool>();
        break;
      case 2:
        if (!attempt.ran) {
          machine.Refused(id);
          attempt.over = true;
        }
        break;
      case 3:  // The connection broke.
        machine.Ended(id);
        attempt.over = true;
        break;
      case 4:
        if (attempt.ran) {
          passed_on_ += machine.Answered(id) ? 1 : 0;
          attempt.over = true;
        }
        break;
      default:
        break;
    }
    RC_ASSERT(passed_on_ <= 1);
  }

  std::uint32_t next_ = 0;
  int passed_on_ = 0;
};

constexpr int kSteps = 30;

}  // namespace

BOOST_AUTO_TEST_SUITE(Promise3)

BOOST_AUTO_TEST_CASE(NotRunIsSaidOnlyOfWorkThatNoTargetRan) {
  support::CheckPromise(3, "not run by the attempts seen", [] {
    History history;
    for (int i = 0; i < kSteps; ++i) {
      history.Step();
      if (history.machine.outcome() == Outcome::kNotRun) {
        RC_ASSERT(!history.ran());
      }
    }
  });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(CallMachineTest)

BOOST_AUTO_TEST_CASE(OnlyTheFirstAnswerIsPassedOn) {
  CallMachine machine;
  BOOST_TEST(machine.Start(AttemptId{0}));
  BOOST_TEST(machine.Start(AttemptId{1}));
  BOOST_TEST(machine.Answered(AttemptId{1}));
  BOOST_TEST(!machine.Answered(AttemptId{0}));
  BOOST_TEST(!machine.Start(AttemptId{2}));
  BOOST_TEST((machine.outcome() == Outcome::kRan));
  BOOST_TEST(machine.running().size() == 1);
}

BOOST_AUTO_TEST_CASE(ARefusalDoesNotVouchForAnEarlierAttempt) {
  CallMachine machine;
  BOOST_TEST(machine.Start(AttemptId{0}));
  machine.Sent(AttemptId{0});
  machine.Ended(AttemptId{0});
  BOOST_TEST(machine.Start(AttemptId{1}));
  machine.Sent(AttemptId{1});
  machine.Refused(AttemptId{1});
  BOOST_TEST((machine.outcome() == Outcome::kUnknown));
}

BOOST_AUTO_TEST_CASE(AClosedCallTakesNoAnswer) {
  CallMachine machine;
  BOOST_TEST(machine.Start(AttemptId{0}));
  machine.Sent(AttemptId{0});
  machine.Close();
  BOOST_TEST(!machine.Answered(AttemptId{0}));
  BOOST_TEST((machine.outcome() == Outcome::kUnknown));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::http
