#pragma once

#include <cstdint>
#include <functional>

namespace kingcupshed {

/// A call of one caller, unique within an incarnation of a VM.
enum class CallId : std::uint64_t {};
/// One attempt of a call at one target, unique within its call.
enum class AttemptId : std::uint32_t {};

// The ids below are interned per process (see `Names`); between processes only
// the names are sent.

/// A target: a backend server that runs the work of one service.
enum class TargetId : std::uint32_t {};
/// A service of the operators' table.
enum class ServiceId : std::uint32_t {};
/// A route configured by the operators.
enum class RouteId : std::uint32_t {};
/// A VM that runs the load balancer.
enum class VmId : std::uint32_t {};
/// An availability zone.
enum class ZoneId : std::uint32_t {};
/// A region.
enum class RegionId : std::uint32_t {};

/// Version of the operators' table; zero when no table is known.
enum class TableVersion : std::uint64_t {};

/// Returns the integer value of an id.
template <typename Id>
[[nodiscard]] constexpr std::underlying_type_t<Id> ToIndex(Id id) noexcept {
  return static_cast<std::underlying_type_t<Id>>(id);
}

}  // namespace kingcupshed
