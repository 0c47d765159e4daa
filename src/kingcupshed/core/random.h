#pragma once

#include <cstdint>
#include <random>

namespace kingcupshed {

/// Seeded random number generator with the same sequence on every platform.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  /// Returns a random integer from zero to `count` - 1.
  /// @param count At least one.
  [[nodiscard]] std::uint64_t Below(std::uint64_t count) {
    return engine_() % count;
  }

  /// Returns a random number in [0, 1).
  [[nodiscard]] double Unit() {
    // 2^-53, for the 53 bits that a double holds exactly.
    constexpr double kScale = 1.0 / 9007199254740992.0;
    return static_cast<double>(engine_() >> 11U) * kScale;
  }

 private:
  std::mt19937_64 engine_;
};

}  // namespace kingcupshed
