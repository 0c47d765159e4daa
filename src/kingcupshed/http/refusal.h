#pragma once

#include <cstdint>
#include <string_view>

#include "kingcupshed/dispatch/events.h"
#include "kingcupshed/http/call_machine.h"

namespace kingcupshed::http {

/// An answer that the VM gives in place of a target.
struct Refusal {
  unsigned code = 503;
  Outcome outcome = Outcome::kNotRun;
  /// Fixed word for programs.
  std::string_view reason;
  /// Sentence for people.
  std::string_view text;
  Duration retry_after{};
};

/// Returns the word of an outcome, as in the outcome header.
[[nodiscard]] std::string_view OutcomeName(Outcome outcome) noexcept;

/// Returns the refusal for a reason of the dispatcher.
/// @param outcome What became of the work; wins over the reason.
[[nodiscard]] Refusal RefusalFor(dispatch::RefuseReason reason,
                                 Outcome outcome,
                                 Duration retry_after) noexcept;

}  // namespace kingcupshed::http
