#include "kingcupshed/http/server.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "kingcupshed/http/address.h"
#include "kingcupshed/http/internal/health_probe.h"
#include "kingcupshed/http/internal/server_state.h"
#include "kingcupshed/http/internal/session.h"

namespace kingcupshed::http {

namespace {

void StartSession(const std::shared_ptr<ServerState>& server,
                  asio::ip::tcp::socket socket) {
  boost::system::error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  asio::co_spawn(server->io,
                 RunSession(server, beast::tcp_stream(std::move(socket))),
                 asio::detached);
}

asio::awaitable<void> AcceptLoop(std::shared_ptr<ServerState> server) {
  while (server->acceptor.is_open()) {
    boost::system::error_code error;
    auto socket = co_await server->acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
      StartSession(server, std::move(socket));
    }
  }
}

/// Returns true when bytes from the caller are waiting to be read.
bool HasBytes(beast::tcp_stream& stream) {
  boost::system::error_code error;
  return stream.socket().available(error) > 0;
}

}  // namespace

Server::Server(asio::io_context& io, ServerContext context)
    : state_(std::make_shared<ServerState>(io, std::move(context))) {}

Server::~Server() = default;

bool Server::Listen(const std::string& address) {
  const auto endpoint = ParseAddress(address);
  if (!endpoint) {
    return false;
  }
  boost::system::error_code error;
  asio::ip::tcp::acceptor& acceptor = state_->acceptor;
  acceptor.open(endpoint->protocol(), error);
  acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
  acceptor.bind(*endpoint, error);
  if (error) {
    return false;
  }
  acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    return false;
  }
  asio::co_spawn(state_->io, AcceptLoop(state_), asio::detached);
  return true;
}

void Server::Probe(ProbeRequest request,
                   std::function<void(ProbeOutcome)> done) {
  asio::co_spawn(
      state_->io, RunHealthProbe(*state_, std::move(request)),
      [state = state_, done = std::move(done)](
          const std::exception_ptr& exception, ProbeOutcome outcome) {
        done(exception ? ProbeOutcome{} : outcome);
      });
}

void Server::BeginStop() {
  state_->stopping = true;
}

void Server::StopAccepting() {
  boost::system::error_code error;
  state_->acceptor.non_blocking(true, error);
  while (!error) {
    asio::ip::tcp::socket socket(state_->io);
    state_->acceptor.accept(socket, error);
    if (!error) {
      StartSession(state_, std::move(socket));
    }
  }
  state_->acceptor.close(error);
  for (beast::tcp_stream* stream : state_->idle) {
    if (!HasBytes(*stream)) {
      stream->socket().shutdown(asio::ip::tcp::socket::shutdown_both, error);
    }
  }
  state_->closing_idle = true;
}

std::size_t Server::connections() const {
  return state_->connections;
}

std::size_t Server::active() const {
  return state_->active;
}

}  // namespace kingcupshed::http
