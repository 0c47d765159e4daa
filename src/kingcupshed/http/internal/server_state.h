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
  ServerState(asio::io_context& io, ServerContext given);

  /// Returns a name for a new call, unique in the fleet.
  [[nodiscard]] std::string NextCallName();

  /// Returns the limits in force for callers.
  [[nodiscard]] SessionLimits Limits() const;

  /// Records an event of a call.
  void Record(std::string kind,
              const std::string& call,
              std::string target,
              std::string service,
              std::string detail);

  asio::io_context& io;
  ServerContext context;
  asio::ip::tcp::acceptor acceptor;
  TargetPool pool;
  /// Streams of callers that have no request under way.
  std::set<beast::tcp_stream*> idle;
  std::size_t connections = 0;
  /// Requests under way.
  std::size_t active = 0;
  bool stopping = false;
  /// Connections without a request are closed from now on.
  bool closing_idle = false;

 private:
  std::string call_prefix_;
  std::uint64_t next_call_ = 1;
};

}  // namespace kingcupshed::http
