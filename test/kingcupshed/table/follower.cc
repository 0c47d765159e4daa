#include "kingcupshed/table/follower.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "support/promise.h"

namespace kingcupshed::table {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTick = milliseconds(20);
constexpr Duration kLatency = milliseconds(40);
constexpr Duration kGossipInterval = milliseconds(500);
constexpr Duration kRetention = seconds(20);
constexpr Duration kCheckpointInterval = seconds(4);
/// Maximum time until an accepted version is active on every VM that can read
/// the log.
constexpr Duration kMaxPropagationTime = seconds(4);
constexpr Duration kQuietPeriod = seconds(12);
constexpr std::size_t kVms = 4;

std::string MakeCsv(std::uint64_t number, bool valid) {
  return "service,rank,weight,concurrency_limit,queue_limit,rate_limit_per_s,"
         "deadline_ms,retry_share,hedge_share,semantics,"
         "measure_budget_ms_per_s,cross_region_bytes_per_s\n"
         "a," +
         std::string(valid ? "1" : "9") + ",1,1," + std::to_string(number) +
         ",1,1,0,0,idempotent,0,0\n";
}

/// One step of a history: type, argument, milliseconds until the next step.
using Step = std::tuple<std::uint8_t, std::uint8_t, std::uint16_t>;
using History = std::vector<Step>;

enum class LogState { kUp, kRefuses, kHangs };

/// The log, with the expected effect of each record.
class FakeLog {
 public:
  void Append(std::string payload, TimePoint now) {
    const LogOffset offset{end_++};
    RecordExpectedEffect(payload, now);
    records_.push_back({{offset, "id", std::move(payload)}, now});
  }

  void Expire(TimePoint now) {
    while (!records_.empty() && now - records_.front().second > kRetention) {
      records_.pop_front();
    }
  }

  [[nodiscard]] std::uint64_t first() const {
    return records_.empty() ? end_ : ToIndex(records_.front().first.offset);
  }
  [[nodiscard]] std::uint64_t end() const { return end_; }

  [[nodiscard]] LogPage Read(LogOffset from) const {
    LogPage page{LogOffset{first()}, LogOffset{end_}, {}};
    for (const auto& [record, time] : records_) {
      if (record.offset >= from) {
        page.records.push_back(record);
      }
    }
    return page;
  }

  /// Returns whether a new reader gets a complete history.
  [[nodiscard]] bool HasReplayStart() const { return replay_start_ >= first(); }

  /// CSV text of every accepted version and the time of its acceptance.
  std::map<std::uint64_t, std::pair<std::string, TimePoint>> accepted;

  [[nodiscard]] std::uint64_t version() const { return accepted.size(); }

 private:
  /// Decides acceptance with the complete history at hand, as a reference for
  /// the followers.
  void RecordExpectedEffect(const std::string& payload, TimePoint now) {
    auto parsed = ParsePayload(payload);
    if (!parsed) {
      return;
    }
    if (const auto* checkpoint = std::get_if<Checkpoint>(&*parsed)) {
      replay_start_ = std::max(replay_start_, ToIndex(checkpoint->end_offset));
      return;
    }
    const auto& publication = std::get<Publication>(*parsed);
    if (ToIndex(publication.base) == version() &&
        ParseTable(publication.csv).errors.empty()) {
      accepted[version() + 1] = {publication.csv, now};
    }
  }

  std::deque<std::pair<LogRecord, TimePoint>> records_;
  std::uint64_t end_ = 0;
  std::uint64_t replay_start_ = 0;
};

/// A deliberately wrong follower: it applies any snapshot and publication,
/// ignores gaps and appends no checkpoints.
class NaiveFollower {
 public:
  explicit NaiveFollower(const FollowerConfig& /*config*/) {}
  void OnPage(LogOffset /*from*/, const LogPage& page, TimePoint /*now*/) {
    for (const LogRecord& record : page.records) {
      auto parsed = ParsePayload(record.payload);
      if (parsed && std::holds_alternative<Publication>(*parsed) &&
          record.offset >= next_offset_) {
        const auto& publication = std::get<Publication>(*parsed);
        table_.version = TableVersion{ToIndex(publication.base) + 1};
        csv_ = publication.csv;
      }
    }
    next_offset_ = std::max(next_offset_, page.end);
  }
  static Duration OnReadFailed(TimePoint /*now*/) { return milliseconds(100); }
  void OnPeerSnapshot(const Checkpoint& snapshot, TimePoint /*now*/) {
    table_.version = snapshot.version;
    csv_ = snapshot.csv;
  }
  [[nodiscard]] std::optional<Checkpoint> SnapshotForPeers() const {
    return Checkpoint{table_.version, "", csv_, next_offset_};
  }
  [[nodiscard]] static std::optional<TimePoint> checkpoint_due() { return {}; }
  [[nodiscard]] static Checkpoint MakeCheckpoint() { return {}; }
  static void OnCheckpointAppended(bool /*written*/, TimePoint /*now*/) {}
  [[nodiscard]] std::uint64_t version() const {
    return ToIndex(table_.version);
  }
  [[nodiscard]] const std::string& csv() const { return csv_; }
  [[nodiscard]] LogOffset next_offset() const { return next_offset_; }
  [[nodiscard]] static bool complete() { return true; }
  [[nodiscard]] bool caught_up() const { return version() > 0; }

