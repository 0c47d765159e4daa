#pragma once

#include <cstdint>
#include <string>

namespace kingcupshed::cli {

/// Why a command failed.
enum class Error : std::uint8_t {
  /// A file can't be read or is invalid.
  kBadInput,
  /// The platform is unreachable, or the table's history can't be read.
  kUnreachable,
  /// The publication was rejected.
  kRejected,
  /// The publication may or may not have reached the log.
  kOutcomeUnknown,
  /// The new version was not active on every VM in time.
  kTimeout,
};

/// Message for the operator: what failed, on what, and why.
struct ErrorMessage {
  std::string text;
};

}  // namespace kingcupshed::cli
