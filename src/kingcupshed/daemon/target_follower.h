#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "kingcupshed/catalog/record_cache.h"
#include "kingcupshed/catalog/target_catalog.h"
#include "kingcupshed/core/time.h"
#include "kingcupshed/daemon/topic_reader.h"
#include "kingcupshed/platform/store.h"

namespace kingcupshed::peer::wire {
class Published;
}  // namespace kingcupshed::peer::wire

namespace kingcupshed::daemon {

/// Keeps the newest known targets, read from the store or received from other
/// VMs.
class TargetFollower {
 public:
  struct Hooks {
    /// Called when the targets or their assumed state have changed.
    std::function<void()> on_targets;
    /// Called with a response of another VM that can't be decoded.
    std::function<void()> on_invalid_targets;
    /// Called with the key of an entry that names no target, once until the
    /// entry is removed.
    std::function<void(const std::string& key)> on_ignored_entry;
    /// Called with a target that gets no new work from now on.
    std::function<void(const catalog::Departure&)> on_departure;
  };

  TargetFollower(const platform::Store& store, Hooks hooks);

  /// Reads the targets from the store: all of them the first time and after the
  /// store has dropped records, what is new otherwise.
  [[nodiscard]] boost::asio::awaitable<TopicRead> Read();

  /// Applies the targets received from another VM.
  /// @return False if they can't be decoded.
  [[nodiscard]] bool ApplyFromPeer(const peer::wire::Published& published);

  /// Records that neither the store nor other VMs have current targets.
  void RecordOutage() { catalog_.OnOutage(); }

  /// Records that other VMs read the targets.
  /// @param gap Time from their previous read until this one, or more.
  void RecordReadByOthers(Duration gap, TimePoint now) {
    catalog_.OnReadByOthers(gap, now);
  }

  /// Records that a response of a target said that it leaves.
  void OnLeavingResponse(const std::string& target, TimePoint now);

  /// Completes removals that were delayed to let targets register again.
  void Advance(TimePoint now);

  /// Adds the targets that a VM lacks to a response.
  /// @param known_up_to Offset up to which it has them; zero for none.
  void AddTo(peer::wire::Published& response, LogOffset known_up_to);

  [[nodiscard]] const catalog::TargetCatalog& catalog() const noexcept {
    return catalog_;
  }
  /// Returns true once targets have arrived.
  [[nodiscard]] bool loaded() const noexcept { return loaded_; }
  /// Returns the records to pass on to other VMs.
  [[nodiscard]] const catalog::RecordCache& records() const noexcept {
    return records_;
  }
  /// Returns the offset up to which the targets are known, if they are.
  [[nodiscard]] std::optional<LogOffset> next_offset() const noexcept {
    return next_offset_;
  }

 private:
  void Apply(const platform::KeyedPage& page, bool complete);
  void ApplyEntry(const platform::KeyedRecord& record, TimePoint now);
  void ApplyRemoval(const platform::KeyedRecord& record, TimePoint now);
  void RecordIgnored(const std::string& key);
  const std::string& CompressAll();

  const platform::Store& store_;
  Hooks hooks_;
  catalog::TargetCatalog catalog_;
  catalog::RecordCache records_;
  /// Keys of entries that name no target.
  std::set<std::string> ignored_keys_;
  bool loaded_ = false;
  std::optional<LogOffset> next_offset_;
  /// All target records, compressed, and the offset that they are valid for.
  std::string compressed_;
  std::optional<LogOffset> compressed_offset_;
};

}  // namespace kingcupshed::daemon
