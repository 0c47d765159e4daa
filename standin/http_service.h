#pragma once

#include <functional>
#include <map>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace standin {

/// A complete request to a stand-in.
struct Request {
  std::string method;
  /// Path without query.
  std::string path;
  std::map<std::string, std::string> query;
  /// Header names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
  /// IP address of the client.
  std::string source;
};

/// A complete response of a stand-in.
struct Response {
  unsigned code = 200;
  std::map<std::string, std::string> headers;
  std::string body;
  /// Closes the connection without sending a response.
  bool drop = false;
};

using Handler = std::function<boost::asio::awaitable<Response>(const Request&)>;

/// Serves HTTP requests at an address with a handler.
///
/// Exits the process with status 2 when the address is malformed and with
/// status 1 when it can't be bound.
void Serve(boost::asio::io_context& io,
           const std::string& address,
           Handler handler);

}  // namespace standin
