#pragma once

#include <cstddef>
#include <span>
#include <string_view>

namespace kingcupshed::settings::internal {

/// Returns the edit distance between two words, with the transposition of
/// adjacent characters as one edit (optimal string alignment).
[[nodiscard]] std::size_t EditDistance(std::string_view left,
                                       std::string_view right);

/// Returns the known word with the smallest edit distance to a misspelt one;
/// the first on a tie, and an empty string when no word is known.
[[nodiscard]] std::string_view Nearest(std::string_view word,
                                       std::span<const std::string_view> known);

}  // namespace kingcupshed::settings::internal
