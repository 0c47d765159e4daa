#include "kingcupshed/platform/dialect.h"

#include <array>
#include <charconv>

namespace kingcupshed::platform {

namespace {

constexpr unsigned kMisdirected = 421;
constexpr double kPercent = 100.0;

}  // namespace

std::optional<LoadReport> ParseLoadFigures(std::string_view text) {
  std::array<std::uint32_t, 4> figures{0, 0, 0, 100};
  std::size_t count = 0;
  const char* at = text.data();
  const char* end = text.data() + text.size();
  while (count < figures.size()) {
    const auto read = std::from_chars(at, end, figures[count]);
    if (read.ec != std::errc()) {
      break;
    }
    ++count;
    at = read.ptr;
    if (at == end || *at != ',') {
      break;
    }
    ++at;
  }
  if (count < 3) {
    return std::nullopt;
  }
  LoadReport load;
  load.in_flight = figures[0];
  load.queued = figures[1];
  load.slots = figures[2];
  load.slowdown = figures[3] / kPercent;
  return load;
}

const http::Dialect& PlatformDialect() noexcept {
  static constexpr http::Dialect kPlatform = [] {
    http::Dialect dialect;
    dialect.call = "Request-Id";
    dialect.deadline = "Deadline-Ms";
    dialect.load = "Server-Load";
    dialect.expected_instance = "Expect-Instance";
    dialect.instance = "Instance-Id";
    dialect.digest = "Response-Stamp";
    dialect.not_run = "Not-Executed";
    dialect.wrong_instance_code = kMisdirected;
    dialect.parse_load = &ParseLoadFigures;
    dialect.callers_name_calls = true;
    dialect.annotates = false;
    dialect.fractional_retry_after = true;
    return dialect;
  }();
  return kPlatform;
}

}  // namespace kingcupshed::platform
