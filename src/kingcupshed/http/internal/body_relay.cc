#include "kingcupshed/http/internal/body_relay.h"

#include <algorithm>
#include <array>

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace kingcupshed::http {

namespace {

/// Timeout for writing to a caller.
constexpr Duration kCallerWriteTimeout = std::chrono::seconds(60);

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

/// Waits until the target has sent bytes or closed the connection.
/// @return False if neither happened in time.
asio::awaitable<bool> AwaitBytes(beast::tcp_stream& target, Duration timeout) {
  using asio::experimental::awaitable_operators::operator||;
  asio::steady_timer timer(target.get_executor(), timeout);
  boost::system::error_code error;
  const auto first =
      co_await (target.socket().async_wait(
                    asio::ip::tcp::socket::wait_read,
                    asio::redirect_error(asio::use_awaitable, error)) ||
                timer.async_wait(asio::use_awaitable));
  co_return first.index() == 0;
}

}  // namespace

asio::awaitable<bool> BodyRelay::SendHead(const ResponseHead& head) {
  const beast::http::response<beast::http::empty_body> message(head);
  beast::http::response_serializer<beast::http::empty_body> serializer(message);
  boost::system::error_code error;
  caller_.expires_at(std::min(Now() + kCallerWriteTimeout, end_));
  co_await beast::http::async_write_header(
      caller_, serializer, asio::redirect_error(asio::use_awaitable, error));
  co_return !error;
}

asio::awaitable<bool> BodyRelay::SendChunk(asio::const_buffer chunk) {
  boost::system::error_code error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  caller_.expires_at(std::min(Now() + kCallerWriteTimeout, end_));
  if (chunked_) {
    co_await asio::async_write(caller_, beast::http::make_chunk(chunk), token);
  } else {
    co_await asio::async_write(caller_, asio::buffer(chunk), token);
  }
  forwarded_bytes_ += error ? 0 : chunk.size();
  co_return !error;
}

asio::awaitable<bool> BodyRelay::ForwardBuffered(const std::string& bytes) {
  co_return co_await SendChunk({bytes.data(), bytes.size()});
}

asio::awaitable<RelayResult> BodyRelay::Forward(beast::tcp_stream& target,
                                                beast::flat_buffer& buffer,
                                                ResponseParser& response,
                                                Duration idle_timeout) {
  std::array<char, kChunkBytes> chunk;
  boost::system::error_code error;
  while (!response.is_done()) {
    response.get().body().data = chunk.data();
    response.get().body().size = chunk.size();
    if (Now() >= end_) {
      co_return RelayResult::kTargetFailed;
    }
    const bool readable =
        buffer.size() > 0 ||
        co_await AwaitBytes(target, std::min(idle_timeout, end_ - Now()));
    if (!readable) {
      co_return Now() >= end_ ? RelayResult::kTargetFailed
                              : RelayResult::kTargetSilent;
    }
    target.expires_at(std::min(Now() + idle_timeout, end_));
    co_await beast::http::async_read_some(
        target, buffer, response,
        asio::redirect_error(asio::use_awaitable, error));
    if (error && error != beast::http::error::need_buffer) {
      co_return RelayResult::kTargetFailed;
    }
    const std::size_t size = chunk.size() - response.get().body().size;
    if (size == 0) {
      continue;
    }
    copy_.append(chunk.data(), std::min(size, copy_limit_ - copy_.size()));
    if (!co_await SendChunk({chunk.data(), size})) {
      co_return RelayResult::kCallerFailed;
    }
  }
  target.expires_never();
  if (chunked_) {
    co_await asio::async_write(
        caller_, beast::http::make_chunk_last(),
        asio::redirect_error(asio::use_awaitable, error));
  }
  caller_.expires_never();
  co_return error&& error != beast::http::error::need_buffer
      ? RelayResult::kCallerFailed
      : RelayResult::kComplete;
}

}  // namespace kingcupshed::http
