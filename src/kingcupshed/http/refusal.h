#pragma once

#include <cstdint>
#include <string_view>

#include "kingcupshed/dispatch/events.h"
#include "kingcupshed/http/call_state_machine.h"

namespace kingcupshed::http {

/// An error response that the VM sends itself, instead of the response of a
/// target.
struct Refusal {
  unsigned code = 503;
  Outcome outcome = Outcome::kNotRun;
  /// Machine-readable reason.
  std::string_view reason;
  /// Human-readable explanation.
  std::string_view text;
  Duration retry_after{};
};

/// Returns the value of the outcome header for an outcome.
[[nodiscard]] std::string_view OutcomeName(Outcome outcome) noexcept;

/// Returns the refusal for a reason of the dispatcher.
/// @param outcome Outcome of the work; takes precedence over the reason where
/// the two disagree.
[[nodiscard]] Refusal RefusalFor(dispatch::RefuseReason reason,
                                 Outcome outcome,
                                 Duration retry_after) noexcept;

}  // namespace kingcupshed::http
