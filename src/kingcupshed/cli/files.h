#pragma once

#include <optional>
#include <string>

namespace kingcupshed::cli {

/// Returns the content of a file, or nothing when it can't be opened.
[[nodiscard]] std::optional<std::string> ReadFile(const std::string& path);

}  // namespace kingcupshed::cli
