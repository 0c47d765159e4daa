#include "kingcupshed/http/call_state_machine.h"

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

/// State of one attempt.
struct AttemptState {
  bool sent = false;
  bool refused = false;
  bool ended = false;
};

struct ResponseReceived {
  AttemptId attempt{};
};
struct CallAbandoned {};

struct RecordWinner {
  template <typename Machine, typename From, typename To>
  void operator()(const ResponseReceived& event, Machine& machine, From&, To&) {
    machine.winner = event.attempt;
    machine.responded = true;
  }
};

/// States of a call: awaiting a response, forwarding one, abandoned.
struct Definition : msm::front::state_machine_def<Definition> {
  struct AwaitingResponse : msm::front::state<> {};
  struct Responding : msm::front::state<> {};
  struct Abandoned : msm::front::state<> {};
  using initial_state = AwaitingResponse;

  // NOLINTNEXTLINE(readability-identifier-naming): name given by Boost.MSM.
  struct transition_table
      : mpl::vector<
            Row<AwaitingResponse,
                ResponseReceived,
                Responding,
                RecordWinner,
                none>,
            Row<AwaitingResponse, CallAbandoned, Abandoned, none, none>> {};

  /// Late responses and repeated abandonment are ignored.
  template <typename Machine, typename Event>
  void no_transition(const Event&, Machine&, int) {}

  AttemptId winner{};
  bool responded = false;
};

using Machine = msm::back::state_machine<Definition>;
/// Index of `AwaitingResponse` in the order of the transition table.
constexpr int kAwaitingResponseState = 0;

}  // namespace

struct CallStateMachine::State {
  Machine machine;
  std::map<AttemptId, AttemptState> attempts;
};

CallStateMachine::CallStateMachine() : state_(std::make_unique<State>()) {
  state_->machine.start();
}

CallStateMachine::~CallStateMachine() = default;

bool CallStateMachine::StartAttempt(AttemptId attempt) {
  if (!awaiting_response()) {
    return false;
  }
  state_->attempts.emplace(attempt, AttemptState{});
  return true;
}

void CallStateMachine::OnBytesSent(AttemptId attempt) {
  state_->attempts[attempt].sent = true;
}

bool CallStateMachine::OnResponse(AttemptId attempt) {
  const bool is_first = awaiting_response();
  state_->machine.process_event(ResponseReceived{attempt});
  return is_first;
}

void CallStateMachine::OnRefused(AttemptId attempt) {
  AttemptState& attempt_state = state_->attempts[attempt];
  attempt_state.refused = true;
  attempt_state.ended = true;
}

void CallStateMachine::OnEnded(AttemptId attempt) {
  state_->attempts[attempt].ended = true;
}

void CallStateMachine::Abandon() {
  state_->machine.process_event(CallAbandoned{});
}

std::vector<AttemptId> CallStateMachine::running_attempts() const {
  std::vector<AttemptId> running;
  for (const auto& [attempt, attempt_state] : state_->attempts) {
    const bool is_winner =
        state_->machine.responded && state_->machine.winner == attempt;
    if (!attempt_state.ended && !is_winner) {
      running.push_back(attempt);
    }
  }
  return running;
}

bool CallStateMachine::awaiting_response() const {
  return state_->machine.current_state()[0] == kAwaitingResponseState;
}

Outcome CallStateMachine::outcome() const {
  if (state_->machine.responded) {
    return Outcome::kRan;
  }
  const bool may_have_run = std::any_of(
      state_->attempts.begin(), state_->attempts.end(), [](const auto& entry) {
        return entry.second.sent && !entry.second.refused;
      });
  return may_have_run ? Outcome::kUnknown : Outcome::kNotRun;
}

}  // namespace kingcupshed::http
