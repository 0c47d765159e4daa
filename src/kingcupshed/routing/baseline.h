#pragma once

#include "kingcupshed/routing/policy.h"

namespace kingcupshed::routing {

/// Any target, each as likely as the others.
class RandomChoice final : public Policy {
 public:
  [[nodiscard]] std::optional<std::size_t> Choose(
      std::span<const TargetView> targets,
      const ChoiceContext& context,
      Random& random) override;
};

/// Each target in turn.
class RoundRobin final : public Policy {
 public:
  [[nodiscard]] std::optional<std::size_t> Choose(
      std::span<const TargetView> targets,
      const ChoiceContext& context,
      Random& random) override;

 private:
  std::size_t next_ = 0;
};

/// The target with the fewest attempts of this VM, over a scan of all.
class LeastOutstanding final : public Policy {
 public:
  [[nodiscard]] std::optional<std::size_t> Choose(
      std::span<const TargetView> targets,
      const ChoiceContext& context,
      Random& random) override;
};

/// Two random targets; the one whose last report shows less load.
class TwoChoicesOnReport final : public Policy {
 public:
  [[nodiscard]] std::optional<std::size_t> Choose(
      std::span<const TargetView> targets,
      const ChoiceContext& context,
      Random& random) override;
};

}  // namespace kingcupshed::routing
