#include "kingcupshed/http/internal/session.h"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "kingcupshed/http/internal/call.h"
#include "kingcupshed/http/internal/reply.h"
#include "kingcupshed/http/internal/request_check.h"

namespace kingcupshed::http {

namespace {

using asio::experimental::awaitable_operators::operator||;

/// Timeout for the first request of a connection that was accepted during a
/// stop.
constexpr Duration kStoppingIdleTimeout = std::chrono::seconds(1);
constexpr Duration kLingerTimeout = std::chrono::seconds(1);
constexpr std::size_t kMaxLingerBytes = 4UL * 1024 * 1024;
constexpr std::size_t kReadBytes = 4096;

/// A caller's connection.
class Session {
 public:
  Session(ServerState& server, beast::tcp_stream stream)
      : server_(server), stream_(std::move(stream)) {
    ++server_.connections;
  }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;
  ~Session() { --server_.connections; }

  asio::awaitable<void> Run();

 private:
  asio::awaitable<bool> AwaitRequest();
  asio::awaitable<void> ReadSome(boost::system::error_code& error);
  asio::awaitable<boost::system::error_code> ReadHead(RequestParser& request);
  asio::awaitable<bool> ServeRequest();
  asio::awaitable<bool> ServeParsed(RequestParser& request);
  asio::awaitable<void> Linger();

  ServerState& server_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_{kMaxReadBufferBytes};
  bool served_ = false;
};

asio::awaitable<void> Session::Run() {
  // GCC 12 ignores short-circuit evaluation around a co_await in a loop
  // condition.
  for (;;) {
    const bool requested = co_await AwaitRequest();
    if (!requested) {
      co_return;
    }
    ++server_.active;
    const bool keep_alive = co_await ServeRequest();
    --server_.active;
    if (!keep_alive) {
      break;
    }
  }
  co_await Linger();
}

/// Waits for the first bytes of a request.
asio::awaitable<bool> Session::AwaitRequest() {
  if (buffer_.size() > 0) {
    co_return true;
  }
  if (server_.closing_idle && served_) {
    co_return false;
  }
  server_.idle.insert(&stream_);
  stream_.expires_after(server_.closing_idle ? kStoppingIdleTimeout
                                             : server_.Limits().idle_timeout);
  boost::system::error_code error;
  const std::size_t size = co_await stream_.async_read_some(
      buffer_.prepare(kReadBytes),
      asio::redirect_error(asio::use_awaitable, error));
  server_.idle.erase(&stream_);
  buffer_.commit(size);
  co_return !error;
}

asio::awaitable<void> Session::ReadSome(boost::system::error_code& error) {
  const std::size_t size = co_await stream_.socket().async_read_some(
      buffer_.prepare(kReadBytes),
      asio::redirect_error(asio::use_awaitable, error));
  buffer_.commit(size);
}

/// Reads the head of a request within the header timeout.
asio::awaitable<boost::system::error_code> Session::ReadHead(
    RequestParser& request) {
  asio::steady_timer limit(stream_.get_executor(),
                           server_.Limits().header_timeout);
  for (;;) {
    boost::system::error_code error;
    buffer_.consume(request.put(buffer_.data(), error));
    if (request.is_header_done() ||
        (error && error != beast::http::error::need_more)) {
      co_return request.is_header_done() ? boost::system::error_code() : error;
    }
    error = {};
    const auto first =
        co_await (ReadSome(error) || limit.async_wait(asio::use_awaitable));
    if (first.index() == 1) {
      co_return beast::error::timeout;
    }
    if (error) {
      co_return beast::http::error::end_of_stream;
    }
  }
}

asio::awaitable<bool> Session::ServeRequest() {
  RequestParser request;
  const SessionLimits limits = server_.Limits();
  request.header_limit(limits.header_bytes);
  request.body_limit(limits.body_bytes);
  buffer_.max_size(
      std::max(buffer_.max_size(), limits.header_bytes + kMaxReadBufferBytes));
  stream_.expires_never();
  const boost::system::error_code error = co_await ReadHead(request);
  if (error == beast::http::error::end_of_stream) {
    co_return false;
  }
  if (error) {
    co_await SendRefusal(stream_, RefusalForParseError(error),
                         *server_.context.header_scheme, false);
    co_return false;
  }
  if (const auto refusal = CheckRequest(request, limits.body_bytes)) {
    co_await SendRefusal(stream_, *refusal, *server_.context.header_scheme,
                         false);
    co_return false;
  }
  served_ = true;
  co_return co_await ServeParsed(request);
}

asio::awaitable<bool> Session::ServeParsed(RequestParser& request) {
  const auto target = request.get().target();
  if (auto page = server_.context.find_page({target.data(), target.size()})) {
    const bool keep_alive =
        request.is_done() && request.get().keep_alive() && !server_.stopping;
    co_return co_await SendPage(stream_, *std::move(page), keep_alive);
  }
  Call call(server_, stream_, buffer_, request);
  co_return co_await call.Serve();
}

/// Closes the sending side and discards what the caller still sends. Closing
/// the socket with unread bytes would reset the connection, which could destroy
/// the last response before the caller has read it.
asio::awaitable<void> Session::Linger() {
  boost::system::error_code error;
  if (!stream_.socket().is_open()) {
    co_return;
  }
  stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, error);
  std::array<char, kChunkBytes> chunk;
  std::size_t discarded_bytes = 0;
  stream_.expires_after(kLingerTimeout);
  while (!error && discarded_bytes < kMaxLingerBytes) {
    discarded_bytes += co_await stream_.async_read_some(
        asio::buffer(chunk), asio::redirect_error(asio::use_awaitable, error));
  }
}

}  // namespace

asio::awaitable<void> RunSession(std::shared_ptr<ServerState> server,
                                 beast::tcp_stream stream) {
  Session session(*server, std::move(stream));
  co_await session.Run();
}

}  // namespace kingcupshed::http
