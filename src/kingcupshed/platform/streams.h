#pragma once

#include <string_view>

namespace kingcupshed::platform {

/// Stream of the operators' table.
inline constexpr std::string_view kTableStream = "table";

}  // namespace kingcupshed::platform
