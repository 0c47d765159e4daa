#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "kingcupshed/core/ids.h"
#include "kingcupshed/core/load_report.h"
#include "kingcupshed/core/time.h"
#include "kingcupshed/placement/service_model.h"
#include "kingcupshed/routing/view.h"

namespace kingcupshed::placement {

/// A target as the placer is told of it.
struct TargetProperties {
  TargetId id{};
  ServiceId service{};
  routing::Distance distance = routing::Distance::kSameZone;
  std::uint32_t slots = 1;
  /// Until when the target is slow after its start.
  TimePoint warmup_end{};
};

/// What can be expected of a target for one more call.
struct Estimate {
  /// Time until the work is done, without the round trip.
  Duration completion{};
  /// Calls at the target that run or wait.
  double backlog = 0.0;
  /// Age of the newest load report; longest possible when there is none.
  Duration age = Duration::max();
};

/// What this VM knows of one target.
class TargetModel {
 public:
  explicit TargetModel(const TargetProperties& properties)
      : properties_(properties) {}

  /// Replaces the properties; what was learned stays.
  void SetProperties(const TargetProperties& properties) noexcept {
    properties_ = properties;
  }

  /// A call was sent.
  void Start(TimePoint now);

  /// The call that was sent at `started` is over.
  void End(TimePoint started);

  /// Takes a load report.
  void Report(const LoadReport& load, TimePoint now);

  /// The target did work.
  void Succeeded(TimePoint now) noexcept;

  /// Work took a multiple of the usual time; only used while the target does
  /// not tell its load.
  void Took(double multiple, TimePoint now) noexcept;

  /// The target failed work, or was silent.
  /// @param weight One for a plain failure, less for a mere sign.
  void Failed(TimePoint now, double weight) noexcept;

  /// The target could not be reached: it is left alone for a while.
  void Unreachable(TimePoint now) noexcept;

  /// Returns what one more call would meet.
  /// @param work Time that the service's work usually takes.
  [[nodiscard]] Estimate Expect(const ServiceModel& service,
                                Duration work,
                                TimePoint now) const;

  /// Returns the share of recent work that failed, from zero to one.
  [[nodiscard]] double failing(TimePoint now) const noexcept;

  /// Returns true while the target is left alone.
  [[nodiscard]] bool avoided(TimePoint now) const noexcept {
    return now < avoid_until_;
  }

  [[nodiscard]] const TargetProperties& properties() const noexcept {
    return properties_;
  }
  [[nodiscard]] const std::optional<LoadReport>& report() const noexcept {
    return report_;
  }
  [[nodiscard]] std::uint32_t in_flight() const noexcept {
    return static_cast<std::uint32_t>(starts_.size());
  }
  /// Instant of the newest load report.
  [[nodiscard]] TimePoint reported() const noexcept { return reported_; }

 private:
  [[nodiscard]] double PaceNow(TimePoint now) const noexcept;

  TargetProperties properties_;
  std::vector<TimePoint> starts_;
  std::optional<LoadReport> report_;
  TimePoint reported_{};
  /// Smoothed multiple of the usual time that work took.
  double pace_ = 1.0;
  TimePoint pace_at_{};
  double failing_ = 0.0;
  TimePoint failing_at_{};
  TimePoint avoid_until_{};
  std::uint32_t unreachable_ = 0;
};

}  // namespace kingcupshed::placement
