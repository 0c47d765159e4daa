#include "kingcupshed/http/server.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <deque>
#include <map>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "kingcupshed/http/address.h"
#include "kingcupshed/http/headers.h"

namespace kingcupshed::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::use_awaitable;

constexpr std::size_t kRelayBufferSize = 32UL * 1024;
constexpr std::uint32_t kMaxHeaderSize = 16U * 1024;
constexpr Duration kHeaderTimeout = std::chrono::seconds(10);
constexpr Duration kIdleTimeout = std::chrono::seconds(60);

using RequestParser = beast::http::request_parser<beast::http::buffer_body>;
using ResponseParser = beast::http::response_parser<beast::http::buffer_body>;

/// A persistent connection to a target.
struct TargetConnection {
  explicit TargetConnection(const asio::any_io_executor& executor)
      : stream(executor) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
};

using ConnectionPointer = std::unique_ptr<TargetConnection>;

/// Queue of the actions of one call.
class Inbox final : public ActionReceiver {
 public:
  explicit Inbox(const asio::any_io_executor& executor) : wake_(executor) {}

  void Receive(const dispatch::Action& action) override {
    actions_.push_back(action);
    wake_.cancel();
  }

  asio::awaitable<dispatch::Action> Next() {
    while (actions_.empty()) {
      wake_.expires_at(asio::steady_timer::time_point::max());
      boost::system::error_code error;
      co_await wake_.async_wait(asio::redirect_error(use_awaitable, error));
    }
    dispatch::Action action = actions_.front();
    actions_.pop_front();
    co_return action;
  }

 private:
  std::deque<dispatch::Action> actions_;
  asio::steady_timer wake_;
};

std::string_view ReasonName(dispatch::RefuseReason reason) noexcept {
  constexpr std::array<std::string_view, 7> kNames{
      "unknown-service", "rate-limited", "queue-full",     "deadline",
      "no-target",       "refused",      "outcome-unknown"};
  return kNames[static_cast<std::size_t>(reason)];
}

std::optional<LoadReport> ParseLoad(std::string_view text) {
  LoadReport load;
  const auto read = [&](std::string_view name, std::uint32_t& value) {
    const std::size_t at = text.find(name);
    if (at == std::string_view::npos) {
      return false;
    }
    const char* start = text.data() + at + name.size();
    return std::from_chars(start, text.data() + text.size(), value).ec ==
           std::errc();
  };
  if (!read("in_flight=", load.in_flight) || !read("queued=", load.queued)) {
    return std::nullopt;
  }
  read("slots=", load.slots);
  return load;
}

}  // namespace

struct Server::State : std::enable_shared_from_this<Server::State> {
  State(asio::io_context& io, ServerContext context)
      : io(io), context(std::move(context)), acceptor(io) {}

  asio::awaitable<void> AcceptLoop();
  asio::awaitable<void> ServeConnection(beast::tcp_stream stream);
  asio::awaitable<bool> ServeCall(beast::tcp_stream& caller,
                                  beast::flat_buffer& buffer,
                                  RequestParser& request);
  asio::awaitable<dispatch::AttemptEnded> RunAttempt(
      beast::tcp_stream& caller,
      beast::flat_buffer& buffer,
      RequestParser& request,
      const dispatch::StartAttempt& start,
      bool& answered);
  asio::awaitable<ConnectionPointer> Connect(TargetId target);
  asio::awaitable<bool> Answer(beast::tcp_stream& caller,
                               const RequestParser& request,
                               PageAnswer answer,
                               std::string_view outcome,
                               std::string_view reason);

  asio::io_context& io;
  ServerContext context;
  asio::ip::tcp::acceptor acceptor;
  std::map<TargetId, std::vector<ConnectionPointer>> idle;
  std::size_t connections = 0;
  bool stopping = false;
};

asio::awaitable<void> Server::State::AcceptLoop() {
  auto self = shared_from_this();
  while (acceptor.is_open()) {
    boost::system::error_code error;
    auto socket = co_await acceptor.async_accept(
        asio::redirect_error(use_awaitable, error));
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      continue;
    }
    socket.set_option(asio::ip::tcp::no_delay(true), error);
    asio::co_spawn(io, ServeConnection(beast::tcp_stream(std::move(socket))),
                   asio::detached);
  }
}

asio::awaitable<void> Server::State::ServeConnection(beast::tcp_stream stream) {
  auto self = shared_from_this();
  ++connections;
  beast::flat_buffer buffer;
  bool keep = true;
  while (keep) {
    RequestParser request;
    request.header_limit(kMaxHeaderSize);
    request.body_limit(boost::none);
    stream.expires_after(buffer.size() > 0 ? kHeaderTimeout : kIdleTimeout);
    boost::system::error_code error;
    co_await beast::http::async_read_header(
        stream, buffer, request, asio::redirect_error(use_awaitable, error));
    if (error) {
      break;
    }
    stream.expires_never();
    const std::string path(request.get().target());
    if (auto page = context.find_page(path)) {
      keep = co_await Answer(stream, request, *std::move(page), "", "");
      continue;
    }
    keep = co_await ServeCall(stream, buffer, request);
  }
  boost::system::error_code ignored;
  stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  --connections;
}

