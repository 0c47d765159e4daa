#include "kingcupshed/http/internal/response_check.h"

#include <algorithm>
#include <string>

namespace kingcupshed::http {

namespace {

constexpr unsigned kMinNonSuccessStatus = 300;
/// Bound on `Retry-After`, so that it fits into a duration.
constexpr double kMaxRetryAfterS = 3600.0;

}  // namespace

bool IsForOtherCall(const ResponseHead& head,
                    const HeaderScheme& header_scheme,
                    std::string_view call) {
  const std::string_view echo = GetField(head, header_scheme.call_id);
  return header_scheme.caller_assigns_call_id && !echo.empty() && echo != call;
}

bool IsValidResponse(const ResponseParser& response,
                     const HeaderScheme& header_scheme,
                     std::string_view call) {
  const auto& head = response.get();
  const std::string_view echo = GetField(head, header_scheme.call_id);
  const bool named = !echo.empty() || !header_scheme.caller_assigns_call_id;
  if (!named || (!echo.empty() && echo != call)) {
    return false;
  }
  if (header_scheme.response_stamp.empty()) {
    return response.is_done() || !response.need_eof();
  }
  const bool success = head.result_int() < kMinNonSuccessStatus;
  const bool encoded = head.count(beast::http::field::content_encoding) > 0;
  return !encoded &&
         (!success || !GetField(head, header_scheme.response_stamp).empty());
}

bool IsFromWrongInstance(const ResponseHead& head,
                         const HeaderScheme& header_scheme) {
  const unsigned status = header_scheme.wrong_instance_status;
  return status != 0 && head.result_int() == status;
}

bool ReportsNotRun(const ResponseHead& head,
                   const HeaderScheme& header_scheme) {
  if (IsFromWrongInstance(head, header_scheme)) {
    return true;
  }
  const std::string_view word = GetField(head, header_scheme.not_run);
  return header_scheme.not_run_value.empty()
             ? !word.empty()
             : word == header_scheme.not_run_value;
}

dispatch::TargetNotice ParseNotice(const ResponseHead& head,
                                   const HeaderScheme& header_scheme) {
  dispatch::TargetNotice notice;
  if (IsFromWrongInstance(head, header_scheme)) {
    return notice;
  }
  notice.known = true;
  if (!header_scheme.limit.empty()) {
    notice.calls_per_s = ParseDecimal(GetField(head, header_scheme.limit));
  }
  if (head.result() == beast::http::status::service_unavailable) {
    const auto seconds = ParseDecimal(
        GetField(head, to_string(beast::http::field::retry_after)));
    if (seconds) {
      notice.retry_after = FromSeconds(std::min(*seconds, kMaxRetryAfterS));
    }
  }
  return notice;
}

std::optional<Duration> ParseKeepAlive(const ResponseHead& head) {
  constexpr std::string_view kTimeout = "timeout=";
  const std::string_view field =
      GetField(head, to_string(beast::http::field::keep_alive));
  const std::size_t at = field.find(kTimeout);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view rest = field.substr(at + kTimeout.size());
  const auto seconds = ParseNumber(rest.substr(0, rest.find_first_of(", ")));
  if (!seconds) {
    return std::nullopt;
  }
  return std::chrono::seconds(*seconds);
}

}  // namespace kingcupshed::http
