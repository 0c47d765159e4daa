#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "kingcupshed/core/time.h"

namespace kingcupshed::catalog {

/// Chooses which VM of a zone reads the store for the others.
///
/// All VMs of a zone order themselves the same way by a hash of their names,
/// and each asks the first one that it does not doubt; the one that finds
/// itself first reads. There is no election: when VMs disagree, two of them
/// read, and a VM that is asked although it did not find itself first reads
/// too for a while.
class ReaderChoice {
 public:
  /// @param self Name of this VM.
  explicit ReaderChoice(std::string self) : self_(std::move(self)) {}

  /// Replaces the VMs of the zone; this VM need not be among them.
  void SetVms(const std::vector<std::string>& vms);

  /// Returns whom to ask, best first; empty when this VM is to read itself.
  [[nodiscard]] std::vector<std::string> Candidates(TimePoint now) const;

  /// Returns true while this VM's own reads fail.
  [[nodiscard]] bool DoubtsSelf(TimePoint now) const;

  /// A VM did not answer, or what it had was too old; for this VM, that the
  /// store did not answer it.
  void Doubt(const std::string& vm, TimePoint now);

  /// A VM answered with news that are fresh.
  void Trust(const std::string& vm);

  /// Another VM asked this one.
  void NoteAsked(TimePoint now) noexcept { asked_ = now; }

  /// Returns true when this VM is to read the store.
  [[nodiscard]] bool IsReader(TimePoint now) const;

 private:
  struct Doubts {
    TimePoint until{};
    std::size_t count = 0;
  };

  [[nodiscard]] bool IsDoubted(const std::string& vm, TimePoint now) const;

  std::string self_;
  /// In the order in which they are asked.
  std::vector<std::string> order_;
  std::map<std::string, Doubts> doubts_;
  TimePoint asked_{};
};

}  // namespace kingcupshed::catalog
