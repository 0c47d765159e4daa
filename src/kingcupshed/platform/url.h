#pragma once

#include <string>
#include <string_view>

namespace kingcupshed::platform {

/// Escapes a value for a URL's query (RFC 3986, 2.3).
[[nodiscard]] std::string EscapeQueryValue(std::string_view value);

/// Escapes what can't stand in the path and query of a request: blanks, control
/// bytes, bytes beyond ASCII and `#`. Escapes that are there already stay.
[[nodiscard]] std::string EscapePath(std::string_view path);

}  // namespace kingcupshed::platform
