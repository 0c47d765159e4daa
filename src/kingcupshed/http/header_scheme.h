#pragma once

#include <optional>
#include <string_view>

#include "kingcupshed/core/load_report.h"

namespace kingcupshed::http {

/// Names of the headers that callers, VMs and targets exchange, and how they
/// are read. An empty name stands for a header that is not used.
struct HeaderScheme {
  /// Names a call; targets echo it.
  std::string_view call_id;
  /// Time that the sender still waits, in whole milliseconds.
  std::string_view deadline;
  /// Load of a target, in its answers.
  std::string_view load;
  /// Present in answers of a target that is leaving.
  std::string_view drain;
  /// Instance that a request is meant for; others refuse it.
  std::string_view expected_instance;
  /// Instance that answers a health check.
  std::string_view instance;
  /// Proof of a target's own work, present in each success.
  std::string_view response_stamp;
  /// Present when the work was not run.
  std::string_view not_run;
  /// Value of `not_run` that says so; empty when any does.
  std::string_view not_run_value;
  /// Status by which a target says that it is not the instance that was meant;
  /// zero when there is none.
  unsigned wrong_instance_status = 0;
  /// Reads a load header.
  std::optional<LoadReport> (*parse_load)(std::string_view text) = nullptr;
  /// True when callers name their calls, and only answers that echo the name
  /// belong to them.
  bool caller_assigns_call_id = false;
  /// True when answers carry outcome, target and time line headers, and
  /// requests carry the time line's.
  bool adds_diagnostic_headers = true;
  /// True when `Retry-After` may hold fractions of seconds.
  bool fractional_retry_after = false;
};

/// Returns the header_scheme of docs/interface.md.
[[nodiscard]] const HeaderScheme& DefaultHeaderScheme() noexcept;

}  // namespace kingcupshed::http
