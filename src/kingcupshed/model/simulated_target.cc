#include "kingcupshed/model/simulated_target.h"

#include <algorithm>
#include <utility>

namespace kingcupshed::model {

void VirtualClock::ScheduleAt(TimePoint when, std::function<void()> function) {
  scheduled_.emplace(std::max(when, now_), std::move(function));
}

void VirtualClock::RunUntil(TimePoint end) {
  while (!scheduled_.empty() && scheduled_.begin()->first <= end) {
    now_ = scheduled_.begin()->first;
    const auto node = scheduled_.extract(scheduled_.begin());
    node.mapped()();
  }
  now_ = std::max(now_, end);
}

SimulatedTarget::SimulatedTarget(const ServiceScenario& service,
                                 VirtualClock& clock,
                                 std::uint64_t seed)
    : service_(service), clock_(clock), random_(seed) {
  if (service_.noise.share > 0.0) {
    // Starts at a random phase, so that targets don't redraw all at once.
    clock_.ScheduleAt(
        clock_.now() + FromSeconds(random_.Unit() *
                                   ToSeconds(service_.noise.redraw_interval)),
        [this] { RedrawNoise(); });
  }
}

void SimulatedTarget::RedrawNoise() {
  noise_slowdown_ =
      random_.Unit() < service_.noise.share ? service_.noise.factor : 1.0;
  clock_.ScheduleAt(clock_.now() + service_.noise.redraw_interval,
                    [this] { RedrawNoise(); });
}

Submission SimulatedTarget::Submit(std::uint64_t id,
                                   Duration size,
                                   CompletionHandler on_complete) {
  const bool full = running_.size() >= service_.slots &&
                    queue_.size() >= service_.queue_limit;
  if (full && !down_ && service_.silent_when_full) {
    return Submission::kUnanswered;
  }
  if (down_ || full || random_.Unit() < refused_share_) {
    return Submission::kRefused;
  }
  Work work{id, size, clock_.now(), std::move(on_complete)};
  if (running_.size() < service_.slots) {
    Start(std::move(work));
  } else {
    queue_.push_back(std::move(work));
  }
  return Submission::kAccepted;
}

double SimulatedTarget::CurrentSlowdown() const {
  const double busy_slots = static_cast<double>(running_.size()) + 1.0;
  const bool crowded =
      busy_slots > service_.crowding_threshold * service_.slots;
  return noise_slowdown_ * disturbance_slowdown_ *
         (crowded ? service_.crowding_factor : 1.0);
}

void SimulatedTarget::Start(Work work) {
  WorkTimes times;
  times.queue_time = clock_.now() - work.accepted_at;
  times.slowdown = CurrentSlowdown();
  times.work_time = FromSeconds(ToSeconds(work.size) * times.slowdown);
  const std::uint64_t id = work.id;
  running_.emplace(id, std::move(work));
  clock_.ScheduleAt(clock_.now() + times.work_time,
                    [this, id, times] { Complete(id, times); });
}

void SimulatedTarget::Complete(std::uint64_t id, const WorkTimes& times) {
  const auto node = running_.extract(id);
  if (node.empty()) {
    return;
  }
  if (!queue_.empty()) {
    Work next = std::move(queue_.front());
    queue_.pop_front();
    Start(std::move(next));
  }
  node.mapped().on_complete(times);
}

void SimulatedTarget::Cancel(std::uint64_t id) {
  std::erase_if(queue_, [id](const Work& work) { return work.id == id; });
  if (running_.erase(id) > 0 && !queue_.empty()) {
    Work next = std::move(queue_.front());
    queue_.pop_front();
    Start(std::move(next));
  }
}

void SimulatedTarget::SetDown(bool down) {
  down_ = down;
  if (down_) {
    running_.clear();
    queue_.clear();
  }
}

LoadReport SimulatedTarget::Report() const {
  LoadReport report;
  report.in_flight = static_cast<std::uint32_t>(running_.size());
  report.queued = static_cast<std::uint32_t>(queue_.size());
  report.slots = service_.slots;
  // The reported slowdown covers the machine's other workloads only, not the
  // crowding of the target's own slots.
  report.slowdown = noise_slowdown_;
  return report;
}

}  // namespace kingcupshed::model
