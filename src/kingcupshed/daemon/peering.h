#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "kingcupshed/core/ids.h"
#include "kingcupshed/core/log_record.h"
#include "kingcupshed/daemon/runtime.h"
#include "kingcupshed/membership/membership.h"
#include "kingcupshed/peer/client.h"
#include "kingcupshed/peer/server.h"
#include "kingcupshed/platform/client.h"

namespace kingcupshed::daemon {

/// A table version that was accepted on the log.
struct AcceptedTable {
  TableVersion version{};
  std::string csv;
  /// Log offset just past the record with which it was accepted.
  LogOffset next_offset{};
};

/// Callbacks from peering to the other parts of the VM; all run on the VM's
/// thread.
struct PeeringHooks {
  /// Called when a target starts or stops leaving.
  std::function<void(TargetId target, bool leaving)> on_leaving_changed;
  /// Returns the newest accepted table, or nothing if none is known.
  std::function<std::optional<AcceptedTable>()> newest_table;
  /// Applies an accepted table received from a peer.
  std::function<void(AcceptedTable table)> apply_table;
  /// Handles a peer's request for the state of a claim.
  std::function<void(const peer::wire::KeptAnswerRequest& request,
                     peer::wire::KeptAnswer& response)>
      find_cached_response;
  /// Adds the credit owed to a peer to an outgoing message.
  std::function<void(const std::string& vm, peer::wire::Gossip& message)>
      add_credit;
  /// Applies the credit and the credit needs of a received message.
  std::function<void(const peer::wire::Gossip& message)> apply_credit;
};

/// Exchanges membership, drain marks, tables and credit with other VMs by
/// gossip.
class Peering {
 public:
  Peering(Runtime& runtime,
          const platform::Client& platform,
          PeeringHooks hooks);

  /// Starts serving peers and the gossip rounds.
  /// @return False if the peer address can't be bound.
  [[nodiscard]] bool Start();

  /// Advertises to peers that this VM is leaving.
  void AnnounceLeaving();

  /// Ends all calls from and to peers and stops serving them.
  void Stop();

  /// Handles a drain mark observed in a target's response.
  void OnDrainMark(TargetId target);

  /// Applies the platform's list of targets.
  /// @param requested_at When the request for the list was sent.
  void SetTargetList(const std::vector<membership::ListedTarget>& targets,
                     timeline::HybridTime requested_at);

  /// Returns whether a target is leaving and must get no new work.
  [[nodiscard]] bool IsLeaving(TargetId target) const {
    return membership_.IsLeaving(target);
  }

  /// Advances this VM's hybrid logical clock and returns its time.
  [[nodiscard]] timeline::HybridTime Now();

  /// Renders the known state of the fleet as JSON.
  [[nodiscard]] std::string RenderPage() const;

  /// Returns the address of a VM's peer service; empty if it is unknown.
  [[nodiscard]] std::string AddressOf(const std::string& vm) const;

  /// Returns the client that calls other VMs.
  [[nodiscard]] peer::Client& client() noexcept { return client_; }

  /// Returns the known state of the VMs and of leaving targets.
  [[nodiscard]] const membership::Membership& membership() const noexcept {
    return membership_;
  }

 private:
  boost::asio::awaitable<void> PollVmList();
  boost::asio::awaitable<void> RunGossipRounds();
  void Send(const std::vector<membership::Envelope>& envelopes);
  void HandleGossip(const peer::wire::Gossip& request,
                    peer::wire::Gossip& response);
  void ApplyGossip(const peer::wire::Gossip& message);
  void ApplyTable(const peer::wire::Gossip& message);
  peer::wire::Gossip ToWire(const membership::Message& message);
  membership::Message FromWire(const peer::wire::Gossip& gossip);
  void AddNewerTable(VmId to, peer::wire::Gossip& gossip);
  void NotifyLeavingChanges();

  Runtime& runtime_;
  const platform::Client& platform_;
  PeeringHooks hooks_;
  membership::Membership membership_;
  peer::Client client_;
  peer::Server server_;
  /// Last state passed to `on_leaving_changed`, by target.
  std::map<TargetId, bool> notified_leaving_;
  bool leaving_ = false;
};

}  // namespace kingcupshed::daemon
