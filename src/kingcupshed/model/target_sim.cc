#include "kingcupshed/model/target_sim.h"

#include <algorithm>
#include <utility>

namespace kingcupshed::model {

void Clock::At(TimePoint when, std::function<void()> function) {
  planned_.emplace(std::max(when, now_), std::move(function));
}

void Clock::RunUntil(TimePoint end) {
  while (!planned_.empty() && planned_.begin()->first <= end) {
    now_ = planned_.begin()->first;
    const auto node = planned_.extract(planned_.begin());
    node.mapped()();
  }
  now_ = std::max(now_, end);
}

TargetSim::TargetSim(const ServiceScenario& service,
                     Clock& clock,
                     std::uint64_t seed)
    : service_(service), clock_(clock), random_(seed) {
  if (service_.noise.share > 0.0) {
    // Targets change their pace at different instants.
    clock_.At(clock_.now() +
                  FromSeconds(random_.Unit() * ToSeconds(service_.noise.every)),
              [this] { DrawNoise(); });
  }
}

void TargetSim::DrawNoise() {
  noise_ = random_.Unit() < service_.noise.share ? service_.noise.factor : 1.0;
  clock_.At(clock_.now() + service_.noise.every, [this] { DrawNoise(); });
}

bool TargetSim::Take(std::uint64_t id, Duration size, Done done) {
  const bool full =
      running_.size() >= service_.slots && queue_.size() >= service_.queue;
  if (down_ || full || random_.Unit() < shedding_) {
    return false;
  }
  Work work{id, size, clock_.now(), std::move(done)};
  if (running_.size() < service_.slots) {
    Start(std::move(work));
  } else {
    queue_.push_back(std::move(work));
  }
  return true;
}

double TargetSim::SlowdownNow() const {
  const double taken = static_cast<double>(running_.size()) + 1.0;
  const bool crowded = taken > service_.crowded_from * service_.slots;
  return noise_ * factor_ * (crowded ? service_.crowded_factor : 1.0);
}

void TargetSim::Start(Work work) {
  WorkTimes times;
  times.queued = clock_.now() - work.taken;
  times.slowdown = SlowdownNow();
  times.worked = FromSeconds(ToSeconds(work.size) * times.slowdown);
  const std::uint64_t id = work.id;
  running_.emplace(id, std::move(work));
  clock_.At(clock_.now() + times.worked, [this, id, times] { End(id, times); });
}

void TargetSim::End(std::uint64_t id, const WorkTimes& times) {
  const auto node = running_.extract(id);
  if (node.empty()) {
    return;
  }
  if (!queue_.empty()) {
    Work next = std::move(queue_.front());
    queue_.pop_front();
    Start(std::move(next));
  }
  node.mapped().done(times);
}

void TargetSim::Drop(std::uint64_t id) {
  std::erase_if(queue_, [id](const Work& work) { return work.id == id; });
  if (running_.erase(id) > 0 && !queue_.empty()) {
    Work next = std::move(queue_.front());
    queue_.pop_front();
    Start(std::move(next));
  }
}

void TargetSim::SetDown(bool down) {
  down_ = down;
  if (down_) {
    running_.clear();
    queue_.clear();
  }
}

LoadReport TargetSim::Report() const {
  LoadReport report;
  report.in_flight = static_cast<std::uint32_t>(running_.size());
  report.queued = static_cast<std::uint32_t>(queue_.size());
  report.slots = service_.slots;
  // Targets tell how busy their machine is, not how full they are.
  report.slowdown = noise_;
  return report;
}

}  // namespace kingcupshed::model
