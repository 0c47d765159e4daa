#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "kingcupshed/core/random.h"
#include "kingcupshed/propagation/document_fetch.h"
#include "kingcupshed/propagation/held_requests.h"
#include "kingcupshed/propagation/schedule.h"

namespace kingcupshed::propagation {

/// A simulated fleet: its VMs, their links and the store.
struct FleetConfig {
  /// Number of VMs in each zone; zones alternate between two regions.
  std::vector<std::size_t> zones;
  /// Bytes per second of a VM's link, in each direction.
  double link_bytes_per_s = 1'250'000.0;
  Duration in_zone = std::chrono::microseconds(100);
  Duration cross_zone = std::chrono::microseconds(500);
  Duration cross_region = std::chrono::milliseconds(30);
  Duration store_time = std::chrono::milliseconds(4);
  /// Processor time that a VM spends on each message that it receives.
  Duration message_time{};
  std::uint64_t seed = 1;
  bool first_start = true;
};

/// What is wrong with a VM, or with the store as a VM sees it.
enum class FaultKind : std::uint8_t {
  /// The store sends this VM no responses.
  kStoreSilent,
  /// The store refuses this VM's calls at once.
  kStoreRefuses,
  /// The store responds to this VM after a second.
  kStoreSlow,
  /// One in three responses of the store to this VM is lost.
  kStoreLosesResponses,
  /// The VM's process stands still.
  kFrozen,
  /// The VM's process is killed, and starts again at the end.
  kKilled,
  /// Nothing that the VM sends to other VMs arrives.
  kCutFromVms,
  /// One in ten messages between the VM and others is lost.
  kLossy,
};
inline constexpr int kFaultKinds = 8;

struct Fault {
  FaultKind kind{};
  std::set<std::size_t> vms;
  TimePoint from{};
  TimePoint until{};
};

/// Runs the propagation cores of all VMs of a fleet in virtual time.
class Fleet {
 public:
  explicit Fleet(const FleetConfig& config);

  void Add(const Fault& fault);

  /// Confirms a new version of the routes at a point in time.
  /// @param bytes Length of the document as the store sends it; VMs send each
  ///   other a sixth of it.
  void PublishRoutes(TimePoint at, std::size_t bytes);

  /// Confirms that a target leaves.
  void PublishDeparture(TimePoint at);

  /// Runs until a point in time.
  void RunUntil(TimePoint end);

  /// Returns the longest time from a confirmation until a VM had the change,
  /// over all VMs to which no fault but those of the store happened from
  /// `margin` before the confirmation on. Changes confirmed later than `last`
  /// don't count.
  [[nodiscard]] Duration LongestDelay(Duration margin, TimePoint last) const;

  /// Returns the number of calls to the store.
  [[nodiscard]] std::size_t store_calls() const noexcept {
    return store_calls_;
  }
  /// Returns the largest number of calls within one second.
  [[nodiscard]] std::size_t MaxStoreCallsPerSecond() const;
  [[nodiscard]] std::size_t polls() const noexcept { return polls_; }
  /// Returns the largest number of VMs that polled the same one since the last
  /// call, and starts anew.
  [[nodiscard]] std::size_t TakeMostPollingVms();
  /// Returns the number of VMs that have routes and targets.
  [[nodiscard]] std::size_t CountServing() const;
  [[nodiscard]] std::size_t size() const noexcept { return vms_.size(); }
  /// Returns true if a VM's version ever fell.
  [[nodiscard]] bool reverted() const noexcept { return reverted_; }
  /// Describes the change with the longest delay.
  [[nodiscard]] std::string DescribeLongest() const { return longest_; }

  /// Describes the faults, with the heads that they hit.
  [[nodiscard]] std::string DescribeFaults() const;

  /// Returns the heads of the zones, the first zone's first.
  [[nodiscard]] std::vector<std::size_t> Heads() const;

  static constexpr TimePoint kStart{std::chrono::seconds(100)};

 private:
  struct Vm {
    std::string name;
    std::string zone;
    std::size_t zone_index = 0;
    std::size_t region = 0;
    bool alive = true;
    std::uint64_t life = 0;
    std::uint64_t wake = 0;
    std::unique_ptr<Schedule> schedule;
    std::unique_ptr<DocumentFetch> fetch;
    DocumentPacer pacer;
    HeldRequests held;
    std::map<HeldRequests::Id, std::function<void()>> responders;
    std::uint64_t routes_version = 0;
    std::uint64_t targets_known_to = 0;
    std::uint64_t targets_complete_since = 0;
    struct Reported {
      std::uint64_t routes_version = 0;
      CurrentTimes current;
    };
    std::map<std::string, Reported> reported;
    TimePoint up_free{};
    TimePoint down_free{};
    /// When the VM has handled all messages that it has received.
    TimePoint idle_from{};
    /// VMs that have polled this one.
    std::set<std::size_t> polled_by;
    /// When the VM had each version and each departure.
    std::map<std::uint64_t, TimePoint> routes_at;
    std::map<std::uint64_t, TimePoint> targets_at;
  };
  struct Change {
    TimePoint confirmed{};
    std::size_t bytes = 0;
  };
  struct Event {
    TimePoint at{};
    std::uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  void At(TimePoint at, std::function<void()> run);
  void StartVm(std::size_t vm, bool first_start);
  void Drive(std::size_t vm);
  void ReadStore(std::size_t vm, Content content);
  void Poll(std::size_t vm, const PollVm& poll);
  void FetchRoutes(std::size_t vm, const std::string& from);
  void Respond(std::size_t from, std::size_t to, std::function<void()> apply);
  [[nodiscard]] ProviderState ProviderOf(const Vm& vm) const;
  void SetRoutes(Vm& vm, std::uint64_t version);
  void SetTargets(Vm& vm, std::uint64_t known_to);
  [[nodiscard]] bool Has(std::size_t vm, FaultKind kind) const;
  [[nodiscard]] Duration Latency(std::size_t a, std::size_t b) const;
  void Send(std::size_t from,
            std::size_t to,
            std::size_t bytes,
            std::function<void()> deliver);
  void RunOn(std::size_t vm, std::function<void()> run);
  [[nodiscard]] std::size_t IndexOf(const std::string& name) const;
  [[nodiscard]] bool IsDisturbed(std::size_t vm,
                                 TimePoint from,
                                 TimePoint until) const;

  FleetConfig config_;
  Random random_;
  std::vector<Vm> vms_;
  std::map<std::string, std::size_t> index_;
  std::vector<Fault> faults_;
  std::vector<Change> routes_;
  std::vector<Change> departures_;
  std::priority_queue<Event> events_;
  std::uint64_t next_order_ = 0;
  std::uint64_t next_id_ = 0;
  TimePoint now_ = kStart;
  std::size_t store_calls_ = 0;
  std::map<std::int64_t, std::size_t> store_calls_by_second_;
  std::size_t polls_ = 0;
  bool reverted_ = false;
  mutable std::string longest_;
};

}  // namespace kingcupshed::propagation
