#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "kingcupshed/core/ids.h"
#include "kingcupshed/timeline/event.h"

namespace kingcupshed::membership {

/// State of a VM as its own heartbeats report it.
struct VmState {
  VmId vm{};
  /// Start time of the VM's process; the state of a later incarnation wins.
  std::uint64_t incarnation = 0;
  /// Grows with every gossip round of an incarnation.
  std::uint64_t heartbeat = 0;
  bool leaving = false;
  /// Version of the VM's active table.
  TableVersion table_version{};
  std::string zone;
  /// Address of the VM's peer service.
  std::string peer_address;
};

/// Reports that a target was observed to be leaving.
struct DrainMark {
  TargetId target{};
  /// When it was observed; the latest observation wins.
  timeline::HybridTime observed_at{};
};

/// Gossip from one VM to another.
struct Message {
  VmId from{};
  /// Incarnation of the sender, within which `mark_sequence` holds.
  std::uint64_t incarnation = 0;
  /// Change number of the sender up to which the receiver has all of its marks
  /// once it has applied this message.
  std::uint64_t mark_sequence = 0;
  /// Incarnation of the receiver that `acknowledged_mark` refers to.
  std::uint64_t acknowledged_incarnation = 0;
  /// Highest `mark_sequence` of the receiver that the sender has applied.
  std::uint64_t acknowledged_mark = 0;
  std::vector<VmState> vms;
  std::vector<DrainMark> marks;
};

/// A message with its receiver.
struct Envelope {
  VmId to{};
  Message message;
};

}  // namespace kingcupshed::membership
