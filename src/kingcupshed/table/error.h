#pragma once

#include <cstdint>

namespace kingcupshed::table {

/// Why a record of the table's stream can't be used.
enum class Error : std::uint8_t {
  /// The payload is not a JSON object.
  kNotJson,
  /// The payload is neither a publication nor a checkpoint.
  kUnknownKind,
  /// A member is missing or of the wrong type.
  kBadMember,
};

}  // namespace kingcupshed::table
