#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace kingcupshed::once {

/// State of the run of a claim.
enum class RunState : std::uint8_t {
  /// This VM has no information about the claim.
  kAbsent,
  kRunning,
  kCompleted,
  /// The call may have run, but there is no response.
  kOutcomeUnknown,
  /// The claim was released without a run.
  kNotRun,
};

/// A response of a target.
struct CachedResponse {
  unsigned code = 0;
  std::string content_type;
  std::string body;
};

/// State and response of the run of a claim.
struct Run {
  RunState state = RunState::kAbsent;
  CachedResponse response;
};

/// Keeps the states and responses of the runs of this VM's claims, in bounded
/// memory.
///
/// The oldest ended runs are evicted first; their claims then count as absent.
class ResponseCache {
 public:
  /// @param max_runs Maximum number of ended runs.
  /// @param max_bytes Maximum total size of the bodies.
  ResponseCache(std::size_t max_runs, std::size_t max_bytes);

  /// Records that the call of a claim runs.
  void Start(const std::string& claim);

  /// Records how the run of a claim ended.
  void End(const std::string& claim, RunState state, CachedResponse response);

  /// Returns the run of a claim; its state is `kAbsent` when there is none.
  [[nodiscard]] Run Find(const std::string& claim) const;

  /// Returns the total size of the bodies.
  [[nodiscard]] std::size_t bytes() const noexcept { return bytes_; }

 private:
  void EvictOldest();

  std::size_t max_runs_;
  std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  std::unordered_map<std::string, Run> runs_;
  /// Claims whose runs have ended, oldest first.
  std::deque<std::string> ended_;
};

}  // namespace kingcupshed::once
