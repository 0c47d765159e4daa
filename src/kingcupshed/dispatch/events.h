#pragma once

#include <cstdint>
#include <optional>
#include <variant>

#include "kingcupshed/core/ids.h"
#include "kingcupshed/core/load_report.h"
#include "kingcupshed/core/rank.h"
#include "kingcupshed/core/time.h"
#include "kingcupshed/table/table.h"

namespace kingcupshed::dispatch {

/// A call is ready to be sent to a target.
struct CallArrived {
  CallId call{};
  ServiceId service{};
  Rank rank = Rank::kStandard;
  TimePoint deadline{};
  table::Semantics semantics = table::Semantics::kIdempotent;
  /// True when the complete request is in memory and can be sent again.
  bool replayable = false;
  /// Route of the call; calls of one route take a similar time.
  RouteId route{};
  /// Time up to which a response has its full value; unlimited by default.
  TimePoint objective = TimePoint::max();
  /// Maximum number of targets that the call may be sent to; zero for the
  /// scheduler's default.
  std::uint32_t max_attempts = 0;
  /// True when the response is large, so that a near target is preferred.
  bool large_response = false;
  /// True when the caller was refused before and now retries.
  bool caller_retry = false;
};

/// How an attempt ended.
enum class AttemptResult : std::uint8_t {
  /// The target's complete response was passed on.
  kCompleted,
  /// The target refused before running the call: it sheds load, drains or is
  /// starting.
  kRefused,
  /// No byte reached the target.
  kNotSent,
  /// Bytes were sent and no complete response arrived: the outcome is unknown.
  kLost,
  /// The attempt was cancelled by `CancelAttempt` or because the caller
  /// disconnected.
  kCancelled,
  /// A complete response says that the call ran and failed. It is kept in case
  /// no other attempt does better.
  kErrorResponse,
};

/// What the response of a target says about the calls that it wants.
struct TargetNotice {
  /// Time for which it wants no calls from this VM, if it refused one.
  std::optional<Duration> retry_after{};
  /// Calls per second that it takes from all VMs together, if it limits them.
  std::optional<double> calls_per_s{};
  /// True if the response came from the target, so that a limit that it doesn't
  /// name no longer holds.
  bool known = false;
};

/// The head of an attempt's response arrived, and its body is still to come.
/// The target has the call, and the attempt may still fail.
struct ResponseHeadReceived {
  CallId call{};
  AttemptId attempt{};
};

/// A response was chosen for the caller. A short one is complete by then; of a
/// long one the start has arrived.
struct ResponseStarted {
  CallId call{};
  AttemptId attempt{};
  std::optional<LoadReport> load;
  TargetNotice notice{};
};

/// An attempt is over and no longer holds a slot.
struct AttemptEnded {
  CallId call{};
  AttemptId attempt{};
  AttemptResult result = AttemptResult::kCompleted;
  std::optional<LoadReport> load;
  /// Bytes of the request and the response on the wire; zero when not counted.
  std::uint64_t bytes = 0;
  TargetNotice notice{};
};

/// The caller disconnected; the code that drives the scheduler cancels the
/// running attempts.
struct CallAbandoned {
  CallId call{};
};

/// A load report that came with a probe or from a peer.
struct LoadReported {
  TargetId target{};
  /// Has zero slots when the target responded without reporting its load.
  LoadReport load;
  /// Round trip of the probe; zero when the report did not come from a probe.
  Duration round_trip{};
};

/// A probe got no response from the target that it was meant for.
struct ProbeFailed {
  TargetId target{};
};

/// Time has passed; sent when `Scheduler::NextWake` is due.
struct Tick {};

/// Input of a scheduler, besides its configuration.
using Event = std::variant<CallArrived,
                           ResponseHeadReceived,
                           ResponseStarted,
                           AttemptEnded,
                           CallAbandoned,
                           LoadReported,
                           ProbeFailed,
                           Tick>;

/// Send the call to a target.
struct StartAttempt {
  CallId call{};
  AttemptId attempt{};
  TargetId target{};
  /// True for a second attempt that races a running one.
  bool hedge = false;
};

/// Stop an attempt and close its connection.
struct CancelAttempt {
  CallId call{};
  AttemptId attempt{};
};

/// Why a call is refused. The call did not run, except for `kOutcomeUnknown`.
enum class RefuseReason : std::uint8_t {
  kUnknownService,
  kRateLimited,
  kQueueFull,
  kDeadline,
  kNoTarget,
  kRefusedByTargets,
  /// An attempt may have run the call, and no response arrived.
  kOutcomeUnknown,
  /// No target could respond within the objective.
  kOverloaded,
};

/// Send a refusal to the caller; the call is over.
struct RefuseCall {
  CallId call{};
  RefuseReason reason = RefuseReason::kNoTarget;
  /// Time after which the caller may retry.
  Duration retry_after{};
};

/// Request the load of a target; the probe is within the probe budget.
struct ProbeTarget {
  TargetId target{};
};

/// Output of a scheduler.
using Action =
    std::variant<StartAttempt, CancelAttempt, RefuseCall, ProbeTarget>;

}  // namespace kingcupshed::dispatch
