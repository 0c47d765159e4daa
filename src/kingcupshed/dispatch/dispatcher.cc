#include "kingcupshed/dispatch/dispatcher.h"

#include <utility>

#include "kingcupshed/dispatch/internal/engine.h"

namespace kingcupshed::dispatch {

struct Dispatcher::State {
  explicit State(Config config) : engine(std::move(config)) {}
  internal::Engine engine;
};

Dispatcher::Dispatcher(Config config)
    : state_(std::make_unique<State>(std::move(config))) {}

Dispatcher::~Dispatcher() = default;

void Dispatcher::SetTable(const table::Table& table,
                          Names<ServiceId>& services) {
  state_->engine.SetTable(table, services);
}

void Dispatcher::SetTargets(std::vector<target::TargetInfo> targets) {
  state_->engine.SetTargets(std::move(targets));
}

void Dispatcher::SetLeaving(TargetId target, bool leaving, TimePoint now) {
  state_->engine.SetLeaving(target, leaving, now);
}

void Dispatcher::SetRowShare(ServiceId service,
                             Rank rank,
                             admission::RowShare share) {
  state_->engine.SetRowShare(service, rank, share);
}

std::vector<Action> Dispatcher::Handle(const Event& event, TimePoint now) {
  return state_->engine.Handle(event, now);
}

std::optional<TimePoint> Dispatcher::NextWake() const {
  return state_->engine.NextWake();
}

Counters Dispatcher::ReadCounters() const {
  return state_->engine.ReadCounters();
}

measure::ProbeBudget* Dispatcher::FindProbeBudget(ServiceId service) {
  return state_->engine.FindProbeBudget(service);
}

}  // namespace kingcupshed::dispatch
