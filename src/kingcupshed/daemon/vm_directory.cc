#include "kingcupshed/daemon/vm_directory.h"

#include <optional>
#include <utility>

#include "kingcupshed/platform/documents.h"

namespace kingcupshed::daemon {

namespace asio = boost::asio;
using platform::StoreStatus;

VmDirectory::VmDirectory(const platform::Store& store,
                         VmEndpoint self,
                         std::function<void()> on_change)
    : store_(store), self_(std::move(self)), on_change_(std::move(on_change)) {}

asio::awaitable<StoreStatus> VmDirectory::RegisterSelf() {
  const StoreStatus status =
      co_await store_.Put(std::string(platform::kVmTopic), self_.vm,
                          platform::EncodeVm(self_.zone, self_.peer_address));
  registered_ = registered_ || status == StoreStatus::kDone;
  co_return status;
}

asio::awaitable<StoreStatus> VmDirectory::ReadList() {
  const platform::KeyedPage page =
      co_await store_.ReadNewest(std::string(platform::kVmTopic));
  if (page.status != StoreStatus::kDone) {
    co_return page.status;
  }
  std::vector<VmEndpoint> endpoints;
  for (const platform::KeyedRecord& record : page.records) {
    const auto entry = record.value
                           ? platform::DecodeVm(record.key, *record.value)
                           : std::nullopt;
    if (!entry) {
      continue;
    }
    registered_ =
        registered_ || (record.key == self_.vm && entry->zone == self_.zone &&
                        entry->peer_address == self_.peer_address);
    endpoints.push_back({record.key, entry->zone, entry->peer_address});
  }
  Update(endpoints);
  listed_ = true;
  co_return StoreStatus::kDone;
}

void VmDirectory::Update(const std::vector<VmEndpoint>& endpoints) {
  bool changed = false;
  for (const VmEndpoint& endpoint : endpoints) {
    changed = Apply(endpoint) || changed;
  }
  if (changed) {
    on_change_();
  }
}

bool VmDirectory::Apply(const VmEndpoint& endpoint) {
  if (endpoint.vm == self_.vm || endpoint.vm.empty()) {
    return false;
  }
  VmEndpoint& known = others_[endpoint.vm];
  if (known.peer_address == endpoint.peer_address &&
      known.zone == endpoint.zone) {
    return false;
  }
  known = endpoint;
  return true;
}

VmNamesByZone VmDirectory::NamesByZone() const {
  VmNamesByZone zones;
  for (const auto& [name, endpoint] : others_) {
    zones[endpoint.zone].push_back(name);
  }
  return zones;
}

}  // namespace kingcupshed::daemon
