#pragma once

#include <span>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "kingcupshed/http/internal/message.h"

namespace kingcupshed::http {

/// Body of a caller's request: the start is held, the rest is streamed once.
class CallerBody {
 public:
  CallerBody(beast::tcp_stream& caller,
             beast::flat_buffer& buffer,
             RequestParser& parser)
      : caller_(caller), buffer_(buffer), parser_(parser) {}

  /// Reads up to `kMaxHeldBody` bytes into memory.
  /// @return False when the body is malformed or the caller is gone.
  [[nodiscard]] asio::awaitable<bool> Hold();

  /// Reads the next bytes beyond those held.
  /// @return Number of bytes; zero at the end or on a fault, see `failed`.
  [[nodiscard]] asio::awaitable<std::size_t> ReadMore(std::span<char> into);

  /// Ends a read under way; the body then counts as failed.
  void CancelRead();

  /// Returns the bytes held.
  [[nodiscard]] const std::string& held() const noexcept { return held_; }

  /// Returns true when the whole body is held and can be sent again.
  [[nodiscard]] bool replayable() const noexcept {
    return !streamed_ && parser_.is_done();
  }

  /// Returns true once bytes beyond those held were read.
  [[nodiscard]] bool streamed() const noexcept { return streamed_; }

  /// Returns true when the body broke off or is malformed.
  [[nodiscard]] bool failed() const noexcept { return failed_; }

  /// Returns true when the whole body was read from the caller.
  [[nodiscard]] bool done() const noexcept { return parser_.is_done(); }

 private:
  asio::awaitable<std::size_t> ReadSome(std::span<char> into);

  beast::tcp_stream& caller_;
  beast::flat_buffer& buffer_;
  RequestParser& parser_;
  std::string held_;
  bool streamed_ = false;
  bool reading_ = false;
  bool failed_ = false;
};

}  // namespace kingcupshed::http
