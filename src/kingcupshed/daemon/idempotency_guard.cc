#include "kingcupshed/daemon/idempotency_guard.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <memory>
#include <utility>

#include <xxhash.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "kingcupshed/once/key_time.h"
#include "peer.pb.h"

namespace kingcupshed::daemon {

namespace {

namespace asio = boost::asio;
using http::KeyDecision;
using once::Decision;
using once::Run;
using once::RunState;
using peer::wire::KeptAnswer;

/// A read that returns shows that the log serves, so this bounds how long new
/// keys are refused after an outage.
constexpr Duration kReadWait = std::chrono::seconds(2);
constexpr Duration kRetryDelay = std::chrono::milliseconds(200);
constexpr Duration kTimerInterval = std::chrono::milliseconds(10);
constexpr Duration kRunPoll = std::chrono::milliseconds(50);
constexpr Duration kFetchTimeout = std::chrono::seconds(1);
constexpr Duration kDrainTimeout = std::chrono::seconds(3);
constexpr int kMaxFailedFetches = 2;
constexpr std::size_t kMaxRuns = 20'000;
constexpr std::size_t kMaxAnswerBytes = 16UL * 1024 * 1024;
constexpr std::size_t kMaxKeySize = 256;

TimePoint SteadyNow() {
  return std::chrono::steady_clock::now();
}

asio::awaitable<void> Sleep(asio::io_context& io, Duration duration) {
  asio::steady_timer timer(io, duration);
  co_await timer.async_wait(asio::use_awaitable);
}

std::uint64_t LifeNumber() {
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(wall.count());
}

std::string FullKey(const http::KeyedCall& call) {
  return call.service + "/" + call.key;
}

once::AppendOutcome ToOutcome(platform::Status status) noexcept {
  constexpr std::array kOutcomes{once::AppendOutcome::kDone,
                                 once::AppendOutcome::kNotDone,
                                 once::AppendOutcome::kUnknown};
  return kOutcomes[static_cast<std::size_t>(status)];
}

RunState ToRunState(http::KeyedOutcome outcome) noexcept {
  constexpr std::array kStates{RunState::kCompleted, RunState::kNotRun,
                               RunState::kOutcomeUnknown};
  return kStates[static_cast<std::size_t>(outcome)];
}

constexpr std::array<KeptAnswer::State, 5> kWireStates{
    KeptAnswer::STATE_UNKNOWN, KeptAnswer::STATE_RUNNING,
    KeptAnswer::STATE_ANSWERED, KeptAnswer::STATE_LOST,
    KeptAnswer::STATE_NOT_RUN};

RunState FromWire(KeptAnswer::State state) noexcept {
  const auto found = std::find(kWireStates.begin(), kWireStates.end(), state);
  return found == kWireStates.end()
             ? RunState::kAbsent
             : static_cast<RunState>(found - kWireStates.begin());
}

KeyDecision Refuse(KeyDecision::Type type, std::string reason) {
  KeyDecision decision;
  decision.type = type;
  decision.reason = std::move(reason);
  return decision;
}

/// Turns what became of the first run into the answer to a duplicate.
KeyDecision ToDecision(const Run& run) {
  switch (run.state) {
    case RunState::kCompleted: {
      KeyDecision decision;
      decision.type = KeyDecision::Type::kCachedResponse;
      decision.response = {run.response.code, run.response.content_type,
                           run.response.body};
      return decision;
    }
    case RunState::kNotRun:
      return Refuse(KeyDecision::Type::kNotRun, "first-call-not-run");
    case RunState::kRunning:
      return Refuse(KeyDecision::Type::kUnknown, "first-call-running");
    case RunState::kOutcomeUnknown:
      return Refuse(KeyDecision::Type::kUnknown, "first-outcome-unknown");
    case RunState::kAbsent:
      break;
  }
  return Refuse(KeyDecision::Type::kUnknown, "first-vm-gone");
}

}  // namespace

IdempotencyGuard::IdempotencyGuard(Runtime& runtime,
                                   const platform::Client& platform,
                                   Peering& peering)
    : runtime_(runtime),
      platform_(platform),
      peering_(peering),
      answers_(kMaxRuns, kMaxAnswerBytes) {
  once::Limits limits;
  limits.lifetime = runtime.settings.key_lifetime;
  const std::uint32_t streams = runtime.settings.claim_streams;
  limits.append_interval *= streams;
  limits.max_keys /= streams;
  for (std::uint32_t i = 0; i < streams; ++i) {
    partitions_.push_back(
        {"claims-" + std::to_string(i),
         once::ClaimArbiter(runtime.settings.vm, LifeNumber(), limits),
         {}});
  }
}

void IdempotencyGuard::Start() {
  for (Partition& partition : partitions_) {
    asio::co_spawn(runtime_.io, Follow(partition), asio::detached);
  }
  asio::co_spawn(runtime_.io, RunTimer(), asio::detached);
}

asio::awaitable<KeyDecision> IdempotencyGuard::Claim(http::KeyedCall call) {
  KeyDecision decision;
  const auto age = once::CheckKeyAge(call.key, std::chrono::system_clock::now(),
                                     runtime_.settings.key_lifetime);
  if (call.key.size() > kMaxKeySize) {
    decision = Refuse(KeyDecision::Type::kNotRun, "key-too-long");
  } else if (age == once::KeyAge::kExpired) {
    decision = Refuse(KeyDecision::Type::kNotRun, "key-expired");
  } else if (age == once::KeyAge::kFromFuture) {
    decision = Refuse(KeyDecision::Type::kNotRun, "key-from-future");
  } else {
    const std::string key = FullKey(call);
    Partition& partition = PartitionOf(key);
    // Named, since the compiler destroys such temporaries of a co_await twice.
    once::Request request{key, call.fingerprint, call.deadline};
    once::Decision claimed =
        co_await AwaitDecision(partition, std::move(request));
    if (claimed.type == Decision::Type::kDuplicate) {
      decision = co_await AwaitFirstRun(call, std::move(claimed));
    } else if (claimed.type == Decision::Type::kRefused) {
      decision = Refuse(KeyDecision::Type::kNotRun, claimed.reason);
    } else {
      decision.type = KeyDecision::Type::kRun;
    }
  }
  Count(decision, call);
  co_return decision;
}

void IdempotencyGuard::Finish(const http::KeyedCall& call,
                              http::KeyedOutcome outcome,
                              http::CachedResponse answer) {
  const std::string key = FullKey(call);
  const auto running = running_.find(key);
  if (running == running_.end()) {
    return;
  }
  const std::string claim = running->second;
  running_.erase(running);
  once::CachedResponse kept;
  if (outcome == http::KeyedOutcome::kRan) {
    kept = {answer.code, std::move(answer.content_type),
            std::move(answer.body)};
  }
  answers_.End(claim, ToRunState(outcome), std::move(kept));
  Partition& partition = PartitionOf(key);
  partition.claims.Finish(claim, outcome != http::KeyedOutcome::kNotRun);
  Pump(partition);
}

void IdempotencyGuard::FindCachedResponse(
    const peer::wire::KeptAnswerRequest& request,
    KeptAnswer& answer) const {
  const Run run = FindRun(request.claim());
  answer.set_state(kWireStates[static_cast<std::size_t>(run.state)]);
  answer.set_code(run.response.code);
  answer.set_content_type(run.response.content_type);
  answer.set_body(run.response.body);
}

Run IdempotencyGuard::FindRun(const std::string& claim) const {
  Run run = answers_.Find(claim);
  if (run.state != RunState::kAbsent) {
    return run;
  }
  for (const Partition& partition : partitions_) {
    if (partition.claims.IsWaiting(claim)) {
      // Another VM has read the claim before this one did.
      run.state = RunState::kRunning;
    } else if (partition.claims.IsAbandoned(claim)) {
      run.state = RunState::kNotRun;
    }
  }
  return run;
}

asio::awaitable<void> IdempotencyGuard::Drain() {
  const TimePoint limit = SteadyNow() + kDrainTimeout;
  const auto is_open = [](const Partition& partition) {
    return partition.claims.pending_releases() > 0;
  };
  while (std::any_of(partitions_.begin(), partitions_.end(), is_open) &&
         SteadyNow() < limit) {
    co_await Sleep(runtime_.io, kTimerInterval);
  }
}

asio::awaitable<void> IdempotencyGuard::Follow(Partition& partition) {
  Duration wait = kReadWait;
  for (;;) {
    const auto read = co_await platform_.Read(
        partition.stream, partition.claims.next_offset(), wait);
    const bool done = read.status == platform::Status::kDone;
    // After a failure the next answer is wanted at once.
    wait = done ? kReadWait : Duration::zero();
    if (done) {
      partition.claims.OnRead(read.page, SteadyNow());
      Pump(partition);
    } else {
      partition.claims.OnReadFailed(SteadyNow());
      co_await Sleep(runtime_.io, kRetryDelay);
    }
  }
}

asio::awaitable<void> IdempotencyGuard::Append(Partition& partition,
                                               once::Batch batch) {
  ++counters_.appends;
  std::vector<platform::NewRecord> records;
  for (LogRecord& record : batch.records) {
    records.push_back({std::move(record.id), std::move(record.payload)});
  }
  const auto result =
      co_await platform_.Append(partition.stream, std::move(records));
  partition.claims.OnAppended(batch.number, ToOutcome(result.status),
                              SteadyNow());
  Pump(partition);
}

asio::awaitable<void> IdempotencyGuard::RunTimer() {
  for (;;) {
    for (Partition& partition : partitions_) {
      partition.claims.OnTick(SteadyNow());
      Pump(partition);
    }
    co_await Sleep(runtime_.io, kTimerInterval);
  }
}

void IdempotencyGuard::Pump(Partition& partition) {
  if (auto batch = partition.claims.TakeBatch(SteadyNow())) {
    asio::co_spawn(runtime_.io, Append(partition, *std::move(batch)),
                   asio::detached);
  }
  for (Decision& decision : partition.claims.TakeDecisions()) {
    const auto waiter = partition.waiters.find(decision.ticket);
    if (decision.type == Decision::Type::kRun) {
      answers_.Start(decision.claim);
    }
    if (waiter != partition.waiters.end()) {
      waiter->second->decision = std::move(decision);
      waiter->second->wake.cancel();
    } else if (decision.type == Decision::Type::kRun) {
      // Its call is gone: nothing will run.
      answers_.End(decision.claim, RunState::kNotRun, {});
      partition.claims.Finish(decision.claim, false);
    }
  }
}

asio::awaitable<Decision> IdempotencyGuard::AwaitDecision(
    Partition& partition,
    once::Request request) {
  const std::string key = request.key;
  const once::Ticket ticket = partition.claims.Begin(request, SteadyNow());
  Waiter waiter(runtime_.io);
  waiter.wake.expires_at(asio::steady_timer::time_point::max());
  partition.waiters.emplace(ticket, &waiter);
  const auto forget = [&partition, ticket](Waiter*) {
    partition.waiters.erase(ticket);
  };
  // Forgets the waiter also when the call is cancelled.
  const std::unique_ptr<Waiter, decltype(forget)> guard(&waiter, forget);
  Pump(partition);
  while (!waiter.decision) {
    boost::system::error_code error;
    co_await waiter.wake.async_wait(
        asio::redirect_error(asio::use_awaitable, error));
  }
  if (waiter.decision->type == Decision::Type::kRun) {
    running_[key] = waiter.decision->claim;
  }
  co_return *std::move(waiter.decision);
}

asio::awaitable<KeyDecision> IdempotencyGuard::AwaitFirstRun(
    const http::KeyedCall& call,
    Decision decision) {
  Run run;
  int failed = 0;
  for (;;) {
    if (decision.owner == runtime_.settings.vm) {
      run = FindRun(decision.claim);
    } else if (const auto fetched = co_await FetchRun(call, decision)) {
      run = *fetched;
    } else if (++failed >= kMaxFailedFetches) {
      co_return Refuse(KeyDecision::Type::kUnknown, "first-vm-unreachable");
    } else {
      continue;
    }
    if (run.state != RunState::kRunning ||
        SteadyNow() + kRunPoll >= call.deadline) {
      co_return ToDecision(run);
    }
    co_await Sleep(runtime_.io, kRunPoll);
  }
}

asio::awaitable<std::optional<Run>> IdempotencyGuard::FetchRun(
    const http::KeyedCall& call,
    const Decision& decision) {
  const std::string address = peering_.AddressOf(decision.owner);
  if (address.empty()) {
    co_return std::nullopt;
  }
  peer::wire::KeptAnswerRequest request;
  request.set_key(call.key);
  request.set_service(call.service);
  request.set_claim(decision.claim);
  request.set_clock(static_cast<std::uint64_t>(peering_.Now()));
  struct Pending {
    explicit Pending(asio::io_context& io) : wake(io) {}
    asio::steady_timer wake;
    bool ended = false;
    std::optional<Run> run;
  };
  // Shared, since the answer may come after this call was cancelled.
  const auto pending = std::make_shared<Pending>(runtime_.io);
  pending->wake.expires_at(asio::steady_timer::time_point::max());
  peering_.client().FetchKeptAnswer(
      address, request, kFetchTimeout, [pending](const KeptAnswer* answer) {
        if (answer != nullptr) {
          pending->run =
              Run{FromWire(answer->state()),
                  {answer->code(), answer->content_type(), answer->body()}};
        }
        pending->ended = true;
        pending->wake.cancel();
      });
  while (!pending->ended) {
    boost::system::error_code error;
    co_await pending->wake.async_wait(
        asio::redirect_error(asio::use_awaitable, error));
  }
  co_return pending->run;
}

void IdempotencyGuard::Count(const KeyDecision& decision,
                             const http::KeyedCall& call) {
  constexpr std::array<std::uint64_t IdempotencyCounters::*, 4> kCounters{
      &IdempotencyCounters::run, &IdempotencyCounters::answered,
      &IdempotencyCounters::not_run, &IdempotencyCounters::unknown};
  constexpr std::array<const char*, 4> kKinds{"key_run", "key_answered",
                                              "key_not_run", "key_unknown"};
  const auto kind = static_cast<std::size_t>(decision.type);
  ++(counters_.*kCounters[kind]);
  timeline::Event event;
  event.part = "once";
  event.kind = kKinds[kind];
  event.service = call.service;
  event.detail = decision.reason;
  runtime_.Record(std::move(event));
}

IdempotencyGuard::Partition& IdempotencyGuard::PartitionOf(
    const std::string& key) {
  return partitions_[XXH64(key.data(), key.size(), 0) % partitions_.size()];
}

}  // namespace kingcupshed::daemon
