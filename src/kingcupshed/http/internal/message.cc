#include "kingcupshed/http/internal/message.h"

#include <charconv>
#include <cmath>
#include <vector>

namespace kingcupshed::http {

void RemoveHopByHopFields(beast::http::fields& fields) {
  std::vector<std::string> named;
  for (const auto token :
       beast::http::token_list(fields[beast::http::field::connection])) {
    named.emplace_back(token);
  }
  for (const std::string& name : named) {
    fields.erase(name);
  }
  for (const std::string_view name :
       {"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
        "Proxy-Authorization", "TE", "Trailer", "Upgrade", "Expect",
        "Transfer-Encoding", "Content-Length"}) {
    fields.erase(name);
  }
}

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, number);
  if (text.empty() || read.ec != std::errc() || read.ptr != end) {
    return std::nullopt;
  }
  return number;
}

std::optional<double> ParseDecimal(std::string_view text) {
  double number = 0.0;
  const char* end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, number);
  if (text.empty() || read.ec != std::errc() || read.ptr != end ||
      !std::isfinite(number) || number < 0.0) {
    return std::nullopt;
  }
  return number;
}

std::optional<LoadReport> ParseLoad(std::string_view text) {
  LoadReport load;
  const auto read = [&](std::string_view name, std::uint32_t& value) {
    const std::size_t at = text.find(name);
    if (at == std::string_view::npos) {
      return false;
    }
    const char* start = text.data() + at + name.size();
    return std::from_chars(start, text.data() + text.size(), value).ec ==
           std::errc();
  };
  if (!read("in_flight=", load.in_flight) || !read("queued=", load.queued)) {
    return std::nullopt;
  }
  read("slots=", load.slots);
  return load;
}

std::optional<ContentRange> ParseContentRange(std::string_view text) {
  constexpr std::string_view kUnit = "bytes ";
  const std::size_t dash = text.find('-');
  const std::size_t slash = text.find('/');
  if (text.substr(0, kUnit.size()) != kUnit || dash > slash ||
      slash == std::string_view::npos) {
    return std::nullopt;
  }
  const auto first =
      ParseNumber(text.substr(kUnit.size(), dash - kUnit.size()));
  const auto last = ParseNumber(text.substr(dash + 1, slash - dash - 1));
  const auto total = ParseNumber(text.substr(slash + 1));
  if (!first || !last || !total) {
    return std::nullopt;
  }
  return ContentRange{*first, *last, *total};
}

bool IsStrongEntityTag(std::string_view tag) noexcept {
  return tag.size() > 2 && tag.front() == '"' && tag.back() == '"';
}

}  // namespace kingcupshed::http
