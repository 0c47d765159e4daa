#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "kingcupshed/core/load_report.h"
#include "kingcupshed/core/time.h"

namespace kingcupshed::target {

/// Smoothed latency and its mean deviation.
class LatencyEstimate {
 public:
  /// Adds a sample; one far above the usual is cut to the usual upper bound.
  void Add(Duration sample) noexcept;

  /// Returns the smoothed latency, or `fallback` before the first sample.
  [[nodiscard]] Duration mean(Duration fallback) const noexcept;

  /// Returns the latency that few attempts of a sound target exceed.
  [[nodiscard]] Duration upper(Duration fallback) const noexcept;

 private:
  double mean_s_ = 0.0;
  double deviation_s_ = 0.0;
  bool known_ = false;
};

/// What this VM saw of one target: running attempts, failures and reports.
class Evidence {
 public:
  /// An attempt was sent.
  void Start(TimePoint now);

  /// The attempt that was sent at `started` is over.
  void End(TimePoint started);

  /// An attempt was answered.
  void Answered(TimePoint now) noexcept;

  /// An attempt failed in a way that speaks against the target.
  void Failed(TimePoint now) noexcept;

  /// Forgets failures, as after an ejection.
  void Forgive() noexcept { failures_ = 0; }

  /// Takes a report that came with an answer or a probe.
  /// @param slow True when an own attempt has just been slow at the target.
  void Report(const LoadReport& report, TimePoint now, bool slow) noexcept;

  /// Returns the number of attempts that started before `instant`.
  [[nodiscard]] std::uint32_t StartedBefore(TimePoint instant) const noexcept;

  [[nodiscard]] std::uint32_t in_flight() const noexcept {
    return static_cast<std::uint32_t>(starts_.size());
  }
  /// Failures since the last answer.
  [[nodiscard]] std::uint32_t failures() const noexcept { return failures_; }
  [[nodiscard]] const std::optional<LoadReport>& report() const noexcept {
    return report_;
  }
  [[nodiscard]] TimePoint reported() const noexcept { return reported_; }
  /// Last instant at which the target was heard of.
  [[nodiscard]] TimePoint heard() const noexcept { return heard_; }
  /// Belief in the target's reports, from zero to one.
  [[nodiscard]] double trust() const noexcept { return trust_; }

 private:
  std::vector<TimePoint> starts_;
  std::uint32_t failures_ = 0;
  std::optional<LoadReport> report_;
  TimePoint reported_{};
  TimePoint heard_{};
  double trust_ = 1.0;
};

}  // namespace kingcupshed::target
