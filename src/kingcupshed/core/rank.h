#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace kingcupshed {

/// Urgency of work; lower values are served first.
enum class Rank : std::uint8_t { kUrgent = 1, kStandard = 2, kBulk = 3 };

/// All ranks, most urgent first.
inline constexpr std::array<Rank, 3> kRanks{Rank::kUrgent, Rank::kStandard,
                                            Rank::kBulk};
inline constexpr std::size_t kRankCount = kRanks.size();

/// Returns the index of a rank in arrays with one element per rank.
[[nodiscard]] constexpr std::size_t RankIndex(Rank rank) noexcept {
  return static_cast<std::size_t>(rank) - 1;
}

}  // namespace kingcupshed
