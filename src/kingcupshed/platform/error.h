#pragma once

#include <cstdint>

namespace kingcupshed::platform {

/// Why a response of the platform can't be used.
enum class Error : std::uint8_t {
  /// No complete and successful response arrived.
  kNoResponse,
  /// The status code is not 200.
  kRefused,
  /// The body is not a JSON object.
  kNotJson,
  /// A required member is missing or has the wrong type.
  kBadMember,
};

}  // namespace kingcupshed::platform
