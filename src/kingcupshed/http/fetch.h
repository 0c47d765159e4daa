#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "kingcupshed/core/time.h"

namespace kingcupshed::http {

/// A complete request to an HTTP/1.1 server.
struct FetchRequest {
  /// Host and port, as in `127.0.0.1:7000`.
  std::string address;
  std::string method = "GET";
  /// Path and query.
  std::string path = "/";
  std::map<std::string, std::string> headers;
  std::string body;
  Duration timeout = std::chrono::seconds(2);
  /// Timeout for connecting, within `timeout`. A lost SYN packet is
  /// retransmitted only after a second or more.
  Duration connect_timeout = std::chrono::seconds(2);
  /// Maximum size of the response body in bytes; a larger one counts as no
  /// response.
  std::size_t max_response_body = 64UL * 1024 * 1024;
  /// Local IP address to bind to; empty for the system's choice.
  std::string source;
  /// Enables TCP keep-alive probes, so that a dead connection is detected
  /// within seconds during a long wait.
  bool keep_alive_probes = false;
};

/// How a fetch ended.
enum class FetchStatus : std::uint8_t {
  kCompleted,
  /// No byte of the request reached the server.
  kNotSent,
  /// The request may have been sent, but no complete response was received.
  kNoResponse,
};

/// Result of a fetch. The other members are valid only when `status` is
/// `kCompleted`.
struct FetchResult {
  FetchStatus status = FetchStatus::kNotSent;
  unsigned code = 0;
  /// Entity tag of the response, empty when it has none.
  std::string etag;
  std::string body;
};

/// Sends a request on a new connection and reads the complete response.
[[nodiscard]] boost::asio::awaitable<FetchResult> Fetch(FetchRequest request);

}  // namespace kingcupshed::http
