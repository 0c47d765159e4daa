#pragma once

#include <functional>
#include <map>
#include <set>
#include <vector>

#include "kingcupshed/core/random.h"
#include "kingcupshed/core/token_bucket.h"
#include "kingcupshed/placement/call_mix.h"
#include "kingcupshed/placement/placer.h"
#include "kingcupshed/placement/retry_budget.h"
#include "kingcupshed/placement/service_model.h"
#include "kingcupshed/placement/target_model.h"

namespace kingcupshed::placement::internal {

/// One attempt of a call at a target.
struct Attempt {
  TargetId target{};
  TimePoint started{};
  /// Predicted response time when the attempt was sent.
  Duration expected_latency{};
  /// Slowdown that the target reported before the attempt was sent; zero when
  /// there was no recent report. The next two are also based on that report.
  double slowdown = 0.0;
  /// True when the attempt took the target's last free slot.
  bool last_slot = false;
  /// True when no slot was free, so that the attempt had to wait at the target.
  bool queued_at_target = false;
  bool running = true;
  bool cancelled = false;
  /// True once the target is known not to have the call.
  bool lost = false;
  /// True once the head of the response has arrived.
  bool head_received = false;
  bool response_started = false;
};

/// What a call waits for in this VM.
enum class WaitReason : std::uint8_t {
  kNone,
  /// Load reports of the probed targets.
  kProbes,
  /// A target with capacity to respond in time.
  kCapacity,
};

/// A call, from its arrival until its last attempt ends.
struct Call {
  dispatch::CallArrived request;
  TimePoint arrived{};
  std::vector<Attempt> attempts;
  WaitReason wait_reason = WaitReason::kNone;
  /// Targets whose load reports are pending.
  std::set<TargetId> pending_probes;
  /// Targets that the current search has probed, or not probed because their
  /// report was fresh.
  std::set<TargetId> probed;
  /// Round of probes in the current search, from zero.
  std::uint32_t round = 0;
  /// Number of searches for a target, including the current one.
  std::uint32_t searches = 0;
  /// Attempts that did not reach their target.
  std::uint32_t unreachable_attempts = 0;
  /// True while one target runs the call and a second one is searched for.
  bool hedging = false;
  /// True once a hedge was sent.
  bool hedged = false;
  bool finished = false;
  bool response_started = false;
  /// True once an attempt may have run the call without a usable response.
  bool may_have_run = false;
  TimePoint timer = TimePoint::max();
  /// When a second target is searched for while an attempt runs.
  TimePoint hedge_at = TimePoint::max();
  /// When a target that runs an attempt is probed for whether it has the call.
  TimePoint check_at = TimePoint::max();

  /// Returns the number of running attempts.
  [[nodiscard]] std::size_t running() const;
};

/// A target that a call may be sent to.
struct Candidate {
  TargetModel* target = nullptr;
  Estimate estimate;
  /// Predicted response time, including the round trip.
  Duration expected_latency{};
  /// Expected latency plus penalties for failures and distance; the candidate
  /// with the lowest cost is chosen.
  Duration cost{};
};

/// State of one service.
struct ServiceState {
  std::vector<TargetId> targets;
  ServiceModel model;
  RetryBudget budget;
  CallMix mix;
  /// False once a target of the service responded to a probe without its load.
  bool reports_load = true;
  /// Recent searches, decaying exponentially; determines the number of targets
  /// to which this VM keeps connections open.
  double recent_searches = 0.0;
  TimePoint recent_searches_updated{};
  std::set<CallId> waiting;
  ServiceCounters counters;
};

/// Implementation of `Placer`.
class Engine {
 public:
  explicit Engine(const Config& config);

  void SetTargets(const std::vector<TargetProperties>& targets);
  void SetFleetSize(std::size_t vms);
  void SetBudgets(const RetryBudgetRule& retry_budget,
                  double probes_per_target_s);
  void SetObserver(std::function<void(const Decision&)> observer);
  [[nodiscard]] std::vector<dispatch::Action> Handle(
      const dispatch::Event& event,
      TimePoint now);
  [[nodiscard]] std::optional<TimePoint> NextWake() const;
  [[nodiscard]] std::map<ServiceId, ServiceCounters> ReadCounters() const;

 private:
  void On(const dispatch::CallArrived& arrived);
  void On(const dispatch::ResponseHeadReceived& received);
  void On(const dispatch::ResponseStarted& started);
  void On(const dispatch::AttemptEnded& ended);
  void On(const dispatch::CallAbandoned& abandoned);
  void On(const dispatch::LoadReported& reported);
  void On(const dispatch::ProbeFailed& failed);
  void On(const dispatch::Tick& tick);

