#pragma once

#include <cstdint>

namespace kingcupshed::table {

/// Why the payload of a record of the table stream is invalid.
enum class Error : std::uint8_t {
  /// The payload is not a JSON object.
  kNotJson,
  /// The payload is neither a publication nor a checkpoint.
  kUnknownType,
  /// A member is missing or of the wrong type.
  kInvalidMember,
};

}  // namespace kingcupshed::table
