#pragma once

#include <cstdint>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "kingcupshed/http/internal/message.h"
#include "kingcupshed/http/internal/target_pool.h"
#include "kingcupshed/http/server.h"

namespace kingcupshed::http {

/// State that the sessions of one server share.
struct ServerState {
  ServerState(asio::io_context& io, ServerContext server_context);

  /// Returns an id for a new call, unique in the fleet.
  [[nodiscard]] std::string NextCallId();

  /// Returns the active limits for callers.
  [[nodiscard]] SessionLimits Limits() const;

  /// Records an event of a call in the timeline.
  void Record(std::string kind,
              const std::string& call,
              std::string target,
              std::string service,
              std::string detail);

  asio::io_context& io;
  ServerContext context;
  asio::ip::tcp::acceptor acceptor;
  TargetPool pool;
  /// Connections of callers without a request in progress.
  std::set<beast::tcp_stream*> idle;
  std::size_t connections = 0;
  /// Requests in progress.
  std::size_t active = 0;
  bool stopping = false;
  /// True once idle connections are to be closed.
  bool closing_idle = false;

 private:
  std::string call_id_prefix_;
  std::uint64_t next_call_ = 1;
};

}  // namespace kingcupshed::http
