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
constexpr Duration kBound = seconds(4);
constexpr Duration kQuietEnd = seconds(12);
constexpr std::size_t kVms = 4;

std::string MakeCsv(std::uint64_t number, bool valid) {
  return "service,rank,weight,concurrency_limit,queue_limit,rate_limit_per_s,"
         "deadline_ms,retry_share,hedge_share,semantics,"
         "measure_budget_ms_per_s,cross_region_bytes_per_s\n"
         "a," +
         std::string(valid ? "1" : "9") + ",1,1," + std::to_string(number) +
         ",1,1,0,0,idempotent,0,0\n";
}

/// Fault or deed of a history: kind, argument, time until the next one.
using Step = std::tuple<std::uint8_t, std::uint8_t, std::uint16_t>;
using History = std::vector<Step>;

enum class LogState { kUp, kRefuses, kHangs };

/// The log, and beside it what each record ought to mean.
class FakeLog {
 public:
  void Append(std::string payload, TimePoint now) {
    const LogOffset offset{end_++};
    JudgeAsIntended(payload, now);
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

  /// Tells whether a reader that knows nothing gets exact.
  [[nodiscard]] bool HasAnchor() const { return anchor_ >= first(); }

  /// Text of every accepted version, and when it was accepted.
  std::map<std::uint64_t, std::pair<std::string, TimePoint>> accepted;

  [[nodiscard]] std::uint64_t version() const { return accepted.size(); }

 private:
  /// The whole history in one place: the definition of acceptance.
  void JudgeAsIntended(const std::string& payload, TimePoint now) {
    auto parsed = ParsePayload(payload);
    if (!parsed) {
      return;
    }
    if (const auto* checkpoint = std::get_if<Checkpoint>(&*parsed)) {
      anchor_ = std::max(anchor_, ToIndex(checkpoint->end_offset));
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
  std::uint64_t anchor_ = 0;
};

/// Takes any news, guesses across gaps and writes no checkpoints.
class NaiveFollower {
 public:
  explicit NaiveFollower(const FollowerConfig& /*config*/) {}
  void OnPage(LogOffset /*from*/, const LogPage& page, TimePoint /*now*/) {
    for (const LogRecord& record : page.records) {
      auto parsed = ParsePayload(record.payload);
      if (parsed && std::holds_alternative<Publication>(*parsed) &&
          record.offset >= next_) {
        const auto& publication = std::get<Publication>(*parsed);
        versions_.version = TableVersion{ToIndex(publication.base) + 1};
        csv_ = publication.csv;
      }
    }
    next_ = std::max(next_, page.end);
  }
  static Duration OnReadFailed(TimePoint /*now*/) { return milliseconds(100); }
  void OnPeerSnapshot(const Checkpoint& news, TimePoint /*now*/) {
    versions_.version = news.version;
    csv_ = news.csv;
  }
  [[nodiscard]] std::optional<Checkpoint> SnapshotForPeers() const {
    return Checkpoint{versions_.version, "", csv_, next_};
  }
  [[nodiscard]] static std::optional<TimePoint> checkpoint_due() { return {}; }
  [[nodiscard]] static Checkpoint MakeCheckpoint() { return {}; }
  static void OnCheckpointAppended(bool /*written*/, TimePoint /*now*/) {}
  [[nodiscard]] std::uint64_t version() const {
    return ToIndex(versions_.version);
  }
  [[nodiscard]] const std::string& csv() const { return csv_; }
  [[nodiscard]] LogOffset next() const { return next_; }
  [[nodiscard]] static bool exact() { return true; }
  [[nodiscard]] bool caught_up() const { return version() > 0; }

 private:
  Table versions_;
  std::string csv_;
  LogOffset next_{};
};

/// Gives the follower the names that the simulation uses.
class TestedFollower : public Follower {
 public:
  using Follower::Follower;
  [[nodiscard]] std::uint64_t version() const {
    return ToIndex(versions().active_table().version);
  }
  [[nodiscard]] const std::string& csv() const { return versions().csv(); }
  [[nodiscard]] LogOffset next() const { return versions().next_offset(); }
  [[nodiscard]] bool exact() const { return versions().complete(); }
};

/// A fleet on a fake log and a fake clock.
template <typename Tested>
class Simulation {
 public:
  Simulation() {
    for (std::size_t i = 0; i < kVms; ++i) {
      vms_.emplace_back(i);
    }
  }

  /// Plays a history and returns the first violation, empty for none.
  std::string Play(const History& history) {
    for (const auto& [kind, argument, wait] : history) {
      Do(kind % 10, argument);
      RunFor(milliseconds(wait % 3000));
    }
    outage_until_ = now_;
    gossip_off_until_ = now_;
    for (Vm& vm : vms_) {
      vm.paused_until = now_;
    }
    RunFor(kQuietEnd);
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
    /// An answer under way; a paused VM finds it when it wakes.
    std::optional<std::pair<TimePoint, LogPage>> answer;
    std::vector<std::pair<TimePoint, Checkpoint>> inbox;
    std::uint64_t highest = 0;
    TimePoint good_since{};
    TimePoint started{};
    /// Peers that ran at a restart, and the version of before that they have.
    std::vector<std::pair<std::size_t, std::uint64_t>> floors;
  };

  void Do(int kind, std::uint8_t argument) {
    Vm& vm = vms_[argument % kVms];
    const bool up = now_ >= outage_until_;
    const Duration length = milliseconds(argument * 100);
    switch (kind) {
      case 0:  // A publication, now and then from a stale version.
      case 1:
        if (up) {
          const std::uint64_t back = argument % 3 == 0 ? 1 : 0;
          Publish(log_.version() - std::min(back, log_.version()), true);
        }
        break;
      case 2:  // An invalid table, and a repeat after a lost answer.
        if (up) {
          Publish(log_.version(), argument % 2 == 0);
          log_.Append(last_payload_, now_);
        }
        break;
      case 3:  // An outage just after a publication.
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
      case 8:  // A restart in an outage, met by a stale peer.
        StartOutage(length, argument);
        Restart(vm);
        DeliverOldNews(vm, argument);
        break;
      default:
        DeliverOldNews(vm, argument);
        break;
    }
  }

  void Publish(std::uint64_t base, bool valid) {
    last_payload_ = ToPayload(
        Publication{TableVersion{base}, "operator", MakeCsv(++number_, valid)});
    log_.Append(last_payload_, now_);
  }

  /// Delivers a message that was under way for long.
  void DeliverOldNews(Vm& vm, std::uint8_t argument) {
    if (!old_news_.empty()) {
      vm.inbox.emplace_back(now_, old_news_[argument % old_news_.size()]);
    }
  }

  void StartOutage(Duration length, std::uint8_t argument) {
    outage_until_ = now_ + length;
    outage_ = argument % 2 == 0 ? LogState::kRefuses : LogState::kHangs;
  }

  void Restart(Vm& vm) {
    const std::uint64_t before = vm.follower.version();
    vm = Vm(vm.index);
    vm.good_since = now_;
    vm.started = now_;
    for (const Vm& other : vms_) {
      const bool running =
          other.index != vm.index && now_ >= other.paused_until;
      if (running && other.follower.SnapshotForPeers()) {
        const auto known = std::min(before, other.follower.version());
        vm.floors.emplace_back(other.index, known);
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
      const auto news = from.follower.SnapshotForPeers();
      if (!news || now_ < from.paused_until || now_ < gossip_off_until_) {
        continue;
      }
      if (old_news_.empty() || old_news_.back().version != news->version) {
        old_news_.push_back(*news);
      }
      for (Vm& to : vms_) {
        if (to.index != from.index) {
          to.inbox.emplace_back(now_ + kLatency, *news);
        }
      }
    }
  }

  void StepVm(Vm& vm) {
    for (const auto& [time, news] : vm.inbox) {
      if (time <= now_) {
        vm.follower.OnPeerSnapshot(news, now_);
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
      const bool answer_lost = random_() % 4 == 0;
      vm.follower.OnCheckpointAppended(up && !answer_lost, now_);
    }
  }

  void StepRead(Vm& vm) {
    if (vm.answer && vm.answer->first <= now_) {
      vm.follower.OnPage(vm.read_from, vm.answer->second, now_);
      vm.answer.reset();
      vm.read_started.reset();
    }
    if (vm.answer) {
      return;
    }
    if (!vm.read_started) {
      if (now_ < vm.next_read) {
        return;
      }
      vm.read_started = now_;
      vm.read_from = vm.follower.next();
    }
    const Duration waited = now_ - *vm.read_started;
    const LogState state = log_state();
    if (state == LogState::kRefuses ||
        (state == LogState::kHangs && waited >= Follower::kReadTimeout)) {
      vm.next_read = now_ + vm.follower.OnReadFailed(now_);
      vm.read_started.reset();
    } else if (state == LogState::kUp && (log_.end() > ToIndex(vm.read_from) ||
                                          waited >= Follower::kReadWait)) {
      vm.answer.emplace(now_ + kLatency, log_.Read(vm.read_from));
    }
  }

  void Check() {
    const bool knowable =
        log_.HasAnchor() ||
        std::any_of(vms_.begin(), vms_.end(), [&](const Vm& vm) {
          return now_ >= vm.paused_until && vm.follower.exact();
        });
    for (Vm& vm : vms_) {
      CheckMonotonic(vm);
      if (now_ < vm.paused_until || !knowable || log_state() != LogState::kUp) {
        vm.good_since = now_;
      }
      CheckBound(vm);
    }
  }

  void CheckMonotonic(Vm& vm) {
    const std::uint64_t version = vm.follower.version();
    if (version < vm.highest) {
      violation_ = "a version went back on a VM";
    }
    vm.highest = version;
    if (version == 0) {
      return;
    }
    const auto found = log_.accepted.find(version);
    if (found == log_.accepted.end() ||
        found->second.first != vm.follower.csv()) {
      violation_ = "a VM has a table in force that was not accepted";
    }
    if (vm.follower.caught_up()) {
      CheckRestart(vm);
    }
  }

  /// A restarted VM serves with no older version than before if a peer that
  /// could be heard all the time since has it.
  void CheckRestart(Vm& vm) {
    for (const auto& [index, version] : vm.floors) {
      const Vm& peer = vms_[index];
      const bool heard = peer.paused_until <= vm.started &&
                         peer.started <= vm.started &&
                         gossip_off_until_ <= vm.started;
      if (heard && vm.follower.version() < version) {
        violation_ = "a version went back across a restart";
      }
    }
    vm.floors.clear();
  }

  void CheckBound(const Vm& vm) {
    for (auto it = log_.accepted.rbegin(); it != log_.accepted.rend(); ++it) {
      const TimePoint since = std::max(it->second.second, vm.good_since);
      if (now_ - since < kBound) {
        continue;
      }
      if (vm.follower.version() < it->first) {
        violation_ = "a version is not in force in time";
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
  std::vector<Checkpoint> old_news_;
  std::string last_payload_ = "{}";
  std::uint64_t number_ = 0;
  std::mt19937 random_{1};
  std::string violation_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(FollowerTest)

BOOST_AUTO_TEST_CASE(StartingVmInAnOutageWaitsForItsPeers) {
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

BOOST_AUTO_TEST_CASE(LogThatLostItsRecordsIsReported) {
  Follower follower({"a", kCheckpointInterval});
  const TimePoint start{seconds(1)};
  const LogPage page{LogOffset{}, LogOffset{2}, {}};
  BOOST_TEST(follower.OnPage(LogOffset{5}, page, start).log_lost_records);
}

BOOST_AUTO_TEST_CASE(NaiveFollowerIsCaught) {
  // A stale operator loses the race; the naive one obeys both.
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
