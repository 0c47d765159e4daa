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

/// Response of a page that the VM serves about itself.
struct PageResponse {
  unsigned code = 200;
  std::string content_type = "text/plain";
  std::string body;
};

/// Dependencies of the server; every reference must outlive it.
struct ServerContext {
  DispatchDriver& driver;
  timeline::Recorder& recorder;
  const Names<ServiceId>& services;
  /// Returns the row of a service and rank in the active table, or null.
  std::function<const table::Row*(ServiceId, Rank)> find_row;
  /// Returns the address of a target, empty when it is unknown.
  std::function<std::string(TargetId)> target_address;
  /// Returns the name of a target.
  std::function<std::string(TargetId)> target_name;
  /// Called when the response of a target carries its drain mark.
  std::function<void(TargetId)> on_drain_mark;
  /// Returns the page for a path such as `/healthz`, or nothing.
  std::function<std::optional<PageResponse>(std::string_view path)> find_page;
  /// Guards at-most-once work with an idempotency key; null when keys are not
  /// claimed.
  IdempotencyGuard* idempotency_guard = nullptr;
  /// Name of the VM; prefix of each call id.
  std::string vm{};
  /// Local IP address of connections to targets; empty for any.
  std::string source_address{};
  /// Returns how many connections this VM may keep to a target.
  std::function<std::size_t(TargetId)> connection_limit{};
  /// Returns whether the VM may start work: whether it knows which targets are
  /// draining. It does not know this right after the process was frozen. When
  /// absent, the VM may always start work.
  std::function<bool()> can_start_work{};
  /// Headers exchanged with callers and targets; never null.
  const HeaderScheme* header_scheme = &DefaultHeaderScheme();
  /// Finds the route of a call. When absent, the first path segment is the
  /// service and a header gives the rank.
  RouteFinder find_route{};
  /// Returns the active limits; when absent, the defaults of `SessionLimits`
  /// apply.
  std::function<SessionLimits()> session_limits{};
  /// Responses up to this size are buffered completely before they are
  /// forwarded.
  std::size_t max_buffered_response_bytes = 64UL * 1024;
  /// Timeout for connecting to a target.
  Duration connect_timeout = std::chrono::seconds(1);
  /// Called with the id that a call has in logs.
  std::function<void(CallId, const std::string& name)> on_call_named{};
};

/// Result of a health check of a target.
struct ProbeOutcome {
  /// True when the probed instance itself responded.
  bool responded = false;
  /// True when it reported that it is healthy.
  bool healthy = false;
  std::optional<LoadReport> load;
  /// Time from sending the request to the response.
  Duration round_trip{};
};

/// One health check.
struct ProbeRequest {
  TargetId target{};
  std::string path;
  Duration timeout = std::chrono::seconds(1);
};

/// Accepts calls over HTTP/1.1 and forwards them to targets.
class Server {
 public:
  Server(boost::asio::io_context& io, ServerContext context);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Starts accepting connections.
  /// @return False when the address can't be bound.
  [[nodiscard]] bool Listen(const std::string& address);

  /// Sends a health check over a pooled connection to a target.
  void Probe(ProbeRequest request, std::function<void(ProbeOutcome)> done);

  /// From now on, closes each connection after its current response.
  void BeginStop();

  /// Accepts the connections that are already in the listen queue, stops
  /// accepting and closes connections without a request in progress.
  void StopAccepting();

  /// Returns the number of open connections of callers.
  [[nodiscard]] std::size_t connections() const;

  /// Returns the number of requests in progress.
  [[nodiscard]] std::size_t active() const;

 private:
  std::shared_ptr<ServerState> state_;
};

}  // namespace kingcupshed::http
