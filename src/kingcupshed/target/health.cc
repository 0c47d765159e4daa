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

constexpr Duration kSlowStartDuration = std::chrono::seconds(3);
constexpr Duration kInitialEjectionDuration = std::chrono::milliseconds(500);
constexpr Duration kMaxEjectionDuration = std::chrono::seconds(8);
constexpr double kMinSlowStartShare = 0.1;

struct MarkLeavingEvent {};
struct ClearLeavingEvent {
  TimePoint now;
};
struct EjectEvent {
  TimePoint now;
};
struct AdvanceEvent {
  TimePoint now;
};

struct Live : msm::front::state<> {};
struct SlowStart : msm::front::state<> {};
struct Ejected : msm::front::state<> {};
struct Leaving : msm::front::state<> {};

struct BeginSlowStart {
  template <typename Event, typename Fsm, typename Source, typename Target>
  void operator()(const Event& event, Fsm& fsm, Source&, Target&) const {
    fsm.state_end = event.now + kSlowStartDuration;
  }
};

struct BeginEjection {
  template <typename Event, typename Fsm, typename Source, typename Target>
  void operator()(const Event& event, Fsm& fsm, Source&, Target&) const {
    fsm.state_end = event.now + fsm.next_ejection_duration;
    fsm.next_ejection_duration =
        std::min(kMaxEjectionDuration, fsm.next_ejection_duration * 2);
  }
};

struct ResetEjectionDuration {
  template <typename Event, typename Fsm, typename Source, typename Target>
  void operator()(const Event&, Fsm& fsm, Source&, Target&) const {
    fsm.next_ejection_duration = kInitialEjectionDuration;
  }
};

struct HasStateEnded {
  template <typename Event, typename Fsm, typename Source, typename Target>
  bool operator()(const Event& event, Fsm& fsm, Source&, Target&) const {
    return event.now >= fsm.state_end;
  }
};

struct Definition : msm::front::state_machine_def<Definition> {
  using initial_state = SlowStart;

  using transition_table = boost::mpl::vector<
      Row<SlowStart, AdvanceEvent, Live, ResetEjectionDuration, HasStateEnded>,
      Row<SlowStart, EjectEvent, Ejected, BeginEjection, none>,
      Row<SlowStart, MarkLeavingEvent, Leaving, none, none>,
      Row<Live, EjectEvent, Ejected, BeginEjection, none>,
      Row<Live, MarkLeavingEvent, Leaving, none, none>,
      Row<Ejected, AdvanceEvent, SlowStart, BeginSlowStart, HasStateEnded>,
      Row<Ejected, MarkLeavingEvent, Leaving, none, none>,
      Row<Leaving, ClearLeavingEvent, SlowStart, BeginSlowStart, none>>;

  template <typename Fsm, typename Event>
  void no_transition(const Event& /*event*/, Fsm& /*fsm*/, int /*state*/) {}

  TimePoint state_end{};
  Duration next_ejection_duration = kInitialEjectionDuration;
};

/// Health states in the order of the machine's state ids, which follow the
/// first appearance of each state in the transition table.
constexpr std::array<HealthState, 4> kStateById{
    HealthState::kSlowStart, HealthState::kLive, HealthState::kEjected,
    HealthState::kLeaving};

}  // namespace

struct Health::Machine : msm::back::state_machine<Definition> {};

Health::Health(bool warm, TimePoint now)
    : machine_(std::make_unique<Machine>()) {
  machine_->state_end = warm ? now : now + kSlowStartDuration;
  machine_->start();
  machine_->process_event(AdvanceEvent{now});
}

Health::~Health() = default;
Health::Health(Health&&) noexcept = default;
Health& Health::operator=(Health&&) noexcept = default;

void Health::MarkLeaving() {
  machine_->process_event(MarkLeavingEvent{});
}

void Health::ClearLeaving(TimePoint now) {
  machine_->process_event(ClearLeavingEvent{now});
}

void Health::Eject(TimePoint now) {
  machine_->process_event(EjectEvent{now});
}

void Health::Advance(TimePoint now) {
  const HealthState current = state();
  if (current == HealthState::kSlowStart || current == HealthState::kEjected) {
    machine_->process_event(AdvanceEvent{now});
  }
}

HealthState Health::state() const noexcept {
  return kStateById[static_cast<std::size_t>(machine_->current_state()[0])];
}

bool Health::is_serving() const noexcept {
  const HealthState current = state();
  return current == HealthState::kLive || current == HealthState::kSlowStart;
}

double Health::slow_start_share(TimePoint now) const noexcept {
  if (state() != HealthState::kSlowStart) {
    return 1.0;
  }
  const double remaining =
      ToSeconds(machine_->state_end - now) / ToSeconds(kSlowStartDuration);
  return std::clamp(1.0 - remaining, kMinSlowStartShare, 1.0);
}

}  // namespace kingcupshed::target
