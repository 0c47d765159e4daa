#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/error_code.hpp>

#include "kingcupshed/http/internal/message.h"

namespace kingcupshed::http {

/// Responses with a lower status are interim: another one follows.
inline constexpr unsigned kMinFinalStatus = 200;

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
  boost::system::error_code error;
  co_await beast::http::async_read_header(
      stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
  co_return error ? error : CheckHead(parser.get().base());
}

}  // namespace kingcupshed::http
