#include "kingcupshed/once/claim_arbiter.h"

#include <utility>

namespace kingcupshed::once {

ClaimArbiter::ClaimArbiter(std::string vm, std::uint64_t life, Limits limits)
    : vm_(std::move(vm)),
      prefix_(vm_ + ":" + std::to_string(life) + ":"),
      limits_(limits) {}

Ticket ClaimArbiter::Begin(const Request& request, TimePoint now) {
  const Ticket ticket{++last_ticket_};
  const auto owner = owners_.find(request.key);
  if (owner != owners_.end()) {
    DecideDuplicate(ticket, request.fingerprint, owner->second);
    return ticket;
  }
  if (failing_since_ && now - *failing_since_ > limits_.fail_fast_after) {
    Refuse(ticket, "log-unreachable");
    return ticket;
  }
  if (waiting_.size() >= limits_.max_waiting || !HasRoom() || blind_until_) {
    Refuse(ticket, "claims-full");
    return ticket;
  }
  Claim claim{prefix_ + std::to_string(++last_claim_), request.key, vm_,
              request.fingerprint};
  queue_.push_back(claim.id);
  const std::string id = claim.id;
  waiting_.emplace(id, Waiting{ticket, std::move(claim), request.deadline});
  return ticket;
}

void ClaimArbiter::Finish(const std::string& claim, bool ran) {
  const auto running = running_.find(claim);
  if (running == running_.end()) {
    return;
  }
  if (!ran) {
    QueueRelease(claim, running->second);
  }
  running_.erase(running);
}

void ClaimArbiter::OnAppended(std::uint64_t batch,
                              AppendOutcome outcome,
                              TimePoint now) {
  if (!in_flight_ || in_flight_->number != batch) {
    return;
  }
  NoteLog(outcome == AppendOutcome::kDone, now);
  const std::vector<LogRecord> records = std::move(in_flight_->records);
  in_flight_.reset();
  const bool done = outcome == AppendOutcome::kDone;
  for (const LogRecord& record : records) {
    const auto waiting = waiting_.find(record.id);
    if (waiting == waiting_.end()) {
      continue;
    }
    waiting->second.in_flight = false;
    if (outcome != AppendOutcome::kNotDone) {
      waiting->second.may_be_appended = true;
    }
    if (!done) {
      // A repeated append is harmless: the first copy of an id counts.
      queue_.push_back(record.id);
    }
  }
  for (auto& [claim, release] : releases_) {
    release.sent = release.sent && done;
  }
}

void ClaimArbiter::OnRead(const LogPage& page, TimePoint now) {
  NoteLog(true, now);
  if (page.first > next_offset_) {
    // What was dropped unread may hold own claims: none of them may run now.
    if (next_offset_ != LogOffset{}) {
      AbandonAll("log-truncated");
      for (auto& [claim, release] : releases_) {
        release.sent = false;
      }
    }
    next_offset_ = page.first;
  }
  for (const LogRecord& record : page.records) {
    if (record.offset >= next_offset_) {
      next_offset_ = LogOffset{static_cast<std::uint64_t>(record.offset) + 1};
      Apply(record, now);
    }
  }
}

void ClaimArbiter::OnReadFailed(TimePoint now) {
  NoteLog(false, now);
}

void ClaimArbiter::OnTick(TimePoint now) {
  std::vector<std::string> overdue;
  for (const auto& [id, waiting] : waiting_) {
    if (waiting.deadline <= now) {
      overdue.push_back(id);
    }
  }
  for (const std::string& id : overdue) {
    Abandon(id, "claim-unconfirmed");
  }
  while (!expiries_.empty() && expiries_.front().at <= now) {
    const Expiry& expiry = expiries_.front();
    const auto owner = owners_.find(expiry.key);
    if (owner != owners_.end() && owner->second.claim == expiry.claim) {
      owners_.erase(owner);
    }
    released_.erase(expiry.claim);
    expiries_.pop_front();
  }
  if (blind_until_ && *blind_until_ <= now) {
    blind_until_.reset();
  }
}

std::optional<Batch> ClaimArbiter::TakeBatch(TimePoint now) {
  const Duration interval =
      failing_since_ ? limits_.retry_interval : limits_.append_interval;
  if (in_flight_ || (last_append_ && now - *last_append_ < interval)) {
    return std::nullopt;
  }
  Batch batch;
  // Releases go first, so that a retry of the same key in this batch can win.
  AddReleases(batch);
  AddClaims(batch);
  if (batch.records.empty()) {
    return std::nullopt;
  }
  batch.number = ++last_batch_;
  last_append_ = now;
  in_flight_ = batch;
  return batch;
}

void ClaimArbiter::AddReleases(Batch& batch) {
  for (auto& [claim, release] : releases_) {
    if (release.sent || batch.records.size() >= limits_.max_batch) {
      continue;
    }
    release.sent = true;
    batch.records.push_back({LogOffset{}, ReleaseId(claim),
                             ToPayload(Release{claim, release.key})});
  }
}

void ClaimArbiter::AddClaims(Batch& batch) {
  std::vector<std::string> left;
  for (std::string& id : queue_) {
    const auto waiting = waiting_.find(id);
    if (waiting == waiting_.end()) {
      continue;
    }
    if (batch.records.size() >= limits_.max_batch) {
      left.push_back(std::move(id));
      continue;
    }
    waiting->second.in_flight = true;
    batch.records.push_back(
        {LogOffset{}, id, ToPayload(waiting->second.claim)});
  }
  queue_ = std::move(left);
}

std::vector<Decision> ClaimArbiter::TakeDecisions() {
  return std::exchange(decisions_, {});
}

void ClaimArbiter::Apply(const LogRecord& record, TimePoint now) {
  const Record parsed = ParseRecord(record);
  if (const auto* claim = std::get_if<Claim>(&parsed)) {
    ApplyClaim(*claim, now);
  } else if (const auto* release = std::get_if<Release>(&parsed)) {
    ApplyRelease(*release, now);
  }
}

void ClaimArbiter::ApplyClaim(const Claim& claim, TimePoint now) {
  if (released_.contains(claim.id)) {
    return;
  }
  const auto owner = owners_.find(claim.key);
  if (owner != owners_.end()) {
    Lose(claim, owner->second);
    return;
  }
  if (!HasRoom()) {
    blind_until_ = now + limits_.lifetime + limits_.grace;
    AbandonAll("claims-full");
    return;
  }
  owners_.emplace(claim.key, Owner{claim.id, claim.vm, claim.fingerprint});
  expiries_.push_back(
      {now + limits_.lifetime + limits_.grace, claim.key, claim.id});
  if (IsOwn(claim.id)) {
    Win(claim, now);
  }
}

void ClaimArbiter::ApplyRelease(const Release& release, TimePoint now) {
  releases_.erase(release.claim);
  const auto owner = owners_.find(release.key);
  if (owner != owners_.end() && owner->second.claim == release.claim) {
    owners_.erase(owner);
  }
  if (!released_.contains(release.claim)) {
    // The claim itself may still arrive, from an append that was late.
    released_.insert(release.claim);
    expiries_.push_back(
        {now + limits_.lifetime + limits_.grace, release.key, release.claim});
  }
}

void ClaimArbiter::Win(const Claim& claim, TimePoint now) {
  const auto waiting = waiting_.find(claim.id);
  if (waiting == waiting_.end()) {
    if (!running_.contains(claim.id)) {
      // Its call was told "not run" meanwhile.
      QueueRelease(claim.id, claim.key);
    }
    return;
  }
  if (waiting->second.deadline <= now || blind_until_) {
    Abandon(claim.id, "claim-unconfirmed");
    return;
  }
  Decision decision;
  decision.ticket = waiting->second.ticket;
  decision.type = Decision::Type::kRun;
  decision.claim = claim.id;
  decision.owner = vm_;
  decisions_.push_back(std::move(decision));
  running_.emplace(claim.id, claim.key);
  waiting_.erase(waiting);
}

void ClaimArbiter::Lose(const Claim& claim, const Owner& owner) {
  const auto waiting = waiting_.find(claim.id);
  if (waiting == waiting_.end() || owner.claim == claim.id) {
    return;
  }
  DecideDuplicate(waiting->second.ticket, claim.fingerprint, owner);
  waiting_.erase(waiting);
}

void ClaimArbiter::Abandon(const std::string& claim, std::string reason) {
  const auto waiting = waiting_.find(claim);
  if (waiting == waiting_.end()) {
    return;
  }
  if (waiting->second.may_be_appended || waiting->second.in_flight) {
    QueueRelease(claim, waiting->second.claim.key);
  }
  Refuse(waiting->second.ticket, std::move(reason));
  waiting_.erase(waiting);
}

void ClaimArbiter::AbandonAll(const std::string& reason) {
  std::vector<std::string> claims;
  for (const auto& [id, waiting] : waiting_) {
    claims.push_back(id);
  }
  for (const std::string& id : claims) {
    Abandon(id, reason);
  }
}

void ClaimArbiter::Refuse(Ticket ticket, std::string reason) {
  Decision decision;
  decision.ticket = ticket;
  decision.reason = std::move(reason);
  decisions_.push_back(std::move(decision));
}

void ClaimArbiter::DecideDuplicate(Ticket ticket,
                                   std::uint64_t fingerprint,
                                   const Owner& owner) {
  if (owner.fingerprint != fingerprint) {
    Refuse(ticket, "key-reused");
    return;
  }
  Decision decision;
  decision.ticket = ticket;
  decision.type = Decision::Type::kDuplicate;
  decision.claim = owner.claim;
  decision.owner = owner.vm;
  decisions_.push_back(std::move(decision));
}

void ClaimArbiter::QueueRelease(const std::string& claim,
                                const std::string& key) {
  releases_.emplace(claim, OpenRelease{key});
}

void ClaimArbiter::NoteLog(bool reachable, TimePoint now) {
  if (reachable) {
    failing_since_.reset();
  } else if (!failing_since_) {
    failing_since_ = now;
  }
}

bool ClaimArbiter::IsOwn(const std::string& claim) const {
  return claim.starts_with(prefix_);
}

bool ClaimArbiter::HasRoom() const noexcept {
  return expiries_.size() < limits_.max_keys;
}

}  // namespace kingcupshed::once
