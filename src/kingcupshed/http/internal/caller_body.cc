#include "kingcupshed/http/internal/caller_body.h"

#include <array>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "kingcupshed/core/time.h"

namespace kingcupshed::http {

namespace {

/// Timeout for the next bytes of the body from the caller.
constexpr Duration kBodyIdleTimeout = std::chrono::seconds(30);

}  // namespace

asio::awaitable<bool> CallerBody::Buffer() {
  std::array<char, kChunkBytes> chunk;
  while (!parser_.is_done() &&
         buffered_.size() + kChunkBytes <= kMaxBufferedBodyBytes) {
    const std::size_t size = co_await ReadSome(chunk);
    if (failed_) {
      co_return false;
    }
    buffered_.append(chunk.data(), size);
  }
  co_return true;
}

asio::awaitable<std::size_t> CallerBody::ReadMore(std::span<char> into) {
  streamed_ = true;
  co_return co_await ReadSome(into);
}

void CallerBody::CancelRead() {
  if (reading_) {
    caller_.cancel();
  }
}

asio::awaitable<std::size_t> CallerBody::ReadSome(std::span<char> into) {
  std::size_t size = 0;
  while (size == 0 && !parser_.is_done() && !failed_) {
    parser_.get().body().data = into.data();
    parser_.get().body().size = into.size();
    caller_.expires_after(kBodyIdleTimeout);
    reading_ = true;
    boost::system::error_code error;
    co_await beast::http::async_read_some(
        caller_, buffer_, parser_,
        asio::redirect_error(asio::use_awaitable, error));
    reading_ = false;
    caller_.expires_never();
    failed_ = error && error != beast::http::error::need_buffer;
    size = into.size() - parser_.get().body().size;
  }
  co_return size;
}

}  // namespace kingcupshed::http
