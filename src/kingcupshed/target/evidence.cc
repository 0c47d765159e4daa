#include "kingcupshed/target/evidence.h"

#include <algorithm>
#include <cmath>

namespace kingcupshed::target {

namespace {

constexpr double kMeanGain = 0.02;
constexpr double kDeviationGain = 0.02;
/// Deviations above the mean that few sound attempts exceed.
constexpr double kUpperDeviations = 4.0;
constexpr double kTrustGain = 0.1;
constexpr double kDistrustFactor = 0.5;

}  // namespace

void LatencyEstimate::Add(Duration sample) noexcept {
  double value = ToSeconds(sample);
  if (!known_) {
    mean_s_ = value;
    deviation_s_ = value / 2;
    known_ = true;
    return;
  }
  value = std::min(value, mean_s_ + kUpperDeviations * deviation_s_);
  const double error = value - mean_s_;
  mean_s_ += kMeanGain * error;
  deviation_s_ += kDeviationGain * (std::abs(error) - deviation_s_);
}

Duration LatencyEstimate::mean(Duration fallback) const noexcept {
  return known_ ? FromSeconds(mean_s_) : fallback;
}

Duration LatencyEstimate::upper(Duration fallback) const noexcept {
  return known_ ? FromSeconds(mean_s_ + kUpperDeviations * deviation_s_)
                : fallback;
}

void Evidence::Start(TimePoint now) {
  starts_.push_back(now);
}

void Evidence::End(TimePoint started) {
  const auto found = std::find(starts_.begin(), starts_.end(), started);
  if (found != starts_.end()) {
    starts_.erase(found);
  }
}

void Evidence::Answered(TimePoint now) noexcept {
  failures_ = 0;
  heard_ = now;
}

void Evidence::Failed(TimePoint now) noexcept {
  ++failures_;
  heard_ = now;
}

void Evidence::Report(const LoadReport& report,
                      TimePoint now,
                      bool slow) noexcept {
  const bool idle = report.queued == 0 && report.in_flight < report.slots;
  const bool disagrees = slow && idle;
  trust_ =
      disagrees ? trust_ * kDistrustFactor : std::min(1.0, trust_ + kTrustGain);
  report_ = report;
  reported_ = now;
  heard_ = now;
}

std::uint32_t Evidence::StartedBefore(TimePoint instant) const noexcept {
  return static_cast<std::uint32_t>(
      std::count_if(starts_.begin(), starts_.end(),
                    [instant](TimePoint start) { return start < instant; }));
}

}  // namespace kingcupshed::target
