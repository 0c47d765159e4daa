#pragma once

#include <cstdint>
#include <random>

namespace kingcupshed {

/// Seeded source of random numbers, the same on every platform.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  /// Returns an integer below `count`, which is at least one.
  [[nodiscard]] std::uint64_t Below(std::uint64_t count) {
    return engine_() % count;
  }

  /// Returns a number of at least zero and below one.
  [[nodiscard]] double Unit() {
    constexpr double kScale = 1.0 / 9007199254740992.0;
    return static_cast<double>(engine_() >> 11U) * kScale;
  }

 private:
  std::mt19937_64 engine_;
};

}  // namespace kingcupshed
