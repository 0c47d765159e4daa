#pragma once

#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "kingcupshed/core/random.h"
#include "kingcupshed/routing/view.h"

namespace kingcupshed::routing {

/// Name of the policy that is used when the settings name none.
inline constexpr std::string_view kDefaultPolicy = "region_scan";

/// Chooses a target among those that may be used.
class Policy {
 public:
  virtual ~Policy() = default;

  /// Chooses a target.
  /// @param targets Targets that serve, may be used and were not tried yet.
  /// @return Position in `targets`, or nothing when the call should be held.
  [[nodiscard]] virtual std::optional<std::size_t> Choose(
      std::span<const TargetView> targets,
      const ChoiceContext& context,
      Random& random) = 0;

  /// True when calls are held in this VM rather than sent to full targets,
  /// and when slow attempts are hedged.
  [[nodiscard]] virtual bool controls_load() const noexcept { return false; }
};

/// Returns the names of all policies.
[[nodiscard]] std::vector<std::string_view> PolicyNames();

/// Makes a policy from its name.
/// @return The policy, or null when the name is unknown.
[[nodiscard]] std::unique_ptr<Policy> MakePolicy(std::string_view name);

}  // namespace kingcupshed::routing
