#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "kingcupshed/core/time.h"

namespace kingcupshed::lifecycle {

/// Phase of a VM between its start and its exit.
enum class Phase : std::uint8_t {
  /// Not able to serve callers yet, or not any more.
  kStarting,
  kReady,
  /// Stopping, but still accepting connections, since the load balancer in
  /// front of the VMs has not noticed yet that the VM is leaving.
  kDeregistering,
  /// Not accepting connections any more; requests in progress are completed.
  kFinishing,
  kStopped,
};

/// Action that the daemon has to carry out.
enum class Action : std::uint8_t {
  /// Send `Connection: close` with every response from now on.
  kBeginStop,
  kStopAccepting,
  /// Warn the operator that a further signal has no effect.
  kWarnAlreadyStopping,
  /// Warn about what is still open; `kExit` follows and closes it.
  kWarnStopTimeout,
  kExit,
};

/// State machine of a VM from its start to its graceful stop.
///
/// It reads no clock and receives no signals itself; the daemon passes both in.
/// Once stopping has begun no request is aborted: the VM exits only when none
/// is left, or right before the platform would end it anyway.
class Lifecycle {
 public:
  /// @param deregistration_time Time that the load balancer in front of the VMs
  ///   needs to notice that a VM is leaving.
  /// @param stop_timeout Time from the first signal after which the platform
  ///   ends the VM; zero when it never does.
  explicit Lifecycle(Duration deregistration_time,
                     Duration stop_timeout = Duration::zero());
  ~Lifecycle();
  Lifecycle(const Lifecycle&) = delete;
  Lifecycle& operator=(const Lifecycle&) = delete;

  /// Sets whether the VM has what it needs to serve callers.
  void SetServable(bool servable);

  /// Handles a signal to stop, whether it is the first or a further one.
  /// @return Actions to carry out, in order.
  [[nodiscard]] std::vector<Action> HandleStopSignal(TimePoint now);

  /// Advances the state machine after time has passed or the number of open
  /// connections has changed.
  /// @param open_connections Connections of callers that are not finished.
  /// @return Actions to carry out, in order.
  [[nodiscard]] std::vector<Action> Advance(TimePoint now,
                                            std::size_t open_connections);

  /// Returns the time by which `Advance` has to be called, if there is one.
  [[nodiscard]] std::optional<TimePoint> NextWake() const;

  [[nodiscard]] Phase phase() const;

  /// Returns the value that the readiness page reports.
  [[nodiscard]] bool ready() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace kingcupshed::lifecycle
