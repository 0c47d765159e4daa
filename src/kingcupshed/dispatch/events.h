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
  /// True when the whole request is held in memory and can be sent again.
  bool replayable = false;
  /// Route that the call took; calls of one route are alike.
  RouteId route{};
  /// Instant up to which an answer has its full value; none when unset.
  TimePoint objective = TimePoint::max();
  /// Most targets that the call may be sent to; zero for the dispatcher's own
  /// bound.
  std::uint32_t max_attempts = 0;
  /// True for large answers, which are to stay near.
  bool large_response = false;
  /// True when the caller was refused before and has come back.
  bool caller_retry = false;
};

/// How an attempt ended.
enum class AttemptResult : std::uint8_t {
  /// A whole answer of the target was passed on.
  kCompleted,
  /// The target refused before running: it shed, drains or is starting.
  kRefused,
  /// No byte reached the target.
  kNotSent,
  /// Bytes were sent and no whole answer came back: the outcome is unknown.
  kLost,
  /// The attempt was cancelled by `CancelAttempt` or by the caller leaving.
  kCancelled,
  /// A whole answer says that the work ran and failed; it is kept in case that
  /// no other attempt does better.
  kErrorResponse,
};

/// The head of an attempt's answer came in.
struct ResponseStarted {
  CallId call{};
  AttemptId attempt{};
  std::optional<LoadReport> load;
};

/// An attempt is over and holds no slot any more.
struct AttemptEnded {
  CallId call{};
  AttemptId attempt{};
  AttemptResult result = AttemptResult::kCompleted;
  std::optional<LoadReport> load;
  /// Bytes of request and answer on the wire; zero when not counted.
  std::uint64_t bytes = 0;
};

/// The caller went away; running attempts are cancelled by the adapter.
struct CallAbandoned {
  CallId call{};
};

/// A load report that came with a probe or from a peer.
struct LoadReported {
  TargetId target{};
  /// Without slots when the target answered but does not tell its load.
  LoadReport load;
  /// Time that the probe took; zero when the report came otherwise.
  Duration round_trip{};
};

/// A probe brought no answer of the target that it was meant for.
struct ProbeFailed {
  TargetId target{};
};

/// Time passed; sent when `Dispatcher::NextWake` is due.
struct Tick {};

/// Everything that a dispatcher is told, besides configuration.
using Event = std::variant<CallArrived,
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

/// Why a call is refused. Each was not run, except `kOutcomeUnknown`.
enum class RefuseReason : std::uint8_t {
  kUnknownService,
  kRateLimited,
  kQueueFull,
  kDeadline,
  kNoTarget,
  kRefusedByTargets,
  kOutcomeUnknown,
  /// No target could answer within the objective.
  kOverloaded,
};

/// Answer the caller with a refusal; the call is over.
struct RefuseCall {
  CallId call{};
  RefuseReason reason = RefuseReason::kNoTarget;
  /// When the caller may try again.
  Duration retry_after{};
};

/// Ask a target for its load within the measuring budget.
struct ProbeTarget {
  TargetId target{};
};

/// Everything that a dispatcher asks for.
using Action =
    std::variant<StartAttempt, CancelAttempt, RefuseCall, ProbeTarget>;

}  // namespace kingcupshed::dispatch