asio::awaitable<bool> Server::State::Answer(beast::tcp_stream& caller,
                                            const RequestParser& request,
                                            PageAnswer answer,
                                            std::string_view outcome,
                                            std::string_view reason) {
  beast::http::response<beast::http::string_body> response(
      beast::http::int_to_status(answer.code), request.get().version());
  response.set(beast::http::field::content_type, answer.content_type);
  if (!outcome.empty()) {
    response.set(kOutcomeHeader, outcome);
    response.set(kReasonHeader, reason);
  }
  response.keep_alive(request.get().keep_alive() && request.is_done() &&
                      !stopping);
  response.body() = std::move(answer.body);
  response.prepare_payload();
  boost::system::error_code error;
  co_await beast::http::async_write(caller, response,
                                    asio::redirect_error(use_awaitable, error));
  co_return !error && response.keep_alive();
}

asio::awaitable<bool> Server::State::ServeCall(beast::tcp_stream& caller,
                                               beast::flat_buffer& buffer,
                                               RequestParser& request) {
  std::string_view path(request.get().target().data(),
                        request.get().target().size());
  path.remove_prefix(std::min<std::size_t>(1, path.size()));
  const std::string_view name = path.substr(0, path.find_first_of("/?"));
  const auto service = context.services.Find(name);
  Rank rank = Rank::kStandard;
  const auto rank_text = request.get()[kRankHeader];
  if (rank_text.size() == 1 && rank_text[0] >= '1' && rank_text[0] <= '3') {
    rank = static_cast<Rank>(rank_text[0] - '0');
  }
  const table::Row* row = service ? context.find_row(*service, rank) : nullptr;
  if (row == nullptr) {
    PageAnswer answer{404, "text/plain", "The service is unknown.\n"};
    co_return co_await Answer(caller, request, std::move(answer),
                              kOutcomeNotRun, "unknown-service");
  }
  Inbox inbox(co_await asio::this_coro::executor);
  const CallId call = context.driver.Open(inbox);
  dispatch::CallArrived arrived;
  arrived.call = call;
  arrived.service = *service;
  arrived.rank = rank;
  arrived.deadline = std::chrono::steady_clock::now() + row->deadline;
  arrived.semantics = row->semantics;
  context.driver.Post(arrived);
  bool keep = false;
  for (bool open = true; open;) {
    const dispatch::Action action = co_await inbox.Next();
    if (const auto* start = std::get_if<dispatch::StartAttempt>(&action)) {
      bool answered = false;
      auto ended =
          co_await RunAttempt(caller, buffer, request, *start, answered);
      context.driver.Post(ended);
      if (answered) {
        keep = ended.result == dispatch::AttemptResult::kAnswered &&
               request.is_done() && request.get().keep_alive() && !stopping;
        open = false;
      }
    } else if (const auto* refuse =
                   std::get_if<dispatch::RefuseCall>(&action)) {
      const bool unknown =
          refuse->reason == dispatch::RefuseReason::kOutcomeUnknown;
      PageAnswer answer{unknown ? 502U : 503U, "text/plain",
                        "The call was refused.\n"};
      keep = co_await Answer(caller, request, std::move(answer),
                             unknown ? kOutcomeUnknown : kOutcomeNotRun,
                             ReasonName(refuse->reason));
      open = false;
    }
  }
  context.driver.Close(call);
  co_return keep;
}

asio::awaitable<ConnectionPointer> Server::State::Connect(TargetId target) {
  auto& pool = idle[target];
  if (!pool.empty()) {
    ConnectionPointer connection = std::move(pool.back());
    pool.pop_back();
    co_return connection;
  }
  const auto endpoint = ParseAddress(context.target_address(target));
  if (!endpoint) {
    co_return nullptr;
  }
  auto connection =
      std::make_unique<TargetConnection>(co_await asio::this_coro::executor);
  connection->stream.expires_after(std::chrono::seconds(1));
  boost::system::error_code error;
  co_await connection->stream.async_connect(
      *endpoint, asio::redirect_error(use_awaitable, error));
  if (error) {
    co_return nullptr;
  }
  connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
  co_return connection;
}