 private:
  Table table_;
  std::string csv_;
  LogOffset next_offset_{};
};

/// Adapts the follower to the interface that the simulation uses.
class TestedFollower : public Follower {
 public:
  using Follower::Follower;
  [[nodiscard]] std::uint64_t version() const {
    return ToIndex(versions().active_table().version);
  }
  [[nodiscard]] const std::string& csv() const { return versions().csv(); }
  [[nodiscard]] LogOffset next_offset() const {
    return versions().next_offset();
  }
  [[nodiscard]] bool complete() const { return versions().complete(); }
};

/// Simulates several VMs with a fake log, on a simulated clock.
template <typename Tested>
class Simulation {
 public:
  Simulation() {
    for (std::size_t i = 0; i < kVms; ++i) {
      vms_.emplace_back(i);
    }
  }

  /// Plays a history, then a quiet period without faults. Returns a violation,
  /// or an empty string.
  std::string Play(const History& history) {
    for (const auto& [type, argument, wait] : history) {
      ApplyStep(type % 10, argument);
      RunFor(milliseconds(wait % 3000));
    }
    outage_until_ = now_;
    gossip_off_until_ = now_;
    for (Vm& vm : vms_) {
      vm.paused_until = now_;
    }
    RunFor(kQuietPeriod);
    return violation_;
  }

 private:
  struct Vm {
    explicit Vm(std::size_t index)
        : index(index), follower(MakeConfig(index)) {}

    static FollowerConfig MakeConfig(std::size_t index) {
      return {"vm-" + std::to_string(index), kCheckpointInterval};
    }

    std::size_t index;
    Tested follower;
    TimePoint paused_until{};
    TimePoint next_read{};
    std::optional<TimePoint> read_started;
    LogOffset read_from{};
    /// Response in flight and its arrival time; a paused VM reads it once it
    /// resumes.
    std::optional<std::pair<TimePoint, LogPage>> response;
    std::vector<std::pair<TimePoint, Checkpoint>> inbox;
    std::uint64_t highest_version = 0;
    TimePoint reachable_since{};
    TimePoint started{};
    /// Peers that were running at a restart, with the version that they must
    /// still provide to this VM.
    std::vector<std::pair<std::size_t, std::uint64_t>> minimum_versions;
  };

  void ApplyStep(int type, std::uint8_t argument) {
    Vm& vm = vms_[argument % kVms];
    const bool up = now_ >= outage_until_;
    const Duration length = milliseconds(argument * 100);
    switch (type) {
      case 0:  // A publication, sometimes based on a stale version.
      case 1:
        if (up) {
          const std::uint64_t back = argument % 3 == 0 ? 1 : 0;
          Publish(log_.version() - std::min(back, log_.version()), true);
        }
        break;
      case 2:  // A possibly invalid table, appended again after a lost
               // response.
        if (up) {
          Publish(log_.version(), argument % 2 == 0);
          log_.Append(last_payload_, now_);
        }
        break;
      case 3:  // An outage right after a publication.
        if (up) {
          Publish(log_.version(), true);
        }
        StartOutage(length, argument);
        break;
      case 4:
        StartOutage(length, argument);
        break;
      case 5:
        vm.paused_until = now_ + 2 * length;
        break;
      case 6:
        Restart(vm);
        break;
      case 7:
        gossip_off_until_ = now_ + length;
        break;
      case 8:  // A restart during an outage, with an old snapshot from a peer.
        StartOutage(length, argument);
        Restart(vm);
        DeliverOldSnapshot(vm, argument);
        break;
      default:
        DeliverOldSnapshot(vm, argument);
        break;
    }
  }

