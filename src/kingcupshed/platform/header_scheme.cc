#include "kingcupshed/platform/header_scheme.h"

#include <array>
#include <charconv>

namespace kingcupshed::platform {

namespace {

constexpr unsigned kMisdirectedRequest = 421;
constexpr double kPercentPerUnit = 100.0;

}  // namespace

std::optional<LoadReport> ParseLoadHeader(std::string_view text) {
  std::array<std::uint32_t, 4> numbers{0, 0, 0, 100};
  std::size_t count = 0;
  const char* next = text.data();
  const char* end = text.data() + text.size();
  while (count < numbers.size()) {
    const auto parsed = std::from_chars(next, end, numbers[count]);
    if (parsed.ec != std::errc()) {
      break;
    }
    ++count;
    next = parsed.ptr;
    if (next == end || *next != ',') {
      break;
    }
    ++next;
  }
  if (count < 3) {
    return std::nullopt;
  }
  LoadReport load;
  load.in_flight = numbers[0];
  load.queued = numbers[1];
  load.slots = numbers[2];
  load.slowdown = numbers[3] / kPercentPerUnit;
  return load;
}

const http::HeaderScheme& PlatformHeaderScheme() noexcept {
  static constexpr http::HeaderScheme kScheme = [] {
    http::HeaderScheme header_scheme;
    header_scheme.call_id = "Request-Id";
    header_scheme.deadline = "Deadline-Ms";
    header_scheme.load = "Server-Load";
    header_scheme.drain = "Server-Leaving";
    header_scheme.limit = "Server-Limit";
    header_scheme.expected_instance = "Expect-Instance";
    header_scheme.instance = "Instance-Id";
    header_scheme.response_stamp = "Response-Stamp";
    header_scheme.not_run = "Not-Executed";
    header_scheme.wrong_instance_status = kMisdirectedRequest;
    header_scheme.parse_load = &ParseLoadHeader;
    header_scheme.caller_assigns_call_id = true;
    header_scheme.adds_diagnostic_headers = false;
    header_scheme.fractional_retry_after = true;
    return header_scheme;
  }();
  return kScheme;
}

}  // namespace kingcupshed::platform
