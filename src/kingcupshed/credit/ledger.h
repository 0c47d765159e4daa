#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "kingcupshed/core/time.h"
#include "kingcupshed/core/token_bucket.h"
#include "kingcupshed/timeline/event.h"

namespace kingcupshed::credit {

/// Longest time for which credit on its way stays valid.
inline constexpr Duration kTransferValidity = std::chrono::seconds(1);

/// Credit that a VM has given up for another.
struct Transfer {
  std::string pool;
  double amount = 0.0;
  /// Grows with each transfer of the sender's life.
  std::uint64_t serial = 0;
  /// Hybrid time after which the receiver may not take it.
  timeline::HybridTime valid_until{};
};

/// Shares of fleet-wide limits that one VM may spend, such as probe time,
/// a row's rate limit, or bytes between regions.
///
/// Each VM earns an equal part of a pool's rate by the largest number of VMs,
/// starting from nothing. Credit moves between VMs only by subtracting it
/// first, so lost messages lose credit and the sum never exceeds the limit.
class Ledger {
 public:
  /// @param max_vms Largest number of VMs that run at once.
  explicit Ledger(std::uint32_t max_vms) noexcept : max_vms_(max_vms) {}

  /// Sets a pool's limit for the whole fleet.
  /// @param rate Units per second.
  /// @param depth Units that the fleet may save up.
  void Configure(const std::string& pool, double rate, double depth);

  /// Spends credit if this VM has that much.
  [[nodiscard]] bool Take(const std::string& pool,
                          double amount,
                          TimePoint now);

  /// Returns unspent credit to the own share.
  void Give(const std::string& pool, double amount);

  /// Gives credit up for another VM.
  /// @param wanted Most to give; at most half of what is held goes.
  /// @param clock Time of this VM's hybrid clock.
  /// @return Nothing when there is too little to be worth a message.
  [[nodiscard]] std::optional<Transfer> Send(const std::string& pool,
                                             double wanted,
                                             timeline::HybridTime clock,
                                             TimePoint now);

  /// Takes credit that a VM gave up; copies and late transfers are dropped.
  /// @param life Life of the sender.
  /// @return Whether it was taken.
  bool Receive(const std::string& sender,
               std::uint64_t life,
               const Transfer& transfer,
               timeline::HybridTime clock);

  /// Returns what this VM holds of a pool.
  [[nodiscard]] double Held(const std::string& pool, TimePoint now);

 private:
  struct Pool {
    TokenBucket bucket;
    double rate = 0.0;
    double depth = 0.0;
  };
  struct Sender {
    std::uint64_t life = 0;
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
