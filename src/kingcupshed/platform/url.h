#pragma once

#include <string>
#include <string_view>

namespace kingcupshed::platform {

/// Escapes a value for a URL's query (RFC 3986, 2.3).
[[nodiscard]] std::string EscapeQueryValue(std::string_view value);

}  // namespace kingcupshed::platform
