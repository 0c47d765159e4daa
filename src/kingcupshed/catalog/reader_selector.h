#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "kingcupshed/core/time.h"

namespace kingcupshed::catalog {

/// State of this VM that `ReaderSelector::ShouldReadNow` decides on.
struct ReadConditions {
  /// Time since this VM started.
  Duration uptime{};
  /// True when the whole fleet starts for the first time.
  bool first_start = false;
  /// True once this VM has read the list of the other VMs.
  bool vms_listed = false;
  /// True when at least one of the VMs polled last responded, whether or not
  /// it had data.
  bool peer_responded = false;
  /// Age of the data that this VM has; its uptime while it has none.
  Duration data_age{};
};

/// A poll of another VM that is due.
struct PeerPoll {
  std::string vm;
  /// Depth to send with the request; see `ReaderSelector::RecordRequest`.
  std::uint32_t depth = 0;
};

/// Returns the delay before this VM polls for updates again. Older data leaves
/// less time, so the delay shrinks as `data_age` grows.
/// @param data_age Age of the newest data that this VM has.
/// @param interval Time between two polls while the data is fresh.
[[nodiscard]] Duration NextPollDelay(Duration data_age,
                                     Duration interval) noexcept;

/// Sorts the VMs of a zone in the order in which they become its reader; the
/// same on every VM.
/// @param vms Names of the VMs.
[[nodiscard]] std::vector<std::string> InReaderOrder(
    std::vector<std::string> vms);

/// Selects the VM of a zone that reads the platform's store on behalf of the
/// others.
///
/// All VMs of a zone sort themselves in the same order, by a hash of their
/// names. Each polls the first one that it doesn't suspect, and a VM that finds
/// itself first reads the store. There is no election: when VMs disagree, two
/// of them read, and a VM that is polled although it isn't first in its own
/// order reads the store too for a while.
class ReaderSelector {
 public:
  /// @param self Name of this VM.
  explicit ReaderSelector(std::string self) : self_(std::move(self)) {}

  /// Replaces the VMs of the zone; this VM need not be among them.
  void SetVms(const std::vector<std::string>& vms);

  /// Returns the VMs to poll, most preferred first; empty when this VM has to
  /// read the store itself.
  [[nodiscard]] std::vector<std::string> PeersToPoll(TimePoint now) const;

  /// Replaces the VMs of the other availability zones.
  /// @param zones The VMs of each zone.
  void SetOtherZones(std::vector<std::vector<std::string>> zones);

  /// Returns the polls of one round, in the order in which they are sent until
  /// one brings fresh data: those of `PeersToPoll`, and then the readers of the
  /// other zones if the VMs of this zone depend on this VM and its own reads
  /// fail. The store may be out of reach of all VMs that read in this zone, and
  /// the readers of other zones have the same data without any more reads.
  [[nodiscard]] std::vector<PeerPoll> PollsOfRound(TimePoint now) const;

  /// Returns true while this VM's own reads of the store fail.
  [[nodiscard]] bool IsSelfSuspected(TimePoint now) const;

  /// Records that a VM didn't respond or had stale data; for this VM, that its
  /// read of the store failed. The VM is suspected for a time that doubles with
  /// each further report.
  void Suspect(const std::string& vm, TimePoint now);

  /// Records that a VM responded with fresh data; for this VM, that its read of
  /// the store succeeded.
  void ClearSuspicion(const std::string& vm);

  /// Records that another VM polled this one, which then reads the store for a
  /// while on its behalf. Requests relayed by too many VMs that can't read the
  /// store are ignored, or all VMs would start to read during a store outage;
  /// so are requests from other zones, which have the depth
  /// `kIgnoredRequestDepth`.
  /// @param depth Number of VMs that the request was relayed by.
  void RecordRequest(std::uint32_t depth, TimePoint now) noexcept;

  /// Returns the depth to send with this VM's own requests.
  [[nodiscard]] std::uint32_t RequestDepth(TimePoint now) const noexcept;

  /// Returns true when this VM reads the store on behalf of others.
  [[nodiscard]] bool IsReader(TimePoint now) const;

  /// Returns true when this VM should read the store now.
  ///
  /// During a store outage the data of all VMs gets stale, and when the store
  /// is back the readers are the first to have fresh data. If all VMs read at
  /// that point, the responses would fill the link between the regions for
  /// seconds. A VM whose requests get responses therefore leaves reading to the
  /// others, and joins in only after a delay that grows with its index in the
  /// order.
  [[nodiscard]] bool ShouldReadNow(const ReadConditions& conditions,
                                   TimePoint now) const;

 private:
  struct Suspicion {
    TimePoint until{};
    std::size_t count = 0;
  };

  /// Returns the index of this VM in `order_`.
  [[nodiscard]] std::size_t SelfIndex() const;
  [[nodiscard]] bool IsSuspected(const std::string& vm, TimePoint now) const;
  /// Returns true if other VMs take their data from this one.
  [[nodiscard]] bool IsPolledByOthers(TimePoint now) const;

  /// Smallest depth of requests that don't make this VM read.
  static constexpr std::uint32_t kIgnoredRequestDepth = 3;

  std::string self_;
  /// VMs of the zone in the order in which they are polled.
  std::vector<std::string> order_;
  /// VMs of each other zone in the order in which that zone polls them.
  std::vector<std::vector<std::string>> other_zones_;
  std::map<std::string, Suspicion> suspicions_;
  /// Time of the last request received, by its depth.
  std::array<TimePoint, kIgnoredRequestDepth> last_request_{};
};

}  // namespace kingcupshed::catalog
