#include "kingcupshed/platform/header_scheme.h"

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

const http::HeaderScheme& PlatformHeaderScheme() noexcept {
  static constexpr http::HeaderScheme kPlatform = [] {
    http::HeaderScheme header_scheme;
    header_scheme.call_id = "Request-Id";
    header_scheme.deadline = "Deadline-Ms";
    header_scheme.load = "Server-Load";
    header_scheme.expected_instance = "Expect-Instance";
    header_scheme.instance = "Instance-Id";
    header_scheme.response_stamp = "Response-Stamp";
    header_scheme.not_run = "Not-Executed";
    header_scheme.wrong_instance_status = kMisdirected;
    header_scheme.parse_load = &ParseLoadFigures;
    header_scheme.caller_assigns_call_id = true;
    header_scheme.adds_diagnostic_headers = false;
    header_scheme.fractional_retry_after = true;
    return header_scheme;
  }();
  return kPlatform;
}

}  // namespace kingcupshed::platform
