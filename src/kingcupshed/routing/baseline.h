#pragma once

#include "kingcupshed/routing/policy.h"

namespace kingcupshed::routing {

/// Chooses uniformly at random.
class RandomChoice final : public Policy {
 public:
  [[nodiscard]] std::optional<std::size_t> Choose(
      std::span<const TargetView> targets,
      const ChoiceContext& context,
      Random& random) override;
};

/// Chooses the targets in turn.
class RoundRobin final : public Policy {
 public:
  [[nodiscard]] std::optional<std::size_t> Choose(
      std::span<const TargetView> targets,
      const ChoiceContext& context,
      Random& random) override;

 private:
  std::size_t next_ = 0;
};

/// Chooses the target with the fewest attempts of this VM in flight.
class LeastOutstanding final : public Policy {
 public:
  [[nodiscard]] std::optional<std::size_t> Choose(
      std::span<const TargetView> targets,
      const ChoiceContext& context,
      Random& random) override;
};

/// Draws two targets at random and chooses the one whose last load report shows
/// less load (power of two choices).
class TwoChoicesOnReport final : public Policy {
 public:
  [[nodiscard]] std::optional<std::size_t> Choose(
      std::span<const TargetView> targets,
      const ChoiceContext& context,
      Random& random) override;
};

}  // namespace kingcupshed::routing
