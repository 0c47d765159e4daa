#include "kingcupshed/http/fetch.h"

#include <algorithm>
#include <utility>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "kingcupshed/http/address.h"
#include "kingcupshed/http/internal/message.h"
#include "kingcupshed/http/internal/response_head.h"

namespace kingcupshed::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;

beast::http::request<beast::http::string_body> ToMessage(
    const FetchRequest& request) {
  beast::http::request<beast::http::string_body> message;
  message.method_string(request.method);
  message.target(request.path);
  message.set(beast::http::field::host, request.address);
  for (const auto& [name, value] : request.headers) {
    message.set(name, value);
  }
  message.body() = request.body;
  message.keep_alive(false);
  message.prepare_payload();
  return message;
}

/// Opens the socket and binds it to the local address of the request, if any.
bool BindSource(beast::tcp_stream& stream, const std::string& source) {
  if (source.empty()) {
    return true;
  }
  boost::system::error_code error;
  const auto address = asio::ip::make_address(source, error);
  if (error) {
    return false;
  }
  const asio::ip::tcp::endpoint local(address, 0);
  auto& socket = stream.socket();
  socket.open(local.protocol(), error);
  if (!error) {
    socket.bind(local, error);
  }
  return !error;
}

/// Enables keep-alive probes that detect a dead connection within three
/// seconds.
void EnableKeepAlive(asio::ip::tcp::socket& socket) {
  using Idle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
  using Interval =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
  using Count = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
  using UserTimeout =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  constexpr int kUserTimeoutMs = 2000;
  boost::system::error_code ignored;
  socket.set_option(UserTimeout(kUserTimeoutMs), ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  socket.set_option(Idle(1), ignored);
  socket.set_option(Interval(1), ignored);
  socket.set_option(Count(2), ignored);
}

}  // namespace

asio::awaitable<FetchResult> Fetch(FetchRequest request) {
  FetchResult result;
  const auto endpoint = ParseAddress(request.address);
  if (!endpoint) {
    co_return result;
  }
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  const TimePoint deadline = std::chrono::steady_clock::now() + request.timeout;
  stream.expires_after(std::min(request.timeout, request.connect_timeout));
  boost::system::error_code error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  if (!BindSource(stream, request.source)) {
    co_return result;
  }
  co_await stream.async_connect(*endpoint, token);
  if (error) {
    co_return result;
  }
  stream.expires_at(deadline);
  if (request.keep_alive_probes) {
    EnableKeepAlive(stream.socket());
  }
  result.status = FetchStatus::kNoResponse;
  const auto message = ToMessage(request);
  co_await beast::http::async_write(stream, message, token);
  if (error) {
    co_return result;
  }
  beast::flat_buffer buffer(kMaxReadBufferBytes);
  beast::http::response_parser<beast::http::string_body> parser;
  parser.body_limit(request.max_response_body);
  error = co_await ReadResponseHead(stream, buffer, parser);
  if (error || parser.get().result_int() < kMinFinalStatus) {
    co_return result;
  }
  co_await beast::http::async_read(stream, buffer, parser, token);
  if (error) {
    co_return result;
  }
  result.status = FetchStatus::kCompleted;
  result.code = parser.get().result_int();
  result.etag = std::string(parser.get()[beast::http::field::etag]);
  result.body = std::move(parser.get().body());
  co_return result;
}

}  // namespace kingcupshed::http
