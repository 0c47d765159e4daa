#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "kingcupshed/core/load_report.h"

namespace kingcupshed::http {

namespace asio = boost::asio;
namespace beast = boost::beast;

using RequestParser = beast::http::request_parser<beast::http::buffer_body>;
using ResponseParser = beast::http::response_parser<beast::http::buffer_body>;
using RequestHead = beast::http::request_header<>;
using ResponseHead = beast::http::response_header<>;

/// Bodies up to this size are held whole in memory.
inline constexpr std::size_t kMaxHeldBody = 64UL * 1024;
/// Size of one piece of a streamed body.
inline constexpr std::size_t kChunkSize = 32UL * 1024;
/// Largest header accepted from either side.
inline constexpr std::uint32_t kMaxHeaderSize = 16U * 1024;

/// Returns the value of a field, empty when absent.
template <typename Head>
[[nodiscard]] std::string_view FieldOf(const Head& head,
                                       std::string_view name) {
  const auto value = head[name];
  return {value.data(), value.size()};
}

/// Removes the fields that concern one connection only (RFC 9110, 7.6.1).
void RemoveHopFields(beast::http::fields& fields);

/// Reads a whole number, or nothing when the text holds anything else.
[[nodiscard]] std::optional<std::uint64_t> ParseNumber(std::string_view text);

/// Reads a load report from its header.
[[nodiscard]] std::optional<LoadReport> ParseLoad(std::string_view text);

/// Range of a partial answer.
struct ContentRange {
  std::uint64_t first = 0;
  std::uint64_t last = 0;
  std::uint64_t total = 0;
};

/// Reads a Content-Range header of bytes.
[[nodiscard]] std::optional<ContentRange> ParseContentRange(
    std::string_view text);

/// Returns true for an entity tag that names the exact bytes.
[[nodiscard]] bool IsStrongTag(std::string_view tag) noexcept;

}  // namespace kingcupshed::http
