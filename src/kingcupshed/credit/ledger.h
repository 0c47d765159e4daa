#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "kingcupshed/core/time.h"
#include "kingcupshed/core/token_bucket.h"
#include "kingcupshed/timeline/event.h"

namespace kingcupshed::credit {

/// Time for which a credit transfer is valid after it was issued.
inline constexpr Duration kTransferValidity = std::chrono::seconds(1);

/// Credit that a VM has deducted from its own balance for another VM.
struct Transfer {
  std::string pool;
  double amount = 0.0;
  /// Increases with each transfer of the sender's incarnation.
  std::uint64_t serial = 0;
  /// Hybrid time after which the receiver must reject the transfer.
  timeline::HybridTime valid_until{};
};

/// Tracks this VM's shares of fleet-wide limits, such as probe time, a row's
/// rate limit, or bytes between regions.
///
/// Each VM accrues an equal part of a pool's rate, computed for the largest
/// number of VMs, and starts with a balance of zero. Credit moves between VMs
/// only after the sender has deducted it, so a lost message loses credit and
/// the sum never exceeds the limit.
class Ledger {
 public:
  /// @param max_vms Largest number of VMs that run at the same time.
  explicit Ledger(std::uint32_t max_vms) noexcept : max_vms_(max_vms) {}

  /// Sets a pool's limit for the whole fleet.
  /// @param rate Units per second.
  /// @param depth Units that the fleet may accumulate.
  void Configure(const std::string& pool, double rate, double depth);

  /// Spends credit if this VM's balance covers the amount.
  [[nodiscard]] bool TrySpend(const std::string& pool,
                              double amount,
                              TimePoint now);

  /// Returns unspent credit to this VM's balance.
  void Refund(const std::string& pool, double amount);

  /// Deducts credit from this VM's balance for another VM.
  /// @param wanted Maximum amount; at most half of the balance is transferred.
  /// @param clock This VM's hybrid clock.
  /// @return The transfer to send, or nothing when the amount would be too
  ///   small to be worth a message.
  [[nodiscard]] std::optional<Transfer> IssueTransfer(
      const std::string& pool,
      double wanted,
      timeline::HybridTime clock,
      TimePoint now);

  /// Adds credit that another VM transferred. Duplicate and expired transfers
  /// are rejected, and so are those of an earlier incarnation of the sender.
  /// @param incarnation Incarnation of the sender.
  /// @return Whether the credit was added.
  bool AcceptTransfer(const std::string& sender,
                      std::uint64_t incarnation,
                      const Transfer& transfer,
                      timeline::HybridTime clock);

  /// Returns this VM's balance in a pool.
  [[nodiscard]] double Balance(const std::string& pool, TimePoint now);

 private:
  struct Pool {
    TokenBucket bucket;
    /// This VM's share of the pool's rate and depth.
    double rate = 0.0;
    double depth = 0.0;
  };
  struct Sender {
    std::uint64_t incarnation = 0;
    /// Highest serial received.
    std::uint64_t serial = 0;
  };

  Pool* Find(const std::string& pool);
  static void Add(Pool& pool, double amount);

  std::uint32_t max_vms_;
  std::uint64_t last_serial_ = 0;
  std::map<std::string, Pool> pools_;
  std::map<std::string, Sender> senders_;
};

}  // namespace kingcupshed::credit
