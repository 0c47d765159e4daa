#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "kingcupshed/catalog/store_health.h"
#include "kingcupshed/catalog/target_catalog.h"
#include "kingcupshed/core/random.h"
#include "kingcupshed/platform/store.h"
#include "kingcupshed/route/route_table.h"

namespace kingcupshed::daemon {

/// What a store follower tells the VM.
struct StoreHooks {
  /// Routes of a higher version than any before are published.
  std::function<void(route::RouteTable)> on_routes;
  /// Targets, or what is believed of them, changed.
  std::function<void()> on_targets;
  /// The VMs that registered changed.
  std::function<void(std::size_t count)> on_vms;
};

/// Keeps what is published in the platform's store: routes, targets and VMs.
///
/// Routes and VMs are read by long polls, which return when something changes.
/// Targets write too often for that and are read at a fixed pace.
class StoreFollower {
 public:
  /// @param vm Name under which this VM registers.
  StoreFollower(boost::asio::io_context& io,
                const platform::Store& store,
                std::string vm,
                StoreHooks hooks);

  /// Starts the loops.
  void Start();

  [[nodiscard]] const catalog::TargetCatalog& targets() const noexcept {
    return catalog_;
  }

  /// Returns true once the targets were read.
  [[nodiscard]] bool knows_targets() const noexcept { return knows_targets_; }

 private:
  boost::asio::awaitable<void> FollowRoutes();
  boost::asio::awaitable<void> CheckRoutes();
  boost::asio::awaitable<void> FollowTargets();
  boost::asio::awaitable<void> FollowVms();
  boost::asio::awaitable<void> AdvanceTargets();
  boost::asio::awaitable<platform::KeyedPage> Read(
      std::string topic,
      std::optional<LogOffset> next,
      Duration wait);
  boost::asio::awaitable<void> Pause(Duration duration);
  [[nodiscard]] Duration Backoff();
  void TakeRoutes(const platform::KeyedPage& page);
  void TakeTargets(const platform::KeyedPage& page, bool whole);
  void TakeVms(const platform::KeyedPage& page);

  boost::asio::io_context& io_;
  const platform::Store& store_;
  std::string vm_;
  StoreHooks hooks_;
  Random random_;
  catalog::TargetCatalog catalog_;
  catalog::StoreHealth health_;
  TimePoint started_;
  std::optional<TableVersion> version_;
  /// Offset from which routes are read on.
  std::optional<LogOffset> routes_next_;
  std::set<std::string> vms_;
  bool knows_targets_ = false;
};

}  // namespace kingcupshed::daemon
