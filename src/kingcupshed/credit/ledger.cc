#include "kingcupshed/credit/ledger.h"

#include <algorithm>
#include <chrono>

namespace kingcupshed::credit {

namespace {

/// Number of low bits of a hybrid time that hold a counter; the bits above hold
/// milliseconds.
constexpr int kHybridCounterBits = 16;
/// Smallest transfer that is worth a message, as a fraction of this VM's share
/// of the pool's depth.
constexpr double kMinTransferFraction = 0.1;

timeline::HybridTime After(timeline::HybridTime clock, Duration duration) {
  const auto millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
  return timeline::HybridTime{
      static_cast<std::uint64_t>(clock) +
      (static_cast<std::uint64_t>(millis) << kHybridCounterBits)};
}

}  // namespace

void Ledger::Configure(const std::string& name, double rate, double depth) {
  Pool& pool = pools_[name];
  pool.rate = rate / max_vms_;
  pool.depth = depth / max_vms_;
  pool.bucket.Configure(pool.rate, pool.depth);
}

bool Ledger::TrySpend(const std::string& name, double amount, TimePoint now) {
  Pool* pool = Find(name);
  if (pool == nullptr) {
    return false;
  }
  pool->bucket.Advance(now);
  return pool->bucket.TrySpend(amount);
}

void Ledger::Refund(const std::string& name, double amount) {
  if (Pool* pool = Find(name)) {
    Add(*pool, amount);
  }
}

std::optional<Transfer> Ledger::IssueTransfer(const std::string& name,
                                              double wanted,
                                              timeline::HybridTime clock,
                                              TimePoint now) {
  Pool* pool = Find(name);
  if (pool == nullptr) {
    return std::nullopt;
  }
  pool->bucket.Advance(now);
  const double amount = std::min(wanted, pool->bucket.tokens() / 2);
  if (amount < pool->depth * kMinTransferFraction || amount <= 0.0) {
    return std::nullopt;
  }
  pool->bucket.Spend(amount);
  return Transfer{name, amount, ++last_serial_,
                  After(clock, kTransferValidity)};
}

bool Ledger::AcceptTransfer(const std::string& sender,
                            std::uint64_t incarnation,
                            const Transfer& transfer,
                            timeline::HybridTime clock) {
  Pool* pool = Find(transfer.pool);
  Sender& known = senders_[sender];
  if (incarnation < known.incarnation) {
    return false;
  }
  if (incarnation > known.incarnation) {
    known = {incarnation, 0};
  }
  const bool duplicate = transfer.serial <= known.serial;
  known.serial = std::max(known.serial, transfer.serial);
  if (pool == nullptr || duplicate || clock > transfer.valid_until) {
    return false;
  }
  Add(*pool, transfer.amount);
  return true;
}

double Ledger::Balance(const std::string& name, TimePoint now) {
  Pool* pool = Find(name);
  if (pool == nullptr) {
    return 0.0;
  }
  pool->bucket.Advance(now);
  return pool->bucket.tokens();
}

Ledger::Pool* Ledger::Find(const std::string& name) {
  const auto found = pools_.find(name);
  return found == pools_.end() ? nullptr : &found->second;
}

void Ledger::Add(Pool& pool, double amount) {
  pool.bucket.Spend(-amount);
  // Caps the balance at the depth.
  pool.bucket.Configure(pool.rate, pool.depth);
}

}  // namespace kingcupshed::credit
