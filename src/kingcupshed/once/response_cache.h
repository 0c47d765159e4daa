#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace kingcupshed::once {

/// How far the run of a claim has come.
enum class RunState : std::uint8_t {
  /// Nothing is known of the claim here.
  kAbsent,
  kRunning,
  kCompleted,
  /// It may have run; there is no answer.
  kOutcomeUnknown,
  /// It was given back without a run.
  kNotRun,
};

/// An answer of a target.
struct CachedResponse {
  unsigned code = 0;
  std::string content_type;
  std::string body;
};

/// What is kept about the run of a claim.
struct Run {
  RunState state = RunState::kAbsent;
  CachedResponse response;
};

/// Keeps what became of this VM's claims, in bounded memory.
///
/// The oldest answers are given up first; their claims count as lost.
class ResponseCache {
 public:
  /// @param max_runs Number of runs kept.
  /// @param max_bytes Size of all bodies kept.
  ResponseCache(std::size_t max_runs, std::size_t max_bytes);

  /// Notes that a claim runs.
  void Start(const std::string& claim);

  /// Notes what became of a claim.
  void End(const std::string& claim, RunState state, CachedResponse answer);

  /// Returns what is known of a claim.
  [[nodiscard]] Run Find(const std::string& claim) const;

  /// Returns the size of all bodies kept.
  [[nodiscard]] std::size_t bytes() const noexcept { return bytes_; }

 private:
  void Shrink();

  std::size_t max_runs_;
  std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  std::unordered_map<std::string, Run> runs_;
  /// Ended claims, oldest first.
  std::deque<std::string> ended_;
};

}  // namespace kingcupshed::once
