#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/system/error_code.hpp>

#include "kingcupshed/http/internal/message.h"

namespace kingcupshed::http {

/// Responses with a lower status are interim: another one follows.
inline constexpr unsigned kMinFinalStatus = 200;

/// Reads the head of a response. Unlike the parser alone, rejects folded fields
/// (RFC 9112, 5.2): a line that begins with a blank would become a part of the
/// value of the field before it.
/// @return An error if there is no head that can be read.
[[nodiscard]] asio::awaitable<boost::system::error_code> ReadUnfoldedHead(
    beast::tcp_stream& stream,
    beast::flat_buffer& buffer,
    beast::http::basic_parser<false>& parser);

/// Checks the status of a response and how its length is given.
/// @return An error if the head is none of a response in HTTP/1.1.
[[nodiscard]] boost::system::error_code CheckHead(const ResponseHead& head);

/// Reads and checks the head of a response.
/// @return An error if there is none; the connection can't be used any more.
template <typename Parser>
[[nodiscard]] asio::awaitable<boost::system::error_code> ReadResponseHead(
    beast::tcp_stream& stream,
    beast::flat_buffer& buffer,
    Parser& parser) {
  const auto error = co_await ReadUnfoldedHead(stream, buffer, parser);
  co_return error ? error : CheckHead(parser.get().base());
}

}  // namespace kingcupshed::http
