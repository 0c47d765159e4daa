#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "kingcupshed/catalog/reader_selector.h"
#include "kingcupshed/catalog/store_health.h"
#include "kingcupshed/catalog/target_catalog.h"
#include "kingcupshed/core/random.h"
#include "kingcupshed/daemon/route_follower.h"
#include "kingcupshed/daemon/target_follower.h"
#include "kingcupshed/daemon/vm_directory.h"
#include "kingcupshed/peer/client.h"
#include "kingcupshed/peer/server.h"
#include "kingcupshed/platform/store.h"
#include "kingcupshed/route/route_table.h"

namespace kingcupshed::daemon {

/// Callbacks of the store follower.
struct StoreHooks {
  /// Called with routes of a higher version than all before.
  std::function<void(route::RouteTable)> on_routes;
  /// Called when the targets or their assumed state have changed.
  std::function<void()> on_targets;
  /// Called when the number of known VMs, including this one, has changed.
  std::function<void(std::size_t count)> on_vms;
  /// Called with an event for the log: the store or the VMs that are polled
  /// were lost or regained, routes came from somewhere, or data was invalid.
  std::function<void(std::string kind, std::string detail)> on_event;
};

/// Follows the data in the platform's store: routes, targets and VMs.
///
/// In each zone one VM, the reader, reads the store and the others poll the
/// reader (see `catalog::ReaderSelector`). A VM whose sources don't respond or
/// are stale reads the store itself. Readers get routes by long polls, and
/// targets, which change all the time, at a fixed interval.
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

  [[nodiscard]] const catalog::TargetCatalog& targets() const noexcept {
    return targets_.catalog();
  }

  /// Returns true once the targets have been read, by this VM or another.
  [[nodiscard]] bool has_targets() const noexcept {
    return targets_.current_at().has_value();
  }

 private:
  /// Outcome of polling another VM.
  enum class PollResult : std::uint8_t {
    kFresh,
    /// The VM responded with stale data, or with data no newer than that of
    /// this VM, whose own reads fail.
    kStale,
    /// The VM responded without data, or with data that can't be decoded.
    kNoData,
    kNoResponse,
  };

  static const char* PollResultName(PollResult result);
  boost::asio::awaitable<void> FollowRoutes();
  [[nodiscard]] Duration RoutePollWait(TimePoint now) const;
  boost::asio::awaitable<void> FollowTargets();
  [[nodiscard]] Duration NextUpdateDelay(bool polled);
  void ReadRoutesIfPollUnreliable();
  boost::asio::awaitable<bool> ReadTargetsUnlessOverdue();
  boost::asio::awaitable<void> ReadTargets();
  boost::asio::awaitable<bool> FetchTargets();
  void OnTargetReadOverdue();
  boost::asio::awaitable<bool> PollPeers();
  boost::asio::awaitable<PollResult> PollPeer(catalog::PeerPoll poll);
  [[nodiscard]] PollResult JudgeFreshness(Duration age, TimePoint requested_at);
  void SuspectStalePeers();
  boost::asio::awaitable<void> RegisterSelf();
  boost::asio::awaitable<void> PollVmList();
  boost::asio::awaitable<void> AdvanceCatalogPeriodically();
  boost::asio::awaitable<void> Sleep(Duration duration);
  [[nodiscard]] Duration WithJitter(Duration mean);
  [[nodiscard]] Duration NextBackoff();
  void HandleRequest(const peer::wire::PublishedRequest& request,
                     peer::wire::Published& response);
  [[nodiscard]] bool ApplyPublished(const std::string& vm,
                                    const peer::wire::Published& published,
                                    TimePoint requested_at);
  void OnVmsChanged();
  void RecordDeparture(const catalog::Departure& departure);
  void RecordStoreRead(bool succeeded, Duration elapsed);
  void RecordPollRound(const std::string& fresh_source);
  [[nodiscard]] bool ShouldReadNow(TimePoint now,
                                   std::optional<TimePoint> current_at) const;

  boost::asio::io_context& io_;
  bool first_start_;
  StoreHooks hooks_;
  VmDirectory vms_;
  Random random_;
  peer::Client client_;
  peer::Server server_;

  RouteFollower routes_;
  TargetFollower targets_;
  catalog::ReaderSelector readers_;
  catalog::StoreHealth health_;
  TimePoint started_at_;
  /// True while a read of targets is in progress.
  bool target_read_pending_ = false;
  /// True if the last read of targets brought an update.
  bool target_read_succeeded_ = false;
  /// Cancelled when a read of targets ends.
  boost::asio::steady_timer target_read_ended_;
  bool store_reachable_ = true;
  /// Number of consecutive reads of targets that failed.
  std::uint32_t store_failures_ = 0;
  /// Earliest time of the next read of targets after a failure.
  TimePoint next_read_at_{};
  /// True if a VM responded in the last round of polls.
  bool peer_responded_ = false;
  /// VMs that responded without fresh data in that round.
  std::vector<std::string> stale_peers_;
  /// Results of that round, for the log.
  std::string round_results_;
  /// True if no VM had fresh data in the last round, or none was polled yet.
  bool sources_stale_ = true;
};

}  // namespace kingcupshed::daemon
