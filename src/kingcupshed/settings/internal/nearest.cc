#include "kingcupshed/settings/internal/nearest.h"

#include <algorithm>
#include <vector>

namespace kingcupshed::settings::internal {

std::size_t EditDistance(std::string_view left, std::string_view right) {
  const std::size_t width = right.size() + 1;
  std::vector<std::size_t> distance((left.size() + 1) * width);
  const auto at = [&](std::size_t i, std::size_t j) -> std::size_t& {
    return distance[i * width + j];
  };
  for (std::size_t i = 0; i <= left.size(); ++i) {
    for (std::size_t j = 0; j <= right.size(); ++j) {
      if (i == 0 || j == 0) {
        at(i, j) = i + j;
        continue;
      }
      const std::size_t substitution = left[i - 1] == right[j - 1] ? 0 : 1;
      at(i, j) = std::min({at(i - 1, j) + 1, at(i, j - 1) + 1,
                           at(i - 1, j - 1) + substitution});
      const bool transposed = i > 1 && j > 1 && left[i - 1] == right[j - 2] &&
                              left[i - 2] == right[j - 1];
      if (transposed) {
        at(i, j) = std::min(at(i, j), at(i - 2, j - 2) + 1);
      }
    }
  }
  return distance.back();
}

std::string_view Nearest(std::string_view word,
                         std::span<const std::string_view> known) {
  const auto found = std::min_element(
      known.begin(), known.end(),
      [&](std::string_view left, std::string_view right) {
        return EditDistance(word, left) < EditDistance(word, right);
      });
  return found == known.end() ? std::string_view() : *found;
}

}  // namespace kingcupshed::settings::internal
