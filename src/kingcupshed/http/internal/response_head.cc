#include "kingcupshed/http/internal/response_head.h"

#include <string_view>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace kingcupshed::http {

namespace {

constexpr unsigned kFirstStatus = 100;
constexpr unsigned kLastStatus = 599;

/// A dynamic buffer that passes everything to another one and looks for folded
/// fields in what the parser consumes. The parser consumes a field together
/// with the end of its last line.
class HeadBuffer {
 public:
  using const_buffers_type = beast::flat_buffer::const_buffers_type;
  using mutable_buffers_type = beast::flat_buffer::mutable_buffers_type;

  explicit HeadBuffer(beast::flat_buffer& buffer) : buffer_(buffer) {}

  [[nodiscard]] std::size_t size() const { return buffer_.size(); }
  [[nodiscard]] std::size_t max_size() const { return buffer_.max_size(); }
  [[nodiscard]] std::size_t capacity() const { return buffer_.capacity(); }
  [[nodiscard]] const_buffers_type data() const { return buffer_.cdata(); }
  mutable_buffers_type prepare(std::size_t size) {
    return buffer_.prepare(size);
  }
  void commit(std::size_t size) { buffer_.commit(size); }
  void consume(std::size_t size) {
    const std::string_view consumed(
        static_cast<const char*>(buffer_.cdata().data()), size);
    has_folded_field_ = has_folded_field_ ||
                        consumed.find("\r\n ") != std::string_view::npos ||
                        consumed.find("\r\n\t") != std::string_view::npos;
    buffer_.consume(size);
  }

  [[nodiscard]] bool has_folded_field() const noexcept {
    return has_folded_field_;
  }

 private:
  beast::flat_buffer& buffer_;
  bool has_folded_field_ = false;
};

/// Returns whether a response to a request without `Upgrade` can have a status.
bool IsStatus(unsigned code) {
  constexpr unsigned kSwitchingProtocols = 101;
  return code >= kFirstStatus && code <= kLastStatus &&
         code != kSwitchingProtocols;
}

}  // namespace

asio::awaitable<boost::system::error_code> ReadUnfoldedHead(
    beast::tcp_stream& stream,
    beast::flat_buffer& buffer,
    beast::http::basic_parser<false>& parser) {
  HeadBuffer head(buffer);
  boost::system::error_code error;
  co_await beast::http::async_read_header(
      stream, head, parser, asio::redirect_error(asio::use_awaitable, error));
  if (!error && head.has_folded_field()) {
    error = beast::http::error::bad_field;
  }
  co_return error;
}

boost::system::error_code CheckHead(const ResponseHead& head) {
  using beast::http::error;
  using beast::http::field;
  if (!IsStatus(head.result_int())) {
    return error::bad_status;
  }
  const std::size_t lengths = head.count(field::content_length);
  const std::size_t codings = head.count(field::transfer_encoding);
  if (lengths > 1 || (lengths > 0 && codings > 0)) {
    return error::bad_content_length;
  }
  // No request offers any other coding.
  const bool chunked =
      beast::iequals(head[field::transfer_encoding], "chunked");
  if (codings > 1 || (codings == 1 && !chunked)) {
    return error::bad_transfer_encoding;
  }
  return {};
}

}  // namespace kingcupshed::http
