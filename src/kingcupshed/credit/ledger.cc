#include "kingcupshed/credit/ledger.h"

#include <algorithm>
#include <chrono>

namespace kingcupshed::credit {

namespace {

constexpr int kCounterBits = 16;
/// Less than this share of a pool's depth is not worth a message.
constexpr double kSmallestShare = 0.1;

timeline::HybridTime After(timeline::HybridTime clock, Duration duration) {
  const auto millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
  return timeline::HybridTime{
      static_cast<std::uint64_t>(clock) +
      (static_cast<std::uint64_t>(millis) << kCounterBits)};
}

}  // namespace

void Ledger::Configure(const std::string& name, double rate, double depth) {
  Pool& pool = pools_[name];
  pool.rate = rate / max_vms_;
  pool.depth = depth / max_vms_;
  pool.bucket.Configure(pool.rate, pool.depth);
}

bool Ledger::Take(const std::string& name, double amount, TimePoint now) {
  Pool* pool = Find(name);
  if (pool == nullptr) {
    return false;
  }
  pool->bucket.Advance(now);
  return pool->bucket.TrySpend(amount);
}

void Ledger::Give(const std::string& name, double amount) {
  if (Pool* pool = Find(name)) {
    Add(*pool, amount);
  }
}

std::optional<Transfer> Ledger::Send(const std::string& name,
                                     double wanted,
                                     timeline::HybridTime clock,
                                     TimePoint now) {
  Pool* pool = Find(name);
  if (pool == nullptr) {
    return std::nullopt;
  }
  pool->bucket.Advance(now);
  const double amount = std::min(wanted, pool->bucket.tokens() / 2);
  if (amount < pool->depth * kSmallestShare || amount <= 0.0) {
    return std::nullopt;
  }
  pool->bucket.Spend(amount);
  return Transfer{name, amount, ++last_serial_,
                  After(clock, kTransferValidity)};
}

bool Ledger::Receive(const std::string& sender,
                     std::uint64_t life,
                     const Transfer& transfer,
                     timeline::HybridTime clock) {
  Pool* pool = Find(transfer.pool);
  Sender& known = senders_[sender];
  if (life < known.life) {
    return false;
  }
  if (life > known.life) {
    known = {life, 0};
  }
  const bool copy = transfer.serial <= known.serial;
  known.serial = std::max(known.serial, transfer.serial);
  if (pool == nullptr || copy || clock > transfer.valid_until) {
    return false;
  }
  Add(*pool, transfer.amount);
  return true;
}

double Ledger::Held(const std::string& name, TimePoint now) {
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
  // Cuts what is above the depth.
  pool.bucket.Configure(pool.rate, pool.depth);
}

}  // namespace kingcupshed::credit
