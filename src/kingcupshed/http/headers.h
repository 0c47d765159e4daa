#pragma once

#include <string_view>

namespace kingcupshed::http {

/// Rank of a call, 1 to 3; 2 when absent.
inline constexpr std::string_view kRankHeader = "Kingcupshed-Rank";
/// Time until the caller stops waiting, in whole milliseconds.
inline constexpr std::string_view kDeadlineHeader = "Kingcupshed-Deadline-Ms";
/// Idempotency key of at-most-once work, chosen by the caller.
inline constexpr std::string_view kKeyHeader = "Idempotency-Key";
/// Id of the call in the timeline.
inline constexpr std::string_view kCallHeader = "Kingcupshed-Call";
/// Number of services that the call has passed through; each one adds itself.
inline constexpr std::string_view kDepthHeader = "Kingcupshed-Depth";
/// Hybrid logical time of the sender.
inline constexpr std::string_view kClockHeader = "Kingcupshed-Clock";
/// Outcome of the work: `ran`, `not-run` or `unknown`.
inline constexpr std::string_view kOutcomeHeader = "Kingcupshed-Outcome";
/// Machine-readable reason for which a call was refused.
inline constexpr std::string_view kReasonHeader = "Kingcupshed-Reason";
/// Load of a target: `in_flight=N;queued=N;slots=N`.
inline constexpr std::string_view kLoadHeader = "Kingcupshed-Load";
/// Present in the responses of a target that is draining.
inline constexpr std::string_view kDrainHeader = "Kingcupshed-Drain";
/// Name of the target that served the call.
inline constexpr std::string_view kTargetHeader = "Kingcupshed-Target";

inline constexpr std::string_view kOutcomeRan = "ran";
inline constexpr std::string_view kOutcomeNotRun = "not-run";
inline constexpr std::string_view kOutcomeUnknown = "unknown";

}  // namespace kingcupshed::http
