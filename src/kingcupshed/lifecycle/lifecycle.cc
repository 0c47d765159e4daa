#include "kingcupshed/lifecycle/lifecycle.h"

#include <algorithm>
#include <utility>

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace kingcupshed::lifecycle {

namespace {

namespace msm = boost::msm;
namespace mpl = boost::mpl;
using msm::front::none;
using msm::front::Row;

struct BecameServable {};
struct BecameUnservable {};
struct StopSignal {
  TimePoint now;
};
struct DeregistrationEnded {};
struct BecameIdle {};
struct StopTimedOut {};

/// Adds an action to the list that the state machine returns.
template <Action kAction>
struct Emit {
  template <typename Event, typename Machine, typename From, typename To>
  void operator()(const Event&, Machine& machine, From&, To&) const {
    machine.actions.push_back(kAction);
  }
};

/// Time before the platform ends the VM at which the VM exits by itself: enough
/// to log what is still open, too little to complete many requests.
constexpr Duration kExitMargin = std::chrono::milliseconds(150);

/// Adds the actions for a stop that timed out.
struct AbortStop {
  template <typename Event, typename Machine, typename From, typename To>
  void operator()(const Event&, Machine& machine, From&, To&) const {
    machine.actions.push_back(Action::kWarnStopTimeout);
    machine.actions.push_back(Action::kExit);
  }
};

struct BeginStop {
  template <typename Machine, typename From, typename To>
  void operator()(const StopSignal& signal,
                  Machine& machine,
                  From&,
                  To&) const {
    machine.deregistration_end = signal.now + machine.deregistration_time;
    machine.stop_deadline =
        machine.stop_timeout > Duration::zero()
            ? signal.now + std::max(machine.stop_timeout - kExitMargin,
                                    machine.stop_timeout / 2)
            : TimePoint::max();
    machine.actions.push_back(Action::kBeginStop);
  }
};

struct Definition : msm::front::state_machine_def<Definition> {
  struct Starting : msm::front::state<> {};
  struct Ready : msm::front::state<> {};
  struct Deregistering : msm::front::state<> {};
  struct Finishing : msm::front::state<> {};
  struct Stopped : msm::front::state<> {};
  using initial_state = Starting;

  // NOLINTNEXTLINE(readability-identifier-naming): the library's name.
  struct transition_table
      : mpl::vector<
            Row<Starting, BecameServable, Ready, none, none>,
            Row<Ready, BecameUnservable, Starting, none, none>,
            Row<Starting, StopSignal, Deregistering, BeginStop, none>,
            Row<Ready, StopSignal, Deregistering, BeginStop, none>,
            Row<Deregistering,
                StopSignal,
                none,
                Emit<Action::kWarnAlreadyStopping>,
                none>,
            Row<Finishing,
                StopSignal,
                none,
                Emit<Action::kWarnAlreadyStopping>,
                none>,
            Row<Deregistering,
                DeregistrationEnded,
                Finishing,
                Emit<Action::kStopAccepting>,
                none>,
            Row<Deregistering, StopTimedOut, Stopped, AbortStop, none>,
            Row<Finishing, StopTimedOut, Stopped, AbortStop, none>,
            Row<Finishing, BecameIdle, Stopped, Emit<Action::kExit>, none>> {};

  template <typename Machine, typename Event>
  void no_transition(const Event&, Machine&, int) {}

  Duration deregistration_time{};
  Duration stop_timeout{};
  TimePoint deregistration_end{};
  TimePoint stop_deadline = TimePoint::max();
  std::vector<Action> actions;
};

using Machine = msm::back::state_machine<Definition>;

/// Interval at which the number of open connections is checked.
constexpr Duration kConnectionCheckInterval = std::chrono::milliseconds(20);

}  // namespace

struct Lifecycle::State {
  std::vector<Action> TakeActions() {
    return std::exchange(machine.actions, {});
  }

  Machine machine;
  TimePoint last_advance{};
};

Lifecycle::Lifecycle(Duration deregistration_time, Duration stop_timeout)
    : state_(std::make_unique<State>()) {
  state_->machine.deregistration_time = deregistration_time;
  state_->machine.stop_timeout = stop_timeout;
  state_->machine.start();
}

Lifecycle::~Lifecycle() = default;

void Lifecycle::SetServable(bool servable) {
  if (servable) {
    state_->machine.process_event(BecameServable{});
  } else {
    state_->machine.process_event(BecameUnservable{});
  }
}

std::vector<Action> Lifecycle::HandleStopSignal(TimePoint now) {
  state_->machine.process_event(StopSignal{now});
  state_->last_advance = now;
  return state_->TakeActions();
}

std::vector<Action> Lifecycle::Advance(TimePoint now,
                                       std::size_t open_connections) {
  state_->last_advance = now;
  if (phase() == Phase::kDeregistering &&
      now >= state_->machine.deregistration_end) {
    state_->machine.process_event(DeregistrationEnded{});
    return state_->TakeActions();
  }
  if (open_connections == 0) {
    state_->machine.process_event(BecameIdle{});
  }
  if (now >= state_->machine.stop_deadline) {
    state_->machine.process_event(StopTimedOut{});
  }
  return state_->TakeActions();
}

std::optional<TimePoint> Lifecycle::NextWake() const {
  if (phase() == Phase::kDeregistering) {
    return std::min(state_->machine.deregistration_end,
                    state_->machine.stop_deadline);
  }
  if (phase() == Phase::kFinishing) {
    return state_->last_advance + kConnectionCheckInterval;
  }
  return std::nullopt;
}

Phase Lifecycle::phase() const {
  // The library numbers the states in the order of their first occurrence in
  // the transition table.
  constexpr Phase kPhases[] = {Phase::kStarting, Phase::kReady,
                               Phase::kDeregistering, Phase::kFinishing,
                               Phase::kStopped};
  return kPhases[state_->machine.current_state()[0]];
}

bool Lifecycle::ready() const {
  return phase() == Phase::kReady;
}

}  // namespace kingcupshed::lifecycle
