#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "kingcupshed/catalog/route_freshness.h"
#include "kingcupshed/core/ids.h"
#include "kingcupshed/core/log_record.h"
#include "kingcupshed/platform/store.h"
#include "kingcupshed/route/route_table.h"

namespace kingcupshed::daemon {

/// Routes received from another VM.
struct PeerRoutes {
  /// Version of the other VM's routes; zero if it has none.
  std::uint64_t version = 0;
  /// The published routes document, compressed; empty if the version is not
  /// newer than that of this VM.
  std::string compressed;
  /// When the other VM's routes were last known to be the newest.
  std::optional<TimePoint> current_at;
};

/// Keeps the newest published routes, read from the store or received from
/// other VMs. A version is only ever replaced by a higher one.
class RouteFollower {
 public:
  /// Callbacks of the route follower.
  struct Hooks {
    /// Called with routes of a higher version than all before.
    /// @param source Name of the VM that sent them; empty if this VM read them.
    std::function<void(route::RouteTable, const std::string& source)> on_routes;
    /// Called when published routes can't be decoded; they are ignored.
    std::function<void()> on_invalid_routes;
  };

  RouteFollower(const platform::Store& store, Hooks hooks);

  /// Reads the changes since the last read, or all routes if there was none.
  /// @param wait Maximum time to wait for a change; zero to read
  ///   without waiting.
  [[nodiscard]] boost::asio::awaitable<platform::StoreStatus> Read(
      Duration wait);

  /// Reads pending changes without waiting, in parallel to a long poll. Does
  /// nothing before the first read, nor while such a read is in progress.
  /// @return True if the routes were read.
  boost::asio::awaitable<bool> ReadWithoutWaiting();

  /// Applies routes received from another VM.
  /// @param vm Name of the other VM.
  void ApplyFromPeer(const std::string& vm, const PeerRoutes& routes);

  /// Returns true while a read is in progress.
  [[nodiscard]] bool read_in_progress() const noexcept {
    return read_in_progress_;
  }

  /// Returns how recent the routes are known to be.
  [[nodiscard]] catalog::RouteFreshness& freshness() noexcept {
    return freshness_;
  }
  [[nodiscard]] const catalog::RouteFreshness& freshness() const noexcept {
    return freshness_;
  }

  /// Returns the active version; zero before the first one.
  [[nodiscard]] std::uint64_t version() const noexcept {
    return version_ ? ToIndex(*version_) : 0;
  }

  /// Returns the active routes document, compressed to send it to other VMs.
  [[nodiscard]] const std::string& compressed();

 private:
  void ApplyPage(const platform::KeyedPage& page);
  void ApplyDocument(const std::string& document, const std::string& source);

  const platform::Store& store_;
  Hooks hooks_;
  catalog::RouteFreshness freshness_;
  std::optional<TableVersion> version_;
  /// The active routes as published.
  std::string document_;
  /// Compressed on first use; empty before.
  std::string compressed_;
  /// Offset to continue reading from; nothing to list the topic again.
  std::optional<LogOffset> next_offset_;
  bool read_in_progress_ = false;
  /// True while a read in parallel to a long poll is in progress.
  bool parallel_read_in_progress_ = false;
};

}  // namespace kingcupshed::daemon
