#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "kingcupshed/core/ids.h"
#include "kingcupshed/core/time.h"
#include "kingcupshed/membership/message.h"
#include "kingcupshed/timeline/event.h"

namespace kingcupshed::membership {

/// Configuration of one VM's membership.
struct Config {
  /// Initial state of this VM; its heartbeat starts at zero.
  VmState self;
  /// Seed for the random choice of peers.
  std::uint64_t seed = 1;
  /// Time between two gossip rounds.
  Duration round_interval = std::chrono::seconds(1);
  /// A VM is suspected when its heartbeat hasn't advanced for this long.
  Duration suspect_after = std::chrono::seconds(5);
  /// A suspected VM that the platform doesn't list is forgotten after this
  /// long.
  Duration forget_after = std::chrono::seconds(60);
  /// Upper bound of the lag of the platform's list of targets.
  Duration max_list_lag = std::chrono::seconds(30);
  /// Number of peers per round: one of the own zone, the others from any zone.
  std::size_t fan_out = 2;
  /// Number of peers that the VM that observed a mark pushes it to at once.
  std::size_t push_fan_out = 32;
  /// Interval at which a push is retried to peers that haven't acknowledged it.
  Duration push_retry_interval = std::chrono::milliseconds(300);
  /// Time after which pushes end and only the rounds spread the mark.
  Duration push_timeout = std::chrono::seconds(3);
  /// Gap between two ticks from which this VM counts as having been paused.
  Duration pause_threshold = std::chrono::seconds(1);
  /// Number of peers that a mark received from another VM is relayed to at
  /// once.
  std::size_t relay_fan_out = 2;
};

/// An entry of the platform's list of VMs.
struct ListedVm {
  VmId vm{};
  std::string zone;
  std::string peer_address;
  bool leaving = false;
};

/// An entry of the platform's list of targets.
struct ListedTarget {
  TargetId target{};
  bool leaving = false;
};

/// Last known state of another VM.
struct KnownVm {
  VmState state;
  /// True while the platform's list has the VM.
  bool listed = false;
  bool listed_as_leaving = false;
  /// False before the first heartbeat and while the VM is suspected.
  bool alive = false;
};

/// Tracks which VMs are alive and which targets are leaving.
///
/// Merges the platform's lagging lists with heartbeats and drain marks of
/// peers. A drain mark holds until the list reports the target as live and was
/// read at a time by which it must include what the mark reported. So marks end
/// without a message, and a stale list can't end them early.
class Membership {
 public:
  explicit Membership(Config config);

  /// Applies the platform's list of VMs.
  void SetVmList(const std::vector<ListedVm>& vms, TimePoint now);

  /// Applies the platform's list of targets.
  /// @param requested_at When the request for the list was sent.
  /// @return Messages that push new marks to peers, to be sent at once.
  std::vector<Envelope> SetTargetList(const std::vector<ListedTarget>& targets,
                                      timeline::HybridTime requested_at);

  /// Records that this VM observed a target's drain mark.
  /// @return Messages to send at once.
  std::vector<Envelope> OnDrainMark(TargetId target,
                                    timeline::HybridTime observed_at);

  /// Starts a round when one is due, and retries pushes that were not
  /// acknowledged. Has to be called every 100 ms.
  /// @return Messages to send.
  std::vector<Envelope> Tick(TimePoint now);

  /// Merges a peer's message.
  /// @param clock This VM's hybrid clock; marks with a later time are set back
  ///   to it.
  /// @return Messages that relay new marks, to be sent at once.
  std::vector<Envelope> HandleMessage(const Message& message,
                                      timeline::HybridTime clock,
                                      TimePoint now);

  /// Returns whether the state is fresh enough to start new work. After a pause
  /// of this VM it is not, until a message arrived or a round has passed.
  [[nodiscard]] bool IsCurrent(TimePoint now) const noexcept;

