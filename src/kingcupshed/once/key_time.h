#pragma once

#include <optional>
#include <string_view>

#include "kingcupshed/core/time.h"

namespace kingcupshed::once {

/// Returns the creation time that a version 7 UUID contains.
/// @return Nothing for a key of any other form.
[[nodiscard]] std::optional<WallTime> ParseKeyTime(std::string_view key);

/// Whether a key may still be claimed.
enum class KeyAge : unsigned char { kValid, kExpired, kFromFuture };

/// Compares the creation time of a key with the key lifetime. Keys without a
/// creation time are valid.
[[nodiscard]] KeyAge CheckKeyAge(std::string_view key,
                                 WallTime now,
                                 Duration lifetime);

}  // namespace kingcupshed::once
