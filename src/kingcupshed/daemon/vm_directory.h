#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "kingcupshed/platform/store.h"

namespace kingcupshed::daemon {

/// Names of VMs by availability zone.
using VmNamesByZone = std::map<std::string, std::vector<std::string>>;

/// Name and location of a VM.
struct VmEndpoint {
  std::string vm;
  std::string zone;
  /// Address for other VMs.
  std::string peer_address;
};

/// Knows the VMs of the fleet: from the store, where each registers itself, and
/// from other VMs.
class VmDirectory {
 public:
  /// @param on_change Called once for each update by which VMs became known or
  ///   have other locations.
  VmDirectory(const platform::Store& store,
              VmEndpoint self,
              std::function<void()> on_change);

  /// Registers this VM in the store.
  [[nodiscard]] boost::asio::awaitable<platform::StoreStatus> RegisterSelf();

  /// Reads all VMs from the store.
  [[nodiscard]] boost::asio::awaitable<platform::StoreStatus> ReadList();

  /// Adds other VMs, or changes their locations. Ignores this VM.
  void Update(const std::vector<VmEndpoint>& endpoints);

  [[nodiscard]] const VmEndpoint& self() const noexcept { return self_; }
  /// Returns the other VMs by name.
  [[nodiscard]] const std::map<std::string, VmEndpoint>& others()
      const noexcept {
    return others_;
  }
  /// Returns the names of the other VMs by zone.
  [[nodiscard]] VmNamesByZone NamesByZone() const;
  /// Returns the number of known VMs, including this one.
  [[nodiscard]] std::size_t size() const noexcept { return others_.size() + 1; }
  /// Returns true once the list was read from the store.
  [[nodiscard]] bool listed() const noexcept { return listed_; }
  /// Returns true if the store has this VM's entry, from this incarnation or an
  /// earlier one.
  [[nodiscard]] bool registered() const noexcept { return registered_; }

 private:
  /// @return True if the VM wasn't known at this location.
  bool Apply(const VmEndpoint& endpoint);

  const platform::Store& store_;
  VmEndpoint self_;
  std::function<void()> on_change_;
  std::map<std::string, VmEndpoint> others_;
  bool listed_ = false;
  bool registered_ = false;
};

}  // namespace kingcupshed::daemon
