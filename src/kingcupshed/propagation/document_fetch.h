#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "kingcupshed/core/random.h"
#include "kingcupshed/core/time.h"

namespace kingcupshed::propagation {

/// Decides from which VM a routes document is fetched that is too long for the
/// responses to polls.
///
/// Any VM that has the document can send it, so that the link of the VM that
/// read it first is not the bottleneck of its zone.
class DocumentFetch {
 public:
  /// @param seed Seed of the random choices.
  explicit DocumentFetch(std::uint64_t seed) : random_(seed) {}

  /// Records that a VM has a version.
  void OnAnnounced(const std::string& vm, std::uint64_t version);

  /// Records the version that this VM has.
  void OnVersion(std::uint64_t version);

  /// Records the end of a fetch; `OnVersion` is called before if it brought a
  /// version.
  /// @param responded False if there was no response.
  void OnEnded(const std::string& vm, bool responded, TimePoint now);

  /// Returns the VM to fetch from now, if a fetch is due.
  [[nodiscard]] std::optional<std::string> Advance(TimePoint now);

  /// Returns when `Advance` is due next; nothing if no fetch is wanted.
  [[nodiscard]] std::optional<TimePoint> NextWake() const noexcept {
    return next_wake_;
  }

 private:
  std::uint64_t version_ = 0;
  /// Newest version that each VM is known to have, if newer than `version_`.
  std::map<std::string, std::uint64_t> holders_;
  /// Start of the fetches in progress, by VM.
  std::map<std::string, TimePoint> fetches_;
  TimePoint not_before_{};
  std::optional<TimePoint> next_wake_;
  Random random_;
};

/// Limits how many documents a VM sends, so that other responses don't queue
/// behind them in its link.
class DocumentPacer {
 public:
  /// Starts sending a document to a VM, unless others are being sent.
  /// @return False if the VM has to ask again, or another VM.
  [[nodiscard]] bool TryStart(const std::string& vm,
                              std::size_t bytes,
                              TimePoint now);

  /// Returns VMs that have received the current document.
  [[nodiscard]] std::vector<std::string> Holders(TimePoint now) const;

  /// Forgets who has the document, since there is a new one.
  void Reset() { sent_.clear(); }

 private:
  /// When all that was started is sent.
  TimePoint sent_until_{};
  /// When each VM has received the document.
  std::map<std::string, TimePoint> sent_;
};

}  // namespace kingcupshed::propagation
