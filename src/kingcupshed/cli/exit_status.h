#pragma once

namespace kingcupshed::cli {

/// Exit statuses of the program.
enum class ExitStatus : int {
  kSuccess = 0,
  /// The command was rejected or failed.
  kFailed = 1,
  /// Invalid arguments or invalid input.
  kBadInput = 2,
};

}  // namespace kingcupshed::cli
