#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/value.hpp>

#include "kingcupshed/core/load_report.h"
#include "kingcupshed/core/time.h"

namespace standin {

using kingcupshed::Duration;
using kingcupshed::LoadReport;
using kingcupshed::TimePoint;

/// Fixed facts of one target.
struct TargetSpec {
  std::string name;
  std::string service;
  std::string zone;
  std::string address;
  std::size_t slots = 3;
  std::size_t connections = 240;
  std::size_t queue_limit = 32;
  Duration service_time = std::chrono::milliseconds(10);
  Duration probe_time{};
  Duration connect_time{};
  /// True for service times that vary, false for always the same.
  bool exponential = true;
  std::uint64_t seed = 1;
  /// One-way delay by the IP number of the other end.
  std::map<std::string, Duration> delays;
};

/// Reads the targets of a deployment file.
[[nodiscard]] std::vector<TargetSpec> ParseTargets(
    const boost::json::value& deployment);

/// What a control request has switched.
struct Behaviour {
  /// Answers carry the drain mark.
  bool draining = false;
  std::int64_t draining_since_us = 0;
  /// New work is refused as not run.
  bool refusing = false;
  double slow_factor = 1.0;
  TimePoint slow_until{};
  double cold_factor = 1.0;
  TimePoint cold_until{};
  /// Load that the probe endpoint claims.
  std::optional<LoadReport> false_load;
  /// Age of the load that the probe endpoint reports.
  Duration load_lag{};
  /// How long a late answer is held back.
  Duration late_delay = std::chrono::seconds(1);
  /// Number of coming calls that get a fault, by its name.
  std::map<std::string, int> faults;
};

/// One piece of work that a target started.
struct JournalEntry {
  std::string target;
  std::string call;
  std::string caller;
  std::string key;
  std::string method;
  std::string path;
  /// Wall-clock microseconds.
  std::int64_t start_us = 0;
  /// Zero until the work is done; stays so when it was cancelled.
  std::int64_t end_us = 0;
  bool after_drain_mark = false;
};

/// Counts of one target since its start.
struct Counters {
  std::uint64_t started = 0;
  std::uint64_t finished = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t shed = 0;
  std::uint64_t refused = 0;
  std::uint64_t probes = 0;
  std::int64_t probe_us = 0;
  std::uint64_t accepted = 0;
  std::uint64_t over_cap = 0;
  std::uint64_t bytes_out = 0;
  std::uint64_t bytes_in = 0;
};

/// Slots of a target and the first-in first-out queue in front of them.
class Slots {
 public:
  /// A slot in use; given back when destroyed.
  class Hold {
   public:
    explicit Hold(Slots& slots) noexcept : slots_(&slots) {}
    Hold(Hold&& other) noexcept : slots_(other.slots_) {
      other.slots_ = nullptr;
    }
    Hold(const Hold&) = delete;
    Hold& operator=(const Hold&) = delete;
    Hold& operator=(Hold&&) = delete;
    ~Hold();

   private:
    Slots* slots_;
  };

  Slots(boost::asio::io_context& io, std::size_t count);

  /// Waits for a slot; leaves the queue when cancelled.
  [[nodiscard]] boost::asio::awaitable<Hold> Acquire();

  [[nodiscard]] LoadReport load() const noexcept;
  /// Returns the load as it was some time ago.
  [[nodiscard]] LoadReport LoadAt(TimePoint instant) const noexcept;
  [[nodiscard]] std::size_t waiting() const noexcept { return waiters_.size(); }

 private:
  struct Waiter;
  void Release();
  void Note();

  boost::asio::io_context& io_;
  std::size_t count_;
  std::size_t in_use_ = 0;
  std::list<Waiter*> waiters_;
  std::deque<std::pair<TimePoint, LoadReport>> history_;
};

struct TargetConnection;

/// One target: its slots, behaviour, counts and journal.
struct Target {
  Target(boost::asio::io_context& io, TargetSpec spec);

  /// Returns how long the next piece of work takes.
  /// @param asked Time that the caller asked for, if any.
  [[nodiscard]] Duration DrawWorkTime(std::optional<Duration> asked);

  /// Takes one fault off the list of those that coming calls get.
  [[nodiscard]] std::string TakeFault();

  TargetSpec spec;
  Slots slots;
  Behaviour behaviour;
  Counters counters;
  std::deque<JournalEntry> journal;
  std::set<TargetConnection*> connections;
  std::mt19937_64 random;
};

/// Returns the wall-clock time in microseconds.
[[nodiscard]] std::int64_t WallMicroseconds();

/// Starts serving a target at its address.
void ServeTarget(boost::asio::io_context& io, Target& target);

/// Serves the control address of the targets of one process.
void ServeControl(boost::asio::io_context& io,
                  const std::string& address,
                  std::list<Target>& targets);

}  // namespace standin
