#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "kingcupshed/core/load_report.h"
#include "kingcupshed/core/time.h"

namespace kingcupshed::target {

/// Exponentially smoothed latency with its mean deviation.
class LatencyEstimate {
 public:
  /// Adds a sample. A sample above the current upper estimate counts as that
  /// estimate, so that outliers hardly move the mean.
  void AddSample(Duration sample) noexcept;

  /// Returns the smoothed latency, or `fallback` before the first sample.
  [[nodiscard]] Duration mean(Duration fallback) const noexcept;

  /// Returns a latency that few attempts at a healthy target exceed, or
  /// `fallback` before the first sample.
  [[nodiscard]] Duration upper(Duration fallback) const noexcept;

 private:
  double mean_s_ = 0.0;
  double deviation_s_ = 0.0;
  bool has_sample_ = false;
};

/// What this VM has observed of one target: its own running attempts, recent
/// failures and the target's load reports.
class TargetStats {
 public:
  /// Records that an attempt was sent.
  void OnAttemptStarted(TimePoint now);

  /// Records the end of the attempt that was sent at `started`.
  void OnAttemptEnded(TimePoint started);

  /// Records that a response to an attempt started.
  void OnResponse(TimePoint now) noexcept;

  /// Records an attempt that failed because of the target.
  void OnFailure(TimePoint now) noexcept;

  /// Resets the failure count, for example after an ejection.
  void ResetFailures() noexcept { consecutive_failures_ = 0; }

  /// Stores a load report that came with a response or a probe.
  /// @param slow True when an attempt of this VM has just been slow at the
  ///   target. An idle report then lowers the confidence in the target's
  ///   reports.
  void OnReport(const LoadReport& report, TimePoint now, bool slow) noexcept;

  /// Returns the number of running attempts that started before `instant`.
  [[nodiscard]] std::uint32_t CountStartedBefore(
      TimePoint instant) const noexcept;

  [[nodiscard]] std::uint32_t in_flight() const noexcept {
    return static_cast<std::uint32_t>(attempt_starts_.size());
  }
  /// Failures since the last response.
  [[nodiscard]] std::uint32_t consecutive_failures() const noexcept {
    return consecutive_failures_;
  }
  [[nodiscard]] const std::optional<LoadReport>& report() const noexcept {
    return report_;
  }
  [[nodiscard]] TimePoint report_time() const noexcept { return report_time_; }
  /// Time of the last response, failure or load report.
  [[nodiscard]] TimePoint last_contact() const noexcept {
    return last_contact_;
  }
  /// Confidence in the target's load reports, from zero to one.
  [[nodiscard]] double report_confidence() const noexcept {
    return report_confidence_;
  }

 private:
  std::vector<TimePoint> attempt_starts_;
  std::uint32_t consecutive_failures_ = 0;
  std::optional<LoadReport> report_;
  TimePoint report_time_{};
  TimePoint last_contact_{};
  double report_confidence_ = 1.0;
};

}  // namespace kingcupshed::target
