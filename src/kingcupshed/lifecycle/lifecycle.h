#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "kingcupshed/core/time.h"

namespace kingcupshed::lifecycle {

/// Where a VM stands in its life.
enum class Phase : std::uint8_t {
  /// Not yet able to serve callers.
  kStarting,
  kReady,
  /// Stopping, but still accepting, as the balancer has not noticed yet.
  kLagging,
  /// Not accepting any more; requests under way are finished.
  kFinishing,
  kStopped,
};

/// What the daemon has to do.
enum class Action : std::uint8_t {
  /// Answer with `Connection: close` from now on.
  kBeginStop,
  kStopAccepting,
  /// Tell the operator that a further signal changes nothing.
  kWarnAlreadyStopping,
  /// Tell what is still open; the exit that follows cuts it off.
  kWarnStopTimeout,
  kExit,
};

/// Decides the steps of a VM from its start to its graceful stop.
///
/// Reads no clock and gets no signal itself. Once stopping has begun nothing
/// cuts a request off: the VM exits only when none is left, or right before the
/// platform would end it anyway.
class Lifecycle {
 public:
  /// @param lag Time that the balancer needs to notice that a VM is leaving.
  /// @param limit Time from the first signal after which the platform ends the
  ///   VM; zero when it never does.
  explicit Lifecycle(Duration lag, Duration limit = Duration::zero());
  ~Lifecycle();
  Lifecycle(const Lifecycle&) = delete;
  Lifecycle& operator=(const Lifecycle&) = delete;

  /// Says whether the VM has what it needs to serve callers.
  void SetServable(bool servable);

  /// The VM was asked to stop, once or again.
  [[nodiscard]] std::vector<Action> HandleStopSignal(TimePoint now);

  /// Time passed, or the number of open connections changed.
  /// @param open Connections of callers that are not finished.
  [[nodiscard]] std::vector<Action> Advance(TimePoint now, std::size_t open);

  /// Returns when to call `Advance` at the latest, if ever.
  [[nodiscard]] std::optional<TimePoint> NextWake() const;

  [[nodiscard]] Phase phase() const;

  /// Returns what the readiness page answers.
  [[nodiscard]] bool ready() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace kingcupshed::lifecycle
