#include "kingcupshed/http/internal/relay.h"

#include <algorithm>
#include <array>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace kingcupshed::http {

namespace {

/// A caller that takes no byte for this long is given up.
constexpr Duration kCallerStall = std::chrono::seconds(60);

}  // namespace

asio::awaitable<bool> Relay::SendHead(const ResponseHead& head) {
  const beast::http::response<beast::http::empty_body> message(head);
  beast::http::response_serializer<beast::http::empty_body> serializer(message);
  boost::system::error_code error;
  caller_.expires_after(kCallerStall);
  co_await beast::http::async_write_header(
      caller_, serializer, asio::redirect_error(asio::use_awaitable, error));
  co_return !error;
}

asio::awaitable<bool> Relay::SendPiece(asio::const_buffer piece) {
  boost::system::error_code error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  caller_.expires_after(kCallerStall);
  if (chunked_) {
    co_await asio::async_write(caller_, beast::http::make_chunk(piece), token);
  } else {
    co_await asio::async_write(caller_, asio::buffer(piece), token);
  }
  passed_ += error ? 0 : piece.size();
  co_return !error;
}

asio::awaitable<bool> Relay::PassHeld(const std::string& bytes) {
  co_return co_await SendPiece({bytes.data(), bytes.size()});
}

asio::awaitable<RelayEnd> Relay::Pass(beast::tcp_stream& target,
                                      beast::flat_buffer& buffer,
                                      ResponseParser& response,
                                      Duration stall) {
  std::array<char, kChunkSize> chunk;
  boost::system::error_code error;
  while (!response.is_done()) {
    response.get().body().data = chunk.data();
    response.get().body().size = chunk.size();
    target.expires_after(stall);
    co_await beast::http::async_read_some(
        target, buffer, response,
        asio::redirect_error(asio::use_awaitable, error));
    if (error && error != beast::http::error::need_buffer) {
      co_return RelayEnd::kTargetLost;
    }
    const std::size_t size = chunk.size() - response.get().body().size;
    if (size == 0) {
      continue;
    }
    kept_.append(chunk.data(), std::min(size, keep_ - kept_.size()));
    if (!co_await SendPiece({chunk.data(), size})) {
      co_return RelayEnd::kCallerLost;
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
      ? RelayEnd::kCallerLost
      : RelayEnd::kWhole;
}

}  // namespace kingcupshed::http
