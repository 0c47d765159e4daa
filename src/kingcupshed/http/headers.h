#pragma once

#include <string_view>

namespace kingcupshed::http {

/// Rank of a call, 1 to 3; 2 when absent.
inline constexpr std::string_view kRankHeader = "Kingcupshed-Rank";
/// Time that the caller still waits, in whole milliseconds.
inline constexpr std::string_view kDeadlineHeader = "Kingcupshed-Deadline-Ms";
/// Key of at-most-once work, chosen by the caller.
inline constexpr std::string_view kKeyHeader = "Idempotency-Key";
/// Id of the call in the time line.
inline constexpr std::string_view kCallHeader = "Kingcupshed-Call";
/// Number of services that the call has passed, counted by each of them.
inline constexpr std::string_view kDepthHeader = "Kingcupshed-Depth";
/// Hybrid logical time of the sender.
inline constexpr std::string_view kClockHeader = "Kingcupshed-Clock";
/// What became of the work: `ran`, `not-run` or `unknown`.
inline constexpr std::string_view kOutcomeHeader = "Kingcupshed-Outcome";
/// Why a call was refused, a fixed word.
inline constexpr std::string_view kReasonHeader = "Kingcupshed-Reason";
/// Load of a target: `in_flight=N;queued=N;slots=N`.
inline constexpr std::string_view kLoadHeader = "Kingcupshed-Load";
/// Present in answers of a target that is leaving.
inline constexpr std::string_view kDrainHeader = "Kingcupshed-Drain";
/// Name of the target that served the call.
inline constexpr std::string_view kTargetHeader = "Kingcupshed-Target";

inline constexpr std::string_view kOutcomeRan = "ran";
inline constexpr std::string_view kOutcomeNotRun = "not-run";
inline constexpr std::string_view kOutcomeUnknown = "unknown";

}  // namespace kingcupshed::http
