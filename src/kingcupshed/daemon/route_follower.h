#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "kingcupshed/core/ids.h"
#include "kingcupshed/core/log_record.h"
#include "kingcupshed/daemon/topic_reader.h"
#include "kingcupshed/platform/store.h"
#include "kingcupshed/route/route_table.h"

namespace kingcupshed::daemon {

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
  [[nodiscard]] boost::asio::awaitable<TopicRead> Read();

  /// Applies a routes document received from another VM.
  /// @param vm Name of the other VM.
  /// @param compressed The document; see `compressed`.
  void ApplyFromPeer(const std::string& vm, const std::string& compressed);

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
  std::optional<TableVersion> version_;
  /// The active routes as published.
  std::string document_;
  /// Compressed on first use; empty before.
  std::string compressed_;
  /// Offset to continue reading from; nothing to list the topic again.
  std::optional<LogOffset> next_offset_;
};

}  // namespace kingcupshed::daemon
