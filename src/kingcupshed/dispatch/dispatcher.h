#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "kingcupshed/admission/row_limits.h"
#include "kingcupshed/core/ids.h"
#include "kingcupshed/core/names.h"
#include "kingcupshed/core/time.h"
#include "kingcupshed/dispatch/counters.h"
#include "kingcupshed/dispatch/events.h"
#include "kingcupshed/dispatch/scheduler.h"
#include "kingcupshed/measure/probe_budget.h"
#include "kingcupshed/table/table.h"
#include "kingcupshed/target/target.h"

namespace kingcupshed::dispatch {

/// Fixed facts of the VM that a dispatcher decides for.
struct Config {
  ZoneId zone{};
  RegionId region{};
  /// Name of the routing policy.
  std::string policy = "region_scan";
  /// Seed of every random choice.
  std::uint64_t seed = 1;
  /// Largest number of VMs in the fleet; fleet-wide limits are split by it.
  std::uint32_t max_vms = 16;
  /// Slot time that a probe takes at a target.
  Duration probe_cost = std::chrono::milliseconds(6);
  /// Added round trip to a target of another zone of the region.
  Duration region_round_trip = std::chrono::microseconds(2800);
  /// Added round trip to a target of another region.
  Duration remote_round_trip = std::chrono::milliseconds(60);
};

/// The core that keeps the rows of an operators' table.
class Dispatcher final : public Scheduler {
 public:
  explicit Dispatcher(Config config);
  ~Dispatcher() override;
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  /// Puts a table in force. `services` gives the ids of its service names.
  void SetTable(const table::Table& table, Names<ServiceId>& services);

  /// Replaces the set of targets; calls in flight are kept.
  void SetTargets(std::vector<target::TargetInfo> targets);

  /// Marks a target as leaving, from whatever source, or as back.
  void SetLeaving(TargetId target, bool leaving, TimePoint now);

  /// Replaces a row's even share of the fleet's limits, as when other VMs lend
  /// theirs.
  void SetRowShare(ServiceId service, Rank rank, admission::RowShare share);

  [[nodiscard]] std::vector<Action> Handle(const Event& event,
                                           TimePoint now) override;

  [[nodiscard]] std::optional<TimePoint> NextWake() const override;

  /// Returns what was counted so far.
  [[nodiscard]] Counters ReadCounters() const;

  /// Returns the probe budget of a service for lending and borrowing, or null
  /// before the first event or when the service has none.
  [[nodiscard]] measure::ProbeBudget* FindProbeBudget(ServiceId service);

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace kingcupshed::dispatch
