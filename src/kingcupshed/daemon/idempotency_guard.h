#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "kingcupshed/daemon/peering.h"
#include "kingcupshed/daemon/runtime.h"
#include "kingcupshed/http/idempotency_guard.h"
#include "kingcupshed/once/claim_arbiter.h"
#include "kingcupshed/once/response_cache.h"
#include "kingcupshed/platform/client.h"

namespace kingcupshed::daemon {

/// Counts of keyed calls by decision, and of appends to the claim streams.
struct IdempotencyCounters {
  std::uint64_t run = 0;
  /// Duplicates that got the response cached from the first run.
  std::uint64_t answered = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t appends = 0;
};

/// Admits each idempotency key once in the whole fleet, by means of claims that
/// are appended to streams of the platform's log.
class IdempotencyGuard final : public http::IdempotencyGuard {
 public:
  IdempotencyGuard(Runtime& runtime,
                   const platform::Client& platform,
                   Peering& peering);

  /// Starts reading the claim streams.
  void Start();

  [[nodiscard]] boost::asio::awaitable<http::KeyDecision> Claim(
      http::KeyedCall call) override;

  void Finish(const http::KeyedCall& call,
              http::KeyedOutcome outcome,
              http::CachedResponse response) override;

  /// Handles a peer's request for the state of a claim of this VM.
  void FindCachedResponse(const peer::wire::KeptAnswerRequest& request,
                          peer::wire::KeptAnswer& response) const;

  /// Waits until the releases of claims are on the log, with a timeout.
  [[nodiscard]] boost::asio::awaitable<void> DrainReleases();

  /// Returns the counts since the start.
  [[nodiscard]] const IdempotencyCounters& counters() const noexcept {
    return counters_;
  }

 private:
  /// A call that is waiting for its decision.
  struct Waiter {
    explicit Waiter(boost::asio::io_context& io) : wake(io) {}
    boost::asio::steady_timer wake;
    std::optional<once::Decision> decision;
  };
  /// One claim stream and the calls that are waiting for a decision on it.
  struct Partition {
    std::string stream;
    once::ClaimArbiter claims;
    std::map<once::Ticket, Waiter*> waiters;
  };

  boost::asio::awaitable<void> FollowStream(Partition& partition);
  boost::asio::awaitable<void> AppendBatch(Partition& partition,
                                           once::Batch batch);
  boost::asio::awaitable<void> RunPeriodically();
  boost::asio::awaitable<once::Decision> AwaitDecision(Partition& partition,
                                                       once::Request request);
  boost::asio::awaitable<http::KeyDecision> AwaitFirstRun(
      const http::KeyedCall& call,
      once::Decision decision);
  boost::asio::awaitable<std::optional<once::Run>> FetchRun(
      const http::KeyedCall& call,
      const once::Decision& decision);
  [[nodiscard]] once::Run FindRun(const std::string& claim) const;
  void AppendAndDecide(Partition& partition);
  void RecordDecision(const http::KeyDecision& decision,
                      const http::KeyedCall& call);
  Partition& PartitionOf(const std::string& key);

  Runtime& runtime_;
  const platform::Client& platform_;
  Peering& peering_;
  std::vector<Partition> partitions_;
  once::ResponseCache response_cache_;
  /// Claims of this VM whose calls are running, by key.
  std::map<std::string, std::string> running_claims_;
  IdempotencyCounters counters_;
};

}  // namespace kingcupshed::daemon
