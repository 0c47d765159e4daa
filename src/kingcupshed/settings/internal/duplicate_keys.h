#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace kingcupshed::settings::internal {

/// Returns the JSON path of each key that occurs more than once in an object;
/// the DOM parser would silently keep the last occurrence. Stops at a syntax
/// error.
[[nodiscard]] std::vector<std::string> FindDuplicateKeys(std::string_view json);

}  // namespace kingcupshed::settings::internal
