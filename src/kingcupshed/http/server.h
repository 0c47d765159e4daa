#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>

#include "kingcupshed/core/ids.h"
#include "kingcupshed/core/names.h"
#include "kingcupshed/http/dispatch_driver.h"
#include "kingcupshed/http/header_scheme.h"
#include "kingcupshed/http/idempotency_guard.h"
#include "kingcupshed/http/routed_call.h"
#include "kingcupshed/table/table.h"
#include "kingcupshed/timeline/recorder.h"

namespace kingcupshed::http {

struct ServerState;

/// Answer of a page that the VM serves about itself.
struct PageResponse {
  unsigned code = 200;
  std::string content_type = "text/plain";
  std::string body;
};

/// What the server needs from the daemon; every reference outlives it.
struct ServerContext {
  DispatchDriver& driver;
  timeline::Recorder& recorder;
  const Names<ServiceId>& services;
  /// Returns the row of a service and rank in force, or null.
  std::function<const table::Row*(ServiceId, Rank)> find_row;
  /// Returns the address of a target, empty when it is unknown.
  std::function<std::string(TargetId)> target_address;
  /// Returns the name of a target.
  std::function<std::string(TargetId)> target_name;
  /// Tells that a target's answer carried its drain mark.
  std::function<void(TargetId)> on_drain_mark;
  /// Returns the page for a path such as `/healthz`, or nothing.
  std::function<std::optional<PageResponse>(std::string_view path)> find_page;
  /// Lets keyed at-most-once work through; null when keys are not claimed.
  IdempotencyGuard* idempotency_guard = nullptr;
  /// Name of the VM, the start of each call's name.
  std::string vm{};
  /// IP number that connections to targets start from; empty for any.
  std::string source_address{};
  /// Returns how many connections this VM may hold to a target.
  std::function<std::size_t(TargetId)> connection_limit{};
  /// Returns whether the VM knows enough of leaving targets to start work; it
  /// does not just after a pause. Always when absent.
  std::function<bool()> can_start_work{};
  /// Header names towards callers and targets; never null.
  const HeaderScheme* header_scheme = &DefaultHeaderScheme();
  /// Finds the route of a call. When absent, the first part of the path names
  /// the service and a header the rank.
  RouteFinder find_route{};
  /// Returns the limits in force; those of `SessionLimits` when absent.
  std::function<SessionLimits()> session_limits{};
  /// Answers up to this size are read whole before they are passed on.
  std::size_t max_buffered_response_bytes = 64UL * 1024;
  /// Longest wait for a connection to a target.
  Duration connect_timeout = std::chrono::seconds(1);
  /// Tells the name that a call has in logs.
  std::function<void(CallId, const std::string& name)> on_call_named{};
};

/// How a health check of a target ended.
struct ProbeOutcome {
  /// True when the instance that was meant answered.
  bool responded = false;
  /// True when it says that it is well.
  bool healthy = false;
  std::optional<LoadReport> load;
  /// Time from sending to the answer.
  Duration round_trip{};
};

/// One health check.
struct ProbeRequest {
  TargetId target{};
  std::string path;
  Duration timeout = std::chrono::seconds(1);
};

/// Serves callers over HTTP/1.1 and passes their calls to targets.
class Server {
 public:
  Server(boost::asio::io_context& io, ServerContext context);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Starts accepting.
  /// @return False when the address can't be bound.
  [[nodiscard]] bool Listen(const std::string& address);

  /// Sends a health check over a pooled connection to a target.
  void Probe(ProbeRequest request, std::function<void(ProbeOutcome)> done);

  /// Closes each connection after the answer under way.
  void BeginStop();

  /// Takes the connections that wait to be accepted, then stops accepting, and
  /// closes connections that have no request under way.
  void StopAccepting();

  /// Returns the number of connections of callers.
  [[nodiscard]] std::size_t connections() const;

  /// Returns the number of requests under way.
  [[nodiscard]] std::size_t active() const;

 private:
  std::shared_ptr<ServerState> state_;
};

}  // namespace kingcupshed::http
