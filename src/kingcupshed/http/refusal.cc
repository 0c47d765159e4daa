#include "kingcupshed/http/refusal.h"

#include <array>

#include "kingcupshed/http/headers.h"

namespace kingcupshed::http {

namespace {

struct ReasonEntry {
  unsigned code;
  std::string_view reason;
  std::string_view text;
};

/// Indexed by `dispatch::RefuseReason`.
constexpr std::array<ReasonEntry, 8> kReasons{{
    {404, "unknown-service", "The table has no row for this service."},
    {503, "rate-limited", "The row's rate limit is reached."},
    {503, "queue-full", "The row's queue is full."},
    {504, "deadline", "The deadline passed."},
    {503, "no-target", "No target takes work now."},
    {503, "refused", "The targets refused the work."},
    {502, "outcome-unknown", "No whole answer came; the work may have run."},
    {503, "overloaded", "No target could answer in time."},
}};

constexpr unsigned kBadGateway = 502;
constexpr unsigned kServiceUnavailable = 503;

}  // namespace

std::string_view OutcomeName(Outcome outcome) noexcept {
  constexpr std::array<std::string_view, 3> kNames{kOutcomeRan, kOutcomeNotRun,
                                                   kOutcomeUnknown};
  return kNames[static_cast<std::size_t>(outcome)];
}

Refusal RefusalFor(dispatch::RefuseReason reason,
                   Outcome outcome,
                   Duration retry_after) noexcept {
  const ReasonEntry& entry = kReasons[static_cast<std::size_t>(reason)];
  Refusal refusal{entry.code, outcome, entry.reason, entry.text, retry_after};
  if (outcome != Outcome::kNotRun && entry.code == kServiceUnavailable) {
    // 503 tells the caller that a retry is safe, which is wrong for work that
    // may have run.
    refusal.code = kBadGateway;
    refusal.text = kReasons[static_cast<std::size_t>(
                                dispatch::RefuseReason::kOutcomeUnknown)]
                       .text;
  }
  return refusal;
}

}  // namespace kingcupshed::http
