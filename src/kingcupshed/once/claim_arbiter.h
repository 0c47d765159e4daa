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

/// Identifies a keyed call that waits for its decision.
enum class Ticket : std::uint64_t {};

/// Limits and intervals of one claim stream.
struct Limits {
  /// How long a key is protected; must be shorter than the retention of the
  /// log.
  Duration lifetime = std::chrono::hours(1);
  /// How much longer a key is remembered, to allow for call deadlines and clock
  /// differences.
  Duration grace_period = std::chrono::minutes(5);
  /// Minimum time between two appends.
  Duration append_interval = std::chrono::milliseconds(50);
  /// Minimum time between two appends while the log fails.
  Duration retry_interval = std::chrono::milliseconds(250);
  /// New keys are refused immediately once the log has failed for this long.
  Duration fail_fast_after = std::chrono::seconds(2);
  /// Maximum number of own claims that wait for a decision.
  std::size_t max_waiting = 2'000;
  /// Maximum number of records in one append.
  std::size_t max_batch = 500;
  /// Maximum number of remembered keys; beyond it new ones are refused.
  std::size_t max_keys = 400'000;
};

/// A call that requests to run under a key.
struct Request {
  std::string key;
  std::uint64_t fingerprint = 0;
  TimePoint deadline{};
};

/// Decision on a call.
struct Decision {
  enum class Type : std::uint8_t {
    /// The call owns the key: run it, then call `Finish` exactly once.
    kRun,
    /// Another claim owns the key; see `claim` and `owner`.
    kDuplicate,
    /// The call was not run, and never will be under this ticket.
    kRefused,
  };
  Ticket ticket{};
  Type type = Type::kRefused;
  /// Machine-readable reason of a refusal.
  std::string reason;
  /// Id of the claim that owns the key.
  std::string claim;
  /// VM of that claim.
  std::string owner;
};

/// Records to write in one append.
struct Batch {
  std::uint64_t number = 0;
  std::vector<LogRecord> records;
};

/// Result of an append to the log.
enum class AppendOutcome : std::uint8_t {
  kDone,
  /// No record was appended.
  kNotDone,
  /// The records may have been appended, or may be appended later.
  kUnknown,
};

/// Decides which call may run under each key, from the claims on one stream of
/// the log.
///
/// The claim with the lowest offset owns the key, so every VM that reads the
/// stream from its start reaches the same decision. A call may run only after
/// its own claim was read back as the owner. Ownership has no time limit. Only
/// the owner releases a claim, and only when it has not run the call and will
/// not run it.
class ClaimArbiter {
 public:
  /// @param vm Name of this VM.
  /// @param incarnation Number that is unique among the starts of this VM.
  ClaimArbiter(std::string vm, std::uint64_t incarnation, Limits limits);

  /// Starts deciding on a call. `TakeDecisions` returns the decision later, or
  /// as soon as this returns.
  Ticket Begin(const Request& request, TimePoint now);

  /// Reports that a call whose decision was `kRun` has ended.
  /// @param ran False only when the work can't have run; the key is then
  /// released.
  void Finish(const std::string& claim, bool ran);

  /// Handles the result of appending a batch.
  void OnAppended(std::uint64_t batch, AppendOutcome outcome, TimePoint now);

  /// Applies a page of the stream.
  void OnRead(const LogPage& page, TimePoint now);

  /// Handles a failed read of the stream.
  void OnReadFailed(TimePoint now);

  /// Refuses calls whose deadline has passed and removes expired keys.
  void OnTick(TimePoint now);

  /// Returns the batch to append now, or nothing. `OnAppended` must report its
  /// result.
  [[nodiscard]] std::optional<Batch> TakeBatch(TimePoint now);

  /// Returns the decisions made since the last call of this function.
  [[nodiscard]] std::vector<Decision> TakeDecisions();

  /// Returns the offset from which to read next.
  [[nodiscard]] LogOffset next_offset() const noexcept { return next_offset_; }

  /// Returns the number of own releases that were not yet read back.
  [[nodiscard]] std::size_t pending_releases() const noexcept {
    return releases_.size();
  }

  /// Returns whether an own claim waits to be read back.
  [[nodiscard]] bool IsWaiting(const std::string& claim) const {
    return waiting_.contains(claim);
  }

  /// Returns whether an own claim was abandoned and will never run.
  [[nodiscard]] bool IsAbandoned(const std::string& claim) const {
    return releases_.contains(claim) || released_.contains(claim);
  }

  /// Returns the number of owned keys.
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
  /// An own claim whose call waits for its decision.
  struct Waiting {
    Ticket ticket{};
    Claim claim;
    TimePoint deadline{};
    bool in_flight = false;
    /// True once the record may be on the log, or may still be appended.
    bool may_be_appended = false;
  };
  /// An own release that was not yet read back.
  struct PendingRelease {
    std::string key;
    /// True while the release is in flight or known to be on the log.
    bool sent = false;
  };
  /// Time at which a key and its claim are forgotten.
  struct Expiry {
    TimePoint at;
    std::string key;
    std::string claim;
  };

  void Apply(const LogRecord& record, TimePoint now);
  void ApplyClaim(const Claim& claim, TimePoint now);
  void ApplyRelease(const Release& release, TimePoint now);
  void HandleWonClaim(const Claim& claim, TimePoint now);
  void HandleLostClaim(const Claim& claim, const Owner& owner);
  void Abandon(const std::string& claim, std::string reason);
  void AbandonAll(const std::string& reason);
  void Refuse(Ticket ticket, std::string reason);
  void DecideDuplicate(Ticket ticket,
                       std::uint64_t fingerprint,
                       const Owner& owner);
  void QueueRelease(const std::string& claim, const std::string& key);
  void AddReleases(Batch& batch);
  void AddClaims(Batch& batch);
  void RecordLogState(bool reachable, TimePoint now);
  [[nodiscard]] bool IsOwn(const std::string& claim) const;
  [[nodiscard]] bool HasCapacity() const noexcept;

  std::string vm_;
  /// Prefix of own claim ids, unique to this incarnation of the VM.
  std::string prefix_;
  Limits limits_;
  std::uint64_t last_claim_ = 0;
  std::uint64_t last_ticket_ = 0;
  std::uint64_t last_batch_ = 0;
  LogOffset next_offset_{};
  std::unordered_map<std::string, Owner> owners_;
  /// Ids of released claims, including claims that were not read yet.
  std::unordered_set<std::string> released_;
  std::deque<Expiry> expiries_;
  /// Own claims by id.
  std::map<std::string, Waiting> waiting_;
  /// Keys of own claims that are running, by claim id.
  std::map<std::string, std::string> running_;
  /// Own releases that were not yet read back, by claim id.
  std::map<std::string, PendingRelease> releases_;
  /// Ids of own claims to append.
  std::vector<std::string> queue_;
  std::optional<Batch> in_flight_;
  std::optional<TimePoint> last_append_;
  std::optional<TimePoint> failing_since_;
  /// Until this time claims may be missing from `owners_` because `max_keys`
  /// was reached, so no new key may run.
  std::optional<TimePoint> incomplete_until_;
  std::vector<Decision> decisions_;
};

}  // namespace kingcupshed::once
