#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace kingcupshed::placement {

/// Orders the VMs for each target, in the same way on every VM, so that the
/// first ones share the target's limit without a message. Those of its zone,
/// which are the nearest, come first.
class LimitSharing {
 public:
  /// @param self Name of this VM.
  /// @param zone Its availability zone.
  LimitSharing(const std::string& self, std::string zone);

  /// Replaces the other VMs.
  /// @param zones Their names by zone.
  void SetVms(const std::map<std::string, std::vector<std::string>>& zones);

  /// Returns the position of this VM for a target. The first request for a
  /// target compares all VMs, further ones find the result.
  /// @param zone Availability zone of the target.
  [[nodiscard]] std::size_t RankFor(const std::string& target,
                                    const std::string& zone);

 private:
  [[nodiscard]] std::size_t ComputeRank(const std::string& target,
                                        const std::string& zone) const;

  std::uint64_t self_;
  std::string zone_;
  /// Hashes of the names of the other VMs, by zone.
  std::map<std::string, std::vector<std::uint64_t>> others_;
  /// Positions by target and zone, until the VMs change.
  std::map<std::pair<std::string, std::string>, std::size_t> ranks_;
};

}  // namespace kingcupshed::placement
