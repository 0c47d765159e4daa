#include "standin/http_service.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdlib>
#include <iostream>
#include <string_view>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "kingcupshed/http/address.h"

namespace standin {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;

using Parser = beast::http::request_parser<beast::http::string_body>;

std::string ToLower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

/// Decodes `%XX` and `+`, as servers do with the values of a query. An escape
/// that is not followed by two hexadecimal digits stays as it is.
std::string DecodeQueryValue(std::string_view text) {
  constexpr std::size_t kEscapeSize = 3;
  constexpr int kHexadecimal = 16;
  std::string decoded;
  for (std::size_t at = 0; at < text.size(); ++at) {
    unsigned byte = 0;
    const char* end = text.data() + at + kEscapeSize;
    const bool escape =
        text[at] == '%' && at + kEscapeSize <= text.size() &&
        std::from_chars(text.data() + at + 1, end, byte, kHexadecimal).ptr ==
            end;
    if (escape) {
      decoded += static_cast<char>(byte);
      at += kEscapeSize - 1;
    } else {
      decoded += text[at] == '+' ? ' ' : text[at];
    }
  }
  return decoded;
}

std::map<std::string, std::string> ParseQuery(const std::string& text) {
  std::map<std::string, std::string> query;
  std::size_t start = 0;
  while (start < text.size()) {
    const std::size_t end = std::min(text.find('&', start), text.size());
    const std::string pair = text.substr(start, end - start);
    const std::size_t equals = std::min(pair.find('='), pair.size());
    query[pair.substr(0, equals)] =
        equals < pair.size() ? DecodeQueryValue(pair.substr(equals + 1)) : "";
    start = end + 1;
  }
  return query;
}

Request ToRequest(
    const beast::http::request<beast::http::string_body>& message) {
  Request request;
  request.method = std::string(message.method_string());
  const std::string whole_target(message.target());
  const std::string target = whole_target.substr(0, whole_target.find('#'));
  const std::size_t question_mark = std::min(target.find('?'), target.size());
  request.path = target.substr(0, question_mark);
  if (question_mark < target.size()) {
    request.query = ParseQuery(target.substr(question_mark + 1));
  }
  for (const auto& field : message) {
    request.headers[ToLower(std::string(field.name_string()))] =
        std::string(field.value());
  }
  request.body = message.body();
  return request;
}

asio::awaitable<void> ServeConnection(beast::tcp_stream stream,
                                      Handler handler) {
  beast::flat_buffer buffer;
  boost::system::error_code ignored;
  const std::string source =
      stream.socket().remote_endpoint(ignored).address().to_string();
  for (;;) {
    Parser parser;
    parser.body_limit(boost::none);
    boost::system::error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    co_await beast::http::async_read(stream, buffer, parser, token);
    if (error) {
      co_return;
    }
    Request request = ToRequest(parser.get());
    request.source = source;
    Response response = co_await handler(request);
    if (response.drop) {
      co_return;
    }
    beast::http::response<beast::http::string_body> message(
        beast::http::int_to_status(response.code), parser.get().version());
    for (const auto& [name, value] : response.headers) {
      message.set(name, value);
    }
    message.keep_alive(parser.get().keep_alive());
    message.body() = std::move(response.body);
    message.prepare_payload();
    co_await beast::http::async_write(stream, message, token);
    if (error || !message.keep_alive()) {
      co_return;
    }
  }
}

asio::awaitable<void> AcceptLoop(asio::ip::tcp::acceptor acceptor,
                                 Handler handler) {
  for (;;) {
    boost::system::error_code error;
    auto socket = co_await acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      continue;
    }
    socket.set_option(asio::ip::tcp::no_delay(true), error);
    const auto executor = socket.get_executor();
    asio::co_spawn(
        executor,
        ServeConnection(beast::tcp_stream(std::move(socket)), handler),
        asio::detached);
  }
}

}  // namespace

void Serve(asio::io_context& io, const std::string& address, Handler handler) {
  const auto endpoint = kingcupshed::http::ParseAddress(address);
  if (!endpoint) {
    std::cerr << address << ": the address is malformed\n";
    std::exit(2);
  }
  try {
    asio::ip::tcp::acceptor acceptor(io, *endpoint);
    asio::co_spawn(io, AcceptLoop(std::move(acceptor), std::move(handler)),
                   asio::detached);
  } catch (const boost::system::system_error& error) {
    std::cerr << address << ": " << error.what() << "\n";
    std::exit(1);
  }
}

}  // namespace standin
