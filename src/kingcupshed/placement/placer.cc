#include "kingcupshed/placement/placer.h"

#include <utility>

#include "kingcupshed/placement/internal/engine.h"

namespace kingcupshed::placement {

struct Placer::State {
  explicit State(const Config& config) : engine(config) {}
  internal::Engine engine;
};

Placer::Placer(const Config& config)
    : state_(std::make_unique<State>(config)) {}

Placer::~Placer() = default;

void Placer::SetTargets(const std::vector<TargetProperties>& targets) {
  state_->engine.SetTargets(targets);
}

void Placer::SetFleetSize(std::size_t vms) {
  state_->engine.SetFleetSize(vms);
}

void Placer::SetBudgets(const RetryBudgetRule& retry_budget,
                        double probes_per_target_s) {
  state_->engine.SetBudgets(retry_budget, probes_per_target_s);
}

void Placer::SetObserver(std::function<void(const Decision&)> observer) {
  state_->engine.SetObserver(std::move(observer));
}

std::vector<dispatch::Action> Placer::Handle(const dispatch::Event& event,
                                             TimePoint now) {
  return state_->engine.Handle(event, now);
}

std::optional<TimePoint> Placer::NextWake() const {
  return state_->engine.NextWake();
}

std::map<ServiceId, ServiceCounters> Placer::ReadCounters() const {
  return state_->engine.ReadCounters();
}

}  // namespace kingcupshed::placement
