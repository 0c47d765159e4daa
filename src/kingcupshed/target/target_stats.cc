#include "kingcupshed/target/target_stats.h"

#include <algorithm>
#include <cmath>

namespace kingcupshed::target {

namespace {

/// Weights of a new sample in the smoothed mean and deviation.
constexpr double kMeanSmoothing = 0.02;
constexpr double kDeviationSmoothing = 0.02;
/// Mean deviations above the mean that few attempts at a healthy target exceed.
constexpr double kUpperDeviations = 4.0;
constexpr double kConfidenceIncrement = 0.1;
constexpr double kConfidenceDecreaseFactor = 0.5;

}  // namespace

void LatencyEstimate::AddSample(Duration sample) noexcept {
  double value = ToSeconds(sample);
  if (!has_sample_) {
    mean_s_ = value;
    deviation_s_ = value / 2;
    has_sample_ = true;
    return;
  }
  value = std::min(value, mean_s_ + kUpperDeviations * deviation_s_);
  const double error = value - mean_s_;
  mean_s_ += kMeanSmoothing * error;
  deviation_s_ += kDeviationSmoothing * (std::abs(error) - deviation_s_);
}

Duration LatencyEstimate::mean(Duration fallback) const noexcept {
  return has_sample_ ? FromSeconds(mean_s_) : fallback;
}

Duration LatencyEstimate::upper(Duration fallback) const noexcept {
  return has_sample_ ? FromSeconds(mean_s_ + kUpperDeviations * deviation_s_)
                     : fallback;
}

void TargetStats::OnAttemptStarted(TimePoint now) {
  attempt_starts_.push_back(now);
}

void TargetStats::OnAttemptEnded(TimePoint started) {
  const auto found =
      std::find(attempt_starts_.begin(), attempt_starts_.end(), started);
  if (found != attempt_starts_.end()) {
    attempt_starts_.erase(found);
  }
}

void TargetStats::OnResponse(TimePoint now) noexcept {
  consecutive_failures_ = 0;
  last_contact_ = now;
}

void TargetStats::OnFailure(TimePoint now) noexcept {
  ++consecutive_failures_;
  last_contact_ = now;
}

void TargetStats::OnReport(const LoadReport& report,
                           TimePoint now,
                           bool slow) noexcept {
  const bool idle = report.queued == 0 && report.in_flight < report.slots;
  const bool contradicts = slow && idle;
  report_confidence_ =
      contradicts ? report_confidence_ * kConfidenceDecreaseFactor
                  : std::min(1.0, report_confidence_ + kConfidenceIncrement);
  report_ = report;
  report_time_ = now;
  last_contact_ = now;
}

std::uint32_t TargetStats::CountStartedBefore(
    TimePoint instant) const noexcept {
  return static_cast<std::uint32_t>(
      std::count_if(attempt_starts_.begin(), attempt_starts_.end(),
                    [instant](TimePoint start) { return start < instant; }));
}

}  // namespace kingcupshed::target
