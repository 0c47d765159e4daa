#pragma once

#include <array>
#include <functional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "kingcupshed/catalog/target_catalog.h"
#include "kingcupshed/core/random.h"
#include "kingcupshed/daemon/peer_exchange.h"
#include "kingcupshed/daemon/route_follower.h"
#include "kingcupshed/daemon/target_follower.h"
#include "kingcupshed/daemon/vm_directory.h"
#include "kingcupshed/metrics/latency_histogram.h"
#include "kingcupshed/platform/store.h"
#include "kingcupshed/propagation/schedule.h"
#include "kingcupshed/route/route_table.h"

namespace kingcupshed::daemon {

/// Callbacks of the store follower.
struct StoreHooks {
  /// Called with routes of a higher version than all before.
  std::function<void(route::RouteTable)> on_routes;
  /// Called when the targets or their assumed state have changed.
  std::function<void()> on_targets;
  /// Called when the known VMs have changed.
  /// @param others Names of the other VMs by zone.
  std::function<void(const VmNamesByZone& others)> on_vms;
  /// Called with an event for the log: the store or the VMs that are polled
  /// were lost or regained, routes came from somewhere, or data was invalid.
  std::function<void(std::string kind, std::string detail)> on_event;
};

/// Oldest age of this VM's copies before each update, by content.
using CopyAges =
    std::array<metrics::LatencyHistogram, propagation::kContents.size()>;

/// Follows the data in the platform's store: routes, targets and VMs.
///
/// `propagation::Schedule` decides when this VM reads the store and which other
/// VMs it polls for what they have read; this class carries that out.
class StoreFollower {
 public:
  /// @param first_start True if the whole fleet starts for the first time.
  StoreFollower(boost::asio::io_context& io,
                const platform::Store& store,
                VmEndpoint self,
                bool first_start,
                StoreHooks hooks);

  /// Starts serving the other VMs and following the store.
  /// @return False if the VM's address for other VMs can't be bound.
  [[nodiscard]] bool Start();

  /// Ends calls from and to other VMs and stops serving them.
  void Stop();

  /// Records that a response of a target said that it leaves.
  void OnLeavingResponse(const std::string& target);

  [[nodiscard]] const catalog::TargetCatalog& targets() const noexcept {
    return targets_.catalog();
  }

  /// Returns true once the targets have been read, by this VM or another.
  [[nodiscard]] bool has_targets() const noexcept { return targets_.loaded(); }

  [[nodiscard]] const CopyAges& copy_ages() const noexcept {
    return copy_ages_;
  }

 private:
  void Drive();
  void ScheduleDrive();
  void Carry(const propagation::Action& action);
  boost::asio::awaitable<void> ReadRoutes();
  boost::asio::awaitable<void> ReadTargets();
  void EndRead(propagation::Content content,
               const TopicRead& read,
               TimePoint sent_at);
  boost::asio::awaitable<void> Poll(propagation::PollVm poll);
  boost::asio::awaitable<void> FetchRoutes(std::string vm);
  void RecordCurrent(propagation::Content content, TimePoint at);
  void RecordStaleness(TimePoint now);
  boost::asio::awaitable<void> RegisterSelf();
  boost::asio::awaitable<void> PollVmList();
  boost::asio::awaitable<void> AdvanceCatalogPeriodically();
  boost::asio::awaitable<void> Sleep(Duration duration);
  [[nodiscard]] Duration RetryDelay();
  void OnVmsChanged();
  void RecordDeparture(const catalog::Departure& departure);
  [[nodiscard]] std::string AgeText(propagation::Content content) const;

  boost::asio::io_context& io_;
  bool first_start_;
  StoreHooks hooks_;
  VmDirectory vms_;
  Random random_;
  RouteFollower routes_;
  TargetFollower targets_;
  propagation::Schedule schedule_;
  PeerExchange exchange_;
  /// Wakes the schedule.
  boost::asio::steady_timer wake_;
  bool drive_scheduled_ = false;
  bool stopped_ = false;
  bool store_reachable_ = true;
  /// True while the older copy is older than on a calm day.
  bool stale_ = false;
  CopyAges copy_ages_;
};

}  // namespace kingcupshed::daemon
