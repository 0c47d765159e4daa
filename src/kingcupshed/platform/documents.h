#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "kingcupshed/catalog/target_catalog.h"
#include "kingcupshed/route/route_table.h"

namespace kingcupshed::platform {

/// Topic in which the operators publish their routes.
inline constexpr std::string_view kOperatorTopic = "keyed.op";
/// Key of the newest routes in that topic.
inline constexpr std::string_view kRoutesKey = "config";
/// Topic in which the targets register.
inline constexpr std::string_view kTargetTopic = "keyed.servers";
/// Topic in which the VMs register.
inline constexpr std::string_view kVmTopic = "keyed.vms";

/// Reads the operators' document.
/// @return The routes, or nothing when any part of it can't be used.
[[nodiscard]] std::optional<route::RouteTable> DecodeRoutes(
    const std::string& text);

/// Reads the entry of a target.
/// @param name Key of the entry.
/// @return The heartbeat, or nothing when it names no target to use.
[[nodiscard]] std::optional<catalog::TargetReport> DecodeTarget(
    const std::string& name,
    const std::string& text);

/// What a VM registers of itself.
struct VmEntryDocument {
  std::string zone;
  /// Address for other VMs.
  std::string peer_address;
  /// Address for callers, if it is known.
  std::string address;
  bool leaving = false;
};

/// Renders the entry of a VM.
[[nodiscard]] std::string EncodeVm(const std::string& zone,
                                   const std::string& peer_address);

/// Reads the entry of a VM, or nothing when it can't be used.
[[nodiscard]] std::optional<VmEntryDocument> DecodeVm(const std::string& text);

}  // namespace kingcupshed::platform
