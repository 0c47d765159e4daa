#pragma once

#include <optional>
#include <string>

namespace kingcupshed::cli {

/// Reads a whole file, or nothing when it can't be read.
[[nodiscard]] std::optional<std::string> ReadFile(const std::string& path);

}  // namespace kingcupshed::cli
