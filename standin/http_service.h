#pragma once

#include <functional>
#include <map>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace standin {

/// A whole request to a stand-in.
struct Request {
  std::string method;
  /// Path without query.
  std::string path;
  std::map<std::string, std::string> query;
  /// Header names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
  /// IP number of the sender.
  std::string source;
};

/// A whole answer of a stand-in.
struct Response {
  unsigned code = 200;
  std::map<std::string, std::string> headers;
  std::string body;
  /// Closes the connection without an answer.
  bool drop = false;
};

using Handler = std::function<boost::asio::awaitable<Response>(const Request&)>;

/// Serves a handler at an address; exits the process when it can't bind.
void Serve(boost::asio::io_context& io,
           const std::string& address,
           Handler handler);

}  // namespace standin
