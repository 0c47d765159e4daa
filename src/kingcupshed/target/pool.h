#pragma once

#include <map>
#include <span>
#include <vector>

#include "kingcupshed/routing/view.h"
#include "kingcupshed/target/concurrency_limit.h"
#include "kingcupshed/target/health.h"
#include "kingcupshed/target/target.h"
#include "kingcupshed/target/target_stats.h"

namespace kingcupshed::target {

/// A target with everything that this VM knows of it.
struct TargetState {
  TargetInfo info;
  routing::Distance distance = routing::Distance::kSameZone;
  Health health;
  TargetStats stats;
  /// Limit on concurrent attempts of this VM at the target.
  ConcurrencyLimit limit;
  /// False once the platform's list no longer contains the target.
  bool listed = true;
  /// Whether the previous list contained the target.
  bool was_listed = true;
};

/// The targets of one service and the latencies measured over all of them.
struct ServiceTargets {
  std::vector<TargetId> targets;
  /// By `routing::Distance`.
  LatencyEstimate latency[routing::kDistanceCount];
};

/// The targets that this VM knows, by id.
class Pool {
 public:
  Pool(ZoneId zone, RegionId region) : zone_(zone), region_(region) {}

  /// Replaces the set of targets. Targets of the first non-empty list count as
  /// warm. A target that is no longer listed is kept while it has attempts in
  /// flight.
  void SetTargets(std::vector<TargetInfo> targets, TimePoint now);

  /// Sets or removes the leaving mark of a target.
  void SetLeaving(TargetId target, bool leaving, TimePoint now);

  /// Ejects a target unless too many targets of its service are already out of
  /// service.
  /// @return True when the target was ejected.
  bool TryEject(TargetId target, TimePoint now);

  /// Ends the ejections and slow starts whose time is over.
  void Advance(TimePoint now);

  /// Appends a view of each serving target of a service.
  /// @param tried Targets to leave out.
  void AppendViews(ServiceId service,
                   std::span<const TargetId> tried,
                   TimePoint now,
                   std::vector<routing::TargetView>& views) const;

  /// Returns the mean latency of attempts at a distance.
  [[nodiscard]] Duration MeanLatency(ServiceId service,
                                     routing::Distance distance) const;

  /// Returns a latency that few attempts at healthy targets of a distance
  /// exceed.
  [[nodiscard]] Duration UpperLatency(ServiceId service,
                                      routing::Distance distance) const;

  /// Adds a latency measured at a target.
  void AddLatency(TargetId target, Duration latency);

  /// Returns the total slots of the serving targets of a service.
  [[nodiscard]] double ServingSlots(ServiceId service) const;

  /// Returns the number of this VM's attempts in flight at targets of its
  /// region. Stalled attempts are left out: they wait at a slow target and say
  /// nothing about the others.
  [[nodiscard]] double InFlightInRegion(ServiceId service, TimePoint now) const;

  /// Returns a target, or null when it is unknown.
  [[nodiscard]] TargetState* Find(TargetId target);
  [[nodiscard]] const TargetState* Find(TargetId target) const;
  [[nodiscard]] const std::map<ServiceId, ServiceTargets>& services()
      const noexcept {
    return services_;
  }

 private:
  void AddOrUpdate(TargetInfo info, TimePoint now);
  void RebuildServices();

  ZoneId zone_;
  RegionId region_;
  std::map<TargetId, TargetState> targets_;
  std::map<ServiceId, ServiceTargets> services_;
  bool had_target_list_ = false;
};

}  // namespace kingcupshed::target