  /// Builds a message for a peer, with the changes that it doesn't have yet.
  [[nodiscard]] Message MakeMessage(VmId to);

  /// Sets the state that this VM reports of itself.
  void SetSelfState(bool leaving, TableVersion table_version) noexcept;

  /// Returns whether a target is leaving and gets no new work.
  [[nodiscard]] bool IsLeaving(TargetId target) const;

  /// Returns every target that was ever marked or listed.
  [[nodiscard]] std::vector<TargetId> KnownTargets() const;

  /// Returns the last known state of the other VMs.
  [[nodiscard]] const std::map<VmId, KnownVm>& vms() const noexcept {
    return vms_;
  }

  /// Returns the state that this VM reports of itself.
  [[nodiscard]] const VmState& self() const noexcept { return config_.self; }

 private:
  /// Replication state towards one VM. Change numbers count the changes of this
  /// VM's records, see `changes_`.
  struct Peer {
    /// When its heartbeat was last seen to advance.
    TimePoint advanced_at{};
    /// Change number of the last change of its state.
    std::uint64_t change = 0;
    /// Change number up to which VM states were sent to it.
    std::uint64_t states_sent = 0;
    /// Change number up to which it has acknowledged marks, in this incarnation
    /// of this VM.
    std::uint64_t marks_acknowledged = 0;
    /// `mark_sequence` up to which its marks were applied, and the incarnation
    /// of the peer in which that holds.
    std::uint64_t marks_applied = 0;
    std::uint64_t marks_incarnation = 0;
  };
  /// What is known of one target from marks and from the platform's list.
  struct TargetState {
    /// Time of the newest mark.
    timeline::HybridTime marked_at{};
    /// Marks observed up to this time are superseded by the platform's list.
    timeline::HybridTime superseded_until{};
    /// Change number of the last change of the mark.
    std::uint64_t change = 0;

    [[nodiscard]] bool is_leaving() const noexcept {
      return marked_at > superseded_until;
    }
  };

  void MergeState(const VmState& state, TimePoint now);
  /// @return Whether the target was not leaving before and is now.
  bool MergeMark(const DrainMark& mark, timeline::HybridTime clock);
  /// Sets the target's mark to a later time.
  /// @return False when the mark is not newer or is superseded by the list.
  bool UpdateMark(TargetState& target, timeline::HybridTime observed_at);
  std::vector<Envelope> RetryPush(TimePoint now);
  /// Detects by the time since the last tick that this VM was paused.
  void DetectPause(TimePoint now);
  /// Returns the VM states that changed after a change number, for a receiver.
  std::vector<VmState> ChangedStates(VmId to, std::uint64_t after_change);
  void UpdateLiveness(TimePoint now);
  void ForgetLostVms(TimePoint now);
  /// Returns random VMs whose address is known.
  /// @param count Maximum number of VMs.
  /// @param own_zone_first Whether the first of them should be a live VM of the
  ///   own zone.
  std::vector<VmId> ChoosePeers(std::size_t count, bool own_zone_first);
  /// Builds messages for random VMs.
  /// @param fan_out Maximum number of VMs.
  /// @param except VM that gets no message.
  std::vector<Envelope> Push(std::size_t fan_out, VmId except);

  Config config_;
  std::mt19937_64 random_;
  std::map<VmId, KnownVm> vms_;
  std::map<VmId, Peer> peers_;
  std::map<TargetId, TargetState> targets_;
  /// Number of changes of VM states and marks so far.
  std::uint64_t changes_ = 0;
  std::optional<TimePoint> last_tick_;
  std::optional<TimePoint> last_round_;
  /// Time from which the state counts as fresh again after a pause, unless a
  /// message arrives earlier.
  TimePoint current_from_{};
  /// Change number of the newest mark that this VM observed and still pushes;
  /// zero when there is none.
  std::uint64_t pushed_change_ = 0;
  std::optional<TimePoint> push_started_;
  TimePoint last_push_{};
};

}  // namespace kingcupshed::membership
