#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "kingcupshed/core/time.h"

namespace kingcupshed::propagation {

/// Sorts VMs, or availability zones, in the order in which data is taken from
/// them; the same on every VM.
/// @param names Names of the VMs or zones.
[[nodiscard]] std::vector<std::string> InSourceOrder(
    std::vector<std::string> names);

/// Orders the VMs that one VM takes its data from.
///
/// All VMs sort zones, and the VMs of each zone, by a hash of the names. The
/// first VM of a zone that isn't suspected is its head. VMs take their data
/// from the head of their zone, heads take it from the head of the first zone.
/// In a zone with many VMs only the first ones take it from the head, and each
/// of these serves an equal part of the others. There is no election: VMs that
/// disagree take the same data by another way.
class SourceOrder {
 public:
  /// @param self Name of this VM.
  /// @param zone Its availability zone.
  SourceOrder(std::string self, std::string zone);

  /// Replaces the other VMs.
  /// @param zones Their names by zone.
  void SetVms(const std::map<std::string, std::vector<std::string>>& zones);

  /// Records that a VM didn't respond, or that its data was older than that of
  /// another. It is suspected for a time that doubles with each repetition.
  void Suspect(const std::string& vm, TimePoint now);

  /// Records that a VM responded with current data.
  void ClearSuspicion(const std::string& vm);

  /// Returns true if this VM is the head of its zone.
  [[nodiscard]] bool IsHead(TimePoint now) const;

  /// Returns the position of this VM's zone among all zones.
  [[nodiscard]] std::size_t ZoneRank() const noexcept { return zone_rank_; }

  /// Returns the position of this VM among those of its zone.
  [[nodiscard]] std::size_t IndexInZone() const noexcept {
    return index_in_zone_;
  }

  /// Returns the number of VMs of this VM's zone.
  [[nodiscard]] std::size_t ZoneSize() const noexcept {
    return own_zone_.size();
  }

  /// Returns the VM from which this VM takes its data; nothing if it is alone.
  [[nodiscard]] std::optional<std::string> Primary(TimePoint now) const;

  /// Returns further VMs that have the data, for the time in which that of the
  /// primary gets old. VMs of other zones alternate with VMs of this zone, so
  /// that neighbours in the list fail for different reasons. They are the first
  /// of their zone, or any of those that serve others in a zone with many VMs.
  [[nodiscard]] std::vector<std::string> Fallbacks(TimePoint now) const;

 private:
  struct Suspicion {
    TimePoint until{};
    std::size_t count = 0;
  };
  using Vms = std::vector<std::string>;

  [[nodiscard]] bool IsSuspected(const std::string& vm, TimePoint now) const;
  /// Returns the VM that serves this one while no VM is suspected, or the next
  /// one on the way to the head of the zone that isn't.
  [[nodiscard]] std::optional<std::string> Parent(TimePoint now) const;
  /// Returns one of the VMs of a zone that serve others; VMs of different names
  /// get different ones.
  [[nodiscard]] std::optional<std::string> AnyServing(const Vms& vms,
                                                      TimePoint now) const;
  /// Returns the first of `vms` that is neither suspected nor this VM.
  [[nodiscard]] std::optional<std::string> FirstOf(const Vms& vms,
                                                   TimePoint now) const;

  std::string self_;
  std::string zone_;
  /// VMs of this zone, including this one.
  Vms own_zone_;
  /// VMs of each other zone, the zones in their order.
  std::vector<Vms> other_zones_;
  std::size_t zone_rank_ = 0;
  std::size_t index_in_zone_ = 0;
  std::map<std::string, Suspicion> suspicions_;
};

}  // namespace kingcupshed::propagation
