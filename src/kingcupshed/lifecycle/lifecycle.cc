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
struct LagOver {};
struct Idle {};
struct LimitOver {};

/// Puts an action on the machine's list.
template <Action kAction>
struct Do {
  template <typename Event, typename Machine, typename From, typename To>
  void operator()(const Event&, Machine& machine, From&, To&) const {
    machine.actions.push_back(kAction);
  }
};

/// Time before the end of the limit at which the VM gives up: enough to write
/// what was open, too little for much work.
constexpr Duration kBeforeTheEnd = std::chrono::milliseconds(150);

/// Puts what stands for a limit that is over on the machine's list.
struct GiveUp {
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
    machine.lag_end = signal.now + machine.lag;
    machine.end = machine.limit > Duration::zero()
                      ? signal.now + std::max(machine.limit - kBeforeTheEnd,
                                              machine.limit / 2)
                      : TimePoint::max();
    machine.actions.push_back(Action::kBeginStop);
  }
};

struct Definition : msm::front::state_machine_def<Definition> {
  struct Starting : msm::front::state<> {};
  struct Ready : msm::front::state<> {};
  struct Lagging : msm::front::state<> {};
  struct Finishing : msm::front::state<> {};
  struct Stopped : msm::front::state<> {};
  using initial_state = Starting;

  // NOLINTNEXTLINE(readability-identifier-naming): the library's name.
  struct transition_table
      : mpl::vector<
            Row<Starting, BecameServable, Ready, none, none>,
            Row<Ready, BecameUnservable, Starting, none, none>,
            Row<Starting, StopSignal, Lagging, BeginStop, none>,
            Row<Ready, StopSignal, Lagging, BeginStop, none>,
            Row<Lagging,
                StopSignal,
                none,
                Do<Action::kWarnAlreadyStopping>,
                none>,
            Row<Finishing,
                StopSignal,
                none,
                Do<Action::kWarnAlreadyStopping>,
                none>,
            Row<Lagging, LagOver, Finishing, Do<Action::kStopAccepting>, none>,
            Row<Lagging, LimitOver, Stopped, GiveUp, none>,
            Row<Finishing, LimitOver, Stopped, GiveUp, none>,
            Row<Finishing, Idle, Stopped, Do<Action::kExit>, none>> {};

  template <typename Machine, typename Event>
  void no_transition(const Event&, Machine&, int) {}

  Duration lag{};
  Duration limit{};
  TimePoint lag_end{};
  TimePoint end = TimePoint::max();
  std::vector<Action> actions;
};

using Machine = msm::back::state_machine<Definition>;

/// Longest time between two looks at the number of open connections.
constexpr Duration kProgressInterval = std::chrono::milliseconds(20);

}  // namespace

struct Lifecycle::State {
  std::vector<Action> TakeActions() {
    return std::exchange(machine.actions, {});
  }

  Machine machine;
  TimePoint last_progress{};
};

Lifecycle::Lifecycle(Duration lag, Duration limit)
    : state_(std::make_unique<State>()) {
  state_->machine.lag = lag;
  state_->machine.limit = limit;
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
  state_->last_progress = now;
  return state_->TakeActions();
}

std::vector<Action> Lifecycle::Advance(TimePoint now, std::size_t open) {
  state_->last_progress = now;
  if (phase() == Phase::kLagging && now >= state_->machine.lag_end) {
    state_->machine.process_event(LagOver{});
    return state_->TakeActions();
  }
  if (open == 0) {
    state_->machine.process_event(Idle{});
  }
  if (now >= state_->machine.end) {
    state_->machine.process_event(LimitOver{});
  }
  return state_->TakeActions();
}

std::optional<TimePoint> Lifecycle::NextWake() const {
  if (phase() == Phase::kLagging) {
    return std::min(state_->machine.lag_end, state_->machine.end);
  }
  if (phase() == Phase::kFinishing) {
    return state_->last_progress + kProgressInterval;
  }
  return std::nullopt;
}

Phase Lifecycle::phase() const {
  // States are numbered in the order in which the table first names them.
  constexpr Phase kPhases[] = {Phase::kStarting, Phase::kReady, Phase::kLagging,
                               Phase::kFinishing, Phase::kStopped};
  return kPhases[state_->machine.current_state()[0]];
}

bool Lifecycle::ready() const {
  return phase() == Phase::kReady;
}

}  // namespace kingcupshed::lifecycle