  // Search for a target: probes in up to three rounds, then a decision.
  void StartSearch(Call& call);
  void StartRound(Call& call);
  void Decide(Call& call);
  void HandleProbeEnd(TargetId target);
  [[nodiscard]] bool NeedsProbes(const Call& call) const;
  [[nodiscard]] std::vector<Candidate> FindCandidates(const Call& call);
  /// Returns how long it takes until a target of the call's service takes calls
  /// again.
  [[nodiscard]] Duration TimeUntilAvailable(const Call& call) const;
  void HandleNotice(TargetId target, const dispatch::TargetNotice& notice);
  [[nodiscard]] std::size_t CountWarmTargets(ServiceState& service);
  void KeepPreferred(std::vector<Candidate>& candidates,
                     std::size_t count) const;
  void RemoveStale(std::vector<Candidate>& candidates) const;
  /// Returns true when a candidate is expected to respond within the objective.
  [[nodiscard]] bool MeetsObjective(const Call& call,
                                    const Candidate& candidate) const;
  [[nodiscard]] bool HasCapacity(const Call& call,
                                 const Candidate& candidate,
                                 double headroom) const;
  /// Returns true when the target can queue the call, also if others send calls
  /// at the same time.
  [[nodiscard]] bool HasRoomInQueue(const Call& call,
                                    const Candidate& candidate) const;
  [[nodiscard]] bool WouldContend(const Call& call,
                                  const Candidate& candidate) const;
  /// Returns true when the call must leave a slot free for more urgent ones:
  /// the service gets many of them, and most of its slots are in use.
  [[nodiscard]] bool YieldsToMoreUrgent(const Call& call,
                                        const Candidate& candidate) const;
  /// Returns true when most useful slots of a service are in use.
  [[nodiscard]] bool IsBusy(const ServiceState& service,
                            const Candidate& candidate) const;
  [[nodiscard]] bool MayWait(const Call& call, Duration work_time) const;
  void Probe(Call& call, const std::vector<Candidate>& candidates);
  void SendProbe(TargetId target);
  void HandleNoCapacity(Call& call, const Candidate* best);
  void WaitForCapacity(Call& call);
  [[nodiscard]] Duration RetryDelay(const Call& call);

  // Attempts and their results.
  void SendAttempt(Call& call, const Candidate& candidate, const char* reason);
  void ScheduleHedge(Call& call, const Candidate& candidate);
  void ScheduleDeliveryCheck(Call& call, const Candidate& candidate);
  void SetSilenceTimer(Call& call);
  void HandleSilence(Call& call);
  void TryHedge(Call& call);
  void CheckDelivery(Call& call);
  void EndLostAttempts(TargetId target);
  void NotifyDropped(const Call& call,
                     const Attempt& attempt,
                     const TargetModel& target) const;
  [[nodiscard]] bool CanDetectLoss(const Call& call) const;
  void CancelOthers(Call& call, const Attempt* winner);
  void UpdateModels(const Call& call,
                    const Attempt& attempt,
                    dispatch::AttemptResult result);
  void HandleLostAttempt(const Call& call, const Attempt& attempt);
  [[nodiscard]] bool WasFull(const Call& call,
                             const Attempt& attempt,
                             const TargetModel& target) const;
  void HandleAttemptEnd(Call& call, dispatch::AttemptResult result);
  /// Returns true when the call may be sent to another target.
  [[nodiscard]] bool HasAttemptsLeft(const Call& call) const;
  [[nodiscard]] bool MayRetry(Call& call, dispatch::AttemptResult result);
  void Refuse(Call& call, dispatch::RefuseReason reason, Duration retry_after);
  void Finish(Call& call);
  void SetTimer(Call& call, TimePoint timer);
  [[nodiscard]] Decision MakeDecision(const Call& call,
                                      DecisionType type,
                                      const char* reason) const;
  void NotifyObserver(const Decision& decision) const;

  [[nodiscard]] ServiceState& ServiceOf(const Call& call);
  /// Returns the work time learned for the call's route, or an initial value.
  [[nodiscard]] Duration WorkTimeOf(const Call& call) const;
  /// Returns the time to the objective or the deadline, whichever is earlier;
  /// negative when it has passed.
  [[nodiscard]] Duration TimeToObjective(const Call& call) const;
  [[nodiscard]] Duration TimeToDeadline(const Call& call) const;
  [[nodiscard]] Duration RoundTripTo(const TargetModel& target) const;

  Config config_;
  Random random_;
  std::size_t vms_ = 1;
  TokenBucket probe_tokens_;
  std::map<TargetId, TargetModel> targets_;
  std::map<ServiceId, ServiceState> services_;
  std::map<CallId, Call> calls_;
  std::set<std::pair<TimePoint, CallId>> timers_;
  /// Running probes and the calls that wait for them. Some of these calls may
  /// have continued or ended meanwhile.
  std::map<TargetId, std::vector<CallId>> probes_;
  std::function<void(const Decision&)> observer_;
  std::vector<dispatch::Action> actions_;
  TimePoint now_{};
};

}  // namespace kingcupshed::placement::internal
