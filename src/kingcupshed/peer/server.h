#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "kingcupshed/peer/fwd.h"

namespace kingcupshed::peer {

/// What the server asks of the daemon, always on the thread of the io_context.
struct ServerHandlers {
  /// Fills the answer to a round of gossip.
  std::function<void(const wire::Gossip& request, wire::Gossip& answer)>
      exchange;
  /// Fills the answer about a claim.
  std::function<void(const wire::KeptAnswerRequest& request,
                     wire::KeptAnswer& answer)>
      fetch_kept_answer;
  /// Fills the answer with what was read from the store.
  std::function<void(const wire::PublishedRequest& request,
                     wire::Published& answer)>
      fetch_published{};
};

/// Serves other VMs over gRPC.
class Server {
 public:
  Server(boost::asio::io_context& io, ServerHandlers handlers);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Starts serving.
  /// @return False when the address can't be bound.
  [[nodiscard]] bool Listen(const std::string& address);

  /// Ends every call and stops serving; later calls do nothing.
  void Stop();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace kingcupshed::peer
