#pragma once

#include <functional>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "kingcupshed/core/ids.h"
#include "kingcupshed/core/log_record.h"
#include "kingcupshed/daemon/runtime.h"
#include "kingcupshed/platform/client.h"
#include "kingcupshed/table/follower.h"

namespace kingcupshed::daemon {

/// Callbacks of the table follower.
struct TableFollowerHooks {
  /// Called when another version becomes active.
  std::function<void(const table::Table&)> on_active_table;
  /// Called once, when the VM knows enough of the table to serve callers.
  std::function<void()> on_caught_up;
};

/// Follows the versions of the table, read from the platform's log or received
/// from peers.
class TableFollower {
 public:
  /// @param runtime Must outlive the follower, as must `platform`.
  TableFollower(Runtime& runtime,
                const platform::Client& platform,
                TableFollowerHooks hooks);

  /// Starts reading the log and appending checkpoints.
  void Start();

  /// Applies the newest version of a peer; an older one is ignored.
  /// @param next_offset The version was active after all records before this
  ///   offset.
  void ApplyFromPeer(TableVersion version,
                     std::string csv,
                     LogOffset next_offset);

  /// Returns the newest version, to send it to peers, or nothing.
  [[nodiscard]] std::optional<table::Checkpoint> NewestForPeers() const;

  /// Renders the page that `table status` reads, as JSON.
  [[nodiscard]] std::string RenderStatusPage() const;

 private:
  boost::asio::awaitable<void> FollowLog();
  boost::asio::awaitable<void> ReadWithLongTimeout();
  boost::asio::awaitable<void> AppendCheckpoints();
  void ApplyPage(LogOffset from, const LogPage& page);
  void HandleOutcome(const table::FollowerOutcome& outcome);
  void NotifyIfCaughtUp();

  Runtime& runtime_;
  const platform::Client& platform_;
  TableFollowerHooks hooks_;
  table::Follower follower_;
  boost::asio::steady_timer checkpoint_timer_;
  /// True while a read with the long timeout is in progress.
  bool slow_read_pending_ = false;
  bool caught_up_ = false;
};

}  // namespace kingcupshed::daemon
