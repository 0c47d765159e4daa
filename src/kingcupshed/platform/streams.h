#pragma once

#include <string_view>

namespace kingcupshed::platform {

/// Stream in which operators publish the table.
inline constexpr std::string_view kTableStream = "table";

}  // namespace kingcupshed::platform
