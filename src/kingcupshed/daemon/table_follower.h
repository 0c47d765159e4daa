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

/// What the follower tells the daemon.
struct TableFollowerHooks {
  /// Another version is in force.
  std::function<void(const table::Table&)> in_force;
  /// The VM knows enough of the table to serve callers; called once.
  std::function<void()> caught_up;
};

/// Follows the table on the platform's log and among the peers.
class TableFollower {
 public:
  /// @param runtime Outlives the follower, as does `platform`.
  TableFollower(Runtime& runtime,
                const platform::Client& platform,
                TableFollowerHooks hooks);

  /// Starts reading the log and renewing checkpoints.
  void Start();

  /// Takes the newest version of a peer: it was in force after every record
  /// before `next`. Older ones are ignored.
  void Adopt(TableVersion version, std::string csv, LogOffset next);

  /// Returns the newest version to pass on to peers, or nothing.
  [[nodiscard]] std::optional<table::Checkpoint> Newest() const;

  /// Renders the page that `table status` reads, as JSON.
  [[nodiscard]] std::string RenderPage() const;

 private:
  boost::asio::awaitable<void> FollowLog();
  boost::asio::awaitable<void> ReadPatiently();
  boost::asio::awaitable<void> RenewCheckpoints();
  void TakePage(LogOffset from, const LogPage& page);
  void Report(const table::FollowerOutcome& outcome);
  void ReportCaughtUp();

  Runtime& runtime_;
  const platform::Client& platform_;
  TableFollowerHooks hooks_;
  table::Follower follower_;
  boost::asio::steady_timer checkpoint_timer_;
  bool patient_read_ = false;
  bool caught_up_ = false;
};

}  // namespace kingcupshed::daemon
