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

/// Outcome of looking for a target.
struct TargetChoice {
  std::optional<TargetId> target;
  /// True when no serving target is left that was not tried.
  bool exhausted = false;
};

/// The decisions behind `Dispatcher`.
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
  void On(const ResponseStarted& answered);
  void On(const AttemptEnded& ended);
  void On(const CallAbandoned& abandoned);
  void On(const LoadReported& reported);
  void On(const ProbeFailed& failed);
  void On(const Tick& tick);

  // Queues and starts.
  void Pump(ServiceId id, ServiceState& service);
  bool TryStartFrom(ServiceState& service, Rank rank);
  void DropOverdue(ServiceId id, ServiceState& service);
  [[nodiscard]] std::array<bool, kRankCount> StartableRanks(
      ServiceId id,
      ServiceState& service);
  [[nodiscard]] TargetChoice ChooseTarget(const Call& call,
                                          RowState& row,
                                          bool needs_free_slot);
  void DropFarViews(const Call& call, RowState& row);
  void Start(Call& call, TargetId target, bool hedge);
  void ArmHedge(Call& call, const RowState& row, TargetId target);
  void TryHedge(Call& call);

  // Ends of attempts and calls.
  void TakeAnswer(Call& call,
                  Attempt& attempt,
                  const std::optional<LoadReport>& load);
  void TakeReport(ServiceState& service,
                  target::Member& member,
                  const LoadReport& load,
                  Duration latency);
  void TakeFailure(Call& call, const Attempt& attempt, AttemptResult result);
  void Resolve(Call& call, const Attempt& attempt, AttemptResult result);
  [[nodiscard]] bool MayRetry(Call& call,
                              const Attempt& attempt,
                              AttemptResult result);
  void Requeue(Call& call);
  void CancelOthers(Call& call, const Attempt* winner);
  void Expire(Call& call);
  void Refuse(Call& call, RefuseReason reason, Duration retry_after);
  void Finish(Call& call);
  void ReleaseSlot(Call& call, Attempt& attempt, std::uint64_t bytes);

  // Regular work.
  void KeepHouse();
  void UpdateWindow(ServiceId id, ServiceState& service);
  void SendProbes(ServiceId id, ServiceState& service);

  [[nodiscard]] RowState& RowOf(const Call& call);
  [[nodiscard]] Duration UsualLatency(ServiceId service) const;
  [[nodiscard]] bool AnyQueued() const noexcept;

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
