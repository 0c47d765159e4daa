#include "kingcupshed/once/key_time.h"

#include <charconv>
#include <chrono>
#include <cstdint>
#include <string>

namespace kingcupshed::once {

namespace {

constexpr std::size_t kUuidLength = 36;
constexpr std::size_t kVersionIndex = 14;
constexpr int kHexBase = 16;
/// Maximum accepted lead of the clocks of callers.
constexpr Duration kMaxClockLead = std::chrono::minutes(5);

bool IsUuid(std::string_view key) noexcept {
  if (key.size() != kUuidLength) {
    return false;
  }
  for (std::size_t i = 0; i < key.size(); ++i) {
    const bool dash = i == 8 || i == 13 || i == 18 || i == 23;
    const bool hex = std::string_view("0123456789abcdefABCDEF").find(key[i]) !=
                     std::string_view::npos;
    if (dash ? key[i] != '-' : !hex) {
      return false;
    }
  }
  return true;
}

}  // namespace

std::optional<WallTime> ParseKeyTime(std::string_view key) {
  if (!IsUuid(key) || key[kVersionIndex] != '7') {
    return std::nullopt;
  }
  std::string digits(key.substr(0, 8));
  digits += key.substr(9, 4);
  std::uint64_t unix_ms = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), unix_ms,
                  kHexBase);
  return WallTime(
      std::chrono::milliseconds(static_cast<std::int64_t>(unix_ms)));
}

KeyAge CheckKeyAge(std::string_view key, WallTime now, Duration lifetime) {
  const auto created = ParseKeyTime(key);
  if (!created) {
    return KeyAge::kValid;
  }
  if (now - *created > lifetime) {
    return KeyAge::kExpired;
  }
  return *created - now > kMaxClockLead ? KeyAge::kFromFuture : KeyAge::kValid;
}

}  // namespace kingcupshed::once
