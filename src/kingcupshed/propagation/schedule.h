#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "kingcupshed/core/random.h"
#include "kingcupshed/core/time.h"
#include "kingcupshed/propagation/content.h"
#include "kingcupshed/propagation/source_order.h"

namespace kingcupshed::propagation {

/// Read a content from the store, without waiting for a change.
struct ReadStore {
  Content content{};
};

/// Poll another VM.
struct PollVm {
  std::string vm;
  /// Maximum time for which the other VM holds the poll; zero for a response at
  /// once.
  Duration wait{};
  /// Time after which the poll counts as failed.
  Duration timeout{};
};

using Action = std::variant<ReadStore, PollVm>;

/// Decides when a VM reads the store and which other VMs it polls.
///
/// Each source is used on account of the age of the VM's copies alone, and no
/// source waits for another:
/// - a poll that waits is always out at the primary source (`SourceOrder`);
/// - the head of the first zone reads the store when its copy is older than the
///   interval of reads; the heads of the further zones do so at greater ages,
///   one after the other, and so only when those before them fail;
/// - when a copy gets older than any of these leave it, further VMs are polled
///   in turn, and at last the VM reads the store itself.
class Schedule {
 public:
  /// @param first_start True if the whole fleet starts for the first time.
  Schedule(const std::string& self,
           std::string zone,
           bool first_start,
           TimePoint now);

  /// Replaces the other VMs.
  /// @param zones Their names by zone.
  void SetVms(const std::map<std::string, std::vector<std::string>>& zones) {
    order_.SetVms(zones);
  }

  /// Records that the list of VMs was read from the store.
  void OnVmsListed(TimePoint now) noexcept;

  /// Records that this VM's copy of a content is known to have been complete.
  void OnCurrent(Content content, TimePoint at) noexcept {
    current_.Advance(content, at);
  }

  /// Records the end of a read of the store.
  /// @param succeeded False if the store didn't respond or refused.
  void OnReadEnded(Content content, bool succeeded, TimePoint now);

  /// Records the response to a poll. `OnCurrent` must be called before with
  /// what it proves.
  /// @param provider Since when the other VM's copies are known to be complete.
  void OnPollResponded(const std::string& vm,
                       const CurrentTimes& provider,
                       TimePoint now);

  /// Records that a poll got no response.
  void OnPollFailed(const std::string& vm, TimePoint now);

  /// Returns what is due.
  [[nodiscard]] std::vector<Action> Advance(TimePoint now);

  /// Returns when `Advance` is due next unless something happens before.
  [[nodiscard]] TimePoint NextWake() const noexcept { return next_wake_; }

  [[nodiscard]] const CurrentTimes& current() const noexcept {
    return current_;
  }
  [[nodiscard]] bool IsHead(TimePoint now) const { return order_.IsHead(now); }

  /// Describes the sources that are used now, for the log.
  [[nodiscard]] std::string Describe(TimePoint now) const;

 private:
  struct Read {
    bool pending = false;
    std::uint32_t failures = 0;
    /// Earliest time of the next read.
    TimePoint not_before{};
  };

  void AddReads(TimePoint now, std::vector<Action>& actions);
  void AddPrimaryPoll(TimePoint now, std::vector<Action>& actions);
  void AddFallbackPoll(TimePoint now, std::vector<Action>& actions);
  void Poll(const std::string& vm, Duration wait, std::vector<Action>& actions);
  void WakeAt(TimePoint at) noexcept;
  /// Returns when the VM reads a content unless its copy becomes newer.
  [[nodiscard]] TimePoint ReadTime(Content content, TimePoint now) const;
  /// Returns the mean interval of polls of further VMs while this VM has no
  /// copy.
  [[nodiscard]] Duration StartupFallbackInterval() const;
  /// Returns when the VM first reads, while it has no copy.
  [[nodiscard]] TimePoint FirstReadTime(TimePoint now) const;
  /// Returns the age of a copy at which the VM reads the store.
  [[nodiscard]] Duration ReadAge(TimePoint now) const;
  [[nodiscard]] Duration WithJitter(Duration mean);

  SourceOrder order_;
  bool first_start_;
  Random random_;
  TimePoint started_;
  std::optional<TimePoint> listed_;
  CurrentTimes current_;
  std::array<Read, kContents.size()> reads_;
  /// VMs whose response is outstanding.
  std::set<std::string> polled_;
  TimePoint next_primary_poll_{};
  TimePoint next_fallback_poll_{};
  std::size_t fallback_index_ = 0;
  /// Last response of another VM.
  std::optional<TimePoint> last_response_;
  TimePoint next_wake_{};
};

}  // namespace kingcupshed::propagation
