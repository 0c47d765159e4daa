#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace kingcupshed::settings::internal {

/// Returns the JSON path of each key that stands twice in one object; the
/// usual parser keeps the last of them silently. Stops at a syntax error.
[[nodiscard]] std::vector<std::string> FindDuplicateKeys(std::string_view json);

}  // namespace kingcupshed::settings::internal
