#pragma once

namespace kingcupshed::cli {

/// Exit statuses of the program.
enum class ExitStatus : int {
  kSuccess = 0,
  /// Refused or failed.
  kFailed = 1,
  /// Bad usage or bad input.
  kBadInput = 2,
};

}  // namespace kingcupshed::cli
