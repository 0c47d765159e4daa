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

/// Configuration of the VM that a dispatcher decides for.
struct Config {
  ZoneId zone{};
  RegionId region{};
  /// Name of the routing policy, as in `routing::PolicyNames`.
  std::string policy = "region_scan";
  /// Seed of all random choices.
  std::uint64_t seed = 1;
  /// Maximum number of VMs in the fleet, among which fleet-wide limits are
  /// split evenly.
  std::uint32_t max_vms = 16;
  /// Slot time that a probe uses at a target.
  Duration probe_cost = std::chrono::milliseconds(6);
  /// Added round trip to a target of another zone of the region.
  Duration region_round_trip = std::chrono::microseconds(2800);
  /// Added round trip to a target of another region.
  Duration remote_round_trip = std::chrono::milliseconds(60);
};

/// Scheduler that enforces the rows of an operator's table: it queues calls by
/// rank and keeps each row within its limits.
class Dispatcher final : public Scheduler {
 public:
  explicit Dispatcher(Config config);
  ~Dispatcher() override;
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  /// Activates a table.
  /// @param services Maps the table's service names to ids.
  void SetTable(const table::Table& table, Names<ServiceId>& services);

  /// Replaces the set of targets; calls in flight continue.
  void SetTargets(std::vector<target::TargetInfo> targets);

  /// Sets or removes the leaving mark of a target.
  void SetLeaving(TargetId target, bool leaving, TimePoint now);

  /// Replaces a row's even share of the fleet's limits, for example when other
  /// VMs lend parts of theirs.
  void SetRowShare(ServiceId service, Rank rank, admission::RowShare share);

  [[nodiscard]] std::vector<Action> Handle(const Event& event,
                                           TimePoint now) override;

  [[nodiscard]] std::optional<TimePoint> NextWake() const override;

  /// Returns a snapshot of all counters.
  [[nodiscard]] Counters ReadCounters() const;

  /// Returns the probe budget of a service, for lending to and borrowing from
  /// other VMs, or null before the first event and for services without one.
  [[nodiscard]] measure::ProbeBudget* FindProbeBudget(ServiceId service);

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace kingcupshed::dispatch
