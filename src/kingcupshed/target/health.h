#pragma once

#include <cstdint>
#include <memory>

#include "kingcupshed/core/time.h"

namespace kingcupshed::target {

/// Whether a target gets new work.
enum class HealthState : std::uint8_t {
  /// Takes its full share.
  kLive,
  /// Just came or came back; takes a growing share.
  kStarting,
  /// Failed too often; gets nothing until its ejection ends.
  kEjected,
  /// Leaves the fleet; gets nothing until it is back.
  kLeaving,
};

/// State machine of one target's health.
class Health {
 public:
  /// @param warm True for a target that was there before this VM.
  /// @param now Instant at which the target became known.
  Health(bool warm, TimePoint now);
  ~Health();
  Health(Health&&) noexcept;
  Health& operator=(Health&&) noexcept;

  /// The target is marked as leaving.
  void Leave();

  /// The target is no longer marked as leaving; it starts cold.
  void Return(TimePoint now);

  /// Takes a serving target out for a time that doubles with each repetition.
  void Eject(TimePoint now);

  /// Ends an ejection or a start whose time has come.
  void Advance(TimePoint now);

  [[nodiscard]] HealthState state() const noexcept;

  /// True when the target may get new work.
  [[nodiscard]] bool serves() const noexcept;

  /// Returns the share of its work that the target gets, above zero up to one.
  [[nodiscard]] double start_share(TimePoint now) const noexcept;

 private:
  struct Machine;
  std::unique_ptr<Machine> machine_;
};

}  // namespace kingcupshed::target
