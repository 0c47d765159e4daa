#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "kingcupshed/core/ids.h"
#include "kingcupshed/timeline/event.h"

namespace kingcupshed::membership {

/// State of a VM as its own heartbeats tell it.
struct VmState {
  VmId vm{};
  /// Start of the VM's life; a later life wins.
  std::uint64_t incarnation = 0;
  /// Grows with every round of one life.
  std::uint64_t heartbeat = 0;
  bool leaving = false;
  /// Version of the table in force there.
  TableVersion table_version{};
  std::string zone;
  /// Address of its peer service.
  std::string peer_address;
};

/// Says that a target was seen leaving.
struct DrainMark {
  TargetId target{};
  /// When it was seen; the latest sighting wins.
  timeline::HybridTime observed_at{};
};

/// What one VM tells another.
struct Message {
  VmId from{};
  /// Life of the sender; numbers of its marks hold within it.
  std::uint64_t incarnation = 0;
  /// Number of the newest mark included, and of all before it.
  std::uint64_t mark_sequence = 0;
  /// Life of the receiver that `acknowledged_mark` is about.
  std::uint64_t acknowledged_incarnation = 0;
  /// Newest mark of the receiver that the sender has taken in.
  std::uint64_t acknowledged_mark = 0;
  std::vector<VmState> vms;
  std::vector<DrainMark> marks;
};

/// A message and the VM that it is for.
struct Envelope {
  VmId to{};
  Message message;
};

}  // namespace kingcupshed::membership
