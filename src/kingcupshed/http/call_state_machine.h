#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "kingcupshed/core/ids.h"

namespace kingcupshed::http {

/// Whether the work of a call ran on a target, as reported to the caller.
enum class Outcome : std::uint8_t { kRan, kNotRun, kUnknown };

/// Tracks the attempts of one call and derives the outcome that may be reported
/// to the caller.
///
/// Does no I/O: the caller of this class reports events in the order in which
/// they were observed. The outcome is `kNotRun` only if every attempt either
/// sent no byte of the request or was explicitly refused by its target.
class CallStateMachine {
 public:
  CallStateMachine();
  ~CallStateMachine();
  CallStateMachine(const CallStateMachine&) = delete;
  CallStateMachine& operator=(const CallStateMachine&) = delete;

  /// Registers a new attempt.
  /// @return False when the call accepts no further attempts.
  [[nodiscard]] bool StartAttempt(AttemptId attempt);

  /// At least one byte of the request may have reached the target.
  void OnBytesSent(AttemptId attempt);

  /// Handles a response.
  /// @return True for the first response of the call, which is forwarded to the
  /// caller; later ones are discarded.
  [[nodiscard]] bool OnResponse(AttemptId attempt);

  /// The target reported that it refused the work without running it.
  void OnRefused(AttemptId attempt);

  /// The attempt ended without a response to forward.
  void OnEnded(AttemptId attempt);

  /// Ends the call without a response: it was refused, its deadline passed, or
  /// its caller disconnected.
  void Abandon();

  /// Returns the attempts in progress, without the one whose response is
  /// forwarded.
  [[nodiscard]] std::vector<AttemptId> running_attempts() const;

  /// Returns true until a response is received or the call is abandoned.
  [[nodiscard]] bool awaiting_response() const;

  /// Returns the outcome that may be reported to the caller now.
  [[nodiscard]] Outcome outcome() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace kingcupshed::http
