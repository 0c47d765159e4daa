#pragma once

#include <cstddef>
#include <span>
#include <string_view>

namespace kingcupshed::settings::internal {

/// Returns the number of single-character edits between two words; swapping
/// two neighbouring characters counts as one.
[[nodiscard]] std::size_t EditDistance(std::string_view left,
                                       std::string_view right);

/// Returns the known word nearest to a misspelt one; the first one on a tie.
[[nodiscard]] std::string_view Nearest(std::string_view word,
                                       std::span<const std::string_view> known);

}  // namespace kingcupshed::settings::internal
