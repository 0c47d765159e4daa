#include "kingcupshed/placement/target_model.h"

#include <algorithm>
#include <cmath>

namespace kingcupshed::placement {

namespace {

/// How much longer work takes while a target warms up.
constexpr double kColdFactor = 2.0;
constexpr double kFailureGain = 0.35;
constexpr double kSuccessFactor = 0.8;
/// Time in which a failure is half forgotten without new evidence.
constexpr Duration kFailureHalfLife = std::chrono::seconds(3);
constexpr double kPaceGain = 0.4;
constexpr double kMostPace = 10.0;
/// Slow targets that do not tell their load are tried again after some seconds.
constexpr Duration kPaceHalfLife = std::chrono::seconds(2);
constexpr Duration kFirstAvoidance = std::chrono::milliseconds(300);
constexpr std::uint32_t kMostDoublings = 4;

double Fade(Duration age, Duration memory) {
  return std::exp(-ToSeconds(age) / ToSeconds(memory));
}

}  // namespace

void TargetModel::Start(TimePoint now) {
  starts_.push_back(now);
}

void TargetModel::End(TimePoint started) {
  const auto found = std::find(starts_.begin(), starts_.end(), started);
  if (found != starts_.end()) {
    starts_.erase(found);
  }
}

void TargetModel::Report(const LoadReport& load, TimePoint now) {
  report_ = load;
  reported_ = now;
  unreachable_ = 0;
  avoid_until_ = TimePoint{};
}

void TargetModel::Succeeded(TimePoint now) noexcept {
  failing_ = failing(now) * kSuccessFactor;
  failing_at_ = now;
  unreachable_ = 0;
}

void TargetModel::Took(double multiple, TimePoint now) noexcept {
  const double pace = PaceNow(now);
  pace_ = pace + kPaceGain * (std::clamp(multiple, 0.5, kMostPace) - pace);
  pace_at_ = now;
}

double TargetModel::PaceNow(TimePoint now) const noexcept {
  return 1.0 + (pace_ - 1.0) * std::exp2(-ToSeconds(now - pace_at_) /
                                         ToSeconds(kPaceHalfLife));
}

void TargetModel::Failed(TimePoint now, double weight) noexcept {
  const double failing_now = failing(now);
  failing_ = failing_now + weight * kFailureGain * (1.0 - failing_now);
  failing_at_ = now;
}

void TargetModel::Unreachable(TimePoint now) noexcept {
  avoid_until_ =
      now + kFirstAvoidance * (1U << std::min(unreachable_, kMostDoublings));
  ++unreachable_;
}

double TargetModel::failing(TimePoint now) const noexcept {
  return failing_ *
         std::exp2(-ToSeconds(now - failing_at_) / ToSeconds(kFailureHalfLife));
}

Estimate TargetModel::Expect(const ServiceModel& service,
                             Duration work,
                             TimePoint now) const {
  Estimate estimate;
  double slowdown = service.slowdown();
  double backlog = service.backlog();
  if (report_) {
    estimate.age = now - reported_;
    slowdown = service.SlowdownAfter(report_->slowdown, estimate.age);
    const auto sent_since = static_cast<double>(
        std::count_if(starts_.begin(), starts_.end(),
                      [this](TimePoint start) { return start > reported_; }));
    const double reported = report_->in_flight + report_->queued;
    backlog += Fade(estimate.age, work) * (reported - backlog);
    backlog += sent_since;
  } else {
    slowdown *= PaceNow(now);
  }
  backlog = std::max(backlog, static_cast<double>(starts_.size()));
  const double slots = service.UsefulSlots(std::max(1U, properties_.slots));
  const double cold = properties_.warmup_end > now ? kColdFactor : 1.0;
  const double crowding = backlog + 1.0 >= slots ? service.contention() : 1.0;
  const double ahead = std::max(0.0, backlog + 1.0 - slots);
  const double own = ToSeconds(work) * slowdown * cold * crowding;
  estimate.backlog = backlog;
  estimate.completion = FromSeconds(own * (1.0 + ahead / slots));
  return estimate;
}

}  // namespace kingcupshed::placement
