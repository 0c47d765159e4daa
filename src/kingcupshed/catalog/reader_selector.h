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

/// How a VM stands that may read the store, for
/// `ReaderSelector::ShouldReadNow`.
struct ReadConditions {
  /// Time since the VM started.
  Duration uptime{};
  /// True when the whole fleet starts for the first time.
  bool first_start = false;
  /// True once the VM has listed the others.
  bool vms_listed = false;
  /// True when one of the VMs that were asked last did answer, whatever it
  /// knew.
  bool peer_responded = false;
  /// Age of what the VM knows; its time up when it knows nothing.
  Duration data_age{};
};

/// Returns how long a VM waits before it looks for news again.
/// @param age Age of the newest news that it has now.
/// @param pace Time between two looks while news are fresh.
[[nodiscard]] Duration NextPollDelay(Duration age, Duration pace) noexcept;

/// Chooses which VM of a zone reads the store for the others.
///
/// All VMs of a zone order themselves the same way by a hash of their names,
/// and each asks the first one that it does not doubt; the one that finds
/// itself first reads. There is no election: when VMs disagree, two of them
/// read, and a VM that is asked although it did not find itself first reads
/// too for a while.
class ReaderSelector {
 public:
  /// @param self Name of this VM.
  explicit ReaderSelector(std::string self) : self_(std::move(self)) {}

  /// Replaces the VMs of the zone; this VM need not be among them.
  void SetVms(const std::vector<std::string>& vms);

  /// Returns whom to ask, best first; empty when this VM is to read itself.
  [[nodiscard]] std::vector<std::string> PeersToPoll(TimePoint now) const;

  /// Returns true while this VM's own reads fail.
  [[nodiscard]] bool IsSelfSuspected(TimePoint now) const;

  /// A VM did not answer, or what it had was too old; for this VM, that the
  /// store did not answer it.
  void Suspect(const std::string& vm, TimePoint now);

  /// A VM answered with news that are fresh.
  void ClearSuspicion(const std::string& vm);

  /// Another VM asked this one, which reads for it for a while. Questions that
  /// came through too many VMs that can't read don't count: while the store is
  /// away they would make all VMs read.
  /// @param depth VMs that the question came through.
  void RecordRequest(std::uint32_t depth, TimePoint now) noexcept;

  /// Returns the depth of the questions that this VM asks.
  [[nodiscard]] std::uint32_t RequestDepth(TimePoint now) const noexcept;

  /// Returns true when this VM is to read the store for others.
  [[nodiscard]] bool IsReader(TimePoint now) const;

  /// Returns true when this VM is to read the store now.
  ///
  /// While the store is away all news grow old, and on its return the readers
  /// have them first. If all VMs read then, their answers would fill the link
  /// between the regions for seconds. So a VM whose questions are answered
  /// leaves the reading to others, and takes its turn by its place among them.
  [[nodiscard]] bool ShouldReadNow(const ReadConditions& facts,
                                   TimePoint now) const;

 private:
  struct Doubts {
    TimePoint until{};
    std::size_t count = 0;
  };

  /// Returns the place of this VM in the order, from zero.
  [[nodiscard]] std::size_t Place() const;
  [[nodiscard]] bool IsDoubted(const std::string& vm, TimePoint now) const;

  std::string self_;
  /// In the order in which they are asked.
  std::vector<std::string> order_;
  std::map<std::string, Doubts> doubts_;
  /// Newest question by its depth.
  std::array<TimePoint, 3> asked_{};
};

}  // namespace kingcupshed::catalog
