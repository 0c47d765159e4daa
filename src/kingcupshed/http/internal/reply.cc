#include "kingcupshed/http/internal/reply.h"

#include <cmath>
#include <string>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "kingcupshed/http/headers.h"

namespace kingcupshed::http {

namespace {

constexpr Duration kWriteTimeout = std::chrono::seconds(30);

/// Renders a time for `Retry-After`, rounded up.
std::string RetryAfterText(Duration wait, bool fractional) {
  if (!fractional) {
    const double seconds = std::ceil(ToSeconds(wait));
    return std::to_string(static_cast<std::int64_t>(seconds));
  }
  const auto ms = static_cast<std::int64_t>(std::ceil(ToMilliseconds(wait)));
  std::string digits = std::to_string(ms % 1000);
  digits.insert(0, 3 - digits.size(), '0');
  return std::to_string(ms / 1000) + "." + digits;
}

using TextResponse = beast::http::response<beast::http::string_body>;

asio::awaitable<bool> Send(beast::tcp_stream& caller, TextResponse response) {
  response.prepare_payload();
  caller.expires_after(kWriteTimeout);
  boost::system::error_code error;
  co_await beast::http::async_write(
      caller, response, asio::redirect_error(asio::use_awaitable, error));
  caller.expires_never();
  co_return !error && response.keep_alive();
}

}  // namespace

asio::awaitable<bool> SendRefusal(beast::tcp_stream& caller,
                                  Refusal refusal,
                                  const HeaderScheme& header_scheme,
                                  bool keep) {
  TextResponse response(beast::http::int_to_status(refusal.code), 11);
  response.set(beast::http::field::content_type, "text/plain");
  if (header_scheme.adds_diagnostic_headers) {
    response.set(kOutcomeHeader, OutcomeName(refusal.outcome));
    response.set(kReasonHeader, refusal.reason);
  }
  if (refusal.retry_after > Duration::zero() &&
      refusal.outcome == Outcome::kNotRun) {
    response.set(beast::http::field::retry_after,
                 RetryAfterText(refusal.retry_after,
                                header_scheme.fractional_retry_after));
  }
  response.keep_alive(keep);
  response.body() = std::string(refusal.text) + "\n";
  co_return co_await Send(caller, std::move(response));
}

asio::awaitable<bool> SendPage(beast::tcp_stream& caller,
                               PageResponse page,
                               bool keep) {
  TextResponse response(beast::http::int_to_status(page.code), 11);
  response.set(beast::http::field::content_type, page.content_type);
  response.keep_alive(keep);
  response.body() = std::move(page.body);
  co_return co_await Send(caller, std::move(response));
}

}  // namespace kingcupshed::http
