#include "kingcupshed/platform/url.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

namespace kingcupshed::platform {

namespace {

/// Escapes all characters but those that may stay.
template <typename MayStay>
std::string Escape(std::string_view text, MayStay may_stay) {
  std::string escaped;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (may_stay(byte)) {
      escaped += c;
    } else {
      absl::StrAppend(&escaped, "%", absl::Hex(byte, absl::kZeroPad2));
    }
  }
  return escaped;
}

}  // namespace

std::string EscapeQueryValue(std::string_view value) {
  constexpr std::string_view kUnreservedMarks = "-._~";
  return Escape(value, [&](unsigned char byte) {
    return absl::ascii_isalnum(byte) ||
           kUnreservedMarks.find(static_cast<char>(byte)) !=
               std::string_view::npos;
  });
}

std::string EscapePath(std::string_view path) {
  return Escape(path, [](unsigned char byte) {
    return absl::ascii_isgraph(byte) && byte != '#';
  });
}

}  // namespace kingcupshed::platform
