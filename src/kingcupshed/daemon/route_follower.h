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

/// Keeps the newest published routes, read from the store or told by other
/// VMs; only ever a higher version replaces the one that holds.
class RouteFollower {
 public:
  /// What a route follower tells.
  struct Hooks {
    /// Routes of a higher version than any before are published.
    std::function<void(route::RouteTable)> on_routes;
    /// Routes were published that can't be used.
    std::function<void()> on_unusable;
  };

  RouteFollower(const platform::Store& store, Hooks hooks);

  /// Reads on from the last place, or everything when there is none.
  /// @param wait Longest wait for a change; none to read what is there.
  [[nodiscard]] boost::asio::awaitable<platform::StoreStatus> Read(
      Duration wait);

  /// Reads what is there, beside a poll that waits; nothing before the first
  /// read.
  [[nodiscard]] boost::asio::awaitable<void> Check();

  /// Takes routes that another VM has.
  /// @param packed The routes as published, packed; empty when they are not
  ///   newer.
  /// @param current When they were known to be current.
  void TakeTold(const std::string& packed, std::optional<TimePoint> current);

  /// Returns true while a read is under way.
  [[nodiscard]] bool reading() const noexcept { return reading_; }

  /// See `catalog::RouteFreshness`.
  [[nodiscard]] catalog::RouteFreshness& watch() noexcept { return watch_; }
  [[nodiscard]] const catalog::RouteFreshness& watch() const noexcept {
    return watch_;
  }

  /// Version in force; zero before the first one.
  [[nodiscard]] std::uint64_t version() const noexcept {
    return version_ ? ToIndex(*version_) : 0;
  }

  /// Returns the routes in force as they were published, packed for others.
  [[nodiscard]] const std::string& packed();

 private:
  void Take(const platform::KeyedPage& page);
  void TakeText(const std::string& text);

  const platform::Store& store_;
  Hooks hooks_;
  catalog::RouteFreshness watch_;
  std::optional<TableVersion> version_;
  std::string text_;
  /// Made when first asked for; empty before.
  std::string packed_;
  /// Offset from which to read on.
  std::optional<LogOffset> next_;
  bool reading_ = false;
};

}  // namespace kingcupshed::daemon
