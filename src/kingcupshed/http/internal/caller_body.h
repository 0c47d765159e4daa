#pragma once

#include <span>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "kingcupshed/http/internal/message.h"

namespace kingcupshed::http {

/// Body of a caller's request. The start is buffered; the rest can be streamed
/// only once.
class CallerBody {
 public:
  CallerBody(beast::tcp_stream& caller,
             beast::flat_buffer& buffer,
             RequestParser& parser)
      : caller_(caller), buffer_(buffer), parser_(parser) {}

  /// Reads up to `kMaxBufferedBodyBytes` bytes into memory.
  /// @return False when the body is malformed or the caller disconnected.
  [[nodiscard]] asio::awaitable<bool> Buffer();

  /// Reads the next bytes after the buffered ones.
  /// @return Number of bytes; zero at the end or on an error, see `failed`.
  [[nodiscard]] asio::awaitable<std::size_t> ReadMore(std::span<char> into);

  /// Cancels a read in progress; the body then counts as failed.
  void CancelRead();

  /// Returns the buffered start of the body.
  [[nodiscard]] const std::string& buffered() const noexcept {
    return buffered_;
  }

  /// Returns true when the complete body is buffered and can be sent again.
  [[nodiscard]] bool replayable() const noexcept {
    return !streamed_ && parser_.is_done();
  }

  /// Returns true once bytes after the buffered ones were read.
  [[nodiscard]] bool streamed() const noexcept { return streamed_; }

  /// Returns true when the body is malformed or ended early.
  [[nodiscard]] bool failed() const noexcept { return failed_; }

  /// Returns true when the complete body was read from the caller.
  [[nodiscard]] bool done() const noexcept { return parser_.is_done(); }

 private:
  asio::awaitable<std::size_t> ReadSome(std::span<char> into);

  beast::tcp_stream& caller_;
  beast::flat_buffer& buffer_;
  RequestParser& parser_;
  std::string buffered_;
  bool streamed_ = false;
  bool reading_ = false;
  bool failed_ = false;
};

}  // namespace kingcupshed::http
