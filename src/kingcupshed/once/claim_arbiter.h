#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "kingcupshed/core/log_record.h"
#include "kingcupshed/core/time.h"
#include "kingcupshed/once/record.h"

namespace kingcupshed::once {

/// Number of a keyed call that waits for its decision.
enum class Ticket : std::uint64_t {};

/// Limits of one claim stream.
struct Limits {
  /// Time for which a key is protected; shorter than the log's retention.
  Duration lifetime = std::chrono::hours(1);
  /// A key stays known for this much longer: deadlines and clocks that differ.
  Duration grace = std::chrono::minutes(5);
  /// Least time between two appends.
  Duration append_interval = std::chrono::milliseconds(50);
  /// The same while the log fails.
  Duration retry_interval = std::chrono::milliseconds(250);
  /// New keys are refused at once when the log has failed for this long.
  Duration fail_fast_after = std::chrono::seconds(2);
  std::size_t max_waiting = 2'000;
  std::size_t max_batch = 500;
  /// Keys known at once; beyond that new ones are refused.
  std::size_t max_keys = 400'000;
};

/// A call that asks to run.
struct Request {
  std::string key;
  std::uint64_t fingerprint = 0;
  TimePoint deadline{};
};

/// What a call may do.
struct Decision {
  enum class Type : std::uint8_t {
    /// It owns the key: run it and call `Finish` once.
    kRun,
    /// Another claim owns the key; see `claim` and `owner`.
    kDuplicate,
    /// It was not run and never will be under this ticket.
    kRefused,
  };
  Ticket ticket{};
  Type type = Type::kRefused;
  /// Fixed word of a refusal.
  std::string reason;
  /// Claim that owns the key, and its VM.
  std::string claim;
  std::string owner;
};

/// Records to append as one append.
struct Batch {
  std::uint64_t number = 0;
  std::vector<LogRecord> records;
};

/// What the platform said of an append.
enum class AppendOutcome : std::uint8_t {
  kDone,
  /// Nothing took effect.
  kNotDone,
  /// It may have taken effect, now or later.
  kUnknown,
};

/// Decides on one stream of the log which call may run a key.
///
/// The lowest offset wins, so every VM that reads the stream from its start
/// agrees. A decision to run is taken only when the own claim was read back as
/// the winner; no time limit is attached to owning a key. Only the owner
/// releases a claim, and only one that it has not run and will not run.
class ClaimArbiter {
 public:
  /// @param vm Name of this VM.
  /// @param life Unique number of this life of the VM.
  ClaimArbiter(std::string vm, std::uint64_t life, Limits limits);

  /// Takes a call; its decision comes from `TakeDecisions`, perhaps at once.
  Ticket Begin(const Request& request, TimePoint now);

  /// Tells that a call which got `kRun` has ended.
  /// @param ran False only when nothing can have run: the key is released.
  void Finish(const std::string& claim, bool ran);

  /// Takes the answer to a batch.
  void OnAppended(std::uint64_t batch, AppendOutcome outcome, TimePoint now);

  /// Takes a page of the stream.
  void OnRead(const LogPage& page, TimePoint now);

  /// Takes a failed read.
  void OnReadFailed(TimePoint now);

  /// Refuses overdue calls and drops expired keys.
  void OnTick(TimePoint now);

  /// Returns the batch to append now, or nothing.
  [[nodiscard]] std::optional<Batch> TakeBatch(TimePoint now);

  /// Returns the decisions taken since the last call.
  [[nodiscard]] std::vector<Decision> TakeDecisions();

  /// Returns the offset to read from.
  [[nodiscard]] LogOffset next_offset() const noexcept { return next_offset_; }

  /// Returns the number of own releases that were not read back yet.
  [[nodiscard]] std::size_t pending_releases() const noexcept {
    return releases_.size();
  }

  /// Returns whether an own claim still waits to be read back.
  [[nodiscard]] bool IsWaiting(const std::string& claim) const {
    return waiting_.contains(claim);
  }

  /// Returns whether an own claim was given up and never runs.
  [[nodiscard]] bool IsAbandoned(const std::string& claim) const {
    return releases_.contains(claim) || released_.contains(claim);
  }

  /// Returns the number of keys known.
  [[nodiscard]] std::size_t known_keys() const noexcept {
    return owners_.size();
  }

 private:
  /// The claim that owns a key.
  struct Owner {
    std::string claim;
    std::string vm;
    std::uint64_t fingerprint = 0;
  };
  /// An own claim whose call still waits.
  struct Waiting {
    Ticket ticket{};
    Claim claim;
    TimePoint deadline{};
    bool in_flight = false;
    /// True once the record may be on the log, or may get there.
    bool may_be_appended = false;
  };
  /// A release that was not read back yet.
  struct OpenRelease {
    std::string key;
    /// True while it is in flight or known to be on the log.
    bool sent = false;
  };
  struct Expiry {
    TimePoint at;
    std::string key;
    std::string claim;
  };

  void Apply(const LogRecord& record, TimePoint now);
  void ApplyClaim(const Claim& claim, TimePoint now);
  void ApplyRelease(const Release& release, TimePoint now);
  void Win(const Claim& claim, TimePoint now);
  void Lose(const Claim& claim, const Owner& owner);
  void Abandon(const std::string& claim, std::string reason);
  void AbandonAll(const std::string& reason);
  void Refuse(Ticket ticket, std::string reason);
  void DecideDuplicate(Ticket ticket,
                       std::uint64_t fingerprint,
                       const Owner& owner);
  void QueueRelease(const std::string& claim, const std::string& key);
  void AddReleases(Batch& batch);
  void AddClaims(Batch& batch);
  void NoteLog(bool reachable, TimePoint now);
  [[nodiscard]] bool IsOwn(const std::string& claim) const;
  [[nodiscard]] bool HasRoom() const noexcept;

  std::string vm_;
  std::string prefix_;
  Limits limits_;
  std::uint64_t last_claim_ = 0;
  std::uint64_t last_ticket_ = 0;
  std::uint64_t last_batch_ = 0;
  LogOffset next_offset_{};
  std::unordered_map<std::string, Owner> owners_;
  /// Claims released before or after they were read.
  std::unordered_set<std::string> released_;
  std::deque<Expiry> expiries_;
  /// Own claims by id.
  std::map<std::string, Waiting> waiting_;
  /// Own claims that were let through and have not ended, with their keys.
  std::map<std::string, std::string> running_;
  /// Own releases by claim that were not read back yet.
  std::map<std::string, OpenRelease> releases_;
  std::vector<std::string> queue_;
  std::optional<Batch> in_flight_;
  std::optional<TimePoint> last_append_;
  std::optional<TimePoint> failing_since_;
  /// Until then keys may have been missed for want of room.
  std::optional<TimePoint> blind_until_;
  std::vector<Decision> decisions_;
};

}  // namespace kingcupshed::once
