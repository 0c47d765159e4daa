#pragma once

#include <functional>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "kingcupshed/catalog/record_cache.h"
#include "kingcupshed/catalog/target_catalog.h"
#include "kingcupshed/core/time.h"
#include "kingcupshed/platform/store.h"

namespace kingcupshed::peer::wire {
class Published;
}  // namespace kingcupshed::peer::wire

namespace kingcupshed::daemon {

/// Outcome of a read of the targets from the store.
struct TargetRead {
  platform::StoreStatus status;
  /// Time that the read took.
  Duration elapsed{};
  /// Average time of the calls of which it consisted.
  Duration call_time{};
};

/// Keeps the newest known targets, read from the store or received from other
/// VMs.
class TargetFollower {
 public:
  struct Hooks {
    /// Called when the targets or their assumed state have changed.
    std::function<void()> on_targets;
    /// Called with a response of another VM that can't be decoded.
    std::function<void()> on_invalid_targets;
    /// Called with a target that gets no new work from now on.
    std::function<void(const catalog::Departure&)> on_departure;
  };

  TargetFollower(const platform::Store& store, Hooks hooks);

  /// Reads the targets from the store: all of them the first time and after the
  /// store has dropped records, what is new otherwise.
  [[nodiscard]] boost::asio::awaitable<TargetRead> Read();

  /// Applies the targets received from another VM.
  /// @return False if they can't be decoded.
  [[nodiscard]] bool ApplyFromPeer(const peer::wire::Published& published);

  /// Records that the known targets were read from the store at `read_at` or
  /// later.
  void RecordCurrent(TimePoint read_at) noexcept;

  /// Records that neither the store nor other VMs have current targets.
  void RecordOutage(TimePoint now) { catalog_.OnOutage(now); }

  /// Records that the targets come from the store again, by this VM's reads or
  /// by those of another.
  void RecordReachable(TimePoint now) { catalog_.OnReadSucceeded(now); }

  /// Completes removals that were delayed to let targets register again.
  void Advance(TimePoint now);

  /// Adds the targets that a VM lacks to a response.
  /// @param known_up_to Offset up to which it has them; zero for none.
  void AddTo(peer::wire::Published& response, LogOffset known_up_to);

  [[nodiscard]] const catalog::TargetCatalog& catalog() const noexcept {
    return catalog_;
  }
  /// Returns when the known targets were read from the store, by this VM or the
  /// one from which it received them.
  [[nodiscard]] std::optional<TimePoint> current_at() const noexcept {
    return current_at_;
  }
  /// Returns the offset up to which the targets are known, if they are.
  [[nodiscard]] std::optional<LogOffset> next_offset() const noexcept {
    return next_offset_;
  }

 private:
  void Apply(const platform::KeyedPage& page, bool complete);
  const std::string& CompressAll();

  const platform::Store& store_;
  Hooks hooks_;
  catalog::TargetCatalog catalog_;
  catalog::RecordCache records_;
  std::optional<TimePoint> current_at_;
  std::optional<LogOffset> next_offset_;
  /// All target records, compressed, and the offset that they are valid for.
  std::string compressed_;
  std::optional<LogOffset> compressed_offset_;
};

}  // namespace kingcupshed::daemon
