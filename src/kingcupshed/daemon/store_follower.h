#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "kingcupshed/catalog/reader_selector.h"
#include "kingcupshed/catalog/record_cache.h"
#include "kingcupshed/catalog/store_health.h"
#include "kingcupshed/catalog/target_catalog.h"
#include "kingcupshed/core/random.h"
#include "kingcupshed/daemon/route_follower.h"
#include "kingcupshed/peer/client.h"
#include "kingcupshed/peer/server.h"
#include "kingcupshed/platform/store.h"
#include "kingcupshed/route/route_table.h"

namespace kingcupshed::daemon {

/// What a store follower tells the VM.
struct StoreHooks {
  /// Routes of a higher version than any before are published.
  std::function<void(route::RouteTable)> on_routes;
  /// Targets, or what is believed of them, changed.
  std::function<void()> on_targets;
  /// The number of VMs that registered changed.
  std::function<void(std::size_t count)> on_vms;
  /// A dependency was lost or regained, or news could not be used.
  std::function<void(std::string kind, std::string detail)> on_event;
};

/// Where this VM stands among the others.
struct VmPlace {
  std::string vm;
  std::string zone;
  std::string peer_address;
};

/// Keeps what is published in the platform's store: routes, targets and VMs.
///
/// In each zone one VM reads the store and the others ask it (see
/// `catalog::ReaderSelector`); a VM whose sources are silent or stale reads for
/// itself. Readers get routes by a poll that waits for changes, and targets,
/// which change all the time, at a fixed pace.
class StoreFollower {
 public:
  /// @param first_start True when the whole fleet starts for the first time.
  StoreFollower(boost::asio::io_context& io,
                const platform::Store& store,
                VmPlace place,
                bool first_start,
                StoreHooks hooks);

  /// Starts serving the other VMs and following the store.
  /// @return False when the VM's address for others can't be bound.
  [[nodiscard]] bool Start();

  /// Ends calls from and to other VMs.
  void Stop();

  [[nodiscard]] const catalog::TargetCatalog& targets() const noexcept {
    return catalog_;
  }

  /// Returns true once the targets were read.
  [[nodiscard]] bool knows_targets() const noexcept {
    return newest_read_.has_value();
  }

 private:
  using Page = platform::KeyedPage;

  /// What came of a question to another VM.
  enum class AskResult : std::uint8_t {
    kFresh,
    /// It answered, with news that are old.
    kOld,
    /// It answered that it knows nothing yet.
    kNothing,
    kSilent,
  };

  boost::asio::awaitable<void> FollowRoutes();
  boost::asio::awaitable<void> FollowTargets();
  boost::asio::awaitable<void> CheckRoutes();
  boost::asio::awaitable<bool> ReadTargets();
  boost::asio::awaitable<bool> AskOthers();
  boost::asio::awaitable<AskResult> Ask(std::string vm);
  void DoubtOutdated();
  boost::asio::awaitable<void> Register();
  boost::asio::awaitable<void> FollowVms();
  boost::asio::awaitable<void> AdvanceTargets();
  boost::asio::awaitable<void> Pause(Duration duration);
  [[nodiscard]] Duration Jittered(Duration usual);
  [[nodiscard]] Duration Backoff();
  const std::string& PackAllTargets();
  void Answer(const peer::wire::PublishedRequest& request,
              peer::wire::Published& answer);
  [[nodiscard]] bool Take(const peer::wire::Published& news, TimePoint asked);
  void TakeTargets(const Page& page, bool whole);
  void TakeVm(const std::string& vm,
              const std::string& zone,
              const std::string& peer_address);
  void TakeVms(const Page& page);
  void RenewReaders();
  void NoteStore(bool reached);
  [[nodiscard]] bool IsTurn(TimePoint now,
                            std::optional<TimePoint> known) const;

  boost::asio::io_context& io_;
  const platform::Store& store_;
  VmPlace place_;
  bool first_start_;
  StoreHooks hooks_;
  Random random_;
  peer::Client client_;
  peer::Server server_;

  RouteFollower routes_;
  catalog::TargetCatalog catalog_;
  catalog::RecordCache records_;
  catalog::ReaderSelector readers_;
  catalog::StoreHealth health_;
  TimePoint started_;
  /// Other VMs by name.
  std::map<std::string, VmPlace> vms_;
  /// When what is known of the targets was read from the store, by this VM or
  /// the one that it asked.
  std::optional<TimePoint> newest_read_;
  std::optional<LogOffset> targets_next_;
  /// All records packed, and where the log was read to then.
  std::string packed_targets_;
  std::optional<LogOffset> packed_at_;
  bool store_reached_ = true;
  /// Reads of targets that failed in a row.
  std::uint32_t store_failures_ = 0;
  /// When the store may be read again after a failure.
  TimePoint next_read_{};
  /// True once the other VMs were listed.
  bool listed_ = false;
  /// True when the store has this VM's entry from a life before.
  bool registered_ = false;
  /// True when one of the VMs that were asked last did answer.
  bool answered_ = false;
  /// Those of them that had no fresh news.
  std::vector<std::string> outdated_;
};

}  // namespace kingcupshed::daemon
