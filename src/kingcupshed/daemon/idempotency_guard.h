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

/// Numbers of keyed calls by decision, and of appends.
struct IdempotencyCounters {
  std::uint64_t run = 0;
  std::uint64_t answered = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t appends = 0;
};

/// Lets each caller's key through once, by claims on the platform's log.
class IdempotencyGuard final : public http::IdempotencyGuard {
 public:
  IdempotencyGuard(Runtime& runtime,
                   const platform::Client& platform,
                   Peering& peering);

  /// Starts following the claim streams.
  void Start();

  [[nodiscard]] boost::asio::awaitable<http::KeyDecision> Claim(
      http::KeyedCall call) override;

  void Finish(const http::KeyedCall& call,
              http::KeyedOutcome outcome,
              http::CachedResponse answer) override;

  /// Answers a peer that asks about a claim of this VM.
  void FindCachedResponse(const peer::wire::KeptAnswerRequest& request,
                          peer::wire::KeptAnswer& answer) const;

  /// Waits until claims given back are on the log, up to a limit.
  [[nodiscard]] boost::asio::awaitable<void> Drain();

  /// Returns the numbers of decisions so far.
  [[nodiscard]] const IdempotencyCounters& counters() const noexcept {
    return counters_;
  }

 private:
  /// A call that waits for its decision.
  struct Waiter {
    explicit Waiter(boost::asio::io_context& io) : wake(io) {}
    boost::asio::steady_timer wake;
    std::optional<once::Decision> decision;
  };
  /// One claim stream and the calls that wait on it.
  struct Partition {
    std::string stream;
    once::ClaimArbiter claims;
    std::map<once::Ticket, Waiter*> waiters;
  };

  boost::asio::awaitable<void> Follow(Partition& partition);
  boost::asio::awaitable<void> Append(Partition& partition, once::Batch batch);
  boost::asio::awaitable<void> RunTimer();
  boost::asio::awaitable<once::Decision> AwaitDecision(Partition& partition,
                                                       once::Request request);
  boost::asio::awaitable<http::KeyDecision> AwaitFirstRun(
      const http::KeyedCall& call,
      once::Decision decision);
  boost::asio::awaitable<std::optional<once::Run>> FetchRun(
      const http::KeyedCall& call,
      const once::Decision& decision);
  [[nodiscard]] once::Run FindRun(const std::string& claim) const;
  void Pump(Partition& partition);
  void Count(const http::KeyDecision& decision, const http::KeyedCall& call);
  Partition& PartitionOf(const std::string& key);

  Runtime& runtime_;
  const platform::Client& platform_;
  Peering& peering_;
  std::vector<Partition> partitions_;
  once::ResponseCache answers_;
  /// Claims of this VM that run, by key.
  std::map<std::string, std::string> running_;
  IdempotencyCounters counters_;
};

}  // namespace kingcupshed::daemon