  void Publish(std::uint64_t base, bool valid) {
    last_payload_ = ToPayload(
        Publication{TableVersion{base}, "operator", MakeCsv(++number_, valid)});
    log_.Append(last_payload_, now_);
  }

  /// Delivers an old snapshot, as if the message had been delayed.
  void DeliverOldSnapshot(Vm& vm, std::uint8_t argument) {
    if (!old_snapshots_.empty()) {
      vm.inbox.emplace_back(now_,
                            old_snapshots_[argument % old_snapshots_.size()]);
    }
  }

  void StartOutage(Duration length, std::uint8_t argument) {
    outage_until_ = now_ + length;
    outage_ = argument % 2 == 0 ? LogState::kRefuses : LogState::kHangs;
  }

  void Restart(Vm& vm) {
    const std::uint64_t before = vm.follower.version();
    vm = Vm(vm.index);
    vm.reachable_since = now_;
    vm.started = now_;
    for (const Vm& other : vms_) {
      const bool running =
          other.index != vm.index && now_ >= other.paused_until;
      if (running && other.follower.SnapshotForPeers()) {
        const auto known = std::min(before, other.follower.version());
        vm.minimum_versions.emplace_back(other.index, known);
      }
    }
  }

  [[nodiscard]] LogState log_state() const {
    return now_ < outage_until_ ? outage_ : LogState::kUp;
  }

  void RunFor(Duration length) {
    const TimePoint end = now_ + length;
    while (now_ < end && violation_.empty()) {
      now_ += kTick;
      log_.Expire(now_);
      Gossip();
      for (Vm& vm : vms_) {
        if (now_ >= vm.paused_until) {
          StepVm(vm);
        }
      }
      Check();
    }
  }

  void Gossip() {
    if (now_ < next_gossip_) {
      return;
    }
    next_gossip_ = now_ + kGossipInterval;
    for (Vm& from : vms_) {
      const auto snapshot = from.follower.SnapshotForPeers();
      if (!snapshot || now_ < from.paused_until || now_ < gossip_off_until_) {
        continue;
      }
      if (old_snapshots_.empty() ||
          old_snapshots_.back().version != snapshot->version) {
        old_snapshots_.push_back(*snapshot);
      }
      for (Vm& to : vms_) {
        if (to.index != from.index) {
          to.inbox.emplace_back(now_ + kLatency, *snapshot);
        }
      }
    }
  }

  void StepVm(Vm& vm) {
    for (const auto& [time, snapshot] : vm.inbox) {
      if (time <= now_) {
        vm.follower.OnPeerSnapshot(snapshot, now_);
      }
    }
    std::erase_if(vm.inbox,
                  [&](const auto& entry) { return entry.first <= now_; });
    StepRead(vm);
    const auto due = vm.follower.checkpoint_due();
    if (due && *due <= now_) {
      const bool up = log_state() == LogState::kUp;
      if (up) {
        log_.Append(ToPayload(vm.follower.MakeCheckpoint()), now_);
      }
      const bool response_lost = random_() % 4 == 0;
      vm.follower.OnCheckpointAppended(up && !response_lost, now_);
    }
  }

  void StepRead(Vm& vm) {
    if (vm.response && vm.response->first <= now_) {
      vm.follower.OnPage(vm.read_from, vm.response->second, now_);
      vm.response.reset();
      vm.read_started.reset();
    }
    if (vm.response) {
      return;
    }
    if (!vm.read_started) {
      if (now_ < vm.next_read) {
        return;
      }
      vm.read_started = now_;
      vm.read_from = vm.follower.next_offset();
    }
    const Duration waited = now_ - *vm.read_started;
    const LogState state = log_state();
    if (state == LogState::kRefuses ||
        (state == LogState::kHangs && waited >= Follower::kReadTimeout)) {
      vm.next_read = now_ + vm.follower.OnReadFailed(now_);
      vm.read_started.reset();
    } else if (state == LogState::kUp && (log_.end() > ToIndex(vm.read_from) ||
                                          waited >= Follower::kReadWait)) {
      vm.response.emplace(now_ + kLatency, log_.Read(vm.read_from));
    }
  }

