#pragma once

#include <cstdint>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "kingcupshed/core/time.h"
#include "kingcupshed/http/internal/message.h"

namespace kingcupshed::http {

/// How the forwarding of a body ended.
enum class RelayResult : std::uint8_t {
  kComplete,
  /// The target's response ended early or is malformed, or time ran out.
  kTargetFailed,
  /// No bytes came within the idle timeout. The connection is still open, and
  /// forwarding can continue.
  kTargetSilent,
  kCallerFailed,
};

/// Forwards a long response body to the caller chunk by chunk, with
/// backpressure.
class BodyRelay {
 public:
  /// @param copy_limit Maximum number of leading body bytes to keep a copy of.
  /// @param end When the forwarding ends, complete or not.
  BodyRelay(beast::tcp_stream& caller,
            bool chunked,
            std::size_t copy_limit,
            TimePoint end)
      : caller_(caller),
        chunked_(chunked),
        copy_limit_(copy_limit),
        end_(end) {}

  /// Sends the response head to the caller.
  [[nodiscard]] asio::awaitable<bool> SendHead(const ResponseHead& head);

  /// Forwards the rest of a response body.
  /// @param idle_timeout Timeout for the next bytes from the target.
  [[nodiscard]] asio::awaitable<RelayResult> Forward(beast::tcp_stream& target,
                                                     beast::flat_buffer& buffer,
                                                     ResponseParser& response,
                                                     Duration idle_timeout);

  /// Forwards bytes that were read before.
  /// @return False when the connection to the caller failed.
  [[nodiscard]] asio::awaitable<bool> ForwardBuffered(const std::string& bytes);

  /// Returns the number of body bytes sent to the caller.
  [[nodiscard]] std::uint64_t forwarded_bytes() const noexcept {
    return forwarded_bytes_;
  }

  /// Returns the copy of the start of the body.
  [[nodiscard]] std::string& copy() noexcept { return copy_; }

 private:
  asio::awaitable<bool> SendChunk(asio::const_buffer chunk);

  beast::tcp_stream& caller_;
  bool chunked_;
  std::size_t copy_limit_;
  TimePoint end_;
  std::uint64_t forwarded_bytes_ = 0;
  std::string copy_;
};

}  // namespace kingcupshed::http
