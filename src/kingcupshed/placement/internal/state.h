#pragma once

#include <functional>
#include <map>
#include <set>
#include <vector>

#include "kingcupshed/core/random.h"
#include "kingcupshed/core/token_bucket.h"
#include "kingcupshed/placement/placer.h"
#include "kingcupshed/placement/retry_budget.h"
#include "kingcupshed/placement/service_model.h"
#include "kingcupshed/placement/target_model.h"

namespace kingcupshed::placement::internal {

/// One try of a call at a target.
struct Try {
  TargetId target{};
  TimePoint started{};
  /// Expected answer time when the try was sent.
  Duration expected{};
  /// Slow-down and crowding that the work was sent into, if known.
  double slowdown = 0.0;
  bool crowded = false;
  bool waited = false;
  bool running = true;
  bool cancelled = false;
  bool answered = false;
};

/// What a call waits for.
enum class Wait : std::uint8_t {
  kNothing,
  /// Load reports of probed targets.
  kProbes,
  /// A target that could answer in time.
  kRoom,
};

/// A call from its arrival to its end.
struct Call {
  dispatch::CallArrived request;
  TimePoint arrived{};
  std::vector<Try> tries;
  Wait wait = Wait::kNothing;
  /// Targets whose reports are awaited.
  std::set<TargetId> probed;
  /// Targets probed in the current search.
  std::set<TargetId> asked;
  std::uint32_t round = 0;
  /// Searches that found no target in time.
  std::uint32_t searches = 0;
  /// Tries that reached no target.
  std::uint32_t unreachable = 0;
  /// True while a target runs the call and a second one is looked for.
  bool hedging = false;
  bool hedged = false;
  bool done = false;
  bool answered = false;
  /// True once some try may have run without a usable answer.
  bool maybe_ran = false;
  TimePoint wake = TimePoint::max();

  [[nodiscard]] std::size_t running() const;
};

/// A target that a call may be sent to.
struct Candidate {
  TargetModel* target = nullptr;
  Estimate estimate;
  /// Expected time to the answer, with the round trip.
  Duration expected{};
  /// What is compared: the expected time, and what speaks against the target.
  Duration cost{};
};

/// What is kept for one service.
struct Service {
  std::vector<TargetId> targets;
  ServiceModel model;
  RetryBudget budget;
  Rank first_rank = Rank::kUrgent;
  /// False once a target of the service answered a probe without its load.
  bool tells_load = true;
  /// Searches of late, to judge how many targets this VM keeps warm.
  double searches = 0.0;
  TimePoint searches_at{};
  std::set<CallId> waiting;
  ServiceCounters counters;
};

/// The decisions behind `Placer`.
class Engine {
 public:
  explicit Engine(const Config& config);

  void SetTargets(const std::vector<TargetProperties>& targets);
  void SetMostUrgentRank(ServiceId service, Rank rank);
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
  void On(const dispatch::ResponseStarted& answered);
  void On(const dispatch::AttemptEnded& ended);
  void On(const dispatch::CallAbandoned& abandoned);
  void On(const dispatch::LoadReported& reported);
  void On(const dispatch::ProbeFailed& failed);
  void On(const dispatch::Tick& tick);

  // Looking for a target.
  void Search(Call& call);
  void NextRound(Call& call);
  void Decide(Call& call);
  void SettleProbe(TargetId target);
  [[nodiscard]] bool NeedsProbes(const Call& call) const;
  [[nodiscard]] std::vector<Candidate> FindCandidates(const Call& call);
  [[nodiscard]] std::size_t WarmTargets(Service& service);
  void KeepWarm(std::vector<Candidate>& candidates, std::size_t count) const;
  void KeepKnown(std::vector<Candidate>& candidates) const;
  [[nodiscard]] bool IsInTime(const Call& call,
                              const Candidate& candidate) const;
  [[nodiscard]] bool HasRoom(const Call& call,
                             const Candidate& candidate,
                             double spare) const;
  [[nodiscard]] bool IsCrowded(const Call& call,
                               const Candidate& candidate) const;
  [[nodiscard]] bool IsGuest(const Call& call) const;
  [[nodiscard]] bool MayWait(const Call& call, Duration work) const;
  void Probe(Call& call, const std::vector<Candidate>& candidates);
  void HandleNoRoom(Call& call, const Candidate* best);
  void WaitForRoom(Call& call);
  [[nodiscard]] Duration BackWhenRoom(const Call& call);

  // Tries and their ends.
  void Start(Call& call, const Candidate& candidate, const char* why);
  void ArmHedge(Call& call, const Candidate& candidate);
  void TryHedge(Call& call);
  void CancelOthers(Call& call, const Try* winner);
  void Learn(const Call& call,
             const Try& attempt,
             dispatch::AttemptResult result);
  void Resolve(Call& call, dispatch::AttemptResult result);
  [[nodiscard]] bool MayRepeat(Call& call, dispatch::AttemptResult result);
  void Refuse(Call& call, dispatch::RefuseReason reason, Duration retry_after);
  void Finish(Call& call);
  void SetWake(Call& call, TimePoint wake);
  void Tell(const Call& call,
            const Candidate* candidate,
            const char* why) const;

  [[nodiscard]] Service& ServiceOf(const Call& call);
  [[nodiscard]] Duration WorkOf(const Call& call) const;
  [[nodiscard]] Duration LeftToObjective(const Call& call) const;
  [[nodiscard]] Duration LeftToDeadline(const Call& call) const;
  [[nodiscard]] Duration RoundTrip(const TargetModel& target) const;

  Config config_;
  Random random_;
  std::size_t vms_ = 1;
  TokenBucket probe_tokens_;
  std::map<TargetId, TargetModel> targets_;
  std::map<ServiceId, Service> services_;
  std::map<CallId, Call> calls_;
  std::set<std::pair<TimePoint, CallId>> wakes_;
  /// Probes under way, with the calls that await them; some of these may have
  /// gone on or ended meanwhile.
  std::map<TargetId, std::vector<CallId>> probes_;
  std::function<void(const Decision&)> observer_;
  std::vector<dispatch::Action> actions_;
  TimePoint now_{};
};

}  // namespace kingcupshed::placement::internal
