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

/// Fixed facts of one VM's membership.
struct Config {
  /// State of this VM; its heartbeat starts at zero.
  VmState self;
  /// Seed of the choice of peers.
  std::uint64_t seed = 1;
  Duration round = std::chrono::seconds(1);
  /// A VM is suspected when its heartbeat stands still for this long.
  Duration suspect_after = std::chrono::seconds(5);
  /// A suspected VM that is on no list is forgotten after this long.
  Duration forget_after = std::chrono::seconds(60);
  /// Longest time that the platform's list of targets lags behind.
  Duration list_lag = std::chrono::seconds(30);
  /// Peers that a round goes to: one of the own zone, the others anywhere.
  std::size_t fan_out = 2;
  /// Peers that a new mark is pushed to at once by the VM that saw it.
  std::size_t push_fan_out = 32;
  /// A push is repeated this often to peers that have not confirmed it.
  Duration push_interval = std::chrono::milliseconds(300);
  /// Time after which a push is left to the rounds.
  Duration push_time = std::chrono::seconds(3);
  /// A gap between ticks that counts as a pause of this VM.
  Duration pause = std::chrono::seconds(1);
  /// Peers that a mark from another VM is passed on to at once.
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

/// What is known of a VM.
struct KnownVm {
  VmState state;
  bool listed = false;
  bool listed_as_leaving = false;
  /// False before the first heartbeat and after the lease on it lapsed.
  bool alive = false;
};

/// Knows which VMs are there and which targets are leaving.
///
/// Merges the platform's lagging lists with heartbeats and drain marks of
/// peers. A drain mark counts until the list has said "live" at a time by
/// which it must have caught up with the mark, so a mark ends without a
/// message and an old list can't end it early.
class Membership {
 public:
  explicit Membership(Config config);

  /// Takes the platform's list of VMs.
  void SetVmList(const std::vector<ListedVm>& vms, TimePoint now);

  /// Takes the platform's list of targets.
  /// @param read When the request for the list was sent.
  /// @return Marks to push to peers at once.
  std::vector<Envelope> SetTargetList(const std::vector<ListedTarget>& targets,
                                      timeline::HybridTime read);

  /// Takes a sighting of a target's drain mark.
  /// @return Messages to send at once.
  std::vector<Envelope> OnDrainMark(TargetId target, timeline::HybridTime seen);

  /// Starts a round when one is due, and repeats pushes that were not
  /// confirmed. To be called every tenth of a second.
  /// @return Messages to send.
  std::vector<Envelope> Tick(TimePoint now);

  /// Takes a message of a peer.
  /// @param clock Time of this VM's clock; marks from the future are cut to it.
  /// @return Messages to send at once: new marks passed on.
  std::vector<Envelope> HandleMessage(const Message& message,
                                      timeline::HybridTime clock,
                                      TimePoint now);

  /// Returns whether the knowledge is fresh enough to start new work. After a
  /// pause of this VM it is not, until a peer has answered or a round passed.
  [[nodiscard]] bool IsCurrent(TimePoint now) const noexcept;

  /// Builds a message for a peer, with what it has not been told.
  [[nodiscard]] Message MakeMessage(VmId to);

  /// Sets what this VM tells of itself.
  void SetSelfState(bool leaving, TableVersion table) noexcept;

  /// Returns whether a target gets no new work.
  [[nodiscard]] bool IsLeaving(TargetId target) const;

  /// Returns every target that was ever marked or listed.
  [[nodiscard]] std::vector<TargetId> KnownTargets() const;

  /// Returns what is known of the other VMs.
  [[nodiscard]] const std::map<VmId, KnownVm>& vms() const noexcept {
    return view_;
  }

  /// Returns what this VM tells of itself.
  [[nodiscard]] const VmState& self() const noexcept { return config_.self; }

 private:
  struct Peer {
    /// When the heartbeat was last seen to grow.
    TimePoint advanced{};
    /// Number of the last change of its state.
    std::uint64_t change = 0;
    /// Changes of states that were sent to it.
    std::uint64_t told = 0;
    /// Own marks that it has confirmed, in this life.
    std::uint64_t marks_confirmed = 0;
    /// Its marks that were taken in, and in which life.
    std::uint64_t marks_taken = 0;
    std::uint64_t marks_life = 0;
  };
  struct TargetState {
    timeline::HybridTime marked{};
    /// Marks seen up to here are outdated by the platform's list.
    timeline::HybridTime outdated{};
    /// Number of the last change of the mark.
    std::uint64_t change = 0;
  };

  void TakeState(const VmState& state, TimePoint now);
  /// Returns whether the mark makes the target count as leaving.
  bool TakeMark(const DrainMark& mark, timeline::HybridTime clock);
  bool Raise(TargetState& target, timeline::HybridTime seen);
  std::vector<Envelope> RepeatPush(TimePoint now);
  void NoticePause(TimePoint now);
  std::vector<VmState> NewsOfVms(VmId to, std::uint64_t told);
  void UpdateLeases(TimePoint now);
  void ForgetLost(TimePoint now);
  std::vector<VmId> ChoosePeers(std::size_t count, bool own_zone_first);
  std::vector<Envelope> Push(std::size_t fan_out, VmId except);

  Config config_;
  std::mt19937_64 random_;
  std::map<VmId, KnownVm> view_;
  std::map<VmId, Peer> peers_;
  std::map<TargetId, TargetState> targets_;
  std::uint64_t changes_ = 0;
  std::optional<TimePoint> last_tick_;
  std::optional<TimePoint> last_round_;
  /// After a pause, when the knowledge counts as fresh again at the latest.
  TimePoint current_from_{};
  /// Number of the newest mark that this VM saw itself and still pushes.
  std::uint64_t pushed_change_ = 0;
  std::optional<TimePoint> push_started_;
  TimePoint last_push_{};
};

}  // namespace kingcupshed::membership
