#include "kingcupshed/placement/target_model.h"

#include <algorithm>
#include <cmath>

namespace kingcupshed::placement {

namespace {

/// Factor by which work takes longer while a target warms up.
constexpr double kWarmupFactor = 2.0;
/// Weight of a failure in the smoothed failure share.
constexpr double kFailureSmoothing = 0.35;
/// Factor by which a success lowers the failure share.
constexpr double kSuccessFactor = 0.8;
/// Half-life of the failure share without new results.
constexpr Duration kFailureHalfLife = std::chrono::seconds(3);
constexpr double kWorkTimeSmoothing = 0.4;
constexpr double kMinRelativeWorkTime = 0.5;
constexpr double kMaxRelativeWorkTime = 10.0;
/// Half-life of the relative work time, so that a slow target that does not
/// report its load is tried again after some seconds.
constexpr Duration kWorkTimeHalfLife = std::chrono::seconds(2);
constexpr Duration kInitialAvoidance = std::chrono::milliseconds(300);
constexpr std::uint32_t kMaxAvoidanceDoublings = 4;

/// Longest time that a target can keep a VM away: a nonsensical value must not
/// lose the target for good.
constexpr Duration kMaxRetryAfter = std::chrono::minutes(1);

/// In four seconds a target may get half of its limit and five calls more than
/// the limit. Of these, three are left to VMs that have no share.
constexpr double kSendersPerCall = 2.0;
constexpr double kMoreSenders = 1.5;

/// Time within which a message arrives although packets were lost and sent
/// again: the shortest retransmission timeout of TCP is 200 ms.
constexpr Duration kDeliveryTime = std::chrono::milliseconds(250);

/// Returns the weight of information of a given age.
double DecayWeight(Duration age, Duration time_constant) {
  return std::exp(-ToSeconds(age) / ToSeconds(time_constant));
}

/// Returns the calls per second of a target's limit that one VM may send.
///
/// An even part for every VM of a large fleet would be less than one call in
/// many seconds, and all of them together could still send one at the same
/// moment. So only the first VMs share the limit: as many as may send one call
/// each at the same moment beyond it, with the calls of VMs that try whether
/// the limit still holds.
double ShareOfLimit(double calls_per_s, std::size_t rank, std::size_t vms) {
  const double senders =
      std::clamp(std::floor(kSendersPerCall * calls_per_s + kMoreSenders), 1.0,
                 static_cast<double>(std::max<std::size_t>(1, vms)));
  return static_cast<double>(rank) < senders ? calls_per_s / senders : 0.0;
}

}  // namespace

void TargetModel::OnAttemptStarted(TimePoint now) {
  pending_.push_back({now, false, std::nullopt});
  if (limit_) {
    limit_->bucket.Advance(now);
    limit_->bucket.Spend(1.0);
  }
}

void TargetModel::OnAttemptEnded(TimePoint started) {
  const auto found = std::find_if(pending_.begin(), pending_.end(),
                                  [started](const PendingAttempt& attempt) {
                                    return attempt.started == started;
                                  });
  if (found != pending_.end()) {
    pending_.erase(found);
  }
}

void TargetModel::OnReport(const LoadReport& load, TimePoint now) {
  report_ = load;
  report_time_ = now;
  consecutive_unreachable_ = 0;
  avoid_until_ = TimePoint{};
  if (load.queued > 0) {
    queue_reported_ = now;
  }
}

void TargetModel::CheckDelivery(Duration round_trip, TimePoint now) {
  if (!report_) {
    return;
  }
  const TimePoint delivered_before = now - round_trip - kDeliveryTime;
  const auto delivered = static_cast<std::size_t>(
      std::count_if(pending_.begin(), pending_.end(),
                    [delivered_before](const PendingAttempt& attempt) {
                      return attempt.started < delivered_before;
                    }));
  const std::size_t reported = report_->in_flight + report_->queued;
  const std::size_t missing = delivered - std::min(delivered, reported);
  for (std::size_t index = 0; index < pending_.size(); ++index) {
    PendingAttempt& attempt = pending_[index];
    attempt.missing = index < missing;
    const bool absent = reported == 0 && index < delivered;
    attempt.absent_since =
        absent ? std::optional(attempt.absent_since.value_or(now))
               : std::nullopt;
  }
}

bool TargetModel::IsLost(TimePoint started, TimePoint now) const {
  return std::any_of(pending_.begin(), pending_.end(),
                     [started, now](const PendingAttempt& attempt) {
                       return attempt.started == started &&
                              attempt.absent_since &&
                              now - *attempt.absent_since >= kDeliveryTime;
                     });
}

void TargetModel::OnSuccess(TimePoint now) noexcept {
  failure_share_ = failure_share(now) * kSuccessFactor;
  failure_share_updated_ = now;
  consecutive_unreachable_ = 0;
}

void TargetModel::OnWorkTime(double relative_time, TimePoint now) noexcept {
  const double current = RelativeWorkTime(now);
  const double sample =
      std::clamp(relative_time, kMinRelativeWorkTime, kMaxRelativeWorkTime);
  relative_work_time_ = current + kWorkTimeSmoothing * (sample - current);
  relative_work_time_updated_ = now;
}

double TargetModel::RelativeWorkTime(TimePoint now) const noexcept {
  const Duration age = now - relative_work_time_updated_;
  return 1.0 + (relative_work_time_ - 1.0) *
                   std::exp2(-ToSeconds(age) / ToSeconds(kWorkTimeHalfLife));
}

void TargetModel::OnFailure(TimePoint now, double weight) noexcept {
  const double current = failure_share(now);
  failure_share_ = current + weight * kFailureSmoothing * (1.0 - current);
  failure_share_updated_ = now;
}

void TargetModel::OnUnreachable(TimePoint now) noexcept {
  avoid_until_ =
      now + kInitialAvoidance * (1U << std::min(consecutive_unreachable_,
                                                kMaxAvoidanceDoublings));
  ++consecutive_unreachable_;
}

void TargetModel::OnRetryAfter(Duration retry_after, TimePoint now) noexcept {
  unwanted_until_ =
      std::max(unwanted_until_, now + std::min(retry_after, kMaxRetryAfter));
}

void TargetModel::OnLimit(std::optional<double> calls_per_s,
                          std::size_t vms,
                          Duration retry_interval,
                          TimePoint now) noexcept {
  if (!calls_per_s) {
    limit_.reset();
    return;
  }
  const std::size_t rank = properties_.sharing_rank;
  const double share = ShareOfLimit(*calls_per_s, rank, vms);
  if (!limit_) {
    limit_ = LimitShare{TokenBucket(share, 1.0, 0.0), {}};
  }
  limit_->bucket.Advance(now);
  limit_->bucket.Configure(share, 1.0);
  // VMs that learn the limit together don't forget it together.
  limit_->until = now + retry_interval * static_cast<int>(vms + rank + 1);
}

TimePoint TargetModel::AvailableFrom(TimePoint now) const noexcept {
  if (!limit_ || limit_->until <= now) {
    return unwanted_until_;
  }
  if (limit_->bucket.rate() <= 0.0) {
    return std::max(unwanted_until_, limit_->until);
  }
  TokenBucket bucket = limit_->bucket;
  bucket.Advance(now);
  const Duration wait = bucket.TimeUntil(1.0);
  return wait > Duration::zero() ? std::max(unwanted_until_, now + wait)
                                 : unwanted_until_;
}

double TargetModel::failure_share(TimePoint now) const noexcept {
  const Duration age = now - failure_share_updated_;
  return failure_share_ *
         std::exp2(-ToSeconds(age) / ToSeconds(kFailureHalfLife));
}

Estimate TargetModel::EstimateCall(const ServiceModel& service,
                                   Duration work_time,
                                   TimePoint now) const {
  Estimate estimate;
  double slowdown = service.typical_slowdown();
  double backlog = service.typical_backlog();
  if (report_) {
    estimate.report_age = now - report_time_;
    slowdown = service.PredictSlowdown(report_->slowdown, estimate.report_age);
    const auto sent_since_report = static_cast<double>(
        std::count_if(pending_.begin(), pending_.end(),
                      [this](const PendingAttempt& attempt) {
                        return attempt.started > report_time_;
                      }));
    const double reported = report_->in_flight + report_->queued;
    backlog +=
        DecayWeight(estimate.report_age, work_time) * (reported - backlog);
    backlog += sent_since_report;
  } else {
    slowdown *= RelativeWorkTime(now);
  }
  const auto at_target = std::count_if(
      pending_.begin(), pending_.end(),
      [](const PendingAttempt& attempt) { return !attempt.missing; });
  backlog = std::max(backlog, static_cast<double>(at_target));
  const double slots = service.UsefulSlots(std::max(1U, properties_.slots));
  const double warmup = properties_.warmup_end > now ? kWarmupFactor : 1.0;
  const double contention = backlog + 1.0 >= slots ? service.contention() : 1.0;
  const double calls_ahead = std::max(0.0, backlog + 1.0 - slots);
  const double own_time_s =
      ToSeconds(work_time) * slowdown * warmup * contention;
  estimate.backlog = backlog;
  estimate.completion_time =
      FromSeconds(own_time_s * (1.0 + calls_ahead / slots));
  return estimate;
}

}  // namespace kingcupshed::placement
