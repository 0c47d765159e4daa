#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "kingcupshed/core/time.h"
#include "kingcupshed/peer/fwd.h"

namespace kingcupshed::peer {

/// Calls other VMs over gRPC, at most a few calls to each at once.
///
/// Every answer is delivered on the thread of the io_context; a null answer
/// says that the call failed, was late or was not sent.
class Client {
 public:
  using GossipAnswer = std::function<void(const wire::Gossip*)>;
  using PublishedAnswer = std::function<void(const wire::Published*)>;
  using KeptAnswerAnswer = std::function<void(const wire::KeptAnswer*)>;

  explicit Client(boost::asio::io_context& io);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Sends a round of gossip.
  void Exchange(const std::string& address,
                const wire::Gossip& request,
                Duration timeout,
                GossipAnswer on_answer);

  /// Asks for the kept answer of a claim.
  void FetchKeptAnswer(const std::string& address,
                       const wire::KeptAnswerRequest& request,
                       Duration timeout,
                       KeptAnswerAnswer on_answer);

  /// Asks for what a VM read from the store.
  void FetchPublished(const std::string& address,
                      const wire::PublishedRequest& request,
                      Duration timeout,
                      PublishedAnswer on_answer);

  /// Closes the channel to a VM that is gone.
  void Forget(const std::string& address);

  /// Cancels every call and waits until none is left; answers are dropped.
  void Stop();

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace kingcupshed::peer
