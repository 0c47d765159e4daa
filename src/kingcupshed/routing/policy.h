#pragma once

#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "kingcupshed/core/random.h"
#include "kingcupshed/routing/view.h"

namespace kingcupshed::routing {

/// Policy that is used when the settings name none.
inline constexpr std::string_view kDefaultPolicy = "region_scan";

/// Chooses the target of an attempt.
class Policy {
 public:
  virtual ~Policy() = default;

  /// Chooses a target.
  /// @param targets Serving targets that the call has not tried yet.
  /// @return Index into `targets`, or nothing when the call should wait in this
  ///   VM.
  [[nodiscard]] virtual std::optional<std::size_t> Choose(
      std::span<const TargetView> targets,
      const ChoiceContext& context,
      Random& random) = 0;

  /// Returns true when calls wait in this VM rather than at full targets, and
  /// when slow attempts are hedged.
  [[nodiscard]] virtual bool controls_load() const noexcept { return false; }
};

/// Returns the names of all policies.
[[nodiscard]] std::vector<std::string_view> PolicyNames();

/// Creates a policy by name.
/// @return The policy, or null when the name is unknown.
[[nodiscard]] std::unique_ptr<Policy> MakePolicy(std::string_view name);

}  // namespace kingcupshed::routing