asio::awaitable<dispatch::AttemptEnded> Server::State::RunAttempt(
    beast::tcp_stream& caller,
    beast::flat_buffer& buffer,
    RequestParser& request,
    const dispatch::StartAttempt& start,
    bool& answered) {
  using dispatch::AttemptResult;
  dispatch::AttemptEnded ended{start.call, start.attempt,
                               AttemptResult::kNotSent, std::nullopt};
  ConnectionPointer connection = co_await Connect(start.target);
  if (connection == nullptr) {
    co_return ended;
  }
  connection->stream.expires_never();
  ended.result = AttemptResult::kLost;
  boost::system::error_code error;
  auto token = asio::redirect_error(use_awaitable, error);
  std::array<char, kRelayBufferSize> chunk;
  beast::http::request<beast::http::buffer_body> outgoing(request.get().base());
  outgoing.keep_alive(true);
  outgoing.body().data = nullptr;
  outgoing.body().more = !request.is_done();
  beast::http::request_serializer<beast::http::buffer_body> sender(outgoing);
  co_await beast::http::async_write_header(connection->stream, sender, token);
  while (!error && !sender.is_done()) {
    if (!request.is_done()) {
      request.get().body().data = chunk.data();
      request.get().body().size = chunk.size();
      co_await beast::http::async_read(caller, buffer, request, token);
      if (error == beast::http::error::need_buffer) {
        error = {};
      }
      if (error) {
        break;
      }
      outgoing.body().data = chunk.data();
      outgoing.body().size = chunk.size() - request.get().body().size;
      outgoing.body().more = !request.is_done();
    } else {
      outgoing.body().data = nullptr;
      outgoing.body().size = 0;
      outgoing.body().more = false;
    }
    co_await beast::http::async_write(connection->stream, sender, token);
    if (error == beast::http::error::need_buffer) {
      error = {};
    }
  }
  if (error) {
    co_return ended;
  }
  ResponseParser response;
  response.body_limit(boost::none);
  co_await beast::http::async_read_header(connection->stream,
                                          connection->buffer, response, token);
  if (error) {
    co_return ended;
  }
  auto& head = response.get();
  ended.load = ParseLoad(head[kLoadHeader]);
  if (!head[kDrainHeader].empty()) {
    context.on_drain_mark(start.target);
  }
  context.driver.Post(
      dispatch::AttemptAnswered{start.call, start.attempt, ended.load});
  if (head[kOutcomeHeader] == kOutcomeNotRun) {
    ended.result = AttemptResult::kRefused;
    co_return ended;
  }
  answered = true;
  const bool target_keeps = head.keep_alive();
  beast::http::response<beast::http::buffer_body> relayed(head.base());
  relayed.set(kOutcomeHeader, kOutcomeRan);
  relayed.set(kTargetHeader, context.target_name(start.target));
  relayed.keep_alive(request.get().keep_alive() && !stopping);
  relayed.body().data = nullptr;
  relayed.body().more = !response.is_done();
  beast::http::response_serializer<beast::http::buffer_body> relay(relayed);
  co_await beast::http::async_write_header(caller, relay, token);
  while (!error && !relay.is_done()) {
    if (!response.is_done()) {
      response.get().body().data = chunk.data();
      response.get().body().size = chunk.size();
      co_await beast::http::async_read(connection->stream, connection->buffer,
                                       response, token);
      if (error == beast::http::error::need_buffer) {
        error = {};
      }
      if (error) {
        break;
      }
      relayed.body().data = chunk.data();
      relayed.body().size = chunk.size() - response.get().body().size;
      relayed.body().more = !response.is_done();
    } else {
      relayed.body().data = nullptr;
      relayed.body().size = 0;
      relayed.body().more = false;
    }
    co_await beast::http::async_write(caller, relay, token);
    if (error == beast::http::error::need_buffer) {
      error = {};
    }
  }
  if (error) {
    co_return ended;
  }
  ended.result = AttemptResult::kAnswered;
  if (target_keeps && connection->buffer.size() == 0) {
    idle[start.target].push_back(std::move(connection));
  }
  co_return ended;
}

Server::Server(asio::io_context& io, ServerContext context)
    : state_(std::make_shared<State>(io, std::move(context))) {}

Server::~Server() = default;

bool Server::Listen(const std::string& address) {
  const auto endpoint = ParseAddress(address);
  if (!endpoint) {
    return false;
  }
  boost::system::error_code error;
  state_->acceptor.open(endpoint->protocol(), error);
  state_->acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true),
                              error);
  state_->acceptor.bind(*endpoint, error);
  if (error) {
    return false;
  }
  state_->acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    return false;
  }
  asio::co_spawn(state_->io, state_->AcceptLoop(), asio::detached);
  return true;
}

void Server::BeginStop() {
  state_->stopping = true;
}

void Server::StopAccepting() {
  boost::system::error_code ignored;
  state_->acceptor.close(ignored);
}

std::size_t Server::connections() const {
  return state_->connections;
}

}  // namespace kingcupshed::http
