#pragma once

#include <cstdint>

namespace kingcupshed::platform {

/// Why an answer of the platform can't be used.
enum class Error : std::uint8_t {
  /// No answer came.
  kNotAnswered,
  /// The status is not 200.
  kRefused,
  /// The body is not JSON.
  kNotJson,
  /// A member is missing or of the wrong type.
  kBadMember,
};

}  // namespace kingcupshed::platform
