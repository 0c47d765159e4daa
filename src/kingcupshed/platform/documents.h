#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "kingcupshed/catalog/target_catalog.h"
#include "kingcupshed/route/route_table.h"

namespace kingcupshed::platform {

/// Topic in which operators publish routes.
inline constexpr std::string_view kOperatorTopic = "keyed.op";
/// Key of the routes in that topic.
inline constexpr std::string_view kRoutesKey = "config";
/// Topic in which targets register and send heartbeats.
inline constexpr std::string_view kTargetTopic = "keyed.servers";
/// Topic in which VMs register.
inline constexpr std::string_view kVmTopic = "keyed.vms";

/// Decodes the routes document of the operators.
/// @return The routes, or nothing if any part of the document is invalid.
[[nodiscard]] std::optional<route::RouteTable> DecodeRoutes(
    const std::string& text);

/// Returns whether a key of the store can be the name of a target or VM:
/// letters, digits and `-._~:@`. Names go into header fields, URLs and
/// messages, where other bytes could mean something else.
[[nodiscard]] bool IsEntryName(std::string_view key) noexcept;

/// Decodes a target's entry, which holds its newest heartbeat.
/// @param name Key of the entry, the name of the target's instance.
/// @return The heartbeat, or nothing if the entry is invalid.
[[nodiscard]] std::optional<catalog::TargetReport> DecodeTarget(
    const std::string& name,
    const std::string& text);

/// Registration of a VM.
struct VmEntryDocument {
  std::string zone;
  /// Address for other VMs.
  std::string peer_address;
  /// Address for callers; empty if the entry has none.
  std::string address;
  bool leaving = false;
};

/// Encodes the entry of a VM.
[[nodiscard]] std::string EncodeVm(const std::string& zone,
                                   const std::string& peer_address);

/// Decodes the entry of a VM.
/// @param name Key of the entry, the name of the VM.
/// @return The registration, or nothing if the entry is invalid.
[[nodiscard]] std::optional<VmEntryDocument> DecodeVm(const std::string& name,
                                                      const std::string& text);

}  // namespace kingcupshed::platform
