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

/// Properties of one target.
struct TargetSpec {
  std::string name;
  std::string service;
  std::string zone;
  std::string address;
  std::size_t slots = 3;
  std::size_t connections = 240;
  std::size_t queue_limit = 32;
  /// Mean service time.
  Duration service_time = std::chrono::milliseconds(10);
  /// Time for which a load report holds a slot.
  Duration probe_time{};
  /// Delay of a new connection, besides its round trip.
  Duration connect_time{};
  /// Whether service times are exponentially distributed rather than fixed.
  bool exponential = true;
  std::uint64_t seed = 1;
  /// One-way delay by the caller's IP address.
  std::map<std::string, Duration> delays;
};

/// Reads the targets of a deployment file.
[[nodiscard]] std::vector<TargetSpec> ParseTargets(
    const boost::json::value& deployment);

/// Behaviour of a target that control requests change.
struct Behaviour {
  /// Whether responses carry the drain mark.
  bool draining = false;
  std::int64_t draining_since_us = 0;
  /// Whether new work is refused with outcome `not-run`.
  bool refusing = false;
  double slow_factor = 1.0;
  TimePoint slow_end{};
  double cold_factor = 1.0;
  TimePoint cold_end{};
  /// Load that `/_load` reports in place of the real one.
  std::optional<LoadReport> false_load;
  /// Age of the load that `/_load` reports.
  Duration load_lag{};
  /// Delay of a response with the fault `late`.
  Duration late_delay = std::chrono::seconds(1);
  /// Fault of the responses to load requests; empty for none, or a kind of
  /// endless response.
  std::string load_fault;
  /// Number of next calls that get a fault, by the fault's name.
  std::map<std::string, int> faults;
};

/// One call that a target started to run.
struct JournalEntry {
  std::string target;
  std::string call;
  std::string caller;
  std::string key;
  std::string method;
  std::string path;
  /// Wall-clock microseconds.
  std::int64_t start_us = 0;
  /// Zero until the work completes; stays zero when it is cancelled.
  std::int64_t end_us = 0;
  bool after_drain_mark = false;
};

/// Counters of one target since its start.
struct Counters {
  std::uint64_t started = 0;
  std::uint64_t finished = 0;
  std::uint64_t cancelled = 0;
  /// Calls refused because the queue was full.
  std::uint64_t shed = 0;
  /// Calls refused for another reason.
  std::uint64_t refused = 0;
  std::uint64_t probes = 0;
  /// Total time for which probes held a slot.
  std::int64_t probe_us = 0;
  /// Connections accepted, among them those above the limit.
  std::uint64_t accepted = 0;
  /// Connections above the limit.
  std::uint64_t over_cap = 0;
  std::uint64_t bytes_out = 0;
  std::uint64_t bytes_in = 0;
};

/// Slots of a target with a first-in first-out queue of waiting calls.
class Slots {
 public:
  /// Ownership of a slot, released on destruction.
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

  /// Waits for a free slot; cancellation removes the waiter from the queue.
  [[nodiscard]] boost::asio::awaitable<Hold> Acquire();

  [[nodiscard]] LoadReport load() const noexcept;
  /// Returns the load at a past instant, or the oldest recorded load when the
  /// history doesn't reach back that far.
  [[nodiscard]] LoadReport LoadAt(TimePoint instant) const noexcept;
  [[nodiscard]] std::size_t waiting() const noexcept { return waiters_.size(); }

 private:
  struct Waiter;
  void Release();
  void RecordLoad();

  boost::asio::io_context& io_;
  std::size_t count_;
  std::size_t in_use_ = 0;
  std::list<Waiter*> waiters_;
  std::deque<std::pair<TimePoint, LoadReport>> history_;
};

struct TargetConnection;

/// A target with its slots, behaviour, counters and journal.
struct Target {
  Target(boost::asio::io_context& io, TargetSpec spec);

  /// Returns how long the next call takes, slowdowns included.
  /// @param requested Work time that the caller requested in place of the
  ///   service time, if any.
  [[nodiscard]] Duration SampleWorkTime(std::optional<Duration> requested);

  /// Returns the fault of the next call and counts it as used; empty for none.
  [[nodiscard]] std::string ConsumeFault();

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