  void Check() {
    const bool recoverable =
        log_.HasReplayStart() ||
        std::any_of(vms_.begin(), vms_.end(), [&](const Vm& vm) {
          return now_ >= vm.paused_until && vm.follower.complete();
        });
    for (Vm& vm : vms_) {
      CheckMonotonic(vm);
      if (now_ < vm.paused_until || !recoverable ||
          log_state() != LogState::kUp) {
        vm.reachable_since = now_;
      }
      CheckPropagationTime(vm);
    }
  }

  void CheckMonotonic(Vm& vm) {
    const std::uint64_t version = vm.follower.version();
    if (version < vm.highest_version) {
      violation_ = "the version decreased on a VM";
    }
    vm.highest_version = version;
    if (version == 0) {
      return;
    }
    const auto found = log_.accepted.find(version);
    if (found == log_.accepted.end() ||
        found->second.first != vm.follower.csv()) {
      violation_ = "a VM has an active table that was not accepted";
    }
    if (vm.follower.caught_up()) {
      CheckRestart(vm);
    }
  }

  /// A restarted VM must not serve with an older version than before if a peer
  /// that was reachable since the restart has it.
  void CheckRestart(Vm& vm) {
    for (const auto& [index, version] : vm.minimum_versions) {
      const Vm& peer = vms_[index];
      const bool reachable = peer.paused_until <= vm.started &&
                             peer.started <= vm.started &&
                             gossip_off_until_ <= vm.started;
      if (reachable && vm.follower.version() < version) {
        violation_ = "the version decreased across a restart";
      }
    }
    vm.minimum_versions.clear();
  }

  void CheckPropagationTime(const Vm& vm) {
    for (auto it = log_.accepted.rbegin(); it != log_.accepted.rend(); ++it) {
      const TimePoint since = std::max(it->second.second, vm.reachable_since);
      if (now_ - since < kMaxPropagationTime) {
        continue;
      }
      if (vm.follower.version() < it->first) {
        violation_ = "a version did not become active in time";
      }
      return;
    }
  }

  FakeLog log_;
  std::vector<Vm> vms_;
  TimePoint now_{seconds(1)};
  TimePoint outage_until_{};
  TimePoint gossip_off_until_{};
  TimePoint next_gossip_{};
  LogState outage_ = LogState::kRefuses;
  std::vector<Checkpoint> old_snapshots_;
  std::string last_payload_ = "{}";
  std::uint64_t number_ = 0;
  std::mt19937 random_{1};
  std::string violation_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(FollowerTest)

BOOST_AUTO_TEST_CASE(VmStartingDuringOutageWaitsForItsPeers) {
  Follower follower({"a", kCheckpointInterval});
  const TimePoint start{seconds(1)};
  (void)follower.OnReadFailed(start);
  follower.OnPeerSnapshot(
      {TableVersion{3}, "x", MakeCsv(3, true), LogOffset{9}}, start);
  (void)follower.OnReadFailed(start);
  BOOST_TEST(!follower.caught_up());
  (void)follower.OnReadFailed(start + seconds(1));
  BOOST_TEST(follower.caught_up());
  BOOST_TEST((follower.versions().active_table().version == TableVersion{3}));
}

BOOST_AUTO_TEST_CASE(LostLogRecordsAreReported) {
  Follower follower({"a", kCheckpointInterval});
  const TimePoint start{seconds(1)};
  const LogPage page{LogOffset{}, LogOffset{2}, {}};
  BOOST_TEST(follower.OnPage(LogOffset{5}, page, start).log_lost_records);
}

BOOST_AUTO_TEST_CASE(SimulationDetectsNaiveFollower) {
  // The third publication is based on a stale version and must be rejected, but
  // the naive follower applies it.
  BOOST_TEST(!Simulation<NaiveFollower>()
                  .Play({{0, 1, 500}, {0, 1, 500}, {0, 3, 500}})
                  .empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Promise7)

BOOST_AUTO_TEST_CASE(VersionsReachEveryVmAndNeverRevert) {
  support::CheckPromise(7, "versions reach every VM in time and never revert",
                        [](const History& history) {
                          const std::string violation =
                              Simulation<TestedFollower>().Play(history);
                          RC_TAG(history.size() > 10 ? "long" : "short");
                          if (!violation.empty()) {
                            RC_FAIL(violation);
                          }
                        });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::table
