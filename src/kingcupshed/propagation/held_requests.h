#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "kingcupshed/core/log_record.h"
#include "kingcupshed/core/time.h"
#include "kingcupshed/propagation/content.h"

namespace kingcupshed::propagation {

/// What a VM that polls has.
struct RequesterState {
  /// Version of its routes; zero if it has none.
  std::uint64_t routes_version = 0;
  /// Offset up to which it knows the targets; zero if it has none.
  LogOffset targets_known_to{};
  CurrentTimes current;
};

/// What the polled VM has.
struct ProviderState {
  std::uint64_t routes_version = 0;
  /// Offset after the newest change of a target.
  LogOffset targets_changed_to{};
  /// Offset from which on the VM can tell all changes of targets.
  LogOffset targets_complete_since{};
  CurrentTimes current;
};

/// Polls that wait for something new.
///
/// A poll is responded to as soon as this VM has a change that the other one
/// lacks, or is known to be current for clearly longer; otherwise when its time
/// has passed.
class HeldRequests {
 public:
  using Id = std::uint64_t;

  /// Holds a request.
  /// @param until When it is responded to without anything new.
  void Add(Id id, const RequesterState& requester, TimePoint until);

  /// Removes and returns the requests to respond to now.
  [[nodiscard]] std::vector<Id> TakeDue(const ProviderState& provider,
                                        TimePoint now);

  /// Removes and returns all requests.
  [[nodiscard]] std::vector<Id> TakeAll();

  /// Returns when the next request ends its wait; nothing if none waits.
  [[nodiscard]] std::optional<TimePoint> NextDeadline() const noexcept;

 private:
  struct Held {
    RequesterState requester;
    TimePoint until{};
  };

  std::map<Id, Held> held_;
};

}  // namespace kingcupshed::propagation
