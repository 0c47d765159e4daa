#pragma once

#include <optional>
#include <string_view>

#include "kingcupshed/core/load_report.h"

namespace kingcupshed::http {

/// Names and meaning of the headers that callers, VMs and targets exchange. A
/// header whose name is empty is not used.
struct HeaderScheme {
  /// Id of the call; targets echo it.
  std::string_view call_id;
  /// Time until the sender stops waiting, in whole milliseconds.
  std::string_view deadline;
  /// Load of a target, in its responses.
  std::string_view load;
  /// Present in the responses of a target that is draining.
  std::string_view drain;
  /// Calls per second that a target takes from all VMs together, a decimal
  /// number; present while the target limits them.
  std::string_view limit;
  /// Instance that the request is addressed to; other instances refuse it.
  std::string_view expected_instance;
  /// Instance that responded to a health check.
  std::string_view instance;
  /// Stamp that proves that the target itself produced the response; present in
  /// every successful response.
  std::string_view response_stamp;
  /// Present when the work was not run.
  std::string_view not_run;
  /// Value of the `not_run` header which means that the work was not run; when
  /// empty, every value does.
  std::string_view not_run_value;
  /// Status of a response from an instance that the request was not addressed
  /// to; zero when there is none.
  unsigned wrong_instance_status = 0;
  /// Parses the value of the load header.
  std::optional<LoadReport> (*parse_load)(std::string_view text) = nullptr;
  /// True when callers assign the call id. A response belongs to a call only if
  /// it echoes the id.
  bool caller_assigns_call_id = false;
  /// True when responses get headers for outcome, target and timeline, and
  /// requests get the timeline headers.
  bool adds_diagnostic_headers = true;
  /// True when `Retry-After` may hold fractions of seconds.
  bool fractional_retry_after = false;
};

/// Returns the header scheme that docs/interface.md describes.
[[nodiscard]] const HeaderScheme& DefaultHeaderScheme() noexcept;

}  // namespace kingcupshed::http
