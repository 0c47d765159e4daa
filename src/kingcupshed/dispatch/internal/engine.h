#pragma once

#include <map>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "kingcupshed/core/random.h"
#include "kingcupshed/dispatch/counters.h"
#include "kingcupshed/dispatch/dispatcher.h"
#include "kingcupshed/dispatch/internal/call_table.h"
#include "kingcupshed/dispatch/internal/service_state.h"
#include "kingcupshed/measure/prober.h"
#include "kingcupshed/routing/policy.h"
#include "kingcupshed/target/pool.h"

namespace kingcupshed::dispatch::internal {

/// Result of choosing a target.
struct TargetChoice {
  std::optional<TargetId> target;
  /// True when the call has tried every serving target, or none is serving.
  bool exhausted = false;
};

/// Implementation of `Dispatcher`.
class Engine {
 public:
  explicit Engine(Config config);

  void SetTable(const table::Table& table, Names<ServiceId>& services);
  void SetTargets(std::vector<target::TargetInfo> targets);
  void SetLeaving(TargetId target, bool leaving, TimePoint now);
  void SetRowShare(ServiceId service, Rank rank, admission::RowShare share);
  [[nodiscard]] std::vector<Action> Handle(const Event& event, TimePoint now);
  [[nodiscard]] std::optional<TimePoint> NextWake() const;
  [[nodiscard]] Counters ReadCounters() const;
  [[nodiscard]] measure::ProbeBudget* FindProbeBudget(ServiceId service);

 private:
  void On(const CallArrived& arrived);
  void On(const ResponseHeadReceived& received);
  void On(const ResponseStarted& started);
  void On(const AttemptEnded& ended);
  void On(const CallAbandoned& abandoned);
  void On(const LoadReported& reported);
  void On(const ProbeFailed& failed);
  void On(const Tick& tick);

  // Queues and new attempts.
  void StartQueuedCalls(ServiceId id, ServiceState& service);
  bool TryStartNext(ServiceState& service, Rank rank);
  void RefuseOverdueCalls(ServiceId id, ServiceState& service);
  /// Returns the ranks for which another attempt fits the window and the limits
  /// of their row.
  [[nodiscard]] std::array<bool, kRankCount> StartableRanks(
      ServiceId id,
      ServiceState& service);
  [[nodiscard]] TargetChoice ChooseTarget(const Call& call,
                                          RowState& row,
                                          bool needs_free_slot);
  /// Removes targets of other regions unless the row's cross-region limit
  /// allows them and either no target of the own region serves or the call has
  /// already waited as long as a cross-region round trip.
  void RemoveOtherRegionViews(const Call& call, RowState& row);
  void SendAttempt(Call& call, TargetId target, bool hedge);
  void ScheduleHedge(Call& call, const RowState& row, TargetId target);
  void TryHedge(Call& call);

  // Results of attempts and ends of calls.
  void HandleResponseStart(Call& call,
                           Attempt& attempt,
                           const std::optional<LoadReport>& load);
  void HandleLoadReport(ServiceState& service,
                        target::TargetState& target_state,
                        const LoadReport& load,
                        Duration latency);
  /// Records a failure of the target and ejects it after too many in a row.
  void HandleFailure(Call& call, const Attempt& attempt, AttemptResult result);
  void HandleAttemptEnd(Call& call,
                        const Attempt& attempt,
                        AttemptResult result);
  [[nodiscard]] bool MayRetry(Call& call,
                              const Attempt& attempt,
                              AttemptResult result);
  void Requeue(Call& call);
  void CancelOthers(Call& call, const Attempt* winner);
  void HandleDeadline(Call& call);
  void Refuse(Call& call, RefuseReason reason, Duration retry_after);
  void Finish(Call& call);
  /// Ends an attempt: updates the row's limits and averages.
  void ReleaseSlot(Call& call, Attempt& attempt, std::uint64_t bytes);

  // Periodic work.
  void RunHousekeeping();
  /// Adapts the bounds of the windows to the serving slots.
  void UpdateWindows(ServiceId id, ServiceState& service);
  void SendProbes(ServiceId id, ServiceState& service);

  [[nodiscard]] RowState& RowOf(const Call& call);
  /// Returns the mean latency of attempts in the own zone.
  [[nodiscard]] Duration ZoneLatency(ServiceId service) const;
  [[nodiscard]] bool HasQueuedCalls() const noexcept;

  Config config_;
  Random random_;
  std::unique_ptr<routing::Policy> policy_;
  target::Pool pool_;
  std::optional<measure::Prober> prober_;
  std::map<ServiceId, ServiceState> services_;
  CallTable calls_;
  TimePoint now_{};
  TimePoint next_housekeeping_{};
  std::vector<Action> actions_;
  std::vector<routing::TargetView> views_;
  std::vector<measure::ProbeCandidate> candidates_;
};

}  // namespace kingcupshed::dispatch::internal
