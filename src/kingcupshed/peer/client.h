#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "kingcupshed/core/time.h"
#include "kingcupshed/peer/fwd.h"

namespace kingcupshed::peer {

/// Calls other VMs over gRPC, with a bound on the concurrent calls to each.
///
/// Callbacks run on the thread of the io_context. They get the response, or
/// null if the call failed, timed out or was not sent.
class Client {
 public:
  using GossipCallback = std::function<void(const wire::Gossip*)>;
  using PublishedCallback = std::function<void(const wire::Published*)>;
  using RoutesCallback = std::function<void(const wire::RoutesDocument*)>;
  using KeptAnswerCallback = std::function<void(const wire::KeptAnswer*)>;

  explicit Client(boost::asio::io_context& io);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Sends a gossip message; the response is the peer's own gossip message.
  void Exchange(const std::string& address,
                const wire::Gossip& request,
                Duration timeout,
                GossipCallback on_response);

  /// Requests the cached response to the call that a claim belongs to.
  void FetchKeptAnswer(const std::string& address,
                       const wire::KeptAnswerRequest& request,
                       Duration timeout,
                       KeptAnswerCallback on_response);

  /// Requests what a VM has read from the store.
  void FetchPublished(const std::string& address,
                      const wire::PublishedRequest& request,
                      Duration timeout,
                      PublishedCallback on_response);

  /// Requests the routes that a VM has.
  void FetchRoutes(const std::string& address,
                   const wire::RoutesRequest& request,
                   Duration timeout,
                   RoutesCallback on_response);

  /// Closes the channel to a VM that has left the fleet.
  void CloseChannel(const std::string& address);

  /// Cancels all calls and waits until none is in progress; their responses
  /// are dropped.
  void Stop();

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace kingcupshed::peer
