#include "kingcupshed/http/internal/response_head.h"

namespace kingcupshed::http {

namespace {

constexpr unsigned kFirstStatus = 100;
constexpr unsigned kLastStatus = 599;

/// Returns whether a response to a request without `Upgrade` can have a status.
bool IsStatus(unsigned code) {
  constexpr unsigned kSwitchingProtocols = 101;
  return code >= kFirstStatus && code <= kLastStatus &&
         code != kSwitchingProtocols;
}

}  // namespace

boost::system::error_code CheckHead(const ResponseHead& head) {
  using beast::http::error;
  using beast::http::field;
  if (!IsStatus(head.result_int())) {
    return error::bad_status;
  }
  const std::size_t lengths = head.count(field::content_length);
  if (lengths > 1 ||
      (lengths > 0 && head.count(field::transfer_encoding) > 0)) {
    return error::bad_content_length;
  }
  return {};
}

}  // namespace kingcupshed::http
