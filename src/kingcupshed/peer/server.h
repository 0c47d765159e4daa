#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "kingcupshed/peer/fwd.h"

namespace kingcupshed::peer {

/// Handlers of incoming calls; they run on the thread of the
/// io_context.
struct ServerHandlers {
  /// Handles a gossip message and fills the response with this VM's own.
  std::function<void(const wire::Gossip& request, wire::Gossip& response)>
      exchange;
  /// Fills the response with the state of a claim and its cached response.
  std::function<void(const wire::KeptAnswerRequest& request,
                     wire::KeptAnswer& response)>
      fetch_kept_answer;
  /// Fills the response with what this VM has read from the store, and then
  /// calls `done` once, at once or later. Both messages exist until then.
  std::function<void(const wire::PublishedRequest& request,
                     wire::Published& response,
                     std::function<void()> done)>
      fetch_published{};
  /// Fills the response with the routes of this VM.
  std::function<void(const wire::RoutesRequest& request,
                     wire::RoutesDocument& response)>
      fetch_routes{};
};

/// Serves calls of other VMs over gRPC.
class Server {
 public:
  Server(boost::asio::io_context& io, ServerHandlers handlers);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Starts serving.
  /// @return False if the address can't be bound.
  [[nodiscard]] bool Listen(const std::string& address);

  /// Completes the calls in progress and stops serving. The handlers must have
  /// completed the calls that they hold. Calling it again has no effect.
  void Stop();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace kingcupshed::peer
