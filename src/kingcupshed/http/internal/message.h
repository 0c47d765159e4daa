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

/// Bodies up to this size are buffered in memory.
inline constexpr std::size_t kMaxBufferedBodyBytes = 64UL * 1024;
/// Read size for streamed bodies.
inline constexpr std::size_t kChunkBytes = 32UL * 1024;
/// Maximum header size accepted from callers and targets.
inline constexpr std::uint32_t kMaxHeaderBytes = 16U * 1024;
/// Maximum of unparsed bytes buffered for a connection. The parser has no limit
/// of its own for chunk extensions and trailers.
inline constexpr std::size_t kMaxReadBufferBytes = 64UL * 1024;

/// Returns the value of a header field, empty when absent.
template <typename Head>
[[nodiscard]] std::string_view GetField(const Head& head,
                                        std::string_view name) {
  const auto value = head[name];
  return {value.data(), value.size()};
}

/// Removes the hop-by-hop fields (RFC 9110, 7.6.1) as well as `Expect` and the
/// length, which the VM handles itself.
void RemoveHopByHopFields(beast::http::fields& fields);

/// Parses a decimal integer; returns nothing when the text is anything else.
[[nodiscard]] std::optional<std::uint64_t> ParseNumber(std::string_view text);

/// Parses a number that may have a fraction; returns nothing when the text is
/// anything else, or the number is negative.
[[nodiscard]] std::optional<double> ParseDecimal(std::string_view text);

/// Parses the value of the load header, `in_flight=N;queued=N;slots=N`.
[[nodiscard]] std::optional<LoadReport> ParseLoad(std::string_view text);

/// Byte range of a partial response; `first` and `last` are inclusive.
struct ContentRange {
  std::uint64_t first = 0;
  std::uint64_t last = 0;
  std::uint64_t total = 0;
};

/// Parses the value of a Content-Range header in bytes.
[[nodiscard]] std::optional<ContentRange> ParseContentRange(
    std::string_view text);

/// Returns true for a strong entity tag, which identifies the exact bytes.
[[nodiscard]] bool IsStrongEntityTag(std::string_view tag) noexcept;

}  // namespace kingcupshed::http
