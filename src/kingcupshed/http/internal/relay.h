#pragma once

#include <cstdint>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "kingcupshed/core/time.h"
#include "kingcupshed/http/internal/message.h"

namespace kingcupshed::http {

/// How the passing on of a body ended.
enum class RelayEnd : std::uint8_t {
  kWhole,
  /// The target's bytes broke off or are malformed.
  kTargetLost,
  kCallerLost,
};

/// Passes a long body on to the caller, piece by piece, with back-pressure.
class Relay {
 public:
  /// @param keep Number of bytes of the body to keep a copy of.
  Relay(beast::tcp_stream& caller, bool chunked, std::size_t keep)
      : caller_(caller), chunked_(chunked), keep_(keep) {}

  /// Sends the head of the answer to the caller.
  [[nodiscard]] asio::awaitable<bool> SendHead(const ResponseHead& head);

  /// Passes on the rest of an answer's body.
  /// @param stall Longest wait for the next bytes of the target.
  [[nodiscard]] asio::awaitable<RelayEnd> Pass(beast::tcp_stream& target,
                                               beast::flat_buffer& buffer,
                                               ResponseParser& response,
                                               Duration stall);

  /// Passes on bytes that were read before.
  /// @return False when the caller is lost.
  [[nodiscard]] asio::awaitable<bool> PassHeld(const std::string& bytes);

  /// Returns the number of body bytes that the caller got.
  [[nodiscard]] std::uint64_t passed() const noexcept { return passed_; }

  /// Returns the copy of the body's start.
  [[nodiscard]] std::string& kept() noexcept { return kept_; }

 private:
  asio::awaitable<bool> SendPiece(asio::const_buffer piece);

  beast::tcp_stream& caller_;
  bool chunked_;
  std::size_t keep_;
  std::uint64_t passed_ = 0;
  std::string kept_;
};

}  // namespace kingcupshed::http
