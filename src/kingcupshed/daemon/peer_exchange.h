#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "kingcupshed/daemon/route_follower.h"
#include "kingcupshed/daemon/target_follower.h"
#include "kingcupshed/daemon/vm_directory.h"
#include "kingcupshed/peer/client.h"
#include "kingcupshed/peer/server.h"
#include "kingcupshed/propagation/document_fetch.h"
#include "kingcupshed/propagation/held_requests.h"
#include "kingcupshed/propagation/schedule.h"

namespace kingcupshed::daemon {

/// Response of another VM to a poll, after it was applied.
struct PollResponse {
  /// Since when the other VM's copies are known to be complete.
  propagation::CurrentTimes provider;
  /// The same for this VM's copies, now that the response was applied.
  propagation::CurrentTimes proved;
};

/// Passes routes, targets and VMs on between this VM and others.
class PeerExchange {
 public:
  /// @param current Since when this VM's copies are known to be complete.
  /// @param on_request Called when another VM's poll waits for a response.
  PeerExchange(boost::asio::io_context& io,
               VmDirectory& vms,
               RouteFollower& routes,
               TargetFollower& targets,
               const propagation::CurrentTimes& current,
               std::function<void()> on_request);

  /// Starts serving the other VMs.
  /// @return False if the VM's address for other VMs can't be bound.
  [[nodiscard]] bool Listen();

  /// Ends calls from and to other VMs and stops serving them.
  void Stop();

  /// Polls another VM and applies what it sends.
  /// @return Nothing if no response came, or one that can't be decoded.
  [[nodiscard]] boost::asio::awaitable<std::optional<PollResponse>> Poll(
      propagation::PollVm poll);

  /// Fetches the routes from another VM and applies them.
  boost::asio::awaitable<void> FetchRoutes(std::string vm);

  /// Responds to the polls for which there is something new, or whose wait is
  /// over.
  void RespondToHeld(TimePoint now);

  /// Returns the VM to fetch the routes from now, if a fetch is due.
  [[nodiscard]] std::optional<std::string> NextFetch(TimePoint now);

  /// Returns when `RespondToHeld` or `NextFetch` is due next, if either is.
  [[nodiscard]] std::optional<TimePoint> NextWake() const noexcept;

 private:
  /// A poll of another VM that waits for its response.
  struct HeldPoll {
    const peer::wire::PublishedRequest* request = nullptr;
    peer::wire::Published* response = nullptr;
    std::function<void()> done;
    TimePoint received{};
  };
  /// What another VM said to have in its last response.
  struct Reported {
    std::uint64_t routes_version = 0;
    propagation::CurrentTimes current;
  };

  void Hold(const peer::wire::PublishedRequest& request,
            peer::wire::Published& response,
            std::function<void()> done);
  void Respond(const HeldPoll& poll, TimePoint now);
  void SendRoutes(const peer::wire::RoutesRequest& request,
                  peer::wire::RoutesDocument& response);
  [[nodiscard]] peer::wire::PublishedRequest MakeRequest(
      const propagation::PollVm& poll,
      TimePoint now);
  [[nodiscard]] std::optional<PollResponse> Apply(
      const std::string& vm,
      const peer::wire::Published& published,
      TimePoint requested_at);
  void ApplyRoutes(const std::string& vm,
                   const peer::wire::Published& published);
  [[nodiscard]] const std::string* AddressOf(const std::string& vm) const;

  boost::asio::io_context& io_;
  VmDirectory& vms_;
  RouteFollower& routes_;
  TargetFollower& targets_;
  const propagation::CurrentTimes& current_;
  std::function<void()> on_request_;
  peer::Client client_;
  peer::Server server_;
  propagation::HeldRequests held_;
  std::map<propagation::HeldRequests::Id, HeldPoll> held_polls_;
  propagation::HeldRequests::Id next_id_ = 0;
  propagation::DocumentFetch fetch_;
  propagation::DocumentPacer pacer_;
  /// Version that `pacer_` knows the holders of.
  std::uint64_t paced_version_ = 0;
  std::map<std::string, Reported> reported_;
  bool stopped_ = false;
};

}  // namespace kingcupshed::daemon
