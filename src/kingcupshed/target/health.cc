#include "kingcupshed/target/health.h"

#include <algorithm>
#include <array>

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace kingcupshed::target {

namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

constexpr Duration kSlowStart = std::chrono::seconds(3);
constexpr Duration kFirstEjection = std::chrono::milliseconds(500);
constexpr Duration kLongestEjection = std::chrono::seconds(8);
constexpr double kLeastStartShare = 0.1;

struct LeaveEvent {};
struct ReturnEvent {
  TimePoint now;
};
struct EjectEvent {
  TimePoint now;
};
struct AdvanceEvent {
  TimePoint now;
};

struct Live : msm::front::state<> {};
struct Starting : msm::front::state<> {};
struct Ejected : msm::front::state<> {};
struct Leaving : msm::front::state<> {};

struct BeginStart {
  template <typename Event, typename Fsm, typename Source, typename Target>
  void operator()(const Event& event, Fsm& fsm, Source&, Target&) const {
    fsm.until = event.now + kSlowStart;
  }
};

struct BeginEjection {
  template <typename Event, typename Fsm, typename Source, typename Target>
  void operator()(const Event& event, Fsm& fsm, Source&, Target&) const {
    fsm.until = event.now + fsm.ejection;
    fsm.ejection = std::min(kLongestEjection, fsm.ejection * 2);
  }
};

struct ForgetEjections {
  template <typename Event, typename Fsm, typename Source, typename Target>
  void operator()(const Event&, Fsm& fsm, Source&, Target&) const {
    fsm.ejection = kFirstEjection;
  }
};

struct IsDue {
  template <typename Event, typename Fsm, typename Source, typename Target>
  bool operator()(const Event& event, Fsm& fsm, Source&, Target&) const {
    return event.now >= fsm.until;
  }
};

struct Definition : msm::front::state_machine_def<Definition> {
  using initial_state = Starting;

  using transition_table = boost::mpl::vector<
      Row<Starting, AdvanceEvent, Live, ForgetEjections, IsDue>,
      Row<Starting, EjectEvent, Ejected, BeginEjection, none>,
      Row<Starting, LeaveEvent, Leaving, none, none>,
      Row<Live, EjectEvent, Ejected, BeginEjection, none>,
      Row<Live, LeaveEvent, Leaving, none, none>,
      Row<Ejected, AdvanceEvent, Starting, BeginStart, IsDue>,
      Row<Ejected, LeaveEvent, Leaving, none, none>,
      Row<Leaving, ReturnEvent, Starting, BeginStart, none>>;

  template <typename Fsm, typename Event>
  void no_transition(const Event& /*event*/, Fsm& /*fsm*/, int /*state*/) {}

  TimePoint until{};
  Duration ejection = kFirstEjection;
};

/// Health states in the order of the machine's state ids, which follow the
/// first appearance of each state in the transition table.
constexpr std::array<HealthState, 4> kStates{
    HealthState::kStarting, HealthState::kLive, HealthState::kEjected,
    HealthState::kLeaving};

}  // namespace

struct Health::Machine : msm::back::state_machine<Definition> {};

Health::Health(bool warm, TimePoint now)
    : machine_(std::make_unique<Machine>()) {
  machine_->until = warm ? now : now + kSlowStart;
  machine_->start();
  machine_->process_event(AdvanceEvent{now});
}

Health::~Health() = default;
Health::Health(Health&&) noexcept = default;
Health& Health::operator=(Health&&) noexcept = default;

void Health::Leave() {
  machine_->process_event(LeaveEvent{});
}

void Health::Return(TimePoint now) {
  machine_->process_event(ReturnEvent{now});
}

void Health::Eject(TimePoint now) {
  machine_->process_event(EjectEvent{now});
}

void Health::Advance(TimePoint now) {
  const HealthState current = state();
  if (current == HealthState::kStarting || current == HealthState::kEjected) {
    machine_->process_event(AdvanceEvent{now});
  }
}

HealthState Health::state() const noexcept {
  return kStates[static_cast<std::size_t>(machine_->current_state()[0])];
}

bool Health::serves() const noexcept {
  const HealthState current = state();
  return current == HealthState::kLive || current == HealthState::kStarting;
}

double Health::start_share(TimePoint now) const noexcept {
  if (state() != HealthState::kStarting) {
    return 1.0;
  }
  const double left = ToSeconds(machine_->until - now) / ToSeconds(kSlowStart);
  return std::clamp(1.0 - left, kLeastStartShare, 1.0);
}

}  // namespace kingcupshed::target
