#pragma once

#include <optional>
#include <string_view>

#include "kingcupshed/core/time.h"

namespace kingcupshed::once {

/// Returns when a key was made, which a UUID of version 7 tells.
/// @return Nothing for a key of any other form.
[[nodiscard]] std::optional<WallTime> FindKeyTime(std::string_view key);

/// Whether a key may still be claimed.
enum class KeyAge : unsigned char { kValid, kExpired, kFromFuture };

/// Checks the time in a key against its lifetime; keys without one are valid.
[[nodiscard]] KeyAge CheckKeyAge(std::string_view key,
                                 WallTime now,
                                 Duration lifetime);

}  // namespace kingcupshed::once
