#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "kingcupshed/core/ids.h"
#include "kingcupshed/core/load_report.h"
#include "kingcupshed/core/time.h"
#include "kingcupshed/core/token_bucket.h"
#include "kingcupshed/placement/service_model.h"
#include "kingcupshed/routing/view.h"

namespace kingcupshed::placement {

/// Static properties of a target.
struct TargetProperties {
  TargetId id{};
  ServiceId service{};
  routing::Distance distance = routing::Distance::kSameZone;
  std::uint32_t slots = 1;
  /// Time until which the target is slow after its start.
  TimePoint warmup_end{};
  /// Position of this VM among those that share a limit that the target names
  /// for all VMs together (`LimitSharing`).
  std::size_t sharing_rank = 0;
};

/// An attempt that has not ended.
struct PendingAttempt {
  TimePoint started{};
  /// True if the newest load report shows fewer calls than this VM has sent,
  /// and the attempt is among as many of the oldest. Which of them the target
  /// doesn't have is not known, so this serves estimates only.
  bool missing = false;
  /// Since when all load reports that would include the attempt have shown no
  /// call at the target; nothing if the newest shows one.
  std::optional<TimePoint> absent_since;
};

/// This VM's share of a limit that a target names.
struct LimitShare {
  TokenBucket bucket;
  /// End of the limit unless another response names it.
  TimePoint until{};
};

/// Prediction for one more call at a target.
struct Estimate {
  /// Time until the call's work is done, without the round trip.
  Duration completion_time{};
  /// Calls at the target, running and waiting.
  double backlog = 0.0;
  /// Age of the newest load report, or `Duration::max()` when there is none.
  Duration report_age = Duration::max();
};

/// What this VM knows of one target.
class TargetModel {
 public:
  explicit TargetModel(const TargetProperties& properties)
      : properties_(properties) {}

  /// Replaces the properties; what was learned about the target stays.
  void SetProperties(const TargetProperties& properties) noexcept {
    properties_ = properties;
  }

  /// Records that an attempt was sent.
  void OnAttemptStarted(TimePoint now);

  /// Records the end of the attempt that was sent at `started`.
  void OnAttemptEnded(TimePoint started);

  /// Stores a load report and ends the time for which the target is avoided.
  void OnReport(const LoadReport& load, TimePoint now);

  /// Compares the newest load report with the attempts that had reached the
  /// target when it was made.
  /// @param round_trip Round trip to the target.
  void CheckDelivery(Duration round_trip, TimePoint now);

  /// Returns true if load reports prove that the target doesn't have the
  /// attempt that was sent at `started`, and its response can't be on its way
  /// either. Only reports without any call prove it: otherwise the attempt may
  /// be among the calls that they count.
  [[nodiscard]] bool IsLost(TimePoint started, TimePoint now) const;

  /// Returns true if a load report since `since` showed calls that wait for a
  /// slot.
  [[nodiscard]] bool HadQueueSince(TimePoint since) const noexcept {
    return queue_reported_ && *queue_reported_ >= since;
  }

  /// Records a successful attempt.
  void OnSuccess(TimePoint now) noexcept;

  /// Records how long an attempt's work took, as a multiple of the usual work
  /// time. Only has an effect on estimates while the target does not report its
  /// load.
  void OnWorkTime(double relative_time, TimePoint now) noexcept;

  /// Records an attempt that failed or got no response.
  /// @param weight One for a definite failure, less for a mere indication.
  void OnFailure(TimePoint now, double weight) noexcept;

  /// Records that the target could not be reached. It is then avoided for a
  /// time that doubles with each repetition.
  void OnUnreachable(TimePoint now) noexcept;

  /// Records that the target wants no calls from this VM for a time.
  void OnRetryAfter(Duration retry_after, TimePoint now) noexcept;

  /// Records the calls per second that the target takes from all VMs together,
  /// or that it doesn't limit them.
  /// @param calls_per_s The limit, if there is one.
  /// @param vms Number of VMs of the fleet.
  /// @param retry_interval Mean time between two calls by which VMs that have
  /// no
  ///   share of the limit try whether it still holds.
  void OnLimit(std::optional<double> calls_per_s,
               std::size_t vms,
               Duration retry_interval,
               TimePoint now) noexcept;

  /// Returns when the target takes another call of this VM; `now` or earlier if
  /// it does. Not before the target's time to retry after a refusal, nor beyond
  /// this VM's share of the target's limit.
  [[nodiscard]] TimePoint AvailableFrom(TimePoint now) const noexcept;

  /// Predicts the outcome of one more call.
  /// @param work_time Usual work time of the call.
  [[nodiscard]] Estimate EstimateCall(const ServiceModel& service,
                                      Duration work_time,
                                      TimePoint now) const;

  /// Returns the share of recent attempts that failed, from zero to one.
  [[nodiscard]] double failure_share(TimePoint now) const noexcept;

  /// Returns true while the target is avoided because it was unreachable.
  [[nodiscard]] bool is_avoided(TimePoint now) const noexcept {
    return now < avoid_until_;
  }

  [[nodiscard]] const TargetProperties& properties() const noexcept {
    return properties_;
  }
  [[nodiscard]] const std::optional<LoadReport>& report() const noexcept {
    return report_;
  }
  [[nodiscard]] std::uint32_t in_flight() const noexcept {
    return static_cast<std::uint32_t>(pending_.size());
  }
  /// Time of the newest load report.
  [[nodiscard]] TimePoint report_time() const noexcept { return report_time_; }

 private:
  /// Returns the smoothed relative work time, which decays to one.
  [[nodiscard]] double RelativeWorkTime(TimePoint now) const noexcept;

  TargetProperties properties_;
  /// Attempts in the order in which they were sent.
  std::vector<PendingAttempt> pending_;
  std::optional<LoadReport> report_;
  TimePoint report_time_{};
  /// Time of the newest load report that showed calls waiting for a slot.
  std::optional<TimePoint> queue_reported_;
  double relative_work_time_ = 1.0;
  TimePoint relative_work_time_updated_{};
  double failure_share_ = 0.0;
  TimePoint failure_share_updated_{};
  TimePoint avoid_until_{};
  /// Time until which the target wants no calls from this VM.
  TimePoint unwanted_until_{};
  std::optional<LimitShare> limit_;
  std::uint32_t consecutive_unreachable_ = 0;
};

}  // namespace kingcupshed::placement
