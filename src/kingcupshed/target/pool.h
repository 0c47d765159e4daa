#pragma once

#include <map>
#include <span>
#include <vector>

#include "kingcupshed/routing/view.h"
#include "kingcupshed/target/concurrency_limit.h"
#include "kingcupshed/target/evidence.h"
#include "kingcupshed/target/health.h"
#include "kingcupshed/target/target.h"

namespace kingcupshed::target {

/// A target with everything that this VM knows of it.
struct Member {
  TargetInfo info;
  routing::Distance distance = routing::Distance::kSameZone;
  Health health;
  Evidence evidence;
  /// Attempts of this VM at the target at once.
  ConcurrencyLimit limit;
  /// False once the platform's list no longer names the target.
  bool listed = true;
  /// The same for the list before.
  bool was_listed = true;
};

/// The targets of one service and what was measured over all of them.
struct Group {
  std::vector<TargetId> members;
  LatencyEstimate latency[routing::kDistanceCount];
};

/// The targets that this VM knows, addressed by id.
class Pool {
 public:
  Pool(ZoneId zone, RegionId region) : zone_(zone), region_(region) {}

  /// Replaces the set of targets. Those of the first list are taken as warm;
  /// a target that left the list is kept while it has attempts in flight.
  void SetTargets(std::vector<TargetInfo> targets, TimePoint now);

  /// Marks a target as leaving, or as back.
  void SetLeaving(TargetId target, bool leaving, TimePoint now);

  /// Ejects a target unless too many of its service are out already.
  /// @return True when it was ejected.
  bool TryEject(TargetId target, TimePoint now);

  /// Moves health machines on whose time has come.
  void Advance(TimePoint now);

  /// Appends a view of each serving target of a service.
  /// @param tried Targets to leave out.
  void AppendViews(ServiceId service,
                   std::span<const TargetId> tried,
                   TimePoint now,
                   std::vector<routing::TargetView>& views) const;

  /// Returns the usual latency of attempts at a distance.
  [[nodiscard]] Duration UsualLatency(ServiceId service,
                                      routing::Distance distance) const;

  /// Returns the latency that few attempts of sound targets exceed.
  [[nodiscard]] Duration UpperLatency(ServiceId service,
                                      routing::Distance distance) const;

  /// Adds a latency seen at a target.
  void AddLatency(TargetId target, Duration latency);

  /// Returns the slots of the serving targets of a service.
  [[nodiscard]] double ServingSlots(ServiceId service) const;

  /// Returns this VM's attempts at targets of its region. Stalled ones are left
  /// out: they wait at a slow target and say nothing of the others.
  [[nodiscard]] double NearInFlight(ServiceId service, TimePoint now) const;

  [[nodiscard]] Member* Find(TargetId target);
  [[nodiscard]] const Member* Find(TargetId target) const;
  [[nodiscard]] const std::map<ServiceId, Group>& groups() const noexcept {
    return groups_;
  }

 private:
  void Add(TargetInfo info, TimePoint now);
  void RebuildGroups();

  ZoneId zone_;
  RegionId region_;
  std::map<TargetId, Member> members_;
  std::map<ServiceId, Group> groups_;
  bool listed_once_ = false;
};

}  // namespace kingcupshed::target
