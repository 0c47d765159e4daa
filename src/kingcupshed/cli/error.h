#pragma once

#include <cstdint>
#include <string>

namespace kingcupshed::cli {

/// Why a command failed.
enum class Error : std::uint8_t {
  /// A file can't be read or has faults.
  kBadInput,
  /// The platform can't be reached.
  kUnreachable,
  /// The publication was refused, or never reached the log.
  kRefused,
  /// The publication may or may not be on the log.
  kOutcomeUnknown,
  /// Not every VM got there in time.
  kTimeout,
};

/// One line that tells the operator where and why.
struct Explanation {
  std::string line;
};

}  // namespace kingcupshed::cli
