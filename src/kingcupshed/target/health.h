#pragma once

#include <cstdint>
#include <memory>

#include "kingcupshed/core/time.h"

namespace kingcupshed::target {

/// Whether a target gets new work.
enum class HealthState : std::uint8_t {
  /// Gets its full share.
  kLive,
  /// Just added, back from an ejection or no longer leaving; gets a share that
  /// grows with time.
  kSlowStart,
  /// Failed too often; gets no work until its ejection ends.
  kEjected,
  /// Marked as leaving the fleet; gets no work until the mark is removed.
  kLeaving,
};

/// State machine of the health of one target.
class Health {
 public:
  /// @param warm True for a target that ran before this VM started; it skips
  ///   the slow start.
  /// @param now Time at which the target became known.
  Health(bool warm, TimePoint now);
  ~Health();
  Health(Health&&) noexcept;
  Health& operator=(Health&&) noexcept;

  /// Marks the target as leaving.
  void MarkLeaving();

  /// Removes the leaving mark and begins a slow start.
  void ClearLeaving(TimePoint now);

  /// Ejects a serving target for a time that doubles with each ejection.
  void Eject(TimePoint now);

  /// Ends an ejection or a slow start whose time is over.
  void Advance(TimePoint now);

  [[nodiscard]] HealthState state() const noexcept;

  /// Returns true when the target may get new work.
  [[nodiscard]] bool is_serving() const noexcept;

  /// Returns the share of its normal work that the target gets: below one
  /// during a slow start, never zero.
  [[nodiscard]] double slow_start_share(TimePoint now) const noexcept;

 private:
  struct Machine;
  std::unique_ptr<Machine> machine_;
};

}  // namespace kingcupshed::target
