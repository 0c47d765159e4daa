#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "kingcupshed/once/claim_arbiter.h"
#include "kingcupshed/once/response_cache.h"

namespace kingcupshed::once {

/// Sizes and fault rates of one simulated history.
struct Scenario {
  std::uint32_t seed = 1;
  std::uint32_t vms = 3;
  std::uint32_t keys = 3;
  std::uint32_t calls = 12;
  std::uint32_t lost_response_percent = 0;
  std::uint32_t late_append_percent = 0;
  std::uint32_t kills = 0;
  std::uint32_t freezes = 0;
  Duration outage{};
  bool truncates = false;
  Limits limits;
  /// False for a deliberately wrong variant in which each VM knows only its own
  /// keys.
  bool shares_log = true;
};

/// Counts from one simulated history.
struct SimulationResult {
  /// Runs of a key after its first one.
  std::uint32_t double_runs = 0;
  /// Calls that were reported as not run but ran.
  std::uint32_t false_not_run = 0;
  std::uint32_t ran = 0;
  std::uint32_t not_run = 0;
  std::uint32_t unknown = 0;
  /// Calls that were refused because their claim was not confirmed.
  std::uint32_t refused_claims = 0;
};

/// Simulates several VMs, a log with faults and targets that count runs, on a
/// simulated clock.
class FleetSimulation {
 public:
  explicit FleetSimulation(const Scenario& scenario);

  /// Runs the history to its end and returns its counts.
  SimulationResult Run();

 private:
  struct Call {
    std::string key;
    bool ran = false;
    bool reported_not_run = false;
  };
  struct Event {
    TimePoint at;
    std::uint64_t order = 0;
    /// VM that must not be frozen and must still have the given incarnation. No
    /// condition applies when `incarnation` is zero.
    std::uint32_t vm = 0;
    std::uint64_t incarnation = 0;
    std::function<void()> action;
  };
  struct Vm {
    std::uint64_t incarnation = 0;
    std::unique_ptr<ClaimArbiter> claims;
    ResponseCache responses{1000, 1U << 20U};
    std::map<Ticket, std::size_t> tickets;
    TimePoint frozen_until{};
  };
  struct Log {
    std::vector<LogRecord> records;
    std::size_t first = 0;
  };

  void Schedule(TimePoint at,
                std::uint32_t vm,
                std::uint64_t incarnation,
                std::function<void()> action);
  void StartVm(std::uint32_t vm);
  void Read(std::uint32_t vm);
  void Tick(std::uint32_t vm);
  void Append(std::uint32_t vm, const Batch& batch);
  void AppendToLog(Log& log, const Batch& batch);
  void Decide(std::uint32_t vm, const Decision& decision);
  void RunCall(std::uint32_t vm, std::size_t call, const std::string& claim);
  void HandleDuplicate(std::uint32_t vm,
                       std::size_t call,
                       const Decision& decision,
                       std::uint32_t polls);
  void ReportNotRun(std::size_t call);
  void PlanCall(const std::string& key, Duration at);
  void PlanCalls();
  void PlanFaults();
  [[nodiscard]] bool IsDown() const;
  Log& LogForVm(std::uint32_t vm);
  Duration Draw(int low_ms, int high_ms);
  bool Chance(std::uint32_t percent);

  Scenario scenario_;
  std::mt19937 random_;
  TimePoint now_{std::chrono::hours(1)};
  TimePoint start_ = now_;
  std::uint64_t order_ = 0;
  std::uint64_t incarnations_ = 0;
  std::multimap<std::pair<TimePoint, std::uint64_t>, Event> events_;
  std::vector<Vm> vms_;
  std::vector<Log> logs_;
  std::vector<Call> calls_;
  std::map<std::string, std::uint32_t> runs_;
  TimePoint outage_start_{};
  SimulationResult result_;
};

}  // namespace kingcupshed::once
