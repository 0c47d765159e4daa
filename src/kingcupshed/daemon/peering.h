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

/// A table that the log has accepted.
struct AcceptedTable {
  TableVersion version{};
  std::string csv;
  /// Offset just past the accepting record.
  LogOffset next{};
};

/// What peering needs from the other parts of the VM; all run on its thread.
struct PeeringHooks {
  /// Tells that a target started or stopped leaving.
  std::function<void(TargetId target, bool leaving)> set_leaving;
  /// Returns the newest accepted table, or nothing.
  std::function<std::optional<AcceptedTable>()> newest_table;
  /// Takes an accepted table from a peer.
  std::function<void(AcceptedTable table)> adopt_table;
  /// Answers a peer that asks about a claim.
  std::function<void(const peer::wire::KeptAnswerRequest& request,
                     peer::wire::KeptAnswer& answer)>
      find_cached_response;
  /// Adds credit that is due to a peer to an outgoing message.
  std::function<void(const std::string& vm, peer::wire::Gossip& message)>
      add_credit;
  /// Takes credit and needs out of a message.
  std::function<void(const peer::wire::Gossip& message)> take_credit;
};

/// Exchanges membership, drain marks, tables and credit with other VMs.
class Peering {
 public:
  Peering(Runtime& runtime,
          const platform::Client& platform,
          PeeringHooks hooks);

  /// Starts serving peers and the rounds.
  /// @return False when the peer address can't be bound.
  [[nodiscard]] bool Start();

  /// Tells peers that this VM is leaving.
  void BeginStop();

  /// Ends all calls from and to peers.
  void Stop();

  /// Takes a sighting of a target's drain mark.
  void SeeDrainMark(TargetId target);

  /// Takes the platform's list of targets.
  /// @param read When the request for the list was sent.
  void SetTargetList(const std::vector<membership::ListedTarget>& targets,
                     timeline::HybridTime read);

  /// Returns whether a target gets no new work.
  [[nodiscard]] bool IsLeaving(TargetId target) const {
    return membership_.IsLeaving(target);
  }

  /// Returns the time of this VM's hybrid clock.
  [[nodiscard]] timeline::HybridTime Now();

  /// Returns what is known of the fleet as JSON.
  [[nodiscard]] std::string RenderPage() const;

  /// Returns the address of a VM's peer service, empty when it is unknown.
  [[nodiscard]] std::string AddressOf(const std::string& vm) const;

  /// Returns the client that calls other VMs.
  [[nodiscard]] peer::Client& client() noexcept { return client_; }

  /// Returns what is known of the VMs and leaving targets.
  [[nodiscard]] const membership::Membership& membership() const noexcept {
    return membership_;
  }

 private:
  boost::asio::awaitable<void> FollowVms();
  boost::asio::awaitable<void> RunRounds();
  void Send(const std::vector<membership::Envelope>& envelopes);
  void Answer(const peer::wire::Gossip& request, peer::wire::Gossip& answer);
  void Take(const peer::wire::Gossip& message);
  void TakeTable(const peer::wire::Gossip& message);
  peer::wire::Gossip ToWire(const membership::Message& message);
  membership::Message FromWire(const peer::wire::Gossip& gossip);
  void AddTable(VmId to, peer::wire::Gossip& gossip);
  void ReportLeaving();

  Runtime& runtime_;
  const platform::Client& platform_;
  PeeringHooks hooks_;
  membership::Membership membership_;
  peer::Client client_;
  peer::Server server_;
  std::map<TargetId, bool> reported_;
  bool leaving_ = false;
};

}  // namespace kingcupshed::daemon
