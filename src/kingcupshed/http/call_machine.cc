#include "kingcupshed/http/call_machine.h"

#include <algorithm>
#include <map>

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace kingcupshed::http {

namespace {

namespace msm = boost::msm;
namespace mpl = boost::mpl;
using msm::front::none;
using msm::front::Row;

/// What is known of one attempt.
struct Progress {
  bool sent = false;
  bool refused = false;
  bool over = false;
};

struct AnswerCame {
  AttemptId attempt{};
};
struct GivenUp {};

struct RememberWinner {
  template <typename Machine, typename From, typename To>
  void operator()(const AnswerCame& event, Machine& machine, From&, To&) {
    machine.winner = event.attempt;
    machine.answered = true;
  }
};

/// States of a call: no answer yet, an answer is passed on, given up.
struct Definition : msm::front::state_machine_def<Definition> {
  struct Waiting : msm::front::state<> {};
  struct Answering : msm::front::state<> {};
  struct Closed : msm::front::state<> {};
  using initial_state = Waiting;

  // NOLINTNEXTLINE(readability-identifier-naming): the library's name.
  struct transition_table
      : mpl::vector<Row<Waiting, AnswerCame, Answering, RememberWinner, none>,
                    Row<Waiting, GivenUp, Closed, none, none>> {};

  /// Answers that come late and a second giving up change nothing.
  template <typename Machine, typename Event>
  void no_transition(const Event&, Machine&, int) {}

  AttemptId winner{};
  bool answered = false;
};

using Machine = msm::back::state_machine<Definition>;
/// Position of `Waiting` among the states, in order of the table.
constexpr int kWaitingState = 0;

}  // namespace

struct CallMachine::State {
  Machine machine;
  std::map<AttemptId, Progress> attempts;
};

CallMachine::CallMachine() : state_(std::make_unique<State>()) {
  state_->machine.start();
}

CallMachine::~CallMachine() = default;

bool CallMachine::Start(AttemptId attempt) {
  if (!waiting()) {
    return false;
  }
  state_->attempts.emplace(attempt, Progress{});
  return true;
}

void CallMachine::Sent(AttemptId attempt) {
  state_->attempts[attempt].sent = true;
}

bool CallMachine::Answered(AttemptId attempt) {
  const bool first = waiting();
  state_->machine.process_event(AnswerCame{attempt});
  return first;
}

void CallMachine::Refused(AttemptId attempt) {
  Progress& progress = state_->attempts[attempt];
  progress.refused = true;
  progress.over = true;
}

void CallMachine::Ended(AttemptId attempt) {
  state_->attempts[attempt].over = true;
}

void CallMachine::Close() {
  state_->machine.process_event(GivenUp{});
}

std::vector<AttemptId> CallMachine::running() const {
  std::vector<AttemptId> running;
  for (const auto& [attempt, progress] : state_->attempts) {
    const bool passed_on =
        state_->machine.answered && state_->machine.winner == attempt;
    if (!progress.over && !passed_on) {
      running.push_back(attempt);
    }
  }
  return running;
}

bool CallMachine::waiting() const {
  return state_->machine.current_state()[0] == kWaitingState;
}

Outcome CallMachine::outcome() const {
  if (state_->machine.answered) {
    return Outcome::kRan;
  }
  const bool may_have_run = std::any_of(
      state_->attempts.begin(), state_->attempts.end(), [](const auto& entry) {
        return entry.second.sent && !entry.second.refused;
      });
  return may_have_run ? Outcome::kUnknown : Outcome::kNotRun;
}

}  // namespace kingcupshed::http
