#pragma once

#include <cstdint>
#include <functional>

namespace kingcupshed {

/// A call of one caller, unique within a VM's life.
enum class CallId : std::uint64_t {};
/// One try of a call at one target, unique within its call.
enum class AttemptId : std::uint32_t {};
/// A back-end server, interned per process; names travel between processes.
enum class TargetId : std::uint32_t {};
/// A service of the table, interned per process.
enum class ServiceId : std::uint32_t {};
/// A route of the operators, interned per process.
enum class RouteId : std::uint32_t {};
/// A balancing VM, interned per process.
enum class VmId : std::uint32_t {};
/// An availability zone, interned per process.
enum class ZoneId : std::uint32_t {};
/// A region, interned per process.
enum class RegionId : std::uint32_t {};
/// Version of the operators' table; zero means that none is known.
enum class TableVersion : std::uint64_t {};

/// Returns the integer behind an id.
template <typename Id>
[[nodiscard]] constexpr std::underlying_type_t<Id> ToIndex(Id id) noexcept {
  return static_cast<std::underlying_type_t<Id>>(id);
}

}  // namespace kingcupshed
