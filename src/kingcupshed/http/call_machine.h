#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "kingcupshed/core/ids.h"

namespace kingcupshed::http {

/// What became of the work of a call, as the caller is told.
enum class Outcome : std::uint8_t { kRan, kNotRun, kUnknown };

/// Follows the attempts of one call and knows what the caller may be told.
///
/// Opens no socket: the adapter reports what it saw, in the order it saw it.
/// The outcome is `kNotRun` only while no attempt both had a byte written and
/// lacks the target's own word that it refused the work.
class CallMachine {
 public:
  CallMachine();
  ~CallMachine();
  CallMachine(const CallMachine&) = delete;
  CallMachine& operator=(const CallMachine&) = delete;

  /// An attempt begins.
  /// @return False once the call takes no further attempt.
  [[nodiscard]] bool Start(AttemptId attempt);

  /// At least one byte of the request may have reached the target.
  void Sent(AttemptId attempt);

  /// An answer came in.
  /// @return True for the first one, which is passed on; later ones lose.
  [[nodiscard]] bool Answered(AttemptId attempt);

  /// The target said that it refused the work before running it.
  void Refused(AttemptId attempt);

  /// An attempt is over without an answer to pass on.
  void Ended(AttemptId attempt);

  /// The call is given up: refused, past its deadline, or left by its caller.
  void Close();

  /// Returns the attempts under way, except the one that is passed on.
  [[nodiscard]] std::vector<AttemptId> running() const;

  /// Returns true while an answer may still come.
  [[nodiscard]] bool waiting() const;

  /// Returns what the caller may be told now.
  [[nodiscard]] Outcome outcome() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace kingcupshed::http
